"""Soft state that the leader spreads: daemons, targets, residents."""

import collections.abc
import dataclasses
import heapq
import itertools
import typing

from bergamotsail.control import _messages

Item = typing.TypeVar("Item")
# Changes in one answer, some 60 kB: a link of 1 Mbit/s carries them in the
# 0.6 s that a daemon waits for it. All of 3,000 targets at once take a link
# of 5 Mbit/s that long, so that no answer of a new leader came in time.
MOST_CHANGES = 400


class _Table(typing.Generic[Item]):
    """Items by id, each with the version that last changed it.

    The versions stand in the order of their change, so that to find the
    latest does not take a look at all.
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
        """Return what changed, as version and id, the earliest first."""
        return _later(self._version_by_id, version)

    def gone_since(self, version: int) -> list[tuple[int, str]]:
        """Return what went, as version and id, the earliest first."""
        return _later(self._gone_by_id, version)

    def items(
        self, changes: collections.abc.Iterable[tuple[int, str]], until: int
    ) -> tuple[Item, ...]:
        """Return what changed up to a version."""
        return tuple(self.by_id[one] for at, one in changes if at <= until)


def _later(
    version_by_id: dict[str, int], version: int
) -> list[tuple[int, str]]:
    latest = itertools.takewhile(
        lambda item: item[1] > version, reversed(version_by_id.items())
    )
    found = [(at, item_id) for item_id, at in latest]
    found.reverse()
    return found


def _ids(
    changes: collections.abc.Iterable[tuple[int, str]], until: int
) -> tuple[str, ...]:
    return tuple(one for at, one in changes if at <= until)


class DigestLog:
    """The leader's side: what changed since any version of this term."""

    def __init__(self, term: int) -> None:
        self.version = 0
        self._term = term
        self._daemons: _Table[_messages.DaemonInfo] = _Table()
        self._targets: _Table[_messages.TargetInfo] = _Table()

    def put_daemon(self, info: _messages.DaemonInfo) -> None:
        """Set a daemon."""
        if self._daemons.put(info.boot, info, self.version + 1):
            self.version += 1

    def drop_daemon(self, boot: str) -> None:
        """Remove a daemon."""
        if self._daemons.drop(boot, self.version + 1):
            self.version += 1

    def put_target(self, info: _messages.TargetInfo) -> None:
        """Set a target."""
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
        """Targets known."""
        return self._targets.by_id

    def delta(self, term: int, version: int) -> _messages.DigestDelta:
        """Return what a daemon at this term and version lacks."""
        full = term != self._term
        since = 0 if full else version
        daemons = self._daemons.since(since)
        targets = self._targets.since(since)
        gone_daemons = self._daemons.gone_since(since)
        gone_targets = self._targets.gone_since(since)
        until = self._until(daemons, targets, gone_daemons, gone_targets)
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

    def _until(self, *changes: list[tuple[int, str]]) -> int:
        """Return the version up to which one answer can hold changes.

        Each change has a version of its own.
        """
        if sum(map(len, changes)) <= MOST_CHANGES:
            return self.version
        ordered = heapq.merge(*changes)
        return next(itertools.islice(ordered, MOST_CHANGES - 1, None))[0]


class Digest:
    """The daemon's side: the latest soft state it heard of."""

    def __init__(self) -> None:
        self.term = 0
        self.version = 0
        self.daemon_by_boot: dict[str, _messages.DaemonInfo] = {}
        self.target_by_id: dict[str, _messages.TargetInfo] = {}
        # Targets that only a former leader has told of.
        self._former: set[str] = set()
        self._told_targets = False

    def apply(self, delta: _messages.DigestDelta) -> None:
        """Take a delta; deltas of one term come in order.

        A new leader knows no targets until it has read the list. Those of
        the former one count until then, and until it has told of all.
        """
        if delta.full:
            self.daemon_by_boot.clear()
            self._former = set(self.target_by_id)
            self._told_targets = False
        self.term = delta.term
        self.version = delta.version
        for daemon in delta.daemons:
            self.daemon_by_boot[daemon.boot] = daemon
        for target in delta.targets:
            self.target_by_id[target.id] = target
            self._former.discard(target.id)
            self._told_targets = True
        if self._told_targets and not delta.more:
            for target_id in self._former:
                del self.target_by_id[target_id]
            self._former.clear()
        for boot in delta.gone_daemons:
            self.daemon_by_boot.pop(boot, None)
        for target_id in delta.gone_targets:
            self.target_by_id.pop(target_id, None)
            self._former.discard(target_id)

    def set_leaving(self, target: str) -> None:
        """Mark a target that said itself that it is leaving."""
        info = self.target_by_id.get(target)
        if info is not None:
            self.target_by_id[target] = dataclasses.replace(info, leaving=True)
