"""Sends load and unload orders to one engine, one at a time.

Each order carries the sequence number that the engine is expected to have.
"""

import abc
import asyncio
import collections.abc
import contextlib

from bergamotsail import catalogue
from bergamotsail import observe
from bergamotsail.placement import _engine_record
from bergamotsail import targets
from bergamotsail import wire

# Maximum lag of reports behind the engine's state.
REPORT_LAG_S = 0.3
RECONCILE_RETRY_S = 0.3
MAX_RECONCILE_RETRY_S = 1.5
# Expected duration of an adapter load from a local copy and from the store.
# A load is first confirmed after this time.
COPY_LOAD_S = 0.025
STORE_LOAD_S = 0.25
CONFIRM_INTERVAL_S = 0.02
# Interval of the checks whether the runs of a replaced version have ended.
RUNS_POLL_S = 0.05
MAX_CONFIRM_ATTEMPTS = 60
MAX_SEND_ATTEMPTS = 3
MAX_LOST_CONFIRMS = 2
MODEL_POLL_S = 0.2
# Timeout of a base model load, as a multiple of its usual duration.
MODEL_LOAD_TIMEOUT_FACTOR = 2.5
# Fencing numbers reserved for each term. Each incarnation of an engine within
# the term takes the next one.
FENCES_PER_TERM = 1_000

State = _engine_record.SlotState
Outcome = targets.OrderOutcome


class OrderGate(abc.ABC):
    """Decides whether orders to engines may be sent."""

    @abc.abstractmethod
    def leads(self) -> bool:
        """Whether this process leads, in the term that it follows."""

    @abc.abstractmethod
    def may_order(self) -> bool:
        """Whether an order may be sent now."""

    @abc.abstractmethod
    def sending(self) -> contextlib.AbstractContextManager[None]:
        """Return a context that marks an order as in flight."""


class StoreLoadLock:
    """Serializes the loads of base models from the store.

    Concurrent loads slow each other down. In sequence, the first ones finish
    sooner and the last one no later.
    """

    def __init__(self) -> None:
        self._turn = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def turn(self) -> collections.abc.AsyncIterator[None]:
        """Hold exclusive access to the store for a load."""
        async with self._turn:
            yield


