"""Retry budgets, which keep retries from amplifying an overload."""

import collections.abc

from bergamotsail import catalogue

CAP = 10.0


class RetryBudgets:
    """A retry budget for each member.

    Every first try adds a fraction of a token, up to CAP; every retry takes
    a whole one. Beyond an initial CAP, retries are thus at most that
    fraction of the first tries.

    Args:
        view: returns the catalogue, with each member's fraction.
    """

    def __init__(
        self, view: collections.abc.Callable[[], catalogue.View]
    ) -> None:
        self._view = view
        self._left_by_member: dict[str, float] = {}

    def first_try(self, member: str) -> None:
        """Count a first try."""
        left = self._left_by_member.get(member, CAP)
        self._left_by_member[member] = min(CAP, left + self._part_of(member))

    def _part_of(self, member: str) -> float:
        entry = self._view().member_by_id.get(member)
        return entry.value.retry_budget if entry is not None else 0.0

    def spend(self, member: str) -> bool:
        """Take one retry; False if the budget is exhausted."""
        left = self._left_by_member.get(member, CAP)
        if left < 1.0:
            return False
        self._left_by_member[member] = left - 1.0
        return True
