"""Tests that changes of the catalogue reach all daemons in time.

They run in virtual time, with real replicas and sessions. The leader is late:
it refuses heartbeats, or answers them after their time-out.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import random

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _daemon_view
from bergamotsail.control import _messages
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail.routing import _forward
from bergamotsail import standins
from bergamotsail import wire
from features.support import fatal_world
from features.support import growth
from features.support import ledger

LEASE = control.LeaseTiming(2.0, 0.3, call_s=0.6, listed_s=1.3)
# Bound of a change, from its acknowledgement.
IN_FORCE_S = 2.5
SETTLE_S = 3.0
POLL_S = 0.05
# A follower learns what is committed with the next heartbeat of its leader.
MAX_HIDDEN_S = 0.3
# 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
MODEL, ADAPTER = "m", "a"


async def _shed(_: object) -> None:
    raise wire.LoadShedError("The event loop lags.", retry_after_s=0.1)


async def _answer_late(_: object) -> None:
    await asyncio.sleep(5.0)
    raise wire.LoadShedError("The event loop lags.", retry_after_s=0.1)


class Deployment:
    """Replicas and the sessions of daemons; an async context manager.

    Attributes:
        obstructs: called in place of the leader's handler of heartbeats and
            fetches, unless it is None.
        faults: what went wrong so far.
    """

    def __init__(self, daemons: int, seed: int = 1) -> None:
        self.replicas = growth.Replicas(3, seed)
        self.daemons = daemons
        self.sessions: list[control.Session] = []
        self.obstructs: (
            collections.abc.Callable[
                [object], collections.abc.Awaitable[object]
            ]
            | None
        ) = None
        self.faults: list[str] = []
        self._version = 0
        self._changed_at = 0.0
        self._stack = contextlib.AsyncExitStack()
        self._watching = asyncio.Event()

    async def __aenter__(self) -> "Deployment":
        await self.replicas.form()
        await growth._start_coordinators(self.replicas, LEASE, self._stack)
        for address in self.replicas.addresses:
            self._wrap(address, control.HEARTBEAT)
            self._wrap_state(address)
        for number in range(1, self.daemons + 1):
            await self.start_session(number)
        self._watcher = asyncio.create_task(self._watch_versions())
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._watcher.cancel()
        await self._stack.aclose()
        await self.replicas.stop_all()

    async def start_session(self, number: int) -> control.Session:
        """Start the session of one more daemon."""
        session = growth._make_session(self.replicas, number, LEASE)
        self.replicas.network.bytes_per_s[session.daemon.address] = (
            LINK_BYTES_PER_S
        )
        self.sessions.append(session)
        await self._stack.enter_async_context(session)
        return session

    def _wrap(self, address: str, call: wire.Call) -> None:
        server = self.replicas.server_by_address[address]
        _, handler = server.find(call.name)

        async def handle(request: object) -> object:
            node = self.replicas.node_by_address[address]
            if self.obstructs is not None and node.is_leader:
                return await self.obstructs(request)
            return await handler(request)

        server.serve(call, handle)

    def _wrap_state(self, address: str) -> None:
        server = self.replicas.server_by_address[address]
        _, handler = server.find(_messages.STATE.name)

        async def handle(request: object):
            node = self.replicas.node_by_address[address]
            if self.obstructs is not None and node.is_leader:
                await self.obstructs(request)
            async for piece in handler(request):
                yield piece

        server.serve(_messages.STATE, handle)

    async def _watch_versions(self) -> None:
        """Note sessions that go back, or take an old view for current."""
        seen: dict[str, int] = {}
        while True:
            changed_s = asyncio.get_running_loop().time() - self._changed_at
            for session in self.sessions:
                is_old = session.view.routes.table.version < self._version
                if is_old and session.view_age_s() < changed_s - MAX_HIDDEN_S:
                    self.faults.append(f"{session.boot} hides its age")
                version = session.view.routes.table.version
                if version < seen.get(session.boot, 0):
                    self.faults.append(
                        f"{session.boot} went back to version {version}"
                    )
                seen[session.boot] = version
            await asyncio.sleep(POLL_S / 5)

    async def change(
        self, table: catalogue.RouteTable | None = None
    ) -> asyncio.Task:
        """Replace the routes; the task returned checks all sessions."""
        changed = table or growth.table(version=self._version + 1)
        leader = await self.replicas.leader()
        replace = catalogue.ReplaceRoutes(changed, str(changed.version))
        await leader.propose(
            wire.encode(catalogue.Command(replace_routes=replace))
        )
        self._version = changed.version
        self._changed_at = asyncio.get_running_loop().time()
        return asyncio.create_task(self._check_in_force(changed.version))

    async def _check_in_force(self, version: int) -> None:
        await asyncio.sleep(IN_FORCE_S)
        late = [
            f"{session.boot} has {session.view.routes.table.version}"
            for session in self.sessions
            if session.view.routes.table.version < version
        ]
        if late:
            self.faults.append(
                f"{len(late)} of {len(self.sessions)} without version "
                f"{version}: {late[0]}"
            )

    async def elect_another(self) -> None:
        """Have another replica lead."""
        leader = await self.replicas.leader()
        address = leader.member.address
        self.replicas.network.isolate(address)
        while (await self.replicas.leader()) is leader:
            await asyncio.sleep(POLL_S)
        self.replicas.network.heal()


async def _leader_is_late(
    obstructs: collections.abc.Callable[
        [object], collections.abc.Awaitable[object]
    ],
) -> list[str]:
    async with Deployment(6) as deployment:
        deployment.obstructs = obstructs
        checks = []
        for _ in range(4):
            checks.append(await deployment.change())
            await asyncio.sleep(1.3)
        await asyncio.gather(*checks)
        return deployment.faults


async def leader_sheds_heartbeats() -> list[str]:
    """Each change is in force in time while the leader sheds heartbeats."""
    return await _leader_is_late(_shed)


async def leader_answers_late() -> list[str]:
    """The same while its answers outlast the time-out."""
    return await _leader_is_late(_answer_late)


async def elections_in_series() -> list[str]:
    """Changes after each of three elections, by leaders that are late."""
    async with Deployment(6) as deployment:
        deployment.obstructs = _answer_late
        checks = []
        for _ in range(3):
            await deployment.elect_another()
            checks.append(await deployment.change())
        await asyncio.gather(*checks)
        return deployment.faults


async def all_daemons_start_at_once() -> list[str]:
    """Thirty daemons without any state beside a late leader."""
    async with Deployment(1) as deployment:
        table = growth._random_table(1, 1_500, deployment.replicas.rng)
        await (await deployment.change(table))
        deployment.obstructs = _answer_late
        for number in range(2, 31):
            await deployment.start_session(number)
        await deployment._check_in_force(1)
        return deployment.faults


async def huge_table_changes_often() -> list[str]:
    """Fetches of 0.15 MB while the table changes each 0.3 s."""
    async with Deployment(3) as deployment:
        deployment.obstructs = _shed
        rng = deployment.replicas.rng
        checks = [
            await deployment.change(growth._random_table(version, 6_000, rng))
            for version in (1, 2)
        ]
        for version in range(3, 12):
            await asyncio.sleep(0.3)
            table = growth._random_table(version, 6_000, rng)
            checks.append(await deployment.change(table))
        await asyncio.gather(*checks)
        return deployment.faults


async def one_replica_is_behind() -> list[str]:
    """A replica that hears no leader is not taken for an up-to-date one."""
    # Each daemon begins at a random replica, so some of these ask that one.
    async with Deployment(24) as deployment:
        deployment.obstructs = _shed
        leader = (await deployment.replicas.leader()).member.address
        behind = next(a for a in deployment.replicas.addresses if a != leader)
        for address in deployment.replicas.addresses:
            if address != behind:
                deployment.replicas.network.cut(behind, address)
        await asyncio.sleep(0.5)
        await asyncio.gather(
            *[await deployment.change(), await deployment.change()]
        )
        return deployment.faults


async def named_versions_arrive() -> list[str]:
    """Versions of adapters come the same way as routes."""
    async with Deployment(4) as deployment:
        deployment.obstructs = _shed
        leader = await deployment.replicas.leader()
        name = catalogue.NameVersion(MODEL, ADAPTER, 3)
        await leader.propose(wire.encode(catalogue.Command(name_version=name)))
        await asyncio.sleep(IN_FORCE_S)
        known = {
            session.view.named_version(MODEL, ADAPTER)
            for session in deployment.sessions
        }
        return [] if known == {3} else [f"versions known: {known}"]


async def cut_off_daemon_keeps_its_routes() -> list[str]:
    """A daemon that reaches nothing keeps what it has, and its lease ends."""
    async with Deployment(3) as deployment:
        await (await deployment.change())
        cut = deployment.sessions.pop()
        deployment.replicas.network.isolate(cut.daemon.address)
        await (await deployment.change())
        if cut.view.routes.table.version != 1 or cut.fresh():
            deployment.faults.append("The daemon that is cut off is not so.")
        deployment.replicas.network.heal()
        await asyncio.sleep(IN_FORCE_S)
        if cut.view.routes.table.version != 2 or not cut.fresh():
            deployment.faults.append("It has not come back.")
        return deployment.faults


async def replica_is_slow() -> list[str]:
    """One of two followers doesn't answer, while the leader sheds."""
    async with Deployment(12) as deployment:
        deployment.obstructs = _shed
        leader = (await deployment.replicas.leader()).member.address
        slow = next(a for a in deployment.replicas.addresses if a != leader)
        server = deployment.replicas.server_by_address[slow]
        server.serve(_messages.CHANGES, _answer_late)
        checks = []
        for _ in range(3):
            checks.append(await deployment.change())
            await asyncio.sleep(0.7)
        await asyncio.gather(*checks)
        return deployment.faults


