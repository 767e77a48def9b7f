"""Catalogue entries: their types, limits and validation."""

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
    """The scheduling class of an entry's requests."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


class PoolKind(enum.StrEnum):
    """Whether the targets of a pool are engines or plain services."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits enforced across all daemons together.

    Args:
        concurrency: maximum number of concurrent requests, or None for no
            limit.
        rate: maximum number of requests admitted per second, or None for no
            limit.
        slot_share: maximum share of an engine's adapter slots, 0 to 1, that
            may be occupied while another member waits for one, or None for
            a share by member weight.
    """

    concurrency: int | None = None
    rate: float | None = None
    slot_share: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A customer's team, which owns adapters and services and calls them.

    Args:
        token_sha256: SHA-256 of the token its callers send, in hex.
        weight: its weight in fair sharing among members.
        retry_budget: retries allowed per first attempt, 0 to 1.
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
        versions: location of the weights by version.
        default_version: used when a request names no version.
        callers: other members that may call it.
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
    """Selects calls of a service by HTTP method and path prefix."""

    method: str
    path_prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service.

    Args:
        owner: the member it belongs to.
        pool: the pool of targets that serve it.
        non_idempotent: calls that must not be repeated.
        callers: other members that may call it.
    """

    owner: str
    pool: str
    entry_class: EntryClass = EntryClass.STANDARD
    limits: Limits = Limits()
    non_idempotent: tuple[ServiceCall, ...] = ()
    callers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A pool of identical targets; its id is its name in the instance list.

    Args:
        kind: whether the targets are engines or a plain service.
        checks_fencing: whether its targets reject stale fencing tokens. If
            unsure, set false: a new owner then waits until the lease of the
            previous one has expired.
        store: name of the weight store its engines load from.
    """

    kind: PoolKind
    checks_fencing: bool = False
    store: str = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request during which targets failed; its identity is the entry's id.

    Args:
        member: the member that sent it, as far as its credentials tell.
        pool: the pool of the targets that failed.
        ends: number of targets that failed while running it.
        held: whether it is refused. If false it may run, and is refused
            again after the next failure.
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

# Set by dedicated commands, because the highest version wins.
VERSIONED_KINDS = frozenset({Kind.ROUTES, Kind.ADAPTER_VERSION})


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A catalogue entry and the revision that last changed it."""

    kind: Kind
    id: str
    revision: int
    value: Value


NO_LIMITS = Limits()


def intern_common_parts(value: Value) -> Value:
    """Return an equal value whose common parts are interned.

    Tens of thousands of adapters repeat the same owners, pools, version
    names and empty limits; interning stores each of them once.
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
    """Return the SHA-256 of a token in hex, the form that is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def parse_value(kind: Kind, data: bytes) -> Value:
    """Decode and validate the value of an entry.

    Raises:
        BadMessageError: it does not match the type of the kind.
        BadRequestError: a field is out of range or inconsistent.
    """
    value = wire.decode(data, TYPE_BY_KIND[kind])
    problems = list(_problems(value))
    if problems:
        raise wire.BadRequestError(" ".join(problems))
    return value


def check_id(entry_id: str) -> None:
    """Check that an id can be used in a URL path and a model name.

    Raises:
        BadRequestError: it can't.
    """
    if not ID_PATTERN.fullmatch(entry_id):
        raise wire.BadRequestError(
            f"{entry_id!r} is not a valid id. Use 1 to 128 letters, digits, "
            "dots, dashes and underscores, and begin with a letter or digit."
        )


def _problems(value: Value) -> list[str]:
    problems: list[str] = []
    if isinstance(value, Member):
        if not re.fullmatch(r"[0-9a-f]{64}", value.token_sha256):
            problems.append("token_sha256 must be 64 lowercase hex digits.")
        if not value.weight > 0:
            problems.append("weight must be greater than 0.")
        if not 0 <= value.retry_budget <= 1:
            problems.append("retry_budget must be from 0 to 1.")
    if isinstance(value, Adapter):
        if value.default_version not in value.versions:
            problems.append("default_version must be one of versions.")
        problems.extend(
            f"{version!r} is not a valid version. Use the characters of an "
            "id: letters, digits, dots, dashes and underscores."
            for version in value.versions
            if not ID_PATTERN.fullmatch(version)
        )
    if isinstance(value, (Member, Adapter, Service)):
        problems.extend(_limit_problems(value.limits))
    if isinstance(value, Quarantine) and value.ends < 1:
        problems.append("ends must be 1 or more.")
    return problems


def _limit_problems(limits: Limits) -> list[str]:
    problems: list[str] = []
    if limits.concurrency is not None and limits.concurrency < 1:
        problems.append("concurrency must be 1 or more, or null.")
    if limits.rate is not None and not limits.rate > 0:
        problems.append("rate must be greater than 0, or null.")
    if limits.slot_share is not None and not 0 < limits.slot_share <= 1:
        problems.append(
            "slot_share must be greater than 0 and at most 1, or null."
        )
    return problems
