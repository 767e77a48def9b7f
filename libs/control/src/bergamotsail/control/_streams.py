"""Where the streams of callers began, for those who resume them.

A caller may resume its stream at any daemon, and usually does because the one
that began it is gone. So the leader keeps where streams began, from the
placements that it grants and from daemons' heartbeats. The other replicas have
copies. Daemons keep their own ones as well, and report them to a new leader.
"""

import asyncio
import collections
import collections.abc
import contextlib
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


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """Where a stream began.

    Args:
        term: of the leader that noted it.
        until: when its caller can no longer resume it, on this replica's
            clock.
    """

    origin: catalogue.StreamOrigin
    term: int
    noted_at: float
    until: float


class StreamChanges:
    """Names of streams that were noted and not taken yet."""

    def __init__(self, table: "StreamTable") -> None:
        self._table = table
        self._names: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._has_names = asyncio.Event()

    def add(self, name: str) -> None:
        """Add a stream that was noted."""
        self._names[name] = None
        self._has_names.set()

    def add_all(self) -> None:
        """Add all streams of the table."""
        self.give_back(self._table.names())

    def give_back(self, names: collections.abc.Iterable[str]) -> None:
        """Add streams that were taken before."""
        for name in names:
            self.add(name)

    def __len__(self) -> int:
        return len(self._names)

    async def wait(self) -> None:
        """Wait until there are streams to take."""
        await self._has_names.wait()

    def take(self, most: int) -> list[str]:
        """Return some of the streams, the first ones first."""
        count = min(most, len(self._names))
        names = [self._names.popitem(last=False)[0] for _ in range(count)]
        if not self._names:
            self._has_names.clear()
        return names


class StreamTable:
    """A replica's record of where streams began, each for a limited time.

    It outlives the terms of leaders. A stream that is granted another target
    before its first event is recorded in the log, which goes before this
    record, so a copy that misses this is not used.

    Example::

        >>> table = StreamTable()
        >>> table.note(7, "Fq3vyA0l", StreamOrigin("quotes", "v1"), 30.0)
        >>> table.find("Fq3vyA0l").origin
        StreamOrigin(pool='quotes', software='v1')
        >>> table.find("9bXc2m7T")
    """

    def __init__(
        self,
        clock: wire.Clock = wire.LoopClock(),
        max_streams: int = MAX_STREAMS,
    ) -> None:
        self._clock = clock
        self._max_streams = max_streams
        self._record_by_stream: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        # Equal origins share one object.
        self._origins: dict[catalogue.StreamOrigin, catalogue.StreamOrigin] = (
            {}
        )
        self._subscribed: list[StreamChanges] = []

    def note(
        self,
        term: int,
        stream: str,
        origin: catalogue.StreamOrigin,
        keep_s: float,
    ) -> None:
        """Record where a stream began, for *keep_s*.

        The last note of the highest term counts.
        """
        now = self._clock.now()
        self._sweep(now)
        known = self._record_by_stream.get(stream)
        if known is not None and known.term > term and known.until > now:
            return
        origin = self._origins.setdefault(origin, origin)
        record = StreamRecord(origin, term, now, now + keep_s)
        self._record_by_stream[stream] = record
        self._record_by_stream.move_to_end(stream)
        if len(self._record_by_stream) > self._max_streams:
            self._record_by_stream.popitem(last=False)
        if known is not None and known.until > now and known.term == term:
            if known.origin == origin:
                # Holders of groups and entries report the same stream; one
                # copy is enough.
                return
        for changes in self._subscribed:
            changes.add(stream)

    def note_copy(
        self,
        term: int,
        stream: str,
        origin: catalogue.StreamOrigin,
        keep_s: float,
    ) -> None:
        """Record what another replica knows, unless it is known here."""
        known = self.find(stream)
        if known is None or known.term < term:
            self.note(term, stream, origin, keep_s)

    def find(self, stream: str) -> StreamRecord | None:
        """Return the record of a stream, None if there is none."""
        record = self._record_by_stream.get(stream)
        if record is None or record.until <= self._clock.now():
            return None
        return record

    def names(self) -> list[str]:
        """Return the names of all streams."""
        return list(self._record_by_stream)

    @contextlib.contextmanager
    def subscribe(
        self, follow: bool = True
    ) -> collections.abc.Iterator[StreamChanges]:
        """Yield all streams, and with *follow* those noted from now on."""
        changes = StreamChanges(self)
        changes.add_all()
        if not follow:
            yield changes
            return
        self._subscribed.append(changes)
        try:
            yield changes
        finally:
            self._subscribed.remove(changes)

    def _sweep(self, now: float) -> None:
        """Forget the first streams if their time is over, else go on."""
        for _ in range(min(SWEPT_PER_NOTE, len(self._record_by_stream))):
            stream, record = self._record_by_stream.popitem(last=False)
            if record.until > now:
                self._record_by_stream[stream] = record


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
