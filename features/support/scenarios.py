"""Scenarios and mutants for the guarantees of the system.

Each scenario runs in virtual time and returns the violations it found. A
mutant disables one guard in the code; its scenario must then report at
least one violation.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import typing
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import daemon as daemon_lib
from bergamotsail import limits
from bergamotsail import placement
from bergamotsail.placement import _residents
from bergamotsail import quorum
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import wire
from features.support import oracle as oracle_lib
from features.support import world as world_lib

SimulatedCluster = world_lib.SimulatedCluster
Settings = world_lib.ClusterSettings
patch = unittest.mock.patch.object


async def _send(
    world: SimulatedCluster, count: int, pause_s: float, **kwargs: typing.Any
) -> list:
    """Send model requests at a fixed interval and return their answers."""
    tasks = []
    for number in range(count):
        up = [p for p in world.entries if p.up and not p.frozen]
        at = up[number % len(up)]
        adapter = world.rng.randrange(world.settings.adapters)
        tasks.append(
            asyncio.create_task(world.complete(adapter, at, **kwargs))
        )
        await asyncio.sleep(pause_s)
    return await asyncio.gather(*tasks)


def _error_violations(guarantee: str, answers: list) -> list[str]:
    """Return a violation for each answer that ended with an error."""
    return [
        f"{guarantee}: {answer.error!r}"
        for answer in answers
        if answer.error is not None
    ]


async def exact_adapter(seed: int = 1) -> list[str]:
    """Engines restart repeatedly and lose all adapters.

    They check no incarnation and answer with any adapter if the requested
    one is missing.
    """
    engine = standins.EngineSettings(
        3, 4, 0.02, checks_incarnation=False, sloppy=True
    )
    async with SimulatedCluster(Settings(seed=seed, engine=engine)) as world:
        sending = asyncio.create_task(_send(world, 60, 0.1))
        for number in range(12):
            await asyncio.sleep(0.5)
            world.engine(number % 2).restart()
        await sending
        return world.oracle.check_at_end()


async def withdrawn_version(seed: int = 1) -> list[str]:
    """A version is withdrawn while requests for it wait for a load."""
    async with SimulatedCluster(Settings(seed=seed, load_s=2.0)) as world:
        waiting = [
            asyncio.create_task(
                world.complete(0, world.entry(n), version="v2")
            )
            for n in range(3)
        ]
        await asyncio.sleep(0.5)
        value = world_lib.adapter_value("tahi", ("v1",))
        await world.put("adapter", "adapter-0", value)
        answers = await asyncio.gather(*waiting)
        faults = world.oracle.check_at_end()
        for answer in answers:
            code = answer.error.code if answer.error else "answered"
            if code not in ("answered", "version_withdrawn"):
                faults.append(f"exact: ended with {code}")
        return faults


async def no_eviction_while_serving(seed: int = 1) -> list[str]:
    """Many adapters compete for few slots while ownership changes."""
    engine = standins.EngineSettings(2, 4, 0.04)
    daemon = {"placement": {"min_residence_s": 0.1, "drain_after_s": 0.5}}
    settings = Settings(
        seed=seed, engine=engine, load_s=0.05, daemon=daemon, adapters=10
    )
    async with SimulatedCluster(settings) as world:
        sending = asyncio.create_task(_send(world, 120, 0.05, tokens=25))
        await asyncio.sleep(1.0)
        owners = [p for p in world.entries if p.daemon.owners.by_target]
        await world.restart(owners[0])
        await asyncio.sleep(1.0)
        for entry in world.entries:
            entry.daemon.owners.hand_over(list(entry.daemon.owners.by_target))
        await sending
        return world.oracle.check_at_end()


async def orphaned_runs(seed: int = 1) -> list[str]:
    """Long runs outlive their owner while others compete for slots."""
    engine = standins.EngineSettings(2, 16, 0.04)
    daemon = {"placement": {"min_residence_s": 0.1, "orphan_grace_s": 20.0}}
    settings = Settings(
        seed=seed, engine=engine, load_s=0.05, daemon=daemon, adapters=10
    )
    async with SimulatedCluster(settings) as world:
        long_runs = [
            asyncio.create_task(world.complete(n, world.entry(n), 200))
            for n in range(3)
        ]
        await asyncio.sleep(1.5)
        for entry in world.entries:
            entry.daemon.owners.hand_over(list(entry.daemon.owners.by_target))
        await asyncio.sleep(0.5)
        await _send(world, 40, 0.05, deadline_s=10.0)
        owners = [p for p in world.entries if p.daemon.owners.by_target]
        await world.restart(owners[0])
        await _send(world, 40, 0.1, deadline_s=10.0)
        await asyncio.gather(*long_runs)
        return world.oracle.check_at_end()


async def mixed_and_lost_chunks(seed: int = 1) -> list[str]:
    """Chunks are duplicated, mixed between streams, or lost."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        await _send(world, 10, 0.1)
        for links in world.links.values():
            for link in links:
                link.crossed = True
        await _send(world, 20, 0.1)
        for links in world.links.values():
            for link in links:
                link.lose_chunks = True
        await _send(world, 20, 0.1, deadline_s=5.0)
        return world.oracle.check_at_end()


