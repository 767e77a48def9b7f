"""Tests of placement calls that replicas gather for the leader.

They run in virtual time; see fleet.py. All adapters fit into the slots of the
engines, so that a request waits for its call and not for a slot.
"""

import asyncio
import collections
import contextlib
import random
import unittest.mock

import hypothesis
from hypothesis import strategies

from bergamotsail import control
from bergamotsail.control import _gatherer_choice
from bergamotsail import placement
from bergamotsail.placement import _exchange
from bergamotsail.placement import _gatherer
from bergamotsail.routing import _placements
from bergamotsail import wire
from features.support import fleet
from features.support import ledger

ADAPTERS = 24
SIZE = fleet.Size(40, 12, 60.0, 6)
MANY = fleet.Size(40, 24, 240.0, 6)
FEW = fleet.Size(6, 9, 60.0, 6)
WARM_UP_S = 3.0
TRAFFIC_S = 2.0
# Longest wait in which a request changes from a replica that doesn't answer
# to another way: the leader misses its replies for 0.5 s, and the next
# heartbeat of each daemon tells so.
MAX_SILENCE_WAIT_S = 1.2
# Longest wait of a request whose call fails at once.
MAX_FAILED_WAIT_S = 0.4
# Without a leader requests wait for the next one.
MAX_ELECTION_WAIT_S = 2.2
# Longest time that a replica is away in a random series of faults.
MAX_AWAY_S = 0.9
# By then the grants of lost replies are released.
RELEASED_S = 3.0
CALLS = ("place", "release", "heartbeat", "exchange")


class GatheringFleet(fleet.Fleet):
    """A deployment with few adapters that counts calls by replica."""

    def __init__(self, size: fleet.Size, seed: int = 1) -> None:
        super().__init__(size, seed)
        self._weights = [1.0] * ADAPTERS + [0.0] * (fleet.ADAPTERS - ADAPTERS)

    async def __aenter__(self) -> "GatheringFleet":
        # Without remembered placements each request needs its own.
        forget = unittest.mock.patch.object(_placements, "MAX_CACHED", 0)
        self._stack.enter_context(forget)
        return await super().__aenter__()

    async def warm_up(self) -> None:
        """Run traffic until all adapters are resident."""
        await asyncio.sleep(fleet.SETTLE_S)
        await self.generate_traffic(WARM_UP_S)
        await asyncio.sleep(1.0)
        self.outcomes.clear()

    async def gatherer_address(self) -> str:
        """Return the address of the replica that most entries call."""
        counts = collections.Counter(
            entry.session.gatherer.address() for entry in self.entries
        )
        return counts.most_common(1)[0][0]

    async def placer(self) -> placement.Placer:
        """Return the placer of the leader."""
        return self.replica_by_address[await self.leader_address()].placer

    async def running(self) -> int:
        """Return the number of grants that the leader counts as running."""
        records = (await self.placer())._record_by_target.values()
        return sum(record.running for record in records)

    def slow_faults(self, max_wait_s: float) -> list[str]:
        """Return the requests that were not placed or waited for longer."""
        return [
            f"{o.ended} after {o.waited_s:.2f} s"
            for o in self.outcomes
            if o.ended != "placed" or o.waited_s > max_wait_s
        ][:5]


@contextlib.contextmanager
def _counted_calls(address: str | None, network):
    """Count the calls to an address, or to any if it is None, by name."""
    counts: collections.Counter[str] = collections.Counter()
    check = network.check_request

    def count(to: str, call: wire.Call, size: int) -> None:
        counts[call.name] += address in (None, to)
        check(to, call, size)

    with unittest.mock.patch.object(network, "check_request", count):
        yield counts


async def leader_carries_few_calls() -> list[str]:
    """The leader's calls don't grow with the requests that it places."""
    async with GatheringFleet(MANY) as f:
        await f.warm_up()
        with _counted_calls(await f.leader_address(), f.network) as counts:
            await f.generate_traffic(TRAFFIC_S)
        per_s = sum(counts[name] for name in CALLS) / TRAFFIC_S
        faults = f.slow_faults(fleet.MAX_WAIT_S)
        if per_s > _gatherer.MAX_EXCHANGES_PER_S * 1.1:
            faults.append(f"{per_s:.0f} calls a second at the leader")
        return faults


