"""The lead of the log, as the holder of orders asks for it."""

import abc

from bergamotsail import wire


class Leadership(abc.ABC):
    """Whether this process may give orders, right now."""

    @property
    @abc.abstractmethod
    def term(self) -> int:
        """The fencing number of its orders."""

    @abc.abstractmethod
    def holds(self) -> bool:
        """Whether no other process can give orders at this moment."""

    @abc.abstractmethod
    def refusal(self) -> wire.ServingError:
        """Return the error that says who leads instead."""
