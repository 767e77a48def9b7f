"""Requests that end the targets that run them, in virtual time.

Users saw a pool of six lose nine engines to one request: its caller came
again after each end, at any entry, under a new attempt id, and nothing knew
it again. Replicas, sessions and forwarders are real here; targets are small
oracles that count what reached them, and end on some bodies.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import math
import random
import unittest.mock

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _quarantine
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail.quarantine import _ends
from bergamotsail import routing
from bergamotsail.routing import _fatal
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import fatal
from features.support import growth
from features.support import ledger

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
MOST_ENDS = 3


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


class _Exchange:
    """A request to a target, as the client of HTTP gives it."""

    def __init__(self, target: Target, expected: str, body: bytes) -> None:
        self._target = target
        self._expected = expected
        self._body = body
        self.sent = False

    async def __aenter__(self) -> "_Exchange":
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


class _Http:
    """Sends to the targets of a world."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def open(
        self, request: wire.HttpRequest, target: str, headers: routing.Headers
    ) -> _Exchange:
        address = request.url.removeprefix("http://").strip("/")
        found = next(t for t in self._world.targets if t.address == address)
        return _Exchange(found, dict(headers)["expect"], request.body)


class _Dialect(routing.Dialect):
    """Says which start is expected, and reads nothing but the status."""

    def outgoing(self, request, destination) -> routing.Headers:
        return (("expect", destination.target),)

    def read(self, request, head) -> routing.Reading:
        absent = head.status == 421
        return routing.Reading(True, absent, absent, True)

    def returning(self, head) -> routing.Headers:
        return ()


class _Answer(routing.CallerAnswer):
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


class _Entry(control.Bystander):
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
        self.forwarder = routing.Forwarder(
            self.session,
            unittest.mock.Mock(),
            routing.ServiceChoice(datacentre, random.Random(number)),
            routing.RepeatBudgets(10.0, 1e6, lambda: 3),
            _Http(world),
            _Dialect(),
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


class World(growth.Deployed):
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
        third = sorted(ends)[MOST_ENDS - 1] if len(ends) >= MOST_ENDS else None
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


# What is counted.


def _observed(
    target: str, ended_ago_s: float, served: bool = False
) -> quarantine.Observation:
    end = quarantine.RunEnd.SERVED if served else quarantine.RunEnd.LOST
    return quarantine.Observation("id", "m1", POOL, target, ended_ago_s, end)


def _count(words: collections.abc.Iterable[quarantine.Observation]) -> int:
    counter = quarantine.EndCounter()
    suspect = None
    for word in words:
        suspect = counter.take(word, 100.0)
    return 0 if suspect is None else suspect.ends


WORDS = strategies.builds(
    _observed,
    strategies.sampled_from(["t1", "t2", "t3", "t4", "t5"]),
    strategies.floats(0.0, 60.0),
    strategies.booleans(),
)


async def any_order() -> list[str]:
    """Words that come in any order and twice count the same."""

    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.lists(
            WORDS, max_size=8, unique_by=lambda w: (w.target, w.end)
        ),
        strategies.randoms(use_true_random=False),
    )
    def check(words, rng) -> None:
        shuffled = words + [w for w in words if rng.random() < 0.5]
        rng.shuffle(shuffled)
        assert _count(shuffled) == _count(words)

    check()
    return []


async def one_event_counts_once() -> list[str]:
    """A rack that goes is one event; ends one after the other are several.

    Three copies run as three targets go at one moment: that says nothing of
    them. The same three targets one after the other do.
    """
    rack = [_observed(f"t{n}", 3.0 - n / 100) for n in range(3)]
    turns = [_observed(f"t{n}", 8.0 - 2 * n) for n in range(3)]
    served = [*turns, _observed("t9", 0.5, True)]
    again = [*turns, _observed("t9", 5.0, True)]
    found = [_count(words) for words in (rack, turns, served, again)]
    return [] if found == [1, 3, 0, 1] else [f"counted {found}"]


async def strange_words() -> list[str]:
    """Ages that are huge, negative or no numbers hold nothing back alone."""
    ages = [-1e9, -1.0, 0.0, 1e12, math.inf, -math.inf, math.nan]
    counts = [_count([_observed("t1", age) for _ in range(5)]) for age in ages]
    return [f"counted {counts}"] if max(counts) > 1 else []


