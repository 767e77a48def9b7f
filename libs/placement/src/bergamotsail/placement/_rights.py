"""Acquires and checks this process's right to send orders to engines."""

import asyncio
import collections.abc
import contextlib

from bergamotsail import observe
from bergamotsail.placement import _engine_orders
from bergamotsail.placement import _leadership
from bergamotsail.placement import _tenure
from bergamotsail import wire

# How many former holders a log line names.
LOGGED_HOLDERS = 3
# Delay before recording this process in the log is retried.
NOTE_RETRY_S = 0.25


class OrderRights(_engine_orders.OrderGate):
    """Follows the leadership and claims the right to give orders when due.

    Args:
        holder_registry: where the processes that gave orders are recorded.
        on_acquired: called once orders may be sent.
    """

    def __init__(
        self,
        leadership: _leadership.Leadership,
        tenure: _tenure.Tenure,
        holder_registry: _tenure.HolderRegistry,
        on_acquired: collections.abc.Callable[[], None],
        clock: wire.Clock,
    ) -> None:
        self._leadership = leadership
        self._tenure = tenure
        self._holder_registry = holder_registry
        self._on_acquired = on_acquired
        self._clock = clock
        self._term = -1
        self._note_task: asyncio.Task | None = None
        self._retry_at = float("-inf")

    def leads(self) -> bool:
        leads = self._leadership.holds()
        return leads and self._leadership.term == self._term

    def may_order(self) -> bool:
        return self.leads() and self._tenure.may_order(self._term)

    def sending(self) -> contextlib.AbstractContextManager[None]:
        return self._tenure.sending(self._clock.now)

    def wait_s(self) -> float:
        """Return the expected wait until orders may be sent."""
        return self._tenure.wait_s(self._term, self._clock.now())

    def follow(self, term: int) -> None:
        """Switch to a new term and claim the right to give orders in it."""
        self._term = term
        self.claim()

    def claim(self) -> None:
        """Record this process as the holder, or the only one, if due."""
        if not self.leads():
            return
        if self._tenure.fence != self._term:
            self._begin()
        now = self._clock.now()
        alone = self._tenure.alone_due(now)
        due = alone or self._tenure.due(now)
        idle = self._note_task is None or self._note_task.done()
        if due and idle and now >= self._retry_at:
            work = self._note(self._term, alone)
            self._note_task = asyncio.create_task(work)

    def stop(self) -> None:
        """Cancel the recording of this process, if in progress."""
        if self._note_task is not None:
            self._note_task.cancel()

    def _begin(self) -> None:
        former = tuple(self._holder_registry.former())
        now = self._clock.now()
        self._tenure.begin(self._term, self._holder_registry.name, former, now)
        observe.log_event(
            "place",
            "tenure",
            term=self._term,
            former=former[-LOGGED_HOLDERS:],
            wait_s=round(self.wait_s(), 3),
        )

    async def _note(self, term: int, alone: bool) -> None:
        """Record this process as the holder before its first order."""
        try:
            await self._holder_registry.note(term, alone)
        except (wire.ServingError, TimeoutError) as error:
            self._retry_at = self._clock.now() + NOTE_RETRY_S
            observe.log_event(
                "place", "tenure_not_noted", term=term, error=str(error)
            )
            return
        self._tenure.noted(term, self._clock.now(), alone)
        observe.log_event("place", "orders", term=term, alone=alone)
        self._on_acquired()
