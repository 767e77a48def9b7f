"""Targets that report in response headers that they are leaving or paused.

Guards against two failures. A leaving engine got requests for seconds after
its own responses had announced it, because daemons used only the instance
list, which lags. An engine at capacity got more requests during the pause
that it had asked for. Replicas, sessions and forwarders are real; targets
are fakes that record the requests that reach them.
"""

import asyncio
import collections
import collections.abc
import contextlib
import math
import random
import typing
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import placement
from bergamotsail import routing
from bergamotsail.routing import _sending
from bergamotsail import targets
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger

LEAVING = "leaving"
PAUSE = "pause"
# Requests already in flight when a pause begins may still arrive for this
# long.
IN_FLIGHT_S = 0.5
MAX_SENDS_IN_PAUSE = 2
LIST_LAG_S = 3.0
PROPAGATION_S = 1.0


class Arrival(typing.NamedTuple):
    """A request that reached a target, and the state the target reported."""

    at: float
    entry: int
    target: str
    leaving: bool
    pause_s: float


class Exchange(fatal_world.Exchange):
    """A request to a target that may report that it is leaving or paused."""

    def __init__(
        self,
        world: "World",
        entry: int,
        target: fatal_world.Target,
        expected: str,
        body: bytes,
    ) -> None:
        super().__init__(target, expected, body)
        self._world = world
        self._entry = entry

    async def head(self) -> wire.ReplyHead:
        target, world = self._target, self._world
        if not target.up or target.id != self._expected:
            return await super().head()
        self.connect()
        leaving = target.id in world.leaving
        pause_s = world.pause_by_target.get(target.id, 0.0)
        now = asyncio.get_running_loop().time()
        arrival = Arrival(now, self._entry, target.id, leaving, pause_s)
        world.reached.append(arrival)
        headers = []
        if leaving:
            headers.append((LEAVING, "1"))
        if pause_s:
            headers.append((PAUSE, str(pause_s)))
            return wire.ReplyHead(503, tuple(headers))
        head = await super().head()
        return wire.ReplyHead(head.status, tuple(headers))


class Http(fatal_world.Http):
    """A client for targets that may report that they are leaving or paused."""

    def exchange(
        self, target: fatal_world.Target, expected: str, body: bytes
    ) -> Exchange:
        return Exchange(self._world, self._entry, target, expected, body)


class Dialect(fatal_world.Dialect):
    """Reads the leaving and pause headers of responses."""

    def read(self, request, head) -> routing.ParsedHead:
        absent = head.status == 421
        return routing.ParsedHead(
            True,
            absent or head.status == 503,
            absent,
            True,
            targets.parse_flag(head.all(LEAVING)),
            targets.parse_seconds(head.all(PAUSE)),
        )


