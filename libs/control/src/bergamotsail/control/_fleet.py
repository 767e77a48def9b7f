"""Targets as the lagging instance list shows them."""

import collections.abc
import dataclasses

import mmh3

from bergamotsail import targets

FORGET_S = 60.0


@dataclasses.dataclass(slots=True)
class _Known:
    instance: targets.Instance
    leaving: bool
    missing_since: float | None = None


class Fleet:
    """Remembers targets across gaps of the list.

    A target that is missing from the list is treated as leaving, since
    that is the safe reading. A list that is empty all at once is more
    likely a fault of the list, and changes nothing.
    """

    def __init__(self) -> None:
        self._known_by_id: dict[str, _Known] = {}

    def remember(self, instance: targets.Instance, leaving: bool) -> None:
        """Start from a target that was known before."""
        self._known_by_id[instance.id] = _Known(instance, leaving)

    def update(
        self, instances: collections.abc.Sequence[targets.Instance], now: float
    ) -> None:
        """Take a reading of the list."""
        if not instances:
            return
        listed = {instance.id: instance for instance in instances}
        for instance in listed.values():
            leaving = instance.state is targets.InstanceState.LEAVING
            self._known_by_id[instance.id] = _Known(instance, leaving)
        for target, known in list(self._known_by_id.items()):
            if target in listed:
                continue
            known.leaving = True
            if known.missing_since is None:
                known.missing_since = now
            if now - known.missing_since > FORGET_S:
                del self._known_by_id[target]

    def all(self) -> list[tuple[targets.Instance, bool]]:
        """Return each target and whether it is leaving."""
        return [
            (known.instance, known.leaving)
            for known in self._known_by_id.values()
        ]


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
