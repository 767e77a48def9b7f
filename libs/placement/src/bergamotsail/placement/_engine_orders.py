"""Orders to one engine: one after the other, each with what it expects."""

import abc
import asyncio
import collections.abc
import contextlib

from bergamotsail import catalogue
from bergamotsail import observe
from bergamotsail.placement import _holding
from bergamotsail import targets
from bergamotsail import wire

REPORT_LAG_S = 0.3
SETTLE_RETRY_S = 0.3
MOST_SETTLE_RETRY_S = 1.5
COPY_LOAD_S = 0.025
STORE_LOAD_S = 0.25
CONFIRM_S = 0.02
MOST_CONFIRMS = 60
MOST_RESENDS = 3
MOST_LOST_CONFIRMS = 2
MODEL_POLL_S = 0.2
MODEL_LOAD_TIMES = 2.5
# Fencing numbers of one term, for the starts of one engine in it.
FENCES_OF_TERM = 1_000

State = _holding.SlotState
Order = targets.OrderOutcome


class OrderGate(abc.ABC):
    """What orders to engines must ask before they leave."""

    @abc.abstractmethod
    def leads(self) -> bool:
        """Whether this process leads, so that its ledger counts."""

    @abc.abstractmethod
    def may_order(self) -> bool:
        """Whether an order may leave at this moment."""

    @abc.abstractmethod
    def sending(self) -> contextlib.AbstractContextManager[None]:
        """Hold while an order may be on its way."""


class StoreLoadLock:
    """Lets base models come from the store one after the other.

    Loads at the same time slow each other down, so that one after the
    other the first are done sooner and the last no later.
    """

    def __init__(self) -> None:
        self._turn = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def turn(self) -> collections.abc.AsyncIterator[None]:
        """Wait for the turn and hold it."""
        async with self._turn:
            yield


