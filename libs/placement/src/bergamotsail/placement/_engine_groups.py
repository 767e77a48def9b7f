"""Places requests on groups of engines that replicas hold.

With few engines the leader of the replicated log places all requests. With
more, they form groups, and each group has one replica that places its requests
and orders its loads, under a lease from the leader. So the work of placement
is spread over the replicas.
"""

import asyncio
import collections
import collections.abc
import dataclasses

from absl import logging

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail.placement import _assignments
from bergamotsail.placement import _call_rate
from bergamotsail.placement import _debits
from bergamotsail.placement import _group_lead
from bergamotsail.placement import _group_log
from bergamotsail.placement import _group_messages
from bergamotsail.placement import _leadership
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _placer
from bergamotsail import wire

RENEW_INTERVAL_S = 0.1
# Least pause between two renewals. Debits wait for the next one.
RENEW_SPACING_S = 0.02
# A renewal that takes longer is repeated; several fit into a lease.
RENEW_TIMEOUT_S = 0.3
CALL_MARGIN_S = 0.15
# How long a call waits until the leader knows engines.
FORM_WAIT_S = 0.5
POLL_S = 0.02
RETRY_AFTER_S = 0.1
# Age up to which daemons are told the same of the holders.
HOLDERS_AGE_S = 0.05
# Grants of a daemon that is no longer listed are released after this time.
ABSENT_S = 3.0
MAX_QUEUED = 2_000

MakePlacer = collections.abc.Callable[
    [str, _leadership.Leadership, _debits.Debits, control.StreamTable],
    _placer.Placer,
]


class _GroupLeadership(_leadership.Leadership):
    """The right to place requests on one group of engines."""

    def __init__(self, groups: "EngineGroups", group: str) -> None:
        self._groups = groups
        self._group = group

    @property
    def term(self) -> int:
        return self._groups.epoch(self._group)

    @property
    def log_term(self) -> int:
        return self._groups.log_term

    @property
    def leads_log(self) -> bool:
        return self._groups.leads_log

    def holds(self) -> bool:
        return self._groups.holds(self._group)

    def refusal(self) -> wire.ServingError:
        return self._groups.refusal()


class _GroupStreams(control.StreamTable):
    """Reports where streams began to the leader."""

    def __init__(self, groups: "EngineGroups", clock: wire.Clock) -> None:
        super().__init__(clock, max_streams=0)
        self._groups = groups

    def note(
        self,
        term: int,
        stream: str,
        origin: control.StreamOrigin,
        keep_s: float,
    ) -> None:
        self._groups.note_stream(control.StreamNote(stream, origin, keep_s))


class _GroupDebits(_debits.Debits):
    """Debits at the leader, with the next renewal of the lease."""

    def __init__(self, groups: "EngineGroups") -> None:
        self._groups = groups

    async def take(self, request: _place_messages.PlaceRequest) -> None:
        await self._groups.debit(request)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingDebit:
    debit: _group_messages.DebitRequest
    done: asyncio.Future


@dataclasses.dataclass(slots=True)
class _Lease:
    """The lease of a replica that doesn't lead.

    Args:
        until: when it ends, on this replica's clock.
        term: of the leader that gave it.
    """

    until: float = float("-inf")
    term: int = -1
    groups: int = 0
    epoch_by_group: dict[str, int] = dataclasses.field(default_factory=dict)


