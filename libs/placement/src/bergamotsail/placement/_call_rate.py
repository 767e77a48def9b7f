"""The rate of calls that a process has time for, from its own delay."""

import dataclasses

# Lag of the event loop from which a process is overloaded, and below which it
# has time to spare.
OVERLOAD_LAG_S = 0.05
SPARE_LAG_S = 0.02
# Factor for the rate of an overloaded process, and its growth with time to
# spare. The rate falls fast, since a late leader loses its lead.
DECREASE = 0.85
INCREASE = 1.1
INTERVAL_S = 0.5
# A rate of which less is used says nothing of what the process has time for.
MIN_USED = 0.5
INITIAL_PER_S = 600.0
MIN_PER_S = 20.0
MAX_PER_S = 5_000.0


@dataclasses.dataclass(slots=True)
class CallRate:
    """Adapts the rate of calls so that the event loop stays on time.

    What a call costs differs between machines and with the load, so the rate
    follows from the calls that were served and the lag meanwhile.

    Args:
        per_s: calls a second that the process has time for.

    Example::

        rate = CallRate()
        rate.count()
        rate.update(lag_s=0.2, now=1.0)
        rate.per_s  # what was served, less a part
    """

    per_s: float = INITIAL_PER_S
    _served: int = 0
    _since: float = 0.0

    def count(self) -> None:
        """Count a call that was served."""
        self._served += 1

    def update(self, lag_s: float, now: float) -> None:
        """Adapt the rate, once in INTERVAL_S.

        Args:
            lag_s: mean lag of the event loop in the last second.
        """
        over_s = now - self._since
        if over_s < INTERVAL_S:
            return
        served_per_s = self._served / over_s
        self._served, self._since = 0, now
        if lag_s > OVERLOAD_LAG_S:
            target = min(self.per_s, max(served_per_s, MIN_PER_S))
            self.per_s = max(DECREASE * target, MIN_PER_S)
        elif lag_s < SPARE_LAG_S and served_per_s > MIN_USED * self.per_s:
            self.per_s = min(INCREASE * self.per_s, MAX_PER_S)
