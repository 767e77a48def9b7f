"""Steps of route tables, the replicated log and retry budgets."""

import behave
import hypothesis

from features.support import growth


@behave.then("the table with {fault} is refused with an error message")
def table_refused(context, fault: str) -> None:
    assert growth.is_refused(fault)


@behave.then("the longest prefix selects the route")
def check_longest_prefix(context) -> None:
    faults = growth.check_longest_prefix()
    assert not faults, faults


@behave.then("a snapshot keeps which instances gave orders")
def check_order_holders_restored(context) -> None:
    faults = growth.check_order_holders_restored()
    assert not faults, faults


@behave.then("a split follows its weights")
def check_split_weights(context) -> None:
    faults = growth.check_split_weights()
    assert not faults, faults


@behave.when("{count:d} random histories of versions are tried")
def versions(context, count: int) -> None:
    context.fault = None
    check = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
    )(hypothesis.given(growth.VERSIONS)(growth.versions_agree))
    try:
        check()
    except AssertionError as error:
        context.fault = error


@behave.when("the scenario {name} of the log runs")
def log_scenario(context, name: str) -> None:
    context.faults = growth.run_scenario(name)


@behave.when("the scenarios of lost replicas run")
def lost_replicas(context) -> None:
    context.faults = [
        f"{row['scenario']}: {fault}"
        for row in context.table
        for fault in growth.run_scenario(row["scenario"])
    ]


@behave.then("resends stay within the budget")
def budgets(context) -> None:
    faults = growth.check_resend_budgets()
    assert not faults, faults[:3]


@behave.when("each guard of the log is disabled")
def log_mutants(context) -> None:
    context.mutants = growth.MUTANTS
    numbers = range(len(growth.MUTANTS))
    context.found = [growth.run_mutant(number) for number in numbers]
