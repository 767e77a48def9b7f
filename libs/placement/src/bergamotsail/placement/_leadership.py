"""The scheduler's interface to the right to place requests on engines."""

import abc

from bergamotsail import wire


class Leadership(abc.ABC):
    """Whether this process may place and order now, and under which term.

    It is the leader of the replicated log, or holds a group of engines.
    """

    @property
    @abc.abstractmethod
    def term(self) -> int:
        """The current term, from which fencing numbers are derived."""

    @property
    def log_term(self) -> int:
        """The term of the replicated log in which *term* was given."""
        return self.term

    @property
    def leads_log(self) -> bool:
        """Whether this process is the leader of the replicated log."""
        return self.holds()

    @abc.abstractmethod
    def holds(self) -> bool:
        """Whether this process may, and no other can at this moment."""

    @abc.abstractmethod
    def refusal(self) -> wire.ServingError:
        """Return an error that names the current leader."""