async def few_daemons_call_directly() -> list[str]:
    """A small deployment asks its leader without a detour."""
    async with GatheringFleet(FEW) as f:
        await f.warm_up()
        with _counted_calls(await f.leader_address(), f.network) as counts:
            await f.generate_traffic(TRAFFIC_S)
        exchanges = counts["exchange"]
        return [f"{exchanges} exchanges"] if exchanges else []


async def _beside_fault(fault, max_wait_s: float) -> list[str]:
    """Return faults of requests while *fault* happens, and of later ones."""
    async with GatheringFleet(SIZE) as f:
        await f.warm_up()
        traffic = asyncio.create_task(f.generate_traffic(TRAFFIC_S))
        await asyncio.sleep(TRAFFIC_S / 2)
        await fault(f)
        await traffic
        await asyncio.sleep(max_wait_s)
        faults = f.slow_faults(max_wait_s)
        f.outcomes.clear()
        await f.generate_traffic(TRAFFIC_S / 2)
        await asyncio.sleep(fleet.RUN_S + RELEASED_S)
        faults += f.slow_faults(fleet.MAX_WAIT_S)
        if running := await f.running():
            faults.append(f"{running} grants are left")
        return faults


async def gatherer_killed() -> list[str]:
    """A replica that is killed costs its callers no more than a retry."""

    async def kill(f: GatheringFleet) -> None:
        await f.stop(await f.gatherer_address())

    return await _beside_fault(kill, MAX_FAILED_WAIT_S)


async def gatherer_silent() -> list[str]:
    """Calls to a replica without power go elsewhere before they time out."""

    async def cut(f: GatheringFleet) -> None:
        await f.cut_power(await f.gatherer_address())

    return await _beside_fault(cut, MAX_SILENCE_WAIT_S)


async def gatherer_cut_from_leader() -> list[str]:
    """A replica that can't reach the leader fails the calls that it has."""

    async def cut(f: GatheringFleet) -> None:
        f.network.cut(await f.leader_address(), await f.gatherer_address())

    return await _beside_fault(cut, MAX_SILENCE_WAIT_S)


async def leader_killed() -> list[str]:
    """Requests at other replicas are placed by the next leader."""

    async def kill(f: GatheringFleet) -> None:
        await f.stop(await f.leader_address())

    return await _beside_fault(kill, MAX_ELECTION_WAIT_S)


async def leader_silent() -> list[str]:
    """The same with a leader that loses its power."""

    async def cut(f: GatheringFleet) -> None:
        await f.cut_power(await f.leader_address())

    return await _beside_fault(cut, MAX_ELECTION_WAIT_S)


async def leader_sheds_exchanges() -> list[str]:
    """A leader that refuses an exchange loses none of the earlier calls."""
    async with GatheringFleet(SIZE) as f:
        await f.warm_up()
        replica = f.replica_by_address[await f.leader_address()]
        call, handler = replica.server.by_name["exchange"]
        refused = 0

        async def shed_some(request: object) -> object:
            nonlocal refused
            if f.rng.random() < 0.2:
                refused += 1
                raise wire.LoadShedError("late", retry_after_s=0.05)
            return await handler(request)

        replica.server.serve(call, shed_some)
        with _counted_calls(None, f.network) as counts:
            await f.generate_traffic(TRAFFIC_S)
            await asyncio.sleep(1.0)
        faults = f.slow_faults(1.0)
        calls = counts["place"] + counts["place_indirect"]
        if calls > len(f.outcomes):
            faults.append(f"{calls} calls for {len(f.outcomes)} requests")
        return faults if refused else ["no exchange was refused"]


