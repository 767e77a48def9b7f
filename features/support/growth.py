"""Tests of route tables, the replicated log and retry budgets."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import random
import subprocess
import sys
import unittest.mock
import uuid

from hypothesis import strategies as st

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _coordinator as control_coordinator
from bergamotsail.control import _daemon_view as control_daemon_view
from bergamotsail import daemon
from bergamotsail import quorum
from bergamotsail.quorum import _membership as quorum_membership
from bergamotsail.quorum import _messages as quorum_messages
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import ledger

KIND = catalogue.RouteKind
POOLS = (
    catalogue.RoutePool("llm", "/health", 64),
    catalogue.RoutePool("app", "/health", 64),
)


def route(name: str = "r1", **changes) -> catalogue.Route:
    """Return a valid route with some fields changed."""
    fields = {
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": KIND.ONCE,
        "splits": (catalogue.Split("llm"),),
        "timeout_s": 5.0,
    } | changes
    return catalogue.Route(name, **fields)


def table(*routes: catalogue.Route, version: int = 1) -> catalogue.RouteTable:
    """Return a route table."""
    return catalogue.RouteTable(version, routes, POOLS)


BAD_TABLES = {
    "unknown_pool": table(route(splits=(catalogue.Split("nowhere"),))),
    "zero_weight": table(route(splits=(catalogue.Split("llm", 0),))),
    "negative_weight": table(route(splits=(catalogue.Split("llm", -1),))),
    "no_splits": table(route(splits=())),
    "zero_timeout": table(route(timeout_s=0)),
    "same_prefix": table(route("r1"), route("r2", prefix="/r1/")),
    "prefix_without_slash": table(route(prefix="/quotes")),
    "zero_attempts": table(route(attempts=0)),
    "empty_host": table(route(host="")),
    "zero_version": table(route(), version=0),
}


def is_refused(name: str) -> bool:
    """Whether check_table() raises a BadRequestError with a message."""
    try:
        catalogue.check_table(BAD_TABLES[name])
    except wire.BadRequestError as error:
        return bool(error.message)
    return False


def check_longest_prefix() -> list[str]:
    """The longest prefix of a host wins; its port and case don't matter."""
    index = catalogue.RouteIndex(
        table(
            route("a", prefix="/a/"),
            route("ab", prefix="/a/b/"),
            route("other", host="other.example", prefix="/a/"),
        )
    )
    wanted = {
        ("shop.example", "/a/x"): "a",
        ("shop.example:80", "/a/b/x"): "ab",
        ("SHOP.example", "/a/bx"): "a",
        ("other.example", "/a/b/x"): "other",
        ("shop.example", "/b/"): None,
        ("nowhere.example", "/a/"): None,
    }
    found = {}
    for host, path in wanted:
        match = index.find(host, path)
        found[(host, path)] = match.name if match else None
    return [] if found == wanted else [str(found)]


def check_split_weights() -> list[str]:
    """Requests are split by weight; a split of weight 0 gets none."""
    splits = (
        catalogue.Split("llm", 0),
        catalogue.Split("app", 9),
        catalogue.Split("llm", 1),
    )
    index = catalogue.RouteIndex(table(route(splits=splits)))
    (only_route,) = index.table.routes
    names = [index.choose_pool(only_route, f"q{n}").name for n in range(2000)]
    share = names.count("llm") / len(names)
    return [] if 0.07 < share < 0.13 else [f"llm got {share}"]


VERSIONS = st.lists(
    st.one_of(
        st.tuples(st.just("routes"), st.integers(1, 6), st.integers(0, 2)),
        st.tuples(st.just("version"), st.integers(1, 6), st.integers(0, 1)),
        st.tuples(st.just("copies"), st.integers(1, 3), st.integers(0, 60)),
        st.just(("restart", 0, 0)),
        st.just(("follow", 0, 0)),
    ),
    max_size=25,
)


# Tables hold the first 0, 30 or 60 of these routes. All 60 take about 12,000
# characters.
MANY = tuple(route(f"many-{number}") for number in range(60))


def _followed(
    machine: catalogue.CatalogueMachine, follower: catalogue.View
) -> catalogue.View:
    """Return the view of a daemon after it has caught up with a machine."""
    effects = machine.effects_after(follower.index)
    if effects is None:
        follower, effects = catalogue.View(), machine.view.effects()
    for effect in effects:
        follower.apply(wire.decode(wire.encode(effect), catalogue.Effect))
    follower.index = machine.view.index
    return follower


def versions_agree(history: list[tuple[str, int, int]]) -> None:
    """The highest version wins, over snapshots too, as a plain model says.

    A daemon that follows by effects, now and then, sees the same.
    """
    machine = catalogue.CatalogueMachine()
    follower = catalogue.View()
    version, document = 0, None
    named: dict[str, int] = {}
    copies: dict[str, list[str]] = {}
    for index, (what, number, content) in enumerate(history, 1):
        if what == "routes":
            text = f"{number}.{content}"
            command = catalogue.Command(
                replace_routes=catalogue.ReplaceRoutes(
                    table(*MANY[: content * 30], version=number), text
                )
            )
            reply = machine.apply(index, wire.encode(command))
            if number > version:
                version, document = number, text
            assert reply.version == version
        elif what == "version":
            command = catalogue.Command(
                name_version=catalogue.NameVersion(
                    "base", f"a{content}", number
                )
            )
            machine.apply(index, wire.encode(command))
            key = f"a{content}"
            named[key] = max(named.get(key, 0), number)
        elif what == "copies":
            target, adapter = f"e{number}", f"base/a{content}"
            note = catalogue.NoteCopies(
                (catalogue.Copies(target, (adapter,)),)
            )
            command = catalogue.Command(note_copies=note)
            machine.apply(index, wire.encode(command))
            known = copies.setdefault(target, [])
            if adapter in known:
                known.remove(adapter)
            known.append(adapter)
        elif what == "follow":
            follower = _followed(machine, follower)
            assert follower.by_kind == machine.view.by_kind
            continue
        else:
            lines = list(machine.snapshot())
            machine = catalogue.CatalogueMachine()
            machine.restore(index, lines)
        assert machine.view.routes.table.version == version
        assert machine.routes_document == document
        for target, known in copies.items():
            found = machine.copies_by_target[target]
            assert list(found) == known[-36:]
        for key, newest in named.items():
            assert machine.view.named_version("base", key) == newest


def check_order_holders_restored() -> list[str]:
    """The instances that gave orders are restored from a snapshot."""
    machine = catalogue.CatalogueMachine()
    takes = (("r1", False), ("r2", False), ("r1", False))
    for index, (holder, alone) in enumerate(takes, 1):
        take = catalogue.TakeOrders(holder, index, alone)
        machine.apply(index, wire.encode(catalogue.Command(take_orders=take)))
    restored = catalogue.CatalogueMachine()
    restored.restore(3, list(machine.snapshot()))
    faults = []
    if restored.order_holders != ("r2", "r1"):
        faults.append(f"restored {restored.order_holders}")
    take = catalogue.TakeOrders("r1", 4, alone=True)
    restored.apply(4, wire.encode(catalogue.Command(take_orders=take)))
    if restored.order_holders != ("r1",):
        faults.append(f"alone {restored.order_holders}")
    return faults


