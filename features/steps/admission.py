"""Steps for the admission of one daemon."""

import behave

from features.support import admission


@behave.when("admission plays {name}")
def play_admission(context, name: str) -> None:
    context.faults = admission.run_scenario(name)
