"""Parsing of event logs; any text before the JSON of a line is ignored."""

import collections.abc
import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event that a daemon logged.

    Args:
        at_s: seconds on that daemon's own clock.
        daemon: the daemon that wrote it.
        part: component of the daemon, such as ``place``.
        what: name of the event.
        request: ID of the caller's request, if any.
        fields: all fields of the line.
    """

    at_s: float
    daemon: str
    part: str
    what: str
    request: str | None
    fields: dict[str, object]

    def number(self, name: str) -> float:
        """Return a numeric field, or 0 if there is none."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, (int, float)) else 0.0


def read_events(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[Event]:
    """Return the events of all logs, each log in its own order.

    Lines that are not events are skipped: a log may start in the middle of
    a line, and other programs may write to the same file.
    """
    found: list[Event] = []
    for path in paths:
        with path.open(errors="replace") as lines:
            found.extend(_events(lines))
    return found


def _events(
    lines: collections.abc.Iterable[str],
) -> collections.abc.Iterator[Event]:
    for line in lines:
        _, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except json.JSONDecodeError:
            continue
        event = _event(fields)
        if event is not None:
            yield event


def _event(fields: object) -> Event | None:
    if not isinstance(fields, dict) or "part" not in fields:
        return None
    return Event(
        float(fields.get("t", 0.0)),
        str(fields.get("at", "-")),
        str(fields["part"]),
        str(fields.get("what", "-")),
        _request_id(fields),
        fields,
    )


def _request_id(fields: dict[str, object]) -> str | None:
    """Return the ID of the caller's request.

    The field may have a suffix after a dot, which numbers the placements
    of the request; it is removed.
    """
    request = fields.get("request")
    return None if request is None else str(request).partition(".")[0]
