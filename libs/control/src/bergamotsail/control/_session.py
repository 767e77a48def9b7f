"""The daemon's side of a session: lease, view, shares and digest."""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses
import math

from absl import logging

from bergamotsail import catalogue
from bergamotsail.control import _digest
from bergamotsail.control import _heard
from bergamotsail.control import _messages
from bergamotsail import quarantine
from bergamotsail import quorum
from bergamotsail import wire

CALL_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 3.0
STATE_TIMEOUT_S = 30.0
# A fetch goes on for as long as pieces come.
STATE_SILENCE_S = 1.0
KICK_SPACING_S = 0.02
MOST_REPLICAS = 9
NEIGHBOUR_AFTER_S = 0.8
MOST_NEIGHBOURS = 2
DIRECT_EVERY_S = 2.0
STALE_PACE = 3
# All daemons together send about so many heartbeats a second at most: each is
# a call of the leader, and a call for a place takes that some 0.4 ms. With 80
# daemons that is one each 0.53 s.
MOST_BEATS_PER_S = 150.0
# However many daemons there are, a lease outlives the loss of two of them.
BEATS_BY_LEASE = 3
# So many while they look for a lost leader; most are refused at little cost.
MOST_SEARCHES_PER_S = 300.0
CATCH_UP_POLL_S = 0.01
# Answers whose lease waits for a fetch; the first ones are the first that
# what is fetched covers.
MAX_PENDING_RENEWALS = 100


class Participant(abc.ABC):
    """What a session asks of the rest of its daemon at each heartbeat."""

    @abc.abstractmethod
    def held_by_key(self) -> dict[str, int]:
        """Return the share of each limit that is held."""

    @abc.abstractmethod
    def wanted_by_key(self) -> dict[str, int]:
        """Return the share of each limit that could be used."""

    @abc.abstractmethod
    def take_shares(self, share_by_key: dict[str, int]) -> None:
        """Use these shares from now on."""

    @abc.abstractmethod
    def statuses(self) -> tuple[_messages.TargetStatus, ...]:
        """Return what is known of owned targets."""

    def declare_run_bound(self) -> float:
        """Return after how long all that is admitted has ended, in seconds.

        It holds from now on, also for what is admitted later, until
        :meth:`confirm_run_bound` allows more.
        """
        return 0.0

    def confirm_run_bound(self) -> None:
        """Admit what ends within the last promise, as it was taken."""

    def uses(self) -> tuple[_messages.Use, ...]:
        """Return the requests that run at targets now."""
        return ()

    @abc.abstractmethod
    def hand_over(self, targets: tuple[str, ...]) -> None:
        """Start to give these targets back."""

    @abc.abstractmethod
    def view_changed(self) -> None:
        """Look at the view and the digest again."""


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


def _nothing() -> None:
    return None


