"""What holders of engine groups need of the replicated log."""

import abc
import collections.abc

from bergamotsail import wire


class GroupLog(abc.ABC):
    """The replicated log, as one replica sees it."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The name of this replica, the same across restarts."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """The address of this replica."""

    @property
    @abc.abstractmethod
    def term(self) -> int:
        """The current term."""

    @abc.abstractmethod
    def holds(self) -> bool:
        """Whether this replica leads and no other can at this moment."""

    @abc.abstractmethod
    def refusal(self) -> wire.ServingError:
        """Return an error that names the current leader."""

    @abc.abstractmethod
    def leader_address(self) -> str:
        """Return the address of the leader.

        Raises:
            NotLeaderError: no leader is known.
        """

    @abc.abstractmethod
    def answering(self) -> collections.abc.Mapping[str, str]:
        """Return replicas that answer this leader; address by name."""

    @abc.abstractmethod
    def former_holder(self, group: str) -> str:
        """Return who gave orders to a group last, empty if unknown."""

    @property
    @abc.abstractmethod
    def holders(self) -> int:
        """Number of replicas that are meant to hold a group of engines."""

    @abc.abstractmethod
    def former_groups(self) -> int:
        """Return the number of groups that were ordered last, 0 if none."""
