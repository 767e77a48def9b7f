"""Measure the unit costs that docs/CAPACITY.md is calculated from."""

import asyncio
import base64
import collections.abc
import dataclasses
import gc
import json
import os
import pathlib
import random
import resource
import sys
import tempfile
import time
import tracemalloc

from absl import app
from absl import flags
from absl import logging

from bergamotsail import bench
from bergamotsail.bench import demo
from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import quorum
from bergamotsail import wire

_DAEMONS = flags.DEFINE_list(
    "daemons",
    ["6", "20", "60"],
    "Fleet sizes, in daemons, for the change propagation test.",
)

ENTRIES = 41_000
STREAMS = 60_000
COPIED_STREAMS = 500
REPORTED_STREAMS = 200
LOG_ENTRIES = 10_000
PAGE_BYTES = resource.getpagesize()
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REQUESTS = 60
TOKENS = 100
MB = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """A measured unit cost."""

    name: str
    value: float
    unit: str


def _process_rss(pid: int) -> int:
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def _process_cpu_s(pid: int) -> float:
    """Return the CPU seconds (user and system) used by a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _put_command(number: int) -> catalogue.Command:
    value = {
        "owner": "member-1",
        "pool": "llm",
        "versions": {"v1": f"store/adapters/{number}/v1"},
        "default_version": "v1",
    }
    return catalogue.Command(
        put=catalogue.Put(
            catalogue.Kind.ADAPTER,
            f"adapter-{number}",
            json.dumps(value),
            f"operation-{number}",
            "ops",
        )
    )


def _filled_machine(entries: int) -> catalogue.CatalogueMachine:
    machine = catalogue.CatalogueMachine()
    pool = catalogue.Put(
        catalogue.Kind.POOL, "llm", '{"kind":"engine"}', "pool", "ops"
    )
    token = catalogue.hash_token("token")
    member = catalogue.Put(
        catalogue.Kind.MEMBER,
        "member-1",
        json.dumps({"token_sha256": token}),
        "member",
        "ops",
    )
    for index, put in enumerate((pool, member), 1):
        machine.apply(index, wire.encode(catalogue.Command(put=put)))
    for number in range(entries):
        machine.apply(number + 3, wire.encode(_put_command(number)))
    return machine


def measure_catalogue() -> collections.abc.Iterator[Measurement]:
    """Measure memory, snapshot size and CPU per entry and per change."""
    tracemalloc.start()
    machine = _filled_machine(ENTRIES)
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Measurement("machine memory per entry", allocated / ENTRIES, "bytes")
    lines = list(machine.snapshot())
    size = sum(len(line) for line in lines)
    yield Measurement("snapshot bytes per entry", size / ENTRIES, "bytes")
    started = time.perf_counter()
    list(machine.snapshot())
    elapsed_s = time.perf_counter() - started
    yield Measurement(
        "snapshot encoding per entry", elapsed_s / ENTRIES * 1e6, "us"
    )
    effects = list(machine.view.effects())
    tracemalloc.start()
    view = catalogue.View()
    for effect in effects:
        view.apply(wire.decode(wire.encode(effect), catalogue.Effect))
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Measurement("view memory per entry", allocated / ENTRIES, "bytes")
    effect = next(view.effects())
    encoded = wire.encode(effect)
    yield Measurement("bytes per change per daemon", len(encoded), "bytes")
    started = time.perf_counter()
    for _ in range(2000):
        view.apply(wire.decode(encoded, catalogue.Effect))
    elapsed_s = time.perf_counter() - started
    yield Measurement(
        "cpu per change per daemon", elapsed_s / 2000 * 1e6, "us"
    )


def measure_heartbeat() -> collections.abc.Iterator[Measurement]:
    """Measure the size of target digests and the CPU cost of a delta."""
    status = control.TargetStatus(
        "runner-100",
        123456,
        True,
        False,
        tuple(f"adapter-{n}@v1" for n in range(8)),
        3,
        12,
        16,
        8,
    )
    digest = control.DigestLog(3)
    for number in range(600):
        info = control.TargetInfo(
            f"runner-{number}", "llm", "10.1.200.200:8000", "dc-a"
        )
        digest.put_target(info)
    full = wire.encode(digest.delta(0, 0))
    yield Measurement("digest bytes per target", len(full) / 600, "bytes")
    version = digest.version
    for number in range(10):
        info = control.TargetInfo(
            f"runner-{number}",
            "llm",
            "10.1.200.200:8000",
            "dc-a",
            False,
            status,
        )
        digest.put_target(info)
    delta = wire.encode(digest.delta(3, version))
    yield Measurement(
        "digest bytes per changed target", len(delta) / 10, "bytes"
    )
    started = time.perf_counter()
    for _ in range(500):
        wire.encode(digest.delta(3, version))
    elapsed_s = time.perf_counter() - started
    yield Measurement(
        "cpu of a delta over 600 targets", elapsed_s / 500 * 1e6, "us"
    )


async def measure_streams() -> list[Measurement]:
    """Measure records of streams, their copies, and reports of a daemon."""
    return [*_measure_records(), *await _measure_copies()]


def _stream_names() -> list[str]:
    rng = random.Random(1)
    return [
        base64.urlsafe_b64encode(rng.randbytes(9)).decode()
        for _ in range(STREAMS)
    ]


async def _measure_copies() -> list[Measurement]:
    """Measure copies of records, as the leader sends them and replicas do."""
    origins = [control.StreamOrigin("sastre-llm", v) for v in ("v1", "v2")]
    table, copies = control.StreamTable(), control.StreamTable()
    names = _stream_names()[:COPIED_STREAMS]
    for number, name in enumerate(names):
        table.note(1, name, origins[number % 2], 30.0)
    sender = control.StreamCopies("a", None, table, None)
    receiver = control.StreamCopies("b", None, copies, None)
    started = time.perf_counter()
    request = control.CopyStreams(sender._grouped(names))
    data = wire.encode(request)
    sent_s = time.perf_counter() - started
    started = time.perf_counter()
    await receiver.on_copy(wire.decode(data, control.CopyStreams))
    noted_s = time.perf_counter() - started
    count = len(names)
    return [
        Measurement("copy of a stream", len(data) / count, "bytes"),
        Measurement("copy of a stream, sent", sent_s / count * 1e6, "us"),
        Measurement("copy of a stream, noted", noted_s / count * 1e6, "us"),
    ]


def _measure_records() -> collections.abc.Iterator[Measurement]:
    origin = control.StreamOrigin("sastre-llm", "v1")
    names = _stream_names()
    tracemalloc.start()
    table = control.StreamTable()
    for name in names:
        table.note(1, name, origin, 30.0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # The names themselves were allocated before.
    used += sum(map(sys.getsizeof, names))
    yield Measurement("record of a stream, memory", used / STREAMS, "bytes")
    started = time.perf_counter()
    for name in names:
        table.note(1, name, origin, 30.0)
    elapsed_s = time.perf_counter() - started
    yield Measurement("record of a stream", elapsed_s / STREAMS * 1e6, "us")
    notes = control.StreamNotes()
    for name in names[:REPORTED_STREAMS]:
        notes.note(name, origin, 30.0, -1)
    started = time.perf_counter()
    for _ in range(100):
        pending = notes.pending(1)
    elapsed_s = time.perf_counter() - started
    yield Measurement("report of 200 streams", elapsed_s / 100 * 1e6, "us")
    size = len(wire.encode(pending)) / REPORTED_STREAMS
    yield Measurement("report of a stream", size, "bytes")


async def measure_log() -> list[Measurement]:
    """Measure append and sync, log size, and restart by replay."""
    measurements = []
    with tempfile.TemporaryDirectory() as folder:
        storage = quorum.Storage(quorum.FolderDisk(folder))
        await storage.load()
        entries = [
            quorum.Entry(
                number + 1,
                1,
                quorum.EntryKind.COMMAND,
                wire.encode(_put_command(number)),
            )
            for number in range(LOG_ENTRIES)
        ]
        started = time.perf_counter()
        for entry in entries[:200]:
            await storage.append([entry])
            await storage.sync()
        elapsed_s = time.perf_counter() - started
        measurements.append(
            Measurement(
                "append and sync of one entry", elapsed_s / 200 * 1e3, "ms"
            )
        )
        await storage.append(entries[200:])
        await storage.sync()
        size = (pathlib.Path(folder) / "log").stat().st_size
        measurements.append(
            Measurement("log bytes per entry", size / LOG_ENTRIES, "bytes")
        )
        started = time.perf_counter()
        reopened = quorum.Storage(quorum.FolderDisk(folder))
        loaded = await reopened.load()
        machine = _filled_machine(0)
        for entry in loaded.entries:
            machine.apply(entry.index + 2, entry.data)
        elapsed_s = time.perf_counter() - started
        measurements.append(
            Measurement(
                "restart by replay, per entry",
                elapsed_s / LOG_ENTRIES * 1e6,
                "us",
            )
        )
    return measurements


async def measure_snapshot() -> list[Measurement]:
    """Measure writing and restoring a snapshot of ``ENTRIES`` entries.

    Also returns its size, which a leader would send to each follower if
    followers did not take their own snapshots.
    """
    measurements = []
    machine = _filled_machine(ENTRIES)
    meta = quorum.SnapshotMeta(ENTRIES, 1, quorum.Config())
    with tempfile.TemporaryDirectory() as folder:
        storage = quorum.Storage(quorum.FolderDisk(folder))
        started = time.perf_counter()
        await storage.write_snapshot(meta, machine.snapshot())
        write_s = time.perf_counter() - started
        size = (pathlib.Path(folder) / "snapshot").stat().st_size
        started = time.perf_counter()
        stored = await storage.read_snapshot()
        restored = catalogue.CatalogueMachine()
        restored.restore(ENTRIES, stored[1])
        restore_s = time.perf_counter() - started
    measurements.append(
        Measurement("own snapshot of 41,000 entries", write_s, "s")
    )
    measurements.append(
        Measurement("restart from that snapshot", restore_s, "s")
    )
    measurements.append(
        Measurement("bytes shipped per follower instead", size / MB, "MB")
    )
    return measurements


async def _measure_cpu(
    system: bench.System, work: collections.abc.Awaitable
) -> tuple[dict[str, float], float]:
    """Return CPU seconds by daemon while *work* runs, and elapsed seconds."""
    pids = {n: system.by_name[n].popen.pid for n in system.daemons}
    before = {name: _process_cpu_s(pid) for name, pid in pids.items()}
    started = time.perf_counter()
    await work
    elapsed_s = time.perf_counter() - started
    used = {n: _process_cpu_s(pid) - before[n] for n, pid in pids.items()}
    return used, elapsed_s


async def measure_processes() -> list[Measurement]:
    """Measure daemons as processes.

    Covers idle CPU and memory, CPU per request and token, latency of service
    calls, takeover of a target, and leader election.
    """
    measurements = []
    settings = bench.SystemSettings(
        daemons=6, engines=3, engine={"step_s": 0.005, "batch_slots": 32}
    )
    with bench.System(settings) as system, wire.HttpClient() as http:
        await system.start(http)
        await demo.create_entries(system, http, 4)
        await asyncio.sleep(5.0)
        used, elapsed_s = await _measure_cpu(system, asyncio.sleep(10.0))
        entry_shares = [used[name] / elapsed_s for name in system.daemons[3:]]
        measurements.append(
            Measurement(
                "idle entry daemon", 100 * max(entry_shares), "% of a core"
            )
        )
        replica_shares = [
            used[name] / elapsed_s for name in system.daemons[:3]
        ]
        measurements.append(
            Measurement(
                "idle leader of 6 daemons",
                100 * max(replica_shares),
                "% of a core",
            )
        )
        rss = [
            _process_rss(system.by_name[name].popen.pid)
            for name in system.daemons
        ]
        measurements.append(
            Measurement("resident entry daemon", max(rss[3:]) / MB, "MB")
        )
        measurements.append(
            Measurement("resident replica", max(rss[:3]) / MB, "MB")
        )
        measurements += await _measure_tokens(system, http)
        measurements += await _measure_service_calls(system, http)
        measurements += await _measure_takeover(system, http)
        measurements += await _measure_election(system, http)
    return measurements


async def _measure_tokens(
    system: bench.System, http: wire.HttpClient
) -> list[Measurement]:
    """Measure CPU time per request and token, with one hop and with two.

    One hop is a request at the daemon that owns the target; two hops are a
    request forwarded by another daemon.
    """
    client = bench.Client(http, system.addresses, "tahi-token")
    warm = await client.complete("adapter-0", "warm", 2)
    target = warm.last_event.partition("~")[0]
    status = await system.admin(http, "GET", "/admin/v1/status")
    owner = next(
        t["owner"].partition("#")[0]
        for t in status["targets"]
        if t["info"]["id"] == target
    )
    other = next(n for n in system.daemons[3:] if n != owner)
    measurements = []
    for name, hops in ((owner, "one hop"), (other, "two hops")):
        for tokens in (1, TOKENS):
            address = system.by_name[name].address

            async def load(address: str = address, tokens: int = tokens):
                await asyncio.gather(
                    *(
                        client.complete(
                            "adapter-0", f"p{n}", tokens, address=address
                        )
                        for n in range(REQUESTS)
                    )
                )

            used, elapsed_s = await _measure_cpu(system, load())
            total = used[name] + (used[owner] if name != owner else 0.0)
            if tokens == 1:
                per_request = total / REQUESTS
                measurements.append(
                    Measurement(
                        f"cpu per request, {hops}", per_request * 1e3, "ms"
                    )
                )
            else:
                per_token = (total / REQUESTS - per_request) / (TOKENS - 1)
                measurements.append(
                    Measurement(
                        f"cpu per token, {hops}", per_token * 1e6, "us"
                    )
                )
    return measurements


async def _measure_service_calls(
    system: bench.System, http: wire.HttpClient
) -> list[Measurement]:
    """Measure the latency of idempotent and of non-idempotent calls.

    Non-idempotent calls claim their key in the replicated log first.
    """
    client = bench.Client(http, system.addresses, "tahi-token")
    measurements = []
    for path, what in (("/slots", "repeatable"), ("/pickups", "claimed")):
        latencies_s = []
        for number in range(100):
            key = f"{int(time.time())}-{path}-{number}"
            started = time.perf_counter()
            result = await client.call("tahi-app", path, key=key)
            latencies_s.append(time.perf_counter() - started)
            assert not result.code, result
        latencies_s.sort()
        measurements.append(
            Measurement(f"{what} call, p50", latencies_s[50] * 1e3, "ms")
        )
        measurements.append(
            Measurement(f"{what} call, p99", latencies_s[98] * 1e3, "ms")
        )
    return measurements


async def _measure_takeover(
    system: bench.System, http: wire.HttpClient
) -> list[Measurement]:
    """Measure the time until a killed owner's target has a new owner."""
    status = await system.admin(http, "GET", "/admin/v1/status")
    owner_by_target = {
        t["info"]["id"]: (t["owner"] or "").partition("#")[0]
        for t in status["targets"]
    }
    # The owner must not be the leader: the time would include an election.
    leader = _leader_of(system, status)
    target, owner = next(
        (target, owner)
        for target, owner in owner_by_target.items()
        if owner not in ("", leader)
    )
    observer = next(n for n in system.daemons if n not in (owner, leader))
    system.kill(owner)
    started = time.perf_counter()

    async def taken_over() -> bool:
        now = await system.admin(
            http, "GET", "/admin/v1/status", name=observer
        )
        target_status = next(
            t for t in now["targets"] if t["info"]["id"] == target
        )
        return (target_status["owner"] or "").partition("#")[0] not in (
            "",
            owner,
        )

    await system.eventually(taken_over, "the target to be taken over")
    elapsed_s = time.perf_counter() - started
    system.launch(owner)
    await system.wait_ready(http)
    return [
        Measurement(
            "engine owned again after its owner's kill", elapsed_s, "s"
        )
    ]


