"""Hundreds of entries before dozens of engines, in virtual time.

Replicas, sessions and the entries' side of places are real, and so are
their time-outs and pauses; processor time is not played. Engines are the
oracles of the ledger's tests.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _coordinator
from bergamotsail import placement
from bergamotsail.placement import _placer
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import growth
from features.support import ledger

LEASE = control.LeaseTiming(2.0, 0.3, call_s=0.6, listed_s=1.3)
ADAPTERS = 2_000
# Popularity of adapters falls with their rank to this power.
SKEW = 1.2
OBJECTIVE_S = 1.0
PATIENCE_S = 3.0
HOPE_S = 1.5
# A place that comes later than this leaves too little of the objective.
LATE_S = 0.5
WORK_S = 0.9
SETTLE_S = 8.0
TRAFFIC_S = 2.0
POOL = ledger.POOL


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How large a deployment is, and what it is asked for."""

    entries: int
    engines: int
    requests_per_s: float
    slots: int = 6


SMALL = Size(6, 9, 20.0)
LARGE = Size(191, 78, 176.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """One request: when it came, how long it waited, how that ended."""

    at_s: float
    waited_s: float
    ended: str

    @property
    def served(self) -> bool:
        """Whether it was given a place in time."""
        return self.ended == "placed" and self.waited_s <= LATE_S


class _List(targets.InstanceList):
    """The list of all engines, which never lags."""

    def __init__(self, instances: tuple[targets.Instance, ...]) -> None:
        self._instances = instances

    async def read(self) -> tuple[targets.Instance, ...]:
        return self._instances


class _Entry(control.PassiveParticipant):
    """The session and the places of one entry."""

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
        leader = control.Leader(transport, fleet.addresses[:3])
        self.session = control.Session(info, leader, transport, LEASE)
        relay = control.Relay(self.session, transport)
        relay.serve(
            server, control.HEARTBEAT, placement.PLACE, placement.RELEASE
        )
        survey = routing.Survey(fleet.ask, fleet.rng)
        self.places = routing.PlacementClient(
            self.session, transport, wire.LoopClock(), survey
        )
        self.session.attach(self)
        self.datacentre = datacentre

    def uses(self) -> tuple[control.Use, ...]:
        return self.places.uses()

    async def __aenter__(self) -> "_Entry":
        await self.places.__aenter__()
        await self.session.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.__aexit__()
        await self.places.__aexit__()


class Fleet(growth.DeployedReplicas):
    """A whole deployment; an async context manager."""

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
        self.instances = _List(
            tuple(
                targets.Instance(name, POOL, f"10.9.0.{n}:1", "abcde"[n % 5])
                for n, name in enumerate(self.engine_by_name)
            )
        )
        self.entries: list[_Entry] = []
        self.asked: list[Asked] = []
        self._stack = contextlib.AsyncExitStack()
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        ranks = range(1, ADAPTERS + 1)
        self._weights = [rank**-SKEW for rank in ranks]

    def engine_of(self, instance: targets.Instance) -> ledger.FakeEngine:
        """Return the engine of a listed target."""
        return self.engine_by_name[instance.id]

    async def ask(self, info: control.TargetInfo) -> targets.AdapterReport:
        """Return what an engine says of itself."""
        return await self.engine_by_name[info.id].report()

    async def __aenter__(self) -> "Fleet":
        await self.start_all()
        pool = catalogue.RoutePool(POOL, "/health", 64, self.spec)
        changed = catalogue.RouteTable(1, (), (pool,))
        await growth._replace_table(self, changed)
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

    async def traffic(self, for_s: float) -> None:
        """Ask for places at the deployment's rate, for so long."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + for_s
        while loop.time() < ends_at:
            gap_s = self.rng.expovariate(self.size.requests_per_s)
            await asyncio.sleep(gap_s)
            task = asyncio.create_task(self._one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _one(self) -> None:
        """One request, from its arrival to the end of its run."""
        entry = self.rng.choice(self.entries)
        (rank,) = self.rng.choices(range(ADAPTERS), self._weights)
        self._number += 1
        loop = asyncio.get_running_loop()
        came_at = loop.time()
        ask = placement.PlaceRequest(
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
            place = await entry.places.take(ask)
        except wire.ServingError as error:
            ended = error.code
        waited_s = loop.time() - came_at
        if ended == "placed":
            ended = await self._run(entry, ask, place)
        self.asked.append(Asked(came_at, waited_s, ended))

    async def _run(
        self,
        entry: _Entry,
        ask: placement.PlaceRequest,
        place: placement.PlaceReply,
    ) -> str:
        engine = self.engine_by_name[place.target]
        outcome = placement.UseOutcome.DONE
        if engine.begin(ask.adapter):
            entry.places.begun(ask.request, place.target, 0.2)
            await asyncio.sleep(WORK_S)
            engine.end(ask.adapter)
        else:
            outcome = placement.UseOutcome.ABSENT
        entry.places.give_back(ask.request, place.target, outcome)
        absent = outcome is placement.UseOutcome.ABSENT
        return "absent" if absent else "placed"

    async def go_dark(self, address: str) -> None:
        """Let a replica lose its power: calls to it hang."""
        self.network.isolate(address)
        await self.stop(address)

    async def come_back(self, address: str) -> None:
        """Start a replica that lost its power."""
        self.network.cuts = {
            pair for pair in self.network.cuts if address not in pair
        }
        await self.start(address)

    def by_second(self, since_s: float) -> list[str]:
        """Return what callers got, a line a second."""
        rows: dict[int, collections.Counter[str]] = {}
        for asked in self.asked:
            second = math.floor(asked.at_s - since_s)
            row = rows.setdefault(second, collections.Counter())
            row["in time" if asked.served else asked.ended] += 1
        return [
            f"{second:4} " + " ".join(f"{k}={v}" for k, v in row.items())
            for second, row in sorted(rows.items())
        ]

    def lost(self, since_s: float, until_s: float) -> tuple[int, int]:
        """Return how many of a span were not placed in time, of how many."""
        own = [a for a in self.asked if since_s <= a.at_s < until_s]
        return sum(not asked.served for asked in own), len(own)


async def _told_after(size: Size, seed: int = 1) -> float:
    """Return how long the last entry took to tell the next leader.

    The leader goes dark: calls to it hang, as without power. The time
    counts from the moment at which another leads.
    """
    async with Fleet(size, seed) as fleet:
        await asyncio.sleep(SETTLE_S)
        asking = asyncio.create_task(fleet.traffic(TRAFFIC_S + 3.0))
        await asyncio.sleep(TRAFFIC_S + fleet.rng.uniform(0.0, 1.0))
        loop = asyncio.get_running_loop()
        lost = (await fleet.leader()).member.address
        told_at: dict[tuple[str, str], float] = {}
        for address, replica in fleet.replica_by_address.items():
            _note_uses(replica.placer, address, told_at)
        await fleet.go_dark(lost)
        follower = (await fleet.leader()).member.address
        leads_at = loop.time()
        await asyncio.sleep(LEASE.lease_s)
        await asking
        own = [at for (by, _), at in told_at.items() if by == follower]
        if len(own) < size.entries:
            return float("inf")
        return max(own) - leads_at


def _note_uses(
    placer: placement.Placer,
    address: str,
    told_at: dict[tuple[str, str], float],
) -> None:
    """Note when each daemon first tells a replica what it runs."""
    take_uses = placer.take_uses

    def take(boot: str, uses) -> None:
        now = asyncio.get_running_loop().time()
        told_at.setdefault((address, boot), now)
        take_uses(boot, uses)

    placer.take_uses = take


async def _told_in_time(size: Size, seeds: range) -> list[str]:
    took_s = [await _told_after(size, seed) for seed in seeds]
    return [
        f"seed {seed}: the last entry told after {each_s:.2f} s"
        for seed, each_s in zip(seeds, took_s)
        if each_s > _placer.USES_TOLD_S
    ]


async def told_in_time_small() -> list[str]:
    """All entries tell a new holder before it counts on their word."""
    return await _told_in_time(SMALL, range(16, 22))


async def told_in_time_large() -> list[str]:
    """The same with hundreds of entries, which beat less often."""
    return await _told_in_time(LARGE, range(1, 2))


async def held_until_one_leads() -> list[str]:
    """Who beats while nobody leads is answered when somebody does."""
    async with Fleet(SMALL) as fleet:
        await asyncio.sleep(SETTLE_S)
        lost = (await fleet.leader()).member.address
        late = _Entry(fleet, SMALL.entries)
        await fleet.go_dark(lost)
        late.session.leader.found(next(iter(fleet.node_by_address)))
        await asyncio.sleep(0.35)
        began_at = asyncio.get_running_loop().time()
        try:
            await late.session._send_heartbeat()
        except wire.ServingError as error:
            return [f"It was refused: {error.message}"]
        took_s = asyncio.get_running_loop().time() - began_at
        if took_s >= LEASE.call_s:
            return [f"The first answer was lost, the next took {took_s:.2f}."]
        return []


SCENARIOS = {
    "told_in_time_small": told_in_time_small,
    "told_in_time_large": told_in_time_large,
    "held_until_one_leads": held_until_one_leads,
}

# Each switches a guard off: its name, its scenario, what it patches.
MUTANTS = (
    (
        "send callers to a leader that is silent",
        "told_in_time_small",
        (
            quorum.Node,
            "has_leader_contact",
            property(lambda node: node.leader is not None),
        ),
    ),
    (
        "refuse at once while nobody leads",
        "held_until_one_leads",
        (_coordinator, "HOLD_S", 0.0),
    ),
)


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run a scenario with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