async def daemons_of_former_leaders_count() -> list[str]:
    """A session counts the daemons of former leaders for one lease.

    A new leader knows only the daemons that have contacted it. Here two
    leaders are elected in a row: the session must count all 30 daemons at
    first, and the 2 daemons of the last leader after a lease.
    """

    def info(number: int) -> control.DaemonInfo:
        name = f"e{number}"
        return control.DaemonInfo(name, f"{name}#1", name, "mnl-a")

    def delta(term: int, *numbers: int):
        log = control.DigestLog(term)
        for number in numbers:
            log.put_daemon(info(number))
        return log.delta(0, 0)

    lease = control.LeaseTiming(2.0, 0.3, call_s=0.6)
    session = control.Session(info(1), None, None, lease)
    session.take_digest(delta(2, *range(30)))
    await asyncio.sleep(10.0)
    session.take_digest(delta(3, 1, 2))
    await asyncio.sleep(0.2)
    session.take_digest(delta(4, 1, 3))
    known = len(session.daemon_by_boot)
    await asyncio.sleep(2.5)
    later = len(session.daemon_by_boot)
    return [] if (known, later) == (30, 2) else [f"{known}, then {later}"]


class Replicas:
    """Raft nodes, each with its own disk, on a network in memory."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.network = standins.MemoryNetwork(self.rng)
        self.timing = quorum.Timing(0.6, 0.15, 0.5)
        self.addresses = [f"10.0.0.{n + 1}:7000" for n in range(count)]
        self.disk_by_address = {
            address: standins.MemoryDisk(self.rng)
            for address in self.addresses
        }
        self.node_by_address: dict[str, quorum.Node] = {}
        self.server_by_address: dict[str, wire.PeerServer] = {}
        self.machine_by_address: dict[str, catalogue.CatalogueMachine] = {}

    async def start(self, address: str, forms: bool = False) -> quorum.Node:
        """Start a replica with the first three addresses as seeds."""
        server = wire.PeerServer()
        self.network.join(address, server)
        transport = standins.MemoryTransport(self.network, address)
        machine = catalogue.CatalogueMachine()
        node = quorum.Node(
            address,
            address,
            self.addresses[:3],
            quorum.Storage(self.disk_by_address[address]),
            transport,
            machine,
            self.rng,
            self.timing,
            forms=forms,
            max_voters=3,
        )
        node.serve(server)
        self.machine_by_address[address] = machine
        self.node_by_address[address] = node
        self.server_by_address[address] = server
        await node.__aenter__()
        return node

    async def form(self) -> quorum.Node:
        """Start the first three replicas and wait for a leader."""
        for address in self.addresses[:3]:
            await self.start(address, True)
        return await self.leader()

    async def stop(self, address: str) -> None:
        """Kill a replica."""
        self.network.kill(address)
        await self.node_by_address.pop(address).__aexit__()

    async def stop_all(self) -> None:
        """Kill all running replicas."""
        for address in list(self.node_by_address):
            await self.stop(address)

    async def lose_power(self, address: str) -> None:
        """Kill a replica; what it had not synced to its disk is lost."""
        await self.stop(address)
        self.disk_by_address[address].crash()
        self.disk_by_address[address].start_again()

    async def leader(self) -> quorum.Node:
        """Wait up to 20 s for a leader that holds the lease."""
        for _ in range(400):
            for node in self.node_by_address.values():
                if node.holds_lease():
                    return node
            await asyncio.sleep(0.05)
        raise AssertionError("no leader within 20 s")


async def _form_replicas(count: int = 3, seed: int = 1) -> Replicas:
    """Return replicas of which the first three have formed a log."""
    replicas = Replicas(count, seed)
    await replicas.form()
    return replicas


def _change(version: int) -> bytes:
    """Return an encoded command that replaces the table of routes."""
    replace = catalogue.ReplaceRoutes(table(version=version), str(version))
    return wire.encode(catalogue.Command(replace_routes=replace))


async def seeds_form_one_log() -> list[str]:
    """Three replicas with empty disks and the same seeds form one log."""
    replicas = await _form_replicas()
    voters = {len(n.config.voters) for n in replicas.node_by_address.values()}
    leader = await replicas.leader()
    await leader.propose(_change(1))
    return [] if voters == {3} else [f"numbers of voters: {voters}"]


async def _check_running_replicas_vote(replicas: Replicas) -> list[str]:
    """Commit a change, then check that the voters are the running nodes."""
    leader = await replicas.leader()
    await leader.propose(_change(1))
    voters = {member.id for member in leader.config.voters}
    running = {node.member.id for node in replicas.node_by_address.values()}
    return [] if voters == running else [f"voters {voters}, running {running}"]


async def forms_with_slow_disks() -> list[str]:
    """No log is formed with a replica that has not read its own id yet.

    Otherwise, the first configuration would name a member that does not
    exist and never votes.
    """
    replicas = Replicas(3)
    starts = []
    for address, read_s in zip(replicas.addresses, (0.0, 0.2, 0.4)):
        replicas.disk_by_address[address].read_s = read_s
        starts.append(replicas.start(address, True))
    await asyncio.gather(*starts)
    return await _check_running_replicas_vote(replicas)


async def form_call_waits_for_disks() -> list[str]:
    """A request to form the log waits until all seeds have read their disks.

    It is sent while two of the three seeds are still reading.
    """
    replicas = Replicas(3)
    starts = []
    for address, read_s in zip(replicas.addresses, (0.0, 0.2, 0.4)):
        replicas.disk_by_address[address].read_s = read_s
        starts.append(asyncio.create_task(replicas.start(address)))
    await asyncio.sleep(0.1)
    await replicas.node_by_address[replicas.addresses[0]].form()
    await asyncio.gather(*starts)
    return await _check_running_replicas_vote(replicas)


async def no_appends_while_loading() -> list[str]:
    """A replica that is still reading its disk stores and confirms nothing.

    An entry written too early would leave the log on disk out of order.
    """
    replicas = Replicas(3)
    leader = await replicas.form()
    for version in range(1, 9):
        await leader.propose(_change(version))
    await asyncio.sleep(1.0)
    address = next(
        address
        for address, node in replicas.node_by_address.items()
        if node is not leader
    )
    disk = replicas.disk_by_address[address]
    await replicas.lose_power(address)
    disk.read_s = 0.4
    node = await replicas.start(address)
    disk.read_s = 0.0
    await asyncio.sleep(2.0)
    faults = []
    if node.last_index != leader.last_index:
        faults.append(f"last index {node.last_index}, not {leader.last_index}")
    kept = [e.index for e in (await quorum.Storage(disk).load()).entries]
    if kept != list(range(1, leader.last_index + 1)):
        faults.append(f"indexes of the entries on disk: {kept}")
    return faults


async def no_votes_while_loading() -> list[str]:
    """A replica that is still reading its disk grants no vote.

    Its vote could elect a candidate whose log is behind its own, and an
    acknowledged change would be lost.
    """
    replicas = Replicas(3)
    leader = await replicas.form()
    await leader.propose(_change(1))
    behind, other = [
        a for a, node in replicas.node_by_address.items() if node is not leader
    ]
    await replicas.lose_power(behind)
    await leader.propose(_change(2))
    await replicas.stop(leader.member.address)
    await replicas.lose_power(other)
    replicas.disk_by_address[other].read_s = 0.8
    starting = asyncio.create_task(replicas.start(other))
    await asyncio.sleep(0.2)
    await replicas.start(behind)
    await starting
    leader = await replicas.leader()
    await asyncio.sleep(1.0)
    machine = replicas.machine_by_address[leader.member.address]
    found = machine.routes_document
    return [] if found == "2" else [f"{found} in force, 2 acknowledged"]


async def append_survives_cancelled_call() -> list[str]:
    """A follower completes a write although the leader cancels its call.

    A write that stopped half-way would leave the log on disk out of order.
    """
    faults = []
    for seed in range(30):
        replicas = Replicas(3, seed)
        for disk in replicas.disk_by_address.values():
            disk.sync_s = 0.003
        leader = await replicas.form()
        for number in range(1, 6):
            change = asyncio.create_task(leader.propose(_change(number)))
            await asyncio.sleep(replicas.rng.uniform(0.0, 0.005))
            # Cancels its calls at a random point, as a lost leadership does.
            leader._become_follower(None)
            await asyncio.gather(change, return_exceptions=True)
            leader = await replicas.leader()
        await leader.propose(_change(9))
        await asyncio.sleep(1.0)
        for disk in replicas.disk_by_address.values():
            try:
                await quorum.Storage(disk).load()
            except quorum.CorruptLogError as error:
                faults.append(f"seed {seed}: {error.message}")
        await replicas.stop_all()
    return faults


async def unordered_log_is_not_loaded() -> list[str]:
    """A log with a gap or a repeat in its indexes is not loaded."""
    storage = quorum.Storage(standins.MemoryDisk(random.Random(1)))
    await storage.load()
    entries = [
        quorum.Entry(index, 1, quorum.EntryKind.NOOP, b"") for index in (1, 2)
    ]
    await storage.append([*entries, *entries])
    await storage.sync()
    try:
        await storage.load()
    except quorum.CorruptLogError:
        return []
    return ["A log with entries 1, 2, 1, 2 was loaded."]


async def no_second_log_is_formed() -> list[str]:
    """Replicas with empty disks form no log when started with forms=False.

    The flag says that this is not the first start of the deployment.
    """
    replicas = Replicas(3)
    for address in replicas.addresses:
        await replicas.start(address)
    await asyncio.sleep(10)
    formed = [n for n in replicas.node_by_address.values() if n.config.voters]
    return [f"{len(formed)} replicas formed a log"] if formed else []


async def new_replica_replaces_voter() -> list[str]:
    """A replica with a new name replaces a voter that is gone for long.

    It must not be a voter while the replica that it replaces still runs.
    """
    replicas = await _form_replicas(4)
    leader = await replicas.leader()
    await leader.propose(_change(1))
    gone = next(
        a for a, node in replicas.node_by_address.items() if node is not leader
    )
    new = replicas.addresses[3]
    successor = await replicas.start(new)
    await asyncio.sleep(4)
    early = successor.config.has_voter(successor.member.id)
    await replicas.stop(gone)
    await asyncio.sleep(12)
    leader = await replicas.leader()
    await leader.propose(_change(2))
    await asyncio.sleep(1)
    names = {member.name for member in leader.config.voters}
    faults = ["The new replica voted while all others ran."] if early else []
    if names != (set(replicas.addresses) - {gone}):
        faults.append(f"voters {names}")
    if replicas.machine_by_address[new].routes_document != "2":
        faults.append("The new replica lacks the newest change.")
    return faults


async def isolated_leader_confirms_no_read() -> list[str]:
    """A leader that is cut off can't confirm its leadership for a read."""
    replicas = await _form_replicas()
    leader = await replicas.leader()
    await leader.confirm_leadership(1.0)
    replicas.network.isolate(leader.member.address)
    try:
        await leader.confirm_leadership(1.0)
    except wire.NotLeaderError:
        return []
    return ["A leader without a majority confirmed its leadership."]


