"""Steps for log events and metrics of elections, lag, shed calls and work."""

import behave

from features.support import sight


@behave.when("the logging scenario {name} runs")
def run(context, name: str) -> None:
    context.faults = sight.SCENARIOS[name]()


@behave.then("its events and metrics are complete")
def check_events(context) -> None:
    assert not context.faults, context.faults
