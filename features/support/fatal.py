"""Requests that end targets, asked through the product's own interface.

The same cause as on routes: tries, resumes and a caller's own repeats met one
target after the other, and nothing counted them together. The whole system
runs in virtual time, with owners between entries and engines.
"""

import asyncio
import collections.abc
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import world as world_lib

FATAL = "ends engines"
CRASH_S = 0.05
# Requests at the engines when the third one ended are counted as well.
MOST_ENDED = 4
REPEATS = 8

World = world_lib.World


def _settings(seed: int) -> world_lib.WorldSettings:
    return world_lib.WorldSettings(seed=seed)


async def _ask(world: World, number: int, prompt: str) -> str:
    """Ask a model once, at some entry; return how that ended."""
    at = world.place(number % 5)
    request = routing.Completion(
        f"fatal-{number}", "adapter-0", targets.Prompt(prompt, 4), 10.0
    )
    parts = at.daemon.entry.complete(
        routing.Caller(world_lib.MEMBERS[0]), request
    )
    try:
        async for _ in parts:
            pass
    except wire.ServingError as error:
        return error.code
    return "served"


def _crashing(
    ended: list[str],
) -> collections.abc.Callable[..., object]:
    """Return the engines' start of a run, which ends on the fatal prompt."""
    start = standins.EngineStandIn._find_or_start

    def start_or_crash(engine: standins.EngineStandIn, run: targets.Run):
        sequence = start(engine, run)
        if run.prompt.text == FATAL:
            ended.append(run.stream_id)
            asyncio.get_running_loop().call_later(CRASH_S, engine.restart)
        return sequence

    return start_or_crash


async def fatal_prompt(seed: int = 1) -> list[str]:
    """A prompt that ends each engine that runs it is sent there no more."""
    ended: list[str] = []
    crashing = unittest.mock.patch.object(
        standins.EngineStandIn, "_find_or_start", _crashing(ended)
    )
    with crashing:
        async with World(_settings(seed)) as world:
            got = []
            for number in range(REPEATS):
                got.append(await _ask(world, number, FATAL))
                await asyncio.sleep(2.0)
            other = await _ask(world, REPEATS, "another prompt")
    faults = []
    if len(ended) > MOST_ENDED:
        faults.append(f"{len(ended)} engines ended, it got {got}")
    if got[-1] != "quarantined":
        faults.append(f"it got {got}")
    if other != "served":
        faults.append(f"another prompt got {other}")
    return faults


async def fatal_call(seed: int = 1) -> list[str]:
    """The same for a call that may not be repeated, under new keys.

    The answer recorded for an earlier key still comes.
    """
    ended: list[str] = []
    do_call = standins.ServiceStandIn.call

    async def call_or_crash(service, method, path, headers, body):
        if body == FATAL.encode():
            ended.append(path)
            await asyncio.sleep(CRASH_S)
            raise wire.PeerLostError("The service restarted.")
        return await do_call(service, method, path, headers, body)

    crashing = unittest.mock.patch.object(
        standins.ServiceStandIn, "call", call_or_crash
    )
    with crashing:
        async with World(_settings(seed)) as world:
            got = []
            for number in range(REPEATS):
                got.append(await _call(world, number, FATAL.encode()))
                await asyncio.sleep(2.0)
            others = [
                await _call(world, REPEATS, b"{}"),
                await _call(world, REPEATS, b"{}"),
            ]
    faults = []
    if len(ended) > MOST_ENDED or got[-1] != "quarantined":
        faults.append(f"{len(ended)} calls ran, they got {got}")
    if others != ["served", "replayed"]:
        faults.append(f"another call got {others}")
    return faults


async def _call(world: World, number: int, body: bytes) -> str:
    key = f"{int(world.wall_s())}-{number}"
    call = routing.ServiceCall(
        f"fatal-{number}",
        f"{world_lib.MEMBERS[0]}-app",
        "POST",
        "/pickups/1",
        {"Idempotency-Key": key},
        body,
        8.0,
        key,
    )
    at = world.place(number % 5)
    services = at.daemon.services
    try:
        result = await services.call(
            routing.Caller(world_lib.MEMBERS[0]), call
        )
    except wire.ServingError as error:
        return error.code
    return "replayed" if result.replayed else "served"


# What a mutant switches off: nothing stands in the log for any daemon.
NOTHING_HELD = (
    catalogue.View,
    "quarantine_by_id",
    property(lambda view: {}),
)