async def members_apart() -> list[str]:
    """No member's thousands push another's requests out.

    Nor do its own push out one that was lost twice.
    """
    counter = quarantine.EndCounter()
    first = quarantine.Observation("own", "m1", POOL, "t1", 1.0)
    counter.take(first, 100.0)
    for number in range(5_000):
        other = quarantine.Observation(
            f"o{number}", "m2", POOL, f"t{number}", 1.0
        )
        counter.take(other, 100.0)
    second = quarantine.Observation("own", "m1", POOL, "t2", 0.0)
    faults = []
    if (ends := counter.take(second, 100.0).ends) != 2:
        faults.append(f"{ends} of 2 ends are remembered")
    for number in range(5_000):
        beside = quarantine.Observation(f"b{number}", "m1", POOL, "t3", 1.0)
        counter.take(beside, 101.0)
    if (ends := counter.ends("own")) != 2:
        faults.append(f"{ends} of 2 ends are remembered among its own")
    for number in range(5_000):
        many = quarantine.Observation("x", f"m{number}", POOL, "t1", 1.0)
        counter.take(many, 102.0)
    most = _ends.MOST_BY_MEMBER * _ends.MOST_MEMBERS
    return faults + (
        [f"{len(counter)} are kept"] if len(counter) > most else []
    )


# What callers get.


async def comes_again() -> list[str]:
    """One request at any entry: three targets end, the rest is refused."""
    async with World() as world:
        world.fatal = {b"bad"}
        got = await world.ask_again(b"bad", 12)
        faults = world.faults(b"bad", 0)
        if got[4:] != ["quarantined"] * 8:
            faults.append(f"it got {got}")
        others = [await world.ask(f"q{n}".encode()) for n in range(20)]
        if set(others) != {"served"}:
            faults.append(f"others got {others}")
        if await world.ask(b"bad", caller="m2") == "quarantined":
            faults.append("another member's request was held back")
        return faults


async def at_all_at_once() -> list[str]:
    """Copies at all entries in one moment, again and again."""
    async with World() as world:
        world.fatal = {b"bad"}
        for _ in range(5):
            await asyncio.gather(*(world.ask(b"bad", at=n) for n in range(6)))
            await asyncio.sleep(1.5)
        return world.faults(b"bad")


async def leader_lost_before_third() -> list[str]:
    """The leader is lost after two ends; the next one is told of them."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 2)
        await world.stop((await world.leader()).member.address)
        await asyncio.sleep(3.0)
        await world.ask_again(b"bad", 10)
        ends = len(world.ended)
        faults = world.faults(b"bad", 0)
        return faults + ([f"{ends} ended"] if ends > 4 else [])


async def leader_lost_after_third() -> list[str]:
    """The leader is lost at the third end."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 2)
        lost = (await world.leader()).member.address
        asking = asyncio.create_task(world.ask(b"bad"))
        await asyncio.sleep(CRASH_S + 0.02)
        await world.stop(lost)
        await asking
        await asyncio.sleep(2.0)
        await world.ask_again(b"bad", 10)
        return world.faults(b"bad")


