"""A mean in which older values count less."""

import math


class RecentMean:
    """The mean of values, weighted by their age.

    Without new values it approaches zero.

    Args:
        window_s: time constant of the weights.

    Example::

        mean = RecentMean(1.0)
        mean.add(0.2, now=5.0)
        mean.value(5.0)  # 0.2
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._sum = 0.0
        self._weight = 0.0
        self._at = 0.0

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self._decay(now)
        self._sum += value
        self._weight += 1.0

    def value(self, now: float) -> float:
        """Return the mean."""
        self._decay(now)
        return self._sum / max(self._weight, 1.0)

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / self._window_s)
        self._sum *= factor
        self._weight *= factor
        self._at = max(now, self._at)
