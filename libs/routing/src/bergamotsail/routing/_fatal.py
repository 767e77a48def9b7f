"""Guards targets against requests that may crash them.

The leader counts the targets lost while running a request and quarantines
requests that were running on too many of them, and parts of prompts that many
such requests shared.
"""

import collections.abc
import contextlib

from bergamotsail import catalogue
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
CLIENT_ERROR = 400


class TrackedRequest:
    """Counts the targets lost while running one attempt of a request.

    Args:
        identity: computes the identity that the request shares with its
            repeats; called at most once, when first needed.
        ran: returns whether this attempt may have run already.
        parts: shared parts of its prompt, in their order.
        lasts: whether the present run has answered for long enough that the
            parts of its prompt can't be what crashes its target.
    """

    def __init__(
        self,
        request: str,
        member: str,
        pool: str,
        identity: collections.abc.Callable[[], str],
        ran: collections.abc.Callable[[], wire.RunStatus],
        parts: tuple[str, ...] = (),
    ) -> None:
        self.request = request
        self.member = member
        self.pool = pool
        self.parts = parts
        self.losses = 0
        self.lasts = False
        self.end_reported = False
        self._compute_identity = identity
        self._identity: str | None = None
        self._part_keys: tuple[quarantine.Key, ...] | None = None
        self._ran = ran

    @property
    def identity(self) -> str:
        """The identity shared by repeats of this request only."""
        if self._identity is None:
            self._identity = self._compute_identity()
        return self._identity

    @property
    def part_keys(self) -> tuple[quarantine.Key, ...]:
        """The keys of the shared parts of its prompt."""
        if self._part_keys is None:
            self._part_keys = quarantine.part_keys(
                self.member, self.pool, self.parts
            )
        return self._part_keys

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
        entry = self._held_entry(tracked)
        if entry is None:
            return
        self._metrics.count("requests_held", pool=tracked.pool)
        part = entry.value.part
        observe.log_event(
            "route",
            "held",
            request=tracked.request,
            identity=entry.id,
            prompt_part=part,
            ends=entry.value.ends,
            ran=tracked.ran,
        )
        what = "This request" if part is None else f"Part {part} of the prompt"
        raise wire.QuarantinedError(
            f"{what} is quarantined: {entry.value.ends} targets were lost "
            "while running it. Change it, or have an operator delete the "
            f"catalogue entry quarantine {entry.id}.",
            retry_after_s=QUARANTINE_RETRY_S,
            ran=tracked.ran,
        )

    def _held_entry(self, tracked: TrackedRequest) -> catalogue.Entry | None:
        """Return the entry that holds a request or part of its prompt."""
        entry_by_id = self._session.view.quarantine_by_id
        if not entry_by_id:
            return None
        ids = (tracked.identity, *(key.id for key in tracked.part_keys))
        entries = (entry_by_id.get(key_id) for key_id in ids)
        return next(
            (entry for entry in entries if entry and entry.value.held), None
        )

    @contextlib.asynccontextmanager
    async def exclusive(
        self, tracked: TrackedRequest, left_s: float
    ) -> collections.abc.AsyncIterator[None]:
        """Keep requests with the same suspected keys from running meanwhile.

        If the call to the leader fails, the request runs without this
        guarantee.

        Args:
            left_s: the remaining patience of the caller.

        Raises:
            OtherCopyError: such a request is still running.
        """
        key_ids = self._suspected_keys(tracked)
        if not key_ids:
            yield
            return
        if not await self._acquire_exclusive(
            tracked, key_ids, left_s * EXCLUSIVE_WAIT_SHARE
        ):
            observe.log_event(
                "route",
                "other_copy",
                request=tracked.request,
                suspected=key_ids,
                ran=tracked.ran,
            )
            raise wire.OtherCopyError(
                "Targets were lost while running this request or a part of "
                "its prompt, and another such request is running. Retry when "
                "that one has ended.",
                retry_after_s=EXCLUSIVE_RETRY_S,
                ran=tracked.ran,
            )
        tracked.end_reported = False
        try:
            yield
        finally:
            if not tracked.end_reported:
                self._report_end(tracked, "", quarantine.RunEnd.GIVEN_UP)

    def _suspected_keys(self, tracked: TrackedRequest) -> tuple[str, ...]:
        """Return the keys whose requests must run one at a time.

        A popular part is suspected whenever a target is lost. It is left out
        as it was served lately, or all its requests would wait.
        """
        observations = self._session.observations
        if not observations.any_suspect:
            return ()
        parts = (
            key.id
            for key in tracked.part_keys
            if observations.suspected(key.id)
            and observations.served_parts.served_at(
                tracked.member, tracked.pool, key.part or ""
            )
            is None
        )
        if observations.suspected(tracked.identity):
            return (tracked.identity, *parts)
        return tuple(parts)

    async def _acquire_exclusive(
        self, tracked: TrackedRequest, key_ids: tuple[str, ...], wait_s: float
    ) -> bool:
        """Ask the leader for exclusivity; True also if the call fails."""
        wait_s = min(wait_s, MAX_EXCLUSIVE_WAIT_S)
        request = control.AloneRequest(
            self._session.boot, key_ids[0], wait_s, others=key_ids[1:]
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

    def started(self, tracked: TrackedRequest) -> None:
        """Record that a request is sent to a target."""
        tracked.lasts = False

    def lasted(self, tracked: TrackedRequest, target: str) -> None:
        """Clear the parts of a prompt whose answer has lasted for a while.

        Parts that crash a target do so as its answer begins.
        """
        if not tracked.lasts:
            tracked.lasts = True
            self._report_served(tracked, target, False)

    def answered(
        self, tracked: TrackedRequest, target: str, status: int
    ) -> None:
        """Report a complete answer, which clears its suspected keys.

        A failure clears nothing: the target may not have got to the part of
        its work that crashes it.
        """
        if status >= CLIENT_ERROR:
            return
        if self._report_served(tracked, target, True):
            tracked.end_reported = True

    def _report_served(
        self, tracked: TrackedRequest, target: str, whole: bool
    ) -> bool:
        """Record that the parts of a prompt, or all of it, were answered.

        Returns:
            Whether that is reported, as some of its keys are suspected.
        """
        observations = self._session.observations
        observations.served_parts.note(
            tracked.member, tracked.pool, tracked.parts
        )
        if not observations.any_suspect:
            return False
        run = quarantine.Run(
            tracked.identity if whole else "",
            tracked.member,
            tracked.pool,
            target,
            tracked.part_keys,
        )
        reported = observations.note(run, quarantine.RunEnd.SERVED)
        if reported:
            self._session.kick()
        return reported

    def _report_end(
        self, tracked: TrackedRequest, target: str, end: quarantine.RunEnd
    ) -> None:
        """Queue the outcome of a run for an early heartbeat."""
        run = quarantine.Run(
            tracked.identity,
            tracked.member,
            tracked.pool,
            target,
            () if tracked.lasts else tracked.part_keys,
        )
        self._session.observations.note(run, end)
        tracked.end_reported = True
        self._session.kick()
