"""When a process may give orders to engines, across leader changes.

The leader of the replicated log gives the orders, fenced by its term.
Elections may follow each other quickly, but the right to give orders must
not return to an earlier process as quickly. A process that gave orders, and
after which another one may have given some, waits until its own last order is
one lease old. A replica that gave none recently starts at once, so that a
failover after the loss of a leader causes no wait.
"""

import abc
import collections.abc
import contextlib

# The largest relative difference between two clocks.
MAX_CLOCK_DRIFT = 0.05


class HolderRegistry(abc.ABC):
    """Persists outside this process which instances gave orders."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The name of this instance, stable across restarts."""

    @abc.abstractmethod
    def former(self) -> collections.abc.Sequence[str]:
        """Return the instances that gave orders recently, the latest last.

        The list is complete while this process is the leader.
        """

    @abc.abstractmethod
    async def note(self, fence: int, alone: bool) -> None:
        """Record that this process gives orders from now on.

        Args:
            alone: the earlier instances may be dropped from the record.

        Raises:
            ServingError: it is unknown whether the note was recorded.
        """


class NoHolderRegistry(HolderRegistry):
    """Records nothing; for deployments with a single order-giving process."""

    @property
    def name(self) -> str:
        return ""

    def former(self) -> tuple[str, ...]:
        return ()

    async def note(self, fence: int, alone: bool) -> None:
        return None


class Tenure:
    """The right of one process to give orders; callers pass the time.

    >>> tenure = Tenure(lease_s=3.0, started_at=0.0)
    >>> tenure.begin(2, "r1", ("r1", "r2"), now=10.0)
    >>> tenure.due(10.0), tenure.may_order(2)
    (True, False)
    >>> tenure.noted(2, now=10.0)
    >>> tenure.may_order(2)
    True

    Args:
        lease_s: minimum age of this process's last order, if another process
            may have given orders after it.
        started_at: when this process started; orders of its previous run are
            older than that.
        initial_delay_s: how long the leader of each new term waits if
            engines ignore fencing numbers, so that all orders of the
            previous term, including its own, have ended.
    """

    def __init__(
        self, lease_s: float, started_at: float, initial_delay_s: float = 0.0
    ) -> None:
        self._lease_s = lease_s * (1 + MAX_CLOCK_DRIFT)
        self._initial_delay_s = initial_delay_s
        self._ordered_at = started_at
        self._in_flight = 0
        self._delayed_until = float("-inf")
        self._is_former_holder = False
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
        """Start a term with its fencing number and the former holders."""
        self.fence = fence
        # If this process is the latest holder, no other process has given
        # orders since, because a holder is recorded before its first order.
        is_latest = bool(former) and former[-1] == name
        self._noted = is_latest and not self._initial_delay_s
        self._noted_at = now
        self._alone = is_latest and len(former) == 1
        self._is_former_holder = name in former and not is_latest
        self._delayed_until = now + self._initial_delay_s

    def due(self, now: float) -> bool:
        """Whether this process should now be recorded as the holder."""
        return not self._noted and self._wait_s(now) <= 0

    def alone_due(self, now: float) -> bool:
        """Whether the last orders of all other processes are one lease old.

        Once this is recorded, a former holder that restarted and lost the
        time of its last order need not wait. A restart of all processes then
        causes no wait.
        """
        held_s = now - self._noted_at
        return self._noted and not self._alone and held_s > self._lease_s

    def noted(self, fence: int, now: float, alone: bool = False) -> None:
        """Confirm that this process is recorded as the holder."""
        if fence != self.fence:
            return
        if not self._noted:
            self._noted_at = now
        self._noted = True
        self._alone = self._alone or alone

    def may_order(self, fence: int) -> bool:
        """Whether an order may be sent now."""
        return self._noted and fence == self.fence

    @contextlib.contextmanager
    def sending(
        self, now: collections.abc.Callable[[], float]
    ) -> collections.abc.Iterator[None]:
        """Return a context that marks an order as in flight."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._ordered_at = max(self._ordered_at, now())

    def ordered_at(self, now: float) -> float:
        """Return when the last order was in flight."""
        return now if self._in_flight else self._ordered_at

    def wait_s(self, fence: int, now: float) -> float:
        """Return the expected wait until orders may be sent."""
        if self._noted or fence != self.fence:
            return 0.0
        return self._wait_s(now)

    def _wait_s(self, now: float) -> float:
        allowed_at = self._delayed_until
        if self._is_former_holder:
            last_at = self.ordered_at(now)
            allowed_at = max(allowed_at, last_at + self._lease_s)
        return max(0.0, allowed_at - now)
