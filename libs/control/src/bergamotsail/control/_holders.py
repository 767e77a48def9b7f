"""Which replica places requests on which engines, as daemons see it."""

import asyncio
import collections.abc
import random

from bergamotsail.control import _groups
from bergamotsail.control import _messages
from bergamotsail import wire

# How long a holder that failed a call is left out.
AVOID_S = 1.0
# Difference of the waits in two groups, in seconds, from which requests leave
# the group that their adapter prefers. Smaller ones are noise.
MIN_DIFFERENCE_S = 0.2
# Largest share of requests that leave it. Loads are known late, and with all
# requests on the move the groups would be overloaded in turn.
MAX_LEAVING_SHARE = 0.5

GroupHolder = _messages.GroupHolder


class HolderTable:
    """The holders of all groups, from the leader's last reply.

    It is empty while the leader places all requests itself.

    Args:
        boot: id of the daemon's process; it seeds the random choices.

    Example::

        table = HolderTable("entry-1#5", wire.LoopClock())
        table.update((GroupHolder("10.0.0.1:1"), GroupHolder("10.0.0.2:1")))
        group = table.choose("base/a7")
        table.address(group)  # one of the two
    """

    def __init__(self, boot: str, clock: wire.Clock) -> None:
        self._clock = clock
        self._rng: random.Random = wire.make_rng(boot)
        self._holders: tuple[GroupHolder, ...] = ()
        self._avoid_until_by_address: dict[str, float] = {}
        self._moved = asyncio.Event()

    def __len__(self) -> int:
        return len(self._holders)

    @property
    def moved(self) -> asyncio.Event:
        """Event that is set once a group has another holder, or none."""
        return self._moved

    def update(self, holders: tuple[GroupHolder, ...]) -> None:
        """Apply what the leader says of the groups."""
        before = [holder.address for holder in self._holders]
        self._holders = holders
        if before != [holder.address for holder in holders]:
            self._moved.set()
            self._moved = asyncio.Event()

    def address(self, group: int) -> str:
        """Return the address of a group's holder, empty if it has none."""
        if not 0 <= group < len(self._holders):
            return ""
        return self._holders[group].address

    def holder(self, group: int) -> GroupHolder:
        """Return what is known of a group's holder."""
        return self._holders[group]

    def holds(self, address: str, group_id: str) -> bool:
        """Whether a replica holds a group, as far as is known here."""
        groups = len(self._holders)
        return any(
            self._holders[group].address == address
            for group in range(groups)
            if _groups.group_id(group, groups) == group_id
        )

    def address_for(self, target: str) -> str:
        """Return the address of the holder of an engine's group."""
        return self.address(_groups.group_of(target, len(self._holders)))

    def choose(
        self, key: str, refused: collections.abc.Container[int] = ()
    ) -> int | None:
        """Return the group to ask for a place; None if none can be asked.

        Args:
            key: requests with the same key go to the same group, as long as
                that is not much busier than the next one.
            refused: groups to leave out.
        """
        usable = [
            group
            for group in _groups.ranked_groups(key, len(self._holders))
            if group not in refused and self._usable(group)
        ]
        if not usable:
            return None
        if len(usable) > 1 and self._rng.random() < self._leaving_share(
            self._holders[usable[0]], self._holders[usable[1]]
        ):
            return usable[1]
        return usable[0]

    def avoid(self, group: int) -> None:
        """Leave out the holder of a group that failed a call."""
        until = self._clock.now() + AVOID_S
        self._avoid_until_by_address = {
            address: at
            for address, at in self._avoid_until_by_address.items()
            if at > self._clock.now()
        } | {self.address(group): until}

    def _usable(self, group: int) -> bool:
        address = self.address(group)
        avoided_until = self._avoid_until_by_address.get(address, 0.0)
        return bool(address) and avoided_until <= self._clock.now()

    @staticmethod
    def _leaving_share(first: GroupHolder, second: GroupHolder) -> float:
        """Return the share of requests that leave the preferred group."""
        difference_s = first.wait_s - second.wait_s - MIN_DIFFERENCE_S
        return min(max(difference_s, 0.0), MAX_LEAVING_SHARE)
