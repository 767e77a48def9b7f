"""Engines that restart under the same name.

The placer and the fleet, which remembers the listed targets, are production
code; the engines are the fakes of ``features/support/ledger.py``. All run in
virtual time.
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
# Time to reload the base model and one adapter after a restart.
RELOAD_S = ledger.MODEL_S + 3.0
ADDRESS = "10.1.0.1:1"


class RestartHarness(ledger.PlacerHarness):
    """A placer with fake engines and a list of their start times."""

    def __init__(
        self,
        seed: int,
        fault_rates: ledger.FaultRates = ledger.FaultRates(),
        engines: int = 1,
    ) -> None:
        super().__init__(seed, fault_rates, engines)
        self.fleet = control.Fleet()
        self.listed_by_name: dict[str, int | None] = {}
        for name, engine in self.engine_by_id.items():
            engine.restart(BORN_MS)
            engine.model_loaded = True
            engine._record_report()
            self.listed_by_name[name] = BORN_MS
        self.placer.on_new_start(self._new_start)

    async def __aenter__(self) -> "RestartHarness":
        await self.placer.__aenter__()
        self.read_list()
        return self

    def _new_start(self, target: str, start_time_ms: int) -> None:
        self.fleet.record_restart(target, start_time_ms)
        self._publish()

    def read_list(self) -> None:
        """Update the fleet and the placer from the list."""
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
    def records(self) -> list[placement.EngineRecord]:
        """What the placer has recorded of each engine."""
        orders = self.placer._orders_by_target.values()
        return [each.record for each in orders]

    async def fill(self, adapters: int = 3) -> None:
        """Load adapters, and place one request that is never released."""
        await asyncio.sleep(2.0)
        for number in range(adapters):
            await self.request(f"a{number}", 0.05)
        await self.placer.on_place(self.ask("a0"))


def _instance(start: targets.Incarnation) -> targets.Instance:
    return targets.Instance(str(start), ledger.POOL, ADDRESS, "mnl-a")


async def _check_after_restart(world: RestartHarness) -> list[str]:
    """Return faults if the placer fails a request or keeps old state.

    Old state is what the placer recorded before the engine's restart.
    """
    (engine,) = world.engine_by_id.values()
    await world.request("a0", 0.05, RELOAD_S)
    if not world.served:
        return ["The request was refused, or its adapter was not loaded."]
    (record,) = world.records
    faults = []
    if record.running:
        faults.append(
            f"{record.running} requests from before the restart "
            "are still counted."
        )
    if record.sequence != engine.sequence:
        faults.append(
            f"The ledger counts {record.sequence} orders, the engine "
            f"{engine.sequence}."
        )
    if record.has_copy((ledger.MODEL, "a1")):
        faults.append("A copy from before the restart is still recorded.")
    return faults


async def told_by_the_engine() -> list[str]:
    """The engine reports a later start while the list still lags."""
    async with RestartHarness(1) as world:
        await world.fill()
        world.served = 0
        world.engine_by_id["e0"].restart(BORN_MS + LATER_MS)
        await world.request("a0", 0.05)
        world.served = 0
        faults = await _check_after_restart(world)
        (before,) = world.records
        world.read_list()
        world.listed_by_name["e0"] = BORN_MS + LATER_MS
        world.read_list()
        if world.records != [before]:
            faults.append("The lagging list discarded the new ledger.")
        return faults


async def told_by_the_list() -> list[str]:
    """The list is the first to show a later start."""
    async with RestartHarness(1) as world:
        await world.fill()
        world.served = 0
        world.engine_by_id["e0"].restart(BORN_MS + LATER_MS)
        world.listed_by_name["e0"] = BORN_MS + LATER_MS
        world.read_list()
        return await _check_after_restart(world)


async def told_by_neither() -> list[str]:
    """No start time is known; fewer orders and no adapters show a restart."""
    async with RestartHarness(1) as world:
        world.listed_by_name["e0"] = None
        world.engine_by_id["e0"].restart(None)
        world.read_list()
        await world.fill()
        world.engine_by_id["e0"].restart(None)
        await world.request("a0", 0.05)
        world.served = 0
        return await _check_after_restart(world)


async def told_the_same() -> list[str]:
    """A start that is listed again, or not listed, discards no ledger."""
    async with RestartHarness(1) as world:
        await world.fill()
        before = world.records
        for told in (BORN_MS, None, BORN_MS):
            world.listed_by_name["e0"] = told
            world.read_list()
            await asyncio.sleep(1.0)
        if world.records != before:
            return ["The ledger of an unchanged start was discarded."]
        return []


async def told_late() -> list[str]:
    """A start time that is listed late may be that of the known start."""
    async with RestartHarness(1) as world:
        world.fleet = control.Fleet()
        world.listed_by_name["e0"] = None
        world.read_list()
        await world.fill()
        before = world.records
        world.listed_by_name["e0"] = BORN_MS
        world.read_list()
        await asyncio.sleep(1.0)
        if world.records != before:
            return ["A start time that was listed late discarded the ledger."]
        world.engine_by_id["e0"].restart(BORN_MS + LATER_MS)
        await world.request("a0", 0.05)
        world.served = 0
        return await _check_after_restart(world)


SCENARIOS = {
    "restart_reported_by_engine": told_by_the_engine,
    "restart_shown_by_list": told_by_the_list,
    "restart_without_start_time": told_by_neither,
    "same_start_listed_again": told_the_same,
    "start_time_listed_late": told_late,
}


async def random_starts(seed: int, with_start_times: bool) -> list[str]:
    """Random requests while engines restart under the same names.

    Args:
        with_start_times: whether the engines and the list give start times.
    """
    rng = random.Random(seed)
    fault_rates = ledger.FaultRates(
        rng.choice((0, 0.2)), rng.choice((0, 0.2)), 6.0
    )
    async with RestartHarness(seed, fault_rates, 2) as world:
        if not with_start_times:
            _remove_start_times(world)
        await asyncio.sleep(2.0)
        tasks = []
        for number in range(80):
            if number % 16 == 12:
                _restart_one(world, rng, with_start_times)
            if number % 5 == 0:
                world.read_list()
            work = world.request(
                f"a{rng.randrange(8)}", rng.uniform(0.05, 0.6)
            )
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(rng.uniform(0.0, 0.25))
        await asyncio.gather(*tasks)
        for name, engine in world.engine_by_id.items():
            engine.fault_rates = ledger.FaultRates()
            world.listed_by_name[name] = engine.start_time_ms
        await asyncio.sleep(14.0)
        world.read_list()
        await asyncio.sleep(RELOAD_S)
        served = world.served
        await asyncio.gather(*(world.request(f"a{n}", 0.05) for n in range(8)))
        faults = world.check()
        if world.served < served + 8:
            faults.append(
                f"Only {world.served - served} of 8 requests were served "
                "after the faults ended."
            )
        running = [record.running for record in world.records]
        if any(running):
            faults.append(f"Ended requests are still counted: {running}.")
        return faults


def _remove_start_times(world: RestartHarness) -> None:
    """Remove all start times from the engines and the list."""
    world.fleet = control.Fleet()
    for name, engine in world.engine_by_id.items():
        engine.restart(None)
        engine.model_loaded = True
        engine._record_report()
        world.listed_by_name[name] = None
    world.read_list()


def _restart_one(
    world: RestartHarness, rng: random.Random, with_start_times: bool
) -> None:
    """Restart an engine; the list shows it now, later or never."""
    name = rng.choice(list(world.engine_by_id))
    engine = world.engine_by_id[name]
    if not with_start_times:
        engine.restart(None)
        return
    engine.restart(engine.start_time_ms + LATER_MS)
    if rng.random() < 0.5:
        world.listed_by_name[name] = engine.start_time_ms


def run_scenario(name: str) -> list[str]:
    """Run a scenario by its name."""
    return ledger.run(SCENARIOS[name]())


def run_random(seed: int) -> list[str]:
    """Run random loads with engines that restart."""
    return [
        f"seed {seed}, start times known {with_start_times}: {fault}"
        for with_start_times in (True, False)
        for fault in ledger.run(random_starts(seed, with_start_times))
    ]


# Events: the engine restarts, the list gives a start some restarts old or
# none, or the engine reports its present start. The number is the age of the
# listed start in restarts.
HISTORY = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["starts", "list", "hushed list", "engine"]),
        strategies.integers(min_value=0, max_value=3),
    ),
    max_size=30,
)


def fleet_follows_starts(history: list[tuple[str, int]]) -> None:
    """Check that a fleet keeps the latest start it has seen.

    A list that lags must not bring back an earlier start.
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
            fleet.record_restart(before, BORN_MS + start)
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
    """Check that an incarnation is unchanged by writing and parsing it."""
    start = targets.Incarnation(name, start_time_ms)
    assert targets.Incarnation.of(str(start)) == start, start


