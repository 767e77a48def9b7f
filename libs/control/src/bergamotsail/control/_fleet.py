"""Known targets, from the instance list and their own reports."""

import collections.abc
import dataclasses

import mmh3

from bergamotsail import targets

REMOVE_AFTER_S = 60.0


@dataclasses.dataclass(slots=True)
class _TrackedTarget:
    """The current incarnation of a target.

    Args:
        leaving: the instance list shows it as leaving, or not at all.
        start_time_ms: start time in milliseconds of Unix time, None if
            unknown. It may be missing from the id of the instance if it was
            learned later.
        missing_since: when it disappeared from the list.
        reported_leaving: it reported itself that it is leaving; the list may
            show that later.
    """

    instance: targets.Instance
    leaving: bool
    start_time_ms: int | None
    missing_since: float | None = None
    reported_leaving: bool = False


class Fleet:
    """Tracks targets across gaps and delays of the instance list.

    A target that is missing from the list is treated as leaving, which is
    the safe assumption. An empty list is more likely a fault of the list,
    and is ignored.

    A target listed with a later start time is a new incarnation. The list
    lags, so an entry with an earlier start time is ignored, and an entry
    without one leaves the known incarnation in place.
    """

    def __init__(self) -> None:
        self._tracked_by_name: dict[str, _TrackedTarget] = {}

    def remember(self, instance: targets.Instance, leaving: bool) -> None:
        """Add a target, or replace what is known of it."""
        incarnation = targets.Incarnation.of(instance.id)
        known = _TrackedTarget(instance, leaving, incarnation.start_time_ms)
        self._tracked_by_name[incarnation.name] = known

    def record_restart(self, target: str, start_time_ms: int) -> str:
        """Record a restart that a target reported itself.

        Args:
            target: the incarnation known so far; if it is outdated, nothing
                changes.

        Returns:
            The current incarnation.
        """
        name = targets.Incarnation.of(target).name
        known = self._tracked_by_name.get(name)
        if known is None:
            return target
        if known.instance.id == target:
            known.instance = _with_start_time(
                known.instance, name, start_time_ms
            )
            known.start_time_ms = start_time_ms
            known.reported_leaving = False
        return known.instance.id

    def record_leaving(self, target: str) -> bool:
        """Record that a target reported itself as leaving.

        Args:
            target: the incarnation that did; another one changes nothing.

        Returns:
            Whether that is new.
        """
        name = targets.Incarnation.of(target).name
        known = self._tracked_by_name.get(name)
        if known is None or known.instance.id != target:
            return False
        is_new = not known.reported_leaving
        known.reported_leaving = True
        return is_new

    def update(
        self, instances: collections.abc.Sequence[targets.Instance], now: float
    ) -> None:
        """Apply one reading of the instance list."""
        if not instances:
            return
        listed = set()
        for instance in instances:
            incarnation = targets.Incarnation.of(instance.id)
            listed.add(incarnation.name)
            self._apply_entry(incarnation, instance)
        for name, known in list(self._tracked_by_name.items()):
            if name in listed:
                continue
            known.leaving = True
            if known.missing_since is None:
                known.missing_since = now
            if now - known.missing_since > REMOVE_AFTER_S:
                del self._tracked_by_name[name]

    def _apply_entry(
        self, incarnation: targets.Incarnation, instance: targets.Instance
    ) -> None:
        """Apply one entry of the instance list."""
        leaving = instance.state is targets.InstanceState.LEAVING
        known = self._tracked_by_name.get(incarnation.name)
        if known is None:
            self.remember(instance, leaving)
            return
        known.missing_since = None
        listed_ms, known_ms = incarnation.start_time_ms, known.start_time_ms
        if (
            listed_ms is not None
            and known_ms is not None
            and listed_ms < known_ms
        ):
            return
        if listed_ms is None or known_ms is None or listed_ms == known_ms:
            instance = dataclasses.replace(instance, id=known.instance.id)
        start_time_ms = known_ms if listed_ms is None else listed_ms
        same = instance.id == known.instance.id
        still_leaving = known.reported_leaving and same
        self._tracked_by_name[incarnation.name] = _TrackedTarget(
            instance, leaving, start_time_ms, reported_leaving=still_leaving
        )

    def all(self) -> list[tuple[targets.Instance, bool]]:
        """Return each target and whether it is leaving."""
        return [
            (known.instance, known.leaving or known.reported_leaving)
            for known in self._tracked_by_name.values()
        ]

    def listed(self) -> collections.abc.Iterator[targets.Instance]:
        """Yield the targets that the instance list has."""
        for known in self._tracked_by_name.values():
            if known.missing_since is None:
                yield known.instance


def _with_start_time(
    instance: targets.Instance, name: str, start_time_ms: int
) -> targets.Instance:
    incarnation = targets.Incarnation(name, start_time_ms)
    return dataclasses.replace(instance, id=str(incarnation))


def rendezvous(
    key: str, candidates: collections.abc.Iterable[str]
) -> list[str]:
    """Order candidates by rendezvous hashing with a key, highest first.

    Every daemon computes the same order, and adding or removing a candidate
    moves only its own keys.
    """
    return sorted(
        candidates,
        key=lambda candidate: mmh3.hash64(f"{key}/{candidate}")[0],
        reverse=True,
    )
