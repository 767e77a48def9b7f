"""The stages of each request: wait, way, engine, rest."""

import collections
import collections.abc
import dataclasses

from bergamotsail.explain import _events

Event = _events.Event
GOOD_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Journey:
    """What happened to one request of a caller, in seconds.

    Args:
        arrived_s: on the clock of the daemon that took it.
        wait_s: until it was first sent to a target; None when never.
        engine_s: from there to the first answer; None without one.
        first_s: from arrival to the first answer.
        longest_pause_s: between two pieces of the answer.
        took_s: from arrival to the end.
        code: how it ended.
        loaded: whether its adapter had to be loaded first.
        backlog_s: what was believed to wait at the engine before it.
        new_tokens: prompt tokens believed to be read.
        running: requests that ran there already.
    """

    request: str
    daemon: str
    route: str
    adapter: str | None
    arrived_s: float
    wait_s: float | None
    engine_s: float | None
    first_s: float | None
    longest_pause_s: float
    took_s: float
    code: str
    sends: int
    target: str | None
    loaded: bool
    backlog_s: float | None
    new_tokens: int | None
    running: int | None


def request_traces(events: collections.abc.Iterable[Event]) -> list[Journey]:
    """Return one journey for each request that ended."""
    by_request: dict[str, list[Event]] = collections.defaultdict(list)
    for event in events:
        if event.request is not None:
            by_request[event.request].append(event)
    return [
        journey
        for own in by_request.values()
        for end in _all(own, "route", "end")
        if (journey := _journey(end, own)) is not None
    ]


def _all(events: list[Event], part: str, what: str) -> list[Event]:
    return [e for e in events if (e.part, e.what) == (part, what)]


def _journey(end: Event, own: list[Event]) -> Journey | None:
    here = [e for e in own if e.daemon == end.daemon]
    took_s = end.number("took_s")
    arrived_s = end.at_s - took_s
    sends = _all(here, "route", "send")
    wait_s = sends[0].at_s - arrived_s if sends else None
    first_s = _first_s(here)
    engine_s = None
    if first_s is not None and wait_s is not None:
        engine_s = max(first_s - wait_s, 0.0)
    grants = _all(own, "place", "grant")
    grant = grants[0] if grants else None
    adapter = end.fields.get("adapter")
    return Journey(
        str(end.request),
        end.daemon,
        str(end.fields.get("route", "-")),
        None if adapter is None else str(adapter),
        arrived_s,
        wait_s,
        engine_s,
        first_s,
        end.number("longest_pause_s"),
        took_s,
        str(end.fields.get("code", "-")),
        int(end.number("sends")),
        str(end.fields["target"]) if end.fields.get("target") else None,
        grant is not None and grant.fields.get("reason") == "loaded",
        grant.number("backlog_s") if grant is not None else None,
        int(grant.number("new_tokens")) if grant is not None else None,
        int(grant.number("running")) if grant is not None else None,
    )


def _first_s(here: list[Event]) -> float | None:
    """Return when the first good answer came, from arrival."""
    for answer in _all(here, "route", "answer"):
        if answer.fields.get("status") == GOOD_STATUS:
            return answer.number("since_arrival_s")
    return None
