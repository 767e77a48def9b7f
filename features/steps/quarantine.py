"""Steps for requests that crash targets."""

import multiprocessing

import behave

from features.support import quarantine

JOBS = 3


@behave.when("requests crash targets in {name}")
def quarantine_scenario(context, name: str) -> None:
    context.faults = quarantine.run_scenario(name)


@behave.when("each guard against requests that crash targets is disabled")
def quarantine_mutants(context) -> None:
    context.mutants = quarantine.MUTANTS
    numbers = range(len(quarantine.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(quarantine.run_mutant, numbers, chunksize=1)
