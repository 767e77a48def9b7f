"""Shares of the catalogue's limits, granted to daemons on demand.

The shares of all daemons never sum to more than a limit. A daemon declares
with each heartbeat what it holds, and holds no more than that until it has
read the reply. A reply may raise the share by what is free, or lower it, and
the daemon then reduces its use to the lower share.

A share of a concurrency limit outlives the daemon's lease, since requests
that were admitted continue to run. When the lease expires, the share lapses:
it stays reserved, the rest of the limit is divided among the other daemons,
and it is freed once the daemon's runs have ended for certain.
"""

import collections
import collections.abc

FLOOR_SHARE = 1
CONCURRENCY_PREFIX = "concurrency/"


class Ledger:
    """Shares held, wanted and lapsed, by key of the limit and boot."""

    def __init__(self) -> None:
        self.held_by_key: dict[str, dict[str, int]] = collections.defaultdict(
            dict
        )
        self._wanted_by_key: dict[str, dict[str, int]] = (
            collections.defaultdict(dict)
        )
        self._lapsed_by_key: dict[str, dict[str, int]] = (
            collections.defaultdict(dict)
        )

    def declare(
        self,
        boot: str,
        held_by_key: collections.abc.Mapping[str, int],
        wanted_by_key: collections.abc.Mapping[str, int],
    ) -> None:
        """Set what a daemon holds and wants."""
        self.drop(boot)
        for key, held in held_by_key.items():
            if held > 0:
                self.held_by_key[key][boot] = held
        for key, wanted in wanted_by_key.items():
            if wanted > 0:
                self._wanted_by_key[key][boot] = wanted

    def drop(self, boot: str) -> None:
        """Free all shares of a daemon, which must have no running work."""
        for table in (
            self.held_by_key,
            self._wanted_by_key,
            self._lapsed_by_key,
        ):
            for by_boot in table.values():
                by_boot.pop(boot, None)

    def held(self, boot: str) -> dict[str, int]:
        """Return the shares of concurrency limits a daemon may hold."""
        return {
            key: by_boot[boot]
            for key, by_boot in self.held_by_key.items()
            if boot in by_boot and key.startswith(CONCURRENCY_PREFIX)
        }

    def lapse(
        self, boot: str, held_by_key: collections.abc.Mapping[str, int]
    ) -> None:
        """Reserve what a silent daemon may still have in use."""
        self.drop(boot)
        for key, held in held_by_key.items():
            if held > 0 and key.startswith(CONCURRENCY_PREFIX):
                self._lapsed_by_key[key][boot] = held

    def lapsed(self, key: str) -> int:
        """Return how much of a limit is reserved for silent daemons."""
        return sum(self._lapsed_by_key[key].values())

    def grant(self, key: str, boot: str, limit: int, may_raise: bool) -> int:
        """Return the share that the daemon may hold from now on.

        Args:
            may_raise: False while daemons unknown to this leader may hold
                shares granted by an earlier one.
        """
        held = self.held_by_key[key]
        current = held.get(boot, 0)
        if may_raise:
            limit = max(0, limit - self.lapsed(key))
        fair_share = fair_shares(self._wanted_by_key[key], limit).get(boot, 0)
        if fair_share <= current or not may_raise:
            return min(fair_share, current)
        free = max(0, limit - sum(held.values()))
        share = min(fair_share, current + free)
        if share > 0:
            held[boot] = share
        return share


def fair_shares(
    wanted_by_boot: collections.abc.Mapping[str, int], limit: int
) -> dict[str, int]:
    """Divide a limit by max-min fairness; small demands are met first.

    Example: ``fair_shares({"a": 1, "b": 9}, 4)`` gives ``a`` 1 and ``b`` 3.
    """
    share_by_boot: dict[str, int] = {}
    left = limit
    by_demand = sorted(wanted_by_boot.items(), key=lambda item: item[::-1])
    for position, (boot, wanted) in enumerate(by_demand):
        contenders = len(by_demand) - position
        share = min(wanted, -(-left // contenders))
        share_by_boot[boot] = share
        left -= share
    return share_by_boot
