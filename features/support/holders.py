"""Which replica issues orders to an engine, across leader elections.

Guards against an engine that takes orders from one replica, then from
another, and then from the first again, all within one 3 s lease. Gaps of
1.8 s and 0.9 s were observed. Two elections in a row are enough, without any
fault of the network, a disk or a process, if the right to order moves with
each election and nothing records who ordered before and until when.
``away_and_back`` reproduces this.

Fencing tokens don't reveal the failure: they increase (2, 3, 4), each replica
is the leader when it sends an order, and no order is refused. The tests
therefore run real replicas in virtual time and check the sequence of order
holders at each engine.
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


class RecordingEngine(targets.AdapterEngine):
    """One replica's client of an engine; records the holder of each fence."""

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


def alternations(accepted: list[tuple[float, str]], lease_s: float) -> list:
    """Return where another holder ordered between two orders of one holder.

    Only orders within one lease count.
    """
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
                f"{holder} ordered at {own[0]:.3f} s, then {between[0]}, "
                f"then {holder} again at {at:.3f} s"
            )
    return faults


class FixedInstanceList(targets.InstanceList):
    """An instance list with a fixed content."""

    def __init__(self, instances: tuple[targets.Instance, ...]) -> None:
        self._instances = instances

    async def read(self) -> tuple[targets.Instance, ...]:
        return self._instances


