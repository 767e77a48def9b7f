"""What the log drives."""

import abc
import collections.abc


class Machine(abc.ABC):
    """What committed commands act on. It must be deterministic."""

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    @abc.abstractmethod
    def snapshot(self) -> collections.abc.Iterator[bytes]:
        """Return the state in lines.

        The iterator is read later, so it holds a frozen copy.
        """

    @abc.abstractmethod
    def restore(
        self, index: int, lines: collections.abc.Iterable[bytes]
    ) -> None:
        """Replace the state by a snapshot taken at *index*."""
