"""Steps for streams from several versions of the targets' software."""

import behave
import hypothesis
from hypothesis import strategies

from features.support import origins
from features.support import software


@behave.when("streams are broken in {name}")
def software_scenario(context, name: str) -> None:
    context.faults = software.run_scenario(name)


@behave.when("{count:d} random histories of releases and losses are tried")
def release_histories(context, count: int) -> None:
    context.faults = []
    cases = strategies.tuples(software.HISTORIES, strategies.booleans())
    check = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=tuple(hypothesis.HealthCheck),
    )(hypothesis.given(cases)(software.history_mixes_no_versions))
    try:
        check()
    except AssertionError as error:
        context.faults = [str(error)]


@behave.when("each guard of software versions is disabled")
def software_mutants(context) -> None:
    context.mutants = software.MUTANTS
    numbers = range(len(software.MUTANTS))
    context.found = [software.run_mutant(number) for number in numbers]


@behave.when("streams are taken up in {name}")
def origins_scenario(context, name: str) -> None:
    context.faults = origins.run_scenario(name)


@behave.when("each guard of stream origins is disabled")
def origins_mutants(context) -> None:
    context.mutants = origins.MUTANTS
    numbers = range(len(origins.MUTANTS))
    context.found = [origins.run_mutant(number) for number in numbers]
