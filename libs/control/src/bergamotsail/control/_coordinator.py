"""The leader's side of sessions: leases, shares, targets and turns.

All of it is soft state of one term. What a new leader can't know, leases
and shares given before its election, it waits out.
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
from bergamotsail.control import _turns
from bergamotsail import observe
from bergamotsail import quorum
from bergamotsail import targets
from bergamotsail import wire

# Sessions outlive a heartbeat that was refused; the lead of the log does not
# outlive a replica that is later than its election.
HEARTBEAT_SHED_S = 0.3
MAX_EFFECTS = 500
# Bytes of changes in the answer to a heartbeat; a link of 1 Mbit/s carries
# them in 0.5 s, and a daemon waits for an answer for 0.6 s and more.
MAX_EFFECT_BYTES = 65_536
STATE_BATCH = 500
# Bytes of one piece of a table: what a link of 1 Mbit/s carries well within
# the second after which a fetch without a piece is given up.
STATE_PART_BYTES = 32_768
RELAY_TIMEOUT_S = 2.0
ASSIGN_INTERVAL_S = 0.25
LEAD_POLL_S = 0.05
MILLI = 1000
# A heartbeat that meets no leader waits so long for one. Daemons wait 0.6 s
# for an answer, and an election takes 0.5 to 0.9 s.
HOLD_S = 0.45
HOLD_POLL_S = 0.02


class UseTracker(abc.ABC):
    """Keeps count of the requests that run at targets."""

    @abc.abstractmethod
    def take_uses(
        self, boot: str, uses: collections.abc.Sequence[_messages.Use]
    ) -> None:
        """Take all that a daemon runs now."""

    @abc.abstractmethod
    def drop_uses(self, boot: str) -> None:
        """Forget a daemon whose session ended."""

    @abc.abstractmethod
    def targets_changed(
        self, known: collections.abc.Sequence[_messages.TargetInfo]
    ) -> None:
        """Look at the targets again."""

    def on_new_start(
        self, told: collections.abc.Callable[[str, int], None]
    ) -> None:
        """Say whom to tell of a target that says it started anew.

        Args:
            told: takes the incarnation that was known, and when the target
                says that it started, in milliseconds of Unix time.
        """


class _Session:
    """What the leader knows of one boot of a daemon."""

    def __init__(self, daemon: _messages.DaemonInfo) -> None:
        self.daemon = daemon
        self.sequence = -1
        self.seen_at = 0.0
        self.runs_last_s = 0.0


class _Term:
    """The soft state of one term of leadership.

    Args:
        sharers: daemons that may hold shares given by earlier leaders.
    """

    def __init__(
        self,
        term: int,
        now: float,
        quarantine: _quarantine.Quarantine,
        notes: _share_notes.ShareNotes,
    ) -> None:
        self.quarantine = quarantine
        self.term = term
        self.started_at = now
        self.digest = _digest.DigestLog(term)
        self.ledger = _ledger.Ledger()
        self.notes = notes
        self.undeclared: set[str] = set()
        # When the runs of a silent daemon have surely ended.
        self.lapsed_until_by_boot: dict[str, float] = {}
        self.fleet = _fleet.Fleet()
        self.session_by_boot: dict[str, _Session] = {}
        self.store_by_name: dict[str, _turns.StoreQueue] = {}
        self.hand_over_by_boot: dict[str, str] = {}
        self.status_by_target: dict[str, _messages.TargetStatus] = {}


class Coordinator:
    """Answers daemons on a replica; an async context manager.

    Args:
        use_keeper: with one, the leader itself gives the orders to all
            targets, under its term as fencing number, and grants none.
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
        use_keeper: UseTracker | None = None,
        metrics: observe.Metrics | None = None,
    ) -> None:
        self._metrics = metrics or observe.Metrics()
        self._address = address
        self._node = node
        self._machine = machine
        self._use_keeper = use_keeper
        self._instances = instances
        self._transport = transport
        self._timing = timing
        self._list_interval_s = list_interval_s
        self._floor = floor
        self._clock = clock
        self._steps = steps
        self._term = self._new_term(-1, 0.0)
        self._digest = _digest.Digest()
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "Coordinator":
        if self._use_keeper is not None:
            self._use_keeper.on_new_start(self._take_new_start)
        self._background.start(self._read_list, self._assign)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()

    def attach(self, digest: _digest.Digest) -> None:
        """Give the digest of this instance's own daemon."""
        self._digest = digest

    def serve(self, server: wire.PeerServer) -> None:
        """Answer the calls of daemons."""
        server.serve(_messages.HEARTBEAT, self.on_heartbeat, HEARTBEAT_SHED_S)
        server.serve(_messages.STATE, self.on_state)
        server.serve(_messages.COMMAND, self.on_command)
        server.serve(_messages.FIND_CLAIM, self.on_find_claim)
        server.serve(_messages.TURN, self.on_turn)
        server.serve(_messages.TURN_END, self.on_turn_end)
        server.serve(_messages.ALONE, self.on_alone)
        server.serve(_messages.STATUS, self.on_status)

    # Calls from daemons.

    async def on_heartbeat(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply:
        """Renew a session."""
        arrived_at = self._clock.now()
        if not await self._leads_soon(HOLD_S if _may_wait(request) else 0.0):
            return await self._relay(_messages.HEARTBEAT, request)
        term = self._current()
        daemon = request.daemon
        session = term.session_by_boot.setdefault(
            daemon.boot, _Session(daemon)
        )
        if request.sequence <= session.sequence:
            raise wire.ConflictError(
                "This heartbeat is older than one already answered."
            )
        session.sequence = request.sequence
        session.seen_at = self._clock.now()
        session.daemon = daemon
        session.runs_last_s = request.runs_last_s
        self._declare(term, request)
        share_by_key = self._shares(term, request)
        if share_by_key:
            held_by_key = term.ledger.held(daemon.boot)
            await term.notes.cover(daemon, request.runs_last_s, held_by_key)
        await term.quarantine.take(daemon.boot, request.ends, arrived_at)
        if not self._node.holds_lease() or self._current() is not term:
            raise self._node.not_leader()
        term.digest.put_daemon(daemon)
        self._take_statuses(term, request)
        self._take_leaving(term, request)
        if self._use_keeper is not None:
            self._use_keeper.take_uses(daemon.boot, request.uses)
        # What was acknowledged was applied here first, so this index covers
        # it; commit may be ahead of what the effects show.
        commit = self._machine.view.index
        effects, behind = self._effects(request)
        reply = _messages.HeartbeatReply(
            self._address,
            term.term,
            commit,
            effects,
            behind,
            self._noted_shares(term, request, share_by_key),
            term.digest.delta(request.digest_term, request.digest_version),
            self._hand_over(term, daemon.boot),
            tuple(member.address for member in self._node.config.members),
            term.quarantine.suspects(),
        )
        await self._steps.reach(wire.Step.HEARTBEAT, wire.Phase.AFTER)
        return reply

    async def on_state(
        self, request: _messages.StateRequest
    ) -> collections.abc.AsyncIterator[_messages.StatePiece]:
        """Stream what changed in the view, or all of it."""
        index = self._machine.view.index
        effects = None
        if request.after is not None:
            effects = self._machine.effects_after(request.after)
        whole = effects is None
        if effects is None:
            effects = self._machine.view.effects()
        batch: list[catalogue.Effect] = []
        for effect in effects:
            *parts, last = catalogue.split_effect(
                effect.compressed(), STATE_PART_BYTES
            )
            for part in parts:
                yield _messages.StatePiece(index, (*batch, part), whole)
                batch = []
                await asyncio.sleep(0)
            batch.append(last)
            if len(batch) >= STATE_BATCH:
                yield _messages.StatePiece(index, tuple(batch), whole)
                batch = []
                await asyncio.sleep(0)
        yield _messages.StatePiece(index, tuple(batch), whole)

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
        """Look a key up."""
        if not self._node.holds_lease():
            return await self._relay(_messages.FIND_CLAIM, request)
        found = self._machine.find_claim(request.member, request.key)
        return _messages.CommandReply(claim=found)

    async def on_turn(
        self, request: _messages.TurnRequest
    ) -> _messages.TurnReply:
        """Queue a load for its store."""
        if not self._node.holds_lease():
            return await self._relay(
                _messages.TURN, request, request.wait_s + RELAY_TIMEOUT_S
            )
        queue = self._store(request.store)
        return await queue.take(request, self._weights())

    async def on_turn_end(self, request: _messages.TurnEnd) -> _messages.Done:
        """Let the next load start."""
        if not self._node.holds_lease():
            return await self._relay(_messages.TURN_END, request)
        self._store(request.store).end(request.turn, self._weights())
        return _messages.Done()

    async def on_alone(
        self, request: _messages.AloneRequest
    ) -> _messages.AloneReply:
        """Let one copy at a time run of a request that is suspected."""
        if not self._node.holds_lease():
            timeout_s = request.wait_s + RELAY_TIMEOUT_S
            return await self._relay(_messages.ALONE, request, timeout_s)
        held_back = self._current().quarantine
        granted = await held_back.acquire_exclusive(
            request.boot, request.identity, request.wait_s
        )
        return _messages.AloneReply(granted)

    async def on_status(
        self, request: _messages.Status
    ) -> _messages.StatusReply:
        """Describe the log and the sessions."""
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
            tuple(self._current().digest.daemon_by_boot.values()),
            self._machine.claims,
            sum(len(by_id) for by_id in view.by_kind.values()),
        )

    async def _leads_soon(self, hold_s: float) -> bool:
        """Whether this replica leads; waits while no leader is heard.

        Who beats while there is no leader hears of the next one as soon as
        it leads, instead of a pause later.
        """
        gives_up_at = self._clock.now() + hold_s
        while not self._node.holds_lease():
            known = self._node.has_leader_contact and not self._node.is_leader
            if known or self._clock.now() >= gives_up_at:
                break
            await self._clock.sleep(HOLD_POLL_S)
        return self._node.holds_lease()

    async def _relay(
        self,
        call: wire.Call,
        request: object,
        timeout_s: float = RELAY_TIMEOUT_S,
    ) -> object:
        """Pass a call on to the leader, once."""
        leader = self._node.leader
        mine = leader is None or leader.address == self._address
        if mine or request.relayed or not self._node.has_leader_contact:
            raise self._node.not_leader()
        relayed = _relayed(request)
        return await self._transport.call(
            leader.address, call, relayed, timeout_s
        )

    # Parts of a heartbeat.

    def _current(self) -> _Term:
        """Return the soft state of this term, new with each term."""
        if self._term.term != self._node.term:
            self._term = self._new_term(self._node.term, self._clock.now())
            self._take_over(self._term)
        return self._term

    def _new_term(self, number: int, now: float) -> _Term:
        held_back = _quarantine.Quarantine(
            number, lambda: self._machine.view, self._propose, self._clock
        )
        notes = _share_notes.ShareNotes(
            lambda: self._machine.sharer_by_boot, self._propose
        )
        return _Term(number, now, held_back, notes)

    def _take_over(self, term: _Term) -> None:
        """Start a term from what this replica's own daemon knew.

        An empty start would tell every daemon that there are no targets
        until the list is read and each owner has sent a heartbeat. A
        daemon that is gone meanwhile loses its session as if it had been
        seen now, which is no sooner than any lease of it can have ended.
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
            self._set_lapsed(term, sharer.boot, sharer.runs_last_s)
        self._publish_fleet(term)

    def _settled(self, term: _Term) -> bool:
        """Whether leases given by earlier leaders have surely ended."""
        since_s = self._clock.now() - term.started_at
        return since_s > self._timing.surely_ended_s

    def _may_raise(self, term: _Term) -> bool:
        """Whether shares may grow.

        Either earlier leaders' leases have ended, or all daemons that may
        hold shares of theirs have said what they hold: leads that moved
        each 2.5 s refused callers where only the former counted.
        """
        return self._settled(term) or not term.undeclared

    def _declare(self, term: _Term, request: _messages.Heartbeat) -> None:
        """Take a daemon's word for its shares, if it may be relied on."""
        boot = request.daemon.boot
        self._end_former_starts(term, request.daemon)
        if request.digest_term == term.term:
            # Sent after a reply of this term, so after all of earlier ones:
            # no share that it was given is missing from its word.
            term.undeclared.discard(boot)
        held_by_key = dict(request.held_by_key)
        if boot in term.undeclared:
            noted = self._machine.sharer_by_boot[boot].most_by_key
            for key, most in noted.items():
                held_by_key[key] = max(most, held_by_key.get(key, 0))
        term.lapsed_until_by_boot.pop(boot, None)
        term.ledger.declare(boot, held_by_key, request.wanted_by_key)

    def _end_former_starts(
        self, term: _Term, daemon: _messages.DaemonInfo
    ) -> None:
        """Free what an earlier start at the same address had in use.

        Two processes can't listen at one address, so it has ended.
        """
        for boot in list(term.lapsed_until_by_boot):
            sharer = self._machine.sharer_by_boot.get(boot)
            if boot == daemon.boot or sharer is None:
                continue
            if sharer.address == daemon.address:
                self._free_shares(term, boot, "started again")

    def _set_lapsed(self, term: _Term, boot: str, runs_last_s: float) -> None:
        """Hold the shares of a silent daemon until its runs have ended."""
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

    def _noted_shares(
        self,
        term: _Term,
        request: _messages.Heartbeat,
        share_by_key: dict[str, int],
    ) -> dict[str, int]:
        """Lower shares to what the log allows.

        Rates are noted by no amount: nothing outlasts the lease there.
        """
        boot = request.daemon.boot
        allowed = {}
        for key, share in share_by_key.items():
            most = share
            if key.startswith(_ledger.CONCURRENCY):
                most = term.notes.most(boot, key)
            elif not term.notes.knows(boot):
                most = request.held_by_key.get(key, 0)
            allowed[key] = min(share, most)
        return allowed

    def _take_statuses(
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

    def _take_leaving(self, term: _Term, request: _messages.Heartbeat) -> None:
        """Take what targets told a daemon, ahead of the list."""
        news = [
            target
            for target in request.leaving
            if term.fleet.said_leaving(target)
        ]
        for target in news:
            observe.log_event(
                "list", "said_leaving", target=target, by=request.daemon.boot
            )
        if news:
            self._publish_fleet(term)

    def _put_target(
        self,
        term: _Term,
        source: _messages.TargetInfo | targets.Instance,
        leaving: bool,
    ) -> None:
        status = term.status_by_target.get(source.id)
        said_so = status is not None and status.leaving
        term.digest.put_target(
            _messages.TargetInfo(
                source.id,
                source.pool,
                source.address,
                source.datacentre,
                leaving or said_so,
                status,
            )
        )

    def _effects(
        self, request: _messages.Heartbeat
    ) -> tuple[tuple[catalogue.Effect, ...], bool]:
        if request.applied is None:
            return (), False
        found = self._machine.effects_after(request.applied)
        if found is None or len(found) > MAX_EFFECTS:
            return (), True
        size = sum(effect.size for effect in found)
        if request.fetches and size > MAX_EFFECT_BYTES:
            return (), True
        return tuple(found), False

    def _shares(
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
                # What the log allows is rounded up, so it is no share.
                share = min(share, request.held_by_key.get(key, 0))
            shares[key] = share
        return shares

    def _hand_over(self, term: _Term, boot: str) -> tuple[str, ...]:
        target = term.hand_over_by_boot.get(boot)
        return (target,) if target is not None else ()

    def _store(self, name: str) -> _turns.StoreQueue:
        stores = self._current().store_by_name
        if name not in stores:
            stores[name] = _turns.StoreQueue(self._clock)
        return stores[name]

    def _weights(self) -> dict[str, float]:
        members = self._machine.view.member_by_id
        return {name: entry.value.weight for name, entry in members.items()}

    # Tasks while leading.

    async def _read_list(self) -> None:
        """Read the list at intervals, and at once with a new lead."""
        read_at = float("-inf")
        read_in = -1
        while True:
            due = self._clock.now() - read_at >= self._list_interval_s
            leads = self._node.holds_lease()
            if leads and (due or read_in != self._node.term):
                read_at, read_in = self._clock.now(), self._node.term
                await observe.timed(
                    self._metrics,
                    "list",
                    self._guarded,
                    self._read_list_once,
                )
            await self._clock.sleep(min(LEAD_POLL_S, self._list_interval_s))

    async def _read_list_once(self) -> None:
        term = self._current()
        try:
            instances = await self._instances.read()
            term.fleet.update(instances, self._clock.now())
        finally:
            self._publish_fleet(term)

    def _take_new_start(self, target: str, start_time_ms: int) -> None:
        """Take a target's own word that it started anew."""
        term = self._current()
        start = term.fleet.started(target, start_time_ms)
        observe.log_event("list", "new_start", target=target, now=start)
        self._publish_fleet(term)

    async def _guarded(
        self, work: collections.abc.Callable[[], collections.abc.Awaitable]
    ) -> None:
        """Let no failure end a task that must go on."""
        try:
            await work()
        except wire.ServingError as error:
            logging.debug("control: Not done. %s", error.message)
        except Exception:
            logging.exception("control: A round broke.")

    def _publish_fleet(self, term: _Term) -> None:
        known = set()
        for instance, leaving in term.fleet.all():
            known.add(instance.id)
            self._put_target(term, instance, leaving)
        for target in set(term.digest.target_by_id) - known:
            term.digest.drop_target(target)
        if self._use_keeper is not None:
            infos = tuple(term.digest.target_by_id.values())
            self._use_keeper.targets_changed(infos)

    async def _assign(self) -> None:
        while True:
            await self._clock.sleep(ASSIGN_INTERVAL_S)
            if self._node.holds_lease():
                await self._guarded(self._lead_once)

    async def _lead_once(self) -> None:
        term = self._current()
        self._end_sessions(term)
        await self._tend_sharers(term)
        await term.quarantine.tend()
        if self._use_keeper is None:
            await self._assign_once(term)
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

    async def _tend_sharers(self, term: _Term) -> None:
        """Free what silent daemons surely don't use, and note it."""
        now = self._clock.now()
        for boot, until in list(term.lapsed_until_by_boot.items()):
            if now > until:
                self._free_shares(term, boot, "its runs have ended")
        if not self._settled(term):
            return
        kept = term.session_by_boot.keys() | term.lapsed_until_by_boot.keys()
        gone = self._machine.sharer_by_boot.keys() - kept
        if gone:
            await term.notes.forget(gone)
        await term.notes.lower(
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
                self._lapse(term, session)
                del term.session_by_boot[boot]
                term.digest.drop_daemon(boot)
                if self._use_keeper is not None:
                    self._use_keeper.drop_uses(boot)
                logging.info("control: Session of %s ended.", boot)

    def _lapse(self, term: _Term, session: _Session) -> None:
        """Hold back what a daemon without a lease may have in use."""
        boot = session.daemon.boot
        if boot in term.lapsed_until_by_boot:
            return
        held_by_key = term.ledger.held(boot)
        term.ledger.lapse(boot, held_by_key)
        self._set_lapsed(term, boot, session.runs_last_s)
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
                self._end_former_starts(term, other.daemon)

    async def _assign_once(self, term: _Term) -> None:
        """Give every unowned engine an owner; then even out by one."""
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
                "control: Target %s goes to %s.", info.id, chosen.boot
            )
        self._even_out(term, candidates, owned_by_boot)

    def _is_engine(self, pool: str) -> bool:
        entry = self._machine.view.pool_by_id.get(pool)
        return (
            entry is not None and entry.value.kind is catalogue.PoolKind.ENGINE
        )

    def _live_owner(self, term: _Term, target: str) -> str | None:
        """Return the owner, unless it gave up or its lease surely ended."""
        ownership = self._machine.view.ownership_by_target.get(target)
        if ownership is None or ownership.owner is None:
            return None
        alive = ownership.owner in term.session_by_boot
        if alive or not self._settled(term):
            return ownership.owner
        return None

    def _even_out(
        self,
        term: _Term,
        candidates: list[_messages.DaemonInfo],
        owned_by_boot: dict[str, list[str]],
    ) -> None:
        """Ask the daemon with most targets to give one back."""
        term.hand_over_by_boot.clear()
        if not candidates or not self._settled(term):
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
    """Return the catalogue's limit behind a share key, None for no limit.

    Keys are ``concurrency/KIND/ID`` and ``rate/KIND/ID``; rates count in
    thousandths of a request a second. An entry that is gone allows nothing.
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
    """Choose the least loaded, then the nearest, then by hash."""
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
    return targets.Instance(info.id, info.pool, info.address, info.datacentre)


def _may_wait(request: _messages.Heartbeat) -> bool:
    """Whether a heartbeat may be answered late.

    One that speaks of shares may not: with these held as well, limits of 40
    were passed by up to 6 where an owner is cut off (seeds 1 and 2 of 5).
    """
    return not request.held_by_key and not request.wanted_by_key


def _relayed(request: object) -> object:
    return dataclasses.replace(request, relayed=True)
