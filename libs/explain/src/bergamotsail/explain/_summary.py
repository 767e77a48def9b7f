"""Text tables: all requests by stage, or one request event by event."""

import collections
import collections.abc

from bergamotsail.explain import _events
from bergamotsail.explain import _journeys
from bergamotsail.explain import _work

Event = _events.Event
Journey = _journeys.Journey
PERCENTILES = (50, 75, 90, 95, 99)
BACKLOG_BOUNDS_S = (0.02, 0.1, 0.2, 0.4, 0.8, float("inf"))
# Loads from a copy take less time than this, fetches from the store more.
COPY_LOAD_S = 0.15
MOST_ROWS = 12


def percentile(values: collections.abc.Sequence[float], part: int) -> float:
    """Return a percentile, or 0 if there are no values.

    Example: ``percentile([1.0, 2.0, 3.0], 50)`` gives 2.0.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * part // 100)]


def summary(
    journeys: collections.abc.Sequence[Journey],
    events: collections.abc.Sequence[Event],
) -> list[str]:
    """Return the lines of the tables over all requests."""
    return [
        *_stages(journeys),
        "",
        *_ends(journeys),
        "",
        *_beliefs(journeys),
        "",
        *_loads(events),
        "",
        *_engines(journeys),
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
    journeys: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    yield _head("stage, s")
    by_route: dict[str, list[Journey]] = collections.defaultdict(list)
    for journey in journeys:
        by_route[journey.route].append(journey)
    for route, own in sorted(by_route.items()):
        waits = [j.wait_s for j in own if j.wait_s is not None]
        engines = [j.engine_s for j in own if j.engine_s is not None]
        firsts = [j.first_s for j in own if j.first_s is not None]
        pauses = [j.longest_pause_s for j in own if j.longest_pause_s]
        yield _row(f"{route} wait for placement", waits)
        yield _row(f"{route} at the target", engines)
        yield _row(f"{route} first answer", firsts)
        yield _row(f"{route} longest pause", pauses)
        yield _row(f"{route} total", [j.took_s for j in own])


def _ends(
    journeys: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    yield "requests by route and outcome"
    counts = collections.Counter((j.route, j.code) for j in journeys)
    for (route, code), count in sorted(counts.items()):
        yield f"{route:20}{code:20}{count:7}"


def _beliefs(
    journeys: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    """Compare the estimated backlog with the actual time at the target."""
    yield _head("time by estimated backlog, s")
    sure = [
        j
        for j in journeys
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
    yield _row("expected from a copy", took[True])
    yield _row("expected from the store", took[False])
    slow = sum(seconds > COPY_LOAD_S for seconds in took[True])
    fast = sum(seconds <= COPY_LOAD_S for seconds in took[False])
    yield f"expected copies not found: {slow}; unexpected copies: {fast}"
    yield (
        f"fetches from the store: {len(fetched)}, of"
        f" {len(set(fetched))} different adapters"
    )


def _engines(
    journeys: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[str]:
    """Show the distribution of load over the engines."""
    by_target: dict[str, list[Journey]] = collections.defaultdict(list)
    for journey in journeys:
        if journey.target is not None and journey.adapter is not None:
            by_target[journey.target].append(journey)
    yield _head("time by engine, s")
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


def one_request(
    request: str, events: collections.abc.Sequence[Event]
) -> list[str]:
    """Return a line for each event of a request, grouped by daemon.

    The clocks of daemons differ, so times are relative to the first event
    of each daemon.
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
    return lines or [f"No events of request {request} found. Add more logs."]


def _shown(fields: dict[str, object]) -> str:
    hidden = ("t", "wall", "at", "part", "what", "request")
    pairs = (f"{k}={v}" for k, v in fields.items() if k not in hidden)
    return " ".join(pairs)
