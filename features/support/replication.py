"""Tests of how much replicas send each other, keep and read at once."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import quorum
from bergamotsail.quorum import _compaction as quorum_compaction
from bergamotsail.quorum import _log as quorum_log
from bergamotsail.quorum import _messages as quorum_messages
from bergamotsail.quorum import _node as quorum_node
from bergamotsail import standins
from bergamotsail import wire
from features.support import growth
from features.support import ledger

KB = 1_000
MB = 1_000_000
# A body that a replica accepts here. The product accepts more; a smaller
# limit keeps the test small.
ACCEPTED_BYTES = 2 * MB
# The slowest link of an entry, in bytes a second (1 Mbit/s).
SLOW_LINK = 125_000
# With it a replica takes 0.4 s to compact its log and 0.1 s for a call, as
# long as a call waits.
VERY_SLOW_SYNC_S = 0.1
# A successor must have the whole log within this time.
CATCH_UP_S = 4.0
# A sync of a disk that takes 30 times as long as one of 2 ms.
SLOW_SYNC_S = 0.06
# A change must be in force within this time.
IN_FORCE_S = 2.0


def large_change(version: int, size: int) -> bytes:
    """Return a command that sets a route table with a document of a size."""
    replace = catalogue.ReplaceRoutes(
        growth.table(growth.route(), version=version), "x" * size
    )
    return wire.encode(catalogue.Command(replace_routes=replace))


async def propose_changes(
    leader: quorum.Node, versions: collections.abc.Iterable[int], size: int
) -> None:
    """Commit a change with a document of *size* bytes for each version."""
    for version in versions:
        await leader.propose(large_change(version, size))


async def catch_up_s(
    replicas: growth.Replicas, address: str, version: int, give_up_s: float
) -> float:
    """Return how long a replica takes to apply a version.

    Returns infinity if it takes longer than *give_up_s*.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while loop.time() < began_at + give_up_s:
        machine = replicas.machine_by_address[address]
        if machine.view.routes.table.version >= version:
            return loop.time() - began_at
        await asyncio.sleep(0.02)
    return float("inf")


async def replaced_replica_catches_up() -> list[str]:
    """A replica that replaces another gets a log of large entries.

    It gets them in calls that it accepts, and another replica can be
    replaced afterwards.
    """
    replicas = growth.Replicas(5)
    replicas.network.max_request_bytes = ACCEPTED_BYTES
    leader = await replicas.form()
    await propose_changes(leader, range(1, 61), 100 * KB)
    faults = []
    for added in replicas.addresses[3:]:
        lost = (await replicas.leader()).member.address
        await replicas.stop(lost)
        await replicas.start(added)
        took_s = await catch_up_s(replicas, added, 60, 2 * CATCH_UP_S)
        # The election of another leader comes before.
        if took_s > CATCH_UP_S + 2.0:
            faults.append(f"{added} caught up after {took_s:.1f} s")
        await asyncio.sleep(3.0)
    leader = await replicas.leader()
    await leader.propose(large_change(61, KB))
    return faults


async def replica_returns_during_changes() -> list[str]:
    """A replica that was away catches up while large changes go on.

    Each of these changes is committed in time.
    """
    replicas = await growth._form_replicas()
    replicas.network.max_request_bytes = ACCEPTED_BYTES
    leader = await replicas.leader()
    away = next(
        address
        for address, node in replicas.node_by_address.items()
        if node is not leader
    )
    await replicas.stop(away)
    await propose_changes(leader, range(1, 51), 100 * KB)
    await replicas.start(away)
    behind = asyncio.create_task(
        catch_up_s(replicas, away, 50, 2 * CATCH_UP_S)
    )
    loop = asyncio.get_running_loop()
    latencies_s = []
    for version in range(51, 71):
        began_at = loop.time()
        await leader.propose(large_change(version, 100 * KB))
        latencies_s.append(loop.time() - began_at)
        await asyncio.sleep(0.05)
    faults = []
    if max(latencies_s) > IN_FORCE_S:
        faults.append(f"A change took {max(latencies_s):.1f} s.")
    if await behind > CATCH_UP_S:
        faults.append(f"{away} caught up after {await behind:.1f} s")
    return faults


