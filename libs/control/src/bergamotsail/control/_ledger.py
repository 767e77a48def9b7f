"""Shares of the catalogue's limits, given to daemons on demand.

The sum of what daemons may hold never exceeds a limit. A daemon says with
each heartbeat what it holds, and holds no more than that until it has read
the reply. A reply may raise its share by what is free, or name a lower
share that the daemon is to come down to.

What a daemon holds of a limit on what runs at once outlasts its lease: it
goes on with what it admitted. So its share lapses at the end of the lease,
in that the rest is divided among the others, and is free only once its runs
have surely ended.
"""

import collections
import collections.abc

FLOOR_SHARE = 1
CONCURRENCY = "concurrency/"


class Ledger:
    """Who may hold how much of each limit, by key and boot."""

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
        """Take a daemon's word for what it holds and wants."""
        self.drop(boot)
        for key, held in held_by_key.items():
            if held > 0:
                self.held_by_key[key][boot] = held
        for key, wanted in wanted_by_key.items():
            if wanted > 0:
                self._wanted_by_key[key][boot] = wanted

    def drop(self, boot: str) -> None:
        """Take back all of a daemon that surely runs nothing any more."""
        for table in (
            self.held_by_key,
            self._wanted_by_key,
            self._lapsed_by_key,
        ):
            for by_boot in table.values():
                by_boot.pop(boot, None)

    def held(self, boot: str) -> dict[str, int]:
        """Return what a daemon may hold of limits on what runs at once."""
        return {
            key: by_boot[boot]
            for key, by_boot in self.held_by_key.items()
            if boot in by_boot and key.startswith(CONCURRENCY)
        }

    def lapse(
        self, boot: str, held_by_key: collections.abc.Mapping[str, int]
    ) -> None:
        """Keep what a silent daemon may have in use from all others."""
        self.drop(boot)
        for key, held in held_by_key.items():
            if held > 0 and key.startswith(CONCURRENCY):
                self._lapsed_by_key[key][boot] = held

    def lapsed(self, key: str) -> int:
        """Return how much of a limit silent daemons may have in use."""
        return sum(self._lapsed_by_key[key].values())

    def grant(self, key: str, boot: str, limit: int, may_raise: bool) -> int:
        """Return the share that the daemon may hold from now on.

        Args:
            may_raise: False while shares given by an earlier leader may be
                held by daemons that this leader has not heard of.
        """
        held = self.held_by_key[key]
        mine = held.get(boot, 0)
        if may_raise:
            limit = max(0, limit - self.lapsed(key))
        fair = fair_shares(self._wanted_by_key[key], limit).get(boot, 0)
        if fair <= mine or not may_raise:
            return min(fair, mine)
        free = max(0, limit - sum(held.values()))
        share = min(fair, mine + free)
        if share > 0:
            held[boot] = share
        return share


def fair_shares(
    wanted_by_boot: collections.abc.Mapping[str, int], limit: int
) -> dict[str, int]:
    """Divide a limit so that no small demand suffers from a large one.

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
