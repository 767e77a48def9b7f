"""Tests of engine groups, whose requests several replicas place.

They run in virtual time; see fleet.py. Processor time is simulated where a
scenario says so: each call for a place then takes the processor of its replica
for a fixed time, one call after the other.
"""

import asyncio
import dataclasses
import random
import unittest.mock

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _holders
from bergamotsail import placement
from bergamotsail.placement import _assignments
from bergamotsail.placement import _call_rate
from bergamotsail.placement import _engine_groups
from bergamotsail.placement import _group_lead
from bergamotsail.placement import _placer
from bergamotsail.routing import _budget_admission
from bergamotsail.routing import _placements
from bergamotsail import targets
from bergamotsail import wire
from features.support import fleet
from features.support import growth
from features.support import holders
from features.support import ledger

LEASE_S = 3.0
# As many engines and requests as one process has no time for.
SIZE = fleet.Size(32, 32, 120.0, 5)
TRAFFIC_S = 3.0
WARM_UP_S = 2.0
# By then the log is formed, engines are known and groups have holders.
FORMED_S = 3.0
# Adapters that are asked for; all fit into the slots, so that a request waits
# for a decision rather than for a slot.
ADAPTERS = 40
# Time of a replica's processor that a placement takes, and twice that.
COSTS_S = (0.006, 0.012)
# Least share of the requests that are placed in time.
LEAST_IN_TIME = 0.9
# A lost holder's engines are placed on again within this time.
RECOVERED_S = 2.0
# Longest wait of a request while a holder is lost: it asks another group.
MAX_LOST_WAIT_S = 1.5
# The same if the call fails at once. The adapter may have to be loaded there.
MAX_FAILED_WAIT_S = 0.8
SETTLED_S = 4.0
SMALL_POOL = "small"
# Longest time that a replica is away in a random series of faults.
MAX_AWAY_S = 1.6
# A group that is given up has another holder within this time.
GIVEN_UP_S = 0.4
# Time that requests run for which a new holder has to learn of.
LONG_RUN_S = 6.0
# Budget of a member, in units a second, and what each of its requests costs.
BUDGET_PER_S = 1_000.0
COST = 100.0


