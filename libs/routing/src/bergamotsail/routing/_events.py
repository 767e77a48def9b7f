"""Boundaries of server-sent events in the body of an answer."""

import re

# An event ends with an empty line; a line ends with CRLF, LF or CR.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
LINE_ENDS = b"\r\n"


class EventSplitter:
    """Splits the pieces of an event stream after whole events.

    Example::

        >>> splitter = EventSplitter()
        >>> splitter.feed(b"id: 1\\n\\nid: 2\\nda")
        b'id: 1\\n\\n'
        >>> splitter.rest, splitter.inside_event
        (b'id: 2\\nda', True)

    Attributes:
        rest: what was fed after the last whole event.
    """

    def __init__(self) -> None:
        self.rest = b""

    @property
    def inside_event(self) -> bool:
        """Whether the stream ends inside an event if nothing follows."""
        return bool(self.rest.strip(LINE_ENDS))

    def feed(self, piece: bytes) -> bytes:
        """Return the events that a piece completes, with their ends."""
        data = self.rest + piece
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
        self.rest = data[end:]
        return data[:end]
