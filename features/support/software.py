"""Streams from targets that run several versions of their software.

Replicas, sessions, placements and forwarders are real and run in virtual
time; targets are fakes whose events name the version that wrote them.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random


from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import routing
from bergamotsail import targets
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger

EVENTS = 8
EVENT_S = 0.05
FIRST_EVENT_S = 0.1
DEADLINE_S = 8.0
# A request that can't be served must be refused within this time.
REFUSED_WITHIN_S = 0.3
# Least share of resumed streams that go on, of that of new ones that begin.
LEAST_SHARE = 0.5
ADAPTER = "a1"
EVENT_STREAM = (("Content-Type", "text/event-stream"),)
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

    def open(self, request, target, headers) -> Exchange:
        address = request.url.removeprefix("http://").strip("/")
        found = next(t for t in self._world.targets if t.address == address)
        if self._entry in self._world.cut_entries:
            raise wire.NotSentError("The connection was refused.")
        return Exchange(self._world, found, request, dict(headers))


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

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self.name = name
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
            DEADLINE_S,
            started_at,
            model if self._world.engine_spec is not None else None,
            resume_after=after,
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
        self, name: str, entry: int = 0
    ) -> tuple[Caller, asyncio.Task]:
        """Start a stream and wait until its caller has two events."""
        caller = Caller(self, name)
        asking = asyncio.create_task(caller.ask(self.entries[entry]))
        while len(caller.events) < 2:
            if asking.done():
                raise AssertionError(f"ended as {caller.outcomes}")
            await asyncio.sleep(EVENT_S / 5)
        return caller, asking


# Within one answer.


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


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        goes_on_at_the_same_version,
        none_left_of_the_version,
        granted_without_a_leader,
        relayed_by_a_neighbour,
        one_of_many_runs_the_version,
        version_changes_under_its_id,
        no_version_is_stated,
        resumed_after_its_entry_was_killed,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())
