"""Tables of text: all requests by stage, or one request line by line."""

import collections
import collections.abc

from bergamotsail.explain import _events
from bergamotsail.explain import _journeys
from bergamotsail.explain import _work

Event = _events.Event
Journey = _journeys.Journey
PERCENTILES = (50, 75, 90, 95, 99)
BACKLOG_BOUNDS_S = (0.02, 0.1, 0.2, 0.4, 0.8, float("inf"))
# A fetch from a store takes longer than this, a load from a copy less.
COPY_LOAD_S = 0.15
MOST_ROWS = 12


def percentile(values: collections.abc.Sequence[float], part: int) -> float:
    """Return a percentile; 0 of nothing.

    Example: ``percentile([1.0, 2.0, 3.0], 50)`` gives 2.0.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * part // 100)]


def summary(
    request_traces: collections.abc.Sequence[Journey],
    events: collections.abc.Sequence[Event],
) -> list[str]:
    """Return the lines of the tables over all requests."""
    return [
        *_stages(request_traces),
        "",
        *_ends(request_traces),
        "",
        *_beliefs(request_traces),
        "",
        *_loads(events),
        "",
        *_engines(request_traces),
        "",
        *_refusals(events),
        "",
        *_work.work_tables(events),
    ]


def _row(name: str, values: collections.abc.Sequence[float]) -> str:
    shown = "".join(f"{percentile(values, p):8.3f}" for p in PERCENTILES)
    return f"{name:32}{len(values):7}{shown}"


def _head(title: str) -> str:
    shown = "".join(f"{'p' + str(p):>8}" for p in PERCENTILES)
    return f"{title:32}{'n':>7}{shown}"


def _stages(
    request_traces: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    yield _head("stage, s")
    by_route: dict[str, list[Journey]] = collections.defaultdict(list)
    for journey in request_traces:
        by_route[journey.route].append(journey)
    for route, own in sorted(by_route.items()):
        waits = [j.wait_s for j in own if j.wait_s is not None]
        engines = [j.engine_s for j in own if j.engine_s is not None]
        firsts = [j.first_s for j in own if j.first_s is not None]
        pauses = [j.longest_pause_s for j in own if j.longest_pause_s]
        yield _row(f"{route} wait for a place", waits)
        yield _row(f"{route} at the target", engines)
        yield _row(f"{route} first answer", firsts)
        yield _row(f"{route} longest pause", pauses)
        yield _row(f"{route} to the end", [j.took_s for j in own])


def _ends(
    request_traces: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    yield "how requests ended"
    counts = collections.Counter((j.route, j.code) for j in request_traces)
    for (route, code), count in sorted(counts.items()):
        yield f"{route:20}{code:20}{count:7}"


def _beliefs(
    request_traces: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    """Set what was believed of an engine against what came."""
    yield _head("believed backlog: time there, s")
    sure = [
        j
        for j in request_traces
        if j.backlog_s is not None and j.engine_s is not None and j.sends == 1
    ]
    least_s = 0.0
    for most_s in BACKLOG_BOUNDS_S:
        came = [j.engine_s for j in sure if least_s <= j.backlog_s < most_s]
        yield _row(f"{least_s:.2f} to {most_s:.2f}", came)
        least_s = most_s


def _loads(
    events: collections.abc.Sequence[Event],
) -> collections.abc.Iterator[str]:
    begun: dict[tuple[str, object, object], Event] = {}
    took: dict[bool, list[float]] = {True: [], False: []}
    fetched: list[str] = []
    for event in events:
        if event.part != "order":
            continue
        key = (
            event.daemon,
            event.fields.get("target"),
            event.fields.get("adapter"),
        )
        if event.what == "load":
            begun[key] = event
            if not event.fields.get("copy"):
                fetched.append(str(key[2]))
        elif event.what == "loaded" and key in begun:
            start = begun.pop(key)
            is_copy = bool(start.fields.get("copy"))
            took[is_copy].append(event.at_s - start.at_s)
    yield _head("loads, s")
    yield _row("believed from a copy", took[True])
    yield _row("believed from the store", took[False])
    slow = sum(seconds > COPY_LOAD_S for seconds in took[True])
    fast = sum(seconds <= COPY_LOAD_S for seconds in took[False])
    yield f"copies that were none: {slow}; copies not known of: {fast}"
    yield (
        f"fetches from the store: {len(fetched)}, of"
        f" {len(set(fetched))} different adapters"
    )


def _engines(
    request_traces: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    """Show how unequal the load of engines was."""
    by_target: dict[str, list[Journey]] = collections.defaultdict(list)
    for journey in request_traces:
        if journey.target is not None and journey.adapter is not None:
            by_target[journey.target].append(journey)
    yield _head("engine: time there, s")
    busiest = sorted(by_target.items(), key=lambda item: -len(item[1]))
    for target, own in busiest[:MOST_ROWS]:
        engines = [j.engine_s for j in own if j.engine_s is not None]
        tokens = sum(j.new_tokens or 0 for j in own)
        yield f"{_row(target, engines)}  {tokens} tokens"


def _refusals(
    events: collections.abc.Sequence[Event],
) -> collections.abc.Iterator[str]:
    refused = [e for e in events if (e.part, e.what) == ("place", "refuse")]
    free = [e for e in refused if e.number("usable") > 0]
    yield (
        f"places refused: {len(refused)}, of these with engines that had"
        f" room for the request: {len(free)}"
    )


def describe_request(
    request: str, events: collections.abc.Sequence[Event]
) -> list[str]:
    """Return every line about a request, daemon by daemon.

    Clocks of daemons differ, so times count from the first line of each.
    """
    own = [event for event in events if event.request == request]
    lines: list[str] = []
    for daemon in dict.fromkeys(event.daemon for event in own):
        here = [event for event in own if event.daemon == daemon]
        lines.append(daemon)
        for event in here:
            after_s = event.at_s - here[0].at_s
            lines.append(
                f"  {after_s:+9.4f} s  {event.part} {event.what}:"
                f" {_shown(event.fields)}"
            )
    return lines or [f"No line speaks of {request}. Give more logs."]


def _shown(fields: dict[str, object]) -> str:
    hidden = ("t", "wall", "at", "part", "what", "request")
    pairs = (f"{k}={v}" for k, v in fields.items() if k not in hidden)
    return " ".join(pairs)
