"""The scheduler's record of one engine: its slots, grants and copies."""

import collections
import collections.abc
import dataclasses
import enum
import typing

from bergamotsail import catalogue
from bergamotsail.placement import _counter
from bergamotsail.placement import _pace
from bergamotsail import targets

if typing.TYPE_CHECKING:
    from bergamotsail.placement import _place_policy

# Maximum number of prompt prefixes tracked as cached, evicted by LRU.
MAX_PREFIXES = 400
# Number of adapter copies that an engine is assumed to keep for each slot.
# With 64 copies assumed on engines of 9 slots, 24 of 217 loads from a
# supposed copy took as long as a fetch from the store, and with 54 copies 1
# of 101 (one run each). Engines of 6 slots were found to keep 36.
COPIES_PER_SLOT = 6
FAULT_HALF_LIFE_S = 4.0
# Fraction of an engine's memory that is used for requests. Partly filled
# blocks take up the rest.
MEMORY_FRACTION = 0.97

AdapterName = tuple[str, str]


class SlotState(enum.StrEnum):
    """The state of an adapter slot.

    DOUBTFUL: the engine reported the load as pending; it is not confirmed.
    """

    LOADING = "loading"
    READY = "ready"
    DOUBTFUL = "doubtful"


@dataclasses.dataclass(slots=True)
class Slot:
    """An adapter slot of an engine.

    Args:
        version: None if the load order named no version.
        uses: number of requests that run on it.
        used_at: when a request was last granted or released on it.
        ready_at: when its load is expected to finish, unless it replaces a
            version that is in use.
        reported: found in a report rather than loaded by this process, so
            that requests granted by an earlier leader may run on it.
        newest_at: when its version was last known to be the newest one set.
    """

    version: int | None
    state: SlotState
    uses: int = 0
    used_at: float = 0.0
    ready_at: float = 0.0
    reported: bool = False
    newest_at: float = float("-inf")

    @property
    def is_load_imminent(self) -> bool:
        """Whether a load is in progress that doesn't wait for runs to end."""
        return self.state is not SlotState.READY and self.uses == 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request that may run on an engine.

    Args:
        tokens: prompt tokens plus the maximum of generated tokens.
    """

    boot: str
    request: str
    name: AdapterName
    tokens: int
    granted_at: float


class AdapterIndex:
    """The records of the engines that have an adapter, by its name."""

    def __init__(self) -> None:
        self._by_name: dict[AdapterName, dict[str, "EngineRecord"]] = {}

    def add(self, name: AdapterName, record: "EngineRecord") -> None:
        """Add an engine that has an adapter."""
        self._by_name.setdefault(name, {})[record.info.id] = record

    def discard(self, name: AdapterName, record: "EngineRecord") -> None:
        """Remove an engine that no longer has an adapter."""
        records = self._by_name.get(name, {})
        if records.get(record.info.id) is record:
            del records[record.info.id]
            if not records:
                del self._by_name[name]

    def records(
        self, name: AdapterName
    ) -> collections.abc.Collection["EngineRecord"]:
        """Return the records of the engines that have an adapter."""
        return self._by_name.get(name, {}).values()


class EngineRecord:
    """The scheduler's record of one incarnation of an engine.

    It follows the accepted orders. Reports lag, so they only confirm the
    record or resolve the outcome of an order that was not answered. Until a
    report has done so, the state is not ``known``. The record is ``fenced``
    once the engine has rejected an order for its fencing number.

    Args:
        spec: capacity of the engines of the pool.
        runs_reported_by: when all daemons have reported the requests that
            they were running here before this record was created.
        pool_pace: the prefill estimate over the engines of the pool.
    """

    def __init__(
        self,
        info: targets.Instance,
        spec: catalogue.EngineSpec,
        runs_reported_by: float = 0.0,
        pool_pace: _pace.PoolPace | None = None,
    ) -> None:
        self.info = info
        self.capacity = capacity_of(spec)
        self._max_copies = min(
            COPIES_PER_SLOT * max(self.capacity, 1),
            catalogue.MAX_COPIES_PER_ENGINE,
        )
        self._spec = spec
        self._max_tokens = spec.memory_tokens * MEMORY_FRACTION
        self._runs_reported_by = runs_reported_by
        self._pool_pace = pool_pace or _pace.PoolPace()
        self.leaving = False
        # Whether its limit of requests a second allows one now.
        self.takes_requests = True
        self._held_index = AdapterIndex()
        self._copy_index = AdapterIndex()
        self.slot_by_name: dict[AdapterName, Slot] = {}
        self._copies: collections.OrderedDict[AdapterName, None] = (
            collections.OrderedDict()
        )
        self.reset()

    def attach(self, held: AdapterIndex, copies: AdapterIndex) -> None:
        """Keep the record's adapters and copies in the given indexes."""
        self.detach()
        self._held_index, self._copy_index = held, copies
        for name in self.slot_by_name:
            held.add(name, self)
        for name in self._copies:
            copies.add(name, self)

    def detach(self) -> None:
        """Remove the record from the indexes; later changes add nothing."""
        self._drop_from_indexes()
        self._held_index, self._copy_index = AdapterIndex(), AdapterIndex()

    def _drop_from_indexes(self) -> None:
        for name in self.slot_by_name:
            self._held_index.discard(name, self)
        for name in self._copies:
            self._copy_index.discard(name, self)

    def put_slot(self, name: AdapterName, slot: Slot) -> None:
        """Add or replace the slot of an adapter."""
        self.slot_by_name[name] = slot
        self._held_index.add(name, self)

    def drop_slot(self, name: AdapterName) -> None:
        """Remove the slot of an adapter, if there is one."""
        if self.slot_by_name.pop(name, None) is not None:
            self._held_index.discard(name, self)

    def reset(self) -> None:
        """Reset the record after a restart of the engine."""
        self._drop_from_indexes()
        self.known = False
        self.fenced = False
        self.sequence = 0
        self.models: set[str] = set()
        self.slot_by_name = {}
        self.grant_by_request: dict[tuple[str, str], Grant] = {}
        self.tokens = 0
        self.reading = _pace.Reading(self._pool_pace)
        self._copies = collections.OrderedDict()
        self.new_copies: dict[AdapterName, None] = {}
        self._prefixes: collections.OrderedDict[
            tuple[AdapterName, str], None
        ] = collections.OrderedDict()
        self._faults = _counter.DecayingCounter(FAULT_HALF_LIFE_S)
        # Requests whose answer has started, as far as daemons reported it,
        # and the number of the others for each adapter.
        self._begun: set[tuple[str, str]] = set()
        self._waiting_count_by_name: collections.Counter[AdapterName] = (
            collections.Counter()
        )

    @property
    def may_load(self) -> bool:
        """Whether the state is known and load orders are possible."""
        return self.known and not self.leaving and not self.fenced

    def can_take(self, demand: "_place_policy.PlacementDemand") -> bool:
        """Whether a request may run here and fits into the free capacity."""
        return (
            not self.leaving
            and self.takes_requests
            and self.tokens + demand.tokens <= self._max_tokens
            and len(self.grant_by_request) < self._spec.slots
            and self.info.pool == demand.pool
            and demand.name[0] in self.models
            and self.info.id not in demand.avoid
            and demand.software in (None, self.info.software)
        )

    @property
    def running(self) -> int:
        """Number of requests granted and not yet released."""
        return len(self.grant_by_request)

    def unconfirmed_loads(self) -> int:
        """Return the number of adapters whose load is not confirmed."""
        return sum(
            slot.state is not SlotState.READY
            for slot in self.slot_by_name.values()
        )

    def summary(self, now: float) -> str:
        """Return the state as key=value pairs for the log."""
        slots = self.slot_by_name.values()
        return (
            f"running={self.running} tokens={self.tokens}"
            f" used={sum(slot.uses > 0 for slot in slots)}"
            f" slots={len(slots)} in_transit={self.unconfirmed_loads()}"
            f" known={int(self.known)} leaving={int(self.leaving)}"
            f" faults={self.faults(now):.1f}"
            f" backlog_s={self.reading.backlog_s(now):.2f}"
            f" read_per_s={self.reading.pace(now).tokens_per_s:.0f}"
        )

    def apply_report(self, report: targets.AdapterReport, now: float) -> None:
        """Replace the slots by a report that reflects all accepted orders."""
        self.sequence = report.sequence
        self.models = set(report.models)
        slot_by_name: dict[AdapterName, Slot] = {}
        for held in report.adapters:
            name = (held.model, held.adapter)
            slot = Slot(
                held.version, SlotState.READY, used_at=now, reported=True
            )
            slot_by_name[name] = slot
            self.remember_copy(name)
        for held in report.pending:
            name = (held.model, held.adapter)
            slot_by_name[name] = Slot(held.version, SlotState.DOUBTFUL)
        for grant in self.grant_by_request.values():
            if grant.name in slot_by_name:
                slot_by_name[grant.name].uses += 1
        for name, slot in slot_by_name.items():
            earlier = self.slot_by_name.get(name)
            if earlier is not None and earlier.version == slot.version:
                slot.newest_at = earlier.newest_at
        for name in self.slot_by_name:
            self._held_index.discard(name, self)
        self.slot_by_name = slot_by_name
        for name in slot_by_name:
            self._held_index.add(name, self)
        self.known = True

    def shows_new_start(self, report: targets.AdapterReport) -> bool:
        """Whether a report shows that the engine was restarted.

        This serves engines that don't report their start time. The report
        has a lower sequence number than the record and contains no adapter
        that the record has as ready. The sequence number alone is not
        enough, since a lost answer to an order can make it differ by one.
        """
        if report.sequence >= self.sequence:
            return False
        reported = {(held.model, held.adapter) for held in report.adapters}
        return not any(
            slot.state is SlotState.READY and name in reported
            for name, slot in self.slot_by_name.items()
        )

    def is_idle(self, slot: Slot, now: float) -> bool:
        """Whether it is certain that no request runs on a slot."""
        if slot.state is not SlotState.READY or slot.uses > 0:
            return False
        return not (slot.reported and self.may_have_unreported_runs(now))

    def rejects_requests(self, name: AdapterName) -> bool:
        """Whether the engine rejects requests because it loads the adapter.

        It does so from the order on, also while a load that replaces another
        version waits for its runs.
        """
        slot = self.slot_by_name.get(name)
        return slot is not None and slot.state is SlotState.LOADING

    def may_have_unreported_runs(self, now: float) -> bool:
        """Whether requests may run here that daemons have not reported."""
        return now < self._runs_reported_by

    def compare_runs(self, runs: int, granted_before: float) -> None:
        """Rule out unreported runs if the engine counts no more than granted.

        The count lags, so it is compared with the number of grants made up to
        *granted_before*.
        """
        known = sum(
            grant.granted_at <= granted_before
            for grant in self.grant_by_request.values()
        )
        if runs <= known:
            self._runs_reported_by = 0.0

    def remember_copy(self, name: AdapterName) -> None:
        """Record that the engine keeps a local copy of an adapter."""
        if name not in self._copies:
            self.new_copies[name] = None
        self._copies[name] = None
        self._copies.move_to_end(name)
        self._copy_index.add(name, self)
        while len(self._copies) > self._max_copies:
            oldest, _ = self._copies.popitem(last=False)
            self._copy_index.discard(oldest, self)

    def restore_copies(self, names: collections.abc.Iterable[str]) -> None:
        """Restore the copies that an earlier leader recorded."""
        for text in names:
            model, _, adapter = text.partition("/")
            self.remember_copy((model, adapter))
        self.new_copies.clear()

    def has_copy(self, name: AdapterName) -> bool:
        """Whether the engine can load an adapter from a local copy."""
        return name in self._copies

    def new_tokens(
        self, name: AdapterName, parts: tuple[tuple[str, int], ...], total: int
    ) -> int:
        """Return the number of prompt tokens outside the cached prefix."""
        for part, tokens in parts:
            if (name, part) not in self._prefixes:
                break
            total -= tokens
        return max(total, 0)

    def add(
        self,
        grant: Grant,
        parts: tuple[tuple[str, int], ...],
        prompt_tokens: int,
        priority: int = 0,
    ) -> int:
        """Add a granted request and return its tokens to be prefilled."""
        new_tokens = self.new_tokens(grant.name, parts, prompt_tokens)
        key = (grant.boot, grant.request)
        self.reading.add(key, new_tokens, priority, grant.granted_at)
        for part, _ in parts:
            prefix = (grant.name, part)
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)
        self.restore(grant)
        return new_tokens

    def restore(self, grant: Grant) -> None:
        """Add a request that a daemon reports as running.

        A grant of the same request is replaced. An entry repeats its call
        after a lost reply, and counting the request twice would leave its
        slot in use and its memory reserved.
        """
        self._remove_grant(grant.boot, grant.request, grant.granted_at)
        self.grant_by_request[(grant.boot, grant.request)] = grant
        self._waiting_count_by_name[grant.name] += 1
        self.tokens += grant.tokens
        slot = self.slot_by_name.get(grant.name)
        if slot is not None:
            slot.uses += 1
            slot.used_at = grant.granted_at

    def begin(self, key: tuple[str, str], first_s: float, now: float) -> None:
        """Record that an answer started *first_s* after its grant."""
        self.reading.begun(key, first_s, now)
        grant = self.grant_by_request.get(key)
        if grant is not None and key not in self._begun:
            self._begun.add(key)
            self._waiting_count_by_name[grant.name] -= 1

    def may_have_queued(self, name: AdapterName) -> bool:
        """Whether requests for an adapter may wait here to begin.

        Requests that an earlier leader granted count as waiting.
        """
        return self._waiting_count_by_name[name] > 0

    def release(self, boot: str, request: str, now: float) -> Grant | None:
        """Remove a request and return its grant, if there was one."""
        self.reading.drop((boot, request))
        return self._remove_grant(boot, request, now)

    def _remove_grant(
        self, boot: str, request: str, now: float
    ) -> Grant | None:
        grant = self.grant_by_request.pop((boot, request), None)
        if grant is None:
            return None
        if (boot, request) not in self._begun:
            self._waiting_count_by_name[grant.name] -= 1
        self._begun.discard((boot, request))
        if self._waiting_count_by_name[grant.name] <= 0:
            del self._waiting_count_by_name[grant.name]
        self.tokens -= grant.tokens
        slot = self.slot_by_name.get(grant.name)
        if slot is not None:
            slot.uses = max(0, slot.uses - 1)
            slot.used_at = now
        return grant

    def add_fault(self, now: float, weight: float = 1.0) -> None:
        """Record a failure of the engine."""
        self._faults.add(self.info.id, now, weight)

    def faults(self, now: float) -> float:
        """Return the decayed count of recent failures."""
        return self._faults.value(self.info.id, now)


def capacity_of(spec: catalogue.EngineSpec) -> int:
    """Return how many adapters fit next to the base model.

    It is the smallest number over the models of the pool.
    """
    capacity = spec.adapter_slots
    for model in spec.models:
        if model.adapter_mb > 0:
            left_mb = spec.weights_mb - model.size_mb
            capacity = min(capacity, int(left_mb / model.adapter_mb))
    return max(capacity, 0)
