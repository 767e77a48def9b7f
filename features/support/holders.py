"""Who gives orders to an engine, over changes of the log's leader.

The story. Users saw an engine take orders from one replica, 1.8 s later from
another, and 0.9 s after that from the first again, each with a higher
fencing number and each accepted; the lease of a holder is 3 s. No process
was stale: each led the log when it ordered. The right to order moved with
each election, and nothing remembered who had ordered before and until when,
so two elections in a row gave it away and back inside one lease.

The evidence. Fencing numbers only rose (2, 3, 4) and no order was refused,
which rules out a stale holder and a doubled number. ``away_and_back`` below
brings the same sequence about with nothing but two elections: no fault of
the network, a disk or a process is needed.

Real replicas run here in virtual time before engines that note who ordered
what. The oracle looks at the sequence of holders at each engine, which a
check of fencing numbers alone never sees.
"""

import asyncio
import contextlib
import random

from hypothesis import strategies as st

from bergamotsail import catalogue
from bergamotsail import daemon
from bergamotsail import placement
from bergamotsail.quorum import _messages as quorum_messages
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import growth
from features.support import ledger

LEASE_S = 3.0
POOL = ledger.POOL
MODEL = ledger.MODEL
ENTRY = "entry-1"
Outcome = targets.OrderOutcome


class WatchedEngine(targets.AdapterEngine):
    """An engine as one replica reaches it; notes whose each number is."""

    def __init__(
        self,
        holder: str,
        engine: ledger.FakeEngine,
        holder_by_fence: dict[int, str],
    ) -> None:
        self._holder = holder
        self._engine = engine
        self._holder_by_fence = holder_by_fence

    async def report(self) -> targets.AdapterReport:
        return await self._engine.report()

    async def load(self, order: targets.EngineOrder) -> Outcome:
        self._holder_by_fence[order.fence] = self._holder
        return await self._engine.load(order)

    async def unload(self, order: targets.EngineOrder) -> Outcome:
        self._holder_by_fence[order.fence] = self._holder
        return await self._engine.unload(order)


def turns_taken(accepted: list[tuple[float, str]], lease_s: float) -> list:
    """Return where a holder came back within a lease, another between."""
    faults = []
    for number, (at, holder) in enumerate(accepted):
        before = [
            (earlier, other)
            for earlier, other in accepted[:number]
            if earlier > at - lease_s
        ]
        own = [earlier for earlier, other in before if other == holder]
        between = [
            other
            for earlier, other in before
            if own and earlier > own[0] and other != holder
        ]
        if between:
            faults.append(
                f"{holder} at {own[0]:.3f} s, {between[0]}, "
                f"{holder} again at {at:.3f} s"
            )
    return faults


class ListedEngines(targets.InstanceList):
    """A list that names all engines."""

    def __init__(self, instances: tuple[targets.Instance, ...]) -> None:
        self._instances = instances

    async def read(self) -> tuple[targets.Instance, ...]:
        return self._instances


