"""On which version of its adapter a request begins after a newer one is set.

The fake engines are the test oracle: they know which version each run begins
on and when each version was set. They replace an adapter as real engines do:
the replacement waits for the runs of the old version, and until it is complete
requests for the adapter that have not begun are rejected as not run.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import functools

from hypothesis import strategies as st

from bergamotsail import control
from bergamotsail import placement
from bergamotsail.placement import _engine_record
from bergamotsail.placement import _placer
from bergamotsail import targets
from bergamotsail import wire
from features.support import ledger

MODEL = ledger.MODEL
ADAPTER = "a1"
ENTRY = "entry-1"
# How long after a newer version is set a request may still begin on an older
# one.
VERSION_BOUND_S = 5.0
# Objective for the start of a call that needs a load.
LATE_S = 1.0
# Time of a request on its way to an engine.
TRANSFER_S = 0.005
# How long requests may be placed on an old version.
OLD_VERSION_S = _placer.OLD_VERSION_S
QUEUE_STEP_S = 0.01
# Number of adapters that may be in transit to an engine.
MAX_IN_TRANSIT = 4
# Patience of one call for a placement, and the pause after a refused one.
PLACE_PATIENCE_S = 3.0
RETRY_PAUSE_S = 0.3
USES_INTERVAL_S = 0.5
SETTLE_S = 2.0
Outcome = targets.OrderOutcome


class VersionEngine(ledger.FakeEngine):
    """Queues requests and replaces versions once their runs have ended.

    It refuses a load while MAX_IN_TRANSIT others are in transit.

    Attributes:
        queue_s: how long each request waits before it begins.
        load_s_by_version: duration of the loads of some versions.
        loads: number of load orders received.
    """

    def __init__(self, *args: object) -> None:
        self.queue_s = 0.0
        self.load_s_by_version: dict[int, float] = {}
        self._replacement_by_name: dict[str, int] = {}
        self.loads = 0
        super().__init__(*args)

    def _load(self, order: targets.EngineOrder) -> Outcome:
        self.loads += 1
        is_new = order.adapter not in self.pending
        holds = self.ready.get(order.adapter) == (order.version or 1)
        if is_new and not holds and len(self.pending) >= MAX_IN_TRANSIT:
            return self._check_order(order) or Outcome.OTHERWISE
        return super()._load(order)

    def load_time_s(self, name: str, version: int) -> float:
        usual_s = super().load_time_s(name, version)
        return self.load_s_by_version.get(version, usual_s)

    def _loaded(self, name: str, version: int, start: int) -> None:
        if self.running.get(name):
            self._replacement_by_name[name] = version
            return
        super()._loaded(name, version, start)

    def end(self, name: str) -> None:
        super().end(name)
        if not self.running.get(name) and name in self._replacement_by_name:
            version = self._replacement_by_name.pop(name)
            super()._loaded(name, version, self._start)

    def takes(self, name: str, version: int | None) -> bool:
        """Whether a request that expects this version is not rejected."""
        if name in self.pending or name in self._leaving:
            return False
        return name in self.ready and version in (None, self.ready[name])

    async def wait_for_turn(
        self, name: str, version: int | None
    ) -> placement.UseOutcome:
        """Wait in the queue and begin; return how the request fared."""
        steps = round(self.queue_s / QUEUE_STEP_S)
        while self.takes(name, version):
            if steps == 0:
                self.begin(name)
                return placement.UseOutcome.DONE
            steps -= 1
            await asyncio.sleep(QUEUE_STEP_S)
        if name in self.pending and name in self.ready:
            return placement.UseOutcome.REFUSED
        return placement.UseOutcome.ABSENT


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A version of an adapter that was set."""

    at: float
    version: int