async def reported_not_run(seed: int = 1) -> list[str]:
    """Replies are lost after the run started, and deadlines are short."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        await _send(world, 10, 0.1)
        for links in world.links.values():
            for link in links:
                link.lose_replies = True
        sending = _send(world, 30, 0.05, deadline_s=1.0)
        bookings = [
            asyncio.create_task(world.book(n, world.entry(n % 5)))
            for n in range(10)
        ]
        await sending
        await asyncio.gather(*bookings)
        return world.oracle.check_at_end()


async def at_most_once(seed: int = 1) -> list[str]:
    """Callers resend after lost replies and killed entry instances."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        tasks = []
        for number in range(40):
            at = world.entry(number % 5)
            if at.up:
                tasks.append(
                    asyncio.create_task(world.book(number, at, resends=3))
                )
            lose = 10 <= number < 20
            for links in world.links.values():
                for link in links:
                    link.lose_replies = lose
            if number in (22, 30):
                await asyncio.sleep(0.01)
                victim = world.entry(3 + (number == 30))
                await world.kill(victim)
                await asyncio.sleep(0.2)
                await world.start(victim)
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        return world.oracle.check_at_end()


async def expired_keys(seed: int = 1) -> list[str]:
    """A resend arrives after its idempotency claim has expired."""
    daemon = {"claim_retention_s": 10.0}
    async with SimulatedCluster(Settings(seed=seed, daemon=daemon)) as world:
        key = f"{int(world.wall_s())}-late"
        await world.book(1, world.entry(1), key=key)
        await asyncio.sleep(60.0)
        late = await world.book(1, world.entry(2), key=key)
        faults = world.oracle.check_at_end()
        if late.outcomes[-1][1] != "unknown":
            faults.append(f"at_most_once: late resend got {late.outcomes}")
        return faults


async def leaving_target(seed: int = 1) -> list[str]:
    """A target is leaving; the instance list reports it late."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        sending = asyncio.create_task(_send(world, 120, 0.1))
        await asyncio.sleep(2.0)
        world.leaving.add("runner-0")
        world.publish()
        now = asyncio.get_running_loop().time()
        world.oracle.left_at["runner-0"] = now
        await sending
        return world.oracle.check_at_end()


async def leaving_list_unreachable(seed: int = 1) -> list[str]:
    """A target is leaving while the instance list is unreachable."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        world.list_link.cut = True
        sending = asyncio.create_task(_send(world, 120, 0.1))
        await asyncio.sleep(2.0)
        world.engine(0).leaving = True
        now = asyncio.get_running_loop().time()
        world.oracle.left_at["runner-0"] = now
        await sending
        return world.oracle.check_at_end()


async def planned_stop(seed: int = 1) -> list[str]:
    """Two daemons stop together under load, one of them the leader."""
    settings = Settings(seed=seed)
    async with SimulatedCluster(settings) as world:
        stopping = [world.leader(), world.entry(4)]
        tasks = []
        stops = []
        for number in range(60):
            # Callers with cached addresses still reach the stopping daemons.
            accepting = [
                p for p in world.entries if p.up and p.daemon.accepting
            ]
            at = accepting[number % len(accepting)]
            tasks.append(
                asyncio.create_task(
                    world.complete(number % 8, at, 20, reconnect=False)
                )
            )
            if number == 20:
                stops = [
                    asyncio.create_task(_stop(world, entry))
                    for entry in stopping
                ]
            await asyncio.sleep(0.08)
        answers = await asyncio.gather(*tasks)
        await asyncio.gather(*stops)
        faults = world.oracle.check_at_end()
        return faults + _error_violations("planned_stop", answers)


async def _stop(
    world: SimulatedCluster, entry: world_lib.EntryInstance
) -> None:
    await entry.daemon.stop()
    await world.kill(entry)


