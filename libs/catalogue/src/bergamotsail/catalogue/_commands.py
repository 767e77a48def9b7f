"""Commands of the replicated state machine and their results."""

import dataclasses
import enum

from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _origins
from bergamotsail.catalogue import _routes


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Set an entry, or delete it if *value* is None.

    Args:
        value: the entry's JSON.
        operation_id: identifies this change; a retry gets the first reply.
        operator: who makes the change, for the history.
        if_revision: the revision that the writer read, 0 if the entry did
            not exist, or None to write unconditionally.
    """

    kind: _entries.Kind
    id: str
    value: str | None
    operation_id: str
    operator: str
    if_revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PutReply:
    """The result of a put.

    Args:
        revision: current revision of the entry, 0 if it does not exist.
        conflict: why the put was rejected, or None if it was applied.
        current: the entry's current JSON if the put was rejected.
    """

    revision: int
    conflict: str | None = None
    current: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of an entry, as the history lists it."""

    revision: int
    kind: _entries.Kind
    id: str
    deleted: bool
    operation_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Make a boot of a daemon the owner of a target.

    Args:
        after_epoch: the epoch that the leader read. The grant has no effect
            if the epoch has changed since.
    """

    target: str
    owner: str
    after_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give up the ownership of a target if *epoch* is still current."""

    target: str
    epoch: int


class ClaimState(enum.StrEnum):
    """The state of an idempotency key.

    WON: this attempt holds the key and may send its call.
    HELD: an attempt holds the key and its outcome is not recorded yet.
    DONE: the response is recorded.
    NOT_RUN: the call did not run; another attempt may claim the key.
    UNKNOWN: the call may have run, but its response was lost.
    EXPIRED: the key is older than the floor; its claim, if any, was dropped.
    OTHER_REQUEST: the key was used for another request.
    """

    WON = "won"
    HELD = "held"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    OTHER_REQUEST = "other_request"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The recorded response to a non-idempotent call."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim an idempotency key before the call is sent.

    Args:
        member: the caller's member, which is the namespace of the key.
        key: the caller's key.
        key_time_ms: the time encoded in the key.
        digest: digest of the request, so that the key can't be reused for
            a different one.
        attempt: identifies this attempt; its claim can be retried.
    """

    member: str
    key: str
    key_time_ms: int
    digest: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """The state of a key, the attempt that holds it and its outcome."""

    state: ClaimState
    attempt: str = ""
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Record the outcome of the attempt that holds a key."""

    member: str
    key: str
    attempt: str
    state: ClaimState
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseFloor:
    """Drop claims whose key time is before the floor, and reject new ones."""

    floor_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceRoutes:
    """Replace the route table if the version is higher than the current one.

    Args:
        document: the operator's original text, returned when it is read.
    """

    table: _routes.RouteTable
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class NameVersion:
    """Set the version of an adapter if it is higher than the current one."""

    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """Adapters of which an engine has a local copy.

    Args:
        names: as MODEL/ADAPTER, the most recent last.
    """

    target: str
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCopies:
    """Record which engines have local copies, for the next order holder.

    This is a hint: an engine that lost a copy loads it from the store.

    Args:
        gone: targets that no longer exist.
    """

    copies: tuple[Copies, ...]
    gone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOrders:
    """Record which instance gives orders to the engines from now on.

    Args:
        holder: name of the instance, the same across restarts.
        fence: fencing token of its orders.
        alone: whether no other instance can have given orders within the
            last lease, so that earlier holders are forgotten.
        group: id of the group of engines, empty for all engines.
    """

    holder: str
    fence: int
    alone: bool = False
    group: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Sharer:
    """A daemon that may hold shares of limits.

    Args:
        boot: identifies one start of the daemon.
        address: where it listens; a later start at the same address shows
            that this one has ended.
        runs_last_s: seconds after its last heartbeat by which all requests
            that it admitted have ended.
        most_by_key: upper bound of what it may have in use of each
            concurrency limit.
    """

    boot: str
    address: str = ""
    runs_last_s: float = 0.0
    most_by_key: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class NoteSharers:
    """Record which daemons may hold shares of limits, and how much.

    Committed before a daemon may use a share, so that the next leader knows
    everything that may be in use.

    Args:
        joined: boots that may hold shares of unknown size; written by
            earlier releases.
        gone: boots that certainly hold no shares any more.
        sharers: new records; each replaces the previous one of its boot.
    """

    joined: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    sharers: tuple[Sharer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReply:
    """The version in effect after a command that sets one.

    Args:
        changed: False if the previous version was the same or higher.
    """

    version: int
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command of the log; exactly one field is set."""

    put: Put | None = None
    grant: Grant | None = None
    release: Release | None = None
    claim: Claim | None = None
    record: Record | None = None
    raise_floor: RaiseFloor | None = None
    replace_routes: ReplaceRoutes | None = None
    name_version: NameVersion | None = None
    note_copies: NoteCopies | None = None
    take_orders: TakeOrders | None = None
    note_sharers: NoteSharers | None = None
    note_origins: _origins.NoteOrigins | None = None
    move_stream: _origins.MoveStream | None = None
    forget_origins: _origins.ForgetOrigins | None = None
