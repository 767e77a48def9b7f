"""Text tables: all requests by stage, or one request event by event."""

import collections
import collections.abc

from bergamotsail.explain import _events
from bergamotsail.explain import _traces
from bergamotsail.explain import _work

Event = _events.Event
RequestTrace = _traces.RequestTrace
PERCENTILES = (50, 75, 90, 95, 99)
BACKLOG_BOUNDS_S = (0.02, 0.1, 0.2, 0.4, 0.8, float("inf"))
# Loads from a copy take at most this long, fetches from the store longer.
MAX_COPY_LOAD_S = 0.15
MAX_ENGINE_ROWS = 12
# Adapters that are asked for this often are listed if they are never served.
ASKED_TIMES = 4
SERVED = "done"


def percentile(values: collections.abc.Sequence[float], percent: int) -> float:
    """Return a percentile, or 0 if there are no values.

    Example: ``percentile([1.0, 2.0, 3.0], 50)`` gives 2.0.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def summary(
    request_traces: collections.abc.Sequence[RequestTrace],
    events: collections.abc.Sequence[Event],
) -> list[str]:
    """Return the lines of the tables over all requests."""
    return [
        *_stage_times(request_traces),
        "",
        *_outcomes(request_traces),
        "",
        *_backlog_accuracy(request_traces),
        "",
        *_load_times(events),
        "",
        *_engine_times(request_traces),
        "",
        *_refusals(events),
        "",
        *_unserved_adapters(request_traces, events),
        "",
        *_view_ages(events),
        "",
        *_work.work_tables(events),
    ]


def _row(name: str, values: collections.abc.Sequence[float]) -> str:
    cells = "".join(f"{percentile(values, p):8.3f}" for p in PERCENTILES)
    return f"{name:32}{len(values):7}{cells}"


def _header(title: str) -> str:
    cells = "".join(f"{'p' + str(p):>8}" for p in PERCENTILES)
    return f"{title:32}{'n':>7}{cells}"


def _stage_times(
    request_traces: collections.abc.Sequence[RequestTrace],
) -> collections.abc.Iterator[str]:
    yield _header("stage, s")
    by_route: dict[str, list[RequestTrace]] = collections.defaultdict(list)
    for trace in request_traces:
        by_route[trace.route].append(trace)
    for route, traces in sorted(by_route.items()):
        waits = [trace.wait_s for trace in traces if trace.wait_s is not None]
        engine_times = [
            trace.engine_s for trace in traces if trace.engine_s is not None
        ]
        first_answer_times = [
            trace.first_s for trace in traces if trace.first_s is not None
        ]
        pauses = [
            trace.longest_pause_s for trace in traces if trace.longest_pause_s
        ]
        yield _row(f"{route} wait for placement", waits)
        yield _row(f"{route} at the target", engine_times)
        yield _row(f"{route} first answer", first_answer_times)
        yield _row(f"{route} longest pause", pauses)
        yield _row(f"{route} total", [trace.took_s for trace in traces])


def _outcomes(
    request_traces: collections.abc.Sequence[RequestTrace],
) -> collections.abc.Iterator[str]:
    yield "requests by route and outcome"
    counts = collections.Counter(
        (trace.route, trace.code) for trace in request_traces
    )
    for (route, code), count in sorted(counts.items()):
        yield f"{route:20}{code:20}{count:7}"


def _backlog_accuracy(
    request_traces: collections.abc.Sequence[RequestTrace],
) -> collections.abc.Iterator[str]:
    """Compare the estimated backlog with the actual time at the target."""
    yield _header("time by estimated backlog, s")
    estimated = [
        trace
        for trace in request_traces
        if trace.backlog_s is not None
        and trace.engine_s is not None
        and trace.sends == 1
    ]
    lower_s = 0.0
    for upper_s in BACKLOG_BOUNDS_S:
        times = [
            trace.engine_s
            for trace in estimated
            if lower_s <= trace.backlog_s < upper_s
        ]
        yield _row(f"{lower_s:.2f} to {upper_s:.2f}", times)
        lower_s = upper_s


def _load_times(
    events: collections.abc.Sequence[Event],
) -> collections.abc.Iterator[str]:
    started: dict[tuple[str, object, object], Event] = {}
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
            started[key] = event
            if not event.fields.get("copy"):
                fetched.append(str(key[2]))
        elif event.what == "loaded" and key in started:
            start = started.pop(key)
            is_copy = bool(start.fields.get("copy"))
            took[is_copy].append(event.at_s - start.at_s)
    yield _header("loads, s")
    yield _row("expected from a copy", took[True])
    yield _row("expected from the store", took[False])
    slow = sum(seconds > MAX_COPY_LOAD_S for seconds in took[True])
    fast = sum(seconds <= MAX_COPY_LOAD_S for seconds in took[False])
    yield f"expected copies not found: {slow}; unexpected copies: {fast}"
    yield (
        f"fetches from the store: {len(fetched)}, of"
        f" {len(set(fetched))} different adapters"
    )


def _engine_times(
    request_traces: collections.abc.Sequence[RequestTrace],
) -> collections.abc.Iterator[str]:
    """Show the distribution of load over the engines."""
    by_target: dict[str, list[RequestTrace]] = collections.defaultdict(list)
    for trace in request_traces:
        if trace.target is not None and trace.adapter is not None:
            by_target[trace.target].append(trace)
    yield _header("time by engine, s")
    busiest = sorted(by_target.items(), key=lambda item: -len(item[1]))
    for target, traces in busiest[:MAX_ENGINE_ROWS]:
        engine_times = [
            trace.engine_s for trace in traces if trace.engine_s is not None
        ]
        tokens = sum(trace.new_tokens or 0 for trace in traces)
        yield f"{_row(target, engine_times)}  {tokens} tokens"


def _refusals(
    events: collections.abc.Sequence[Event],
) -> collections.abc.Iterator[str]:
    refused = [e for e in events if (e.part, e.what) == ("place", "refuse")]
    with_usable_engines = [e for e in refused if e.number("usable") > 0]
    yield (
        f"placements refused: {len(refused)}, of these with engines that had"
        f" room for the request: {len(with_usable_engines)}"
    )


def _unserved_adapters(
    request_traces: collections.abc.Sequence[RequestTrace],
    events: collections.abc.Sequence[Event],
) -> collections.abc.Iterator[str]:
    """List adapters that were never served, and how their requests ended.

    Each outcome is shown with the number of sends to engines.
    """
    by_adapter: dict[str, list[RequestTrace]] = collections.defaultdict(list)
    for trace in request_traces:
        if trace.adapter is not None:
            by_adapter[trace.adapter].append(trace)
    asked = {
        adapter: traces
        for adapter, traces in by_adapter.items()
        if len(traces) >= ASKED_TIMES
    }
    unserved = sorted(
        adapter
        for adapter, traces in asked.items()
        if all(trace.code != SERVED for trace in traces)
    )
    loads = collections.Counter(
        str(event.fields.get("adapter"))
        for event in events
        if (event.part, event.what) == ("order", "load")
    )
    yield f"adapters never served: {len(unserved)} of {len(asked)}"
    for adapter in unserved:
        outcomes = collections.Counter(
            f"{trace.code}/{trace.sends}" for trace in asked[adapter]
        )
        ends = " ".join(f"{k}={n}" for k, n in sorted(outcomes.items()))
        yield f"  {adapter}: {ends} loads={loads[adapter]}"


def _view_ages(
    events: collections.abc.Sequence[Event],
) -> collections.abc.Iterator[str]:
    """Show how old the routes were by which requests ended."""
    ages = [
        event.number("view_age_s")
        for event in events
        if (event.part, event.what) == ("route", "end")
    ]
    yield _header("age of the routes, s")
    yield _row("at the end of requests", ages)


def describe_request(
    request: str, events: collections.abc.Sequence[Event]
) -> list[str]:
    """Return a line for each event of a request, grouped by daemon.

    The clocks of daemons differ, so times are relative to the first event
    of each daemon.
    """
    request_events = [event for event in events if event.request == request]
    lines: list[str] = []
    for daemon in dict.fromkeys(event.daemon for event in request_events):
        daemon_events = [
            event for event in request_events if event.daemon == daemon
        ]
        lines.append(daemon)
        for event in daemon_events:
            after_s = event.at_s - daemon_events[0].at_s
            lines.append(
                f"  {after_s:+9.4f} s  {event.part} {event.what}:"
                f" {_format_fields(event.fields)}"
            )
    return lines or [f"No events of request {request} found. Add more logs."]


def _format_fields(fields: dict[str, object]) -> str:
    hidden = ("t", "wall", "at", "part", "what", "request")
    pairs = (f"{k}={v}" for k, v in fields.items() if k not in hidden)
    return " ".join(pairs)