async def changes_survive_power_loss(seed: int = 1) -> list[str]:
    """All replicas lose power at once, right after acknowledging a write."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        for number in range(5):
            value = world_lib.adapter_value("tahi", ("v1", f"n{number}"))
            await world.put("adapter", f"new-{number}", value)
            replicas = world.entries[: world.settings.replicas]
            for entry in replicas:
                entry.disk.tear = True
                await world.kill(entry)
            for entry in replicas:
                await world.start(entry)
            await world.wait_until(world.all_fresh, 30)
        await asyncio.sleep(10.0)
        return world.oracle.check_at_end()


async def changes_after_partition(seed: int = 1) -> list[str]:
    """Changes reach daemons after a long network partition.

    The first partition isolates one entry instance; the second isolates
    the leader together with an entry instance.
    """
    async with SimulatedCluster(Settings(seed=seed)) as world:
        world.network.isolate(world.entry(4).address)
        await world.put("adapter", "new-1", world_lib.adapter_value("tahi"))
        await asyncio.sleep(15.0)
        world.network.heal()
        await world.wait_until(world.all_fresh, 30)
        leader = world.leader()
        minority = {leader.address, world.entry(4).address}
        for entry in world.entries:
            if entry.address not in minority:
                for address in minority:
                    world.network.cut(entry.address, address)
        majority = [p for p in world.entries if p.address not in minority]
        for number in range(2, 6):
            value = world_lib.adapter_value("tahi")
            await world.put("adapter", f"new-{number}", value, majority[0])
        await asyncio.sleep(15.0)
        world.network.heal()
        await world.wait_until(world.all_fresh, 30)
        await asyncio.sleep(9.0)
        return world.oracle.check_at_end()


async def operators_race(seed: int = 1) -> list[str]:
    """Operators write concurrently at one revision.

    They also resend a change under its operation id.
    """
    async with SimulatedCluster(Settings(seed=seed)) as world:
        faults = []
        for number in range(10):
            view = world.entry(0).daemon.session.view
            revision = view.adapter_by_id["adapter-1"].revision
            world.network.max_extra_delay_s = 0.3
            world.network.duplicate_probability = 0.3
            value = world_lib.adapter_value("lakeshore", ("v1", f"r{number}"))
            racers = [
                world.put("adapter", "adapter-1", value, entry, revision)
                for entry in world.entries
            ]
            replies = await asyncio.gather(*racers)
            won = [r for r in replies if r and r.conflict is None]
            lost = [r for r in replies if r and r.conflict is not None]
            if len(won) > 1:
                faults.append(
                    f"changes: {len(won)} writes at one revision succeeded"
                )
            for reply in lost:
                if won and reply.revision != won[0].revision:
                    faults.append(
                        "changes: a conflict reports a wrong revision"
                    )
            operation = f"resent-{number}"
            first = await world.put(
                "adapter", "adapter-3", value, operation_id=operation
            )
            other = world_lib.adapter_value("lakeshore", ("v1", "other"))
            await world.put("adapter", "adapter-3", other)
            again = await world.put(
                "adapter", "adapter-3", value, operation_id=operation
            )
            if first != again:
                faults.append("changes: a resent change was applied twice")
            world.network.heal()
            await asyncio.sleep(1.5)
        await asyncio.sleep(9.0)
        return faults + world.oracle.check_at_end()


async def frozen_owner(seed: int = 1) -> list[str]:
    """Owners freeze past the end of their lease, then resume.

    The engines don't check fencing tokens.
    """
    engine = standins.EngineSettings(2, 4, 0.03, refuses_old=False)
    daemon = {"placement": {"min_residence_s": 0.1}}
    settings = Settings(
        seed=seed,
        engine=engine,
        checks_fencing=False,
        daemon=daemon,
        load_s=0.05,
    )
    async with SimulatedCluster(settings) as world:
        sending = asyncio.create_task(_send(world, 150, 0.1, deadline_s=15.0))
        for number in range(2):
            await asyncio.sleep(0.5)
            owners = [
                p
                for p in world.entries
                if p.up and p.daemon.owners.by_target and not p.frozen
            ]
            entry = owners[number % len(owners)]
            world.freeze(entry)
            await asyncio.sleep(5.5)
            world.wake(entry)
        await sending
        return world.oracle.check_at_end()


async def targets_change_owner(seed: int = 1) -> list[str]:
    """Targets change owner repeatedly; no caller is refused."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        sending = asyncio.create_task(_send(world, 100, 0.1))
        for _ in range(4):
            await asyncio.sleep(2.0)
            for entry in world.entries:
                owners = entry.daemon.owners
                owners.hand_over(list(owners.by_target))
        answers = await sending
        faults = world.oracle.check_at_end()
        return faults + _error_violations("moving", answers)


