"""Runs the placer against fake engines whose orders are lost or delayed.

The fake engine is the test oracle: it knows which adapters it holds and
records each load that exceeds its adapter slots. The placer, which issues the
orders and keeps a record of each engine, is the production code. All run in
virtual time.
"""

import asyncio
import contextlib
import dataclasses
import random
import unittest.mock

import looptime

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _placer
from bergamotsail import targets
from bergamotsail import wire

MODEL = "base"
REPORT_LAG_S = 0.2
STORE_LOAD_S = 0.25
# Longest delay of an unload that is carried out late.
LATE_UNLOAD_S = 30.0
COPY_LOAD_S = 0.025
MODEL_LOAD_S = 1.0
# Time from the grant to the first chunk of the answer.
FIRST_CHUNK_S = 0.01
POOL = "sastre-llm"
Outcome = targets.OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Fault rates of the link to an engine.

    Args:
        late: share of orders that are not answered and are executed later.
        lost: share of orders that are executed but whose answer is lost.
        max_delay_s: longest delay of a late order, in seconds.
    """

    late: float = 0.0
    lost: float = 0.0
    max_delay_s: float = 12.0


class FakeEngine(targets.AdapterEngine):
    """Executes orders and records each load that exceeds its slots."""

    def __init__(
        self,
        spec: catalogue.EngineSpec,
        fault_rates: FaultRates,
        rng: random.Random,
    ) -> None:
        self.faults: list[str] = []
        self.sequence = 0
        self.ready: dict[str, int] = {}
        self.pending: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self._copies: set[str] = set()
        self._fence = 0
        self._spec = spec
        self.fault_rates = fault_rates
        self._rng = rng
        self._leaving: set[str] = set()
        self._history: list[tuple[float, targets.AdapterReport]] = []
        # Time and fence of each accepted order, also if its answer was lost.
        self.accepted: list[tuple[float, int]] = []
        self._tasks: set[asyncio.Task] = set()
        self.reports = 0
        self.unloads_in_use = 0
        self.model_loaded = True
        self.model_at = 0.0
        self.fetching = False
        self._on_disk = False
        self.start_time_ms: int | None = None
        self._start = 0
        self._record_report()

    def hold(self, adapter: str) -> None:
        """Hold an adapter from the start."""
        self.ready[adapter] = 1
        self._history.clear()
        self._record_report()

    def restart(self, start_time_ms: int | None) -> None:
        """Restart under the same name without adapters or a base model.

        Orders that were not answered may still be executed.
        """
        self._start += 1
        self.start_time_ms = start_time_ms
        self.sequence = 0
        self._fence = 0
        for held in (self.ready, self.pending, self.running):
            held.clear()
        self._copies.clear()
        self._leaving.clear()
        self.drop_model(on_disk=False)

    def drop_model(self, on_disk: bool) -> None:
        """Drop the base model and the past reports."""
        self.model_loaded = False
        self._on_disk = on_disk
        self._history.clear()
        self._record_report()

    def _load_model(self) -> Outcome:
        if self.model_loaded:
            return Outcome.HOLDS
        self.fetching = not self._on_disk
        self._call_later(MODEL_LOAD_S, self._model_loaded, self._start)
        return Outcome.STARTED

    def _model_loaded(self, start: int) -> None:
        if start != self._start:
            return
        self.model_loaded, self.fetching = True, False
        self.model_at = asyncio.get_running_loop().time()
        self.sequence += 1
        self._record_report()

    async def report(self) -> targets.AdapterReport:
        await asyncio.sleep(0.002)
        self.reports += 1
        now = asyncio.get_running_loop().time()
        visible = [r for at, r in self._history if at <= now - REPORT_LAG_S]
        return visible[-1] if visible else self._history[0][1]

    async def load(self, order: targets.EngineOrder) -> Outcome:
        return await self._receive(order, self._load)

    async def unload(self, order: targets.EngineOrder) -> Outcome:
        return await self._receive(order, self._unload)

    async def _receive(self, order, execute) -> Outcome:
        await asyncio.sleep(0.001)
        if not order.gate():
            raise wire.NotSentError("The order may no longer be sent.")

        def execute_and_record(order: targets.EngineOrder) -> Outcome:
            outcome = execute(order)
            if outcome in (Outcome.STARTED, Outcome.HOLDS):
                now = asyncio.get_running_loop().time()
                self.accepted.append((now, order.fence))
            return outcome

        draw = self._rng.random()
        if draw < self.fault_rates.late:
            delay_s = self._rng.uniform(2.0, self.fault_rates.max_delay_s)
            self._call_later(delay_s, execute_and_record, order)
            await asyncio.sleep(0.2)
            raise wire.PeerLostError("The order was not answered.")
        outcome = execute_and_record(order)
        if draw < self.fault_rates.late + self.fault_rates.lost:
            await asyncio.sleep(0.2)
            raise wire.PeerLostError("The answer was lost.")
        await asyncio.sleep(0.001)
        return outcome

    def _call_later(self, delay_s: float, work, *args) -> None:
        async def wait() -> None:
            await asyncio.sleep(delay_s)
            work(*args)

        task = asyncio.create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check_order(self, order: targets.EngineOrder) -> Outcome | None:
        if order.fence < self._fence:
            return Outcome.FENCED
        self._fence = order.fence
        if self._leaving:
            return Outcome.OTHERWISE
        if order.expected not in (None, self.sequence):
            return Outcome.OTHERWISE
        return None

    def _load(self, order: targets.EngineOrder) -> Outcome:
        refused = self._check_order(order)
        if refused is not None:
            return refused
        if not order.adapter:
            return self._load_model()
        name, version = order.adapter, order.version or 1
        if self.ready.get(name) == version:
            return Outcome.HOLDS
        if name in self.pending:
            return Outcome.STARTED
        taken = len(set(self.ready) | set(self.pending) | {name})
        if taken > self._spec.adapter_slots:
            self.faults.append(
                f"{name} needs slot {taken} of {self._spec.adapter_slots}"
            )
        self.sequence += 1
        self.pending[name] = version
        delay_s = self.load_time_s(name, version)
        self._call_later(delay_s, self._loaded, name, version, self._start)
        self._record_report()
        return Outcome.STARTED

    def load_time_s(self, name: str, version: int) -> float:
        """Return the duration of a load."""
        return COPY_LOAD_S if name in self._copies else STORE_LOAD_S

    def _loaded(self, name: str, version: int, start: int) -> None:
        if start != self._start:
            return
        if self.pending.get(name) == version:
            del self.pending[name]
            self.ready[name] = version
            self._copies.add(name)
            self._record_report()

    def _unload(self, order: targets.EngineOrder) -> Outcome:
        refused = self._check_order(order)
        if refused is not None:
            return refused
        self.sequence += 1
        if self.running.get(order.adapter):
            self._leaving.add(order.adapter)
            self.unloads_in_use += 1
            self._record_report()
            return Outcome.STARTED
        self.ready.pop(order.adapter, None)
        self._record_report()
        return Outcome.HOLDS

    def begin(self, name: str) -> bool:
        """Begin a run; return False if the adapter is not ready."""
        if name not in self.ready or name in self._leaving:
            return False
        self.running[name] = self.running.get(name, 0) + 1
        self._record_report()
        return True

    def end(self, name: str) -> None:
        """End a run; the last one completes a pending unload."""
        if not self.running.get(name):
            return
        self.running[name] -= 1
        self._record_report()
        if not self.running[name] and name in self._leaving:
            self._leaving.discard(name)
            self.ready.pop(name, None)
            self._record_report()

    def _record_report(self) -> None:
        def held(
            adapters: dict[str, int],
        ) -> tuple[targets.ReportedAdapter, ...]:
            return tuple(
                targets.ReportedAdapter(MODEL, name, version)
                for name, version in adapters.items()
            )

        report = targets.AdapterReport(
            (MODEL,) if self.model_loaded else (),
            held(self.ready),
            held(self.pending),
            bool(self._leaving),
            self.sequence,
            running=sum(self.running.values()),
            at_hand=(MODEL,) if self._on_disk else (),
            start_time_ms=self.start_time_ms,
        )
        try:
            now = asyncio.get_running_loop().time()
        except RuntimeError:
            now = 0.0
        self._history.append((now, report))


class FakeLeadership(placement.Leadership):
    """A leadership whose term and state are set by the test."""

    def __init__(self) -> None:
        self.number = 1
        self.leads = True

    @property
    def term(self) -> int:
        return self.number

    def holds(self) -> bool:
        return self.leads

    def refusal(self) -> wire.ServingError:
        return wire.NotLeaderError("This replica is not the leader.")


class PlacerHarness:
    """Runs a placer with fake engines; an async context manager."""

    engine_class: type[FakeEngine] = FakeEngine

    def __init__(
        self,
        seed: int,
        fault_rates: FaultRates,
        engines: int = 2,
        slots: int = 3,
        initial_delay_s: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.spec = catalogue.EngineSpec(
            64, 100_000, 1e6, slots, 4.0, (catalogue.BaseModel(MODEL, 1, 1),)
        )
        self.leader = FakeLeadership()
        self.machine = catalogue.CatalogueMachine()
        self.engine_by_id: dict[str, FakeEngine] = {}
        self.infos = tuple(
            control.TargetInfo(f"e{n}", POOL, f"10.1.0.{n + 1}:1", "mnl-a")
            for n in range(engines)
        )
        for info in self.infos:
            engine = self.engine_class(self.spec, fault_rates, self.rng)
            self.engine_by_id[info.id] = engine
        self._put_routes()
        self.placer = self.make_placer(initial_delay_s)
        self.served = 0
        self.refused = 0
        self.faults: list[str] = []
        self._index = 1
        self._number = 0

    def make_placer(self, initial_delay_s: float) -> placement.Placer:
        """Return a placer that waits this long before its first order."""
        return placement.Placer(
            self.leader,
            lambda: self.machine.view,
            self.engine_of,
            placement.CopyAffinityPolicy(),
            observe.Metrics(),
            tenure=placement.Tenure(0.0, 0.0, initial_delay_s),
        )

    def _put_routes(self) -> None:
        pool = catalogue.RoutePool(POOL, "/health", 64, self.spec)
        table = catalogue.RouteTable(1, (), (pool,))
        replace = catalogue.ReplaceRoutes(table, "{}")
        command = catalogue.Command(replace_routes=replace)
        self.machine.apply(1, wire.encode(command))

    def name_version(self, adapter: str, version: int) -> None:
        """Set the default version of an adapter."""
        self._index += 1
        name = catalogue.NameVersion(MODEL, adapter, version)
        command = catalogue.Command(name_version=name)
        self.machine.apply(self._index, wire.encode(command))

    def engine_of(self, instance: targets.Instance) -> FakeEngine:
        """Return the engine of an instance, whichever its incarnation."""
        name = targets.Incarnation.of(instance.id).name
        return self.engine_by_id[name]

    async def __aenter__(self) -> "PlacerHarness":
        await self.placer.__aenter__()
        self.placer.targets_changed(self.infos)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.placer.__aexit__()

    def new_request(
        self,
        adapter: str,
        patience_s: float = 3.0,
        age_s: float = 0.0,
        prompt_tokens: int = 100,
    ) -> placement.PlaceRequest:
        """Return a new placement request."""
        self._number += 1
        return placement.PlaceRequest(
            "entry-1",
            f"r{self._number}",
            POOL,
            MODEL,
            adapter,
            prompt_tokens,
            20,
            (),
            0,
            patience_s,
            "mnl-a",
            age_s=age_s,
        )

    async def request(
        self,
        adapter: str,
        work_s: float,
        patience_s: float = 3.0,
        age_s: float = 0.0,
        prompt_tokens: int = 100,
    ) -> None:
        """Request a place, run there and release it."""
        place_request = self.new_request(
            adapter, patience_s, age_s, prompt_tokens
        )
        try:
            place = await self.placer.on_place(place_request)
        except wire.ServingError:
            self.refused += 1
            return
        name = targets.Incarnation.of(place.target).name
        engine = self.engine_by_id[name]
        ran = engine.begin(adapter)
        if ran:
            self.served += 1
            first_s = min(work_s, FIRST_CHUNK_S)
            await asyncio.sleep(first_s)
            begun = placement.BegunUse(
                place_request.request, place.target, first_s
            )
            await self.placer.on_release(
                placement.ReleaseRequest("entry-1", (), (begun,))
            )
            await asyncio.sleep(work_s - first_s)
            engine.end(adapter)
        outcome = placement.UseOutcome.DONE
        if not ran:
            outcome = placement.UseOutcome.ABSENT
        ended = placement.EndedUse(
            place_request.request, place.target, outcome
        )
        await self.placer.on_release(
            placement.ReleaseRequest("entry-1", (ended,))
        )

    def check(self) -> list[str]:
        """Return the faults found by the harness and its engines."""
        return self.faults + [
            f"{name}: {fault}"
            for name, engine in self.engine_by_id.items()
            for fault in engine.faults
        ]


async def random_load(seed: int, fault_rates: FaultRates) -> list[str]:
    """Request more adapters than there are slots, at random times.

    Once the faults have ended, a request for each adapter must be served.
    """
    async with PlacerHarness(seed, fault_rates) as harness:
        await asyncio.sleep(2.0)
        tasks = []
        for number in range(80):
            adapter = f"a{harness.rng.randrange(12)}"
            if number % 17 == 16:
                harness.name_version(adapter, 2 + number)
            tasks.append(
                asyncio.create_task(
                    harness.request(adapter, harness.rng.uniform(0.05, 0.6))
                )
            )
            await asyncio.sleep(harness.rng.uniform(0.0, 0.25))
        await asyncio.gather(*tasks)
        for engine in harness.engine_by_id.values():
            engine.fault_rates = FaultRates()
        await asyncio.sleep(14.0)
        served = harness.served
        await asyncio.gather(
            *(harness.request(f"a{n}", 0.05) for n in range(12))
        )
        faults = harness.check()
        if harness.served < served + 12:
            faults.append(
                f"only {harness.served - served} of 12 requests were served "
                "after the faults ended"
            )
        return faults


async def dropped_load() -> list[str]:
    """A load that reconciliation removed from the record is not sent.

    The load is still waiting for the lock of the engine's orders when the
    record is reconciled with a report.
    """
    async with PlacerHarness(1, FaultRates(), engines=1, slots=2) as harness:
        await asyncio.sleep(2.0)
        (orders,) = harness.placer._orders_by_target.values()
        now = asyncio.get_running_loop().time()
        async with orders._lock:
            orders.start_load((MODEL, "a1"), None, None, now)
            orders.reconcile()
            await asyncio.sleep(1.5)
        await asyncio.sleep(0.5)
        sent = harness.engine_by_id["e0"].sequence
        return [f"{sent} orders were sent."] if sent else []


async def no_order_without_leadership() -> list[str]:
    """A placer that lost leadership sends none of its planned orders."""
    async with PlacerHarness(1, FaultRates(), engines=1) as harness:
        await asyncio.sleep(2.0)
        (orders,) = harness.placer._orders_by_target.values()
        now = asyncio.get_running_loop().time()
        orders.start_load((MODEL, "a1"), None, None, now)
        harness.leader.leads = False
        await asyncio.sleep(2.0)
        sent = harness.engine_by_id["e0"].sequence
        return [f"{sent} orders were sent."] if sent else []


async def leadership_lost_during_load() -> list[str]:
    """A placer that loses leadership during a load stops polling reports."""
    async with PlacerHarness(1, FaultRates(), engines=1) as harness:
        await asyncio.sleep(2.0)
        asking = asyncio.create_task(harness.request("a1", 0.1))
        await asyncio.sleep(0.1)
        harness.leader.leads = False
        engine = harness.engine_by_id["e0"]
        before = engine.reports
        await asyncio.sleep(5.0)
        await asking
        asked = engine.reports - before
        return [f"{asked} reports were requested"] if asked > 2 else []


async def leadership_briefly_unconfirmed() -> list[str]:
    """A placer resumes orders after a short loss of confirmed leadership."""
    async with PlacerHarness(1, FaultRates(), engines=1) as harness:
        await asyncio.sleep(2.0)
        asking = asyncio.create_task(harness.request("a1", 0.1))
        await asyncio.sleep(0.1)
        harness.leader.leads = False
        await asyncio.sleep(0.6)
        harness.leader.leads = True
        await asking
        await asyncio.sleep(1.0)
        for number in range(1, 6):
            await harness.request(f"a{number}", 0.1)
        return [] if harness.served >= 5 else [f"only {harness.served} served"]


async def initial_order_delay() -> list[str]:
    """A new leader waits before it orders engines that ignore fencing."""
    async with PlacerHarness(
        1, FaultRates(), engines=1, initial_delay_s=3.0
    ) as harness:
        await asyncio.sleep(0.5)
        asking = asyncio.create_task(harness.request("a1", 0.1, 6.0))
        await asyncio.sleep(2.0)
        engine = harness.engine_by_id["e0"]
        faults = (
            ["An order was sent within the wait."] if engine.sequence else []
        )
        await asking
        if not harness.served:
            faults.append("The request was not served after the wait.")
        return faults


async def takeover_of_busy_engine() -> list[str]:
    """A new leader evicts no adapter while its uses are not reported yet."""
    async with PlacerHarness(1, FaultRates(), engines=1, slots=2) as harness:
        await asyncio.sleep(2.0)
        await harness.request("a1", 0.1)
        long = asyncio.create_task(harness.request("a0", 4.0))
        await asyncio.sleep(1.0)
        use = control.Use("r2", "e0", MODEL, "a0", 120)
        harness.leader.number = 2
        harness.placer.targets_changed(harness.infos)
        others = asyncio.create_task(harness.request("a2", 0.1))
        await asyncio.sleep(0.9)
        for _ in range(10):
            harness.placer.take_uses("entry-1", (use,))
            await asyncio.sleep(0.3)
        await asyncio.gather(long, others)
        engine = harness.engine_by_id["e0"]
        faults = []
        if engine.unloads_in_use:
            faults.append("An adapter in use was unloaded.")
        if harness.served < 3:
            faults.append(f"Only {harness.served} of 3 were served.")
        return faults


async def takeover_of_idle_engine() -> list[str]:
    """A new leader evicts at once on an engine that reports no runs."""
    async with PlacerHarness(1, FaultRates(), engines=1, slots=2) as harness:
        await asyncio.sleep(2.0)
        await harness.request("a0", 0.1)
        await harness.request("a1", 0.1)
        await asyncio.sleep(1.0)
        harness.leader.number = 2
        harness.placer.targets_changed(harness.infos)
        before = asyncio.get_running_loop().time()
        await harness.request("a2", 0.0)
        took_s = asyncio.get_running_loop().time() - before
        return [f"The request took {took_s:.2f} s."] if took_s > 0.5 else []


async def late_retry_goes_last() -> list[str]:
    """A retried request that missed its objective is served later.

    A request that can still meet its objective goes first, although it
    arrived after the retried one.
    """
    async with PlacerHarness(1, FaultRates(), engines=1, slots=1) as harness:
        await asyncio.sleep(2.0)
        busy = asyncio.create_task(harness.request("a1", 0.4))
        await asyncio.sleep(0.3)
        retried = asyncio.create_task(harness.request("a2", 0.1, age_s=2.0))
        await asyncio.sleep(0.05)
        await harness.request("a3", 0.0)
        faults = ["The retried request went first."] if retried.done() else []
        await asyncio.gather(busy, retried)
        if harness.served < 3:
            faults.append(f"Only {harness.served} of 3 were served.")
        return faults


async def long_prompt_goes_first() -> list[str]:
    """A long prompt goes first, as it must begin sooner to be on time."""
    async with PlacerHarness(1, FaultRates(), engines=1, slots=1) as harness:
        await asyncio.sleep(2.0)
        busy = asyncio.create_task(harness.request("a1", 0.2))
        await asyncio.sleep(0.3)
        short = asyncio.create_task(harness.request("a2", 0.1))
        await asyncio.sleep(0.05)
        await harness.request("a3", 0.0, prompt_tokens=5000)
        faults = ["The short prompt went first."] if short.done() else []
        await asyncio.gather(busy, short)
        return faults


async def full_engine_with_copy() -> list[str]:
    """A request goes elsewhere if the engine with the copy stays full."""
    async with PlacerHarness(1, FaultRates(), engines=2, slots=1) as harness:
        await asyncio.sleep(2.0)
        long = [
            asyncio.create_task(harness.request("a1", 10.0)),
        ]
        await asyncio.sleep(0.5)
        for orders in harness.placer._orders_by_target.values():
            if orders.record.slot_by_name:
                orders.record.remember_copy((MODEL, "a2"))
        before = asyncio.get_running_loop().time()
        await harness.request("a2", 0.0)
        took_s = asyncio.get_running_loop().time() - before
        await asyncio.gather(*long)
        if harness.refused or took_s > 1.5:
            return [f"The request waited {took_s:.1f} s for the full engine."]
        return []


async def repeated_request() -> list[str]:
    """A request repeated after a lost reply is counted only once.

    This holds if the new place is at the same engine or at another one. A
    second count would be left over after the only release, and its prompt
    would stay in the estimated backlog of an engine that never reads it.
    """
    async with PlacerHarness(1, FaultRates(), engines=2, slots=1) as harness:
        await asyncio.sleep(2.0)
        place_request = harness.new_request("a1")
        lost = await harness.placer.on_place(place_request)
        await harness.placer.on_place(place_request)
        place_request = dataclasses.replace(
            place_request, avoid=(lost.target,)
        )
        place = await harness.placer.on_place(place_request)
        ended = placement.EndedUse(
            place_request.request, place.target, placement.UseOutcome.DONE
        )
        await harness.placer.on_release(
            placement.ReleaseRequest("entry-1", (ended,))
        )
        await asyncio.sleep(3.0)
        now = asyncio.get_running_loop().time()
        return [
            f"{target} still counts: {summary}"
            for target, orders in harness.placer._orders_by_target.items()
            if "running=0 tokens=0 used=0"
            not in (summary := orders.record.summary(now))
            or orders.record.reading.backlog_s(now) > 0.0
        ]


async def one_store_load_at_a_time() -> list[str]:
    """The store serves one model at a time; loads from disk never wait."""
    async with PlacerHarness(1, FaultRates(), engines=5) as harness:
        engines = list(harness.engine_by_id.values())
        for number, engine in enumerate(engines):
            engine.drop_model(on_disk=number >= 3)
        max_fetching = 0
        for _ in range(100):
            await asyncio.sleep(0.1)
            max_fetching = max(max_fetching, sum(e.fetching for e in engines))
        faults = (
            [f"{max_fetching} fetches from the store at once"]
            if max_fetching != 1
            else []
        )
        if not all(engine.model_loaded for engine in engines):
            faults.append("An engine did not load its model.")
        if engines[4].model_at > 3.0:
            faults.append("A load from disk waited for the store.")
        return faults


async def unanswered_unload() -> list[str]:
    """A resident adapter is not taken by an unload that comes late."""
    async with PlacerHarness(1, FaultRates(), 1, 1) as harness:
        await asyncio.sleep(2.0)
        await harness.request("a1", 0.1)
        (engine,) = harness.engine_by_id.values()
        engine.fault_rates = FaultRates(late=1.0, max_delay_s=LATE_UNLOAD_S)
        await harness.request("a2", 0.1, 0.5)
        engine.fault_rates = FaultRates()
        await asyncio.sleep(LATE_UNLOAD_S + 5.0)
        served = harness.served
        await harness.request("a1", 0.1)
        if harness.served == served:
            return harness.check() + ["a1 was granted, but it is gone"]
        return harness.check()


async def many_waiting_requests() -> list[str]:
    """Many waiting requests cause few scheduling passes.

    Otherwise the event loop of the leader has no time for other work.
    """
    async with PlacerHarness(1, FaultRates(), engines=2, slots=1) as harness:
        await asyncio.sleep(2.0)
        decided = 0
        schedule = harness.placer._schedule

        def counted() -> None:
            nonlocal decided
            decided += 1
            schedule()
            harness.placer._schedule_took_s = 0.02

        harness.placer._schedule = counted
        harness.placer._schedule_took_s = 0.02
        tasks = [
            asyncio.create_task(harness.request(f"a{n}", 0.1, 1.0))
            for n in range(200)
        ]
        await asyncio.gather(*tasks)
        return [f"{decided} scheduling passes"] if decided > 17 else []


async def new_default_version() -> list[str]:
    """A new default version applies to new runs within 2 s."""
    async with PlacerHarness(1, FaultRates()) as harness:
        await asyncio.sleep(2.0)
        await harness.request("a1", 0.1)
        harness.name_version("a1", 7)
        busy = asyncio.create_task(harness.request("a1", 3.0))
        await asyncio.sleep(2.0)
        place_request = placement.PlaceRequest(
            "entry-1", "late", POOL, MODEL, "a1", 9, 9, (), 0, 4.0, "mnl-a"
        )
        place = await harness.placer.on_place(place_request)
        await busy
        return (
            []
            if place.version == 7
            else [f"still placed as {place} after 2 s"]
        )


def _order_without_expected(
    orders, name, version, expected
) -> targets.EngineOrder:
    """Return an order without the expected sequence, for a mutant."""
    return _ORIGINAL_ORDER(orders, name, version, None)


_ORIGINAL_ORDER = placement.EngineOrders._order

# Mutants, each of which disables a guard: name, scenario that must then
# fail, patched attribute.
MUTANTS = (
    (
        "forget an unload that was not answered",
        "unanswered_unload",
        (placement.EngineOrders, "_repeat_unanswered", lambda _: None),
    ),
    (
        "send a load that reconciliation removed",
        "dropped_load",
        (placement.EngineOrders, "_still_planned", lambda *_: True),
    ),
    (
        "send orders after leadership is lost",
        "no_order_without_leadership",
        (placement.EngineOrders, "_gate_open", lambda _: True),
    ),
    (
        "wait forever for the engine with the copy",
        "full_engine_with_copy",
        (_place_policy, "WAITING_WEIGHT", 0.0),
    ),
    (
        "evict before entries report their uses",
        "takeover_of_busy_engine",
        (_placer, "USES_REPORTED_S", 0.0),
    ),
    (
        "leave no time between scheduling passes",
        "many_waiting_requests",
        (_placer, "SCHEDULE_SPACING", 0.0),
    ),
    (
        "start requests on an old version",
        "new_default_version",
        (_placer, "OLD_VERSION_S", 1e9),
    ),
    (
        "never reconcile an unknown state",
        "leadership_briefly_unconfirmed",
        (placement.EngineOrders, "check_state", lambda _: None),
    ),
    (
        "keep counting the first grant",
        "repeated_request",
        (
            _placer.Placer,
            "_move_request",
            lambda self, boot, request, target, _: (
                self._requests_of(boot).update({request: target})
            ),
        ),
    ),
    (
        "load all base models concurrently",
        "one_store_load_at_a_time",
        (
            placement.StoreLoadLock,
            "turn",
            lambda _: contextlib.AsyncExitStack(),
        ),
    ),
    (
        "send orders without the expected sequence",
        "random",
        (placement.EngineOrders, "_order", _order_without_expected),
    ),
)


SCENARIOS = {
    "dropped_load": dropped_load,
    "no_order_without_leadership": no_order_without_leadership,
    "leadership_lost_during_load": leadership_lost_during_load,
    "leadership_briefly_unconfirmed": leadership_briefly_unconfirmed,
    "initial_order_delay": initial_order_delay,
    "takeover_of_busy_engine": takeover_of_busy_engine,
    "takeover_of_idle_engine": takeover_of_idle_engine,
    "late_retry_goes_last": late_retry_goes_last,
    "long_prompt_goes_first": long_prompt_goes_first,
    "full_engine_with_copy": full_engine_with_copy,
    "repeated_request": repeated_request,
    "one_store_load_at_a_time": one_store_load_at_a_time,
    "many_waiting_requests": many_waiting_requests,
    "unanswered_unload": unanswered_unload,
    "new_default_version": new_default_version,
}


def run(work) -> list[str]:
    """Run a scenario in virtual time."""
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(_run_and_cancel_tasks(work))
    finally:
        loop.close()


async def _run_and_cancel_tasks(work) -> list[str]:
    """Return the result of the work, after cancelling its other tasks."""
    try:
        return await work
    finally:
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)


def run_scenario(name: str) -> list[str]:
    """Run a scenario by its name."""
    return run(SCENARIOS[name]())


def disabled_guard(guard: tuple) -> contextlib.AbstractContextManager:
    """Patch a guard, given as owner, attribute name and replacement."""
    return unittest.mock.patch.object(*guard)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with disabled_guard(guard):
        if scenario != "random":
            return run_scenario(scenario)
        return [fault for seed in range(12) for fault in run_random(seed)]


def run_random(seed: int) -> list[str]:
    """Run a random load with fault rates chosen by the seed."""
    rng = random.Random(seed)
    fault_rates = FaultRates(
        rng.choice((0, 0.1, 0.35)), rng.choice((0, 0.1, 0.3))
    )
    faults = run(random_load(seed, fault_rates))
    return [f"seed {seed}, {fault_rates}: {fault}" for fault in faults]
