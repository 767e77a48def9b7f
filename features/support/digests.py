"""Tests of the digest of daemons and targets that a leader sends in pieces."""

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
# 5 Mbit/s, at which a digest of 3,000 targets takes 0.6 s.
LINK_BYTES_PER_S = 625_000
LEASE = control.LeaseTiming(2.0, 0.3, call_s=0.6)
MOST_CHANGES = 3


class _ManyTargets(targets.InstanceList):
    """An instance list of 3,000 targets."""

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


async def check_many_targets_over_slow_links() -> list[str]:
    """Entries keep their leases and all targets when the leader changes.

    A new leader sends all targets to every daemon. In a single reply, at
    5 Mbit/s, that takes at least the time-out of a heartbeat, 0.6 s.
    """
    replicas = await growth._form_replicas()
    faults: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        await growth._start_coordinators(
            replicas, LEASE, stack, _ManyTargets()
        )
        sessions = [
            growth._make_session(replicas, n, LEASE) for n in (1, 2, 3)
        ]
        for session in sessions:
            address = session.daemon.address
            replicas.network.bytes_per_s[address] = LINK_BYTES_PER_S
            await stack.enter_async_context(session)
        await asyncio.sleep(2.0)
        faults += _check_targets_known(sessions)
        old_leader = (await replicas.leader()).member.address
        await replicas.stop(old_leader)
        for _ in range(60):
            await asyncio.sleep(0.1)
            faults += _check_targets_known(sessions)
        faults += [
            f"{session.daemon.id} without a lease"
            for session in sessions
            if not session.fresh()
        ]
    await replicas.stop_all()
    return faults[:3]


def _check_targets_known(sessions: list[control.Session]) -> list[str]:
    """Return a fault if a session does not know all targets."""
    known = [len(session.digest.target_by_id) for session in sessions]
    return [] if set(known) == {TARGETS} else [f"targets known: {known}"]


# Events at a leader: a target is set or removed, a daemon is set or removed,
# the following daemon gets a reply, or another leader is elected. Each has
# the number of the target or daemon, and its flag "leaving".
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


# Hypothesis derives the examples from the source text of this function,
# including its docstring; the mutant of the former targets depends on them.
def digests_agree(steps: list[tuple[str, int, bool]]) -> None:
    """Follow a leader in pieces of few changes, over several leaders."""
    with unittest.mock.patch.object(_digest, "MOST_CHANGES", MOST_CHANGES):
        _follow(steps)


def _follow(steps: list[tuple[str, int, bool]]) -> None:
    term = 1
    log, follower = control.DigestLog(term), control.Digest()
    for event, number, flag in steps:
        if event == "put":
            log.put_target(_target(number, flag))
        elif event == "drop":
            log.drop_target(f"t{number}")
        elif event == "daemon":
            log.put_daemon(_daemon(number, flag))
        elif event == "gone":
            log.drop_daemon(f"d{number}#1")
        elif event == "leader":
            term += 1
            log = _log_of_next_leader(log, term)
        else:
            _send_delta(log, follower)
    while _send_delta(log, follower):
        pass
    assert follower.daemon_by_boot == log.daemon_by_boot, steps
    if log.target_by_id:
        assert follower.target_by_id == log.target_by_id, steps


def _send_delta(log: control.DigestLog, follower: control.Digest) -> bool:
    """Send one reply; return whether more remains.

    A target known to both sides must still be known to the follower.
    """
    before = set(follower.target_by_id)
    delta = log.delta(follower.term, follower.version)
    changes = delta.daemons + delta.targets
    changes += delta.gone_daemons + delta.gone_targets
    assert len(changes) <= MOST_CHANGES, delta
    follower.apply(delta)
    kept = before & set(log.target_by_id)
    assert kept <= set(follower.target_by_id), (kept, delta)
    return delta.more


def _log_of_next_leader(
    log: control.DigestLog, term: int
) -> control.DigestLog:
    """Return the digest log of the next leader, with the same targets."""
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


def check_random_histories(count: int) -> list[str]:
    """Try random histories; return the fault of the one that fails."""
    settings = hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    try:
        settings(hypothesis.given(STEPS)(digests_agree))()
    except AssertionError as error:
        return [str(error)]
    return []


def _return_newest_version(log: control.DigestLog, *_: object) -> int:
    """Send all changes in one reply: replaces the limit in a mutant."""
    return log.version


# Each mutant switches off a guard: its name, the check that must fail, and
# the arguments of mock.patch.object.
MUTANTS = (
    (
        "send all targets in one reply",
        "links",
        (control.DigestLog, "_last_version_that_fits", _return_newest_version),
    ),
    (
        "send the rest only with the next heartbeat",
        "links",
        (control.Session, "kick", lambda _: None),
    ),
    (
        "drop the former targets at the first piece",
        "random",
        (_digest.Digest, "apply", lambda *args: _drop_former_targets(*args)),
    ),
)


def _drop_former_targets(digest: control.Digest, delta) -> None:
    """Drop a former leader's targets at once: the replacement in a mutant."""
    if delta.full:
        digest.target_by_id.clear()
    _APPLY(digest, delta)


_APPLY = _digest.Digest.apply


def run_mutant(number: int) -> list[str]:
    """Run the check of a mutant with its guard switched off."""
    from features.support import ledger

    _, check, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        if check == "random":
            return check_random_histories(200)
        return ledger.run(check_many_targets_over_slow_links())
