"""HTTP client on libcurl's multi interface, driven by the event loop.

Tornado's client notices an abandoned request only at libcurl's next progress
callback, up to a second later on an idle connection, and it reports the status
after the first piece of the body. Here a cancelled exchange closes its
connection at once, the head is available before the body, and a slow reader
exerts backpressure on the sender.
"""

import asyncio
import collections
import collections.abc
import enum
import socket
import typing

import pycurl

from bergamotsail.wire import _errors
from bergamotsail.wire import _http
from bergamotsail.wire import _status

# The table of connections has room for this much of each answer.
MAX_BUFFERED_BYTES = 32 * 1024
# Bound of a reply's head, with all interim replies before it.
MAX_HEAD_BYTES = 256 * 1024
MAX_CACHED_CONNECTIONS = 64
MAX_IDLE_S = 4
TCP_USER_TIMEOUT_MS = 3_000
KEEPALIVE_INTERVAL_S = 1
TIMEOUT_CHECK_INTERVAL_S = 0.2
MS_PER_S = 1000
# Returned by a callback of libcurl to end the transfer.
HEADER_ABORT = -1

Header = tuple[str, str]


class Framing(enum.StrEnum):
    """What marks the end of a reply's body.

    LENGTH, CHUNKED: a header, so a shorter body is known to be incomplete.
    CLOSE: the end of the connection; any body looks complete.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class ReplyHead(typing.NamedTuple):
    """Status and headers of a reply, in the order received."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a header; names are case-insensitive."""
        return next(iter(self.all(name)), None)

    def all(self, name: str) -> tuple[str, ...]:
        """Return all values of a header; names are case-insensitive."""
        return tuple(
            value for key, value in self.headers if key.lower() == name.lower()
        )

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        if self.get("Transfer-Encoding") is not None:
            return Framing.CHUNKED
        if self.get("Content-Length") is not None:
            return Framing.LENGTH
        return Framing.CLOSE


