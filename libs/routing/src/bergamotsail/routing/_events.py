"""Boundaries of server-sent events in the body of an answer."""

import http
import re

from bergamotsail import wire

EVENT_STREAM_TYPE = "text/event-stream"
# An event ends with an empty line; a line ends with CRLF, LF or CR.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
LINE_ENDS = b"\r\n"
MAX_END_BYTES = 4
ID_FIELD = b"id:"
# Longest event; a longer one is taken for bytes without end.
MAX_EVENT_BYTES = 1024 * 1024


def is_event_stream(head: wire.ReplyHead) -> bool:
    """Whether the reply to a request for a stream has events as its body.

    A failure has none, nor has a success that states another type.
    """
    is_success = 200 <= head.status < 300
    if not is_success or head.status == http.HTTPStatus.NO_CONTENT:
        return False
    media_type = (head.get("Content-Type") or "").partition(";")[0].strip()
    return media_type.lower() in ("", EVENT_STREAM_TYPE)


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
        has_event: whether a whole event was fed.
        last_id: id of the last whole event that has one.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.has_event = False
        self.last_id: str | None = None

    @property
    def inside_event(self) -> bool:
        """Whether the stream ends inside an event if nothing follows."""
        return bool(self.rest.strip(LINE_ENDS))

    def is_complete(self, framing: wire.Framing) -> bool:
        """Whether the stream may be complete if nothing follows.

        Without framing, a stream without an event can't be told from one
        that broke off before its first event.
        """
        unframed = framing is wire.Framing.CLOSE
        return not self.inside_event and (self.has_event or not unframed)

    def feed(self, piece: bytes) -> bytes:
        """Return the events that a piece completes, with their ends.

        Raises:
            ReplyTooLargeError: an event is longer than MAX_EVENT_BYTES.
        """
        data = self.rest + piece
        end = 0
        # The rest holds no end, but may hold a part of one.
        begin = max(0, len(self.rest) - MAX_END_BYTES + 1)
        for match in EVENT_END.finditer(data, begin):
            end = match.end()
        self.rest = data[end:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise wire.ReplyTooLargeError(
                f"An event is longer than {MAX_EVENT_BYTES} bytes. Check the "
                "target."
            )
        whole = data[:end]
        self.has_event = self.has_event or bool(whole.strip(LINE_ENDS))
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                raw_id = line[len(ID_FIELD) :].strip()
                # As header values are encoded, so it is sent back as it came.
                self.last_id = raw_id.decode("latin-1")
        return whole
