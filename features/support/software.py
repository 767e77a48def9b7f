"""Streams from targets that run several versions of their software.

Replicas, sessions, placements and forwarders are real and run in virtual
time; targets are fakes whose events name the version that wrote them.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import itertools
import random
import unittest.mock

from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _software as _control_software
from bergamotsail import placement
from bergamotsail import routing
from bergamotsail.routing import _origins
from bergamotsail.routing import _software
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger

SoftwareHistory = _control_software.SoftwareHistory
EVENTS = 8
EVENT_S = 0.05
FIRST_EVENT_S = 0.1
DEADLINE_S = 8.0
# A request that can't be served must be refused within this time.
REFUSED_WITHIN_S = 0.3
# Least share of resumed streams that go on, of that of new ones that begin.
LEAST_SHARE = 0.5
# Time that a patient caller has for all its attempts, and what it has left.
PATIENT_S = 130.0
LEFT_S = 4.0
ADAPTER = "a1"
EVENT_STREAM = (
    ("Content-Type", "text/event-stream"),
    ("Transfer-Encoding", "chunked"),
)
SPEC = catalogue.EngineSpec(
    64, 125_000, 1e6, 6, 8.0, (catalogue.BaseModel(ledger.MODEL, 1, 1),)
)


class Target(fatal_world.Target):
    """A target that streams events which name its software."""

    def __init__(self, number: int, world: "World", software: str) -> None:
        super().__init__(number, world)
        self.software: str | None = software
        self.state = targets.InstanceState.LIVE
        self.full = False
        self.engine = self._make_engine()

    def _make_engine(self) -> ledger.FakeEngine:
        engine = ledger.FakeEngine(SPEC, ledger.FaultRates(), random.Random(1))
        if self._world.holds:
            engine.hold(ADAPTER)
        return engine

    def listed(self) -> targets.Instance:
        return targets.Instance(
            self.id,
            fatal_world.POOL,
            self.address,
            self.datacentre,
            self.state,
            self.software,
        )

    @property
    def disconnected(self) -> asyncio.Event:
        """Set once the connections that are open now are dropped."""
        return self._disconnected

    def upgrade(self, software: str) -> None:
        """Crash, and come back with another version of the software."""
        self.software = software
        self.crash()

    def _restart(self) -> None:
        self.engine = self._make_engine()
        super()._restart()


class Exchange(fatal_world.Exchange):
    """An exchange with a target that streams events."""

    def __init__(
        self,
        world: "World",
        target: Target,
        request: wire.HttpRequest,
        headers: dict[str, str],
    ) -> None:
        super().__init__(target, headers["expect"], request.body)
        self.gate = request.gate
        self._world = world
        self._headers = headers
        self._adapter = headers.get("adapter")
        self._after = int(headers.get("resume", "0"))
        self._id = headers["id"]
        self._running: ledger.FakeEngine | None = None

    async def __aexit__(self, *_: object) -> None:
        if self._running is not None:
            self._running.end(self._adapter)

    async def head(self) -> wire.ReplyHead:
        target = self._target
        self.connect()
        if target.id != self._expected:
            return wire.ReplyHead(421, ())
        if target.full:
            return wire.ReplyHead(503, ())
        if self._adapter is not None:
            if not target.engine.begin(self._adapter):
                return wire.ReplyHead(421, ())
            self._running = target.engine
        self._world.began.append((self._id, target.id))
        self._dropped = target.disconnected
        await self._wait(FIRST_EVENT_S)
        return wire.ReplyHead(200, EVENT_STREAM)

    async def _wait(self, for_s: float) -> None:
        if await wire.wait_event(self._dropped, for_s):
            raise wire.PeerLostError("The target closed the connection.")

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        software = self._target.software
        for number in range(self._after + 1, EVENTS + 1):
            yield f"id: {number}\ndata: {software}\n\n".encode()
            await self._wait(self._world.event_s)


class Http(fatal_world.Http):
    """A client of one entry."""

    exchange_type = Exchange

    def open(self, request, target, headers) -> Exchange:
        address = request.url.removeprefix("http://").strip("/")
        found = next(t for t in self._world.targets if t.address == address)
        if self._entry in self._world.cut_entries:
            raise wire.NotSentError("The connection was refused.")
        return self.exchange_type(self._world, found, request, dict(headers))


class Dialect(fatal_world.Dialect):
    """Sends what the fake targets need to know."""

    def outgoing(self, request, destination) -> routing.Headers:
        headers = [("expect", destination.target), ("id", request.id)]
        if request.model is not None:
            headers.append(("adapter", request.model.adapter))
        if destination.resume_after is not None:
            headers.append(("resume", destination.resume_after))
        return tuple(headers)

    def read(self, request, head) -> routing.ParsedHead:
        absent = head.status == 421
        not_run = absent or head.status == 503
        return routing.ParsedHead(True, not_run, absent, True)


class Entry(fatal_world._Entry):
    """An entry that can be killed with the requests that it serves."""

    def __init__(self, world: "World", number: int, start: int) -> None:
        super().__init__(world, number, start)
        self.address = self.session.daemon.peer_address
        self.serving: set[asyncio.Task] = set()
        transport = standins.MemoryTransport(world.network, self.address)
        control.Relay(self.session, transport).serve(
            world.network.host_by_address[self.address].server,
            control.HEARTBEAT,
            placement.PLACE,
            placement.RELEASE,
            control.FIND_STREAM,
            control.COVER_AGE,
            control.MOVE_STREAM,
        )

    def uses(self) -> tuple[control.Use, ...]:
        return self.placements.uses()

    async def __aenter__(self) -> "Entry":
        await self.placements.__aenter__()
        return await super().__aenter__()

    async def __aexit__(self, *_: object) -> None:
        await super().__aexit__()
        await self.placements.__aexit__()


class _Answer(fatal_world._Answer):
    """Appends the events of an answer to those of its caller."""

    def __init__(self, caller: "Caller", attempt: str) -> None:
        super().__init__()
        self._caller = caller
        self._attempt = attempt
        self._rest = b""
        self.aborted = False

    async def write(self, piece: bytes) -> None:
        *events, self._rest = (self._rest + piece).split(b"\n\n")
        for event in events:
            number, _, software = event.partition(b"\ndata: ")
            self._caller.events.append(
                (int(number.removeprefix(b"id: ")), software.decode())
            )
            self._caller.first = self._caller.first or self._attempt

    def abort(self) -> None:
        self.aborted = True


class Caller:
    """A caller that resumes its stream until it is complete.

    Attributes:
        first: id of the attempt that brought the first event.
        outcomes: "complete", "broken" or an error code, by attempt.
    """

    def __init__(
        self, world: "World", name: str, token: str | None = None
    ) -> None:
        self._world = world
        self.name = name
        self._token = token
        self.first: str | None = None
        self.events: list[tuple[int, str]] = []
        self.outcomes: list[str] = []
        self.refused_after_s: float | None = None
        self.error: wire.ServingError | None = None

    async def ask(
        self,
        entry: Entry,
        resumes: str | None = None,
        after: str | None = None,
        patience_s: float = DEADLINE_S,
    ) -> str:
        """Send one attempt, which resumes the stream if it has begun."""
        loop = asyncio.get_running_loop()
        attempt = f"{self.name}-{len(self.outcomes)}"
        if self.events:
            resumes = self.first if resumes is None else resumes
            after = after or str(self.events[-1][0])
        model = routing.ModelPart(ledger.MODEL, ADAPTER, 100, 20)
        started_at = loop.time()
        request = routing.CallerRequest(
            attempt,
            "POST",
            fatal_world.HOST,
            "/x",
            "/x",
            (),
            b"",
            patience_s,
            started_at,
            model if self._world.engine_spec is not None else None,
            resume_after=after,
            token=self._token,
            resumes=resumes,
        )
        answer = _Answer(self, attempt)
        serving = asyncio.create_task(entry.forwarder.serve(request, answer))
        entry.serving.add(serving)
        try:
            await serving
            outcome = "complete" if answer.finished else "broken"
        except wire.ServingError as error:
            outcome = "broken" if answer.started else error.code
            self.error = error
        except asyncio.CancelledError:
            outcome = "killed"
        entry.serving.discard(serving)
        self.refused_after_s = loop.time() - started_at
        self.outcomes.append(outcome)
        return outcome

    def faults(self) -> list[str]:
        """Compare the events of all attempts with one whole stream."""
        numbers = [number for number, _ in self.events]
        softwares = {software for _, software in self.events}
        faults = []
        if len(softwares) > 1:
            faults.append(f"{self.name} holds events of {sorted(softwares)}")
        if numbers != list(range(1, len(numbers) + 1)):
            faults.append(f"{self.name} got events {numbers}")
        if "complete" in self.outcomes and len(numbers) != EVENTS:
            faults.append(f"{self.name} is complete with events {numbers}")
        return faults

    def incomplete(self) -> list[str]:
        """Return a fault if the stream is not complete."""
        if self.outcomes[-1] == "complete":
            return []
        return [f"{self.name} ended as {self.outcomes} after {self.events}"]

    def not_refused_at_once(self) -> list[str]:
        """Return a fault unless the last attempt was refused, as not run."""
        attempt = f"{self.name}-{len(self.outcomes) - 1}"
        ran = [target for id, target in self._world.began if id == attempt]
        faults = [f"it ran at {ran}"] * bool(ran)
        if self.error is None or self.error.ran is not wire.RunStatus.NOT_RUN:
            faults.append(f"ended as {self.outcomes[-1]}")
        elif (self.refused_after_s or 0.0) > REFUSED_WITHIN_S:
            faults.append(f"refused after {self.refused_after_s:.2f} s")
        return faults


class World(fatal_world.World):
    """Entries and targets of several versions of their software.

    Args:
        softwares: the version of each target.
        engines: whether the targets are engines, else plain services.
        holds: whether the engines start with the adapter.
    """

    def __init__(
        self,
        softwares: collections.abc.Sequence[str],
        engines: bool = True,
        entries: int = 3,
        seed: int = 1,
        attempts: int = 4,
        holds: bool = False,
    ) -> None:
        super().__init__(entries, 0, seed, attempts)
        self.holds = holds
        self.targets = [
            Target(number, self, software)
            for number, software in enumerate(softwares)
        ]
        self.engine_spec = SPEC if engines else None
        self.dialect = Dialect()
        self.began: list[tuple[str, str]] = []
        self.cut_entries: set[int] = set()
        self.event_s = EVENT_S
        self._entry_starts = 1

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)

    def make_entry(self, number: int, start: int = 1) -> Entry:
        return Entry(self, number, start)

    def make_placements(self, session, transport) -> routing.PlacementClient:
        survey = routing.Survey(self._read_report, random.Random(1))
        return routing.PlacementClient(
            session, transport, wire.LoopClock(), survey
        )

    async def _read_report(
        self, info: control.TargetInfo
    ) -> targets.AdapterReport:
        return await self._target_at(info.address).engine.report()

    def engine_of(self, instance: targets.Instance) -> ledger.FakeEngine:
        return self._target_at(instance.address).engine

    def _target_at(self, address: str) -> Target:
        return next(t for t in self.targets if t.address == address)

    async def __aenter__(self) -> "World":
        await super().__aenter__()
        table = self.entries[0].session.view.routes.table
        route = dataclasses.replace(
            table.routes[0],
            kind=catalogue.RouteKind.STREAM,
            resumable=True,
        )
        table = catalogue.RouteTable(2, (route,), table.pools)
        await fatal_world.growth._replace_table(self, table)
        await asyncio.sleep(1.0)
        return self

    async def kill_entry(self, number: int) -> None:
        """Kill an entry: its callers lose their connections."""
        entry = next(e for e in self.entries if e.number == number)
        self.network.kill(entry.address)
        for serving in list(entry.serving):
            serving.cancel()
        self.entries.remove(entry)
        await entry.__aexit__(None, None, None)

    async def start_entry(self, number: int, start: int) -> None:
        """Start an entry after it was killed."""
        await self._enter(self.make_entry(number, start))

    async def restart_entries(self) -> None:
        """Kill all entries, and start them again a second later."""
        numbers = [entry.number for entry in self.entries]
        for number in numbers:
            await self.kill_entry(number)
        await asyncio.sleep(1.0)
        self._entry_starts += 1
        for number in numbers:
            await self.start_entry(number, self._entry_starts)

    async def lose_leader(self) -> None:
        """Kill the leader of the log."""
        await self.stop((await self.leader()).member.address)

    def running_target(self, caller: Caller) -> Target:
        """Return the target that last began a run of a caller."""
        target = next(
            target
            for attempt, target in reversed(self.began)
            if attempt.startswith(f"{caller.name}-")
        )
        return next(t for t in self.targets if t.id == target)

    async def begin(
        self,
        name: str,
        entry: int = 0,
        token: str | None = None,
        patience_s: float = DEADLINE_S,
    ) -> tuple[Caller, asyncio.Task]:
        """Start a stream and wait until its caller has two events."""
        caller = Caller(self, name, token)
        asking = asyncio.create_task(
            caller.ask(self.entries[entry], patience_s=patience_s)
        )
        while len(caller.events) < 2:
            if asking.done():
                raise AssertionError(f"ended as {caller.outcomes}")
            await asyncio.sleep(EVENT_S / 5)
        return caller, asking


# Within one answer.


async def _wait_for_place(world: World, busy_s: float) -> list[str]:
    """Break a stream while the other target of its version is busy."""
    caller, asking = await world.begin("c")
    running = world.running_target(caller)
    (other,) = (
        target
        for target in world.targets
        if target.software == running.software and target is not running
    )
    leader = (await world.leader()).member.address
    placer = world.replica_by_address[leader].placer
    record = placer._record_by_target.get(other.id)
    if record is None:
        notices = world.entries[0].session.notices
        now = asyncio.get_running_loop().time()
        notices.note_pause(other.id, busy_s, now)
    else:
        record.tokens += SPEC.memory_tokens
    running.crash()
    await asyncio.sleep(busy_s)
    faults = [f"ended as {caller.outcomes}"] * asking.done()
    if record is not None:
        record.tokens -= SPEC.memory_tokens
        placer._schedule_soon()
    await asking
    return faults + caller.faults() + caller.incomplete()


async def granted_late() -> list[str]:
    """A stream that waits for a target of its version is not sent elsewhere.

    The only one left is full, or paused, for a while.
    """
    faults = []
    for engines in (True, False):
        for seed in range(3):
            softwares = ("v1", "v2", "v1", "v2")
            async with World(softwares, engines, seed=seed) as world:
                faults += await _wait_for_place(world, 0.6)
    return faults


async def _broken_once(world: World) -> tuple[Caller, list[str]]:
    """Break a stream by crashing its target."""
    caller, asking = await world.begin("c")
    world.running_target(caller).crash()
    await asking
    return caller, caller.faults()


async def goes_on_at_the_same_version() -> list[str]:
    """A broken stream goes on at another target of its version."""
    faults = []
    for engines in (True, False):
        for seed in range(4):
            softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
            async with World(softwares, engines, seed=seed) as world:
                caller, found = await _broken_once(world)
                faults += found + caller.incomplete()
    return faults


async def none_left_of_the_version() -> list[str]:
    """A stream whose version has no target left is broken off at once."""
    faults = []
    for engines in (True, False):
        for seed in range(4):
            softwares = ("v1", "v2", "v3")
            async with World(softwares, engines, seed=seed) as world:
                caller, asking = await world.begin("c")
                world.running_target(caller).crash()
                async with asyncio.timeout(REFUSED_WITHIN_S):
                    await asking
                faults += caller.faults()
                if caller.outcomes != ["broken"]:
                    faults.append(f"ended as {caller.outcomes}")
    return faults


async def granted_without_a_leader() -> list[str]:
    """Neither a lost leader nor a new one lets a stream change versions."""
    faults = []
    for seed in range(4):
        softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
        # Without a leader no adapter is loaded, so each engine has it.
        async with World(softwares, seed=seed, holds=True) as world:
            world.event_s = 0.4
            caller, asking = await world.begin("c")
            await world.lose_leader()
            await asyncio.sleep(0.2 * seed)
            world.running_target(caller).crash()
            await asking
            faults += caller.faults() + caller.incomplete()
    return faults


async def relayed_by_a_neighbour() -> list[str]:
    """A stream that is relayed by another entry keeps to its version."""
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
        async with World(softwares, engines) as world:
            world.cut_entries = {0}
            caller, found = await _broken_once(world)
            faults += found + caller.incomplete()
    return faults


async def one_of_many_runs_the_version() -> list[str]:
    """The adapter is loaded for a stream where its version runs."""
    softwares = ("v2",) * 22 + ("v1",) * 2
    async with World(softwares) as world:
        world.event_s = 0.5
        for target in world.targets[:-2]:
            target.state = targets.InstanceState.LEAVING
        await asyncio.sleep(2.0)
        caller, asking = await world.begin("c")
        for target in world.targets:
            target.state = targets.InstanceState.LIVE
        await asyncio.sleep(1.5)
        world.running_target(caller).crash()
        await asking
        return caller.faults() + caller.incomplete()


async def version_changes_under_its_id() -> list[str]:
    """A target that comes back under its id counts with its new version."""
    faults = []
    for engines in (True, False):
        async with World(("v1", "v1"), engines) as world:
            world.event_s = 0.5
            caller, asking = await world.begin("c")
            running = world.running_target(caller)
            for target in world.targets:
                if target is not running:
                    target.software = "v2"
            await asyncio.sleep(2.0)
            running.crash()
            await asking
            faults += caller.faults()
    return faults


async def lists_of_different_age() -> list[str]:
    """A target counts as unknown if entry and leader list other versions."""
    async with World(("v1", "v1", "v1"), holds=True) as world:
        caller, asking = await world.begin("c")
        running = world.running_target(caller)
        target_by_id = world.entries[0].session.digest.target_by_id
        for target_id, info in target_by_id.items():
            if target_id != running.id:
                target_by_id[target_id] = dataclasses.replace(
                    info, software="v2"
                )
        running.crash()
        await asking
        if caller.outcomes != ["broken"]:
            return [f"ended as {caller.outcomes}"]
        return []


async def began_at_an_unknown_version() -> list[str]:
    """The leader learns that it granted a target of an unknown version."""
    async with World(("v1", "v1", "v1"), holds=True) as world:
        target_by_id = world.entries[0].session.digest.target_by_id
        for target_id, info in list(target_by_id.items()):
            target_by_id[target_id] = dataclasses.replace(info, software="v2")
        world.event_s = 0.5
        caller, asking = await world.begin("c")
        await asyncio.sleep(1.0)
        await world.kill_entry(0)
        await asking
        await caller.ask(world.entries[0])
        return caller.not_refused_at_once()


async def no_version_is_stated() -> list[str]:
    """Streams go on if no target states a version, not if it is unknown."""
    faults = []
    for engines in (True, False):
        async with World(("", "", ""), engines) as world:
            caller, _ = await _broken_once(world)
            faults += caller.incomplete()
        async with World((None, None, None), engines) as world:
            caller, _ = await _broken_once(world)
            if caller.outcomes != ["broken"]:
                faults.append(f"unknown versions: {caller.outcomes}")
    return faults


# Over a caller's attempts.


async def _killed_and_resumed(
    world: World, resumes: str | None = None
) -> Caller:
    """Begin a stream at an entry, kill the entry, resume at another."""
    caller, asking = await world.begin("c")
    await world.kill_entry(0)
    await asking
    await caller.ask(world.rng.choice(world.entries), resumes)
    return caller


async def resumed_after_its_entry_was_killed() -> list[str]:
    """A caller's next attempt goes on at the version of the first one."""
    faults = []
    for engines in (True, False):
        for seed in range(4):
            softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
            async with World(softwares, engines, seed=seed) as world:
                caller = await _killed_and_resumed(world)
                faults += caller.faults()
                # A plain service's stream may be refused: its beginning is
                # reported with the next heartbeat.
                faults += caller.incomplete() if engines else []
    return faults


