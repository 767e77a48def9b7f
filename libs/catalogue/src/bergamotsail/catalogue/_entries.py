"""Catalogue entries: their types, limits and validation."""

import dataclasses
import enum
import re
import sys

from bergamotsail.catalogue import _members
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
    limits: _members.Limits = _members.NO_LIMITS
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
    limits: _members.Limits = _members.NO_LIMITS
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
    """A request, or part of prompts, during which targets failed.

    The entry's id is its key.

    Args:
        member: the member that sent it, as far as its credentials tell.
        pool: the pool of the targets that failed.
        ends: number of targets that failed while running it.
        held: whether it is refused. If false it may run, and is refused
            again after the next failure.
        part: identifier of the part; None for a whole request.
    """

    member: str
    pool: str
    ends: int
    held: bool = True
    part: str | None = None


Value = (
    _members.Member
    | Adapter
    | Service
    | Pool
    | _routes.RouteTable
    | _routes.AdapterVersion
    | Quarantine
)

TYPE_BY_KIND: dict[Kind, type] = {
    Kind.MEMBER: _members.Member,
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
        limits=(
            _members.NO_LIMITS
            if value.limits == _members.NO_LIMITS
            else value.limits
        ),
    )


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
    if isinstance(value, _members.Member):
        problems.extend(_members.member_problems(value))
    if isinstance(value, Adapter):
        if value.default_version not in value.versions:
            problems.append("default_version must be one of versions.")
        problems.extend(
            f"{version!r} is not a valid version. Use the characters of an "
            "id: letters, digits, dots, dashes and underscores."
            for version in value.versions
            if not ID_PATTERN.fullmatch(version)
        )
    if isinstance(value, (_members.Member, Adapter, Service)):
        problems.extend(_members.limit_problems(value.limits))
    if isinstance(value, (Adapter, Service)) and value.limits.budget:
        problems.append("budget is a limit of members only.")
    if isinstance(value, Quarantine) and value.ends < 1:
        problems.append("ends must be 1 or more.")
    return problems
