"""Tests of large deployments: up to 191 entries and 78 engines.

They run in virtual time. Replicas, sessions and placement clients are real,
with their real time-outs and pauses, but processor time is not simulated.
Engines are the fake engines of ledger.py. An entry is a daemon that accepts
requests.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _coordinator
from bergamotsail import placement
from bergamotsail.placement import _decisions
from bergamotsail.placement import _placer
from bergamotsail.placement import _reserved_loads
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import growth
from features.support import ledger

LEASE = control.LeaseTiming(2.0, 0.3, call_s=0.6, listed_s=1.3)
ADAPTERS = 2_000
# Exponent of the Zipf distribution of requests over adapters.
ZIPF_EXPONENT = 1.2
OBJECTIVE_S = 1.0
PATIENCE_S = 3.0
HOPE_S = 1.5
# A later placement leaves too little of OBJECTIVE_S.
MAX_WAIT_S = 0.5
DECISIONS_PER_REQUEST = 3
# Adapters that are asked for this often, over this time, are to be served,
# but for one and a tenth of them.
ASKED_TIMES = 4
ASKED_FOR_S = 8.0
ASKED_S = 20.0
# Least part of all requests that are placed in time meanwhile.
LEAST_IN_TIME = 0.37
RUN_S = 0.9
SETTLE_S = 8.0
TRAFFIC_S = 2.0
POOL = ledger.POOL
# Faults of replicas for random series.
FAULTS = ("kill", "power", "cut", "leader_kill", "leader_power", "calm")


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of a deployment and its rate of requests."""

    entries: int
    engines: int
    requests_per_s: float
    slots: int = 6


SMALL = Size(6, 9, 20.0)
BUSY = Size(24, 15, 90.0, 5)
FULL = Size(6, 9, 110.0, 2)
WIDE = Size(12, 20, 250.0, 2)
LARGE = Size(191, 78, 176.0)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """The outcome of a request.

    Args:
        arrived_at_s: when it arrived.
        waited_s: how long it waited for a placement.
        ended: "placed", "absent" or the code of an error.
    """

    arrived_at_s: float
    waited_s: float
    ended: str
    adapter: str = ""

    @property
    def placed_in_time(self) -> bool:
        """Whether the request was placed in time."""
        return self.ended == "placed" and self.waited_s <= MAX_WAIT_S


class _EngineList(targets.InstanceList):
    """An instance list of all engines that is always up to date."""

    def __init__(self, instances: tuple[targets.Instance, ...]) -> None:
        self._instances = instances

    async def read(self) -> tuple[targets.Instance, ...]:
        return self._instances


