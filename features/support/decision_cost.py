"""Tests of what a placement decision costs, without a network.

The cost is the number of function calls that it makes, so that it is the same
in each run.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools
import sys
import typing
import unittest.mock

import looptime

from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.placement import _decisions
from bergamotsail.placement import _engine_record
from bergamotsail.placement import _placer
from features.support import decisions

FEW_ENGINES = 12
MANY_ENGINES = 600
# A decision may make this many times the calls beside MANY_ENGINES.
MAX_GROWTH = 2.0
PROMPTS = 64
ADAPTERS_PER_ENGINE = 8
HOT, COLD = "hot", "cold"
DECISIONS = 20
SPACING_S = 0.001
WAITING = 200
# Decisions that the end of one request may cause before the next tick.
MAX_DECISIONS = 10
ENDED_FOR_S = 0.02
UNCHANGED_FOR_S = 1.0


Result = typing.TypeVar("Result")


class _CallCounter:
    """Counts function calls while it is entered; a context manager."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> "_CallCounter":
        sys.setprofile(self._on_event)
        return self

    def __exit__(self, *_: object) -> None:
        sys.setprofile(None)

    def _on_event(self, _frame: object, event: str, _: object) -> None:
        if event in ("call", "c_call"):
            self.count += 1


def _busy_engines(count: int, prompts: int) -> decisions.Engines:
    """Return engines with all slots in use and unread prompts at each."""
    engines = decisions.Engines(count)
    for number, target in enumerate(engines.by_id):
        for place in range(ADAPTERS_PER_ENGINE):
            name = f"used{number}-{place}"
            if number == 0 and place == 0:
                name = HOT
            engines.hold(target, name, uses=1)
        for prompt in range(prompts):
            engines.add_prompt(target, f"used{number}-1", prompt % 3)
    return engines


def _calls_per_decision(count: int, prompts: int, adapter: str) -> float:
    engines = _busy_engines(count, prompts)
    waiting = tuple(f"waiting{number}" for number in range(prompts))
    demand, wanted = engines.demand(adapter), set(waiting)
    with _CallCounter() as calls:
        for _ in range(DECISIONS):
            engines.now += SPACING_S
            engines.decider.decide(demand, wanted, engines.now)
    return calls.count / DECISIONS


def _growth(adapter: str) -> collections.abc.Iterator[str]:
    few = _calls_per_decision(FEW_ENGINES, 1, adapter)
    many = _calls_per_decision(MANY_ENGINES, PROMPTS, adapter)
    if many > few * MAX_GROWTH:
        yield (
            f"{many:.0f} calls for a {adapter} adapter beside {MANY_ENGINES} "
            f"engines with {PROMPTS} prompts each, {few:.0f} beside "
            f"{FEW_ENGINES} with one"
        )


def cost_beside_many_engines() -> list[str]:
    """A decision costs the same beside many busy engines and few idle ones.

    For an adapter that an engine with a queue holds, and for one that none
    holds, with no slot free anywhere.
    """
    return [*_growth(HOT), *_growth(COLD)]


def _placer_of(engines: decisions.Engines) -> _placer.Placer:
    """Return a scheduler that leads, with the records of the engines."""
    leadership = unittest.mock.Mock(term=1)
    leadership.holds.return_value = True
    view = unittest.mock.Mock()
    view.return_value.budget.return_value = None
    view.return_value.named_version.return_value = 1
    placer = _placer.Placer(
        leadership,
        view,
        unittest.mock.Mock(),
        engines.policy,
        observe.Metrics(),
    )
    placer._follow_term()
    for record in list(engines.by_id.values()):
        placer._engines.add(record)
        orders = unittest.mock.Mock(record=record)
        orders.start_load.side_effect = functools.partial(_replace, record)
        placer._orders_by_target[record.info.id] = orders
    return placer


def _replace(
    record: _engine_record.EngineRecord,
    name: _engine_record.AdapterName,
    version: int | None,
    victim: _engine_record.AdapterName | None,
    now: float,
) -> None:
    """Record a load as in progress."""
    if victim is not None:
        record.drop_slot(victim)
    loading = _engine_record.SlotState.LOADING
    record.put_slot(name, _engine_record.Slot(version, loading, used_at=now))