class Exchange:
    """One request and its reply; an async context manager.

    Leaving it before the end closes the connection at once.

    Args:
        request_target: the path and query exactly as they are sent; taken
            from the URL when None.
        request_headers: headers in order; those of the request are used
            when None.
        keep_alive: whether to reuse an open connection and keep it open
            for reuse.
    """

    def __init__(
        self,
        client: "CurlClient",
        request: _http.HttpRequest,
        request_target: str | None = None,
        request_headers: collections.abc.Sequence[Header] | None = None,
        keep_alive: bool = False,
    ) -> None:
        self.sent = False
        self._client = client
        self._request = request
        self._request_target = request_target
        self._request_headers = request_headers
        self._keep_alive = keep_alive
        self._curl: pycurl.Curl | None = None
        self._status = 0
        self._reply_headers: list[Header] = []
        self._head: asyncio.Future[ReplyHead] | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._changed = asyncio.Event()
        self._ended = False
        self._failure: _errors.ServingError | None = None
        self._head_bytes = 0

    async def __aenter__(self) -> "Exchange":
        self._head = asyncio.get_running_loop().create_future()
        self._curl = self._create_handle()
        self._client.start(self, self._curl)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.abort()

    def abort(self) -> None:
        """Close the connection unless the exchange has ended."""
        curl, self._curl = self._curl, None
        if curl is not None:
            self._client.drop(curl)
        if self._head is not None and not self._head.done():
            self._head.cancel()

    async def head(self) -> ReplyHead:
        """Wait for the status and headers.

        Raises:
            NotSentError: nothing was written.
            PeerLostError: the reply was lost after writing.
        """
        assert self._head is not None
        return await asyncio.shield(self._head)

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raise if it is incomplete."""
        while True:
            while self._pieces:
                piece = self._pieces.popleft()
                self._buffered -= len(piece)
                self._resume()
                yield piece
            if self._ended:
                break
            self._changed.clear()
            await self._changed.wait()
        if self._failure is not None:
            raise self._failure

    async def body(self) -> bytes:
        """Return the complete body.

        Raises:
            ReplyTooLargeError: it is longer than MAX_BODY_BYTES.
            PeerLostError: it is incomplete.
        """
        body = _http.BoundedBody(self._request)
        async for piece in self.pieces():
            body.add(piece)
        return body.whole()

    # The libcurl handle and its callbacks.

    def _create_handle(self) -> pycurl.Curl:
        request = self._request
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        if self._request_target is not None:
            curl.setopt(pycurl.REQUEST_TARGET, self._request_target)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP09_ALLOWED, 0)
        self._set_body(curl, request)
        curl.setopt(pycurl.HTTPHEADER, self._header_lines())
        connect_ms = int(request.connect_timeout_s * MS_PER_S)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(connect_ms, 1))
        if request.timeout_s > 0:
            timeout_ms = int(request.timeout_s * MS_PER_S)
            curl.setopt(pycurl.TIMEOUT_MS, max(timeout_ms, 1))
        curl.setopt(pycurl.FRESH_CONNECT, 0 if self._keep_alive else 1)
        curl.setopt(pycurl.FORBID_REUSE, 0 if self._keep_alive else 1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.SOCKOPTFUNCTION, _set_tcp_user_timeout)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_write)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_piece)
        return curl

    def _set_body(self, curl: pycurl.Curl, request: _http.HttpRequest) -> None:
        has_body = bool(request.body) or request.method in ("POST", "PUT")
        if has_body:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, request.body or b"")
        elif request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)

    def _header_lines(self) -> list[bytes]:
        headers = self._request_headers
        if headers is None:
            headers = tuple(self._request.headers.items())
        given = {name.lower() for name, _ in headers}
        # "Name:" stops libcurl from adding its own header, and "Name;" sends
        # a header without a value.
        added = ("Accept", "Expect", "User-Agent", "Content-Type")
        lines = [f"{name}:" for name in added if name.lower() not in given]
        for name, value in headers:
            lines.append(f"{name}: {value}" if value else f"{name};")
        return [line.encode("latin-1", "replace") for line in lines]

    def _before_write(self, *_: object) -> int:
        # libcurl repeats a request when a reused connection is dead.
        if self._request.once and self.sent:
            return pycurl.PREREQFUNC_ABORT
        gate = self._request.gate
        if gate is not None and not gate():
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> int | None:
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._failure = _http.too_large(
                self._request, "head", MAX_HEAD_BYTES
            )
            return HEADER_ABORT
        text = line.decode("latin-1").strip()
        if line.startswith(_status.STATUS_LINE_START):
            try:
                self._status = _status.parse_status_line(line)
            except _errors.InvalidReplyError as error:
                self._failure = error
                return HEADER_ABORT
            self._reply_headers = []
        elif text:
            name, _, value = text.partition(":")
            self._reply_headers.append((name.strip(), value.strip()))
        elif self._status >= 200:
            self._set_head()
        return None

    def _set_head(self) -> None:
        if self._head is not None and not self._head.done():
            head = ReplyHead(self._status, tuple(self._reply_headers))
            self._head.set_result(head)

    def _on_piece(self, piece: bytes) -> int | None:
        if self._buffered > MAX_BUFFERED_BYTES:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._pieces.append(bytes(piece))
        self._buffered += len(piece)
        self._changed.set()
        return None

    def _resume(self) -> None:
        if self._paused and self._buffered < MAX_BUFFERED_BYTES // 2:
            self._paused = False
            if self._curl is not None:
                self._client.resume(self._curl)

    def finish(self, error: tuple[int, str] | None) -> None:
        """Record the end of the transfer; *error* is libcurl's, if any."""
        self._curl = None
        self._ended = True
        if self._failure is not None:
            pass
        elif error is not None:
            self._failure = self._transport_error(error)
        elif self._head is not None and not self._head.done():
            self._failure = self._transport_error((0, "incomplete reply head"))
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._failure)
            # Marks the exception as retrieved, as nobody may await the head.
            self._head.exception()
        self._changed.set()

    def _transport_error(self, error: tuple[int, str]) -> _errors.ServingError:
        request = self._request
        text = f"{request.method} {request.url}: {error[0]} {error[1]}"
        if self.sent:
            timed_out = error[0] == pycurl.E_OPERATION_TIMEDOUT
            error_type = (
                _errors.PeerTimeoutError
                if timed_out
                else _errors.PeerLostError
            )
            return error_type(
                f"No complete reply was received ({text}). Retry only if the "
                "work may be repeated."
            )
        return _errors.NotSentError(
            f"Nothing was sent ({text}). Try another address.",
            retry_after_s=1.0,
        )


def _set_tcp_user_timeout(fd: int, _: int) -> int:
    """Have the kernel close a connection whose peer stops responding."""
    user_timeout = socket.TCP_USER_TIMEOUT
    with socket.socket(fileno=fd) as sock:
        try:
            sock.setsockopt(
                socket.IPPROTO_TCP, user_timeout, TCP_USER_TIMEOUT_MS
            )
        finally:
            sock.detach()
    return pycurl.SOCKOPT_OK