async def resumed_after_its_entry_stopped() -> list[str]:
    """A stream that a stopping entry cuts off goes on at another one."""
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
        async with World(softwares, engines) as world:
            world.event_s = 1.0
            caller, asking = await world.begin("c")
            entry = world.entries[0]
            entry.session.set_leaving()
            await asyncio.sleep(1.0)
            world.entries.remove(entry)
            for serving in list(entry.serving):
                serving.cancel()
            await asking
            await entry.__aexit__(None, None, None)
            await caller.ask(world.entries[0])
            faults += caller.faults() + caller.incomplete()
    return faults


async def stream_of_another_member() -> list[str]:
    """A member can't resume the stream of another one."""
    members = tuple(
        catalogue.RouteMember(
            name,
            catalogue.Member(tokens_sha256=(catalogue.hash_token(name),)),
        )
        for name in ("m1", "m2")
    )
    faults = []
    for engines in (True, False):
        async with World(("v1", "v2", "v1", "v2"), engines) as world:
            table = world.entries[0].session.view.routes.table
            table = dataclasses.replace(table, version=3, members=members)
            await fatal_world.growth._replace_table(world, table)
            await asyncio.sleep(1.0)
            world.event_s = 0.5
            caller, asking = await world.begin("c", token="m1")
            await asyncio.sleep(1.0)
            other = Caller(world, "d", "m2")
            await other.ask(world.entries[1], "c-0", "2")
            faults += other.not_refused_at_once()
            await world.kill_entry(0)
            await asking
            await caller.ask(world.entries[0])
            faults += caller.faults() + caller.incomplete()
    return faults