class VersionHarness(ledger.PlacerHarness):
    """Calls for adapters whose versions change; an async context manager."""

    engine_class = VersionEngine

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._settings_by_adapter: dict[str, list[Setting]] = (
            collections.defaultdict(list)
        )
        self._use_by_request: dict[str, control.Use] = {}
        self.took_s: list[float] = []

    async def __aenter__(self) -> "VersionHarness":
        await super().__aenter__()
        self._reporting = asyncio.create_task(self._report_uses())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._reporting.cancel()
        await super().__aexit__(*exc)

    async def _report_uses(self) -> None:
        while True:
            await asyncio.sleep(USES_INTERVAL_S)
            uses = tuple(self._use_by_request.values())
            self.placer.take_uses(ENTRY, uses)

    def name_version(self, adapter: str, version: int) -> None:
        super().name_version(adapter, version)
        now = asyncio.get_running_loop().time()
        self._settings_by_adapter[adapter].append(Setting(now, version))

    async def elect(self, initial_delay_s: float = 0.0) -> None:
        """Replace the leader by another process with the same log."""
        await self.placer.__aexit__()
        self.leader.number += 1
        self.placer = self.make_placer(initial_delay_s)
        await self.placer.__aenter__()
        self.placer.targets_changed(self.infos)

    async def call(
        self, adapter: str, work_s: float, patience_s: float = 8.0
    ) -> None:
        """Serve a request as an entry does; repeat it if it did not run."""
        started_at = asyncio.get_running_loop().time()
        deadline = started_at + patience_s
        avoid: tuple[str, ...] = ()
        while (left_s := deadline - asyncio.get_running_loop().time()) > 0:
            request = dataclasses.replace(
                self.new_request(adapter, min(left_s, PLACE_PATIENCE_S)),
                avoid=avoid,
            )
            try:
                place = await self.placer.on_place(request)
            except wire.ServingError:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if await self._run(request, place, work_s):
                now = asyncio.get_running_loop().time()
                self.took_s.append(now - work_s - started_at)
                self.served += 1
                return
            avoid = (*avoid, place.target)
        self.refused += 1

    async def _run(
        self,
        request: placement.PlaceRequest,
        place: placement.PlaceReply,
        work_s: float,
    ) -> bool:
        """Send a request to its engine; return whether it ran."""
        engine = self.engine_by_id[place.target]
        self._use_by_request[request.request] = control.Use(
            request.request, place.target, MODEL, request.adapter, 120
        )
        await asyncio.sleep(TRANSFER_S)
        outcome = await engine.wait_for_turn(request.adapter, place.version)
        ran = outcome is placement.UseOutcome.DONE
        if ran:
            self._check_version(request.adapter, engine)
            begun = placement.BegunUse(
                request.request, place.target, TRANSFER_S + engine.queue_s
            )
            await self._release(begun=(begun,))
            await asyncio.sleep(work_s)
            engine.end(request.adapter)
        del self._use_by_request[request.request]
        ended = placement.EndedUse(request.request, place.target, outcome)
        await self._release(ended=(ended,))
        return ran

    async def _release(
        self,
        ended: tuple[placement.EndedUse, ...] = (),
        begun: tuple[placement.BegunUse, ...] = (),
    ) -> None:
        release = placement.ReleaseRequest(ENTRY, ended, begun)
        with contextlib.suppress(wire.ServingError):
            await self.placer.on_release(release)

    def _check_version(self, adapter: str, engine: VersionEngine) -> None:
        now = asyncio.get_running_loop().time()
        version = engine.ready[adapter]
        for setting in self._settings_by_adapter[adapter]:
            since_s = now - setting.at
            if setting.version > version and since_s > VERSION_BOUND_S:
                self.faults.append(
                    f"a request began on version {version}, {since_s:.2f} s "
                    f"after version {setting.version} was set"
                )
                return

    def start_calls(
        self, interval_s: float, work_s: float, until_s: float
    ) -> asyncio.Task:
        """Call for the adapter again and again in the background."""
        return asyncio.create_task(
            self._call_repeatedly(interval_s, work_s, until_s)
        )

    async def _call_repeatedly(
        self, interval_s: float, work_s: float, until_s: float
    ) -> None:
        ends_at = asyncio.get_running_loop().time() + until_s
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < ends_at:
                group.create_task(self.call(ADAPTER, work_s))
                await asyncio.sleep(interval_s)


