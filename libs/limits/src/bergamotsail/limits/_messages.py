"""What a daemon reports of its members' requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SpendingReport:
    """Units of budgets since the last report, by member.

    Args:
        offered: the cost of all requests that callers sent.
        spent: the cost of the requests that the daemon admitted by itself,
            less that of requests which the leader debited and which did not
            run.
    """

    offered: dict[str, float] = dataclasses.field(default_factory=dict)
    spent: dict[str, float] = dataclasses.field(default_factory=dict)
