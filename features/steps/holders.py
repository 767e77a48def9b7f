"""Steps that test which replica issues orders, across elections."""

import behave
import hypothesis

from features.support import holders


@behave.when("leadership moves away and back, with and without restarts")
def away_and_back(context) -> None:
    context.faults = [
        fault
        for name in ("away_and_back", "back_after_a_restart")
        for fault in holders.run_scenario(name)
    ]


@behave.when("leadership moves at random with {count:d} seeds")
def random_elections(context, count: int) -> None:
    context.faults = holders.run_random(count)


@behave.when("the scenario {name} of holders runs")
def holder_scenario(context, name: str) -> None:
    context.faults = holders.run_scenario(name)


@behave.when("{count:d} random histories of elections are tried")
def histories(context, count: int) -> None:
    context.faults = []
    check = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
    )(hypothesis.given(holders.TENURE_STEPS)(holders.tenures_agree))
    try:
        check()
    except AssertionError as error:
        context.faults = [str(error)]


@behave.when("each guard of the right to issue orders is disabled")
def holder_mutants(context) -> None:
    context.mutants = holders.MUTANTS
    numbers = range(len(holders.MUTANTS))
    context.found = [holders.run_mutant(number) for number in numbers]


@behave.then("no engine got orders from alternating holders")
def no_turns(context) -> None:
    assert not context.faults, context.faults[:3]
