"""Counts of lost targets by parts of prompts, without a network."""

import asyncio
import collections.abc
import dataclasses

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail.control import _quarantine
from bergamotsail import quarantine
from bergamotsail.quarantine import _ends
from bergamotsail import wire
from features.support import fatal_world


def _observed(
    request: str,
    target: str,
    ended_ago_s: float,
    *parts: str,
    end: quarantine.RunEnd = quarantine.RunEnd.LOST,
    served_ago_s: float | None = None,
) -> quarantine.Observation:
    found = tuple(
        quarantine.ObservedPart(part, part, served_ago_s) for part in parts
    )
    return quarantine.Observation(
        request, "m1", fatal_world.POOL, target, ended_ago_s, end, found
    )


def _blamed(
    observations: collections.abc.Iterable[quarantine.Observation],
) -> set[str]:
    """Return the keys that some observations blame, in their order."""
    counter = quarantine.LossCounter()
    blamed = set()
    for observation in observations:
        counter.take(observation, 100.0)
        for key in observation.keys():
            if key.id in blamed or counter.is_to_blame(key.id):
                blamed.add(key.id)
                counter.blame(key, observation)
                break
    return blamed


async def narrowest_explanation() -> list[str]:
    """What explains all losses, and most narrowly, is blamed."""
    alike = [_observed("w", f"t{n}", 9.0 - n, "f", "x") for n in range(3)]
    shared = [_observed(f"w{n}", f"t{n}", 9 - n, "f", "x") for n in range(3)]
    victims = [_observed(f"v{n}", f"t{n}", 9 - n, "f", "s") for n in range(3)]
    beside = [*victims[:2], *shared, victims[2]]
    wide = [_observed(f"w{n}", f"t{n}", 9 - n, "f", f"x{n}") for n in range(3)]
    served = [
        dataclasses.replace(
            one,
            parts=(quarantine.ObservedPart("f", "f", 12.0), *one.parts[1:]),
        )
        for one in wide
    ]
    retried = [
        _observed(f"w{n // 2}", f"t{n}", 9.0 - n, "f", "x") for n in range(4)
    ]
    mostly = [*alike[:2], _observed("v", "t2", 7.0, "f", "x")]
    once = [_observed(f"w{n}", f"t{n}", 9 + n / 9, "f", "x") for n in range(3)]
    answer = _observed("", "t9", 5, "f", "x", end=quarantine.RunEnd.SERVED)
    cases = (
        (alike, {"w"}),
        (shared, {"x"}),
        (beside, {"x"}),
        (wide, {"f"}),
        (served, set()),
        (retried, {"x"}),
        (mostly, set()),
        (once, set()),
        ([*shared, answer], {"x"}),
        ([answer, *shared], set()),
    )
    return [
        f"case {number}: blamed {sorted(_blamed(observations))}"
        for number, (observations, wanted) in enumerate(cases)
        if _blamed(observations) != wanted
    ]


PART_OBSERVATIONS = strategies.builds(
    _observed,
    strategies.sampled_from(["w1", "w2", "w3"]),
    strategies.sampled_from(["t1", "t2", "t3", "t4"]),
    strategies.floats(0.0, 60.0),
    strategies.sampled_from(["f", "g"]),
    strategies.sampled_from(["x", "y"]),
    end=strategies.sampled_from(
        [quarantine.RunEnd.LOST, quarantine.RunEnd.SERVED]
    ),
)


async def any_order() -> list[str]:
    """Counts of parts don't depend on order or duplicates."""

    def ends(observations) -> list[int]:
        counter = quarantine.LossCounter()
        for observation in observations:
            counter.take(observation, 100.0)
        return [counter.ends(key_id) for key_id in ("w1", "f", "x")]

    @hypothesis.settings(
        max_examples=300, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.lists(
            PART_OBSERVATIONS, max_size=8, unique_by=lambda o: (o.target)
        ),
        strategies.randoms(use_true_random=False),
    )
    def check(observations, rng) -> None:
        shuffled = observations + [
            one for one in observations if rng.random() < 0.5
        ]
        rng.shuffle(shuffled)
        assert ends(shuffled) == ends(observations)

    check()
    return []


async def made_up_parts_evict_nobody() -> list[str]:
    """A member's thousands of parts evict no suspect of another member.

    Nor do parts that were lost once evict one that was lost twice. Memory is
    bounded.
    """
    counter = quarantine.LossCounter()
    for number in range(2):
        counter.take(
            _observed(f"w{number}", f"t{number}", 5.0 - number, "f", "x"),
            100.0,
        )
    for member in ("m1", "m2"):
        for number in range(5_000):
            parts = (f"{member}-{number}", f"{member}-{number}-b")
            observation = _observed(f"{member}w{number}", "t9", 1.0, *parts)
            counter.take(
                dataclasses.replace(observation, member=member), 100.0
            )
    faults = []
    if counter.ends("x") != 2:
        faults.append(f"{counter.ends('x')} of 2 losses are remembered")
    if len(counter) > 2 * _ends.MAX_SUSPECTS_PER_MEMBER:
        faults.append(f"{len(counter)} suspects are kept")
    return faults


async def answers_evict_no_losses() -> list[str]:
    """A daemon keeps its losses for the next leader beside many answers."""
    observations = quarantine.Observations()
    keys = quarantine.part_keys("m1", fatal_world.POOL, ("f", "x"))
    lost = quarantine.Run("w", "m1", fatal_world.POOL, "t1", keys)
    observations.note(lost, quarantine.RunEnd.LOST)
    observations.take_suspects((keys[0].id,))
    for number in range(1_000):
        answered = quarantine.Run(
            f"v{number}", "m1", fatal_world.POOL, "t2", keys[:1]
        )
        observations.note(answered, quarantine.RunEnd.SERVED)
    _, reported = observations.pending(7)
    ends = [one.end for one in reported]
    if quarantine.RunEnd.LOST not in ends:
        return [f"reported only {set(ends)}"]
    return []


async def held_for_another_pool() -> list[str]:
    """A part held for one pool is held at its first loss in another one.

    Unless prompts with it were answered there lately.
    """
    faults = []
    for served_ago_s, wanted in ((None, 1), (20.0, 0)):
        value = catalogue.Quarantine("m1", "other", 3, part="x")
        view = catalogue.View()
        view.apply(
            catalogue.Effect(
                7,
                catalogue.Kind.QUARANTINE,
                "id",
                wire.encode(value).decode(),
            )
        )
        commands = []

        async def propose(command: catalogue.Command) -> None:
            commands.append(command)

        leader = _quarantine.Quarantine(
            3, lambda: view, propose, wire.LoopClock()
        )
        loss = _observed("w", "t1", 1.0, "x", served_ago_s=served_ago_s)
        now = asyncio.get_running_loop().time()
        await leader.record_observations("b1", [loss], now)
        if len(commands) != wanted:
            faults.append(f"served {served_ago_s} s ago: {commands}")
    return faults