class GroupFleet(fleet.Fleet):
    """A deployment with few adapters; it records who orders what."""

    def __init__(self, size: fleet.Size = SIZE, seed: int = 1) -> None:
        super().__init__(size, seed)
        self._weights = [1.0] * ADAPTERS + [0.0] * (fleet.ADAPTERS - ADAPTERS)
        # The replicas that sent orders, by engine and fencing token.
        self.sender_by_fence: dict[tuple[str, int], str] = {}
        self.cost_s = 0.0
        self._processor_by_replica: dict[int, asyncio.Lock] = {}

    async def __aenter__(self) -> "GroupFleet":
        on_place = placement.Placer.on_place
        lock_by_replica = self._processor_by_replica

        async def costly(placer, request):
            # All placers of a replica share its metrics.
            lock = lock_by_replica.setdefault(
                id(placer._metrics), asyncio.Lock()
            )
            if self.cost_s:
                async with lock:
                    await asyncio.sleep(self.cost_s)
            return await on_place(placer, request)

        self._stack.enter_context(
            unittest.mock.patch.object(placement.Placer, "on_place", costly)
        )
        # Without remembered placements each request needs its own.
        self._stack.enter_context(
            unittest.mock.patch.object(_placements, "MAX_CACHED", 0)
        )
        return await super().__aenter__()

    @property
    def groups(self) -> int:
        """Number of groups; two of five replicas may be lost."""
        return control.count_groups(len(self.engine_by_name), 4)

    async def warm_up(self) -> None:
        """Run traffic until all adapters are resident."""
        await asyncio.sleep(FORMED_S)
        await self.generate_traffic(WARM_UP_S)
        await asyncio.sleep(1.0)
        self.outcomes.clear()

    def share_in_time(self) -> float:
        """Return the share of the requests that were placed in time."""
        in_time = sum(outcome.placed_in_time for outcome in self.outcomes)
        return in_time / max(len(self.outcomes), 1)

    def slow_faults(self, max_wait_s: float) -> list[str]:
        """Return requests that were not placed or waited for longer."""
        return [
            f"{o.ended} after {o.waited_s:.2f} s"
            for o in self.outcomes
            if o.ended != "placed" or o.waited_s > max_wait_s
        ][:5]

    def held(self) -> dict[str, tuple[str, placement.Placer]]:
        """Return the holder's address and the placer of each held group."""
        return {
            group: (address, placer)
            for address, replica in self.replica_by_address.items()
            for group, placer in replica.groups._held_placers()
        }

    async def a_holder(self) -> str:
        """Return a replica that holds a group and doesn't lead."""
        leader = (await self.leader()).member.address
        return next(
            address for address, _ in self.held().values() if address != leader
        )

    def group_faults(self) -> list[str]:
        """Return what is wrong once all replicas have run for a while."""
        held = self.held()
        groups = self.groups
        faults = []
        if len(held) != groups:
            faults.append(f"{sorted(held)} are held of {groups} groups")
        placed_on = sum(
            len(placer._record_by_target) for _, placer in held.values()
        )
        if placed_on != len(self.engine_by_name):
            faults.append(f"{placed_on} engines are in groups")
        running = sum(
            record.running
            for _, placer in held.values()
            for record in placer._record_by_target.values()
        )
        if running:
            faults.append(f"{running} grants are left")
        for name, engine in self.engine_by_name.items():
            faults += [f"{name}: {fault}" for fault in engine.faults[:1]]
            alternate = holders.alternations(
                self.holder_history(name), LEASE_S
            )
            faults += [f"{name}: {fault}" for fault in alternate[:1]]
        return faults

    def holder_history(self, name: str) -> list[tuple[float, str]]:
        """Return the time and the holder of the orders an engine accepted."""
        return [
            (at, self.sender_by_fence[(name, fence)])
            for at, fence in self.engine_by_name[name].accepted
        ]

    def engine_of(self, instance: targets.Instance) -> targets.AdapterEngine:
        """Return a replica's client of an engine, which records its orders."""
        engine = super().engine_of(instance)
        return _RecordingClient(self, instance.id, engine)


class _RecordingClient(targets.AdapterEngine):
    """A client of an engine that records which replica sent which fence."""

    def __init__(
        self, world: GroupFleet, name: str, engine: ledger.FakeEngine
    ) -> None:
        self._world = world
        self._name = name
        self._engine = engine

    async def report(self) -> targets.AdapterReport:
        return await self._engine.report()

    async def load(self, order: targets.EngineOrder):
        self._record(order)
        return await self._engine.load(order)

    async def unload(self, order: targets.EngineOrder):
        self._record(order)
        return await self._engine.unload(order)

    def _record(self, order: targets.EngineOrder) -> None:
        """Record the replicas that use this fence for the engine's group."""
        groups = self._world.groups
        group = control.group_id(control.group_of(self._name, groups), groups)
        senders = [
            address
            for address, replica in self._world.replica_by_address.items()
            if group in replica.groups.placer_by_group
            and replica.groups.placer_by_group[group]._term
            == order.fence // placement.FENCES_PER_TERM
        ]
        key = (self._name, order.fence)
        self._world.sender_by_fence.setdefault(key, "+".join(senders))


async def placement_grows_with_the_replicas() -> list[str]:
    """Requests are placed in time though each takes a while, or twice that.

    One process has time for 167 or 83 of the 120 requests a second.
    """
    faults = []
    for cost_s in COSTS_S:
        async with GroupFleet() as f:
            await f.warm_up()
            f.cost_s = cost_s
            await f.generate_traffic(TRAFFIC_S)
            await asyncio.sleep(fleet.PATIENCE_S)
            share = f.share_in_time()
        if share < LEAST_IN_TIME:
            faults.append(
                f"{share:.2f} placed in time at {cost_s * 1e3:.0f} ms each"
            )
    return faults