def check_resend_budgets() -> list[str]:
    """Resends stay within one budget, however requests are distributed."""
    faults = []
    for seed in range(30):
        faults += ledger.run(_check_budget_history(random.Random(seed)))
    return faults


async def _check_budget_history(rng: random.Random) -> list[str]:
    ratio, slack, count = 0.14, 36.0, rng.randrange(1, 10)
    daemons = [
        routing.ResendBudgets(ratio, slack, lambda: count)
        for _ in range(count)
    ]
    requests: list[float] = []
    repeats: list[float] = []
    faults = []
    loop = asyncio.get_running_loop()
    for _ in range(1500):
        daemon = daemons[int(rng.triangular(0, count, 0)) % count]
        if rng.random() < 0.5:
            daemon.count("app")
            requests.append(loop.time())
        elif daemon.take("app"):
            repeats.append(loop.time())
        await asyncio.sleep(rng.expovariate(40))
        since = loop.time() - 10.0
        used = sum(at >= since for at in repeats)
        asked = sum(at >= since for at in requests)
        if used > 0.2 * asked + 52:
            faults.append(f"{used} resends for {asked} requests")
    return faults


# Number of contested elections, the time within which a leader must emerge,
# and how long the first leader is watched: far less than an election
# time-out.
ELECTION_COUNT = 100
MAX_ELECTION_S = 3.0
STABLE_LEADER_S = 0.25


class EmptyInstanceList(targets.InstanceList):
    """An instance list without targets."""

    async def read(self) -> tuple[targets.Instance, ...]:
        return ()


def _make_session(
    replicas: Replicas, number: int, lease: control.LeaseTiming
) -> control.Session:
    """Return the session of an entry that relays calls of its neighbours."""
    address = f"10.0.1.{number}:7000"
    server = wire.PeerServer()
    replicas.network.join(address, server)
    transport = standins.MemoryTransport(replicas.network, address)
    info = control.DaemonInfo(
        address, f"{address}#1", address, "mnl-a", peer_address=address
    )
    leader = control.LeaderClient(transport, replicas.addresses)
    session = control.Session(info, leader, transport, lease)
    session.attach(control.PassiveParticipant())
    relay = control.Relay(session, transport)
    relay.serve(server, control.HEARTBEAT)
    return session


async def _start_coordinators(
    replicas: Replicas,
    lease: control.LeaseTiming,
    stack: contextlib.AsyncExitStack,
    instances: targets.InstanceList = EmptyInstanceList(),
) -> None:
    """Run a coordinator on each replica."""
    for address in replicas.addresses:
        coordinator = control.Coordinator(
            address,
            replicas.node_by_address[address],
            replicas.machine_by_address[address],
            instances,
            standins.MemoryTransport(replicas.network, address),
            lease,
        )
        coordinator.serve(replicas.server_by_address[address])
        await stack.enter_async_context(coordinator)


async def cut_off_entry_is_relayed() -> list[str]:
    """An entry that reaches no replica is relayed by a neighbour."""
    replicas = await _form_replicas()
    lease = control.LeaseTiming(2.0, 0.3, call_s=0.6)
    async with contextlib.AsyncExitStack() as stack:
        await _start_coordinators(replicas, lease, stack)
        sessions = [
            _make_session(replicas, number, lease) for number in (1, 2, 3)
        ]
        for session in sessions:
            await stack.enter_async_context(session)
        await asyncio.sleep(3.0)
        faults = [] if all(s.fresh() for s in sessions) else ["no lease"]
        cut = sessions[0]
        for address in replicas.addresses:
            replicas.network.cut(cut.daemon.address, address)
        await asyncio.sleep(4.0)
        leader = await replicas.leader()
        await leader.propose(_change(7))
        await asyncio.sleep(2.5)
        if not (cut.fresh() and cut.goes_through_neighbour):
            faults.append("The entry that is cut off is not relayed.")
        if cut.view.routes.table.version != 7:
            faults.append("The entry that is cut off receives no changes.")
        replicas.network.heal()
        await asyncio.sleep(4.0)
        if not cut.fresh() or cut.goes_through_neighbour:
            faults.append("The entry does not call replicas directly again.")
    return faults


