"""Which replica gathers the calls of a daemon."""

import asyncio
import collections.abc

from bergamotsail.control import _fleet
from bergamotsail import wire

# Number of daemons up to which each calls the leader itself. The leader has
# time for their calls, and a gathering replica would only delay them.
MAX_DIRECT_DAEMONS = 30
# How long a replica that failed a call is left out.
AVOID_S = 2.0
# Errors that are about the gathering replica rather than about the call or
# the leader.
GATHERER_ERRORS = (
    wire.NotSentError,
    wire.PeerLostError,
    wire.ReplicaFailedError,
    wire.StartingError,
    wire.StoppingError,
    wire.NotFoundError,
)


class GathererChoice:
    """Chooses one of the replicas that the leader names.

    Daemons prefer different ones, and keep theirs while the leader names it.

    Example::

        choice = GathererChoice("entry-1#5", wire.LoopClock())
        choice.update(("10.0.0.1:7001", "10.0.0.2:7001"), daemons=80)
        choice.address()  # one of the two
        choice.avoid("10.0.0.1:7001")
        choice.address()  # "10.0.0.2:7001"
    """

    def __init__(self, boot: str, clock: wire.Clock) -> None:
        self._boot = boot
        self._clock = clock
        self._ranked: list[str] = []
        self._avoid_until_by_address: dict[str, float] = {}
        self._moved = asyncio.Event()

    @property
    def moved(self) -> asyncio.Event:
        """Event that is set once the chosen replica is no longer used."""
        return self._moved

    def update(
        self, addresses: collections.abc.Collection[str], daemons: int
    ) -> None:
        """Apply what the leader names in a reply.

        Args:
            daemons: number of daemons; few of them call the leader directly.
        """
        before = self.address()
        if daemons <= MAX_DIRECT_DAEMONS:
            addresses = ()
        if set(addresses) != set(self._ranked):
            self._ranked = _fleet.rendezvous(self._boot, addresses)
        if before is not None and before not in addresses:
            self._notify_moved()

    def _notify_moved(self) -> None:
        """Wake the tasks that wait for replies of the replica."""
        self._moved.set()
        self._moved = asyncio.Event()

    def address(self) -> str | None:
        """Return the address for calls; None to call the leader itself."""
        now = self._clock.now()
        for address in self._ranked:
            if now >= self._avoid_until_by_address.get(address, now):
                return address
        return None

    def avoid(self, address: str) -> None:
        """Leave out a replica that failed a call for AVOID_S."""
        if address == self.address():
            self._notify_moved()
        until = self._clock.now() + AVOID_S
        self._avoid_until_by_address = {
            other: at
            for other, at in self._avoid_until_by_address.items()
            if other in self._ranked
        } | {address: until}
