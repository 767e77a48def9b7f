"""Which target should serve an adapter."""

import abc
import collections.abc
import dataclasses

from bergamotsail import control
from bergamotsail import wire

FULL = 1.0
REPLICATE_QUEUE = 2.0
COLD_CHOICES = 3
PENDING_COST = 0.5
STICKY_S = 5.0
STICKY_KEPT = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A target and the reason for it."""

    target: control.TargetInfo
    reason: str


class Routing(abc.ABC):
    """Orders targets for an adapter version."""

    @abc.abstractmethod
    def choose(
        self,
        adapter: str,
        targets: collections.abc.Sequence[control.TargetInfo],
        prefix: int,
        now: float,
    ) -> Choice:
        """Choose among targets that may take work; there is at least one.

        Args:
            prefix: hash of the start of the prompt, a hint only.
        """


def load_of(target: control.TargetInfo) -> float:
    """Return running and queued requests for each batch slot."""
    status = target.status
    if status is None or not status.batch_slots:
        return FULL
    return (status.running + status.queued) / status.batch_slots


def is_resident(target: control.TargetInfo, adapter: str) -> bool:
    """Whether the owner confirmed the adapter on this target."""
    return target.status is not None and adapter in target.status.residents


def is_pending(target: control.TargetInfo, adapter: str) -> bool:
    """Whether requests for the adapter wait there for its load."""
    return target.status is not None and adapter in target.status.pending


def cost_of(target: control.TargetInfo) -> float:
    """Return what a load there costs: what it evicts, and the queue."""
    status = target.status
    if status is None:
        return 0.0
    waiting = len(status.pending) * PENDING_COST
    return round(status.cheapest + waiting + max(0.0, load_of(target) - 1))


class ResidencyRouting(Routing):
    """Where the adapter is resident, else where it should be loaded.

    All entries compute the same cold choice, so that requests for a cold
    adapter meet at one target and share one load. A second copy is loaded
    only when the queue for the first outlasts a load.
    """

    def __init__(self) -> None:
        self._cold_choice_by_adapter: dict[str, tuple[str, float]] = {}
        self._target_by_prefix: dict[tuple[str, int], str] = {}

    def choose(
        self,
        adapter: str,
        targets: collections.abc.Sequence[control.TargetInfo],
        prefix: int,
        now: float,
    ) -> Choice:
        residents = [t for t in targets if is_resident(t, adapter)]
        if not residents:
            return self._cold(adapter, targets, now)
        chosen = self._warm(adapter, residents, prefix)
        others = [t for t in targets if t not in residents]
        if load_of(chosen) >= REPLICATE_QUEUE and others:
            spare = min(others, key=load_of)
            if load_of(spare) < FULL:
                return Choice(spare, "second copy, first is overloaded")
        return Choice(chosen, "resident")

    def _warm(
        self,
        adapter: str,
        residents: list[control.TargetInfo],
        prefix: int,
    ) -> control.TargetInfo:
        known = self._target_by_prefix.get((adapter, prefix))
        chosen = min(
            residents,
            key=lambda t: (round(load_of(t), 1), t.id != known, t.id),
        )
        self._target_by_prefix[(adapter, prefix)] = chosen.id
        if len(self._target_by_prefix) > STICKY_KEPT:
            self._target_by_prefix.pop(next(iter(self._target_by_prefix)))
        return chosen

    def _cold(
        self,
        adapter: str,
        targets: collections.abc.Sequence[control.TargetInfo],
        now: float,
    ) -> Choice:
        by_id = {target.id: target for target in targets}
        pending = [t for t in targets if is_pending(t, adapter)]
        if pending:
            chosen = min(pending, key=lambda t: t.id)
            return Choice(chosen, "load ordered there")
        sticky, at = self._cold_choice_by_adapter.get(adapter, ("", 0.0))
        if sticky in by_id and now - at < STICKY_S:
            return Choice(by_id[sticky], "load ordered there")
        order = control.rendezvous(adapter, by_id)[:COLD_CHOICES]
        chosen = min(order, key=lambda name: cost_of(by_id[name]))
        self._cold_choice_by_adapter[adapter] = (chosen, now)
        if len(self._cold_choice_by_adapter) > STICKY_KEPT:
            oldest = next(iter(self._cold_choice_by_adapter))
            del self._cold_choice_by_adapter[oldest]
        return Choice(by_id[chosen], "cold, cheapest by hash")


class HashRouting(Routing):
    """A baseline: each adapter has one target, by hash."""

    def choose(
        self,
        adapter: str,
        targets: collections.abc.Sequence[control.TargetInfo],
        prefix: int,
        now: float,
    ) -> Choice:
        by_id = {target.id: target for target in targets}
        return Choice(by_id[control.rendezvous(adapter, by_id)[0]], "hash")


class LeastLoadedRouting(Routing):
    """A baseline: the least loaded target, whatever is resident."""

    def choose(
        self,
        adapter: str,
        targets: collections.abc.Sequence[control.TargetInfo],
        prefix: int,
        now: float,
    ) -> Choice:
        order = control.rendezvous(f"{adapter}{now}", [t.id for t in targets])
        rank = {name: position for position, name in enumerate(order)}
        chosen = min(targets, key=lambda t: (load_of(t), rank[t.id]))
        return Choice(chosen, "least loaded")


def make_routing(name: str) -> Routing:
    """Return the routing of a name.

    Raises:
        BadRequestError: there is none of this name.
    """
    kinds = {
        "residency": ResidencyRouting,
        "hash": HashRouting,
        "least_loaded": LeastLoadedRouting,
    }
    if name not in kinds:
        raise wire.BadRequestError(
            f"There is no routing {name!r}. Use one of {', '.join(kinds)}."
        )
    return kinds[name]()
