"""Which instances gave orders to engines, by group of engines."""

import collections.abc

from bergamotsail.catalogue import _commands

# Instances that are remembered for a group. Dropping the oldest is unsafe only
# if it gives orders again within one lease, during which this many others
# would have had to take over.
MAX_ORDER_HOLDERS = 32
# Stands for an unknown latest holder, so that no earlier one is the latest.
UNKNOWN_HOLDER = ""


class OrderHolders:
    """The instances that gave orders, the latest of a group last.

    Groups of another number share engines with those of before. So when the
    number changes, each earlier holder counts as one of every group.

    Args:
        by_group: holders by the id of their group.
        elsewhere: holders of groups of an earlier number.
        fence_by_group: fencing token of the latest holder of each group.
    """

    def __init__(
        self,
        by_group: collections.abc.Mapping[str, tuple[str, ...]] = {},
        elsewhere: tuple[str, ...] = (),
        fence_by_group: collections.abc.Mapping[str, int] = {},
    ) -> None:
        self.by_group = dict(by_group)
        self.elsewhere = elsewhere
        self.fence_by_group = dict(fence_by_group)
        if elsewhere and not by_group:
            # A snapshot of a release without groups.
            self.by_group, self.elsewhere = {"": elsewhere}, ()

    @property
    def groups(self) -> int:
        """Number of groups that were ordered last, 0 if none were."""
        return max((_number(group) for group in self.by_group), default=0)

    def former(self, group: str) -> tuple[str, ...]:
        """Return the holders of a group, the latest last."""
        if group in self.by_group:
            return self.by_group[group]
        known = self._elsewhere_for(group)
        return (*known, UNKNOWN_HOLDER) if known else ()

    def take(self, take: _commands.TakeOrders) -> bool:
        """Record who gives orders to a group from now on.

        Returns:
            False if a holder with a higher fencing token was recorded
            before, since the command was on its way for long.
        """
        number = _number(take.group)
        newest = max(
            (
                fence
                for group, fence in self.fence_by_group.items()
                if group == take.group or _number(group) != number
            ),
            default=take.fence,
        )
        if take.fence < newest:
            return False
        before = self.former(take.group)
        self.elsewhere = self._elsewhere_for(take.group)
        self.by_group = {
            group: holders
            for group, holders in self.by_group.items()
            if _number(group) == number
        }
        self.fence_by_group = {
            group: fence
            for group, fence in self.fence_by_group.items()
            if _number(group) == number
        } | {take.group: take.fence}
        others = [name for name in before if name != take.holder]
        if take.alone:
            others = []
        holders = (*others, take.holder)[-MAX_ORDER_HOLDERS:]
        self.by_group[take.group] = holders
        return True

    def _elsewhere_for(self, group: str) -> tuple[str, ...]:
        """Return who gave orders to groups of another number."""
        found = dict.fromkeys(self.elsewhere)
        for other, holders in self.by_group.items():
            if _number(other) != _number(group):
                found.update(dict.fromkeys(holders))
        found.pop(UNKNOWN_HOLDER, None)
        return tuple(found)[-MAX_ORDER_HOLDERS:]


def _number(group: str) -> int:
    """Return the number of groups from the id of one."""
    return int(group.partition("/")[2] or 1)