class Place:
    """A replica's address, its disk and its process."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.name = f"replica-{number}"
        self.address = f"10.0.0.{number}:7000"
        self.disk = standins.MemoryDisk(rng)
        self.replica: daemon.Replica | None = None

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.replica is not None

    def leads(self) -> bool:
        """Whether it surely leads."""
        return self.up and self.replica.node.holds_lease()


class Holders:
    """Replicas before engines; an async context manager."""

    def __init__(
        self,
        seed: int,
        engines: int = 2,
        luck: ledger.FaultRates = ledger.FaultRates(),
        **settings,
    ) -> None:
        self._seed = seed
        self._starts = 0
        self.rng = random.Random(seed)
        self.network = standins.MemoryNetwork(self.rng)
        self.places = [Place(number, self.rng) for number in (1, 2, 3)]
        self.spec = catalogue.EngineSpec(
            64, 100_000, 1e6, 3, 4.0, (catalogue.BaseModel(MODEL, 1, 1),)
        )
        self.engine_by_id = {
            f"e{n}": ledger.FakeEngine(self.spec, luck, self.rng)
            for n in range(engines)
        }
        self._holder_by_fence: dict[int, str] = {}
        self._settings = settings
        self.asked = 0

    async def __aenter__(self) -> "Holders":
        for place in self.places:
            await self.start(place, forms=True)
        first = await self.leader()
        pool = catalogue.RoutePool(POOL, "/health", 64, self.spec)
        table = catalogue.RouteTable(1, (), (pool,))
        await first.replica.replace_routes(table, "{}")
        return self

    async def __aexit__(self, *_: object) -> None:
        for place in self.places:
            if place.up:
                await self.stop(place)

    async def start(self, place: Place, forms: bool = False) -> None:
        """Start a replica's process."""
        instances = tuple(
            targets.Instance(target, POOL, f"10.1.0.{n}:1", "mnl-a")
            for n, target in enumerate(self.engine_by_id)
        )
        settings = growth.replica_settings(
            place.name,
            place.address,
            "mnl-a",
            [other.address for other in self.places],
            **self._settings,
        )
        place.disk.start_again()
        self._starts += 1
        place.replica = growth.make_replica(
            settings,
            self.network,
            place.disk,
            ListedEngines(instances),
            lambda instance: WatchedEngine(
                place.name,
                self.engine_by_id[instance.id],
                self._holder_by_fence,
            ),
            forms,
            random.Random(f"{self._seed}/{self._starts}"),
        )
        await place.replica.__aenter__()

    async def stop(self, place: Place) -> None:
        """Kill a replica's process."""
        self.network.kill(place.address)
        place.disk.crash()
        replica, place.replica = place.replica, None
        await replica.__aexit__(None, None, None)

    async def leader(self) -> Place:
        """Wait for a leader."""
        for _ in range(600):
            for place in self.places:
                if place.leads():
                    return place
            await asyncio.sleep(0.02)
        raise AssertionError("There is no leader.")

    async def ordering(self) -> tuple[Place, Place]:
        """Wait until the leader orders; return it and another replica."""
        first = await self.leader()
        other = next(place for place in self.places if place is not first)
        await self.ask_until_served(3.0)
        await asyncio.sleep(1.0)
        await self.ask()
        return first, other

    async def move_lead(self, place: Place) -> None:
        """Let another replica be elected, at once and without a fault."""
        node = place.replica.node
        for _ in range(40):
            if place.leads():
                return
            request = quorum_messages.LeadRequest(node.member.id, node.term)
            await node.on_lead(request)
            await asyncio.sleep(0.05)
        raise AssertionError(f"{place.name} was not elected.")

    async def ask(self, patience_s: float = 0.5) -> bool:
        """Ask who leads for a place with an adapter that is nowhere."""
        return await self.ask_at(await self.leader(), patience_s)

    async def ask_at(
        self, place: Place, patience_s: float, adapter: str | None = None
    ) -> bool:
        """Ask a replica for a place."""
        self.asked += 1
        name = f"r{self.asked}"
        request = placement.PlaceRequest(
            ENTRY,
            name,
            POOL,
            MODEL,
            adapter or f"a{self.asked}",
            100,
            20,
            (),
            0,
            patience_s,
            "mnl-a",
        )
        try:
            found = await place.replica.placer.on_place(request)
            ended = placement.EndedUse(
                name, found.target, placement.UseOutcome.DONE
            )
            await place.replica.placer.on_release(
                placement.ReleaseRequest(ENTRY, (ended,))
            )
        except wire.ServingError:
            return False
        return True

    async def ask_often(self) -> None:
        """Ask for some seconds, served or not."""
        for _ in range(20):
            await self.ask(0.2)
            await asyncio.sleep(0.02)

    async def ask_until_served(self, within_s: float) -> float | None:
        """Ask again and again; return when it was served, None if never."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() - started_at < within_s:
            if await self.ask():
                return loop.time() - started_at
            await asyncio.sleep(0.02)
        return None

    def accepted(self, target: str) -> list[tuple[float, str]]:
        """Return when an engine accepted whose orders."""
        return [
            (at, self._holder_by_fence[fence])
            for at, fence in self.engine_by_id[target].accepted
        ]

    def faults(self) -> list[str]:
        """Return which engines saw holders take turns."""
        return [
            f"{target}: {fault}"
            for target in self.engine_by_id
            for fault in turns_taken(self.accepted(target), LEASE_S)[:1]
        ]


async def away_and_back() -> list[str]:
    """The lead moves to another replica and back within one lease."""
    async with Holders(1, engines=1) as holders:
        first, other = await holders.ordering()
        await holders.move_lead(other)
        await holders.ask_until_served(2.0)
        await holders.move_lead(first)
        await holders.ask_often()
        faults = holders.faults()
        ordered = {holder for _, holder in holders.accepted("e0")}
        if ordered != {first.name, other.name}:
            faults.append("Not both of them ordered.")
        if await holders.ask_until_served(5.0) is None:
            faults.append("It never ordered again.")
        return faults


async def back_after_a_restart() -> list[str]:
    """A process that forgot its last order waits as if it were its start."""
    async with Holders(2, engines=1) as holders:
        first, _ = await holders.ordering()
        await holders.stop(first)
        await holders.ask_until_served(4.0)
        await holders.start(first)
        await asyncio.sleep(0.3)
        await holders.ask()
        await holders.move_lead(first)
        await holders.ask_often()
        faults = holders.faults()
        if {h for _, h in holders.accepted("e0")} == {first.name}:
            faults.append("Nobody else ordered meanwhile.")
        if await holders.ask_until_served(5.0) is None:
            faults.append("It never ordered again.")
        return faults


async def handed_on_at_once() -> list[str]:
    """A replica that never ordered begins as soon as it leads."""
    async with Holders(3, engines=1) as holders:
        _, other = await holders.ordering()
        await holders.move_lead(other)
        took_s = await holders.ask_until_served(3.0)
        if took_s is None or took_s > 1.5:
            return [f"It began after {took_s} s."]
        return holders.faults()


async def regained_at_once() -> list[str]:
    """Who leads again with nobody between goes on without a wait."""
    async with Holders(4, engines=1) as holders:
        first, _ = await holders.ordering()
        node = first.replica.node
        node._become_follower(None)
        await holders.move_lead(first)
        took_s = await holders.ask_until_served(3.0)
        if took_s is None or took_s > 1.5:
            return [f"It went on after {took_s} s."]
        return holders.faults()


async def all_restarted_at_once() -> list[str]:
    """After a restart of all, long after others ordered, nobody waits."""
    faults = []
    for seed in range(4):
        async with Holders(seed, engines=1) as holders:
            first = await holders.leader()
            other = next(p for p in holders.places if p is not first)
            await holders.ask_until_served(3.0)
            await holders.move_lead(other)
            await holders.ask_until_served(3.0)
            await asyncio.sleep(6.0)
            for place in holders.places:
                await holders.stop(place)
            for place in holders.places:
                await holders.start(place)
            await holders.leader()
            took_s = await holders.ask_until_served(5.0)
            if took_s is None or took_s > 1.5:
                faults.append(f"seed {seed}: it began after {took_s} s")
            faults += holders.faults()
    return faults


async def noted_before_it_orders() -> list[str]:
    """Who leads and can't note that it orders, orders nothing."""
    async with Holders(1, engines=1) as holders:
        first, other = await holders.ordering()
        node = other.replica.node
        request = quorum_messages.LeadRequest(node.member.id, node.term)
        await node.on_lead(request)
        while not other.leads():
            await asyncio.sleep(0.0005)
        holders.network.isolate(other.address)
        for _ in range(8):
            await holders.ask_at(other, 0.05)
        ordered = [h for _, h in holders.accepted("e0") if h == other.name]
        return [f"{len(ordered)} orders"] if ordered else []


