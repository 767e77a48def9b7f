"""Event log: one JSON line for each event, written without blocking.

A thread writes the lines from a bounded queue to standard output. While the
queue is full, because the reader of standard output is slow, new lines are
dropped. The next line that is queued has their number in the field
``dropped``.
"""

import json
import logging as std_logging
import queue
import sys
import threading
import time

from absl import logging

MAX_QUEUED_LINES = 5_000


class EventLog:
    """Event log with a writer thread; a context manager.

    While it is entered, it receives all events of the process.

    Args:
        origin: name of the process, the field ``at`` of each line.
        stream: text stream to write to; standard output when None.
    """

    def __init__(self, origin: str, stream=None) -> None:
        self._origin = origin
        self._stream = stream if stream is not None else sys.stdout
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self.dropped_total = 0
        self._thread = threading.Thread(target=self._write, daemon=True)

    def __enter__(self) -> "EventLog":
        self._thread.start()
        set_event_log(self)
        return self

    def __exit__(self, *_: object) -> None:
        set_event_log(None)
        self._lines.put(None)
        self._thread.join(timeout=1.0)

    def add(self, part: str, what: str, fields: dict[str, object]) -> None:
        """Queue a line; drop it if the queue is full."""
        line = {
            "t": round(time.monotonic(), 4),
            "at": self._origin,
            "part": part,
            "what": what,
            **{k: v for k, v in fields.items() if v is not None},
        }
        if self._dropped:
            line["dropped"] = self._dropped
        try:
            self._lines.put_nowait(json.dumps(line, default=str))
            self._dropped = 0
        except queue.Full:
            self._dropped += 1
            self.dropped_total += 1

    def _write(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except OSError:
                return


class _Current:
    """Holds the event log of this process."""

    log: EventLog | None = None


def set_event_log(log: EventLog | None) -> None:
    """Set the log for all events of this process; None discards them."""
    _Current.log = log


def log_event(part: str, what: str, **fields: object) -> None:
    """Log a decision or a change of state.

    Example: ``log_event("route", "send", request="r1", target="e-2")``
    """
    if _Current.log is not None:
        _Current.log.add(part, what, fields)


def lines_dropped() -> int:
    """Return the number of lines dropped since the log was created."""
    return 0 if _Current.log is None else _Current.log.dropped_total


class EventHandler(std_logging.Handler):
    """Writes records of the logging library to the event log."""

    def emit(self, record: std_logging.LogRecord) -> None:
        """Log a record as an event."""
        part, _, text = record.getMessage().partition(": ")
        fields = {"text": text or part, "level": record.levelname}
        if record.exc_info:
            fields["trace"] = self.format(record)[-2000:]
        log_event(part if text else "log", "line", **fields)


def install_event_handler() -> None:
    """Make the messages of absl.logging events, from level INFO on."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    root = logging.get_absl_logger()
    root.handlers = [EventHandler()]
    root.propagate = False
