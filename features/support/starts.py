"""Engines that start again under the name that they had.

The holder of the orders and the memory of the list are real; the engines
are the oracles of the ledger's tests. Virtual time.
"""

import asyncio
import collections.abc
import random

import hypothesis
from hypothesis import strategies

from bergamotsail import control
from bergamotsail import placement
from bergamotsail import targets
from bergamotsail import wire
from features.support import ledger

BORN_MS = 1_700_000_000_000
LATER_MS = 60_000
# An engine is used again once its model is back and one adapter is loaded.
BACK_S = ledger.MODEL_S + 3.0
ADDRESS = "10.1.0.1:1"


class StartLedger(ledger.Ledger):
    """A ledger whose engines are listed, with when they started."""

    def __init__(
        self,
        seed: int,
        luck: ledger.FaultRates = ledger.FaultRates(),
        engines: int = 1,
    ) -> None:
        super().__init__(seed, luck, engines)
        self.fleet = control.Fleet()
        self.listed_by_name: dict[str, int | None] = {}
        for name, engine in self.engine_by_id.items():
            engine.restart(BORN_MS)
            engine.model_loaded = True
            engine._note()
            self.listed_by_name[name] = BORN_MS
        self.placer.on_new_start(self._take_word)

    async def __aenter__(self) -> "StartLedger":
        await self.placer.__aenter__()
        self.read_list()
        return self

    def _take_word(self, target: str, start_time_ms: int) -> None:
        self.fleet.started(target, start_time_ms)
        self._publish()

    def read_list(self) -> None:
        """Read the list as it stands."""
        now = asyncio.get_running_loop().time()
        self.fleet.update(
            [
                _instance(targets.Incarnation(name, start_time_ms))
                for name, start_time_ms in self.listed_by_name.items()
            ],
            now,
        )
        self._publish()

    def _publish(self) -> None:
        self.placer.targets_changed(
            [
                control.TargetInfo(
                    instance.id,
                    instance.pool,
                    instance.address,
                    instance.datacentre,
                    leaving,
                )
                for instance, leaving in self.fleet.all()
            ]
        )

    @property
    def holdings(self) -> list[placement.EngineRecord]:
        """What is believed of the engines."""
        orders = self.placer._orders_by_target.values()
        return [each.holding for each in orders]

    async def fill(self, adapters: int = 3) -> None:
        """Load adapters, and leave one request that never ends here."""
        await asyncio.sleep(2.0)
        for number in range(adapters):
            await self.request(f"a{number}", 0.05)
        await self.placer.on_place(self.ask("a0"))


def _instance(start: targets.Incarnation) -> targets.Instance:
    return targets.Instance(str(start), ledger.POOL, ADDRESS, "mnl-a")


async def _serves_anew(world: StartLedger) -> list[str]:
    """Return what is wrong a while after an engine started anew."""
    (engine,) = world.engine_by_id.values()
    await world.request("a0", 0.05, BACK_S)
    if not world.served:
        return ["A request was refused, or ran where its adapter was not."]
    (holding,) = world.holdings
    faults = []
    if holding.running:
        faults.append(f"{holding.running} requests of before still count.")
    if holding.sequence != engine.sequence:
        faults.append(f"{holding.sequence} orders are counted.")
    if holding.has_copy((ledger.MODEL, "a1")):
        faults.append("A copy of before is believed in.")
    return faults


async def told_by_the_engine() -> list[str]:
    """Its report names a later start, while the list still lags."""
    async with StartLedger(1) as world:
        await world.fill()
        world.served = 0
        world.engine_by_id["e0"].restart(BORN_MS + LATER_MS)
        await world.request("a0", 0.05)
        world.served = 0
        faults = await _serves_anew(world)
        (before,) = world.holdings
        world.read_list()
        world.listed_by_name["e0"] = BORN_MS + LATER_MS
        world.read_list()
        if world.holdings != [before]:
            faults.append("The lagging list ended the new ledger.")
        return faults


async def told_by_the_list() -> list[str]:
    """The list names a later start before anything else shows it."""
    async with StartLedger(1) as world:
        await world.fill()
        world.served = 0
        world.engine_by_id["e0"].restart(BORN_MS + LATER_MS)
        world.listed_by_name["e0"] = BORN_MS + LATER_MS
        world.read_list()
        return await _serves_anew(world)


async def told_by_neither() -> list[str]:
    """Nothing names a start; fewer orders and no adapters show it."""
    async with StartLedger(1) as world:
        world.listed_by_name["e0"] = None
        world.engine_by_id["e0"].restart(None)
        world.read_list()
        await world.fill()
        world.engine_by_id["e0"].restart(None)
        await world.request("a0", 0.05)
        world.served = 0
        return await _serves_anew(world)


async def told_the_same() -> list[str]:
    """The same start told again, not told or told first ends nothing."""
    async with StartLedger(1) as world:
        await world.fill()
        before = world.holdings
        for told in (BORN_MS, None, BORN_MS):
            world.listed_by_name["e0"] = told
            world.read_list()
            await asyncio.sleep(1.0)
        if world.holdings != before:
            return ["A ledger of the same start was ended."]
        return []


async def told_late() -> list[str]:
    """The list names a start for the first time; it may be the known one."""
    async with StartLedger(1) as world:
        world.fleet = control.Fleet()
        world.listed_by_name["e0"] = None
        world.read_list()
        await world.fill()
        before = world.holdings
        world.listed_by_name["e0"] = BORN_MS
        world.read_list()
        await asyncio.sleep(1.0)
        if world.holdings != before:
            return ["A ledger was ended by a start told late."]
        world.engine_by_id["e0"].restart(BORN_MS + LATER_MS)
        await world.request("a0", 0.05)
        world.served = 0
        return await _serves_anew(world)