class EngineOrders:
    """Sends the orders to one incarnation of an engine.

    Args:
        term: the leader's term under which orders are sent.
        earlier_starts: number of earlier incarnations of this engine that
            got orders in this term. Each incarnation gets a higher fencing
            number, so that it rejects orders that earlier ones left
            unanswered. Otherwise such an order is accepted as soon as the
            sequence numbers match, which overfilled an engine in 2 of 16
            random workloads with restarts.
        gate: decides whether orders may be sent; checked right before each
            one is written.
        on_changed: called when a load or the engine's state was confirmed.
        on_new_start: called with the start time in milliseconds when the
            engine reports another start; the orders and the record are then
            obsolete.
    """

    def __init__(
        self,
        record: _engine_record.EngineRecord,
        spec: catalogue.EngineSpec,
        engine: targets.AdapterEngine,
        term: int,
        gate: OrderGate,
        store: StoreLoadLock,
        metrics: observe.Metrics,
        on_changed: collections.abc.Callable[[], None],
        clock: wire.Clock,
        on_new_start: collections.abc.Callable[[int], None] = lambda _: None,
        earlier_starts: int = 0,
    ) -> None:
        self.record = record
        self._start_time_ms = targets.Incarnation.of(
            record.info.id
        ).start_time_ms
        self._on_new_start = on_new_start
        self._spec = spec
        self._engine = engine
        self._term = term
        self._earlier_starts = earlier_starts
        self._gate = gate
        self._store = store
        self._metrics = metrics
        self._on_changed = on_changed
        self._clock = clock
        self._lock = asyncio.Lock()
        self._ordered_at = 0.0
        self._polled_at = 0.0
        self._reconciling: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        # An unload without an answer: its adapter and expected sequence.
        self._unanswered: tuple[_engine_record.AdapterName, int] | None = None
        self._stopped = False

    def stop(self) -> None:
        """Cancel all tasks and send no more orders."""
        self._stopped = True
        if self._reconciling is not None:
            self._reconciling.cancel()
        for task in self._tasks:
            task.cancel()

    def check_state(self) -> None:
        """Reconcile an unknown state, or check for unreported runs.

        The state may have been left unknown while the leadership was
        uncertain. After a leader change, the engine's count of runs is polled
        until no unreported request can run there.
        """
        if not self.record.known:
            self.reconcile()
            return
        now = self._clock.now()
        since_s = now - self._polled_at
        if (
            self.record.may_have_unreported_runs(now)
            and since_s > REPORT_LAG_S
        ):
            self._polled_at = now
            self._start_task(self._poll_runs)

    async def _poll_runs(self) -> None:
        with contextlib.suppress(wire.ServingError):
            self._compare_runs(await self._report())
            self._on_changed()

    async def _report(self) -> targets.AdapterReport:
        """Return a report of this incarnation of the engine.

        Raises:
            ServingError: the engine gave no report.
            TargetRestartedError: the engine was restarted; the record is
                obsolete.
        """
        observe.count_message(self._metrics, "report")
        report = await self._engine.report()
        if self._start_time_ms is None:
            self._start_time_ms = report.start_time_ms
        if report.start_time_ms not in (None, self._start_time_ms):
            self._on_new_start(report.start_time_ms)
            raise wire.TargetRestartedError(
                "The engine was restarted. Wait until its state is known."
            )
        return report

    def _compare_runs(self, report: targets.AdapterReport) -> None:
        seen_until = self._clock.now() - REPORT_LAG_S
        runs = report.running + report.queued
        self.record.compare_runs(runs, seen_until)

    def reconcile(self) -> None:
        """Mark the state as unknown and reconcile it with a report."""
        self.record.known = False
        if not self._leads():
            # A new leader starts records of its own. If this process leads
            # again, check_state() resumes the reconciliation.
            return
        if self._reconciling is None or self._reconciling.done():
            work = observe.timed(self._metrics, "report", self._reconcile)
            self._reconciling = asyncio.create_task(work)

    async def _reconcile(self) -> None:
        retry_s = RECONCILE_RETRY_S
        while self._leads():
            since_s = self._clock.now() - self._ordered_at
            await self._clock.sleep(max(0.0, REPORT_LAG_S - since_s))
            try:
                report = await self._report()
            except wire.ServingError as error:
                self._log("report_failed", error=error.message)
                self.record.add_fault(self._clock.now())
                await self._clock.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RECONCILE_RETRY_S)
                continue
            ordered_recently = (
                self._clock.now() - self._ordered_at < REPORT_LAG_S
            )
            if report.busy or ordered_recently:
                await self._clock.sleep(RECONCILE_RETRY_S)
                continue
            if self.record.shows_new_start(report):
                self._log("new_start", sequence=report.sequence)
                self.record.reset()
                self._earlier_starts += 1
            if not report.models and await self._load_model(report):
                continue
            self.record.apply_report(report, self._clock.now())
            self._polled_at = self._clock.now()
            self._compare_runs(report)
            self._log(
                "settled",
                sequence=report.sequence,
                adapters=len(report.adapters),
                pending=len(report.pending),
            )
            self._confirm_pending()
            self._repeat_unanswered()
            self._on_changed()
            return

    def _repeat_unanswered(self) -> None:
        """Send an unload again that the engine has not carried out yet.

        It may still do so, as long as its sequence number stays the same, and
        requests would be granted an adapter that it no longer holds.
        """
        unanswered, self._unanswered = self._unanswered, None
        if unanswered is None or unanswered[1] != self.record.sequence:
            return
        name = unanswered[0]
        slot = self.record.slot_by_name.get(name)
        if slot is not None and self.record.is_idle(slot, self._clock.now()):
            self.record.drop_slot(name)
            self._start_task(self._repeat_unload, name)

    async def _repeat_unload(self, name: _engine_record.AdapterName) -> None:
        async with self._lock:
            if self.record.known:
                await self._unload(name)

    async def _unload(self, name: _engine_record.AdapterName) -> bool:
        """Order an unload; return whether it was accepted."""
        expected = self.record.sequence
        order = self._order(name, None, expected)
        outcome = await self._send(self._engine.unload, order)
        if outcome is None:
            self._unanswered = (name, expected)
        return self._apply_outcome(outcome)

    def _confirm_pending(self) -> None:
        for name, slot in self.record.slot_by_name.items():
            if slot.state is State.DOUBTFUL:
                self._start_task(self._confirm, name, slot)

    async def _load_model(self, report: targets.AdapterReport) -> bool:
        """Load a base model into an engine without one.

        Returns whether the engine has to be polled again.
        """
        if not self._spec.models or self.record.leaving:
            return False
        if not self._gate_open():
            await self._clock.sleep(RECONCILE_RETRY_S)
            return True
        model = self._spec.models[0]
        if model.name in report.at_hand:
            await self._load_and_wait(model)
            return True
        async with self._store.turn():
            if not self.record.leaving:
                await self._load_and_wait(model)
        return True

    async def _load_and_wait(self, model: catalogue.BaseModel) -> None:
        """Order a base model load and wait until it ends or times out."""
        order = self._order((model.name, ""), None, None)
        outcome = await self._send(self._engine.load, order)
        self._log("load_model", model=model.name, outcome=str(outcome))
        timeout_at = (
            self._clock.now() + MODEL_LOAD_TIMEOUT_FACTOR * model.load_s
        )
        while outcome is not None and self._clock.now() < timeout_at:
            await self._clock.sleep(MODEL_POLL_S)
            try:
                report = await self._report()
            except wire.ServingError:
                return
            if report.models or self.record.leaving:
                return

    def start_load(
        self,
        name: _engine_record.AdapterName,
        version: int | None,
        victim: _engine_record.AdapterName | None,
        now: float,
    ) -> None:
        """Start to load the newest version of an adapter.

        Args:
            version: None if none has been set.
            victim: evicted first if not None.
        """
        record = self.record
        replaced = record.slot_by_name.get(name)
        uses = replaced.uses if replaced is not None else 0
        if victim is not None:
            record.drop_slot(victim)
        load_s = COPY_LOAD_S if record.has_copy(name) else STORE_LOAD_S
        slot = _engine_record.Slot(
            version, State.LOADING, uses, now, now + load_s, newest_at=now
        )
        record.put_slot(name, slot)
        self._log(
            "load",
            adapter="/".join(name),
            version=version,
            victim="/".join(victim) if victim else None,
            copy=record.has_copy(name),
            sequence=record.sequence,
            in_transit=record.unconfirmed_loads(),
        )
        self._start_task(self._load, name, slot, victim)

    def _start_task(
        self,
        work: collections.abc.Callable[..., collections.abc.Coroutine],
        *args: object,
    ) -> None:
        timed = observe.timed(self._metrics, "order", work, *args)
        task = asyncio.create_task(timed)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(
        self,
        name: _engine_record.AdapterName,
        slot: _engine_record.Slot,
        victim: _engine_record.AdapterName | None,
    ) -> None:
        async with self._lock:
            # While this task waited for the lock, a reconciliation may have
            # removed the load from the record.
            if not self._still_planned(name, slot):
                return
            if victim is not None:
                if not await self._unload(victim):
                    return
                if not self._still_planned(name, slot):
                    return
            order = self._order(name, slot.version, self.record.sequence)
            if not self._apply_outcome(
                await self._send(self._engine.load, order)
            ):
                return
        await self._confirm(name, slot)

    def _still_planned(
        self, name: _engine_record.AdapterName, slot: _engine_record.Slot
    ) -> bool:
        holds = self.record.slot_by_name.get(name) is slot
        return self.record.known and holds

    def _apply_outcome(self, outcome: Outcome | None) -> bool:
        """Apply an order's outcome; reconcile unless it was accepted."""
        if outcome in (Outcome.STARTED, Outcome.HOLDS):
            self.record.sequence += 1
            return True
        if outcome is Outcome.FENCED:
            self.record.fenced = True
        self._log("not_accepted", outcome=str(outcome))
        self.reconcile()
        return False

    async def _confirm(
        self, name: _engine_record.AdapterName, slot: _engine_record.Slot
    ) -> None:
        """Repeat a load order until the engine answers that it is loaded.

        The engine completes the runs of a replaced version first, so nothing
        is sent until they have ended.
        """
        await self._clock.sleep(max(0.0, slot.ready_at - self._clock.now()))
        if slot.uses > 0 and not await self._wait_for_runs(name, slot):
            return
        lost = 0
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            if self.record.slot_by_name.get(name) is not slot:
                return
            if self._leads() and not self._gate_open():
                # No order may be sent yet; a report shows the outcome too.
                await self._clock.sleep(RECONCILE_RETRY_S)
                self.reconcile()
                return
            async with self._lock:
                order = self._order(name, slot.version, self.record.sequence)
                outcome = await self._send(self._engine.load, order)
            if outcome is None and self._gate_open():
                # The order was lost. If it is executed late, it has no
                # effect.
                lost += 1
                if lost <= MAX_LOST_CONFIRMS:
                    continue
            if outcome is Outcome.HOLDS:
                slot.state = State.READY
                self.record.remember_copy(name)
                self._log("loaded", adapter="/".join(name))
                self._on_changed()
                return
            if outcome is not Outcome.STARTED:
                self._log("not_confirmed", outcome=str(outcome))
                self.reconcile()
                return
            await self._clock.sleep(CONFIRM_INTERVAL_S)
        self.reconcile()

    async def _wait_for_runs(
        self, name: _engine_record.AdapterName, slot: _engine_record.Slot
    ) -> bool:
        """Wait until no run uses a replaced version.

        Returns False if the state of the engine became unknown meanwhile; the
        reconciliation then confirms the load.
        """
        while slot.uses > 0 and self._still_planned(name, slot):
            await self._clock.sleep(RUNS_POLL_S)
        return self._still_planned(name, slot)

    def _order(
        self,
        name: _engine_record.AdapterName,
        version: int | None,
        expected: int | None,
    ) -> targets.EngineOrder:
        return targets.EngineOrder(
            self.record.info.id,
            name[0],
            name[1],
            version,
            expected,
            self._fence,
            self._gate_open,
        )

    async def _send(
        self,
        send: collections.abc.Callable[
            [targets.EngineOrder], collections.abc.Awaitable[Outcome]
        ],
        order: targets.EngineOrder,
    ) -> Outcome | None:
        """Send an order, resending it if lost; None if it got no answer.

        A resent order can't be executed twice: the first execution advances
        the engine's sequence number, so the second one no longer matches.
        """
        observe.count_message(self._metrics, "order")
        for _ in range(MAX_SEND_ATTEMPTS):
            if not self._gate_open():
                return None
            self._ordered_at = self._clock.now()
            try:
                with self._gate.sending():
                    return await send(order)
            except wire.ServingError as error:
                self.record.add_fault(self._clock.now(), 0.2)
                self._log("order_lost", error=error.message)
            finally:
                self._ordered_at = self._clock.now()
        return None

    @property
    def _fence(self) -> int:
        """The fencing number of orders to this incarnation."""
        starts = min(self._earlier_starts, FENCES_PER_TERM - 1)
        return self._term * FENCES_PER_TERM + starts

    def _leads(self) -> bool:
        return self._gate.leads() and not self._stopped

    def _gate_open(self) -> bool:
        return self._gate.may_order() and not self._stopped

    def _log(self, what: str, **fields: object) -> None:
        observe.log_event(
            "order",
            what,
            target=self.record.info.id,
            fence=self._fence,
            **fields,
        )