async def groups_are_spread() -> list[str]:
    """Each group has a holder of its own, and none is the leader."""
    async with GroupFleet() as f:
        await f.warm_up()
        await asyncio.sleep(SETTLED_S)
        leader = await f.leader_address()
        addresses = [address for address, _ in f.held().values()]
        faults = f.group_faults()
        if leader in addresses or len(set(addresses)) < len(addresses):
            faults.append(f"the holders are {addresses}")
        return faults


async def few_engines_form_one_group() -> list[str]:
    """The leader of a small deployment places all requests itself."""
    async with GroupFleet(fleet.Size(6, 9, 20.0, 5)) as f:
        await f.warm_up()
        await asyncio.sleep(SETTLED_S)
        held = f.held()
        leader = await f.leader_address()
        if set(held) != {""} or held[""][0] != leader:
            return [f"groups are held: {held}"]
        return f.slow_faults(fleet.PATIENCE_S) + f.group_faults()


async def _beside(fault, max_wait_s: float = MAX_LOST_WAIT_S) -> list[str]:
    """Return faults of requests while *fault* happens, and afterwards."""
    async with GroupFleet() as f:
        await f.warm_up()
        traffic = asyncio.create_task(f.generate_traffic(TRAFFIC_S))
        await asyncio.sleep(0.5)
        await fault(f)
        await traffic
        await asyncio.sleep(fleet.PATIENCE_S)
        faults = f.slow_faults(max_wait_s)
        if len(f.held()) != f.groups:
            faults.append(f"{sorted(f.held())} are held after the fault")
        f.outcomes.clear()
        await f.generate_traffic(TRAFFIC_S / 2)
        await asyncio.sleep(fleet.RUN_S + SETTLED_S)
        return faults + f.slow_faults(fleet.MAX_WAIT_S) + f.group_faults()


async def holder_killed() -> list[str]:
    """Requests of a killed holder's group are placed on other groups."""

    async def kill(f: GroupFleet) -> None:
        await f.stop(await f.a_holder())

    return await _beside(kill, MAX_FAILED_WAIT_S)


async def holder_stops() -> list[str]:
    """A holder that is stopped as planned gives its group up first."""

    async def stop(f: GroupFleet) -> None:
        address = await f.a_holder()
        await f.replica_by_address[address].hand_over()
        await asyncio.sleep(GIVEN_UP_S)
        others = [g for g, (by, _) in f.held().items() if by != address]
        if len(others) != f.groups:
            raise AssertionError(f"others hold only {sorted(others)}")
        await f.stop(address)

    try:
        return await _beside(stop, MAX_FAILED_WAIT_S)
    except AssertionError as error:
        return [str(error)]


async def holder_silent() -> list[str]:
    """The same with a holder that loses its power."""

    async def cut(f: GroupFleet) -> None:
        await f.cut_power(await f.a_holder())

    return await _beside(cut)


async def holder_cut_from_leader() -> list[str]:
    """A holder that can't reach the leader stops before another begins."""

    async def cut(f: GroupFleet) -> None:
        leader = await f.leader_address()
        f.network.cut(leader, await f.a_holder())

    return await _beside(cut)


async def lost_group_is_held_again() -> list[str]:
    """The group of a killed holder has another one soon."""
    async with GroupFleet() as f:
        await f.warm_up()
        address = await f.a_holder()
        (lost,) = [g for g, (a, _) in f.held().items() if a == address]
        await f.stop(address)
        loop = asyncio.get_running_loop()
        lost_at = loop.time()
        while lost not in f.held():
            if loop.time() - lost_at > RECOVERED_S:
                return [f"{lost} has no holder after {RECOVERED_S} s"]
            await asyncio.sleep(0.02)
        return []


