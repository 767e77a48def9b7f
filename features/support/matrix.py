"""The fault matrix: injects every fault at every step of wire.Step."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time
import traceback

from bergamotsail import wire
from features.support import world as world_lib

LOAD_DURATION_S = 7.0
SECOND_S = 1.0
PAST_LEASE_S = 6.0
LONG_PARTITION_S = 20.0
DURING_DELAY_S = 0.004
MAX_VIRTUAL_S = 400

SimulatedCluster = world_lib.SimulatedCluster
EntryInstance = world_lib.EntryInstance

Fault = collections.abc.Callable[
    [EntryInstance], collections.abc.Coroutine[None, None, None]
]


BEFORE = "before"
DURING = "during"
AFTER = "after"
MOMENTS = (BEFORE, DURING, AFTER)


async def _run_later(world: SimulatedCluster, delay_s: float, work) -> None:
    """Run work after a delay, in a background task."""

    async def run_delayed() -> None:
        await asyncio.sleep(delay_s)
        await work()

    world.oracle.background.add(asyncio.create_task(run_delayed()))


def _replica(entry: EntryInstance) -> EntryInstance:
    """Return the entry if it is a replica, else the first replica."""
    return entry if entry.disk is not None else entry.world.entry(0)


async def kill(entry: EntryInstance) -> None:
    """Kill the process and restart it after 2 s."""
    world = entry.world
    await _run_later(world, 2.0, lambda: world.restart(entry))
    await world.kill_within_step(entry)


async def freeze(entry: EntryInstance) -> None:
    """Freeze the process past the end of its lease, then resume it."""
    world = entry.world

    async def wake() -> None:
        world.wake(entry)

    world.freeze(entry)
    await _run_later(world, PAST_LEASE_S, wake)
    await entry.host.awake.wait()


async def lose_disk(entry: EntryInstance) -> None:
    """Kill a replica and restart it with a blank disk."""
    world = entry.world
    entry = _replica(entry)

    async def lose() -> None:
        await _wait_other_replicas_vote(world, entry)
        await world.kill(entry)
        entry.disk.lose()
        await asyncio.sleep(1.0)
        await world.start(entry)

    await _run_later(world, 0.0, lose)


async def _wait_other_replicas_vote(
    world: SimulatedCluster, entry: EntryInstance
) -> None:
    """Wait until all other replicas vote, for 20 s at the most.

    Losing two disks of three at once loses the log's majority.
    """
    for _ in range(200):
        if other_replicas_vote(world, entry):
            return
        await asyncio.sleep(0.1)


async def failed_sync(entry: EntryInstance) -> None:
    """Make every sync of a replica fail."""
    _replica(entry).disk.fail_syncs = True


async def full_disk(entry: EntryInstance) -> None:
    """Make every write of a replica fail."""
    _replica(entry).disk.full = True


async def torn_write(entry: EntryInstance) -> None:
    """Kill a replica in the middle of a write."""
    world = entry.world
    entry = _replica(entry)
    entry.disk.tear = True
    await _run_later(world, 1.0, lambda: world.restart(entry))
    await _run_later(world, 0.0, lambda: world.kill(entry))


async def _cut(
    entry: EntryInstance, for_s: float, outward: bool, inward: bool
):
    """Drop the daemon's outgoing or incoming messages, or both, for a time."""
    world = entry.world
    others = [p.address for p in world.entries if p is not entry]
    for other in others:
        if outward:
            world.network.cut(entry.address, other, False)
        if inward:
            world.network.cut(other, entry.address, False)

    async def heal() -> None:
        world.network.cuts.clear()

    await _run_later(world, for_s, heal)


async def cut_both_ways(entry: EntryInstance) -> None:
    """Cut the daemon off from all others."""
    await _cut(entry, PAST_LEASE_S, True, True)


async def cut_outward(entry: EntryInstance) -> None:
    """Drop all messages that the daemon sends to others."""
    await _cut(entry, PAST_LEASE_S, True, False)


