"""The scheduler's interface to the leadership of the replicated log."""

import abc

from bergamotsail import wire


class Leadership(abc.ABC):
    """Whether this process is the leader, and under which term."""

    @property
    @abc.abstractmethod
    def term(self) -> int:
        """The current term, from which fencing numbers are derived."""

    @abc.abstractmethod
    def holds(self) -> bool:
        """Whether this process leads and no other can lead at this moment."""

    @abc.abstractmethod
    def refusal(self) -> wire.ServingError:
        """Return an error that names the current leader."""
