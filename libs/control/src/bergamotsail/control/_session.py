"""The daemon's side of a session: lease, view, shares and digest."""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses
import math

from absl import logging

from bergamotsail import catalogue
from bergamotsail.control import _daemon_view
from bergamotsail.control import _digest
from bergamotsail.control import _gatherer_choice
from bergamotsail.control import _holders
from bergamotsail.control import _messages
from bergamotsail.control import _streams
from bergamotsail.control import _target_notices
from bergamotsail.control import _target_rates
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail import quorum
from bergamotsail import wire

CALL_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 3.0
# Shortest pause between heartbeats, also after a kick.
KICK_SPACING_S = 0.02
# Streams that the leader doesn't know are reported early, in heartbeats of
# this spacing, and of all daemons at most so many a second.
REPORT_SPACING_S = 0.2
MAX_REPORTS_PER_S = 200.0
MAX_SEEDS = 9
# Time without an answered heartbeat after which neighbours are tried: other
# daemons, which relay calls to the leader.
NEIGHBOUR_AFTER_S = 0.8
MAX_NEIGHBOUR_ATTEMPTS = 2
DIRECT_RETRY_INTERVAL_S = 2.0
# How much shorter the pause between heartbeats is without a valid lease.
SEARCH_SPEEDUP = 3
# Upper bound for heartbeats per second of all daemons together, to limit the
# load on the leader, where a placement call takes 0.4 ms. With 80 daemons each
# sends one every 0.53 s.
MAX_HEARTBEATS_PER_S = 150.0
# Heartbeats per lease, however many daemons there are: after a refused one,
# the next is still sent before the lease expires.
HEARTBEATS_PER_LEASE = 3
# The bound while daemons search for a leader; most of these heartbeats are
# refused cheaply.
MAX_SEARCHES_PER_S = 300.0
CATCH_UP_POLL_S = 0.01


class Participant(abc.ABC):
    """The rest of a daemon, as its session uses it at each heartbeat."""

    @abc.abstractmethod
    def held_by_key(self) -> dict[str, int]:
        """Return the share of each limit that is held."""

    @abc.abstractmethod
    def wanted_by_key(self) -> dict[str, int]:
        """Return the share of each limit for which there is demand."""

    @abc.abstractmethod
    def take_shares(self, share_by_key: dict[str, int]) -> None:
        """Apply the shares that the leader granted."""

    @abc.abstractmethod
    def statuses(self) -> tuple[_messages.TargetStatus, ...]:
        """Return the status of each owned target."""

    def declare_run_bound(self) -> float:
        """Return an upper bound for the time admitted work runs, in seconds.

        It also binds what is admitted later, until :meth:`confirm_run_bound`
        confirms that the leader knows of a higher bound.
        """
        return 0.0

    def confirm_run_bound(self) -> None:
        """Apply the last bound, which the leader has acknowledged."""

    def uses(self) -> tuple[_messages.Use, ...]:
        """Return the requests that are running at targets."""
        return ()

    @abc.abstractmethod
    def hand_over(self, targets: tuple[str, ...]) -> None:
        """Start to release the ownership of these targets."""

    @abc.abstractmethod
    def view_changed(self) -> None:
        """Process changes of the view and the digest."""


class PassiveParticipant(Participant):
    """A daemon that holds no shares and owns no targets."""

    def held_by_key(self) -> dict[str, int]:
        return {}

    def wanted_by_key(self) -> dict[str, int]:
        return {}

    def take_shares(self, share_by_key: dict[str, int]) -> None:
        return None

    def statuses(self) -> tuple[_messages.TargetStatus, ...]:
        return ()

    def hand_over(self, targets: tuple[str, ...]) -> None:
        return None

    def view_changed(self) -> None:
        return None


def _no_op() -> None:
    return None