async def all_without_power() -> list[str]:
    """All lose power; what was held back still is."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 5)
        before = len(world.ended)
        await world.restart_all()
        got = await world.ask_again(b"bad", 6)
        faults = [] if len(world.ended) == before else ["more targets ended"]
        if set(got) != {"quarantined"}:
            faults.append(f"it got {got}")
        return faults


async def under_its_name() -> list[str]:
    """Targets come back under their names: other starts are others."""
    async with World(count=2) as world:
        for target in world.targets:
            target.keeps_name = True
        await asyncio.sleep(1.0)
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 12, gap_s=2.0)
        return world.faults(b"bad", 0)


async def two_members() -> list[str]:
    """Two of two members at once: each is held back for itself."""
    async with World() as world:
        world.fatal = {b"bad", b"worse"}
        await asyncio.gather(
            world.ask_again(b"bad", 14),
            world.ask_again(b"worse", 14, 1.1, "m2"),
        )
        return world.faults(b"bad") + world.faults(b"worse")


async def within_one_attempt() -> list[str]:
    """One attempt that may run at many targets ends three at most."""
    async with World(attempts=20) as world:
        world.fatal = {b"bad"}
        await world.ask(b"bad")
        ended = len(world.ended)
        return [f"{ended} ended"] if ended > MOST_ENDS else []


async def beside_it() -> list[str]:
    """Requests beside the one that ends targets are served in the end.

    Each caller comes again up to four times. Those that ran beside it end
    with the same targets, and must not be taken for it.
    """
    async with World(entries=6, count=6) as world:
        world.fatal = {b"bad"}

        async def one(number: int) -> str:
            await asyncio.sleep(number * 0.02)
            for _ in range(4):
                got = await world.ask(f"good {number}".encode())
                if got in ("served", "quarantined"):
                    return got
                await asyncio.sleep(0.1)
            return got

        asking = [asyncio.create_task(one(n)) for n in range(600)]
        await world.ask_again(b"bad", 12)
        got = collections.Counter(await asyncio.gather(*asking))
        faults = world.faults(b"bad")
        if got["quarantined"] or got["served"] < 590:
            faults.append(f"others got {dict(got)}")
        return faults


async def popular_in_a_rack() -> list[str]:
    """A request that all send is not held back as racks and links go.

    Targets go three at a time, and connections are cut, while the same read
    runs at all of them.
    """
    async with World(entries=6, count=6) as world:
        got: collections.Counter[str] = collections.Counter()

        async def reading() -> None:
            while True:
                got[await world.ask(b"popular")] += 1
                await asyncio.sleep(0.05)

        tasks = [asyncio.create_task(reading()) for _ in range(12)]
        for turn in range(8):
            await asyncio.sleep(1.5)
            for target in world.targets[turn % 2 :: 2]:
                target.cut() if turn % 3 == 2 else target.end()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return [f"{dict(got)}"] if got["quarantined"] else []


async def runs_again_later() -> list[str]:
    """It may run again later: one more end holds it longer, a good one frees.

    An operator releases it at once.
    """
    hold = unittest.mock.patch.object(_quarantine, "HOLD_S", 6.0)
    with hold:
        return await _runs_again_later()


async def _runs_again_later() -> list[str]:
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 5)
        ended = len(world.ended)
        await asyncio.sleep(_quarantine.hold_s(MOST_ENDS) + 1.0)
        await world.ask_again(b"bad", 4)
        faults = []
        if len(world.ended) != ended + 1:
            faults.append(f"{len(world.ended) - ended} ended, not 1, later")
        await asyncio.sleep(_quarantine.hold_s(MOST_ENDS) + 1.0)
        if await world.ask(b"bad") != "quarantined":
            faults.append("it was not held for longer")
        world.fatal = set()
        await asyncio.sleep(_quarantine.hold_s(MOST_ENDS) + 1.0)
        got = await world.ask_again(b"bad", 3)
        if got != ["served"] * 3 or world.held():
            faults.append(f"mended, it got {got}")
        return faults


async def operator_releases() -> list[str]:
    """An operator deletes the entry, and the request runs again."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 5)
        (identity,) = world.held()
        world.fatal = set()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE, identity, None, "op1", "operator"
        )
        leader = await world.leader()
        await leader.propose(wire.encode(catalogue.Command(put=put)))
        await asyncio.sleep(1.0)
        got = await world.ask(b"bad")
        return [] if got == "served" else [f"it got {got}"]


async def released_for_good() -> list[str]:
    """What an operator let run is not held for what was seen before.

    A new leader is told again of what daemons saw in the last minutes.
    """
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_again(b"bad", 5)
        (identity,) = world.held()
        leader = await world.leader()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE, identity, None, "op1", "operator"
        )
        await leader.propose(wire.encode(catalogue.Command(put=put)))
        await asyncio.sleep(1.0)
        await world.stop(leader.member.address)
        await asyncio.sleep(3.0)
        world.fatal = set()
        got = await world.ask_again(b"bad", 2)
        return [] if got == ["served"] * 2 else [f"it got {got}"]


async def served_before() -> list[str]:
    """A whole answer of before does not free what ended targets since.

    A daemon tells a later leader of it before it has heard of the verdict.
    """
    value = wire.encode(catalogue.Quarantine("m1", POOL, MOST_ENDS)).decode()
    view = catalogue.View()
    view.apply(catalogue.Effect(7, catalogue.Kind.QUARANTINE, "id", value))
    commands = []

    async def propose(command: catalogue.Command) -> None:
        commands.append(command)

    leader = _quarantine.Quarantine(3, lambda: view, propose, wire.LoopClock())
    loop = asyncio.get_running_loop()
    await leader.tend()
    await leader.take("b1", [_observed("t1", 30.0, True)], loop.time())
    faults = ["what was served before freed it"] if commands else []
    await asyncio.sleep(2.0)
    await leader.take("b1", [_observed("t2", 1.0, True)], loop.time())
    if [command.put.value for command in commands] != [None]:
        faults.append(f"what was served since did: {commands}")
    return faults


async def random_loads() -> list[str]:
    """Random ends, cuts, kills and copies; the targets count."""
    return [fault for seed in range(2) for fault in await _random(seed)]


