"""Scenarios of adapter versions at an entry that finds no leader.

They run in virtual time. The session, the placement client and the survey of
the entry are real; its leader and its engines are scripted. Each scenario
returns the deviations from what its docstring states.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.control import _messages
from bergamotsail import placement
from bergamotsail.placement import _place_messages
from bergamotsail import routing
from bergamotsail.routing import _placements
from bergamotsail.routing import _survey
from bergamotsail import targets
from bergamotsail import wire
from features.support import fleet
from features.support import ledger

MODEL = ledger.MODEL
ADAPTER = "a1"
POOL = ledger.POOL
LEASE = fleet.LEASE
# Requests may begin on an older version for 5 s. The transfer and the queue
# of the engine take 2 s of them.
MAX_PLACED_S = 3.0
SETTLE_S = 2.0
# A reply to a place call is given up after this time.
MAX_REPLY_S = 1.65


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A placement of a request.

    Args:
        at_s: when the entry obtained it.
    """

    at_s: float
    reply: placement.PlaceReply


class World(wire.PeerTransport):
    """One entry, its leader and two engines; an async context manager.

    Attributes:
        heartbeats: how the leader treats heartbeats: "answered", "shed" or
            "lost".
        places: how it treats place calls, likewise.
        fetch_s: how long a fetch of changes takes; None if changes fit into
            the heartbeat replies.
        reply_delay_s: transit time of a grant.
        report_s: how long an engine takes to report.
        held_by_target: the version that each engine reports, and its load.
    """

    def __init__(self) -> None:
        self.heartbeats = "answered"
        self.places = "answered"
        self.fetch_s: float | None = None
        self.reply_delay_s = 0.0
        self.report_s = 0.01
        self.held_by_target = {"e1": (1, 0), "e2": (1, 0)}
        self.named_at: dict[int, float] = {}
        self.placed: list[Placed] = []
        self.refused = 0
        self._machine = catalogue.CatalogueMachine()
        self._digest = control.DigestLog(1)
        for number, target in enumerate(self.held_by_target):
            self._digest.put_target(
                control.TargetInfo(target, POOL, f"10.0.0.{number}:1", "a")
            )
        info = control.DaemonInfo("b", "b", "10.1.0.1:1", "a")
        leader = control.LeaderClient(self, ["10.2.0.1:1"])
        self.session = control.Session(info, leader, self, LEASE)
        self.session.attach(control.PassiveParticipant())
        self.placements = routing.PlacementClient(
            self.session,
            self,
            survey=routing.Survey(self._report, random.Random(1)),
        )
        self._stack = contextlib.AsyncExitStack()
        self._requests = 0
        self.name_version(1)

    async def __aenter__(self) -> "World":
        await self._stack.enter_async_context(self.session)
        await self._stack.enter_async_context(self.placements)
        await asyncio.sleep(SETTLE_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    def name_version(self, version: int) -> None:
        """Acknowledge a new version of the adapter."""
        self.named_at[version] = asyncio.get_running_loop().time()
        name = catalogue.NameVersion(MODEL, ADAPTER, version)
        self._machine.apply(
            self._machine.view.index + 1,
            wire.encode(catalogue.Command(name_version=name)),
        )
        self._machine.view.index += 1

    async def call(self, address, call, message, timeout_s):
        """Answer a call of the entry."""
        await asyncio.sleep(0.002)
        if call is control.HEARTBEAT:
            await self._fail(self.heartbeats, timeout_s)
            return self._heartbeat_reply(message)
        await self._fail(self.places, timeout_s)
        if call is not placement.PLACE:
            return _place_messages.Released()
        version = self._machine.view.named_version(MODEL, ADAPTER)
        if self.reply_delay_s >= timeout_s:
            await asyncio.sleep(timeout_s)
            raise wire.PeerLostError("The reply was late.")
        await asyncio.sleep(self.reply_delay_s)
        return placement.PlaceReply(
            "e1", "10.0.0.0:1", version, 0.0, "resident"
        )

    async def _fail(self, treatment: str, timeout_s: float) -> None:
        if treatment == "shed":
            raise wire.LoadShedError("Overloaded.", retry_after_s=0.3)
        if treatment == "lost":
            await asyncio.sleep(timeout_s)
            raise wire.PeerLostError("No reply.")

    def _heartbeat_reply(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply:
        effects = tuple(self._machine.effects_after(request.applied))
        behind = self.fetch_s is not None and bool(effects)
        return _messages.HeartbeatReply(
            "10.2.0.1:1",
            1,
            self._machine.view.index,
            () if behind else effects,
            behind,
            {},
            self._digest.delta(request.digest_term, request.digest_version),
        )

    async def stream(self, address, call, message, timeout_s):
        """Stream changes in pieces, one each half second."""
        index = self._machine.view.index
        effects = tuple(self._machine.effects_after(message.after))
        ends_at = asyncio.get_running_loop().time() + self.fetch_s
        while asyncio.get_running_loop().time() < ends_at:
            yield _messages.StatePiece(index, (), False)
            await asyncio.sleep(0.5)
        yield _messages.StatePiece(index, effects, False)

    async def _report(self, info: control.TargetInfo) -> targets.AdapterReport:
        await asyncio.sleep(self.report_s)
        version, running = self.held_by_target[info.id]
        held = targets.ReportedAdapter(MODEL, ADAPTER, version)
        return targets.AdapterReport(
            (MODEL,), (held,), (), False, 1, 0, running
        )

    async def request_for(self, seconds: float, interval_s: float) -> None:
        """Place a request at each interval, each to its end."""
        async with asyncio.TaskGroup() as group:
            for _ in range(round(seconds / interval_s)):
                group.create_task(self.place())
                await asyncio.sleep(interval_s)

    async def place(self, patience_s: float = 2.0) -> None:
        """Place one request and record the outcome."""
        self._requests += 1
        request = placement.PlaceRequest(
            "b",
            f"q{self._requests}",
            POOL,
            MODEL,
            ADAPTER,
            9,
            9,
            (),
            0,
            patience_s,
            "a",
            objective_s=1.0,
        )
        try:
            reply = await self.placements.acquire(request)
        except wire.OverloadError:
            self.refused += 1
            return
        at_s = asyncio.get_running_loop().time()
        self.placed.append(Placed(at_s, reply))
        self.placements.release(
            request.request, reply.target, placement.UseOutcome.DONE
        )

    def late(self, max_s: float) -> list[str]:
        """Return placements on a version older than the bound permits."""
        return [
            f"version {placed.reply.version} ({placed.reply.reason}) "
            f"{placed.at_s - at:.2f} s after version {newer} was named"
            for placed in self.placed
            for newer, at in self.named_at.items()
            if placed.reply.version < newer and placed.at_s - at > max_s
        ]


async def leader_sheds_place_calls() -> list[str]:
    """A leader sheds place calls for 4 s, while heartbeats go on.

    The version named at its beginning is known with the next heartbeat.
    """
    async with World() as world:
        await world.request_for(1.0, 0.2)
        world.places = "shed"
        world.name_version(2)
        await world.request_for(4.0, 0.2)
        return world.late(2 * LEASE.heartbeat_s)


async def engine_reports_newer_version() -> list[str]:
    """The leader is lost as a version is named, so the entry misses it.

    One of two engines reports it. Once it has, it gets all requests, although
    it has more load.
    """
    async with World() as world:
        await world.place()
        world.heartbeats = world.places = "lost"
        world.name_version(2)
        world.held_by_target = {"e1": (1, 0), "e2": (2, 9)}
        await asyncio.sleep(6.0)
        await world.request_for(2.0, 0.2)
        faults = world.late(6.1)
        return faults if len(world.placed) == 11 else [*faults, "refused"]


async def entry_comes_back() -> list[str]:
    """An entry is cut off for 20 s, in which a version is named.

    Its engines report the older version. Once a heartbeat was answered, it
    places no request by these reports or by what it remembers, even if the
    leader sheds place calls.
    """
    async with World() as world:
        await world.place()
        world.heartbeats = world.places = "lost"
        async with asyncio.TaskGroup() as group:
            group.create_task(world.request_for(24.0, 0.2))
            await asyncio.sleep(10.0)
            world.name_version(2)
            await asyncio.sleep(10.0)
            world.heartbeats, world.places = "answered", "shed"
            await asyncio.sleep(2.0)
            world.places = "answered"
        faults = world.late(10.0 + LEASE.call_s + LEASE.heartbeat_s)
        last = world.placed[-1].reply
        return faults if last.version == 2 else [*faults, str(last)]


async def survey_ends_after_return() -> list[str]:
    """A request waits for a survey while its entry comes back.

    The engines report the older version after the leader has answered.
    """
    async with World() as world:
        await world.place()
        world.heartbeats = world.places = "lost"
        world.report_s = 2.0
        await asyncio.sleep(_placements.CACHE_TTL_S + 1.0)
        world.name_version(2)
        placing = asyncio.create_task(world.place(60.0))
        await asyncio.sleep(0.5)
        world.heartbeats = world.places = "answered"
        await placing
        return world.late(LEASE.call_s + LEASE.heartbeat_s)


async def grants_arrive_late() -> list[str]:
    """A grant is used within 1.65 s, or its reply is given up.

    The leader names a version right after each grant.
    """
    faults = []
    for delay_s in (0.5, 1.6, 1.7, 2.5):
        async with World() as world:
            world.reply_delay_s = delay_s
            placing = asyncio.create_task(world.place(9.0))
            await asyncio.sleep(0.01)
            world.name_version(2)
            await placing
            faults += world.late(MAX_REPLY_S)
    return faults


Work = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, list[str]]
]
SCENARIOS: dict[str, Work] = {
    "leader_sheds_place_calls": leader_sheds_place_calls,
    "engine_reports_newer_version": engine_reports_newer_version,
    "entry_comes_back": entry_comes_back,
    "survey_ends_after_return": survey_ends_after_return,
    "grants_arrive_late": grants_arrive_late,
}


# Each mutant switches off a guard: its name, the scenario that must fail, and
# the arguments of mock.patch.object.
MUTANTS = (
    (
        "ignore the version that the leader named",
        "leader_sheds_place_calls",
        (_placements.PlacementClient, "_min_version", lambda *_: None),
    ),
    (
        "ignore the named version after a return",
        "entry_comes_back",
        (_placements.PlacementClient, "_min_version", lambda *_: None),
    ),
    (
        "ignore the versions that engines report",
        "engine_reports_newer_version",
        (_survey.Survey, "newest_version", lambda *_: None),
    ),
    (
        "wait long for a reply",
        "grants_arrive_late",
        (_placements, "ASK_TIMEOUT_S", 9.0),
    ),
)


def run_scenario(name: str) -> list[str]:
    """Run a scenario in virtual time."""
    return ledger.run(SCENARIOS[name]())


def run_mutant(number: int) -> list[str]:
    """Run the scenario of a mutant with its guard switched off."""
    _, scenario, guard = MUTANTS[number]
    with ledger.disabled_guard(guard):
        return run_scenario(scenario)
