"""What a leader spreads of daemons and targets, in pieces."""

import asyncio
import contextlib
import unittest.mock

import hypothesis
from hypothesis import strategies

from bergamotsail import control
from bergamotsail.control import _digest
from bergamotsail import targets
from features.support import growth

TARGETS = 3_000
# 5 Mbit/s; all of 3,000 targets take 0.6 s.
LINK_BYTES_PER_S = 625_000
LEASE = control.LeaseTiming(2.0, 0.3, call_s=0.6)
MOST_CHANGES = 3


class _ManyTargets(targets.InstanceList):
    """A list of thousands of targets."""

    async def read(self) -> tuple[targets.Instance, ...]:
        return tuple(
            targets.Instance(
                f"i-{n:08x}#1700000000000",
                "sastre-llm",
                f"10.{n // 200}.{n % 200}.17:8080",
                "mnl-a",
            )
            for n in range(TARGETS)
        )


async def many_targets_over_small_links() -> list[str]:
    """Entries keep their leases, and all targets, over a new leader.

    Links carry 5 Mbit/s, and a heartbeat waits 0.6 s for its answer.
    """
    replicas = await growth._formed()
    faults: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        await growth._coordinate(replicas, LEASE, stack, _ManyTargets())
        sessions = [growth._entry(replicas, n, LEASE) for n in (1, 2, 3)]
        for session in sessions:
            address = session.daemon.address
            replicas.network.bytes_per_s[address] = LINK_BYTES_PER_S
            await stack.enter_async_context(session)
        await asyncio.sleep(2.0)
        faults += _lacking(sessions)
        lost = (await replicas.leader()).member.address
        await replicas.stop(lost)
        for _ in range(60):
            await asyncio.sleep(0.1)
            faults += _lacking(sessions)
        faults += [
            f"{session.daemon.id} has no lease"
            for session in sessions
            if not session.fresh()
        ]
    await replicas.stop_all()
    return faults[:3]


def _lacking(sessions: list[control.Session]) -> list[str]:
    """Return who does not know all targets."""
    known = [len(session.digest.target_by_id) for session in sessions]
    return [] if set(known) == {TARGETS} else [f"targets known: {known}"]


# What a leader learns: a target comes, changes or goes, a daemon comes or
# goes, the daemon that follows gets an answer, or another one leads.
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["put", "drop", "daemon", "gone", "answer", "leader"]
        ),
        strategies.integers(min_value=0, max_value=7),
        strategies.booleans(),
    ),
    max_size=60,
)


def digests_agree(steps: list[tuple[str, int, bool]]) -> None:
    """Follow a leader in pieces of few changes, over several leaders."""
    with unittest.mock.patch.object(_digest, "MOST_CHANGES", MOST_CHANGES):
        _follow(steps)


def _follow(steps: list[tuple[str, int, bool]]) -> None:
    term = 1
    log, follower = control.DigestLog(term), control.Digest()
    for what, number, flag in steps:
        if what == "put":
            log.put_target(_target(number, flag))
        elif what == "drop":
            log.drop_target(f"t{number}")
        elif what == "daemon":
            log.put_daemon(_daemon(number, flag))
        elif what == "gone":
            log.drop_daemon(f"d{number}#1")
        elif what == "leader":
            term += 1
            log = _taken_over(log, term)
        else:
            _answer(log, follower)
    while _answer(log, follower):
        pass
    assert follower.daemon_by_boot == log.daemon_by_boot, steps
    if log.target_by_id:
        assert follower.target_by_id == log.target_by_id, steps


def _answer(log: control.DigestLog, follower: control.Digest) -> bool:
    """Give one answer; no target that both know may be missing after it."""
    before = set(follower.target_by_id)
    delta = log.delta(follower.term, follower.version)
    changes = delta.daemons + delta.targets
    changes += delta.gone_daemons + delta.gone_targets
    assert len(changes) <= MOST_CHANGES, delta
    follower.apply(delta)
    kept = before & set(log.target_by_id)
    assert kept <= set(follower.target_by_id), (kept, delta)
    return delta.more


def _taken_over(log: control.DigestLog, term: int) -> control.DigestLog:
    """Return the log of the next leader, which knows the same targets."""
    following = control.DigestLog(term)
    for info in log.target_by_id.values():
        following.put_target(info)
    return following


def _target(number: int, leaving: bool) -> control.TargetInfo:
    return control.TargetInfo(f"t{number}", "p", "10.0.0.1:1", "da", leaving)


def _daemon(number: int, leaving: bool) -> control.DaemonInfo:
    return control.DaemonInfo(
        f"d{number}", f"d{number}#1", "10.0.0.2:1", "da", leaving
    )


def random_digests(count: int) -> list[str]:
    """Try random histories; return the first that fails."""
    settings = hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    try:
        settings(hypothesis.given(STEPS)(digests_agree))()
    except AssertionError as error:
        return [str(error)]
    return []


def _all_at_once(log: control.DigestLog, *_: object) -> int:
    """Answer with all that changed, as a mutant does."""
    return log.version


# Each switches a guard off: its name, its check, what it patches.
MUTANTS = (
    (
        "tell all targets in one answer",
        "links",
        (control.DigestLog, "_until", _all_at_once),
    ),
    (
        "leave the rest for the next heartbeat",
        "links",
        (control.Session, "kick", lambda _: None),
    ),
    (
        "forget the former targets with the first piece",
        "random",
        (_digest.Digest, "apply", lambda *args: _hasty(*args)),
    ),
)


def _hasty(digest: control.Digest, delta) -> None:
    """Drop what a former leader knew at once, as a mutant does."""
    if delta.full:
        digest.target_by_id.clear()
    _APPLY(digest, delta)


_APPLY = _digest.Digest.apply


def run_mutant(number: int) -> list[str]:
    """Run a check with its guard switched off."""
    from features.support import ledger

    _, check, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        if check == "random":
            return random_digests(200)
        return ledger.run(many_targets_over_small_links())