def _random_table(
    version: int, count: int, rng: random.Random
) -> catalogue.RouteTable:
    """Return a table of many routes with random names that don't compress."""
    names = [f"{rng.getrandbits(48):012x}" for _ in range(count)]
    return table(
        *(route(n, host=f"{n}.example", timeout_s=9.5) for n in names),
        version=version,
    )


async def _replace_table(
    replicas: Replicas, changed: catalogue.RouteTable
) -> None:
    replace = catalogue.ReplaceRoutes(changed, str(changed.version))
    command = catalogue.Command(replace_routes=replace)
    await (await replicas.leader()).propose(wire.encode(command))


async def _watch_leases(
    sessions: list[control.Session], faults: list[str], for_s: float
) -> None:
    """Append a fault, once, if a session is without a lease."""
    for _ in range(int(for_s / 0.05)):
        await asyncio.sleep(0.05)
        lost = [s.daemon.id for s in sessions if not s.fresh()]
        if lost:
            faults.append(f"entries without a lease: {lost}")
            return


async def _change_table_repeatedly(
    routes: int, changes: int, gap_s: float, link_bytes_per_s: float
) -> tuple[list[str], list[int]]:
    """Change a table often; return faults and the bytes each entry received.

    Each change appends a route. Entries have slow links; they must hold
    their leases throughout, and have the newest table one lease after the
    last change.
    """
    replicas = await _form_replicas()
    lease = control.LeaseTiming(2.0, 0.3, call_s=0.6)
    faults: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        await _start_coordinators(replicas, lease, stack)
        sessions = [
            _make_session(replicas, number, lease) for number in (1, 2, 3)
        ]
        for session in sessions:
            address = session.daemon.address
            replicas.network.bytes_per_s[address] = link_bytes_per_s
            await stack.enter_async_context(session)
        await asyncio.sleep(3.0)
        replicas.network.received.clear()
        changed = _random_table(1, routes, replicas.rng)
        watching = asyncio.create_task(
            _watch_leases(sessions, faults, changes * gap_s + lease.lease_s)
        )
        for version in range(1, changes + 1):
            more = route(f"more-{version}")
            changed = dataclasses.replace(
                changed, version=version, routes=(*changed.routes, more)
            )
            await _replace_table(replicas, changed)
            await asyncio.sleep(gap_s)
        await asyncio.sleep(lease.lease_s - gap_s)
        await watching
        found = {s.view.routes.table.version for s in sessions}
        if found != {changes}:
            faults.append(f"versions {found} in force, not {changes}")
        received = [replicas.network.received[s.daemon.id] for s in sessions]
    await replicas.stop_all()
    return faults, received


async def many_routes_over_slow_links() -> list[str]:
    """Changes of a table of 1,500 routes reach entries behind 5 Mbit/s.

    Forty changes within a second take fewer bytes than the plain text of one
    table, which is 376 kB.
    """
    faults, received = await _change_table_repeatedly(
        1_500, 40, 0.025, 625_000
    )
    if max(received) > 376_000:
        faults.append(f"an entry received {max(received)} bytes")
    return faults


async def huge_table_over_slow_links() -> list[str]:
    """A table that doesn't fit a heartbeat reply is fetched separately.

    12,000 routes with random names are 0.3 MB on the wire, which takes 1 s
    at 2.4 Mbit/s; a call times out after 0.6 s, and a lease lasts 2 s.
    """
    faults, _ = await _change_table_repeatedly(12_000, 3, 2.0, 300_000)
    return faults


async def frequent_changes_of_huge_table() -> list[str]:
    """Leases hold while each heartbeat reply asks for another fetch.

    A fetch takes 0.6 s, and the table changes every 0.2 s.
    """
    faults, _ = await _change_table_repeatedly(12_000, 14, 0.2, 450_000)
    return faults


async def stalled_fetch_is_repeated() -> list[str]:
    """A fetch that stalls is abandoned and repeated within 4 s."""
    replicas = await _form_replicas()
    lease = control.LeaseTiming(2.0, 0.3, call_s=0.6)
    async with contextlib.AsyncExitStack() as stack:
        await _start_coordinators(replicas, lease, stack)
        session = _make_session(replicas, 1, lease)
        replicas.network.bytes_per_s[session.daemon.address] = 300_000
        await stack.enter_async_context(session)
        await asyncio.sleep(3.0)
        await _replace_table(replicas, _random_table(1, 12_000, replicas.rng))
        await asyncio.sleep(0.6)
        # Data in transit is lost, but the connection stays open.
        replicas.network.stalled.add(session.daemon.address)
        await asyncio.sleep(0.3)
        replicas.network.stalled.clear()
        await asyncio.sleep(4.0)
        version = session.view.routes.table.version
        faults = [] if version == 1 else [f"version {version} after 4 s"]
    await replicas.stop_all()
    return faults


async def leader_change_wakes_callers() -> list[str]:
    """The event that callers wait for is set once another leader is found."""
    faults = []
    for seed in range(10):
        replicas = await _form_replicas(seed=seed)
        lease = control.LeaseTiming(2.0, 0.3, call_s=0.6)
        async with contextlib.AsyncExitStack() as stack:
            await _start_coordinators(replicas, lease, stack)
            session = _make_session(replicas, 1, lease)
            await stack.enter_async_context(session)
            await asyncio.sleep(2.0)
            old = session.leader.address
            moved = session.leader.moved
            replicas.network.isolate(old)
            await asyncio.sleep(4.0)
            if session.leader.address == old:
                faults.append(f"seed {seed}: no other leader found")
            elif not moved.is_set():
                faults.append(f"seed {seed}: the event was not set")
        await replicas.stop_all()
    return faults


async def two_replicas_restart() -> list[str]:
    """Two of three replicas that restart together elect a leader within 4 s.

    Each needs the other's vote; candidates that always start their elections
    at the same moment would never elect one.
    """
    faults = []
    for seed in range(40):
        replicas = Replicas(3, seed)
        await replicas.form()
        for address in replicas.addresses:
            await replicas.lose_power(address)
        for address in replicas.addresses[:2]:
            await replicas.start(address)
        loop = asyncio.get_running_loop()
        before = loop.time()
        await replicas.leader()
        took_s = loop.time() - before
        if took_s > 4:
            faults.append(f"seed {seed}: {took_s:.1f} s without a leader")
        await replicas.stop_all()
    return faults


