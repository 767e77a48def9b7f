"""Admits requests within the budgets of members, on every path.

Placements, completions and calls of services are all admitted here. Only
where a request is debited differs: the leader debits one that asks it for a
placement, and this daemon debits the others.
"""

import dataclasses

from bergamotsail import control
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail import wire


@dataclasses.dataclass(slots=True)
class Debit:
    """The debit of one request from its member's budget.

    Args:
        budgets: the budgets on this daemon; None if there is no cost.
        cost: units to debit, 0 without a budget.
        taken: whether they are debited, at the leader or on this daemon.
    """

    budgets: limits.DaemonBudgets | None = None
    member: str = ""
    cost: float = 0.0
    taken: bool = False

    @property
    def due(self) -> float:
        """What the leader has to debit."""
        return 0.0 if self.taken else self.cost

    def mark_taken(self) -> None:
        """Note that the leader has debited the request."""
        self.taken = True

    def take_here(self) -> None:
        """Debit the request on this daemon unless it is debited."""
        if not self.taken:
            self.take_again()

    def take_again(self) -> None:
        """Debit a further run of the request on this daemon."""
        self.taken = True
        if self.cost and self.budgets is not None:
            self.budgets.spend(self.member, self.cost)

    def give_back(self) -> None:
        """Return the debit, since the request surely has not run."""
        if self.taken and self.cost and self.budgets is not None:
            self.budgets.spend(self.member, -self.cost)
        self.taken = False


class BudgetAdmission:
    """Admits requests as far as this daemon decides."""

    def __init__(
        self, session: control.Session, metrics: observe.Metrics
    ) -> None:
        self._session = session
        self._metrics = metrics

    def admit(self, member: str, size: int | None, request: str) -> Debit:
        """Admit a request; return its debit, which is not taken yet.

        Args:
            size: tokens of its prompt and at most generated ones; None for
                a request without a prompt.
            request: its id, for the log.

        Raises:
            LimitError: the member is above its limit.
            OverloadError: the limit can't be checked without a leader.
        """
        budget = self._session.view.budget(member)
        if budget is None:
            return Debit()
        cost = budget.cost(size)
        try:
            self._session.admit_within_budget(member, cost)
        except wire.ServingError as error:
            self._metrics.count("budget_refusals", member=member)
            observe.log_event(
                "limit",
                "refuse",
                request=request,
                member=member,
                cost=cost,
                code=error.code,
                share=self._session.budgets.share(member),
                leader_silent_s=round(self._session.silent_s(), 3),
            )
            raise
        return Debit(self._session.budgets, member, cost)
