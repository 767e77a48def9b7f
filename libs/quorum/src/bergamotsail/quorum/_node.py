"""One replica of the log: elections, replication, commit and membership.

All handlers that change durable state run under one lock, one after the
other. There is one task for the election, one for flushing to disk, one for
applying, and one for each peer while this replica leads.
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

from bergamotsail.quorum import _disk
from bergamotsail.quorum import _log
from bergamotsail.quorum import _machine
from bergamotsail.quorum import _membership
from bergamotsail.quorum import _messages
from bergamotsail.quorum import _storage
from bergamotsail import wire

MAX_BATCH = 256
SNAPSHOT_LINES = 500
JOIN_INTERVAL_S = 0.5
CONFIRM_POLL_S = 0.005
SILENT_VOTER_S = 2.0
MOST_REDIRECTS = 2
# Seeds that start together with this replica read their disks by then.
FORM_WAIT_S = 5.0
FORM_RETRY_S = 0.1
# Shares of the election timeout: within which replicas that start together
# spread their first normal stand, and the first stand for the votes of all;
# how long until that is tried again; how long a vote is then waited for.
START_SPREAD = 0.6
# For this share of it a leader may be silent before callers are no longer
# sent to it: three of its heartbeats.
DOUBTED_SHARE = 0.6
EARLY_SPREAD = 0.15
EARLY_RETRY = 0.2
EARLY_CALL = 0.3
# For this share of the election timeout a replica that would vote for one
# candidate tells no other that it would: longer than a vote takes.
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

    *drift* is the largest relative difference between two clocks.
    *snapshot_entries* is how many entries are kept before a snapshot.
    A replica stands after *election_s* to *election_spread* times it.
    """

    election_s: float = 1.0
    heartbeat_s: float = 0.2
    call_s: float = 1.0
    drift: float = 0.05
    snapshot_entries: int = 4000
    election_spread: float = 2.0

    @property
    def doubted_s(self) -> float:
        """After so long without a word a leader is likely lost."""
        return DOUBTED_SHARE * self.election_s


class ElectionObserver(abc.ABC):
    """Hears of each change of role, each stand and each vote asked for."""

    @abc.abstractmethod
    def on_election_event(self, what: str, fields: dict[str, object]) -> None:
        """Take it without blocking; *what* is role, stand or ballot."""


class NoWitness(ElectionObserver):
    """Hears nothing."""

    def on_election_event(self, what: str, fields: dict[str, object]) -> None:
        pass


class _Waiter(typing.NamedTuple):
    term: int
    done: asyncio.Future


