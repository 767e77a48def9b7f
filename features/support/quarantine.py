"""Requests that crash the targets that run them, in virtual time.

Guards against a failure that users saw: one request crashed nine engines in a
pool of six. Its caller repeated it after each crash, at any entry and under a
new attempt id, and nothing recognised it as the same request. Replicas,
sessions and forwarders are real; targets are fakes that record the requests
that reach them and crash on some bodies.
"""

import asyncio
import collections
import collections.abc
import math
import random
import unittest.mock

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail.control import _quarantine
from bergamotsail import quarantine
from bergamotsail.quarantine import _ends
from bergamotsail.routing import _fatal
from bergamotsail import wire
from features.support import fatal
from features.support import fatal_world
from features.support import ledger

CRASH_S = fatal_world.CRASH_S
QUARANTINE_CRASHES = fatal_world.QUARANTINE_CRASHES
MAX_LATE_ARRIVALS = fatal_world.MAX_LATE_ARRIVALS
POOL = fatal_world.POOL

World = fatal_world.World


# Counting of crashes.


def _observed(
    target: str, ended_ago_s: float, served: bool = False
) -> quarantine.Observation:
    end = quarantine.RunEnd.SERVED if served else quarantine.RunEnd.LOST
    return quarantine.Observation("id", "m1", POOL, target, ended_ago_s, end)


def _count(
    observations: collections.abc.Iterable[quarantine.Observation],
) -> int:
    counter = quarantine.LossCounter()
    for observation in observations:
        counter.take(observation, 100.0)
    return counter.ends("id")


WORDS = strategies.builds(
    _observed,
    strategies.sampled_from(["t1", "t2", "t3", "t4", "t5"]),
    strategies.floats(0.0, 60.0),
    strategies.booleans(),
)


async def any_order() -> list[str]:
    """The count does not depend on order or duplicates of observations."""

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


async def simultaneous_crashes_count_once() -> list[str]:
    """Crashes at the same moment count as one, separate ones as several.

    Copies that run at three targets of a rack that fails did not cause the
    failure. Crashes of the same three targets one after another count.
    """
    rack = [_observed(f"t{n}", 3.0 - n / 100) for n in range(3)]
    sequential = [_observed(f"t{n}", 8.0 - 2 * n) for n in range(3)]
    served_last = [*sequential, _observed("t9", 0.5, True)]
    served_between = [*sequential, _observed("t9", 5.0, True)]
    found = [
        _count(observations)
        for observations in (rack, sequential, served_last, served_between)
    ]
    return [] if found == [1, 3, 0, 1] else [f"counted {found}"]


async def extreme_ages() -> list[str]:
    """Crashes of one target with huge, negative or NaN ages count once."""
    ages = [-1e9, -1.0, 0.0, 1e12, math.inf, -math.inf, math.nan]
    counts = [_count([_observed("t1", age) for _ in range(5)]) for age in ages]
    return [f"counted {counts}"] if max(counts) > 1 else []


async def members_are_isolated() -> list[str]:
    """One member's thousands of requests evict no other member's suspects.

    Nor do a member's single losses evict its own request that was lost twice.
    The number of suspects that are kept is bounded.
    """
    counter = quarantine.LossCounter()
    first = quarantine.Observation("own", "m1", POOL, "t1", 1.0)
    counter.take(first, 100.0)
    for number in range(5_000):
        other = quarantine.Observation(
            f"o{number}", "m2", POOL, f"t{number}", 1.0
        )
        counter.take(other, 100.0)
    second = quarantine.Observation("own", "m1", POOL, "t2", 0.0)
    faults = []
    counter.take(second, 100.0)
    if (ends := counter.ends("own")) != 2:
        faults.append(f"{ends} of 2 crashes are remembered")
    for number in range(5_000):
        beside = quarantine.Observation(f"b{number}", "m1", POOL, "t3", 1.0)
        counter.take(beside, 101.0)
    if (ends := counter.ends("own")) != 2:
        faults.append(
            f"{ends} of 2 crashes are remembered among its own requests"
        )
    for number in range(5_000):
        many = quarantine.Observation("x", f"m{number}", POOL, "t1", 1.0)
        counter.take(many, 102.0)
    most = _ends.MAX_SUSPECTS_PER_MEMBER * _ends.MAX_MEMBERS
    return faults + (
        [f"{len(counter)} suspects are kept"] if len(counter) > most else []
    )


# Outcomes for callers.


