"""What daemons and the leader say to each other."""

import dataclasses

from bergamotsail import catalogue
from bergamotsail import quarantine
from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Timing of sessions, in seconds.

    Args:
        lease_s: how long a daemon may act after a heartbeat was sent.
        heartbeat_s: how often it sends one.
        drift: largest relative difference between two clocks.
        call_s: how long an answer of the leader is waited for.
        listed_s: a daemon that is silent for longer is not named to
            callers any more, though its session goes on.
        order_flight_s: the longest that an order may stay on its way to a
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
        """How long the holder uses a lease, by its own clock."""
        return self.lease_s * (1 - self.drift)

    @property
    def surely_ended_s(self) -> float:
        """After this long on another clock the lease has surely ended."""
        return self.lease_s * (1 + self.drift) + self.order_flight_s


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonInfo:
    """A daemon with a session. *boot* is new with every start.

    Args:
        peer_address: where other daemons reach it, if it passes calls on.
    """

    id: str
    boot: str
    address: str
    datacentre: str
    leaving: bool = False
    peer_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What the owner of a target says of it.

    Args:
        residents: adapters confirmed in this incarnation.
        queued: requests waiting at the owner.
        running: requests running now.
        batch_slots: how many can run at once.
        pending: adapters that wait here for their load.
        cheapest: how much the least used adapter here is used, 0 when a
            slot is free; a load costs that much.
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
    """A target as the leader knows it."""

    id: str
    pool: str
    address: str
    datacentre: str
    leaving: bool = False
    status: TargetStatus | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DigestDelta:
    """What changed in the soft state since a version.

    Args:
        term: versions of different terms can't be compared.
        full: whether this replaces all that is known.
        more: whether changes are left for the next.
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
    """A request of this daemon that runs at a target now.

    Args:
        request: names it among all requests of the daemon.
        tokens: memory that it needs there.
    """

    request: str
    target: str
    model: str
    adapter: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A daemon renews its session.

    Args:
        sequence: grows by one with each; an old one is refused.
        applied: index up to which the daemon follows the catalogue, or
            None when it follows by itself as a replica.
        held_by_key: the share of each limit that it holds.
        wanted_by_key: the share that it could use.
        relayed: passed on by a replica that does not lead.
        uses: requests that run at targets now, from this daemon.
        fetches: it can fetch what is too large for an answer.
        ends: requests that were lost with a target, or served after that.
        leaving: targets that told it that they are leaving, as far as it
            knows of nobody who knows.
        runs_last_s: what it has admitted, and what it admits before the
            answer to this, has ended after so many seconds.
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


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The leader renews a session.

    Args:
        commit: index that the daemon must have applied to use the lease.
        effects: catalogue changes after ``applied``, in order.
        behind: the daemon must fetch the changes, or the whole state.
        hand_over: targets that the daemon should give back.
        replicas: addresses of all replicas.
        suspects: identities of requests that were lost with a target; a
            whole answer to one clears it.
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


@dataclasses.dataclass(frozen=True, slots=True)
class StateRequest:
    """Ask a replica for its whole view, or for what changed.

    Args:
        after: index up to which the view is known, None for all.
    """

    after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatePiece:
    """A part of a view that stood at *index*.

    Args:
        whole: whether the parts make a view, or else the changes of one.
    """

    index: int
    effects: tuple[catalogue.Effect, ...]
    whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CommandRequest:
    """Ask the leader to commit a command."""

    command: catalogue.Command
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CommandReply:
    """The result of a command: one of these, by the command's kind."""

    put: catalogue.PutReply | None = None
    claim: catalogue.ClaimReply | None = None
    done: bool | None = None
    version: catalogue.VersionReply | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FindClaim:
    """Ask the leader what is recorded under a key."""

    member: str
    key: str
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRequest:
    """An owner asks for its turn at a weight store.

    Args:
        score_by_member: how urgent the best load of each member is.
        wait_s: how long the leader may hold the answer back.
    """

    boot: str
    store: str
    target: str
    score_by_member: dict[str, float]
    wait_s: float
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TurnReply:
    """A turn and whose load it is for; None when none came in time."""

    turn: str | None = None
    member: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TurnEnd:
    """The load is over, whichever way it went."""

    store: str
    turn: str
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AloneRequest:
    """Ask to be the only one that runs a suspected request.

    Args:
        wait_s: how long the leader may hold the answer back.
    """

    boot: str
    identity: str
    wait_s: float
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AloneReply:
    """Whether it may run now."""

    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """A reply without content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Ask a replica for the state of the replicated log."""

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
STATE = wire.Call("state", StateRequest, StatePiece, streams=True)
COMMAND = wire.Call("command", CommandRequest, CommandReply)
FIND_CLAIM = wire.Call("find_claim", FindClaim, CommandReply)
TURN = wire.Call("turn", TurnRequest, TurnReply)
TURN_END = wire.Call("turn_end", TurnEnd, Done)
ALONE = wire.Call("alone", AloneRequest, AloneReply)
STATUS = wire.Call("status", Status, StatusReply)
