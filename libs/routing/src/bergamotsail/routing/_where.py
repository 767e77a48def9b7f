"""Which of the system's addresses a caller should use."""

import collections.abc
import dataclasses

from bergamotsail import control
from bergamotsail.routing import _choice

MOST_ADDRESSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """Addresses in order of preference, and how long to keep them."""

    addresses: tuple[str, ...]
    keep_s: float


class AddressLookup:
    """Answers look-ups.

    Args:
        keep_s: how long a caller may keep an answer. A daemon that stops
            as planned serves on for longer than this.
    """

    def __init__(self, session: control.Session, keep_s: float) -> None:
        self._session = session
        self.keep_s = keep_s

    def look_up(self, name: str, adapter: str = "") -> LookupResult:
        """Return where to send requests for an entry.

        Args:
            adapter: as ``adapter@version`` when it is a model.
        """
        digest = self._session.digest
        daemons = {
            info.boot: info.address
            for info in digest.daemon_by_boot.values()
            if not info.leaving
        }
        order = list(self._owners_of(adapter)) if adapter else []
        order += control.rendezvous(name, daemons)
        addresses = dict.fromkeys(
            daemons[boot] for boot in order if boot in daemons
        )
        return LookupResult(tuple(addresses)[:MOST_ADDRESSES], self.keep_s)

    def _owners_of(self, adapter: str) -> collections.abc.Iterator[str]:
        """Yield owners of targets that hold the adapter, best first."""
        view = self._session.view
        holding = [
            target
            for target in self._session.open_targets()
            if _choice.is_resident(target, adapter)
        ]
        for target in sorted(holding, key=_choice.load_of):
            ownership = view.ownership_by_target.get(target.id)
            if ownership is not None and ownership.owner is not None:
                yield ownership.owner