def _report_unchecked(orders, *_) -> collections.abc.Awaitable:
    return orders._engine.report()


# Mutants, each of which disables a guard: name, scenario that must then
# fail, patched attribute.
MUTANTS = (
    (
        "one fencing number for all starts",
        "random",
        (placement.EngineOrders, "_fence", property(lambda o: o._term)),
    ),
    (
        "believe a report of whichever start",
        "restart_reported_by_engine",
        (placement.EngineOrders, "_report", _report_unchecked),
    ),
    (
        "know an engine by its name alone",
        "restart_shown_by_list",
        (targets.Incarnation, "__str__", lambda start: start.name),
    ),
    (
        "see no start in fewer orders",
        "restart_without_start_time",
        (placement.EngineRecord, "shows_new_start", lambda *_: False),
    ),
    (
        "believe the list, however old",
        "restart_reported_by_engine",
        (
            control.Fleet,
            "_apply_entry",
            lambda fleet, _, one: _forget(fleet, one),
        ),
    ),
)


def _forget(fleet: control.Fleet, instance: targets.Instance) -> None:
    """Replace what was known of a target with its entry in the list."""
    fleet.remember(instance, False)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        try:
            if scenario == "random":
                return [f for seed in range(16) for f in run_random(seed)]
            return run_scenario(scenario)
        except wire.ServingError as error:
            return [error.message]
