"""Steps of adapter versions at an entry that finds no leader."""

import behave

from features.support import leaderless_versions


@behave.when("an entry without a leader runs {name}")
def leaderless_scenario(context, name: str) -> None:
    context.faults = leaderless_versions.run_scenario(name)


@behave.when("each guard of versions without a leader is switched off")
def leaderless_mutants(context) -> None:
    context.mutants = leaderless_versions.MUTANTS
    numbers = range(len(leaderless_versions.MUTANTS))
    context.found = [
        leaderless_versions.run_mutant(number) for number in numbers
    ]
