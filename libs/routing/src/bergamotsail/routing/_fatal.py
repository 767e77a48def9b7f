"""Guards targets against requests that may crash them.

The leader counts the targets lost while running a request and quarantines
requests that were running on too many of them.
"""

import collections.abc
import contextlib

from bergamotsail import control
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail import wire

HELD_RETRY_S = 60.0
# Longest time that a copy of a suspected request waits for another to end.
MOST_ALONE_WAIT_S = 1.0
ALONE_SHARE = 0.25
ALONE_SLACK_S = 0.3
ALONE_RETRY_S = 0.5


class Subject:
    """Tracks the targets lost under one attempt of a request.

    Args:
        identity: computes the identity that the request shares with its
            repeats; called at most once, when first needed.
        ran: returns whether this attempt may have run already.
    """

    def __init__(
        self,
        request: str,
        member: str,
        pool: str,
        identity: collections.abc.Callable[[], str],
        ran: collections.abc.Callable[[], wire.Ran],
    ) -> None:
        self.request = request
        self.member = member
        self.pool = pool
        self.ends = 0
        self.noted = False
        self._work_out = identity
        self._identity: str | None = None
        self._ran = ran

    @property
    def identity(self) -> str:
        """The identity shared by repeats of this request only."""
        if self._identity is None:
            self._identity = self._work_out()
        return self._identity

    @property
    def ran(self) -> wire.Ran:
        """Whether this attempt may have run."""
        return self._ran()

    @property
    def may_go_on(self) -> bool:
        """Whether this attempt may be sent to a further target."""
        return self.ends < quarantine.MOST_ENDS


class FatalGuard:
    """Enforces quarantine and reports how runs of suspected requests end."""

    def __init__(
        self, session: control.Session, metrics: observe.Metrics
    ) -> None:
        self._session = session
        self._metrics = metrics

    def check(self, subject: Subject) -> None:
        """Refuse a request that is quarantined.

        Raises:
            QuarantinedError: it is; says whether this attempt may have run.
        """
        held_by_id = self._session.view.quarantine_by_id
        entry = held_by_id.get(subject.identity) if held_by_id else None
        if entry is None or not entry.value.held:
            return
        self._metrics.count("requests_held", pool=subject.pool)
        raise wire.QuarantinedError(
            f"This request is quarantined: {entry.value.ends} targets were "
            "lost while running it. Change it, or have an operator delete "
            f"the catalogue entry quarantine {entry.id}.",
            retry_after_s=HELD_RETRY_S,
            ran=subject.ran,
        )

    @contextlib.asynccontextmanager
    async def alone(
        self, subject: Subject, left_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Ensure that no other copy of a suspected request runs, while inside.

        Args:
            left_s: the remaining patience of the caller.

        Raises:
            OtherCopyError: another copy still runs.
        """
        ends = self._session.ends
        if not ends.any_suspect or not ends.suspected(subject.identity):
            yield
            return
        if not await self._granted(subject, left_s * ALONE_SHARE):
            raise wire.OtherCopyError(
                "Targets were lost while running this request, and another "
                "copy of it is running. Retry when that has ended.",
                retry_after_s=ALONE_RETRY_S,
                ran=subject.ran,
            )
        subject.noted = False
        try:
            yield
        finally:
            if not subject.noted:
                self._note(subject, "", quarantine.RunEnd.GIVEN_UP)

    async def _granted(self, subject: Subject, wait_s: float) -> bool:
        """Ask the leader for exclusivity; assume it if there is no reply."""
        wait_s = min(wait_s, MOST_ALONE_WAIT_S)
        request = control.AloneRequest(
            self._session.boot, subject.identity, wait_s
        )
        try:
            reply = await self._session.leader.call(
                control.ALONE, request, wait_s + ALONE_SLACK_S
            )
        except wire.ServingError as error:
            observe.log_event(
                "route",
                "not_asked",
                request=subject.request,
                identity=subject.identity,
                error=error.message,
            )
            return True
        return reply.granted

    def lost(
        self, subject: Subject, target: str, start: str | None = None
    ) -> None:
        """Record that a target was lost while running a request.

        The loss of a target that is leaving is expected and not reported.

        Args:
            start: names the incarnation of the target if its id does not.
        """
        subject.ends += 1
        info = self._session.digest.target_by_id.get(target)
        if info is None or not self._session.heard.is_gone(info):
            self._note(subject, start or target, quarantine.RunEnd.LOST)

    def served(self, subject: Subject, target: str) -> None:
        """Report a complete answer, which clears a suspected request."""
        ends = self._session.ends
        if ends.any_suspect and ends.suspected(subject.identity):
            self._note(subject, target, quarantine.RunEnd.SERVED)

    def _note(
        self, subject: Subject, target: str, end: quarantine.RunEnd
    ) -> None:
        """Queue the outcome of a run for an early heartbeat."""
        run = quarantine.Run(
            subject.identity, subject.member, subject.pool, target
        )
        self._session.ends.note(run, end)
        subject.noted = True
        self._session.kick()
