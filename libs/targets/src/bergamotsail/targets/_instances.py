"""The platform's list of live and leaving instances."""

import abc
import dataclasses
import enum


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