SCENARIOS = {
    "told_by_the_engine": told_by_the_engine,
    "told_by_the_list": told_by_the_list,
    "told_by_neither": told_by_neither,
    "told_the_same": told_the_same,
    "told_late": told_late,
}


async def random_starts(seed: int, tells: bool) -> list[str]:
    """Random requests while engines start again under their names."""
    rng = random.Random(seed)
    luck = ledger.FaultRates(rng.choice((0, 0.2)), rng.choice((0, 0.2)), 6.0)
    async with StartLedger(seed, luck, 2) as world:
        if not tells:
            _hush(world)
        await asyncio.sleep(2.0)
        tasks = []
        for number in range(80):
            if number % 16 == 12:
                _restart_one(world, rng, tells)
            if number % 5 == 0:
                world.read_list()
            work = world.request(
                f"a{rng.randrange(8)}", rng.uniform(0.05, 0.6)
            )
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(rng.uniform(0.0, 0.25))
        await asyncio.gather(*tasks)
        for name, engine in world.engine_by_id.items():
            engine.luck = ledger.FaultRates()
            world.listed_by_name[name] = engine.start_time_ms
        await asyncio.sleep(14.0)
        world.read_list()
        await asyncio.sleep(BACK_S)
        served = world.served
        await asyncio.gather(*(world.request(f"a{n}", 0.05) for n in range(8)))
        faults = world.check()
        if world.served < served + 8:
            faults.append(f"After all was well, only {world.served} ran.")
        running = [holding.running for holding in world.holdings]
        if any(running):
            faults.append(f"Still counted: {running}.")
        return faults


def _hush(world: StartLedger) -> None:
    """Let nothing say when an engine started."""
    world.fleet = control.Fleet()
    for name, engine in world.engine_by_id.items():
        engine.restart(None)
        engine.model_loaded = True
        engine._note()
        world.listed_by_name[name] = None
    world.read_list()


def _restart_one(world: StartLedger, rng: random.Random, tells: bool) -> None:
    """Restart an engine; the list may tell later, or never."""
    name = rng.choice(list(world.engine_by_id))
    engine = world.engine_by_id[name]
    if not tells:
        engine.restart(None)
        return
    engine.restart(engine.start_time_ms + LATER_MS)
    if rng.random() < 0.5:
        world.listed_by_name[name] = engine.start_time_ms


def run_scenario(name: str) -> list[str]:
    """Run a scenario by its name."""
    return ledger.run(SCENARIOS[name]())


def run_random(seed: int) -> list[str]:
    """Run random loads with engines that start again."""
    return [
        f"seed {seed}, told {tells}: {fault}"
        for tells in (True, False)
        for fault in ledger.run(random_starts(seed, tells))
    ]


# What the list and the engine say, one after the other: the list a start
# of some time ago or none, the engine its own.
HISTORY = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["starts", "list", "hushed list", "engine"]),
        strategies.integers(min_value=0, max_value=3),
    ),
    max_size=30,
)


def fleet_follows_starts(history: list[tuple[str, int]]) -> None:
    """Compare a fleet with what an engine did.

    What was told of a start stays in force, however old the list is.
    """
    fleet = control.Fleet()
    start, told = 0, 0
    fleet.update([_instance(_start(0))], 0.0)
    for what, lag in history:
        before = _known(fleet)
        if what == "starts":
            start += 1
        elif what == "list":
            listed = max(start - lag, 0)
            fleet.update([_instance(_start(listed))], 0.0)
            told = max(told, listed)
        elif what == "hushed list":
            fleet.update([_instance(targets.Incarnation("e0"))], 0.0)
        elif told != start:
            fleet.started(before, BORN_MS + start)
            told = start
        assert _known(fleet) == str(_start(told)), (what, history)


def _start(number: int) -> targets.Incarnation:
    return targets.Incarnation("e0", BORN_MS + number)


def _known(fleet: control.Fleet) -> str:
    ((instance, _),) = fleet.all()
    return instance.id


NAMES = strategies.text(
    strategies.sampled_from(["i", "-", "7", "#"]), min_size=1, max_size=6
)


@hypothesis.given(NAMES, strategies.none() | strategies.integers(0))
def texts_say_all(name: str, start_time_ms: int | None) -> None:
    """The text of an incarnation names that one and no other."""
    start = targets.Incarnation(name, start_time_ms)
    assert targets.Incarnation.of(str(start)) == start, start


def _take_no_word(orders, *_) -> collections.abc.Awaitable:
    return orders._engine.report()


# Each switches a guard off: its name, its scenario, what it patches.
MUTANTS = (
    (
        "one fencing number for all starts",
        "random",
        (placement.EngineOrders, "_fence", property(lambda o: o._term)),
    ),
    (
        "believe a report of whichever start",
        "told_by_the_engine",
        (placement.EngineOrders, "_report", _take_no_word),
    ),
    (
        "know an engine by its name alone",
        "told_by_the_list",
        (targets.Incarnation, "__str__", lambda start: start.name),
    ),
    (
        "see no start in fewer orders",
        "told_by_neither",
        (placement.EngineRecord, "shows_new_start", lambda *_: False),
    ),
    (
        "believe the list, however old",
        "told_by_the_engine",
        (control.Fleet, "_take", lambda fleet, _, one: _forget(fleet, one)),
    ),
)


def _forget(fleet: control.Fleet, instance: targets.Instance) -> None:
    """Take an entry of the list without regard to what was known."""
    fleet.remember(instance, False)


def run_mutant(number: int) -> list[str]:
    """Run a scenario with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        try:
            if scenario == "random":
                return [f for seed in range(16) for f in run_random(seed)]
            return run_scenario(scenario)
        except wire.ServingError as error:
            return [error.message]
