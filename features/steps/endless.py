"""Steps of answers whose bytes don't end."""

import behave

from features.support import endless


@behave.when("targets answer without end")
def answer_without_end(context) -> None:
    context.faults = endless.answers_without_end()


@behave.when("an event of a stream doesn't end")
def event_without_end(context) -> None:
    context.faults = endless.event_without_end()