async def resumed_a_third_time() -> list[str]:
    """Each further attempt names the first one, wherever it comes to."""
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
        async with World(softwares, engines, entries=4) as world:
            world.event_s = 0.5
            caller, asking = await world.begin("c")
            await asyncio.sleep(0.5)
            await world.kill_entry(0)
            await asking
            asking = asyncio.create_task(caller.ask(world.entries[0]))
            await asyncio.sleep(1.0)
            await world.kill_entry(1)
            await asking
            await caller.ask(world.entries[-1])
            faults += caller.faults() + caller.incomplete()
    return faults


async def entry_of_the_stream_lives() -> list[str]:
    """A stream goes on after a change of leader, told by its first entry."""
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
        async with World(softwares, engines, holds=True) as world:
            world.event_s = 0.5
            caller, asking = await world.begin("c")
            for serving in list(world.entries[0].serving):
                serving.cancel()
            await asking
            await world.lose_leader()
            await asyncio.sleep(2.0)
            await caller.ask(world.entries[1])
            faults += caller.faults() + caller.incomplete()
    return faults


async def nobody_knows_the_stream() -> list[str]:
    """A stream of unknown origin is refused at once, as not run."""
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
        async with World(softwares, engines) as world:
            for number, resumes in enumerate(("", "forged", "c0-0", None)):
                caller = Caller(world, f"c{number}")
                await caller.ask(world.entries[0], resumes, "3")
                faults += caller.not_refused_at_once()
    return faults


