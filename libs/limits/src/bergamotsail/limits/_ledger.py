"""The leader's account of what members spend of their budgets."""

import collections.abc
import dataclasses
import math

from bergamotsail import catalogue
from bergamotsail.limits import _messages

# Time constant of the estimate of a member's demand.
DEMAND_WINDOW_S = 1.0
# A debt, or a credit, is worked off within about this time.
SETTLE_S = 1.0
# The leader sees this multiple of what it can admit of a member's requests.
# Above 1, so that an estimate that is too low leaves no budget unused.
HEADROOM = 1.3
# A bucket that is fuller than this is not in danger, whatever the demand.
FULL_ENOUGH = 0.5
# How long figures over all daemons and members are reused.
CACHE_S = 0.1
# A daemon that was silent for longer is regarded as ended.
FORGET_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """How far a limit may be exceeded, and when a daemon is on its own.

    Args:
        slack: units by which a limit may be exceeded within any 8 s, since
            requests are admitted in several places.
        alone_after_s: time without contact to the leader after which a
            daemon admits no more than its part of a budget.
    """

    slack: float = 0.0
    alone_after_s: float = 1.2

    def capacity(self, budget: catalogue.Budget) -> float:
        """Return the most that a bucket holds."""
        return budget.burst + self.slack / 4

    def first_level(self, budget: catalogue.Budget) -> float:
        """Return the level of a bucket at the start of a leader's term.

        The leader can't know the previous level. With an empty bucket,
        requests within the limit would be refused after each election; with
        a full one, several elections in a row would exceed the limit.
        """
        return 0.5 * budget.burst + self.slack / 4


@dataclasses.dataclass(slots=True)
class _Account:
    level: float
    refilled_at: float
    demand_per_s: float = 0.0
    demand_at: float = 0.0


class BudgetLedger:
    """Token buckets of members, soft state of one term of leadership.

    Args:
        settings: how far a limit may be exceeded.
        started_at: when the term started.
    """

    def __init__(self, settings: BudgetSettings, started_at: float) -> None:
        self._settings = settings
        self._started_at = started_at
        self._account_by_member: dict[str, _Account] = {}
        self._heard_at_by_address: dict[str, float] = {}
        self._alone_part = 0.0
        self._alone_part_at = float("-inf")
        self._shares: dict[str, float] = {}
        self._shares_at = float("-inf")

    def take(
        self, member: str, budget: catalogue.Budget, cost: float, now: float
    ) -> float:
        """Debit a request; return 0, or after how long it could be debited.

        A request that is larger than the bucket is debited from a full one.
        """
        account = self._refill(member, budget, now)
        missing = min(cost, self._settings.capacity(budget)) - account.level
        if missing > 0:
            return missing / budget.per_s
        account.level -= cost
        return 0.0

    def record(
        self,
        report: _messages.SpendingReport,
        address: str,
        budget_of: collections.abc.Callable[[str], catalogue.Budget | None],
        now: float,
    ) -> None:
        """Record the report of a daemon."""
        self._heard_at_by_address[address] = now
        for member, spent in report.spent.items():
            budget = budget_of(member)
            if budget is not None:
                self._refill(member, budget, now).level -= spent
        for member, offered in report.offered.items():
            budget = budget_of(member)
            if budget is not None:
                account = self._refill(member, budget, now)
                self._decay_demand(account, now)
                account.demand_per_s += offered / DEMAND_WINDOW_S

    def forget_daemon(self, address: str) -> None:
        """Forget a daemon that admits nothing any more."""
        self._heard_at_by_address.pop(address, None)

    def admit_shares(
        self,
        budget_of: collections.abc.Callable[[str], catalogue.Budget | None],
        now: float,
    ) -> dict[str, float]:
        """Return which share of their requests members may make, below 1.

        Daemons refuse the rest at once, so that a member far above its limit
        does not take the leader's time from the others.
        """
        if now - self._shares_at < CACHE_S:
            return self._shares
        self._shares_at = now
        shares = {}
        for member in list(self._account_by_member):
            budget = budget_of(member)
            if budget is None:
                del self._account_by_member[member]
                continue
            share = self._admit_share(member, budget, now)
            if share < 1.0:
                shares[member] = round(share, 3)
        self._shares = shares
        return shares

    def level(
        self, member: str, budget: catalogue.Budget, now: float
    ) -> float:
        """Return the level of a member's bucket."""
        return self._refill(member, budget, now).level

    def _admit_share(
        self, member: str, budget: catalogue.Budget, now: float
    ) -> float:
        account = self._refill(member, budget, now)
        self._decay_demand(account, now)
        capacity = self._settings.capacity(budget)
        if account.level > FULL_ENOUGH * capacity:
            return 1.0
        usable_per_s = max(0.0, budget.per_s + account.level / SETTLE_S)
        if account.demand_per_s <= usable_per_s:
            return 1.0
        return min(1.0, HEADROOM * usable_per_s / account.demand_per_s)

    def _refill(
        self, member: str, budget: catalogue.Budget, now: float
    ) -> _Account:
        account = self._account_by_member.get(member)
        if account is None:
            first = self._settings.first_level(budget)
            account = _Account(first, self._started_at, demand_at=now)
            self._account_by_member[member] = account
        refilled_per_s = budget.per_s * (1.0 - self._part_alone(now))
        gained = refilled_per_s * max(0.0, now - account.refilled_at)
        capacity = self._settings.capacity(budget)
        account.level = min(account.level + gained, capacity)
        account.refilled_at = now
        return account

    def _part_alone(self, now: float) -> float:
        """Return the part of the daemons that may admit on their own."""
        if now - self._alone_part_at < CACHE_S:
            return self._alone_part
        self._alone_part_at = now
        silent = 0
        for address, heard_at in list(self._heard_at_by_address.items()):
            if now - heard_at > FORGET_S:
                del self._heard_at_by_address[address]
            elif now - heard_at > self._settings.alone_after_s:
                silent += 1
        self._alone_part = silent / max(len(self._heard_at_by_address), 1)
        return self._alone_part

    @staticmethod
    def _decay_demand(account: _Account, now: float) -> None:
        elapsed_s = max(0.0, now - account.demand_at)
        account.demand_per_s *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        account.demand_at = now


class LeaderBudgets:
    """The ledger of the current term.

    Args:
        settings: how far a limit may be exceeded.
    """

    def __init__(self, settings: BudgetSettings = BudgetSettings()) -> None:
        self._settings = settings
        self._term = -1
        self._ledger = BudgetLedger(settings, 0.0)

    def of_term(self, term: int, now: float) -> BudgetLedger:
        """Return the ledger of a term; a new term starts a new one."""
        if term != self._term:
            self._term = term
            self._ledger = BudgetLedger(self._settings, now)
        return self._ledger