async def repeated_request() -> list[str]:
    """A fatal request is refused at every entry after three crashes."""
    async with World() as world:
        world.fatal = {b"bad"}
        outcomes = await world.ask_repeatedly(b"bad", 12)
        faults = world.faults(b"bad", 0)
        if outcomes[4:] != ["quarantined"] * 8:
            faults.append(f"outcomes {outcomes}")
        others = [await world.ask(f"q{n}".encode()) for n in range(20)]
        if set(others) != {"served"}:
            faults.append(f"outcomes of others: {others}")
        if await world.ask(b"bad", caller="m2") == "quarantined":
            faults.append("another member's request was quarantined")
        return faults


async def simultaneous_copies() -> list[str]:
    """Copies are sent to all entries at once, five times."""
    async with World() as world:
        world.fatal = {b"bad"}
        for _ in range(5):
            await asyncio.gather(*(world.ask(b"bad", at=n) for n in range(6)))
            await asyncio.sleep(1.5)
        return world.faults(b"bad")


async def leader_lost_before_third() -> list[str]:
    """A new leader learns of two crashes seen before the leader was lost."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 2)
        await world.stop((await world.leader()).member.address)
        await asyncio.sleep(3.0)
        await world.ask_repeatedly(b"bad", 10)
        crashes = len(world.crashes)
        faults = world.faults(b"bad", 0)
        return faults + ([f"{crashes} crashes"] if crashes > 4 else [])


async def leader_lost_after_third() -> list[str]:
    """The leader is lost at the third crash."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 2)
        lost = (await world.leader()).member.address
        asking = asyncio.create_task(world.ask(b"bad"))
        await asyncio.sleep(CRASH_S + 0.02)
        await world.stop(lost)
        await asking
        await asyncio.sleep(2.0)
        await world.ask_repeatedly(b"bad", 10)
        return world.faults(b"bad")


async def full_restart() -> list[str]:
    """A quarantine survives a restart of all replicas and entries."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 5)
        crashes_before = len(world.crashes)
        await world.restart_all()
        outcomes = await world.ask_repeatedly(b"bad", 6)
        faults = (
            []
            if len(world.crashes) == crashes_before
            else ["more targets crashed"]
        )
        if set(outcomes) != {"quarantined"}:
            faults.append(f"outcomes {outcomes}")
        return faults


async def same_name_restarts() -> list[str]:
    """Incarnations that keep the target's name count as other targets."""
    async with World(count=2) as world:
        for target in world.targets:
            target.keeps_name = True
        await asyncio.sleep(1.0)
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 12, gap_s=2.0)
        return world.faults(b"bad", 0)


async def two_members() -> list[str]:
    """Fatal requests of two members at once are quarantined separately."""
    async with World() as world:
        world.fatal = {b"bad", b"worse"}
        await asyncio.gather(
            world.ask_repeatedly(b"bad", 14),
            world.ask_repeatedly(b"worse", 14, 1.1, "m2"),
        )
        return world.faults(b"bad") + world.faults(b"worse")


async def within_one_attempt() -> list[str]:
    """One request with many attempts crashes three targets at most."""
    async with World(attempts=20) as world:
        world.fatal = {b"bad"}
        await world.ask(b"bad")
        crashes = len(world.crashes)
        return [f"{crashes} crashes"] if crashes > QUARANTINE_CRASHES else []


async def concurrent_requests() -> list[str]:
    """Requests that run beside a fatal one are served after retries.

    Each caller sends up to four times. Requests that run on a target when the
    fatal one crashes it are lost as well, and must not be quarantined.
    """
    async with World(entries=6, count=6) as world:
        world.fatal = {b"bad"}

        async def one(number: int) -> str:
            await asyncio.sleep(number * 0.02)
            for _ in range(4):
                outcome = await world.ask(f"good {number}".encode())
                if outcome in ("served", "quarantined"):
                    return outcome
                await asyncio.sleep(0.1)
            return outcome

        asking = [asyncio.create_task(one(n)) for n in range(600)]
        await world.ask_repeatedly(b"bad", 12)
        outcomes = collections.Counter(await asyncio.gather(*asking))
        faults = world.faults(b"bad")
        if outcomes["quarantined"] or outcomes["served"] < 590:
            faults.append(f"outcomes of others: {dict(outcomes)}")
        return faults