async def callers_leave() -> list[str]:
    """Requests whose callers leave don't wait at the leader any longer."""
    async with GatheringFleet(SIZE) as f:
        await f.warm_up()
        placer = await f.placer()
        entry = f.entries[0]
        request = placement.PlaceRequest(
            entry.session.boot,
            "left",
            fleet.POOL,
            ledger.MODEL,
            "a1",
            2_300,
            22,
            (),
            1,
            fleet.PATIENCE_S,
            entry.datacentre,
            avoid=tuple(f.engine_by_name),
        )
        asked = asyncio.create_task(entry.placements.acquire(request))
        await asyncio.sleep(0.3)
        if not len(placer._waiters):
            return ["The request does not wait."]
        asked.cancel()
        await asyncio.sleep(0.3)
        waiting = len(placer._waiters)
        return [f"{waiting} requests wait"] if waiting else []


def _count_old_calls(gatherer: placement.CallGatherer) -> int:
    """Count the calls that no exchange can still bring an outcome for."""
    now = asyncio.get_running_loop().time()
    calls = (*gatherer._unsent.values(), *gatherer._sent.values())
    return sum(
        now - call.arrived_at > _gatherer.EXCHANGE_TIMEOUT_S for call in calls
    )


async def random_faults(seed: int, kinds: list[str]) -> list[str]:
    """Apply faults in series, heal, and check that nothing is left.

    At most one replica of five is away at a time, as the settings tolerate.
    """
    async with GatheringFleet(SIZE, seed) as f:
        await f.warm_up()
        rng = random.Random(seed)
        traffic = asyncio.create_task(
            f.generate_traffic(len(kinds) * 1.5 + 0.5)
        )
        await f.apply_faults(kinds, rng, MAX_AWAY_S)
        await traffic
        await asyncio.sleep(MAX_ELECTION_WAIT_S)
        faults = []
        f.outcomes.clear()
        await f.generate_traffic(TRAFFIC_S / 2)
        await asyncio.sleep(fleet.RUN_S + RELEASED_S)
        faults += f.slow_faults(fleet.MAX_WAIT_S)
        if running := await f.running():
            faults.append(f"{running} grants are left")
        placer = await f.placer()
        if len(placer._waiters):
            faults.append(f"{len(placer._waiters)} requests still wait")
        for address, replica in f.replica_by_address.items():
            if calls := _count_old_calls(replica.gatherer):
                faults.append(f"{calls} calls are left at {address}")
        return [f"seed {seed}, {kinds}: {fault}" for fault in faults]


def run_random() -> list[str]:
    """Run random series of faults."""
    found: list[str] = []

    @hypothesis.settings(
        max_examples=5,
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


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        leader_carries_few_calls,
        few_daemons_call_directly,
        gatherer_killed,
        gatherer_silent,
        gatherer_cut_from_leader,
        leader_killed,
        leader_silent,
        callers_leave,
        leader_sheds_exchanges,
    )
}


# Each mutant switches off a guard: its name, the scenario that must fail, and
# the arguments of mock.patch.object.
MUTANTS = (
    (
        "gather the calls of large deployments",
        "leader_carries_few_calls",
        (control.GathererChoice, "address", lambda self: None),
    ),
    (
        "call the leader directly in small deployments",
        "few_daemons_call_directly",
        (_gatherer_choice, "MAX_DIRECT_DAEMONS", 0),
    ),
    (
        "abandon calls to a replica that the leader no longer hears",
        "gatherer_silent",
        (
            control.GathererChoice,
            "moved",
            property(lambda self: asyncio.Event()),
        ),
    ),
    (
        "leave out a replica that failed a call",
        "gatherer_killed",
        (control.GathererChoice, "avoid", lambda self, address: None),
    ),
    (
        "tell the leader of callers that left",
        "callers_leave",
        (_gatherer, "MAX_QUEUED", 0),
    ),
    (
        "fail only the calls that a leader refused",
        "leader_sheds_exchanges",
        (
            _gatherer.CallGatherer,
            "_on_failed",
            lambda self, request, error: self._lose_sent(()) or 0.0,
        ),
    ),
    (
        "return what ended before the next exchange",
        "leader_carries_few_calls",
        (_exchange._Sender, "take_outcomes", lambda self: ()),
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
