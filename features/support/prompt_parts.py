"""Prompts with a part that crashes the engines that answer them.

Replicas, sessions, placements and forwarders are real and run in virtual
time; engines are fakes that crash at the first event of such an answer.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import unittest.mock

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail.control import _quarantine
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail.quarantine import _ends
from bergamotsail.quarantine import _served
from bergamotsail import routing
from bergamotsail.routing import _fatal
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


Disruption = collections.abc.Callable[
    [World], collections.abc.Coroutine[None, None, None]
]


async def _check(
    load: Load,
    *disruptions: Disruption,
    expected: float = 1.0,
    held: collections.abc.Iterable[str] = (FATAL_PART,),
    **kwargs: int,
) -> list[str]:
    """Play a load and check what is held at its end."""
    async with World(**kwargs) as world:
        # Callers know the first part before one of its requests is fatal.
        await play(world, dataclasses.replace(load, fatal=(), for_s=3.0))
        world.fatal = set(held)
        await play(world, load, *(disrupt(world) for disrupt in disruptions))
        faults = checked(world, load, expected)
        if world.held_parts() - {None} != set(held):
            faults.append(f"held are {world.held_parts()}")
        return faults


# Disruptions.


async def _crash_now_and_then(world: World) -> None:
    """Crash an engine each 4 s."""
    for _ in range(10):
        await asyncio.sleep(4.0)
        world.rng.choice(world.targets).crash()


async def _crash_racks(world: World) -> None:
    """Crash three engines at the same moment, each 6 s."""
    for turn in range(6):
        await asyncio.sleep(6.0)
        for target in world.targets[turn % 2 :: 3]:
            target.crash()


def _at_crash(number: int, *actions: Disruption) -> Disruption:
    """Return a disruption at a crash that the fatal part caused."""

    async def disrupt(world: World) -> None:
        while len(world.crashes) < number:
            await asyncio.sleep(0.01)
        for action in actions:
            await action(world)

    return disrupt


async def _lose_leader(world: World) -> None:
    address = (await world.leader()).member.address
    await world.stop(address)
    await asyncio.sleep(2.0)
    await world.start(address)


async def _restart_two_entries(world: World) -> None:
    for number in (0, 1):
        await world.kill_entry(number)
        await asyncio.sleep(0.5)
        await world.start_entry(number, 2)


# Requests with a fatal part.


async def no_two_requests_alike() -> list[str]:
    """No two requests with the fatal part are alike, one a second."""
    return await _check(Load())


async def first_part() -> list[str]:
    """The fatal part is the first one; no other prompt begins with it."""
    return await _check(Load(((FATAL_PART, "s0"),)))


async def several_at_once() -> list[str]:
    """Four such requests come together each second."""
    return await _check(Load(at_once=4))


async def quick_succession() -> list[str]:
    """Such requests come faster than crashed engines come back."""
    return await _check(Load(gap_s=0.15))


async def once_per_attempt() -> list[str]:
    """A route that sends each request to one target only."""
    return await _check(Load(gap_s=0.7), attempts=1)


async def rare() -> list[str]:
    """Bursts of such requests come with long pauses between them."""
    return await _check(Load(at_once=5, gap_s=7.0, for_s=60.0), attempts=1)


async def slow_engines() -> list[str]:
    """Prompts take long to read, and crashed engines to come back."""
    faults = []
    for seed in range(2):
        with (
            unittest.mock.patch.object(software, "FIRST_EVENT_S", 0.8),
            unittest.mock.patch.object(fatal_world, "DOWN_S", 4.0),
        ):
            load = Load(gap_s=0.6, sound=12, subjects=60)
            faults += await _check(load, attempts=1, entries=9, seed=seed)
    return faults


async def long_answers() -> list[str]:
    """Answers last for longer than the pause between crashes."""
    load = Load(gap_s=0.6, sound=8, subjects=60)
    async with World(attempts=1) as world:
        world.event_s = 0.6
        await play(world, dataclasses.replace(load, fatal=(), for_s=6.0))
        world.fatal = {FATAL_PART}
        await play(world, load)
        faults = checked(world, load)
        if world.held_parts() - {None} != {FATAL_PART}:
            faults.append(f"held are {world.held_parts()}")
        return faults


async def beside_other_crashes() -> list[str]:
    """Engines crash for other causes, too."""
    return await _check(Load(), _crash_now_and_then)


async def beside_failed_racks() -> list[str]:
    """Engines crash in groups, too."""
    return await _check(Load(), _crash_racks)


async def leader_lost_before_fifth() -> list[str]:
    """The leader is lost at the second crash."""
    return await _check(Load(), _at_crash(2, _lose_leader))


async def leader_lost_at_third() -> list[str]:
    """The leader is lost as it quarantines the part."""
    return await _check(Load(), _at_crash(3, _lose_leader))


async def entries_restarted() -> list[str]:
    """Two of three entries forget what they saw."""
    return await _check(Load(), _at_crash(2, _restart_two_entries))


async def all_entries_restarted() -> list[str]:
    """No entry remembers which parts it answered; leaders do count."""

    async def restart_entries(world: World) -> None:
        await asyncio.gather(*map(world.restart_entry, list(world.entries)))

    return await _check(Load(), _at_crash(1, restart_entries))


async def restarted_into_crashes() -> list[str]:
    """Nobody remembers anything as such requests come."""
    async with World() as world:
        await world.restart_all()
        world.fatal = {FATAL_PART}
        load = Load(gap_s=0.4, sound=12)
        await play(world, load)
        faults = checked(world, load)
        if world.held_parts() - {None} != {FATAL_PART}:
            faults.append(f"held are {world.held_parts()}")
        return faults


async def two_parts_in_turn() -> list[str]:
    """Two parts are fatal, each with requests of its own."""
    shared = ((FIRST_PART, "bad"), (FIRST_PART, "worse"))
    return await _check(Load(shared, gap_s=0.7), held=("bad", "worse"))


async def fatal_on_a_new_part() -> list[str]:
    """All requests have a part in common that was never served."""
    load = Load((("new", FATAL_PART),))
    faults = await _check(load)
    async with World() as world:
        world.fatal = {FATAL_PART}
        await play(world, load)
        outcomes = [await world.ask_parts(("new", "s0")) for _ in range(5)]
        codes = {outcome.code for outcome in outcomes}
        return faults + [f"others ended as {codes}"] * (codes != {"complete"})


async def part_turns_fatal() -> list[str]:
    """A popular part is served, and then crashes engines."""
    async with World() as world:
        load = Load(subjects=3)
        await play(world, dataclasses.replace(load, fatal=(), for_s=5.0))
        world.fatal = {"s0"}
        load = dataclasses.replace(load, fatal=((FIRST_PART, "s0"),))
        await play(world, load)
        faults = checked(world, load)
        if world.held_parts() - {None} != {"s0"}:
            faults.append(f"held are {world.held_parts()}")
        return faults


async def without_power() -> list[str]:
    """The quarantine of a part outlasts a restart of all processes."""
    async with World() as world:
        world.fatal = {FATAL_PART}
        await play(world, Load(for_s=10.0))
        before = len(world.crashes)
        await world.restart_all()
        await play(world, Load(for_s=10.0))
        faults = [f"{len(world.crashes) - before} more crashes"]
        return checked(world, Load()) + faults * (len(world.crashes) > before)


# Requests that share a part which isn't fatal.


async def fatal_request_is_no_fatal_part() -> list[str]:
    """A request that comes again is held, and no part of its prompt."""
    async with World() as world:
        shared = (FIRST_PART, "s0")
        world.fatal_bodies = {b"again"}
        for _ in range(6):
            await world.ask_parts(shared, body=b"again")
            await asyncio.sleep(1.0)
        faults = []
        if world.held_parts() != {None}:
            faults.append(f"held are {world.held_parts()}")
        since = asyncio.get_running_loop().time()
        await play(world, Load(fatal=(), for_s=10.0, subjects=1))
        share = world.share_begun(since)
        return faults + [f"{share:.2f} began"] * (share < LEAST_SHARE)


async def crashes_of_other_causes() -> list[str]:
    """Crashes alone, in groups and in quick succession blame no part."""
    faults = []
    for seed in range(3):
        async with World(seed=seed) as world:
            await play(
                world,
                Load(fatal=(), sound=12, subjects=30),
                _crash_now_and_then(world),
                _crash_racks(world),
                _crash_quickly(world),
            )
            if held := world.held_parts() - {None}:
                faults.append(f"seed {seed}: held are {held}")
    return faults


async def popular_part_runs_together() -> list[str]:
    """Requests with a popular part don't wait for one another."""
    (popular,) = quarantine.part_keys(
        quarantine.identity("m1"), fatal_world.POOL, [FIRST_PART]
    )
    acquire = _quarantine.Quarantine.acquire_exclusive
    waited = collections.Counter()

    async def record(leader, boot, key_ids, wait_s) -> bool:
        waited.update(key_ids)
        return await acquire(leader, boot, key_ids, wait_s)

    load = Load(fatal=(), for_s=8.0, subjects=1)
    async with World() as world:
        await play(world, load)
        load = dataclasses.replace(load, for_s=24.0)
        with unittest.mock.patch.object(
            _quarantine.Quarantine, "acquire_exclusive", record
        ):
            await play(world, load, _crash_quickly(world))
    times = waited[popular.id]
    return [f"{times} requests asked to run alone"] * (times > 0)


