"""Entries with engines that crash on a part of prompts, in virtual time.

Replicas, sessions, placements and forwarders are real; engines are fakes that
crash at the first event of such an answer.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random

from bergamotsail import routing
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger
from features.support import software

# Requirement: later than REACTION_S after the fifth crash that a part caused,
# at most MAX_LATE_ARRIVALS requests with it reach engines.
REACTION_S = 3.0
MAX_LATE_ARRIVALS = 3
PART_CRASHES = 5
# From this long after that crash, sound requests begin as before.
RECOVERY_S = 2 * REACTION_S
# Least share of sound requests that begin, of that without fatal parts.
LEAST_SHARE = 0.9
FIRST_PART = "f1"
FATAL_PART = "bad"
PARTS_HEADER = "parts"
ENGINES = 8
TIMES_AT_MOST = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A request with a fatal part that reached an engine, or crashed it."""

    at: float
    part: str
    target: str


class Exchange(software.Exchange):
    """An exchange with an engine that crashes on some parts."""

    _failed = False

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        if self._failed:
            yield b"failed"
            return
        fatal = self._world.fatal_part(self._parts)
        async for piece in super().pieces():
            if self._body in self._world.fatal_bodies:
                self._target.crash()
            elif fatal is not None and not self._dropped.is_set():
                self._world.note_crash(fatal, self._target)
                self._target.crash()
            await self._wait(0.0)
            yield piece

    async def head(self) -> wire.ReplyHead:
        head = await super().head()
        fatal = self._world.fatal_part(self._parts)
        if fatal is not None and head.status == 200:
            self._failed = self._world.next_fails()
        return wire.ReplyHead(500, ()) if self._failed else head

    def connect(self) -> None:
        super().connect()
        fatal = self._world.fatal_part(self._parts)
        if fatal is not None:
            self._world.note_arrival(fatal, self._target)

    @property
    def _parts(self) -> list[str]:
        return self._headers.get(PARTS_HEADER, "").split(",")


class Http(software.Http):
    """A client of one entry."""

    exchange_type = Exchange


