"""The platform's list of live and leaving instances."""

import abc
import dataclasses
import enum

from bergamotsail import observe
from bergamotsail import wire

# So many causes are logged, each once, however long the list is.
MOST_CAUSES = 50
# Stands between a target's name and its start.
BORN_MARK = "#"


class InstanceState(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a target.

    A target may start again under the name that it had, so what is known
    of it is kept under the text of this value and not under its name.

    >>> text = str(Incarnation("i-7", 1700000000000))
    >>> text, Incarnation.of(text).name
    ('i-7#1700000000000', 'i-7')

    Args:
        name: what the target calls itself.
        start_time_ms: when it started, in milliseconds of Unix time; None where
            that is not told.
    """

    name: str
    start_time_ms: int | None = None

    def __str__(self) -> str:
        if self.start_time_ms is None and BORN_MARK not in self.name:
            return self.name
        born = "" if self.start_time_ms is None else str(self.start_time_ms)
        return f"{self.name}{BORN_MARK}{born}"

    @classmethod
    def of(cls, text: str) -> "Incarnation":
        """Return the value that has this text."""
        name, mark, born = text.rpartition(BORN_MARK)
        if not mark:
            return cls(text)
        return cls(name, int(born) if born else None)


def parse_ms(told: object) -> int | None:
    """Return a time in milliseconds; None for what is no whole number."""
    if isinstance(told, float) and told.is_integer():
        told = int(told)
    if isinstance(told, bool) or not isinstance(told, int) or told < 0:
        return None
    return told


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A target as the platform lists it.

    Args:
        id: the text of its incarnation.
        pool: the pool of like targets it belongs to.
        address: IP number and port.
        datacentre: where it stands.
    """

    id: str
    pool: str
    address: str
    datacentre: str
    state: InstanceState = InstanceState.LIVE

    @property
    def name(self) -> str:
        """What the target calls itself, the same for all its starts."""
        return Incarnation.of(self.id).name


class InstanceList(abc.ABC):
    """Reads the list; it lags and may be out of reach."""

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Return the list.

        Raises:
            ServingError: it can't be reached or read.
        """


class BadEntryLogger:
    """Logs why entries of the list were left out, once for each cause."""

    def __init__(self) -> None:
        self._causes: set[str] = set()

    def note(self, error: wire.BadMessageError) -> None:
        """Note an entry that does not fit."""
        cause = error.message
        if cause not in self._causes and len(self._causes) < MOST_CAUSES:
            self._causes.add(cause)
            observe.log_event("list", "bad_entry", cause=cause)
