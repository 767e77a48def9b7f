"""Steps of the digest that a leader sends."""

import multiprocessing

import behave

from features.support import digests
from features.support import ledger

JOBS = 3


@behave.when("a leader of 3000 targets is lost")
def lose_leader(context) -> None:
    context.faults = ledger.run(digests.check_many_targets_over_small_links())


@behave.when("{count:d} random histories of targets are sent in pieces")
def follow(context, count: int) -> None:
    context.faults = digests.check_random_histories(count)


@behave.when("each guard of the digest pieces is disabled")
def piece_mutants(context) -> None:
    context.mutants = digests.MUTANTS
    numbers = range(len(digests.MUTANTS))
    with multiprocessing.get_context("fork").Pool(JOBS) as pool:
        context.found = pool.map(digests.run_mutant, numbers, chunksize=1)
