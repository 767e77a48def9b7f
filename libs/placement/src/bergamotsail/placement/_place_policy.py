"""Which engine a request should run at, and where to load its adapter.

Costs are seconds until the first token, so that waiting, reading a prompt
and loading an adapter can be weighed against each other.
"""

import abc
import dataclasses

import mmh3

from bergamotsail.placement import _holding

# How much a wait at a full home counts against it.
WAITING_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDemand:
    """What is known of a waiting request.

    Args:
        tokens: to be read and generated at most.
        avoid: targets that have refused or failed it.
        waited_s: how long it has waited for an engine.
        uses: how often its adapter was used lately.
        priority: 0 for the most urgent.
    """

    pool: str
    name: _holding.AdapterName
    tokens: int
    avoid: tuple[str, ...]
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    datacentre: str
    waited_s: float
    uses: float = 0.0
    priority: int = 0


class PlacePolicy(abc.ABC):
    """Weighs engines for a request."""

    @abc.abstractmethod
    def busy_cost_s(self, holding: _holding.EngineRecord, now: float) -> float:
        """Return how busy an engine is, to all requests alike."""

    @abc.abstractmethod
    def run_cost_s(
        self, holding: _holding.EngineRecord, wish: PlacementDemand, now: float
    ) -> float:
        """Return the cost of running where the adapter is resident."""

    @abc.abstractmethod
    def load_cost_s(
        self,
        holding: _holding.EngineRecord,
        wish: PlacementDemand,
        now: float,
        room: bool,
    ) -> float:
        """Return the cost of loading the adapter first; *room* is there."""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAffinityPolicy(PlacePolicy):
    """Keeps an adapter where a copy of it is already at hand.

    A load from a copy takes a tenth of the time and costs nothing, and
    shared parts of prompts are cached there. So a request rather waits a
    little for a slot at home than is fetched to another engine.

    Args:
        copy_load_s: a load from a copy, with the orders around it.
        store_load_s: a load from the store.
        store_price_s: what a fetch from the store is worth in waiting.
        no_room_s: how long a slot takes to come free, about.
        other_datacentre_s: penalty for bytes between data centres.
        fault_s: penalty for each recent failure.
        home_rank_s: penalty for each engine that hashing prefers.
    """

    copy_load_s: float = 0.04
    store_load_s: float = 0.28
    store_price_s: float = 0.45
    no_room_s: float = 0.2
    other_datacentre_s: float = 0.01
    fault_s: float = 0.3
    home_rank_s: float = 0.01

    def busy_cost_s(self, holding: _holding.EngineRecord, now: float) -> float:
        backlog_s = holding.reading.backlog_s(now)
        return backlog_s + self.fault_s * holding.faults(now)

    def run_cost_s(
        self, holding: _holding.EngineRecord, wish: PlacementDemand, now: float
    ) -> float:
        tokens = holding.new_tokens(wish.name, wish.parts, wish.prompt_tokens)
        far = holding.info.datacentre != wish.datacentre
        return (
            holding.reading.backlog_s(now, wish.priority)
            + self.fault_s * holding.faults(now)
            + holding.reading.pace(now).read_s(tokens)
            + (self.other_datacentre_s if far else 0.0)
        )

    def load_cost_s(
        self,
        holding: _holding.EngineRecord,
        wish: PlacementDemand,
        now: float,
        room: bool,
    ) -> float:
        cost_s = self.run_cost_s(holding, wish, now)
        if holding.has_copy(wish.name):
            cost_s += self.copy_load_s
        else:
            # A fetch serves all who will use the copy.
            price_s = self.store_price_s / (1.0 + wish.uses)
            price_s = max(0.0, price_s - wish.waited_s)
            cost_s += self.store_load_s + price_s
            cost_s += self.home_rank_s * _rank(holding.info.id, wish.name)
        if room:
            return cost_s
        # Who has waited long for room at home goes elsewhere.
        waited_s = wish.waited_s * WAITING_WEIGHT
        return cost_s + self.no_room_s + waited_s


def _rank(target: str, name: _holding.AdapterName) -> float:
    """Return where hashing ranks a target for an adapter, 0 to 10."""
    text = f"{name[0]}/{name[1]}@{target}"
    return (mmh3.hash(text, signed=False) % 1000) / 100
