"""Entries with targets that crash on some requests, in virtual time.

Replicas, sessions and forwarders are real; targets are fakes that record the
requests that reach them.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import growth

LEASE = control.LeaseTiming(2.0, 0.3, call_s=0.6, listed_s=1.3)
POOL = "app"
HOST = "shop.example"
SETTLE_S = 4.0
RUN_S = 0.2
CRASH_S = 0.1
DOWN_S = 1.0
# Requirement: later than REACTION_S after the third crash that a request
# caused, it reaches targets at most MAX_LATE_ARRIVALS times.
REACTION_S = 3.0
MAX_LATE_ARRIVALS = 3
QUARANTINE_CRASHES = 3


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a target."""

    at: float
    body: bytes
    target: str


class Target:
    """A target that crashes on fatal bodies; each start has another id."""

    def __init__(self, number: int, world: "World") -> None:
        self.number = number
        self.start = 1
        self.address = f"10.9.0.{number}:1"
        self.datacentre = "abc"[number % 3]
        self.up = True
        self.keeps_name = False
        self._world = world
        self._disconnected = asyncio.Event()

    @property
    def id(self) -> str:
        """The name with the incarnation."""
        if self.keeps_name:
            return f"t{self.number}#{self.start}"
        return f"t{self.number}-{self.start}"

    def listed(self) -> targets.Instance:
        """Return the entry of the target in the instance list."""
        return targets.Instance(self.id, POOL, self.address, self.datacentre)

    def crash(self) -> None:
        """Crash, failing all running requests; restart after DOWN_S."""
        if not self.up:
            return
        self.up = False
        self._disconnected.set()
        asyncio.get_running_loop().call_later(DOWN_S, self._restart)

    def disconnect(self) -> None:
        """Drop all connections without a crash."""
        self._disconnected.set()
        self._disconnected = asyncio.Event()

    def _restart(self) -> None:
        self.start += 1
        self.up = True
        self._disconnected = asyncio.Event()

    async def run(self, body: bytes) -> bool:
        """Run a request; return whether it ended before the connection did."""
        loop = asyncio.get_running_loop()
        disconnected, start = self._disconnected, self.start
        self._world.arrivals.append(Arrival(loop.time(), body, self.id))
        fatal = body in self._world.fatal
        took_s = CRASH_S if fatal else RUN_S
        if (
            await wire.wait_event(disconnected, took_s)
            or disconnected.is_set()
        ):
            return False
        if fatal and start == self.start:
            self._world.crashes.append(Arrival(loop.time(), body, self.id))
            self.crash()
            return False
        return True


class Exchange:
    """A fake of the HTTP client's exchange with a target."""

    gate: collections.abc.Callable[[], bool] | None = None

    def __init__(self, target: Target, expected: str, body: bytes) -> None:
        self._target = target
        self._expected = expected
        self._body = body
        self.sent = False

    async def __aenter__(self) -> "Exchange":
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    def connect(self) -> None:
        """Open the connection and ask the gate of the request, if any.

        Raises:
            NotSentError: the target is down, or the gate is closed.
        """
        if not self._target.up:
            raise wire.NotSentError("The target is down.")
        if self.gate is not None and not self.gate():
            raise wire.NotSentError("The gate is closed.")
        self.sent = True

    async def head(self) -> wire.ReplyHead:
        self.connect()
        if self._target.id != self._expected:
            return wire.ReplyHead(421, ())
        if not await self._target.run(self._body):
            raise wire.PeerLostError(
                "The target closed the connection without a reply."
            )
        return wire.ReplyHead(200, ())

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        yield b"done"


class Http:
    """A fake HTTP client of one entry."""

    def __init__(self, world: "World", entry: int) -> None:
        self._world = world
        self._entry = entry

    def open(
        self, request: wire.HttpRequest, target: str, headers: routing.Headers
    ) -> Exchange:
        address = request.url.removeprefix("http://").strip("/")
        found = next(t for t in self._world.targets if t.address == address)
        expected = dict(headers)["expect"]
        exchange = self.exchange(found, expected, request.body)
        exchange.gate = request.gate
        return exchange

    def exchange(self, target: Target, expected: str, body: bytes) -> Exchange:
        """Return an exchange with a target."""
        return Exchange(target, expected, body)


class Dialect(routing.Dialect):
    """Sends the expected incarnation, and reads only the status."""

    def outgoing(self, request, destination) -> routing.Headers:
        return (("expect", destination.target),)

    def read(self, request, head) -> routing.ParsedHead:
        absent = head.status == 421
        return routing.ParsedHead(True, absent, absent, True)

    def returning(self, head) -> routing.Headers:
        return ()


class _Answer(routing.AnswerWriter):
    """Accepts a response and discards its body."""

    def __init__(self) -> None:
        self._started = False
        self.finished = False

    @property
    def started(self) -> bool:
        return self._started

    def start(self, status: int, headers: routing.Headers) -> None:
        self._started = True

    async def write(self, piece: bytes) -> None:
        return None

    async def finish(self) -> None:
        self.finished = True

    def abort(self) -> None:
        return None


