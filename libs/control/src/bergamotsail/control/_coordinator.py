"""The leader's side of sessions: leases, shares, targets and turns.

All of it is soft state of one term. A new leader can't know the leases and
shares granted before its election, so it waits until they have expired.
"""

import abc
import asyncio
import collections
import collections.abc
import dataclasses

from absl import logging

from bergamotsail import catalogue
from bergamotsail.control import _digest
from bergamotsail.control import _fleet
from bergamotsail.control import _floor
from bergamotsail.control import _ledger
from bergamotsail.control import _messages
from bergamotsail.control import _quarantine
from bergamotsail.control import _share_notes
from bergamotsail.control import _software
from bergamotsail.control import _streams
from bergamotsail.control import _target_rates
from bergamotsail.control import _turns
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail import quorum
from bergamotsail import targets
from bergamotsail import wire

# Heartbeats are shed at this event-loop lag: a session survives a refused
# heartbeat, but leadership is lost when a replica lags by an election timeout.
HEARTBEAT_SHED_S = 0.3
MAX_EFFECTS = 500
# Bytes of catalogue changes in a heartbeat reply. A 1 Mbit/s link transfers
# them in 0.5 s; daemons wait at least 0.6 s for a reply.
MAX_EFFECT_BYTES = 65_536
MAX_EFFECTS_PER_PIECE = 500
# Bytes of one part of a large effect, such as a route table. A 1 Mbit/s link
# transfers it in 0.3 s; a fetch is aborted after 1 s without a piece.
MAX_PIECE_BYTES = 32_768
# Bytes of the effects in one piece: as many as one such part in base64.
MAX_ENCODED_PIECE_BYTES = MAX_PIECE_BYTES * 4 // 3
RELAY_TIMEOUT_S = 2.0
LEADER_ROUND_INTERVAL_S = 0.25
LEAD_POLL_S = 0.05
MILLI = 1000
# Longest time that a heartbeat is held while there is no leader. Daemons wait
# 0.6 s for a reply, and an election takes 0.5 to 0.9 s.
HEARTBEAT_HOLD_S = 0.45
HEARTBEAT_HOLD_POLL_S = 0.02
# Within about this time of a new term, connected daemons have reported the
# streams that they began.
STREAMS_REPORTED_S = 1.5
STREAM_POLL_S = 0.05


class UseTracker(abc.ABC):
    """Tracks the requests that run at targets."""

    @abc.abstractmethod
    def take_uses(
        self, boot: str, uses: collections.abc.Sequence[_messages.Use]
    ) -> None:
        """Replace what is known of a daemon's running requests."""

    @abc.abstractmethod
    def drop_uses(self, boot: str) -> None:
        """Remove a daemon whose session ended."""

    @abc.abstractmethod
    def targets_changed(
        self, known: collections.abc.Sequence[_messages.TargetInfo]
    ) -> None:
        """Process a change of the known targets."""

    def holders(self) -> tuple[_messages.GroupHolder, ...]:
        """Return the replicas that place requests on groups of targets."""
        return ()

    def on_new_start(
        self, callback: collections.abc.Callable[[str, int], None]
    ) -> None:
        """Register a callback for targets that report a restart.

        Args:
            callback: called with the incarnation known so far, and the start
                time that the target reports, in milliseconds of Unix time.
        """


class _Session:
    """The leader's record of one daemon process (boot)."""

    def __init__(self, daemon: _messages.DaemonInfo) -> None:
        self.daemon = daemon
        self.sequence = -1
        self.seen_at = 0.0
        self.runs_last_s = 0.0


class _Term:
    """The soft state of one term of leadership.

    Attributes:
        undeclared: boots that may hold shares granted by earlier leaders,
            and have not declared them in this term.
        lapsed_until_by_boot: when the runs of a silent daemon have ended
            for certain.
    """

    def __init__(
        self,
        term: int,
        now: float,
        quarantine: _quarantine.Quarantine,
        share_bounds: _share_notes.ShareBounds,
    ) -> None:
        self.quarantine = quarantine
        self.term = term
        self.started_at = now
        self.digest = _digest.DigestLog(term)
        self.ledger = _ledger.Ledger()
        self.share_bounds = share_bounds
        self.undeclared: set[str] = set()
        self.lapsed_until_by_boot: dict[str, float] = {}
        self.fleet = _fleet.Fleet()
        self.session_by_boot: dict[str, _Session] = {}
        self.store_by_name: dict[str, _turns.StoreQueue] = {}
        self.hand_over_by_boot: dict[str, str] = {}
        self.status_by_target: dict[str, _messages.TargetStatus] = {}


