"""One Raft replica: elections, replication, commit and membership.

Handlers that change durable state hold one lock. There is one task each for
elections, flushing to disk, applying entries and joining, and one per peer
while this replica is the leader.
"""

import abc
import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import enum
import functools
import random
import typing

from absl import logging

from bergamotsail.quorum import _compaction
from bergamotsail.quorum import _disk
from bergamotsail.quorum import _log
from bergamotsail.quorum import _machine
from bergamotsail.quorum import _membership
from bergamotsail.quorum import _messages
from bergamotsail.quorum import _storage
from bergamotsail import wire

# Bounds of the entries in one call. A larger entry is sent in a call of its
# own. The leader's heartbeat waits behind the call, so it must take a small
# part of an election timeout: 1 MiB, 1.4 MB as JSON, takes 12 ms on a link
# of 1 Gbit/s.
MAX_ENTRIES_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 1024 * 1024
# Bound of the commands that are accepted and not committed yet. A larger
# command is accepted when there are none.
MAX_UNCOMMITTED_BYTES = 8 * 1024 * 1024
OVERLOAD_RETRY_S = 0.5
# Bounds of one piece of a snapshot, for the same reason.
LINES_PER_PIECE = 500
BYTES_PER_PIECE = MAX_BYTES_PER_APPEND
JOIN_INTERVAL_S = 0.5
CONFIRM_POLL_S = 0.005
# Time without an answered call after which a replica counts as unresponsive.
UNRESPONSIVE_AFTER_S = 2.0
MAX_REDIRECTS = 2
# How long forming the log waits for seeds that are still reading their disks.
FORM_WAIT_S = 5.0
FORM_RETRY_S = 0.1
# The constants below are fractions of the election timeout.
# Random delay of the first normal election after a start, so that replicas
# that start together don't hold elections together.
START_JITTER = 0.6
# Silence of the leader, equal to three default heartbeats, after which
# callers are no longer redirected to it.
LEADER_SUSPICION = 0.6
# Early elections that need the votes of all voters: random delay of the
# first, mean interval between retries, and timeout of a vote request.
EARLY_ELECTION_JITTER = 0.15
EARLY_ELECTION_RETRY = 0.2
EARLY_VOTE_TIMEOUT = 0.3
# How long a granted pre-vote excludes other candidates: longer than a
# vote takes.
PRE_VOTE_HOLD = 0.1

Config = _messages.Config
Entry = _messages.Entry
Member = _messages.Member


class Role(enum.StrEnum):
    """The role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in seconds.

    *drift* is the largest relative rate difference between two clocks.
    *snapshot_entries* is how many entries are applied between snapshots, and
    *snapshot_log_bytes* how many bytes of them, unless a snapshot is large.
    The election timeout is drawn between *election_s* and *election_s* times
    *election_spread*.
    """

    election_s: float = 1.0
    heartbeat_s: float = 0.2
    call_s: float = 1.0
    drift: float = 0.05
    snapshot_entries: int = 4000
    election_spread: float = 2.0
    snapshot_log_bytes: int = 8 * 1024 * 1024

    @property
    def suspect_after_s(self) -> float:
        """Silence in seconds after which the leader is suspected lost."""
        return LEADER_SUSPICION * self.election_s


class NodeObserver(abc.ABC):
    """Receives events of elections and of replication."""

    @abc.abstractmethod
    def on_node_event(self, what: str, fields: dict[str, object]) -> None:
        """Handle an event without blocking.

        Args:
            what: ``role`` for a role change, ``stand`` for the result of an
                election of this replica, ``ballot`` for a vote request,
                ``replicate`` when replication to a peer starts or stops to
                fail, or fails for another reason, ``refuse`` when a command
                is refused because too many bytes are not committed.
            fields: details of the event, by log key.
        """


class NullNodeObserver(NodeObserver):
    """Ignores all events."""

    def on_node_event(self, what: str, fields: dict[str, object]) -> None:
        pass


class _Waiter(typing.NamedTuple):
    term: int
    done: asyncio.Future


