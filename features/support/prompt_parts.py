"""Prompts with a part that crashes the engines that answer them."""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import unittest.mock

from bergamotsail import catalogue
from bergamotsail.control import _quarantine
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail.quarantine import _ends
from bergamotsail.quarantine import _served
from bergamotsail.routing import _fatal
from bergamotsail import wire
from features.support import fatal_world
from features.support import ledger
from features.support import part_counts
from features.support import parts_world
from features.support import software

FATAL_PART = parts_world.FATAL_PART
FIRST_PART = parts_world.FIRST_PART
LEAST_SHARE = parts_world.LEAST_SHARE

Load = parts_world.Load
World = parts_world.World
checked = parts_world.checked
play = parts_world.play

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


async def leader_lost_after_hold() -> list[str]:
    """The leader is lost once the part is in quarantine."""

    async def lose_later(world: World) -> None:
        await asyncio.sleep(1.5)
        await _lose_leader(world)

    return await _check(Load(), _at_crash(3, lose_later))


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


async def random_faults() -> list[str]:
    """Random loads beside crashes, lost connections, leaders and entries."""
    return [fault for seed in range(4) for fault in await _random(seed)]


async def _random(seed: int) -> list[str]:
    rng = random.Random(seed)
    load = Load(
        ((FIRST_PART, FATAL_PART),),
        at_once=rng.randint(1, 4),
        gap_s=rng.uniform(0.3, 3.0),
        sound=rng.randint(4, 12),
        subjects=rng.randint(1, 60),
    )
    attempts = rng.choice((1, 2, 4))

    async def disrupt(world: World) -> None:
        for _ in range(rng.randint(3, 6)):
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            await _inject_fault(world, rng)

    faults = await _check(load, disrupt, seed=seed, attempts=attempts)
    return [f"seed {seed}: {fault}" for fault in faults]


async def _inject_fault(world: World, rng: random.Random) -> None:
    what = rng.randrange(4)
    if what == 0:
        rng.choice(world.targets).crash()
    elif what == 1:
        rng.choice(world.targets).disconnect()
    elif what == 2:
        await world.restart_entry(rng.choice(world.entries))
    else:
        await _lose_leader(world)


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
        leader_lost_after_hold,
        entries_restarted,
        all_entries_restarted,
        restarted_into_crashes,
        two_parts_in_turn,
        fatal_on_a_new_part,
        part_turns_fatal,
        without_power,
        random_faults,
        fatal_request_is_no_fatal_part,
        crashes_of_other_causes,
        popular_part_runs_together,
        other_members_part,
        runs_again_after_hold,
        operator_releases,
        failed_answers_clear_nothing,
        part_is_named,
        part_counts.narrowest_explanation,
        part_counts.any_order,
        part_counts.made_up_parts_evict_nobody,
        part_counts.answers_evict_no_losses,
        part_counts.held_for_another_pool,
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
