"""Seeded request traces, and a lower bound on the loads they need."""

import collections.abc
import dataclasses
import heapq
import random

from bergamotsail import standins


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a trace.

    Args:
        at: seconds since the start of the trace.
        adapter: number of the adapter.
        tokens: tokens to generate.
    """

    at: float
    adapter: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and load of one of the two benchmarked deployments.

    Args:
        load_s: seconds for one load when it is the only one.
        rate: requests per second.
        client_s: one-way latency between clients and daemons, in seconds.
        stall_weight: weight of load stalls against batch efficiency in
            placement.
        skew: exponent of the Zipf distribution of adapter popularity.
    """

    name: str
    members: tuple[str, ...]
    daemons: int
    engines: int
    adapters: int
    load_s: float
    rate: float
    client_s: float
    stall_weight: float
    skew: float = 1.1
    engine: standins.EngineSettings = standins.EngineSettings(
        adapter_slots=8, batch_slots=16, step_s=0.012
    )


TAHI = Shape("tahi", ("tahi", "other"), 6, 9, 3000, 0.25, 6.0, 0.004, 1.0)
LAKESHORE = Shape(
    "lakeshore", ("lakeshore", "other"), 6, 6, 3000, 0.333, 3.5, 0.001, 0.0
)
SHAPES = (TAHI, LAKESHORE)

EVENTS = (
    "steady",
    "shift",
    "flood",
    "engine_restart",
    "failed_loads",
    "leaving",
    "daemon_lost",
    "daemon_stop",
)
MEAN_TOKENS = 30
FLOOD_RATE = 20.0


def trace(
    shape: Shape, event: str, seconds: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a workload, ordered by time."""
    rng = random.Random(f"{shape.name}/{event}/{seed}")
    arrivals = list(_skewed(shape, event, seconds, rng))
    if event == "flood":
        arrivals += _flood(shape, seconds, rng)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _skewed(
    shape: Shape, event: str, seconds: float, rng: random.Random
) -> collections.abc.Iterator[Arrival]:
    ranks = list(range(shape.adapters))
    rng.shuffle(ranks)
    weights = [1 / (rank + 1) ** shape.skew for rank in range(shape.adapters)]
    at = 0.0
    shifted = False
    while True:
        at += rng.expovariate(shape.rate)
        if at >= seconds:
            return
        if event == "shift" and at > seconds / 2 and not shifted:
            rng.shuffle(ranks)
            shifted = True
        adapter = ranks[rng.choices(range(shape.adapters), weights)[0]]
        yield Arrival(at, adapter, _tokens(rng))


def _flood(
    shape: Shape, seconds: float, rng: random.Random
) -> collections.abc.Iterator[Arrival]:
    """Yield requests for uniformly drawn adapters of the second member.

    Most of these adapters are not resident. The flood takes the middle
    third of the trace.
    """
    at = seconds / 3
    while at < seconds * 2 / 3:
        at += rng.expovariate(FLOOD_RATE)
        adapter = rng.randrange(shape.adapters // 2) * 2 + 1
        yield Arrival(at, adapter, _tokens(rng))


def _tokens(rng: random.Random) -> int:
    return 1 + min(200, int(rng.expovariate(1 / MEAN_TOKENS)))


def fewest_loads(
    arrivals: collections.abc.Sequence[Arrival], slots: int, warm_until: float
) -> int:
    """Return the loads of Belady's optimal eviction after the warm-up.

    The slots of all engines are treated as one cache, and the adapter whose
    next use is furthest in the future is evicted. This is a lower bound for
    every policy that serves the requests in order.
    """
    later: list[float] = [0.0] * len(arrivals)
    next_at: dict[int, float] = {}
    for position in range(len(arrivals) - 1, -1, -1):
        adapter = arrivals[position].adapter
        later[position] = next_at.get(adapter, float("inf"))
        next_at[adapter] = position
    held: dict[int, float] = {}
    latest: list[tuple[float, int]] = []
    loads = 0
    for arrival, following in zip(arrivals, later):
        if arrival.adapter not in held:
            loads += arrival.at >= warm_until
            while len(held) >= slots:
                use, adapter = heapq.heappop(latest)
                if held.get(adapter) == -use:
                    del held[adapter]
        held[arrival.adapter] = following
        heapq.heappush(latest, (-following, arrival.adapter))
    return loads