async def quiet_after_each_term() -> list[str]:
    """Where engines ignore fencing numbers, a regained lead waits too.

    An own order of the term before may still be on its way.
    """
    faults = []
    async with Holders(5, engines=1, initial_order_delay_s=LEASE_S) as holders:
        first = await holders.leader()
        await holders.ask_until_served(8.0)
        first.replica.node._become_follower(None)
        await holders.move_lead(first)
        loop = asyncio.get_running_loop()
        regained_at = loop.time()
        before = len(holders.accepted("e0"))
        await holders.ask_until_served(8.0)
        ordered_at = holders.accepted("e0")[before][0]
        if ordered_at < regained_at + LEASE_S - 0.2:
            faults.append(f"It ordered {ordered_at - regained_at:.2f} s on.")
    return faults


async def resident_meanwhile() -> list[str]:
    """Who may not order yet still places on what engines hold."""
    async with Holders(6, engines=1) as holders:
        first, other = await holders.ordering()
        known = f"a{holders.asked}"
        await holders.move_lead(other)
        await holders.ask_until_served(2.0)
        await holders.move_lead(first)
        if not await holders.ask_at(first, 0.5, known):
            return ["What is resident was refused."]
        return holders.faults()


async def random_elections(seed: int) -> list[str]:
    """Leads that move at random, kills, lost disks; requests all the time."""
    # Some answers are lost: the order was carried out all the same.
    async with Holders(seed, luck=ledger.FaultRates(lost=0.1)) as holders:
        rng = random.Random(seed)
        await holders.ask_until_served(4.0)
        asking = asyncio.create_task(_ask_for_ever(holders, rng))
        for _ in range(12):
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            place = rng.choice(holders.places)
            luck = rng.random()
            if luck < 0.6:
                with contextlib.suppress(AssertionError):
                    await holders.move_lead(place)
                continue
            await holders.stop(place)
            if luck > 0.9:
                place.disk = standins.MemoryDisk(rng)
            await asyncio.sleep(rng.uniform(0.05, 1.5))
            await holders.start(place)
            await asyncio.sleep(1.5)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        faults = holders.faults()
        if await holders.ask_until_served(8.0) is None:
            faults.append("At the end nothing is served.")
        return [f"seed {seed}: {fault}" for fault in faults]


