"""What targets said of themselves in their answers to this daemon.

The list of targets lags and may be cut off from us; an answer is the
target's own word, and in force at once. A target is known by its start, so
nothing said by one start counts for the next.
"""

import collections
import collections.abc

from bergamotsail.control import _messages

# Of starts that are leaving, and of pauses; the oldest are forgotten first.
MOST_HEARD = 4096
# A target that asks for a longer pause is asked again after this. Nobody
# could tell a mistyped header from a target that is of no use for hours.
LONGEST_PAUSE_S = 600.0


class TargetNotices:
    """Who is leaving, and who wants no work for a while.

    It has no clock: each question names the time.
    """

    def __init__(self) -> None:
        self._leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._paused_until: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note_leaving(self, target: str) -> bool:
        """Note that a target is leaving; whether that is news."""
        news = target not in self._leaving
        self._leaving[target] = None
        _bound(self._leaving)
        return news

    def pauses(self, target: str, pause_s: float, now: float) -> float:
        """Note that a target wants no work for a while.

        Returns:
            When that is over. Of several pauses the latest end holds.
        """
        until = now + min(max(pause_s, 0.0), LONGEST_PAUSE_S)
        until = max(until, self._paused_until.get(target, until))
        self._paused_until[target] = until
        self._paused_until.move_to_end(target)
        _bound(self._paused_until)
        return until

    def is_leaving(self, target: str) -> bool:
        """Whether a target said that it is leaving."""
        return target in self._leaving

    def pause_left_s(self, target: str, now: float) -> float:
        """Return how much longer a target wants no work, in seconds."""
        until = self._paused_until.get(target)
        if until is None:
            return 0.0
        if until <= now:
            del self._paused_until[target]
            return 0.0
        return until - now

    def takes_work(self, info: _messages.TargetInfo, now: float) -> bool:
        """Whether a target may be sent something new now."""
        return not self.is_gone(info) and not self.pause_left_s(info.id, now)

    def is_gone(self, info: _messages.TargetInfo) -> bool:
        """Whether a target is leaving, by the list or its own word."""
        return info.leaving or info.id in self._leaving

    def paused(self, longer_than_s: float, now: float) -> tuple[str, ...]:
        """Return who wants no work for longer than that."""
        return tuple(
            target
            for target in list(self._paused_until)
            if self.pause_left_s(target, now) > longer_than_s
        )

    def unreported(
        self,
        known_by_id: collections.abc.Mapping[str, _messages.TargetInfo],
    ) -> tuple[str, ...]:
        """Return who is leaving that others don't know of."""
        return tuple(
            target
            for target in self._leaving
            if target in known_by_id and not known_by_id[target].leaving
        )


def _bound(table: collections.OrderedDict) -> None:
    while len(table) > MOST_HEARD:
        table.popitem(last=False)