class EngineGroups(control.UseTracker):
    """The engine groups of one replica; an async context manager.

    It has a placer for each group that this replica ever held. The leader
    decides which replica holds which group and tells the daemons.

    Args:
        make_placer: makes the placer of a group.
        view: returns the current catalogue.
        debits: debits requests at the leader.
        streams: the leader's record of where streams began.
        rates: limits of targets; a holder knows them from the leader.
        digest: returns the leader's changes since a version of a term.
        lag_s: returns the mean lag of the event loop.
    """

    def __init__(
        self,
        log: _group_log.GroupLog,
        transport: wire.PeerTransport,
        make_placer: MakePlacer,
        view: collections.abc.Callable[[], catalogue.View],
        debits: _debits.LeaderDebits,
        streams: control.StreamTable,
        rates: control.TargetRates,
        digest: collections.abc.Callable[[int, int], control.DigestDelta],
        lag_s: collections.abc.Callable[[], float],
        clock: wire.Clock,
    ) -> None:
        self._log = log
        self._transport = transport
        self._make_placer = make_placer
        self._view = view
        self._leader_debits = debits
        self._streams = streams
        self._rates = rates
        self._leader_digest = digest
        self._lag_s = lag_s
        self._clock = clock
        self._group_debits = _GroupDebits(self)
        self._group_streams = _GroupStreams(self, clock)
        self.placer_by_group: dict[str, _placer.Placer] = {}
        self._epoch_by_group: dict[str, int] = {}
        self._lead: _group_lead.GroupLead | None = None
        self._known: tuple[control.TargetInfo, ...] = ()
        self._lease = _Lease()
        self._digest = control.Digest()
        self._absent_since_by_boot: dict[str, float] = {}
        self._rate = _call_rate.CallRate()
        self._sender = wire.fresh_token("holder")
        self._sequence = 0
        self._number = 0
        self._debits: dict[int, _PendingDebit] = {}
        self._sent_debits: dict[int, _PendingDebit] = {}
        self._notes: collections.deque[control.StreamNote]
        self._notes = collections.deque(maxlen=MAX_QUEUED)
        self._new_starts: collections.deque[_group_messages.NewStart]
        self._new_starts = collections.deque(maxlen=MAX_QUEUED)
        self._new_start_callback: (
            collections.abc.Callable[[str, int], None] | None
        ) = None
        # What daemons were told last of the holders, and since when.
        self._holders: tuple[control.GroupHolder, ...] = ()
        self._holders_at = float("-inf")
        self._wake = asyncio.Event()
        self._background = wire.BackgroundTasks()
        self._running = False
        self._leaving = False

    async def __aenter__(self) -> "EngineGroups":
        for placer in self.placer_by_group.values():
            placer.start()
        self._running = True
        self._background.start(self._run)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        self._running = False
        self._fail_debits(wire.StoppingError("This replica stops."))
        for placer in self.placer_by_group.values():
            await placer.__aexit__()

    async def give_up(self) -> None:
        """Give up all groups, so that others get them before a planned stop.

        Without it they wait until the lease of this replica has ended.
        """
        held = list(self._lease.epoch_by_group)
        self._leaving = True
        if self._log.holds() or not held:
            return
        try:
            await self._renew()
        except wire.ServingError as error:
            logging.info("groups: Could not give up. %s", error.message)
            return
        observe.log_event("groups", "give_up", groups=held)

    def serve(self, server: wire.PeerServer) -> None:
        """Register the handlers of calls from entries and holders."""
        server.serve(
            _place_messages.PLACE, self.on_place, _placer.PLACE_SHED_S
        )
        server.serve(
            _place_messages.RELEASE, self.on_release, _placer.RELEASE_SHED_S
        )
        server.serve(_group_messages.HOLD, self.on_hold)

    def placer(self, group: str = "") -> _placer.Placer:
        """Return the placer of a group; it is made when first needed."""
        if group not in self.placer_by_group:
            placer = self._make_placer(
                group,
                _GroupLeadership(self, group),
                self._group_debits,
                self._group_streams,
            )
            placer.on_new_start(self._report_new_start)
            if self._running:
                placer.start()
            self.placer_by_group[group] = placer
        return self.placer_by_group[group]

    # Rights, for the placers.

    @property
    def leads_log(self) -> bool:
        """Whether this replica is the leader of the log."""
        return self._log.holds()

    @property
    def log_term(self) -> int:
        """The term of the replicated log."""
        return self._log.term

    def holds(self, group: str) -> bool:
        """Whether this replica holds a group at this moment."""
        if self._log.holds():
            return group in self._own_epochs()
        lease = self._lease
        return (
            not self._leaving
            and lease.term == self._log.term
            and self._clock.now() < lease.until
            and group in lease.epoch_by_group
        )

    def epoch(self, group: str) -> int:
        """Return the epoch under which this replica last held a group."""
        if not group:
            return self._log.term * _assignments.EPOCHS_PER_TERM
        if self._log.holds():
            own = self._own_epochs()
            if group in own:
                self._epoch_by_group[group] = own[group]
        return self._epoch_by_group.get(group, -1)

    def refusal(self) -> wire.ServingError:
        """Return the error for a call that another replica serves."""
        if self._log.holds():
            return wire.NotLeaderError(
                "Another replica holds these engines. Ask again.",
                retry_after_s=RETRY_AFTER_S,
            )
        return self._log.refusal()

    def _own_epochs(self) -> dict[str, int]:
        """Return the groups that this replica holds as the leader."""
        lead = self._lead
        if lead is None or lead.term != self._log.term or not lead.groups:
            return {}
        if lead.groups == 1:
            return {"": self.epoch("")}
        return {
            control.group_id(group, lead.groups): lead.epoch(epoch)
            for group, epoch in lead.own_epochs().items()
        }

    def _held_placers(
        self,
    ) -> collections.abc.Iterator[tuple[str, _placer.Placer]]:
        """Yield the placers of the groups that this replica holds."""
        held = self._lease.epoch_by_group
        if self._log.holds():
            held = self._own_epochs()
        for group in list(held):
            if self.holds(group):
                yield group, self.placer(group)

    # Calls from entries.

    async def on_place(
        self, request: _place_messages.PlaceRequest
    ) -> _place_messages.PlaceReply:
        """Return a target for a request, from the holder of its group.

        Raises:
            NotLeaderError: the group's holder is another replica.
        """
        self._rate.count()
        if request.group:
            if not self.holds(request.group):
                raise wire.NotLeaderError(
                    "This replica doesn't hold these engines. Ask again.",
                    retry_after_s=RETRY_AFTER_S,
                )
            return await self.placer(request.group).on_place(request)
        if not self._log.holds():
            raise self._log.refusal()
        groups = await self._formed()
        if not groups:
            raise wire.LoadShedError(
                "No engines are known yet. Retry.",
                retry_after_s=RETRY_AFTER_S,
            )
        if groups == 1:
            return await self.placer("").on_place(request)
        return await self._pass_on(request, groups)

    async def _formed(self) -> int:
        """Return the number of groups, waiting until engines are known."""
        until = self._clock.now() + FORM_WAIT_S
        while not self._current_lead().groups and self._clock.now() < until:
            await self._clock.sleep(POLL_S)
            if not self._log.holds():
                raise self._log.refusal()
        return self._current_lead().groups

    async def _pass_on(
        self, request: _place_messages.PlaceRequest, groups: int
    ) -> _place_messages.PlaceReply:
        """Have a request placed by the holder of its adapter's group.

        Raises:
            NotLeaderError: no group with engines for it has a holder.
        """
        lead = self._current_lead()
        suitable = control.groups_with(
            self._known, request.pool, request.software, groups
        )
        for group in control.ranked_groups(group_key(request), groups):
            address = lead.address(group)
            if not address or group not in suitable:
                continue
            sent = dataclasses.replace(
                request, group=control.group_id(group, groups)
            )
            if address == self._log.address:
                return await self.on_place(sent)
            return await self._transport.call(
                address,
                _place_messages.PLACE,
                sent,
                request.patience_s + CALL_MARGIN_S,
            )
        raise self.refusal()

    async def on_release(
        self, request: _place_messages.ReleaseRequest
    ) -> _place_messages.Released:
        """Release requests at the engines of the groups that it holds.

        A leader takes them all; holders learn of the others with the
        daemons' heartbeats.

        Raises:
            NotLeaderError: this replica holds no engines.
        """
        placers = list(self._held_placers())
        if not placers and not self._log.holds():
            raise self.refusal()
        for _, placer in placers:
            await placer.on_release(request)
        return _place_messages.Released()

    # The leader's side.

    def _current_lead(self) -> _group_lead.GroupLead:
        """Return the state of the current term of leadership."""
        if self._lead is None or self._lead.term != self._log.term:
            self._lead = _group_lead.GroupLead(
                self._log,
                self._leader_digest,
                self._leader_debits,
                self._streams,
                self._clock.now(),
            )
        return self._lead

    async def on_hold(
        self, request: _group_messages.HoldRequest
    ) -> _group_messages.HoldReply:
        """Give a replica the lease on its groups.

        Raises:
            NotLeaderError: this replica doesn't lead.
        """
        if not self._log.holds():
            raise self._log.refusal()
        for start in request.new_starts:
            self._report_new_start(start.target, start.start_time_ms)
        lead = self._current_lead()
        return lead.renew(request, self._clock.now())

    def take_uses(
        self, boot: str, uses: collections.abc.Sequence[control.Use]
    ) -> None:
        for _, placer in self._held_placers():
            placer.take_uses(boot, uses)
        lead = self._current_lead()
        if lead.groups > 1:
            lead.pass_on(boot, uses)

    def drop_uses(self, boot: str) -> None:
        for _, placer in self._held_placers():
            placer.drop_uses(boot)

    def targets_changed(
        self, known: collections.abc.Sequence[control.TargetInfo]
    ) -> None:
        self._known = tuple(known)
        self._current_lead().form(self._count_engines(), self._clock.now())
        self._update_placers(self._known)

    def _count_engines(self) -> int:
        pools = self._view().routes.pool_by_name
        return sum(
            info.pool in pools and pools[info.pool].engine is not None
            for info in self._known
        )

    def on_new_start(
        self, callback: collections.abc.Callable[[str, int], None]
    ) -> None:
        self._new_start_callback = callback

    def holders(self) -> tuple[control.GroupHolder, ...]:
        now = self._clock.now()
        if now - self._holders_at > HOLDERS_AGE_S:
            self._holders_at = now
            self._holders = self._current_lead().holders(
                self._wait_s_by_group(), round(self._rate.per_s, 1)
            )
        return self._holders

    # Reports of the placers.

    def _report_new_start(self, target: str, start_time_ms: int) -> None:
        if self._log.holds():
            if self._new_start_callback is not None:
                self._new_start_callback(target, start_time_ms)
            return
        start = _group_messages.NewStart(target, start_time_ms)
        self._new_starts.append(start)
        self._wake.set()

    def note_stream(self, note: control.StreamNote) -> None:
        """Report where a stream began."""
        if self._log.holds():
            self._streams.note(
                self._log.term, note.stream, note.origin, note.keep_s
            )
            return
        self._notes.append(note)

    async def debit(self, request: _place_messages.PlaceRequest) -> None:
        """Debit a request at the leader.

        Raises:
            LimitError: the member is above its limit.
            ServingError: the leader can't be asked, or its reply was lost.
        """
        if self._log.holds():
            await self._leader_debits.take(request)
            return
        if not request.cost or self._view().budget(request.member) is None:
            return
        self._number += 1
        debit = _group_messages.DebitRequest(
            self._number, request.member, request.cost, request.request
        )
        done = asyncio.get_running_loop().create_future()
        self._debits[debit.number] = _PendingDebit(debit, done)
        self._wake.set()
        try:
            await done
        finally:
            self._debits.pop(debit.number, None)
            self._sent_debits.pop(debit.number, None)

    def _wait_s_by_group(self) -> dict[str, float]:
        return {
            group: round(placer.wait_s(), 3)
            for group, placer in self._held_placers()
        }

    # Rounds.

    async def _run(self) -> None:
        while True:
            try:
                await self._round()
            except wire.ServingError as error:
                self._fail_debits(error)
                logging.debug("groups: Round aborted. %s", error.message)
            except Exception:
                logging.exception("groups: Unexpected error.")
                self._fail_debits(
                    wire.InternalError("Internal error. See the log.")
                )
            await self._clock.sleep(RENEW_SPACING_S)
            await wire.wait_event(self._wake, RENEW_INTERVAL_S)
            self._wake.clear()

    async def _round(self) -> None:
        """Assign groups as the leader, or else renew the lease."""
        self._rate.update(self._lag_s(), self._clock.now())
        if not self._log.holds():
            if not self._leaving:
                await self._renew()
            return
        self._lease = _Lease()
        self._fail_debits(
            wire.UnknownOutcomeError(
                "The leader that had this debit was replaced. Ask again."
            )
        )
        lead = self._current_lead()
        before = self._own_epochs()
        lead.assign(self._clock.now())
        if self._own_epochs() != before:
            self._update_placers(self._known)

    def _update_placers(
        self, known: collections.abc.Collection[control.TargetInfo]
    ) -> None:
        """Tell the placers of all held groups which targets there are."""
        for group, placer in self._held_placers():
            number, _, groups = group.partition("/")
            placer.targets_changed(
                [
                    info
                    for info in known
                    if not group
                    or control.group_of(info.id, int(groups)) == int(number)
                ]
            )

    async def _renew(self) -> None:
        """Ask the leader for the lease, and apply what it tells.

        Raises:
            ServingError: it gave none.
        """
        address = self._log.leader_address()
        sent_at = self._clock.now()
        self._sequence += 1
        request = _group_messages.HoldRequest(
            self._log.name,
            self._log.address,
            self._sender,
            self._sequence,
            () if self._leaving else tuple(self._lease.epoch_by_group),
            self._digest.term,
            self._digest.version,
            self._wait_s_by_group(),
            round(self._rate.per_s, 1),
            tuple(pending.debit for pending in self._debits.values()),
            tuple(self._notes),
            tuple(self._new_starts),
            self._leaving,
        )
        self._sent_debits.update(self._debits)
        self._debits.clear()
        self._notes.clear()
        self._new_starts.clear()
        try:
            reply = await self._transport.call(
                address, _group_messages.HOLD, request, RENEW_TIMEOUT_S
            )
        except wire.ServingError:
            self._notes.extendleft(reversed(request.streams))
            self._new_starts.extendleft(reversed(request.new_starts))
            raise
        self._apply(reply, sent_at)

    def _apply(self, reply: _group_messages.HoldReply, sent_at: float) -> None:
        for outcome in reply.debits:
            self._resolve(outcome)
        if reply.term != self._log.term or self._log.holds():
            # The lease is of a leader that has been replaced meanwhile.
            return
        before = self._lease
        self._lease = _Lease(
            sent_at + _assignments.LEASE_S,
            reply.term,
            reply.groups,
            reply.epoch_by_group,
        )
        changed = before.epoch_by_group != reply.epoch_by_group
        if changed:
            self._log_lease(before)
        self._epoch_by_group.update(reply.epoch_by_group)
        delta = reply.digest
        self._digest.apply(delta)
        if changed or delta.full or delta.targets or delta.gone_targets:
            self._apply_limits(delta)
            self._update_placers(self._digest.target_by_id.values())
        for daemon in reply.uses:
            for _, placer in self._held_placers():
                placer.take_uses(daemon.boot, daemon.uses)
        self._drop_absent_daemons()
        if delta.more:
            self._wake.set()

    def _log_lease(self, before: _Lease) -> None:
        observe.log_event(
            "groups",
            "lease",
            term=self._lease.term,
            epoch_by_group=self._lease.epoch_by_group,
            before=before.epoch_by_group,
            ended_s=round(self._clock.now() - before.until, 3),
        )

    def _apply_limits(self, delta: control.DigestDelta) -> None:
        """Apply the limits that targets name."""
        notices = [
            control.RateNotice(info.id, info.limit)
            for info in delta.targets
            if info.limit is not None or self._rates.limit(info.id) is not None
        ]
        self._rates.note(self._lease.term, notices, self._clock.now())

    def _drop_absent_daemons(self) -> None:
        """Release the grants of daemons whose sessions have ended."""
        now = self._clock.now()
        placers = [placer for _, placer in self._held_placers()]
        granted = {boot for placer in placers for boot in placer.daemons()}
        self._absent_since_by_boot = {
            boot: self._absent_since_by_boot.get(boot, now)
            for boot in granted - self._digest.daemon_by_boot.keys()
        }
        for boot, since in self._absent_since_by_boot.items():
            if now - since <= ABSENT_S:
                continue
            for placer in placers:
                placer.drop_uses(boot)
            observe.log_event("groups", "daemon_gone", boot=boot)

    def _resolve(self, outcome: _group_messages.DebitOutcome) -> None:
        pending = self._sent_debits.pop(outcome.number, None)
        if pending is None or pending.done.done():
            return
        if outcome.wait_s > 0.0:
            pending.done.set_exception(
                limits.limit_error(pending.debit.member, outcome.wait_s)
            )
        else:
            pending.done.set_result(None)

    def _fail_debits(self, error: wire.ServingError) -> None:
        """Fail the debits that the leader may not have made."""
        pending = (*self._debits.values(), *self._sent_debits.values())
        self._debits.clear()
        self._sent_debits.clear()
        for debit in pending:
            if not debit.done.done():
                debit.done.set_exception(error)


def group_key(request: _place_messages.PlaceRequest) -> str:
    """Return the key by which a request is given to a group.

    Requests to a base model itself run anywhere, so they are spread.
    """
    if not request.adapter:
        return request.request
    return f"{request.model}/{request.adapter}"
