"""Soft state that the leader spreads: daemons, targets, residents."""

import dataclasses
import typing

from bergamotsail.control import _messages

Item = typing.TypeVar("Item")


class _Table(typing.Generic[Item]):
    """Items by id, each with the version that last changed it."""

    def __init__(self) -> None:
        self.by_id: dict[str, Item] = {}
        self._version_by_id: dict[str, int] = {}
        self._gone_by_id: dict[str, int] = {}

    def put(self, item_id: str, item: Item, version: int) -> bool:
        if self.by_id.get(item_id) == item:
            return False
        self.by_id[item_id] = item
        self._version_by_id[item_id] = version
        self._gone_by_id.pop(item_id, None)
        return True

    def drop(self, item_id: str, version: int) -> bool:
        if self.by_id.pop(item_id, None) is None:
            return False
        del self._version_by_id[item_id]
        self._gone_by_id[item_id] = version
        return True

    def since(self, version: int) -> tuple[Item, ...]:
        return tuple(
            self.by_id[item_id]
            for item_id, at in self._version_by_id.items()
            if at > version
        )

    def gone_since(self, version: int) -> tuple[str, ...]:
        return tuple(
            item_id for item_id, at in self._gone_by_id.items() if at > version
        )


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
        return _messages.DigestDelta(
            self._term,
            self.version,
            full,
            self._daemons.since(since),
            self._targets.since(since),
            () if full else self._daemons.gone_since(since),
            () if full else self._targets.gone_since(since),
        )


class Digest:
    """The daemon's side: the latest soft state it heard of."""

    def __init__(self) -> None:
        self.term = 0
        self.version = 0
        self.daemon_by_boot: dict[str, _messages.DaemonInfo] = {}
        self.target_by_id: dict[str, _messages.TargetInfo] = {}
        self._targets_of_former = False

    def apply(self, delta: _messages.DigestDelta) -> None:
        """Take a delta; deltas of one term come in order.

        A new leader knows no targets until it has read the list. Those of
        the former one count until then.
        """
        if delta.full:
            self.daemon_by_boot.clear()
            self._targets_of_former = True
        if delta.targets and self._targets_of_former:
            self.target_by_id.clear()
            self._targets_of_former = False
        self.term = delta.term
        self.version = delta.version
        for daemon in delta.daemons:
            self.daemon_by_boot[daemon.boot] = daemon
        for target in delta.targets:
            self.target_by_id[target.id] = target
        for boot in delta.gone_daemons:
            self.daemon_by_boot.pop(boot, None)
        for target_id in delta.gone_targets:
            self.target_by_id.pop(target_id, None)

    def set_leaving(self, target: str) -> None:
        """Mark a target that said itself that it is leaving."""
        info = self.target_by_id.get(target)
        if info is not None:
            self.target_by_id[target] = dataclasses.replace(info, leaving=True)