class LeaderClient:
    """Client of the leader; finds it through any replica.

    Args:
        seeds: addresses of replicas to start from.
    """

    def __init__(
        self,
        transport: wire.PeerTransport,
        seeds: collections.abc.Sequence[str],
    ) -> None:
        self._transport = transport
        self._seeds = list(seeds)
        self._leader = self._seeds[0]
        self._neighbour: str | None = None
        self._moved = asyncio.Event()

    @property
    def moved(self) -> asyncio.Event:
        """Event that is set at the next change of *address*."""
        return self._moved

    @property
    def address(self) -> str:
        """Address for calls to the leader: its own, or a neighbour's."""
        return self._neighbour or self._leader

    @property
    def direct_address(self) -> str:
        """Last known address of the leader itself."""
        return self._leader

    @property
    def neighbour(self) -> str | None:
        """Address of the relaying daemon, None without a relay."""
        return self._neighbour

    def set_neighbour(self, neighbour: str | None) -> None:
        """Relay calls through another daemon, or None to call directly."""
        if neighbour != self._neighbour:
            logging.info(
                "session: Calls to the leader now go %s.",
                f"via {neighbour}" if neighbour else "to it directly",
            )
            self._neighbour = neighbour
            self._notify_moved()

    def found(self, address: str) -> None:
        """Set the address of the leader."""
        if address != self._leader:
            self._leader = address
            self._notify_moved()

    def _notify_moved(self) -> None:
        """Wake the tasks that wait for a change of address."""
        self._moved.set()
        self._moved = asyncio.Event()

    def replicas(self) -> tuple[str, ...]:
        """Return the known replicas, the presumed leader only if alone."""
        others = [seed for seed in self._seeds if seed != self._leader]
        return tuple(others) or (self._leader,)

    def add_seeds(self, addresses: collections.abc.Sequence[str]) -> None:
        """Add replicas to the seeds, since the first seeds may disappear."""
        known = [a for a in self._seeds if a not in addresses]
        self._seeds = [*addresses, *known][:MAX_SEEDS]

    async def call(
        self,
        call: wire.Call,
        request: object,
        timeout_s: float,
        before_attempt: collections.abc.Callable[[], None] = _no_op,
    ) -> object:
        """Call the leader; each replica is tried once.

        Args:
            before_attempt: called right before each attempt.

        Raises:
            PeerLostError: a reply was lost, so the call may have run.
            ServingError: the last error, when every replica failed.
        """
        queue = [self._leader]
        queue += [seed for seed in self._seeds if seed != self._leader]
        tried: set[str] = set()
        last_error: wire.ServingError | None = None
        while queue:
            address = queue.pop(0)
            if address in tried:
                continue
            tried.add(address)
            before_attempt()
            try:
                reply = await self._transport.call(
                    address, call, request, timeout_s
                )
                self.found(address)
                return reply
            except wire.NotLeaderError as error:
                last_error = error
                if error.use is not None:
                    queue.insert(0, error.use)
            except (wire.NotSentError, wire.ReplicaFailedError) as error:
                last_error = error
            except wire.PeerLostError as error:
                # The leader is unknown now; the next call starts elsewhere.
                self.found(queue[0] if queue else address)
                raise error
        assert last_error is not None
        raise last_error

    async def ask(
        self, call: wire.Call, request: object, timeout_s: float
    ) -> object:
        """Call the presumed leader, through the neighbour if there is one.

        One redirect is followed; the other replicas are not tried.

        Raises:
            ServingError: there was no reply of a leader.
        """
        address = self.address
        try:
            return await self._transport.call(
                address, call, request, timeout_s
            )
        except wire.NotLeaderError as error:
            if error.use in (None, address):
                raise
            return await self._transport.call(
                error.use, call, request, timeout_s
            )

    async def command(self, command: catalogue.Command) -> object:
        """Commit a command and return its typed result."""
        request = _messages.CommandRequest(command)
        reply = await self.call(_messages.COMMAND, request, COMMAND_TIMEOUT_S)
        for result in (reply.put, reply.claim, reply.version, reply.done):
            if result is not None:
                return result
        return None


