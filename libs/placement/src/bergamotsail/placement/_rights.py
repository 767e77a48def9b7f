"""Whether orders to engines may leave this process, and who is told."""

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
# A note that the log did not take is tried again after so long.
NOTE_RETRY_S = 0.25


class OrderRights(_engine_orders.OrderGate):
    """Follows the lead and claims the right to order, when it is due.

    Args:
        notes: where it is remembered who gave orders.
        opened: called when orders may leave from now on.
    """

    def __init__(
        self,
        leadership: _leadership.Leadership,
        tenure: _tenure.Tenure,
        notes: _tenure.HolderRegistry,
        opened: collections.abc.Callable[[], None],
        clock: wire.Clock,
    ) -> None:
        self._leadership = leadership
        self._tenure = tenure
        self._notes = notes
        self._opened = opened
        self._clock = clock
        self._term = -1
        self._noting: asyncio.Task | None = None
        self._retry_at = float("-inf")

    def leads(self) -> bool:
        leads = self._leadership.holds()
        return leads and self._leadership.term == self._term

    def may_order(self) -> bool:
        return self.leads() and self._tenure.may_order(self._term)

    def sending(self) -> contextlib.AbstractContextManager[None]:
        return self._tenure.sending(self._clock.now)

    def wait_s(self) -> float:
        """Return for how long no order may leave, as far as is known."""
        return self._tenure.wait_s(self._term, self._clock.now())

    def follow(self, term: int) -> None:
        """Take that the ledger is of this term from now on."""
        self._term = term
        self.claim()

    def claim(self) -> None:
        """Claim the right to order, as soon as it is due."""
        if not self.leads():
            return
        if self._tenure.fence != self._term:
            self._begin()
        now = self._clock.now()
        alone = self._tenure.alone_due(now)
        due = alone or self._tenure.due(now)
        free = self._noting is None or self._noting.done()
        if due and free and now >= self._retry_at:
            work = self._note(self._term, alone)
            self._noting = asyncio.create_task(work)

    def stop(self) -> None:
        """Claim nothing any more."""
        if self._noting is not None:
            self._noting.cancel()

    def _begin(self) -> None:
        former = tuple(self._notes.former())
        now = self._clock.now()
        self._tenure.begin(self._term, self._notes.name, former, now)
        observe.log_event(
            "place",
            "tenure",
            term=self._term,
            former=former[-LOGGED_HOLDERS:],
            wait_s=round(self.wait_s(), 3),
        )

    async def _note(self, term: int, alone: bool) -> None:
        """Note who orders before the first order leaves."""
        try:
            await self._notes.note(term, alone)
        except (wire.ServingError, TimeoutError) as error:
            self._retry_at = self._clock.now() + NOTE_RETRY_S
            observe.log_event(
                "place", "tenure_not_noted", term=term, error=str(error)
            )
            return
        self._tenure.noted(term, self._clock.now(), alone)
        observe.log_event("place", "orders", term=term, alone=alone)
        self._opened()