class _Entry(control.PassiveParticipant):
    """The session and the placement client of one entry."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.address = f"10.1.{number // 250}.{number % 250}:7000"
        datacentre = "abcde"[number % 5]
        server = wire.PeerServer()
        fleet.network.join(self.address, server)
        transport = standins.MemoryTransport(fleet.network, self.address)
        info = control.DaemonInfo(
            self.address,
            f"{self.address}#1",
            self.address,
            datacentre,
            peer_address=self.address,
        )
        leader = control.LeaderClient(transport, fleet.addresses[:3])
        self.session = control.Session(info, leader, transport, LEASE)
        relay = control.Relay(self.session, transport)
        relay.serve(
            server, control.HEARTBEAT, placement.PLACE, placement.RELEASE
        )
        survey = routing.Survey(fleet.read_report, fleet.rng)
        self.placements = routing.PlacementClient(
            self.session, transport, wire.LoopClock(), survey
        )
        self.session.attach(self)
        self.datacentre = datacentre

    def uses(self) -> tuple[control.Use, ...]:
        return self.placements.uses()

    async def __aenter__(self) -> "_Entry":
        await self.placements.__aenter__()
        await self.session.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.__aexit__()
        await self.placements.__aexit__()


class Fleet(growth.DeployedReplicas):
    """Replicas, entries and engines; an async context manager."""

    def __init__(self, size: Size, seed: int = 1) -> None:
        super().__init__(5, seed)
        self.size = size
        self.spec = catalogue.EngineSpec(
            64,
            125_000,
            1e6,
            size.slots,
            4.0,
            (catalogue.BaseModel(ledger.MODEL, 1, 1),),
        )
        self.engine_by_name = {
            f"i-{number}": ledger.FakeEngine(
                self.spec, ledger.FaultRates(), self.rng
            )
            for number in range(size.engines)
        }
        self.instances = _EngineList(
            tuple(
                targets.Instance(name, POOL, f"10.9.0.{n}:1", "abcde"[n % 5])
                for n, name in enumerate(self.engine_by_name)
            )
        )
        self.entries: list[_Entry] = []
        self.outcomes: list[RequestOutcome] = []
        self._stack = contextlib.AsyncExitStack()
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        ranks = range(1, ADAPTERS + 1)
        self._weights = [rank**-ZIPF_EXPONENT for rank in ranks]

    def engine_of(self, instance: targets.Instance) -> ledger.FakeEngine:
        """Return the engine of a listed target."""
        return self.engine_by_name[instance.id]

    async def read_report(
        self, info: control.TargetInfo
    ) -> targets.AdapterReport:
        """Return an engine's report."""
        return await self.engine_by_name[info.id].report()

    async def __aenter__(self) -> "Fleet":
        await self.start_all()
        pool = catalogue.RoutePool(POOL, "/health", 64, self.spec)
        table = catalogue.RouteTable(1, (), (pool,))
        await growth._replace_table(self, table)
        self.entries = [_Entry(self, n) for n in range(self.size.entries)]
        for entry in self.entries:
            await self._stack.enter_async_context(entry)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        await self.stop_all()

    async def generate_traffic(self, for_s: float) -> None:
        """Generate Poisson traffic at the deployment's rate for a time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + for_s
        while loop.time() < ends_at:
            gap_s = self.rng.expovariate(self.size.requests_per_s)
            await asyncio.sleep(gap_s)
            task = asyncio.create_task(self._run_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_request(self) -> None:
        """Run one request from its arrival to its end; record the result."""
        entry = self.rng.choice(self.entries)
        (rank,) = self.rng.choices(range(ADAPTERS), self._weights)
        self._number += 1
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        request = placement.PlaceRequest(
            entry.session.boot,
            f"q{self._number}",
            POOL,
            ledger.MODEL,
            f"a{rank}",
            2_300,
            22,
            (),
            1,
            PATIENCE_S,
            entry.datacentre,
            objective_s=OBJECTIVE_S,
            hope_s=HOPE_S,
        )
        ended = "placed"
        try:
            reply = await entry.placements.acquire(request)
        except wire.ServingError as error:
            ended = error.code
        waited_s = loop.time() - arrived_at
        if ended == "placed":
            ended = await self._run_on_engine(entry, request, reply)
        self.outcomes.append(
            RequestOutcome(arrived_at, waited_s, ended, request.adapter)
        )

    async def _run_on_engine(
        self,
        entry: _Entry,
        request: placement.PlaceRequest,
        reply: placement.PlaceReply,
    ) -> str:
        engine = self.engine_by_name[reply.target]
        outcome = placement.UseOutcome.DONE
        if engine.begin(request.adapter):
            entry.placements.report_begun(request.request, reply.target, 0.2)
            await asyncio.sleep(RUN_S)
            engine.end(request.adapter)
        else:
            outcome = placement.UseOutcome.ABSENT
        entry.placements.release(request.request, reply.target, outcome)
        absent = outcome is placement.UseOutcome.ABSENT
        return "absent" if absent else "placed"

    async def leader_address(self) -> str:
        """Return the address of the leader."""
        return (await self.leader()).member.address

    async def apply_faults(
        self, kinds: list[str], rng: random.Random, max_away_s: float
    ) -> None:
        """Apply faults of replicas in series, and heal each.

        At most one replica of five is away at a time, as the settings
        tolerate.

        Args:
            kinds: some of FAULTS.
            max_away_s: how long a replica is away at most.
        """
        for kind in kinds:
            await asyncio.sleep(rng.uniform(0.1, 0.6))
            leader = await self.leader_address()
            followers = [a for a in self.node_by_address if a != leader]
            away = leader if "leader" in kind else rng.choice(followers)
            if kind.endswith("kill"):
                await self.stop(away)
            elif kind.endswith("power"):
                await self.cut_power(away)
            elif kind == "cut":
                self.network.cut(leader, away)
            await asyncio.sleep(rng.uniform(0.3, max_away_s))
            self.network.heal()
            if away not in self.node_by_address:
                await self.start(away)

    async def cut_power(self, address: str) -> None:
        """Cut a replica's power: calls to it hang instead of failing."""
        self.network.isolate(address)
        await self.stop(address)

    async def restore_power(self, address: str) -> None:
        """Reconnect and start a replica that lost its power."""
        self.network.cuts = {
            pair for pair in self.network.cuts if address not in pair
        }
        await self.start(address)

    def outcomes_by_second(self, since_s: float) -> list[str]:
        """Return counts of the outcomes of requests, one line per second."""
        rows: dict[int, collections.Counter[str]] = {}
        for outcome in self.outcomes:
            second = math.floor(outcome.arrived_at_s - since_s)
            row = rows.setdefault(second, collections.Counter())
            row["in time" if outcome.placed_in_time else outcome.ended] += 1
        return [
            f"{second:4} " + " ".join(f"{k}={v}" for k, v in row.items())
            for second, row in sorted(rows.items())
        ]

    def count_late(self, since_s: float, until_s: float) -> tuple[int, int]:
        """Count the requests of a period: not placed in time, and all."""
        in_period = [
            o for o in self.outcomes if since_s <= o.arrived_at_s < until_s
        ]
        late = sum(not outcome.placed_in_time for outcome in in_period)
        return late, len(in_period)


