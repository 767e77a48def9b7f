"""Steps for event streams whose connections end anywhere."""

import behave
import hypothesis

from features.support import streams


@behave.when("a stream is relayed in {name}")
def stream_scenario(context, name: str) -> None:
    context.faults = streams.run_scenario(name)


@behave.when("{count:d} random streams are split after whole events")
def random_streams(context, count: int) -> None:
    context.faults = []
    check = hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )(
        hypothesis.given(streams.EVENT_STREAMS)(
            streams.splitter_agrees_with_lines
        )
    )
    try:
        check()
    except AssertionError as error:
        context.faults = [str(error)]
