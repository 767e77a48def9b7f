"""Steps that test on which version of its adapter a request begins."""

import collections.abc

import behave
import hypothesis

from features.support import versions


def _first_faults(names: collections.abc.Iterable[str]) -> list[str]:
    """Run scenarios and return the first fault of each."""
    return [
        f"{name}: {fault}"
        for name in names
        for fault in versions.run_scenario(name)[:1]
    ]


@behave.when("each version scenario runs")
def run_scenarios(context) -> None:
    context.faults = _first_faults(versions.BOUNDED)


@behave.when("each scenario of a queue that is not rejected runs")
def run_queues(context) -> None:
    context.faults = _first_faults(versions.QUEUES_NOT_REJECTED)


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
