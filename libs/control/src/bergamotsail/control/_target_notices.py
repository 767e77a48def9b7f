"""Notices that targets gave in their responses to this daemon.

The instance list lags and may be unreachable. A notice in a response comes
from the target itself and takes effect at once. Notices are kept by
incarnation, so those of one incarnation don't apply to the next.
"""

import collections
import collections.abc

from bergamotsail.control import _messages

# Entries per table: leaving incarnations, and pauses. The oldest are evicted.
MAX_ENTRIES = 4096
# Longer pauses are capped, since a mistyped header can't be distinguished from
# a target that really is unavailable for hours.
MAX_PAUSE_S = 600.0


class TargetNotices:
    """Targets that reported that they are leaving, or asked for a pause.

    It has no clock: callers pass the time.
    """

    def __init__(self) -> None:
        self._leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._paused_until: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note_leaving(self, target: str) -> bool:
        """Record that a target is leaving; return whether that is new."""
        is_new = target not in self._leaving
        self._leaving[target] = None
        _evict_oldest(self._leaving)
        return is_new

    def note_pause(self, target: str, pause_s: float, now: float) -> float:
        """Record that a target asked for no new work for a while.

        Returns:
            The end of the pause, the latest of several.
        """
        until = now + min(max(pause_s, 0.0), MAX_PAUSE_S)
        until = max(until, self._paused_until.get(target, until))
        self._paused_until[target] = until
        self._paused_until.move_to_end(target)
        _evict_oldest(self._paused_until)
        return until

    def is_leaving(self, target: str) -> bool:
        """Whether a target reported that it is leaving."""
        return target in self._leaving

    def pause_left_s(self, target: str, now: float) -> float:
        """Return the rest of a target's pause, in seconds."""
        until = self._paused_until.get(target)
        if until is None:
            return 0.0
        if until <= now:
            del self._paused_until[target]
            return 0.0
        return until - now

    def takes_work(self, info: _messages.TargetInfo, now: float) -> bool:
        """Whether new work may be sent to a target now."""
        return not self.is_marked_leaving(info) and not self.pause_left_s(
            info.id, now
        )

    def is_marked_leaving(self, info: _messages.TargetInfo) -> bool:
        """Whether a target is leaving, by the digest or its own notice."""
        return info.leaving or info.id in self._leaving

    def paused(self, longer_than_s: float, now: float) -> tuple[str, ...]:
        """Return targets paused for longer than *longer_than_s* from now."""
        return tuple(
            target
            for target in list(self._paused_until)
            if self.pause_left_s(target, now) > longer_than_s
        )

    def unreported(
        self,
        known_by_id: collections.abc.Mapping[str, _messages.TargetInfo],
    ) -> tuple[str, ...]:
        """Return leaving targets that the digest doesn't show as leaving."""
        return tuple(
            target
            for target in self._leaving
            if target in known_by_id and not known_by_id[target].leaving
        )


def _evict_oldest(table: collections.OrderedDict) -> None:
    while len(table) > MAX_ENTRIES:
        table.popitem(last=False)
