"""Routes: which pool serves a request, and whether it may be retried.

A route table is replaced as a whole; the highest version wins. A table is
validated before it is proposed, so that the log holds only valid ones.
"""

import collections
import collections.abc
import dataclasses
import enum
import hashlib

from bergamotsail.catalogue import _members
from bergamotsail import wire

SLASH = "/"


class RouteKind(enum.StrEnum):
    """Whether requests of a route may run more than once.

    IDEMPOTENT: they may.
    ONCE: they may not.
    STREAM: they may if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A pool and its weight among the pools of a route."""

    pool: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route for requests of callers.

    Args:
        host: the host it matches, in lower case, without a port.
        prefix: path prefix; begins and ends with a slash.
        timeout_s: maximum time that a caller is kept waiting.
        objective_s: latency objective.
        attempts: maximum number of targets that one request of a caller may
            run at.
        priority: 0 is the most urgent.
        resumable: whether a broken stream may resume at another target.
        pause_s: maximum gap between events of a stream that is still on
            time.
        public: whether callers need no token.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    objective_s: float = 1.0
    attempts: int = 1
    priority: int = 0
    resumable: bool = False
    pause_s: float | None = None
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class BaseModel:
    """A base model that the engines of a pool may load.

    Args:
        size_mb: size of its weights.
        load_s: time to load it from the weight store.
        adapter_mb: size of one of its adapters.
    """

    name: str
    size_mb: float
    load_s: float
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each engine of a pool.

    Args:
        slots: maximum number of requests in a batch.
        memory_tokens: maximum number of tokens of running requests and
            cached prompts together.
        weights_mb: memory for base models and adapters together.
        adapter_slots: maximum number of loaded adapters.
        loads_per_s: rate limit of the weight store, for all engines
            together.
        models: the base models it may load.
    """

    slots: int
    memory_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[BaseModel, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePool:
    """A pool of targets that routes refer to.

    Args:
        health_path: path of its targets' health check.
        max_connections: connections that one target accepts, from all
            callers together.
        engine: capacity of its engines, or None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMember:
    """A member that a route table names."""

    name: str
    member: _members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes, pools, limits and members under one version.

    Args:
        members: the members that may call; None if callers need no token.
    """

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[RoutePool, ...] = ()
    limits: CallerLimits = CallerLimits()
    members: tuple[RouteMember, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """The current version of an adapter."""

    version: int


def check_table(table: RouteTable) -> None:
    """Validate a route table.

    Raises:
        BadRequestError: the table is invalid; the message lists all
            problems.
    """
    problems = list(_problems(table))
    if problems:
        raise wire.BadRequestError(" ".join(problems))


def _problems(table: RouteTable) -> list[str]:
    problems: list[str] = []
    pools = {pool.name for pool in table.pools}
    if len(pools) < len(table.pools):
        problems.append("Pool names must be unique.")
    if table.version < 1:
        problems.append("version must be 1 or more.")
    count_by_match = collections.Counter(
        (r.host, r.prefix) for r in table.routes
    )
    problems.extend(
        f"Several routes match {host}{prefix}; remove all but one."
        for (host, prefix), count in count_by_match.items()
        if count > 1
    )
    for route in table.routes:
        problems.extend(
            f"Route {route.name}: {problem}"
            for problem in _route_problems(route, pools)
        )
    problems.extend(_member_problems(table.members or ()))
    return problems


def _member_problems(
    members: collections.abc.Sequence[RouteMember],
) -> collections.abc.Iterator[str]:
    names_by_token: dict[str, list[str]] = collections.defaultdict(list)
    count_by_name = collections.Counter(named.name for named in members)
    for name, count in count_by_name.items():
        if not name:
            yield "Members must have a name."
        if count > 1:
            yield f"Several members are named {name}; remove all but one."
    for named in members:
        for problem in _members.member_problems(named.member):
            yield f"Member {named.name}: {problem}"
        for problem in _members.limit_problems(named.member.limits):
            yield f"Member {named.name}: {problem}"
        for token in set(named.member.token_hashes):
            names_by_token[token].append(named.name)
    for names in names_by_token.values():
        if len(names) > 1:
            yield f"Members {', '.join(names)} hold the same token."


def _route_problems(route: Route, pools: set[str]) -> list[str]:
    problems: list[str] = []
    if not route.host:
        problems.append("host must not be empty.")
    if not (route.prefix.startswith(SLASH) and route.prefix.endswith(SLASH)):
        problems.append("prefix must begin and end with a slash.")
    if not route.timeout_s > 0:
        problems.append("timeout must be greater than 0.")
    if route.attempts < 1:
        problems.append("attempts must be 1 or more.")
    problems.extend(
        f"pool {split.pool} does not exist; add it or use another."
        for split in route.splits
        if split.pool not in pools
    )
    if any(split.weight < 0 for split in route.splits):
        problems.append("weights must not be negative.")
    if not sum(split.weight for split in route.splits) > 0:
        problems.append("the sum of the weights must be greater than 0.")
    return problems


class RouteIndex:
    """Finds the route of a request; built once per route table."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.pool_by_name = {pool.name: pool for pool in table.pools}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.member_by_name = {
            named.name: named.member for named in table.members or ()
        }
        self.member_by_token = {
            token: name
            for name, member in self.member_by_name.items()
            for token in member.token_hashes
        }

    @property
    def needs_token(self) -> bool:
        """Whether callers of routes that are not public need a token."""
        return self.table.members is not None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any.

        Example: ``find("shop.example:80", "/quotes/7")`` returns the route
        of ``shop.example`` and ``/quotes/`` if there is one.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_pool(self, route: Route, request_id: str) -> RoutePool:
        """Choose a pool by weight; the same request id gets the same pool."""
        total = sum(split.weight for split in route.splits)
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64 * total
        for split in route.splits:
            point -= split.weight
            if point < 0:
                return self.pool_by_name[split.pool]
        last = [split for split in route.splits if split.weight > 0][-1]
        return self.pool_by_name[last.pool]