async def all_replicas_restart() -> list[str]:
    """Replicas that restart together elect a leader early, with all votes.

    They need not wait for an election time-out, since none of them can still
    hold a lease. The median must be 0.4 s at most, the maximum 3 s.
    """
    faults = []
    times = []
    for seed in range(40):
        replicas = Replicas(3, seed)
        leader = await replicas.form()
        await leader.propose(_change(1))
        for address in replicas.addresses:
            await replicas.lose_power(address)
        loop = asyncio.get_running_loop()
        before = loop.time()
        for address in replicas.addresses:
            await replicas.start(address)
        leader = await replicas.leader()
        times.append(loop.time() - before)
        machine = replicas.machine_by_address[leader.member.address]
        if machine.routes_document != "1":
            faults.append(f"seed {seed}: the change is lost")
        await replicas.stop_all()
    times.sort()
    median_s = times[len(times) // 2]
    if median_s > 0.4 or times[-1] > 3:
        faults.append(f"median {median_s:.2f} s, maximum {times[-1]:.2f} s")
    return faults


async def lease_outlives_restarts() -> list[str]:
    """Restarted followers elect nobody while the old leader holds its lease.

    The leader is cut off. The followers have heard no leader since their
    start and are a majority, but an early election needs all votes.
    """
    faults = []
    for seed in range(20):
        replicas = Replicas(3, seed)
        old = await replicas.form()
        await asyncio.sleep(1.0)
        replicas.network.isolate(old.member.address)
        for address in replicas.addresses:
            if address != old.member.address:
                await replicas.lose_power(address)
                await replicas.start(address)
        for _ in range(300):
            await asyncio.sleep(0.005)
            holders = [
                address
                for address, node in replicas.node_by_address.items()
                if node.holds_lease()
            ]
            if len(holders) > 1:
                faults.append(f"seed {seed}: {holders} hold the lease")
                break
        await replicas.stop_all()
    return faults


async def new_leader_is_not_deposed() -> list[str]:
    """A new leader is not deposed by a candidate that wins no election.

    Two replicas start elections within 20 ms, sometimes with different
    terms, in a network with one-way delays of up to 9 ms and no partition.
    If a leadership ends, the other candidate has therefore ended it.
    """
    faults = []
    for seed in range(ELECTION_COUNT):
        replicas = await _form_replicas(seed=seed)
        await asyncio.sleep(1.0)
        faults += [
            f"seed {seed}: {fault}"
            for fault in await _run_contested_election(replicas)
        ]
        await replicas.stop_all()
    return faults


async def late_leadership_transfer() -> list[str]:
    """A leadership transfer is valid only in the term that it was sent in.

    An election started by it in a later term would ignore the lease of the
    leader of that term.
    """
    replicas = await _form_replicas()
    leader = await replicas.leader()
    successor = next(
        n for n in replicas.node_by_address.values() if n != leader
    )
    elections: list[bool] = []

    async def run_election(transfer: bool, unanimous: bool = False) -> None:
        elections.append(transfer)

    successor._run_election = run_election
    await successor.on_lead(
        quorum_messages.LeadRequest(successor.member.id, successor.term)
    )
    # The next term becomes known before the election loop runs.
    successor._vote = quorum_messages.Vote(successor.term + 1)
    await asyncio.sleep(0.3)
    return ["A late transfer began an election."] if any(elections) else []


async def vote_for_another_ends_election() -> list[str]:
    """A candidate that has voted for another gives up its own election.

    Like new_leader_is_not_deposed with equal terms, but with one-way delays
    of up to 80 ms, longer than a pre-vote reserves a replica for its
    candidate.
    """
    faults = []
    for seed in range(ELECTION_COUNT):
        replicas = await _form_replicas(seed=seed)
        await asyncio.sleep(1.0)
        replicas.network.max_extra_delay_s = 0.08
        found = await _run_two_elections(replicas, 0.1)
        faults += [f"seed {seed}: {fault}" for fault in found]
        await replicas.stop_all()
    return faults


async def _run_contested_election(replicas: Replicas) -> list[str]:
    """Run a contested election with random delays of network and disks."""
    rng = replicas.rng
    replicas.network.max_extra_delay_s = rng.choice((0.001, 0.003, 0.008))
    for disk in replicas.disk_by_address.values():
        disk.sync_s = rng.choice((0.0, 0.001, 0.004))
    if rng.random() < 0.5:
        ahead = rng.choice(list(replicas.node_by_address.values()))
        await ahead._learn_term(ahead.term + 1)
    return await _run_two_elections(replicas, 0.02)


async def _run_two_elections(replicas: Replicas, apart_s: float) -> list[str]:
    """Run the elections of two of three replicas that hear no leader.

    Returns a fault unless exactly one leadership begins, and lasts.
    """
    rng = replicas.rng
    nodes = list(replicas.node_by_address.values())
    for node in nodes:
        # As if no leader had been heard for long.
        node._become_follower(None)
        node._last_contact_at -= 10.0
        node._no_election_before = float("-inf")
    first, second = rng.sample(nodes, 2)
    heard_at = second._last_contact_at
    elections = [asyncio.create_task(first._run_election(False))]
    await asyncio.sleep(rng.uniform(0.0, apart_s))
    # A replica that has voted meanwhile waits, as in its election loop.
    if second._last_contact_at == heard_at:
        elections.append(asyncio.create_task(second._run_election(False)))
    leaders: set[tuple[str, int]] = set()
    ends_at = asyncio.get_running_loop().time() + MAX_ELECTION_S
    while asyncio.get_running_loop().time() < ends_at:
        await asyncio.sleep(0.002)
        now = {
            (node.name, node.term)
            for node in nodes
            if node.role is quorum.Role.LEADER
        }
        if now and not leaders:
            ends_at = asyncio.get_running_loop().time() + STABLE_LEADER_S
        leaders |= now
    await asyncio.gather(*elections, return_exceptions=True)
    if len(leaders) == 1 and now == leaders:
        return []
    return [f"leaders {sorted(leaders)}, at the end {sorted(now)}"]


async def restart_then_power_loss() -> list[str]:
    """A restarted process syncs the log that it finds before it uses it.

    The writes of a killed process may be in the page cache only. The next
    process reads and acknowledges them, and a power loss would lose them.
    """
    disk = standins.MemoryDisk(random.Random(1))
    storage = quorum.Storage(disk)
    await storage.load()
    entry = quorum.Entry(1, 1, quorum.EntryKind.COMMAND, b"x")
    await storage.append([entry])
    found = (await quorum.Storage(disk).load()).entries
    disk.crash()
    disk.start_again()
    left = (await quorum.Storage(disk).load()).entries
    return [] if found == left else [f"{len(found)} found, {len(left)} left"]


async def random_numbers_differ() -> list[str]:
    """Random numbers and ids differ even if uuid4 repeats its results."""
    same = unittest.mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=7))
    with same:
        draws = {wire.make_rng(f"r{n}").random() for n in range(20)}
        names = {wire.fresh_token("r1") for _ in range(20)}
        ids = set()
        for _ in range(5):
            disk = standins.MemoryDisk(random.Random(1))
            ids.add((await quorum.Storage(disk).identity("r1")).id)
    found = (len(draws), len(names), len(ids))
    return [] if found == (20, 20, 5) else [str(found)]


async def backoff_after_split_votes() -> list[str]:
    """A candidate waits a random time after a split vote.

    Here each pre-vote succeeds and each vote is split, as if others started
    elections at the same moment.
    """
    replicas = await _form_replicas()
    node = await replicas.leader()
    others = [n for n in replicas.node_by_address.values() if n is not node]
    await replicas.stop(others[0].member.address)
    await replicas.stop(others[1].member.address)

    async def always_split(pre: bool, transfer: bool, unanimous: bool) -> bool:
        await asyncio.sleep(0.004)
        return pre

    node._request_votes = always_split
    await asyncio.sleep(2.0)
    before = node.term
    await asyncio.sleep(6.0)
    election_count = node.term - before
    return (
        [f"{election_count} elections in 6 s"] if election_count > 20 else []
    )