async def _crash_quickly(world: World) -> None:
    """Crash an engine each 0.4 s for a while."""
    await asyncio.sleep(10.0)
    for _ in range(20):
        await asyncio.sleep(0.4)
        world.rng.choice(world.targets).crash()


async def other_members_part() -> list[str]:
    """A member's prompts are not refused for another member's part."""
    async with World() as world:
        world.fatal = {FATAL_PART}
        await play(world, Load(for_s=10.0))
        world.fatal = set()
        shared = (FIRST_PART, FATAL_PART)
        own = await world.ask_parts(shared)
        other = await world.ask_parts(shared, caller="m2")
        found = (own.code, other.code)
        wanted = ("quarantined", "complete")
        return [f"ended as {found}"] * (found != wanted)


async def runs_again_after_hold() -> list[str]:
    """After the hold one request at a time finds out whether it is fatal."""
    hold = unittest.mock.patch.object(_quarantine, "HOLD_S", 8.0)
    with hold:
        async with World(attempts=1) as world:
            world.fatal = {FATAL_PART}
            load = Load(at_once=4, gap_s=0.5, for_s=6.0)
            await play(world, load)
            before = len(world.crashes)
            await asyncio.sleep(8.0)
            await play(world, load)
            crashes = len(world.crashes) - before
            faults = [f"{crashes} crashes after the hold"] * (crashes != 1)
            world.fatal = set()
            await asyncio.sleep(20.0)
            await play(world, dataclasses.replace(load, for_s=3.0))
            last = await world.ask_parts((FIRST_PART, FATAL_PART))
            if last.code != "complete" or world.held_parts():
                faults.append(f"no longer fatal, but {last.code}")
            return faults


