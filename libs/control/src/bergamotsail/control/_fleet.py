"""Targets as the lagging instance list shows them."""

import collections.abc
import dataclasses

import mmh3

from bergamotsail import targets

FORGET_S = 60.0


@dataclasses.dataclass(slots=True)
class _Known:
    """A target's present start.

    Args:
        start_time_ms: when it started. Its instance may not have that in its id,
            when it was told of later.
        said_leaving: it said so itself; the list may be late to.
    """

    instance: targets.Instance
    leaving: bool
    start_time_ms: int | None
    missing_since: float | None = None
    said_leaving: bool = False


class Fleet:
    """Remembers targets across gaps of the list.

    A target that is missing from the list is treated as leaving, since
    that is the safe reading. A list that is empty all at once is more
    likely a fault of the list, and changes nothing.

    A target that is listed with a later start is another one. The list
    lags, so an earlier start than the known one changes nothing, and no
    start at all says nothing.
    """

    def __init__(self) -> None:
        self._known_by_name: dict[str, _Known] = {}

    def remember(self, instance: targets.Instance, leaving: bool) -> None:
        """Start from a target that was known before."""
        start = targets.Incarnation.of(instance.id)
        known = _Known(instance, leaving, start.start_time_ms)
        self._known_by_name[start.name] = known

    def started(self, target: str, start_time_ms: int) -> str:
        """Take a target's own word that another start of it runs now.

        Args:
            target: the incarnation that was known.

        Returns:
            The present incarnation.
        """
        name = targets.Incarnation.of(target).name
        known = self._known_by_name.get(name)
        if known is None:
            return target
        if known.instance.id == target:
            known.instance = _started(known.instance, name, start_time_ms)
            known.start_time_ms = start_time_ms
            known.said_leaving = False
        return known.instance.id

    def said_leaving(self, target: str) -> bool:
        """Take a target's own word that it is leaving; whether it is news.

        Args:
            target: the start that said so; another one changes nothing.
        """
        name = targets.Incarnation.of(target).name
        known = self._known_by_name.get(name)
        if known is None or known.instance.id != target:
            return False
        news = not known.said_leaving
        known.said_leaving = True
        return news

    def update(
        self, instances: collections.abc.Sequence[targets.Instance], now: float
    ) -> None:
        """Take a reading of the list."""
        if not instances:
            return
        listed = set()
        for instance in instances:
            start = targets.Incarnation.of(instance.id)
            listed.add(start.name)
            self._take(start, instance)
        for name, known in list(self._known_by_name.items()):
            if name in listed:
                continue
            known.leaving = True
            if known.missing_since is None:
                known.missing_since = now
            if now - known.missing_since > FORGET_S:
                del self._known_by_name[name]

    def _take(
        self, start: targets.Incarnation, instance: targets.Instance
    ) -> None:
        """Take an entry of the list."""
        leaving = instance.state is targets.InstanceState.LEAVING
        known = self._known_by_name.get(start.name)
        if known is None:
            self.remember(instance, leaving)
            return
        known.missing_since = None
        told, before = start.start_time_ms, known.start_time_ms
        if told is not None and before is not None and told < before:
            return
        if told is None or before is None or told == before:
            instance = dataclasses.replace(instance, id=known.instance.id)
        start_time_ms = before if told is None else told
        same = instance.id == known.instance.id
        said = known.said_leaving and same
        self._known_by_name[start.name] = _Known(
            instance, leaving, start_time_ms, said_leaving=said
        )

    def all(self) -> list[tuple[targets.Instance, bool]]:
        """Return each target and whether it is leaving."""
        return [
            (known.instance, known.leaving or known.said_leaving)
            for known in self._known_by_name.values()
        ]


def _started(
    instance: targets.Instance, name: str, start_time_ms: int
) -> targets.Instance:
    start = targets.Incarnation(name, start_time_ms)
    return dataclasses.replace(instance, id=str(start))


def rendezvous(
    key: str, candidates: collections.abc.Iterable[str]
) -> list[str]:
    """Order candidates by their hash with a key, highest first.

    Every daemon computes the same order, and a candidate that comes or
    goes moves only its own keys.
    """
    return sorted(
        candidates,
        key=lambda candidate: mmh3.hash64(f"{key}/{candidate}")[0],
        reverse=True,
    )