def make_replica(
    settings: daemon.RoleSettings,
    network: standins.MemoryNetwork,
    disk: standins.MemoryDisk,
    instances: targets.InstanceList,
    make_engine: collections.abc.Callable[
        [targets.Instance], targets.AdapterEngine | None
    ],
    forms: bool,
    rng: random.Random,
) -> daemon.Replica:
    """Return a replica on a network in memory; it is not started."""
    with unittest.mock.patch.object(wire, "make_rng", lambda _: rng):
        replica = daemon.Replica(
            settings,
            standins.MemoryTransport(network, settings.address),
            disk,
            instances,
            make_engine,
            forms,
            0.5,
            wire.LoopClock(),
        )
    network.join(settings.address, replica.server)
    return replica


def replica_settings(
    name: str,
    address: str,
    datacentre: str,
    seeds: collections.abc.Sequence[str],
    **fields: object,
) -> daemon.RoleSettings:
    """Return settings of a replica with short time-outs."""
    return daemon.RoleSettings(
        name,
        address,
        datacentre,
        tuple(seeds),
        "peers",
        control.LeaseTiming(2.0, 0.3, call_s=0.6),
        quorum.Timing(0.5, 0.1, call_s=0.5),
        **fields,
    )


class DeployedReplicas(Replicas):
    """Replicas as a deployment runs them; the first three are seeds.

    Args:
        losses: number of simultaneous replica failures to tolerate.
        datacentres: data centres, assigned to the replicas in turn.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        losses: int = 2,
        datacentres: tuple[str, ...] = ("da", "db", "dc"),
    ) -> None:
        super().__init__(count, seed)
        self.losses = losses
        self.instances: targets.InstanceList = EmptyInstanceList()
        self.datacentre_by_address = dict(
            zip(self.addresses, itertools.cycle(datacentres))
        )
        self.replica_by_address: dict[str, daemon.Replica] = {}

    async def start(self, address: str, forms: bool = False) -> quorum.Node:
        """Start a replica."""
        settings = replica_settings(
            address,
            address,
            self.datacentre_by_address[address],
            self.addresses[:3],
            tolerated_failures=self.losses,
        )
        replica = make_replica(
            settings,
            self.network,
            self.disk_by_address[address],
            self.instances,
            self.engine_of,
            forms,
            random.Random(self.rng.random()),
        )
        self.machine_by_address[address] = replica.machine
        self.node_by_address[address] = replica.node
        self.replica_by_address[address] = replica
        await replica.__aenter__()
        return replica.node

    def engine_of(
        self, instance: targets.Instance
    ) -> targets.AdapterEngine | None:
        """Return the engine of a listed target."""
        return None

    async def stop(self, address: str) -> None:
        """Kill a replica."""
        self.network.kill(address)
        del self.node_by_address[address]
        replica = self.replica_by_address.pop(address)
        await replica.__aexit__(None, None, None)

    async def start_all(self) -> None:
        """Start all stopped replicas at once; they form the log if needed."""
        away = set(self.addresses) - set(self.node_by_address)
        await asyncio.gather(*(self.start(a, True) for a in sorted(away)))

    async def lose_disk(self, address: str) -> None:
        """Kill a replica and erase its disk."""
        await self.stop(address)
        self.disk_by_address[address].lose()
        self.disk_by_address[address].start_again()

    def voters(self, node: quorum.Node) -> set[str]:
        """Return the addresses of the voters in a node's configuration."""
        return {member.address for member in node.config.voters}

    async def wait_for_voters(
        self, addresses: set[str], within_s: float
    ) -> str | None:
        """Wait until exactly these replicas vote, all running.

        Returns:
            A fault if they don't within the time, else None.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + within_s
        found: set[str] = set()
        while loop.time() < ends_at:
            leader = await self.leader()
            found = self.voters(leader)
            ids = {m.id for m in leader.config.voters}
            running = {n.member.id for n in self.node_by_address.values()}
            if found == addresses and ids <= running:
                return None
            await asyncio.sleep(0.05)
        return f"voters {sorted(found)}, not {sorted(addresses)}"

    async def wait_for_voter_count(
        self, wanted: int, within_s: float = 8.0
    ) -> list[str]:
        """Wait for a number of voters; return a fault if it isn't reached."""
        ends_at = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < ends_at:
            leader = await self.leader()
            if len(leader.config.voters) == wanted:
                return []
            await asyncio.sleep(0.05)
        return [f"{len(leader.config.voters)} voters, not {wanted}"]

    async def commit_version(self, version: int) -> None:
        """Commit a change of the routes."""
        leader = await self.leader()
        await leader.propose(_change(version))

    async def check_leader(self, version: int, within_s: float) -> list[str]:
        """Check when a leader is found, and its version; return faults."""
        loop = asyncio.get_running_loop()
        before = loop.time()
        try:
            leader = await self.leader()
        except AssertionError:
            return ["no leader was elected"]
        took_s = loop.time() - before
        found = self.machine_by_address[leader.member.address].routes_document
        faults = []
        if took_s > within_s:
            faults.append(f"{took_s:.1f} s without a leader")
        if found != str(version):
            faults.append(f"{found} in force, {version} acknowledged")
        return faults

    async def check_recovery(self, within_s: float) -> list[str]:
        """Check that a leader has version 1, then commit version 2."""
        faults = await self.check_leader(1, within_s)
        if not faults:
            await self.commit_version(2)
        return faults

    def sample_voters(self, leader: quorum.Node) -> list[str]:
        """Sample as many voters as may be lost; often one is the leader."""
        return self.rng.sample(sorted(self.voters(leader)), self.losses)


async def _run_with_seeds(
    check: collections.abc.Callable[
        [DeployedReplicas], collections.abc.Awaitable[list[str]]
    ],
    make_replicas: collections.abc.Callable[[int], DeployedReplicas],
    seeds: range,
) -> list[str]:
    """Run a scenario with several seeds; return faults with their seed."""
    faults = []
    for seed in seeds:
        replicas = make_replicas(seed)
        await replicas.start_all()
        try:
            found = await check(replicas)
        except wire.ServingError as error:
            found = [error.message]
        faults += [f"seed {seed}: {fault}" for fault in found]
        await replicas.stop_all()
    return faults


def _five_or_six_replicas(seed: int) -> DeployedReplicas:
    """Return five replicas, or six, of which one is not a voter."""
    return DeployedReplicas(5 + seed % 2, seed)


async def disks_lost_in_a_power_cut() -> list[str]:
    """The tolerated number of disks is lost while all others lose power."""

    async def check(replicas: DeployedReplicas) -> list[str]:
        faults = await replicas.wait_for_voter_count(5)
        await replicas.commit_version(1)
        lost = replicas.sample_voters(await replicas.leader())
        for address in replicas.addresses:
            if address in lost:
                await replicas.lose_disk(address)
            else:
                await replicas.lose_power(address)
        await asyncio.sleep(1.0)
        await replicas.start_all()
        faults += await replicas.check_recovery(4.0)
        return faults or await replicas.wait_for_voter_count(5)

    return await _run_with_seeds(check, _five_or_six_replicas, range(10))