async def _measure_report_delay(size: Size, seed: int = 1) -> float:
    """Return when the last entry reported its requests to a new leader.

    The old leader loses power, so that calls to it hang. The time in seconds
    counts from when another replica leads; it is infinite if an entry has
    not reported one lease later.
    """
    async with Fleet(size, seed) as fleet:
        await asyncio.sleep(SETTLE_S)
        traffic = asyncio.create_task(fleet.generate_traffic(TRAFFIC_S + 3.0))
        await asyncio.sleep(TRAFFIC_S + fleet.rng.uniform(0.0, 1.0))
        loop = asyncio.get_running_loop()
        old_leader = (await fleet.leader()).member.address
        await fleet.cut_power(old_leader)
        with _recorded_first_reports() as reported_at:
            new_leader = await fleet.leader()
            leads_at = loop.time()
            await asyncio.sleep(LEASE.lease_s)
            await traffic
        replica = fleet.replica_by_address[new_leader.member.address]
        if replica.groups.holds(""):
            return _last_report(replica.placer, reported_at, size, leads_at)
        return max(
            _last_report(placer, reported_at, size, placer._term_at)
            for replica in fleet.replica_by_address.values()
            for _, placer in replica.groups._held_placers()
        )


def _last_report(
    placer: placement.Placer,
    reported_at: dict[tuple[int, str], float],
    size: Size,
    since: float,
) -> float:
    """Return how long after *since* the last daemon reported to a placer."""
    times = [at for (by, _), at in reported_at.items() if by == id(placer)]
    return max(times) - since if len(times) == size.entries else math.inf


@contextlib.contextmanager
def _recorded_first_reports():
    """Record when each daemon first reports its requests to a placer."""
    reported_at: dict[tuple[int, str], float] = {}
    take_uses = placement.Placer.take_uses

    def take(placer: placement.Placer, boot: str, uses) -> None:
        now = asyncio.get_running_loop().time()
        reported_at.setdefault((id(placer), boot), now)
        take_uses(placer, boot, uses)

    with unittest.mock.patch.object(placement.Placer, "take_uses", take):
        yield reported_at


async def _check_report_delay(size: Size, seeds: range) -> list[str]:
    took_s = [await _measure_report_delay(size, seed) for seed in seeds]
    return [
        f"seed {seed}: the last entry reported after {each_s:.2f} s"
        for seed, each_s in zip(seeds, took_s)
        if each_s > _placer.USES_REPORTED_S
    ]


async def reports_in_time_small() -> list[str]:
    """All entries report to a new leader before it assumes that they have.

    After USES_REPORTED_S it counts only the running requests reported to it.
    """
    return await _check_report_delay(SMALL, range(16, 22))


async def reports_in_time_large() -> list[str]:
    """The same with 191 entries, which send heartbeats less often."""
    return await _check_report_delay(LARGE, range(1, 2))


async def heartbeat_held_in_election() -> list[str]:
    """A heartbeat sent while there is no leader gets the next one's reply."""
    return await _heartbeat_in_election(0.35)


async def heartbeat_held_until_leader_is_ready() -> list[str]:
    """A replica that has just been elected keeps the heartbeats it holds.

    Guards against a refusal between its election and its first commit. It
    looks every 20 ms, so heartbeats are sent at different times.
    """
    faults = []
    for step in range(10):
        faults += await _heartbeat_in_election(0.35 + 0.002 * step)
    return faults


async def _heartbeat_in_election(after_s: float) -> list[str]:
    """Send a heartbeat some time after the leader is lost."""
    async with Fleet(SMALL) as fleet:
        await asyncio.sleep(SETTLE_S)
        old_leader = (await fleet.leader()).member.address
        late_entry = _Entry(fleet, SMALL.entries)
        await fleet.cut_power(old_leader)
        late_entry.session.leader.found(next(iter(fleet.node_by_address)))
        await asyncio.sleep(after_s)
        began_at = asyncio.get_running_loop().time()
        try:
            await late_entry.session._send_heartbeat()
        except wire.ServingError as error:
            return [f"The heartbeat was refused: {error.message}"]
        took_s = asyncio.get_running_loop().time() - began_at
        if took_s >= LEASE.call_s:
            return [f"The first reply was lost, the next took {took_s:.2f} s."]
        return []


