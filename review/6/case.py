"""Streams that go on at another software version after a herd kill.

Exits with 1 if more than two streams hold events of two versions of the
runners' software, 0 if not, and 2 if the case could not run.
"""

import asyncio
import collections
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import sys
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(ROOT / "platform" / "features"),
    str(ROOT / "target" / "deps"),
]
os.environ["PYTHONPATH"] = str(ROOT / "target" / "deps")

from support import deployment  # noqa: E402
from support import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS = 13
OLD_RUNNERS = 2
STREAMS = 78
ADAPTERS = 24
EVENTS = 11
EVENT_PAUSE_S = 0.27
NOTICE_S = 2.0
DEADLINE_S = 15.0
ROUTE_TIMEOUT_MS = 4000
# Pauses before a client's further tries: doubled, at most 4 s.
BACKOFF_S = (1.0, 2.0, 4.0, 4.0)
RESTART_S = 0.5
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_bound_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 58,
    "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "require_fence": True, "lease_ms": 3000, "thaw_slack_ms": 300,
    "ceiling_window_s": 5, "ceiling_overage": 1.1, "version_ms": 5000,
    "ttl_max_s": 5,
}  # fmt: skip


class World(deployment.Deployment):
    """Three replicas and three entries before 13 model runners."""

    def __init__(self) -> None:
        super().__init__({"memory_mb": 300, "max_fds": 4100})
        self.platform = standin.Platform(self.port, engines=RUNNERS)
        for number, runner in enumerate(self.platform.engines):
            runner.version = "v1" if number < OLD_RUNNERS else "v2"
            runner.slots = 6
        self.entries = [
            deployment.Instance(self, "entry", n) for n in (11, 12, 13)
        ]

    def make_settings(self, instance, bootstrap):
        settings = super().make_settings(instance, bootstrap)
        return settings | {
            "bounds": BOUNDS,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        }

    def leader(self):
        """Return the replica that answers a read of the configuration."""
        for replica in self.replicas:
            answer = self._call(
                f"{replica.ip}:{self.port + 1}", "GET", "/api/config"
            )
            if answer.status == 200:
                return replica
        return None


async def send_events(handler) -> None:
    """Send the events of a stream; each names the runner's software."""
    target = handler.target
    handler.set_header("Content-Type", "text/event-stream")
    first = int(handler.request.headers.get("Last-Event-Id", "0")) + 1
    for number in range(first, EVENTS + 1):
        if handler._disconnected or handler._finished:
            return
        handler.write(f"id: {number}\ndata: {target.version}\n\n")
        await handler.flush()
        await asyncio.sleep(EVENT_PAUSE_S)
    if not handler._finished:
        handler.finish()


standin.TargetHandler._stream = send_events


@dataclasses.dataclass
class Stream:
    """A client's stream over all its tries; events by id."""

    name: str
    adapter: str
    entry: int
    software_by_event: dict[int, str] = dataclasses.field(
        default_factory=dict
    )
    tries: list = dataclasses.field(default_factory=list)
    is_done: bool = False


