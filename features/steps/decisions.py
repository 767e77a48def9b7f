"""Steps that test the placement decisions."""

import behave

from features.support import decision_cost
from features.support import decisions


@behave.when('the placement scenario "{name}" runs')
def run_scenario(context, name: str) -> None:
    context.faults = decisions.SCENARIOS[name]()


@behave.then("it has the expected result")
def check_faults(context) -> None:
    assert not context.faults, context.faults


@behave.then("the scenario of each mechanism fails without it")
def check_switches(context) -> None:
    undetected = decisions.undetected_switches()
    undetected += decision_cost.undetected_switches()
    assert not undetected, undetected


@behave.when("placements are decided beside few and beside many engines")
def decide_beside_engines(context) -> None:
    context.faults = decision_cost.cost_beside_many_engines()


@behave.then("a decision costs about the same")
def check_decision_cost(context) -> None:
    assert not context.faults, context.faults


@behave.when("one request ends while many wait")
def end_request(context) -> None:
    context.faults = decision_cost.cost_of_an_end()


@behave.when("many requests wait while no engine changes")
def wait_unchanged(context) -> None:
    context.faults = decision_cost.cost_of_waiting()


@behave.then("few of them are decided for")
def check_decisions(context) -> None:
    assert not context.faults, context.faults


@behave.when("a slot becomes free right before a tick")
def free_slot(context) -> None:
    context.faults = decision_cost.slot_freed_before_a_tick()


@behave.then("a load for a waiting request begins at once")
def check_load(context) -> None:
    assert not context.faults, context.faults
