"""Steps of the connection table."""

import behave

from features.support import connections
from features.support import freed
from features.support import ledger
from features.support import unread


@behave.when("the check {name} of the connection table runs")
def connection_check(context, name: str) -> None:
    context.faults = connections.CHECKS[name]()


@behave.when("each guard of the connection table is switched off")
def connection_mutants(context) -> None:
    context.mutants = connections.MUTANTS
    context.found = [
        connections.run_mutant(number)
        for number in range(len(connections.MUTANTS))
    ]


@behave.when("a request is {outcome} without a garbage collection")
def request_without_collection(context, outcome: str) -> None:
    context.faults = ledger.run(freed.CHECKS[outcome]())


@behave.when(
    "a caller leaves in the middle of a body without a garbage collection"
)
def left_without_collection(context) -> None:
    context.faults = freed.check_left_early()


@behave.when("clients send bytes that a listener does not read")
def bytes_not_read(context) -> None:
    context.faults = unread.check_unread()