def _leader_of(system: bench.System, status: dict) -> str:
    """Return the name of the leader."""
    return next(
        name
        for name in system.daemons
        if system.by_name[name].address == status["replicas"]["leader"]
    )


async def _measure_election(
    system: bench.System, http: wire.HttpClient
) -> list[Measurement]:
    """Measure the time from the leader's kill to the next accepted change."""
    status = await system.admin(
        http, "GET", "/admin/v1/status", name=system.daemons[-1]
    )
    leader = _leader_of(system, status)
    remaining = [name for name in system.daemons if name != leader]
    system.kill(leader)
    started = time.perf_counter()
    value = {"token_sha256": catalogue.hash_token("x")}

    async def accepted() -> bool:
        try:
            await system.put(http, "member", "third", value, remaining[-1])
        except wire.ServingError:
            return False
        return True

    await system.eventually(accepted, "a change after the kill")
    elapsed_s = time.perf_counter() - started
    return [
        Measurement("change accepted after the leader's kill", elapsed_s, "s")
    ]


async def measure_changes(daemons: int) -> list[Measurement]:
    """Measure change propagation to all daemons, and the leader's idle CPU."""
    settings = bench.SystemSettings(daemons=daemons, engines=1, services=1)
    with bench.System(settings) as system, wire.HttpClient() as http:
        await system.start(http)
        await asyncio.sleep(4.0)
        latencies_s = []
        for number in range(5):
            value = {"token_sha256": catalogue.hash_token(f"t{number}")}
            started = time.perf_counter()
            reply = await system.put(http, "member", f"m-{number}", value)
            await system.wait_applied(http, reply["revision"])
            latencies_s.append(time.perf_counter() - started)
        used, elapsed_s = await _measure_cpu(system, asyncio.sleep(8.0))
        leader = max(used[name] for name in system.daemons[:3])
    return [
        Measurement(
            f"change in force, {daemons} daemons, max", max(latencies_s), "s"
        ),
        Measurement(
            f"leader of {daemons} daemons",
            100 * leader / elapsed_s,
            "% of a core",
        ),
    ]


async def _measure() -> list[Measurement]:
    measurements = [
        *measure_catalogue(),
        *measure_heartbeat(),
        *await measure_streams(),
    ]
    measurements += await measure_log()
    measurements += await measure_snapshot()
    measurements += await measure_processes()
    for daemons in _DAEMONS.value:
        measurements += await measure_changes(int(daemons))
    return measurements


def _main(_: list[str]) -> None:
    logging.set_verbosity(logging.FATAL)
    measurements = asyncio.run(_measure())
    for m in measurements:
        print(f"{m.name:44} {m.value:12.3f} {m.unit}")
    print(json.dumps({m.name: round(m.value, 4) for m in measurements}))


if __name__ == "__main__":
    app.run(_main)
