"""Helpers of daemon processes: signals and the limit of peers' calls."""

import asyncio
import collections.abc
import signal

from absl import logging

from bergamotsail import wire

# Limit of a call's body between daemons; snapshot pieces are the largest.
PEER_BODY_BYTES = 64 * 1024 * 1024


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()


def ignore_reload_signal() -> None:
    """Ignore SIGHUP, which would otherwise end the process."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, lambda: logging.info("main: SIGHUP ignored.")
    )


async def reloads(
    interval_s: float,
) -> collections.abc.AsyncIterator[None]:
    """Yield at each SIGHUP, and without one after each interval."""
    hangup = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hangup.set)
    while True:
        await wire.wait_event(hangup, interval_s)
        hangup.clear()
        yield