class ReplicaProcess:
    """The name, address and disk of a replica and, while up, its process."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.name = f"replica-{number}"
        self.address = f"10.0.0.{number}:7000"
        self.disk = standins.MemoryDisk(rng)
        self.replica: daemon.Replica | None = None

    @property
    def up(self) -> bool:
        """Whether the process runs."""
        return self.replica is not None

    def leads(self) -> bool:
        """Whether it leads and its leader lease is valid."""
        return self.up and self.replica.node.holds_lease()


class ReplicaCluster:
    """Runs three replicas with fake engines; an async context manager."""

    def __init__(
        self,
        seed: int,
        engines: int = 2,
        fault_rates: ledger.FaultRates = ledger.FaultRates(),
        **settings,
    ) -> None:
        self._seed = seed
        self._starts = 0
        self.rng = random.Random(seed)
        self.network = standins.MemoryNetwork(self.rng)
        self.processes = [
            ReplicaProcess(number, self.rng) for number in (1, 2, 3)
        ]
        self.spec = catalogue.EngineSpec(
            64, 100_000, 1e6, 3, 4.0, (catalogue.BaseModel(MODEL, 1, 1),)
        )
        self.engine_by_id = {
            f"e{n}": ledger.FakeEngine(self.spec, fault_rates, self.rng)
            for n in range(engines)
        }
        self._holder_by_fence: dict[int, str] = {}
        self._settings = settings
        self.asked = 0

    async def __aenter__(self) -> "ReplicaCluster":
        for process in self.processes:
            await self.start(process, forms=True)
        first = await self.leader()
        pool = catalogue.RoutePool(POOL, "/health", 64, self.spec)
        table = catalogue.RouteTable(1, (), (pool,))
        await first.replica.replace_routes(table, "{}")
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.up:
                await self.stop(process)

    async def start(
        self, process: ReplicaProcess, forms: bool = False
    ) -> None:
        """Start a replica's process."""
        instances = tuple(
            targets.Instance(target, POOL, f"10.1.0.{n}:1", "mnl-a")
            for n, target in enumerate(self.engine_by_id)
        )
        settings = growth.replica_settings(
            process.name,
            process.address,
            "mnl-a",
            [other.address for other in self.processes],
            **self._settings,
        )
        process.disk.start_again()
        self._starts += 1
        process.replica = growth.make_replica(
            settings,
            self.network,
            process.disk,
            FixedInstanceList(instances),
            lambda instance: RecordingEngine(
                process.name,
                self.engine_by_id[instance.id],
                self._holder_by_fence,
            ),
            forms,
            random.Random(f"{self._seed}/{self._starts}"),
        )
        await process.replica.__aenter__()

    async def stop(self, process: ReplicaProcess) -> None:
        """Kill a replica's process."""
        self.network.kill(process.address)
        process.disk.crash()
        replica, process.replica = process.replica, None
        await replica.__aexit__(None, None, None)

    async def leader(self) -> ReplicaProcess:
        """Wait for a leader and return it."""
        for _ in range(600):
            for process in self.processes:
                if process.leads():
                    return process
            await asyncio.sleep(0.02)
        raise AssertionError("No leader was elected within 12 s.")

    async def wait_for_orders(self) -> tuple[ReplicaProcess, ReplicaProcess]:
        """Wait until the leader issues orders; return it and a follower."""
        first = await self.leader()
        other = next(
            process for process in self.processes if process is not first
        )
        await self.ask_until_served(3.0)
        await asyncio.sleep(1.0)
        await self.ask()
        return first, other

    async def move_leadership(self, process: ReplicaProcess) -> None:
        """Have a replica elected at once, without a fault."""
        node = process.replica.node
        for _ in range(40):
            if process.leads():
                return
            request = quorum_messages.LeadRequest(node.member.id, node.term)
            await node.on_lead(request)
            await asyncio.sleep(0.05)
        raise AssertionError(f"{process.name} was not elected.")

    async def ask(self, patience_s: float = 0.5) -> bool:
        """Ask the leader for a place, with an adapter that is not resident."""
        return await self.ask_at(await self.leader(), patience_s)

    async def ask_at(
        self,
        process: ReplicaProcess,
        patience_s: float,
        adapter: str | None = None,
    ) -> bool:
        """Ask a replica for a place; return whether it was granted."""
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
            place = await process.replica.groups.on_place(request)
            ended = placement.EndedUse(
                name, place.target, placement.UseOutcome.DONE
            )
            await process.replica.groups.on_release(
                placement.ReleaseRequest(ENTRY, (ended,))
            )
        except wire.ServingError:
            return False
        return True

    async def ask_repeatedly(self) -> None:
        """Ask 20 times, whether served or not."""
        for _ in range(20):
            await self.ask(0.2)
            await asyncio.sleep(0.02)

    async def ask_until_served(self, within_s: float) -> float | None:
        """Ask until served; return the seconds it took, or None."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() - started_at < within_s:
            if await self.ask():
                return loop.time() - started_at
            await asyncio.sleep(0.02)
        return None

    def accepted(self, target: str) -> list[tuple[float, str]]:
        """Return the time and the holder of each order an engine accepted."""
        return [
            (at, self._holder_by_fence[fence])
            for at, fence in self.engine_by_id[target].accepted
        ]

    def faults(self) -> list[str]:
        """Return the engines at which order holders alternated in a lease."""
        return [
            f"{target}: {fault}"
            for target in self.engine_by_id
            for fault in alternations(self.accepted(target), LEASE_S)[:1]
        ]


async def away_and_back() -> list[str]:
    """Leadership moves to another replica and back within one lease."""
    async with ReplicaCluster(1, engines=1) as cluster:
        first, other = await cluster.wait_for_orders()
        await cluster.move_leadership(other)
        await cluster.ask_until_served(2.0)
        await cluster.move_leadership(first)
        await cluster.ask_repeatedly()
        faults = cluster.faults()
        ordered = {holder for _, holder in cluster.accepted("e0")}
        if ordered != {first.name, other.name}:
            faults.append("Only one of the two replicas issued orders.")
        if await cluster.ask_until_served(5.0) is None:
            faults.append("It never ordered again.")
        return faults


async def restarted_holder() -> list[str]:
    """A restarted process takes its start as the time of its last order."""
    async with ReplicaCluster(2, engines=1) as cluster:
        first, _ = await cluster.wait_for_orders()
        await cluster.stop(first)
        await cluster.ask_until_served(4.0)
        await cluster.start(first)
        await asyncio.sleep(0.3)
        await cluster.ask()
        await cluster.move_leadership(first)
        await cluster.ask_repeatedly()
        faults = cluster.faults()
        if {h for _, h in cluster.accepted("e0")} == {first.name}:
            faults.append("No other replica issued orders meanwhile.")
        if await cluster.ask_until_served(5.0) is None:
            faults.append("It never ordered again.")
        return faults


async def new_leader_orders_at_once() -> list[str]:
    """A replica that never issued orders does so as soon as it leads."""
    async with ReplicaCluster(3, engines=1) as cluster:
        _, other = await cluster.wait_for_orders()
        await cluster.move_leadership(other)
        took_s = await cluster.ask_until_served(3.0)
        if took_s is None or took_s > 1.5:
            return [f"The first order took {took_s} s."]
        return cluster.faults()


async def reelected_leader_orders_at_once() -> list[str]:
    """A leader that is reelected with no other in between doesn't wait."""
    async with ReplicaCluster(4, engines=1) as cluster:
        first, _ = await cluster.wait_for_orders()
        node = first.replica.node
        node._become_follower(None)
        await cluster.move_leadership(first)
        took_s = await cluster.ask_until_served(3.0)
        if took_s is None or took_s > 1.5:
            return [f"The next order took {took_s} s."]
        return cluster.faults()