async def leadership_transfers(seed: int = 1) -> list[str]:
    """Leadership is transferred repeatedly; no caller is refused."""
    daemon = {"list_interval_s": 2.0}
    async with SimulatedCluster(Settings(seed=seed, daemon=daemon)) as world:
        sending = asyncio.create_task(_send(world, 120, 0.1))
        for _ in range(4):
            await asyncio.sleep(2.5)
            leader = world.leader()
            if leader is not None:
                await leader.daemon.node.transfer()
        answers = await sending
        faults = world.oracle.check_at_end()
        return faults + _error_violations("moving", answers)


async def disconnect_at_dispatch(seed: int = 1) -> list[str]:
    """Callers disconnect at the moment their request is dispatched.

    The run's slot must be released all the same.
    """
    original = placement.EngineOwner._dispatch
    leaving = asyncio.Event()

    def dispatch(self) -> None:
        before = self.active
        original(self)
        started = self.active > before and leaving.is_set()
        for task in asyncio.all_tasks() if started else ():
            if task.get_coro().__name__ in ("_read", "_feed"):
                task.cancel()

    with patch(placement.EngineOwner, "_dispatch", dispatch):
        async with SimulatedCluster(Settings(seed=seed)) as world:
            leaving.set()
            tasks = [
                asyncio.create_task(
                    world.complete(n % 8, world.entry(n % 5), deadline_s=2.0)
                )
                for n in range(30)
            ]
            await asyncio.wait(tasks, timeout=10.0)
            leaving.clear()
            for task in tasks:
                task.cancel()
            await asyncio.sleep(12.0)
            faults = world.oracle.check_at_end()
            for entry in world.entries:
                for target, owner in entry.daemon.owners.by_target.items():
                    if owner.active:
                        faults.append(
                            f"leak: {target}: {owner.active} active runs"
                        )
            return faults


