"""The relay between two entries over real sockets."""

import asyncio
import collections.abc
import contextlib
import types

from tornado import httpserver
from tornado import netutil

from bergamotsail import control
from bergamotsail import daemon
from bergamotsail import routing
from bergamotsail.routing import _relayed
from bergamotsail import wire
from features.support import fatal_world

TOKEN = "t"
PIECES = (b"id: 1\n\n", b"id: 2\n\n", b"id: 3\n\n")
PIECE_PAUSE_S = 0.2
WAIT_S = 2.0


class Target:
    """A target that streams three events without a length or chunks."""

    def __init__(self) -> None:
        self.requests = 0
        self.disconnects = 0
        self.endless = False
        self.address = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one connection."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.disconnects += 1
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        )
        for piece in PIECES:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        if self.endless:
            await reader.readexactly(1)


class World:
    """A neighbour with its relay, and a target, on loopback."""

    def __init__(self) -> None:
        self.target = Target()
        self.stack = contextlib.AsyncExitStack()
        self.reach = routing.Reach()
        self.address = ""

    async def __aenter__(self) -> "World":
        target_server = await asyncio.start_server(
            self.target.serve, "127.0.0.1", 0
        )
        self.stack.callback(target_server.close)
        port = target_server.sockets[0].getsockname()[1]
        self.target.address = f"127.0.0.1:{port}"
        self.http = self.stack.enter_context(wire.CurlClient())
        info = control.TargetInfo("t1", "p", self.target.address, "a")
        gone = control.TargetInfo("t2", "p", "127.0.0.1:1", "a")
        session = types.SimpleNamespace(
            digest=types.SimpleNamespace(
                target_by_id={"t1": info, "t2": gone}
            ),
            notices=control.TargetNotices(),
        )
        self.relay = routing.RelayService(
            session, self.http, self.reach, fatal_world.Dialect()
        )
        self.server = wire.PeerServer()
        self.relay.serve(self.server)
        lag = daemon.LoopLag()
        endpoint = daemon.PeerEndpoint(self.server, TOKEN, lag)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        http_server = httpserver.HTTPServer(endpoint)
        http_server.add_sockets(sockets)
        self.stack.callback(http_server.stop)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()

    def exchange(
        self, target: str = "t1", token: str = TOKEN, left_s: float = 5.0
    ) -> _relayed.RelayedExchange:
        """Return an exchange with a target through the neighbour."""
        transport = wire.HttpPeerTransport(self.http, token)
        request = _relayed.RelayRequest(
            "q", target, "GET", "/x", (("X-A", "1"),), b"", left_s
        )
        return _relayed.RelayedExchange(transport, self.address, request)


async def _until(check: collections.abc.Callable[[], bool]) -> bool:
    loop = asyncio.get_running_loop()
    until = loop.time() + WAIT_S
    while not check() and loop.time() < until:
        await asyncio.sleep(0.01)
    return check()


async def pieces_pass_as_they_come() -> list[str]:
    """The head and each event arrive before the next event is sent."""
    async with World() as world, world.exchange() as exchange:
        loop = asyncio.get_running_loop()
        head = await exchange.head()
        started_at, body, gaps = loop.time(), b"", []
        async for piece in exchange.pieces():
            body += piece
            gaps.append(round(loop.time() - started_at, 1))
        faults = []
        if head.status != 200 or head.framing is not wire.Framing.CLOSE:
            faults.append(f"head {head}")
        if body != b"".join(PIECES) or world.target.requests != 1:
            faults.append(f"body {body}, {world.target.requests} requests")
        if gaps[0] > PIECE_PAUSE_S or gaps[-1] < PIECE_PAUSE_S:
            faults.append(f"pieces came after {gaps} s")
        return faults


async def leaving_ends_the_run() -> list[str]:
    """The target sees its connection close when the caller's entry leaves."""
    async with World() as world:
        world.target.endless = True
        async with world.exchange() as exchange:
            await exchange.head()
        if not await _until(lambda: world.target.disconnects == 1):
            return ["the target still runs it"]
        return [] if world.relay.active == 0 else ["it is still relayed"]


async def neighbour_gives_up_in_time() -> list[str]:
    """The neighbour ends a run when the time that it was given is over."""
    async with World() as world, world.exchange(left_s=0.3) as exchange:
        world.target.endless = True
        try:
            await exchange.head()
            async for _ in exchange.pieces():
                pass
        except wire.PeerLostError:
            pass
        else:
            return ["the answer looks complete"]
        if not await _until(lambda: world.target.disconnects == 1):
            return ["the target still runs it"]
        return []


async def refusals_sent_nothing() -> list[str]:
    """A refusal of the neighbour says that nothing was sent."""
    faults = []
    async with World() as world:
        cases = {
            "unreachable target": world.exchange("t2"),
            "unknown target": world.exchange("t3"),
            "wrong token": world.exchange(token="x"),
            "no such call": world.exchange(),
        }
        for name, exchange in cases.items():
            if name == "no such call":
                world.server.by_name.clear()
            try:
                async with exchange:
                    await exchange.head()
                faults.append(f"{name}: an answer")
            except wire.NotSentError:
                faults += [f"{name}: sent"] * exchange.sent
            except Exception as error:
                faults.append(f"{name}: {error!r}")
        faults += [f"{world.target.requests} ran"] * world.target.requests
    return faults


async def errors_keep_their_types() -> list[str]:
    """A typed error of a peer arrives as the type that was raised."""
    raised = (
        wire.PeerLostError("x"),
        wire.NotSentError("x"),
        wire.InternalError("x"),
        _relayed.NoPathError("x"),
        _relayed.TargetClosedError("x"),
        _relayed.TargetUnreachableError("x"),
    )
    rebuilt = [wire.error_from_body(error.body()) for error in raised]
    return [
        f"{type(error).__name__} became {type(other).__name__}"
        for error, other in zip(raised, rebuilt, strict=True)
        if type(error) is not type(other)
    ]


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        pieces_pass_as_they_come,
        leaving_ends_the_run,
        neighbour_gives_up_in_time,
        refusals_sent_nothing,
        errors_keep_their_types,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in real time; return its faults."""
    return asyncio.run(SCENARIOS[name]())
