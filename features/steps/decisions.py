"""Steps that test the placement decisions."""

import behave

from features.support import decisions


@behave.when('the load "{load}" runs against the placement decisions')
def play(context, load: str) -> None:
    context.faults = decisions.LOADS[load]()


@behave.then("callers get the specified outcome")
def as_stated(context) -> None:
    assert not context.faults, context.faults


@behave.then("each load fails without its mechanism")
def each_breaks(context) -> None:
    unnoticed = decisions.unnoticed_switches()
    assert not unnoticed, unnoticed