async def leader_is_lost_during_fetches() -> list[str]:
    """The leader is lost while daemons fetch a large table from it."""
    async with Deployment(4) as deployment:
        rng = deployment.replicas.rng
        check = await deployment.change(growth._random_table(1, 6_000, rng))
        await asyncio.sleep(0.45)
        await deployment.elect_another()
        checks = [
            check,
            await deployment.change(growth._random_table(2, 6_000, rng)),
        ]
        await asyncio.gather(*checks)
        return deployment.faults


async def eighty_daemons_start_at_once() -> list[str]:
    """Eighty daemons fetch a table of 3,000 routes beside a late leader."""
    async with Deployment(1) as deployment:
        table = growth._random_table(1, 3_000, deployment.replicas.rng)
        await (await deployment.change(table))
        deployment.obstructs = _answer_late
        for number in range(2, 82):
            await deployment.start_session(number)
        await deployment._check_in_force(1)
        return deployment.faults


NEW_HOST = "new.example"
CUT_S = 5.0
ASK_GAP_S = 0.1


async def _ask(world: fatal_world.World, host: str, number: int) -> str:
    """Send a request to the entry that is cut off; return how it ends."""
    request = routing.CallerRequest(
        f"{host}-{number}",
        "GET",
        host,
        "/x",
        "/x",
        (),
        b"",
        2.0,
        asyncio.get_running_loop().time(),
    )
    try:
        await world.entries[0].forwarder.serve(request, fatal_world._Answer())
    except wire.ServingError as error:
        return error.code
    return "served"


