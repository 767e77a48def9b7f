"""Tests of answers whose bytes don't end, over sockets on loopback."""

import asyncio
import collections.abc
import contextlib
import time

from bergamotsail.routing import _events
from bergamotsail import wire

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
JUNK = b"x" * 16_384
# Largest number of bytes that a client may take of one answer, with those in
# the buffers of both sockets.
MAX_TAKEN_BYTES = 24 * 1024 * 1024
# Largest delay of the client's event loop meanwhile.
MAX_LAG_S = 0.25
ENDS_WITHIN_S = 3.0
TIMEOUT_S = 2.0


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# What an answer begins with, and what then repeats.
ENDLESS = {
    "a head of one line": (HEAD + b"X-A: ", JUNK),
    "a head of many lines": (HEAD, b"X-A: " + b"y" * 1_000 + b"\r\n"),
    "interim answers": (
        b"",
        b"HTTP/1.1 100 Continue\r\nX-A: " + b"y" * 1_000 + b"\r\n\r\n",
    ),
    "bytes that are no head": (b"", JUNK),
    "a status that is no number": (b"HTTP/1.1 abc\r\n", b"X-A: b\r\n"),
    "a body without length": (HEAD + b"\r\n", JUNK),
    "a body in chunks": (HEAD + CHUNKED, _chunk(JUNK)),
    "a body of one line in chunks": (HEAD + CHUNKED, _chunk(b"{" * 16_384)),
}


class EndlessServer:
    """Answers each request without end; an async context manager."""

    def __init__(self, begin: bytes, repeat: bytes) -> None:
        self._begin = begin
        self._repeat = repeat
        self.sent_bytes = 0
        self.address = ""

    async def __aenter__(self) -> "EndlessServer":
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _answer(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._begin)
            while True:
                writer.write(self._repeat)
                await writer.drain()
                self.sent_bytes += len(self._repeat)
                await asyncio.sleep(0)
        writer.close()


async def _measure_lag(lags: list[float]) -> None:
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.01)
        lags.append(time.monotonic() - before - 0.01)


async def _fetch(http: wire.HttpClient, request: wire.HttpRequest) -> None:
    await http.fetch(request)


async def _stream(http: wire.HttpClient, request: wire.HttpRequest) -> None:
    async for _ in http.stream(request):
        pass


async def _send_order(
    http: wire.CurlClient, request: wire.HttpRequest
) -> None:
    async with http.open(request, keep_alive=True) as exchange:
        await exchange.head()
        await exchange.body()


# Paths, each with the client that uses it: daemons on the users' platform have
# libcurl's, the product's own daemons tornado's.
CALLS = {
    "fetch": (wire.CurlClient, _fetch),
    "stream": (wire.CurlClient, _stream),
    "order": (wire.CurlClient, _send_order),
    "fetch of tornado": (wire.HttpClient, _fetch),
    "stream of tornado": (wire.HttpClient, _stream),
}


async def _call(
    name: str,
    client: type[wire.HttpClient],
    call: collections.abc.Callable[
        [wire.HttpClient, wire.HttpRequest],
        collections.abc.Coroutine,
    ],
    begin: bytes,
    repeat: bytes,
) -> list[str]:
    """Call an endless server; return faults."""
    faults, lags = [], []
    async with EndlessServer(begin, repeat) as server:
        with client() as http:
            request = wire.HttpRequest(
                f"http://{server.address}/", timeout_s=TIMEOUT_S
            )
            lagging = asyncio.create_task(_measure_lag(lags))
            began_at = time.monotonic()
            try:
                async with asyncio.timeout(ENDS_WITHIN_S):
                    await call(http, request)
                faults.append("taken as whole")
            except wire.PeerLostError:
                pass
            except TimeoutError:
                faults.append("not ended")
            took_s = time.monotonic() - began_at
            lagging.cancel()
    if server.sent_bytes > MAX_TAKEN_BYTES:
        faults.append(f"{server.sent_bytes >> 20} MB taken in {took_s:.1f} s")
    if max(lags, default=0.0) > MAX_LAG_S:
        faults.append(f"the event loop was {max(lags):.2f} s late")
    return [f"{name}: {fault}" for fault in faults]


def answers_without_end() -> list[str]:
    """Return what goes wrong with each kind of answer on each path."""

    async def run() -> list[str]:
        faults = []
        for kind, (begin, repeat) in ENDLESS.items():
            for path, (client, call) in CALLS.items():
                name = f"{kind}, {path}"
                faults += await _call(name, client, call, begin, repeat)
        return faults

    return asyncio.run(run())


def event_without_end() -> list[str]:
    """Return a fault if an event without an end is kept for ever."""
    splitter = _events.EventSplitter()
    began_at = time.process_time()
    try:
        for _ in range(2_000):
            splitter.feed(JUNK)
    except wire.PeerLostError:
        took_s = time.process_time() - began_at
        return [f"it took {took_s:.1f} s"] * (took_s > 1.0)
    return [f"{len(splitter.rest)} bytes are kept"]
