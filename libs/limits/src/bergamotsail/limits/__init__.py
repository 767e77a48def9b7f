"""Budgets of members, enforced over all daemons together.

The leader keeps one token bucket for each member in a :class:`BudgetLedger`.
A request that asks the leader for a placement is debited there, exactly and
with no further message. What a daemon admits by itself, it reports with its
next heartbeat; :class:`DaemonBudgets` bounds that part: by the share of a
member's requests that the leader wants to see, and, while the leader can't be
reached, by the daemon's part of the member's rate.

Nothing here does I/O or reads a clock: callers pass the time, in seconds.
"""

from bergamotsail.limits import _daemon_budgets
from bergamotsail.limits import _ledger
from bergamotsail.limits import _messages

BudgetLedger = _ledger.BudgetLedger
BudgetSettings = _ledger.BudgetSettings
DaemonBudgets = _daemon_budgets.DaemonBudgets
LeaderBudgets = _ledger.LeaderBudgets
LeaderContact = _daemon_budgets.LeaderContact
limit_error = _daemon_budgets.limit_error
SpendingReport = _messages.SpendingReport