class Node:
    """A replica; an async context manager that runs its tasks.

    Args:
        name: the lasting name of this replica.
        address: where its peers reach it.
        seeds: addresses of the replicas, to join through.
        storage: its disk.
        transport: how it calls its peers.
        machine: what it applies commands to.
        rng: draws election timeouts.
        forms: the first of the seeds forms the log by itself, once all of
            them are there and blank. True at the very first start only.
        max_voters: a further replica waits as a learner until a voter
            falls silent, or until one domain has two voters more than its
            own, and then takes a place.
        domain: what may be lost as a whole with this replica.
        started_at: when this process started, on the clock; the time of
            the first load when None.
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
        self.election_observer: ElectionObserver = NoWitness()
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
        self._on_disk = 0
        self._last_contact_at = 0.0
        self._no_election_before = float("-inf")
        self._heard_leader = False
        self._answer_by_name: dict[str, str] = {}
        self._handed_in = -1
        self._word_for: str | None = None
        self._word_until = 0.0
        self._ready_index = 0
        self._transferring = False
        self._incoming: tuple[_messages.SnapshotMeta, int] | None = None
        self._incoming_lines = 0
        self._lock = asyncio.Lock()
        self._flush_wanted = asyncio.Event()
        self._commit_moved = asyncio.Event()
        self._stand_now = asyncio.Event()
        self._waiter_by_index: dict[int, _Waiter] = {}
        self._next_by_peer: dict[str, int] = {}
        self._match_by_peer: dict[str, int] = {}
        self._acked_by_peer: dict[str, float] = {}
        self._wake_by_peer: dict[str, asyncio.Event] = {}
        self._replicator_by_peer: dict[str, asyncio.Task] = {}
        self._joining: dict[str, asyncio.Task] = {}
        self._snapshotting = False
        self._forms = forms
        self._started_at = started_at
        self._max_voters = max_voters
        self._loaded = False
        self._under_way: set[asyncio.Future] = set()
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
            *self._joining.values(),
            *self._under_way,
        ]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._fail_waiters()

    async def _supervise(
        self,
        work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Stop this replica for good when one of its tasks breaks."""
        try:
            await work()
        except Exception as error:
            self._fail(error)

    def serve(self, server: wire.PeerServer) -> None:
        """Answer the calls of other replicas."""
        for call, handler in (
            (_messages.VOTE, self.on_vote),
            (_messages.APPEND, self.on_append),
            (_messages.SNAPSHOT, self.on_snapshot),
            (_messages.FORM, self.on_form),
        ):
            to_its_end = functools.partial(self._run_to_completion, handler)
            server.serve(call, to_its_end)
        server.serve(_messages.LEAD, self.on_lead)
        server.serve(_messages.HELLO, self.on_hello)
        server.serve(_messages.JOIN, self.on_join)

    async def _run_to_completion(
        self,
        work: collections.abc.Callable[..., collections.abc.Awaitable],
        *args: object,
    ) -> typing.Any:
        """Do work on the disk to its end, though its caller goes away.

        Ended between a write and its note in memory, it would leave the
        two out of step: the next write would repeat the same entries.
        """
        task = asyncio.ensure_future(work(*args))
        self._under_way.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    def _ended(self, task: asyncio.Future) -> None:
        self._under_way.discard(task)
        if not task.cancelled():
            # A caller that went away is nobody to raise to.
            task.exception()

    # What users of the log see.

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
        """Index up to which the log was replaced by a snapshot."""
        return self._log.snapshot.index

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and knows all committed entries."""
        return (
            self.role is Role.LEADER
            and self._ready_index > 0
            and self.applied >= self._ready_index
        )

    def holds_lease(self) -> bool:
        """Whether surely no other replica leads at this moment.

        Followers give no vote for one election timeout after they heard
        from a leader, so no other can be elected before then.
        """
        if not self.is_leader or self._transferring:
            return False
        sure_s = self._timing.election_s * (1 - self._timing.drift)
        return self._clock.now() < self._quorum_acked_at() + sure_s

    async def propose(self, command: bytes) -> object:
        """Commit a command and return what the machine made of it.

        Raises:
            NotLeaderError: this replica does not lead; nothing was done.
            UnknownOutcomeError: leadership was lost; it may yet commit.
        """
        if not self.holds_lease():
            raise self.not_leader()
        index = self._append_local(_messages.EntryKind.COMMAND, command)
        return await self._applied_at(index)

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader was heard of late, or this replica leads.

        One that has been silent for longer is likely lost; to send a
        caller there lets him wait for his time-out.
        """
        if self.role is Role.LEADER:
            return True
        heard_s = self._clock.now() - self._last_contact_at
        return self.leader is not None and heard_s < self._timing.doubted_s

    def not_leader(self) -> wire.ServingError:
        """Return the typed error for a call that only a leader answers."""
        if self.role is Role.FAILED:
            return wire.ReplicaFailedError(
                f"The disk of replica {self.name} failed. Ask another.",
                retry_after_s=1.0,
            )
        known = self.leader is not None and self.leader.id != self._me.id
        known = known and self.has_leader_contact
        return wire.NotLeaderError(
            f"Replica {self.name} does not lead. Ask the leader.",
            retry_after_s=self._timing.election_s,
            use=self.leader.address if known else None,
        )

    async def confirm_leadership(self, timeout_s: float) -> None:
        """Wait until a majority has answered a call sent after this one.

        What is read after it is then the newest, whatever the clocks do.

        Raises:
            NotLeaderError: this replica does not lead, or not for sure.
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
        """Hand leadership to the most advanced voter, as far as possible."""
        if self.role is not Role.LEADER:
            return
        others = [m for m in self.config.voters if m.id != self._me.id]
        if not others:
            return
        self._transferring = True
        try:
            heir = max(others, key=lambda m: self._match_by_peer.get(m.id, 0))
            deadline = self._clock.now() + self._timing.election_s
            while (
                self.role is Role.LEADER
                and self._clock.now() < deadline
                and self._match_by_peer.get(heir.id, 0) < self.last_index
            ):
                await self._clock.sleep(self._timing.heartbeat_s / 10)
            request = _messages.LeadRequest(heir.id, self.term)
            with contextlib.suppress(wire.ServingError):
                await self._call(heir, _messages.LEAD, request)
            while self.role is Role.LEADER and self._clock.now() < deadline:
                await self._clock.sleep(self._timing.heartbeat_s / 10)
        finally:
            # The heir may stand at any later moment without waiting for
            # our lease to end, so this lease is never used again.
            if self.role is Role.LEADER:
                self._become_follower(None, "handed on")

    async def form(self) -> None:
        """Start a new log with all the seeds, which must all be blank.

        Raises:
            ConflictError: a seed already holds a log.
        """
        replies = await asyncio.gather(
            *(self._hello_when_started(seed) for seed in self._seeds)
        )
        if not all(reply.blank for reply in replies):
            raise wire.ConflictError(
                "A replica already holds a log. Start the others and let "
                "them join; form only once."
            )
        config = Config(tuple(reply.member for reply in replies))
        for member in config.voters:
            request = _messages.FormRequest(member.id, config)
            await self._call(member, _messages.FORM, request)

    async def _hello_when_started(self, seed: str) -> _messages.HelloReply:
        """Ask a seed who it is, again while it still reads its disk."""
        gives_up_at = self._clock.now() + FORM_WAIT_S
        while True:
            try:
                return await self._transport.call(
                    seed,
                    _messages.HELLO,
                    _messages.Hello(),
                    self._timing.call_s,
                )
            except wire.StartingError:
                if self._clock.now() >= gives_up_at:
                    raise
                await self._clock.sleep(FORM_RETRY_S)

    # Calls from other replicas.

    async def on_hello(self, _: _messages.Hello) -> _messages.HelloReply:
        """Say who this replica is."""
        self._check_loaded()
        return _messages.HelloReply(
            self._me, not self.config.voters, self.leader
        )

    async def on_form(self, request: _messages.FormRequest) -> _messages.Empty:
        """Take the first configuration, if blank."""
        self._check_to(request.to)
        async with self._lock:
            if self.last_index > 0:
                raise wire.ConflictError("This replica already holds a log.")
            data = wire.encode(request.config)
            entry = Entry(1, 1, _messages.EntryKind.CONFIG, data)
            self._add_entry(entry)
            await self._flush_locked()
        return _messages.Empty()

    async def on_vote(
        self, request: _messages.VoteRequest
    ) -> _messages.VoteReply:
        """Give or refuse a vote; a given vote is on disk first."""
        self._check_to(request.to)
        async with self._lock:
            self._check_disk()
            why = self._refusal(request)
            self._note_ballot(request, why)
            if why or request.pre:
                return _messages.VoteReply(self.term, not why, why)
            await self._steps.reach(wire.Step.VOTE, wire.Phase.BEFORE)
            if request.term > self.term:
                self._become_follower(None, "voted for another")
            self._last_contact_at = self._clock.now()
            await self._save_vote(
                _messages.Vote(request.term, request.candidate)
            )
            await self._steps.reach(wire.Step.VOTE, wire.Phase.AFTER)
            return _messages.VoteReply(self.term, True)

    async def on_append(
        self, request: _messages.AppendRequest
    ) -> _messages.AppendReply:
        """Take entries from the leader; they are on disk before the reply."""
        self._check_to(request.to)
        async with self._lock:
            self._check_disk()
            if not await self._follow(request.term, request.leader):
                return self._append_reply(False)
            if not self._log.matches(request.prev_index, request.prev_term):
                return self._append_reply(False)
            await self._take_entries(request.entries)
            await self._flush_locked()
            self._last_contact_at = self._clock.now()
            last = request.prev_index + len(request.entries)
            self._move_commit(min(request.commit, last))
            await self._steps.reach(wire.Step.ACK, wire.Phase.BEFORE)
            return _messages.AppendReply(self.term, True, last)

    async def on_snapshot(
        self, piece: _messages.SnapshotPiece
    ) -> _messages.AppendReply:
        """Take a part of a snapshot; install it after the last."""
        self._check_to(piece.to)
        async with self._lock:
            self._check_disk()
            if not await self._follow(piece.term, piece.leader):
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
        """Stand for election at once, on the leader's own word."""
        self._check_to(request.to)
        if request.term == self.term:
            self._handed_in = request.term
            self._stand_now.set()
        return _messages.Empty()

    async def on_join(self, request: _messages.JoinRequest) -> _messages.Empty:
        """Start to bring a replica in, through the learner stage."""
        if not self.is_leader:
            raise self.not_leader()
        name = request.member.name
        running = self._joining.get(name)
        if running is None or running.done():
            self._joining[name] = asyncio.create_task(
                self._bring_in(request.member)
            )
        return _messages.Empty()

    def _check_loaded(self) -> None:
        """Refuse calls that come before the disk was read.

        A vote, an acknowledgement or an id given until then would be that
        of another replica, which has no past.
        """
        if not self._loaded:
            raise wire.StartingError(
                f"Replica {self.name} reads its disk. Ask again soon.",
                retry_after_s=self._timing.heartbeat_s,
            )

    def _check_to(self, to: str) -> None:
        self._check_loaded()
        if to != self._me.id:
            raise wire.NotFoundError(
                f"Replica {to} is not here; this is {self._me.id}. Its disk "
                "was replaced."
            )

    def _check_disk(self) -> None:
        if self.role is Role.FAILED:
            raise self.not_leader()

    # Elections.

    def _refusal(self, request: _messages.VoteRequest) -> str:
        """Return why no vote is given; empty when it is.

        Why stands in lines of the log and is for people only.
        """
        heard_s = self._clock.now() - self._last_contact_at
        waits = heard_s < self._timing.election_s and not request.transfer
        # Who heard no leader since its start waits only for the lease of
        # one that still leads, and a leader does not give its vote.
        alone = request.unanimous and not self._heard_leader
        if request.term < self.term:
            return "old term"
        if waits and not alone:
            return f"heard {heard_s:.3f} s ago"
        if self.holds_lease() and not request.transfer:
            return "holds the lease"
        if self.role is Role.LEADER and request.term == self.term:
            return "leads"
        mine = (self._log.term_at(self.last_index), self.last_index)
        if (request.last_term, request.last_index) < mine:
            return "log behind"
        if request.pre:
            taken = self._reserve_pre_vote(request.candidate)
            return "" if taken else "another's turn"
        free = self._vote.voted_for in (None, request.candidate)
        return "" if request.term > self.term or free else "voted"

    async def _elect(self) -> None:
        await self._stand_early()
        while True:
            wait_s = self._timing.election_s * self._rng.uniform(
                1.0, self._timing.election_spread
            )
            await self._wait_for_election(wait_s)
            if self.role is Role.LEADER:
                self._check_quorum()
                continue
            # The word of a leader of an earlier term passes by no lease.
            handed = self._handed_in == self.term
            transfer = self._stand_now.is_set() and handed
            self._stand_now.clear()
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

    async def _stand_early(self) -> None:
        """Stand before the usual wait, for the votes of all.

        After a start of all replicas at once nobody can hold a lease, and
        unanimous votes show that it is so.
        """
        if not self.config.voters:
            return
        pause_s = self._timing.election_s * self._rng.uniform(0, EARLY_SPREAD)
        ends_at = self._last_contact_at + self._timing.election_s
        while not self._heard_leader and self._clock.now() < ends_at:
            await self._clock.sleep(pause_s)
            pause_s = self._timing.election_s * EARLY_RETRY
            pause_s *= self._rng.uniform(0.5, 1.5)
            if self._heard_leader or self.role is not Role.FOLLOWER:
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
            self._stand_now, max(left_s, self._timing.heartbeat_s)
        )

    def _check_quorum(self) -> None:
        silent_s = self._clock.now() - self._quorum_acked_at()
        if silent_s > self._timing.election_s:
            logging.info(
                "quorum: No majority answers. silent_s=%.3f", silent_s
            )
            self._become_follower(None, f"unanswered {silent_s:.3f} s")

    async def _run_election(
        self, transfer: bool, unanimous: bool = False
    ) -> None:
        logging.info(
            "quorum: Stands. term=%d heard_s=%.3f transfer=%s unanimous=%s",
            self.term,
            self._clock.now() - self._last_contact_at,
            transfer,
            unanimous,
        )
        term, heard_at = self.term, self._last_contact_at
        self._answer_by_name.clear()
        if transfer:
            # The leader that asked for this stand may be heard meanwhile.
            heard_at = float("inf")
        elif not await self._passes_before(unanimous):
            self._note_stand("no word", heard_at, unanimous)
            if unanimous:
                return
            self._last_contact_at = max(
                self._last_contact_at,
                self._clock.now() - self._timing.election_s,
            )
            return
        async with self._lock:
            if not self._election_still_valid(term, heard_at):
                self._note_stand("another ahead", heard_at, unanimous)
                return
            self._become_follower(None)
            self.role = Role.CANDIDATE
            await self._save_vote(_messages.Vote(self.term + 1, self._me.id))
            term = self.term
        asked_at = self._clock.now()
        won = await self._request_votes(False, transfer, unanimous)
        async with self._lock:
            still = self.role is Role.CANDIDATE and self.term == term
            end = ("won" if won else "not won") if still else "overtaken"
            self._note_stand(end, heard_at, unanimous)
            if not still:
                return
            if won:
                self._become_leader(asked_at)
            else:
                self.role = Role.FOLLOWER
                self._back_off()

    async def _passes_before(self, unanimous: bool) -> bool:
        """Ask whether votes would be given; raises no term."""
        if not self._reserve_pre_vote(self._me.id):
            return False
        return await self._request_votes(True, False, unanimous)

    def _reserve_pre_vote(self, candidate: str) -> bool:
        """Whether no other candidate has this replica's word for now.

        Of candidates that stand within moments only one passes the vote
        before the vote. Two that did would raise their terms, and the one
        that loses could depose the winner by a higher term. A word binds
        for PRE_VOTE_HOLD only and is no vote: it keeps nobody's lease, and
        to refuse it is always safe.
        """
        now = self._clock.now()
        other = self._word_for not in (None, candidate)
        if other and now < self._word_until:
            return False
        self._word_for = candidate
        self._word_until = now + self._timing.election_s * PRE_VOTE_HOLD
        return True

    def _election_still_valid(self, term: int, heard_at: float) -> bool:
        """Whether nothing came meanwhile that ends a stand for this term.

        A vote given, a leader heard or a term learned while the votes were
        asked for shows that another is ahead. Standing on with a higher
        term would depose it, and win nothing from who has just voted.
        """
        if self.role is not Role.FOLLOWER or self.term != term:
            return False
        return self._last_contact_at <= heard_at

    def _back_off(self) -> None:
        """Wait at random before standing again after a split vote.

        Replicas that stand at the same moment would else do so for ever.
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
        ballot = _messages.VoteRequest(
            "",
            term,
            self._me.id,
            self.last_index,
            self._log.term_at(self.last_index),
            pre,
            transfer,
            unanimous,
        )
        asked = {
            asyncio.create_task(self._ask_vote(m, ballot)) for m in others
        }
        try:
            while granted < needed <= granted + len(asked):
                done, asked = await asyncio.wait(
                    asked, return_when=asyncio.FIRST_COMPLETED
                )
                granted += sum(task.result() for task in done)
        finally:
            for task in asked:
                task.cancel()
        return granted >= needed

    def _votes_needed(self, unanimous: bool) -> int:
        if unanimous:
            return len(self.config.voters)
        return self.config.majority

    async def _ask_vote(
        self, peer: Member, ballot: _messages.VoteRequest
    ) -> int:
        request = dataclasses.replace(ballot, to=peer.id)
        timeout_s = self._timing.call_s
        if request.unanimous:
            timeout_s = self._timing.election_s * EARLY_CALL
        try:
            reply = await self._call(peer, _messages.VOTE, request, timeout_s)
        except wire.ServingError as error:
            self._answer_by_name[peer.name] = error.code
            return 0
        self._answer_by_name[peer.name] = reply.why or "granted"
        if reply.term > self.term and not reply.granted:
            await self._run_to_completion(self._learn_term, reply.term)
        return int(reply.granted)

    async def _learn_term(self, term: int) -> None:
        async with self._lock:
            await self._adopt_term(term)

    async def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._become_follower(None, f"term {term} heard")
            await self._save_vote(_messages.Vote(term, None))

    async def _follow(self, term: int, leader: Member) -> bool:
        """Accept a leader of this term; False when it is an old one."""
        if term < self.term:
            return False
        await self._adopt_term(term)
        if self.role is Role.CANDIDATE:
            self._become_follower(leader)
        if self.leader is None or self.leader.id != leader.id:
            logging.info(
                "quorum: Follows %s. term=%d last=%d",
                leader.id,
                term,
                self.last_index,
            )
            self._note_role("follows", f"heard {leader.name}")
        self.leader = leader
        self._heard_leader = True
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
                "quorum: Leads no more. term=%d commit=%d",
                self.term,
                self.commit,
            )
            self._note_role("leads no more", why, self._answered_s())
            self._last_contact_at = self._clock.now()
            self._fail_waiters()
            self._stop_replicators()

    def _become_leader(self, asked_at: float) -> None:
        """Lead; the lease counts from when votes were asked for."""
        self.role = Role.LEADER
        self.leader = self._me
        self._heard_leader = True
        logging.info(
            "quorum: Leads. term=%d last=%d commit=%d",
            self.term,
            self.last_index,
            self.commit,
        )
        self._note_role("leads", "")
        self._transferring = False
        self._next_by_peer.clear()
        self._match_by_peer.clear()
        self._acked_by_peer = {m.id: asked_at for m in self.config.members}
        self._ready_index = self._append_local(_messages.EntryKind.NOOP, b"")
        self._start_replicators()

    # What a witness is told.

    def _note_role(
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
        self.election_observer.on_election_event("role", fields)

    def _answered_s(self) -> dict[str, float]:
        """Return how long ago what each peer answered last was sent."""
        now = self._clock.now()
        return {
            peer.name: round(now - self._acked_by_peer[peer.id], 3)
            for peer in self.config.members
            if peer.id in self._acked_by_peer and peer != self._me
        }

    def _note_stand(self, end: str, heard_at: float, unanimous: bool) -> None:
        heard_s = self._clock.now() - min(heard_at, self._last_contact_at)
        fields = {
            "end": end,
            "term": self.term,
            "heard_s": round(heard_s, 3),
            "unanimous": unanimous,
            "answers": dict(self._answer_by_name),
        }
        self.election_observer.on_election_event("stand", fields)

    def _note_ballot(self, request: _messages.VoteRequest, why: str) -> None:
        fields = {
            "candidate": request.candidate,
            "asked_term": request.term,
            "pre": request.pre,
            "unanimous": request.unanimous,
            "term": self.term,
            "refused": why or None,
        }
        self.election_observer.on_election_event("ballot", fields)

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
                # A waiter whose caller went away is nobody's to read.
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

    async def _applied_at(self, index: int) -> object:
        done = asyncio.get_running_loop().create_future()
        self._waiter_by_index[index] = _Waiter(self.term, done)
        return await done

    async def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.index <= self._log.snapshot.index:
                continue
            if entry.index <= self.last_index:
                if self._log.term_at(entry.index) == entry.term:
                    continue
                await self._cut_after(entry.index - 1)
            self._add_entry(entry)

    async def _cut_after(self, index: int) -> None:
        self._log.cut_after(index)
        if self._on_disk > index:
            try:
                await self._storage.truncate_after(index)
            except _disk.DiskError as error:
                self._fail(error)
                raise self.not_leader() from error
            self._on_disk = index

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
        self._on_disk = self.last_index
        # A vote may have been refused just before the restart because a
        # leader had been heard, so wait as if it had been heard when this
        # process started; nothing was heard or promised after that.
        self._last_contact_at = self._clock.now()
        if self._started_at is not None:
            self._last_contact_at = min(
                self._last_contact_at, self._started_at
            )
            # Those that start together would else stand together.
            spread_s = self._timing.election_s * START_SPREAD
            self._no_election_before = self._clock.now() + self._rng.uniform(
                0.0, spread_s
            )
        self._loaded = True

    async def _restore(self, meta: _messages.SnapshotMeta) -> None:
        stored = await self._storage.read_snapshot()
        assert stored is not None
        self._machine.restore(meta.index, stored[1])
        self._log.restart(meta)
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
        self._on_disk = meta.index
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
        if last == self._on_disk:
            return
        self._check_disk()
        first = max(self._on_disk, self._log.snapshot.index) + 1
        entries = self._log.between(first, last)
        try:
            await self._steps.reach(wire.Step.APPEND, wire.Phase.BEFORE)
            await self._storage.append(entries)
            await self._steps.reach(wire.Step.SYNC, wire.Phase.BEFORE)
            await self._storage.sync()
            await self._steps.reach(wire.Step.SYNC, wire.Phase.AFTER)
        except _disk.DiskError as error:
            self._fail(error)
            raise self.not_leader() from error
        self._on_disk = last

    def _fail(self, error: BaseException) -> None:
        """Stop for good: what a failed sync left on disk is not known."""
        self.error = error
        self._become_follower(None, "the disk failed")
        self.role = Role.FAILED

    # Replication.

    def _start_replicators(self) -> None:
        for peer in self.config.members:
            if peer.id == self._me.id or peer.id in self._replicator_by_peer:
                continue
            self._acked_by_peer.setdefault(peer.id, self._clock.now())
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
        self._next_by_peer[peer.id] = self.last_index + 1
        wake = self._wake_by_peer[peer.id]
        while self.role is Role.LEADER and self.term == term:
            if peer not in self.config.members:
                self._replicator_by_peer.pop(peer.id, None)
                return
            wake.clear()
            try:
                more = await self._send_next(peer)
            except (wire.ServingError, _disk.DiskError):
                more = False
            if not more:
                await wire.wait_event(wake, self._timing.heartbeat_s)

    async def _send_next(self, peer: Member) -> bool:
        """Send what the peer needs next; True when there is more."""
        following = self._next_by_peer[peer.id]
        if following <= self._log.snapshot.index:
            await self._send_snapshot(peer)
            return True
        last = min(self.last_index, following + MAX_BATCH - 1)
        entries = self._log.between(following, last)
        request = _messages.AppendRequest(
            peer.id,
            self.term,
            self._me,
            following - 1,
            self._log.term_at(following - 1),
            entries,
            self.commit,
        )
        sent_at = self._clock.now()
        reply = await self._call(peer, _messages.APPEND, request)
        if not await self._still_leading(reply, request.term):
            return False
        self._acked_by_peer[peer.id] = sent_at
        if not reply.success:
            back = min(following - 1, reply.last_index + 1)
            self._next_by_peer[peer.id] = max(back, 1)
            return True
        match = max(self._match_by_peer.get(peer.id, 0), reply.last_index)
        self._match_by_peer[peer.id] = match
        self._next_by_peer[peer.id] = match + 1
        await self._steps.reach(wire.Step.ACK, wire.Phase.AFTER)
        self._advance_commit()
        return match < self.last_index

    async def _send_snapshot(self, peer: Member) -> None:
        stored = await self._storage.read_snapshot()
        assert stored is not None
        meta, lines = stored
        term = self.term
        starts = range(0, max(len(lines), 1), SNAPSHOT_LINES)
        for number, start in enumerate(starts):
            piece = _messages.SnapshotPiece(
                peer.id,
                term,
                self._me,
                meta,
                number,
                tuple(lines[start : start + SNAPSHOT_LINES]),
                start + SNAPSHOT_LINES >= len(lines),
            )
            sent_at = self._clock.now()
            reply = await self._call(peer, _messages.SNAPSHOT, piece)
            if not await self._still_leading(reply, term):
                return
            self._acked_by_peer[peer.id] = sent_at
            if not reply.success:
                raise wire.PeerLostError("The snapshot must start again.")
        self._next_by_peer[peer.id] = meta.index + 1

    async def _still_leading(
        self, reply: _messages.AppendReply, term: int
    ) -> bool:
        if reply.term > self.term:
            await self._run_to_completion(self._learn_term, reply.term)
        return self.role is Role.LEADER and self.term == term

    def _quorum_acked_at(self) -> float:
        """Return when the latest call that a majority answered was sent."""
        now = self._clock.now()
        times = [
            now if m.id == self._me.id else self._acked_by_peer.get(m.id, 0.0)
            for m in self.config.voters
        ]
        if not times:
            return 0.0
        times.sort(reverse=True)
        return times[self.config.majority - 1]

    def _advance_commit(self) -> None:
        if self.role is not Role.LEADER:
            return
        matches = [
            (
                self._on_disk
                if m.id == self._me.id
                else self._match_by_peer.get(m.id, 0)
            )
            for m in self.config.voters
        ]
        matches.sort(reverse=True)
        index = matches[self.config.majority - 1]
        if index > self.commit and self._log.term_at(index) == self.term:
            self._move_commit(index)

    def _move_commit(self, index: int) -> None:
        if index > self.commit:
            self.commit = index
            self._commit_moved.set()

    def _append_reply(self, success: bool) -> _messages.AppendReply:
        return _messages.AppendReply(self.term, success, self.last_index)

    # Applying and snapshots.

    async def _apply(self) -> None:
        while True:
            await self._commit_moved.wait()
            self._commit_moved.clear()
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
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None or waiter.done.done():
            return
        if waiter.term == entry.term:
            waiter.done.set_result(result)
        else:
            waiter.done.set_exception(self.not_leader())

    async def _maybe_snapshot(self) -> None:
        behind = self.applied - self._log.snapshot.index
        if behind < self._timing.snapshot_entries or self._snapshotting:
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
            await self._storage.write_snapshot(meta, self._machine.snapshot())
            kept = self._log.after(index)
            await self._storage.rewrite_log(kept)
            self._on_disk = kept[-1].index if kept else index
            self._log.compact(meta)
        await self._steps.reach(wire.Step.SNAPSHOT, wire.Phase.AFTER)

    # Membership.

    async def _join(self) -> None:
        """Ask to be a voter for as long as this replica is none."""
        while True:
            if self._forms and not self.config.voters:
                await self._form_first()
            await self._clock.sleep(JOIN_INTERVAL_S)
            if (
                self.config.has_voter(self._me.id)
                and not self._may_have_been_removed()
            ):
                continue
            for seed in self._seeds:
                if seed != self._address and await self._ask_to_join(seed):
                    break

    def _may_have_been_removed(self) -> bool:
        """Whether this replica may have been let go while it was away.

        Nobody tells it: its own configuration still says that it votes.
        """
        heard_s = self._clock.now() - self._last_contact_at
        return self.role is not Role.LEADER and (
            heard_s >= self._timing.election_s
        )

    async def _form_first(self) -> None:
        """Form the log, if this is the first of the seeds."""
        if not self._seeds or self._address != min(self._seeds):
            return
        with contextlib.suppress(wire.ServingError):
            await self.form()

    async def _ask_to_join(self, seed: str) -> bool:
        request = _messages.JoinRequest(self._me)
        address: str | None = seed
        for _ in range(MOST_REDIRECTS):
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

    async def _bring_in(self, member: Member) -> None:
        """Learner first, then voter in the place of its old self.

        Old and new self change places in one step. That is safe because
        the old self lost its disk, so it can never vote or acknowledge
        again, and because the new one already holds every committed
        entry. Adding first would need three of four voters meanwhile, so
        that a second loss at that moment would stop the log for good.
        """
        if self.config.has_voter(member.id):
            return
        with contextlib.suppress(wire.ServingError):
            await self._steps.reach(wire.Step.JOIN, wire.Phase.BEFORE)
            await self._change(
                lambda config: _membership.with_learner(config, member)
            )
            await self._wait_caught_up(member)
            if not await self._make_room(member):
                return
            await self._change(lambda config: self._with_voter(config, member))
            if self.config.has_voter(member.id):
                logging.info(
                    "quorum: Brings in %s as a voter. voters=%d",
                    member.id,
                    len(self.config.voters),
                )
            await self._steps.reach(wire.Step.JOIN, wire.Phase.AFTER)

    def _has_place(self, config: Config, member: Member) -> bool:
        """Whether a replica may vote: its old self does, or too few do."""
        comes_back = any(voter.name == member.name for voter in config.voters)
        if comes_back or self._max_voters is None:
            return True
        return len(config.voters) < self._max_voters

    def _with_voter(self, config: Config, member: Member) -> Config:
        """Another may have taken the place since it was looked for."""
        if not self._has_place(config, member):
            return config
        return _membership.with_voter(config, member)

    async def _make_room(self, member: Member) -> bool:
        """Let a voter go when there are enough; False if all are to stay.

        Its disk may still exist, so it goes in a step of its own: after
        that no majority of the old and the new voters can be disjoint.
        """
        if self._has_place(self.config, member):
            return True
        leaves = self._silent_voter() or self._overrepresented_voter(member)
        if leaves is None:
            return False

        def without(config: Config) -> Config:
            if self._has_place(config, member):
                return config
            return _membership.without_voter(config, leaves)

        await self._change(without)
        return True

    def _is_unresponsive(self, member: Member) -> bool:
        silent_s = self._clock.now() - self._acked_by_peer.get(member.id, 0.0)
        return member.id != self._me.id and silent_s > SILENT_VOTER_S

    def _silent_voter(self) -> Member | None:
        silent = filter(self._is_unresponsive, self.config.voters)
        return next(silent, None)

    def _overrepresented_voter(self, member: Member) -> Member | None:
        """Return a voter of a domain with two voters more than the member's.

        With the voters spread evenly, the loss of a whole domain leaves a
        majority wherever that can be. Each exchange makes them more even,
        so that exchanges end.
        """
        counts = collections.Counter(v.domain for v in self.config.voters)
        others = [v for v in self.config.voters if v.id != self._me.id]
        crowded = max(others, key=lambda v: counts[v.domain], default=None)
        if crowded is None:
            return None
        more = counts[crowded.domain] - counts[member.domain]
        return crowded if more > 1 else None

    async def _wait_caught_up(self, member: Member) -> None:
        """Wait until a learner has all that is committed.

        Raises:
            NotLeaderError: this replica leads no more.
            PeerLostError: the learner is gone. It may have lost its disk
                again, and its next self can't be brought in meanwhile.
        """
        while self._match_by_peer.get(member.id, 0) < self.commit:
            if not self.is_leader:
                raise self.not_leader()
            if self._is_unresponsive(member):
                raise wire.PeerLostError(f"{member.name} does not answer.")
            await self._clock.sleep(self._timing.heartbeat_s / 4)

    async def _change(
        self, edit: collections.abc.Callable[[Config], Config]
    ) -> None:
        """Commit a configuration that differs by one member at most."""
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
        await self._applied_at(index)

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
