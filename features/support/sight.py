"""Log events and metrics of elections, event loop lag, shed calls and work."""

import asyncio
import gc
import io
import json
import pathlib
import tempfile
import time
import unittest.mock

from bergamotsail import catalogue
from bergamotsail import daemon
from bergamotsail.daemon import _process_monitor
from bergamotsail import explain
from bergamotsail import observe
from bergamotsail.observe import _work
from bergamotsail import quorum
from bergamotsail import wire
from features.support import growth
from features.support import ledger

BLOCKED_S = 0.25
CALLS = 500


class _RecordingObserver(quorum.NodeObserver):
    """Records the events that one replica reports."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def on_node_event(self, what: str, fields: dict[str, object]) -> None:
        self.lines.append((what, fields))

    def matching(self, kind: str, **wanted: object) -> list[dict]:
        """Return the fields of all events of a kind that have these values."""
        return [
            fields
            for what, fields in self.lines
            if what == kind
            and all(fields[key] == value for key, value in wanted.items())
        ]


async def _form_observed_replicas() -> (
    tuple[growth.Replicas, dict[str, _RecordingObserver]]
):
    replicas = growth.Replicas(3)
    await replicas.form()
    await asyncio.sleep(1.0)
    observer_by_address = {}
    for address, node in replicas.node_by_address.items():
        node.observer = observer_by_address[address] = _RecordingObserver()
    return replicas, observer_by_address


async def _lost_leadership() -> list[str]:
    replicas, observer_by_address = await _form_observed_replicas()
    old = await replicas.leader()
    replicas.network.isolate(old.member.address)
    await asyncio.sleep(3.0)
    new = await replicas.leader()
    faults = []
    lost = observer_by_address[old.member.address].matching(
        "role", **{"is": "no longer leads"}
    )
    if len(lost) != 1 or not lost[0]["why"].startswith("no majority for 0."):
        faults.append(f"lost leadership: {lost}")
    elif min(lost[0]["answered_s"].values()) < 0.6:
        faults.append(f"time since answers: {lost}")
    won = observer_by_address[new.member.address].matching("stand", end="won")
    if len(won) != 1 or "granted" not in won[0]["answers"].values():
        faults.append(f"won election: {won}")
    elif won[0]["heard_s"] < 0.6:
        faults.append(f"started an election too early: {won}")
    if not observer_by_address[new.member.address].matching(
        "role", **{"is": "leads"}
    ):
        faults.append("The new leader did not report its role.")
    third = (
        set(observer_by_address) - {old.member.address, new.member.address}
    ).pop()
    if not observer_by_address[third].matching("role", **{"is": "follows"}):
        faults.append("The follower did not report its role.")
    if not observer_by_address[third].matching(
        "ballot", pre=False, refused=None
    ):
        faults.append("The follower did not report its vote.")
    return faults


async def _refused_election() -> list[str]:
    replicas, observer_by_address = await _form_observed_replicas()
    leader = await replicas.leader()
    node = next(
        node
        for node in replicas.node_by_address.values()
        if node is not leader
    )
    term = leader.term
    await node._run_election(False)
    faults = []
    elections = observer_by_address[node.member.address].matching(
        "stand", end="pre-vote failed"
    )
    if len(elections) != 1:
        return [f"elections: {elections}"]
    answers = elections[0]["answers"]
    if len(answers) != 2 or answers[leader.name] != "holds the lease":
        faults.append(f"vote answers: {answers}")
    for address, observer in observer_by_address.items():
        ballots = observer.matching(
            "ballot", candidate=node.member.id, pre=True
        )
        if address != node.member.address and not ballots[0]["refused"]:
            faults.append(f"{address}: {ballots}")
    if leader.term != term or not leader.holds_lease():
        faults.append("The leader lost its term or its lease.")
    return faults


async def _failed_replication() -> list[str]:
    """Replication that fails is reported once, and so is its end."""
    replicas, observer_by_address = await _form_observed_replicas()
    leader = await replicas.leader()
    lost = next(
        address
        for address, node in replicas.node_by_address.items()
        if node is not leader
    )
    observer = observer_by_address[leader.member.address]
    await replicas.stop(lost)
    await asyncio.sleep(2.0)
    await leader.propose(wire.encode(catalogue.Command()))
    await asyncio.sleep(2.0)
    await replicas.start(lost)
    await asyncio.sleep(2.0)
    found = [
        (fields["peer"], fields["error"])
        for what, fields in observer.lines
        if what == "replicate"
    ]
    wanted = [(lost, "not_sent"), (lost, None)]
    return [] if found == wanted else [f"replication: {found}"]


def _lines(written: io.StringIO, what: str) -> list[dict]:
    lines = map(json.loads, written.getvalue().splitlines())
    return [line for line in lines if line["what"] == what]


def _busy_wait(seconds: float) -> None:
    """Keep the processor busy for some seconds."""
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        pass


async def _block_loop() -> str:
    metrics = observe.Metrics()
    lag = daemon.LoopLag()
    async with lag, daemon.ProcessMonitor(lag, metrics) as vitals:
        await asyncio.sleep(0.3)
        _busy_wait(BLOCKED_S)
        gc.collect()
        # The event is logged before the lag probe runs again.
        vitals.on_node_event("role", {"is": "no longer leads"})
        await asyncio.sleep(1.0)
    return observe.as_text(metrics.snapshot())


def _blocked_loop() -> list[str]:
    """The next event after a blocked loop carries the lag."""
    written = io.StringIO()
    with observe.EventLog("r1", written):
        text = asyncio.run(_block_loop())
    faults = []
    (line,) = _lines(written, "role")
    if line["lag_s"] < BLOCKED_S - 0.03 or line["cpu_s"] <= 0.05:
        faults.append(f"lag or CPU time: {line}")
    if line["collected_s"] <= 0 or line["resident_mb"] <= 1:
        faults.append(f"collection time or memory: {line}")
    if not _lines(written, "late"):
        faults.append("No event for the second with the lag.")
    if "loop_lag_worst_count" not in text:
        faults.append(text)
    return faults


def _shed_calls() -> list[str]:
    """Shed calls are counted, and logged at most once a second."""
    written = io.StringIO()
    metrics = observe.Metrics()
    server = wire.PeerServer()
    call = wire.Call("ask", dict, dict)
    server.serve(call, dict, shed_after_s=0.1)
    lag = daemon.LoopLag()
    lag.latest_s = 0.2
    endpoint = daemon.PeerEndpoint(server, "token", lag, metrics)
    began_at = time.monotonic()
    with observe.EventLog("r1", written):
        for _ in range(CALLS):
            try:
                endpoint._check_lag(call.name)
            except wire.LoadShedError:
                continue
    most = 1 + (time.monotonic() - began_at)
    lines = _lines(written, "shed")
    faults = []
    if not 1 <= len(lines) <= most:
        faults.append(f"{len(lines)} events for shed calls")
    if f"calls_shed_count{{call=ask}} {CALLS}" not in observe.as_text(
        metrics.snapshot()
    ):
        faults.append(observe.as_text(metrics.snapshot()))
    return faults


class _ManualClock:
    """A clock that only work() advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def perf_counter(self) -> float:
        """Return the current time in seconds."""
        return self.now_s

    def work(self, seconds: float) -> None:
        """Advance the clock, as work that takes this long."""
        self.now_s += seconds


