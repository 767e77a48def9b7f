"""Requests that end the targets that run them, on their way there."""

import collections.abc
import contextlib

from bergamotsail import control
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail import wire

HELD_RETRY_S = 60.0
# A copy of a suspected request waits so long for another one to end.
MOST_ALONE_WAIT_S = 1.0
ALONE_SHARE = 0.25
ALONE_SLACK_S = 0.3
ALONE_RETRY_S = 0.5


class Subject:
    """A request as its repeats are known, over one attempt of its caller.

    Args:
        identity: works out what it shares with its repeats; called once,
            when that matters.
        ran: says whether this attempt may have run already.
    """

    def __init__(
        self,
        request: str,
        member: str,
        pool: str,
        identity: collections.abc.Callable[[], str],
        ran: collections.abc.Callable[[], wire.RunStatus],
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
        """What it shares with its repeats, and with nothing else."""
        if self._identity is None:
            self._identity = self._work_out()
        return self._identity

    @property
    def ran(self) -> wire.RunStatus:
        """Whether this attempt may have run."""
        return self._ran()

    @property
    def may_go_on(self) -> bool:
        """Whether one attempt may meet a further target."""
        return self.ends < quarantine.MAX_ENDS


class QuarantineGuard:
    """Keeps requests that end targets from the next ones."""

    def __init__(
        self, session: control.Session, metrics: observe.Metrics
    ) -> None:
        self._session = session
        self._metrics = metrics

    def check(self, subject: Subject) -> None:
        """Refuse a request that is held back.

        Raises:
            QuarantinedError: says whether this attempt may have run.
        """
        held_by_id = self._session.view.quarantine_by_id
        entry = held_by_id.get(subject.identity) if held_by_id else None
        if entry is None or not entry.value.held:
            return
        self._metrics.count("requests_held", pool=subject.pool)
        raise wire.QuarantinedError(
            f"This request ended {entry.value.ends} targets that ran it, so "
            "it is held back for now. Change it, or have an operator delete "
            f"the catalogue entry quarantine {entry.id}.",
            retry_after_s=HELD_RETRY_S,
            ran=subject.ran,
        )

    @contextlib.asynccontextmanager
    async def alone(
        self, subject: Subject, left_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Run a suspected request while no other copy of it runs.

        Args:
            left_s: what is left of its caller's patience.

        Raises:
            OtherCopyError: another copy still runs.
        """
        ends = self._session.ends
        if not ends.any_suspect or not ends.suspected(subject.identity):
            yield
            return
        if not await self._granted(subject, left_s * ALONE_SHARE):
            raise wire.OtherCopyError(
                "Targets ended under this request, and another copy of it "
                "runs now. Come back when that has ended.",
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
        """Ask the leader; who hears none goes on with what it knows."""
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
        """Note that a target may have ended under a request.

        One that leaves ends by itself.

        Args:
            start: names the start of the target, where its id does not.
        """
        subject.ends += 1
        info = self._session.digest.target_by_id.get(target)
        if info is None or not self._session.heard.is_gone(info):
            self._note(subject, start or target, quarantine.RunEnd.LOST)

    def served(self, subject: Subject, target: str) -> None:
        """Clear a request that was suspected: it had a whole answer."""
        ends = self._session.ends
        if ends.any_suspect and ends.suspected(subject.identity):
            self._note(subject, target, quarantine.RunEnd.SERVED)

    def _note(
        self, subject: Subject, target: str, end: quarantine.RunEnd
    ) -> None:
        """Tell the leader soon how a run ended."""
        run = quarantine.Run(
            subject.identity, subject.member, subject.pool, target
        )
        self._session.ends.note(run, end)
        subject.noted = True
        self._session.kick()
