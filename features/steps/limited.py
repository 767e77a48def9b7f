"""Steps of targets that limit their requests."""

import multiprocessing

import behave

from features.support import limited

JOBS = 3


def _map(work, items: list) -> list[list[str]]:
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        return pool.map(work, items, chunksize=1)


@behave.when("targets name limits in these deployments")
def name_limits(context) -> None:
    names = [row["scenario"] for row in context.table]
    found = _map(limited.run_scenario, names)
    context.faults = [
        f"{name}: {fault}"
        for name, faults in zip(names, found)
        for fault in faults
    ]


@behave.when("each guard of limits is disabled")
def disable_guards(context) -> None:
    context.mutants = limited.MUTANTS
    context.found = _map(limited.run_mutant, list(range(len(limited.MUTANTS))))
