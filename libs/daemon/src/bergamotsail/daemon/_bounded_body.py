"""Size limit of request bodies, with an error that the caller receives."""

from tornado import web

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
        """Initialize the buffer; call this in ``initialize``."""
        self.max_body_bytes = max_body_bytes
        self.refused: wire.ServingError | None = None
        self._chunks: list[bytes] = []
        self._size = 0

    def prepare(self) -> None:
        """Refuse a body whose Content-Length exceeds the limit."""
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self._refuse()
            if int(length) > MAX_DISCARDED_BYTES:
                self.send_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, up to the limit."""
        self._size += len(chunk)
        if self._size <= self.max_body_bytes and self.refused is None:
            self._chunks.append(chunk)
            return
        self._refuse()
        if self._size > MAX_DISCARDED_BYTES and not self._finished:
            self.send_refusal()

    def _refuse(self) -> None:
        self._chunks.clear()
        self.refused = wire.TooLargeError(
            f"Send a body of at most {self.max_body_bytes} bytes."
        )

    def send_refusal(self) -> None:
        """Send the error response for a refused body."""
        raise NotImplementedError

    @property
    def body(self) -> bytes:
        """The buffered body."""
        return b"".join(self._chunks)

    def on_finish(self) -> None:
        """Free the buffer when the request has ended."""
        self._chunks.clear()
