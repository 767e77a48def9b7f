"""Steps that test the placement decisions."""

import behave

from features.support import decisions


@behave.when('the load "{load}" is played against the decisions')
def play(context, load: str) -> None:
    context.faults = decisions.LOADS[load]()


@behave.then("callers get what it states")
def as_stated(context) -> None:
    assert not context.faults, context.faults


@behave.then("each switched-off mechanism breaks its load")
def each_breaks(context) -> None:
    unnoticed = decisions.unnoticed_switches()
    assert not unnoticed, unnoticed