async def cut_off_owner(seed: int = 1) -> list[str]:
    """Owners are partitioned from all daemons but reach their engines."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        sending = asyncio.create_task(_send(world, 120, 0.1, deadline_s=15.0))
        for number in range(2):
            await asyncio.sleep(0.5)
            owners = [p for p in world.entries if p.daemon.owners.by_target]
            world.network.isolate(owners[number % len(owners)].address)
            await asyncio.sleep(5.5)
            world.network.heal()
        await sending
        return world.oracle.check_at_end()


async def runs_outlast_a_lease(seed: int = 1) -> list[str]:
    """A limit holds while runs of a partitioned daemon outlast its lease.

    Its share of the limit may be reassigned once the lease has certainly
    expired, but the runs it admitted continue at its engines, which it
    still reaches.
    """
    settings = Settings(seed=seed, member_concurrency=6)
    async with SimulatedCluster(settings) as world:
        sending = asyncio.create_task(
            _send(world, 120, 0.1, tokens=200, deadline_s=15.0)
        )
        await asyncio.sleep(2.0)
        owners = [p for p in world.entries if p.daemon.owners.by_target]
        world.network.isolate(owners[0].address)
        await asyncio.sleep(6.0)
        world.network.heal()
        await sending
        return world.oracle.check_at_end()


async def runs_outlast_a_leader(seed: int = 1) -> list[str]:
    """A limit holds while a daemon's runs outlast its lease and its leader.

    Guards against a new leader that never received a heartbeat of the
    partitioned daemon, and reassigns the daemon's share as soon as the lease
    has certainly expired although its runs still go on.
    """
    settings = Settings(seed=seed, member_concurrency=6)
    async with SimulatedCluster(settings) as world:
        sending = asyncio.create_task(
            _send(world, 100, 0.1, tokens=300, deadline_s=15.0)
        )
        await asyncio.sleep(2.0)
        silent = next(p for p in world.entries if p.disk is None)
        world.network.isolate(silent.address)
        await world.leader().daemon.node.transfer()
        await asyncio.sleep(8.0)
        world.network.heal()
        await sending
        return world.oracle.check_at_end()


async def old_share_notes_readable(seed: int = 1) -> list[str]:
    """A log and a snapshot in the old format, with boot ids only, are read."""
    entry = wire.decode(
        b'{"note_sharers": {"joined": ["a#1"], "gone": ["b#1"]}}',
        catalogue.Command,
    )
    machine = catalogue.CatalogueMachine()
    machine.apply(1, wire.encode(entry))
    snapshot = list(machine.snapshot())
    line = json.loads(snapshot[0])
    line["sharers"], line["share_notes"] = ["c#1"], []
    again = catalogue.CatalogueMachine()
    again.restore(1, [json.dumps(line).encode(), *snapshot[1:]])
    found = [set(m.sharer_by_boot) for m in (machine, again)]
    return [] if found == [{"a#1"}, {"c#1"}] else [f"sharers: {found}"]


async def waiting_as_lease_ends(seed: int = 1) -> list[str]:
    """Requests waiting at a daemon that loses its lease are refused.

    Guards against a daemon that admits the next waiting request when a run
    ends, without checking its lease. The request could start up to 3.4 s
    after the lease has ended, on a share that was reassigned meanwhile. The
    refusal tells the caller to use another daemon.
    """
    settings = Settings(seed=seed, member_concurrency=1)
    async with SimulatedCluster(settings) as world:
        entry = world.entry(3)
        running = asyncio.create_task(world.complete(0, entry, tokens=250))
        await asyncio.sleep(1.0)
        waiting = [
            asyncio.create_task(world.complete(0, entry)) for _ in range(3)
        ]
        await asyncio.sleep(0.5)
        world.network.isolate(entry.address)
        await asyncio.sleep(3.5)
        faults = []
        if running.done():
            faults.append("waiting: the first run ended before the lease did")
        for task in waiting:
            error = task.result().error if task.done() else None
            if not isinstance(error, wire.LeaseLostError) or not error.use:
                faults.append(f"waiting: expected a redirect, got {error!r}")
        world.network.heal()
        await asyncio.gather(running, *waiting)
        return faults + world.oracle.check_at_end()


async def first_lease_lasts(seed: int = 1) -> list[str]:
    """A daemon's first lease lasts until its next heartbeat is answered.

    Guards against a refusal of the first command after a start. The first
    heartbeat waits for a leader at each replica in turn, for 1.2 to 1.4 s. A
    lease that counted from before this wait would expire within 0.2 s, before
    the next heartbeat is answered.
    """
    lease = {"lease_s": 1.5, "heartbeat_s": 0.2, "order_flight_s": 0.2}
    settings = Settings(seed=seed, daemon={"lease": lease})
    world = SimulatedCluster(settings)
    watching = asyncio.create_task(_lost_leases(world, 5.0))
    async with world:
        lapsed = await watching
        faults = [
            f"lease: {name} lost its first lease" for name in sorted(lapsed)
        ]
        return faults + world.oracle.check_at_end()


async def _lost_leases(world: SimulatedCluster, watched_s: float) -> set[str]:
    """Return the names of the daemons that held a lease and lost it."""
    loop = asyncio.get_running_loop()
    held: set[str] = set()
    lapsed: set[str] = set()
    until = loop.time() + watched_s
    while loop.time() < until:
        for entry in world.entries:
            if entry.daemon is None:
                continue
            if entry.daemon.session.fresh():
                held.add(entry.name)
            elif entry.name in held:
                lapsed.add(entry.name)
        await asyncio.sleep(0.01)
    return lapsed


async def limit_across_daemons(seed: int = 1) -> list[str]:
    """A limit of three concurrent requests holds across all daemons.

    At least 20 of the 60 requests must be answered.
    """
    settings = Settings(seed=seed, member_concurrency=3)
    async with SimulatedCluster(settings) as world:
        answers = await _send(world, 60, 0.05, tokens=10)
        faults = world.oracle.check_at_end()
        done = sum(answer.error is None for answer in answers)
        if done < 20:
            faults.append(f"limits: only {done} answered")
        return faults


async def limit_across_leaders(seed: int = 1) -> list[str]:
    """A limit holds while leaders change and daemons send no heartbeats.

    A leader that raised shares before every daemon that may hold a share
    from its predecessor has reported would grant part of the limit twice.
    """
    settings = Settings(seed=seed, member_concurrency=6)
    async with SimulatedCluster(settings) as world:
        sending = asyncio.create_task(
            _send(world, 160, 0.05, tokens=40, deadline_s=6.0)
        )
        for number in range(4):
            await asyncio.sleep(1.0)
            leader = world.leader()
            if leader is None:
                continue
            others = [p for p in world.entries if p is not leader]
            silent = others[number % len(others)]
            if silent.disk is None:
                world.freeze(silent)
            await leader.daemon.node.transfer()
            await asyncio.sleep(1.5)
            world.wake(silent)
        answers = await sending
        faults = world.oracle.check_at_end()
        done = sum(answer.error is None for answer in answers)
        if done < 40:
            faults.append(f"limits: only {done} answered")
        return faults


async def rate_across_daemons(seed: int = 1) -> list[str]:
    """A rate limit of 5 requests/s holds across all daemons."""
    async with SimulatedCluster(Settings(seed=seed)) as world:
        value = {
            "token_sha256": catalogue.hash_token("tahi-token"),
            "limits": {"rate": 5.0},
        }
        await world.put("member", "tahi", value)
        await asyncio.sleep(1.5)
        for entry in world.entries:
            await world.complete(0, entry)
        started = asyncio.get_running_loop().time()
        tasks = [
            asyncio.create_task(
                world.complete(0, world.entry(n % 5), deadline_s=8.0)
            )
            for n in range(150)
        ]
        answers = await asyncio.gather(*tasks)
        spent_s = asyncio.get_running_loop().time() - started
        done = sum(answer.error is None for answer in answers)
        faults = world.oracle.check_at_end()
        # Allows for one burst on each of the five daemons.
        if done > 5.0 * spent_s + 5 + 5:
            faults.append(f"limits: {done} admitted in {spent_s:.1f} s")
        if done < 10:
            faults.append(f"limits: only {done} of 150 admitted")
        return faults


async def budget_across_daemons(seed: int = 1) -> list[str]:
    """A budget holds across all daemons, and spares who is below it.

    A completion costs 13 tokens, so the budget is worth 5 a second.
    """
    async with SimulatedCluster(Settings(seed=seed)) as world:
        per_s, burst, cost = 65.0, 130.0, 13
        value = {
            "token_sha256": catalogue.hash_token("tahi-token"),
            "limits": {"budget": {"per_s": per_s, "burst": burst}},
        }
        await world.put("member", "tahi", value)
        await asyncio.sleep(1.5)
        below = await _send_evenly(world, 0, per_s=4, length_s=6.0)
        hot, other = await asyncio.gather(
            _send_evenly(world, 0, per_s=40, length_s=8.0),
            _send_evenly(world, 1, per_s=2, length_s=8.0),
        )
        faults = world.oracle.check_at_end()
        for answer in (*below, *other):
            if answer.error is not None:
                faults.append(f"limits: refused below: {answer.error!r}")
        admitted = cost * sum(answer.error is None for answer in hot)
        # Requests of one heartbeat's time are admitted before the leader
        # hears of them.
        unreported = 40 * 0.5 * cost
        if admitted > 1.1 * (per_s * 8.0 + burst) + unreported:
            faults.append(f"limits: {admitted} tokens admitted in 8 s")
        codes = {a.error.code for a in hot if a.error is not None}
        if codes != {"limit_reached"}:
            faults.append(f"limits: unexpected refusals: {codes}")
        return faults


async def _send_evenly(
    world: SimulatedCluster, adapter: int, per_s: float, length_s: float
) -> list[oracle_lib.Answer]:
    """Send completions to all daemons in turn; return their answers."""
    tasks = []
    for number in range(int(per_s * length_s)):
        entry = world.entry(number % 5)
        tasks.append(
            asyncio.create_task(world.complete(adapter, entry, tokens=10))
        )
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*tasks))


SCENARIOS: tuple[
    collections.abc.Callable[..., collections.abc.Coroutine], ...
] = (
    exact_adapter,
    withdrawn_version,
    no_eviction_while_serving,
    orphaned_runs,
    mixed_and_lost_chunks,
    reported_not_run,
    at_most_once,
    expired_keys,
    leaving_target,
    leaving_list_unreachable,
    planned_stop,
    changes_survive_power_loss,
    changes_after_partition,
    operators_race,
    frozen_owner,
    cut_off_owner,
    targets_change_owner,
    leadership_transfers,
    disconnect_at_dispatch,
    limit_across_daemons,
    limit_across_leaders,
    rate_across_daemons,
    budget_across_daemons,
    runs_outlast_a_lease,
    runs_outlast_a_leader,
    waiting_as_lease_ends,
    first_lease_lasts,
    old_share_notes_readable,
)
SCENARIO_BY_NAME = {scenario.__name__: scenario for scenario in SCENARIOS}


# Mutants: each disables one guard.


def _accept_any_chunk(self, stream, chunk) -> bool:
    stream.last_number = chunk.number
    return True


def _pass_any_chunk(self, attempt, request, chunk):
    attempt.point = routing.ResumePoint(
        request.target,
        chunk.incarnation,
        chunk.adapter,
        chunk.stream_id,
        chunk.number,
    )
    return routing.AnswerPart(
        chunk.text, chunk.adapter, attempt.point, chunk.end
    )


@contextlib.contextmanager
def no_chunk_check() -> collections.abc.Iterator[None]:
    """Accept any chunk, whatever run, adapter or position it belongs to."""
    with (
        patch(placement.EngineOwner, "_accept", _accept_any_chunk),
        patch(routing.CompletionRouter, "_part", _pass_any_chunk),
    ):
        yield


@contextlib.contextmanager
def no_pins() -> collections.abc.Iterator[None]:
    """Allow the eviction of adapters with active runs."""
    with patch(_residents.Resident, "pinned", property(lambda _: False)):
        yield


@contextlib.contextmanager
def foreign_runs_ignored() -> collections.abc.Iterator[None]:
    """Assume that engines run only what this owner started."""

    def apply_resident(self, name, report, as_of) -> None:
        if name not in self.by_name:
            self.by_name[name] = _residents.Resident(name, True, as_of)

    with (
        patch(_residents.Residents, "mark_in_doubt", lambda *_: None),
        patch(_residents.Residents, "_apply_resident", apply_resident),
    ):
        yield


@contextlib.contextmanager
def lost_means_not_run() -> collections.abc.Iterator[None]:
    """Report requests with a lost reply as not run."""
    with (
        patch(wire.PeerLostError, "ran", wire.RunStatus.NOT_RUN),
        patch(wire.DeadlineError, "ran", wire.RunStatus.NOT_RUN),
        patch(wire.UnknownOutcomeError, "ran", wire.RunStatus.NOT_RUN),
    ):
        yield


@contextlib.contextmanager
def no_claims() -> collections.abc.Iterator[None]:
    """Grant every attempt its idempotency key."""

    def won(self, claim) -> catalogue.ClaimReply:
        return catalogue.ClaimReply(catalogue.ClaimState.WON, claim.attempt)

    with patch(catalogue.CatalogueMachine, "_claim", won):
        yield


@contextlib.contextmanager
def no_claim_floor() -> collections.abc.Iterator[None]:
    """Drop expired claims without refusing their keys afterwards."""
    original = catalogue.CatalogueMachine._raise_floor

    def raise_floor(self, raised) -> int:
        result = original(self, raised)
        self.floor_ms = 1
        return result

    with patch(catalogue.CatalogueMachine, "_raise_floor", raise_floor):
        yield


@contextlib.contextmanager
def leaving_ignored() -> collections.abc.Iterator[None]:
    """Keep sending work to targets that are leaving."""
    original = control.DigestLog.put_target

    def put_target(self, info) -> None:
        original(self, dataclasses.replace(info, leaving=False))

    with patch(control.DigestLog, "put_target", put_target):
        yield


@contextlib.contextmanager
def stop_without_draining() -> collections.abc.Iterator[None]:
    """Stop without waiting for requests in progress."""

    async def stop(self) -> None:
        self.accepting = False

    with patch(daemon_lib.Daemon, "_stop", stop):
        yield


@contextlib.contextmanager
def no_syncs() -> collections.abc.Iterator[None]:
    """Acknowledge writes without syncing them to disk."""

    async def sync(self) -> None:
        return None

    with patch(quorum.Storage, "sync", sync):
        yield


@contextlib.contextmanager
def endless_leases() -> collections.abc.Iterator[None]:
    """Treat a lease as valid for ever once it was granted."""

    def fresh(self) -> bool:
        return self.lease_until > 0

    with patch(control.Session, "fresh", fresh):
        yield


@contextlib.contextmanager
def leader_without_quorum() -> collections.abc.Iterator[None]:
    """Remain leader without contact to a majority."""
    with (
        patch(quorum.Node, "holds_lease", lambda self: self.is_leader),
        patch(quorum.Node, "_check_quorum", lambda self: None),
    ):
        yield


@contextlib.contextmanager
def no_revision_check() -> collections.abc.Iterator[None]:
    """Ignore the revision that a write expects."""
    original = catalogue.CatalogueMachine._put_once

    def put_once(self, index, put):
        return original(
            self, index, dataclasses.replace(put, if_revision=None)
        )

    with patch(catalogue.CatalogueMachine, "_put_once", put_once):
        yield


@contextlib.contextmanager
def resends_applied_again() -> collections.abc.Iterator[None]:
    """Apply a resent change again."""

    def put(self, index, put):
        return self._put_once(index, put)

    with patch(catalogue.CatalogueMachine, "_put", put):
        yield


@contextlib.contextmanager
def early_reassignment() -> collections.abc.Iterator[None]:
    """Reassign a target before its owner's lease has ended."""
    timing = control.LeaseTiming
    ended = property(lambda self: self.heartbeat_s * 1.5)
    with patch(timing, "surely_ended_s", ended):
        yield


