"""Listeners whose clients share the connection table of the process."""

import asyncio
import collections
import contextlib
import dataclasses
import os
import resource
import socket
import typing

from absl import logging
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from bergamotsail import connections
from bergamotsail.daemon import _bounded_body
from bergamotsail.daemon import _client_stream
from bergamotsail.daemon import _metrics_application
from bergamotsail.daemon import _process
from bergamotsail import observe
from bergamotsail import wire

# Listen backlog, large because all callers may reconnect at once.
LISTEN_BACKLOG = 1024
# Receive buffer of a connection that was not accepted yet.
WAITING_BYTES = 8 * 1024
MAX_HEADER_BYTES = 64 * 1024
TIMEOUTS = connections.Timeouts(head_s=10.0, idle_s=300.0)
# Tornado's timeout covers the idle time and the head, and can't be changed
# later. The table has a timeout for each, and none for other daemons.
TORNADO_TIMEOUT_S = 3600.0
SWEEP_INTERVAL_S = 0.5
# Descriptors of a process without a limit.
MAX_FDS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What a process may use.

    Args:
        memory_mb: its memory; 0 means that of the instance.
        max_fds: its descriptors; 0 means its resource limit.
    """

    memory_mb: float = 0
    max_fds: int = 0

    def of_clients(self) -> connections.TableLimits:
        """Return what all clients of the process together may use."""
        memory_bytes = int(self.memory_mb * 1e6)
        if memory_bytes == 0:
            pages = os.sysconf("SC_PHYS_PAGES")
            memory_bytes = pages * os.sysconf("SC_PAGE_SIZE")
        max_fds = self.max_fds
        if max_fds == 0:
            max_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if max_fds == resource.RLIM_INFINITY:
            max_fds = MAX_FDS
        return connections.TableLimits.of_process(memory_bytes, max_fds)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What a request to a listener may be.

    Args:
        max_body_bytes: larger bodies are answered 400 by the HTTP server,
            and the connection is closed. A handler that sends an error of
            its own needs SERVER_BODY_BYTES here.
        body_s: seconds in which a whole body must arrive, if limited.
        for_daemons: whether other daemons call here, too.
    """

    max_body_bytes: int = 0
    max_header_bytes: int = MAX_HEADER_BYTES
    timeouts: connections.Timeouts = TIMEOUTS
    body_s: float | None = None
    for_daemons: bool = False


class Listener:
    """A listening address with its HTTP server.

    Args:
        application: takes the requests.
    """

    def __init__(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        address: str,
        limits: ListenerLimits,
        table: connections.ConnectionTable,
    ) -> None:
        self._table = table
        self._timeouts = limits.timeouts
        self._server = httpserver.HTTPServer(
            _client_stream.ClientRequests(application),
            idle_connection_timeout=TORNADO_TIMEOUT_S,
            max_header_size=limits.max_header_bytes,
            max_body_size=limits.max_body_bytes,
            body_timeout=limits.body_s,
        )
        self._stack = contextlib.ExitStack()
        host, _, port = address.rpartition(":")
        sockets = netutil.bind_sockets(
            int(port), host.strip("[]"), backlog=LISTEN_BACKLOG
        )
        for sock in sockets:
            self._stack.callback(sock.close)
            if not limits.for_daemons:
                # Bounds what waits to be accepted. It also bounds the scale
                # of the window for good, which is too small for daemons.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, WAITING_BYTES
                )
            self._stack.callback(
                netutil.add_accept_handler(sock, self._accept)
            )

    def change_limits(self, limits: ListenerLimits) -> None:
        """Apply other limits, also to open connections.

        A head that is being received keeps its limit. The limits of bodies
        stay as they were.
        """
        self._server.conn_params.max_header_size = limits.max_header_bytes
        self._timeouts = limits.timeouts

    def stop(self) -> None:
        """Accept no more connections."""
        self._stack.close()

    async def close_all_connections(self) -> None:
        """Close the open connections."""
        await self._server.close_all_connections()

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        try:
            stream = _client_stream.ClientStream(
                sock, self._table, lambda: self._timeouts
            )
        except wire.NoRoomError:
            return
        self._server.handle_stream(stream, address)


class _CountingObserver(connections.TableObserver):
    """Counts closed connections and refusals, for the log and metrics."""

    def __init__(self, metrics: observe.Metrics) -> None:
        self._metrics = metrics
        self._closed: collections.Counter[str] = collections.Counter()
        self._refused = 0
        self._oldest_s = 0.0

    def evicted(
        self, connection: connections.Connection, reason: connections.Reason
    ) -> None:
        stage = connection.stage
        self._metrics.count(
            "client_connections_closed", reason=str(reason), stage=str(stage)
        )
        self._closed[f"{reason} {stage}"] += 1
        age_s = asyncio.get_running_loop().time() - connection.since
        self._oldest_s = max(self._oldest_s, age_s)

    def refused(self) -> None:
        self._metrics.count("clients_refused")
        self._refused += 1

    def log(self, table: connections.ConnectionTable) -> None:
        """Log what was counted since the last call, if anything was."""
        if not self._closed and not self._refused:
            return
        observe.log_event(
            "clients",
            "closed",
            closed=dict(self._closed),
            refused=self._refused,
            oldest_s=round(self._oldest_s, 3),
            connections=len(table),
            max_connections=table.limits.max_connections,
            charged_bytes=table.charged_bytes,
            max_bytes=table.limits.max_bytes,
        )
        self._closed.clear()
        self._refused = 0
        self._oldest_s = 0.0


class PeerRole(typing.Protocol):
    """A role of a process that other daemons call."""

    peer_endpoint: httputil.HTTPServerConnectionDelegate
    peer_address: str


class ClientListeners:
    """The listeners of a process; an async context manager.

    While it is entered, it closes connections whose timeouts have passed.

    Example::

        limits = ProcessLimits(300, 4096)
        async with ClientListeners(limits, metrics) as clients:
            clients.listen(application, "127.0.0.1:7001")
    """

    def __init__(
        self,
        limits: ProcessLimits,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._observer = _CountingObserver(metrics)
        self._metrics = metrics
        self.table = connections.ConnectionTable(
            limits.of_clients(), clock, self._observer
        )
        self._clock = clock
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "ClientListeners":
        self._background.start(self._sweep)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()

    def listen(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        address: str,
        limits: ListenerLimits = ListenerLimits(),
    ) -> Listener:
        """Serve an application at HOST:PORT."""
        return Listener(application, address, limits, self.table)

    def listen_bounded(
        self,
        application: httputil.HTTPServerConnectionDelegate,
        address: str,
    ) -> Listener:
        """Serve an application whose handlers limit bodies themselves."""
        limits = ListenerLimits(_bounded_body.SERVER_BODY_BYTES)
        return self.listen(application, address, limits)

    def listen_internally(self, role: PeerRole, metrics_port: str) -> None:
        """Listen for other daemons, and for readers of the metrics."""
        limits = ListenerLimits(_process.PEER_BODY_BYTES, for_daemons=True)
        self.listen(role.peer_endpoint, role.peer_address, limits)
        host = role.peer_address.rpartition(":")[0]
        self.listen(
            _metrics_application.metrics_application(self._metrics),
            f"{host}:{metrics_port}",
        )

    async def _sweep(self) -> None:
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            try:
                self.table.close_expired()
            except Exception:
                logging.exception("clients: Could not close connections.")
            self._observer.log(self.table)
            self._metrics.set("client_bytes", self.table.charged_bytes)
            self._metrics.set("client_connections", len(self.table))