async def load_ends_after_next_version() -> list[str]:
    """A load that takes longer than the bound ends on an old version."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:
        await asyncio.sleep(SETTLE_S)
        for engine in harness.engine_by_id.values():
            engine.load_s_by_version[1] = VERSION_BOUND_S + 0.2
        harness.name_version(ADAPTER, 1)
        waiting = asyncio.create_task(harness.call(ADAPTER, 0.1))
        await asyncio.sleep(0.1)
        harness.name_version(ADAPTER, 2)
        await waiting
        return harness.check() + _unserved(harness)


async def load_of_old_version_not_awaited() -> list[str]:
    """A slow load of an old version does not hold up the newest one."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:
        await asyncio.sleep(SETTLE_S)
        for engine in harness.engine_by_id.values():
            engine.load_s_by_version[1] = VERSION_BOUND_S
        harness.name_version(ADAPTER, 1)
        waiting = asyncio.create_task(harness.call(ADAPTER, 0.1))
        await asyncio.sleep(0.1)
        harness.name_version(ADAPTER, 2)
        await waiting
        took_s = max(harness.took_s)
        if took_s > OLD_VERSION_S + ledger.STORE_LOAD_S + 0.2:
            harness.faults.append(f"the call took {took_s:.2f} s")
        return harness.check() + _unserved(harness)


async def versions_in_series(interval_s: float) -> list[str]:
    """Further versions don't extend the use of a copy that stays busy."""
    async with VersionHarness(1, ledger.FaultRates(), engines=1) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        busy = asyncio.create_task(harness.call(ADAPTER, 12.0))
        await asyncio.sleep(1.0)
        calls = harness.start_calls(0.2, 0.1, 10.0)
        for number in range(int(8.0 / interval_s) + 1):
            harness.name_version(ADAPTER, 2 + number)
            await asyncio.sleep(interval_s)
        await asyncio.gather(busy, calls)
        return harness.check()


async def election_after_new_version(after_s: float) -> list[str]:
    """A new leader does not extend the use of a copy that stays busy."""
    async with VersionHarness(1, ledger.FaultRates(), engines=1) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        busy = asyncio.create_task(harness.call(ADAPTER, 10.0))
        await asyncio.sleep(1.0)
        harness.name_version(ADAPTER, 2)
        await asyncio.sleep(after_s)
        await harness.elect(initial_delay_s=3.0)
        await harness.start_calls(0.2, 0.1, 6.0)
        await busy
        return harness.check()