async def all_entries_killed_while_versions_change() -> list[str]:
    """Entries killed together, twice, while an old version leaves.

    Callers resume as soon as entries serve again, with and without the name
    of their first attempt.
    """
    faults = []
    for engines, named, lost in itertools.product((True, False), repeat=3):
        softwares = ("v1", "v2", "v1", "v2")
        async with World(softwares, engines, holds=True) as world:
            world.event_s = 0.4
            begun = [
                await world.begin(f"c{number}", number % 3, None, 30.0)
                for number in range(6)
            ]
            for _ in range(2):
                if lost:
                    await world.lose_leader()
                await world.restart_entries()
                for target in world.targets:
                    if target.software == "v1":
                        target.upgrade("v2")
                for caller, asking in begun:
                    await asking
                    if caller.outcomes[-1] != "complete":
                        resumes = None if named else ""
                        entry = world.rng.choice(world.entries)
                        await caller.ask(entry, resumes, patience_s=20.0)
            faults += [f for caller, _ in begun for f in caller.faults()]
    return faults


async def resumed_late_in_its_callers_time() -> list[str]:
    """A stream that is older than its caller's remaining time suggests.

    All entries were killed and the version that began it has left. The caller
    began with PATIENT_S and has LEFT_S of it.
    """
    faults = []
    for engines, named in itertools.product((True, False), repeat=2):
        async with World(("v1", "v1"), engines, holds=True) as world:
            caller, asking = await world.begin("c", 0, None, PATIENT_S)
            if named:
                await world.lose_leader()
            await world.restart_entries()
            await asking
            for target in world.targets:
                target.upgrade("v2")
            await asyncio.sleep(PATIENT_S - LEFT_S)
            resumes = None if named else ""
            await caller.ask(world.entries[0], resumes, patience_s=LEFT_S)
            faults += caller.faults()
    return faults