async def cut_inward(entry: EntryInstance) -> None:
    """Drop all messages that others send to the daemon."""
    await _cut(entry, PAST_LEASE_S, False, True)


async def long_partition(entry: EntryInstance) -> None:
    """Cut the daemon off for several times its lease."""
    await _cut(entry, LONG_PARTITION_S, True, True)


async def disordered_messages(entry: EntryInstance) -> None:
    """Delay, duplicate and reorder messages."""
    world = entry.world
    world.network.duplicate_probability = 0.3
    world.network.max_extra_delay_s = 0.3
    await _run_later(world, 5.0, make_network_healer(world))


def make_network_healer(world: SimulatedCluster):
    """Return a coroutine function that ends all network faults."""

    async def heal() -> None:
        world.network.heal()

    return heal


async def lost_replies(entry: EntryInstance) -> None:
    """Drop the replies of all targets for 1.5 s."""
    world = entry.world
    for links in world.links.values():
        for link in links:
            link.lose_replies = True

    async def heal() -> None:
        for links in world.links.values():
            for link in links:
                link.lose_replies = False

    await _run_later(world, 1.5, heal)


async def engines_restart(entry: EntryInstance) -> None:
    """Restart all engines without any resident adapter."""
    for engine in entry.world.engine_by_address.values():
        engine.restart()


async def loads_fail(entry: EntryInstance) -> None:
    """Make all loads fail for 2 s."""
    world = entry.world
    for engine in world.engine_by_address.values():
        engine.load_fault = wire.EngineError("The load failed.")

    async def heal() -> None:
        for engine in world.engine_by_address.values():
            engine.load_fault = None

    await _run_later(world, 2.0, heal)


async def loads_hang(entry: EntryInstance) -> None:
    """Make loads that start within 2 s hang for 3 s."""
    world = entry.world
    for engine in world.engine_by_address.values():
        engine.load_hang_s = 3.0

    async def heal() -> None:
        for engine in world.engine_by_address.values():
            engine.load_hang_s = 0.0

    await _run_later(world, 2.0, heal)


async def target_leaves(entry: EntryInstance) -> None:
    """Mark an engine as leaving in the instance list."""
    world = entry.world
    world.leaving.add("runner-0")
    world.publish()
    now = asyncio.get_running_loop().time()
    world.oracle.left_at["runner-0"] = now


async def list_empty(entry: EntryInstance) -> None:
    """Serve an empty instance list for 5 s."""
    world = entry.world
    world.missing = {"runner-0", "runner-1", "app-0", "app-1"}
    world.publish()

    async def heal() -> None:
        world.missing = set()
        world.publish()

    await _run_later(world, 5.0, heal)


async def list_unreachable(entry: EntryInstance) -> None:
    """Make the instance list unreachable."""
    entry.world.list_link.cut = True


async def operators_race(entry: EntryInstance) -> None:
    """Write one entry concurrently from all daemons at one revision."""
    world = entry.world

    async def race() -> None:
        up = [p for p in world.entries if p.up]
        view = up[0].daemon.session.view
        revision = view.adapter_by_id["adapter-1"].revision
        value = world_lib.adapter_value("lakeshore")
        replies = await asyncio.gather(
            *(
                world.put("adapter", "adapter-1", value, p, revision)
                for p in up
            )
        )
        won = [r for r in replies if r is not None and r.conflict is None]
        if len(won) > 1:
            world.oracle.faults.append(
                f"changes: {len(won)} writes at one revision succeeded"
            )

    await _run_later(world, 0.0, race)


async def second_kill_in_recovery(entry: EntryInstance) -> None:
    """Kill a second replica while the first recovers from a lost disk."""
    world = entry.world
    replicas = [p for p in world.entries if p.disk is not None]
    first = _replica(entry)
    second = replicas[(replicas.index(first) + 1) % len(replicas)]

    async def lose() -> None:
        await _wait_other_replicas_vote(world, first)
        await world.kill(first)
        first.disk.lose()
        await asyncio.sleep(0.5)
        await world.start(first)
        await asyncio.sleep(0.6)
        await world.kill(second)
        await asyncio.sleep(2.4)
        await world.restart(second)

    await _run_later(world, 0.0, lose)