class _Waiting:
    """A scheduler with WAITING requests that no engine can serve yet."""

    def __init__(self) -> None:
        self._engines = decisions.Engines(FEW_ENGINES)
        self._engines.now = asyncio.get_running_loop().time()
        for number, target in enumerate(self._engines.by_id):
            for place in range(ADAPTERS_PER_ENGINE):
                self._engines.hold(target, f"used{number}-{place}")
                self._engines.add_prompt(target, f"used{number}-{place}")
        self.placer = _placer_of(self._engines)
        self._stack = contextlib.AsyncExitStack()
        self._asking: list[asyncio.Task] = []

    async def __aenter__(self) -> "_Waiting":
        await self._stack.enter_async_context(self.placer)
        request = decisions._place_request(0)
        for number in range(WAITING):
            waiting = dataclasses.replace(
                request, request=f"q{number}", adapter=f"w{number}"
            )
            asking = self.placer.on_place(waiting)
            self._asking.append(asyncio.create_task(asking))
        # Just after a tick.
        await asyncio.sleep(_placer.TICK_S * 2.1)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._asking:
            task.cancel()
        await asyncio.wait(self._asking)
        await self._stack.aclose()


async def _decisions_after_end() -> int:
    """Count the decisions when one of many busy engines ends a request."""
    async with _Waiting() as waiting:
        with _counted_decisions() as decided:
            ended = placement.EndedUse("2", "e0", placement.UseOutcome.DONE)
            release = placement.ReleaseRequest("b", (ended,))
            await waiting.placer.on_release(release)
            await asyncio.sleep(ENDED_FOR_S)
    return decided.call_count


async def _decisions_while_waiting() -> int:
    """Count the decisions while no engine changes."""
    async with _Waiting():
        with _counted_decisions() as decided:
            await asyncio.sleep(UNCHANGED_FOR_S)
    return decided.call_count


async def _load_delay_s() -> float:
    """Return how long a slot that is freed right before a tick stays free."""
    loop = asyncio.get_running_loop()
    async with _Waiting() as waiting:
        orders = waiting.placer._orders_by_target["e0"]
        await asyncio.sleep(_placer.TICK_S * 0.88)
        freed_at = loop.time()
        ended = placement.EndedUse("2", "e0", placement.UseOutcome.DONE)
        release = placement.ReleaseRequest("b", (ended,))
        await waiting.placer.on_release(release)
        while not orders.start_load.called:
            await asyncio.sleep(0.001)
        return loop.time() - freed_at


def _counted_decisions() -> contextlib.AbstractContextManager:
    decide = _decisions.Decider.decide
    return unittest.mock.patch.object(
        _decisions.Decider, "decide", autospec=True, side_effect=decide
    )


def _run(work: collections.abc.Coroutine[None, None, Result]) -> Result:
    loop = looptime.new_event_loop()
    with contextlib.closing(loop):
        return loop.run_until_complete(work)


def cost_of_an_end() -> list[str]:
    """The end of a request decides for few of the many that wait."""
    count = _run(_decisions_after_end())
    if 0 < count <= MAX_DECISIONS:
        return []
    return [f"{count} decisions for {WAITING} waiting requests"]


def slot_freed_before_a_tick() -> list[str]:
    """A free slot goes to a waiting request at once, also before a tick."""
    delay_s = _run(_load_delay_s())
    if delay_s <= ENDED_FOR_S:
        return []
    return [f"a load began {delay_s:.3f} s after a slot became free"]


def cost_of_waiting() -> list[str]:
    """Requests that nothing can serve are not decided for at each tick."""
    count = _run(_decisions_while_waiting())
    allowed = WAITING * (UNCHANGED_FOR_S / _placer.BLOCKED_RETRY_S + 1)
    if 0 < count <= allowed:
        return []
    return [f"{count} decisions for {WAITING} waiting requests"]


def undetected_switches() -> list[str]:
    """Return the guards whose scenario passes without them."""
    full_pass = unittest.mock.patch.object(
        _placer.Placer,
        "_schedule_for",
        lambda placer, _: placer._schedule_soon(),
    )
    always = unittest.mock.patch.object(_placer, "BLOCKED_RETRY_S", 0.0)
    undetected = []
    with full_pass, always:
        if not cost_of_an_end():
            undetected.append("decide for each waiting request in each pass")
    with unittest.mock.patch.object(
        _placer.Placer, "_rank_names", _rank_all_names
    ):
        if not cost_of_waiting():
            undetected.append("decide for each waiting request at each tick")
    return undetected


def _rank_all_names(placer: _placer.Placer, now: float) -> None:
    placer._ranked = tuple(placer._ranked_names(now))
    placer._names_left.extend(placer._ranked)