class LaggingList(targets.InstanceList):
    """Lists targets as of LIST_LAG_S ago; leaving ones are listed as live."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._seen: collections.deque = collections.deque()

    async def read(self) -> tuple[targets.Instance, ...]:
        now = asyncio.get_running_loop().time()
        listed = tuple(t.listed() for t in self._world.targets if t.up)
        self._seen.append((now, listed))
        while len(self._seen) > 1 and self._seen[1][0] <= now - LIST_LAG_S:
            self._seen.popleft()
        return self._seen[0][1]


class World(fatal_world.World):
    """Entries with targets that may report that they are leaving or paused."""

    def __init__(
        self, entries: int = 6, count: int = 3, seed: int = 1
    ) -> None:
        super().__init__(entries, count, seed, attempts=3)
        self.leaving: set[str] = set()
        self.pause_by_target: dict[str, float] = {}
        self.reached: list[Arrival] = []
        self.dialect = Dialect()
        self.instances = LaggingList(self)

    def make_http(self, entry: int) -> Http:
        return Http(self, entry)

    async def send_requests(
        self, for_s: float, gap_s: float, at: int | None = None
    ) -> list[str]:
        """Send requests at a fixed interval; return the outcome of each."""
        asking = []
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        while loop.time() < until:
            asking.append(asyncio.create_task(self.ask(b"x", at)))
            await asyncio.sleep(gap_s)
        return await asyncio.gather(*asking)

    def sends_after_leaving(self, allowed_s: float = 0.0) -> list[str]:
        """List entries that sent to a target known to them to be leaving.

        Args:
            allowed_s: how long after the first entry learned of it the
                other entries may still send; 0 skips that check.
        """
        told_at_by_pair: dict[tuple[int, str], float] = {}
        first_told_at: dict[str, float] = {}
        faults = set()
        for arrival in self.reached:
            if not arrival.leaving:
                continue
            key = (arrival.entry, arrival.target)
            told_at = told_at_by_pair.setdefault(key, arrival.at)
            first_at = first_told_at.setdefault(arrival.target, arrival.at)
            # Requests in flight at that moment may still arrive.
            if arrival.at > told_at + fatal_world.RUN_S:
                faults.add(
                    f"entry {arrival.entry} kept sending to a leaving target"
                )
            if allowed_s and arrival.at > first_at + allowed_s:
                faults.add(
                    f"entry {arrival.entry} did not learn that it is leaving"
                )
        return sorted(faults)

    def sends_in_pauses(self) -> list[str]:
        """List entries that sent to a target in a pause reported to them."""
        by_pair: dict[tuple[int, str], list[Arrival]] = (
            collections.defaultdict(list)
        )
        for arrival in self.reached:
            by_pair[(arrival.entry, arrival.target)].append(arrival)
        faults = []
        for (entry, target), arrivals in by_pair.items():
            for refused in arrivals:
                late = [
                    a
                    for a in arrivals
                    if refused.at + IN_FLIGHT_S
                    < a.at
                    < refused.at + refused.pause_s
                ]
                if len(late) > MAX_SENDS_IN_PAUSE:
                    faults.append(
                        f"entry {entry} sent {len(late)} requests to"
                        f" paused target {target}"
                    )
        return faults[:3]


async def leaving_ahead_of_the_list() -> list[str]:
    """All entries stop sending once one learns of it, ahead of the list."""
    async with World() as world:
        world.leaving.add(world.targets[0].id)
        outcomes = await world.send_requests(LIST_LAG_S + 2.0, 0.02)
        faults = world.sends_after_leaving(PROPAGATION_S)
        return faults + _unserved(outcomes, 0)


async def leaving_while_cut_off() -> list[str]:
    """An entry cut off from the leader still obeys what targets report."""
    async with World() as world:
        world.network.isolate(world.entries[0].session.daemon.address)
        await asyncio.sleep(3.0)
        world.leaving.add(world.targets[0].id)
        outcomes = await world.send_requests(3.0, 0.05, at=0)
        return world.sends_after_leaving() + _unserved(outcomes, 0)


async def leaving_across_leader_change() -> list[str]:
    """Entries report a leaving target again to a new leader."""
    async with World() as world:
        world.leaving.add(world.targets[0].id)
        await world.send_requests(2.0, 0.05)
        leader = await world.leader()
        await world.stop(
            next(a for a, n in world.node_by_address.items() if n is leader)
        )
        outcomes = await world.send_requests(6.0, 0.05)
        infos = world.entries[1].session.digest.target_by_id
        info = infos[world.targets[0].id]
        faults = (
            []
            if info.leaving
            else ["the new leader does not know that the target is leaving"]
        )
        return faults + world.sends_after_leaving() + _unserved(outcomes, 0)


async def next_incarnation_gets_requests() -> list[str]:
    """The leaving state of one incarnation does not apply to the next."""
    async with World(count=2) as world:
        target = world.targets[0]
        target.keeps_name = True
        await asyncio.sleep(LIST_LAG_S + 1.0)
        world.leaving.add(target.id)
        await world.send_requests(2.0, 0.05)
        target.crash()
        await asyncio.sleep(LIST_LAG_S + 4.0)
        outcomes = await world.send_requests(2.0, 0.05)
        again = [a for a in world.reached if a.target == target.id]
        faults = [] if again else ["the next incarnation got no requests"]
        return faults + world.sends_after_leaving() + _unserved(outcomes, 0)


async def paused() -> list[str]:
    """A paused target gets no requests until its pause ends, then some."""
    async with World(entries=2, count=2) as world:
        target = world.targets[0].id
        world.pause_by_target[target] = 8.0
        loop = asyncio.get_running_loop()
        outcomes = await world.send_requests(9.0, 0.01)
        del world.pause_by_target[target]
        ended_at = loop.time()
        outcomes += await world.send_requests(10.0, 0.01)
        back = [
            a
            for a in world.reached
            if a.target == target and a.at > ended_at + 8.1
        ]
        faults = [] if back else ["the target got no requests after its pause"]
        return faults + world.sends_in_pauses() + _unserved(outcomes, 0)


async def paused_for_forty_entries() -> list[str]:
    """A target that pauses forty daemons gets few requests from each."""
    async with World(entries=40, count=4) as world:
        world.pause_by_target[world.targets[0].id] = 2.0
        outcomes = await world.send_requests(5.0, 0.01)
        return world.sends_in_pauses() + _unserved(outcomes, 0)


async def all_paused() -> list[str]:
    """Requests whose deadline is after the end of the pause are served."""
    async with World() as world:
        for target in world.targets:
            world.pause_by_target[target.id] = 1.0
        await world.send_requests(0.5, 0.02)
        world.pause_by_target.clear()
        outcomes = await world.send_requests(2.0, 0.05)
        return world.sends_in_pauses() + _unserved(outcomes, 0)


async def all_paused_for_long() -> list[str]:
    """A request whose deadline is within the pause is refused at once.

    The error's retry_after_s is the time that is left of the pause.
    """
    async with World(entries=1) as world:
        for target in world.targets:
            world.pause_by_target[target.id] = 60.0
        await world.send_requests(0.5, 0.1)
        entry = world.entries[0]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request = routing.CallerRequest(
            "late",
            "POST",
            fatal_world.HOST,
            "/",
            "/",
            (),
            b"",
            15.0,
            started_at,
        )
        error: wire.ServingError | None = None
        try:
            await entry.forwarder.serve(request, unittest.mock.Mock(started=0))
        except wire.ServingError as refused:
            error = refused
        faults = []
        if loop.time() - started_at > 0.1:
            faults.append(
                "the request waited instead of being refused at once"
            )
        left_s = error.retry_after_s if error is not None else None
        if left_s is None or not 50.0 < left_s <= 60.0:
            faults.append(f"retry_after_s is {left_s}")
        return faults + world.sends_in_pauses()


async def paused_without_leader() -> list[str]:
    """Pauses are obeyed while there is no leader."""
    async with World() as world:
        for address in world.addresses[:2]:
            await world.stop(address)
        world.pause_by_target[world.targets[0].id] = 2.0
        outcomes = await world.send_requests(5.0, 0.02)
        return world.sends_in_pauses() + _unserved(outcomes, 0)


class _FakePlacer:
    """Grants places at engines in list order, unaware of pauses."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.granted: list[str] = []
        self.released_with: list[placement.UseOutcome] = []
        self.wait_s = 0.0

    async def acquire(
        self, request: placement.PlaceRequest, _debit: object
    ) -> placement.PlaceReply:
        for target in self._world.targets:
            if target.id in request.avoid:
                continue
            await asyncio.sleep(self.wait_s)
            self.granted.append(target.id)
            return placement.PlaceReply(
                target.id, target.address, None, 0.0, "test"
            )
        raise wire.OverloadError(
            "No other engine is available.", retry_after_s=1.0
        )

    def release(
        self, request: str, target: str, outcome: placement.UseOutcome
    ) -> None:
        self.released_with.append(outcome)

    def report_begun(self, request: str, target: str, first_s: float) -> None:
        return None