class TenureModel:
    """Processes with a tenure each, elections, and what an engine saw."""

    def __init__(self, names: tuple[str, ...], lease_s: float) -> None:
        self.now = 0.0
        self.term = 0
        self.noted: list[str] = []
        self.accepted: list[tuple[float, str]] = []
        self._lease_s = lease_s
        self._tenure_by_name = {name: self._new() for name in names}

    def _new(self) -> placement.Tenure:
        return placement.Tenure(self._lease_s, self.now)

    def elect(self, name: str) -> None:
        """Let a process lead from now on."""
        self.term += 1
        tenure = self._tenure_by_name[name]
        tenure.begin(self.term, name, tuple(self.noted), self.now)

    def restart(self, name: str) -> None:
        """Let a process forget all but what is noted beyond it."""
        self._tenure_by_name[name] = self._new()

    def order(self, name: str) -> None:
        """Let a process order, if it thinks that it may."""
        tenure = self._tenure_by_name[name]
        if tenure.fence == self.term and tenure.due(self.now):
            self.noted = [n for n in self.noted if n != name] + [name]
            tenure.noted(self.term, self.now)
        if tenure.fence == self.term and tenure.alone_due(self.now):
            self.noted = [name]
            tenure.noted(self.term, self.now, True)
        if tenure.may_order(self.term):
            with tenure.sending(lambda: self.now):
                self.accepted.append((self.now, name))


TENURE_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("elect", "restart", "order", "order")),
        st.sampled_from(("r1", "r2", "r3")),
        st.floats(0.0, 2.0),
    ),
    max_size=60,
)


def tenures_agree(steps: list[tuple[str, str, float]]) -> None:
    """Whatever the elections, no holder has two turns within a lease."""
    model = TenureModel(("r1", "r2", "r3"), LEASE_S)
    for what, name, pause_s in steps:
        model.now += pause_s
        getattr(model, what)(name)
    faults = turns_taken(model.accepted, LEASE_S)
    assert not faults, faults[:1]


async def _ask_for_ever(holders: Holders, rng: random.Random) -> None:
    while True:
        with contextlib.suppress(AssertionError):
            await holders.ask(0.4)
        await asyncio.sleep(rng.uniform(0.0, 0.2))


SCENARIOS = {
    "away_and_back": away_and_back,
    "back_after_a_restart": back_after_a_restart,
    "handed_on_at_once": handed_on_at_once,
    "regained_at_once": regained_at_once,
    "all_restarted_at_once": all_restarted_at_once,
    "noted_before_it_orders": noted_before_it_orders,
    "quiet_after_each_term": quiet_after_each_term,
    "resident_meanwhile": resident_meanwhile,
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_random(count: int) -> list[str]:
    """Run random elections with many seeds."""
    return [
        fault
        for seed in range(count)
        for fault in ledger.run(random_elections(seed))
    ]


def _begin_at_once(tenure, fence, name, former, now) -> None:
    """Begin without a look at who ordered before, as a mutant does."""
    tenure.fence = fence
    tenure._noted = True


@contextlib.contextmanager
def _forget_order(tenure: placement.Tenure, _):
    """Take a former order for one of long ago, as a mutant does."""
    yield
    tenure._ordered_at = float("-inf")


def _alone_at_once(tenure: placement.Tenure, _: float) -> bool:
    """Note at once that nobody else ordered, as a mutant does."""
    return tenure._noted and not tenure._alone


def _due_unnoted(tenure: placement.Tenure, fence: int) -> bool:
    """Order when it is due, noted or not, as a mutant does."""
    return fence == tenure.fence


# Each switches a guard off: its name, its scenario, what it patches.
MUTANTS = (
    (
        "order before it is noted",
        "noted_before_it_orders",
        (placement.Tenure, "may_order", _due_unnoted),
    ),
    (
        "order whoever ordered before",
        "away_and_back",
        (placement.Tenure, "begin", _begin_at_once),
    ),
    (
        "remember for ever who ordered before",
        "all_restarted_at_once",
        (placement.Tenure, "alone_due", lambda *_: False),
    ),
    (
        "forget at once who ordered before",
        "back_after_a_restart",
        (placement.Tenure, "alone_due", _alone_at_once),
    ),
    (
        "forget the last order",
        "away_and_back",
        (placement.Tenure, "sending", _forget_order),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run a scenario with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
