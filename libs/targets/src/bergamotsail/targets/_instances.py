"""The platform's list of instances and its data types."""

import abc
import dataclasses
import enum

from bergamotsail import observe
from bergamotsail import wire

# Maximum number of distinct causes logged, however long the list is.
MAX_LOGGED_CAUSES = 50
# Separates the name and the start time in the text of an incarnation.
START_SEPARATOR = "#"


class InstanceState(enum.StrEnum):
    """The state of an instance in the list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a target.

    A target may restart under the same name. State about a target is
    therefore keyed by the text of its incarnation, not by its name.

    >>> text = str(Incarnation("i-7", 1700000000000))
    >>> text, Incarnation.of(text).name
    ('i-7#1700000000000', 'i-7')

    Args:
        name: name of the target, the same across restarts.
        start_time_ms: start time in milliseconds of Unix time, None if
            unknown.
    """

    name: str
    start_time_ms: int | None = None

    def __str__(self) -> str:
        if self.start_time_ms is None and START_SEPARATOR not in self.name:
            return self.name
        start = "" if self.start_time_ms is None else str(self.start_time_ms)
        return f"{self.name}{START_SEPARATOR}{start}"

    @classmethod
    def of(cls, text: str) -> "Incarnation":
        """Parse the text of an incarnation."""
        name, separator, start = text.rpartition(START_SEPARATOR)
        if not separator:
            return cls(text)
        return cls(name, int(start) if start else None)


def parse_ms(value: object) -> int | None:
    """Return a time as an int, or None unless it is a whole number >= 0.

    A float without a fraction is accepted; a bool is not.
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """A target in the instance list.

    Args:
        id: text of its incarnation.
        pool: the pool it belongs to.
        address: IP address and port.
        datacentre: the data centre it runs in.
        software: version of its software; empty if the list states none,
            None if it is not known.
    """

    id: str
    pool: str
    address: str
    datacentre: str
    state: InstanceState = InstanceState.LIVE
    software: str | None = ""

    @property
    def name(self) -> str:
        """Name of the target, the same across restarts."""
        return Incarnation.of(self.id).name


class InstanceList(abc.ABC):
    """Source of the list, which may be stale or unreachable."""

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Fetch the list.

        Raises:
            ServingError: it can't be reached or decoded.
        """


class BadEntryLogger:
    """Logs why entries of the list are skipped, once per cause."""

    def __init__(self) -> None:
        self._causes: set[str] = set()

    def note(self, error: wire.BadMessageError) -> None:
        """Log an invalid entry, unless its cause was logged before."""
        cause = error.message
        if cause not in self._causes and len(self._causes) < MAX_LOGGED_CAUSES:
            self._causes.add(cause)
            observe.log_event("list", "bad_entry", cause=cause)