async def first_entry_and_leader_are_lost() -> list[str]:
    """A stream that a lost leader granted goes on, told by a replica.

    If it was lost before it could tell any, the stream is refused as not run.
    """
    softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
    faults = []
    for seed in range(4):
        async with World(softwares, holds=True, seed=seed) as world:
            world.event_s = 0.5 if seed else EVENT_S
            caller, asking = await world.begin("c")
            await asyncio.gather(world.kill_entry(0), world.lose_leader())
            await asking
            if seed:
                await asyncio.sleep(1.0 + seed)
            await caller.ask(world.entries[0])
            faults += caller.faults()
            if seed:
                faults += caller.incomplete()
            elif caller.outcomes[-1] != "complete":
                error = caller.error
                if error is None or error.ran is not wire.RunStatus.NOT_RUN:
                    faults.append(f"ended as {caller.outcomes}")
    return faults


async def grant_is_lost_on_its_way() -> list[str]:
    """A lost grant of one version and a stream of another don't meet.

    The entry remembers a placement at one version, asks the leader, which
    grants another one, and does not get the reply. It is killed before its
    next heartbeat.
    """
    faults = []
    for seed in range(4):
        softwares = ("v1", "v2")
        async with World(softwares, holds=True, seed=seed) as world:
            first = Caller(world, "a")
            await first.ask(world.entries[0])
            remembered = world.running_target(first)
            leader = (await world.leader()).member.address
            placer = world.replica_by_address[leader].placer
            now = asyncio.get_running_loop().time()
            placer._record_by_target[remembered.id].add_fault(now, 9.0)
            for address in world.addresses:
                world.network.cut(
                    address, world.entries[0].address, both_ways=False
                )
            caller = Caller(world, "c")
            asking = asyncio.create_task(caller.ask(world.entries[0]))
            while not caller.events and not asking.done():
                await asyncio.sleep(EVENT_S / 5)
            await world.kill_entry(0)
            await asking
            await caller.ask(world.entries[0])
            faults += caller.faults()
    return faults


