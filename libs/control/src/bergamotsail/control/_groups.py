"""Groups of engines, and which group an adapter's requests go to.

Every process works out both from the number of groups alone, so that no map
of engines or adapters has to be distributed.
"""

import collections.abc
import functools

import mmh3

from bergamotsail.control import _messages
from bergamotsail import targets

# Number of engines that one process places requests on without help.
MAX_UNGROUPED = 30
# Groups are kept down to this number of engines, so that a few that come and
# go don't form and dissolve them.
MIN_GROUPED = 20


def count_groups(engines: int, holders: int, current: int = 0) -> int:
    """Return the number of groups for a number of engines.

    Engines change their group with the number of groups, and then none can be
    ordered for a lease. So it doesn't follow the number of engines.

    Args:
        holders: number of replicas that are meant to hold a group.
        current: the number so far, 0 if there is none.

    Example: with 4 holders, 9 engines form 1 group and 70 engines 4.
    """
    limit = MIN_GROUPED if current > 1 else MAX_UNGROUPED
    return max(holders, 1) if engines > limit else 1


def group_id(group: int, groups: int) -> str:
    """Return the name of a group; empty if all engines form one.

    It names the number of groups too, since a group of another number has
    other engines.
    """
    return "" if groups == 1 else f"{group}/{groups}"


@functools.lru_cache(maxsize=20_000)
def group_of(target: str, groups: int) -> int:
    """Return the group of an engine, the same for all its incarnations."""
    return _ranked(targets.Incarnation.of(target).name, groups)[0]


def groups_with(
    known: collections.abc.Iterable[_messages.TargetInfo],
    pool: str,
    software: str | None,
    groups: int,
) -> frozenset[int]:
    """Return the groups with engines of a pool that take new work.

    Args:
        software: version that an engine's software must have, None for any.
    """
    return frozenset(
        group_of(info.id, groups)
        for info in known
        if info.pool == pool
        and not info.leaving
        and software in (None, info.software)
    )


def ranked_groups(key: str, groups: int) -> collections.abc.Sequence[int]:
    """Return the groups in the order in which a key prefers them.

    Another number of groups changes the order of few keys only.
    """
    return _ranked(key, groups)


@functools.lru_cache(maxsize=20_000)
def _ranked(key: str, groups: int) -> tuple[int, ...]:
    return tuple(
        sorted(
            range(groups),
            key=lambda group: mmh3.hash64(f"{key}/{group}")[0],
            reverse=True,
        )
    )