class CurlClient(_http.HttpClient):
    """HTTP client with a connection cache; a context manager."""

    def __init__(self) -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        self._exchange_by_curl: dict[pycurl.Curl, Exchange] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timeout_check: asyncio.TimerHandle | None = None
        self._fds: dict[int, int] = {}

    def close(self) -> None:
        """Close all connections."""
        for curl in list(self._exchange_by_curl):
            self._exchange_by_curl[curl].abort()
        for timer in (self._timer, self._timeout_check):
            if timer is not None:
                timer.cancel()
        self._multi.close()

    def open(
        self,
        request: _http.HttpRequest,
        request_target: str | None = None,
        request_headers: collections.abc.Sequence[Header] | None = None,
        keep_alive: bool = False,
    ) -> Exchange:
        """Return an exchange; entering it sends the request."""
        return Exchange(
            self, request, request_target, request_headers, keep_alive
        )

    async def fetch(self, request: _http.HttpRequest) -> _http.HttpReply:
        """Send a request and return the complete reply, of any status."""
        async with self.open(request, keep_alive=not request.once) as exchange:
            head = await exchange.head()
            body = await exchange.body()
        return _http.HttpReply(head.status, dict(head.headers), body)

    async def stream(
        self, request: _http.HttpRequest
    ) -> collections.abc.AsyncIterator[bytes]:
        """Send a request and yield the lines of the reply's body.

        Raises:
            ReplyTooLargeError: a line is longer than MAX_LINE_BYTES.
            ServingError: the reply is incomplete.
        """
        lines = _http.LineSplitter(request)
        async with self.open(request, keep_alive=not request.once) as exchange:
            await exchange.head()
            async for piece in exchange.pieces():
                for line in lines.feed(piece):
                    yield line
        for line in lines.end():
            yield line

    # Called by exchanges.

    def start(self, exchange: Exchange, curl: pycurl.Curl) -> None:
        """Start a transfer."""
        self._exchange_by_curl[curl] = exchange
        self._multi.add_handle(curl)
        self._schedule_timeout_check()

    def drop(self, curl: pycurl.Curl) -> None:
        """Abort a transfer and close its connection."""
        if self._exchange_by_curl.pop(curl, None) is not None:
            self._multi.remove_handle(curl)
            curl.close()

    def resume(self, curl: pycurl.Curl) -> None:
        """Resume a transfer that was paused for a slow reader."""
        curl.pause(pycurl.PAUSE_CONT)
        self._on_timer(0)

    # Callbacks of libcurl and of the event loop.

    def _on_socket(self, what: int, fd: int, *_: object) -> None:
        loop = asyncio.get_running_loop()
        previous = self._fds.get(fd, 0)
        if what == pycurl.POLL_REMOVE:
            events = 0
            self._fds.pop(fd, None)
        else:
            events = what
            self._fds[fd] = events
        if events & pycurl.POLL_IN:
            loop.add_reader(fd, self._socket_action, fd, pycurl.CSELECT_IN)
        elif previous & pycurl.POLL_IN:
            loop.remove_reader(fd)
        if events & pycurl.POLL_OUT:
            loop.add_writer(fd, self._socket_action, fd, pycurl.CSELECT_OUT)
        elif previous & pycurl.POLL_OUT:
            loop.remove_writer(fd)

    def _on_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = asyncio.get_running_loop().call_later(
                timeout_ms / MS_PER_S,
                self._socket_action,
                pycurl.SOCKET_TIMEOUT,
                0,
            )

    def _schedule_timeout_check(self) -> None:
        """Have libcurl check its timeouts periodically.

        libcurl doesn't request another timer if one fired slightly too early
        by its own clock, and the transfer would then hang.
        """
        if self._timeout_check is None and self._exchange_by_curl:
            loop = asyncio.get_running_loop()
            self._timeout_check = loop.call_later(
                TIMEOUT_CHECK_INTERVAL_S, self._on_timeout_check
            )

    def _on_timeout_check(self) -> None:
        self._timeout_check = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._collect_finished()
        self._schedule_timeout_check()

    def _socket_action(self, fd: int, events: int) -> None:
        if fd == pycurl.SOCKET_TIMEOUT:
            self._timer = None
        self._multi.socket_action(fd, events)
        self._collect_finished()

    def _collect_finished(self) -> None:
        while True:
            left, done, failed = self._multi.info_read()
            for curl in done:
                self._finish_transfer(curl, None)
            for curl, code, text in failed:
                self._finish_transfer(curl, (code, text))
            if left == 0:
                return

    def _finish_transfer(
        self, curl: pycurl.Curl, error: tuple[int, str] | None
    ) -> None:
        exchange = self._exchange_by_curl.pop(curl, None)
        self._multi.remove_handle(curl)
        curl.close()
        if exchange is not None:
            exchange.finish(error)
