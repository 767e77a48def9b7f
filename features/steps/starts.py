"""Steps that test targets which restart under the same name."""

import multiprocessing

import behave
import hypothesis

from features.support import starts

JOBS = 6


@behave.when("targets restart as in {name}")
def start_scenario(context, name: str) -> None:
    context.faults = starts.run_scenario(name)


@behave.when("{count:d} random loads with restarts are tried")
def random_starts(context, count: int) -> None:
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        found = pool.map(starts.run_random, range(count), chunksize=1)
    context.faults = [fault for faults in found for fault in faults]


@behave.when("{count:d} random histories of starts are tried")
def histories(context, count: int) -> None:
    context.faults = []
    settings = hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    follows = hypothesis.given(starts.HISTORY)(starts.fleet_follows_starts)
    try:
        settings(follows)()
        settings(starts.texts_say_all)()
    except AssertionError as error:
        context.faults = [str(error)]


@behave.when("each guard of restarts is disabled")
def start_mutants(context) -> None:
    context.mutants = starts.MUTANTS
    numbers = range(len(starts.MUTANTS))
    context.found = [starts.run_mutant(number) for number in numbers]
