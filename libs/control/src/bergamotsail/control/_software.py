"""The software versions that the targets of a pool have run lately."""

import collections
import collections.abc

from bergamotsail import catalogue
from bergamotsail.control import _messages


class SoftwareHistory:
    """Tells whether all streams of a route must have begun at one version.

    Then a stream may be resumed though nobody knows where it began. Only the
    leader can tell: a daemon may not know a target yet that the leader has
    granted to another one. It is soft state of one term.
    """

    def __init__(self) -> None:
        self._since = float("inf")
        self._seen_at_by_pool: dict[str, dict[str | None, float]] = (
            collections.defaultdict(dict)
        )
        self._table_version: int | None = None
        # The pools of each route, and since when it leads to them.
        self._pools_by_route: dict[str, tuple[frozenset[str], float]] = {}

    def note(
        self,
        targets: collections.abc.Iterable[_messages.TargetInfo],
        table: catalogue.RouteTable,
        now: float,
    ) -> None:
        """Record the targets and routes that are in force now."""
        self._since = min(self._since, now)
        for target in targets:
            self._seen_at_by_pool[target.pool][target.software] = now
        if table.version != self._table_version:
            self._table_version = table.version
            self._pools_by_route = {
                route.name: self._pools_since(route, now)
                for route in table.routes
            }

    def _pools_since(
        self, route: catalogue.Route, now: float
    ) -> tuple[frozenset[str], float]:
        pools = frozenset(s.pool for s in route.splits if s.weight > 0)
        known = self._pools_by_route.get(route.name)
        if known is not None and known[0] == pools:
            return known
        return pools, now

    def sole(
        self, route: str, since: float, now: float
    ) -> _messages.StreamOrigin | None:
        """Return where each stream of a route that is not older began.

        Args:
            since: the earliest time at which it may have begun.

        Returns:
            None unless there is only one pool and version.
        """
        pools, pools_since = self._pools_by_route.get(
            route, (frozenset(), now)
        )
        if len(pools) != 1 or max(self._since, pools_since) > since:
            return None
        (pool,) = pools
        softwares = [
            software
            for software, at in self._seen_at_by_pool.get(pool, {}).items()
            if at >= since
        ]
        if len(softwares) != 1 or softwares[0] is None:
            return None
        return _messages.StreamOrigin(pool, softwares[0])