async def operator_releases() -> list[str]:
    """A part that an operator released is not blamed again for the past."""
    async with World() as world:
        world.fatal = {FATAL_PART}
        await play(world, Load(for_s=10.0))
        (key_id,) = world.quarantined()
        world.fatal = set()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE, key_id, None, "op1", "operator"
        )
        leader = await world.leader()
        await leader.propose(wire.encode(catalogue.Command(put=put)))
        await asyncio.sleep(1.0)
        await world.stop(leader.member.address)
        await asyncio.sleep(3.0)
        shared = (FIRST_PART, FATAL_PART)
        outcomes = [await world.ask_parts(shared) for _ in range(4)]
        codes = {outcome.code for outcome in outcomes}
        return [f"ended as {codes}"] * (codes != {"complete"})


async def failed_answers_clear_nothing() -> list[str]:
    """An engine that fails such a request has not answered it."""
    async with World(attempts=1) as world:
        world.fatal = {FATAL_PART}
        world.fails_fatal = True
        await play(world, Load(gap_s=0.7))
        return world.late_arrivals(FATAL_PART)


async def part_is_named() -> list[str]:
    """A refused caller and the log are told which part it is."""
    async with World() as world:
        world.fatal = {FATAL_PART}
        await play(world, Load(for_s=10.0))
        with unittest.mock.patch.object(observe, "log_event") as log_event:
            await world.ask_parts((FIRST_PART, FATAL_PART))
        error = world.last_error
        faults = []
        if error is None or FATAL_PART not in error.message:
            faults.append(f"told {error}")
        elif error.ran is not wire.RunStatus.NOT_RUN:
            faults.append(f"said to have run: {error.ran}")
        named = [
            call.kwargs.get("prompt_part")
            for call in log_event.call_args_list
            if call.args == ("route", "held")
        ]
        return faults + [f"logged {named}"] * (named != [FATAL_PART])


# Counting.