class Node:
    """A Raft replica; an async context manager that runs its tasks.

    Args:
        name: name of this replica, kept when its disk is replaced.
        address: address at which peers reach it.
        seeds: addresses of the replicas to join through.
        storage: its durable state.
        transport: sends calls to peers.
        machine: the state machine that committed commands are applied to.
        rng: draws election timeouts.
        forms: whether the seed with the lowest address forms the log without
            an operator, once all seeds answer and are blank. True at the
            very first start only.
        max_voters: at this number of voters a further replica stays a
            learner until it can replace a voter that has stopped answering,
            or one of a domain with at least two voters more than the
            replica's own domain.
        domain: failure domain of this replica.
        started_at: when this process started, on the clock; the time of
            loading when None.
    """

    def __init__(
        self,
        name: str,
        address: str,
        seeds: collections.abc.Sequence[str],
        storage: _storage.Storage,
        transport: wire.PeerTransport,
        machine: _machine.Machine,
        rng: random.Random,
        timing: Timing = Timing(),
        clock: wire.Clock = wire.LoopClock(),
        steps: wire.FaultInjector = wire.NoFaultInjector(),
        forms: bool = False,
        max_voters: int | None = None,
        started_at: float | None = None,
        domain: str = "",
    ) -> None:
        self.name = name
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.commit = 0
        self.applied = 0
        self.error: BaseException | None = None
        self.observer: NodeObserver = NullNodeObserver()
        self._address = address
        self._seeds = tuple(seeds)
        self._storage = storage
        self._transport = transport
        self._machine = machine
        self._rng = rng
        self._timing = timing
        self._clock = clock
        self._steps = steps
        self._domain = domain
        self._me = Member("", name, address, domain)
        self._vote = _messages.Vote()
        self._log = _log.Log()
        self._synced_index = 0
        self._last_contact_at = 0.0
        # When a leader last told which entries are committed.
        self._commit_told_at = float("-inf")
        self._no_election_before = float("-inf")
        self._leader_seen = False
        self._vote_answer_by_name: dict[str, str] = {}
        self._transfer_term = -1
        self._pre_vote_for: str | None = None
        self._pre_vote_until = 0.0
        # Index of the first entry of the own term as leader, 0 otherwise.
        self._ready_index = 0
        self._transferring = False
        # The snapshot being received, and the number of its next piece.
        self._incoming: tuple[_messages.SnapshotMeta, int] | None = None
        self._incoming_lines = 0
        self._lock = asyncio.Lock()
        self._flush_wanted = asyncio.Event()
        self._commit_raised = asyncio.Event()
        self._election_requested = asyncio.Event()
        self._waiter_by_index: dict[int, _Waiter] = {}
        self._next_index_by_peer: dict[str, int] = {}
        self._match_index_by_peer: dict[str, int] = {}
        self._acked_at_by_peer: dict[str, float] = {}
        self._wake_by_peer: dict[str, asyncio.Event] = {}
        self._replicator_by_peer: dict[str, asyncio.Task] = {}
        self._join_tasks: dict[str, asyncio.Task] = {}
        # Error code of the last call to each peer; empty when it succeeded.
        self._error_by_peer: dict[str, str] = {}
        self._snapshotting = False
        self._compaction = _compaction.Compaction(
            _compaction.CompactionLimits(
                timing.snapshot_entries, timing.snapshot_log_bytes
            ),
            random.Random(name),
        )
        self._forms = forms
        self._started_at = started_at
        self._max_voters = max_voters
        self._loaded = False
        self._shielded_tasks: set[asyncio.Future] = set()
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Node":
        await self._load()
        for work in (self._elect, self._flush, self._apply, self._join):
            self._tasks.append(asyncio.create_task(self._supervise(work)))
        return self

    async def __aexit__(self, *_: object) -> None:
        running = [
            *self._tasks,
            *self._replicator_by_peer.values(),
            *self._join_tasks.values(),
            *self._shielded_tasks,
        ]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._fail_waiters()

    async def _supervise(
        self,
        work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Run a task; mark this replica as failed when it raises."""
        try:
            await work()
        except Exception as error:
            self._fail(error)

    def serve(self, server: wire.PeerServer) -> None:
        """Register the handlers for calls of other replicas."""
        for call, handler in (
            (_messages.VOTE, self.on_vote),
            (_messages.APPEND, self.on_append),
            (_messages.SNAPSHOT, self.on_snapshot),
            (_messages.FORM, self.on_form),
        ):
            uncancellable = functools.partial(self._run_to_completion, handler)
            server.serve(call, uncancellable)
        server.serve(_messages.LEAD, self.on_lead)
        server.serve(_messages.HELLO, self.on_hello)
        server.serve(_messages.JOIN, self.on_join)

    async def _run_to_completion(
        self,
        work: collections.abc.Callable[..., collections.abc.Awaitable],
        *args: object,
    ) -> typing.Any:
        """Run work that writes to disk, even when the caller is cancelled.

        Cancelling it between a write and the update of the state in memory
        would make the two differ, and the next write would append the same
        entries again.
        """
        task = asyncio.ensure_future(work(*args))
        self._shielded_tasks.add(task)
        task.add_done_callback(self._on_shielded_task_done)
        return await asyncio.shield(task)

    def _on_shielded_task_done(self, task: asyncio.Future) -> None:
        self._shielded_tasks.discard(task)
        if not task.cancelled():
            # Mark the exception as retrieved: the caller may be cancelled.
            task.exception()

    # Public interface.

    @property
    def member(self) -> Member:
        """This replica."""
        return self._me

    @property
    def term(self) -> int:
        """The current term."""
        return self._vote.term

    @property
    def config(self) -> Config:
        """The latest configuration in the log."""
        return self._log.config

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log, committed or not."""
        return self._log.last_index

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry covered by the snapshot."""
        return self._log.snapshot.index

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has applied its first entry.

        It has then applied all entries committed in earlier terms.
        """
        return (
            self.role is Role.LEADER
            and self._ready_index > 0
            and self.applied >= self._ready_index
        )

    def holds_lease(self) -> bool:
        """Whether this replica holds the leader lease.

        Followers grant no vote for one election timeout after contact with
        a leader, so no other leader can be elected before then. The lease
        is shortened by the clock drift.
        """
        if not self.is_leader or self._transferring:
            return False
        lease_s = self._timing.election_s * (1 - self._timing.drift)
        return self._clock.now() < self._quorum_acked_at() + lease_s

    async def propose(self, command: bytes) -> object:
        """Commit a command and return the state machine's result.

        Raises:
            NotLeaderError: this replica is not the leader, holds no lease, or
                its entry was overwritten; the command is not applied.
            ReplicaFailedError: this replica has failed; the command was
                not appended.
            OverloadError: too many bytes are not committed yet; the command
                was not appended.
            UnknownOutcomeError: leadership was lost; the command may still
                be committed.
        """
        if not self.holds_lease():
            raise self.not_leader()
        self._check_uncommitted(len(command))
        index = self._append_local(_messages.EntryKind.COMMAND, command)
        return await self._wait_applied(index)

    def _check_uncommitted(self, size: int) -> None:
        """Refuse a command while the replicas are behind by many bytes.

        A small command still fits where a large one is refused.
        """
        uncommitted = self._log.bytes_after(self.commit)
        if uncommitted == 0 or uncommitted + size <= MAX_UNCOMMITTED_BYTES:
            return
        fields = {"bytes": size, "uncommitted_bytes": uncommitted}
        self.observer.on_node_event("refuse", fields)
        raise wire.OverloadError(
            f"{uncommitted} bytes of changes are not committed yet. Send this "
            "one again later.",
            retry_after_s=OVERLOAD_RETRY_S,
        )

    @property
    def has_leader_contact(self) -> bool:
        """Whether this replica leads or had recent contact with a leader.

        A leader that has been silent for longer is probably lost, and a
        caller that is redirected to it would wait for its timeout.
        """
        if self.role is Role.LEADER:
            return True
        heard_s = self._clock.now() - self._last_contact_at
        return (
            self.leader is not None and heard_s < self._timing.suspect_after_s
        )

    def commit_silence_s(self) -> float | None:
        """Return how long ago a leader told which entries are committed.

        0 on the leader. None if that was never told, or not all of them are
        applied here yet.

        Example: 0.05 on a follower that gets a heartbeat every 0.1 s.
        """
        if self.holds_lease():
            return 0.0
        told_s = self._clock.now() - self._commit_told_at
        is_current = self.applied >= self.commit and told_s < float("inf")
        return told_s if is_current else None

    def not_leader(self) -> wire.ServingError:
        """Return the error for a call that only the leader can serve."""
        if self.role is Role.FAILED:
            return wire.ReplicaFailedError(
                f"Replica {self.name} has failed. Ask another replica.",
                retry_after_s=1.0,
            )
        can_redirect = (
            self.leader is not None and self.leader.id != self._me.id
        )
        can_redirect = can_redirect and self.has_leader_contact
        return wire.NotLeaderError(
            f"Replica {self.name} is not the leader. Ask the leader.",
            retry_after_s=self._timing.election_s,
            use=self.leader.address if can_redirect else None,
        )

    async def confirm_leadership(self, timeout_s: float) -> None:
        """Confirm leadership with a new round of calls to a majority.

        A read that follows is linearizable without relying on clocks.

        Raises:
            NotLeaderError: this replica is not the leader, or no majority
                answered within *timeout_s*.
        """
        asked_at = self._clock.now()
        for wake in self._wake_by_peer.values():
            wake.set()
        while self.is_leader and self._clock.now() < asked_at + timeout_s:
            if self._quorum_acked_at() > asked_at:
                return
            await self._clock.sleep(CONFIRM_POLL_S)
        raise self.not_leader()

    async def transfer(self) -> None:
        """Transfer leadership to the most up-to-date voter, best effort.

        Unless it is the only voter, this replica steps down in any case.
        """
        if self.role is not Role.LEADER:
            return
        others = [m for m in self.config.voters if m.id != self._me.id]
        if not others:
            return
        self._transferring = True
        try:
            successor = max(
                others, key=lambda m: self._match_index_by_peer.get(m.id, 0)
            )
            deadline = self._clock.now() + self._timing.election_s
            while (
                self.role is Role.LEADER
                and self._clock.now() < deadline
                and self._match_index_by_peer.get(successor.id, 0)
                < self.last_index
            ):
                await self._clock.sleep(self._timing.heartbeat_s / 10)
            request = _messages.LeadRequest(successor.id, self.term)
            with contextlib.suppress(wire.ServingError):
                await self._call(successor, _messages.LEAD, request)
            while self.role is Role.LEADER and self._clock.now() < deadline:
                await self._clock.sleep(self._timing.heartbeat_s / 10)
        finally:
            # The successor may start an election at any later moment without
            # waiting for this lease to expire, so the lease must not be used
            # again.
            if self.role is Role.LEADER:
                self._become_follower(None, "leadership transferred")

    async def form(self) -> None:
        """Form a new log with all seeds as voters; all must be blank.

        Raises:
            ConflictError: a seed already has a log.
        """
        replies = await asyncio.gather(
            *(self._hello_when_started(seed) for seed in self._seeds)
        )
        if not all(reply.blank for reply in replies):
            raise wire.ConflictError(
                "A replica already has a log. Start the others and let "
                "them join; form only once."
            )
        config = Config(tuple(reply.member for reply in replies))
        for member in config.voters:
            request = _messages.FormRequest(member.id, config)
            await self._call(member, _messages.FORM, request)

    async def _hello_when_started(self, seed: str) -> _messages.HelloReply:
        """Send a hello to a seed; retry while it is reading its disk."""
        deadline = self._clock.now() + FORM_WAIT_S
        while True:
            try:
                return await self._transport.call(
                    seed,
                    _messages.HELLO,
                    _messages.Hello(),
                    self._timing.call_s,
                )
            except wire.StartingError:
                if self._clock.now() >= deadline:
                    raise
                await self._clock.sleep(FORM_RETRY_S)

    # Calls from other replicas.

    async def on_hello(self, _: _messages.Hello) -> _messages.HelloReply:
        """Return the identity of this replica and its known leader."""
        self._check_loaded()
        return _messages.HelloReply(
            self._me, not self.config.voters, self.leader
        )

    async def on_form(self, request: _messages.FormRequest) -> _messages.Empty:
        """Store the first configuration of a blank replica."""
        self._check_recipient(request.to)
        async with self._lock:
            if self.last_index > 0:
                raise wire.ConflictError("This replica already has a log.")
            data = wire.encode(request.config)
            entry = Entry(1, 1, _messages.EntryKind.CONFIG, data)
            self._add_entry(entry)
            await self._flush_locked()
        return _messages.Empty()

    async def on_vote(
        self, request: _messages.VoteRequest
    ) -> _messages.VoteReply:
        """Grant or refuse a vote; a granted vote is synced before the reply.

        A granted pre-vote is not stored.
        """
        self._check_recipient(request.to)
        async with self._lock:
            self._check_not_failed()
            why = self._refusal_reason(request)
            self._emit_vote_request(request, why)
            if why or request.pre:
                return _messages.VoteReply(self.term, not why, why)
            await self._steps.reach(wire.Step.VOTE, wire.Phase.BEFORE)
            if request.term > self.term:
                self._become_follower(None, "voted for another candidate")
            self._last_contact_at = self._clock.now()
            await self._save_vote(
                _messages.Vote(request.term, request.candidate)
            )
            await self._steps.reach(wire.Step.VOTE, wire.Phase.AFTER)
            return _messages.VoteReply(self.term, True)

    async def on_append(
        self, request: _messages.AppendRequest
    ) -> _messages.AppendReply:
        """Append entries from the leader; they are synced before the reply."""
        self._check_recipient(request.to)
        async with self._lock:
            self._check_not_failed()
            if not await self._accept_leader(request.term, request.leader):
                return self._append_reply(False)
            # A leader sends no entries between the pieces of a snapshot, so
            # a snapshot that is not complete was abandoned.
            self._incoming = None
            if not self._log.matches(request.prev_index, request.prev_term):
                return self._append_reply(False)
            await self._merge_entries(request.entries)
            await self._flush_locked()
            self._last_contact_at = self._clock.now()
            last = request.prev_index + len(request.entries)
            self._raise_commit(min(request.commit, last))
            if last >= request.commit:
                self._commit_told_at = self._clock.now()
            await self._steps.reach(wire.Step.ACK, wire.Phase.BEFORE)
            return _messages.AppendReply(self.term, True, last)

    async def on_snapshot(
        self, piece: _messages.SnapshotPiece
    ) -> _messages.AppendReply:
        """Store a piece of a snapshot; install it after the last piece."""
        self._check_recipient(piece.to)
        async with self._lock:
            self._check_not_failed()
            if not await self._accept_leader(piece.term, piece.leader):
                return self._append_reply(False)
            await self._steps.reach(wire.Step.SNAPSHOT, wire.Phase.BEFORE)
            if piece.number == 0:
                await self._storage.begin_incoming(piece.meta)
                self._incoming = (piece.meta, 0)
                self._incoming_lines = 0
            if self._incoming != (piece.meta, piece.number):
                self._incoming = None
                return self._append_reply(False)
            await self._storage.add_incoming(piece.lines)
            self._incoming_lines += len(piece.lines)
            self._incoming = (piece.meta, piece.number + 1)
            if piece.last:
                await self._install(piece.meta)
            self._last_contact_at = self._clock.now()
            return self._append_reply(True)

    async def on_lead(self, request: _messages.LeadRequest) -> _messages.Empty:
        """Start an election at once, as the leader transfers leadership."""
        self._check_recipient(request.to)
        if request.term == self.term:
            self._transfer_term = request.term
            self._election_requested.set()
        return _messages.Empty()

    async def on_join(self, request: _messages.JoinRequest) -> _messages.Empty:
        """Start to add a replica, first as a learner."""
        if not self.is_leader:
            raise self.not_leader()
        name = request.member.name
        running = self._join_tasks.get(name)
        if running is None or running.done():
            self._join_tasks[name] = asyncio.create_task(
                self._add_replica(request.member)
            )
        return _messages.Empty()

    def _check_loaded(self) -> None:
        """Refuse calls that arrive before the durable state is loaded.

        Until then the replica would answer as a blank one, and its votes,
        acknowledgements and id would contradict its durable state.
        """
        if not self._loaded:
            raise wire.StartingError(
                f"Replica {self.name} is reading its disk. Retry soon.",
                retry_after_s=self._timing.heartbeat_s,
            )

    def _check_recipient(self, to: str) -> None:
        self._check_loaded()
        if to != self._me.id:
            raise wire.NotFoundError(
                f"Replica {to} is not at this address; this is {self._me.id}. "
                "Its disk was replaced."
            )

    def _check_not_failed(self) -> None:
        if self.role is Role.FAILED:
            raise self.not_leader()

    # Elections.

    def _refusal_reason(self, request: _messages.VoteRequest) -> str:
        """Return why a vote is refused; empty when it is granted.

        The reason is for log lines only; no code depends on it.
        """
        heard_s = self._clock.now() - self._last_contact_at
        within_timeout = (
            heard_s < self._timing.election_s and not request.transfer
        )
        # Without contact with a leader since the start, waiting only protects
        # the lease of a leader elected before; such a leader refuses its vote,
        # so a unanimous election fails while it leads.
        skips_wait = request.unanimous and not self._leader_seen
        if request.term < self.term:
            return "old term"
        if within_timeout and not skips_wait:
            return f"heard {heard_s:.3f} s ago"
        if self.holds_lease() and not request.transfer:
            return "holds the lease"
        if self.role is Role.LEADER and request.term == self.term:
            return "leads"
        own_last = (self._log.term_at(self.last_index), self.last_index)
        if (request.last_term, request.last_index) < own_last:
            return "log behind"
        if request.pre:
            reserved = self._reserve_pre_vote(request.candidate)
            return "" if reserved else "another's turn"
        vote_available = self._vote.voted_for in (None, request.candidate)
        return "" if request.term > self.term or vote_available else "voted"

    async def _elect(self) -> None:
        await self._run_early_elections()
        while True:
            wait_s = self._timing.election_s * self._rng.uniform(
                1.0, self._timing.election_spread
            )
            await self._wait_for_election(wait_s)
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            # A transfer from an earlier term must not bypass the lease of
            # the present leader.
            transfer_current = self._transfer_term == self.term
            transfer = self._election_requested.is_set() and transfer_current
            self._election_requested.clear()
            heard_s = self._clock.now() - self._last_contact_at
            if heard_s < wait_s and not transfer:
                continue
            if self._clock.now() < self._no_election_before and not transfer:
                continue
            if self.role is Role.FAILED:
                continue
            if not self.config.has_voter(self._me.id):
                continue
            with contextlib.suppress(wire.ServingError, _disk.DiskError):
                await self._run_election(transfer)

    async def _run_early_elections(self) -> None:
        """Run elections that need all votes, before the election timeout.

        When all replicas start at once there is no leader lease to wait for,
        and the votes of all voters prove it.
        """
        if not self.config.voters:
            return
        pause_s = self._timing.election_s * self._rng.uniform(
            0, EARLY_ELECTION_JITTER
        )
        deadline = self._last_contact_at + self._timing.election_s
        while not self._leader_seen and self._clock.now() < deadline:
            await self._clock.sleep(pause_s)
            pause_s = self._timing.election_s * EARLY_ELECTION_RETRY
            pause_s *= self._rng.uniform(0.5, 1.5)
            if self._leader_seen or self.role is not Role.FOLLOWER:
                return
            with contextlib.suppress(wire.ServingError, _disk.DiskError):
                await self._run_election(False, unanimous=True)
                if self.role is Role.LEADER:
                    return

    async def _wait_for_election(self, wait_s: float) -> None:
        if self.role is Role.LEADER:
            await self._clock.sleep(self._timing.heartbeat_s)
            return
        now = self._clock.now()
        left_s = (
            max(self._last_contact_at + wait_s, self._no_election_before) - now
        )
        await wire.wait_event(
            self._election_requested, max(left_s, self._timing.heartbeat_s)
        )

    def _check_quorum(self) -> None:
        silent_s = self._clock.now() - self._quorum_acked_at()
        if silent_s > self._timing.election_s:
            logging.info(
                "quorum: Lost contact with a majority. silent_s=%.3f", silent_s
            )
            self._become_follower(None, f"no majority for {silent_s:.3f} s")

    async def _run_election(
        self, transfer: bool, unanimous: bool = False
    ) -> None:
        logging.info(
            "quorum: Starting election. "
            "term=%d heard_s=%.3f transfer=%s unanimous=%s",
            self.term,
            self._clock.now() - self._last_contact_at,
            transfer,
            unanimous,
        )
        term, last_contact_at = self.term, self._last_contact_at
        self._vote_answer_by_name.clear()
        if transfer:
            # Contact with the leader that requested the transfer must not
            # cancel this election.
            last_contact_at = float("inf")
        elif not await self._passes_pre_vote(unanimous):
            self._emit_election_result(
                "pre-vote failed", last_contact_at, unanimous
            )
            if unanimous:
                return
            self._last_contact_at = max(
                self._last_contact_at,
                self._clock.now() - self._timing.election_s,
            )
            return
        async with self._lock:
            if not self._election_still_valid(term, last_contact_at):
                self._emit_election_result(
                    "overtaken in pre-vote", last_contact_at, unanimous
                )
                return
            self._become_follower(None)
            self.role = Role.CANDIDATE
            await self._save_vote(_messages.Vote(self.term + 1, self._me.id))
            term = self.term
        asked_at = self._clock.now()
        won = await self._request_votes(False, transfer, unanimous)
        async with self._lock:
            still_candidate = self.role is Role.CANDIDATE and self.term == term
            end = (
                ("won" if won else "not elected")
                if still_candidate
                else "overtaken"
            )
            self._emit_election_result(end, last_contact_at, unanimous)
            if not still_candidate:
                return
            if won:
                self._become_leader(asked_at)
            else:
                self.role = Role.FOLLOWER
                self._back_off()

    async def _passes_pre_vote(self, unanimous: bool) -> bool:
        """Run the pre-vote; it does not increase the term."""
        if not self._reserve_pre_vote(self._me.id):
            return False
        return await self._request_votes(True, False, unanimous)

    def _reserve_pre_vote(self, candidate: str) -> bool:
        """Reserve this replica's pre-vote; False if another candidate has it.

        Of candidates with almost simultaneous elections only one passes the
        pre-vote. If two did, both would increase their terms, and the loser
        could depose the winner with a higher term. A reservation expires
        after PRE_VOTE_HOLD. It is not a vote and protects no lease, and
        refusing a pre-vote is always safe.
        """
        now = self._clock.now()
        other = self._pre_vote_for not in (None, candidate)
        if other and now < self._pre_vote_until:
            return False
        self._pre_vote_for = candidate
        self._pre_vote_until = now + self._timing.election_s * PRE_VOTE_HOLD
        return True

    def _election_still_valid(self, term: int, last_contact_at: float) -> bool:
        """Whether an election may go on after its pre-vote.

        A vote granted, contact with a leader or a new term during the
        pre-vote shows that another candidate is ahead. An election with a
        higher term would depose it, and voters that have just voted would
        refuse.
        """
        if self.role is not Role.FOLLOWER or self.term != term:
            return False
        return self._last_contact_at <= last_contact_at

    def _back_off(self) -> None:
        """Back off at random after a lost election.

        Without it, candidates with simultaneous elections could split the
        vote for ever.
        """
        pause_s = self._timing.election_s * self._rng.uniform(0.1, 1.2)
        self._no_election_before = self._clock.now() + pause_s

    async def _request_votes(
        self, pre: bool, transfer: bool, unanimous: bool
    ) -> bool:
        term = self.term + 1 if pre else self.term
        voters = self.config.voters
        others = [m for m in voters if m.id != self._me.id]
        needed = self._votes_needed(unanimous)
        granted = 1
        template = _messages.VoteRequest(
            "",
            term,
            self._me.id,
            self.last_index,
            self._log.term_at(self.last_index),
            pre,
            transfer,
            unanimous,
        )
        pending = {
            asyncio.create_task(self._request_vote(m, template))
            for m in others
        }
        try:
            while granted < needed <= granted + len(pending):
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                granted += sum(task.result() for task in done)
        finally:
            for task in pending:
                task.cancel()
        return granted >= needed

    def _votes_needed(self, unanimous: bool) -> int:
        if unanimous:
            return len(self.config.voters)
        return self.config.majority

    async def _request_vote(
        self, peer: Member, template: _messages.VoteRequest
    ) -> int:
        request = dataclasses.replace(template, to=peer.id)
        timeout_s = self._timing.call_s
        if request.unanimous:
            timeout_s = self._timing.election_s * EARLY_VOTE_TIMEOUT
        try:
            reply = await self._call(peer, _messages.VOTE, request, timeout_s)
        except wire.ServingError as error:
            self._vote_answer_by_name[peer.name] = error.code
            return 0
        self._vote_answer_by_name[peer.name] = reply.why or "granted"
        if reply.term > self.term and not reply.granted:
            await self._run_to_completion(self._learn_term, reply.term)
        return int(reply.granted)

    async def _learn_term(self, term: int) -> None:
        async with self._lock:
            await self._adopt_term(term)

    async def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._become_follower(None, f"learned of term {term}")
            await self._save_vote(_messages.Vote(term, None))

    async def _accept_leader(self, term: int, leader: Member) -> bool:
        """Accept the sender as leader; False when its term is stale."""
        if term < self.term:
            return False
        await self._adopt_term(term)
        if self.role is Role.CANDIDATE:
            self._become_follower(leader)
        if self.leader is None or self.leader.id != leader.id:
            logging.info(
                "quorum: Following leader %s. term=%d last=%d",
                leader.id,
                term,
                self.last_index,
            )
            self._emit_role_change("follows", f"heard from {leader.name}")
        self.leader = leader
        self._leader_seen = True
        self._last_contact_at = self._clock.now()
        return True

    def _become_follower(self, leader: Member | None, why: str = "") -> None:
        was_leader = self.role is Role.LEADER
        if self.role is not Role.FAILED:
            self.role = Role.FOLLOWER
        self.leader = leader
        self._ready_index = 0
        if was_leader:
            logging.info(
                "quorum: No longer leader. term=%d commit=%d",
                self.term,
                self.commit,
            )
            self._emit_role_change(
                "no longer leads", why, self._ack_age_by_name()
            )
            self._last_contact_at = self._clock.now()
            self._fail_waiters()
            self._stop_replicators()

    def _become_leader(self, asked_at: float) -> None:
        """Become the leader; the lease starts when votes were requested."""
        self.role = Role.LEADER
        self.leader = self._me
        self._incoming = None
        self._leader_seen = True
        logging.info(
            "quorum: Became leader. term=%d last=%d commit=%d",
            self.term,
            self.last_index,
            self.commit,
        )
        self._emit_role_change("leads", "")
        self._transferring = False
        self._next_index_by_peer.clear()
        self._match_index_by_peer.clear()
        self._error_by_peer.clear()
        self._acked_at_by_peer = {m.id: asked_at for m in self.config.members}
        self._ready_index = self._append_local(_messages.EntryKind.NOOP, b"")
        self._start_replicators()

    # Events.

    def _emit_role_change(
        self,
        what: str,
        why: str,
        answered_s: dict[str, float] | None = None,
    ) -> None:
        now = self._clock.now()
        fields = {
            "is": what,
            "why": why,
            "term": self.term,
            "heard_s": round(now - self._last_contact_at, 3),
            "answered_s": answered_s,
            "last": self.last_index,
            "commit": self.commit,
        }
        self.observer.on_node_event("role", fields)

    def _ack_age_by_name(self) -> dict[str, float]:
        """Return the age of the last answered call to each peer, by name.

        The age counts from when the call was sent.
        """
        now = self._clock.now()
        return {
            peer.name: round(now - self._acked_at_by_peer[peer.id], 3)
            for peer in self.config.members
            if peer.id in self._acked_at_by_peer and peer != self._me
        }

    def _emit_election_result(
        self, end: str, last_contact_at: float, unanimous: bool
    ) -> None:
        heard_s = self._clock.now() - min(
            last_contact_at, self._last_contact_at
        )
        fields = {
            "end": end,
            "term": self.term,
            "heard_s": round(heard_s, 3),
            "unanimous": unanimous,
            "answers": dict(self._vote_answer_by_name),
        }
        self.observer.on_node_event("stand", fields)

    def _emit_vote_request(
        self, request: _messages.VoteRequest, why: str
    ) -> None:
        fields = {
            "candidate": request.candidate,
            "asked_term": request.term,
            "pre": request.pre,
            "unanimous": request.unanimous,
            "term": self.term,
            "refused": why or None,
        }
        self.observer.on_node_event("ballot", fields)

    def _emit_replication(
        self, peer: Member, error: Exception | None = None
    ) -> None:
        """Emit an event when the result of calls to a peer has changed."""
        code = ""
        if error is not None:
            code = getattr(error, "code", type(error).__name__)
        if code == self._error_by_peer.get(peer.id, ""):
            return
        self._error_by_peer[peer.id] = code
        next_index = self._next_index_by_peer[peer.id]
        known_index = max(next_index - 1, self.snapshot_index)
        fields = {
            "peer": peer.name,
            "error": code or None,
            "message": str(error) if error is not None else None,
            "term": self.term,
            "next": next_index,
            "last": self.last_index,
            "snapshot": self.snapshot_index,
            "missing_bytes": self._log.bytes_after(known_index),
        }
        self.observer.on_node_event("replicate", fields)

    def _fail_waiters(self) -> None:
        for waiter in self._waiter_by_index.values():
            if not waiter.done.done():
                waiter.done.set_exception(
                    wire.UnknownOutcomeError(
                        "Leadership was lost before the change was known to "
                        "be committed. Send it again with the same "
                        "operation id.",
                        retry_after_s=self._timing.election_s,
                    )
                )
                # Mark the exception as retrieved: the caller may be cancelled.
                waiter.done.exception()
        self._waiter_by_index.clear()

    # The log in memory.

    def _append_local(self, kind: _messages.EntryKind, data: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, kind, data)
        self._add_entry(entry)
        self._flush_wanted.set()
        for wake in self._wake_by_peer.values():
            wake.set()
        return entry.index

    def _add_entry(self, entry: Entry) -> None:
        self._log.add(entry)
        if entry.kind is _messages.EntryKind.CONFIG:
            if self.role is Role.LEADER:
                self._start_replicators()

    async def _wait_applied(self, index: int) -> object:
        done = asyncio.get_running_loop().create_future()
        self._waiter_by_index[index] = _Waiter(self.term, done)
        return await done

    async def _merge_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.index <= self._log.snapshot.index:
                continue
            if entry.index <= self.last_index:
                if self._log.term_at(entry.index) == entry.term:
                    continue
                await self._truncate_after(entry.index - 1)
            self._add_entry(entry)

    async def _truncate_after(self, index: int) -> None:
        self._log.truncate_after(index)
        if self._synced_index > index:
            try:
                await self._storage.truncate_after(index)
            except _disk.DiskError as error:
                self._fail(error)
                raise self.not_leader() from error
            self._synced_index = index

    # The disk.

    async def _load(self) -> None:
        identity = await self._storage.identity(self.name)
        self._me = Member(identity.id, self.name, self._address, self._domain)
        loaded = await self._storage.load()
        self._vote = loaded.vote
        if loaded.meta is not None:
            await self._restore(loaded.meta)
        for entry in loaded.entries:
            self._add_entry(entry)
        self._synced_index = self.last_index
        # The process before the restart may have had contact with a leader,
        # which relies on its lease. Count the wait from the start of this
        # process: there was no contact after that.
        self._last_contact_at = self._clock.now()
        if self._started_at is not None:
            self._last_contact_at = min(
                self._last_contact_at, self._started_at
            )
            # Keep replicas that start together from simultaneous elections.
            spread_s = self._timing.election_s * START_JITTER
            self._no_election_before = self._clock.now() + self._rng.uniform(
                0.0, spread_s
            )
        self._loaded = True

    async def _restore(self, meta: _messages.SnapshotMeta) -> None:
        stored = await self._storage.read_snapshot()
        assert stored is not None
        self._machine.restore(meta.index, stored[1])
        self._compaction.reset(sum(map(len, stored[1])))
        self._log.reset(meta)
        self.commit = max(self.commit, meta.index)
        self.applied = meta.index

    async def _install(self, meta: _messages.SnapshotMeta) -> None:
        self._incoming = None
        if meta.index <= self.commit:
            return
        try:
            await self._storage.finish_incoming(self._incoming_lines)
            await self._restore(meta)
            await self._storage.rewrite_log([])
        except _disk.DiskError as error:
            self._fail(error)
            raise self.not_leader() from error
        self._synced_index = meta.index
        await self._steps.reach(wire.Step.SNAPSHOT, wire.Phase.AFTER)

    async def _save_vote(self, vote: _messages.Vote) -> None:
        try:
            await self._storage.save_vote(vote)
        except _disk.DiskError as error:
            self._fail(error)
            raise self.not_leader() from error
        self._vote = vote

    async def _flush(self) -> None:
        while True:
            await self._flush_wanted.wait()
            self._flush_wanted.clear()
            async with self._lock:
                with contextlib.suppress(wire.ServingError):
                    await self._flush_locked()
            self._advance_commit()

    async def _flush_locked(self) -> None:
        last = self.last_index
        if last == self._synced_index:
            return
        self._check_not_failed()
        first = max(self._synced_index, self._log.snapshot.index) + 1
        entries = self._log.entries_between(first, last)
        try:
            await self._steps.reach(wire.Step.APPEND, wire.Phase.BEFORE)
            await self._storage.append(entries)
            await self._steps.reach(wire.Step.SYNC, wire.Phase.BEFORE)
            await self._storage.sync()
            await self._steps.reach(wire.Step.SYNC, wire.Phase.AFTER)
        except _disk.DiskError as error:
            self._fail(error)
            raise self.not_leader() from error
        self._synced_index = last

    def _fail(self, error: BaseException) -> None:
        """Mark this replica as failed until it is restarted.

        After a failed sync, for example, the content of the disk is unknown.
        """
        self.error = error
        self._become_follower(None, "replica failed")
        self.role = Role.FAILED

    # Replication.

    def _start_replicators(self) -> None:
        for peer in self.config.members:
            if peer.id == self._me.id or peer.id in self._replicator_by_peer:
                continue
            self._acked_at_by_peer.setdefault(peer.id, self._clock.now())
            self._wake_by_peer[peer.id] = asyncio.Event()
            self._replicator_by_peer[peer.id] = asyncio.create_task(
                self._replicate(peer, self.term)
            )

    def _stop_replicators(self) -> None:
        for task in self._replicator_by_peer.values():
            task.cancel()
        self._replicator_by_peer.clear()
        self._wake_by_peer.clear()

    async def _replicate(self, peer: Member, term: int) -> None:
        self._next_index_by_peer[peer.id] = self.last_index + 1
        wake = self._wake_by_peer[peer.id]
        while self.role is Role.LEADER and self.term == term:
            if peer not in self.config.members:
                self._replicator_by_peer.pop(peer.id, None)
                return
            wake.clear()
            try:
                more = await self._send_next(peer)
                self._emit_replication(peer)
            except (wire.ServingError, _disk.DiskError) as error:
                self._emit_replication(peer, error)
                more = False
            if not more:
                await wire.wait_event(wake, self._timing.heartbeat_s)

    async def _send_next(self, peer: Member) -> bool:
        """Send the next entries or a snapshot; True when there is more."""
        next_index = self._next_index_by_peer[peer.id]
        if next_index <= self._log.snapshot.index:
            await self._send_snapshot(peer)
            return True
        entries = self._next_entries(next_index)
        request = _messages.AppendRequest(
            peer.id,
            self.term,
            self._me,
            next_index - 1,
            self._log.term_at(next_index - 1),
            entries,
            self.commit,
        )
        sent_at = self._clock.now()
        reply = await self._call(peer, _messages.APPEND, request)
        if not await self._leads_after_reply(reply, request.term):
            return False
        self._acked_at_by_peer[peer.id] = sent_at
        if not reply.success:
            retry_index = min(next_index - 1, reply.last_index + 1)
            self._next_index_by_peer[peer.id] = max(retry_index, 1)
            return True
        match = max(
            self._match_index_by_peer.get(peer.id, 0), reply.last_index
        )
        self._match_index_by_peer[peer.id] = match
        self._next_index_by_peer[peer.id] = match + 1
        await self._steps.reach(wire.Step.ACK, wire.Phase.AFTER)
        self._advance_commit()
        return match < self.last_index

    def _next_entries(self, next_index: int) -> tuple[Entry, ...]:
        """Return the entries for the next call to a peer."""
        batches = wire.batches(
            self._log.entries_after(next_index - 1),
            lambda entry: len(entry.data),
            MAX_ENTRIES_PER_APPEND,
            MAX_BYTES_PER_APPEND,
        )
        return next(batches, ())

    async def _send_snapshot(self, peer: Member) -> None:
        stored = await self._storage.read_snapshot()
        assert stored is not None
        meta, lines = stored
        term = self.term
        batches = wire.batches(lines, len, LINES_PER_PIECE, BYTES_PER_PIECE)
        # A snapshot without lines is sent as one empty piece.
        pieces = list(batches) or [()]
        for number, piece_lines in enumerate(pieces):
            piece = _messages.SnapshotPiece(
                peer.id,
                term,
                self._me,
                meta,
                number,
                piece_lines,
                number == len(pieces) - 1,
            )
            sent_at = self._clock.now()
            reply = await self._call(peer, _messages.SNAPSHOT, piece)
            if not await self._leads_after_reply(reply, term):
                return
            self._acked_at_by_peer[peer.id] = sent_at
            if not reply.success:
                raise wire.PeerLostError(
                    f"{peer.name} refused piece {number} of the snapshot; "
                    "it must be sent again from the start."
                )
        self._next_index_by_peer[peer.id] = meta.index + 1

    async def _leads_after_reply(
        self, reply: _messages.AppendReply, term: int
    ) -> bool:
        """Whether this replica still leads in *term*.

        A higher term in the reply is adopted, which ends the leadership.
        """
        if reply.term > self.term:
            await self._run_to_completion(self._learn_term, reply.term)
        return self.role is Role.LEADER and self.term == term

    def _quorum_acked_at(self) -> float:
        """Return the latest time at or after which a majority was called.

        Only answered calls count, by the time at which they were sent.
        """
        now = self._clock.now()
        times = [
            (
                now
                if m.id == self._me.id
                else self._acked_at_by_peer.get(m.id, 0.0)
            )
            for m in self.config.voters
        ]
        if not times:
            return 0.0
        times.sort(reverse=True)
        return times[self.config.majority - 1]

    def _advance_commit(self) -> None:
        """Commit the entries that a majority of the voters has synced.

        Entries of earlier terms are committed only together with one of the
        current term, since another leader could still overwrite them.
        """
        if self.role is not Role.LEADER:
            return
        matches = [
            (
                self._synced_index
                if m.id == self._me.id
                else self._match_index_by_peer.get(m.id, 0)
            )
            for m in self.config.voters
        ]
        matches.sort(reverse=True)
        index = matches[self.config.majority - 1]
        if index > self.commit and self._log.term_at(index) == self.term:
            self._raise_commit(index)

    def _raise_commit(self, index: int) -> None:
        if index > self.commit:
            self.commit = index
            self._commit_raised.set()

    def _append_reply(self, success: bool) -> _messages.AppendReply:
        return _messages.AppendReply(self.term, success, self.last_index)

    # Applying and snapshots.

    async def _apply(self) -> None:
        while True:
            await self._commit_raised.wait()
            self._commit_raised.clear()
            while self.applied < self.commit:
                await self._steps.reach(wire.Step.APPLY, wire.Phase.BEFORE)
                if self.applied < self.commit:
                    self._apply_next()
            await self._maybe_snapshot()

    def _apply_next(self) -> None:
        entry = self._log.entry_at(self.applied + 1)
        result: object = None
        if entry.kind is _messages.EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.data)
        self.applied = entry.index
        self._compaction.add(len(entry.data))
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None or waiter.done.done():
            return
        if waiter.term == entry.term:
            waiter.done.set_result(result)
        else:
            waiter.done.set_exception(self.not_leader())

    async def _maybe_snapshot(self) -> None:
        if self._snapshotting or not self._compaction.is_due:
            return
        self._snapshotting = True
        try:
            await self._take_snapshot()
        except _disk.DiskError as error:
            self._fail(error)
        finally:
            self._snapshotting = False

    async def _take_snapshot(self) -> None:
        index = self.applied
        config = self._log.config_at(index)
        meta = _messages.SnapshotMeta(index, self._log.term_at(index), config)
        async with self._lock:
            if self._incoming is not None or self.applied != index:
                return
            await self._steps.reach(wire.Step.SNAPSHOT, wire.Phase.BEFORE)
            size = await self._storage.write_snapshot(
                meta, self._machine.snapshot()
            )
            kept = self._log.entries_after(index)
            await self._storage.rewrite_log(kept)
            self._synced_index = kept[-1].index if kept else index
            self._log.compact(meta)
            self._compaction.reset(size)
        await self._steps.reach(wire.Step.SNAPSHOT, wire.Phase.AFTER)

    # Membership.

    async def _join(self) -> None:
        """Ask to join while this replica is not known to be a voter."""
        while True:
            if self._forms and not self.config.voters:
                await self._form_if_first_seed()
            await self._clock.sleep(JOIN_INTERVAL_S)
            if (
                self.config.has_voter(self._me.id)
                and not self._may_have_been_removed()
            ):
                continue
            for seed in self._seeds:
                if seed != self._address and await self._request_join(seed):
                    break

    def _may_have_been_removed(self) -> bool:
        """Whether this replica may have been removed while it was away.

        A removed replica is not notified: its own configuration still lists
        it as a voter.
        """
        heard_s = self._clock.now() - self._last_contact_at
        return self.role is not Role.LEADER and (
            heard_s >= self._timing.election_s
        )

    async def _form_if_first_seed(self) -> None:
        """Form the log if this seed has the lowest address (as a string)."""
        if not self._seeds or self._address != min(self._seeds):
            return
        with contextlib.suppress(wire.ServingError):
            await self.form()

    async def _request_join(self, seed: str) -> bool:
        request = _messages.JoinRequest(self._me)
        address: str | None = seed
        for _ in range(MAX_REDIRECTS):
            try:
                await self._transport.call(
                    address, _messages.JOIN, request, self._timing.call_s
                )
                return True
            except wire.NotLeaderError as error:
                address = error.use
            except wire.ServingError:
                return False
            if address is None:
                return False
        return False

    async def _add_replica(self, member: Member) -> None:
        """Add a replica as a learner, then as a voter once it caught up.

        A voter of the same name is replaced in one step. That is safe
        because the earlier replica lost its disk, so it can never vote or
        acknowledge again, and because the new one already has every
        committed entry. Adding the new voter first would need three of four
        voters until the removal, and the loss of one more replica at that
        moment would stop the log for good.
        """
        if self.config.has_voter(member.id):
            return
        with contextlib.suppress(wire.ServingError):
            await self._steps.reach(wire.Step.JOIN, wire.Phase.BEFORE)
            await self._change(
                lambda config: _membership.with_learner(config, member)
            )
            await self._wait_caught_up(member)
            if not await self._free_voter_slot(member):
                return
            await self._change(lambda config: self._with_voter(config, member))
            if self.config.has_voter(member.id):
                logging.info(
                    "quorum: Added %s as a voter. voters=%d",
                    member.id,
                    len(self.config.voters),
                )
            await self._steps.reach(wire.Step.JOIN, wire.Phase.AFTER)

    def _has_voter_slot(self, config: Config, member: Member) -> bool:
        """Whether a replica may become a voter without removing another.

        It may replace a voter of its own name, or take a free slot.
        """
        replaces_voter = any(
            voter.name == member.name for voter in config.voters
        )
        if replaces_voter or self._max_voters is None:
            return True
        return len(config.voters) < self._max_voters

    def _with_voter(self, config: Config, member: Member) -> Config:
        """Add a voter, unless another replica has taken the free slot."""
        if not self._has_voter_slot(config, member):
            return config
        return _membership.with_voter(config, member)

    async def _free_voter_slot(self, member: Member) -> bool:
        """Free a slot for a voter; False when no voter may be removed.

        The disk of a removed voter may still exist, so its removal is a
        change of its own: every majority of the old voters then overlaps
        every majority of the new ones.
        """
        if self._has_voter_slot(self.config, member):
            return True
        removed = self._silent_voter() or self._overrepresented_voter(member)
        if removed is None:
            return False

        def without(config: Config) -> Config:
            if self._has_voter_slot(config, member):
                return config
            return _membership.without_voter(config, removed)

        await self._change(without)
        return True

    def _silent_s(self, member: Member) -> float:
        """Return for how long a replica has answered no call."""
        if member.id == self._me.id:
            return 0.0
        return self._clock.now() - self._acked_at_by_peer.get(member.id, 0.0)

    def _answers(self, member: Member) -> bool:
        """Whether a replica answers now, and did since this one leads.

        Right after an election the calls of the leader before count as
        answered.
        """
        if member.id == self._me.id:
            return True
        return (
            member.id in self._match_index_by_peer
            and self._silent_s(member) < self._timing.election_s
        )

    def answering_followers(self) -> tuple[Member, ...]:
        """Return the other replicas that answer this leader now."""
        return tuple(
            member
            for member in self.config.members
            if member.id != self._me.id and self._answers(member)
        )

    def _is_unresponsive(self, member: Member) -> bool:
        return self._silent_s(member) > UNRESPONSIVE_AFTER_S

    def _silent_voter(self) -> Member | None:
        silent = filter(self._is_unresponsive, self.config.voters)
        return next(silent, None)

    def _overrepresented_voter(self, member: Member) -> Member | None:
        """Return a voter to replace so that voters spread more evenly.

        The voter is in the domain with the most voters, which has at least
        two more than the domain of *member*. With an even spread over the
        domains, the loss of a whole domain leaves a majority wherever that
        is possible. Each replacement makes the spread more even, so
        replacements end.

        None while any voter does not answer: without the voter that is
        replaced, those that answer may be no majority any more, and the log
        could not even be changed back. The voter that does not answer is
        replaced itself once it counts as unresponsive.
        """
        if not all(map(self._answers, self.config.voters)):
            return None
        counts = collections.Counter(v.domain for v in self.config.voters)
        others = [v for v in self.config.voters if v.id != self._me.id]
        replaced = max(others, key=lambda v: counts[v.domain], default=None)
        if replaced is None:
            return None
        excess = counts[replaced.domain] - counts[member.domain]
        return replaced if excess > 1 else None

    async def _wait_caught_up(self, member: Member) -> None:
        """Wait until a learner has every committed entry.

        Raises:
            NotLeaderError: this replica is no longer the leader.
            PeerLostError: the learner does not answer. It may have lost its
                disk again, and the replica that replaces it can't be added
                while this wait lasts.
        """
        while self._match_index_by_peer.get(member.id, 0) < self.commit:
            if not self.is_leader:
                raise self.not_leader()
            if self._is_unresponsive(member):
                raise wire.PeerLostError(f"{member.name} does not answer.")
            await self._clock.sleep(self._timing.heartbeat_s / 4)

    async def _change(
        self, edit: collections.abc.Callable[[Config], Config]
    ) -> None:
        """Commit an edited configuration once the one before is committed.

        Args:
            edit: returns a configuration in which at most one voter is
                added, removed or replaced.
        """
        while self._log.config_index > self.commit and self.is_leader:
            await self._clock.sleep(self._timing.heartbeat_s / 4)
        if not self.holds_lease():
            raise self.not_leader()
        config = edit(self.config)
        if config == self.config:
            return
        index = self._append_local(
            _messages.EntryKind.CONFIG, wire.encode(config)
        )
        await self._wait_applied(index)

    async def _call(
        self,
        peer: Member,
        call: wire.Call,
        request: object,
        timeout_s: float | None = None,
    ) -> typing.Any:
        return await self._transport.call(
            peer.address, call, request, timeout_s or self._timing.call_s
        )
