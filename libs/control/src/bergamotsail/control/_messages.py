"""Messages between daemons and the leader."""

import dataclasses

from bergamotsail import catalogue
from bergamotsail import limits
from bergamotsail import quarantine
from bergamotsail import wire

ALONE_AFTER_LEASES = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Timing of sessions, in seconds.

    Args:
        lease_s: duration of a lease, from the sending of the heartbeat.
        heartbeat_s: interval between heartbeats.
        drift: maximum relative rate difference between two clocks.
        call_s: timeout for a reply of the leader.
        listed_s: a daemon that is silent for longer is no longer listed to
            callers, though its session continues.
        order_flight_s: longest time that an order may be in transit to a
            target after its sender's lease ended.
    """

    lease_s: float = 3.0
    heartbeat_s: float = 0.5
    drift: float = 0.05
    order_flight_s: float = 0.5
    call_s: float = 1.0
    listed_s: float = 60.0

    @property
    def usable_s(self) -> float:
        """How long the holder may use a lease, on its own clock."""
        return self.lease_s * (1 - self.drift)

    @property
    def surely_ended_s(self) -> float:
        """Time after which a lease has ended for certain, on any clock.

        Includes the time that orders may be in transit.
        """
        return self.lease_s * (1 + self.drift) + self.order_flight_s

    @property
    def alone_after_s(self) -> float:
        """Silence of the leader after which a daemon is on its own.

        More than one heartbeat must have failed, as they are sent thrice in a
        lease.
        """
        return ALONE_AFTER_LEASES * self.lease_s


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonInfo:
    """A daemon with a session.

    Args:
        boot: id of the process, new with every start.
        peer_address: where other daemons reach it, if it relays calls.
    """

    id: str
    boot: str
    address: str
    datacentre: str
    leaving: bool = False
    peer_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status of a target, as reported by its owner.

    Args:
        residents: adapters confirmed as loaded in this incarnation.
        queued: requests waiting at the owner.
        running: requests running now.
        batch_slots: maximum number of concurrent requests.
        pending: adapters waiting to be loaded.
        cheapest: cost of a load, as the use of the least used adapter; 0
            when a slot is free.
    """

    target: str
    epoch: int
    reachable: bool = False
    leaving: bool = False
    residents: tuple[str, ...] = ()
    queued: int = 0
    running: int = 0
    batch_slots: int = 0
    adapter_slots: int = 0
    pending: tuple[str, ...] = ()
    cheapest: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInfo:
    """A target, as distributed by the leader.

    Args:
        software: version of its software; empty if the instance list states
            none, None if it is not known.
        limit: requests a second that it takes from all daemons together;
            None if it names no limit.
    """

    id: str
    pool: str
    address: str
    datacentre: str
    leaving: bool = False
    status: TargetStatus | None = None
    software: str | None = ""
    limit: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RateNotice:
    """What a target said of its limit in an answer.

    Args:
        per_s: requests a second from all daemons, None for no limit.
        heard_s: how long ago it said so.
    """

    target: str
    per_s: float | None
    heard_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamNote:
    """Reports where a stream began.

    Args:
        stream: name of the stream.
        keep_s: how long its caller may still resume it.
    """

    stream: str
    origin: catalogue.StreamOrigin
    keep_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DigestDelta:
    """Changes of the soft state since a version.

    Args:
        term: versions of different terms are not comparable.
        full: whether this replaces all earlier state.
        more: whether further changes follow in the next delta.
    """

    term: int
    version: int
    full: bool
    daemons: tuple[DaemonInfo, ...] = ()
    targets: tuple[TargetInfo, ...] = ()
    gone_daemons: tuple[str, ...] = ()
    gone_targets: tuple[str, ...] = ()
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """A request of a daemon that is running at a target.

    Args:
        request: id, unique within the daemon.
        tokens: memory that it needs at the target, in tokens.
    """

    request: str
    target: str
    model: str
    adapter: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renews the session of a daemon.

    Args:
        sequence: incremented with each heartbeat; an old one is refused.
        applied: index up to which the daemon's view is current, or None
            when it applies the log itself as a replica.
        held_by_key: the share of each limit that it holds.
        wanted_by_key: the share of each limit for which it has demand.
        relayed: forwarded by a replica that is not the leader.
        uses: requests of this daemon that are running at targets.
        fetches: it can fetch state that is too large for a reply.
        ends: requests that were lost with a target, or served after that.
        leaving: targets that reported to it that they are leaving, and
            that the digest doesn't show as leaving.
        runs_last_s: upper bound in seconds for the duration of all requests
            that it has admitted or admits before the reply.
        spending: what members asked for and spent of their budgets.
        streams: streams that began here, unless a placement told the leader.
        rates: limits that targets named, or no longer name.
        wanted_permits: limited plain targets to which it would send.
    """

    daemon: DaemonInfo
    sequence: int
    applied: int | None
    held_by_key: dict[str, int]
    wanted_by_key: dict[str, int]
    statuses: tuple[TargetStatus, ...]
    digest_term: int
    digest_version: int
    relayed: bool = False
    uses: tuple[Use, ...] = ()
    fetches: bool = True
    ends: tuple[quarantine.Observation, ...] = ()
    leaving: tuple[str, ...] = ()
    runs_last_s: float = 0.0
    spending: limits.SpendingReport = limits.SpendingReport()
    streams: tuple[StreamNote, ...] = ()
    rates: tuple[RateNotice, ...] = ()
    wanted_permits: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GroupHolder:
    """The replica that places requests on a group of engines.

    Args:
        address: empty if the group has no holder.
        wait_s: mean wait for a place there in the last second or so.
        calls_per_s: placement calls of all daemons that it has time for;
            None if it is not known.
    """

    address: str = ""
    wait_s: float = 0.0
    calls_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The leader's reply that renews a session.

    Args:
        commit: index that the daemon must have applied to use the lease.
        effects: catalogue changes after ``applied``, in order.
        behind: the daemon must fetch the changes, or the whole state.
        hand_over: targets whose ownership the daemon should release.
        replicas: addresses of all replicas.
        suspects: identities of requests that were lost with a target; a
            complete response to one clears it.
        admit_share_by_member: for members above their budget, the share of
            their requests that the daemon should not refuse at once.
        permits: targets to each of which one request may be sent soon.
        gatherers: replicas that pass calls of this daemon on to the leader,
            those of its data centre if there are any.
        holders: of the groups of engines, in their order; the leader alone
            while the engines form a single group.
    """

    leader: str
    term: int
    commit: int
    effects: tuple[catalogue.Effect, ...]
    behind: bool
    share_by_key: dict[str, int]
    digest: DigestDelta
    hand_over: tuple[str, ...] = ()
    replicas: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    admit_share_by_member: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    permits: tuple[str, ...] = ()
    gatherers: tuple[str, ...] = ()
    holders: tuple[GroupHolder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests a replica's whole view, or its changes.

    Args:
        after: index of the requester's view, None for the whole view.
    """

    after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatePiece:
    """A part of a streamed view, or of its changes.

    Args:
        index: log index of the streamed state.
        whole: whether the parts make up a whole view, not just changes.
    """

    index: int
    effects: tuple[catalogue.Effect, ...]
    whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Requests the changes that a replica has applied.

    Any replica answers it, so that daemons learn of changes while the leader
    is too slow to answer their heartbeats.

    Args:
        applied: index up to which the requester's view is current.
    """

    applied: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesReply:
    """The changes after ``applied``, in order.

    Args:
        index: index of the replica's view.
        behind: the requester must fetch the changes, or the whole state.
        silent_s: how long ago the leader told the replica what is committed,
            if the replica has applied all of it; 0 if it leads. None if it
            has not.
    """

    index: int
    effects: tuple[catalogue.Effect, ...] = ()
    behind: bool = False
    silent_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CommandRequest:
    """Requests the leader to commit a command."""

    command: catalogue.Command
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CommandReply:
    """The result of a command; one field is set, by the command's kind."""

    put: catalogue.PutReply | None = None
    claim: catalogue.ClaimReply | None = None
    done: bool | None = None
    version: catalogue.VersionReply | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FindClaim:
    """Requests the claim recorded under an idempotency key."""

    member: str
    key: str
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRequest:
    """Requests a turn at a weight store, for the owner of a target.

    Args:
        score_by_member: urgency of each member's most urgent load.
        wait_s: how long the leader may delay the reply.
    """

    boot: str
    store: str
    target: str
    score_by_member: dict[str, float]
    wait_s: float
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TurnReply:
    """A turn and the member whose load it is for; None on a timeout."""

    turn: str | None = None
    member: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TurnEnd:
    """Ends a turn after its load has succeeded or failed."""

    store: str
    turn: str
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AloneRequest:
    """Requests exclusive execution of a suspected request.

    Args:
        identity: the first of its suspected keys.
        wait_s: how long the leader may delay the reply.
        others: further suspected keys.
    """

    boot: str
    identity: str
    wait_s: float
    relayed: bool = False
    others: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AloneReply:
    """Whether the request may run now."""

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FindStream:
    """Asks where a stream began.

    Args:
        route: the route that its caller resumes it on.
        wait_s: how long a new leader may delay the reply, to hear of it.
    """

    stream: str
    route: str
    wait_s: float
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FoundStream:
    """Where a stream began; None if that is not known.

    Args:
        source: how it is known: from the ``log``, the ``record`` of the
            stream, or as the ``sole`` possible origin.
        term: of the leader that made the record.
        age_s: how long ago this replica got the record.
    """

    origin: catalogue.StreamOrigin | None
    source: str | None = None
    term: int | None = None
    age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CoverAge:
    """Asks that streams of a pool may get this old, before one begins."""

    age: catalogue.StreamAge
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStream:
    """Asks that a stream may begin elsewhere than it was granted before."""

    stream: str
    origin: catalogue.StreamOrigin
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CopiedStreams:
    """Streams whose records are alike.

    Args:
        keep_s: how long their callers may still resume them.
        term: of the leader that noted them.
        streams: their names.
    """

    origin: catalogue.StreamOrigin
    keep_s: float
    term: int
    streams: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CopyStreams:
    """Copies records of streams to a replica."""

    copied: tuple[CopiedStreams, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReply:
    """Confirms copies.

    Args:
        start: identifies the start of the replica's process.
    """

    start: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """A reply without content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Requests the state of the replicated log and the sessions."""

    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """The leader's view of the log and the sessions."""

    leader: str
    term: int
    commit: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    daemons: tuple[DaemonInfo, ...]
    claims: int
    entries: int


HEARTBEAT = wire.Call("heartbeat", Heartbeat, HeartbeatReply)
# The same call, answered by any replica that hears the leader.
HEARTBEAT_INDIRECT = wire.Call("heartbeat_indirect", Heartbeat, HeartbeatReply)
STATE = wire.Call("state", StateRequest, StatePiece, streams=True)
CHANGES = wire.Call("changes", ChangesRequest, ChangesReply)
COMMAND = wire.Call("command", CommandRequest, CommandReply)
FIND_CLAIM = wire.Call("find_claim", FindClaim, CommandReply)
TURN = wire.Call("turn", TurnRequest, TurnReply)
TURN_END = wire.Call("turn_end", TurnEnd, Done)
ALONE = wire.Call("alone", AloneRequest, AloneReply)
FIND_STREAM = wire.Call("find_stream", FindStream, FoundStream)
COVER_AGE = wire.Call("cover_age", CoverAge, Done)
MOVE_STREAM = wire.Call("move_stream", MoveStream, Done)
COPY_STREAMS = wire.Call("copy_streams", CopyStreams, CopyReply)
STATUS = wire.Call("status", Status, StatusReply)
