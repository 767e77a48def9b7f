"""Steps for targets that fall over when they must reject too much."""

import behave

from features.support import brittle


@behave.when("brittle targets are used in {name}")
def brittle_scenario(context, name: str) -> None:
    context.faults = brittle.run_scenario(name)
