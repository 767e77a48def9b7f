"""Monotonic time, behind an interface so that tests can bend it."""

import abc
import asyncio
import contextlib
import time


class Clock(abc.ABC):
    """Monotonic seconds and sleeping.

    No decision in this project uses the wall clock, so that a clock step
    never matters. Leases allow for drift between two clocks.
    """

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic seconds since an arbitrary start."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleep for *seconds* of this clock."""


class LoopClock(Clock):
    """The clock of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


class BootClock(LoopClock):
    """A clock that goes on while the instance is suspended.

    The loop's clock stands still meanwhile, so that a lease would seem to
    hold long after it ended for everyone else.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


async def wait_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; False when it did not come in time.

    ``asyncio.wait_for`` of Python 3.11 may swallow the cancellation of the
    waiting task when the event comes at that moment. The task then lives
    on, and whoever waits for its end waits for ever.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