class Session:
    """Keeps a daemon's session alive; an async context manager.

    While :meth:`fresh` is true, the daemon's view includes every change
    acknowledged before the lease was granted, its ownership in the view is
    valid, and it may use its shares. After the lease has expired it does
    nothing that another daemon may do by then.

    Args:
        node: the local replica, if any.
        machine: the state machine of that replica; its view is used.
    """

    def __init__(
        self,
        daemon: _messages.DaemonInfo,
        leader: LeaderClient,
        transport: wire.PeerTransport,
        timing: _messages.LeaseTiming,
        node: quorum.Node | None = None,
        machine: catalogue.CatalogueMachine | None = None,
        clock: wire.Clock = wire.LoopClock(),
        steps: wire.FaultInjector = wire.NoFaultInjector(),
    ) -> None:
        self.daemon = daemon
        self.digest = _digest.Digest()
        self.leader = leader
        self.gatherer = _gatherer_choice.GathererChoice(daemon.boot, clock)
        self.holders = _holders.HolderTable(daemon.boot, clock)
        self.observations = quarantine.Observations(clock)
        self.streams = _streams.StreamNotes(clock)
        self._report: asyncio.TimerHandle | None = None
        self.notices = _target_notices.TargetNotices()
        self.rates = _target_rates.DaemonRates(wire.make_rng(daemon.boot))
        self.budgets = limits.DaemonBudgets(
            wire.make_rng(daemon.boot),
            limits.BudgetSettings(alone_after_s=timing.alone_after_s),
        )
        self._transport = transport
        self._timing = timing
        self._node = node
        self._machine = machine
        self._own_view = _daemon_view.DaemonView(
            transport,
            lambda: self.leader.replicas(),
            lambda: len(self.digest.daemon_by_boot),
            wire.make_rng(daemon.boot).randrange(MAX_SEEDS),
            clock,
        )
        self._clock = clock
        self._steps = steps
        self._participant: Participant | None = None
        self._lease_until = float("-inf")
        self._sent_at = float("-inf")
        self._sequence = 0
        self._kicked = asyncio.Event()
        self._background = wire.BackgroundTasks()
        self._was_fresh = False
        self._direct_tried_at = float("-inf")
        self._neighbours_tried = 0
        self._previous_by_boot: dict[str, _messages.DaemonInfo] = {}
        self._previous_until = float("-inf")

    @property
    def daemon_by_boot(self) -> dict[str, _messages.DaemonInfo]:
        """Daemons with a session.

        A new leader learns of them one by one, so those known to its
        predecessor are included for the duration of a lease.
        """
        if self._clock.now() > self._previous_until:
            return self.digest.daemon_by_boot
        return self._previous_by_boot | self.digest.daemon_by_boot

    @property
    def view(self) -> catalogue.View:
        """This daemon's copy of catalogue and ownership."""
        if self._machine is not None:
            return self._machine.view
        return self._own_view.view

    @property
    def boot(self) -> str:
        """The id of this daemon process."""
        return self.daemon.boot

    @property
    def lease_until(self) -> float:
        """When the lease expires, on this daemon's clock."""
        return self._lease_until

    def attach(self, participant: Participant) -> None:
        """Set the participant; call it before the session starts."""
        self._participant = participant

    async def __aenter__(self) -> "Session":
        if self._machine is None:
            await self._own_view.__aenter__()
        self._background.start(self._run)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._report is not None:
            self._report.cancel()
        await self._background.stop()
        await self._own_view.__aexit__()

    def view_age_s(self) -> float:
        """Return how long ago the view was known to have all changes.

        The leader or any replica that hears it confirms that.
        """
        if self._machine is not None:
            return self.silent_s()
        return self._own_view.age_s()

    def silent_s(self) -> float:
        """Return the time since the heartbeat that the lease counts from."""
        sent_at = self._lease_until - self._timing.usable_s
        return self._clock.now() - sent_at

    def admit_within_budget(self, member: str, cost: float) -> None:
        """Admit a request of a member as far as this daemon decides.

        Raises:
            LimitError: the member is above its limit.
            OverloadError: this daemon's part of the budget is spent.
        """
        budget = self.view.budget(member)
        if budget is None:
            return
        self.budgets.admit(
            member, budget, cost, self._leader_contact(), self._clock.now()
        )

    @property
    def goes_through_neighbour(self) -> bool:
        """Whether calls to the leader are relayed by another daemon."""
        return self.leader.neighbour is not None

    def fresh(self) -> bool:
        """Whether the lease is valid now."""
        return self._clock.now() < self._lease_until

    def check_fresh(self) -> None:
        """Check that the lease is valid.

        Raises:
            LeaseLostError: the lease has expired.
        """
        if self.fresh():
            return
        others = [
            info.address
            for info in self.digest.daemon_by_boot.values()
            if info.boot != self.boot and not info.leaving
        ]
        raise wire.LeaseLostError(
            "This instance can't reach the leader, so it accepts no requests. "
            "Use another address.",
            retry_after_s=self._timing.lease_s,
            use=others[0] if others else None,
        )

    def takes_work(self, target: _messages.TargetInfo) -> bool:
        """Whether new work may be sent to a target now."""
        return self.notices.takes_work(target, self._clock.now())

    def _leader_contact(self) -> limits.LeaderContact:
        return limits.LeaderContact(self.silent_s(), len(self.daemon_by_boot))

    def is_limited(self, target: _messages.TargetInfo) -> bool:
        """Whether a target names a limit of its requests."""
        contact, now = self._leader_contact(), self._clock.now()
        return self.rates.limit(target, contact, now) is not None

    def may_send(self, target: _messages.TargetInfo) -> bool:
        """Whether a target's limit allows a request that no leader placed.

        Call ``rates.use`` once it is sent.
        """
        contact = self._leader_contact()
        alone = contact.silent_s > self._timing.alone_after_s
        return self.rates.may_send(target, contact, alone, self._clock.now())

    def unreported_leaving(self) -> tuple[str, ...]:
        """Return leaving targets that the leader doesn't know as such."""
        return self.notices.unreported(self.digest.target_by_id)

    def open_targets(
        self,
    ) -> collections.abc.Iterator[_messages.TargetInfo]:
        """Yield the targets to which new work may be sent now."""
        return filter(self.takes_work, self.digest.target_by_id.values())

    def owns(self, target: str, epoch: int) -> bool:
        """Whether this daemon owns the target in this epoch now."""
        ownership = self.view.ownership_by_target.get(target)
        return (
            ownership is not None
            and ownership.owner == self.boot
            and ownership.epoch == epoch
            and self.fresh()
        )

    def kick(self) -> None:
        """Send the next heartbeat early."""
        self._kicked.set()

    def note_stream(
        self,
        stream: str,
        origin: catalogue.StreamOrigin,
        keep_s: float,
        known_to: int,
    ) -> None:
        """Record where a stream began, and report it soon if need be.

        Args:
            known_to: the term of the leader that granted its placement, -1
                without one.
        """
        self.streams.note(stream, origin, keep_s, known_to)
        if known_to != self.digest.term and self._report is None:
            spacing_s = len(self.digest.daemon_by_boot) / MAX_REPORTS_PER_S
            self._report = asyncio.get_running_loop().call_later(
                max(REPORT_SPACING_S, spacing_s), self._report_streams
            )

    def _report_streams(self) -> None:
        self._report = None
        self.kick()

    def set_leaving(self) -> None:
        """Mark this daemon as leaving, and send that with a heartbeat."""
        self.daemon = dataclasses.replace(self.daemon, leaving=True)
        self.kick()

    async def _run(self) -> None:
        while True:
            try:
                await self._send_heartbeat()
            except wire.ServingError as error:
                self._log_failed_heartbeat(error)
            except Exception:
                logging.exception("session: Unexpected heartbeat error.")
            self._log_freshness()
            await self._clock.sleep(KICK_SPACING_S)
            await wire.wait_event(self._kicked, self._pause_s())
            self._kicked.clear()

    def _pause_s(self) -> float:
        """Return how long to wait before the next heartbeat.

        Without a valid lease it is usually shorter, to find a leader soon.
        """
        daemons = len(self.digest.daemon_by_boot)
        usual_s = self._timing.heartbeat_s
        if self.fresh():
            rate_limited_s = daemons / MAX_HEARTBEATS_PER_S
            max_s = self._timing.usable_s / HEARTBEATS_PER_LEASE
            return max(usual_s, min(rate_limited_s, max_s))
        return max(usual_s / SEARCH_SPEEDUP, daemons / MAX_SEARCHES_PER_S)

    def _log_failed_heartbeat(self, error: wire.ServingError) -> None:
        observe.log_event(
            "session",
            "heartbeat_failed",
            code=error.code,
            leader=self.leader.direct_address,
            via=self.leader.neighbour,
            silent_s=round(self.silent_s(), 3),
            index=self.view.index,
            routes_version=self.view.routes.table.version,
        )

    def _log_freshness(self) -> None:
        fresh = self.fresh()
        if fresh != self._was_fresh:
            logging.info("session: Lease %s.", "held" if fresh else "lost")
            self._was_fresh = fresh

    async def _send_heartbeat(self) -> None:
        assert self._participant is not None
        self._sequence += 1
        self.observations.forget(self.view.blocked_keys)
        self.observations.take_released(self.view.released_keys)
        last_end, ends = self.observations.pending(self.digest.term)
        built_at = self._clock.now()
        request = _messages.Heartbeat(
            self.daemon,
            self._sequence,
            None if self._machine is not None else self.view.index,
            self._participant.held_by_key(),
            self._participant.wanted_by_key(),
            self._participant.statuses(),
            self.digest.term,
            self.digest.version,
            uses=self._participant.uses(),
            ends=ends,
            leaving=self.unreported_leaving(),
            runs_last_s=self._participant.declare_run_bound(),
            spending=self.budgets.take_report(),
            streams=self.streams.pending(self.digest.term),
            rates=self.rates.pending(self.digest.term, self._clock.now()),
            wanted_permits=self.rates.take_wanted(),
        )
        await self._steps.reach(wire.Step.HEARTBEAT, wire.Phase.BEFORE)
        try:
            reply = await self._send(request)
        except wire.ServingError:
            self.budgets.return_report(request.spending)
            raise
        sent_at = self._sent_at
        answered_at = self._clock.now()
        self.leader.found(reply.leader)
        self.leader.add_seeds(reply.replicas)
        self.observations.acknowledge(reply.term, last_end)
        self.streams.acknowledge(reply.term, request.streams)
        self.rates.acknowledge(reply.term, request.digest_term, built_at)
        self.rates.grant(reply.permits, answered_at)
        self.observations.take_suspects(reply.suspects)
        if await self._catch_up(reply):
            self._log_renewal(sent_at, answered_at)
            self._renew(sent_at)
        else:
            self._own_view.fetch(
                reply.leader,
                reply.commit,
                lambda: self._renew_after_fetch(sent_at),
            )
        self.take_digest(reply.digest)
        self.holders.update(reply.holders)
        self.gatherer.update(reply.gatherers, len(self.daemon_by_boot))
        if reply.digest.more:
            self.kick()
        self._participant.confirm_run_bound()
        self._participant.take_shares(reply.share_by_key)
        self.budgets.take_shares(reply.admit_share_by_member)
        if reply.hand_over:
            self._participant.hand_over(reply.hand_over)
        self._participant.view_changed()

    def _log_renewal(self, sent_at: float, answered_at: float) -> None:
        """Log a first lease, or the renewal of one that has expired."""
        if self.fresh():
            return
        now = self._clock.now()
        gap_s = now - self._lease_until
        logging.info(
            "session: Lease granted. left_s=%.3f answer_s=%.3f "
            "catch_up_s=%.3f gap_s=%s",
            sent_at + self._timing.usable_s - now,
            answered_at - sent_at,
            now - answered_at,
            "none" if math.isinf(gap_s) else f"{gap_s:.3f}",
        )

    def _renew(self, sent_at: float) -> None:
        until = sent_at + self._timing.usable_s
        self._lease_until = max(self._lease_until, until)
        self._own_view.confirm(sent_at)

    def _renew_after_fetch(self, sent_at: float) -> None:
        self._renew(sent_at)
        self.kick()

    def take_digest(self, delta: _messages.DigestDelta) -> None:
        """Apply a digest delta.

        A new leader knows few daemons at first, so those known to earlier
        leaders are kept for the duration of a lease, also over several
        leaders in a row. Otherwise, after two changes of the leader in quick
        succession, callers might be told only 3 of 30 addresses.
        """
        if delta.full:
            self._previous_by_boot = dict(self.daemon_by_boot)
            self._previous_until = self._clock.now() + self._timing.lease_s
        self.digest.apply(delta)

    async def _send(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply:
        """Send a heartbeat to the leader, through a neighbour if needed.

        An instance that can't reach the replicas may reach daemons that
        can. These relay no fetches, so the reply then has all changes.
        """
        neighbour = self.leader.neighbour
        if neighbour is not None:
            reply = await self._send_via_neighbour(request, neighbour)
            if reply is not None:
                return reply
        elif (gatherer := self.gatherer.address()) is not None:
            reply = await self._send_via_gatherer(request, gatherer)
            if reply is not None:
                return reply
        try:
            reply = await self.leader.call(
                _messages.HEARTBEAT,
                request,
                self._timing.call_s,
                self._record_send_time,
            )
            self.leader.set_neighbour(None)
            return reply
        except wire.ServingError:
            if self.silent_s() < NEIGHBOUR_AFTER_S:
                raise
            reply = await self._send_via_any_neighbour(request)
            if reply is None:
                raise
            return reply

    async def _send_via_gatherer(
        self, request: _messages.Heartbeat, gatherer: str
    ) -> _messages.HeartbeatReply | None:
        """Send through a replica that gathers calls.

        Returns:
            None if the replica can't pass it on.

        Raises:
            PeerLostError: the leader may have it; a repeated one would be
                refused.
            ServingError: the leader refused it, or may have it.
        """
        self._record_send_time()
        try:
            return await self._transport.call(
                gatherer,
                _messages.HEARTBEAT_INDIRECT,
                request,
                self._timing.call_s,
            )
        except wire.NotLeaderError:
            return None
        except _gatherer_choice.GATHERER_ERRORS as error:
            self.gatherer.avoid(gatherer)
            observe.log_event(
                "session",
                "avoid_gatherer",
                gatherer=gatherer,
                code=error.code,
                silent_s=round(self.silent_s(), 3),
            )
            if isinstance(error, wire.PeerLostError):
                raise
            return None

    def _record_send_time(self) -> None:
        """Record the send time of this attempt.

        A lease counts from the attempt that was answered. Replicas hold
        heartbeats during an election, so a lease that counted from the first
        of three attempts could have expired before the reply arrives.
        """
        self._sent_at = self._clock.now()

    async def _send_via_neighbour(
        self, request: _messages.Heartbeat, neighbour: str
    ) -> _messages.HeartbeatReply | None:
        """Send through the neighbour; periodically try the leader first."""
        request = dataclasses.replace(request, fetches=False)
        calls = [(neighbour, self._timing.call_s)]
        if self._clock.now() - self._direct_tried_at > DIRECT_RETRY_INTERVAL_S:
            self._direct_tried_at = self._clock.now()
            # Half the usual timeout, since the lease is running out.
            direct = (self.leader.direct_address, self._timing.call_s / 2)
            calls.insert(0, direct)
        for address, timeout_s in calls:
            self._record_send_time()
            with contextlib.suppress(wire.ServingError):
                reply = await self._transport.call(
                    address, _messages.HEARTBEAT, request, timeout_s
                )
                if address != neighbour:
                    self.leader.set_neighbour(None)
                return reply
        return None

    async def _send_via_any_neighbour(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply | None:
        """Send through one of a few neighbours, different ones each time."""
        request = dataclasses.replace(request, fetches=False)
        neighbours = [
            info.peer_address
            for info in self.daemon_by_boot.values()
            if info.peer_address and info.boot != self.boot
        ]
        self._neighbours_tried += 1
        start = self._neighbours_tried * MAX_NEIGHBOUR_ATTEMPTS
        for number in range(min(MAX_NEIGHBOUR_ATTEMPTS, len(neighbours))):
            address = neighbours[(start + number) % len(neighbours)]
            self._record_send_time()
            with contextlib.suppress(wire.ServingError):
                reply = await self._transport.call(
                    address,
                    _messages.HEARTBEAT,
                    request,
                    self._timing.call_s / 2,
                )
                self.leader.set_neighbour(address)
                return reply
        self.leader.set_neighbour(None)
        return None

    async def _catch_up(self, reply: _messages.HeartbeatReply) -> bool:
        """Bring the view up to the commit index of the reply.

        Returns:
            False when that needs a fetch.
        """
        if self._node is not None:
            deadline = self._clock.now() + CALL_TIMEOUT_S
            while self._node.applied < reply.commit:
                if self._clock.now() > deadline:
                    raise wire.PeerLostError(
                        "The local replica lags behind the commit index."
                    )
                await self._clock.sleep(CATCH_UP_POLL_S)
            return True
        if reply.behind:
            return False
        self._own_view.apply(reply.effects, reply.commit)
        return True
