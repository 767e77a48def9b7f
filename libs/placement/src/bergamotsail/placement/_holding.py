"""What one engine holds, as the holder of its orders knows it."""

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

KEPT_PREFIXES = 400
# Engines are believed to keep copies of so many adapters for each slot. On
# engines of 9 slots 24 of 217 loads that were believed to come from a copy
# took as long as from the store with 64 copies believed, and 1 of 101 with
# these 54 (one run each); on engines of 6 slots 36 were found before.
COPIES_BY_SLOT = 6
FAULT_HALF_LIFE_S = 4.0
# Part of an engine's memory that requests are placed into. Blocks that are
# not full take the rest.
MEMORY_SHARE = 0.97

AdapterName = tuple[str, str]


class SlotState(enum.StrEnum):
    """Where an adapter slot stands."""

    LOADING = "loading"
    READY = "ready"
    DOUBTFUL = "doubtful"


@dataclasses.dataclass(slots=True)
class Slot:
    """An adapter slot of an engine.

    Args:
        version: None when the engine was not told one.
        uses: requests that run on it.
        used_at: when it was last granted or released.
        ready_at: when its load is expected to be done.
        reported: found in a report rather than loaded by this holder, so
            that requests may run on it that this holder has not granted.
    """

    version: int | None
    state: SlotState
    uses: int = 0
    used_at: float = 0.0
    ready_at: float = 0.0
    reported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request that may run at an engine."""

    boot: str
    request: str
    name: AdapterName
    tokens: int
    granted_at: float


class EngineRecord:
    """The ledger of one incarnation of an engine.

    Accepted orders are the truth; a report, which lags, only confirms or
    settles what an order without an answer left open.

    Args:
        spec: what engines of its pool can hold and run.
        told_by: when daemons have told of what they ran here before this
            ledger was begun.
        pool_pace: what is believed of the pool's engines together.
    """

    def __init__(
        self,
        info: targets.Instance,
        spec: catalogue.EngineSpec,
        told_by: float = 0.0,
        pool_pace: _pace.PoolPace | None = None,
    ) -> None:
        self.info = info
        self.capacity = capacity_of(spec)
        self._most_copies = min(
            COPIES_BY_SLOT * max(self.capacity, 1),
            catalogue.MAX_COPIES_PER_ENGINE,
        )
        self._spec = spec
        self._most_tokens = spec.memory_tokens * MEMORY_SHARE
        self._told_by = told_by
        self._pool_pace = pool_pace or _pace.PoolPace()
        self.leaving = False
        self.begin_anew()

    def begin_anew(self) -> None:
        """Forget all that was believed of an engine that started anew."""
        self.known = False
        self.fenced = False
        self.sequence = 0
        self.models: set[str] = set()
        self.slot_by_name: dict[AdapterName, Slot] = {}
        self.grant_by_request: dict[tuple[str, str], Grant] = {}
        self.tokens = 0
        self.reading = _pace.Reading(self._pool_pace)
        self._copies: collections.OrderedDict[AdapterName, None] = (
            collections.OrderedDict()
        )
        self.new_copies: dict[AdapterName, None] = {}
        self._prefixes: collections.OrderedDict[
            tuple[AdapterName, str], None
        ] = collections.OrderedDict()
        self._faults = _counter.DecayingCounter(FAULT_HALF_LIFE_S)

    @property
    def may_load(self) -> bool:
        """Whether the ledger is known and orders are allowed."""
        return self.known and not self.leaving and not self.fenced

    def can_take(self, wish: "_place_policy.PlacementDemand") -> bool:
        """Whether a request may run here and fits beside the others."""
        return (
            not self.leaving
            and self.tokens + wish.tokens <= self._most_tokens
            and len(self.grant_by_request) < self._spec.slots
            and self.info.pool == wish.pool
            and wish.name[0] in self.models
            and self.info.id not in wish.avoid
        )

    @property
    def running(self) -> int:
        """Requests granted and not yet released."""
        return len(self.grant_by_request)

    def in_transit(self) -> int:
        """How many adapters are on their way to it."""
        return sum(
            slot.state is not SlotState.READY
            for slot in self.slot_by_name.values()
        )

    def summary(self, now: float) -> str:
        """Return its state in a few figures, for the log."""
        slots = self.slot_by_name.values()
        return (
            f"running={self.running} tokens={self.tokens}"
            f" used={sum(slot.uses > 0 for slot in slots)}"
            f" slots={len(slots)} in_transit={self.in_transit()}"
            f" known={int(self.known)} leaving={int(self.leaving)}"
            f" faults={self.faults(now):.1f}"
            f" backlog_s={self.reading.backlog_s(now):.2f}"
            f" read_per_s={self.reading.pace(now).tokens_per_s:.0f}"
        )

    def take_report(self, report: targets.AdapterReport, now: float) -> None:
        """Start from a report that shows all accepted orders."""
        self.sequence = report.sequence
        self.models = set(report.models)
        found: dict[AdapterName, Slot] = {}
        for held in report.adapters:
            name = (held.model, held.adapter)
            slot = Slot(
                held.version, SlotState.READY, used_at=now, reported=True
            )
            found[name] = slot
            self.remember_copy(name)
        for held in report.pending:
            name = (held.model, held.adapter)
            found[name] = Slot(held.version, SlotState.DOUBTFUL)
        for grant in self.grant_by_request.values():
            if grant.name in found:
                found[grant.name].uses += 1
        self.slot_by_name = found
        self.known = True

    def shows_new_start(self, report: targets.AdapterReport) -> bool:
        """Whether a report shows that the engine started anew.

        For engines that don't tell when they started: fewer orders were
        accepted than the ledger counts, and nothing of what it holds as
        ready is there. The count alone may be off by an order whose answer
        was lost.
        """
        if report.sequence >= self.sequence:
            return False
        there = {(held.model, held.adapter) for held in report.adapters}
        return not any(
            slot.state is SlotState.READY and name in there
            for name, slot in self.slot_by_name.items()
        )

    def is_idle(self, slot: Slot, now: float) -> bool:
        """Whether surely no request runs on a slot."""
        if slot.state is not SlotState.READY or slot.uses > 0:
            return False
        return not (slot.reported and self.awaits_word(now))

    def awaits_word(self, now: float) -> bool:
        """Whether daemons may run more here than they have told of."""
        return now < self._told_by

    def compare_runs(self, runs: int, granted_before: float) -> None:
        """Take an engine's own count of runs, which lags.

        When it counts no more than the grants that it can have seen, then
        nothing runs that daemons have yet to tell of.
        """
        known = sum(
            grant.granted_at <= granted_before
            for grant in self.grant_by_request.values()
        )
        if runs <= known:
            self._told_by = 0.0

    def remember_copy(self, name: AdapterName) -> None:
        """Note that the engine keeps a copy of an adapter at hand."""
        if name not in self._copies:
            self.new_copies[name] = None
        self._copies[name] = None
        self._copies.move_to_end(name)
        while len(self._copies) > self._most_copies:
            self._copies.popitem(last=False)

    def recall_copies(self, names: collections.abc.Iterable[str]) -> None:
        """Take what an earlier holder of the orders remembered."""
        for text in names:
            model, _, adapter = text.partition("/")
            self.remember_copy((model, adapter))
        self.new_copies.clear()

    def has_copy(self, name: AdapterName) -> bool:
        """Whether a load of an adapter here is quick and free."""
        return name in self._copies

    def new_tokens(
        self, name: AdapterName, parts: tuple[tuple[str, int], ...], total: int
    ) -> int:
        """Return how many prompt tokens are not cached here."""
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
        """Count a request in; return how many tokens it has to read."""
        fresh = self.new_tokens(grant.name, parts, prompt_tokens)
        key = (grant.boot, grant.request)
        self.reading.add(key, fresh, priority, grant.granted_at)
        for part, _ in parts:
            kept = (grant.name, part)
            self._prefixes[kept] = None
            self._prefixes.move_to_end(kept)
        while len(self._prefixes) > KEPT_PREFIXES:
            self._prefixes.popitem(last=False)
        self.restore(grant)
        return fresh

    def restore(self, grant: Grant) -> None:
        """Count a request in that a daemon says is running.

        One that is counted already runs only once: asked for again after a
        lost reply, it would keep its slot in use and its memory taken.
        """
        self._count_out(grant.boot, grant.request, grant.granted_at)
        self.grant_by_request[(grant.boot, grant.request)] = grant
        self.tokens += grant.tokens
        slot = self.slot_by_name.get(grant.name)
        if slot is not None:
            slot.uses += 1
            slot.used_at = grant.granted_at

    def release(self, boot: str, request: str, now: float) -> Grant | None:
        """Count a request out."""
        self.reading.drop((boot, request))
        return self._count_out(boot, request, now)

    def _count_out(self, boot: str, request: str, now: float) -> Grant | None:
        grant = self.grant_by_request.pop((boot, request), None)
        if grant is None:
            return None
        self.tokens -= grant.tokens
        slot = self.slot_by_name.get(grant.name)
        if slot is not None:
            slot.uses = max(0, slot.uses - 1)
            slot.used_at = now
        return grant

    def add_fault(self, now: float, weight: float = 1.0) -> None:
        """Note that the engine failed a request."""
        self._faults.add(self.info.id, now, weight)

    def faults(self, now: float) -> float:
        """Return recent failures, fading with time."""
        return self._faults.value(self.info.id, now)


def capacity_of(spec: catalogue.EngineSpec) -> int:
    """Return how many adapters fit beside the largest base model."""
    capacity = spec.adapter_slots
    for model in spec.models:
        if model.adapter_mb > 0:
            left_mb = spec.weights_mb - model.size_mb
            capacity = min(capacity, int(left_mb / model.adapter_mb))
    return max(capacity, 0)
