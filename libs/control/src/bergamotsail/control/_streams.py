"""Where the streams of callers began, for those who resume them.

A caller may resume its stream at any daemon, and usually does because the one
that began it is gone. So the leader keeps where streams began, from the
placements that it grants and from daemons' heartbeats. Daemons keep their own
ones as well, and report them to a new leader.
"""

import collections
import collections.abc
import dataclasses

from bergamotsail import catalogue
from bergamotsail.control import _messages
from bergamotsail import wire

# Bounds of memory.
MAX_STREAMS = 200_000
MAX_NOTES = 5_000
# Streams looked at with each note, to forget those whose time is over. A
# pass over all of them would hold the leader's event loop for too long.
SWEPT_PER_NOTE = 2
# Notes in one heartbeat; about 90 bytes each.
MAX_REPORTED_NOTES = 300


class StreamTable:
    """The leader's record of where streams began, each for a limited time.

    It is soft state of one term. What an earlier term left may be outdated:
    another leader may have granted a stream another target meanwhile.

    Example::

        >>> table = StreamTable()
        >>> table.note(7, "m1/a7", StreamOrigin("quotes", "v1"), 30.0)
        >>> table.find(7, "m1/a7")
        StreamOrigin(pool='quotes', software='v1')
        >>> table.find(8, "m1/a7")
    """

    def __init__(
        self,
        clock: wire.Clock = wire.LoopClock(),
        max_streams: int = MAX_STREAMS,
    ) -> None:
        self._clock = clock
        self._max_streams = max_streams
        self._entry_by_stream: collections.OrderedDict[
            str, tuple[catalogue.StreamOrigin, float]
        ] = collections.OrderedDict()
        # Equal origins share one object.
        self._origins: dict[catalogue.StreamOrigin, catalogue.StreamOrigin] = (
            {}
        )
        self._term = -1

    def note(
        self,
        term: int,
        stream: str,
        origin: catalogue.StreamOrigin,
        keep_s: float,
    ) -> None:
        """Record where a stream began, for *keep_s*.

        If a stream is granted another target before its first event, the
        last note counts.
        """
        self._follow(term)
        now = self._clock.now()
        self._sweep(now)
        origin = self._origins.setdefault(origin, origin)
        self._entry_by_stream[stream] = (origin, now + keep_s)
        self._entry_by_stream.move_to_end(stream)
        if len(self._entry_by_stream) > self._max_streams:
            self._entry_by_stream.popitem(last=False)

    def find(self, term: int, stream: str) -> catalogue.StreamOrigin | None:
        """Return where a stream began, None if that is not known."""
        self._follow(term)
        origin, until = self._entry_by_stream.get(stream, (None, 0.0))
        return origin if until > self._clock.now() else None

    def _follow(self, term: int) -> None:
        if term != self._term:
            self._term = term
            self._entry_by_stream.clear()
            self._origins.clear()

    def _sweep(self, now: float) -> None:
        """Forget the first streams if their time is over, else go on."""
        for _ in range(min(SWEPT_PER_NOTE, len(self._entry_by_stream))):
            stream, entry = self._entry_by_stream.popitem(last=False)
            if entry[1] > now:
                self._entry_by_stream[stream] = entry


@dataclasses.dataclass(slots=True)
class _Noted:
    """A stream of this daemon.

    Args:
        known_to: the term of the leader that knows it.
    """

    origin: catalogue.StreamOrigin
    until: float
    known_to: int


class StreamNotes:
    """Where the streams of this daemon began, and which leader knows it."""

    def __init__(self, clock: wire.Clock = wire.LoopClock()) -> None:
        self._clock = clock
        self._noted_by_stream: collections.OrderedDict[str, _Noted] = (
            collections.OrderedDict()
        )

    def note(
        self,
        stream: str,
        origin: catalogue.StreamOrigin,
        keep_s: float,
        known_to: int,
    ) -> None:
        """Record where a stream began.

        Args:
            known_to: the term of the leader that granted its placement, -1
                without one.
        """
        until = self._clock.now() + keep_s
        self._noted_by_stream[stream] = _Noted(origin, until, known_to)
        self._noted_by_stream.move_to_end(stream)
        if len(self._noted_by_stream) > MAX_NOTES:
            self._noted_by_stream.popitem(last=False)

    def find(self, stream: str) -> catalogue.StreamOrigin | None:
        """Return where a stream of this daemon began, None if unknown."""
        noted = self._noted_by_stream.get(stream)
        if noted is None or noted.until <= self._clock.now():
            return None
        return noted.origin

    def pending(self, term: int) -> tuple[_messages.StreamNote, ...]:
        """Return the streams to report to the leader of a term."""
        now = self._clock.now()
        for stream, noted in list(self._noted_by_stream.items()):
            if noted.until <= now:
                del self._noted_by_stream[stream]
        pending = (
            _messages.StreamNote(stream, noted.origin, noted.until - now)
            for stream, noted in reversed(self._noted_by_stream.items())
            if noted.known_to != term
        )
        return tuple(
            note for note, _ in zip(pending, range(MAX_REPORTED_NOTES))
        )

    def acknowledge(
        self,
        term: int,
        notes: collections.abc.Iterable[_messages.StreamNote],
    ) -> None:
        """Mark streams as known to the leader of a term."""
        for note in notes:
            noted = self._noted_by_stream.get(note.stream)
            if noted is not None and noted.origin == note.origin:
                noted.known_to = term