async def queue_outlasts_bound() -> list[str]:
    """Requests that wait at an engine begin on a version in force."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        await harness.call(ADAPTER, 0.1)
        for engine in harness.engine_by_id.values():
            engine.queue_s = VERSION_BOUND_S + 1.0
        queued = asyncio.create_task(harness.call(ADAPTER, 0.1, 20.0))
        await asyncio.sleep(0.2)
        harness.name_version(ADAPTER, 2)
        await asyncio.sleep(4.0)
        for engine in harness.engine_by_id.values():
            engine.queue_s = 0.0
        await queued
        now = asyncio.get_running_loop().time()
        blamed = [
            f"{target} is blamed for the rejection"
            for target, orders in harness.placer._orders_by_target.items()
            if orders.record.faults(now) > 0.1
        ]
        return harness.check() + _unserved(harness) + blamed


async def order_executed_late() -> list[str]:
    """A load of an old version that is executed late is not used."""
    async with VersionHarness(1, ledger.FaultRates(), engines=1) as harness:
        await asyncio.sleep(SETTLE_S)
        (engine,) = harness.engine_by_id.values()
        engine.fault_rates = ledger.FaultRates(late=1.0, max_delay_s=6.0)
        harness.name_version(ADAPTER, 1)
        await harness.call(ADAPTER, 0.1, 0.1)
        harness.name_version(ADAPTER, 2)
        await asyncio.sleep(1.0)
        harness.refused = 0
        engine.fault_rates = ledger.FaultRates()
        await asyncio.sleep(7.0)
        await harness.call(ADAPTER, 0.1)
        return harness.check() + _unserved(harness)


async def busy_copy_is_replaced() -> list[str]:
    """Calls for a busy adapter go on while its copies are replaced."""
    async with VersionHarness(1, ledger.FaultRates(), engines=2) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        await harness.call(ADAPTER, 0.1)
        calls = harness.start_calls(0.05, 1.0, 12.0)
        for version in (2, 3, 4):
            await asyncio.sleep(2.0)
            harness.name_version(ADAPTER, version)
        await calls
        return harness.check() + _unserved(harness)


async def replacement_after_election_holds_up_nobody() -> list[str]:
    """Calls go elsewhere while a new leader replaces a copy in long use."""
    async with VersionHarness(1, ledger.FaultRates(), engines=4) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        busy = asyncio.create_task(harness.call(ADAPTER, 20.0))
        await asyncio.sleep(1.0)
        harness.name_version(ADAPTER, 2)
        await asyncio.sleep(0.5)
        await harness.elect(initial_delay_s=3.0)
        await asyncio.sleep(4.0)
        harness.took_s.clear()
        await harness.start_calls(1.0, 0.1, 10.0)
        await busy
        return harness.check() + _unserved(harness) + _late(harness)


async def replacement_of_queue_holds_up_nobody() -> list[str]:
    """Calls go elsewhere while a copy with a queue is replaced."""
    async with VersionHarness(
        1, ledger.FaultRates(), engines=2, slots=1
    ) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        busy = asyncio.create_task(harness.call(ADAPTER, 20.0))
        await asyncio.sleep(0.6)
        other = asyncio.create_task(harness.call("a2", 5.4))
        await asyncio.sleep(0.4)
        (engine,) = (
            engine
            for engine in harness.engine_by_id.values()
            if engine.running.get(ADAPTER)
        )
        engine.queue_s = 30.0
        queued = asyncio.create_task(harness.call(ADAPTER, 0.1, 3.2))
        await asyncio.sleep(0.1)
        harness.name_version(ADAPTER, 2)
        await asyncio.sleep(6.0)
        harness.refused = 0
        harness.took_s.clear()
        await harness.start_calls(1.0, 0.1, 8.0)
        await asyncio.gather(busy, other, queued)
        return harness.check() + _unserved(harness) + _late(harness)


async def replacements_leave_room() -> list[str]:
    """Replacements of many busy copies don't stop loads of other adapters."""
    async with VersionHarness(
        1, ledger.FaultRates(), engines=1, slots=8
    ) as harness:
        (engine,) = harness.engine_by_id.values()
        await asyncio.sleep(SETTLE_S)
        names = [f"b{number}" for number in range(6)]
        for name in names:
            harness.name_version(name, 1)
            await harness.call(name, 0.05)
        busy = [asyncio.create_task(harness.call(n, 15.0)) for n in names]
        await asyncio.sleep(1.0)
        engine.queue_s = 30.0
        busy += [asyncio.create_task(harness.call(n, 0.1, 4.0)) for n in names]
        await asyncio.sleep(0.2)
        for name in names:
            harness.name_version(name, 2)
        await asyncio.sleep(3.2)
        engine.queue_s, engine.loads = 0.0, 0
        harness.refused = 0
        harness.took_s.clear()
        await harness.call("a7", 0.05)
        faults = _unserved(harness) + _late(harness)
        await asyncio.sleep(6.0)
        # Each load is sent and confirmed by some more orders.
        if engine.loads > 10 * len(names):
            faults.append(f"{engine.loads} load orders were sent")
        for call in busy:
            call.cancel()
        return faults


async def queue_of_leaving_engine() -> list[str]:
    """Requests that wait at an engine that is leaving begin in time too."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, 1)
        await harness.call(ADAPTER, 0.1)
        (engine,) = (
            engine for engine in harness.engine_by_id.values() if engine.ready
        )
        engine.queue_s = VERSION_BOUND_S + 1.0
        queued = asyncio.create_task(harness.call(ADAPTER, 0.1))
        await asyncio.sleep(0.2)
        harness.name_version(ADAPTER, 2)
        infos = tuple(
            dataclasses.replace(
                info, leaving=harness.engine_by_id[info.id] is engine
            )
            for info in harness.infos
        )
        harness.placer.targets_changed(infos)
        await queued
        return harness.check() + _unserved(harness)


async def _queued_with(
    harness: VersionHarness,
    disturb: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> list[str]:
    """Set a version while a request waits in a long queue, then disturb."""
    await asyncio.sleep(SETTLE_S)
    harness.name_version(ADAPTER, 1)
    await harness.call(ADAPTER, 0.1)
    for engine in harness.engine_by_id.values():
        engine.queue_s = VERSION_BOUND_S + 0.5
    queued = asyncio.create_task(harness.call(ADAPTER, 0.1, 20.0))
    await asyncio.sleep(0.1)
    harness.name_version(ADAPTER, 2)
    await disturb()
    await asyncio.sleep(9.0)
    queued.cancel()
    return harness.check()


async def queue_of_unknown_engine() -> list[str]:
    """A request waits at engines that give no report."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:

        async def fail_report() -> targets.AdapterReport:
            raise wire.PeerLostError("No report.")

        async def disturb() -> None:
            for engine in harness.engine_by_id.values():
                engine.report = fail_report
            for orders in harness.placer._orders_by_target.values():
                orders.reconcile()

        return await _queued_with(harness, disturb)


