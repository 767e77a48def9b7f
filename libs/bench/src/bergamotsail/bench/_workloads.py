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
class DeploymentProfile:
    """Size and load of one of the two benchmarked deployments.

    Args:
        load_s: seconds for one load when it is the only one.
        rate: requests per second.
        client_s: one-way latency between clients and daemons, in seconds.
        stall_weight: weight of load stalls against batch efficiency in
            placement.
        skew: exponent of the Zipf distribution of adapter popularity.
        member_skew: exponent of the Zipf distribution of requests over
            members; 0 for equal members.
        budget_factor: budget of a member as a multiple of its usual
            requests; None without budgets.
        slow_factor: how much slower every third engine steps.
        prompt_characters: length of a prompt.
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
    member_skew: float = 0.0
    budget_factor: float | None = None
    slow_factor: float = 1.0
    prompt_characters: int = 8

    @property
    def weight_by_member(self) -> dict[str, float]:
        """The part of the requests that each member usually sends."""
        weights = [
            1 / (rank + 1) ** self.member_skew
            for rank in range(len(self.members))
        ]
        total = sum(weights)
        return {
            member: weight / total
            for member, weight in zip(self.members, weights)
        }

    @property
    def mean_cost(self) -> float:
        """Mean cost of a request, in tokens."""
        return self.prompt_characters / CHARACTERS_PER_TOKEN + MEAN_TOKENS


MEAN_TOKENS = 30
CHARACTERS_PER_TOKEN = 4
TAHI = DeploymentProfile(
    "tahi", ("tahi", "other"), 6, 9, 3000, 0.25, 6.0, 0.004, 1.0
)
LAKESHORE = DeploymentProfile(
    "lakeshore", ("lakeshore", "other"), 6, 6, 3000, 0.333, 3.5, 0.001, 0.0
)
# A fifth of a deployment with many members of different size, budgets, many
# small adapters and unequal engines.
TAHI_NOW = DeploymentProfile(
    "tahi-now",
    tuple(f"member-{number}" for number in range(16)),
    12,
    14,
    2000,
    0.036,
    56.0,
    0.001,
    1.0,
    engine=standins.EngineSettings(
        adapter_slots=5, batch_slots=64, step_s=0.0105
    ),
    member_skew=1.0,
    budget_factor=1.8,
    slow_factor=1.3,
    prompt_characters=9_200,
)
PROFILES = (TAHI, LAKESHORE, TAHI_NOW)

EVENTS = (
    "steady",
    "shift",
    "flood",
    "engine_restart",
    "failed_loads",
    "leaving",
    "daemon_lost",
    "daemon_stop",
    "hot_member",
)
FLOOD_RATE = 20.0
# A hot member sends this many times its usual.
HOT_FACTOR = 7.5
HOT_MEMBER = 1


def trace(
    profile: DeploymentProfile, event: str, seconds: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a workload, ordered by time."""
    rng = random.Random(f"{profile.name}/{event}/{seed}")
    arrivals = list(_zipf_arrivals(profile, event, seconds, rng))
    if event == "flood":
        arrivals += _flood_arrivals(profile, seconds, rng)
    if event == "hot_member":
        arrivals += _hot_arrivals(profile, seconds, rng)
    arrivals.sort(key=lambda arrival: arrival.at)
    return arrivals


def _zipf_arrivals(
    profile: DeploymentProfile, event: str, seconds: float, rng: random.Random
) -> collections.abc.Iterator[Arrival]:
    ranks = list(range(profile.adapters))
    rng.shuffle(ranks)
    weights = [
        1 / (rank + 1) ** profile.skew for rank in range(profile.adapters)
    ]
    at = 0.0
    has_shifted = False
    while True:
        at += rng.expovariate(profile.rate)
        if at >= seconds:
            return
        if event == "shift" and at > seconds / 2 and not has_shifted:
            rng.shuffle(ranks)
            has_shifted = True
        adapter = ranks[rng.choices(range(profile.adapters), weights)[0]]
        if profile.member_skew:
            adapter = _of_drawn_member(profile, adapter, rng)
        yield Arrival(at, adapter, _draw_tokens(rng))


def _of_drawn_member(
    profile: DeploymentProfile, adapter: int, rng: random.Random
) -> int:
    """Return the adapter of a drawn member that is as popular as *adapter*."""
    weights = list(profile.weight_by_member.values())
    member = rng.choices(range(len(weights)), weights)[0]
    return adapter // len(weights) * len(weights) + member


def _hot_arrivals(
    profile: DeploymentProfile, seconds: float, rng: random.Random
) -> collections.abc.Iterator[Arrival]:
    """Yield what a hot member sends beyond its usual.

    It is hot in the middle third of the trace.
    """
    member = profile.members[HOT_MEMBER]
    usual = profile.rate * profile.weight_by_member[member]
    extra = _member_adapters(profile, HOT_MEMBER)
    at = seconds / 3
    while at < seconds * 2 / 3:
        at += rng.expovariate(usual * (HOT_FACTOR - 1))
        yield Arrival(at, rng.choice(extra), _draw_tokens(rng))


def _member_adapters(profile: DeploymentProfile, member: int) -> range:
    """Return the adapters of a member, which are numbered in turn."""
    return range(member, profile.adapters, len(profile.members))


def _flood_arrivals(
    profile: DeploymentProfile, seconds: float, rng: random.Random
) -> collections.abc.Iterator[Arrival]:
    """Yield requests for uniformly drawn adapters of the second member.

    Most of these adapters are not resident. The flood takes the middle
    third of the trace.
    """
    at = seconds / 3
    while at < seconds * 2 / 3:
        at += rng.expovariate(FLOOD_RATE)
        adapter = rng.randrange(profile.adapters // 2) * 2 + 1
        yield Arrival(at, adapter, _draw_tokens(rng))


def _draw_tokens(rng: random.Random) -> int:
    return 1 + min(200, int(rng.expovariate(1 / MEAN_TOKENS)))


def belady_loads(
    arrivals: collections.abc.Sequence[Arrival], slots: int, warmup_end: float
) -> int:
    """Return the loads after the warm-up under Belady's optimal eviction.

    The slots of all engines are treated as one cache, and the adapter whose
    next use is furthest in the future is evicted. This is a lower bound for
    every policy that serves the requests in order.
    """
    next_uses: list[float] = [0.0] * len(arrivals)
    next_position_by_adapter: dict[int, float] = {}
    for position in range(len(arrivals) - 1, -1, -1):
        adapter = arrivals[position].adapter
        next_uses[position] = next_position_by_adapter.get(
            adapter, float("inf")
        )
        next_position_by_adapter[adapter] = position
    next_use_by_adapter: dict[int, float] = {}
    eviction_heap: list[tuple[float, int]] = []
    loads = 0
    for arrival, next_use in zip(arrivals, next_uses):
        if arrival.adapter not in next_use_by_adapter:
            loads += arrival.at >= warmup_end
            while len(next_use_by_adapter) >= slots:
                negated_use, adapter = heapq.heappop(eviction_heap)
                if next_use_by_adapter.get(adapter) == -negated_use:
                    del next_use_by_adapter[adapter]
        next_use_by_adapter[arrival.adapter] = next_use
        heapq.heappush(eviction_heap, (-next_use, arrival.adapter))
    return loads
