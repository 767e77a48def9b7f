"""Steps for entries that lost their links to targets."""

import behave
import hypothesis

from features.support import reach
from features.support import relay_http


@behave.when("links to targets are cut in {name}")
def reach_scenario(context, name: str) -> None:
    context.faults = reach.run_scenario(name)


@behave.when("{count:d} random histories of cuts are tried")
def cut_histories(context, count: int) -> None:
    context.faults = []
    check = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(hypothesis.Phase.generate,),
    )(hypothesis.given(reach.HISTORIES)(reach.history_runs_nothing_twice))
    try:
        check()
    except AssertionError as error:
        context.faults = [str(error)]


@behave.when("a request is relayed over HTTP in {name}")
def relay_scenario(context, name: str) -> None:
    context.faults = relay_http.run_scenario(name)