async def queue_without_orders() -> list[str]:
    """A request waits while a new leader may not give orders yet."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:

        async def disturb() -> None:
            await asyncio.sleep(2.6)
            await harness.elect(initial_delay_s=3.0)

        return await _queued_with(harness, disturb)


async def queue_without_leader() -> list[str]:
    """A request waits while the leader is not confirmed for 3 s."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:

        async def disturb() -> None:
            await asyncio.sleep(2.5)
            harness.leader.leads = False
            await asyncio.sleep(3.0)
            harness.leader.leads = True

        return await _queued_with(harness, disturb)


async def queue_with_lost_orders() -> list[str]:
    """A request waits while no order is answered or executed in time."""
    async with VersionHarness(1, ledger.FaultRates()) as harness:

        async def disturb() -> None:
            for engine in harness.engine_by_id.values():
                engine.fault_rates = ledger.FaultRates(
                    late=1.0, max_delay_s=8.0
                )

        return await _queued_with(harness, disturb)


def _late(harness: VersionHarness) -> list[str]:
    """Return a fault if a call waited much longer than for a load."""
    took_s = max(harness.took_s, default=0.0)
    if took_s > LATE_S:
        return [f"a call began after {took_s:.2f} s"]
    return []


def _unserved(harness: VersionHarness) -> list[str]:
    """Return a fault if any call was refused."""
    if harness.refused:
        return [f"{harness.refused} calls were refused"]
    return []


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of a random history: what happens after a pause."""

    pause_s: float
    kind: str
    value: float


HISTORIES = st.lists(
    st.one_of(
        *(
            st.builds(
                Step,
                st.sampled_from((0.0, 0.3, 0.9, 2.0, 5.2)),
                st.just(kind),
                st.sampled_from(values),
            )
            for kind, values in (
                ("version", (0.0,)),
                ("call", (0.1, 1.0, 7.0)),
                ("queue", (0.0, 0.6, 3.0, 8.0)),
                ("load", (0.05, 0.3, 4.0, 6.0)),
                ("elect", (0.0, 3.0)),
                ("late", (0.0, 0.4)),
            )
        )
    ),
    min_size=4,
    max_size=14,
)


async def _play(steps: collections.abc.Sequence[Step]) -> list[str]:
    """Play a history; at its end a call must be served by the newest."""
    async with VersionHarness(1, ledger.FaultRates(), engines=2) as harness:
        engines = list(harness.engine_by_id.values())
        version = 1
        await asyncio.sleep(SETTLE_S)
        harness.name_version(ADAPTER, version)
        calls = [harness.start_calls(0.7, 0.4, 15.0)]
        for step in steps:
            await asyncio.sleep(step.pause_s)
            if step.kind == "version":
                version += 1
                harness.name_version(ADAPTER, version)
            elif step.kind == "call":
                call = harness.call(ADAPTER, step.value)
                calls.append(asyncio.create_task(call))
            elif step.kind == "elect":
                await harness.elect(step.value)
            for engine in engines:
                if step.kind == "queue":
                    engine.queue_s = step.value
                elif step.kind == "load":
                    engine.load_s_by_version[version + 1] = step.value
                elif step.kind == "late":
                    engine.fault_rates = ledger.FaultRates(late=step.value)
        for engine in engines:
            engine.queue_s, engine.fault_rates = 0.0, ledger.FaultRates()
        await asyncio.gather(*calls)
        await asyncio.sleep(14.0)
        served = harness.served
        await harness.call(ADAPTER, 0.1)
        if harness.served == served:
            harness.faults.append("no call was served at the end")
        return harness.check()


def history_keeps_bound(steps: collections.abc.Sequence[Step]) -> None:
    """Check a random history of versions, loads, queues and elections."""
    faults = ledger.run(_play(steps))
    assert not faults, (faults[:2], steps)


INTERVALS_S = (0.3, 0.9, 2.0, 5.2)
PHASES_S = (0.1, 0.9, 2.0, 3.5, 4.5)

Scenario = collections.abc.Callable[[], collections.abc.Coroutine]

# Scenarios in which no request may begin on an old version beyond the bound.
BOUNDED: dict[str, Scenario] = (
    {
        "load_ends_after_next_version": load_ends_after_next_version,
        "queue_outlasts_bound": queue_outlasts_bound,
        "order_executed_late": order_executed_late,
        "queue_of_leaving_engine": queue_of_leaving_engine,
    }
    | {
        f"versions_in_series each {interval_s} s": functools.partial(
            versions_in_series, interval_s
        )
        for interval_s in INTERVALS_S
    }
    | {
        f"election_after_new_version after {after_s} s": functools.partial(
            election_after_new_version, after_s
        )
        for after_s in PHASES_S
    }
)
# Scenarios in which the queue of an engine can't be rejected in time.
QUEUES_NOT_REJECTED = {
    "queue_of_unknown_engine": queue_of_unknown_engine,
    "queue_without_orders": queue_without_orders,
    "queue_without_leader": queue_without_leader,
    "queue_with_lost_orders": queue_with_lost_orders,
}
SCENARIOS = (
    BOUNDED
    | QUEUES_NOT_REJECTED
    | {
        "busy_copy_is_replaced": busy_copy_is_replaced,
        "replacement_after_election_holds_up_nobody": (
            replacement_after_election_holds_up_nobody
        ),
        "replacement_of_queue_holds_up_nobody": (
            replacement_of_queue_holds_up_nobody
        ),
        "replacements_leave_room": replacements_leave_room,
        "load_of_old_version_not_awaited": load_of_old_version_not_awaited,
    }
)


def run_scenario(name: str) -> list[str]:
    """Run a scenario by its name, in virtual time."""
    return ledger.run(SCENARIOS[name]())


def _looked_at_first(
    placer: _placer.Placer,
    name: _engine_record.AdapterName,
    slot: _engine_record.Slot,
    now: float,
) -> int | None:
    """Start the period of an old version at the first look, for a mutant."""
    slot.newest_at = max(slot.newest_at, 0.0) or now
    return _NEWER_VERSION(placer, name, slot, now)


_NEWER_VERSION = _placer.Placer._newer_version
_NOT_READY = property(
    lambda slot: slot.state is not _engine_record.SlotState.READY
)

# Mutants, each of which disables a guard: name, scenario that must then
# fail, patched attribute.
MUTANTS = (
    (
        "start requests on an old version",
        "versions_in_series each 5.2 s",
        (_placer, "OLD_VERSION_S", 1e9),
    ),
    (
        "count the period from the first look, after an election",
        "election_after_new_version after 4.5 s",
        (_placer.Placer, "_newer_version", _looked_at_first),
    ),
    (
        "count the period from the first look, after a late order",
        "order_executed_late",
        (_placer.Placer, "_newer_version", _looked_at_first),
    ),
    (
        "leave requests in the queue of an old version",
        "queue_outlasts_bound",
        (_placer, "OLD_VERSION_QUEUE_S", 1e9),
    ),
    (
        "blame an engine for requests that a replacement rejected",
        "queue_outlasts_bound",
        (_engine_record.EngineRecord, "rejects_requests", lambda *_: False),
    ),
    (
        "wait for a replacement that waits for runs, after an election",
        "replacement_after_election_holds_up_nobody",
        (_engine_record.Slot, "is_load_imminent", _NOT_READY),
    ),
    (
        "wait for a replacement that waits for runs, after a queue",
        "replacement_of_queue_holds_up_nobody",
        (_engine_record.Slot, "is_load_imminent", _NOT_READY),
    ),
    (
        "take all places in transit for replacements",
        "replacements_leave_room",
        (_placer, "MAX_LOADS_TO_REPLACE_BUSY", 100),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