async def small_pool_is_served() -> list[str]:
    """A pool with engines in one group only gets its requests placed there."""
    async with GroupFleet() as f:
        await _add_small_pool(f)
        _move_to_small_pool(f, next(iter(f.engine_by_name)))
        await f.warm_up()
        return await _small_pool_faults(f)


async def engine_moves_to_another_pool() -> list[str]:
    """An engine that is listed in another pool is placed on there only.

    Guards against requests that are placed by the pool of before, after which
    the new pool refuses all.
    """
    async with GroupFleet() as f:
        await _add_small_pool(f)
        await f.warm_up()
        name = next(iter(f.engine_by_name))
        _move_to_small_pool(f, name)
        await asyncio.sleep(SETTLED_S)
        faults = await _small_pool_faults(f)
        placing = (_place(f, n, fleet.POOL) for n in range(4 * ADAPTERS))
        outcomes = await asyncio.gather(*placing)
        if name in outcomes:
            faults.append(f"{name} gets requests of its pool of before")
        if not set(outcomes) <= set(f.engine_by_name):
            faults.append(f"{set(outcomes)}")
        return faults


async def _add_small_pool(f: GroupFleet) -> None:
    pools = tuple(
        catalogue.RoutePool(pool, "/health", 64, f.spec)
        for pool in (fleet.POOL, SMALL_POOL)
    )
    await growth._replace_table(f, catalogue.RouteTable(2, (), pools))


def _move_to_small_pool(f: GroupFleet, name: str) -> None:
    f.instances._instances = tuple(
        (
            dataclasses.replace(each, pool=SMALL_POOL)
            if each.id == name
            else each
        )
        for each in f.instances._instances
    )


async def _small_pool_faults(f: GroupFleet) -> list[str]:
    """Return a fault unless the pool's only engine gets all requests."""
    name = next(iter(f.engine_by_name))
    outcomes = await asyncio.gather(
        *(_place(f, number, SMALL_POOL) for number in range(5))
    )
    return [] if set(outcomes) == {name} else [f"{outcomes}"]


async def _place(f: GroupFleet, number: int, pool: str) -> str:
    """Ask for a place; return the name of the engine, or why there is none."""
    entry = f.entries[number % len(f.entries)]
    request = dataclasses.replace(
        _request(entry, f"{pool}-{number}", number), pool=pool
    )
    try:
        reply = await entry.placements.acquire(request)
    except wire.ServingError as error:
        return error.code
    return reply.target


async def budget_holds_over_groups() -> list[str]:
    """A member spends its budget once, whichever holders it asks."""
    budget = catalogue.Budget(BUDGET_PER_S, BUDGET_PER_S)
    limits = catalogue.Limits(budget=budget)
    async with GroupFleet() as f:
        await f.warm_up()
        pool = catalogue.RoutePool(fleet.POOL, "/health", 64, f.spec)
        member = catalogue.RouteMember("m", catalogue.Member(limits=limits))
        table = catalogue.RouteTable(2, (), (pool,), members=(member,))
        await growth._replace_table(f, table)
        await asyncio.sleep(SETTLED_S)
        outcomes = await asyncio.gather(
            *(_place_debited(f, number) for number in range(60))
        )
    placed = outcomes.count("placed")
    # A bucket that was empty has filled for the time that it settled.
    least, most = BUDGET_PER_S / COST, 2 * BUDGET_PER_S / COST
    if not least <= placed <= most:
        return [f"{placed} requests placed, {least:.0f} to {most:.0f} may be"]
    refused = outcomes.count("limited")
    return [] if placed + refused == 60 else [f"{outcomes}"]


def _request(
    entry: fleet._Entry, name: str, number: int
) -> placement.PlaceRequest:
    """Return a small request for one of the adapters."""
    return placement.PlaceRequest(
        entry.session.boot,
        name,
        fleet.POOL,
        ledger.MODEL,
        f"a{number % ADAPTERS}",
        100,
        20,
        (),
        1,
        fleet.PATIENCE_S,
        entry.datacentre,
    )


