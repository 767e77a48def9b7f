"""Size limit of request bodies, with an error that the caller receives."""

from tornado import web

from bergamotsail.daemon import _client_stream
from bergamotsail import wire

# Default limit of a request body.
BODY_BYTES = 16 * 1024 * 1024
# A refused body is read and discarded up to this size. Beyond it the
# connection is closed, so that an endless body can't occupy the daemon, and
# the caller may lose the error response.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
# Limit of tornado's server. It must never be reached, because the server
# would close the connection before a handler can respond.
SERVER_BODY_BYTES = 2**62


@web.stream_request_body
class BoundedBodyHandler(web.RequestHandler):
    """Buffers a request body up to a limit.

    If the response were sent before the whole body was read, the connection
    would be closed with unread data. That resets it, and a caller that is
    still sending loses the response. So the rest of a refused body is read
    and discarded first. *refused* then holds the error when the handler's
    HTTP method runs.
    """

    max_body_bytes = 0

    def init_body(self, max_body_bytes: int) -> None:
        """Initialize the buffer; call this in ``initialize``.

        The process may have memory for less than *max_body_bytes*.
        """
        self.max_body_bytes = max_body_bytes
        self.refused: wire.ServingError | None = None
        # Small pieces in a list would take many times their size.
        self._buffer = bytearray()
        self._size = 0
        self._stream = _client_stream.stream_of(self.request)
        if self._stream is not None:
            limit = self._stream.record.max_body_bytes
            self.max_body_bytes = min(max_body_bytes, limit)
            try:
                self._stream.record.begin_request()
            except wire.NoRoomError as error:
                self.refused = error

    def prepare(self) -> None:
        """Refuse a body whose Content-Length exceeds the limit."""
        if self._stream is not None:
            # Tornado can't send a response before it calls this method.
            self._stream.receiver = self
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self._reject(self._too_large())
            if int(length) > MAX_DISCARDED_BYTES:
                self.send_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, up to the limit."""
        self._size += len(chunk)
        if self.refused is None:
            self._buffer_chunk(chunk)
        if self._size > MAX_DISCARDED_BYTES and not self._finished:
            self.send_refusal()

    def _buffer_chunk(self, chunk: bytes) -> None:
        if self._size > self.max_body_bytes:
            self._reject(self._too_large())
            return
        try:
            if self._stream is not None:
                self._stream.record.add_body(len(chunk))
        except wire.NoRoomError as error:
            self._reject(error)
            return
        self._buffer += chunk

    def evict(self, error: wire.ServingError) -> None:
        """Drop the body and respond with the error at once."""
        if self._finished:
            return
        if self.refused is None:
            self._reject(error)
        self.set_header("Connection", "close")
        self.send_refusal()

    def _too_large(self) -> wire.ServingError:
        return wire.TooLargeError(
            f"Send a body of at most {self.max_body_bytes} bytes."
        )

    def _reject(self, error: wire.ServingError) -> None:
        self._drop_body()
        self.refused = error

    def _drop_body(self) -> None:
        self._buffer = bytearray()
        if self._stream is not None:
            self._stream.record.drop_body()

    def send_refusal(self) -> None:
        """Send the error response for a refused body."""
        raise NotImplementedError

    def trust_connection(self) -> None:
        """Exempt the connection from the limits for clients."""
        if self._stream is not None:
            self._stream.trust()
            self.refused = None

    def check_room(self, size: int) -> None:
        """Make room for a response body of this size.

        Raises:
            NoRoomError: there is none; nothing was sent.
        """
        if self._stream is not None:
            self._stream.record.check_room(size)

    def take_body(self) -> bytes:
        """Return the body, once; the buffer is freed.

        Raises:
            ServingError: the body was refused.
        """
        if self.refused is not None:
            raise self.refused
        body = bytes(self._buffer)
        self._buffer = bytearray()
        return body

    def on_connection_close(self) -> None:
        """Free the buffer of a request that will not become complete."""
        self._buffer = bytearray()
        super().on_connection_close()

    def on_finish(self) -> None:
        """Free the buffer when the request has ended."""
        self._buffer = bytearray()
        if self._stream is not None:
            self._stream.receiver = None
