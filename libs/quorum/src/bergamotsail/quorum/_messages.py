"""What replicas say to each other and keep on disk."""

import dataclasses
import enum

from bergamotsail import wire


class EntryKind(enum.StrEnum):
    """What a log entry is for."""

    COMMAND = "command"
    NOOP = "noop"
    CONFIG = "config"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A replica. Its id is new with every blank disk; its name stays."""

    id: str
    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Who votes and who is still catching up."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """How many voters make a quorum."""
        return len(self.voters) // 2 + 1

    def has_voter(self, replica_id: str) -> bool:
        """Whether this replica votes."""
        return any(member.id == replica_id for member in self.voters)


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The durable term and vote of a replica."""

    term: int = 0
    voted_for: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """Which prefix of the log a snapshot stands for."""

    index: int
    term: int
    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote, or with *pre* whether one would be given.

    A *transfer* is asked for by the leader itself, so the receiver need
    not wait until it has not heard from it. With *unanimous* the vote only
    counts if all voters give it, so that none of them can be a leader; one
    that has heard no leader since its start then need not wait either.
    """

    to: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False
    unanimous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a vote request; *why* tells of a refusal."""

    term: int
    granted: bool
    why: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries from the leader; empty as a heartbeat."""

    to: str
    term: int
    leader: Member
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Whether the entries are on the follower's disk."""

    term: int
    success: bool
    last_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPiece:
    """A part of a snapshot; *number* counts from 0."""

    to: str
    term: int
    leader: Member
    meta: SnapshotMeta
    number: int
    lines: tuple[bytes, ...]
    last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeadRequest:
    """The leader asks this replica to stand for election now."""

    to: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Empty:
    """A reply that says no more than that it was done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Ask a replica who it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class HelloReply:
    """Who a replica is; *blank* until it holds a log."""

    member: Member
    blank: bool
    leader: Member | None


@dataclasses.dataclass(frozen=True, slots=True)
class FormRequest:
    """Start a new log with these voters, on a blank replica only."""

    to: str
    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A replica that is not a voter asks to become one."""

    member: Member


VOTE = wire.Call("vote", VoteRequest, VoteReply)
APPEND = wire.Call("append", AppendRequest, AppendReply)
SNAPSHOT = wire.Call("snapshot", SnapshotPiece, AppendReply)
LEAD = wire.Call("lead", LeadRequest, Empty)
HELLO = wire.Call("hello", Hello, HelloReply)
FORM = wire.Call("form", FormRequest, Empty)
JOIN = wire.Call("join", JoinRequest, Empty)

CALLS = (VOTE, APPEND, SNAPSHOT, LEAD, HELLO, FORM, JOIN)
