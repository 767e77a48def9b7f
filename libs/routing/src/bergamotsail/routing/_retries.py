"""Retry budgets, which keep retries from amplifying an overload."""

import collections.abc

from bergamotsail import catalogue

MAX_TOKENS = 10.0


class RetryBudgets:
    """A retry budget for each member.

    Every first try adds a fraction of a token, up to MAX_TOKENS; every
    retry takes a whole one. Beyond an initial MAX_TOKENS, retries are thus
    at most that fraction of the first tries.

    Args:
        view: returns the catalogue, with each member's fraction.
    """

    def __init__(
        self, view: collections.abc.Callable[[], catalogue.View]
    ) -> None:
        self._view = view
        self._tokens_by_member: dict[str, float] = {}

    def record_first_try(self, member: str) -> None:
        """Count a first try."""
        left = self._tokens_by_member.get(member, MAX_TOKENS)
        self._tokens_by_member[member] = min(
            MAX_TOKENS, left + self._ratio_of(member)
        )

    def _ratio_of(self, member: str) -> float:
        entry = self._view().member_by_id.get(member)
        return entry.value.retry_budget if entry is not None else 0.0

    def spend(self, member: str) -> bool:
        """Take one retry; False if the budget is exhausted."""
        left = self._tokens_by_member.get(member, MAX_TOKENS)
        if left < 1.0:
            return False
        self._tokens_by_member[member] = left - 1.0
        return True
