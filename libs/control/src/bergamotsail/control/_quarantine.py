"""Quarantine of requests that crash targets, on the leader.

A whole request may be to blame, or a part of its prompt that others have too;
each is a key. Loss counts are soft state of one term; daemons report their
observations again to the next leader. Quarantined keys are kept in the
replicated log: otherwise, after a restart of all replicas, each would crash
three more targets.
"""

import asyncio
import collections
import collections.abc

from absl import logging

from bergamotsail import catalogue
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail import wire

# Initial quarantine; doubled for each further target that the key crashes.
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
    """Decides in one term which keys are quarantined, and how long.

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
        # When this leader first saw an entry, by key and revision.
        self._seen_at: dict[tuple[str, int], float] = {}
        self._commit_lock = asyncio.Lock()
        self._exclusive_by_key: dict[str, _ExclusiveRun] = {}

    def suspects(self) -> tuple[str, ...]:
        """Return keys whose complete responses are to be reported."""
        return self._counter.suspects()

    async def acquire_exclusive(
        self, boot: str, key_ids: tuple[str, ...], wait_s: float
    ) -> bool:
        """Return whether a daemon may run a suspected request now.

        Concurrent runs with a key would each crash a target before the first
        crash is counted, so the others wait for the outcome of the first one.
        """
        try:
            async with asyncio.timeout(wait_s):
                while (
                    blocker := self._acquire_or_blocker(boot, key_ids)
                ) is not None:
                    await blocker.over.wait()
                    # An end right after the last one would not count.
                    await self._clock.sleep(quarantine.COINCIDENCE_WINDOW_S)
        except TimeoutError:
            return False
        return not any(self._is_held(key_id) for key_id in key_ids)

    def _acquire_or_blocker(
        self, boot: str, key_ids: tuple[str, ...]
    ) -> _ExclusiveRun | None:
        """Start this run, or return a run to wait for.

        Returns:
            None when there is nothing to wait for: a key is quarantined, none
            is suspected, or this run now is the only one with any of them.
        """
        if any(self._is_held(key_id) for key_id in key_ids):
            return None
        now = self._clock.now()
        suspected = [key_id for key_id in key_ids if self._suspects(key_id)]
        for key_id in suspected:
            blocker = self._exclusive_by_key.get(key_id)
            if blocker is not None and now - blocker.since <= MAX_EXCLUSIVE_S:
                return blocker
        for key_id in suspected:
            self._exclusive_by_key[key_id] = _ExclusiveRun(boot, now)
        return None

    def _suspects(self, key_id: str) -> bool:
        """Whether a key has losses, or was released after a quarantine."""
        return (
            self._counter.ends(key_id) > 0
            or key_id in self._view().quarantine_by_id
        )

    def _is_held(self, key_id: str) -> bool:
        """Whether a key is quarantined, or will be once that is committed."""
        pending = self._pending_changes.get(key_id)
        if pending is not None and pending.held:
            return True
        entry = self._view().quarantine_by_id.get(key_id)
        return entry is not None and entry.value.held

    def _end_exclusive(self, boot: str, key_id: str) -> None:
        """End the exclusive execution of a key if this daemon holds it.

        When the key was served or quarantined, it ends whichever daemon holds
        it.
        """
        exclusive = self._exclusive_by_key.get(key_id)
        if exclusive is None:
            return
        decided = self._is_held(key_id) or not self._suspects(key_id)
        if exclusive.boot == boot or decided:
            del self._exclusive_by_key[key_id]
            exclusive.over.set()

    async def record_observations(
        self,
        boot: str,
        observations: collections.abc.Sequence[quarantine.Observation],
        reported_at: float,
    ) -> None:
        """Process a daemon's observations and commit the decisions."""
        for observation in observations:
            self._counter.take(observation, reported_at)
            ended_at = reported_at - observation.ended_ago_s
            self._decide(observation, ended_at)
        await self._commit_pending()
        for observation in observations:
            for key in observation.keys():
                self._end_exclusive(boot, key.id)

    def _decide(
        self, observation: quarantine.Observation, ended_at: float
    ) -> None:
        """Decide what an observation means for each of its keys."""
        if observation.end is quarantine.RunEnd.GIVEN_UP:
            return
        served = observation.end is quarantine.RunEnd.SERVED
        observe.log_event(
            "quarantine",
            "cleared" if served else "end",
            identity=observation.identity,
            parts=[part.part for part in observation.parts],
            member=observation.member,
            pool=observation.pool,
            target=observation.target,
            ends=self._counter.ends(observation.identity),
            part_ends=[
                self._counter.ends(part.id) for part in observation.parts
            ],
            ended_ago_s=round(observation.ended_ago_s, 3),
        )
        if served:
            for key in observation.keys():
                self._clear(key.id, ended_at)
            return
        for key in observation.keys():
            if self._is_to_blame(key, ended_at):
                self._counter.blame(key, observation)
                return

    def _clear(self, key_id: str, served_at: float) -> None:
        """Release a key as a request with it was served."""
        self._pending_changes.pop(key_id, None)
        entry = self._view().quarantine_by_id.get(key_id)
        if entry is not None and served_at > self._known_since(entry):
            self._pending_changes[key_id] = None

    def _is_to_blame(self, key: quarantine.Key, ended_at: float) -> bool:
        """Whether a key explains a loss; quarantine it if it does."""
        if self._is_held(key.id):
            return True
        entry = self._view().quarantine_by_id.get(key.id)
        # Observations that led to the present entry are reported again to a
        # new leader; they must not count twice.
        if entry is not None and ended_at <= self._known_since(entry):
            return False
        suspect = self._counter.find(key.id)
        if suspect is None or suspect.ends == 0:
            return False
        known = entry is not None or self._is_held_elsewhere(key, suspect)
        if not known and not self._counter.is_to_blame(key.id):
            return False
        earlier_ends = 0 if entry is None else entry.value.ends
        self._pending_changes[key.id] = catalogue.Quarantine(
            suspect.member,
            suspect.pool,
            earlier_ends + suspect.ends,
            part=key.part,
        )
        return True

    def _is_held_elsewhere(
        self, key: quarantine.Key, suspect: quarantine.Suspect
    ) -> bool:
        """Whether the same part is quarantined for another pool."""
        if key.part is None or suspect.was_served_lately():
            return False
        return any(
            entry.value.held
            and entry.value.part == key.part
            and entry.value.member == suspect.member
            for entry in self._view().quarantine_by_id.values()
        )

    def _known_since(self, entry: catalogue.Entry) -> float:
        """Return when this leader first saw the entry at this revision."""
        key = (entry.id, entry.revision)
        return self._seen_at.get(key, self._clock.now())

    async def maintain(self) -> None:
        """Release due keys, evict excess entries, retry failed commits."""
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
                        part=entry.value.part,
                    ),
                )
        self._seen_at = seen_at
        for identity, exclusive in list(self._exclusive_by_key.items()):
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
            prompt_part=None if value is None else value.part,
            pool=None if value is None else value.pool,
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
