"""HTTP client on tornado's curl client, with two additions.

The *gate* is a check that runs on the established connection, right before a
request is written. If it returns False, nothing is sent, so a daemon that
froze after its lease check doesn't send with an expired lease. And the error
of a failed request says whether anything was sent.

libcurl repeats a request on a new connection when a reused one turns out to
be dead. That is wrong for a call that is not idempotent, so ``once=True``
opens a new connection and prevents a second write.
"""

import asyncio
import collections.abc
import dataclasses

import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from bergamotsail.wire import _errors
from bergamotsail.wire import _status

MAX_CLIENTS = 400
CONNECT_TIMEOUT_S = 1.0
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# Bounds of a body that is read as a whole, and of a line of one that is read
# by lines. The longest that daemons send are parts of the state, 45 kB each.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_LINE_BYTES = 4 * 1024 * 1024
NO_TIMEOUT_S = 0.0

Gate = collections.abc.Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request.

    Args:
        url: URL with an IP address as its host.
        timeout_s: seconds for the whole exchange; 0 means no limit.
        gate: called right before the request is written; False prevents
            that.
        once: never write the request twice.
    """

    url: str
    method: str = "GET"
    body: bytes | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    timeout_s: float = 10.0
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    gate: Gate | None = None
    once: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes


def too_large(
    request: HttpRequest, part: str, max_bytes: int
) -> _errors.ReplyTooLargeError:
    """Return the error for a part of a reply that exceeds its bound."""
    return _errors.ReplyTooLargeError(
        f"The {part} of the reply to {request.method} {request.url} is longer "
        f"than {max_bytes} bytes. Check the peer."
    )


class BoundedBody:
    """Collects a body of at most MAX_BODY_BYTES."""

    def __init__(self, request: HttpRequest) -> None:
        self._request = request
        self._pieces: list[bytes] = []
        self._size = 0

    def add(self, piece: bytes) -> None:
        """Add a piece.

        Raises:
            ReplyTooLargeError: the body is too long.
        """
        self._size += len(piece)
        if self._size > MAX_BODY_BYTES:
            raise too_large(self._request, "body", MAX_BODY_BYTES)
        self._pieces.append(piece)

    def whole(self) -> bytes:
        """Return the body so far."""
        return b"".join(self._pieces)


class LineSplitter:
    """Splits a body into lines of at most MAX_LINE_BYTES.

    Lines have no surrounding whitespace; blank lines are skipped.
    """

    def __init__(self, request: HttpRequest) -> None:
        self._request = request
        self._rest: list[bytes] = []
        self._rest_bytes = 0

    def feed(self, piece: bytes) -> collections.abc.Iterator[bytes]:
        """Yield the lines that a piece completes.

        Raises:
            ReplyTooLargeError: a line is too long.
        """
        first, *others = piece.split(b"\n")
        self._rest.append(first)
        self._rest_bytes += len(first)
        for line in others:
            yield from self.end()
            self._rest, self._rest_bytes = [line], len(line)
        if self._rest_bytes > MAX_LINE_BYTES:
            raise too_large(self._request, "line", MAX_LINE_BYTES)

    def end(self) -> collections.abc.Iterator[bytes]:
        """Yield what follows the last line end, if anything does."""
        whole = b"".join(self._rest).strip()
        if whole:
            yield whole


class _SendState:
    """Tracks whether a request was written or aborted.

    Attributes:
        failure: why the reply was abandoned.
    """

    def __init__(self, request: HttpRequest) -> None:
        self._request = request
        self.sent = False
        self.aborted = False
        self.failure: _errors.PeerLostError | None = None

    def abandon(self, failure: _errors.PeerLostError) -> None:
        """End the transfer because of what the reply contains."""
        self.failure = self.failure or failure
        self.aborted = True

    def check_header(self, line: str) -> None:
        """Abandon a reply whose head has no status of HTTP."""
        data = line.encode("latin-1", "replace")
        if not data.startswith(_status.STATUS_LINE_START):
            return
        try:
            _status.parse_status_line(data)
        except _errors.InvalidReplyError as error:
            self.abandon(error)

    def prepare(self, handle: pycurl.Curl) -> None:
        handle.setopt(pycurl.PREREQFUNCTION, self._before_write)
        handle.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        handle.setopt(pycurl.NOPROGRESS, 0)
        once = 1 if self._request.once else 0
        handle.setopt(pycurl.FRESH_CONNECT, once)
        handle.setopt(pycurl.FORBID_REUSE, once)

    def _before_write(self, *_: object) -> int:
        if self._request.once and self.sent:
            return pycurl.PREREQFUNC_ABORT
        gate = self._request.gate
        if self.aborted or (gate is not None and not gate()):
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _on_progress(self, *_: int) -> int:
        return 1 if self.aborted else 0


class HttpClient:
    """HTTP client; a context manager that closes its connections."""

    def __init__(self) -> None:
        self._curl = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def __enter__(self) -> "HttpClient":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        self._curl.close()

    async def fetch(self, request: HttpRequest) -> HttpReply:
        """Send a request and return the complete reply, of any status.

        Raises:
            NotSentError: nothing was written.
            ReplyTooLargeError: the body is longer than MAX_BODY_BYTES.
            PeerLostError: the reply was lost after writing.
        """
        send_state = _SendState(request)
        body = BoundedBody(request)

        def on_chunk(chunk: bytes) -> None:
            if send_state.failure is not None:
                return
            try:
                body.add(chunk)
            except _errors.ReplyTooLargeError as error:
                send_state.abandon(error)

        try:
            reply = await self._curl.fetch(
                self._tornado_request(request, send_state, on_chunk),
                raise_error=False,
            )
        except asyncio.CancelledError:
            send_state.aborted = True
            raise
        except httpclient.HTTPError as error:
            raise _transport_error(error, send_state, request) from error
        if send_state.failure is not None:
            raise send_state.failure
        return HttpReply(
            reply.code, dict(reply.headers.get_all()), body.whole()
        )

    async def stream(
        self, request: HttpRequest
    ) -> collections.abc.AsyncIterator[bytes]:
        """Send a request and yield the lines of the reply's body.

        Lines are yielded without surrounding whitespace; blank lines are
        skipped. The status of the reply is not checked.

        Raises:
            NotSentError: nothing was written.
            ReplyTooLargeError: a line is longer than MAX_LINE_BYTES.
            PeerLostError: the reply was incomplete.
        """
        send_state = _SendState(request)
        lines = LineSplitter(request)
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        buffered = 0

        def on_chunk(chunk: bytes) -> None:
            nonlocal buffered
            buffered += len(chunk)
            if buffered > MAX_BUFFERED_BYTES:
                send_state.aborted = True
            chunks.put_nowait(chunk)

        async def fetch() -> httpclient.HTTPResponse:
            try:
                return await self._curl.fetch(
                    self._tornado_request(request, send_state, on_chunk),
                    raise_error=False,
                )
            finally:
                chunks.put_nowait(None)

        fetching = asyncio.create_task(fetch())
        try:
            while (chunk := await chunks.get()) is not None:
                if send_state.failure is not None:
                    raise send_state.failure
                buffered -= len(chunk)
                for line in lines.feed(chunk):
                    yield line
            try:
                await fetching
            except httpclient.HTTPError as error:
                raise _transport_error(error, send_state, request) from error
            if send_state.failure is not None:
                raise send_state.failure
            for line in lines.end():
                yield line
        finally:
            send_state.aborted = True
            fetching.cancel()

    def _tornado_request(
        self,
        request: HttpRequest,
        send_state: _SendState,
        on_chunk: collections.abc.Callable[[bytes], None] | None = None,
    ) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            request.url,
            method=request.method,
            body=request.body,
            headers=request.headers,
            connect_timeout=request.connect_timeout_s,
            request_timeout=request.timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
            prepare_curl_callback=send_state.prepare,
            header_callback=send_state.check_header,
            streaming_callback=on_chunk,
        )


def _transport_error(
    error: httpclient.HTTPError, send_state: _SendState, request: HttpRequest
) -> _errors.ServingError:
    """Return the typed error; its type says whether anything was sent."""
    if send_state.failure is not None:
        return send_state.failure
    text = f"{request.method} {request.url}: {error}"
    if send_state.sent:
        return _errors.PeerLostError(
            f"No complete reply was received ({text}). Retry only if the "
            "work may be repeated."
        )
    return _errors.NotSentError(
        f"Nothing was sent ({text}). Try another address.", retry_after_s=1.0
    )
