"""Decides where a request runs, what is loaded for it and what is evicted.

The decisions are computed from the engine records alone. Nothing here waits,
sends or reads a clock, so any workload can be simulated without a network.
"""

import collections.abc
import dataclasses

from bergamotsail.placement import _engine_record
from bergamotsail.placement import _engine_table
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _place_settings

State = _engine_record.SlotState

# Concurrent loads that an engine accepts according to its protocol; it
# refuses further ones.
MAX_CONCURRENT_LOADS = 4
# Minimum cost of running on a resident engine before the adapter is loaded on
# another one: twice the p50 of a load from a local copy with its orders
# (0.05 s).
MIN_SPREAD_COST_S = 0.1
# Minimum gain from loading the adapter on another engine; estimates are no
# more precise than this.
MIN_SPREAD_GAIN_S = 0.03
# A load that is overdue by more than this is not waited for if the adapter is
# resident elsewhere.
MAX_LOAD_OVERDUE_S = 0.3
# Number of least loaded engines considered for a load, besides those with a
# copy. The cost of a decision is proportional to it, and more engines gain
# nothing since the least loaded ones are alike.
MAX_LOAD_CANDIDATES = 10
# Number of engines up to which a whole pool is sorted by load.
MAX_SORTED = 64
# Maximum age of the cached order of engines by load.
MAX_SORT_AGE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run the request on a target now."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load the adapter on a target, evicting *victim* first if not None."""

    target: str
    victim: _engine_record.AdapterName | None


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait for a load in progress or for a free slot.

    Args:
        load_in_progress: whether a load of the adapter is in progress.
    """

    load_in_progress: bool


@dataclasses.dataclass(slots=True)
class DecisionCounts:
    """What deciding has cost so far.

    Args:
        decided: number of decisions.
        weighed: number of engines whose cost was computed for them.
    """

    decided: int = 0
    weighed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Sorted:
    """The least loaded engines of a pool at a time."""

    at: float
    revision: int
    records: list[_engine_record.EngineRecord]


Decision = Run | Load | Wait
PlacementDemand = _place_policy.PlacementDemand
EngineRecord = _engine_record.EngineRecord


class Decider:
    """Decides for one request at a time.

    Args:
        engines: the records of all engines, which may change between
            decisions.
        is_current: whether requests may start on the version in a slot.
    """

    def __init__(
        self,
        engines: _engine_table.EngineTable,
        policy: _place_policy.PlacePolicy,
        settings: _place_settings.PlaceSettings,
        is_current: collections.abc.Callable[
            [_engine_record.AdapterName, _engine_record.Slot, float], bool
        ],
    ) -> None:
        self._engines = engines
        self._policy = policy
        self._settings = settings
        self._is_current = is_current
        self.counts = DecisionCounts()
        self._sorted_by_pool: dict[str, _Sorted] = {}
        # Index of the engine that is next in turn to be sorted.
        self._turn_by_pool: dict[str, int] = {}

    def decide(
        self,
        demand: PlacementDemand,
        wanted: collections.abc.Container[_engine_record.AdapterName],
        now: float,
        may_load: bool = True,
        may_load_first: bool = True,
    ) -> Decision:
        """Return what to do for a request.

        Args:
            wanted: adapters that other requests wait for; not evicted.
            may_load: whether load orders are allowed now.
            may_load_first: whether an adapter may be loaded that no engine
                has ready.
        """
        self.counts.decided += 1
        if not demand.name[1]:
            return self._run_anywhere(demand, now)
        holders = [
            (record, record.slot_by_name[demand.name])
            for record in self._engines.holders(demand.name)
        ]
        resident = [
            (record, slot)
            for record, slot in holders
            if record.can_take(demand)
        ]
        best = min(
            (
                (self._run_cost_s(record, demand, now), number, record)
                for number, (record, slot) in enumerate(resident)
                if slot.state is State.READY
                and self._is_current(demand.name, slot, now)
            ),
            default=None,
        )
        if best is None:
            for record, slot in resident:
                if slot.is_load_imminent and self._is_current(
                    demand.name, slot, now
                ):
                    return Wait(True)
            if not may_load or not may_load_first:
                return Wait(False)
            return self._load(demand, wanted, now, float("inf")) or Wait(False)
        cost_s, _, cheapest = best
        if may_load and self._settings.spread and cost_s > MIN_SPREAD_COST_S:
            alternative = self._additional_copy(
                demand, resident, wanted, now, cost_s
            )
            if alternative is not None:
                return alternative
        return Run(cheapest.info.id)

    def _run_cost_s(
        self, record: EngineRecord, demand: PlacementDemand, now: float
    ) -> float:
        self.counts.weighed += 1
        return self._policy.run_cost_s(record, demand, now)

    def _run_anywhere(self, demand: PlacementDemand, now: float) -> Decision:
        """Decide for a request to the base model, which needs no adapter."""
        best = min(
            (
                (self._run_cost_s(record, demand, now), number, record)
                for number, record in enumerate(
                    self._engines.pool(demand.pool)
                )
                if record.can_take(demand)
            ),
            default=None,
        )
        return Wait(False) if best is None else Run(best[2].info.id)

    def _additional_copy(
        self,
        demand: PlacementDemand,
        resident: list[tuple[EngineRecord, _engine_record.Slot]],
        wanted: collections.abc.Container[_engine_record.AdapterName],
        now: float,
        cost_s: float,
    ) -> Decision | None:
        """Return a load or wait that beats *cost_s*, else None.

        The gain must be at least MIN_SPREAD_GAIN_S.

        While a load of the adapter that is not overdue is in progress, no
        further one is started.
        """
        limit_s = cost_s - MIN_SPREAD_GAIN_S
        loading = [
            (record, slot)
            for record, slot in resident
            if slot.state is State.LOADING
            and slot.is_load_imminent
            and now <= slot.ready_at + MAX_LOAD_OVERDUE_S
            and self._is_current(demand.name, slot, now)
        ]
        for record, slot in loading:
            left_s = max(0.0, slot.ready_at - now)
            run_s = self._run_cost_s(record, demand, now)
            if left_s + run_s < limit_s:
                return Wait(True)
        if loading:
            return None
        return self._load(demand, wanted, now, limit_s)

    def _load(
        self,
        demand: PlacementDemand,
        wanted: collections.abc.Container[_engine_record.AdapterName],
        now: float,
        limit_s: float,
    ) -> Load | None:
        """Return the cheapest load.

        None if no engine qualifies, the cheapest one can't start a load now,
        or its cost exceeds *limit_s*.
        """
        best: tuple[float, int, EngineRecord] | None = None
        best_slot: tuple[_engine_record.AdapterName | None] | None = None
        for number, record in enumerate(self._load_candidates(demand, now)):
            if not record.can_take(demand):
                continue
            max_cost_s = limit_s if best is None else min(limit_s, best[0])
            if self._policy.min_load_cost_s(record, demand, now) > max_cost_s:
                continue
            self.counts.weighed += 1
            cost_s = self._policy.load_cost_s(record, demand, now, True)
            if cost_s > max_cost_s:
                continue
            found = self._find_slot(record, wanted, now)
            if found is None:
                cost_s = self._policy.load_cost_s(record, demand, now, False)
            if best is None or (cost_s, number) < best[:2]:
                best, best_slot = (cost_s, number, record), found
        if best is None or best_slot is None or best[0] > limit_s:
            return None
        return Load(best[2].info.id, best_slot[0])

    def load_now(
        self,
        demand: PlacementDemand,
        records: collections.abc.Iterable[EngineRecord],
        wanted: collections.abc.Container[_engine_record.AdapterName],
        now: float,
    ) -> Load | None:
        """Return the cheapest load that can start now; None if none can.

        Args:
            records: the engines to consider, however busy they are.
        """
        possible = (
            (record, self._find_slot(record, wanted, now))
            for record in records
            if demand.name not in record.slot_by_name
            and record.can_take(demand)
        )
        best = min(
            (
                (
                    self._policy.load_cost_s(record, demand, now, True),
                    number,
                    Load(record.info.id, slot[0]),
                )
                for number, (record, slot) in enumerate(possible)
                if slot is not None
            ),
            default=None,
        )
        return None if best is None else best[2]

    def _load_candidates(
        self, demand: PlacementDemand, now: float
    ) -> collections.abc.Iterator[EngineRecord]:
        """Yield engines without the adapter that may load it.

        These are the least loaded ones and those with a copy.
        """
        least_loaded = self._least_loaded(demand, now)
        for record in least_loaded:
            if demand.name not in record.slot_by_name:
                yield record
        for record in self._engines.keepers(demand.name):
            if (
                demand.name not in record.slot_by_name
                and record not in least_loaded
            ):
                yield record

    def _least_loaded(
        self, demand: PlacementDemand, now: float
    ) -> list[EngineRecord]:
        """Return up to MAX_LOAD_CANDIDATES engines, the least loaded first.

        The order may be MAX_SORT_AGE_S old. A pool is not sorted if it has
        at most MAX_LOAD_CANDIDATES engines.
        """
        if demand.software is not None:
            return self._sorted(
                [
                    record
                    for record in self._engines.pool(demand.pool)
                    if record.info.software == demand.software
                ],
                now,
            )
        latest = self._sorted_by_pool.get(demand.pool)
        if (
            latest is not None
            and latest.revision == self._engines.revision
            and now - latest.at <= MAX_SORT_AGE_S
        ):
            return latest.records
        records = self._sorted(self._sample(demand.pool, latest), now)
        self._sorted_by_pool[demand.pool] = _Sorted(
            now, self._engines.revision, records
        )
        return records

    def _sample(
        self, pool: str, latest: _Sorted | None
    ) -> collections.abc.Sequence[EngineRecord]:
        """Return the engines of a pool to sort, at most MAX_SORTED.

        In a larger pool these are the least loaded ones of the last time and
        others in turn. Each is considered again within a few times, and the
        cost doesn't grow with the pool.
        """
        records = self._engines.pool(pool)
        if len(records) <= MAX_SORTED:
            return records
        sample = {
            record.info.id: record
            for record in (latest.records if latest is not None else ())
            if self._engines.record_by_target.get(record.info.id) is record
        }
        turn = self._turn_by_pool.get(pool, 0)
        for offset in range(MAX_SORTED - len(sample)):
            record = records[(turn + offset) % len(records)]
            sample[record.info.id] = record
        self._turn_by_pool[pool] = (turn + MAX_SORTED) % len(records)
        return list(sample.values())

    def _sorted(
        self, records: collections.abc.Sequence[EngineRecord], now: float
    ) -> list[EngineRecord]:
        """Return up to MAX_LOAD_CANDIDATES of them, sorted if there are more.

        Args:
            records: engines of a pool.
        """
        if len(records) > MAX_LOAD_CANDIDATES:
            records = sorted(
                records, key=lambda record: self._load_of(record, now)
            )
        return list(records[:MAX_LOAD_CANDIDATES])

    def _load_of(self, record: EngineRecord, now: float) -> float:
        """Return the load of an engine, infinite if it accepts no loads."""
        if not record.may_load:
            return float("inf")
        return self._policy.busy_cost_s(record, now)

    def has_room(
        self,
        record: EngineRecord,
        wanted: collections.abc.Container[_engine_record.AdapterName],
        now: float,
    ) -> bool:
        """Whether a load of a further adapter could start at an engine now."""
        return self._find_slot(record, wanted, now) is not None

    def _find_slot(
        self,
        record: EngineRecord,
        wanted: collections.abc.Container[_engine_record.AdapterName],
        now: float,
    ) -> tuple[_engine_record.AdapterName | None] | None:
        """Return the adapter that a load would evict, in a tuple.

        ``(None,)`` if a slot is free, None if no load can start now.
        """
        if (
            not record.may_load
            or record.unconfirmed_loads() >= MAX_CONCURRENT_LOADS
        ):
            return None
        if len(record.slot_by_name) < record.capacity:
            return (None,)
        idle = [
            (slot.used_at, name)
            for name, slot in record.slot_by_name.items()
            if record.is_idle(slot, now) and name not in wanted
        ]
        return (min(idle)[1],) if idle else None