async def popular_request_in_a_failed_rack() -> list[str]:
    """A popular request is not quarantined when racks or links fail.

    Three targets at a time crash or lose their connections, while the same
    request runs at all of them.
    """
    async with World(entries=6, count=6) as world:
        outcomes: collections.Counter[str] = collections.Counter()

        async def reading() -> None:
            while True:
                outcomes[await world.ask(b"popular")] += 1
                await asyncio.sleep(0.05)

        tasks = [asyncio.create_task(reading()) for _ in range(12)]
        for turn in range(8):
            await asyncio.sleep(1.5)
            for target in world.targets[turn % 2 :: 2]:
                target.disconnect() if turn % 3 == 2 else target.crash()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return [f"{dict(outcomes)}"] if outcomes["quarantined"] else []


async def runs_again_after_hold() -> list[str]:
    """A quarantined request may run again after a hold time.

    One more crash doubles the hold time; a success ends the quarantine.
    """
    hold = unittest.mock.patch.object(_quarantine, "HOLD_S", 6.0)
    with hold:
        return await _runs_again_after_hold()


async def _runs_again_after_hold() -> list[str]:
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 5)
        crashes_before = len(world.crashes)
        await asyncio.sleep(_quarantine.hold_s(QUARANTINE_CRASHES) + 1.0)
        await world.ask_repeatedly(b"bad", 4)
        faults = []
        if len(world.crashes) != crashes_before + 1:
            faults.append(
                f"{len(world.crashes) - crashes_before} crashes after the "
                "hold, not 1"
            )
        await asyncio.sleep(_quarantine.hold_s(QUARANTINE_CRASHES) + 1.0)
        if await world.ask(b"bad") != "quarantined":
            faults.append("the second hold was not longer")
        world.fatal = set()
        await asyncio.sleep(_quarantine.hold_s(QUARANTINE_CRASHES) + 1.0)
        outcomes = await world.ask_repeatedly(b"bad", 3)
        if outcomes != ["served"] * 3 or world.quarantined():
            faults.append(f"outcomes when no longer fatal: {outcomes}")
        return faults


