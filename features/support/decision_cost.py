"""Tests of what a placement decision costs, without a network.

The cost is the number of function calls that it makes, so that it is the same
in each run.
"""

import collections.abc
import sys

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
