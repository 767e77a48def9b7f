"""Steps of what is written about elections and late loops."""

import behave

from features.support import sight


@behave.when("the sight scenario {name} runs")
def run(context, name: str) -> None:
    context.faults = sight.SCENARIOS[name]()


@behave.then("its lines tell all")
def told(context) -> None:
    assert not context.faults, context.faults
