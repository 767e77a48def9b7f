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
RESTART_GAP_MS = 60_000
# Time to reload the base model and one adapter after a restart.
RELOAD_S = ledger.MODEL_LOAD_S + 3.0
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
        """The placer's records of its engines."""
        orders = self.placer._orders_by_target.values()
        return [each.record for each in orders]

    async def fill(self, adapters: int = 3) -> None:
        """Load adapters, and place one request that is never released."""
        await asyncio.sleep(2.0)
        for number in range(adapters):
            await self.request(f"a{number}", 0.05)
        await self.placer.on_place(self.new_request("a0"))


def _instance(start: targets.Incarnation) -> targets.Instance:
    return targets.Instance(str(start), ledger.POOL, ADDRESS, "mnl-a")


async def _check_after_restart(harness: RestartHarness) -> list[str]:
    """Return faults if the placer fails a request or keeps old state.

    Old state is what the placer recorded before the engine's restart.
    """
    (engine,) = harness.engine_by_id.values()
    await harness.request("a0", 0.05, RELOAD_S)
    if not harness.served:
        return ["The request was refused, or its adapter was not loaded."]
    (record,) = harness.records
    faults = []
    if record.running:
        faults.append(
            f"{record.running} requests from before the restart "
            "are still counted."
        )
    if record.sequence != engine.sequence:
        faults.append(
            f"The record counts {record.sequence} orders, the engine "
            f"{engine.sequence}."
        )
    if record.has_copy((ledger.MODEL, "a1")):
        faults.append("A copy from before the restart is still recorded.")
    return faults


async def start_reported_by_engine() -> list[str]:
    """The engine reports a later start while the list still lags."""
    async with RestartHarness(1) as harness:
        await harness.fill()
        harness.served = 0
        harness.engine_by_id["e0"].restart(BORN_MS + RESTART_GAP_MS)
        await harness.request("a0", 0.05)
        harness.served = 0
        faults = await _check_after_restart(harness)
        (before,) = harness.records
        harness.read_list()
        harness.listed_by_name["e0"] = BORN_MS + RESTART_GAP_MS
        harness.read_list()
        if harness.records != [before]:
            faults.append("The lagging list discarded the new record.")
        return faults


async def start_shown_by_list() -> list[str]:
    """The list shows a later start before the engine reports it."""
    async with RestartHarness(1) as harness:
        await harness.fill()
        harness.served = 0
        harness.engine_by_id["e0"].restart(BORN_MS + RESTART_GAP_MS)
        harness.listed_by_name["e0"] = BORN_MS + RESTART_GAP_MS
        harness.read_list()
        return await _check_after_restart(harness)


async def no_start_time() -> list[str]:
    """Without start times, fewer orders and no adapters show a restart."""
    async with RestartHarness(1) as harness:
        harness.listed_by_name["e0"] = None
        harness.engine_by_id["e0"].restart(None)
        harness.read_list()
        await harness.fill()
        harness.engine_by_id["e0"].restart(None)
        await harness.request("a0", 0.05)
        harness.served = 0
        return await _check_after_restart(harness)


async def same_start_listed_again() -> list[str]:
    """A start time that is listed again, or not listed, discards no record."""
    async with RestartHarness(1) as harness:
        await harness.fill()
        before = harness.records
        for listed in (BORN_MS, None, BORN_MS):
            harness.listed_by_name["e0"] = listed
            harness.read_list()
            await asyncio.sleep(1.0)
        if harness.records != before:
            return ["The record of an unchanged start was discarded."]
        return []


async def start_listed_late() -> list[str]:
    """A start time that is listed late is that of the recorded start."""
    async with RestartHarness(1) as harness:
        harness.fleet = control.Fleet()
        harness.listed_by_name["e0"] = None
        harness.read_list()
        await harness.fill()
        before = harness.records
        harness.listed_by_name["e0"] = BORN_MS
        harness.read_list()
        await asyncio.sleep(1.0)
        if harness.records != before:
            return ["A start time that was listed late discarded the record."]
        harness.engine_by_id["e0"].restart(BORN_MS + RESTART_GAP_MS)
        await harness.request("a0", 0.05)
        harness.served = 0
        return await _check_after_restart(harness)


SCENARIOS = {
    "start_reported_by_engine": start_reported_by_engine,
    "start_shown_by_list": start_shown_by_list,
    "no_start_time": no_start_time,
    "same_start_listed_again": same_start_listed_again,
    "start_listed_late": start_listed_late,
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
    async with RestartHarness(seed, fault_rates, 2) as harness:
        if not with_start_times:
            _remove_start_times(harness)
        await asyncio.sleep(2.0)
        tasks = []
        for number in range(80):
            if number % 16 == 12:
                _restart_one(harness, rng, with_start_times)
            if number % 5 == 0:
                harness.read_list()
            work = harness.request(
                f"a{rng.randrange(8)}", rng.uniform(0.05, 0.6)
            )
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(rng.uniform(0.0, 0.25))
        await asyncio.gather(*tasks)
        for name, engine in harness.engine_by_id.items():
            engine.fault_rates = ledger.FaultRates()
            harness.listed_by_name[name] = engine.start_time_ms
        await asyncio.sleep(14.0)
        harness.read_list()
        await asyncio.sleep(RELOAD_S)
        # A restart that neither the list nor the engine tells of is found by
        # the first request that the engine rejects.
        for _ in range(1 if with_start_times else 2):
            served = harness.served
            await asyncio.gather(
                *(harness.request(f"a{n}", 0.05) for n in range(8))
            )
            await asyncio.sleep(RELOAD_S)
        faults = harness.check()
        if harness.served < served + 8:
            faults.append(
                f"Only {harness.served - served} of 8 requests were served "
                "after the faults ended."
            )
        running = [record.running for record in harness.records]
        if any(running):
            faults.append(f"Ended requests are still counted: {running}.")
        return faults


def _remove_start_times(harness: RestartHarness) -> None:
    """Remove all start times from the engines and the list."""
    harness.fleet = control.Fleet()
    for name, engine in harness.engine_by_id.items():
        engine.restart(None)
        engine.model_loaded = True
        engine._record_report()
        harness.listed_by_name[name] = None
    harness.read_list()


def _restart_one(
    harness: RestartHarness, rng: random.Random, with_start_times: bool
) -> None:
    """Restart an engine; the list shows it now, later or never."""
    name = rng.choice(list(harness.engine_by_id))
    engine = harness.engine_by_id[name]
    if not with_start_times:
        engine.restart(None)
        return
    engine.restart(engine.start_time_ms + RESTART_GAP_MS)
    if rng.random() < 0.5:
        harness.listed_by_name[name] = engine.start_time_ms


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
        "use one fencing number for all starts",
        "random",
        (placement.EngineOrders, "_fence", property(lambda o: o._term)),
    ),
    (
        "accept a report of any start",
        "start_reported_by_engine",
        (placement.EngineOrders, "_report", _report_unchecked),
    ),
    (
        "identify an engine by its name alone",
        "start_shown_by_list",
        (targets.Incarnation, "__str__", lambda start: start.name),
    ),
    (
        "ignore that a report has fewer orders",
        "no_start_time",
        (placement.EngineRecord, "shows_new_start", lambda *_: False),
    ),
    (
        "accept a list however old",
        "start_reported_by_engine",
        (
            control.Fleet,
            "_apply_entry",
            lambda fleet, _, one: _forget(fleet, one),
        ),
    ),
)


def _forget(fleet: control.Fleet, instance: targets.Instance) -> None:
    """Replace the state of a target by its entry in the list."""
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