async def _place_debited(f: GroupFleet, number: int) -> str:
    """Ask for a place that costs a part of the member's budget."""
    entry = f.entries[number % len(f.entries)]
    request = _request(entry, f"budget-{number}", number)
    debit = _budget_admission.Debit(entry.session.budgets, "m", COST)
    try:
        await entry.placements.acquire(request, debit)
    except wire.LimitError:
        return "limited"
    except wire.ServingError as error:
        return error.code
    return "placed"


async def new_holder_knows_what_runs() -> list[str]:
    """Requests that run at a lost group count at its next holder."""
    with unittest.mock.patch.object(fleet, "RUN_S", LONG_RUN_S):
        async with GroupFleet() as f:
            await f.warm_up()
            address = await f.a_holder()
            (lost,) = [g for g, (a, _) in f.held().items() if a == address]
            number = int(lost.partition("/")[0])
            await f.stop(address)
            await asyncio.sleep(RECOVERED_S + _placer.USES_REPORTED_S)
            _, placer = f.held()[lost]
            running = {
                (entry.session.boot, use.request)
                for entry in f.entries
                for use in entry.placements.uses()
                if control.group_of(use.target, f.groups) == number
            }
            known = {
                key
                for record in placer._record_by_target.values()
                for key in record.grant_by_request
            }
            if not running:
                return ["no request runs at the group"]
            unknown = len(running - known)
            return [f"{unknown} of {len(running)} runs"] if unknown else []


async def random_faults(seed: int, kinds: list[str]) -> list[str]:
    """Apply faults in series, heal, and check that nothing is left.

    At most one replica of five is away at a time, as the settings tolerate.
    """
    async with GroupFleet(seed=seed) as f:
        await f.warm_up()
        rng = random.Random(seed)
        traffic = asyncio.create_task(
            f.generate_traffic(len(kinds) * 1.5 + 0.5)
        )
        await f.apply_faults(kinds, rng, MAX_AWAY_S)
        await traffic
        await asyncio.sleep(SETTLED_S)
        f.outcomes.clear()
        await f.generate_traffic(TRAFFIC_S / 2)
        await asyncio.sleep(fleet.RUN_S + SETTLED_S)
        faults = f.slow_faults(fleet.MAX_WAIT_S) + f.group_faults()
        return [f"seed {seed}, {kinds}: {fault}" for fault in faults]


def run_random(examples: int = 4) -> list[str]:
    """Run random series of faults."""
    found: list[str] = []

    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
    )
    @hypothesis.given(
        strategies.integers(1, 10_000),
        strategies.lists(
            strategies.sampled_from(fleet.FAULTS), min_size=1, max_size=3
        ),
    )
    def check(seed: int, kinds: list[str]) -> None:
        found.extend(ledger.run(random_faults(seed, kinds)))

    check()
    return found


# Decisions about leases, without a network.


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("ask", "ask", "ask", "assign", "lost")),
        strategies.sampled_from(("r1", "r2", "r3")),
        strategies.floats(0.0, 0.6),
    ),
    max_size=80,
)


def leases_never_overlap(steps: list[tuple[str, str, float]]) -> None:
    """A group has one holder at a time, whichever replies get lost.

    A replica's lease counts from its question, the leader's belief from its
    reply.
    """
    now = 0.0
    assignments = _assignments.Assignments("lead", 2, now)
    until: dict[tuple[str, int], float] = {}
    for what, replica, pause_s in steps:
        asked_at, now = now, now + pause_s
        if what == "assign":
            assignments.assign({}, now)
        else:
            held = assignments.renew(replica, now)
        if what == "ask":
            until = {key: at for key, at in until.items() if key[0] != replica}
            for group in held:
                until[(replica, group)] = asked_at + _assignments.LEASE_S
        for group in range(2):
            holders_now = {
                holder
                for (holder, held_group), at in until.items()
                if held_group == group and at > now
            }
            if assignments.holder(group) == "lead":
                holders_now.add("lead")
            assert len(holders_now) <= 1, (group, holders_now)


