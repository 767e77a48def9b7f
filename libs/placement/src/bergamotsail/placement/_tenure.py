"""When a process may give orders to engines, over changes of the lead.

Whoever leads the log gives the orders, under its term as fencing number.
Elections may follow each other at any pace, and the right to order must
not: one that ordered, and after whom another may have ordered, waits until
its own last order is a lease old. A replica that did not order of late
begins at once, so that the loss of a leader costs no wait.
"""

import abc
import collections.abc
import contextlib

# The largest relative difference between two clocks.
DRIFT = 0.05


class HolderRegistry(abc.ABC):
    """Remembers, beyond this process, who gave orders to engines."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The lasting name of this process's instance."""

    @abc.abstractmethod
    def former(self) -> collections.abc.Sequence[str]:
        """Return who gave orders of late, the last one last.

        It is complete while this process leads.
        """

    @abc.abstractmethod
    async def note(self, fence: int, alone: bool) -> None:
        """Remember that this process gives orders from now on.

        Args:
            alone: those who ordered before need not be remembered longer.

        Raises:
            ServingError: it may be remembered, or not.
        """


class NoHolderNotes(HolderRegistry):
    """Remembers nothing, where no other process ever gives orders."""

    @property
    def name(self) -> str:
        return ""

    def former(self) -> tuple[str, ...]:
        return ()

    async def note(self, fence: int, alone: bool) -> None:
        return None


class Tenure:
    """The right of one process to give orders; it reads no clock.

    >>> tenure = Tenure(lease_s=3.0, started_at=0.0)
    >>> tenure.begin(2, "r1", ("r1", "r2"), now=10.0)
    >>> tenure.due(10.0), tenure.may_order(2)
    (True, False)
    >>> tenure.noted(2, now=10.0)
    >>> tenure.may_order(2)
    True

    Args:
        lease_s: how old an own order must be, once another process may have
            ordered after it.
        started_at: when this process started; what it ordered before, it
            ordered before then.
        quiet_s: how long the holder of each new term waits where engines
            ignore fencing numbers, so that orders of the term before, its
            own as well, have surely ended.
    """

    def __init__(
        self, lease_s: float, started_at: float, quiet_s: float = 0.0
    ) -> None:
        self._lease_s = lease_s * (1 + DRIFT)
        self._quiet_s = quiet_s
        self._ordered_at = started_at
        self._in_flight = 0
        self._quiet_until = float("-inf")
        self._returns = False
        self._noted = False
        self._noted_at = float("inf")
        self._alone = False
        self.fence: int | None = None

    def begin(
        self,
        fence: int,
        name: str,
        former: collections.abc.Sequence[str],
        now: float,
    ) -> None:
        """Begin with a fencing number, knowing who ordered before."""
        self.fence = fence
        # Nobody can have ordered since: others are noted before they do.
        last = bool(former) and former[-1] == name
        self._noted = last and not self._quiet_s
        self._noted_at = now
        self._alone = last and len(former) == 1
        self._returns = name in former and not last
        self._quiet_until = now + self._quiet_s

    def due(self, now: float) -> bool:
        """Whether it is time to note that this process orders."""
        return not self._noted and self._wait_s(now) <= 0

    def alone_due(self, now: float) -> bool:
        """Whether all others' last orders are a lease old by now.

        Once that is noted, one of them that forgot when it ordered begins
        at once: a restart of all then costs no wait.
        """
        held_s = now - self._noted_at
        return self._noted and not self._alone and held_s > self._lease_s

    def noted(self, fence: int, now: float, alone: bool = False) -> None:
        """Take that it is remembered beyond this process."""
        if fence != self.fence:
            return
        if not self._noted:
            self._noted_at = now
        self._noted = True
        self._alone = self._alone or alone

    def may_order(self, fence: int) -> bool:
        """Whether an order may leave now."""
        return self._noted and fence == self.fence

    @contextlib.contextmanager
    def sending(
        self, now: collections.abc.Callable[[], float]
    ) -> collections.abc.Iterator[None]:
        """Hold while an order may be on its way."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._ordered_at = max(self._ordered_at, now())

    def wait_s(self, fence: int, now: float) -> float:
        """Return for how long no order may leave, as far as is known."""
        if self._noted or fence != self.fence:
            return 0.0
        return self._wait_s(now)

    def _wait_s(self, now: float) -> float:
        free_at = self._quiet_until
        if self._returns:
            last_at = now if self._in_flight else self._ordered_at
            free_at = max(free_at, last_at + self._lease_s)
        return max(0.0, free_at - now)