class EngineOrders:
    """Gives the orders to one incarnation of an engine.

    Args:
        term: of the lead under which orders are given.
        earlier_starts: how many starts of this engine were ordered before
            in this term. An order of theirs that was left unanswered may be
            carried out when this one has accepted as many orders as it
            expects; of 16 random loads with starts it filled an engine
            beyond its room in 2. A higher fencing number stops it.
        gate: what orders ask as each is written.
        changed: called when something became ready.
        started: told when the engine says that it started anew, and when
            it did; this ledger is void then.
    """

    def __init__(
        self,
        holding: _holding.EngineRecord,
        spec: catalogue.EngineSpec,
        engine: targets.AdapterEngine,
        term: int,
        gate: OrderGate,
        store: StoreLoadLock,
        metrics: observe.Metrics,
        changed: collections.abc.Callable[[], None],
        clock: wire.Clock,
        started: collections.abc.Callable[[int], None] = lambda _: None,
        earlier_starts: int = 0,
    ) -> None:
        self.holding = holding
        self._start_time_ms = targets.Incarnation.of(
            holding.info.id
        ).start_time_ms
        self._started = started
        self._spec = spec
        self._engine = engine
        self._term = term
        self._starts = earlier_starts
        self._gate = gate
        self._store = store
        self._metrics = metrics
        self._changed = changed
        self._clock = clock
        self._lock = asyncio.Lock()
        self._ordered_at = 0.0
        self._asked_at = 0.0
        self._settling: asyncio.Task | None = None
        self._loads: set[asyncio.Task] = set()
        self._stopped = False

    def stop(self) -> None:
        """Give no more orders."""
        self._stopped = True
        if self._settling is not None:
            self._settling.cancel()
        for task in self._loads:
            task.cancel()

    def tend(self) -> None:
        """Settle what was left open while the lead was in doubt.

        After a take-over, ask now and then whether all runs are known.
        """
        if not self.holding.known:
            self.settle()
            return
        now = self._clock.now()
        since_s = now - self._asked_at
        if self.holding.awaits_word(now) and since_s > REPORT_LAG_S:
            self._asked_at = now
            self._run(self._ask_runs)

    async def _ask_runs(self) -> None:
        with contextlib.suppress(wire.ServingError):
            self._compare_runs(await self._report())
            self._changed()

    async def _report(self) -> targets.AdapterReport:
        """Return the report of this start of the engine.

        Raises:
            ServingError: it can't be had.
            TargetRestartedError: this ledger is void.
        """
        observe.count_message(self._metrics, "report")
        report = await self._engine.report()
        if self._start_time_ms is None:
            self._start_time_ms = report.start_time_ms
        if report.start_time_ms not in (None, self._start_time_ms):
            self._started(report.start_time_ms)
            raise wire.TargetRestartedError(
                "The engine started anew. Wait for its new ledger."
            )
        return report

    def _compare_runs(self, report: targets.AdapterReport) -> None:
        seen_until = self._clock.now() - REPORT_LAG_S
        runs = report.running + report.queued
        self.holding.compare_runs(runs, seen_until)

    def settle(self) -> None:
        """Learn anew what the engine holds, from its report."""
        self.holding.known = False
        if not self._leads():
            # Another holder starts a ledger of its own; when the lead comes
            # back to this one, it is asked to tend to it.
            return
        if self._settling is None or self._settling.done():
            work = observe.timed(self._metrics, "report", self._settle)
            self._settling = asyncio.create_task(work)

    async def _settle(self) -> None:
        retry_s = SETTLE_RETRY_S
        while self._leads():
            since_s = self._clock.now() - self._ordered_at
            await self._clock.sleep(max(0.0, REPORT_LAG_S - since_s))
            try:
                report = await self._report()
            except wire.ServingError as error:
                self._log("report_failed", error=error.message)
                self.holding.add_fault(self._clock.now())
                await self._clock.sleep(retry_s)
                retry_s = min(retry_s * 2, MOST_SETTLE_RETRY_S)
                continue
            recent = self._clock.now() - self._ordered_at < REPORT_LAG_S
            if report.busy or recent:
                await self._clock.sleep(SETTLE_RETRY_S)
                continue
            if self.holding.shows_new_start(report):
                self._log("new_start", sequence=report.sequence)
                self.holding.begin_anew()
                self._starts += 1
            if not report.models and await self._load_model(report):
                continue
            self.holding.take_report(report, self._clock.now())
            self._asked_at = self._clock.now()
            self._compare_runs(report)
            self._log(
                "settled",
                sequence=report.sequence,
                adapters=len(report.adapters),
                pending=len(report.pending),
            )
            self._watch_pending()
            self._changed()
            return

    def _watch_pending(self) -> None:
        for name, slot in self.holding.slot_by_name.items():
            if slot.state is State.DOUBTFUL:
                self._run(self._confirm, name, slot)

    async def _load_model(self, report: targets.AdapterReport) -> bool:
        """Order a base model for an engine that holds none."""
        if not self._spec.models or self.holding.leaving:
            return False
        if not self._gate_open():
            await self._clock.sleep(SETTLE_RETRY_S)
            return True
        model = self._spec.models[0]
        if model.name in report.at_hand:
            await self._load_and_wait(model)
            return True
        async with self._store.turn():
            if not self.holding.leaving:
                await self._load_and_wait(model)
        return True

    async def _load_and_wait(self, model: catalogue.BaseModel) -> None:
        """Order a load and wait for it, within reason."""
        order = self._order((model.name, ""), None, None)
        outcome = await self._send(self._engine.load, order)
        self._log("load_model", model=model.name, outcome=str(outcome))
        gives_up_at = self._clock.now() + MODEL_LOAD_TIMES * model.load_s
        while outcome is not None and self._clock.now() < gives_up_at:
            await self._clock.sleep(MODEL_POLL_S)
            try:
                report = await self._report()
            except wire.ServingError:
                return
            if report.models or self.holding.leaving:
                return

    def start_load(
        self,
        name: _holding.AdapterName,
        version: int | None,
        victim: _holding.AdapterName | None,
        now: float,
    ) -> None:
        """Load an adapter, in the place of *victim*."""
        holding = self.holding
        replaced = holding.slot_by_name.get(name)
        uses = replaced.uses if replaced is not None else 0
        if victim is not None:
            del holding.slot_by_name[victim]
        load_s = COPY_LOAD_S if holding.has_copy(name) else STORE_LOAD_S
        slot = _holding.Slot(version, State.LOADING, uses, now, now + load_s)
        holding.slot_by_name[name] = slot
        self._log(
            "load",
            adapter="/".join(name),
            version=version,
            victim="/".join(victim) if victim else None,
            copy=holding.has_copy(name),
            sequence=holding.sequence,
            in_transit=holding.in_transit(),
        )
        self._run(self._load, name, slot, victim)

    def _run(
        self,
        work: collections.abc.Callable[..., collections.abc.Coroutine],
        *args: object,
    ) -> None:
        timed = observe.timed(self._metrics, "order", work, *args)
        task = asyncio.create_task(timed)
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)

    async def _load(
        self,
        name: _holding.AdapterName,
        slot: _holding.Slot,
        victim: _holding.AdapterName | None,
    ) -> None:
        async with self._lock:
            # Meanwhile the engine may have been settled, and the ledger no
            # longer counts on this load.
            if not self._still_planned(name, slot):
                return
            if victim is not None:
                out = self._order(victim, None, self.holding.sequence)
                if not self._accepted(
                    await self._send(self._engine.unload, out)
                ):
                    return
                if not self._still_planned(name, slot):
                    return
            order = self._order(name, slot.version, self.holding.sequence)
            if not self._accepted(await self._send(self._engine.load, order)):
                return
        await self._confirm(name, slot)

    def _still_planned(
        self, name: _holding.AdapterName, slot: _holding.Slot
    ) -> bool:
        holds = self.holding.slot_by_name.get(name) is slot
        return self.holding.known and holds

    def _accepted(self, outcome: Order | None) -> bool:
        """Follow an order's outcome; anything but a yes must be settled."""
        if outcome in (Order.STARTED, Order.HOLDS):
            self.holding.sequence += 1
            return True
        if outcome is Order.FENCED:
            self.holding.fenced = True
        self._log("not_accepted", outcome=str(outcome))
        self.settle()
        return False

    async def _confirm(
        self, name: _holding.AdapterName, slot: _holding.Slot
    ) -> None:
        """Order the same load until the engine says that it holds."""
        await self._clock.sleep(max(0.0, slot.ready_at - self._clock.now()))
        lost = 0
        for _ in range(MOST_CONFIRMS):
            if self.holding.slot_by_name.get(name) is not slot:
                return
            if self._leads() and not self._gate_open():
                # No order may leave yet; the report tells it as well.
                await self._clock.sleep(SETTLE_RETRY_S)
                self.settle()
                return
            async with self._lock:
                order = self._order(name, slot.version, self.holding.sequence)
                outcome = await self._send(self._engine.load, order)
            if outcome is None and self._gate_open():
                # The order was lost, and carried out late it does nothing.
                lost += 1
                if lost <= MOST_LOST_CONFIRMS:
                    continue
            if outcome is Order.HOLDS:
                slot.state = State.READY
                self.holding.remember_copy(name)
                self._log("loaded", adapter="/".join(name))
                self._changed()
                return
            if outcome is not Order.STARTED:
                self._log("not_confirmed", outcome=str(outcome))
                self.settle()
                return
            await self._clock.sleep(CONFIRM_S)
        self.settle()

    def _order(
        self,
        name: _holding.AdapterName,
        version: int | None,
        expected: int | None,
    ) -> targets.EngineOrder:
        return targets.EngineOrder(
            self.holding.info.id,
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
            [targets.EngineOrder], collections.abc.Awaitable[Order]
        ],
        order: targets.EngineOrder,
    ) -> Order | None:
        """Send an order until it is answered; None when it was not.

        Two of the same order can't both be carried out: the first that is
        moves the sequence on, and the other then expects another one.
        """
        observe.count_message(self._metrics, "order")
        for _ in range(MOST_RESENDS):
            if not self._gate_open():
                return None
            self._ordered_at = self._clock.now()
            try:
                with self._gate.sending():
                    return await send(order)
            except wire.ServingError as error:
                self.holding.add_fault(self._clock.now(), 0.2)
                self._log("order_lost", error=error.message)
            finally:
                self._ordered_at = self._clock.now()
        return None

    @property
    def _fence(self) -> int:
        """The fencing number of orders to this start of the engine."""
        starts = min(self._starts, FENCES_OF_TERM - 1)
        return self._term * FENCES_OF_TERM + starts

    def _leads(self) -> bool:
        return self._gate.leads() and not self._stopped

    def _gate_open(self) -> bool:
        return self._gate.may_order() and not self._stopped

    def _log(self, what: str, **fields: object) -> None:
        observe.log_event(
            "order",
            what,
            target=self.holding.info.id,
            fence=self._fence,
            **fields,
        )