def run_leases() -> list[str]:
    """Run random series of questions, lost replies and assignments."""
    check = hypothesis.settings(
        max_examples=400, deadline=None, derandomize=True, database=None
    )(hypothesis.given(STEPS)(leases_never_overlap))
    try:
        check()
    except AssertionError as error:
        return [str(error)]
    return []


def check_unclear_former_holder() -> list[str]:
    """A group waits for the lease of a holder that was not heard."""
    assignments = _assignments.Assignments("r1", 1, 0.0)
    early = assignments.assign({0: "r2"}, 0.5)
    late = assignments.assign({0: "r2"}, _assignments.LEASE_ENDED_S)
    assignments = _assignments.Assignments("r1", 1, 0.0)
    assignments.renew("r2", 0.1)
    heard = assignments.assign({0: "r2"}, 0.2)
    if early or not late or [move.holder for move in heard] != ["r2"]:
        return [f"{early}, {late}, {heard}"]
    return []


def check_holders_by_group() -> list[str]:
    """Holders are recorded by group, and a late record is refused."""
    machine = catalogue.CatalogueMachine()
    take = catalogue.TakeOrders
    faults = []

    def apply(holder: str, fence: int, group: str) -> object:
        taken = take(holder, fence, False, group)
        command = wire.encode(catalogue.Command(take_orders=taken))
        return machine.apply(machine.view.index + 1, command)

    apply("r1", 1, "")
    if machine.former_holders("0/2") != ("r1", ""):
        faults.append("a holder of all engines is none of a group")
    apply("r2", 5, "0/2")
    if machine.former_holders("0/2") != ("r1", "", "r2"):
        faults.append(f"recorded {machine.former_holders('0/2')}")
    if apply("r3", 4, "0/2") is not False:
        faults.append("a record with a lower fencing token was taken")
    restored = catalogue.CatalogueMachine()
    restored.restore(machine.view.index, list(machine.snapshot()))
    for each in (machine, restored):
        if each.former_holders("0/2")[-1] != "r2" or each.order_groups() != 2:
            faults.append(f"{each.former_holders('0/2')}")
    return faults


async def _choose_groups() -> list[str]:
    holder, empty = control.GroupHolder, control.GroupHolder()
    table = control.HolderTable("entry-1#1", wire.LoopClock())

    def shares(*holders: control.GroupHolder) -> dict[int | None, float]:
        table.update(holders)
        chosen = [table.choose("base/a1") for _ in range(1_000)]
        return {group: chosen.count(group) / 1_000 for group in set(chosen)}

    first, second = control.ranked_groups("base/a1", 2)
    holders = [holder("r1", 0.1), holder("r2", 0.1)]
    faults = []
    if shares(*holders) != {first: 1.0}:
        faults.append("requests leave a group that is not busier")
    holders[first] = holder(holders[first].address, 5.0)
    if not 0.4 < shares(*holders).get(second, 0.0) < 0.6:
        faults.append(f"of a busy group: {shares(*holders)}")
    table.avoid(first)
    if shares(*holders) != {second: 1.0}:
        faults.append("a holder that failed a call is asked again")
    holders[first] = empty
    if shares(*holders) != {second: 1.0}:
        faults.append("a group without a holder is asked")
    if shares(empty, empty) != {None: 1.0}:
        faults.append("a group is asked though none has a holder")
    return faults


def check_choice_of_groups() -> list[str]:
    """Requests leave a group that is busier, or has no usable holder."""
    return ledger.run(_choose_groups())