async def _run_while_placing(
    notify: collections.abc.Callable[
        [control.TargetNotices, str, float], None
    ],
    wait_s: float = 0.0,
) -> tuple[list[str], _FakePlacer, float]:
    """Send a request; call *notify* while it waits for a place.

    Returns:
        The targets reached, the fake placer, and the time taken in seconds.
    """
    async with World(entries=1) as world:
        entry, loop = world.entries[0], asyncio.get_running_loop()
        placer = _FakePlacer(world)
        placer.wait_s = wait_s
        entry.forwarder._placements = placer
        pool = catalogue.RoutePool(
            fatal_world.POOL,
            "/h",
            64,
            catalogue.EngineSpec(64, 1000, 1.0, 6, 1.0),
        )
        table = entry.session.view.routes.table
        new_table = catalogue.RouteTable(2, table.routes, (pool,))
        await fatal_world.growth._replace_table(world, new_table)
        await asyncio.sleep(1.0)
        model = routing.ModelPart("m", "a", 1, 1)
        request = routing.CallerRequest(
            "q", "POST", fatal_world.HOST, "/", "/", (), b"", 9.0,
            loop.time(), model,
        )  # fmt: skip
        started_at = loop.time()
        asking = asyncio.create_task(
            entry.forwarder.serve(request, fatal_world._Answer())
        )
        await asyncio.sleep(wait_s / 2)
        notify(entry.session.notices, world.targets[0].id, loop.time())
        await asking
        reached = [arrival.target for arrival in world.reached]
        return reached, placer, loop.time() - started_at


