"""Where a request runs, what is loaded for it, what makes room.

Decisions only: they read what is believed of the engines and say what to
do. Nothing here waits, sends or asks a clock, so every load can be played
against it without a network.
"""

import collections.abc
import dataclasses

from bergamotsail.placement import _holding
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _place_settings

State = _holding.SlotState

# What an engine takes in at once; ordered beyond, it refuses (the users'
# protocol).
MOST_IN_TRANSIT = 4
# A queue shorter than this is no reason for a further copy: it is twice what
# a load from a copy takes, with the orders around it (0.05 s, p50).
SPREAD_COST_S = 0.1
# A further copy must be better by so much; beliefs are no finer than this.
SPREAD_GAIN_S = 0.03
# A load that is later than expected by so much is not waited for where the
# adapter is resident elsewhere.
LOAD_LATE_S = 0.3
# Engines that are weighed for a load, beside those with a copy. With more,
# a decision costs time in proportion and gains nothing: the least loaded
# are alike.
MAX_LOAD_CANDIDATES = 10
# The order of engines by load is that old at most.
ORDER_AGE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run there now."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load the adapter there, after *victim* left."""

    target: str
    victim: _holding.AdapterName | None


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait: for a load on its way, or for room.

    Args:
        coming: whether a load of the adapter is on its way.
    """

    coming: bool


Decision = Run | Load | Wait
PlacementDemand = _place_policy.PlacementDemand
EngineRecord = _holding.EngineRecord


class Decider:
    """Decides for one request at a time.

    Args:
        holding_by_target: all engines, as they are believed to be.
        is_current: whether requests may begin on what a slot holds, as far
            as versions go.
    """

    def __init__(
        self,
        holding_by_target: collections.abc.Mapping[str, EngineRecord],
        policy: _place_policy.PlacePolicy,
        settings: _place_settings.PlaceSettings,
        is_current: collections.abc.Callable[
            [_holding.AdapterName, _holding.Slot, float], bool
        ],
    ) -> None:
        self._holding_by_target = holding_by_target
        self._policy = policy
        self._settings = settings
        self._is_current = is_current
        self._order_by_pool: dict[str, tuple[float, list[EngineRecord]]] = {}

    def decide(
        self,
        wish: PlacementDemand,
        wanted: collections.abc.Container[_holding.AdapterName],
        now: float,
        may_load: bool = True,
    ) -> Decision:
        """Return what to do for a request.

        Args:
            wanted: adapters that others wait for, which stay.
            may_load: whether orders may be given at this moment.
        """
        if not wish.name[1]:
            return self._run_anywhere(wish, now)
        resident = [
            (holding, slot)
            for holding in self._holding_by_target.values()
            if (slot := holding.slot_by_name.get(wish.name)) is not None
            and holding.can_take(wish)
        ]
        best = min(
            (
                (self._policy.run_cost_s(holding, wish, now), number, holding)
                for number, (holding, slot) in enumerate(resident)
                if slot.state is State.READY
                and self._is_current(wish.name, slot, now)
            ),
            default=None,
        )
        if best is None:
            if any(s.state is not State.READY for _, s in resident):
                return Wait(True)
            if not may_load:
                return Wait(False)
            return self._load(wish, wanted, now, float("inf")) or Wait(False)
        cost_s, _, there = best
        if may_load and self._settings.spread and cost_s > SPREAD_COST_S:
            further = self._further_copy(wish, resident, wanted, now, cost_s)
            if further is not None:
                return further
        return Run(there.info.id)

    def _run_anywhere(self, wish: PlacementDemand, now: float) -> Decision:
        """Run the base model itself, which all engines hold."""
        best = min(
            (
                (self._policy.run_cost_s(holding, wish, now), number, holding)
                for number, holding in enumerate(self._ordered(wish, now))
                if holding.can_take(wish)
            ),
            default=None,
        )
        return Wait(False) if best is None else Run(best[2].info.id)

    def _further_copy(
        self,
        wish: PlacementDemand,
        resident: list[tuple[EngineRecord, _holding.Slot]],
        wanted: collections.abc.Container[_holding.AdapterName],
        now: float,
        cost_s: float,
    ) -> Decision | None:
        """Return how a further copy answers sooner, None if none does."""
        limit_s = cost_s - SPREAD_GAIN_S
        loading = [
            (holding, slot)
            for holding, slot in resident
            if slot.state is State.LOADING
            and now <= slot.ready_at + LOAD_LATE_S
        ]
        for holding, slot in loading:
            left_s = max(0.0, slot.ready_at - now)
            there_s = self._policy.run_cost_s(holding, wish, now)
            if left_s + there_s < limit_s:
                return Wait(True)
        if loading:
            return None
        return self._load(wish, wanted, now, limit_s)

    def _load(
        self,
        wish: PlacementDemand,
        wanted: collections.abc.Container[_holding.AdapterName],
        now: float,
        limit_s: float,
    ) -> Load | None:
        """Return where a load is cheapest, None if that is no use now."""
        best: tuple[float, int, EngineRecord] | None = None
        best_room: tuple[_holding.AdapterName | None] | None = None
        for number, holding in enumerate(self._weighed(wish, now)):
            if wish.name in holding.slot_by_name or not holding.can_take(wish):
                continue
            room = self._room(holding, wanted, now)
            cost_s = self._policy.load_cost_s(
                holding, wish, now, room is not None
            )
            if best is None or (cost_s, number) < best[:2]:
                best, best_room = (cost_s, number, holding), room
        if best is None or best_room is None or best[0] > limit_s:
            return None
        return Load(best[2].info.id, best_room[0])

    def _weighed(
        self, wish: PlacementDemand, now: float
    ) -> collections.abc.Iterator[EngineRecord]:
        """Yield the engines that are worth weighing for a load."""
        ordered = self._ordered(wish, now)
        near = ordered[:MAX_LOAD_CANDIDATES]
        yield from near
        for holding in ordered[MAX_LOAD_CANDIDATES:]:
            if holding.has_copy(wish.name):
                yield holding

    def _ordered(
        self, wish: PlacementDemand, now: float
    ) -> list[EngineRecord]:
        """Return a pool's engines, the least loaded first, or nearly."""
        at, ordered = self._order_by_pool.get(wish.pool, (0.0, []))
        there = self._holding_by_target
        if ordered and now - at <= ORDER_AGE_S:
            if all(there.get(h.info.id) is h for h in ordered):
                return ordered
        ordered = [
            holding
            for holding in self._holding_by_target.values()
            if holding.info.pool == wish.pool
        ]
        if len(ordered) > MAX_LOAD_CANDIDATES:
            ordered.sort(key=lambda holding: self._load_of(holding, now))
        self._order_by_pool[wish.pool] = (now, ordered)
        return ordered

    def _load_of(self, holding: EngineRecord, now: float) -> float:
        """Return how loaded an engine is; what takes nothing comes last."""
        if not holding.may_load:
            return float("inf")
        return self._policy.busy_cost_s(holding, now)

    def _room(
        self,
        holding: EngineRecord,
        wanted: collections.abc.Container[_holding.AdapterName],
        now: float,
    ) -> tuple[_holding.AdapterName | None] | None:
        """Return whom a load would replace, or None for no room."""
        if not holding.may_load or holding.in_transit() >= MOST_IN_TRANSIT:
            return None
        if len(holding.slot_by_name) < holding.capacity:
            return (None,)
        idle = [
            (slot.used_at, name)
            for name, slot in holding.slot_by_name.items()
            if holding.is_idle(slot, now) and name not in wanted
        ]
        return (min(idle)[1],) if idle else None
