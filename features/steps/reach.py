"""Steps for entries that lost their links to targets."""

import behave

from features.support import reach


@behave.when("links to targets are cut in {name}")
def reach_scenario(context, name: str) -> None:
    context.faults = reach.run_scenario(name)
