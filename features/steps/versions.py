"""Steps that test on which version of its adapter a request begins."""

import behave
import hypothesis

from features.support import versions


@behave.when("each version scenario runs")
def run_scenarios(context) -> None:
    context.faults = [
        f"{name}: {fault}"
        for name in versions.BOUNDED
        for fault in versions.run_scenario(name)[:1]
    ]


@behave.when("the version scenario {name} runs")
def run_scenario(context, name: str) -> None:
    context.faults = versions.run_scenario(name)


@behave.when(
    "{count:d} random histories of versions, loads and elections are tried"
)
def histories(context, count: int) -> None:
    context.faults = []
    check = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
    )(hypothesis.given(versions.HISTORIES)(versions.history_keeps_bound))
    try:
        check()
    except AssertionError as error:
        context.faults = [str(error)]


@behave.when("each guard of versions is disabled")
def run_mutants(context) -> None:
    context.mutants = versions.MUTANTS
    numbers = range(len(versions.MUTANTS))
    context.found = [versions.run_mutant(number) for number in numbers]
