"""Steps for targets that report that they are leaving or paused."""

import behave

from features.support import heard


@behave.when("targets report that they are leaving or paused in {name}")
def heard_scenario(context, name: str) -> None:
    context.faults = heard.run_scenario(name)


@behave.when("each guard of what targets report is disabled")
def heard_mutants(context) -> None:
    context.mutants = heard.MUTANTS
    numbers = range(len(heard.MUTANTS))
    context.found = [heard.run_mutant(number) for number in numbers]
