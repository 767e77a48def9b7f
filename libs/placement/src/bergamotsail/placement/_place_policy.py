"""Cost functions that rank engines for running a request or loading for it.

All costs are in seconds until the first token, so that queueing, prefill and
adapter loads are comparable.
"""

import abc
import dataclasses

import mmh3

from bergamotsail.placement import _engine_record

# Factor by which the time already waited raises the cost of a full engine.
WAITING_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDemand:
    """The requirements of a request to be placed.

    Args:
        tokens: prompt tokens plus the maximum of generated tokens.
        avoid: targets that have refused or failed the request.
        parts: prefixes of the prompt with their token counts, in order.
        waited_s: how long the request has waited for an engine.
        uses: decayed count of recent uses of its adapter.
        priority: 0 is the most urgent.
        software: version that the engine's software must have, None for any.
    """

    pool: str
    name: _engine_record.AdapterName
    tokens: int
    avoid: tuple[str, ...]
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    datacentre: str
    waited_s: float
    uses: float = 0.0
    priority: int = 0
    software: str | None = None


class PlacePolicy(abc.ABC):
    """Computes the cost of serving a request on an engine."""

    @abc.abstractmethod
    def busy_cost_s(
        self, record: _engine_record.EngineRecord, now: float
    ) -> float:
        """Return the load of an engine, independent of any request."""

    @abc.abstractmethod
    def run_cost_s(
        self,
        record: _engine_record.EngineRecord,
        demand: PlacementDemand,
        now: float,
    ) -> float:
        """Return the cost of running on an engine that holds the adapter."""

    @abc.abstractmethod
    def load_cost_s(
        self,
        record: _engine_record.EngineRecord,
        demand: PlacementDemand,
        now: float,
        can_start: bool,
    ) -> float:
        """Return the cost of loading the adapter there and then running.

        Args:
            can_start: whether the load can start now; the cost is not lower
                if it can't.
        """

    @abc.abstractmethod
    def min_load_cost_s(
        self,
        record: _engine_record.EngineRecord,
        demand: PlacementDemand,
        now: float,
    ) -> float:
        """Return a lower bound of load_cost_s that is cheaper to compute."""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAffinityPolicy(PlacePolicy):
    """Prefers engines that keep a local copy of the adapter.

    A load from a local copy takes a tenth of the time of a fetch from the
    store and costs nothing, and shared prompt prefixes are cached there. So a
    short wait for a slot on such an engine is cheaper than a fetch to another
    one.

    Args:
        copy_load_s: duration of a load from a local copy, including the
            round trips of its orders.
        store_load_s: duration of a load from the store.
        store_price_s: cost of a fetch from the store, as seconds of waiting.
        slot_wait_s: approximate time until a slot becomes free.
        other_datacentre_s: penalty for traffic between data centres.
        fault_s: penalty for each recent failure.
        hash_rank_s: penalty for each rank in the hash order of engines.
    """

    copy_load_s: float = 0.04
    store_load_s: float = 0.28
    store_price_s: float = 0.45
    slot_wait_s: float = 0.2
    other_datacentre_s: float = 0.01
    fault_s: float = 0.3
    hash_rank_s: float = 0.01

    def busy_cost_s(
        self, record: _engine_record.EngineRecord, now: float
    ) -> float:
        backlog_s = record.reading.backlog_s(now)
        return backlog_s + self.fault_s * record.faults(now)

    def run_cost_s(
        self,
        record: _engine_record.EngineRecord,
        demand: PlacementDemand,
        now: float,
    ) -> float:
        tokens = record.new_tokens(
            demand.name, demand.parts, demand.prompt_tokens
        )
        far = record.info.datacentre != demand.datacentre
        return (
            record.reading.backlog_s(now, demand.priority)
            + self.fault_s * record.faults(now)
            + record.reading.pace(now).prefill_s(tokens)
            + (self.other_datacentre_s if far else 0.0)
        )

    def load_cost_s(
        self,
        record: _engine_record.EngineRecord,
        demand: PlacementDemand,
        now: float,
        can_start: bool,
    ) -> float:
        cost_s = self.run_cost_s(record, demand, now)
        if record.has_copy(demand.name):
            cost_s += self.copy_load_s
        else:
            # The cost of a fetch is shared by the requests that use it.
            price_s = self.store_price_s / (1.0 + demand.uses)
            price_s = max(0.0, price_s - demand.waited_s)
            cost_s += self.store_load_s + price_s
            cost_s += self.hash_rank_s * _rank(record.info.id, demand.name)
        if can_start:
            return cost_s
        # The longer a request has waited, the more a full engine costs, so
        # that it is eventually loaded elsewhere.
        waited_s = demand.waited_s * WAITING_WEIGHT
        return cost_s + self.slot_wait_s + waited_s

    def min_load_cost_s(
        self,
        record: _engine_record.EngineRecord,
        demand: PlacementDemand,
        now: float,
    ) -> float:
        has_copy = record.has_copy(demand.name)
        load_s = self.copy_load_s if has_copy else self.store_load_s
        return load_s + record.reading.backlog_s(now, demand.priority)


def _rank(target: str, name: _engine_record.AdapterName) -> float:
    """Return the hash rank of a target for an adapter, from 0 up to 10."""
    text = f"{name[0]}/{name[1]}@{target}"
    return (mmh3.hash(text, signed=False) % 1000) / 100
