"""Memory of the parts of prompts that were answered lately."""

import collections
import collections.abc

from bergamotsail import wire

# A part answered within this time is not new; it is not fatal by itself.
LATELY_S = 60.0
MAX_PARTS = 2_000
# Answers to prompts with longer identifiers are not remembered.
MAX_PART_CHARS = 64

_Name = tuple[str, str, str]


class ServedParts:
    """When a daemon last relayed a whole answer, by part of the prompt.

    The parts are named as they came: they are stored for every answer, and
    digests would be computed for each of them.
    """

    def __init__(self, clock: wire.Clock) -> None:
        self._clock = clock
        # Least recently answered first.
        self._served_at_by_part: collections.OrderedDict[_Name, float] = (
            collections.OrderedDict()
        )

    def note(
        self, member: str, pool: str, parts: collections.abc.Iterable[str]
    ) -> None:
        """Record an answer."""
        now = self._clock.now()
        for part in parts:
            if len(part) > MAX_PART_CHARS:
                continue
            name = (member, pool, part)
            self._served_at_by_part[name] = now
            self._served_at_by_part.move_to_end(name)
        while len(self._served_at_by_part) > MAX_PARTS:
            self._served_at_by_part.popitem(last=False)

    def served_at(self, member: str, pool: str, part: str) -> float | None:
        """Return the time of the last answer, None if that is long ago."""
        at = self._served_at_by_part.get((member, pool, part))
        if at is None or self._clock.now() - at > LATELY_S:
            return None
        return at