async def large_entry_is_sent_alone() -> list[str]:
    """An entry above the bound of a call is sent in a call of its own."""
    replicas = await growth._form_replicas(4)
    leader = await replicas.leader()
    await leader.propose(large_change(1, 3 * MB))
    await propose_changes(leader, range(2, 5), 100 * KB)
    added = replicas.addresses[3]
    await replicas.stop(leader.member.address)
    await replicas.start(added)
    took_s = await catch_up_s(replicas, added, 4, 8.0)
    return [] if took_s < 8.0 else [f"{added} did not catch up"]


def recorded_calls(number: int, size: int) -> collections.abc.Iterator[bytes]:
    """Yield the commands that claim a key and record an answer under it."""
    key = f"{number}-key"
    claim = catalogue.Claim("shop", key, number, "digest", "attempt")
    yield wire.encode(catalogue.Command(claim=claim))
    outcome = catalogue.Outcome(200, {}, bytes(size))
    state = catalogue.ClaimState.DONE
    record = catalogue.Record("shop", key, "attempt", state, outcome)
    yield wire.encode(catalogue.Command(record=record))


async def snapshot_of_large_lines() -> list[str]:
    """A snapshot is sent in pieces that are accepted.

    Its lines hold recorded answers of calls that may not be repeated.
    """
    replicas = growth.Replicas(4)
    replicas.network.max_request_bytes = ACCEPTED_BYTES
    replicas.timing = dataclasses.replace(replicas.timing, snapshot_entries=50)
    leader = await replicas.form()
    for number in range(100):
        for command in recorded_calls(number, 50 * KB):
            await leader.propose(command)
    await leader.propose(large_change(1, KB))
    added = replicas.addresses[3]
    await replicas.stop(leader.member.address)
    await replicas.start(added)
    took_s = await catch_up_s(replicas, added, 1, 2 * CATCH_UP_S)
    if took_s > CATCH_UP_S + 2.0:
        return [f"{added} caught up after {took_s:.1f} s"]
    claims = replicas.machine_by_address[added].claims
    return [] if claims == 100 else [f"{claims} of 100 claims were sent"]


async def log_of_large_changes_is_bounded() -> list[str]:
    """Large changes are compacted by their size, long before their number.

    Bounds what a replica keeps in memory and on disk and reads at its start.
    """
    replicas = growth.Replicas(3)
    leader = await replicas.form()
    largest: dict[str, int] = {}
    for version in range(1, 151):
        await leader.propose(large_change(version, 300 * KB))
        for address, disk in replicas.disk_by_address.items():
            log = await disk.read("log") or b""
            largest[address] = max(largest.get(address, 0), len(log))
    # Base64 adds a third; one more change may be on its way.
    bound = (replicas.timing.snapshot_log_bytes + 2 * 300 * KB) * 4 // 3
    faults = [
        f"The log of {address} took {size / MB:.0f} MB."
        for address, size in largest.items()
        if size > bound + 100 * KB
    ]
    for address in replicas.addresses:
        await replicas.lose_power(address)
    for address in replicas.addresses:
        await replicas.start(address)
    await replicas.leader()
    for address in replicas.addresses:
        if await catch_up_s(replicas, address, 150, 5.0) > 5.0:
            faults.append(f"{address} lost a change")
    return faults


async def torn_large_record_is_read() -> list[str]:
    """A replica starts in time after a power loss tore a large record."""
    disk = standins.MemoryDisk(random.Random(1))
    entries = [
        quorum.Entry(n, 1, quorum.EntryKind.COMMAND, bytes(700 * KB))
        for n in (1, 2)
    ]
    storage = quorum.Storage(disk)
    await storage.append(entries)
    await storage.sync()
    log = await disk.read("log")
    await disk.truncate("log", len(log) - 1)
    began_at = time.monotonic()
    loaded = await quorum.Storage(disk).load()
    took_s = time.monotonic() - began_at
    faults = []
    if took_s > CATCH_UP_S:
        faults.append(f"The start took {took_s:.1f} s.")
    if [entry.index for entry in loaded.entries] != [1]:
        faults.append(f"{len(loaded.entries)} entries were read")
    return faults


