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
MAX_ENDS = fatal_world.MAX_ENDS
MAX_LATE_ARRIVALS = fatal_world.MAX_LATE_ARRIVALS
POOL = fatal_world.POOL

World = fatal_world.World


# Counting of crashes.


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


async def order_and_duplicates_ignored() -> list[str]:
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


async def one_event_counts_once() -> list[str]:
    """Crashes at the same moment count as one, separate ones as several.

    Copies that run at three targets of a rack that fails did not cause the
    failure. Crashes of the same three targets one after another count.
    """
    rack = [_observed(f"t{n}", 3.0 - n / 100) for n in range(3)]
    turns = [_observed(f"t{n}", 8.0 - 2 * n) for n in range(3)]
    served = [*turns, _observed("t9", 0.5, True)]
    again = [*turns, _observed("t9", 5.0, True)]
    found = [_count(words) for words in (rack, turns, served, again)]
    return [] if found == [1, 3, 0, 1] else [f"counted {found}"]


async def invalid_crash_ages() -> list[str]:
    """Crashes of one target with huge, negative or NaN ages count once."""
    ages = [-1e9, -1.0, 0.0, 1e12, math.inf, -math.inf, math.nan]
    counts = [_count([_observed("t1", age) for _ in range(5)]) for age in ages]
    return [f"counted {counts}"] if max(counts) > 1 else []


async def members_are_isolated() -> list[str]:
    """One member's thousands of requests evict no other member's suspects.

    Nor do a member's single losses evict its own request that was lost twice.
    The number of suspects that are kept is bounded.
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


async def refused_after_three_crashes() -> list[str]:
    """A fatal request is refused at every entry after three crashes."""
    async with World() as world:
        world.fatal = {b"bad"}
        got = await world.ask_repeatedly(b"bad", 12)
        faults = world.faults(b"bad", 0)
        if got[4:] != ["quarantined"] * 8:
            faults.append(f"outcomes {got}")
        others = [await world.ask(f"q{n}".encode()) for n in range(20)]
        if set(others) != {"served"}:
            faults.append(f"outcomes of others: {others}")
        if await world.ask(b"bad", caller="m2") == "quarantined":
            faults.append("another member's request was quarantined")
        return faults


async def copies_at_all_entries() -> list[str]:
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
        ends = len(world.ended)
        faults = world.faults(b"bad", 0)
        return faults + ([f"{ends} crashes"] if ends > 4 else [])


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


async def quarantine_survives_power_loss() -> list[str]:
    """A quarantine survives a restart of all replicas and entries."""
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 5)
        before = len(world.ended)
        await world.restart_all()
        got = await world.ask_repeatedly(b"bad", 6)
        faults = [] if len(world.ended) == before else ["more targets crashed"]
        if set(got) != {"quarantined"}:
            faults.append(f"outcomes {got}")
        return faults


async def incarnations_count_separately() -> list[str]:
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


async def one_request_with_many_attempts() -> list[str]:
    """One request with many attempts crashes three targets at most."""
    async with World(attempts=20) as world:
        world.fatal = {b"bad"}
        await world.ask(b"bad")
        ended = len(world.ended)
        return [f"{ended} crashes"] if ended > MAX_ENDS else []


async def concurrent_requests_are_served() -> list[str]:
    """Requests that run beside a fatal one are served after retries.

    Each caller sends up to four times. Requests that run on a target when the
    fatal one crashes it are lost as well, and must not be quarantined.
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
        await world.ask_repeatedly(b"bad", 12)
        got = collections.Counter(await asyncio.gather(*asking))
        faults = world.faults(b"bad")
        if got["quarantined"] or got["served"] < 590:
            faults.append(f"outcomes of others: {dict(got)}")
        return faults


