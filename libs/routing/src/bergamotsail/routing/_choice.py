"""Routing policies: the choice of the target that serves an adapter."""

import abc
import collections.abc
import dataclasses

from bergamotsail import control
from bergamotsail import wire

FULL_LOAD = 1.0
REPLICATE_LOAD = 2.0
COLD_CANDIDATES = 3
PENDING_COST = 0.5
COLD_CHOICE_KEPT_S = 5.0
MAX_REMEMBERED_CHOICES = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The chosen target and the reason, for the log."""

    target: control.TargetInfo
    reason: str


class Routing(abc.ABC):
    """Policy that chooses a target for an adapter version."""

    @abc.abstractmethod
    def choose(
        self,
        adapter: str,
        targets: collections.abc.Sequence[control.TargetInfo],
        prefix: int,
        now: float,
    ) -> Choice:
        """Choose one of the targets that accept work.

        Args:
            targets: at least one.
            prefix: hash of the start of the prompt, a hint only.
            now: the time on a monotonic clock.
        """


def load_of(target: control.TargetInfo) -> float:
    """Return the running and queued requests per batch slot."""
    status = target.status
    if status is None or not status.batch_slots:
        return FULL_LOAD
    return (status.running + status.queued) / status.batch_slots


def is_resident(target: control.TargetInfo, adapter: str) -> bool:
    """Whether the owner has confirmed the adapter on this target."""
    return target.status is not None and adapter in target.status.residents


def is_pending(target: control.TargetInfo, adapter: str) -> bool:
    """Whether requests wait for the adapter to be loaded on this target."""
    return target.status is not None and adapter in target.status.pending


def cost_of(target: control.TargetInfo) -> float:
    """Return the cost of loading an adapter on this target.

    It covers the eviction, the loads already pending and the queue.
    """
    status = target.status
    if status is None:
        return 0.0
    waiting = len(status.pending) * PENDING_COST
    return round(status.cheapest + waiting + max(0.0, load_of(target) - 1))


class ResidencyRouting(Routing):
    """Prefers targets where the adapter is resident.

    All daemons compute the same choice for a cold adapter, so that its
    requests reach one target and the adapter is loaded once. A second copy
    is loaded only if waiting for the first takes longer than loading: its
    target has reached REPLICATE_LOAD, and another target has free slots.
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
            return self._choose_cold(adapter, targets, now)
        chosen = self._choose_resident(adapter, residents, prefix)
        others = [t for t in targets if t not in residents]
        if load_of(chosen) >= REPLICATE_LOAD and others:
            spare = min(others, key=load_of)
            if load_of(spare) < FULL_LOAD:
                return Choice(spare, "second copy, the first is overloaded")
        return Choice(chosen, "resident")

    def _choose_resident(
        self,
        adapter: str,
        residents: list[control.TargetInfo],
        prefix: int,
    ) -> control.TargetInfo:
        previous = self._target_by_prefix.get((adapter, prefix))
        chosen = min(
            residents,
            key=lambda t: (round(load_of(t), 1), t.id != previous, t.id),
        )
        self._target_by_prefix[(adapter, prefix)] = chosen.id
        if len(self._target_by_prefix) > MAX_REMEMBERED_CHOICES:
            self._target_by_prefix.pop(next(iter(self._target_by_prefix)))
        return chosen

    def _choose_cold(
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
        recent, at = self._cold_choice_by_adapter.get(adapter, ("", 0.0))
        if recent in by_id and now - at < COLD_CHOICE_KEPT_S:
            return Choice(by_id[recent], "load ordered there")
        candidates = control.rendezvous(adapter, by_id)[:COLD_CANDIDATES]
        chosen = min(candidates, key=lambda name: cost_of(by_id[name]))
        self._cold_choice_by_adapter[adapter] = (chosen, now)
        if len(self._cold_choice_by_adapter) > MAX_REMEMBERED_CHOICES:
            oldest = next(iter(self._cold_choice_by_adapter))
            del self._cold_choice_by_adapter[oldest]
        return Choice(by_id[chosen], "cold, cheapest by hash")


class HashRouting(Routing):
    """Baseline policy: each adapter has one target, chosen by hash."""

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
    """Baseline policy: the least loaded target, regardless of residency."""

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
    """Return a new routing policy by name.

    Raises:
        BadRequestError: there is no policy of this name.
    """
    kinds = {
        "residency": ResidencyRouting,
        "hash": HashRouting,
        "least_loaded": LeastLoadedRouting,
    }
    if name not in kinds:
        raise wire.BadRequestError(
            f"Unknown routing policy {name!r}. Use one of "
            f"{', '.join(kinds)}."
        )
    return kinds[name]()
