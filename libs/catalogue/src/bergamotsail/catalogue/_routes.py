"""Routes: which request goes to which pool, and what may be repeated.

All routes are replaced as a whole under a version, and the highest version
wins. A table is checked before it is proposed, so that what is in the log
is valid.
"""

import collections
import dataclasses
import enum
import hashlib

from bergamotsail import wire

SLASH = "/"


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

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
    """One route of callers' requests.

    Args:
        host: the host it is for, in lower case, without a port.
        prefix: the start of the path; it begins and ends with a slash.
        timeout_s: the longest that a caller is kept waiting.
        objective_s: the time within which an answer is worth most.
        attempts: how many targets one attempt of a caller may run at.
        priority: its rank; 0 is the most urgent.
        resumable: whether a broken stream may go on at another target.
        pause_s: the longest pause between events that is still on time.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class BaseModel:
    """A base model that the engines of a pool may hold.

    Args:
        size_mb: of its weights.
        load_s: time to load it from the weight store.
        adapter_mb: size of one adapter of it.
    """

    name: str
    size_mb: float
    load_s: float
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What an engine of a pool can hold.

    Args:
        slots: requests in a batch.
        memory_tokens: tokens of running requests and cached prompts.
        weights_mb: memory for weights and adapters together.
        adapter_slots: adapters at once.
        loads_per_s: what the weight store allows, over all engines.
    """

    slots: int
    memory_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[BaseModel, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePool:
    """A pool that routes lead to.

    Args:
        health_path: where its targets tell whether they are well.
        max_connections: accepted by one target from all callers.
        engine: what its engines hold, or None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, and how slowly."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes, pools and limits under one version."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[RoutePool, ...] = ()
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """The newest version of an adapter that was named."""

    version: int


def check_table(table: RouteTable) -> None:
    """Refuse a table that can't be right.

    Raises:
        BadRequestError: it names what is wrong and how to mend it.
    """
    problems = list(_problems(table))
    if problems:
        raise wire.BadRequestError(" ".join(problems))


def _problems(table: RouteTable) -> list[str]:
    found: list[str] = []
    pools = {pool.name for pool in table.pools}
    if len(pools) < len(table.pools):
        found.append("Give each pool a name of its own.")
    if table.version < 1:
        found.append("Give a version of 1 or more.")
    places = collections.Counter((r.host, r.prefix) for r in table.routes)
    found.extend(
        f"Two routes share {host}{prefix}; drop one."
        for (host, prefix), count in places.items()
        if count > 1
    )
    for route in table.routes:
        found.extend(
            f"Route {route.name}: {problem}"
            for problem in _route_problems(route, pools)
        )
    return found


def _route_problems(route: Route, pools: set[str]) -> list[str]:
    found: list[str] = []
    if not route.host:
        found.append("name a host.")
    if not (route.prefix.startswith(SLASH) and route.prefix.endswith(SLASH)):
        found.append("begin and end the prefix with a slash.")
    if not route.timeout_s > 0:
        found.append("give a timeout above 0.")
    if route.attempts < 1:
        found.append("allow one attempt or more.")
    found.extend(
        f"there is no pool {split.pool}; add it or name another."
        for split in route.splits
        if split.pool not in pools
    )
    if any(split.weight < 0 for split in route.splits):
        found.append("give no weight below 0.")
    if not sum(split.weight for split in route.splits) > 0:
        found.append("give weights that add up to more than 0.")
    return found


class RouteIndex:
    """Finds the route of a request; made anew with each table."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.pool_by_name = {pool.name: pool for pool in table.pools}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        Example: ``find("shop.example:80", "/quotes/7")`` gives the route
        of ``shop.example`` and ``/quotes/`` when there is one.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def choose_pool(self, route: Route, request_id: str) -> RoutePool:
        """Choose a pool by weight, always the same for one request."""
        total = sum(split.weight for split in route.splits)
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64 * total
        for split in route.splits:
            point -= split.weight
            if point < 0:
                return self.pool_by_name[split.pool]
        last = [split for split in route.splits if split.weight > 0][-1]
        return self.pool_by_name[last.pool]
