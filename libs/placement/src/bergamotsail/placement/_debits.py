"""Where requests are debited from the budgets of members."""

import abc
import collections.abc

from bergamotsail import catalogue
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail.placement import _leadership
from bergamotsail.placement import _place_messages
from bergamotsail import wire


class Debits(abc.ABC):
    """Debits requests before they are placed."""

    @abc.abstractmethod
    async def take(self, request: _place_messages.PlaceRequest) -> None:
        """Debit a request from its member's budget.

        Raises:
            LimitError: the member is above its limit.
            ServingError: the leader can't be asked; nothing was debited, or
                that is unknown.
        """


class LeaderDebits(Debits):
    """Debits requests at the leader, which knows all budgets.

    Args:
        view: returns the current catalogue.
    """

    def __init__(
        self,
        leadership: _leadership.Leadership,
        view: collections.abc.Callable[[], catalogue.View],
        budgets: limits.LeaderBudgets,
        metrics: observe.Metrics,
        clock: wire.Clock,
    ) -> None:
        self._leadership = leadership
        self._view = view
        self._budgets = budgets
        self._metrics = metrics
        self._clock = clock

    async def take(self, request: _place_messages.PlaceRequest) -> None:
        wait_s = self.debit(request.member, request.cost, request.request)
        if wait_s > 0.0:
            raise limits.limit_error(request.member, wait_s)

    def debit(self, member: str, cost: float, request: str) -> float:
        """Debit a request; return 0, or after how long it can be debited."""
        budget = self._view().budget(member)
        if budget is None or not cost:
            return 0.0
        now = self._clock.now()
        term = self._leadership.log_term
        ledger = self._budgets.of_term(term, now)
        wait_s = ledger.take(member, budget, cost, now)
        if wait_s == 0.0:
            self._metrics.count("budget_debits", member=member)
            return 0.0
        self._metrics.count("budget_refusals", member=member)
        observe.log_event(
            "limit",
            "refuse",
            request=request,
            member=member,
            cost=cost,
            level=round(ledger.level(member, budget, now)),
            per_s=budget.per_s,
            term=term,
        )
        return wait_s