class Dialect(software.Dialect):
    """Sends the parts of the prompt, too."""

    def outgoing(self, request, destination) -> routing.Headers:
        parts = ",".join(part for part, _ in request.model.parts)
        headers = super().outgoing(request, destination)
        return (*headers, (PARTS_HEADER, parts))


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How the first attempt of a request went.

    Args:
        kind: "sound", or the fatal part of the request.
    """

    at: float
    kind: str
    parts: tuple[str, ...]
    began: bool
    code: str


class World(software.World):
    """Engines, entries and callers whose prompts share parts."""

    def __init__(
        self, entries: int = 3, seed: int = 1, attempts: int = 4
    ) -> None:
        super().__init__(
            ("v1",) * ENGINES, True, entries, seed, attempts, holds=True
        )
        self.dialect = Dialect()
        self.fatal: set[str] = set()
        self.arrivals: list[Event] = []
        self.crashes: list[Event] = []
        self.outcomes: list[Outcome] = []
        self.fatal_bodies: set[bytes] = set()
        # Whether engines fail every second request with a fatal part.
        self.fails_fatal = False
        self.last_error: wire.ServingError | None = None
        self._asked = 0
        self._answered = 0

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)

    def fatal_part(self, parts: collections.abc.Iterable[str]) -> str | None:
        """Return the part of a prompt that crashes engines, if any."""
        return next((part for part in parts if part in self.fatal), None)

    def note_arrival(self, part: str, target: fatal_world.Target) -> None:
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Event(now, part, target.id))

    def note_crash(self, part: str, target: fatal_world.Target) -> None:
        now = asyncio.get_running_loop().time()
        self.crashes.append(Event(now, part, target.id))

    def next_fails(self) -> bool:
        """Whether an engine fails the next request with a fatal part."""
        self._answered += 1
        return self.fails_fatal and self._answered % 2 == 0

    async def ask_parts(
        self,
        shared: collections.abc.Sequence[str],
        caller: str = "m1",
        body: bytes | None = None,
    ) -> Outcome:
        """Send a request; return how it went.

        Args:
            body: differs from all others if it is not given.
        """
        loop = asyncio.get_running_loop()
        self._asked += 1
        entry = self.rng.choice(self.entries)
        name = f"q{self._asked}"
        parts = tuple((part, 20) for part in (*shared, f"own-{name}"))
        request = routing.CallerRequest(
            name,
            "POST",
            fatal_world.HOST,
            "/x",
            "/x",
            (),
            name.encode() if body is None else body,
            software.DEADLINE_S,
            loop.time(),
            routing.ModelPart(ledger.MODEL, software.ADAPTER, 100, 20, parts),
            caller=caller,
        )
        asked_at = loop.time()
        stream = software.Caller(self, name)
        answer = software._Answer(stream, name)
        serving = asyncio.create_task(entry.forwarder.serve(request, answer))
        entry.serving.add(serving)
        try:
            await serving
            code = "complete" if answer.finished else "broken"
        except wire.ServingError as error:
            code, self.last_error = error.code, error
        except asyncio.CancelledError:
            code = "killed"
        entry.serving.discard(serving)
        outcome = Outcome(
            asked_at,
            self.fatal_part(shared) or "sound",
            tuple(shared),
            bool(stream.events),
            code,
        )
        self.outcomes.append(outcome)
        return outcome

    def late_arrivals(self, part: str) -> list[str]:
        """Check how many requests with a part came after its fifth crash."""
        crashed_at = sorted(c.at for c in self.crashes if c.part == part)
        if len(crashed_at) < PART_CRASHES:
            return []
        limit = crashed_at[PART_CRASHES - 1] + REACTION_S
        late = [a for a in self.arrivals if a.part == part and a.at > limit]
        if len(late) <= MAX_LATE_ARRIVALS:
            return []
        return [
            f"{len(late)} requests with {part} reached engines too late,"
            f" {len(crashed_at)} crashes"
        ]

    def recovered_at(self, part: str) -> float:
        """Return when sound requests must begin as before."""
        crashed_at = sorted(c.at for c in self.crashes if c.part == part)
        return crashed_at[:PART_CRASHES][-1] + RECOVERY_S

    def share_begun(self, since: float, first: str = FIRST_PART) -> float:
        """Return the share of sound requests that began."""
        found = [
            outcome.began
            for outcome in self.outcomes
            if outcome.kind == "sound"
            and outcome.parts[:1] == (first,)
            and outcome.at >= since
        ]
        return sum(found) / max(len(found), 1)

    def held_parts(self) -> set[str | None]:
        """Return the parts that are in quarantine; None is a request."""
        machine = next(iter(self.machine_by_address.values()))
        entries = machine.view.quarantine_by_id.values()
        return {entry.value.part for entry in entries if entry.value.held}

    def wrongly_refused(self) -> list[str]:
        """Return a fault if sound requests were refused by the quarantine."""
        codes = collections.Counter(
            outcome.code
            for outcome in self.outcomes
            if outcome.kind == "sound" and outcome.code == "quarantined"
        )
        return [f"sound requests ended as {dict(codes)}"] if codes else []


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The requests of a scenario.

    Args:
        fatal: the shared parts of requests that crash engines, in turn.
        at_once: how many of these come together.
        gap_s: the pause between them.
        sound: how many sound requests come in a second.
        for_s: how long requests come.
        subjects: different second parts of sound requests.
    """

    fatal: tuple[tuple[str, ...], ...] = ((FIRST_PART, FATAL_PART),)
    at_once: int = 1
    gap_s: float = 1.0
    sound: int = 4
    for_s: float = 40.0
    subjects: int = 5


async def play(
    world: World,
    load: Load,
    *disruptions: collections.abc.Coroutine[None, None, None],
) -> None:
    """Send the requests of a load, beside disruptions."""
    loop = asyncio.get_running_loop()
    until = loop.time() + load.for_s
    rng = random.Random(7)

    async def send_fatal(tasks: asyncio.TaskGroup) -> None:
        number = 0
        while loop.time() < until:
            for _ in range(load.at_once):
                shared = load.fatal[number % len(load.fatal)]
                tasks.create_task(world.ask_parts(shared))
                number += 1
            await asyncio.sleep(load.gap_s)

    async def send_sound(tasks: asyncio.TaskGroup) -> None:
        while loop.time() < until:
            subject = f"s{rng.randrange(load.subjects)}"
            tasks.create_task(world.ask_parts((FIRST_PART, subject)))
            await asyncio.sleep(rng.expovariate(load.sound))

    async with asyncio.TaskGroup() as tasks:
        for disruption in disruptions:
            tasks.create_task(disruption)
        if load.fatal:
            tasks.create_task(send_fatal(tasks))
        tasks.create_task(send_sound(tasks))


def checked(world: World, load: Load, expected: float = 1.0) -> list[str]:
    """Check both sides: fatal requests are held, sound ones go on.

    Args:
        expected: the share of sound requests that begin without fatal ones.
    """
    faults = []
    parts = {world.fatal_part(shared) for shared in load.fatal}
    for part in parts:
        faults += world.late_arrivals(part)
        if not any(crash.part == part for crash in world.crashes):
            faults.append(f"{part} has crashed no engine")
            continue
        share = world.share_begun(world.recovered_at(part))
        if share < LEAST_SHARE * expected:
            faults.append(f"{share:.2f} of the sound requests began")
    return faults + world.wrongly_refused()
