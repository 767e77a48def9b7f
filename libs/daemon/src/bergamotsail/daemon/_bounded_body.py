"""Bodies of requests, bounded, and refused without losing the answer."""

from tornado import web

from bergamotsail import wire

# What a daemon takes where nothing else is set.
BODY_BYTES = 16 * 1024 * 1024
# A refused body is read to its end up to this size, and dropped. Beyond it
# the connection is closed, and the refusal may be lost with it: nobody is
# owed the reading of an endless body.
MOST_DROPPED_BYTES = 64 * 1024 * 1024
# The web server's own limit closes the connection before a handler runs,
# so it must never be the one that is met. As large as a length may be.
SERVER_BODY_BYTES = 2**62


@web.stream_request_body
class BoundedBodyHandler(web.RequestHandler):
    """Collects a body up to a limit, and notes why it was refused.

    To answer before a body is read closes the connection with unread bytes
    in it. That resets it, and a caller that still sends loses the answer.
    So the rest is read and dropped first; *refused* says why, once the
    handler's method runs.
    """

    max_body_bytes = 0

    def init_body(self, max_body_bytes: int) -> None:
        """Start to collect; called when the handler is made."""
        self.max_body_bytes = max_body_bytes
        self.refused: wire.ServingError | None = None
        self._pieces: list[bytes] = []
        self._size = 0

    def prepare(self) -> None:
        """Refuse a body that says it is too large."""
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self._refuse()
            if int(length) > MOST_DROPPED_BYTES:
                self.send_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body, up to the limit."""
        self._size += len(chunk)
        if self._size <= self.max_body_bytes and self.refused is None:
            self._pieces.append(chunk)
            return
        self._refuse()
        if self._size > MOST_DROPPED_BYTES and not self._finished:
            self.send_refusal()

    def _refuse(self) -> None:
        self._pieces.clear()
        self.refused = wire.TooLargeError(
            f"Send a body of at most {self.max_body_bytes} bytes."
        )

    def send_refusal(self) -> None:
        """Answer a refused body; the rest of it is not read."""
        raise NotImplementedError

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._pieces)

    def on_finish(self) -> None:
        """Let the pieces go with the request."""
        self._pieces.clear()
