"""Steps of loads reserved for adapters that were left out."""

import behave

from features.support import reserved_loads


@behave.when("reserved loads run at random")
def reserved_random(context) -> None:
    context.faults = reserved_loads.run_random()


@behave.when("reserved loads run {name}")
def reserved_scenario(context, name: str) -> None:
    context.faults = reserved_loads.SCENARIOS[name]()
