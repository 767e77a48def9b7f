"""Outgoing HTTP by libcurl, driven by the running event loop.

Tornado's client learns of a given-up request only at libcurl's next
progress call, up to a second later on a silent connection, and tells the
status after the first piece of the body. Here a cancelled exchange closes
its connection at once, the head comes before the body, and a reader that
is slow stops the writer.
"""

import asyncio
import collections
import collections.abc
import socket
import typing

import pycurl

from bergamotsail.wire import _errors
from bergamotsail.wire import _http

MAX_BUFFERED_BYTES = 256 * 1024
KEPT_CONNECTIONS = 64
KEPT_IDLE_S = 4
SILENT_MS = 3_000
KEEPALIVE_S = 1
GUARD_S = 0.2
MILLI = 1000

Header = tuple[str, str]


class ReplyHead(typing.NamedTuple):
    """Status and headers of a reply, in the order they came."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: str) -> str | None:
        """Return the value of a header, whatever its case."""
        return next(iter(self.all(name)), None)

    def all(self, name: str) -> tuple[str, ...]:
        """Return each value of a header, whatever its case."""
        return tuple(
            value for key, value in self.headers if key.lower() == name.lower()
        )


class Exchange:
    """One request and its reply; an async context manager.

    Leaving it before the end closes the connection at once.

    Args:
        target: the path and query exactly as they go on the wire; taken
            from the URL when None.
        pairs: headers in order; those of the request are used when None.
        keep: whether the connection may have been used before, and may be
            used again.
    """

    def __init__(
        self,
        client: "CurlClient",
        request: _http.HttpRequest,
        target: str | None = None,
        pairs: collections.abc.Sequence[Header] | None = None,
        keep: bool = False,
    ) -> None:
        self.sent = False
        self._client = client
        self._request = request
        self._target = target
        self._pairs = pairs
        self._keep = keep
        self._curl: pycurl.Curl | None = None
        self._status = 0
        self._headers: list[Header] = []
        self._head: asyncio.Future[ReplyHead] | None = None
        self._pieces: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._wake = asyncio.Event()
        self._over = False
        self._failure: _errors.ServingError | None = None

    async def __aenter__(self) -> "Exchange":
        self._head = asyncio.get_running_loop().create_future()
        self._curl = self._handle()
        self._client.start(self, self._curl)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.abandon()

    def abandon(self) -> None:
        """Close the connection unless the exchange is over."""
        curl, self._curl = self._curl, None
        if curl is not None:
            self._client.drop(curl)
        if self._head is not None and not self._head.done():
            self._head.cancel()

    async def head(self) -> ReplyHead:
        """Wait for status and headers.

        Raises:
            NotSentError: nothing was written.
            PeerLostError: the reply was lost after writing.
        """
        assert self._head is not None
        return await asyncio.shield(self._head)

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it comes; raise unless it was whole."""
        while True:
            while self._pieces:
                piece = self._pieces.popleft()
                self._buffered -= len(piece)
                self._resume()
                yield piece
            if self._over:
                break
            self._wake.clear()
            await self._wake.wait()
        if self._failure is not None:
            raise self._failure

    async def body(self) -> bytes:
        """Return the whole body."""
        return b"".join([piece async for piece in self.pieces()])

    # Callbacks of libcurl.

    def _handle(self) -> pycurl.Curl:
        request = self._request
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        if self._target is not None:
            curl.setopt(pycurl.REQUEST_TARGET, self._target)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP09_ALLOWED, 0)
        self._set_body(curl, request)
        curl.setopt(pycurl.HTTPHEADER, self._header_lines())
        connect_ms = int(request.connect_timeout_s * MILLI)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(connect_ms, 1))
        if request.timeout_s > 0:
            timeout_ms = int(request.timeout_s * MILLI)
            curl.setopt(pycurl.TIMEOUT_MS, max(timeout_ms, 1))
        curl.setopt(pycurl.FRESH_CONNECT, 0 if self._keep else 1)
        curl.setopt(pycurl.FORBID_REUSE, 0 if self._keep else 1)
        curl.setopt(pycurl.MAXAGE_CONN, KEPT_IDLE_S)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_S)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.SOCKOPTFUNCTION, _bound_silence)
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
        pairs = self._pairs
        if pairs is None:
            pairs = tuple(self._request.headers.items())
        given = {name.lower() for name, _ in pairs}
        # What libcurl would add by itself is left out.
        added = ("Accept", "Expect", "User-Agent", "Content-Type")
        lines = [f"{name}:" for name in added if name.lower() not in given]
        for name, value in pairs:
            lines.append(f"{name}: {value}" if value else f"{name};")
        return [line.encode("latin-1", "replace") for line in lines]

    def _before_write(self, *_: object) -> int:
        # libcurl repeats a request when a kept connection proves dead.
        if self._request.once and self.sent:
            return pycurl.PREREQFUNC_ABORT
        gate = self._request.gate
        if gate is not None and not gate():
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            parts = text.split(None, 2)
            self._status = int(parts[1]) if len(parts) > 1 else 0
            self._headers = []
        elif text:
            name, _, value = text.partition(":")
            self._headers.append((name.strip(), value.strip()))
        elif self._status >= 200:
            self._set_head()

    def _set_head(self) -> None:
        if self._head is not None and not self._head.done():
            head = ReplyHead(self._status, tuple(self._headers))
            self._head.set_result(head)

    def _on_piece(self, piece: bytes) -> int | None:
        if self._buffered > MAX_BUFFERED_BYTES:
            self._paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._pieces.append(bytes(piece))
        self._buffered += len(piece)
        self._wake.set()
        return None

    def _resume(self) -> None:
        if self._paused and self._buffered < MAX_BUFFERED_BYTES // 2:
            self._paused = False
            if self._curl is not None:
                self._client.resume(self._curl)

    def finish(self, error: tuple[int, str] | None) -> None:
        """Take the end of the transfer from the client."""
        self._curl = None
        self._over = True
        if error is not None:
            self._failure = self._lost(error)
        elif self._head is not None and not self._head.done():
            self._failure = self._lost((0, "no whole head"))
        if self._head is not None and not self._head.done():
            self._head.set_exception(self._failure)
            # It may be that nobody waits for the head any more.
            self._head.exception()
        self._wake.set()

    def _lost(self, error: tuple[int, str]) -> _errors.ServingError:
        request = self._request
        text = f"{request.method} {request.url}: {error[0]} {error[1]}"
        if self.sent:
            silent = error[0] == pycurl.E_OPERATION_TIMEDOUT
            kind = (
                _errors.PeerTimeoutError if silent else _errors.PeerLostError
            )
            return kind(
                f"The reply was lost ({text}). Ask again if the work may "
                "be repeated."
            )
        return _errors.NotSentError(
            f"Nothing was sent ({text}). Try another address.",
            retry_after_s=1.0,
        )


