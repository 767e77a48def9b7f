"""Interface of the replicated state machine."""

import abc
import collections.abc


class Machine(abc.ABC):
    """A state machine; it must be deterministic."""

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    @abc.abstractmethod
    def snapshot(self) -> collections.abc.Iterator[bytes]:
        """Return the state as lines.

        The state may change while the iterator is read, so the iterator must
        read from a copy taken at the call.
        """

    @abc.abstractmethod
    def restore(
        self, index: int, lines: collections.abc.Iterable[bytes]
    ) -> None:
        """Replace the state with the lines of a snapshot at *index*."""
