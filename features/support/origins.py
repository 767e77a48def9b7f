"""What outlives leaders and entries of where streams began."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import unittest.mock

from bergamotsail import catalogue
from bergamotsail.catalogue import _origins as catalogue_origins
from bergamotsail import control
from bergamotsail.control import _software
from bergamotsail.placement import _engine_groups
from bergamotsail import quorum
from bergamotsail.routing import _origins
from bergamotsail import targets
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger
from features.support import software

# A caller's time for all its attempts, and the route's timeout.
DEADLINE_S = 15.0
SHORT_TIMEOUT_S = 4.0
STREAMS = 12
LEAST_SHARE = 0.5
# Streams that begin, one each 0.1 s, until all replicas know of the first one:
# its first event takes 0.1 s, a report 0.2 s and a copy 0.1 s.
KNOWN_AFTER = 5
# As many engines as are placed on by several replicas, and the time until they
# are.
GROUPED_PAIRS = 17
GROUPS_FORMED_S = 5.0

Begun = list[tuple[software.Caller, asyncio.Task]]


async def _replace_route(world: software.World, **changes: object) -> None:
    """Change the route of a world, and wait until that is in force."""
    table = world.entries[0].session.view.routes.table
    (route,) = table.routes
    route = dataclasses.replace(route, **changes)
    table = dataclasses.replace(
        table, version=table.version + 1, routes=(route,)
    )
    await fatal_world.growth._replace_table(world, table)
    await asyncio.sleep(1.0)


async def _begin_streams(
    world: software.World, entries: int, patience_s: float = DEADLINE_S
) -> Begun:
    """Begin streams at the first entries."""
    beginning = (
        world.begin(f"c{number}", number % entries, None, patience_s)
        for number in range(STREAMS)
    )
    return list(await asyncio.gather(*beginning))


async def _kill_leader_and_entries(
    world: software.World, entries: int
) -> None:
    """Kill the leader and the first entries together."""
    numbers = [entry.number for entry in world.entries[:entries]]
    await asyncio.gather(world.lose_leader(), *map(world.kill_entry, numbers))


async def _restart_all(world: software.World) -> None:
    """Kill all replicas and entries, and start them a second later."""
    numbers = [entry.number for entry in world.entries]
    for number in numbers:
        await world.kill_entry(number)
    await world.stop_all()
    await asyncio.sleep(1.0)
    await world.start_all()
    for number in numbers:
        await world.start_entry(number, 2)
    await asyncio.sleep(3.0)


def _remove_targets(world: software.World, version: str) -> None:
    """End the targets of a version for good."""
    for target in world.targets:
        if target.software == version:
            target.up = False
            target.disconnected.set()


async def _resume(
    begun: Begun, entry: software.Entry, patience_s: float = DEADLINE_S
) -> list[str]:
    """Resume streams at an entry; return the faults of their callers."""
    await asyncio.gather(*(asking for _, asking in begun))
    broken = [c for c, _ in begun if c.outcomes[-1] != "complete"]
    await asyncio.gather(
        *(caller.ask(entry, patience_s=patience_s) for caller in broken)
    )
    return [fault for caller, _ in begun for fault in caller.faults()]


def _went_on(begun: Begun) -> list[str]:
    """Return a fault if too few streams are complete."""
    outcomes = [caller.outcomes for caller, _ in begun]
    resumed = [each[-1] for each in outcomes if len(each) > 1]
    share = resumed.count("complete") / max(len(resumed), 1)
    if share >= LEAST_SHARE:
        return []
    return [f"{share:.2f} of the resumed streams went on: {outcomes}"]


# Which versions there are, and have been.


async def resumed_late_after_its_version_left() -> list[str]:
    """The last attempt of a caller comes long after the leader was lost.

    Its remaining time and the route's timeout are short, the version that
    began the stream has left, and the leader that knew of it is lost.
    """
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v1", "v2", "v2")
        async with software.World(softwares, engines, holds=True) as world:
            await _replace_route(world, timeout_s=SHORT_TIMEOUT_S)
            world.event_s = 0.4
            begun = await _begin_streams(world, 2)
            _remove_targets(world, "v1")
            await asyncio.sleep(1.0)
            await _kill_leader_and_entries(world, 2)
            await asyncio.sleep(DEADLINE_S - SHORT_TIMEOUT_S)
            faults += await _resume(begun, world.entries[0], 3.0)
    return faults


async def one_version_and_all_processes_lost() -> list[str]:
    """Nobody needs to know a stream where one version has ever served."""
    faults = []
    for engines in (True, False):
        async with software.World(
            ("v1", "v1", "v1"), engines, holds=True
        ) as world:
            world.event_s = 0.5
            begun = await _begin_streams(world, 2)
            await _restart_all(world)
            faults += await _resume(begun, world.entries[0])
            faults += _went_on(begun)
    return faults


async def version_is_forgotten() -> list[str]:
    """A version counts until no stream that began there can be resumed.

    Each leader measures that time itself.
    """
    age_s = control.MIN_STREAM_AGE_S
    faults = []
    for loses_leader in (False, True):
        async with software.World(("v1", "v1", "v1")) as world:
            for target in world.targets:
                target.upgrade("v2")
            await asyncio.sleep(age_s / 2)
            if loses_leader:
                await world.lose_leader()
            await asyncio.sleep(age_s / 2 - 5.0)
            caller = software.Caller(world, "c")
            await caller.ask(world.entries[0], "unknown", "3")
            faults += caller.not_refused_at_once()
            await asyncio.sleep(10.0 + loses_leader * age_s / 2)
            caller = software.Caller(world, "d")
            await caller.ask(world.entries[0], "unknown", "3")
            if caller.outcomes != ["complete"]:
                faults.append(f"after {age_s} s: {caller.outcomes}")
    return faults


@contextlib.contextmanager
def _no_commits(command: str) -> collections.abc.Iterator[None]:
    """Let commands of a kind wait for ever."""
    propose = quorum.Node.propose

    async def hold(self: quorum.Node, data: bytes) -> object:
        proposed = wire.decode(data, catalogue.Command)
        if getattr(proposed, command) is not None:
            await asyncio.Event().wait()
        return await propose(self, data)

    with unittest.mock.patch.object(quorum.Node, "propose", hold):
        yield


async def no_stream_begins_before_its_version_is_committed() -> list[str]:
    """A new version gets no request while its commit is not done."""
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v1", "v1", "v1")
        async with software.World(softwares, engines, holds=True) as world:
            with _no_commits("note_origins"):
                for target in world.targets[1:]:
                    target.upgrade("v2")
                await asyncio.sleep(3.0)
                callers = [
                    software.Caller(world, f"c{n}") for n in range(STREAMS)
                ]
                for caller in callers:
                    await caller.ask(world.entries[0])
            softwares = {s for c in callers for _, s in c.events}
            if softwares != {"v1"}:
                faults.append(f"streams began at {sorted(softwares)}")
    return faults


async def longer_patience_than_can_be_told() -> list[str]:
    """A stream that may get older than known is refused without a leader."""
    async with software.World(("v1", "v1")) as world:
        with _no_commits("note_origins"):
            caller = software.Caller(world, "c")
            await caller.ask(world.entries[0], patience_s=software.PATIENT_S)
        faults = [f"ran at {world.began}"] * bool(world.began)
        if not isinstance(caller.error, wire.OverloadError):
            faults.append(f"ended as {caller.outcomes}")
        caller = software.Caller(world, "d")
        await caller.ask(world.entries[0], patience_s=software.PATIENT_S)
        return faults + caller.incomplete()


# Records of streams.


async def leader_and_entries_lost_beside_two_versions() -> list[str]:
    """Streams of two versions that both stay go on, each at its own.

    The leader and most entries are lost together, and once more some seconds
    later, with the replica that came back.
    """
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2")
        async with software.World(
            softwares, engines, entries=4, holds=True
        ) as world:
            world.event_s = 1.5
            begun = await _begin_streams(world, 3, 30.0)
            for number in range(2):
                if not engines:
                    # Streams of plain services are reported by entries.
                    await asyncio.sleep(0.5)
                lost = (await world.leader()).member.address
                await _kill_leader_and_entries(world, 3)
                await asyncio.sleep(0.5)
                await world.start(lost)
                for entry in range(3):
                    await world.start_entry(10 * number + 10 + entry, 1)
                await asyncio.sleep(4.0)
                world.entries.sort(key=lambda entry: -entry.number)
                resuming = [
                    asyncio.create_task(
                        caller.ask(world.entries[n % 3], patience_s=20.0)
                    )
                    for n, (caller, _) in enumerate(begun)
                ]
                await asyncio.sleep(2.5)
                if number:
                    await asyncio.gather(*resuming)
            faults += [f for caller, _ in begun for f in caller.faults()]
            faults += _went_on(begun)
            if len({caller.events[0][1] for caller, _ in begun}) < 2:
                faults.append("all streams began at one version")
    return faults


async def lost_right_after_streams_began() -> list[str]:
    """The leader and most entries are lost while streams begin.

    What was known for long enough goes on; the rest is refused, as not run.
    """
    faults = []
    for engines in (True, False):
        softwares = ("v1", "v2", "v1", "v2")
        async with software.World(
            softwares, engines, entries=4, holds=True
        ) as world:
            world.event_s = 1.0
            callers = [software.Caller(world, f"c{n}") for n in range(STREAMS)]
            asking = []
            for number, caller in enumerate(callers):
                entry = world.entries[number % 3]
                asking.append(asyncio.create_task(caller.ask(entry)))
                await asyncio.sleep(0.1)
            known = [c for c in callers[:-KNOWN_AFTER] if c.events]
            await _kill_leader_and_entries(world, 3)
            await asyncio.gather(*asking)
            await asyncio.sleep(4.0)
            entry = world.entries[0]
            await asyncio.gather(
                *(c.ask(entry, patience_s=DEADLINE_S) for c in callers)
            )
            for caller in callers:
                faults += caller.faults()
                if caller in known:
                    faults += caller.incomplete()
                elif caller.outcomes[-1] != "complete":
                    faults += caller.not_refused_at_once()
            if len(known) < STREAMS - KNOWN_AFTER:
                faults.append(f"only {len(known)} streams had begun")
    return faults


async def leader_is_cut_off() -> list[str]:
    """A leader that is cut off and comes back doesn't undo what is known.

    Streams begin under the next leader meanwhile, whose replica is lost with
    their entries once the first one is back.
    """
    softwares = ("v1", "v2", "v1", "v2")
    async with software.World(softwares, entries=4, holds=True) as world:
        world.event_s = 1.5
        old = (await world.leader()).member.address
        world.network.isolate(old)
        await asyncio.sleep(4.0)
        begun = await _begin_streams(world, 3, 30.0)
        world.network.heal()
        await asyncio.sleep(1.0)
        await _kill_leader_and_entries(world, 3)
        await asyncio.sleep(4.0)
        faults = await _resume(begun, world.entries[0], 20.0)
        return faults + _went_on(begun)


async def holder_of_a_group_is_lost() -> list[str]:
    """Streams placed by a holder that is lost before it tells the leader.

    Their entries are killed some time later; the leader stays.
    """
    faults = []
    for group in range(2):
        softwares = ("v1", "v2") * GROUPED_PAIRS
        async with software.World(softwares, entries=4, holds=True) as world:
            await asyncio.sleep(GROUPS_FORMED_S)
            world.event_s = 1.5
            leader = (await world.leader()).member.address
            holder = world.entries[0].session.holders.address(group)
            world.network.cut(holder, leader, both_ways=False)
            begun = await _begin_streams(world, 3, 30.0)
            await world.stop(holder)
            world.network.heal()
            await asyncio.sleep(2.5)
            for number in range(3):
                await world.kill_entry(number)
            faults += await _resume(begun, world.entries[0], 15.0)
            faults += [f for caller, _ in begun for f in caller.incomplete()]
    return faults


@contextlib.contextmanager
def _no_copies() -> collections.abc.Iterator[None]:
    """Let leaders copy no records to the other replicas."""
    with unittest.mock.patch.object(
        control.StreamCopies, "_grouped", lambda *_: ()
    ):
        yield


REJECTS_AFTER_S = 2.5


@contextlib.contextmanager
def _slow_rejections() -> collections.abc.Iterator[None]:
    """Let targets that are full reject requests only after a while."""
    head = software.Exchange.head

    async def reject(self: software.Exchange) -> wire.ReplyHead:
        if self._target.full:
            await asyncio.sleep(REJECTS_AFTER_S)
        return await head(self)

    with unittest.mock.patch.object(software.Exchange, "head", reject):
        yield


async def _set_usable(world: software.World, version: str) -> None:
    """Let the list have only targets of a version as live."""
    for target in world.targets:
        target.state = targets.InstanceState.LEAVING
        if target.software == version:
            target.state = targets.InstanceState.LIVE
    await asyncio.sleep(2.0)


async def _resumed_after_loss(
    world: software.World, caller: software.Caller, asking: asyncio.Task
) -> list[str]:
    """Lose the leader and the entry of a stream, then resume it."""
    await asyncio.gather(world.kill_entry(0), world.lose_leader())
    await asking
    for target in world.targets:
        target.full = False
        target.state = targets.InstanceState.LIVE
    await asyncio.sleep(4.0)
    await caller.ask(world.entries[0])
    return caller.faults()


async def granted_again_at_another_version() -> list[str]:
    """A copy of a stream's first grant is not used after a second one.

    The target of the first grant rejects the request, and the leader is lost
    before it has copied the second grant.
    """
    async with software.World(("v1", "v2", "v1", "v2"), holds=True) as world:
        await _set_usable(world, "v1")
        world.event_s = 0.5
        for target in world.targets:
            target.full = target.software == "v1"
        with _slow_rejections():
            caller = software.Caller(world, "c")
            asking = asyncio.create_task(caller.ask(world.entries[0]))
            await asyncio.sleep(0.5)
            with _no_copies():
                await _set_usable(world, "v2")
                while len(caller.events) < 2:
                    await asyncio.sleep(0.05)
                faults = await _resumed_after_loss(world, caller, asking)
        return faults + caller.incomplete()


async def granted_again_after_a_lost_reply() -> list[str]:
    """A copy of a grant that was never received is not used.

    The leader that granted the first place is lost with its reply, and the
    next one, which grants another version, is lost as well.
    """
    async with software.World(("v1", "v2", "v1", "v2"), holds=True) as world:
        await _set_usable(world, "v1")
        world.event_s = 0.5
        entry = world.entries[0].address
        for address in world.addresses:
            world.network.cut(address, entry, both_ways=False)
        caller = software.Caller(world, "c")
        asking = asyncio.create_task(
            caller.ask(world.entries[0], patience_s=15.0)
        )
        await asyncio.sleep(0.5)
        with _no_copies():
            lost = (await world.leader()).member.address
            await world.stop(lost)
            world.network.heal()
            for target in world.targets:
                target.full = target.software == "v1"
            await _set_usable(world, "v2")
            await world.start(lost)
            while len(caller.events) < 2 and not asking.done():
                await asyncio.sleep(0.05)
            return await _resumed_after_loss(world, caller, asking)


# The state machine.


def _table(version: int, *pools: str) -> catalogue.ReplaceRoutes:
    """Return a table with a route that leads to these pools."""
    route = catalogue.Route(
        "r",
        "shop.example",
        "/",
        catalogue.RouteKind.STREAM,
        tuple(map(catalogue.Split, pools)),
        5.0,
    )
    names = dict.fromkeys((*pools, "a", "b"))
    table = catalogue.RouteTable(
        version,
        (route,),
        tuple(catalogue.RoutePool(name, "/health", 64) for name in names),
    )
    return catalogue.ReplaceRoutes(table, "")


def _restored(machine: catalogue.CatalogueMachine, index: int):
    """Return a machine made from the snapshot of another one."""
    copy = catalogue.CatalogueMachine()
    copy.restore(index, list(machine.snapshot()))
    return copy


async def route_leads_elsewhere() -> list[str]:
    """A route's former pools count until they are forgotten.

    This holds for the machine itself and for one restored from a snapshot.
    """
    command = catalogue.Command
    origin = catalogue.StreamOrigin("a", "v1")
    note = catalogue.NoteOrigins(
        (origin, catalogue.StreamOrigin("b", "v1")),
        (catalogue.StreamAge("a", 128.0),),
    )
    steps = (
        (command(replace_routes=_table(1, "a")), None),
        (command(note_origins=note), origin),
        (command(replace_routes=_table(2, "a", "b")), None),
        (command(replace_routes=_table(3, "a")), None),
        (command(forget_origins=catalogue.ForgetOrigins((), 3)), None),
        (command(forget_origins=catalogue.ForgetOrigins((), 4)), origin),
        (command(forget_origins=catalogue.ForgetOrigins((origin,))), None),
    )
    machine, faults = catalogue.CatalogueMachine(), []
    for index, (step, wanted) in enumerate(steps, 1):
        machine.apply(index, wire.encode(step))
        for each in (machine, _restored(machine, index)):
            found = each.origins.sole("r")
            if found != wanted:
                faults.append(f"step {index}: {found}, not {wanted}")
    if _restored(machine, 8).origins.longest_s("a") != 128.0:
        faults.append("the age of streams is lost with a snapshot")
    return faults


async def moved_streams_are_bounded() -> list[str]:
    """No moved stream is forgotten for another, as a first grant would count.

    One that can't be recorded is refused, as not run.
    """
    full = catalogue_origins.MovedStream(
        "s", catalogue.StreamOrigin("a", "v2"), 1
    )
    faults = []
    with unittest.mock.patch.object(catalogue_origins, "MAX_MOVED", 1):
        origins = catalogue.StreamOrigins()
        accepted = [
            origins.move(full),
            origins.move(dataclasses.replace(full, stream="t")),
            origins.move(dataclasses.replace(full, index=2)),
        ]
        if accepted != [True, False, True] or origins.moved("s") is None:
            faults.append(f"{accepted}, {origins.moves()}")
        async with software.World(("v1", "v2"), holds=True) as world:
            address = (await world.leader()).member.address
            world.machine_by_address[address].origins.move(full)
            leader = world.entries[0].session.leader
            move = control.MoveStream("u", full.origin)
            try:
                await leader.ask(control.MOVE_STREAM, move, 1.0)
                faults.append("a stream too many was confirmed")
            except wire.OverloadError:
                pass
    return faults


async def moved_streams_are_kept() -> list[str]:
    """Moved streams outlive a restart, until they are forgotten."""
    command = catalogue.Command
    machine, faults = catalogue.CatalogueMachine(), []
    origins = [catalogue.StreamOrigin("a", v) for v in ("v1", "v2", None)]
    for index, origin in enumerate(origins, 1):
        for stream in ("s", f"s{index}"):
            move = catalogue.MoveStream(stream, origin)
            machine.apply(index, wire.encode(command(move_stream=move)))
    for through_index, wanted in (
        (0, [origins[2], *origins]),
        (2, [origins[2], None, None, origins[2]]),
        (3, [None] * 4),
    ):
        forget = catalogue.ForgetOrigins((), through_index)
        machine.apply(4, wire.encode(command(forget_origins=forget)))
        for each in (machine, _restored(machine, 4)):
            found = [each.origins.moved(s) for s in ("s", "s1", "s2", "s3")]
            if found != wanted:
                faults.append(f"{found} after {through_index}")
    return faults


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        resumed_late_after_its_version_left,
        one_version_and_all_processes_lost,
        version_is_forgotten,
        no_stream_begins_before_its_version_is_committed,
        longer_patience_than_can_be_told,
        leader_and_entries_lost_beside_two_versions,
        lost_right_after_streams_began,
        leader_is_cut_off,
        holder_of_a_group_is_lost,
        granted_again_at_another_version,
        granted_again_after_a_lost_reply,
        route_leads_elsewhere,
        moved_streams_are_bounded,
        moved_streams_are_kept,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time; return its faults."""
    return ledger.run(SCENARIOS[name]())


