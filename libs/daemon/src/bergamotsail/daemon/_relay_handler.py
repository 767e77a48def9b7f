"""Handlers that relay a target's answer to a caller."""

import asyncio
import socket
import struct

from bergamotsail.daemon import _bounded_body
from bergamotsail import routing

# SO_LINGER is on with 0 s: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RelayHandler(_bounded_body.BoundedBodyHandler):
    """Base class of handlers that relay answers unchanged.

    Subclasses set *task* to the task that relays the answer.
    """

    task: asyncio.Task | None = None

    def set_default_headers(self) -> None:
        """Remove Tornado's defaults: the target's headers are relayed."""
        self.clear_header("Server")
        self.clear_header("Content-Type")

    def compute_etag(self) -> None:
        """Add no ETag: the target's headers are relayed."""

    def on_connection_close(self) -> None:
        """Cancel relaying when the caller leaves, to free the target."""
        super().on_connection_close()
        if self.task is not None:
            self.task.cancel()
            self.task = None

    def on_finish(self) -> None:
        """Drop the task, whose error refers to the request and its body."""
        super().on_finish()
        self.task = None

    def close_connection(self) -> None:
        """Close the connection so that the response can't look complete."""
        self._finished = True
        self.task = None
        stream = getattr(self.request.connection, "stream", None)
        if stream is None:
            return
        if self.request.version == "HTTP/1.0" and not stream.closed():
            # Without chunks a normal close would end the response.
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        stream.close()


class RelayedAnswer(routing.AnswerWriter):
    """Writes an answer through a handler."""

    def __init__(self, handler: RelayHandler) -> None:
        self._handler = handler
        self._started = False

    @property
    def started(self) -> bool:
        return self._started

    def start(self, status: int, headers: routing.Headers) -> None:
        self._started = True
        handler = self._handler
        handler.set_status(status)
        for name, value in headers:
            handler.add_header(name, value)

    async def write(self, piece: bytes) -> None:
        self._handler.write(piece)
        await self._handler.flush()

    async def finish(self) -> None:
        await self._handler.finish()

    def abort(self) -> None:
        self._handler.close_connection()