async def voters_without_power() -> list[str]:
    """The log is available while the tolerated number of voters is down."""

    async def check(replicas: DeployedReplicas) -> list[str]:
        faults = await replicas.wait_for_voter_count(5)
        await replicas.commit_version(1)
        for address in replicas.sample_voters(await replicas.leader()):
            await replicas.lose_power(address)
        await asyncio.sleep(0.6)
        faults += await replicas.check_recovery(3.0)
        if faults:
            return faults
        await asyncio.sleep(7.0)
        await replicas.start_all()
        await asyncio.sleep(4.0)
        faults += await replicas.wait_for_voter_count(5)
        return faults + await replicas.check_leader(2, 0.1)

    return await _run_with_seeds(check, _five_or_six_replicas, range(10))


async def voters_are_added_one_by_one() -> list[str]:
    """The seeds form the log; others become voters one by one, to a limit."""
    faults = []
    for losses, count in ((2, 5), (2, 7), (1, 5), (3, 9)):
        for seed in range(3):
            found = await _check_voter_growth(
                DeployedReplicas(count, seed, losses)
            )
            where = f"{losses} losses, {count} replicas, seed {seed}"
            faults += [f"{where}: {fault}" for fault in found]
    return faults


async def _check_voter_growth(replicas: DeployedReplicas) -> list[str]:
    """Start all replicas and check each configuration that takes effect."""
    faults: list[str] = []
    await replicas.start_all()
    last: quorum.Config | None = None
    for _ in range(3000):
        configs = [node.config for node in replicas.node_by_address.values()]
        newest = max(configs, key=lambda c: (len(c.members), len(c.voters)))
        if newest.voters and newest != last:
            if last is None and len(newest.voters) != 3:
                faults.append(f"formed with {len(newest.voters)} voters")
            if last is not None:
                added = set(newest.voters) - set(last.voters)
                if len(added) > 1 or not added <= set(last.learners):
                    faults.append(f"{len(added)} voters added at once")
            last = newest
        await asyncio.sleep(0.002)
    wanted = 2 * replicas.losses + 1
    if len(last.voters) != wanted:
        faults.append(f"{len(last.voters)} voters, not {wanted}")
    if len(last.members) != len(replicas.addresses):
        faults.append(f"{len(last.members)} members")
    await replicas.stop_all()
    return faults


async def learner_replaces_voter() -> list[str]:
    """A spare learner replaces a voter that is gone.

    The former voter returns as a learner, and replaces the next one.
    """

    async def check(replicas: DeployedReplicas) -> list[str]:
        faults = await replicas.wait_for_voter_count(5)
        await asyncio.sleep(2.0)
        leader = await replicas.leader()
        everyone = set(replicas.addresses)
        spare = everyone - replicas.voters(leader)
        learners = {m.address for m in leader.config.learners}
        if len(spare) != 1 or learners != spare:
            faults.append(f"learners {learners}, not voting {spare}")
        gone = replicas.rng.choice(sorted(replicas.voters(leader)))
        await replicas.lose_power(gone)
        wrong = await replicas.wait_for_voters(everyone - {gone}, 8.0)
        faults += [wrong] if wrong else []
        await replicas.commit_version(1)
        await replicas.start(gone)
        await asyncio.sleep(4.0)
        leader = await replicas.leader()
        if gone not in {m.address for m in leader.config.learners}:
            faults.append("The replica that returned is not a learner.")
        next_gone = replicas.rng.choice(sorted(replicas.voters(leader)))
        await replicas.lose_power(next_gone)
        wrong = await replicas.wait_for_voters(everyone - {next_gone}, 8.0)
        faults += [f"then {wrong}"] if wrong else []
        return faults + await replicas.check_leader(1, 0.1)

    return await _run_with_seeds(
        check, lambda n: DeployedReplicas(6, n), range(6)
    )


async def disks_lost_during_recovery() -> list[str]:
    """Disks are lost one after another, then the others lose power.

    The replicas with lost disks may still be recovering.
    """

    async def check(replicas: DeployedReplicas) -> list[str]:
        faults = await replicas.wait_for_voter_count(5)
        await replicas.commit_version(1)
        lost = replicas.sample_voters(await replicas.leader())
        for address in lost:
            await replicas.lose_disk(address)
            await asyncio.sleep(0.3)
            await replicas.start(address)
            await asyncio.sleep(replicas.rng.uniform(0.0, 1.5))
        for address in set(replicas.addresses) - set(lost):
            await replicas.lose_power(address)
        await replicas.start_all()
        faults += await replicas.check_recovery(4.0)
        return faults or await replicas.wait_for_voter_count(5)

    return await _run_with_seeds(check, _five_or_six_replicas, range(10))


async def disk_lost_twice() -> list[str]:
    """A learner that loses its disk again still becomes a voter."""

    async def check(replicas: DeployedReplicas) -> list[str]:
        faults = await replicas.wait_for_voter_count(5)
        leader = await replicas.leader()
        others = replicas.voters(leader) - {leader.member.address}
        lost = replicas.rng.choice(sorted(others))
        await replicas.lose_disk(lost)
        # The slow disk keeps the learner from catching up before the crash.
        replicas.disk_by_address[lost].sync_s = 1.0
        first = await replicas.start(lost)
        for _ in range(400):
            if first.member in leader.config.learners:
                break
            await asyncio.sleep(0.01)
        else:
            faults.append("The replica never became a learner.")
        await replicas.lose_disk(lost)
        replicas.disk_by_address[lost].sync_s = 0.0
        await replicas.start(lost)
        wrong = await replicas.wait_for_voters(set(replicas.addresses), 8.0)
        return faults + ([wrong] if wrong else [])

    return await _run_with_seeds(
        check, lambda n: DeployedReplicas(5, n), range(5)
    )


async def lost_datacentre() -> list[str]:
    """Voters are spread so that no data centre holds a majority.

    The seeds may all be in one data centre, and the first replicas to join
    too.
    """

    async def check(replicas: DeployedReplicas) -> list[str]:
        wanted = 2 * replicas.losses + 1
        faults = await replicas.wait_for_voter_count(wanted)
        await asyncio.sleep(6.0)
        faults += await replicas.wait_for_voter_count(wanted)
        await replicas.commit_version(1)
        where = replicas.datacentre_by_address
        for lost in sorted(set(where.values())):
            leader = await replicas.leader()
            voting = [where[a] for a in replicas.voters(leader)]
            if 2 * voting.count(lost) >= len(voting):
                faults.append(
                    f"{lost} has half of the voters or more: {voting}"
                )
        for address in [a for a in where if where[a] == "da"]:
            await replicas.lose_power(address)
        await asyncio.sleep(0.6)
        return faults + await replicas.check_leader(1, 3.0)

    seeds_in_one = ("da", "da", "da", "da", "db", "db", "dc", "dc")
    seeds_in_two = ("da", "da", "db", "da", "dc")
    faults = await _run_with_seeds(
        check, lambda n: DeployedReplicas(8, n, 2, seeds_in_one), range(5)
    )
    return faults + await _run_with_seeds(
        check, lambda n: DeployedReplicas(5, n, 1, seeds_in_two), range(5)
    )