def _move_and_forget(origins, moved) -> bool:
    """Stands in for a table that forgets the first stream for the last."""
    origins._moved_by_stream.clear()
    origins._moved_by_stream[moved.stream] = moved
    return True


# Each mutant: name, the scenario that must fail, object, attribute and
# replacement.
MUTANTS: tuple[tuple[str, str, object, str, object], ...] = (
    (
        "publish targets before their version is committed",
        "no_stream_begins_before_its_version_is_committed",
        _software.SoftwareHistory,
        "is_committed",
        lambda *_: True,
    ),
    (
        "forget versions at once",
        "version_is_forgotten",
        _software,
        "MIN_STREAM_AGE_S",
        1.0,
    ),
    (
        "never forget a version",
        "version_is_forgotten",
        catalogue.StreamOrigins,
        "forget",
        lambda *_: None,
    ),
    (
        "begin a stream though its age is not covered",
        "longer_patience_than_can_be_told",
        _origins.Origins,
        "cover",
        unittest.mock.AsyncMock(),
    ),
    (
        "copy no records",
        "leader_and_entries_lost_beside_two_versions",
        control.StreamCopies,
        "_grouped",
        lambda *_: (),
    ),
    (
        "tell a new leader nothing",
        "leader_and_entries_lost_beside_two_versions",
        control.StreamTable,
        "names",
        lambda *_: [],
    ),
    (
        "report streams of plain services with usual heartbeats",
        "leader_and_entries_lost_beside_two_versions",
        control.StreamNotes,
        "pending",
        lambda *_: (),
    ),
    (
        "leave it to the holder of a group to tell the leader",
        "holder_of_a_group_is_lost",
        _engine_groups._GroupLeadership,
        "leads_log",
        True,
    ),
    (
        "trust a record of an earlier grant",
        "granted_again_at_another_version",
        catalogue.StreamOrigins,
        "moved",
        lambda *_: None,
    ),
    (
        "tell the log of no second grant",
        "granted_again_at_another_version",
        _origins.Origins,
        "confirm",
        unittest.mock.AsyncMock(),
    ),
    (
        "forget a moved stream for another one",
        "moved_streams_are_bounded",
        catalogue.StreamOrigins,
        "move",
        _move_and_forget,
    ),
    (
        "forget that a reply was lost",
        "granted_again_after_a_lost_reply",
        _origins.Origins,
        "confirm",
        unittest.mock.AsyncMock(),
    ),
    (
        "forget that a route led elsewhere",
        "route_leads_elsewhere",
        catalogue.StreamOrigins,
        "replace_routes",
        lambda self, index, table, is_first: self.restore_routes(table),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run a mutant's scenario with its guard disabled."""
    _, scenario, owner, name, replacement = MUTANTS[number]
    with unittest.mock.patch.object(owner, name, replacement):
        return run_scenario(scenario)
