"""Monotonic time, behind an interface so that tests can control it."""

import abc
import asyncio
import contextlib
import time


class Clock(abc.ABC):
    """Monotonic seconds and sleeping.

    Leases and timeouts don't use the wall clock, so a clock step has no
    effect on them. Leases allow for drift between two clocks.
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
    """A clock that also advances while the instance is suspended.

    The loop's clock stops during a suspend, so a lease would look valid
    long after it has expired for all other instances.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)


async def wait_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; return whether it was set in time.

    In Python 3.11, ``asyncio.wait_for`` may swallow the cancellation of the
    waiting task when the event is set at the same moment. The task then
    keeps running, and code that awaits its end hangs.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
