"""Which target of a plain service to send to, and who may be asked twice."""

import collections
import collections.abc
import random

from bergamotsail import control
from bergamotsail import placement
from bergamotsail import wire

WINDOW_S = 10.0
FAULT_HALF_LIFE_S = 4.0
FAULT_WEIGHT = 3.0
OTHER_DATACENTRE_WEIGHT = 1.5
FEWEST_DAEMONS = 3


def candidates(
    pool: str,
    known: collections.abc.Iterable[control.TargetInfo],
    avoid: collections.abc.Container[str],
) -> collections.abc.Iterator[control.TargetInfo]:
    """Yield those of a pool that are not to be avoided.

    Args:
        known: targets that take work.
    """
    for info in known:
        if info.pool == pool and info.id not in avoid:
            yield info


class ServiceBalancer:
    """Counts what runs where and what failed lately, for one daemon."""

    def __init__(
        self,
        datacentre: str,
        rng: random.Random,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._datacentre = datacentre
        self._rng = rng
        self._clock = clock
        self._running_by_target: collections.Counter[str] = (
            collections.Counter()
        )
        self._faults = placement.DecayingCounter(FAULT_HALF_LIFE_S)

    def choose(
        self,
        pool: str,
        known: collections.abc.Iterable[control.TargetInfo],
        avoid: collections.abc.Container[str],
    ) -> control.TargetInfo | None:
        """Return the least loaded sound target, the nearest of equals."""
        return min(
            candidates(pool, known, avoid), key=self._weight, default=None
        )

    def started(self, target: str) -> None:
        """Count a request in."""
        self._running_by_target[target] += 1

    def ended(self, target: str, failed: bool) -> None:
        """Count a request out, and whether the target failed it."""
        self._running_by_target[target] -= 1
        if self._running_by_target[target] <= 0:
            del self._running_by_target[target]
        if failed:
            self._faults.add(target, self._clock.now())

    def _weight(self, info: control.TargetInfo) -> float:
        far = info.datacentre != self._datacentre
        return (
            self._running_by_target[info.id]
            + FAULT_WEIGHT * self._faults.value(info.id, self._clock.now())
            + (OTHER_DATACENTRE_WEIGHT if far else 0.0)
            + self._rng.random() / 10
        )


class ResendBudgets:
    """Bounds how often requests are sent a second time, by pool.

    All daemons share one budget. Each uses a part of the fixed slack that
    shrinks with the number of daemons, and its own requests' part of the
    rest, so that the sum keeps to the whole without a word between them.

    Args:
        ratio: sends beyond the first, for each request of a window.
        slack: sends beyond the first that are allowed besides.
        daemons: gives how many daemons share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        daemons: collections.abc.Callable[[], int],
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._daemons = daemons
        self._clock = clock
        self._requests_by_pool: dict[str, collections.deque[float]] = {}
        self._repeats_by_pool: dict[str, collections.deque[float]] = {}

    def count(self, pool: str) -> None:
        """Count a caller's request."""
        self._recent(self._requests_by_pool, pool).append(self._clock.now())

    def take(self, pool: str) -> bool:
        """Take one more send from the budget; False when it is spent."""
        requests = len(self._recent(self._requests_by_pool, pool))
        repeats = self._recent(self._repeats_by_pool, pool)
        part = self._slack / max(self._daemons(), FEWEST_DAEMONS)
        if len(repeats) + 1 > self._ratio * requests + part:
            return False
        repeats.append(self._clock.now())
        return True

    def _recent(
        self, times_by_pool: dict[str, collections.deque[float]], pool: str
    ) -> collections.deque[float]:
        times = times_by_pool.setdefault(pool, collections.deque())
        oldest = self._clock.now() - WINDOW_S
        while times and times[0] < oldest:
            times.popleft()
        return times