async def state_of_large_entries_reaches_slow_daemon() -> list[str]:
    """A daemon behind a slow link gets a catalogue of large entries.

    Each member has 40 tokens, which take 2.7 kB. The link carries all of
    them in 7 s.
    """
    replicas = growth.Replicas(3)
    leader = await replicas.form()
    for number in range(300):
        tokens = tuple(f"{number:032}{token:032}" for token in range(40))
        put = catalogue.Put(
            catalogue.Kind.MEMBER,
            f"m{number}",
            wire.encode(catalogue.Member(tokens_sha256=tokens)).decode(),
            f"op{number}",
            "operator",
        )
        await leader.propose(wire.encode(catalogue.Command(put=put)))
    lease = control.LeaseTiming(2.0, 0.3, call_s=0.6)
    async with contextlib.AsyncExitStack() as stack:
        await growth._start_coordinators(replicas, lease, stack)
        await asyncio.sleep(1.0)
        session = growth._make_session(replicas, 1, lease)
        replicas.network.bytes_per_s[session.daemon.address] = SLOW_LINK
        await stack.enter_async_context(session)
        await asyncio.sleep(10.0)
        members = len(session.view.member_by_id)
    return [] if members == 300 else [f"{members} of 300 members are known"]


async def accepted_changes_are_bounded() -> list[str]:
    """Large changes are refused while slow disks are behind.

    What was accepted is committed, the newest first asked for included, and
    small changes go on meanwhile.
    """
    replicas = growth.Replicas(3)
    leader = await replicas.form()
    for address, disk in replicas.disk_by_address.items():
        if address != leader.member.address:
            disk.sync_s = SLOW_SYNC_S
    loop = asyncio.get_running_loop()
    faults: list[str] = []
    accepted: list[int] = []
    small_s: list[float] = []
    refused = 0

    async def change(version: int) -> None:
        nonlocal refused
        try:
            await leader.propose(large_change(version, 300 * KB))
            accepted.append(version)
        except wire.OverloadError as error:
            refused += error.ran is wire.RunStatus.NOT_RUN

    async def small_change(number: int) -> None:
        began_at = loop.time()
        for command in recorded_calls(number, KB):
            await leader.propose(command)
        small_s.append(loop.time() - began_at)

    largest = 0
    async with asyncio.TaskGroup() as group:
        for version in range(1, 101):
            group.create_task(change(version))
            group.create_task(small_change(version))
            await asyncio.sleep(0.005)
            waiting = leader._log.entries_after(leader.commit)
            largest = max(largest, sum(len(e.data) for e in waiting))
    if largest > quorum_node.MAX_UNCOMMITTED_BYTES:
        faults.append(f"{largest / MB:.0f} MB were not committed.")
    if len(accepted) + refused != 100 or not refused:
        faults.append(f"{len(accepted)} accepted, {refused} refused")
    if leader.role is not quorum.Role.LEADER:
        faults.append("The leader was lost.")
    if max(small_s) > IN_FORCE_S:
        faults.append(f"A small change took {max(small_s):.1f} s.")
    if not replicas.machine_by_address[leader.member.address].claims == 100:
        faults.append("A small change was refused.")
    for address in replicas.addresses:
        took_s = await catch_up_s(replicas, address, max(accepted), 10.0)
        if took_s > 10.0:
            faults.append(f"{address} lacks an accepted change")
    return faults


async def replicas_compact_at_different_times() -> list[str]:
    """A leader stays while the replicas compact their logs on slow disks."""
    replicas = growth.Replicas(3)
    leader = await replicas.form()
    for address, disk in replicas.disk_by_address.items():
        if address != leader.member.address:
            disk.sync_s = VERY_SLOW_SYNC_S
    term = leader.term
    try:
        await propose_changes(leader, range(1, 101), 300 * KB)
    except wire.ServingError as error:
        return [f"A change failed: {error}"]
    return [] if leader.term == term else ["The leader was lost."]


async def abandoned_snapshot_delays_no_compaction() -> list[str]:
    """A replica compacts its log after a leader was lost in a snapshot.

    The first piece of a snapshot is all that it got of it.
    """
    replicas = growth.Replicas(3)
    leader = await replicas.form()
    follower = next(
        node for node in replicas.node_by_address.values() if node != leader
    )
    meta = quorum.SnapshotMeta(1_000, leader.term, leader.config)
    piece = quorum_messages.SnapshotPiece(
        follower.member.id, leader.term, leader.member, meta, 0, (b"",), False
    )
    await follower.on_snapshot(piece)
    await replicas.stop(leader.member.address)
    leader = await replicas.leader()
    await propose_changes(leader, range(1, 41), 300 * KB)
    await asyncio.sleep(1.0)
    return [] if follower.snapshot_index > 0 else ["There is no snapshot."]


