"""Bounds how many requests brittle targets have to reject.

A brittle target fails when it must reject more than a number of requests in
a second, and says so in its answers. All entries share that number equally,
without coordination: each bounds how many of its requests may be rejected at
once, and stops sending for a while after a rejection.

The shares add up to less than the number only while there are no more
daemons than rejections: each may always have one request unanswered, and
pauses for MAX_PAUSE_S at most.
"""

import asyncio
import collections
import collections.abc
import contextlib
import math

from bergamotsail import wire

# Part of the rejections that is used; the rest is for requests in flight.
USED_SHARE = 0.5
# A target is brittle for this long after it last said so.
MEMORY_S = 10.0
MAX_PAUSE_S = 2.0


class Slot:
    """A request that its target has neither accepted nor rejected yet."""

    def __init__(self, release: collections.abc.Callable[[], None]) -> None:
        self._release: collections.abc.Callable[[], None] | None = release

    def release(self) -> None:
        """Note that the target has answered, or won't; may be repeated."""
        release, self._release = self._release, None
        if release is not None:
            release()


class BrittleTargets:
    """Requests that brittle targets may still reject, by target.

    Example: a target that bears 9 rejections a second, with 9 daemons, has
    one unanswered request of each at a time, and none from a daemon for 2 s
    after it rejected one of its requests.

    Args:
        daemons: returns the number of daemons that share the rejections.
    """

    def __init__(
        self,
        daemons: collections.abc.Callable[[], int],
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._daemons = daemons
        self._clock = clock
        # What a target bears in a second, and until when that is remembered.
        self._bears_by_target: dict[str, tuple[int, float]] = {}
        self._unanswered_by_target: collections.Counter[str] = (
            collections.Counter()
        )
        self._answered = asyncio.Event()

    def note(self, target: str, bears: int | None) -> None:
        """Note what an answer of a target says; None if it is not brittle."""
        if bears is None:
            self._bears_by_target.pop(target, None)
            return
        until = self._clock.now() + MEMORY_S
        self._bears_by_target[target] = (bears, until)
        if len(self._bears_by_target) > 1:
            self._forget_old()

    def pause_s(self, target: str) -> float:
        """Return how long to send nothing to a target that rejected."""
        share = self._share(target)
        if share is None:
            return 0.0
        return min(self._limit(share) / share, MAX_PAUSE_S)

    @contextlib.asynccontextmanager
    async def slot(
        self, target: str, wait_s: float
    ) -> collections.abc.AsyncIterator[Slot | None]:
        """Wait until one more request may be rejected; None if too long."""
        if not await self._wait(target, wait_s):
            yield None
            return
        self._unanswered_by_target[target] += 1
        slot = Slot(lambda: self._release(target))
        try:
            yield slot
        finally:
            slot.release()

    async def _wait(self, target: str, wait_s: float) -> bool:
        until = self._clock.now() + wait_s
        while not self._is_free(target):
            left_s = until - self._clock.now()
            if left_s <= 0.0 or not await wire.wait_event(
                self._answered, left_s
            ):
                return False
        return True

    def _is_free(self, target: str) -> bool:
        share = self._share(target)
        if share is None:
            return True
        return self._unanswered_by_target[target] < self._limit(share)

    def _release(self, target: str) -> None:
        self._unanswered_by_target[target] -= 1
        if self._unanswered_by_target[target] <= 0:
            del self._unanswered_by_target[target]
        self._answered.set()
        self._answered = asyncio.Event()

    def _share(self, target: str) -> float | None:
        """Return the rejections a second that this daemon may cause."""
        bears, until = self._bears_by_target.get(target, (0, 0.0))
        if until <= self._clock.now():
            return None
        return max(bears, 1) * USED_SHARE / max(self._daemons(), 1)

    def _limit(self, share: float) -> int:
        return max(math.floor(share), 1)

    def _forget_old(self) -> None:
        now = self._clock.now()
        for target, (_, until) in list(self._bears_by_target.items()):
            if until <= now:
                del self._bears_by_target[target]
