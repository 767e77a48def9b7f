"""Lines of logs, read whatever stands before them."""

import collections.abc
import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One decision that a daemon logged.

    Args:
        at_s: seconds on the clock of that daemon alone.
        daemon: the daemon that wrote it.
        part: the part of the daemon, such as ``place``.
        what: what was decided.
        request: the caller's request that it is about, if any.
        fields: what the decision was made from.
    """

    at_s: float
    daemon: str
    part: str
    what: str
    request: str | None
    fields: dict[str, object]

    def number(self, name: str) -> float:
        """Return a figure of the line, 0 where there is none."""
        value = self.fields.get(name)
        return float(value) if isinstance(value, (int, float)) else 0.0


def read_events(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[Event]:
    """Return the events of all logs, in the order of each.

    Lines that are no events are passed over: a log may begin inside a
    line, and other programs may write to the same file.
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
        _request_of(fields),
        fields,
    )


def _request_of(fields: dict[str, object]) -> str | None:
    """Return the caller's request; its places are numbered after a dot."""
    request = fields.get("request")
    return None if request is None else str(request).partition(".")[0]