async def later_term_counts() -> list[str]:
    """A late copy of an earlier term doesn't replace a later record."""
    table = control.StreamTable()
    first = control.StreamOrigin("p", "v1")
    second = control.StreamOrigin("p", "v2")
    faults = []
    for term, origin, wanted in (
        (1, first, first), (3, second, second), (1, first, second),
        (3, first, first),
    ):  # fmt: skip
        table.note(term, "a", origin, 30.0)
        record = table.find("a")
        if record is None or record.origin != wanted:
            faults.append(f"{record} after {origin} of term {term}")
    return faults


async def table_is_bounded() -> list[str]:
    """Streams whose time is over are forgotten, and at most so many kept.

    Each note looks at two streams, so all are looked at once while half as
    many are noted, and at most twice as many are kept as are in their time.
    """
    table = control.StreamTable(max_streams=50)
    origin = control.StreamOrigin("p", "v1")
    table.note(1, "m/long", origin, 100.0)
    faults = []
    for number in range(200):
        table.note(1, f"m/{number}", origin, 0.5)
        await asyncio.sleep(0.05)
        kept = len(table.names())
        if kept > 22:
            faults.append(f"{kept} streams are kept, 11 are in their time")
    if table.find("m/long") is None:
        faults.append("a stream is forgotten before its time")
    for number in range(200):
        table.note(1, f"m/{number}", origin, 100.0)
    if len(table.names()) != 50:
        faults.append(f"{len(table.names())} streams, not 50")
    return faults


async def version_is_gone() -> list[str]:
    """A stream whose version no target runs any more is refused at once."""
    faults = []
    for engines in (True, False):
        async with World(("v1", "v2", "v2"), engines) as world:
            for target in world.targets[1:]:
                target.state = targets.InstanceState.LEAVING
            await asyncio.sleep(2.0)
            world.event_s = 1.0
            caller, asking = await world.begin("c")
            for target in world.targets:
                target.state = targets.InstanceState.LIVE
            world.targets[0].state = targets.InstanceState.LEAVING
            await asyncio.sleep(2.0)
            await world.kill_entry(0)
            await asking
            await caller.ask(world.entries[0])
            faults += caller.faults() + caller.not_refused_at_once()
    return faults


async def one_version_for_long() -> list[str]:
    """Where one version has run for long, nobody needs to know the stream."""
    faults = []
    for engines in (True, False):
        async with World(("v1", "v1", "v1"), engines) as world:
            await asyncio.sleep(60.0)
            caller = Caller(world, "c")
            await caller.ask(world.entries[0], "forgotten", "3")
            if caller.outcomes != ["complete"]:
                faults.append(f"one version: {caller.outcomes}")
            world.targets[0].upgrade("v2")
            await asyncio.sleep(3.0)
            caller = Caller(world, "d")
            await caller.ask(world.entries[0], "unknown", "3")
            faults += caller.not_refused_at_once()
    return faults


async def cut_off_from_the_core() -> list[str]:
    """An entry that reaches no replica learns it through a neighbour."""
    softwares = ("v1", "v2", "v1", "v2", "v2", "v1")
    async with World(softwares, entries=4) as world:
        for address in world.addresses:
            world.network.cut(world.entries[1].address, address)
        await asyncio.sleep(5.0)
        caller, asking = await world.begin("c")
        await world.kill_entry(0)
        await asking
        await caller.ask(world.entries[0])
        return caller.faults() + caller.incomplete()


