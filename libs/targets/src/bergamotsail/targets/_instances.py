"""The platform's list of live and leaving instances."""

import abc
import dataclasses
import enum

from bergamotsail import observe
from bergamotsail import wire

# So many causes are logged, each once, however long the list is.
MOST_CAUSES = 50


class InstanceState(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A target as the platform lists it.

    Args:
        id: unique name.
        pool: the pool of like targets it belongs to.
        address: IP number and port.
        datacentre: where it stands.
    """

    id: str
    pool: str
    address: str
    datacentre: str
    state: InstanceState = InstanceState.LIVE


class InstanceList(abc.ABC):
    """Reads the list; it lags and may be out of reach."""

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Return the list.

        Raises:
            ServingError: it can't be reached or read.
        """


class ListFaults:
    """Logs why entries of the list were left out, once for each cause."""

    def __init__(self) -> None:
        self._causes: set[str] = set()

    def note(self, error: wire.BadMessageError) -> None:
        """Note an entry that does not fit."""
        cause = error.message
        if cause not in self._causes and len(self._causes) < MOST_CAUSES:
            self._causes.add(cause)
            observe.log_event("list", "bad_entry", cause=cause)
