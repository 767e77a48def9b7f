"""Helpers of daemon processes: listening sockets and stop signals."""

import asyncio
import collections.abc
import signal

from absl import logging
from tornado import httpserver
from tornado import httputil
from tornado import netutil
from tornado import web

from bergamotsail.daemon import _bounded_body
from bergamotsail import wire

# Listen backlog, large because all callers may reconnect at once.
LISTEN_BACKLOG = 1024
MAX_HEADER_BYTES = 64 * 1024
# Idle timeout, long so that connections between daemons are kept.
IDLE_TIMEOUT_S = 3600.0
# Limit of a call's body between daemons; snapshot pieces are the largest.
PEER_BODY_BYTES = 64 * 1024 * 1024


def listen(
    app: (
        web.Application
        | collections.abc.Callable[[httputil.HTTPServerRequest], None]
    ),
    address: str,
    max_body_bytes: int = _bounded_body.BODY_BYTES,
) -> httpserver.HTTPServer:
    """Serve an application, or a request callback, at HOST:PORT."""
    server = httpserver.HTTPServer(
        app,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=max_body_bytes,
        max_buffer_size=min(max_body_bytes, PEER_BODY_BYTES),
    )
    host, _, port = address.rpartition(":")
    server.add_sockets(
        netutil.bind_sockets(int(port), host, backlog=LISTEN_BACKLOG)
    )
    return server


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