async def other_pool_of_the_route() -> list[str]:
    """A stream goes on in the pool that began it, or is refused at once."""
    async with World(("v1", "v1", "v1"), engines=False) as world:
        entry = world.entries[0]
        table = entry.session.view.routes.table
        (route,) = table.routes
        splits = (
            catalogue.Split(fatal_world.POOL, 1),
            catalogue.Split("other", 99),
        )
        pools = (*table.pools, catalogue.RoutePool("other", "/health", 64))
        caller, asking = await world.begin("c")
        route = dataclasses.replace(route, splits=splits)
        table = catalogue.RouteTable(3, (route,), pools)
        await fatal_world.growth._replace_table(world, table)
        await asyncio.sleep(0.1)
        for serving in list(entry.serving):
            serving.cancel()
        await asking
        await asyncio.sleep(1.0)
        await caller.ask(world.entries[1])
        faults = caller.faults() + caller.incomplete()
        route = dataclasses.replace(route, splits=splits[1:])
        table = catalogue.RouteTable(4, (route,), pools)
        await fatal_world.growth._replace_table(world, table)
        await asyncio.sleep(1.0)
        await caller.ask(world.entries[1])
        return faults + caller.not_refused_at_once()


async def new_streams_pass_resumed_ones() -> list[str]:
    """A resumed stream that waits for its version holds up no new stream."""
    async with World(("v1", "v2")) as world:
        world.event_s = 0.5
        caller, asking = await world.begin("c")
        began_at = world.running_target(caller)
        began_at.crash()
        await asking
        leader = await world.leader()
        placer = world.replica_by_address[leader.member.address].placer
        request = placement.PlaceRequest(
            "b", "r", fatal_world.POOL, ledger.MODEL, ADAPTER, 100, 20, (),
            0, 5.0, "a", software=began_at.software,
        )  # fmt: skip
        await asyncio.sleep(fatal_world.DOWN_S + 1.0)
        record = placer._record_by_target[began_at.id]
        record.tokens = SPEC.memory_tokens
        waiting = asyncio.create_task(placer.on_place(request))
        await asyncio.sleep(0.1)
        fresh = Caller(world, "d")
        await fresh.ask(world.entries[0])
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        took_s = fresh.refused_after_s or 0.0
        faults = [f"it took {took_s:.2f} s"] * (took_s > EVENTS * 0.5 + 1.0)
        return faults + fresh.incomplete()


Step = tuple[float, str, int]
# Pause, event, and number of a target or an entry, of each step.
HISTORIES = strategies.lists(
    strategies.tuples(
        strategies.floats(0.05, 0.8),
        strategies.sampled_from(
            (
                "crash",
                "upgrade",
                "leave",
                "kill",
                "start",
                "leader",
                "cut",
                "herd",
            )
        ),
        strategies.integers(0, 5),
    ),
    min_size=3,
    max_size=10,
)
HISTORY_S = 8.0
STREAM_GAP_S = 0.2