async def common_request_in_rack_failures() -> list[str]:
    """A request sent by many is not quarantined as racks and links fail.

    Three targets at a time crash or lose their connections, while the same
    request runs at all of them.
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


async def retried_after_hold_time() -> list[str]:
    """A quarantined request may run again after a hold time.

    One more crash doubles the hold time; a success ends the quarantine.
    """
    hold = unittest.mock.patch.object(_quarantine, "HOLD_S", 6.0)
    with hold:
        return await _runs_again_later()


async def _runs_again_later() -> list[str]:
    async with World() as world:
        world.fatal = {b"bad"}
        await world.ask_repeatedly(b"bad", 5)
        ended = len(world.ended)
        await asyncio.sleep(_quarantine.hold_s(MAX_ENDS) + 1.0)
        await world.ask_repeatedly(b"bad", 4)
        faults = []
        if len(world.ended) != ended + 1:
            faults.append(
                f"{len(world.ended) - ended} crashes after the hold, not 1"
            )
        await asyncio.sleep(_quarantine.hold_s(MAX_ENDS) + 1.0)
        if await world.ask(b"bad") != "quarantined":
            faults.append("the second hold was not longer")
        world.fatal = set()
        await asyncio.sleep(_quarantine.hold_s(MAX_ENDS) + 1.0)
        got = await world.ask_repeatedly(b"bad", 3)
        if got != ["served"] * 3 or world.quarantined():
            faults.append(f"outcomes when no longer fatal: {got}")
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
        got = await world.ask(b"bad")
        return [] if got == "served" else [f"outcome {got}"]


async def crashes_before_release_ignored() -> list[str]:
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
        got = await world.ask_repeatedly(b"bad", 2)
        return [] if got == ["served"] * 2 else [f"outcomes {got}"]


async def success_before_quarantine_ignored() -> list[str]:
    """A success from before the quarantine does not end it.

    A daemon that does not know of the quarantine yet reports the earlier
    success to a new leader.
    """
    value = wire.encode(catalogue.Quarantine("m1", POOL, MAX_ENDS)).decode()
    view = catalogue.View()
    view.apply(catalogue.Effect(7, catalogue.Kind.QUARANTINE, "id", value))
    commands = []

    async def propose(command: catalogue.Command) -> None:
        commands.append(command)

    leader = _quarantine.Quarantine(3, lambda: view, propose, wire.LoopClock())
    loop = asyncio.get_running_loop()
    await leader.tend()
    await leader.take("b1", [_observed("t1", 30.0, True)], loop.time())
    faults = ["an earlier success released it"] if commands else []
    await asyncio.sleep(2.0)
    await leader.take("b1", [_observed("t2", 1.0, True)], loop.time())
    if [command.put.value for command in commands] != [None]:
        faults.append(f"a later success gave commands {commands}")
    return faults


async def random_loads() -> list[str]:
    """Random crashes, cuts, restarts and copies with two seeds."""
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
        if got["good", "quarantined"]:
            faults.append(f"seed {seed}: {dict(got)}")
        return faults


async def _inject_fault(world: World, rng: random.Random) -> None:
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
        order_and_duplicates_ignored,
        one_event_counts_once,
        invalid_crash_ages,
        members_are_isolated,
        refused_after_three_crashes,
        copies_at_all_entries,
        leader_lost_before_third,
        leader_lost_after_third,
        quarantine_survives_power_loss,
        incarnations_count_separately,
        two_members,
        one_request_with_many_attempts,
        concurrent_requests_are_served,
        common_request_in_rack_failures,
        retried_after_hold_time,
        operator_releases,
        crashes_before_release_ignored,
        success_before_quarantine_ignored,
        random_loads,
        fatal.fatal_prompt,
        fatal.fatal_call,
    )
}


def _pending_once(seen: quarantine.Observations, term: int) -> tuple:
    """Report to a new leader only what no other leader was told."""
    seen._reported_term = term
    return _original_pending(seen, term)


def _put_fifo(
    own: _ends._MemberSuspects, identity: str, suspect: quarantine.Suspect
) -> str | None:
    """Append a suspect, and evict the oldest one if there are too many."""
    own.drop(identity)
    own.once[identity] = suspect
    if len(own) <= _ends.MAX_SUSPECTS_PER_MEMBER:
        return None
    return own.once.popitem(last=False)[0]


async def _do_nothing(_: object) -> None:
    """Do nothing."""


async def _allow(*_: object) -> bool:
    """Allow every run."""
    return True


# Each mutant: name, the scenario that must fail, and the patch (object,
# attribute, replacement) that disables a guard.
MUTANTS = (
    (
        "never refuse",
        "refused_after_three_crashes",
        (_fatal.QuarantineGuard, "check", lambda *_: None),
    ),
    (
        "keep nothing in the log",
        "quarantine_survives_power_loss",
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
        (quarantine.Observations, "pending", _pending_once),
    ),
    (
        "count each target of a rack",
        "one_event_counts_once",
        (_ends, "COINCIDENCE_WINDOW_S", -1.0),
    ),
    (
        "never clear",
        "common_request_in_rack_failures",
        (_fatal.QuarantineGuard, "served", lambda *_: None),
    ),
    (
        "run copies side by side",
        "copies_at_all_entries",
        (_quarantine.Quarantine, "acquire_exclusive", _allow),
    ),
    (
        "let what was lost once push out what was lost again",
        "members_are_isolated",
        (_ends._MemberSuspects, "put", _put_fifo),
    ),
    (
        "send one attempt on and on",
        "one_request_with_many_attempts",
        (quarantine, "MAX_ENDS", 100),
    ),
    (
        "tell again what was judged",
        "crashes_before_release_ignored",
        (quarantine.Observations, "forget", lambda *_: None),
    ),
    (
        "free what was served before it was held",
        "success_before_quarantine_ignored",
        (_quarantine.Quarantine, "_known_since", lambda *_: -math.inf),
    ),
    (
        "hold for good",
        "retried_after_hold_time",
        (_quarantine.Quarantine, "tend", _do_nothing),
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