async def planned_stop(entry: EntryInstance) -> None:
    """Stop the daemon gracefully, then restart it."""
    world = entry.world
    await _run_later(world, 0.0, lambda: stop_and_start(entry))


FAULTS: tuple[Fault, ...] = (
    kill,
    freeze,
    lose_disk,
    failed_sync,
    full_disk,
    torn_write,
    cut_both_ways,
    cut_outward,
    cut_inward,
    long_partition,
    disordered_messages,
    lost_replies,
    engines_restart,
    loads_fail,
    loads_hang,
    target_leaves,
    list_empty,
    list_unreachable,
    operators_race,
    second_kill_in_recovery,
    planned_stop,
)

FAULT_BY_NAME = {fault.__name__: fault for fault in FAULTS}


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One fault before, during or after one step."""

    fault: str
    step: str
    when: str

    @property
    def name(self) -> str:
        """The fault, moment and step, separated by blanks."""
        return f"{self.fault} {self.when} {self.step}"


@dataclasses.dataclass(frozen=True, slots=True)
class CaseResult:
    """The result of a case.

    Args:
        injected: whether the step was reached, so that the fault was injected.
        faults: violations found, empty if the case passed.
        seconds: real time that the case took.
    """

    case: Case
    injected: bool
    faults: tuple[str, ...]
    seconds: float


def all_cases() -> list[Case]:
    """Return a case for every fault, step and moment."""
    return [
        Case(name, str(step), when)
        for name in FAULT_BY_NAME
        for step in wire.Step
        for when in MOMENTS
    ]


def rotated_cases() -> list[Case]:
    """Return a case for every fault and step, rotating the moments."""
    return [
        Case(name, str(step), MOMENTS[(row + column) % len(MOMENTS)])
        for row, name in enumerate(FAULT_BY_NAME)
        for column, step in enumerate(wire.Step)
    ]


def schedule_fault(world: SimulatedCluster, case: Case) -> None:
    """Schedule the fault for the next time that its step is reached."""
    fault = FAULT_BY_NAME[case.fault]
    step = wire.Step(case.step)

    async def during(entry: EntryInstance) -> None:
        await _run_later(world, DURING_DELAY_S, lambda: fault(entry))

    if case.when == DURING:
        world.action_by_step[(step, wire.Phase.BEFORE)] = during
        return
    world.action_by_step[(step, wire.Phase(case.when))] = fault
    if case.when == AFTER and step in STEPS_WITHOUT_AFTER:
        # These steps report no AFTER phase: a short delay replaces it.
        world.action_by_step[(step, wire.Phase.BEFORE)] = during


STEPS_WITHOUT_AFTER = frozenset(
    {
        wire.Step.APPEND,
        wire.Step.APPLY,
        wire.Step.RUN,
        wire.Step.FIRST_CHUNK,
        wire.Step.MID_STREAM,
        wire.Step.LAST_CHUNK,
    }
)


async def _run_load(world: SimulatedCluster) -> None:
    """Run calls and changes, and cause rare steps, for LOAD_DURATION_S."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks: set[asyncio.Task] = set()

    def spawn(work) -> None:
        tasks.add(asyncio.create_task(work))

    spawn(_cause_rare_steps(world))
    number = 0
    while loop.time() - started < LOAD_DURATION_S:
        number += 1
        up = [p for p in world.entries if p.up and not p.frozen]
        if up:
            at = world.rng.choice(up)
            adapter = world.rng.randrange(world.settings.adapters)
            leave = 2 if number % 9 == 0 else None
            spawn(world.complete(adapter, at, leave_after=leave))
            if number % 3 == 0:
                spawn(world.book(number, at, resends=2))
            if number % 4 == 0:
                spawn(_edit(world, number, at))
        await asyncio.sleep(0.15)
    await asyncio.gather(*tasks)


