"""Steps that test the placement decisions."""

import behave

from features.support import decisions


@behave.when('the load "{load}" is played against the decisions')
def run_scenario(context, load: str) -> None:
    context.faults = decisions.SCENARIOS[load]()


@behave.then("callers get what it states")
def check_faults(context) -> None:
    assert not context.faults, context.faults


@behave.then("each switched-off mechanism breaks its load")
def check_switches(context) -> None:
    undetected = decisions.undetected_switches()
    assert not undetected, undetected