def _observed(
    request: str,
    target: str,
    ended_ago_s: float,
    *parts: str,
    end: quarantine.RunEnd = quarantine.RunEnd.LOST,
    served_ago_s: float | None = None,
) -> quarantine.Observation:
    found = tuple(
        quarantine.ObservedPart(part, part, served_ago_s) for part in parts
    )
    return quarantine.Observation(
        request, "m1", fatal_world.POOL, target, ended_ago_s, end, found
    )


def _blamed(
    observations: collections.abc.Iterable[quarantine.Observation],
) -> set[str]:
    """Return the keys that some observations blame, in their order."""
    counter = quarantine.LossCounter()
    blamed = set()
    for observation in observations:
        counter.take(observation, 100.0)
        for key in observation.keys():
            if key.id in blamed or counter.is_to_blame(key.id):
                blamed.add(key.id)
                counter.blame(key, observation)
                break
    return blamed


async def narrowest_explanation() -> list[str]:
    """What explains all losses, and most narrowly, is blamed."""
    alike = [_observed("w", f"t{n}", 9.0 - n, "f", "x") for n in range(3)]
    shared = [_observed(f"w{n}", f"t{n}", 9 - n, "f", "x") for n in range(3)]
    victims = [_observed(f"v{n}", f"t{n}", 9 - n, "f", "s") for n in range(3)]
    beside = [*victims[:2], *shared, victims[2]]
    wide = [_observed(f"w{n}", f"t{n}", 9 - n, "f", f"x{n}") for n in range(3)]
    served = [
        dataclasses.replace(
            one,
            parts=(quarantine.ObservedPart("f", "f", 12.0), *one.parts[1:]),
        )
        for one in wide
    ]
    retried = [
        _observed(f"w{n // 2}", f"t{n}", 9.0 - n, "f", "x") for n in range(4)
    ]
    mostly = [*alike[:2], _observed("v", "t2", 7.0, "f", "x")]
    once = [_observed(f"w{n}", f"t{n}", 9 + n / 9, "f", "x") for n in range(3)]
    answer = _observed("", "t9", 5, "f", "x", end=quarantine.RunEnd.SERVED)
    cases = (
        (alike, {"w"}),
        (shared, {"x"}),
        (beside, {"x"}),
        (wide, {"f"}),
        (served, set()),
        (retried, {"x"}),
        (mostly, set()),
        (once, set()),
        ([*shared, answer], {"x"}),
        ([answer, *shared], set()),
    )
    return [
        f"case {number}: blamed {sorted(_blamed(observations))}"
        for number, (observations, wanted) in enumerate(cases)
        if _blamed(observations) != wanted
    ]


PART_OBSERVATIONS = strategies.builds(
    _observed,
    strategies.sampled_from(["w1", "w2", "w3"]),
    strategies.sampled_from(["t1", "t2", "t3", "t4"]),
    strategies.floats(0.0, 60.0),
    strategies.sampled_from(["f", "g"]),
    strategies.sampled_from(["x", "y"]),
    end=strategies.sampled_from(
        [quarantine.RunEnd.LOST, quarantine.RunEnd.SERVED]
    ),
)


async def any_order() -> list[str]:
    """Counts of parts don't depend on order or duplicates."""

    def ends(observations) -> list[int]:
        counter = quarantine.LossCounter()
        for observation in observations:
            counter.take(observation, 100.0)
        return [counter.ends(key_id) for key_id in ("w1", "f", "x")]

    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.lists(
            PART_OBSERVATIONS, max_size=8, unique_by=lambda o: (o.target)
        ),
        strategies.randoms(use_true_random=False),
    )
    def check(observations, rng) -> None:
        shuffled = observations + [
            one for one in observations if rng.random() < 0.5
        ]
        rng.shuffle(shuffled)
        assert ends(shuffled) == ends(observations)

    check()
    return []


async def made_up_parts_evict_nobody() -> list[str]:
    """A member's thousands of parts evict no suspect of another member.

    Nor do parts that were lost once evict one that was lost twice. Memory is
    bounded.
    """
    counter = quarantine.LossCounter()
    for number in range(2):
        counter.take(
            _observed(f"w{number}", f"t{number}", 5.0 - number, "f", "x"),
            100.0,
        )
    for member in ("m1", "m2"):
        for number in range(5_000):
            parts = (f"{member}-{number}", f"{member}-{number}-b")
            observation = _observed(f"{member}w{number}", "t9", 1.0, *parts)
            counter.take(
                dataclasses.replace(observation, member=member), 100.0
            )
    faults = []
    if counter.ends("x") != 2:
        faults.append(f"{counter.ends('x')} of 2 losses are remembered")
    if len(counter) > 2 * _ends.MAX_SUSPECTS_PER_MEMBER:
        faults.append(f"{len(counter)} suspects are kept")
    return faults


