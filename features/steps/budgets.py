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


@behave.when("a member of 4,200 a second is calm before 59 daemons")
def play_calm(context) -> None:
    context.faults = budgets.refused_when_calm(59, 4_200)