def _bound_silence(fd: int, _: int) -> int:
    """Let the kernel end a connection whose peer went silent."""
    user_timeout = socket.TCP_USER_TIMEOUT
    with socket.socket(fileno=fd) as sock:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, user_timeout, SILENT_MS)
        finally:
            sock.detach()
    return pycurl.SOCKOPT_OK


class CurlClient(_http.HttpClient):
    """All outgoing connections of a process; a context manager."""

    def __init__(self) -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, KEPT_CONNECTIONS)
        self._exchange_by_curl: dict[pycurl.Curl, Exchange] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._guard: asyncio.TimerHandle | None = None
        self._fds: dict[int, int] = {}

    def close(self) -> None:
        """Close all connections."""
        for curl in list(self._exchange_by_curl):
            self._exchange_by_curl[curl].abandon()
        for timer in (self._timer, self._guard):
            if timer is not None:
                timer.cancel()
        self._multi.close()

    def open(
        self,
        request: _http.HttpRequest,
        target: str | None = None,
        pairs: collections.abc.Sequence[Header] | None = None,
        keep: bool = False,
    ) -> Exchange:
        """Return an exchange, sent when it is entered."""
        return Exchange(self, request, target, pairs, keep)

    async def fetch(self, request: _http.HttpRequest) -> _http.HttpReply:
        """Send a request and return the whole reply, of any status."""
        async with self.open(request, keep=not request.once) as exchange:
            head = await exchange.head()
            body = await exchange.body()
        return _http.HttpReply(head.status, dict(head.headers), body)

    async def stream(
        self, request: _http.HttpRequest
    ) -> collections.abc.AsyncIterator[bytes]:
        """Send a request and yield the lines of the reply's body."""
        rest = b""
        async with self.open(request, keep=not request.once) as exchange:
            await exchange.head()
            async for piece in exchange.pieces():
                *lines, rest = (rest + piece).split(b"\n")
                for line in lines:
                    if line.strip():
                        yield line.strip()
        if rest.strip():
            yield rest.strip()

    # What exchanges use.

    def start(self, exchange: Exchange, curl: pycurl.Curl) -> None:
        """Begin a transfer."""
        self._exchange_by_curl[curl] = exchange
        self._multi.add_handle(curl)
        self._keep_guard()

    def drop(self, curl: pycurl.Curl) -> None:
        """End a transfer and close its connection."""
        if self._exchange_by_curl.pop(curl, None) is not None:
            self._multi.remove_handle(curl)
            curl.close()

    def resume(self, curl: pycurl.Curl) -> None:
        """Go on with a transfer whose reader was slow."""
        curl.pause(pycurl.PAUSE_CONT)
        self._on_timer(0)

    # Callbacks of libcurl and the loop.

    def _on_socket(self, what: int, fd: int, *_: object) -> None:
        loop = asyncio.get_running_loop()
        had = self._fds.get(fd, 0)
        if what == pycurl.POLL_REMOVE:
            want = 0
            self._fds.pop(fd, None)
        else:
            want = what
            self._fds[fd] = want
        if want & pycurl.POLL_IN:
            loop.add_reader(fd, self._act, fd, pycurl.CSELECT_IN)
        elif had & pycurl.POLL_IN:
            loop.remove_reader(fd)
        if want & pycurl.POLL_OUT:
            loop.add_writer(fd, self._act, fd, pycurl.CSELECT_OUT)
        elif had & pycurl.POLL_OUT:
            loop.remove_writer(fd)

    def _on_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = asyncio.get_running_loop().call_later(
                timeout_ms / MILLI, self._act, pycurl.SOCKET_TIMEOUT, 0
            )

    def _keep_guard(self) -> None:
        """Let libcurl look at its timeouts now and then, in any case.

        It does not ask again for a timer that fired a moment too early by
        its own clock, and a transfer would then wait for ever.
        """
        if self._guard is None and self._exchange_by_curl:
            loop = asyncio.get_running_loop()
            self._guard = loop.call_later(GUARD_S, self._on_guard)

    def _on_guard(self) -> None:
        self._guard = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._collect()
        self._keep_guard()

    def _act(self, fd: int, events: int) -> None:
        if fd == pycurl.SOCKET_TIMEOUT:
            self._timer = None
        self._multi.socket_action(fd, events)
        self._collect()

    def _collect(self) -> None:
        while True:
            left, done, failed = self._multi.info_read()
            for curl in done:
                self._end(curl, None)
            for curl, code, text in failed:
                self._end(curl, (code, text))
            if left == 0:
                return

    def _end(self, curl: pycurl.Curl, error: tuple[int, str] | None) -> None:
        exchange = self._exchange_by_curl.pop(curl, None)
        self._multi.remove_handle(curl)
        curl.close()
        if exchange is not None:
            exchange.finish(error)