@contextlib.contextmanager
def no_lease_gate() -> collections.abc.Iterator[None]:
    """Send orders to engines without checking the lease."""
    with patch(placement.EngineOwner, "_owns", lambda self: True):
        yield


@contextlib.contextmanager
def shares_unbounded() -> collections.abc.Iterator[None]:
    """Grant every daemon the whole limit."""

    def grant(self, key, boot, limit, may_raise) -> int:
        return limit

    with patch(control.Ledger, "grant", grant):
        yield


@contextlib.contextmanager
def lease_from_first_try() -> collections.abc.Iterator[None]:
    """Count a lease from the first attempt of its heartbeat, not the last."""
    original = control.Session._record_send_time
    noted: dict[str, int] = {}

    def record(self) -> None:
        if noted.get(self.boot) != self._sequence:
            noted[self.boot] = self._sequence
            original(self)

    with patch(control.Session, "_record_send_time", record):
        yield


@contextlib.contextmanager
def early_share_release() -> collections.abc.Iterator[None]:
    """Reassign a silent daemon's share while its runs may continue."""

    def lapse(self, boot, held_by_key) -> None:
        self.drop(boot)

    with patch(control.Ledger, "lapse", lapse):
        yield


@contextlib.contextmanager
def waiting_not_refused() -> collections.abc.Iterator[None]:
    """Keep requests waiting past the end of a lease."""
    with patch(routing.Admission, "_refuse_waiting", lambda *_: None):
        yield


