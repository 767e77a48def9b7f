"""Steps of the connection table."""

import behave

from features.support import connections


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
