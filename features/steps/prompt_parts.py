"""Steps for prompts with a part that crashes targets."""

import multiprocessing

import behave

from features.support import prompt_parts

JOBS = 3


@behave.when("prompts crash targets in {name}")
def prompt_parts_scenario(context, name: str) -> None:
    context.faults = prompt_parts.run_scenario(name)


@behave.when("each guard against fatal parts is disabled")
def prompt_parts_mutants(context) -> None:
    context.mutants = prompt_parts.MUTANTS
    numbers = range(len(prompt_parts.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(prompt_parts.run_mutant, numbers, chunksize=1)
