"""Steps of gathered placement calls."""

import multiprocessing

import behave

from features.support import gathering

JOBS = 3


@behave.when("gathered calls run {name}")
def gathering_scenario(context, name: str) -> None:
    context.faults = gathering.run_scenario(name)


@behave.when("replicas fail at random beside gathered calls")
def gathering_random(context) -> None:
    context.faults = gathering.run_random()


@behave.when("each guard of gathered calls is switched off")
def gathering_mutants(context) -> None:
    context.mutants = gathering.MUTANTS
    numbers = range(len(gathering.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(gathering.run_mutant, numbers, chunksize=1)