async def lost_voter_before_spread() -> list[str]:
    """No voter is removed for the spread while another one is lost.

    The first replica that is replaced leaves two voters in one data centre.
    Its successor's successor comes up at once, before the second loss counts
    as one, and would make the spread even.
    """

    datacentres = ("da", "db", "dc", "da", "db")
    replicas = DeployedReplicas(5, 1, 1, datacentres)
    first, second, third, fourth, fifth = replicas.addresses
    await replicas.form()
    await replicas.commit_version(1)
    await replicas.lose_disk(second)
    await replicas.start(fourth)
    wrong = await replicas.wait_for_voters({first, third, fourth}, 8.0)
    if wrong:
        return [f"after the first loss: {wrong}"]
    await asyncio.sleep(1.0)
    await replicas.lose_disk(third)
    await replicas.start(fifth)
    wrong = await replicas.wait_for_voters({first, fourth, fifth}, 8.0)
    if wrong:
        return [f"after the second loss: {wrong}"]
    faults = await replicas.check_leader(1, 0.1)
    await replicas.stop_all()
    return faults


async def replica_imports_no_unused_modules() -> list[str]:
    """A program that uses only the replica imports no unused modules."""
    program = (
        "import sys; from bergamotsail import daemon; daemon.Replica; "
        "print(*sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = done.stdout.split()
    unused = {"bergamotsail.settings", "bergamotsail.daemon._assembly"}
    faults = [f"{name} was imported" for name in unused & set(loaded)]
    try:
        daemon.Nothing
        faults.append("An attribute that does not exist was found.")
    except AttributeError:
        pass
    if not issubclass(daemon.Daemon, object):
        faults.append("A public name was not found.")
    return faults


SCENARIOS = {
    "daemons_of_former_leaders_count": daemons_of_former_leaders_count,
    "replica_imports_no_unused_modules": replica_imports_no_unused_modules,
    "cut_off_entry_is_relayed": cut_off_entry_is_relayed,
    "restart_then_power_loss": restart_then_power_loss,
    "random_numbers_differ": random_numbers_differ,
    "backoff_after_split_votes": backoff_after_split_votes,
    "many_routes_over_slow_links": many_routes_over_slow_links,
    "huge_table_over_slow_links": huge_table_over_slow_links,
    "stalled_fetch_is_repeated": stalled_fetch_is_repeated,
    "frequent_changes_of_huge_table": frequent_changes_of_huge_table,
    "leader_change_wakes_callers": leader_change_wakes_callers,
    "two_replicas_restart": two_replicas_restart,
    "all_replicas_restart": all_replicas_restart,
    "lease_outlives_restarts": lease_outlives_restarts,
    "new_leader_is_not_deposed": new_leader_is_not_deposed,
    "vote_for_another_ends_election": vote_for_another_ends_election,
    "late_leadership_transfer": late_leadership_transfer,
    "seeds_form_one_log": seeds_form_one_log,
    "forms_with_slow_disks": forms_with_slow_disks,
    "form_call_waits_for_disks": form_call_waits_for_disks,
    "no_appends_while_loading": no_appends_while_loading,
    "append_survives_cancelled_call": append_survives_cancelled_call,
    "unordered_log_is_not_loaded": unordered_log_is_not_loaded,
    "no_votes_while_loading": no_votes_while_loading,
    "no_second_log_is_formed": no_second_log_is_formed,
    "new_replica_replaces_voter": new_replica_replaces_voter,
    "isolated_leader_confirms_no_read": isolated_leader_confirms_no_read,
    "disks_lost_in_a_power_cut": disks_lost_in_a_power_cut,
    "voters_without_power": voters_without_power,
    "voters_are_added_one_by_one": voters_are_added_one_by_one,
    "learner_replaces_voter": learner_replaces_voter,
    "disks_lost_during_recovery": disks_lost_during_recovery,
    "disk_lost_twice": disk_lost_twice,
    "lost_datacentre": lost_datacentre,
    "lost_voter_before_spread": lost_voter_before_spread,
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


async def _run_until_cancelled(_: quorum.Node, work, *args: object) -> object:
    """Run a write that is cancelled with its caller, for a mutant."""
    return await work(*args)


_IS_UNRESPONSIVE = quorum.Node._is_unresponsive
_WITHOUT_LOAD_CHECK = (quorum.Node, "_check_loaded", lambda _: None)
# Each mutant disables a guard: what it does instead, the scenario that must
# fail, and the arguments of mock.patch.object.
MUTANTS = (
    (
        "send tables of any size in heartbeat replies",
        "huge_table_over_slow_links",
        (control_coordinator, "MAX_EFFECT_BYTES", 1_000_000_000),
    ),
    (
        "renew no leases during a fetch",
        "frequent_changes_of_huge_table",
        (control_daemon_view, "MAX_WAITING", 0),
    ),
    (
        "abandon no stalled fetch",
        "stalled_fetch_is_repeated",
        (control_daemon_view, "STATE_SILENCE_S", 60.0),
    ),
    (
        "send effects without compression",
        "many_routes_over_slow_links",
        (catalogue.Effect, "compressed", lambda effect: effect),
    ),
    (
        "send superseded versions",
        "many_routes_over_slow_links",
        (catalogue.CatalogueMachine, "_drop_superseded", lambda *_: None),
    ),
    (
        "grant pre-votes to two candidates",
        "new_leader_is_not_deposed",
        (quorum.Node, "_reserve_pre_vote", lambda *_: True),
    ),
    (
        "continue an election after voting for another",
        "vote_for_another_ends_election",
        (quorum.Node, "_election_still_valid", lambda *_: True),
    ),
    (
        "win an early election with a majority",
        "lease_outlives_restarts",
        (
            quorum.Node,
            "_votes_needed",
            lambda node, _: node.config.majority,
        ),
    ),
    (
        "report an id before the disk is read",
        "forms_with_slow_disks",
        _WITHOUT_LOAD_CHECK,
    ),
    (
        "append before the disk is read",
        "no_appends_while_loading",
        _WITHOUT_LOAD_CHECK,
    ),
    (
        "vote before the disk is read",
        "no_votes_while_loading",
        _WITHOUT_LOAD_CHECK,
    ),
    (
        "cancel writes with their callers",
        "append_survives_cancelled_call",
        (quorum.Node, "_run_to_completion", _run_until_cancelled),
    ),
    (
        "limit the voters to the number of seeds",
        "disks_lost_in_a_power_cut",
        (daemon.RoleSettings, "voters", 3),
    ),
    (
        "add voters beyond the limit",
        "voters_are_added_one_by_one",
        (
            quorum.Node,
            "_with_voter",
            lambda _, config, member: quorum_membership.with_voter(
                config, member
            ),
        ),
    ),
    (
        "never join again after a removal",
        "learner_replaces_voter",
        (quorum.Node, "_may_have_been_removed", lambda _: False),
    ),
    (
        "wait for an unresponsive learner for ever",
        "disk_lost_twice",
        (
            quorum.Node,
            "_is_unresponsive",
            lambda node, member: member not in node.config.learners
            and _IS_UNRESPONSIVE(node, member),
        ),
    ),
    (
        "spread the voters while one of them is lost",
        "lost_voter_before_spread",
        (quorum.Node, "_answers", lambda *_: True),
    ),
    (
        "let one data centre hold a majority",
        "lost_datacentre",
        (quorum.Node, "_overrepresented_voter", lambda *_: None),
    ),
)


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        try:
            return run_scenario(scenario)
        except (AssertionError, wire.ServingError) as error:
            return [str(error)]
