"""Tests of replies with a status that HTTP doesn't have."""

import asyncio
import collections.abc
import unittest.mock

from bergamotsail.routing import _relayed
from bergamotsail import wire
from features.support import endless

BODY = b"{}\n"
VALID = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 204 ",
    b"HTTP/1.1 299",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 404 Not Found",
    b"HTTP/1.1 599 X",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 X",
)
INVALID = (
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 0 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 150 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 700 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 1000 X",
    b"HTTP/1.1 2000 X",
    b"HTTP/1.1 0200 X",
    b"HTTP/1.1 -200 X",
    b"HTTP/1.1 +200 X",
    b"HTTP/1.1 200X",
    b"HTTP/1.1 \xb2\xb2\xb2 X",
    b"HTTP/1.1",
    b"HTTP/1.2 200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/1.0 000 X",
    b"HTTP/1.0 600 X",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 X",
    b"HTTP/1.1 200 OK\r\nHTTP/1.1 600: X",
)
TIMEOUT_S = 2.0
# Tornado's client ends a transfer up to a second after it was abandoned.
ENDS_WITHIN_S = 1.5


async def _stream(http: wire.HttpClient, request: wire.HttpRequest) -> None:
    async for _ in http.stream(request):
        pass


async def _on_kept_connection(
    http: wire.CurlClient, request: wire.HttpRequest
) -> None:
    """Get a valid reply, then another one on the same connection."""
    await http.fetch(request)
    async with http.open(request, keep_alive=True) as exchange:
        await exchange.head()
        await exchange.body()


# Paths, each with the client that uses it and the number of valid replies that
# come before.
CALLS = {
    "fetch": (wire.CurlClient, endless._fetch, 0),
    "exchange": (wire.CurlClient, endless._send_order, 0),
    "kept connection": (wire.CurlClient, _on_kept_connection, 1),
    "stream": (wire.CurlClient, _stream, 0),
    "fetch of tornado": (wire.HttpClient, endless._fetch, 0),
    "stream of tornado": (wire.HttpClient, _stream, 0),
}


class StatusServer:
    """Replies with some status lines; an async context manager."""

    def __init__(self, line: bytes, valid_before: int) -> None:
        self._line = line
        self._valid_left = valid_before
        self.address = ""

    async def __aenter__(self) -> "StatusServer":
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _answer(self, reader, writer) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                line, self._valid_left = (
                    (VALID[0], self._valid_left - 1)
                    if self._valid_left
                    else (self._line, 0)
                )
                body = b"" if b" 204" in line else BODY
                length = b"Content-Length: %d" % len(body)
                writer.write(b"\r\n".join((line, length, b"", body)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


async def _outcome(
    call: collections.abc.Callable, client: type, line: bytes, before: int
) -> str:
    async with StatusServer(line, before) as server:
        with client() as http:
            request = wire.HttpRequest(
                f"http://{server.address}/", timeout_s=TIMEOUT_S
            )
            try:
                async with asyncio.timeout(ENDS_WITHIN_S):
                    await call(http, request)
            except wire.PeerTimeoutError:
                return "timed out"
            except wire.PeerLostError:
                return "lost"
            except TimeoutError:
                return "not ended"
    return "taken"


def replies_without_status() -> list[str]:
    """Return what goes wrong with each status line on each path."""

    async def run() -> list[str]:
        faults = []
        for path, (client, call, before) in CALLS.items():
            for line in (*VALID, *INVALID):
                wanted = "taken" if line in VALID else "lost"
                outcome = await _outcome(call, client, line, before)
                if outcome != wanted:
                    faults.append(f"{path}, {line!r}: {outcome}")
        return faults

    return asyncio.run(run())


class _Neighbour(wire.PeerTransport):
    """Passes on a reply with a status."""

    def __init__(self, status: int | None) -> None:
        self._status = status

    async def call(self, *_: object) -> object:
        raise NotImplementedError

    async def stream(
        self, *_: object
    ) -> collections.abc.AsyncIterator[_relayed.ReplyPart]:
        yield _relayed.ReplyPart(self._status, ())


def neighbour_passes_on_no_status() -> list[str]:
    """Return a fault if a neighbour's reply without a status is taken."""

    async def run() -> list[str]:
        faults = []
        for status in (None, 0, 99, 101, 600, 999, 2000, 200, 599):
            exchange = _relayed.RelayedExchange(
                _Neighbour(status),
                "10.0.0.1:1",
                unittest.mock.Mock(left_s=TIMEOUT_S),
            )
            wanted = "taken" if status in (200, 599) else "lost"
            outcome = "taken"
            async with exchange:
                try:
                    await exchange.head()
                except wire.PeerLostError:
                    outcome = "lost"
            if outcome != wanted:
                faults.append(f"{status}: {outcome}")
        return faults

    return asyncio.run(run())
