"""Load balancing and resend budgets for plain services."""

import collections
import collections.abc
import random

from bergamotsail import control
from bergamotsail import placement
from bergamotsail import wire

WINDOW_S = 10.0
FAILURE_HALF_LIFE_S = 4.0
FAILURE_WEIGHT = 3.0
OTHER_DATACENTRE_WEIGHT = 1.5
MIN_DAEMONS = 3


def candidates(
    pool: str,
    known: collections.abc.Iterable[control.TargetInfo],
    avoid: collections.abc.Container[str],
) -> collections.abc.Iterator[control.TargetInfo]:
    """Yield the targets of a pool, except those to avoid.

    Args:
        known: targets that accept work.
    """
    for info in known:
        if info.pool == pool and info.id not in avoid:
            yield info


class ServiceBalancer:
    """Balances load by this daemon's running requests and recent failures."""

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
        self._failures = placement.DecayingCounter(FAILURE_HALF_LIFE_S)

    def choose(
        self,
        pool: str,
        known: collections.abc.Iterable[control.TargetInfo],
        avoid: collections.abc.Container[str],
    ) -> control.TargetInfo | None:
        """Return the target with the least weight, or None without any.

        Running requests, recent failures and another data centre add to the
        weight of a target; ties are broken at random.
        """
        return min(
            candidates(pool, known, avoid), key=self._weight, default=None
        )

    def started(self, target: str) -> None:
        """Count a request as running."""
        self._running_by_target[target] += 1

    def ended(self, target: str, failed: bool) -> None:
        """Count a request as ended, and as a failure if the target failed."""
        self._running_by_target[target] -= 1
        if self._running_by_target[target] <= 0:
            del self._running_by_target[target]
        if failed:
            self._failures.add(target, self._clock.now())

    def _weight(self, info: control.TargetInfo) -> float:
        remote = info.datacentre != self._datacentre
        return (
            self._running_by_target[info.id]
            + FAILURE_WEIGHT * self._failures.value(info.id, self._clock.now())
            + (OTHER_DATACENTRE_WEIGHT if remote else 0.0)
            + self._rng.random() / 10
        )


class ResendBudgets:
    """Limits how often requests are sent again, by pool.

    All daemons share one budget without coordination: each may use an equal
    part of the fixed slack, and the given ratio of its own requests, so
    that the sum stays within the total.

    Args:
        ratio: resends allowed per request within WINDOW_S.
        slack: further resends allowed within WINDOW_S, for all daemons.
        daemons: returns the number of daemons that share the slack.
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
        self._resends_by_pool: dict[str, collections.deque[float]] = {}

    def count(self, pool: str) -> None:
        """Count a caller's request."""
        self._recent(self._requests_by_pool, pool).append(self._clock.now())

    def take(self, pool: str) -> bool:
        """Take one resend from the budget; False if it is exhausted."""
        requests = len(self._recent(self._requests_by_pool, pool))
        resends = self._recent(self._resends_by_pool, pool)
        slack_share = self._slack / max(self._daemons(), MIN_DAEMONS)
        if len(resends) + 1 > self._ratio * requests + slack_share:
            return False
        resends.append(self._clock.now())
        return True

    def _recent(
        self, times_by_pool: dict[str, collections.deque[float]], pool: str
    ) -> collections.deque[float]:
        times = times_by_pool.setdefault(pool, collections.deque())
        oldest = self._clock.now() - WINDOW_S
        while times and times[0] < oldest:
            times.popleft()
        return times
