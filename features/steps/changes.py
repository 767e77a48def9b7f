"""Steps of changes that must reach all daemons in time."""

import behave

from features.support import changes


@behave.when("changes are made in these deployments")
def make_changes(context) -> None:
    context.faults = [
        f"{row['scenario']}: {fault}"
        for row in context.table
        for fault in changes.run_scenario(row["scenario"])
    ]


@behave.when("{count:d} random orders of replies are tried")
def random_replies(context, count: int) -> None:
    context.faults = changes.check_random_replies(count)


@behave.when("each guard of changes is disabled")
def disable_guards(context) -> None:
    context.mutants = changes.MUTANTS
    numbers = range(len(changes.MUTANTS))
    context.found = [changes.run_mutant(number) for number in numbers]