def check_call_rate() -> list[str]:
    """The rate of calls follows the machine, however fast that is.

    Twice as many callers as a process has time for ask at the rate that it
    names; each call takes a fixed time.
    """
    faults = []
    for capacity_per_s in (40.0, 150.0, 600.0, 2400.0):
        rate = _call_rate.CallRate()
        queue_s, now, lags = 0.0, 0.0, []
        for _ in range(240):
            now += _call_rate.INTERVAL_S
            asked = min(rate.per_s, 2 * capacity_per_s) * _call_rate.INTERVAL_S
            work_s = queue_s + asked / capacity_per_s
            done_s = min(work_s, _call_rate.INTERVAL_S)
            for _ in range(round(done_s * capacity_per_s)):
                rate.count()
            queue_s = work_s - done_s
            rate.update(queue_s, now)
            lags.append(queue_s)
        if max(lags[120:]) > 0.25:
            faults.append(
                f"{capacity_per_s:.0f} a second: {max(lags[120:]):.2f} s late"
            )
        if rate.per_s < 0.6 * capacity_per_s:
            faults.append(
                f"{capacity_per_s:.0f} a second: only {rate.per_s:.0f} asked"
            )
    return faults


# Checks without a network.
CHECKS = {
    check.__name__: check
    for check in (
        run_leases,
        check_unclear_former_holder,
        check_holders_by_group,
        check_call_rate,
        check_choice_of_groups,
    )
}

SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        placement_grows_with_the_replicas,
        groups_are_spread,
        few_engines_form_one_group,
        holder_killed,
        holder_stops,
        holder_silent,
        holder_cut_from_leader,
        lost_group_is_held_again,
        budget_holds_over_groups,
        small_pool_is_served,
        engine_moves_to_another_pool,
        new_holder_knows_what_runs,
    )
}


async def _debit_nothing(groups, request) -> None:
    """Stands in for a debit at the leader."""


async def _give_up_nothing(groups) -> None:
    """Stands in for the end of a holder that tells nobody."""


# Each mutant switches off a guard: its name, the scenario that must fail, and
# the arguments of mock.patch.object.
MUTANTS = (
    (
        "form groups of many engines",
        "placement_grows_with_the_replicas",
        (_group_lead.control, "count_groups", lambda *_: 1),
    ),
    (
        "leave out a holder that failed a call",
        "holder_killed",
        (control.HolderTable, "avoid", lambda self, group: None),
    ),
    (
        "abandon calls to a holder that is no longer one",
        "holder_silent",
        (
            control.HolderTable,
            "moved",
            property(lambda self: asyncio.Event()),
        ),
    ),
    (
        "tell holders what daemons run",
        "new_holder_knows_what_runs",
        (_group_lead.GroupLead, "pass_on", lambda self, boot, uses: None),
    ),
    (
        "debit the requests that holders place",
        "budget_holds_over_groups",
        (_engine_groups.EngineGroups, "debit", _debit_nothing),
    ),
    (
        "give groups up before a planned stop",
        "holder_stops",
        (_engine_groups.EngineGroups, "give_up", _give_up_nothing),
    ),
    (
        "ask groups with engines of the pool",
        "small_pool_is_served",
        (
            _placements.PlacementClient,
            "_unsuitable_groups",
            lambda self, request: frozenset(),
        ),
    ),
    (
        "wait until a lease has ended",
        "run_leases",
        (_assignments, "LEASE_ENDED_S", 0.2),
    ),
    (
        "wait for a holder of an earlier term",
        "check_unclear_former_holder",
        (_assignments.Assignments, "_is_free", lambda *_: True),
    ),
    (
        "leave a group in which requests wait",
        "check_choice_of_groups",
        (_holders, "MAX_LEAVING_SHARE", 0.0),
    ),
    (
        "follow the lag of the process",
        "check_call_rate",
        (_call_rate, "OVERLOAD_LAG_S", 1e9),
    ),
    (
        "give a lost holder's group away",
        "lost_group_is_held_again",
        (_assignments.Assignments, "_drop_lost", lambda *_: None),
    ),
)


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        if scenario in SCENARIOS:
            return run_scenario(scenario)
        return CHECKS[scenario]()