class _Entry(control.PassiveParticipant):
    """An entry with a session and a forwarder."""

    def __init__(self, world: "World", number: int, start: int = 1) -> None:
        self.number = number
        self.start = start
        address = f"10.1.0.{number}:7000"
        transport = standins.MemoryTransport(world.network, address)
        server = wire.PeerServer()
        world.network.join(address, server)
        datacentre = "abc"[number % 3]
        info = control.DaemonInfo(
            address,
            f"{address}#{start}",
            address,
            datacentre,
            peer_address=address,
        )
        leader = control.LeaderClient(transport, world.addresses[:3])
        self.session = control.Session(info, leader, transport, LEASE)
        self.session.attach(self)
        self.placements = world.make_placements(self.session, transport)
        http, reach = world.make_http(number), routing.Reach()
        self.relay = routing.RelayService(
            self.session, http, reach, world.dialect
        )
        self.relay.serve(server)
        client = routing.TargetClient(
            self.session, http, transport, reach, random.Random(number)
        )
        self.forwarder = routing.Forwarder(
            self.session,
            self.placements,
            routing.ServiceBalancer(datacentre, random.Random(number)),
            routing.ResendBudgets(10.0, 1e6, lambda: 3),
            client,
            world.dialect,
            observe.Metrics(),
            datacentre,
        )

    async def __aenter__(self) -> "_Entry":
        await self.session.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.__aexit__()


class _CurrentList(targets.InstanceList):
    """An instance list that never lags."""

    def __init__(self, world: "World") -> None:
        self._world = world

    async def read(self) -> tuple[targets.Instance, ...]:
        return tuple(t.listed() for t in self._world.targets if t.up)


class World(growth.DeployedReplicas):
    """Replicas, entries and targets; an async context manager."""

    def __init__(
        self,
        entries: int = 6,
        count: int = 9,
        seed: int = 1,
        attempts: int = 1,
    ) -> None:
        super().__init__(3, seed, losses=1)
        self.fatal: set[bytes] = set()
        self.arrivals: list[Arrival] = []
        self.crashes: list[Arrival] = []
        self.targets = [Target(number, self) for number in range(count)]
        self.instances = _CurrentList(self)
        self.entries: list[_Entry] = []
        self.dialect: routing.Dialect = Dialect()
        self.engine_spec: catalogue.EngineSpec | None = None
        self._entry_count = entries
        self._attempts = attempts
        self._number = 0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "World":
        await self.start_all()
        route = catalogue.Route(
            "r",
            HOST,
            "/",
            catalogue.RouteKind.IDEMPOTENT,
            (catalogue.Split(POOL),),
            20.0,
            1.0,
            self._attempts,
            1,
        )
        pool = catalogue.RoutePool(POOL, "/health", 64, self.engine_spec)
        table = catalogue.RouteTable(1, (route,), (pool,))
        await growth._replace_table(self, table)
        for number in range(self._entry_count):
            await self._enter(self.make_entry(number))
        await asyncio.sleep(SETTLE_S)
        return self

    def make_http(self, entry: int) -> Http:
        """Return the HTTP client of an entry."""
        return Http(self, entry)

    def make_entry(self, number: int, start: int = 1) -> _Entry:
        """Return an entry; each start is another daemon."""
        return _Entry(self, number, start)

    def make_placements(
        self, session: control.Session, transport: wire.PeerTransport
    ) -> routing.PlacementClient:
        """Return an entry's placement client; plain services need none."""
        return unittest.mock.Mock()

    async def _enter(self, entry: _Entry) -> None:
        self.entries.append(entry)
        await self._stack.enter_async_context(entry)

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()
        await self.stop_all()

    async def restart_entry(self, entry: _Entry) -> None:
        """Stop an entry and start it again as a new incarnation."""
        self.entries.remove(entry)
        await entry.__aexit__(None, None, None)
        await self._enter(self.make_entry(entry.number, entry.start + 1))

    async def restart_all(self) -> None:
        """Stop all replicas and entries; restart them with their disks."""
        for address in list(self.node_by_address):
            await self.stop(address)
        for entry in list(self.entries):
            await self.restart_entry(entry)
        await self.start_all()
        await asyncio.sleep(SETTLE_S)

    async def ask(
        self, body: bytes, at: int | None = None, caller: str = "m1"
    ) -> str:
        """Send a request; return its error code, or "served"."""
        entry = self.rng.choice(self.entries)
        if at is not None:
            entry = self.entries[at % len(self.entries)]
        self._number += 1
        request = routing.CallerRequest(
            f"q{self._number}",
            "POST",
            HOST,
            "/x",
            "/x",
            (),
            body,
            15.0,
            asyncio.get_running_loop().time(),
            caller=caller,
        )
        try:
            await entry.forwarder.serve(request, _Answer())
        except wire.ServingError as error:
            return error.code
        return "served"

    async def ask_repeatedly(
        self, body: bytes, times: int, gap_s: float = 1.0, caller: str = "m1"
    ) -> list[str]:
        """Send a request repeatedly; return the outcome of each."""
        outcomes = []
        for _ in range(times):
            outcomes.append(await self.ask(body, caller=caller))
            await asyncio.sleep(gap_s)
        return outcomes

    def quarantined(self) -> set[str]:
        """Return the ids of quarantined requests, as applied from the log."""
        machine = next(iter(self.machine_by_address.values()))
        entries = machine.view.quarantine_by_id.values()
        return {entry.id for entry in entries if entry.value.held}

    def faults(self, body: bytes, most: int = MAX_LATE_ARRIVALS) -> list[str]:
        """Check how often a request reached targets after its third crash.

        Args:
            most: arrivals allowed later than REACTION_S after that crash.
        """
        crashed_at = [crash.at for crash in self.crashes if crash.body == body]
        third_at = (
            sorted(crashed_at)[QUARANTINE_CRASHES - 1]
            if len(crashed_at) >= QUARANTINE_CRASHES
            else None
        )
        if third_at is None:
            return [f"the request crashed only {len(crashed_at)} targets"]
        late = [
            arrival
            for arrival in self.arrivals
            if arrival.body == body and arrival.at > third_at + REACTION_S
        ]
        if len(late) > most:
            return [
                f"{len(late)} requests reached targets too late,"
                f" {len(crashed_at)} crashes"
            ]
        return []
