"""Steps of what replicas send each other, keep and read at once."""

import behave

from features.support import replication


@behave.then("batches hold all items within their bounds")
def batches_are_bounded(context) -> None:
    faults = replication.batches_are_bounded()
    assert not faults, faults


@behave.then("snapshots are due in time")
def compaction_is_due(context) -> None:
    faults = replication.compaction_is_due()
    assert not faults, faults


@behave.then("the log counts its bytes")
def log_counts_its_bytes(context) -> None:
    faults = replication.log_counts_its_bytes()
    assert not faults, faults


@behave.when("the replication scenario {name} runs")
def run_scenario(context, name: str) -> None:
    context.faults = replication.run_scenario(name)


@behave.when("each bound of replication is disabled")
def run_mutants(context) -> None:
    context.mutants = replication.MUTANTS
    numbers = range(len(replication.MUTANTS))
    context.found = [replication.run_mutant(number) for number in numbers]
