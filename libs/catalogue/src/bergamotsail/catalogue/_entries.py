"""Catalogue entries: who owns what, of which class, with which limits."""

import dataclasses
import enum
import hashlib
import re
import sys

from bergamotsail.catalogue import _routes
from bergamotsail import wire

ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class Kind(enum.StrEnum):
    """The kinds of catalogue entry."""

    MEMBER = "member"
    ADAPTER = "adapter"
    SERVICE = "service"
    POOL = "pool"
    ROUTES = "routes"
    ADAPTER_VERSION = "adapter_version"
    QUARANTINE = "quarantine"


class EntryClass(enum.StrEnum):
    """How urgent the work of an entry is."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


class PoolKind(enum.StrEnum):
    """What the targets of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits over all entry instances together; None means no limit.

    Args:
        concurrency: requests admitted at the same time.
        rate: requests admitted a second.
        slot_share: share of an engine's adapter slots, 0 to 1, that may be
            held while another member waits for one.
    """

    concurrency: int | None = None
    rate: float | None = None
    slot_share: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of the consortium.

    Args:
        token_sha256: hash of the token its callers send, in hex.
        weight: its share against other members where they contend.
        retry_budget: retries allowed for each first try, 0 to 1.
    """

    token_sha256: str
    limits: Limits = Limits()
    weight: float = 1.0
    retry_budget: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A LoRA adapter and its versions.

    Args:
        owner: the member it belongs to.
        pool: the pool of engines that serve it.
        versions: weights location by version.
        default_version: used when a request names none.
        callers: further members that may call it.
    """

    owner: str
    pool: str
    versions: dict[str, str]
    default_version: str
    entry_class: EntryClass = EntryClass.STANDARD
    limits: Limits = Limits()
    callers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """Calls of a service that may not be repeated.

    Args:
        method: the HTTP method.
        path_prefix: the path, or the start of it.
    """

    method: str
    path_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service and which of its calls may not be repeated."""

    owner: str
    pool: str
    entry_class: EntryClass = EntryClass.STANDARD
    limits: Limits = Limits()
    non_idempotent: tuple[ServiceCall, ...] = ()
    callers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Targets that are alike, by their name in the instance list.

    Args:
        kind: engines or a plain service.
        checks_fencing: whether its targets refuse an old fencing number.
            When in doubt say false: the lease is then waited out.
        store: name of the weight store its engines load from.
    """

    kind: PoolKind
    checks_fencing: bool = False
    store: str = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that ended targets; the entry's id is its identity.

    Args:
        member: whose request it is, as far as its credentials tell.
        pool: whose targets it ended.
        ends: how many ended under it.
        held: it is refused; else it may run, and is held again at the next
            end.
    """

    member: str
    pool: str
    ends: int
    held: bool = True


Value = (
    Member
    | Adapter
    | Service
    | Pool
    | _routes.RouteTable
    | _routes.AdapterVersion
    | Quarantine
)

TYPE_BY_KIND: dict[Kind, type] = {
    Kind.MEMBER: Member,
    Kind.ADAPTER: Adapter,
    Kind.SERVICE: Service,
    Kind.POOL: Pool,
    Kind.ROUTES: _routes.RouteTable,
    Kind.ADAPTER_VERSION: _routes.AdapterVersion,
    Kind.QUARANTINE: Quarantine,
}

# Set by commands of their own, since their highest version wins.
VERSIONED_KINDS = frozenset({Kind.ROUTES, Kind.ADAPTER_VERSION})


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A catalogue entry and the revision that last changed it."""

    kind: Kind
    id: str
    revision: int
    value: Value


NO_LIMITS = Limits()


def share_parts(value: Value) -> Value:
    """Return an equal value that shares what many entries have alike.

    Among tens of thousands of adapters, owners, pools, version names and
    the absence of limits repeat; each is then kept in memory once.
    """
    if not isinstance(value, Adapter):
        return value
    return dataclasses.replace(
        value,
        owner=sys.intern(value.owner),
        pool=sys.intern(value.pool),
        versions={
            sys.intern(version): weights
            for version, weights in value.versions.items()
        },
        default_version=sys.intern(value.default_version),
        limits=NO_LIMITS if value.limits == NO_LIMITS else value.limits,
    )


def hash_token(token: str) -> str:
    """Return the form in which a token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse_value(kind: Kind, data: bytes) -> Value:
    """Decode and check the value of an entry.

    Raises:
        BadMessageError: it does not fit the kind.
        BadRequestError: it fits, but can't be right.
    """
    value = wire.decode(data, TYPE_BY_KIND[kind])
    problems = list(_problems(value))
    if problems:
        raise wire.BadRequestError(" ".join(problems))
    return value


def check_id(entry_id: str) -> None:
    """Refuse an id that could not stand in a path or a model name."""
    if not ID_PATTERN.fullmatch(entry_id):
        raise wire.BadRequestError(
            f"{entry_id!r} can't be an id. Use 1 to 128 letters, digits, "
            "dots, dashes and underscores."
        )


def _problems(value: Value) -> list[str]:
    found: list[str] = []
    if isinstance(value, Member):
        if not re.fullmatch(r"[0-9a-f]{64}", value.token_sha256):
            found.append("Give token_sha256 as 64 hex digits.")
        if not value.weight > 0:
            found.append("Give a weight above 0.")
        if not 0 <= value.retry_budget <= 1:
            found.append("Give a retry_budget from 0 to 1.")
    if isinstance(value, Adapter):
        if value.default_version not in value.versions:
            found.append("Name one of the versions as default_version.")
        found.extend(
            f"{version!r} can't be a version; use letters, digits, dots."
            for version in value.versions
            if not ID_PATTERN.fullmatch(version)
        )
    if isinstance(value, (Member, Adapter, Service)):
        found.extend(_limit_problems(value.limits))
    if isinstance(value, Quarantine) and value.ends < 1:
        found.append("Give as ends how many targets ended, 1 or more.")
    return found


def _limit_problems(limits: Limits) -> list[str]:
    found: list[str] = []
    if limits.concurrency is not None and limits.concurrency < 1:
        found.append("Give a concurrency of 1 or more, or null.")
    if limits.rate is not None and not limits.rate > 0:
        found.append("Give a rate above 0, or null.")
    if limits.slot_share is not None and not 0 < limits.slot_share <= 1:
        found.append("Give a slot_share above 0 and at most 1, or null.")
    return found
