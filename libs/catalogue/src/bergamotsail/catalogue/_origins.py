"""Where streams may have begun, as far as the replicated log knows it."""

import collections
import collections.abc
import dataclasses

from bergamotsail.catalogue import _routes

# A bound of memory; about 200 bytes each.
MAX_MOVED = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Args:
        software: version of the target's software, None if it is not known.
    """

    pool: str
    software: str | None

    def allows(self, software: str | None) -> bool:
        """Whether the stream may go on at a version of the software."""
        return self.software is not None and software == self.software


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAge:
    """How old a stream that began in a pool can get, in seconds."""

    pool: str
    longest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoteOrigins:
    """Record where streams may begin from now on, and how old they can get.

    Committed before the first of these streams begins.
    """

    softwares: tuple[StreamOrigin, ...] = ()
    ages: tuple[StreamAge, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStream:
    """Record that a stream begins elsewhere than it was granted before.

    Committed before it begins there.
    """

    stream: str
    origin: StreamOrigin


@dataclasses.dataclass(frozen=True, slots=True)
class MovedStream:
    """A stream that was moved, and the index of the command."""

    stream: str
    origin: StreamOrigin
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetOrigins:
    """Forget what only streams that are too old to be resumed depend on.

    Args:
        softwares: versions that no target has run for long enough.
        through_index: changes of routes and moved streams up to this index
            of the log.
    """

    softwares: tuple[StreamOrigin, ...] = ()
    through_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OriginsState:
    """The content of :class:`StreamOrigins`, for snapshots."""

    softwares: tuple[StreamOrigin, ...] = ()
    ages: tuple[StreamAge, ...] = ()
    changed_at_by_route: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class StreamOrigins:
    """The pools and software versions at which streams may have begun.

    Part of the state machine: all replicas hold the same, and it outlives
    every leader. Times are not kept here, as clocks of replicas differ; the
    leader measures them and forgets by a command.

    Example::

        >>> origins = StreamOrigins()
        >>> origins.note(NoteOrigins((StreamOrigin("quotes", "v1"),)))
        >>> origins.softwares("quotes")
        {'v1'}
    """

    def __init__(self, state: OriginsState = OriginsState()) -> None:
        self._softwares_by_pool: dict[str, set[str | None]] = {}
        self._longest_s_by_pool: dict[str, float] = {}
        # The index of the change after which a route led to other pools.
        self._changed_at_by_route = dict(state.changed_at_by_route)
        self._pools_by_route: dict[str, frozenset[str]] = {}
        # In the order of their indexes.
        self._moved_by_stream: collections.OrderedDict[str, MovedStream] = (
            collections.OrderedDict()
        )
        self.note(NoteOrigins(state.softwares, state.ages))

    def state(self) -> OriginsState:
        """Return the content, from which another one can be made."""
        return OriginsState(
            tuple(self.all()),
            tuple(
                StreamAge(pool, longest_s)
                for pool, longest_s in self._longest_s_by_pool.items()
            ),
            dict(self._changed_at_by_route),
        )

    def all(self) -> collections.abc.Iterator[StreamOrigin]:
        """Yield each version of each pool."""
        for pool, softwares in self._softwares_by_pool.items():
            for software in softwares:
                yield StreamOrigin(pool, software)

    def softwares(self, pool: str) -> set[str | None]:
        """Return the versions at which streams of a pool may have begun."""
        return self._softwares_by_pool.get(pool, set())

    def longest_s(self, pool: str) -> float:
        """Return how old a stream of a pool can get, 0 if that is unknown."""
        return self._longest_s_by_pool.get(pool, 0.0)

    def oldest_s(self) -> float:
        """Return how old a stream of any pool can get, 0 if unknown."""
        return max(self._longest_s_by_pool.values(), default=0.0)

    def has_expired(self, through_index: int) -> bool:
        """Whether there is something to forget up to an index."""
        changed_at = self._changed_at_by_route.values()
        if any(index <= through_index for index in changed_at):
            return True
        first = next(iter(self._moved_by_stream.values()), None)
        return first is not None and first.index <= through_index

    def moved(self, stream: str) -> StreamOrigin | None:
        """Return where a moved stream began, None if it was not moved."""
        moved = self._moved_by_stream.get(stream)
        return moved.origin if moved is not None else None

    def moves(self) -> list[MovedStream]:
        """Return the streams that were moved, for snapshots."""
        return list(self._moved_by_stream.values())

    def move(self, moved: MovedStream) -> bool:
        """Apply a command, or restore a stream that was moved.

        Returns:
            False if there are too many. None is forgotten for a new one, as
            its record of an earlier grant would count again.
        """
        known = moved.stream in self._moved_by_stream
        if not known and len(self._moved_by_stream) >= MAX_MOVED:
            return False
        self._moved_by_stream[moved.stream] = moved
        self._moved_by_stream.move_to_end(moved.stream)
        return True

    def sole(self, route: str) -> StreamOrigin | None:
        """Return where each stream that a route leads to must have begun.

        Returns:
            None unless there is only one pool and version.
        """
        pools = self._pools_by_route.get(route, frozenset())
        if len(pools) != 1 or route in self._changed_at_by_route:
            return None
        (pool,) = pools
        softwares = self.softwares(pool)
        if len(softwares) != 1 or None in softwares:
            return None
        (software,) = softwares
        return StreamOrigin(pool, software)

    def note(self, note: NoteOrigins) -> None:
        """Apply a command."""
        for origin in note.softwares:
            softwares = self._softwares_by_pool.setdefault(origin.pool, set())
            softwares.add(origin.software)
        for age in note.ages:
            longest_s = max(self.longest_s(age.pool), age.longest_s)
            self._longest_s_by_pool[age.pool] = longest_s

    def forget(self, forget: ForgetOrigins) -> None:
        """Apply a command."""
        for origin in forget.softwares:
            softwares = self._softwares_by_pool.get(origin.pool, set())
            softwares.discard(origin.software)
            if not softwares:
                self._softwares_by_pool.pop(origin.pool, None)
        self._changed_at_by_route = {
            route: index
            for route, index in self._changed_at_by_route.items()
            if index > forget.through_index
        }
        for moved in self.moves():
            if moved.index > forget.through_index:
                break
            del self._moved_by_stream[moved.stream]

    def restore_routes(self, table: _routes.RouteTable) -> None:
        """Set the routes that were in force as the content was saved."""
        self._pools_by_route = _pools_by_route(table)

    def replace_routes(
        self, index: int, table: _routes.RouteTable, is_first: bool
    ) -> None:
        """Record which routes have changed; before the first none was."""
        former = self._pools_by_route
        self._pools_by_route = _pools_by_route(table)
        changed_at = {
            route: at
            for route, at in self._changed_at_by_route.items()
            if route in self._pools_by_route
        }
        for route, pools in self._pools_by_route.items():
            if not is_first and former.get(route) != pools:
                changed_at[route] = index
        self._changed_at_by_route = changed_at


def _pools_by_route(table: _routes.RouteTable) -> dict[str, frozenset[str]]:
    return {
        route.name: frozenset(s.pool for s in route.splits if s.weight > 0)
        for route in table.routes
    }
