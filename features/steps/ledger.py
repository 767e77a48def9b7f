"""Steps that test the orders of the placer to engines."""

import multiprocessing

import behave

from features.support import ledger

JOBS = 6


@behave.when("the placer scenario {name} runs")
def run_scenario(context, name: str) -> None:
    context.faults = ledger.run_scenario(name)


@behave.when("{count:d} random loads are tried")
def run_random(context, count: int) -> None:
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        found = pool.map(ledger.run_random, range(count), chunksize=1)
    context.faults = [fault for faults in found for fault in faults]


@behave.when("each guard of the placer is disabled")
def run_mutants(context) -> None:
    context.mutants = ledger.MUTANTS
    numbers = range(len(ledger.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(ledger.run_mutant, numbers, chunksize=1)


@behave.then("each disabled guard is detected")
def each_detected(context) -> None:
    missed = [
        mutant[0]
        for mutant, faults in zip(context.mutants, context.found)
        if not faults
    ]
    assert not missed, missed