async def count_requests_while_cut_off() -> dict[tuple[str, str], int]:
    """Count how requests end at an entry that reaches no daemon.

    A route is added as the cut begins. Each tenth of a second it gets a
    request for a route that it has, and one for that.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    async with fatal_world.World(entries=3, count=3) as world:
        world.network.isolate(world.entries[0].session.daemon.address)
        table = world.entries[0].session.view.routes.table
        added = dataclasses.replace(
            table.routes[0], name="added", host=NEW_HOST
        )
        await growth._replace_table(
            world,
            dataclasses.replace(
                table, version=2, routes=(*table.routes, added)
            ),
        )
        for number in range(int(CUT_S / ASK_GAP_S)):
            await asyncio.sleep(ASK_GAP_S)
            for host in (fatal_world.HOST, NEW_HOST):
                counts[(host, await _ask(world, host, number))] += 1
    return dict(counts)


async def cut_off_entry_serves_what_it_knows() -> list[str]:
    """Only what an unseen change may have added is refused, as not run."""
    counts = await count_requests_while_cut_off()
    asked = int(CUT_S / ASK_GAP_S)
    faults = []
    if counts.get((fatal_world.HOST, "served")) != asked:
        faults.append(f"requests on a known route: {counts}")
    denied = counts.get((NEW_HOST, "not_found"), 0)
    if denied * ASK_GAP_S > IN_FORCE_S:
        faults.append(f"{denied} requests denied: {counts}")
    return faults


async def random_obstructions() -> list[str]:
    """Changes, elections and late leaders at random moments."""
    faults = []
    for seed in range(8):
        async with Deployment(4, seed) as deployment:
            rng = deployment.replicas.rng
            checks = []
            for _ in range(12):
                deployment.obstructs = rng.choice((None, _shed, _answer_late))
                if rng.random() < 0.25:
                    await deployment.elect_another()
                with contextlib.suppress(wire.ServingError, AssertionError):
                    checks.append(await deployment.change())
                await asyncio.sleep(rng.uniform(0.0, 0.8))
            await asyncio.gather(*checks)
            faults += [f"seed {seed}: {f}" for f in deployment.faults]
    return faults


# Each is a commit of the log, or a reply with the changes after one index that
# were applied up to a later one; both may be old when it arrives.
STEPS = strategies.lists(
    strategies.one_of(
        strategies.none(),
        strategies.tuples(
            strategies.integers(0, 30), strategies.integers(0, 30)
        ),
    ),
    max_size=60,
)


def view_moves_forward(steps: list[tuple[int, int] | None]) -> None:
    """Apply replies of several replicas in any order."""
    machine = catalogue.CatalogueMachine()
    effects: list[catalogue.Effect] = []
    copy = _daemon_view.DaemonView(
        standins.MemoryTransport(
            standins.MemoryNetwork(random.Random(0)), "10.0.1.1:7000"
        ),
        lambda: (),
        lambda: 1,
    )
    for step in steps:
        if step is None:
            index = len(effects) + 1
            machine.apply(index, growth._change(index))
            effects.append(machine.effects_after(index - 1)[0])
            continue
        until = min(max(step), len(effects))
        after = min(*step, copy.view.index)
        newest = copy.view.routes.table.version
        copy.apply(effects[after:until], until)
        assert copy.view.routes.table.version >= newest, steps
        assert copy.view.routes.table.version == copy.view.index, steps


def check_random_replies(count: int) -> list[str]:
    """Try random replies; return a fault if the view ever goes back."""
    check = hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )(hypothesis.given(STEPS)(view_moves_forward))
    try:
        check()
    except AssertionError as error:
        return [str(error)]
    return []


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        leader_sheds_heartbeats,
        leader_answers_late,
        elections_in_series,
        all_daemons_start_at_once,
        huge_table_changes_often,
        one_replica_is_behind,
        named_versions_arrive,
        cut_off_daemon_keeps_its_routes,
        replica_is_slow,
        leader_is_lost_during_fetches,
        eighty_daemons_start_at_once,
        cut_off_entry_serves_what_it_knows,
        random_obstructions,
    )
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def _apply_all(
    copy: _daemon_view.DaemonView,
    effects: collections.abc.Iterable[catalogue.Effect],
    index: int,
) -> None:
    """Apply changes without regard to those that the view has."""
    for effect in effects:
        copy.view.apply(effect)
    copy.view.index = max(copy.view.index, index)


async def _ask_first_replica(copy: _daemon_view.DaemonView) -> None:
    """Ask one replica, always the same one."""
    with contextlib.suppress(wire.ServingError):
        await copy._ask(copy._replicas()[0])


async def _ask_nobody(_: _daemon_view.DaemonView) -> None:
    return None


# Each mutant disables a guard: its name, the scenario that must fail, None
# for random replies, and the arguments of mock.patch.object.
MUTANTS = (
    (
        "ask only the leader for changes",
        "leader_sheds_heartbeats",
        (_daemon_view.DaemonView, "_ask_replicas", _ask_nobody),
    ),
    (
        "take each replica for a current one",
        "one_replica_is_behind",
        (quorum.Node, "commit_silence_s", lambda _: 0.0),
    ),
    (
        "take the lack of a route for definite",
        "cut_off_entry_serves_what_it_knows",
        (_forward, "MAX_VIEW_AGE_S", 1e9),
    ),
    (
        "ask the same replica again",
        "replica_is_slow",
        (_daemon_view.DaemonView, "_ask_replicas", _ask_first_replica),
    ),
    (
        "apply changes again that the view has",
        None,
        (_daemon_view.DaemonView, "apply", _apply_all),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        if scenario is None:
            return check_random_replies(300)
        return run_scenario(scenario)