async def no_wait_after_full_restart() -> list[str]:
    """After a restart of all, no leader waits if all leases have expired."""
    faults = []
    for seed in range(4):
        async with ReplicaCluster(seed, engines=1) as cluster:
            first = await cluster.leader()
            other = next(p for p in cluster.processes if p is not first)
            await cluster.ask_until_served(3.0)
            await cluster.move_leadership(other)
            await cluster.ask_until_served(3.0)
            await asyncio.sleep(6.0)
            for process in cluster.processes:
                await cluster.stop(process)
            for process in cluster.processes:
                await cluster.start(process)
            await cluster.leader()
            took_s = await cluster.ask_until_served(5.0)
            if took_s is None or took_s > 1.5:
                faults.append(f"seed {seed}: the first order took {took_s} s")
            faults += cluster.faults()
    return faults


async def recorded_before_first_order() -> list[str]:
    """A leader that can't record its tenure in the log issues no orders."""
    async with ReplicaCluster(1, engines=1) as cluster:
        first, other = await cluster.wait_for_orders()
        node = other.replica.node
        request = quorum_messages.LeadRequest(node.member.id, node.term)
        await node.on_lead(request)
        while not other.leads():
            await asyncio.sleep(0.0005)
        cluster.network.isolate(other.address)
        for _ in range(8):
            await cluster.ask_at(other, 0.05)
        ordered = [h for _, h in cluster.accepted("e0") if h == other.name]
        return [f"{len(ordered)} orders were sent"] if ordered else []


async def initial_delay_in_each_term() -> list[str]:
    """With engines that ignore fencing, a reelected leader waits too.

    Its own orders of the previous term may still be in flight.
    """
    faults = []
    async with ReplicaCluster(
        5, engines=1, initial_order_delay_s=LEASE_S
    ) as cluster:
        first = await cluster.leader()
        await cluster.ask_until_served(8.0)
        first.replica.node._become_follower(None)
        await cluster.move_leadership(first)
        loop = asyncio.get_running_loop()
        regained_at = loop.time()
        before = len(cluster.accepted("e0"))
        await cluster.ask_until_served(8.0)
        ordered_at = cluster.accepted("e0")[before][0]
        if ordered_at < regained_at + LEASE_S - 0.2:
            faults.append(
                f"It ordered after {ordered_at - regained_at:.2f} s."
            )
    return faults


async def resident_adapters_during_wait() -> list[str]:
    """A leader that may not order yet still places on resident adapters."""
    async with ReplicaCluster(6, engines=1) as cluster:
        first, other = await cluster.wait_for_orders()
        resident = f"a{cluster.asked}"
        await cluster.move_leadership(other)
        await cluster.ask_until_served(2.0)
        await cluster.move_leadership(first)
        if not await cluster.ask_at(first, 0.5, resident):
            return ["A request for a resident adapter was refused."]
        return cluster.faults()


async def random_elections(seed: int) -> list[str]:
    """Random elections, kills and lost disks under continuous requests."""
    # Orders whose answer is lost are executed nevertheless.
    async with ReplicaCluster(
        seed, fault_rates=ledger.FaultRates(lost=0.1)
    ) as cluster:
        rng = random.Random(seed)
        await cluster.ask_until_served(4.0)
        asking = asyncio.create_task(_ask_forever(cluster, rng))
        for _ in range(12):
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            process = rng.choice(cluster.processes)
            draw = rng.random()
            if draw < 0.6:
                with contextlib.suppress(AssertionError):
                    await cluster.move_leadership(process)
                continue
            await cluster.stop(process)
            if draw > 0.9:
                process.disk = standins.MemoryDisk(rng)
            await asyncio.sleep(rng.uniform(0.05, 1.5))
            await cluster.start(process)
            await asyncio.sleep(1.5)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        faults = cluster.faults()
        if await cluster.ask_until_served(8.0) is None:
            faults.append("No request was served at the end.")
        return [f"seed {seed}: {fault}" for fault in faults]