async def _work_and_waits(clock: _ManualClock) -> list[str]:
    metrics = observe.Metrics()

    async def work() -> str:
        clock.work(0.25)
        waiting = asyncio.create_task(_other_work(clock))
        await waiting
        clock.work(0.5)
        return "done"

    async def failing() -> None:
        await asyncio.sleep(0)
        raise wire.NotFoundError("The entry does not exist.")

    faults = []
    if await observe.timed(metrics, "ask", work) != "done":
        faults.append("The result was lost.")
    try:
        await observe.timed(metrics, "fail", failing)
        faults.append("The error was lost.")
    except wire.NotFoundError:
        pass
    endless = observe.timed(metrics, "left", asyncio.Event().wait)
    task = asyncio.create_task(endless)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    if not task.cancelled():
        faults.append("The cancellation was lost.")
    observe.count_message(metrics, "ask", received=100, sent=30)
    log = observe.WorkLog(metrics)
    done = log.since_last()["ask"]
    if done != observe.WorkDone(0.75, 1, 100, 30):
        faults.append(f"counted {done}")
    if log.since_last():
        faults.append("Work that was reported is reported again.")
    return faults


async def _other_work(clock: _ManualClock) -> None:
    """Advance the clock in a task that the measured work awaits."""
    clock.work(5.0)


def _waits_not_counted() -> list[str]:
    """Work is charged for its own steps, not for what it awaits."""
    clock = _ManualClock()
    with unittest.mock.patch.object(_work, "time", clock):
        return asyncio.run(_work_and_waits(clock))


async def _some_calls() -> None:
    metrics = observe.Metrics()
    lag = daemon.LoopLag()
    async with lag, daemon.ProcessMonitor(lag, metrics, role="entry"):
        observe.count_message(metrics, "place", received=10, sent=20)
        with observe.spent(metrics, "place"):
            _busy_wait(0.01)
        await asyncio.sleep(_process_monitor.WORK_LOG_INTERVAL_S + 0.5)


def _work_logged() -> list[str]:
    """Work is logged periodically and shown in the explain tables."""
    written = io.StringIO()
    with observe.EventLog("e1", written):
        ledger.run(_some_calls())
    (line,) = _lines(written, "work")
    faults = []
    took_s, *counts = line["by_kind"]["place"]
    if counts != [1, 10, 20] or took_s < 0.01 or line["role"] != "entry":
        faults.append(str(line))
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "e1.log"
        path.write_text(written.getvalue())
        tables = explain.summary([], explain.read_events([path]))
    row = next((t for t in tables if t.strip().startswith("place ")), "")
    if row.split()[2:] != ["0.20", "0.002", "0.004"]:
        faults.append(f"table: {row}")
    return faults


SCENARIOS = {
    "waits_not_counted": _waits_not_counted,
    "work_logged": _work_logged,
    "lost_leadership": lambda: ledger.run(_lost_leadership()),
    "refused_election": lambda: ledger.run(_refused_election()),
    "failed_replication": lambda: ledger.run(_failed_replication()),
    "blocked_loop": _blocked_loop,
    "shed_calls": _shed_calls,
}