class _History:
    """Streams under load while targets and entries come and go."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.callers: list[Caller] = []
        self._stopped: list[str] = []
        self._starts: collections.Counter[int] = collections.Counter()

    async def follow(self, caller: Caller) -> None:
        """Send attempts until the stream is complete, five at most."""
        for _ in range(5):
            entry = self.world.rng.choice(self.world.entries)
            if await caller.ask(entry) == "complete":
                return
            await asyncio.sleep(0.2)

    async def load(self, gap_s: float = STREAM_GAP_S) -> None:
        """Start streams at regular intervals, and wait for their ends."""
        loop = asyncio.get_running_loop()
        until = loop.time() + HISTORY_S
        async with asyncio.TaskGroup() as following:
            while loop.time() < until:
                caller = Caller(self.world, f"c{len(self.callers)}")
                self.callers.append(caller)
                following.create_task(self.follow(caller))
                await asyncio.sleep(gap_s)

    async def apply(self, event: str, number: int) -> None:
        """Apply one event of the history."""
        world = self.world
        target = world.targets[number % len(world.targets)]
        if event == "crash":
            target.crash()
        elif event == "upgrade":
            target.upgrade("v2" if target.software == "v1" else "v1")
        elif event == "leave":
            leaving = target.state is targets.InstanceState.LEAVING
            target.state = (
                targets.InstanceState.LIVE
                if leaving
                else targets.InstanceState.LEAVING
            )
        elif event == "cut":
            world.cut_entries ^= {number % 3}
        elif event == "kill" and len(world.entries) > 2:
            await world.kill_entry(world.entries[0].number)
        elif event == "start" and len(world.entries) < 5:
            self._starts[number] += 1
            await world.start_entry(10 + number, self._starts[number])
        elif event == "leader":
            await self._change_leader()
        elif event == "herd":
            await self._kill_herd()

    async def _kill_herd(self) -> None:
        """Kill the leader and all entries but one, and start entries."""
        numbers = [entry.number for entry in self.world.entries[1:]]
        killing = map(self.world.kill_entry, numbers)
        await asyncio.gather(self._change_leader(), *killing)
        for number in numbers:
            self._starts[number] += 1
            await self.world.start_entry(number, 100 + self._starts[number])

    async def _change_leader(self) -> None:
        for address in self._stopped:
            await self.world.start(address)
        leader = (await self.world.leader()).member.address
        self._stopped = [leader]
        await self.world.stop(leader)


async def _history(steps: list[Step], engines: bool) -> list[str]:
    softwares = ("v1", "v2", "v1", "v2", "v1", "v2")
    world = World(softwares, engines, seed=len(steps), holds=True)
    async with world:
        history = _History(world)
        loading = asyncio.create_task(history.load())
        for pause_s, event, number in steps:
            await asyncio.sleep(pause_s)
            await history.apply(event, number)
        await loading
        return [fault for c in history.callers for fault in c.faults()]


def history_mixes_no_versions(case: tuple[list[Step], bool]) -> None:
    """No stream holds events of two versions, whatever happens."""
    faults = ledger.run(_history(*case))
    assert not faults, f"{faults} after {case}"


async def goes_on_as_often_as_others_begin() -> list[str]:
    """Resumed streams go on at least half as often as new ones begin.

    Entries are killed one after the other while two targets of each version
    serve.
    """
    faults = []
    for seed in range(3):
        softwares = ("v1", "v2", "v1", "v2")
        async with World(softwares, entries=8, seed=seed) as world:
            world.event_s = 0.3
            history = _History(world)
            loading = asyncio.create_task(history.load(0.05))
            for _ in range(5):
                await asyncio.sleep(1.2)
                await world.kill_entry(world.entries[0].number)
            await loading
            new = [c.outcomes[0] for c in history.callers]
            began = [c for c in history.callers if c.events]
            again = [c.outcomes[1] for c in began if len(c.outcomes) > 1]
            if len(again) < 12:
                faults.append(f"only {len(again)} streams were resumed")
            refused = sum(code not in ("complete", "killed") for code in new)
            went_on = sum(code in ("complete", "killed") for code in again)
            begin_share = 1 - refused / len(new)
            share = went_on / max(len(again), 1)
            if share < LEAST_SHARE * begin_share:
                faults.append(f"{share:.2f} went on, {begin_share:.2f} began")
            faults += [f for c in history.callers for f in c.faults()]
    return faults


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        goes_on_at_the_same_version,
        none_left_of_the_version,
        granted_late,
        granted_without_a_leader,
        relayed_by_a_neighbour,
        one_of_many_runs_the_version,
        version_changes_under_its_id,
        lists_of_different_age,
        began_at_an_unknown_version,
        no_version_is_stated,
        resumed_after_its_entry_was_killed,
        resumed_after_its_entry_stopped,
        stream_of_another_member,
        resumed_a_third_time,
        entry_of_the_stream_lives,
        nobody_knows_the_stream,
        first_entry_and_leader_are_lost,
        all_entries_killed_while_versions_change,
        resumed_late_in_its_callers_time,
        grant_is_lost_on_its_way,
        later_term_counts,
        table_is_bounded,
        version_is_gone,
        one_version_for_long,
        cut_off_from_the_core,
        other_pool_of_the_route,
        new_streams_pass_resumed_ones,
        goes_on_as_often_as_others_begin,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())


# Each mutant: name, the scenario that must fail, object, attribute and
# replacement.
MUTANTS: tuple[tuple[str, str, object, str, object], ...] = (
    (
        "a stream may go on at any version",
        "goes_on_at_the_same_version",
        control.StreamOrigin,
        "allows",
        lambda *_: True,
    ),
    (
        "ask for no version",
        "none_left_of_the_version",
        _software,
        "required",
        lambda _: None,
    ),
    (
        "trust one of two lists",
        "lists_of_different_age",
        _software,
        "agreed",
        lambda stated, listed: stated,
    ),
    (
        "refuse late if no engine runs the version",
        "version_is_gone",
        placement.Placer,
        "_check_software",
        lambda *_: None,
    ),
    (
        "take a resumed stream for a new one",
        "resumed_after_its_entry_was_killed",
        _origins,
        "is_resumption",
        lambda *_: False,
    ),
    (
        "report no streams to a new leader",
        "entry_of_the_stream_lives",
        control.StreamNotes,
        "pending",
        lambda *_: (),
    ),
    (
        "use a remembered placement though another may be granted",
        "grant_is_lost_on_its_way",
        routing.PlacementClient,
        "_may_place_alone",
        lambda *_: True,
    ),
    (
        "note no granted streams",
        "resumed_after_its_entry_was_killed",
        control.StreamTable,
        "note",
        lambda *_: None,
    ),
    (
        "know nothing of pools with one version",
        "one_version_for_long",
        SoftwareHistory,
        "sole",
        lambda *_: None,
    ),
    (
        "take any pool for one with one version",
        "nobody_knows_the_stream",
        SoftwareHistory,
        "sole",
        lambda *_: control.StreamOrigin(fatal_world.POOL, "v1"),
    ),
    (
        "choose the pool anew",
        "other_pool_of_the_route",
        _origins,
        "pool_of",
        lambda routes, route, origin: routes.pool_by_name["other"],
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run a mutant's scenario with its guard disabled."""
    _, scenario, owner, name, replacement = MUTANTS[number]
    with unittest.mock.patch.object(owner, name, replacement):
        return run_scenario(scenario)
