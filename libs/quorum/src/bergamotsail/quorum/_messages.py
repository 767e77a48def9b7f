"""Messages between replicas, and records that are stored on disk."""

import dataclasses
import enum

from bergamotsail import wire


class EntryKind(enum.StrEnum):
    """Purpose of a log entry."""

    COMMAND = "command"
    NOOP = "noop"
    CONFIG = "config"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated log; *data* depends on its kind."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A replica of the log.

    The id is created with its data folder, so a replaced disk changes it; the
    name stays. *domain* is the failure domain, such as a data centre: all
    replicas in it may be lost at once.
    """

    id: str
    name: str
    address: str
    domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """The voters, and the learners that still catch up."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def majority(self) -> int:
        """Number of voters in a quorum."""
        return len(self.voters) // 2 + 1

    def has_voter(self, replica_id: str) -> bool:
        """Whether this replica votes."""
        return any(member.id == replica_id for member in self.voters)


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The current term of a replica and its vote in it, as stored."""

    term: int = 0
    voted_for: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """Last index and term covered by a snapshot, and its configuration."""

    index: int
    term: int
    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request a vote, or with *pre* a pre-vote.

    With *transfer* the leader itself asked for the election, so the receiver
    may vote within the election timeout after contact with the leader. With
    *unanimous* the election is won only with the votes of all voters, which
    shows that none of them is the leader; a receiver that has had no contact
    with a leader since its start may then vote at once, too.
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
    """Reply to a vote request; *why* is the reason of a refusal."""

    term: int
    granted: bool
    why: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries from the leader; without entries it is a heartbeat."""

    to: str
    term: int
    leader: Member
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to appended entries or a piece of a snapshot.

    *success* says that the entries are synced or the piece is accepted.
    *last_index* is the last index of the follower's log; after a successful
    append it is the last index that the request has shown to match.
    """

    term: int
    success: bool
    last_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPiece:
    """A numbered piece of a snapshot; *number* counts from 0."""

    to: str
    term: int
    leader: Member
    meta: SnapshotMeta
    number: int
    lines: tuple[bytes, ...]
    last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeadRequest:
    """The leader asks a voter to start an election at once (TimeoutNow)."""

    to: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Empty:
    """A reply without content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Ask a replica for its identity."""


@dataclasses.dataclass(frozen=True, slots=True)
class HelloReply:
    """Identity of a replica; *blank* while it has no configuration."""

    member: Member
    blank: bool
    leader: Member | None


@dataclasses.dataclass(frozen=True, slots=True)
class FormRequest:
    """Form a new log with these voters; only a blank replica accepts it."""

    to: str
    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request to become a voter, sent by a replica that may not be one."""

    member: Member


VOTE = wire.Call("vote", VoteRequest, VoteReply)
APPEND = wire.Call("append", AppendRequest, AppendReply)
SNAPSHOT = wire.Call("snapshot", SnapshotPiece, AppendReply)
LEAD = wire.Call("lead", LeadRequest, Empty)
HELLO = wire.Call("hello", Hello, HelloReply)
FORM = wire.Call("form", FormRequest, Empty)
JOIN = wire.Call("join", JoinRequest, Empty)

CALLS = (VOTE, APPEND, SNAPSHOT, LEAD, HELLO, FORM, JOIN)
