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

QUARANTINE_RETRY_S = 60.0
# Longest time that a copy of a suspected request waits for another to end.
MAX_EXCLUSIVE_WAIT_S = 1.0
EXCLUSIVE_WAIT_SHARE = 0.25
EXCLUSIVE_CALL_MARGIN_S = 0.3
EXCLUSIVE_RETRY_S = 0.5


class TrackedRequest:
    """Counts the targets lost while running one attempt of a request.

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
        ran: collections.abc.Callable[[], wire.RunStatus],
    ) -> None:
        self.request = request
        self.member = member
        self.pool = pool
        self.losses = 0
        self.end_reported = False
        self._compute_identity = identity
        self._identity: str | None = None
        self._ran = ran

    @property
    def identity(self) -> str:
        """The identity shared by repeats of this request only."""
        if self._identity is None:
            self._identity = self._compute_identity()
        return self._identity

    @property
    def ran(self) -> wire.RunStatus:
        """Whether this attempt may have run."""
        return self._ran()

    @property
    def may_retry(self) -> bool:
        """Whether this attempt may be sent to a further target."""
        return self.losses < quarantine.MAX_ENDS


class QuarantineGuard:
    """Enforces quarantine and reports how runs of suspected requests end."""

    def __init__(
        self, session: control.Session, metrics: observe.Metrics
    ) -> None:
        self._session = session
        self._metrics = metrics

    def check(self, tracked: TrackedRequest) -> None:
        """Refuse a request that is quarantined.

        Raises:
            QuarantinedError: the request is quarantined; the error says
                whether this attempt may have run.
        """
        entry_by_id = self._session.view.quarantine_by_id
        entry = entry_by_id.get(tracked.identity) if entry_by_id else None
        if entry is None or not entry.value.held:
            return
        self._metrics.count("requests_held", pool=tracked.pool)
        raise wire.QuarantinedError(
            f"This request is quarantined: {entry.value.ends} targets were "
            "lost while running it. Change it, or have an operator delete "
            f"the catalogue entry quarantine {entry.id}.",
            retry_after_s=QUARANTINE_RETRY_S,
            ran=tracked.ran,
        )

    @contextlib.asynccontextmanager
    async def exclusive(
        self, tracked: TrackedRequest, left_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Keep other copies of a suspected request from running meanwhile.

        If the call to the leader fails, the request runs without this
        guarantee.

        Args:
            left_s: the remaining patience of the caller.

        Raises:
            OtherCopyError: another copy of the request is still running.
        """
        observations = self._session.observations
        if not observations.any_suspect or not observations.suspected(
            tracked.identity
        ):
            yield
            return
        if not await self._acquire_exclusive(
            tracked, left_s * EXCLUSIVE_WAIT_SHARE
        ):
            raise wire.OtherCopyError(
                "Targets were lost while running this request, and another "
                "copy of it is running. Retry when that copy has ended.",
                retry_after_s=EXCLUSIVE_RETRY_S,
                ran=tracked.ran,
            )
        tracked.end_reported = False
        try:
            yield
        finally:
            if not tracked.end_reported:
                self._report_end(tracked, "", quarantine.RunEnd.GIVEN_UP)

    async def _acquire_exclusive(
        self, tracked: TrackedRequest, wait_s: float
    ) -> bool:
        """Ask the leader for exclusivity; True also if the call fails."""
        wait_s = min(wait_s, MAX_EXCLUSIVE_WAIT_S)
        request = control.AloneRequest(
            self._session.boot, tracked.identity, wait_s
        )
        try:
            reply = await self._session.leader.call(
                control.ALONE, request, wait_s + EXCLUSIVE_CALL_MARGIN_S
            )
        except wire.ServingError as error:
            observe.log_event(
                "route",
                "not_asked",
                request=tracked.request,
                identity=tracked.identity,
                error=error.message,
            )
            return True
        return reply.granted

    def lost(
        self,
        tracked: TrackedRequest,
        target: str,
        incarnation: str | None = None,
    ) -> None:
        """Record that a target may have been lost while running a request.

        The loss of a target that is leaving is expected and not reported.

        Args:
            incarnation: identifies the lost incarnation if the id of the
                target does not.
        """
        tracked.losses += 1
        info = self._session.digest.target_by_id.get(target)
        if info is None or not self._session.notices.is_marked_leaving(info):
            self._report_end(
                tracked, incarnation or target, quarantine.RunEnd.LOST
            )

    def served(self, tracked: TrackedRequest, target: str) -> None:
        """Report a complete answer, which clears a suspected request."""
        observations = self._session.observations
        if observations.any_suspect and observations.suspected(
            tracked.identity
        ):
            self._report_end(tracked, target, quarantine.RunEnd.SERVED)

    def _report_end(
        self, tracked: TrackedRequest, target: str, end: quarantine.RunEnd
    ) -> None:
        """Queue the outcome of a run for an early heartbeat."""
        run = quarantine.Run(
            tracked.identity, tracked.member, tracked.pool, target
        )
        self._session.observations.note(run, end)
        tracked.end_reported = True
        self._session.kick()
