"""Self-contained HTML report with plots and tables."""

import base64
import collections.abc
import html
import io
import pathlib

from matplotlib import figure

from bergamotsail.explain import _events
from bergamotsail.explain import _summary
from bergamotsail.explain import _traces

Event = _events.Event
RequestTrace = _traces.RequestTrace
BINS = 60
WIDTH_IN = 9.0
HEIGHT_IN = 3.2


def write_report(
    path: pathlib.Path,
    request_traces: collections.abc.Sequence[RequestTrace],
    events: collections.abc.Sequence[Event],
) -> None:
    """Write the report to a file."""
    tables = html.escape("\n".join(_summary.summary(request_traces, events)))
    plots = "\n".join(
        f'<h2>{html.escape(title)}</h2><img src="data:image/png;base64,'
        f'{_png(plot)}" alt="{html.escape(title)}">'
        for title, plot in _plots(request_traces)
    )
    path.write_text(
        "<!doctype html><html lang=en><meta charset=utf-8>"
        "<title>Request report</title>"
        f"<body><h1>Request report</h1>{plots}"
        f"<h2>Tables</h2><pre>{tables}</pre></body></html>\n"
    )


def _plots(
    request_traces: collections.abc.Sequence[RequestTrace],
) -> collections.abc.Iterator[tuple[str, figure.Figure]]:
    waits = [
        trace.wait_s for trace in request_traces if trace.wait_s is not None
    ]
    engine_times = [
        trace.engine_s
        for trace in request_traces
        if trace.engine_s is not None
    ]
    yield "Wait for placement, seconds", _histogram(waits)
    yield "From send to first answer, seconds", _histogram(engine_times)
    estimated = [
        trace
        for trace in request_traces
        if trace.backlog_s is not None and trace.engine_s is not None
    ]
    yield "Estimated backlog and time to first answer, seconds", _scatter(
        [trace.backlog_s for trace in estimated],
        [trace.engine_s for trace in estimated],
    )


def _histogram(values: list[float]) -> figure.Figure:
    plot = figure.Figure((WIDTH_IN, HEIGHT_IN))
    axes = plot.add_subplot()
    axes.hist(values, bins=BINS)
    axes.set_xlabel("seconds")
    axes.set_ylabel("requests")
    return plot


def _scatter(x_values: list[float], y_values: list[float]) -> figure.Figure:
    plot = figure.Figure((WIDTH_IN, HEIGHT_IN))
    axes = plot.add_subplot()
    axes.scatter(x_values, y_values, s=4)
    axes.set_xlabel("estimated backlog, seconds")
    axes.set_ylabel("send to first answer, seconds")
    return plot


def _png(plot: figure.Figure) -> str:
    buffer = io.BytesIO()
    plot.savefig(buffer, format="png", bbox_inches="tight")
    return base64.b64encode(buffer.getvalue()).decode()
