"""Steps for the budgets of members."""

import behave

from features.support import budgets


@behave.when("a member has the day {name}")
def play_day(context, name: str) -> None:
    context.faults = [
        fault
        for daemons, per_s in ((6, 4_200), (59, 250_000), (191, 4_200))
        for fault in budgets.play(name, daemons, per_s)
    ]


@behave.when("each guard of the budgets is replaced")
def replace_guards(context) -> None:
    context.faults = budgets.undetected_mutants()