async def leaving_during_placement() -> list[str]:
    """A place granted at a target that is leaving is released unused.

    The request then runs at another target.
    """
    reached, placer, _ = await _run_while_placing(
        lambda notices, target, now: notices.note_leaving(target), 0.4
    )
    faults = []
    if len(placer.granted) != 2 or reached != [placer.granted[1]]:
        faults.append(f"granted {placer.granted}, reached {reached}")
    if placer.released_with[0] is not placement.UseOutcome.LEFT:
        faults.append(f"released with {placer.released_with}")
    return faults


async def short_pause_is_waited_out() -> list[str]:
    """A short pause is waited out rather than loading elsewhere."""
    reached, placer, took_s = await _run_while_placing(
        lambda notices, target, now: notices.note_pause(target, 0.4, now), 0.1
    )
    faults = []
    if set(placer.granted) != {placer.granted[0]}:
        faults.append(f"other engines were granted: {placer.granted}")
    if not 0.4 < took_s < 1.2 or len(reached) != 1:
        faults.append(f"took {took_s:.2f} s, {len(reached)} sends")
    return faults


async def long_pause_is_avoided() -> list[str]:
    """For a long pause a place at another engine is requested."""
    reached, placer, took_s = await _run_while_placing(
        lambda notices, target, now: notices.note_pause(target, 5.0, now), 0.1
    )
    if reached != [placer.granted[-1]] or took_s > 1.0:
        return [f"granted {placer.granted}, reached {reached}, {took_s:.2f} s"]
    return []


async def random_target_events(seed: int) -> list[str]:
    """Targets leave, pause, resume and restart at random times."""
    rng = random.Random(seed)
    async with World(seed=seed) as world:
        asking = asyncio.create_task(world.send_requests(12.0, 0.03))
        for _ in range(12):
            await asyncio.sleep(rng.uniform(0.2, 1.2))
            target = rng.choice(world.targets)
            what = rng.randrange(4)
            if what == 0 and len(world.leaving) < 2:
                world.leaving.add(target.id)
            elif what == 1:
                world.pause_by_target[target.id] = rng.uniform(0.1, 3.0)
            elif what == 2:
                world.pause_by_target.clear()
            elif target.up:
                target.crash()
        world.pause_by_target.clear()
        await asking
        return world.sends_after_leaving() + world.sends_in_pauses()


async def random_events() -> list[str]:
    """Run random_target_events with six seeds."""
    faults: list[str] = []
    for seed in range(6):
        faults += [f"{seed}: {f}" for f in await random_target_events(seed)]
    return faults


def _unserved(outcomes: list[str], most: int) -> list[str]:
    failed = collections.Counter(code for code in outcomes if code != "served")
    return [f"not served: {dict(failed)}"] if failed.total() > most else []


SCENARIOS: dict[str, collections.abc.Callable[[], typing.Any]] = {
    scenario.__name__: scenario
    for scenario in (
        leaving_ahead_of_the_list,
        leaving_while_cut_off,
        leaving_across_leader_change,
        next_incarnation_gets_requests,
        paused,
        paused_for_forty_entries,
        all_paused,
        all_paused_for_long,
        paused_without_leader,
        leaving_during_placement,
        short_pause_is_waited_out,
        long_pause_is_avoided,
        random_events,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario; an exception counts as a fault."""
    try:
        return ledger.run(SCENARIOS[name]())
    except Exception as error:
        return [f"crash: {error!r}"]


# Each mutant: name, the scenario that must fail, object, attribute and
# replacement.

TargetNotices = control.TargetNotices
MUTANTS: tuple[tuple[str, str, object, str, object], ...] = (
    (
        "ignore that a target is leaving",
        "leaving_while_cut_off",
        TargetNotices,
        "note_leaving",
        lambda *_: False,
    ),
    (
        "report no leaving targets to the leader",
        "leaving_ahead_of_the_list",
        TargetNotices,
        "unreported",
        lambda *_: (),
    ),
    (
        "report no leaving targets to a new leader",
        "leaving_across_leader_change",
        TargetNotices,
        "unreported",
        lambda *_: (),
    ),
    ("ignore pauses", "paused", TargetNotices, "pause_left_s", lambda *_: 0.0),
    (
        "do not check the target before sending",
        "leaving_during_placement",
        _sending.Sender,
        "check_accepting",
        lambda *_: None,
    ),
    (
        "do not wait for the end of a pause",
        "all_paused",
        routing.Forwarder,
        "_remaining_pauses_s",
        lambda *_: [math.inf],
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run a mutant's scenario with its guard disabled."""
    _, scenario, owner, name, replacement = MUTANTS[number]
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            unittest.mock.patch.object(owner, name, replacement)
        )
        return run_scenario(scenario)
