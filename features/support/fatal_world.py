"""Entries before targets that end on some requests, in virtual time.

Replicas, sessions and forwarders are real; targets are small oracles that
count what reached them.
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
# The bound of the users: so long after its third end a request may reach
# targets three times more.
CONTACT_S = 3.0
MOST_AFTER = 3
MAX_ENDS = 3


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a target."""

    at: float
    body: bytes
    target: str


class Target:
    """A target that ends on fatal bodies, and comes back as another start."""

    def __init__(self, number: int, world: "World") -> None:
        self.number = number
        self.start = 1
        self.address = f"10.9.0.{number}:1"
        self.datacentre = "abc"[number % 3]
        self.up = True
        self.keeps_name = False
        self._world = world
        self._ended = asyncio.Event()

    @property
    def id(self) -> str:
        """Its name with its start."""
        if self.keeps_name:
            return f"t{self.number}#{self.start}"
        return f"t{self.number}-{self.start}"

    def listed(self) -> targets.Instance:
        """Return its entry of the list."""
        return targets.Instance(self.id, POOL, self.address, self.datacentre)

    def end(self) -> None:
        """End with all that runs here; a new start follows."""
        if not self.up:
            return
        self.up = False
        self._ended.set()
        asyncio.get_running_loop().call_later(DOWN_S, self._back)

    def cut(self) -> None:
        """Lose the connections, though nothing ended."""
        self._ended.set()
        self._ended = asyncio.Event()

    def _back(self) -> None:
        self.start += 1
        self.up = True
        self._ended = asyncio.Event()

    async def run(self, body: bytes) -> bool:
        """Run a request; False when the connection ends before."""
        loop = asyncio.get_running_loop()
        ended, start = self._ended, self.start
        self._world.arrivals.append(Arrival(loop.time(), body, self.id))
        fatal = body in self._world.fatal
        took_s = CRASH_S if fatal else RUN_S
        if await wire.wait_event(ended, took_s) or ended.is_set():
            return False
        if fatal and start == self.start:
            self._world.ended.append(Arrival(loop.time(), body, self.id))
            self.end()
            return False
        return True


class Exchange:
    """A request to a target, as the client of HTTP gives it."""

    def __init__(self, target: Target, expected: str, body: bytes) -> None:
        self._target = target
        self._expected = expected
        self._body = body
        self.sent = False

    async def __aenter__(self) -> "Exchange":
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def head(self) -> wire.ReplyHead:
        if not self._target.up:
            raise wire.NotSentError("Nobody listens.")
        self.sent = True
        if self._target.id != self._expected:
            return wire.ReplyHead(421, ())
        if not await self._target.run(self._body):
            raise wire.PeerLostError("Empty reply.")
        return wire.ReplyHead(200, ())

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        yield b"done"


class Http:
    """Sends to the targets of a world, for one entry."""

    def __init__(self, world: "World", entry: int) -> None:
        self._world = world
        self._entry = entry

    def open(
        self, request: wire.HttpRequest, target: str, headers: routing.Headers
    ) -> Exchange:
        address = request.url.removeprefix("http://").strip("/")
        found = next(t for t in self._world.targets if t.address == address)
        return self.exchange(found, dict(headers)["expect"], request.body)

    def exchange(self, target: Target, expected: str, body: bytes) -> Exchange:
        """Return the exchange with a target."""
        return Exchange(target, expected, body)


class Dialect(routing.Dialect):
    """Says which start is expected, and reads nothing but the status."""

    def outgoing(self, request, destination) -> routing.Headers:
        return (("expect", destination.target),)

    def read(self, request, head) -> routing.Reading:
        absent = head.status == 421
        return routing.Reading(True, absent, absent, True)

    def returning(self, head) -> routing.Headers:
        return ()


class _Answer(routing.AnswerWriter):
    """Takes an answer."""

    def __init__(self) -> None:
        self._started = False
        self.whole = False

    @property
    def started(self) -> bool:
        return self._started

    def start(self, status: int, headers: routing.Headers) -> None:
        self._started = True

    async def write(self, piece: bytes) -> None:
        return None

    async def finish(self) -> None:
        self.whole = True

    def abort(self) -> None:
        return None


