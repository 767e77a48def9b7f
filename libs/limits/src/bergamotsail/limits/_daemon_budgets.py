"""What one daemon admits of a member's requests, and what it reports."""

import collections
import collections.abc
import dataclasses
import random

from bergamotsail import catalogue
from bergamotsail.limits import _ledger
from bergamotsail.limits import _messages
from bergamotsail import wire

# A refused caller returns no sooner and no later than this.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
# What a daemon on its own begins with, and may save up, of its part.
FIRST_PART_S = 0.5
OWN_PART_S = 8.0
# So long a daemon on its own admits a request that is larger than what is left
# of its part. Most leaders are replaced by then.
DEBT_S = 2.5
# It always does where the debts of all daemons are within this part of what
# becomes available per second.
DEBT_PART = 0.6
# Members whose requests are counted here; the oldest are forgotten.
MAX_MEMBERS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderContact:
    """A daemon's contact to the leader.

    Args:
        silent_s: time since the leader was last heard.
        daemons: number of daemons, including this one.
    """

    silent_s: float
    daemons: int


@dataclasses.dataclass(slots=True)
class _OwnPart:
    """The part of a budget that a daemon without a leader may spend."""

    level: float
    refilled_at: float


class DaemonBudgets:
    """Admits requests within the budgets of members, on one daemon.

    Args:
        settings: when a daemon counts as being on its own.
    """

    def __init__(
        self,
        rng: random.Random,
        settings: _ledger.BudgetSettings = _ledger.BudgetSettings(),
    ) -> None:
        self._rng = rng
        self._settings = settings
        self._share_by_member: dict[str, float] = {}
        # Fractions of requests that a share below 1 has admitted so far.
        self._credit_by_member: dict[str, float] = {}
        self._own_by_member: dict[str, _OwnPart] = {}
        self._offered: collections.Counter[str] = collections.Counter()
        self._spent: collections.Counter[str] = collections.Counter()

    def admit(
        self,
        member: str,
        budget: catalogue.Budget,
        cost: float,
        contact: LeaderContact,
        now: float,
    ) -> None:
        """Count a request, and admit it as far as this daemon decides.

        Raises:
            LimitError: the member is above its limit.
            OverloadError: the leader can't be reached, and this daemon's
                part of the budget is spent.
        """
        self._offered[member] += cost
        if contact.silent_s > self._settings.alone_after_s:
            self._take_own_part(member, budget, cost, contact, now)
            return
        self._own_by_member.pop(member, None)
        share = self.share(member)
        if share >= 1.0:
            return
        first = self._rng.random()
        credit = self._credit_by_member.setdefault(member, first) + share
        self._credit_by_member[member] = credit % 1.0
        if credit < 1.0:
            raise limit_error(member, 1.0 / max(share, 0.01))

    def share(self, member: str) -> float:
        """Return which share of a member's requests is not refused here."""
        return self._share_by_member.get(member, 1.0)

    def spend(self, member: str, cost: float) -> None:
        """Count a request that the leader has not debited.

        A negative cost returns the debit of a request that did not run.
        """
        self._spent[member] += cost

    def take_report(self) -> _messages.SpendingReport:
        """Return what has not been reported yet."""
        report = _messages.SpendingReport(
            dict(self._offered),
            {m: spent for m, spent in self._spent.items() if spent},
        )
        self._offered.clear()
        self._spent.clear()
        return report

    def return_report(self, report: _messages.SpendingReport) -> None:
        """Report again what the leader may not have received.

        Demand is not repeated, since only recent demand counts.
        """
        self._spent.update(report.spent)

    def take_shares(self, share_by_member: dict[str, float]) -> None:
        """Replace the shares that the leader wants to be admitted."""
        self._share_by_member = share_by_member
        for member in list(self._credit_by_member):
            if member not in share_by_member:
                del self._credit_by_member[member]

    def _take_own_part(
        self,
        member: str,
        budget: catalogue.Budget,
        cost: float,
        contact: LeaderContact,
        now: float,
    ) -> None:
        per_s = budget.per_s / max(contact.daemons, 1)
        own = self._own_by_member.get(member)
        if own is None:
            alone_s = contact.silent_s - self._settings.alone_after_s
            own = _OwnPart(per_s * FIRST_PART_S, now - alone_s)
            self._own_by_member[member] = own
            while len(self._own_by_member) > MAX_MEMBERS:
                self._own_by_member.pop(next(iter(self._own_by_member)))
        gained = per_s * max(0.0, now - own.refilled_at)
        own.level = min(own.level + gained, per_s * OWN_PART_S)
        own.refilled_at = now
        debts = cost * max(contact.daemons, 1)
        small = debts <= DEBT_PART * budget.per_s
        was_below = self.share(member) >= 1.0
        may_owe = was_below and (small or contact.silent_s <= DEBT_S)
        if own.level < (0.0 if may_owe else cost):
            raise wire.OverloadError(
                f"The limit of member {member} can't be checked, as this "
                "instance can't reach the leader. Use another address.",
                retry_after_s=_bounded((cost - own.level) / per_s),
            )
        own.level -= cost


def limit_error(member: str, wait_s: float) -> wire.LimitError:
    """Return the error for a member that is above its limit."""
    return wire.LimitError(
        f"Member {member} has reached its limit. Retry later.",
        retry_after_s=_bounded(wait_s),
    )


def _bounded(wait_s: float) -> float:
    return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