async def _edit(
    world: SimulatedCluster, number: int, at: EntryInstance
) -> None:
    adapter = number % world.settings.adapters
    owner = world_lib.MEMBERS[adapter % 2]
    value = world_lib.adapter_value(owner, ("v1", "v2", f"w{number}"))
    await world.put("adapter", f"adapter-{adapter}", value, at)


async def _cause_rare_steps(world: SimulatedCluster) -> None:
    """Cause the rare steps: an election, a blank disk and a stop."""
    await asyncio.sleep(1.0)
    leader = world.leader()
    if leader is not None:
        with contextlib.suppress(wire.ServingError):
            await leader.daemon.node.transfer()
    await asyncio.sleep(1.0)
    blank = world.entry(2)
    if blank.up and not blank.frozen and other_replicas_vote(world, blank):
        await world.kill(blank)
        blank.disk.lose()
        await world.start(blank)
    await asyncio.sleep(1.0)
    owners = [
        entry
        for entry in world.entries
        if entry.up and not entry.frozen and entry.daemon.owners.by_target
    ]
    if owners:
        await stop_and_start(owners[-1])


def other_replicas_vote(world: SimulatedCluster, blank: EntryInstance) -> bool:
    """Whether all other replicas vote, so that this disk may be lost."""
    return all(
        entry.up
        and not entry.frozen
        and entry.daemon.node.error is None
        and entry.daemon.node.config.has_voter(entry.daemon.node.member.id)
        and entry.daemon.node.commit > 0
        for entry in world.entries
        if entry.disk is not None and entry is not blank
    )


async def stop_and_start(entry: EntryInstance) -> None:
    """Stop a daemon gracefully and restart it.

    Does nothing if the daemon is down, frozen or already stopping, and does
    not restart it if it was killed or replaced meanwhile.
    """
    world = entry.world
    if not entry.up or entry.frozen or entry.daemon.stopping:
        return
    daemon = entry.daemon
    stopping = asyncio.create_task(daemon.stop())
    while not stopping.done() and entry.daemon is daemon and entry.up:
        await asyncio.wait([stopping], timeout=0.1)
    stopping.cancel()
    if entry.daemon is daemon and entry.up:
        await world.restart(entry)


async def check_recovery(world: SimulatedCluster) -> None:
    """End all faults, then check that a change and requests succeed."""
    await world.heal()
    await asyncio.sleep(2.0)
    reply = await world.put(
        "adapter", "adapter-0", world_lib.adapter_value("tahi")
    )
    if reply is None or reply.conflict is not None:
        world.oracle.faults.append(
            f"recovery: a change was not accepted: {reply}"
        )
    for adapter in range(4):
        at = world.entries[adapter % len(world.entries)]
        answer = await world.complete(adapter, at, deadline_s=30.0)
        if answer.error is not None:
            world.oracle.faults.append(
                f"recovery: adapter-{adapter} at {at.name}: {answer.error!r}"
            )
    await asyncio.sleep(1.0)


async def run_case(case: Case, seed: int = 1) -> CaseResult:
    """Run one case in virtual time."""
    started = time.perf_counter()
    settings = world_lib.ClusterSettings(
        seed=seed, checks_fencing=seed % 2 == 0
    )
    async with (
        asyncio.timeout(MAX_VIRTUAL_S),
        SimulatedCluster(settings) as world,
    ):
        schedule_fault(world, case)
        await _run_load(world)
        injected = bool(world.injected)
        await check_recovery(world)
        faults = world.oracle.check_at_end()
    seconds = time.perf_counter() - started
    return CaseResult(case, injected, tuple(faults), seconds)


def run_in_virtual_time(case: Case) -> CaseResult:
    """Run one case on an event loop of its own; a crash is a failure."""
    started = time.perf_counter()
    try:
        return world_lib.run_virtual(run_case(case))
    except Exception:
        text = traceback.format_exc(limit=-3)
        seconds = time.perf_counter() - started
        return CaseResult(case, True, (f"crash: {text}",), seconds)