async def operator_releases() -> list[str]:
    """A request runs again once an operator deletes its entry."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 5)
        (identity,) = world.quarantined()
        world.fatal = set()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE, identity, None, "op1", "operator"
        )
        leader = await world.leader()
        await leader.propose(wire.encode(catalogue.Command(put=put)))
        await asyncio.sleep(1.0)
        outcome = await world.ask(b"bad")
        return [] if outcome == "served" else [f"outcome {outcome}"]


async def release_survives_new_leader() -> list[str]:
    """Earlier crashes do not quarantine again what an operator released.

    Daemons report the crashes of the last minutes again to a new leader.
    """
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 5)
        (identity,) = world.quarantined()
        leader = await world.leader()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE, identity, None, "op1", "operator"
        )
        await leader.propose(wire.encode(catalogue.Command(put=put)))
        await asyncio.sleep(1.0)
        await world.stop(leader.member.address)
        await asyncio.sleep(3.0)
        world.fatal = set()
        outcomes = await world.ask_repeatedly(b"bad", 2)
        return [] if outcomes == ["served"] * 2 else [f"outcomes {outcomes}"]


async def earlier_success() -> list[str]:
    """A success from before the quarantine does not end it.

    A daemon that does not know of the quarantine yet reports the earlier
    success to a new leader.
    """
    value = wire.encode(
        catalogue.Quarantine("m1", POOL, QUARANTINE_CRASHES)
    ).decode()
    view = catalogue.View()
    view.apply(catalogue.Effect(7, catalogue.Kind.QUARANTINE, "id", value))
    commands = []

    async def propose(command: catalogue.Command) -> None:
        commands.append(command)

    leader = _quarantine.Quarantine(3, lambda: view, propose, wire.LoopClock())
    loop = asyncio.get_running_loop()
    await leader.maintain()
    await leader.record_observations(
        "b1", [_observed("t1", 30.0, True)], loop.time()
    )
    faults = ["an earlier success released it"] if commands else []
    await asyncio.sleep(2.0)
    await leader.record_observations(
        "b1", [_observed("t2", 1.0, True)], loop.time()
    )
    if [command.put.value for command in commands] != [None]:
        faults.append(f"a later success gave commands {commands}")
    return faults


async def random_faults() -> list[str]:
    """Random crashes, lost connections, restarts and copies, two seeds."""
    return [fault for seed in range(2) for fault in await _random(seed)]


async def _random(seed: int) -> list[str]:
    rng = random.Random(seed)
    async with World(seed=seed + 1) as world:
        bad = [b"bad", b"worse"][: rng.randint(1, 2)]
        world.fatal = set(bad)
        outcomes: collections.Counter[str] = collections.Counter()

        async def caller(body: bytes, wait_s: float) -> None:
            while True:
                await asyncio.sleep(rng.expovariate(1 / wait_s))
                outcomes[body.decode()[:4], await world.ask(body)] += 1

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
            await _inject_fault(world, rng)
        await asyncio.sleep(12.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        faults = [
            f"seed {seed}: {fault}"
            for body in bad
            for fault in world.faults(body, MAX_LATE_ARRIVALS)
        ]
        if outcomes["good", "quarantined"]:
            faults.append(f"seed {seed}: {dict(outcomes)}")
        return faults


async def _inject_fault(world: World, rng: random.Random) -> None:
    what = rng.randrange(4)
    if what == 0:
        rng.choice(world.targets).crash()
    elif what == 1:
        rng.choice(world.targets).disconnect()
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
        simultaneous_crashes_count_once,
        extreme_ages,
        members_are_isolated,
        repeated_request,
        simultaneous_copies,
        leader_lost_before_third,
        leader_lost_after_third,
        full_restart,
        same_name_restarts,
        two_members,
        within_one_attempt,
        concurrent_requests,
        popular_request_in_a_failed_rack,
        runs_again_after_hold,
        operator_releases,
        release_survives_new_leader,
        earlier_success,
        random_faults,
        fatal.fatal_prompt,
        fatal.fatal_message,
        fatal.fatal_call,
    )
}


def _pending_once(seen: quarantine.Observations, term: int) -> tuple:
    """Report to a new leader only what no earlier one has received."""
    seen._reported_term = term
    return _original_pending(seen, term)


def _put_fifo(
    suspects: _ends._MemberSuspects, identity: str, suspect: quarantine.Suspect
) -> str | None:
    """Append a suspect, and evict the oldest one if there are too many."""
    suspects.drop(identity)
    suspects.lost_once[identity] = suspect
    if len(suspects) <= _ends.MAX_SUSPECTS_PER_MEMBER:
        return None
    return suspects.lost_once.popitem(last=False)[0]


async def _do_nothing(_: object) -> None:
    """Do nothing."""


async def _allow(*_: object) -> bool:
    """Allow every run."""
    return True


# Each mutant: name, the scenario that must fail, and the patch (object,
# attribute, replacement) that disables a guard.
MUTANTS = (
    (
        "never refuse a quarantined request",
        "repeated_request",
        (_fatal.QuarantineGuard, "check", lambda *_: None),
    ),
    (
        "hide quarantines after a restart",
        "full_restart",
        (catalogue.View, "quarantine_by_id", property(lambda view: {})),
    ),
    (
        "hide quarantines from the owners of engines",
        "fatal_prompt",
        fatal.NO_QUARANTINE_VISIBLE,
    ),
    (
        "report each observation to one leader only",
        "leader_lost_before_third",
        (quarantine.Observations, "pending", _pending_once),
    ),
    (
        "count simultaneous crashes separately",
        "simultaneous_crashes_count_once",
        (_ends, "COINCIDENCE_WINDOW_S", -1.0),
    ),
    (
        "report no successes",
        "popular_request_in_a_failed_rack",
        (_fatal.QuarantineGuard, "answered", lambda *_: None),
    ),
    (
        "run copies concurrently",
        "simultaneous_copies",
        (_quarantine.Quarantine, "acquire_exclusive", _allow),
    ),
    (
        "evict suspects in order of arrival",
        "members_are_isolated",
        (_ends._MemberSuspects, "put", _put_fifo),
    ),
    (
        "resend one attempt without a limit",
        "within_one_attempt",
        (quarantine, "MAX_ENDS", 100),
    ),
    (
        "report quarantined requests again",
        "release_survives_new_leader",
        (quarantine.Observations, "forget", lambda *_: None),
    ),
    (
        "release for a success before the quarantine",
        "earlier_success",
        (_quarantine.Quarantine, "_known_since", lambda *_: -math.inf),
    ),
    (
        "never end a hold",
        "runs_again_after_hold",
        (_quarantine.Quarantine, "maintain", _do_nothing),
    ),
)
_original_pending = quarantine.Observations.pending


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run a mutant's scenario with its guard disabled."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