class _Entry(control.PassiveParticipant):
    """One entry: its session and its forwarder."""

    def __init__(self, world: "World", number: int, start: int = 1) -> None:
        self.number = number
        self.start = start
        address = f"10.1.0.{number}:7000"
        transport = standins.MemoryTransport(world.network, address)
        world.network.join(address, wire.PeerServer())
        datacentre = "abc"[number % 3]
        info = control.DaemonInfo(
            address, f"{address}#{start}", address, datacentre
        )
        leader = control.Leader(transport, world.addresses[:3])
        self.session = control.Session(info, leader, transport, LEASE)
        self.session.attach(self)
        self.places = unittest.mock.Mock()
        self.forwarder = routing.Forwarder(
            self.session,
            self.places,
            routing.ServiceBalancer(datacentre, random.Random(number)),
            routing.ResendBudgets(10.0, 1e6, lambda: 3),
            world.make_http(number),
            world.dialect,
            observe.Metrics(),
            datacentre,
        )

    async def __aenter__(self) -> "_Entry":
        await self.session.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.__aexit__()


class _List(targets.InstanceList):
    """The list, which never lags."""

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
        self.ended: list[Arrival] = []
        self.targets = [Target(number, self) for number in range(count)]
        self.instances = _List(self)
        self.entries: list[_Entry] = []
        self.dialect: routing.Dialect = Dialect()
        self._many = entries
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
        pool = catalogue.RoutePool(POOL, "/health", 64)
        table = catalogue.RouteTable(1, (route,), (pool,))
        await growth._replace_table(self, table)
        for number in range(self._many):
            await self._enter(_Entry(self, number))
        await asyncio.sleep(SETTLE_S)
        return self

    def make_http(self, entry: int) -> Http:
        """Return the client of an entry."""
        return Http(self, entry)

    async def _enter(self, entry: _Entry) -> None:
        self.entries.append(entry)
        await self._stack.enter_async_context(entry)

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()
        await self.stop_all()

    async def restart_entry(self, entry: _Entry) -> None:
        """Kill an entry's process and start it again."""
        self.entries.remove(entry)
        await entry.__aexit__(None, None, None)
        await self._enter(_Entry(self, entry.number, entry.start + 1))

    async def restart_all(self) -> None:
        """Let all lose power, and come back with their disks."""
        for address in list(self.node_by_address):
            await self.stop(address)
        for entry in list(self.entries):
            await self.restart_entry(entry)
        await self.start_all()
        await asyncio.sleep(SETTLE_S)

    async def ask(
        self, body: bytes, at: int | None = None, caller: str = "m1"
    ) -> str:
        """Send a request of a caller; return how it ended."""
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

    async def ask_again(
        self, body: bytes, times: int, gap_s: float = 1.0, caller: str = "m1"
    ) -> list[str]:
        """Let a caller come again and again; return how each ended."""
        found = []
        for _ in range(times):
            found.append(await self.ask(body, caller=caller))
            await asyncio.sleep(gap_s)
        return found

    def held(self) -> set[str]:
        """Return the requests that are held back, as the log has it."""
        machine = next(iter(self.machine_by_address.values()))
        entries = machine.view.quarantine_by_id.values()
        return {entry.id for entry in entries if entry.value.held}

    def faults(self, body: bytes, most: int = MOST_AFTER) -> list[str]:
        """Say whether a request reached targets too often."""
        ends = [end.at for end in self.ended if end.body == body]
        third = sorted(ends)[MAX_ENDS - 1] if len(ends) >= MAX_ENDS else None
        if third is None:
            return [f"only {len(ends)} targets ended under it"]
        late = [
            arrival
            for arrival in self.arrivals
            if arrival.body == body and arrival.at > third + CONTACT_S
        ]
        if len(late) > most:
            return [f"{len(late)} more reached targets, {len(ends)} ended"]
        return []