@contextlib.contextmanager
def spending_ignored() -> collections.abc.Iterator[None]:
    """Ignore what daemons report of their members' requests."""
    with patch(limits.BudgetLedger, "record", lambda *_: None):
        yield


@contextlib.contextmanager
def early_share_increase() -> collections.abc.Iterator[None]:
    """Raise shares before the leader knows all daemons that hold some.

    Disables two guards, either of which alone suffices for a short time:
    shares are not raised before that, and shares of silent daemons in the
    log stay reserved.
    """
    with early_share_release():
        with patch(control.Coordinator, "_may_raise", lambda *_: True):
            yield


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A disabled guard and the scenario that must detect it.

    Args:
        guarantee: number of the guarantee, as listed in features/matrix.py.
        guard_off: context manager that disables the guard.
    """

    guarantee: int
    scenario: str
    guard_off: collections.abc.Callable[[], contextlib.AbstractContextManager]

    @property
    def name(self) -> str:
        """The name of the mutant."""
        return self.guard_off.__name__


MUTANTS: tuple[Mutant, ...] = (
    Mutant(1, "exact_adapter", no_chunk_check),
    Mutant(2, "no_eviction_while_serving", no_pins),
    Mutant(2, "orphaned_runs", foreign_runs_ignored),
    Mutant(2, "cut_off_owner", early_reassignment),
    Mutant(2, "frozen_owner", no_lease_gate),
    Mutant(3, "mixed_and_lost_chunks", no_chunk_check),
    Mutant(4, "reported_not_run", lost_means_not_run),
    Mutant(5, "at_most_once", no_claims),
    Mutant(5, "at_most_once", lost_means_not_run),
    Mutant(5, "expired_keys", no_claim_floor),
    Mutant(6, "leaving_target", leaving_ignored),
    Mutant(6, "leaving_list_unreachable", leaving_ignored),
    Mutant(7, "planned_stop", stop_without_draining),
    Mutant(8, "changes_survive_power_loss", no_syncs),
    Mutant(8, "changes_after_partition", endless_leases),
    Mutant(8, "changes_after_partition", leader_without_quorum),
    Mutant(8, "operators_race", no_revision_check),
    Mutant(8, "operators_race", resends_applied_again),
    Mutant(8, "limit_across_daemons", shares_unbounded),
    Mutant(8, "first_lease_lasts", lease_from_first_try),
    Mutant(8, "limit_across_leaders", early_share_increase),
    Mutant(8, "runs_outlast_a_leader", early_share_release),
    Mutant(8, "runs_outlast_a_lease", early_share_release),
    Mutant(8, "waiting_as_lease_ends", waiting_not_refused),
    Mutant(8, "budget_across_daemons", spending_ignored),
)


def run_scenario(name: str, seed: int = 1) -> list[str]:
    """Run a scenario in virtual time; a crash counts as a violation."""
    try:
        return world_lib.run_virtual(SCENARIO_BY_NAME[name](seed))
    except Exception as error:
        return [f"crash: {error!r}"]


def run_mutant(mutant: Mutant) -> list[str]:
    """Run a mutant's scenario with its guard disabled."""
    with mutant.guard_off():
        return run_scenario(mutant.scenario)
