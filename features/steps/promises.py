"""Steps for the scenarios, mutants, fault matrix and fuzzing."""

import multiprocessing
from multiprocessing import pool as pool_lib

import behave

from features.support import fuzz
from features.support import matrix
from features.support import scenarios

JOBS = 6


def _pool() -> pool_lib.Pool:
    return multiprocessing.get_context("fork").Pool(JOBS)


@behave.when("the scenario {name} runs")
def run_scenario(context, name: str) -> None:
    context.faults = scenarios.run_scenario(name)


@behave.then("no guarantee is violated")
def no_violations(context) -> None:
    assert not context.faults, context.faults


@behave.when("each guard is disabled in its scenario")
def run_mutants(context) -> None:
    with _pool() as pool:
        context.found = pool.map(
            scenarios.run_mutant, scenarios.MUTANTS, chunksize=1
        )


@behave.then("each scenario detects its disabled guard")
def each_detected(context) -> None:
    missed = [
        mutant.name
        for mutant, faults in zip(scenarios.MUTANTS, context.found)
        if not faults
    ]
    assert not missed, missed


@behave.when("every {step:d}th case of the fault matrix runs")
def run_matrix(context, step: int) -> None:
    cases = matrix.rotated_cases()[::step]
    with _pool() as pool:
        context.results = pool.map(
            matrix.run_in_virtual_time, cases, chunksize=1
        )


@behave.then("every case that reached its step passed")
def all_passed(context) -> None:
    failed = [r for r in context.results if r.faults]
    assert not failed, failed


@behave.then("at least {count:d} cases reached their step")
def reached(context, count: int) -> None:
    injected = sum(result.injected for result in context.results)
    assert injected >= count, injected


@behave.when("{count:d} random histories of the {machine} are tried")
def run_fuzz(context, count: int, machine: str) -> None:
    context.fault = fuzz.run(machine, count)


@behave.then("every one agrees with the oracle")
def agrees(context) -> None:
    assert context.fault is None, context.fault
