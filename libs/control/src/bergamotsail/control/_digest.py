"""Soft state that the leader distributes: daemons and targets."""

import collections.abc
import dataclasses
import heapq
import itertools
import typing

from bergamotsail.control import _messages

Item = typing.TypeVar("Item")
# Changes in one reply, about 60 kB: a 1 Mbit/s link transfers them in the
# 0.6 s that a daemon waits for it. All of 3,000 targets in one reply take that
# long on a 5 Mbit/s link, so no reply of a new leader would arrive in time.
MOST_CHANGES = 400


class _Table(typing.Generic[Item]):
    """Items by id, each with the version that last changed it.

    Versions are kept in ascending order, so that the latest changes are
    found without a scan of all items.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Item] = {}
        self._version_by_id: dict[str, int] = {}
        self._gone_by_id: dict[str, int] = {}

    def put(self, item_id: str, item: Item, version: int) -> bool:
        if self.by_id.get(item_id) == item:
            return False
        self.by_id[item_id] = item
        self._version_by_id.pop(item_id, None)
        self._version_by_id[item_id] = version
        self._gone_by_id.pop(item_id, None)
        return True

    def drop(self, item_id: str, version: int) -> bool:
        if self.by_id.pop(item_id, None) is None:
            return False
        del self._version_by_id[item_id]
        self._gone_by_id[item_id] = version
        return True

    def since(self, version: int) -> list[tuple[int, str]]:
        """Return changes after *version*, as version and id, ascending."""
        return _changes_after(self._version_by_id, version)

    def gone_since(self, version: int) -> list[tuple[int, str]]:
        """Return removals after *version*, as version and id, ascending."""
        return _changes_after(self._gone_by_id, version)

    def items(
        self, changes: collections.abc.Iterable[tuple[int, str]], until: int
    ) -> tuple[Item, ...]:
        """Return the changed items up to a version."""
        return tuple(
            self.by_id[item_id]
            for version, item_id in changes
            if version <= until
        )


def _changes_after(
    version_by_id: dict[str, int], version: int
) -> list[tuple[int, str]]:
    latest = itertools.takewhile(
        lambda item: item[1] > version, reversed(version_by_id.items())
    )
    changes = [(at, item_id) for item_id, at in latest]
    changes.reverse()
    return changes


def _ids(
    changes: collections.abc.Iterable[tuple[int, str]], until: int
) -> tuple[str, ...]:
    return tuple(item_id for version, item_id in changes if version <= until)


class DigestLog:
    """The leader's side: computes deltas since any version of its term."""

    def __init__(self, term: int) -> None:
        self.version = 0
        self._term = term
        self._daemons: _Table[_messages.DaemonInfo] = _Table()
        self._targets: _Table[_messages.TargetInfo] = _Table()

    def put_daemon(self, info: _messages.DaemonInfo) -> None:
        """Insert or update a daemon."""
        if self._daemons.put(info.boot, info, self.version + 1):
            self.version += 1

    def drop_daemon(self, boot: str) -> None:
        """Remove a daemon."""
        if self._daemons.drop(boot, self.version + 1):
            self.version += 1

    def put_target(self, info: _messages.TargetInfo) -> None:
        """Insert or update a target."""
        if self._targets.put(info.id, info, self.version + 1):
            self.version += 1

    def drop_target(self, target: str) -> None:
        """Remove a target."""
        if self._targets.drop(target, self.version + 1):
            self.version += 1

    @property
    def daemon_by_boot(self) -> dict[str, _messages.DaemonInfo]:
        """Daemons with a session."""
        return self._daemons.by_id

    @property
    def target_by_id(self) -> dict[str, _messages.TargetInfo]:
        """Known targets."""
        return self._targets.by_id

    def delta(self, term: int, version: int) -> _messages.DigestDelta:
        """Return the changes since this term and version.

        A daemon that has another term gets all items.
        """
        full = term != self._term
        since = 0 if full else version
        daemons = self._daemons.since(since)
        targets = self._targets.since(since)
        gone_daemons = self._daemons.gone_since(since)
        gone_targets = self._targets.gone_since(since)
        until = self._last_version_that_fits(
            daemons, targets, gone_daemons, gone_targets
        )
        return _messages.DigestDelta(
            self._term,
            until,
            full,
            self._daemons.items(daemons, until),
            self._targets.items(targets, until),
            () if full else _ids(gone_daemons, until),
            () if full else _ids(gone_targets, until),
            until < self.version,
        )

    def _last_version_that_fits(self, *changes: list[tuple[int, str]]) -> int:
        """Return the version up to which the changes fit into one reply.

        No two changes have the same version.
        """
        if sum(map(len, changes)) <= MOST_CHANGES:
            return self.version
        ordered = heapq.merge(*changes)
        return next(itertools.islice(ordered, MOST_CHANGES - 1, None))[0]


class Digest:
    """The daemon's side: its copy of the leader's soft state."""

    def __init__(self) -> None:
        self.term = 0
        self.version = 0
        self.daemon_by_boot: dict[str, _messages.DaemonInfo] = {}
        self.target_by_id: dict[str, _messages.TargetInfo] = {}
        # Targets that only former leaders have reported.
        self._former_targets: set[str] = set()
        self._received_targets = False

    def apply(self, delta: _messages.DigestDelta) -> None:
        """Apply a delta; deltas of one term arrive in order.

        A new leader knows no targets until it has read the instance list.
        Targets of the former leader are kept until then, and until the new
        one has sent all of its own.
        """
        if delta.full:
            self.daemon_by_boot.clear()
            self._former_targets = set(self.target_by_id)
            self._received_targets = False
        self.term = delta.term
        self.version = delta.version
        for daemon in delta.daemons:
            self.daemon_by_boot[daemon.boot] = daemon
        for target in delta.targets:
            self.target_by_id[target.id] = target
            self._former_targets.discard(target.id)
            self._received_targets = True
        if self._received_targets and not delta.more:
            for target_id in self._former_targets:
                del self.target_by_id[target_id]
            self._former_targets.clear()
        for boot in delta.gone_daemons:
            self.daemon_by_boot.pop(boot, None)
        for target_id in delta.gone_targets:
            self.target_by_id.pop(target_id, None)
            self._former_targets.discard(target_id)

    def set_leaving(self, target: str) -> None:
        """Mark a target as leaving, as it reported itself."""
        info = self.target_by_id.get(target)
        if info is not None:
            self.target_by_id[target] = dataclasses.replace(info, leaving=True)
