"""Steps for prompts with a part that crashes targets."""

import behave

from features.support import prompt_parts


@behave.when("prompts crash targets in {name}")
def prompt_parts_scenario(context, name: str) -> None:
    context.faults = prompt_parts.run_scenario(name)