class Leader:
    """Finds the leader and calls it, through any replica.

    Args:
        seeds: addresses of the replicas.
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
        """Set when another leader is found; a new event each time."""
        return self._moved

    @property
    def address(self) -> str:
        """Where calls for the leader go: to it, or to a neighbour."""
        return self._neighbour or self._leader

    @property
    def direct_address(self) -> str:
        """Where the leader itself was last."""
        return self._leader

    @property
    def neighbour(self) -> str | None:
        """Through whom calls for the leader go, None when directly."""
        return self._neighbour

    def go_through(self, neighbour: str | None) -> None:
        """Let calls go through another daemon, or directly again."""
        if neighbour != self._neighbour:
            logging.info("session: Calls go through %s.", neighbour)
            self._neighbour = neighbour
            self._has_moved()

    def found(self, address: str) -> None:
        """Send calls for the leader there from now on."""
        if address != self._leader:
            self._leader = address
            self._has_moved()

    def _has_moved(self) -> None:
        """Wake those who wait for a call to go elsewhere."""
        self._moved.set()
        self._moved = asyncio.Event()

    def learn(self, addresses: collections.abc.Sequence[str]) -> None:
        """Ask these replicas too; the first seeds may be gone by then."""
        known = [a for a in self._seeds if a not in addresses]
        self._seeds = [*addresses, *known][:MOST_REPLICAS]

    async def call(
        self,
        call: wire.Call,
        request: object,
        timeout_s: float,
        before_try: collections.abc.Callable[[], None] = _nothing,
    ) -> object:
        """Call the leader; each replica is tried once.

        Args:
            before_try: called right before the request is sent to one.

        Raises:
            PeerLostError: an answer was lost, so the call may have run.
            ServingError: the last error, when no replica helped.
        """
        order = [self._leader]
        order += [seed for seed in self._seeds if seed != self._leader]
        tried: set[str] = set()
        last: wire.ServingError | None = None
        while order:
            address = order.pop(0)
            if address in tried:
                continue
            tried.add(address)
            before_try()
            try:
                reply = await self._transport.call(
                    address, call, request, timeout_s
                )
                self.found(address)
                return reply
            except wire.NotLeaderError as error:
                last = error
                if error.use is not None:
                    order.insert(0, error.use)
            except (wire.NotSentError, wire.ReplicaFailedError) as error:
                last = error
            except wire.PeerLostError as error:
                # Nobody knows yet who leads; ask another one first.
                self.found(order[0] if order else address)
                raise error
        assert last is not None
        raise last

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

    While :meth:`fresh` is true, the daemon's view holds every change that
    was acknowledged before the lease was given, it owns what the view says
    it owns, and it may use its shares. Once the lease ends it does nothing
    that another daemon might by then do.

    Args:
        node: the local replica, whose machine's view is then used.
    """

    def __init__(
        self,
        daemon: _messages.DaemonInfo,
        leader: Leader,
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
        self.ends = quarantine.Observations(clock)
        self.heard = _heard.TargetNotices()
        self._transport = transport
        self._timing = timing
        self._node = node
        self._machine = machine
        self._own_view = catalogue.View()
        self._clock = clock
        self._steps = steps
        self._participant: Participant | None = None
        self._lease_until = float("-inf")
        self._sent_at = float("-inf")
        self._fetching: asyncio.Task | None = None
        self._fetches_from = ""
        # Index that the view needs, and when the heartbeat was sent.
        self._waiting: list[tuple[int, float]] = []
        self._sequence = 0
        self._kicked = asyncio.Event()
        self._background = wire.BackgroundTasks()
        self._was_fresh = False
        self._direct_at = float("-inf")
        self._neighbours_tried = 0
        self._former_by_boot: dict[str, _messages.DaemonInfo] = {}
        self._former_until = float("-inf")

    @property
    def daemon_by_boot(self) -> dict[str, _messages.DaemonInfo]:
        """Daemons with a session.

        A new leader hears of them one by one; for the time of a lease
        those that its predecessor knew count as well.
        """
        if self._clock.now() > self._former_until:
            return self.digest.daemon_by_boot
        return self._former_by_boot | self.digest.daemon_by_boot

    @property
    def view(self) -> catalogue.View:
        """Catalogue and ownership as this daemon knows them."""
        if self._machine is not None:
            return self._machine.view
        return self._own_view

    @property
    def boot(self) -> str:
        """The id of this start of the daemon."""
        return self.daemon.boot

    @property
    def lease_until(self) -> float:
        """When the lease ends, on this daemon's clock."""
        return self._lease_until

    def attach(self, participant: Participant) -> None:
        """Connect the rest of the daemon before the session starts."""
        self._participant = participant

    async def __aenter__(self) -> "Session":
        self._background.start(self._run)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    def silent_s(self) -> float:
        """Return for how long the leader has not been heard."""
        sent_at = self._lease_until - self._timing.usable_s
        return self._clock.now() - sent_at

    @property
    def goes_through_neighbour(self) -> bool:
        """Whether calls for the leader go through another daemon."""
        return self.leader.neighbour is not None

    def fresh(self) -> bool:
        """Whether the lease holds at this moment."""
        return self._clock.now() < self._lease_until

    def check_fresh(self) -> None:
        """Raise the typed refusal when the lease has ended."""
        if self.fresh():
            return
        others = [
            info.address
            for info in self.digest.daemon_by_boot.values()
            if info.boot != self.boot and not info.leaving
        ]
        raise wire.LeaseLostError(
            "This instance can't reach the leader, so it takes no work. "
            "Use another address.",
            retry_after_s=self._timing.lease_s,
            use=others[0] if others else None,
        )

    def takes_work(self, target: _messages.TargetInfo) -> bool:
        """Whether a target may be sent something new right now."""
        return self.heard.takes_work(target, self._clock.now())

    def untold_leaving(self) -> tuple[str, ...]:
        """Return targets that told this daemon alone that they leave."""
        return self.heard.unreported(self.digest.target_by_id)

    def open_targets(
        self,
    ) -> collections.abc.Iterator[_messages.TargetInfo]:
        """Yield the targets that may be sent something new right now."""
        return filter(self.takes_work, self.digest.target_by_id.values())

    def owns(self, target: str, epoch: int) -> bool:
        """Whether this daemon owns the target, right now."""
        ownership = self.view.ownership_by_target.get(target)
        return (
            ownership is not None
            and ownership.owner == self.boot
            and ownership.epoch == epoch
            and self.fresh()
        )

    def kick(self) -> None:
        """Send a heartbeat soon, without waiting for its time."""
        self._kicked.set()

    def set_leaving(self) -> None:
        """Say with the next heartbeat that this daemon is leaving."""
        self.daemon = dataclasses.replace(self.daemon, leaving=True)
        self.kick()

    async def _run(self) -> None:
        while True:
            try:
                await self._send_heartbeat()
            except wire.ServingError as error:
                logging.debug("session: No heartbeat. %s", error.message)
            except Exception:
                logging.exception("session: A heartbeat broke.")
            self._log_freshness()
            await self._clock.sleep(KICK_SPACING_S)
            await wire.wait_event(self._kicked, self._pause_s())
            self._kicked.clear()

    def _pause_s(self) -> float:
        """Return how long to wait before the next heartbeat.

        A lost leader is asked for sooner.
        """
        daemons = len(self.digest.daemon_by_boot)
        usual_s = self._timing.heartbeat_s
        if self.fresh():
            spaced_s = daemons / MOST_BEATS_PER_S
            most_s = self._timing.usable_s / BEATS_BY_LEASE
            return max(usual_s, min(spaced_s, most_s))
        return max(usual_s / STALE_PACE, daemons / MOST_SEARCHES_PER_S)

    def _log_freshness(self) -> None:
        fresh = self.fresh()
        if fresh != self._was_fresh:
            logging.info("session: Lease %s.", "held" if fresh else "lost")
            self._was_fresh = fresh

    async def _send_heartbeat(self) -> None:
        assert self._participant is not None
        self._sequence += 1
        self.ends.forget(self.view.blocked_request_ids)
        last_end, ends = self.ends.pending(self.digest.term)
        request = _messages.Heartbeat(
            self.daemon,
            self._sequence,
            None if self._machine is not None else self._own_view.index,
            self._participant.held_by_key(),
            self._participant.wanted_by_key(),
            self._participant.statuses(),
            self.digest.term,
            self.digest.version,
            uses=self._participant.uses(),
            ends=ends,
            leaving=self.untold_leaving(),
            runs_last_s=self._participant.declare_run_bound(),
        )
        await self._steps.reach(wire.Step.HEARTBEAT, wire.Phase.BEFORE)
        reply = await self._send(request)
        sent_at = self._sent_at
        answered_at = self._clock.now()
        self.leader.found(reply.leader)
        self.leader.learn(reply.replicas)
        self.ends.told(reply.term, last_end)
        self.ends.take_suspects(reply.suspects)
        if await self._catch_up(reply):
            self._log_renewal(sent_at, answered_at)
            self._renew(sent_at)
        elif len(self._waiting) < MAX_PENDING_RENEWALS:
            self._waiting.append((reply.commit, sent_at))
        self.take_digest(reply.digest)
        if reply.digest.more:
            self.kick()
        self._participant.confirm_run_bound()
        self._participant.take_shares(reply.share_by_key)
        if reply.hand_over:
            self._participant.hand_over(reply.hand_over)
        self._participant.view_changed()

    def _log_renewal(self, sent_at: float, answered_at: float) -> None:
        """Log a lease that began or that ended before its renewal."""
        if self.fresh():
            return
        now = self._clock.now()
        without_s = now - self._lease_until
        logging.info(
            "session: Lease given. left_s=%.3f answer_s=%.3f "
            "catch_up_s=%.3f without=%s",
            sent_at + self._timing.usable_s - now,
            answered_at - sent_at,
            now - answered_at,
            "ever" if math.isinf(without_s) else f"{without_s:.3f} s",
        )

    def _renew(self, sent_at: float) -> None:
        until = sent_at + self._timing.usable_s
        self._lease_until = max(self._lease_until, until)

    def take_digest(self, delta: _messages.DigestDelta) -> None:
        """Take what a leader spreads; a new one starts from little.

        Those that its predecessors knew go on counting for a lease, also
        over several leaders in a row: forgotten at the second, 30 known
        daemons were 3, and callers were told of so few addresses.
        """
        if delta.full:
            self._former_by_boot = dict(self.daemon_by_boot)
            self._former_until = self._clock.now() + self._timing.lease_s
        self.digest.apply(delta)

    async def _send(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply:
        """Send a heartbeat to the leader, through a neighbour if need be.

        An instance that is cut off from the replicas may reach others that
        are not. These pass on no fetch, so all comes with the answer.
        """
        neighbour = self.leader.neighbour
        if neighbour is not None:
            reply = await self._send_as_before(request, neighbour)
            if reply is not None:
                return reply
        try:
            reply = await self.leader.call(
                _messages.HEARTBEAT,
                request,
                self._timing.call_s,
                self._sending,
            )
            self.leader.go_through(None)
            return reply
        except wire.ServingError:
            if self.silent_s() < NEIGHBOUR_AFTER_S:
                raise
            reply = await self._send_through_any(request)
            if reply is None:
                raise
            return reply

    def _sending(self) -> None:
        """Note that a heartbeat leaves now, for this try.

        A lease counts from the try that was answered. Replicas hold a
        heartbeat for a while when nobody leads; counted from the first of
        three tries, a first lease was over when it came.
        """
        self._sent_at = self._clock.now()

    async def _send_as_before(
        self, request: _messages.Heartbeat, neighbour: str
    ) -> _messages.HeartbeatReply | None:
        """Send through the same neighbour; now and then try directly."""
        request = dataclasses.replace(request, fetches=False)
        calls = [(neighbour, self._timing.call_s)]
        if self._clock.now() - self._direct_at > DIRECT_EVERY_S:
            self._direct_at = self._clock.now()
            # Shortly, since the lease runs on meanwhile.
            direct = (self.leader.direct_address, self._timing.call_s / 2)
            calls.insert(0, direct)
        for address, timeout_s in calls:
            self._sending()
            with contextlib.suppress(wire.ServingError):
                reply = await self._transport.call(
                    address, _messages.HEARTBEAT, request, timeout_s
                )
                if address != neighbour:
                    self.leader.go_through(None)
                return reply
        return None

    async def _send_through_any(
        self, request: _messages.Heartbeat
    ) -> _messages.HeartbeatReply | None:
        """Try some neighbours, each time others first."""
        request = dataclasses.replace(request, fetches=False)
        neighbours = [
            info.peer_address
            for info in self.daemon_by_boot.values()
            if info.peer_address and info.boot != self.boot
        ]
        self._neighbours_tried += 1
        start = self._neighbours_tried * MOST_NEIGHBOURS
        for number in range(min(MOST_NEIGHBOURS, len(neighbours))):
            address = neighbours[(start + number) % len(neighbours)]
            self._sending()
            with contextlib.suppress(wire.ServingError):
                reply = await self._transport.call(
                    address,
                    _messages.HEARTBEAT,
                    request,
                    self._timing.call_s / 2,
                )
                self.leader.go_through(address)
                return reply
        self.leader.go_through(None)
        return None

    async def _catch_up(self, reply: _messages.HeartbeatReply) -> bool:
        """Bring the view up to the commit index of the reply.

        Returns:
            False when that needs a fetch, which then runs beside further
            heartbeats: the session goes on, the lease waits.
        """
        if self._node is not None:
            deadline = self._clock.now() + CALL_TIMEOUT_S
            while self._node.applied < reply.commit:
                if self._clock.now() > deadline:
                    raise wire.PeerLostError("The local replica lags.")
                await self._clock.sleep(CATCH_UP_POLL_S)
            return True
        if reply.behind:
            self._start_fetch(reply.leader)
            return False
        for effect in reply.effects:
            self._own_view.apply(effect)
        self._own_view.index = max(self._own_view.index, reply.commit)
        return True

    def _start_fetch(self, address: str) -> None:
        """Fetch from this leader, unless that goes on already."""
        if self._fetching is not None and not self._fetching.done():
            if self._fetches_from == address:
                return
            self._fetching.cancel()
        self._waiting.clear()
        self._fetches_from = address
        self._fetching = asyncio.create_task(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        """Fetch, and take the leases that waited for it."""
        try:
            await self._fetch_state(address)
        except wire.ServingError as error:
            logging.debug("session: Nothing fetched. %s", error.message)
            return
        except Exception:
            logging.exception("session: A fetch broke.")
            return
        waiting, self._waiting = self._waiting, []
        for commit, sent_at in waiting:
            if commit <= self._own_view.index:
                self._renew(sent_at)
        self.kick()

    async def _fetch_state(self, address: str) -> None:
        known, after = self._own_view, self._own_view.index
        fresh_view = catalogue.View()
        changes: list[catalogue.Effect] = []
        index, whole = 0, True
        pieces = self._transport.stream(
            address,
            _messages.STATE,
            _messages.StateRequest(after),
            STATE_TIMEOUT_S,
        )
        joiner = catalogue.EffectAssembler()
        monitored_stream = wire.monitored_stream(
            pieces, _silent, STATE_SILENCE_S
        )
        async with contextlib.aclosing(monitored_stream):
            async for piece in monitored_stream:
                index, whole = piece.index, piece.whole
                came = [joiner.join(effect) for effect in piece.effects]
                ready = [effect for effect in came if effect is not None]
                if not whole:
                    changes.extend(ready)
                    continue
                for effect in ready:
                    fresh_view.apply(effect)
        if self._own_view is not known or known.index != after:
            # A heartbeat brought the view further meanwhile.
            return
        if index < after:
            return
        if whole:
            self._own_view = fresh_view
        for effect in changes:
            self._own_view.apply(effect)
        self._own_view.index = index
        logging.info("session: State fetched at index %d.", index)


def _silent() -> wire.ServingError:
    return wire.PeerLostError("No piece of the state came. Fetch it again.")
