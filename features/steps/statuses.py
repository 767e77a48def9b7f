"""Steps for replies with a status that HTTP doesn't have."""

import behave

from features.support import statuses


@behave.when("replies have a status that HTTP doesn't have")
def invalid_statuses(context) -> None:
    context.faults = statuses.replies_without_status()


@behave.when("a neighbour passes on a status that HTTP doesn't have")
def neighbour_status(context) -> None:
    context.faults = statuses.neighbour_passes_on_no_status()