def compaction_is_due() -> list[str]:
    """A snapshot is due by number, by size, or by twice the last snapshot."""
    limits = quorum_compaction.CompactionLimits(300, 8 * MB)

    def entries_until_due(size: int, snapshot_bytes: int, draw: float) -> int:
        rng = unittest.mock.Mock(uniform=lambda low, high: draw)
        compaction = quorum_compaction.Compaction(limits, rng)
        compaction.reset(snapshot_bytes)
        count = 0
        while not compaction.is_due:
            compaction.add(size)
            count += 1
        return count

    cases = (
        ((100, 0, 1.0), 300),
        ((MB, 0, 1.0), 8),
        ((MB, 0, 0.5), 4),
        ((MB, 3 * MB, 1.0), 8),
        ((MB, 3 * MB, 0.5), 6),
        ((MB, 10 * MB, 0.5), 20),
        ((100, 10 * MB, 0.5), 300),
        ((20 * MB, 0, 1.0), 1),
    )
    found = tuple((case, entries_until_due(*case)) for case, _ in cases)
    return [] if found == cases else [f"entries until due: {found}"]


def log_counts_its_bytes() -> list[str]:
    """The log counts the bytes after an index through all its changes."""
    rng = random.Random(5)
    log = quorum_log.Log()
    for _ in range(2_000):
        action = rng.random()
        middle = rng.randint(log.snapshot.index, log.last_index)
        if action < 0.8:
            data = bytes(rng.randrange(100))
            kind = quorum.EntryKind.COMMAND
            log.add(quorum.Entry(log.last_index + 1, 1, kind, data))
        elif action < 0.88:
            log.truncate_after(middle)
        elif action < 0.98:
            log.compact(quorum.SnapshotMeta(middle, 1, log.config))
        else:
            log.reset(quorum.SnapshotMeta(middle + 5, 1, log.config))
        index = rng.randint(log.snapshot.index, log.last_index)
        wanted = sum(len(entry.data) for entry in log.entries_after(index))
        if log.bytes_after(index) != wanted:
            return [f"{log.bytes_after(index)} bytes, not {wanted}"]
    return []


def batches_are_bounded() -> list[str]:
    """Batches hold all items in order, within both bounds."""
    cases = (
        ((), ()),
        ((3, 3, 9, 1), ((3, 3), (9,), (1,))),
        ((9,), ((9,),)),
        ((0,) * 5, ((0,) * 4, (0,))),
        ((4, 4, 4), ((4, 4), (4,))),
    )
    found = tuple(
        (sizes, tuple(wire.batches(sizes, int, 4, 8))) for sizes, _ in cases
    )
    return [] if found == cases else [f"batches: {found}"]


SCENARIOS = {
    "replaced_replica_catches_up": replaced_replica_catches_up,
    "replica_returns_during_changes": replica_returns_during_changes,
    "snapshot_of_large_lines": snapshot_of_large_lines,
    "log_of_large_changes_is_bounded": log_of_large_changes_is_bounded,
    "abandoned_snapshot_delays_no_compaction": (
        abandoned_snapshot_delays_no_compaction
    ),
    "torn_large_record_is_read": torn_large_record_is_read,
    "state_of_large_entries_reaches_slow_daemon": (
        state_of_large_entries_reaches_slow_daemon
    ),
    "accepted_changes_are_bounded": accepted_changes_are_bounded,
    "replicas_compact_at_different_times": (
        replicas_compact_at_different_times
    ),
    "large_entry_is_sent_alone": large_entry_is_sent_alone,
}


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def _count_without_bytes(
    compaction: quorum_compaction.Compaction, _: int
) -> None:
    compaction._entries += 1


# Each mutant disables a guard: what it does instead, the scenario that must
# fail, and the arguments of mock.patch.object.
MUTANTS = (
    (
        "send entries of any size in one call",
        "replaced_replica_catches_up",
        (quorum_node, "MAX_BYTES_PER_APPEND", 1_000 * MB),
    ),
    (
        "send snapshots in pieces of any size",
        "snapshot_of_large_lines",
        (quorum_node, "BYTES_PER_PIECE", 1_000 * MB),
    ),
    (
        "compact the logs of all replicas at once",
        "replicas_compact_at_different_times",
        (quorum_compaction, "MIN_LIMIT_FRACTION", 1.0),
    ),
    (
        "accept changes of any size while replicas are behind",
        "accepted_changes_are_bounded",
        (quorum.Node, "_check_uncommitted", lambda *_: None),
    ),
    (
        "compact the log by the number of its entries alone",
        "log_of_large_changes_is_bounded",
        (quorum_compaction.Compaction, "add", _count_without_bytes),
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
