"""Steps of large deployments."""

import multiprocessing

import behave

from features.support import fleet

JOBS = 3


@behave.when("the fleet scenario {name} runs")
def fleet_scenario(context, name: str) -> None:
    context.faults = fleet.run_scenario(name)


@behave.when("each guard of a large fleet is disabled")
def fleet_mutants(context) -> None:
    context.mutants = fleet.MUTANTS
    numbers = range(len(fleet.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(fleet.run_mutant, numbers, chunksize=1)
