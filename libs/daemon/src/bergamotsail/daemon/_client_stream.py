"""Connections to clients, charged to the connection table of the process."""

import collections.abc
import socket
import typing

from tornado import httputil
from tornado import iostream

from bergamotsail import connections
from bergamotsail import wire

Stage = connections.Stage
# Receive buffer of a connection from another daemon, whose messages are large
# and may come from another region. The kernel may allow less.
TRUSTED_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
# How long an evicted connection stays open for its response.
REFUSAL_S = 1.0


class RequestReceiver(typing.Protocol):
    """A handler that is receiving the body of a request."""

    def evict(self, error: wire.ServingError) -> None:
        """Drop the body and respond with the error."""


class ClientStream(iostream.IOStream, connections.Owner):
    """The connection to a client.

    Attributes:
        record: its record in the connection table.
        receiver: the handler that is receiving a body, if any.

    Raises:
        NoRoomError: the table has no room for it; it is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        table: connections.ConnectionTable,
        timeouts: collections.abc.Callable[[], connections.Timeouts],
    ) -> None:
        super().__init__(sock)
        self.receiver: RequestReceiver | None = None
        self.record: connections.Connection | None = None
        try:
            self.record = table.open(self, timeouts)
        except wire.NoRoomError:
            self.close()
            raise
        self._set_receive_buffer(connections.ASKED_RECEIVE_BUFFER_BYTES)

    def trust(self) -> None:
        """Exempt the connection, which is from another daemon."""
        if not self.record.trusted:
            self.record.trust()
            self._set_receive_buffer(TRUSTED_RECEIVE_BUFFER_BYTES)

    def _set_receive_buffer(self, size: int) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def enter(self, stage: Stage) -> None:
        """Record the stage of the connection's request."""
        self.record.enter(stage, self._read_buffer_size)

    def evict(self, reason: connections.Reason) -> None:
        if self.record.stage is Stage.BODY and self.receiver is not None:
            self.receiver.evict(_error_of(reason))
            # The client may not take the response.
            self.io_loop.call_later(REFUSAL_S, self.close)
        else:
            self.close()

    # Called by the base class.

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        size = super().read_from_fd(buf)
        if size:
            try:
                self.record.receive(size, self._read_buffer_size + size)
            except wire.NoRoomError:
                # The base class is still using the buffer.
                self.io_loop.add_callback(self.close)
        return size

    def write(self, data: bytes | memoryview) -> typing.Awaitable[None]:
        self.record.queue_answer(len(data))
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        try:
            size = super().write_to_fd(data)
        except BlockingIOError:
            self.record.wait_to_send()
            raise
        self.record.send(size)
        return size

    def close_fd(self) -> None:
        super().close_fd()
        if self.record is not None:
            self.record.close()


class ClientRequests(httputil.HTTPServerConnectionDelegate):
    """Records the stages of clients' requests for an application."""

    def __init__(
        self, application: httputil.HTTPServerConnectionDelegate
    ) -> None:
        self._application = application

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        stream = request_conn.stream
        stream.enter(Stage.IDLE)
        return _ClientRequest(
            self._application.start_request(server_conn, request_conn), stream
        )

    def on_close(self, server_conn: object) -> None:
        self._application.on_close(server_conn)


class _ClientRequest(httputil.HTTPMessageDelegate):
    """Records the stages of one request."""

    def __init__(
        self, request: httputil.HTTPMessageDelegate, stream: ClientStream
    ) -> None:
        self._request = request
        self._stream = stream

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> typing.Awaitable[None] | None:
        self._stream.enter(Stage.BODY)
        return self._request.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> typing.Awaitable[None] | None:
        return self._request.data_received(chunk)

    def finish(self) -> None:
        self._stream.enter(Stage.RUNNING)
        self._request.finish()

    def on_connection_close(self) -> None:
        self._request.on_connection_close()


def stream_of(request: httputil.HTTPServerRequest) -> ClientStream | None:
    """Return the connection of a request, if it is in the table."""
    stream = getattr(request.connection, "stream", None)
    return stream if isinstance(stream, ClientStream) else None


def _error_of(reason: connections.Reason) -> wire.ServingError:
    """Return the error for a request that was being received."""
    if reason is connections.Reason.IDLE_TIMEOUT:
        return wire.RequestTimeoutError(
            "The body of the request did not arrive in time. Send it again, "
            "without pauses."
        )
    return connections.no_room_error()
