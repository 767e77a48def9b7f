"""Requests that crash engines or services, sent through the daemon's API.

Guards against the failure that quarantine.py tests on routes: retries,
resumes and a caller's own repeats of a fatal request crashed one target after
another, as nothing counted these crashes together. The whole system runs in
virtual time, with owners between entries and engines.
"""

import asyncio
import collections.abc
import json
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import world as world_lib

FATAL = "ends engines"
CRASH_S = 0.05
# Three crashes cause the quarantine; a request that already runs at another
# engine at that moment may cause a fourth.
MAX_CRASHES = 4
REPEATS = 8

SimulatedCluster = world_lib.SimulatedCluster


def _settings(seed: int) -> world_lib.ClusterSettings:
    return world_lib.ClusterSettings(seed=seed)


async def _ask(
    world: SimulatedCluster, number: int, prompt: str, chat: bool = False
) -> str:
    """Send one completion; return its error code, or "served"."""
    at = world.entry(number % 5)
    request = routing.Completion(
        f"fatal-{number}", "adapter-0", targets.Prompt(prompt, 4, chat), 10.0
    )
    parts = at.daemon.completions.complete(
        routing.Caller(world_lib.MEMBERS[0]), request
    )
    try:
        async for _ in parts:
            pass
    except wire.ServingError as error:
        return error.code
    return "served"


def _crashing(
    crashed: list[str],
) -> collections.abc.Callable[..., object]:
    """Return a replacement for _find_or_start that crashes on FATAL.

    Args:
        crashed: gets the stream id of each fatal run.
    """
    start = standins.EngineStandIn._find_or_start

    def start_or_crash(engine: standins.EngineStandIn, run: targets.Run):
        sequence = start(engine, run)
        if FATAL in run.prompt.text:
            crashed.append(run.stream_id)
            asyncio.get_running_loop().call_later(CRASH_S, engine.restart)
        return sequence

    return start_or_crash


async def fatal_prompt(seed: int = 1) -> list[str]:
    """A prompt that crashes each engine that runs it is quarantined."""
    crashed: list[str] = []
    crashing = unittest.mock.patch.object(
        standins.EngineStandIn, "_find_or_start", _crashing(crashed)
    )
    with crashing:
        async with SimulatedCluster(_settings(seed)) as world:
            outcomes = []
            for number in range(REPEATS):
                outcomes.append(await _ask(world, number, FATAL))
                await asyncio.sleep(2.0)
            other = await _ask(world, REPEATS, "another prompt")
    faults = []
    if len(crashed) > MAX_CRASHES:
        faults.append(f"{len(crashed)} engines crashed, outcomes {outcomes}")
    if outcomes[-1] != "quarantined":
        faults.append(f"not quarantined at the end: {outcomes}")
    if other != "served":
        faults.append(f"another prompt got {other}")
    return faults


def _chat(*contents: str) -> str:
    messages = [{"role": "user", "content": content} for content in contents]
    return json.dumps(messages)


async def fatal_message(seed: int = 1) -> list[str]:
    """A chat message that crashes engines is quarantined, whatever follows.

    Chats without it that share the first message are served.
    """
    crashed: list[str] = []
    crashing = unittest.mock.patch.object(
        standins.EngineStandIn, "_find_or_start", _crashing(crashed)
    )
    with crashing:
        async with SimulatedCluster(_settings(seed)) as world:
            outcomes, others = [], []
            for number in range(REPEATS):
                fatal = _chat("You book rooms.", FATAL, f"question {number}")
                outcomes.append(await _ask(world, number, fatal, True))
                await asyncio.sleep(2.0)
                sound = _chat("You book rooms.", f"question {number}")
                others.append(await _ask(world, REPEATS + number, sound, True))
    faults = []
    if len(crashed) > MAX_CRASHES or outcomes[-1] != "quarantined":
        faults.append(f"{len(crashed)} engines crashed, outcomes {outcomes}")
    if set(others) != {"served"}:
        faults.append(f"other chats got {others}")
    return faults


async def fatal_call(seed: int = 1) -> list[str]:
    """A fatal non-idempotent call under new keys is quarantined, too.

    Another call still gets the response recorded under its key.
    """
    crashed: list[str] = []
    do_call = standins.ServiceStandIn.call

    async def call_or_crash(service, method, path, headers, body):
        if body == FATAL.encode():
            crashed.append(path)
            await asyncio.sleep(CRASH_S)
            raise wire.PeerLostError("The service restarted.")
        return await do_call(service, method, path, headers, body)

    crashing = unittest.mock.patch.object(
        standins.ServiceStandIn, "call", call_or_crash
    )
    with crashing:
        async with SimulatedCluster(_settings(seed)) as world:
            outcomes = []
            for number in range(REPEATS):
                outcomes.append(await _call(world, number, FATAL.encode()))
                await asyncio.sleep(2.0)
            others = [
                await _call(world, REPEATS, b"{}"),
                await _call(world, REPEATS, b"{}"),
            ]
    faults = []
    if len(crashed) > MAX_CRASHES or outcomes[-1] != "quarantined":
        faults.append(f"{len(crashed)} fatal calls ran, outcomes {outcomes}")
    if others != ["served", "replayed"]:
        faults.append(f"another call got {others}")
    return faults


async def _call(world: SimulatedCluster, number: int, body: bytes) -> str:
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
    at = world.entry(number % 5)
    services = at.daemon.services
    try:
        result = await services.call(
            routing.Caller(world_lib.MEMBERS[0]), call
        )
    except wire.ServingError as error:
        return error.code
    return "replayed" if result.replayed else "served"


# A mutant's patch: no daemon sees a quarantined request in the catalogue.
NO_QUARANTINE_VISIBLE = (
    catalogue.View,
    "quarantine_by_id",
    property(lambda view: {}),
)