async def _random(seed: int) -> list[str]:
    rng = random.Random(seed)
    async with World(seed=seed + 1) as world:
        bad = [b"bad", b"worse"][: rng.randint(1, 2)]
        world.fatal = set(bad)
        got: collections.Counter[str] = collections.Counter()

        async def caller(body: bytes, wait_s: float) -> None:
            while True:
                await asyncio.sleep(rng.expovariate(1 / wait_s))
                got[body.decode()[:4], await world.ask(body)] += 1

        tasks = [
            asyncio.create_task(caller(body, rng.uniform(0.5, 2.0)))
            for body in bad
            for _ in range(rng.randint(1, 3))
        ]
        tasks += [
            asyncio.create_task(caller(f"good{n}".encode(), 0.5))
            for n in range(20)
        ]
        for _ in range(rng.randint(2, 5)):
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            await _mishap(world, rng)
        await asyncio.sleep(12.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        faults = [
            f"seed {seed}: {fault}"
            for body in bad
            for fault in world.faults(body, MOST_AFTER)
        ]
        if got["good", "quarantined"]:
            faults.append(f"seed {seed}: {dict(got)}")
        return faults


async def _mishap(world: World, rng: random.Random) -> None:
    what = rng.randrange(4)
    if what == 0:
        rng.choice(world.targets).end()
    elif what == 1:
        rng.choice(world.targets).cut()
    elif what == 2:
        await world.restart_entry(rng.choice(world.entries))
    else:
        address = (await world.leader()).member.address
        await world.stop(address)
        await asyncio.sleep(1.0)
        await world.start(address)


SCENARIOS = {
    work.__name__: work
    for work in (
        any_order,
        one_event_counts_once,
        strange_words,
        members_apart,
        comes_again,
        at_all_at_once,
        leader_lost_before_third,
        leader_lost_after_third,
        all_without_power,
        under_its_name,
        two_members,
        within_one_attempt,
        beside_it,
        popular_in_a_rack,
        runs_again_later,
        operator_releases,
        released_for_good,
        served_before,
        random_loads,
        fatal.fatal_prompt,
        fatal.fatal_call,
    )
}


def _told_once(seen: quarantine.Observations, term: int) -> tuple:
    """Tell a new leader nothing that another was told."""
    seen._told_term = term
    return _pending(seen, term)


def _put_in_order(
    own: _ends._MemberSuspects, identity: str, suspect: quarantine.Suspect
) -> str | None:
    """Put a suspect last; the oldest makes room."""
    own.drop(identity)
    own.once[identity] = suspect
    if len(own) <= _ends.MOST_BY_MEMBER:
        return None
    return own.once.popitem(last=False)[0]


async def _never(_: object) -> None:
    """Do nothing."""


async def _always(*_: object) -> bool:
    """Grant all."""
    return True


# Each switches a guard off: its name, its scenario, what it patches.
MUTANTS = (
    (
        "never refuse",
        "comes_again",
        (_fatal.FatalGuard, "check", lambda *_: None),
    ),
    (
        "keep nothing in the log",
        "all_without_power",
        (catalogue.View, "quarantine_by_id", property(lambda view: {})),
    ),
    (
        "let owners send what is held back",
        "fatal_prompt",
        fatal.NOTHING_HELD,
    ),
    (
        "tell each thing once in all",
        "leader_lost_before_third",
        (quarantine.Observations, "pending", _told_once),
    ),
    (
        "count each target of a rack",
        "one_event_counts_once",
        (_ends, "SEPARATE_S", -1.0),
    ),
    (
        "never clear",
        "popular_in_a_rack",
        (_fatal.FatalGuard, "served", lambda *_: None),
    ),
    (
        "run copies side by side",
        "at_all_at_once",
        (_quarantine.Quarantine, "run_alone", _always),
    ),
    (
        "let what was lost once push out what was lost again",
        "members_apart",
        (_ends._MemberSuspects, "put", _put_in_order),
    ),
    (
        "send one attempt on and on",
        "within_one_attempt",
        (quarantine, "MOST_ENDS", 100),
    ),
    (
        "tell again what was judged",
        "released_for_good",
        (quarantine.Observations, "forget", lambda *_: None),
    ),
    (
        "free what was served before it was held",
        "served_before",
        (_quarantine.Quarantine, "_known_since", lambda *_: -math.inf),
    ),
    (
        "hold for good",
        "runs_again_later",
        (_quarantine.Quarantine, "tend", _never),
    ),
)
_pending = quarantine.Observations.pending


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run a scenario with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.switched_off(guard):
        return run_scenario(scenario)