async def held_for_another_pool() -> list[str]:
    """A part held for one pool is held at its first loss in another one.

    Unless prompts with it were answered there lately.
    """
    faults = []
    for served_ago_s, wanted in ((None, 1), (20.0, 0)):
        value = catalogue.Quarantine("m1", "other", 3, part="x")
        view = catalogue.View()
        view.apply(
            catalogue.Effect(
                7,
                catalogue.Kind.QUARANTINE,
                "id",
                wire.encode(value).decode(),
            )
        )
        commands = []

        async def propose(command: catalogue.Command) -> None:
            commands.append(command)

        leader = _quarantine.Quarantine(
            3, lambda: view, propose, wire.LoopClock()
        )
        loss = _observed("w", "t1", 1.0, "x", served_ago_s=served_ago_s)
        now = asyncio.get_running_loop().time()
        await leader.record_observations("b1", [loss], now)
        if len(commands) != wanted:
            faults.append(f"served {served_ago_s} s ago: {commands}")
    return faults


SCENARIOS = {
    work.__name__: work
    for work in (
        no_two_requests_alike,
        first_part,
        several_at_once,
        quick_succession,
        once_per_attempt,
        rare,
        slow_engines,
        long_answers,
        beside_other_crashes,
        beside_failed_racks,
        leader_lost_before_fifth,
        leader_lost_at_third,
        entries_restarted,
        all_entries_restarted,
        restarted_into_crashes,
        two_parts_in_turn,
        fatal_on_a_new_part,
        part_turns_fatal,
        without_power,
        fatal_request_is_no_fatal_part,
        crashes_of_other_causes,
        popular_part_runs_together,
        other_members_part,
        runs_again_after_hold,
        operator_releases,
        failed_answers_clear_nothing,
        part_is_named,
        narrowest_explanation,
        any_order,
        made_up_parts_evict_nobody,
        held_for_another_pool,
    )
}


async def _allow(*_: object) -> bool:
    """Allow every run."""
    return True


# Each mutant: name, the scenario that must fail, and the patch (object,
# attribute, replacement) that disables a guard.
MUTANTS = (
    (
        "count whole requests only",
        "no_two_requests_alike",
        (quarantine, "part_keys", lambda *_: ()),
    ),
    (
        "blame a part for the losses of one request",
        "narrowest_explanation",
        (_ends, "MIN_ENDS_BEYOND_NARROWER", 0),
    ),
    (
        "blame a popular part as soon as a new one",
        "narrowest_explanation",
        (_ends, "MAX_ENDS_OF_SERVED", _ends.MAX_ENDS),
    ),
    (
        "let a loss count for all keys though one explains it",
        "narrowest_explanation",
        (_ends.LossCounter, "blame", lambda *_: None),
    ),
    (
        "excuse a part by a narrower one that is answered",
        "first_part",
        (
            _ends.LossCounter,
            "_targets",
            lambda counter, key_id: (
                list(counter.find(key_id).loss_by_target)
                if counter.find(key_id)
                else []
            ),
        ),
    ),
    (
        "remember no answered parts",
        "popular_part_runs_together",
        (_served.ServedParts, "served_at", lambda *_: None),
    ),
    (
        "run requests with a suspected part together",
        "rare",
        (_quarantine.Quarantine, "acquire_exclusive", _allow),
    ),
    (
        "run all requests at once after the hold",
        "runs_again_after_hold",
        (catalogue.View, "released_keys", frozenset()),
    ),
    (
        "report explained losses again",
        "operator_releases",
        (quarantine.Observations, "forget", lambda *_: None),
    ),
    (
        "take a failure for an answer",
        "failed_answers_clear_nothing",
        (_fatal, "CLIENT_ERROR", 1_000),
    ),
    (
        "know nothing of other pools",
        "held_for_another_pool",
        (
            _quarantine.Quarantine,
            "_is_held_elsewhere",
            lambda *_: False,
        ),
    ),
)


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run a mutant's scenario with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
