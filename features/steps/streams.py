"""Steps for event streams whose connections end anywhere."""

import behave

from features.support import streams


@behave.when("a stream is relayed in {name}")
def stream_scenario(context, name: str) -> None:
    context.faults = streams.run_scenario(name)
