"""The leader's side of engine groups: leases, debits and reports of uses."""

import collections.abc
import dataclasses

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _assignments
from bergamotsail.placement import _debits
from bergamotsail.placement import _group_log
from bergamotsail.placement import _group_messages
from bergamotsail import wire

# Time in which each replica asks a new leader for its lease.
FIRST_REPORTS_S = 0.3

Uses = collections.abc.Sequence[control.Use]


@dataclasses.dataclass(slots=True)
class _Holder:
    """What a replica last reported, and what it has not been told yet."""

    report: _group_messages.HoldRequest
    heard_at: float
    uses_by_boot: dict[str, tuple[control.Use, ...]] = dataclasses.field(
        default_factory=dict
    )


class GroupLead:
    """Gives groups of engines to replicas, soft state of one term.

    Args:
        digest: returns the changes since a version of a term.
        debits: debits requests that the holders place.
        streams: where streams began.
    """

    def __init__(
        self,
        log: _group_log.GroupLog,
        digest: collections.abc.Callable[[int, int], control.DigestDelta],
        debits: _debits.LeaderDebits,
        streams: control.StreamTable,
        now: float,
    ) -> None:
        self._log = log
        self._digest = digest
        self._debits = debits
        self._streams = streams
        self._started_at = now
        self._formed_at = now
        self.term = log.term
        self.assignments: _assignments.Assignments | None = None
        self._holder_by_name: dict[str, _Holder] = {}

    @property
    def groups(self) -> int:
        """Number of groups; 0 while no engine is known."""
        return 0 if self.assignments is None else len(self.assignments)

    def form(self, engines: int, now: float) -> None:
        """Decide the number of groups.

        A single group is split when there are more engines, which is simple
        since the leader holds it. Otherwise the number is kept for the term.

        Args:
            engines: number of engines.
        """
        if not engines or self.groups > 1:
            return
        groups = control.count_groups(
            engines, self._log.holders, self._log.former_groups()
        )
        if groups == self.groups:
            return
        self.assignments = _assignments.Assignments(
            self._log.name, groups, self._started_at
        )
        self._formed_at = now
        for name, holder in self._holder_by_name.items():
            self.assignments.renew(name, holder.heard_at)
        observe.log_event(
            "groups",
            "form",
            term=self.term,
            groups=groups,
            engines=engines,
            former_groups=self._log.former_groups(),
        )
        self.assign(now)

    def assign(self, now: float) -> None:
        """Give groups without a holder to replicas."""
        if self.assignments is None or self.groups == 1:
            # A single group stays with the leader.
            return
        answering = self._log.answering().keys()
        if (
            now - self._formed_at < FIRST_REPORTS_S
            and answering - self.assignments.heard()
        ):
            return
        former = {
            group: self._log.former_holder(
                control.group_id(group, self.groups)
            )
            for group in range(self.groups)
        }
        for move in self.assignments.assign(former, now):
            observe.log_event(
                "groups",
                "give",
                term=self.term,
                group=control.group_id(move.group, self.groups),
                holder=move.holder,
                epoch=move.epoch,
                former=move.former or None,
                heard=len(self.assignments.heard()),
            )

    def own_epochs(self) -> dict[int, int]:
        """Return the groups of the leader itself, with their epochs."""
        if self.assignments is None:
            return {}
        return self.assignments.held_by(self._log.name)

    def renew(
        self, request: _group_messages.HoldRequest, now: float
    ) -> _group_messages.HoldReply:
        """Renew the leases of a replica and apply its report.

        Raises:
            ConflictError: a later request of the replica has arrived.
        """
        holder = self._holder_by_name.setdefault(
            request.name, _Holder(request, now)
        )
        last = holder.report
        if last.sender == request.sender and last.sequence > request.sequence:
            raise wire.ConflictError(
                f"Request {request.sequence} of {request.name} is older than "
                f"{last.sequence}, which has arrived."
            )
        holder.report, holder.heard_at = request, now
        for note in request.streams:
            self._streams.note(
                self.term, note.stream, note.origin, note.keep_s
            )
        epochs: dict[int, int] = {}
        if self.assignments is not None and self.groups > 1:
            epochs = self._renew_groups(request, now)
        uses, holder.uses_by_boot = holder.uses_by_boot, {}
        return _group_messages.HoldReply(
            self.term,
            self.groups,
            {
                control.group_id(group, self.groups): self.epoch(epoch)
                for group, epoch in epochs.items()
            },
            self._digest(request.digest_term, request.digest_version),
            tuple(
                _group_messages.DaemonUses(boot, running)
                for boot, running in uses.items()
            ),
            tuple(self._debit(debit) for debit in request.debits),
        )

    def _renew_groups(
        self, request: _group_messages.HoldRequest, now: float
    ) -> dict[int, int]:
        """Renew the leases of a replica; return its groups and epochs."""
        assert self.assignments is not None
        if request.leaving:
            self.assignments.remove(request.name)
            self.assign(now)
            return {}
        self._free_given_up(request)
        return self.assignments.renew(request.name, now)

    def _free_given_up(self, request: _group_messages.HoldRequest) -> None:
        """Free the groups that a replica was told to give up, and has."""
        assert self.assignments is not None
        for group in self.assignments.withdrawn_from(request.name):
            if control.group_id(group, self.groups) not in request.held:
                self.assignments.give_up(group)

    def _debit(
        self, debit: _group_messages.DebitRequest
    ) -> _group_messages.DebitOutcome:
        wait_s = self._debits.debit(debit.member, debit.cost, debit.request)
        return _group_messages.DebitOutcome(debit.number, wait_s)

    def epoch(self, epoch: int) -> int:
        """Return an epoch that is unique over all terms."""
        return self.term * _assignments.EPOCHS_PER_TERM + epoch

    def pass_on(self, boot: str, uses: Uses) -> None:
        """Keep a daemon's uses for the holders of their groups."""
        assert self.assignments is not None
        uses_by_name: dict[str, list[control.Use]] = {
            self.assignments.holder(group): [] for group in range(self.groups)
        }
        for use in uses:
            group = control.group_of(use.target, self.groups)
            uses_by_name[self.assignments.holder(group)].append(use)
        for name, running in uses_by_name.items():
            if name in self._holder_by_name:
                holder = self._holder_by_name[name]
                holder.uses_by_boot[boot] = tuple(running)

    def address(self, group: int) -> str:
        """Return the address of a group's holder, empty if it has none."""
        if self.assignments is None:
            return ""
        name = self.assignments.holder(group)
        if name == self._log.name:
            return self._log.address
        return self._log.answering().get(name, "")

    def holders(
        self, own_wait_s: dict[str, float], own_calls_per_s: float
    ) -> tuple[control.GroupHolder, ...]:
        """Return the holders of all groups, for the daemons.

        Args:
            own_wait_s: mean wait in the groups of the leader, by their ids.
            own_calls_per_s: placement calls that the leader has time for.
        """
        if self.groups == 1:
            return (
                control.GroupHolder(
                    self._log.address, own_wait_s.get("", 0.0), own_calls_per_s
                ),
            )
        addresses = {
            **self._log.answering(),
            self._log.name: self._log.address,
        }
        holders = []
        for number in range(self.groups):
            assert self.assignments is not None
            name = self.assignments.holder(number)
            wait_s, per_s = own_wait_s, own_calls_per_s
            if name in self._holder_by_name and name != self._log.name:
                report = self._holder_by_name[name].report
                wait_s, per_s = report.wait_s_by_group, report.calls_per_s
            holders.append(
                control.GroupHolder(
                    addresses.get(name, ""),
                    wait_s.get(control.group_id(number, self.groups), 0.0),
                    per_s,
                )
            )
        return tuple(holders)
