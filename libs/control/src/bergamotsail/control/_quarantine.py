"""Quarantine of requests that crash targets, on the leader.

Loss counts are soft state of one term; daemons report their observations
again to the next leader. Quarantined requests are kept in the replicated log:
otherwise, after a restart of all replicas, such a request would crash three
more targets.
"""

import asyncio
import collections
import collections.abc

from absl import logging

from bergamotsail import catalogue
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail import wire

# Initial quarantine; doubled for each further target that the request crashes.
HOLD_S = 900.0
MAX_HOLD_S = 86_400.0
# Quarantine entries per member; the oldest is evicted first.
MAX_ENTRIES_PER_MEMBER = 100
COMMIT_TIMEOUT_S = 0.2
OPERATOR = "leader"
# Longest that one copy of a suspected request may block the others.
MAX_EXCLUSIVE_S = 10.0

Propose = collections.abc.Callable[
    [catalogue.Command], collections.abc.Awaitable[object]
]


class _ExclusiveRun:
    """Exclusive execution of a suspected request by one daemon."""

    def __init__(self, boot: str, since: float) -> None:
        self.boot = boot
        self.since = since
        self.over = asyncio.Event()


class Quarantine:
    """Decides in one term which requests are quarantined, and how long.

    Args:
        view: returns the catalogue, which holds the quarantine entries.
        propose: commits a command.
    """

    def __init__(
        self,
        term: int,
        view: collections.abc.Callable[[], catalogue.View],
        propose: Propose,
        clock: wire.Clock,
    ) -> None:
        self._term = term
        self._view = view
        self._propose = propose
        self._clock = clock
        self._counter = quarantine.LossCounter()
        self._pending_changes: dict[str, catalogue.Quarantine | None] = {}
        # When this leader first saw an entry, by identity and revision.
        self._seen_at: dict[tuple[str, int], float] = {}
        self._commit_lock = asyncio.Lock()
        self._exclusive_by_identity: dict[str, _ExclusiveRun] = {}

    def suspects(self) -> tuple[str, ...]:
        """Return requests whose complete response is to be reported."""
        return self._counter.suspects()

    async def acquire_exclusive(
        self, boot: str, identity: str, wait_s: float
    ) -> bool:
        """Return whether a daemon may run a suspected request now.

        Concurrent copies would each crash a target before the first crash
        is counted, so the others wait for the outcome of the first one.
        """
        try:
            async with asyncio.timeout(wait_s):
                while (
                    blocker := self._acquire_or_blocker(boot, identity)
                ) is not None:
                    await blocker.over.wait()
        except TimeoutError:
            return False
        return not self._is_held(identity)

    def _acquire_or_blocker(
        self, boot: str, identity: str
    ) -> _ExclusiveRun | None:
        """Start this copy, or return the running copy to wait for.

        Returns:
            None when there is nothing to wait for: the request is not
            suspected, is quarantined, or this copy is now the running one.
        """
        if self._counter.ends(identity) == 0 or self._is_held(identity):
            return None
        now = self._clock.now()
        blocker = self._exclusive_by_identity.get(identity)
        if blocker is not None and now - blocker.since <= MAX_EXCLUSIVE_S:
            return blocker
        self._exclusive_by_identity[identity] = _ExclusiveRun(boot, now)
        return None

    def _is_held(self, identity: str) -> bool:
        entry = self._view().quarantine_by_id.get(identity)
        return entry is not None and entry.value.held

    def _end_exclusive(self, boot: str, identity: str) -> None:
        """End the exclusive execution of a request if this daemon holds it.

        When the request has no counted losses any more, since it was served
        or quarantined, it ends whichever daemon holds it.
        """
        exclusive = self._exclusive_by_identity.get(identity)
        if exclusive is None:
            return
        if exclusive.boot == boot or self._counter.ends(identity) == 0:
            del self._exclusive_by_identity[identity]
            exclusive.over.set()

    async def record_observations(
        self,
        boot: str,
        observations: collections.abc.Sequence[quarantine.Observation],
        reported_at: float,
    ) -> None:
        """Process a daemon's observations and commit the decisions."""
        for observation in observations:
            suspect = self._counter.take(observation, reported_at)
            ended_at = reported_at - observation.ended_ago_s
            self._decide(observation, suspect, ended_at)
        await self._commit_pending()
        for observation in observations:
            self._end_exclusive(boot, observation.identity)

    def _decide(
        self,
        observation: quarantine.Observation,
        suspect: quarantine.Suspect,
        ended_at: float,
    ) -> None:
        if observation.end is quarantine.RunEnd.GIVEN_UP:
            return
        identity = observation.identity
        served = observation.end is quarantine.RunEnd.SERVED
        entry = self._view().quarantine_by_id.get(identity)
        observe.log_event(
            "quarantine",
            "cleared" if served else "end",
            identity=identity,
            member=observation.member,
            pool=observation.pool,
            target=observation.target,
            ends=suspect.ends,
            ended_ago_s=round(observation.ended_ago_s, 3),
        )
        if served:
            self._pending_changes.pop(identity, None)
        # Observations that led to the present entry are reported again to a
        # new leader; they must not count twice.
        if entry is not None and ended_at <= self._known_since(entry):
            return
        if served:
            if entry is not None:
                self._pending_changes[identity] = None
            return
        if self._is_held(identity):
            return
        earlier_ends = 0 if entry is None else entry.value.ends
        threshold = quarantine.MAX_ENDS if entry is None else 1
        if suspect.ends >= threshold:
            self._pending_changes[identity] = catalogue.Quarantine(
                suspect.member, suspect.pool, earlier_ends + suspect.ends
            )

    def _known_since(self, entry: catalogue.Entry) -> float:
        """Return when this leader first saw the entry at this revision."""
        key = (entry.id, entry.revision)
        return self._seen_at.get(key, self._clock.now())

    async def maintain(self) -> None:
        """Release due requests, evict excess entries, retry failed commits."""
        now = self._clock.now()
        self._counter.forget_before(now - quarantine.KEPT_S)
        entries = self._view().quarantine_by_id
        seen_at = {}
        for identity, entry in entries.items():
            key = (identity, entry.revision)
            seen_at[key] = since = self._seen_at.get(key, now)
            if entry.value.held and now - since >= hold_s(entry.value.ends):
                self._counter.forget(identity)
                self._pending_changes.setdefault(
                    identity,
                    catalogue.Quarantine(
                        entry.value.member,
                        entry.value.pool,
                        entry.value.ends,
                        held=False,
                    ),
                )
        self._seen_at = seen_at
        for identity, exclusive in list(self._exclusive_by_identity.items()):
            if now - exclusive.since > MAX_EXCLUSIVE_S:
                self._end_exclusive(exclusive.boot, identity)
        for identity in _excess_entries(entries):
            self._pending_changes.setdefault(identity, None)
        await self._commit_pending()

    async def _commit_pending(self) -> None:
        """Commit pending changes; the rest is retried after a failure."""
        if self._commit_lock.locked():
            return
        async with self._commit_lock:
            while self._pending_changes:
                identity, value = next(iter(self._pending_changes.items()))
                if not await self._put(identity, value):
                    return
                if self._pending_changes.get(identity) is value:
                    del self._pending_changes[identity]

    async def _put(
        self, identity: str, value: catalogue.Quarantine | None
    ) -> bool:
        text = None if value is None else wire.encode(value).decode()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE,
            identity,
            text,
            f"quarantine-{self._term}-{wire.fresh_token(identity)}",
            OPERATOR,
        )
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                await self._propose(catalogue.Command(put=put))
        except (wire.ServingError, TimeoutError) as error:
            logging.info(
                "quarantine: %s is not committed yet. %r", identity, error
            )
            return False
        if value is not None and value.held:
            self._counter.forget(identity)
        observe.log_event(
            "quarantine",
            _event_name(value),
            identity=identity,
            ends=None if value is None else value.ends,
        )
        return True


def hold_s(ends: int) -> float:
    """Return the quarantine in seconds after *ends* crashed targets.

    Example: 900 s after 3 crashes, 1,800 s after 4, a day at most.
    """
    extra_ends = max(ends - quarantine.MAX_ENDS, 0)
    return min(HOLD_S * 2.0**extra_ends, MAX_HOLD_S)


def _event_name(value: catalogue.Quarantine | None) -> str:
    if value is None:
        return "released"
    return "held" if value.held else "may_run"


def _excess_entries(
    entries: collections.abc.Mapping[str, catalogue.Entry],
) -> collections.abc.Iterator[str]:
    """Yield identities of the oldest entries above each member's limit."""
    by_member: dict[str, list[catalogue.Entry]] = collections.defaultdict(list)
    for entry in entries.values():
        by_member[entry.value.member].append(entry)
    for own in by_member.values():
        own.sort(key=lambda entry: entry.revision)
        for entry in own[: max(len(own) - MAX_ENTRIES_PER_MEMBER, 0)]:
            yield entry.id
