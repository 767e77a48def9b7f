"""What every program does: listen at addresses, and stop when told to."""

import asyncio
import collections.abc
import signal

from tornado import httpserver
from tornado import httputil
from tornado import netutil
from tornado import web

from bergamotsail.daemon import _bounded_body

# Connections that wait to be accepted: all callers come back at once.
BACKLOG = 1024
HEADER_BYTES = 64 * 1024
# Idle connections of other daemons are kept for so long.
IDLE_S = 3600.0
# The largest body of a call between daemons, a piece of a snapshot.
PEER_BODY_BYTES = 64 * 1024 * 1024


def listen(
    app: (
        web.Application
        | collections.abc.Callable[[httputil.HTTPServerRequest], None]
    ),
    address: str,
    max_body: int = _bounded_body.BODY_BYTES,
) -> httpserver.HTTPServer:
    """Serve an application at an address."""
    server = httpserver.HTTPServer(
        app,
        idle_connection_timeout=IDLE_S,
        max_header_size=HEADER_BYTES,
        max_body_size=max_body,
        max_buffer_size=min(max_body, PEER_BODY_BYTES),
    )
    host, _, port = address.rpartition(":")
    server.add_sockets(netutil.bind_sockets(int(port), host, backlog=BACKLOG))
    return server


async def wait_for_stop_signal() -> None:
    """Return when the process is told to stop."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    await told.wait()
