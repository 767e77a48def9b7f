"""Commands of the replicated state machine and their results."""

import dataclasses
import enum

from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _routes


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Set an entry, or delete it when *value* is None.

    Args:
        value: the entry's JSON.
        if_revision: the revision the writer saw, 0 for none, or None to
            write whatever is there.
        operation_id: names this change; a resend gets the first result.
        operator: who asks, for the history.
    """

    kind: _entries.Kind
    id: str
    value: str | None
    operation_id: str
    operator: str
    if_revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PutReply:
    """What became of a change.

    Args:
        revision: of the entry as it now stands, 0 when there is none.
        conflict: why it was not made, or None when it was.
        current: the entry's JSON when it was not made.
    """

    revision: int
    conflict: str | None = None
    current: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A line of the history."""

    revision: int
    kind: _entries.Kind
    id: str
    deleted: bool
    operation_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Make a daemon's boot the owner of a target.

    Args:
        after_epoch: the epoch that the leader saw; a grant that raced
            with another changes nothing.
    """

    target: str
    owner: str
    after_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give a target back, by the owner that holds this epoch."""

    target: str
    epoch: int


class ClaimState(enum.StrEnum):
    """The state of an idempotency key."""

    WON = "won"
    HELD = "held"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    OTHER_REQUEST = "other_request"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The recorded answer of a call that may not be repeated."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Take an idempotency key before the call is sent.

    Args:
        member: the caller's member; keys of two members never meet.
        key: the caller's key.
        key_time_ms: the time that the key itself names.
        digest: of the request, so that a key can't be used for another.
        attempt: names this attempt; its repeated claim wins again.
    """

    member: str
    key: str
    key_time_ms: int
    digest: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Who holds the key, and the outcome if it is known."""

    state: ClaimState
    attempt: str = ""
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Record how the attempt that holds a key ended."""

    member: str
    key: str
    attempt: str
    state: ClaimState
    outcome: Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseFloor:
    """Forget claims whose key names an earlier time, and refuse them."""

    floor_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceRoutes:
    """Put a table of routes in force, if its version is the highest.

    Args:
        document: the operator's own text of it, for reading it back.
    """

    table: _routes.RouteTable
    document: str


@dataclasses.dataclass(frozen=True, slots=True)
class NameVersion:
    """Name a version of an adapter; the highest one counts."""

    model: str
    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """Adapters of which an engine keeps a copy at hand.

    Args:
        names: as MODEL/ADAPTER, the latest last.
    """

    target: str
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCopies:
    """Remember where copies are, for whoever orders loads next.

    It is a hint: an engine that lost a copy loads from the store instead.

    Args:
        gone: targets that are no more.
    """

    copies: tuple[Copies, ...]
    gone: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOrders:
    """Note who gives the orders to all engines from now on.

    Args:
        holder: the lasting name of its instance.
        fence: the fencing number of its orders.
        alone: nobody else can have ordered within the last lease.
    """

    holder: str
    fence: int
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Sharer:
    """A daemon that may hold shares of limits.

    Args:
        boot: the start of the daemon.
        address: where it listens; a later start there shows that this one
            has ended.
        runs_last_s: what it admitted has ended so many seconds after its
            last heartbeat.
        most_by_key: the most that it may have in use of each limit on what
            runs at once.
    """

    boot: str
    address: str = ""
    runs_last_s: float = 0.0
    most_by_key: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class NoteSharers:
    """Note which daemons may hold shares of limits, and how much.

    It is noted before a daemon may use the share, so that whoever leads
    next knows of all that may be in use.

    Args:
        joined: boots that may hold shares; logs of former releases say no
            more than that.
        gone: boots that surely hold none any more.
        sharers: what holds from now on, for each boot in place of what was
            noted before.
    """

    joined: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    sharers: tuple[Sharer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReply:
    """Which version stands after a command that sets one.

    Args:
        changed: False when the same or a higher one stood before.
    """

    version: int
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Exactly one of these."""

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
