"""Steps of engine groups."""

import multiprocessing

import behave

from features.support import engine_groups

JOBS = 3


@behave.when("engine groups run {name}")
def engine_groups_scenario(context, name: str) -> None:
    context.faults = engine_groups.run_scenario(name)


@behave.when("replicas fail at random beside engine groups")
def engine_groups_random(context) -> None:
    context.faults = engine_groups.run_random()


@behave.when("the check {name} of engine groups runs")
def engine_groups_check(context, name: str) -> None:
    context.faults = engine_groups.CHECKS[name]()


@behave.when("each guard of engine groups is switched off")
def engine_groups_mutants(context) -> None:
    context.mutants = engine_groups.MUTANTS
    numbers = range(len(engine_groups.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(
            engine_groups.run_mutant, numbers, chunksize=1
        )
