"""Steps for the analysis of logs by bergamotsail.explain."""

import json
import pathlib
import random
import subprocess
import sys
import tempfile

import behave

from bergamotsail import explain


def _line(at: str, t: float, part: str, what: str, **fields: object) -> str:
    line = {"t": t, "at": at, "part": part, "what": what, **fields}
    return json.dumps(line)


def _entry_lines() -> list[str]:
    """Return log lines of an entry for two requests, one of them refused."""
    request = {"request": "r1"}
    return [
        _line("entry", 10.3, "route", "send", target="e1", **request),
        _line(
            "entry",
            10.5,
            "route",
            "answer",
            status=200,
            since_arrival_s=0.5,
            **request,
        ),
        _line(
            "entry",
            12.0,
            "route",
            "end",
            route="drafts",
            adapter="base/a1",
            code="done",
            sends=1,
            target="e1",
            took_s=2.0,
            view_age_s=0.25,
            longest_pause_s=0.1,
            **request,
        ),
        _line(
            "entry",
            12.5,
            "route",
            "end",
            request="r2",
            route="drafts",
            adapter="base/a2",
            code="no_place",
            sends=0,
            took_s=1.5,
            view_age_s=2.75,
        ),
    ]


def _unserved_lines() -> list[str]:
    """Return log lines of requests for an adapter that is never served."""
    return [
        _line(
            "entry",
            20.0 + number,
            "route",
            "end",
            request=f"u{number}",
            route="drafts",
            adapter="base/rare",
            code="no_place" if number else "broken_off",
            sends=0 if number else 1,
            took_s=1.5,
        )
        for number in range(4)
    ]


def _holder_lines() -> list[str]:
    """Return log lines of the holder of orders, whose clock differs."""
    order = {"target": "e1", "adapter": "base/a1"}
    return [
        _line("holder", 900.0, "place", "wait", request="r1.0"),
        _line("holder", 900.01, "order", "load", copy=False, **order),
        _line("holder", 900.29, "order", "loaded", **order),
        _line(
            "holder",
            900.3,
            "place",
            "grant",
            request="r1.0",
            reason="loaded",
            backlog_s=0.05,
            new_tokens=3000,
            running=2,
        ),
        _line("holder", 903.0, "place", "refuse", request="r2.0", usable=1),
    ]


def _read(context) -> list[explain.Event]:
    return explain.read_events(context.logs)


@behave.given("the logs of an entry and of the holder of orders")
def write_logs(context) -> None:
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.logs = [context.folder / "entry.log", context.folder / "h.log"]
    context.logs[0].write_text("\n".join(_entry_lines()) + "\n")
    context.logs[1].write_text("\n".join(_holder_lines()) + "\n")


@behave.when("the logs are analysed")
def explain_all(context) -> None:
    events = _read(context)
    context.request_traces = explain.request_traces(events)
    context.tables = explain.summary(context.request_traces, events)


@behave.then("the request that waited for a load shows 0.30 s and 0.20 s")
def stages(context) -> None:
    trace = next(j for j in context.request_traces if j.request == "r1")
    shown = (round(trace.wait_s, 3), round(trace.engine_s, 3))
    assert shown == (0.3, 0.2), trace
    assert trace.loaded and trace.new_tokens == 3000, trace


@behave.then("the tables show fetches, refused placements and outcomes")
def tables(context) -> None:
    text = "\n".join(context.tables)
    for wanted in (
        "fetches from the store: 1, of 1 different adapters",
        "placements refused: 1, of these with engines that had room for the",
        "drafts              no_place                  1",
        "at the end of requests                2   2.750   2.750",
    ):
        assert wanted in text, (wanted, text)


@behave.then("the adapter that is never served is listed with its outcomes")
def never_served(context) -> None:
    entry = context.logs[0]
    entry.write_text(entry.read_text() + "\n".join(_unserved_lines()) + "\n")
    events = _read(context)
    text = "\n".join(explain.summary(explain.request_traces(events), events))
    for wanted in (
        "adapters never served: 1 of 1",
        "  base/rare: broken_off/1=1 no_place/0=3 loads=0",
    ):
        assert wanted in text, (wanted, text)


@behave.then("its lines are those of both daemons and of no other request")
def describe_request(context) -> None:
    lines = explain.describe_request("r1", _read(context))
    text = "\n".join(lines)
    assert "entry" in lines and "holder" in lines, text
    assert "loaded" in text and "no_place" not in text, text


@behave.when("{count:d} random lines are inserted into each log")
def add_noise(context, count: int) -> None:
    events = _read(context)
    context.tables = explain.summary(explain.request_traces(events), events)
    rng = random.Random(1)
    for path in context.logs:
        lines = path.read_text().splitlines()
        for _ in range(count):
            noise = "".join(rng.choices('{}[]":,ab1 ', k=rng.randrange(40)))
            lines.insert(rng.randrange(len(lines) + 1), noise)
        path.write_text("\n".join(lines) + "\n")


@behave.then("the analysis is unchanged")
def same_tables(context) -> None:
    events = _read(context)
    found = explain.summary(explain.request_traces(events), events)
    assert found == context.tables, "\n".join(found)


@behave.when("the command line writes a report page")
def write_page(context) -> None:
    context.page = context.folder / "page.html"
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "bergamotsail.daemon.cli",
            "explain",
            *map(str, context.logs),
            f"--report={context.page}",
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr


@behave.then("the page embeds three plots and has no link")
def page_whole(context) -> None:
    text = context.page.read_text()
    assert text.count("data:image/png;base64,") == 3, text[:300]
    assert "http" not in text
