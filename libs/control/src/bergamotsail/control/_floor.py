"""Expiry of idempotency keys that tolerates steps of the wall clock.

A claim may be deleted only if its key is refused from then on. So the
replicated state has a floor: a key with an earlier time is refused. The floor
only rises. It follows the wall clock, but no faster than monotonic time, so
that a clock step never causes keys in use to be refused.
"""

import collections.abc
import time

MS = 1000
RAISE_INTERVAL_S = 10.0


class FloorRaiser:
    """Computes when and how far to raise the floor.

    Args:
        retention_s: how long keys are kept.
        wall_s: wall clock, in seconds of Unix time.
    """

    def __init__(
        self,
        retention_s: float,
        wall_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._retention_s = retention_s
        self._wall_s = wall_s
        # The floor in force, and when this replica first saw it.
        self._last: tuple[int, float] | None = None

    def next_floor_ms(self, floor_ms: int, now: float) -> int | None:
        """Return the floor to propose, or None when it is not yet due.

        Args:
            floor_ms: the floor in force.
            now: monotonic seconds.
        """
        if self._last is None or self._last[0] != floor_ms:
            self._last = (floor_ms, now)
            if floor_ms > 0:
                return None
        since_s = now - self._last[1]
        wanted = int((self._wall_s() - self._retention_s) * MS)
        if floor_ms == 0:
            return max(wanted, 1)
        if since_s < RAISE_INTERVAL_S:
            return None
        raised = min(wanted, floor_ms + int(since_s * MS))
        return raised if raised > floor_ms else None