class Coordinator:
    """Serves daemon sessions on a replica; an async context manager.

    Args:
        use_tracker: if given, the leader grants no ownership of targets but
            sends all orders itself, with its term as the fencing token.
        budgets: what members spend of their budgets.
        streams: where streams began; *use_tracker* may note them too.
        rates: limits of targets, from which *use_tracker* takes.
    """

    def __init__(
        self,
        address: str,
        node: quorum.Node,
        machine: catalogue.CatalogueMachine,
        instances: targets.InstanceList,
        transport: wire.PeerTransport,
        timing: _messages.LeaseTiming,
        list_interval_s: float = 1.0,
        floor: _floor.FloorRaiser | None = None,
        clock: wire.Clock = wire.LoopClock(),
        steps: wire.FaultInjector = wire.NoFaultInjector(),
        use_tracker: UseTracker | None = None,
        metrics: observe.Metrics | None = None,
        budgets: limits.LeaderBudgets | None = None,
        streams: _streams.StreamTable | None = None,
        rates: _target_rates.TargetRates | None = None,
    ) -> None:
        self._rates = rates or _target_rates.TargetRates()
        self._streams = streams or _streams.StreamTable(clock)
        self._budgets = budgets or limits.LeaderBudgets(
            limits.BudgetSettings(alone_after_s=timing.alone_after_s)
        )
        self._metrics = metrics or observe.Metrics()
        self._address = address
        self._node = node
        self._machine = machine
        self._use_tracker = use_tracker
        self._instances = instances
        self._transport = transport
        self._timing = timing
        self._list_interval_s = list_interval_s
        self._floor = floor
        self._clock = clock
        self._steps = steps
        self._term = self._new_term(-1, 0.0)
        self._digest = _digest.Digest()
        self._softwares = _software.SoftwareHistory(machine, self._propose)
        self._withheld = asyncio.Event()
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "Coordinator":
        if self._use_tracker is not None:
            self._use_tracker.on_new_start(self._record_restart)
        self._background.start(
            self._poll_instances,
            self._run_leader_rounds,
            self._run_software_commits,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()

    def attach(self, digest: _digest.Digest) -> None:
        """Set the digest of the daemon on this instance.

        A new leader starts its term from it.
        """
        self._digest = digest

    def serve(self, server: wire.PeerServer) -> None:
        """Register the handlers of calls from daemons."""
        server.serve(_messages.HEARTBEAT, self.on_heartbeat, HEARTBEAT_SHED_S)
        server.serve(_messages.STATE, self.on_state)
        server.serve(_messages.CHANGES, self.on_changes)
        server.serve(_messages.COMMAND, self.on_command)
        server.serve(_messages.FIND_CLAIM, self.on_find_claim)
        server.serve(_messages.TURN, self.on_turn)
        server.serve(_messages.TURN_END, self.on_turn_end)
        server.serve(_messages.ALONE, self.on_alone)
        server.serve(_messages.FIND_STREAM, self.on_find_stream)
        server.serve(_messages.COVER_AGE, self.on_cover_age)
        server.serve(_messages.MOVE_STREAM, self.on_move_stream)
        server.serve(_messages.STATUS, self.on_status)

    # Calls from daemons.

    async def on_heartbeat(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply:
        """Renew a session."""
        arrived_at = self._clock.now()
        if not await self._await_leadership(
            HEARTBEAT_HOLD_S if _may_be_held(request) else 0.0
        ):
            return await self._relay(_messages.HEARTBEAT, request)
        term = self._current_term()
        daemon = request.daemon
        session = term.session_by_boot.setdefault(
            daemon.boot, _Session(daemon)
        )
        if request.sequence <= session.sequence:
            raise wire.ConflictError(
                f"Heartbeat {request.sequence} of {daemon.boot} is not newer "
                f"than heartbeat {session.sequence}, which has arrived."
            )
        session.sequence = request.sequence
        session.seen_at = self._clock.now()
        session.daemon = daemon
        session.runs_last_s = request.runs_last_s
        self._declare_shares(term, request)
        share_by_key = self._grant_shares(term, request)
        if share_by_key:
            held_by_key = term.ledger.held(daemon.boot)
            await term.share_bounds.ensure_covered(
                daemon, request.runs_last_s, held_by_key
            )
        await term.quarantine.record_observations(
            daemon.boot, request.ends, arrived_at
        )
        if not self._node.holds_lease() or self._current_term() is not term:
            raise self._node.not_leader()
        term.digest.put_daemon(daemon)
        self._record_statuses(term, request)
        self._record_leaving(term, request)
        self._record_rates(term, request)
        for note in request.streams:
            self._streams.note(
                term.term, note.stream, note.origin, note.keep_s
            )
        if self._use_tracker is not None:
            self._use_tracker.take_uses(daemon.boot, request.uses)
        # The applied index covers every acknowledged change, since changes
        # are applied here first. The commit index may be ahead of *effects*.
        commit = self._machine.view.index
        effects, behind = self._effects_after(request.applied, request.fetches)
        reply = _messages.HeartbeatReply(
            self._address,
            term.term,
            commit,
            effects,
            behind,
            self._cap_shares(term, request, share_by_key),
            term.digest.delta(request.digest_term, request.digest_version),
            self._targets_to_hand_over(term, daemon.boot),
            tuple(member.address for member in self._node.config.members),
            term.quarantine.suspects(),
            self._record_spending(term, request),
            self._rates.permits(request.wanted_permits, self._clock.now()),
            self._gatherers(daemon),
            self._use_tracker.holders() if self._use_tracker else (),
        )
        await self._steps.reach(wire.Step.HEARTBEAT, wire.Phase.AFTER)
        return reply

    def digest_delta(
        self, digest_term: int, digest_version: int
    ) -> _messages.DigestDelta:
        """Return the changes of the digest since a version of a term."""
        return self._current_term().digest.delta(digest_term, digest_version)

    def _gatherers(self, daemon: _messages.DaemonInfo) -> tuple[str, ...]:
        """Return the replicas that may gather a daemon's calls."""
        followers = self._node.answering_followers()
        near = [m for m in followers if m.domain == daemon.datacentre]
        return tuple(member.address for member in near or followers)

    async def on_changes(
        self, request: _messages.ChangesRequest
    ) -> _messages.ChangesReply:
        """Return the changes that this replica has applied."""
        effects, behind = self._effects_after(request.applied, True)
        return _messages.ChangesReply(
            self._machine.view.index,
            effects,
            behind,
            self._node.commit_silence_s(),
        )

    async def on_state(
        self, request: _messages.StateRequest
    ) -> collections.abc.AsyncIterator[_messages.StatePiece]:
        """Stream the changes since *after*, or else the whole view."""
        index = self._machine.view.index
        effects = None
        if request.after is not None:
            effects = self._machine.effects_after(request.after)
        whole = effects is None
        if effects is None:
            effects = self._machine.view.effects()
        parts = (
            part
            for effect in effects
            for part in catalogue.split_effect(
                effect.compressed(), MAX_PIECE_BYTES
            )
        )
        batches = wire.batches(
            parts,
            lambda part: part.size,
            MAX_EFFECTS_PER_PIECE,
            MAX_ENCODED_PIECE_BYTES,
        )
        for batch in batches:
            yield _messages.StatePiece(index, batch, whole)
            await asyncio.sleep(0)
        # Without effects, this piece alone carries the index.
        yield _messages.StatePiece(index, (), whole)

    async def on_command(
        self, request: _messages.CommandRequest
    ) -> _messages.CommandReply:
        """Commit a command."""
        if not self._node.holds_lease():
            return await self._relay(_messages.COMMAND, request)
        data = wire.encode(request.command)
        result = await self._node.propose(data)
        if isinstance(result, catalogue.PutReply):
            return _messages.CommandReply(put=result)
        if isinstance(result, catalogue.ClaimReply):
            return _messages.CommandReply(claim=result)
        if isinstance(result, catalogue.VersionReply):
            return _messages.CommandReply(version=result)
        return _messages.CommandReply(done=bool(result))

    async def on_find_claim(
        self, request: _messages.FindClaim
    ) -> _messages.CommandReply:
        """Look up the claim recorded under an idempotency key."""
        if not self._node.holds_lease():
            return await self._relay(_messages.FIND_CLAIM, request)
        found = self._machine.find_claim(request.member, request.key)
        return _messages.CommandReply(claim=found)

    async def on_turn(
        self, request: _messages.TurnRequest
    ) -> _messages.TurnReply:
        """Wait for a turn at a weight store."""
        if not self._node.holds_lease():
            return await self._relay(
                _messages.TURN, request, request.wait_s + RELAY_TIMEOUT_S
            )
        queue = self._store_queue(request.store)
        return await queue.take(request, self._weight_by_member())

    async def on_turn_end(self, request: _messages.TurnEnd) -> _messages.Done:
        """End a turn, so that the next load can start."""
        if not self._node.holds_lease():
            return await self._relay(_messages.TURN_END, request)
        self._store_queue(request.store).end(
            request.turn, self._weight_by_member()
        )
        return _messages.Done()

    async def on_alone(
        self, request: _messages.AloneRequest
    ) -> _messages.AloneReply:
        """Admit one copy of a suspected request at a time."""
        if not self._node.holds_lease():
            timeout_s = request.wait_s + RELAY_TIMEOUT_S
            return await self._relay(_messages.ALONE, request, timeout_s)
        quarantine = self._current_term().quarantine
        granted = await quarantine.acquire_exclusive(
            request.boot,
            (request.identity, *request.others),
            request.wait_s,
        )
        return _messages.AloneReply(granted)

    async def on_find_stream(
        self, request: _messages.FindStream
    ) -> _messages.FoundStream:
        """Return where a stream began.

        A new leader waits until daemons have reported their streams.
        """
        if not self._node.holds_lease():
            timeout_s = request.wait_s + RELAY_TIMEOUT_S
            return await self._relay(_messages.FIND_STREAM, request, timeout_s)
        term = self._current_term()
        settled_at = term.started_at + STREAMS_REPORTED_S
        until = min(self._clock.now() + request.wait_s, settled_at)
        while (found := self._find_origin(request)).origin is None:
            if self._clock.now() >= until:
                break
            await self._clock.sleep(STREAM_POLL_S)
        if not self._node.holds_lease() or self._current_term() is not term:
            raise self._node.not_leader()
        return found

    def _find_origin(
        self, request: _messages.FindStream
    ) -> _messages.FoundStream:
        moved = self._machine.origins.moved(request.stream)
        if moved is not None:
            return _messages.FoundStream(moved, "log")
        record = self._streams.find(request.stream)
        if record is not None:
            age_s = round(self._clock.now() - record.noted_at, 3)
            return _messages.FoundStream(
                record.origin, "record", record.term, age_s
            )
        origin = self._softwares.sole(request.route)
        return _messages.FoundStream(origin, "sole" if origin else None)

    async def on_move_stream(
        self, request: _messages.MoveStream
    ) -> _messages.Done:
        """Commit where a stream begins that was granted elsewhere before.

        Copies of the former grant may outlive this leader.

        Raises:
            OverloadError: the log has too many such streams.
        """
        if not self._node.holds_lease():
            return await self._relay(_messages.MOVE_STREAM, request)
        if not self._softwares.is_sole(request.origin):
            move = catalogue.MoveStream(request.stream, request.origin)
            command = catalogue.Command(move_stream=move)
            if not await self._propose(command):
                raise wire.OverloadError(
                    "Too many streams began elsewhere than granted. Retry "
                    "later."
                )
        return _messages.Done()

    async def on_cover_age(
        self, request: _messages.CoverAge
    ) -> _messages.Done:
        """Commit how old streams of a pool may get."""
        if not self._node.holds_lease():
            return await self._relay(_messages.COVER_AGE, request)
        await self._softwares.cover(request.age)
        return _messages.Done()

    async def on_status(
        self, request: _messages.Status
    ) -> _messages.StatusReply:
        """Report the state of the log and the sessions."""
        if not self._node.holds_lease():
            return await self._relay(_messages.STATUS, request)
        config = self._node.config
        view = self._machine.view
        return _messages.StatusReply(
            self._address,
            self._node.term,
            self._node.commit,
            tuple(f"{m.id}={m.address}" for m in config.voters),
            tuple(f"{m.id}={m.address}" for m in config.learners),
            tuple(self._current_term().digest.daemon_by_boot.values()),
            self._machine.claims,
            sum(len(by_id) for by_id in view.by_kind.values()),
        )

    async def _await_leadership(self, hold_s: float) -> bool:
        """Whether this replica leads; waits while no leader is known.

        Holding a heartbeat during an election lets the daemon learn of the
        new leader at once, instead of with its next heartbeat.
        """
        deadline = self._clock.now() + hold_s
        while not self._node.holds_lease():
            if self._other_leads() or self._clock.now() >= deadline:
                break
            await self._clock.sleep(HEARTBEAT_HOLD_POLL_S)
        return self._node.holds_lease()

    def _other_leads(self) -> bool:
        """Whether another replica leads, as far as this one knows.

        This one may have won an election and not be ready yet.
        """
        leader = self._node.leader
        return (
            self._node.has_leader_contact
            and leader is not None
            and leader.address != self._address
        )

    async def _relay(
        self,
        call: wire.Call,
        request: object,
        timeout_s: float = RELAY_TIMEOUT_S,
    ) -> object:
        """Forward a call to the leader over at most one hop."""
        if request.relayed or not self._other_leads():
            raise self._node.not_leader()
        relayed = _relayed(request)
        return await self._transport.call(
            self._node.leader.address, call, relayed, timeout_s
        )

    # Parts of a heartbeat.

    def _current_term(self) -> _Term:
        """Return the soft state of the current term; initialise a new one."""
        if self._term.term != self._node.term:
            self._term = self._new_term(self._node.term, self._clock.now())
            self._initialise_term(self._term)
        return self._term

    def _new_term(self, number: int, now: float) -> _Term:
        quarantine = _quarantine.Quarantine(
            number, lambda: self._machine.view, self._propose, self._clock
        )
        share_bounds = _share_notes.ShareBounds(
            lambda: self._machine.sharer_by_boot, self._propose
        )
        return _Term(number, now, quarantine, share_bounds)

    def _initialise_term(self, term: _Term) -> None:
        """Initialise a term from the digest of this replica's own daemon.

        An empty state would tell every daemon that there are no targets
        until the list is read and each owner has sent a heartbeat. Sessions
        count as seen now, so the session of a daemon that is gone expires
        no sooner than its last lease can have ended.
        """
        for daemon in self._digest.daemon_by_boot.values():
            session = _Session(daemon)
            session.seen_at = term.started_at
            term.session_by_boot[daemon.boot] = session
            term.digest.put_daemon(daemon)
        for info in self._digest.target_by_id.values():
            if info.status is not None:
                term.status_by_target[info.id] = info.status
            term.fleet.remember(_instance_of(info), info.leaving)
        for sharer in self._machine.sharer_by_boot.values():
            term.undeclared.add(sharer.boot)
            term.ledger.lapse(sharer.boot, sharer.most_by_key)
            self._set_lapse_end(term, sharer.boot, sharer.runs_last_s)
        self._softwares.begin_term(term.term, term.started_at)
        self._publish_targets(term)

    def _earlier_leases_expired(self, term: _Term) -> bool:
        """Whether all leases granted by earlier leaders have expired."""
        since_s = self._clock.now() - term.started_at
        return since_s > self._timing.surely_ended_s

    def _may_raise(self, term: _Term) -> bool:
        """Whether shares may grow.

        Either earlier leaders' leases have expired, or all daemons that may
        hold shares from them have declared what they hold. With the first
        condition alone, no share could grow while leadership moves as often
        as every 2.5 s, and callers would be refused.
        """
        return self._earlier_leases_expired(term) or not term.undeclared

    def _declare_shares(
        self, term: _Term, request: _messages.Heartbeat
    ) -> None:
        """Record the shares that a daemon declares.

        Until its declaration covers the grants of earlier leaders, it counts
        as holding at least its bounds in the log.
        """
        boot = request.daemon.boot
        self._free_former_boots(term, request.daemon)
        if request.digest_term == term.term:
            # The daemon has processed a reply of this term, so its
            # declaration includes every share from earlier leaders.
            term.undeclared.discard(boot)
        held_by_key = dict(request.held_by_key)
        if boot in term.undeclared:
            bound_by_key = self._machine.sharer_by_boot[boot].most_by_key
            for key, bound in bound_by_key.items():
                held_by_key[key] = max(bound, held_by_key.get(key, 0))
        term.lapsed_until_by_boot.pop(boot, None)
        term.ledger.declare(boot, held_by_key, request.wanted_by_key)

    def _free_former_boots(
        self, term: _Term, daemon: _messages.DaemonInfo
    ) -> None:
        """Free the shares of earlier processes at the daemon's address.

        Two processes can't listen on one address, so they have ended.
        """
        for boot in list(term.lapsed_until_by_boot):
            sharer = self._machine.sharer_by_boot.get(boot)
            if boot == daemon.boot or sharer is None:
                continue
            if sharer.address == daemon.address:
                self._free_shares(term, boot, "started again")

    def _set_lapse_end(
        self, term: _Term, boot: str, runs_last_s: float
    ) -> None:
        """Set when the runs of a silent daemon have ended for certain."""
        runs_s = runs_last_s * (1 + self._timing.drift)
        lasts_s = max(runs_s, self._timing.surely_ended_s)
        heard_at = term.started_at
        if boot in term.session_by_boot:
            heard_at = term.session_by_boot[boot].seen_at
        term.lapsed_until_by_boot[boot] = heard_at + lasts_s

    def _free_shares(self, term: _Term, boot: str, why: str) -> None:
        del term.lapsed_until_by_boot[boot]
        term.undeclared.discard(boot)
        term.ledger.drop(boot)
        observe.log_event("shares", "freed", boot=boot, why=why)

    def _cap_shares(
        self,
        term: _Term,
        request: _messages.Heartbeat,
        share_by_key: dict[str, int],
    ) -> dict[str, int]:
        """Cap shares at the bounds that the log has for the daemon.

        The log has bounds for concurrency only, since a share of a rate is
        not used beyond the lease. A daemon without bounds in the log may
        still keep the rate shares that it declared.
        """
        boot = request.daemon.boot
        capped = {}
        for key, share in share_by_key.items():
            cap = share
            if key.startswith(_ledger.CONCURRENCY_PREFIX):
                cap = term.share_bounds.max_share(boot, key)
            elif not term.share_bounds.has_bounds(boot):
                cap = request.held_by_key.get(key, 0)
            capped[key] = min(share, cap)
        return capped

    def _record_statuses(
        self, term: _Term, request: _messages.Heartbeat
    ) -> None:
        owned = self._machine.view.ownership_by_target
        for status in request.statuses:
            ownership = owned.get(status.target)
            if ownership is None or ownership.epoch != status.epoch:
                continue
            term.status_by_target[status.target] = status
            info = term.digest.target_by_id.get(status.target)
            if info is not None:
                self._put_target(term, info, info.leaving)

    def _record_leaving(
        self, term: _Term, request: _messages.Heartbeat
    ) -> None:
        """Mark targets as leaving that reported it to a daemon."""
        new = [
            target
            for target in request.leaving
            if term.fleet.record_leaving(target)
        ]
        for target in new:
            observe.log_event(
                "list", "said_leaving", target=target, by=request.daemon.boot
            )
        if new:
            self._publish_targets(term)

    def _record_rates(self, term: _Term, request: _messages.Heartbeat) -> None:
        """Record the limits that targets named to a daemon."""
        changed = self._rates.note(term.term, request.rates, self._clock.now())
        for target in changed:
            observe.log_event(
                "list",
                "limit",
                target=target,
                per_s=self._rates.limit(target),
                by=request.daemon.boot,
            )
            info = term.digest.target_by_id.get(target)
            if info is not None:
                self._put_target(term, info, info.leaving)

    def _put_target(
        self,
        term: _Term,
        source: _messages.TargetInfo | targets.Instance,
        leaving: bool,
    ) -> None:
        status = term.status_by_target.get(source.id)
        reported_leaving = status is not None and status.leaving
        term.digest.put_target(
            _messages.TargetInfo(
                source.id,
                source.pool,
                source.address,
                source.datacentre,
                leaving or reported_leaving,
                status,
                source.software,
                self._rates.limit(source.id),
            )
        )

    def _effects_after(
        self, applied: int | None, fetches: bool
    ) -> tuple[tuple[catalogue.Effect, ...], bool]:
        """Return the changes after an index, or that they must be fetched."""
        if applied is None:
            return (), False
        found = self._machine.effects_after(applied)
        if found is None or len(found) > MAX_EFFECTS:
            return (), True
        size = sum(effect.size for effect in found)
        if fetches and size > MAX_EFFECT_BYTES:
            return (), True
        return tuple(found), False

    def _grant_shares(
        self, term: _Term, request: _messages.Heartbeat
    ) -> dict[str, int]:
        keys = request.held_by_key.keys() | request.wanted_by_key.keys()
        boot = request.daemon.boot
        may_raise = self._may_raise(term)
        shares = {}
        for key in keys:
            limit = limit_of(self._machine.view, key)
            if limit is None:
                continue
            share = term.ledger.grant(key, boot, limit, may_raise)
            if boot in term.undeclared:
                # The bound in the log is rounded up, so it can't be a share.
                share = min(share, request.held_by_key.get(key, 0))
            shares[key] = share
        return shares

    def _record_spending(
        self, term: _Term, request: _messages.Heartbeat
    ) -> dict[str, float]:
        """Record a report; return which share of requests to admit."""
        budget_of, now = self._machine.view.budget, self._clock.now()
        ledger = self._budgets.of_term(term.term, now)
        address = request.daemon.address
        ledger.record(request.spending, address, budget_of, now)
        if request.daemon.leaving:
            # It admits nothing soon, so nothing is set aside for it.
            ledger.forget_daemon(address)
        return ledger.admit_shares(budget_of, now)

    def _targets_to_hand_over(self, term: _Term, boot: str) -> tuple[str, ...]:
        target = term.hand_over_by_boot.get(boot)
        return (target,) if target is not None else ()

    def _store_queue(self, name: str) -> _turns.StoreQueue:
        stores = self._current_term().store_by_name
        if name not in stores:
            stores[name] = _turns.StoreQueue(self._clock)
        return stores[name]

    def _weight_by_member(self) -> dict[str, float]:
        members = self._machine.view.member_by_id
        return {name: entry.value.weight for name, entry in members.items()}

    # Tasks while leading.

    async def _poll_instances(self) -> None:
        """Read the instance list periodically, and at once in a new term."""
        read_at = float("-inf")
        read_in_term = -1
        while True:
            due = self._clock.now() - read_at >= self._list_interval_s
            leads = self._node.holds_lease()
            if leads and (due or read_in_term != self._node.term):
                read_at, read_in_term = self._clock.now(), self._node.term
                await observe.timed(
                    self._metrics,
                    "list",
                    self._run_logged,
                    self._read_instances,
                )
            await self._clock.sleep(min(LEAD_POLL_S, self._list_interval_s))

    async def _read_instances(self) -> None:
        term = self._current_term()
        try:
            instances = await self._instances.read()
            term.fleet.update(instances, self._clock.now())
        finally:
            self._publish_targets(term)

    def _record_restart(self, target: str, start_time_ms: int) -> None:
        """Record a restart that the target itself reported."""
        term = self._current_term()
        incarnation = term.fleet.record_restart(target, start_time_ms)
        observe.log_event("list", "new_start", target=target, now=incarnation)
        self._publish_targets(term)

    async def _run_logged(
        self, work: collections.abc.Callable[[], collections.abc.Awaitable]
    ) -> None:
        """Run one round of a background task, and log its failure."""
        try:
            await work()
        except wire.ServingError as error:
            logging.debug("control: Round aborted. %s", error.message)
        except Exception:
            logging.exception("control: Background round failed.")

    def _publish_targets(self, term: _Term) -> None:
        known = set()
        listed = list(term.fleet.listed())
        self._softwares.note_listed(listed, self._clock.now())
        if not all(map(self._softwares.is_committed, listed)):
            self._withheld.set()
        for instance, leaving in term.fleet.all():
            if self._softwares.is_committed(instance):
                known.add(instance.id)
                self._put_target(term, instance, leaving)
            elif self._withhold(term, instance):
                known.add(instance.id)
        for target in set(term.digest.target_by_id) - known:
            term.digest.drop_target(target)
        if self._use_tracker is not None:
            infos = tuple(term.digest.target_by_id.values())
            self._use_tracker.targets_changed(infos)

    def _withhold(self, term: _Term, instance: targets.Instance) -> bool:
        """Keep a target from new work until its version is committed.

        Returns:
            Whether it was known before, with another version.
        """
        info = term.digest.target_by_id.get(instance.id)
        if info is not None:
            self._put_target(term, info, leaving=True)
        return info is not None

    async def _run_software_commits(self) -> None:
        while True:
            await self._withheld.wait()
            self._withheld.clear()
            if self._node.holds_lease():
                await self._run_logged(self._commit_softwares)
            await self._clock.sleep(LEAD_POLL_S)

    async def _commit_softwares(self) -> None:
        term = self._current_term()
        await self._softwares.commit(term.fleet.listed())
        if self._current_term() is term:
            self._publish_targets(term)

    async def _run_leader_rounds(self) -> None:
        while True:
            await self._clock.sleep(LEADER_ROUND_INTERVAL_S)
            self._softwares.sample(self._clock.now())
            if self._node.holds_lease():
                await self._run_logged(self._run_leader_round)

    async def _run_leader_round(self) -> None:
        term = self._current_term()
        self._end_sessions(term)
        await self._update_share_bounds(term)
        await term.quarantine.maintain()
        if self._use_tracker is None:
            await self._assign_targets(term)
        await self._softwares.forget(self._clock.now())
        await self._raise_floor()

    async def _raise_floor(self) -> None:
        if self._floor is None:
            return
        floor_ms = self._floor.next_floor_ms(
            self._machine.floor_ms, self._clock.now()
        )
        if floor_ms is not None:
            raised = catalogue.RaiseFloor(floor_ms)
            await self._propose(catalogue.Command(raise_floor=raised))

    async def _update_share_bounds(self, term: _Term) -> None:
        """Free ended shares and update the bounds in the log."""
        now = self._clock.now()
        for boot, until in list(term.lapsed_until_by_boot.items()):
            if now > until:
                self._free_shares(term, boot, "its runs have ended")
        if not self._earlier_leases_expired(term):
            return
        kept = term.session_by_boot.keys() | term.lapsed_until_by_boot.keys()
        gone = self._machine.sharer_by_boot.keys() - kept
        if gone:
            await term.share_bounds.remove(gone)
        await term.share_bounds.lower(
            [
                (session.daemon, term.ledger.held(boot))
                for boot, session in term.session_by_boot.items()
                if boot not in term.undeclared
            ]
        )

    def _end_sessions(self, term: _Term) -> None:
        now = self._clock.now()
        for boot, session in list(term.session_by_boot.items()):
            if now - session.seen_at > self._timing.listed_s:
                term.digest.drop_daemon(boot)
            if now - session.seen_at > self._timing.surely_ended_s:
                self._lapse_shares(term, session)
                del term.session_by_boot[boot]
                term.digest.drop_daemon(boot)
                if self._use_tracker is not None:
                    self._use_tracker.drop_uses(boot)
                logging.info("control: Session of %s ended.", boot)

    def _lapse_shares(self, term: _Term, session: _Session) -> None:
        """Reserve what a daemon without a lease may still have in use."""
        boot = session.daemon.boot
        if boot in term.lapsed_until_by_boot:
            return
        held_by_key = term.ledger.held(boot)
        term.ledger.lapse(boot, held_by_key)
        self._set_lapse_end(term, boot, session.runs_last_s)
        observe.log_event(
            "shares",
            "lapsed",
            boot=boot,
            held_by_key=held_by_key,
            silent_s=self._clock.now() - session.seen_at,
            until_s=term.lapsed_until_by_boot[boot] - self._clock.now(),
        )
        for other in term.session_by_boot.values():
            if other is not session and other.seen_at > session.seen_at:
                self._free_former_boots(term, other.daemon)

    async def _assign_targets(self, term: _Term) -> None:
        """Grant each unowned engine to a daemon, then select a hand-over."""
        view = self._machine.view
        owned_by_boot: dict[str, list[str]] = collections.defaultdict(list)
        unowned = []
        for info in list(term.digest.target_by_id.values()):
            if not self._is_engine(info.pool):
                continue
            owner = self._live_owner(term, info.id)
            if owner is not None:
                owned_by_boot[owner].append(info.id)
            elif not info.leaving:
                unowned.append(info)
        candidates = [
            s.daemon
            for s in term.session_by_boot.values()
            if not s.daemon.leaving
        ]
        for info in unowned if candidates else ():
            chosen = _choose_owner(info, candidates, owned_by_boot)
            epoch = 0
            if info.id in view.ownership_by_target:
                epoch = view.ownership_by_target[info.id].epoch
            grant = catalogue.Grant(info.id, chosen.boot, epoch)
            await self._steps.reach(wire.Step.GRANT, wire.Phase.BEFORE)
            await self._propose(catalogue.Command(grant=grant))
            await self._steps.reach(wire.Step.GRANT, wire.Phase.AFTER)
            owned_by_boot[chosen.boot].append(info.id)
            logging.info(
                "control: Target %s granted to %s.", info.id, chosen.boot
            )
        self._rebalance(term, candidates, owned_by_boot)

    def _is_engine(self, pool: str) -> bool:
        entry = self._machine.view.pool_by_id.get(pool)
        return (
            entry is not None and entry.value.kind is catalogue.PoolKind.ENGINE
        )

    def _live_owner(self, term: _Term, target: str) -> str | None:
        """Return the owner; None if it released the target or is gone.

        An owner without a session counts until earlier leases have expired.
        """
        ownership = self._machine.view.ownership_by_target.get(target)
        if ownership is None or ownership.owner is None:
            return None
        alive = ownership.owner in term.session_by_boot
        if alive or not self._earlier_leases_expired(term):
            return ownership.owner
        return None

    def _rebalance(
        self,
        term: _Term,
        candidates: list[_messages.DaemonInfo],
        owned_by_boot: dict[str, list[str]],
    ) -> None:
        """Select at most one target to hand over, to even out ownership.

        The daemon with the most targets hands it over if another daemon has
        at least two fewer.
        """
        term.hand_over_by_boot.clear()
        if not candidates or not self._earlier_leases_expired(term):
            return
        boots = [daemon.boot for daemon in candidates]
        most = max(boots, key=lambda boot: len(owned_by_boot[boot]))
        least = min(boots, key=lambda boot: len(owned_by_boot[boot]))
        if len(owned_by_boot[most]) - len(owned_by_boot[least]) >= 2:
            order = _fleet.rendezvous(least, owned_by_boot[most])
            term.hand_over_by_boot[most] = order[0]

    async def _propose(self, command: catalogue.Command) -> object:
        return await self._node.propose(wire.encode(command))


def limit_of(view: catalogue.View, key: str) -> int | None:
    """Return the catalogue's limit for a share key, None if unlimited.

    Keys are ``concurrency/KIND/ID`` and ``rate/KIND/ID``; rates are in
    thousandths of a request per second. The limit of a deleted entry is 0.
    """
    what, kind, entry_id = key.split("/", 2)
    entry = view.by_kind[catalogue.Kind(kind)].get(entry_id)
    if entry is None:
        return 0
    limits = entry.value.limits
    if what == "concurrency":
        return limits.concurrency
    return None if limits.rate is None else int(limits.rate * MILLI)


def _choose_owner(
    info: _messages.TargetInfo,
    candidates: list[_messages.DaemonInfo],
    owned_by_boot: dict[str, list[str]],
) -> _messages.DaemonInfo:
    """Choose by fewest owned targets, same data centre, then hash order."""
    order = _fleet.rendezvous(info.id, [d.boot for d in candidates])
    rank_by_boot = {boot: rank for rank, boot in enumerate(order)}
    return min(
        candidates,
        key=lambda daemon: (
            len(owned_by_boot[daemon.boot]),
            daemon.datacentre != info.datacentre,
            rank_by_boot[daemon.boot],
        ),
    )


def _instance_of(info: _messages.TargetInfo) -> targets.Instance:
    return targets.Instance(
        info.id,
        info.pool,
        info.address,
        info.datacentre,
        software=info.software,
    )


def _may_be_held(request: _messages.Heartbeat) -> bool:
    """Whether a heartbeat may be held during an election.

    One that declares shares may not: holding it let limits of 40 be exceeded
    by up to 6 while an owner was partitioned.
    """
    return not request.held_by_key and not request.wanted_by_key


def _relayed(request: object) -> object:
    return dataclasses.replace(request, relayed=True)