class Record:
    """What happened, for record.txt."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self._lines: list[str] = []
        self._lock = threading.Lock()

    def add(self, text: str) -> None:
        with self._lock:
            at = time.monotonic() - self._began_at
            self._lines.append(f"{at:8.3f} {text}")

    def write(self) -> None:
        path = pathlib.Path(__file__).parent / "record.txt"
        path.write_text("\n".join(self._lines) + "\n")


def try_once(world, stream, number, deadline, record) -> None:
    """Begin a stream, or take it up after its last event."""
    left_s = deadline - time.monotonic()
    attempt = stream.name if number == 0 else f"{stream.name}-{number}"
    # A client leaves out the entry that has failed it.
    entry = world.entries[stream.entry if number == 0 else 2]
    headers = {
        "Host": deployment.HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(int(left_s * 1000)),
        "X-Model": f"{standin.MODEL}/{stream.adapter}",
        "X-Token-Counts": "100,22",
        "X-Prompt-Prefix": f"ab:60,{stream.name.replace('s', 'c')}:40",
    }
    if number and stream.software_by_event:
        headers["Last-Event-Id"] = str(max(stream.software_by_event))
        headers["Resumes"] = stream.name
    outcome = "broken"
    connection = http.client.HTTPConnection(
        f"{entry.ip}:{world.port + 1}", timeout=max(left_s, 0.1)
    )
    try:
        connection.request("POST", "/resume/x", b"{}", headers)
        reply = connection.getresponse()
        if reply.status != 200:
            outcome = str(reply.status)
            reply.read()
            return
        event = 0
        while line := reply.readline():
            if line.startswith(b"id: "):
                event = int(line[4:])
            elif line.startswith(b"data: "):
                stream.software_by_event[event] = line[6:].decode().strip()
                if event == EVENTS:
                    outcome, stream.is_done = "complete", True
    except (OSError, http.client.HTTPException) as error:
        outcome = type(error).__name__
    finally:
        connection.close()
        after = headers.get("Last-Event-Id")
        stream.tries.append(outcome)
        record.add(
            f"try {attempt} at {entry.name} after event {after}: {outcome},"
            f" events until now {len(stream.software_by_event)}"
        )


def run_client(world, stream, record) -> None:
    """Try until the stream is complete or the deadline has passed."""
    deadline = time.monotonic() + DEADLINE_S
    try_once(world, stream, 0, deadline, record)
    for number, pause_s in enumerate(BACKOFF_S, 1):
        if stream.is_done or time.monotonic() + pause_s >= deadline - 0.2:
            return
        time.sleep(pause_s)
        try_once(world, stream, number, deadline, record)


def take_away(world, record) -> None:
    """Take the runners of the old version away at short notice."""
    old = world.platform.engines[:OLD_RUNNERS]
    for runner in old:
        runner.state = "draining"
    record.add(f"notice to {[runner.address for runner in old]}")
    time.sleep(NOTICE_S)

    def gone() -> None:
        for runner in old:
            runner.down = True
            for handler in list(runner.open_handlers):
                handler.close()
            world.platform.targets.remove(runner)

    world.platform._loop.call_soon_threadsafe(gone)
    record.add("they are gone")


def kill_herd(world, record) -> None:
    """Kill the leading replica and two of three entries at once."""
    herd = [world.leader(), *world.entries[:2]]
    for instance in herd:
        instance.process.send_signal(signal.SIGKILL)
    record.add(f"killed {[instance.name for instance in herd]}")
    for instance in herd:
        instance.process.wait()
    time.sleep(RESTART_S)
    for instance in herd:
        instance.start()


def play(record: Record) -> int:
    with World() as world:
        config = world.make_config()
        engine = config["services"][0]["engine"]
        engine |= {"slots": 64, "adapter_slots": 6}
        for route in config["routes"]:
            if route["name"] == "resume":
                route["timeout_ms"] = ROUTE_TIMEOUT_MS
        assert world.put_config(config) == 200
        world.wait_until_serving()
        time.sleep(3.0)
        streams = [
            Stream(f"s{n}", f"a{n % ADAPTERS}", n % 2) for n in range(STREAMS)
        ]
        clients = [
            threading.Thread(target=run_client, args=(world, stream, record))
            for stream in streams
        ]
        record.add("streams begin")
        for client in clients:
            client.start()
        time.sleep(0.2)
        take_away(world, record)
        if TROUBLE:
            kill_herd(world, record)
        for client in clients:
            client.join()
        mixed = 0
        for stream in streams:
            by_software = collections.Counter(
                stream.software_by_event.values()
            )
            record.add(
                f"{stream.name}: {dict(by_software)}, tries {stream.tries}"
            )
            mixed += len(by_software) > 1
        began_old = sum(
            stream.software_by_event.get(1) == "v1" for stream in streams
        )
        record.add(
            f"{mixed} streams hold events of two versions, of {began_old} that"
            f" began at v1 and {len(streams)} in all; 2 are allowed"
        )
        for run in [r for t in world.platform.targets for r in t.runs]:
            if "Last-Event-Id" in run.headers:
                record.add(
                    f"run {run.attempt} at {run.target} after"
                    f" {run.headers['Last-Event-Id']}"
                )
        print(f"{mixed} of {began_old} streams hold two versions")
        if not began_old:
            return 2
        return 1 if mixed > 2 else 0


def main() -> int:
    record = Record()
    try:
        return play(record)
    except Exception:
        record.add(traceback.format_exc())
        traceback.print_exc()
        return 2
    finally:
        record.write()


signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
sys.exit(main())
