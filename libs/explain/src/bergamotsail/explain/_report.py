"""One self-contained page of HTML with plots."""

import base64
import collections.abc
import html
import io
import pathlib

from matplotlib import figure

from bergamotsail.explain import _events
from bergamotsail.explain import _journeys
from bergamotsail.explain import _summary

Event = _events.Event
Journey = _journeys.Journey
BINS = 60
WIDTH_IN = 9.0
HEIGHT_IN = 3.2


def write_report(
    path: pathlib.Path,
    request_traces: collections.abc.Sequence[Journey],
    events: collections.abc.Sequence[Event],
) -> None:
    """Write tables and plots to a file."""
    tables = html.escape("\n".join(_summary.summary(request_traces, events)))
    plots = "\n".join(
        f'<h2>{html.escape(title)}</h2><img src="data:image/png;base64,'
        f'{_png(drawn)}" alt="{html.escape(title)}">'
        for title, drawn in _plots(request_traces)
    )
    path.write_text(
        "<!doctype html><html lang=en><meta charset=utf-8>"
        "<title>Requests, explained</title>"
        f"<body><h1>Requests, explained</h1>{plots}"
        f"<h2>Tables</h2><pre>{tables}</pre></body></html>\n"
    )


def _plots(
    request_traces: collections.abc.Sequence[Journey],
) -> collections.abc.Iterator[tuple[str, figure.Figure]]:
    waits = [j.wait_s for j in request_traces if j.wait_s is not None]
    engines = [j.engine_s for j in request_traces if j.engine_s is not None]
    yield "Wait for a place, seconds", _histogram(waits)
    yield "Target to first answer, seconds", _histogram(engines)
    sure = [
        j
        for j in request_traces
        if j.backlog_s is not None and j.engine_s is not None
    ]
    yield "Believed backlog against time there, seconds", _scatter(
        [j.backlog_s for j in sure], [j.engine_s for j in sure]
    )


def _histogram(values: list[float]) -> figure.Figure:
    drawn = figure.Figure((WIDTH_IN, HEIGHT_IN))
    axes = drawn.add_subplot()
    axes.hist(values, bins=BINS)
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests")
    return drawn


def _scatter(across: list[float], up: list[float]) -> figure.Figure:
    drawn = figure.Figure((WIDTH_IN, HEIGHT_IN))
    axes = drawn.add_subplot()
    axes.scatter(across, up, s=4)
    axes.set_xlabel("believed, seconds")
    axes.set_ylabel("came, seconds")
    return drawn


def _png(drawn: figure.Figure) -> str:
    buffer = io.BytesIO()
    drawn.savefig(buffer, format="png", bbox_inches="tight")
    return base64.b64encode(buffer.getvalue()).decode()