class TenureModel:
    """Processes with a tenure each, and the orders an engine accepted."""

    def __init__(self, names: tuple[str, ...], lease_s: float) -> None:
        self.now = 0.0
        self.term = 0
        self.recorded: list[str] = []
        self.accepted: list[tuple[float, str]] = []
        self._lease_s = lease_s
        self._tenure_by_name = {name: self._new() for name in names}

    def _new(self) -> placement.Tenure:
        return placement.Tenure(self._lease_s, self.now)

    def elect(self, name: str) -> None:
        """Make a process the leader."""
        self.term += 1
        tenure = self._tenure_by_name[name]
        tenure.begin(self.term, name, tuple(self.recorded), self.now)

    def restart(self, name: str) -> None:
        """Restart a process; only the replicated record survives."""
        self._tenure_by_name[name] = self._new()

    def order(self, name: str) -> None:
        """Let a process issue an order, if its tenure permits it."""
        tenure = self._tenure_by_name[name]
        if tenure.fence == self.term and tenure.due(self.now):
            self.recorded = [n for n in self.recorded if n != name] + [name]
            tenure.noted(self.term, self.now)
        if tenure.fence == self.term and tenure.alone_due(self.now):
            self.recorded = [name]
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
    """Check that holders don't alternate within a lease in any history."""
    model = TenureModel(("r1", "r2", "r3"), LEASE_S)
    for what, name, pause_s in steps:
        model.now += pause_s
        getattr(model, what)(name)
    faults = alternations(model.accepted, LEASE_S)
    assert not faults, faults[:1]


async def _ask_forever(cluster: ReplicaCluster, rng: random.Random) -> None:
    while True:
        with contextlib.suppress(AssertionError):
            await cluster.ask(0.4)
        await asyncio.sleep(rng.uniform(0.0, 0.2))


SCENARIOS = {
    "away_and_back": away_and_back,
    "restarted_holder": restarted_holder,
    "new_leader_orders_at_once": new_leader_orders_at_once,
    "reelected_leader_orders_at_once": reelected_leader_orders_at_once,
    "no_wait_after_full_restart": no_wait_after_full_restart,
    "recorded_before_first_order": recorded_before_first_order,
    "initial_delay_in_each_term": initial_delay_in_each_term,
    "resident_adapters_during_wait": resident_adapters_during_wait,
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
    """Start a term regardless of the former holders, for a mutant."""
    tenure.fence = fence
    tenure._noted = True


@contextlib.contextmanager
def _forget_order(tenure: placement.Tenure, _):
    """Forget the time of the last order, for a mutant."""
    yield
    tenure._ordered_at = float("-inf")


def _alone_at_once(tenure: placement.Tenure, _: float) -> bool:
    """Drop the former holders before the lease is over, for a mutant."""
    return tenure._noted and not tenure._alone


def _due_unnoted(tenure: placement.Tenure, fence: int) -> bool:
    """Permit orders whether recorded or not, for a mutant."""
    return fence == tenure.fence


# Mutants, each of which disables a guard: name, scenario that must then
# fail, patched attribute.
MUTANTS = (
    (
        "order before being recorded",
        "recorded_before_first_order",
        (placement.Tenure, "may_order", _due_unnoted),
    ),
    (
        "order regardless of former holders",
        "away_and_back",
        (placement.Tenure, "begin", _begin_at_once),
    ),
    (
        "never drop former holders",
        "no_wait_after_full_restart",
        (placement.Tenure, "alone_due", lambda *_: False),
    ),
    (
        "drop former holders at once",
        "restarted_holder",
        (placement.Tenure, "alone_due", _alone_at_once),
    ),
    (
        "forget the time of the last order",
        "away_and_back",
        (placement.Tenure, "sending", _forget_order),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
