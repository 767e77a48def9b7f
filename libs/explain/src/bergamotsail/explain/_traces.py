"""Stages of each request, reconstructed from its events."""

import collections
import collections.abc
import dataclasses

from bergamotsail.explain import _events

Event = _events.Event
HTTP_OK_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """Timeline of one request of a caller, in seconds.

    Args:
        arrived_s: arrival, on the clock of the daemon that accepted it.
        wait_s: from arrival to the first send to a target; None if not sent.
        engine_s: from that send to the first answer; None without one.
        first_s: from arrival to the first answer.
        longest_pause_s: longest pause between two pieces of the answer.
        took_s: total time, from arrival to the end.
        code: code of the outcome.
        loaded: whether its adapter had to be loaded first.
        backlog_s: estimated wait at the engine before prefill starts.
        new_tokens: estimated prompt tokens not cached on the engine.
        running: requests that were already running on the engine.
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


def request_traces(
    events: collections.abc.Iterable[Event],
) -> list[RequestTrace]:
    """Return a trace of each request that ended."""
    by_request: dict[str, list[Event]] = collections.defaultdict(list)
    for event in events:
        if event.request is not None:
            by_request[event.request].append(event)
    return [
        trace
        for request_events in by_request.values()
        for end in _select(request_events, "route", "end")
        if (trace := _trace(end, request_events)) is not None
    ]


def _select(events: list[Event], part: str, what: str) -> list[Event]:
    return [e for e in events if (e.part, e.what) == (part, what)]


def _trace(end: Event, request_events: list[Event]) -> RequestTrace | None:
    local_events = [e for e in request_events if e.daemon == end.daemon]
    took_s = end.number("took_s")
    arrived_s = end.at_s - took_s
    sends = _select(local_events, "route", "send")
    wait_s = sends[0].at_s - arrived_s if sends else None
    first_s = _first_s(local_events)
    engine_s = None
    if first_s is not None and wait_s is not None:
        engine_s = max(first_s - wait_s, 0.0)
    grants = _select(request_events, "place", "grant")
    grant = grants[0] if grants else None
    adapter = end.fields.get("adapter")
    return RequestTrace(
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


def _first_s(local_events: list[Event]) -> float | None:
    """Return the time from arrival to the first answer with status 200."""
    for answer in _select(local_events, "route", "answer"):
        if answer.fields.get("status") == HTTP_OK_STATUS:
            return answer.number("since_arrival_s")
    return None