async def _count_unserved(
    seed: int, size: Size = FULL
) -> tuple[int, int, float]:
    """Count adapters that are never served, and all asked for often.

    Returns:
        Both, and the share of requests that were placed in time.
    """
    async with Fleet(size, seed) as fleet:
        await asyncio.sleep(SETTLE_S)
        await fleet.generate_traffic(ASKED_S)
        await asyncio.sleep(PATIENCE_S)
        outcomes_by_adapter = collections.defaultdict(list)
        for outcome in fleet.outcomes:
            outcomes_by_adapter[outcome.adapter].append(outcome)
    unserved = asked = 0
    for outcomes in outcomes_by_adapter.values():
        arrivals = [outcome.arrived_at_s for outcome in outcomes]
        if len(arrivals) < ASKED_TIMES:
            continue
        if max(arrivals) - min(arrivals) < ASKED_FOR_S:
            continue
        asked += 1
        unserved += all(outcome.ended != "placed" for outcome in outcomes)
    in_time = sum(outcome.placed_in_time for outcome in fleet.outcomes)
    return unserved, asked, in_time / len(fleet.outcomes)


async def rare_adapters_are_served() -> list[str]:
    """Hot adapters don't keep rare ones from ever being loaded.

    The engines have 18 slots, and 65 to 85 adapters are asked for often.
    """
    faults = []
    for seed in (1, 2):
        unserved, asked, in_time = await _count_unserved(seed)
        if in_time < LEAST_IN_TIME:
            faults.append(f"{in_time:.2f} of the requests placed in time")
        if unserved > 1 + asked // 10:
            faults.append(f"{unserved} of {asked} adapters never served")
    return faults


async def rare_adapters_are_served_wide() -> list[str]:
    """The same with 40 slots, and 115 to 145 adapters asked for often."""
    unserved, asked, in_time = await _count_unserved(1, WIDE)
    faults = []
    if in_time < LEAST_IN_TIME:
        faults.append(f"{in_time:.2f} of the requests placed in time")
    if unserved > 1 + asked // 10:
        faults.append(f"{unserved} of {asked} adapters never served")
    return faults


async def decisions_per_request() -> list[str]:
    """Deciding for a request costs as often as it can change its placement.

    That is when it arrives, when its load starts and ends, and each TICK_S in
    between; not whenever another request ends.
    """
    decide = _decisions.Decider.decide
    count = 0

    def counted(*arguments: object, **named: object) -> object:
        nonlocal count
        count += 1
        return decide(*arguments, **named)

    with unittest.mock.patch.object(_decisions.Decider, "decide", counted):
        async with Fleet(BUSY) as fleet:
            await asyncio.sleep(SETTLE_S)
            await fleet.generate_traffic(TRAFFIC_S * 2)
            allowed = sum(
                DECISIONS_PER_REQUEST + outcome.waited_s / _placer.TICK_S
                for outcome in fleet.outcomes
            )
    if count <= allowed:
        return []
    return [f"{count} decisions for {len(fleet.outcomes)} requests"]


SCENARIOS = {
    "decisions_per_request": decisions_per_request,
    "rare_adapters_are_served": rare_adapters_are_served,
    "rare_adapters_are_served_wide": rare_adapters_are_served_wide,
    "reports_in_time_small": reports_in_time_small,
    "reports_in_time_large": reports_in_time_large,
    "heartbeat_held_in_election": heartbeat_held_in_election,
    "heartbeat_held_until_leader_is_ready": (
        heartbeat_held_until_leader_is_ready
    ),
}

# Each mutant switches off a guard: its name, the scenario that must fail, and
# the arguments of mock.patch.object.
MUTANTS = (
    (
        "send callers to a leader that is silent",
        "reports_in_time_small",
        (
            quorum.Node,
            "has_leader_contact",
            property(lambda node: node.leader is not None),
        ),
    ),
    (
        "refuse heartbeats at once while there is no leader",
        "heartbeat_held_in_election",
        (_coordinator, "HEARTBEAT_HOLD_S", 0.0),
    ),
    (
        "reserve loads for adapters that were left out",
        "rare_adapters_are_served_wide",
        (_reserved_loads, "RESERVED_PER_RANKED_LOAD", 0.0),
    ),
)


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
