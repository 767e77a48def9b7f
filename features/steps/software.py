"""Steps for streams from several versions of the targets' software."""

import behave

from features.support import software


@behave.when("streams are broken in {name}")
def software_scenario(context, name: str) -> None:
    context.faults = software.run_scenario(name)
