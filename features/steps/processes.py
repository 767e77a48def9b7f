"""Steps for tests with real processes on loopback."""

import asyncio
import json
import shutil
import subprocess
import time
import uuid

import behave

from bergamotsail import bench
from bergamotsail.bench import demo
from bergamotsail import standins
from bergamotsail import wire
from features.support import relay

# Attempts to start a run on an engine that its entry does not own.
MAX_STARTS = 5
LONG_TOKENS = 300


class RunningSystem:
    """A system of processes, an HTTP client and the event loop for both."""

    def __init__(self, context) -> None:
        self.loop = asyncio.new_event_loop()
        context.stack.callback(self.loop.close)
        self.system = context.stack.enter_context(
            bench.System(
                bench.SystemSettings(
                    daemons=5,
                    engines=3,
                    load_s=0.05,
                    engine={"refuses_old": False},
                    daemon={
                        "answer_keep_s": 1.0,
                        "lease": {
                            "lease_s": 1.5,
                            "heartbeat_s": 0.2,
                            "order_flight_s": 0.2,
                        },
                    },
                )
            )
        )
        self.http = self.run_sync(self._make_http())
        context.stack.callback(self.shut_down)
        self.run_sync(self.system.start(self.http))
        self.run_sync(demo.create_entries(self.system, self.http, 8))
        self.client = self.client_of("tahi")
        self.results: list = []
        self.tasks: list = []

    async def _make_http(self) -> wire.HttpClient:
        return wire.HttpClient()

    def shut_down(self) -> None:
        """Cancel the remaining tasks and close the client."""

        async def close() -> None:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.http.close()
            await asyncio.sleep(0)

        self.run_sync(close())

    def run_sync(self, work):
        """Run an awaitable on the event loop."""
        return self.loop.run_until_complete(work)

    def client_of(self, member: str) -> bench.Client:
        """Return a client with a member's token."""
        return bench.Client(
            self.http, self.system.addresses, f"{member}-token"
        )

    async def status(self, name: str | None = None) -> dict:
        """Return the status from the named, or else any running, daemon."""
        for daemon in [name] if name else self.running():
            try:
                return await self.system.admin(
                    self.http, "GET", "/admin/v1/status", name=daemon
                )
            except wire.ServingError:
                continue
        raise AssertionError("No running daemon returned its status.")

    def running(self) -> list[str]:
        """Return the names of the daemons whose process runs."""
        return [
            name
            for name in self.system.daemons
            if self.system.by_name[name].popen.poll() is None
        ]

    async def leader(self) -> str:
        """Return the name of the leading daemon."""
        found: list[str] = []

        async def known() -> bool:
            status = await self.status()
            if status["replicas"] is None:
                return False
            address = status["replicas"]["leader"]
            found[:] = [
                name
                for name in self.running()
                if self.system.by_name[name].address == address
            ]
            return bool(found)

        await self.system.eventually(known, "a leader")
        return found[0]

    async def change(self, number: int) -> None:
        """Put an entry through any daemon that accepts it."""
        value = {
            "owner": "tahi",
            "pool": "sastre-llm",
            "versions": {"v1": "w"},
            "default_version": "v1",
        }

        async def accepted() -> bool:
            for name in self.running():
                try:
                    await self.system.put(
                        self.http, "adapter", f"extra-{number}", value, name
                    )
                except wire.ServingError:
                    continue
                return True
            return False

        await self.system.eventually(accepted, f"change {number}")

    async def holds(self, name: str, numbers: range) -> bool:
        """Return whether a daemon has all the changes."""
        try:
            entries = await self.system.admin(
                self.http, "GET", "/admin/v1/entries/adapter", name=name
            )
        except wire.ServingError:
            return False
        ids = {entry["id"] for entry in entries}
        return all(f"extra-{number}" in ids for number in numbers)

    async def records(self, name: str) -> dict:
        """Return the records of an engine stand-in."""
        address = self.system.by_name[name].address
        request = wire.HttpRequest(f"http://{address}/standin")
        return json.loads((await self.http.fetch(request)).body)


@behave.given("a system of processes")
def a_system(context) -> None:
    context.run = RunningSystem(context)


@behave.given("{count:d} accepted changes")
def accepted_changes(context, count: int) -> None:
    for number in range(count):
        context.run.run_sync(context.run.change(number))


@behave.when("the leader is killed")
def kill_leader(context) -> None:
    context.killed = context.run.run_sync(context.run.leader())
    context.run.system.kill(context.killed)


@behave.when("the killed daemon starts again")
def start_killed(context) -> None:
    context.run.system.launch(context.killed)


@behave.then("every other daemon holds the {count:d} changes")
@behave.then("every daemon holds the {count:d} changes")
def all_hold(context, count: int) -> None:
    run = context.run
    for name in run.running():
        run.run_sync(
            run.system.eventually(
                lambda name=name: run.holds(name, range(count)),
                f"{name} to hold the changes",
            )
        )


@behave.then("a new change is accepted")
def new_change(context) -> None:
    context.run.run_sync(context.run.change(1000))


@behave.when("all replicas are killed and start again")
def kill_replicas(context) -> None:
    names = context.run.system.daemons[:3]
    for name in names:
        context.run.system.kill(name)
    for name in names:
        context.run.system.launch(name)
    context.run.run_sync(context.run.system.wait_ready(context.run.http))


@behave.when("a replica loses its data folder and starts again")
def lose_folder(context) -> None:
    run = context.run
    name = "entry-1"
    context.old_voters = run.run_sync(run.status())["replicas"]["voters"]
    run.system.kill(name)
    run.system.lose_disk(name)
    run.system.launch(name)


@behave.then("three replicas vote, one of them new")
def three_vote(context) -> None:
    run = context.run
    old = set(context.old_voters)

    async def replaced() -> bool:
        replicas = (await run.status("entry-0"))["replicas"]
        if replicas is None:
            return False
        voters = set(replicas["voters"])
        return len(voters) == 3 and len(voters - old) == 1

    run.run_sync(run.system.eventually(replaced, "the new replica to vote"))


@behave.when("the log of a replica is damaged in the middle")
def damage_log(context) -> None:
    system = context.run.system
    system.kill("entry-1")
    log = system.data_folder("entry-1") / "log"
    data = bytearray(log.read_bytes())
    # Flips the second byte of the third record's length, so that the offset
    # of the record's end is wrong as well.
    start = 0
    for _ in range(2):
        start += 8 + int.from_bytes(data[start : start + 4], "little")
    data[start + 1] ^= 0xFF
    log.write_bytes(bytes(data))
    system.launch("entry-1")


@behave.then("it exits with code 1 and says to remove the data folder")
def says_what_to_do(context) -> None:
    run = context.run
    code = run.run_sync(run.system.wait_exit("entry-1", 20))
    assert code == 1, code
    text = run.system.by_name["entry-1"].log.read_text()
    assert "Remove the data folder" in text, text[-500:]


@behave.when("another replica is killed")
def kill_another(context) -> None:
    context.run.system.kill("entry-2")


async def _begin_long_answer(
    run: RunningSystem, skip_first_entry: bool
) -> dict:
    """Start a long completion at a daemon that does not own the engine.

    Retries if the engine turns out to be owned by the daemon. A daemon that
    does not know yet where the adapter is resident may choose another engine
    than that of the previous request.
    """
    client = run.client
    warm = await client.complete("adapter-0", "warm", 2)
    assert not warm.code, warm
    owner = await _owner_of(run, warm.last_event.partition("~")[0])
    for _ in range(MAX_STARTS):
        entry = next(
            name
            for name in run.running()
            if name != owner
            and (not skip_first_entry or name not in ("entry-0",))
        )
        before = await _runs_by_engine(run)
        task = asyncio.ensure_future(
            client.complete_at(
                run.system.by_name[entry].address,
                "adapter-0",
                "long",
                LONG_TOKENS,
                30.0,
                None,
            )
        )
        run.tasks.append(task)
        target = await _engine_that_runs(run, before)
        owner = await _owner_of(run, target)
        await asyncio.sleep(1.0)
        if owner != entry:
            return {
                "target": target,
                "owner": owner,
                "entry": entry,
                "task": task,
            }
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    raise AssertionError(
        f"All {MAX_STARTS} runs were on engines that their entry owns, the "
        f"last owner was {owner}"
    )


async def _owner_of(run: RunningSystem, target: str) -> str:
    """Return the daemon that owns an engine."""
    status = await run.status()
    return next(
        t["owner"].partition("#")[0]
        for t in status["targets"]
        if t["info"]["id"] == target
    )


async def _runs_by_engine(run: RunningSystem) -> dict[str, int]:
    """Return how many runs each engine has started."""
    found = {}
    for name in run.system.engines:
        records = await run.records(name)
        found[name] = sum(records["runs_by_stream"].values())
    return found


async def _engine_that_runs(run: RunningSystem, before: dict[str, int]) -> str:
    """Wait until an engine starts one more run; return its name."""
    found: list[str] = []

    async def begun() -> bool:
        after = await _runs_by_engine(run)
        found[:] = [name for name in after if after[name] > before[name]]
        return bool(found)

    await run.system.eventually(begun, "the run to start")
    (target,) = found
    return target


@behave.given("a long answer streaming from an engine of another daemon")
def long_answer(context) -> None:
    context.long = context.run.run_sync(_begin_long_answer(context.run, False))


@behave.when("the owner of its engine is killed")
def kill_owner(context) -> None:
    context.run.system.kill(context.long["owner"])


@behave.then("the answer is complete and exact or ends with a typed error")
def whole_or_typed(context) -> None:
    result = context.run.run_sync(context.long["task"])
    wanted = standins.expected_text("adapter-0@v1", "long", LONG_TOKENS)
    if result.code:
        assert result.code in ("truncated", "deadline"), result
        assert wanted.startswith(
            result.text
        ), "the text is not a prefix of the expected one"
    else:
        assert result.text == wanted, "the text differs from the expected one"


@behave.then("the engine gets another owner")
def another_owner(context) -> None:
    run = context.run

    async def moved() -> bool:
        status = await run.status()
        for target in status["targets"]:
            if target["info"]["id"] == context.long["target"]:
                owner = (target["owner"] or "").partition("#")[0]
                return owner not in ("", context.long["owner"])
        return False

    run.run_sync(run.system.eventually(moved, "another owner"))


@behave.when("the entry that streams it is killed")
def kill_entry(context) -> None:
    run = context.run
    run.system.kill(context.long["entry"])
    context.first = run.run_sync(context.long["task"])
    assert context.first.code, "the stream did not fail with its entry"


@behave.when("the caller reconnects with the id of its last event")
def reconnect(context) -> None:
    run = context.run
    other = next(n for n in run.running() if n != context.long["owner"])
    context.second = run.run_sync(
        run.client.complete_at(
            run.system.by_name[other].address,
            "adapter-0",
            "long",
            LONG_TOKENS,
            30.0,
            {"Last-Event-ID": context.first.last_event},
        )
    )


@behave.then("both parts together are the exact answer")
def exact_together(context) -> None:
    assert not context.second.code, context.second
    whole = context.first.text + context.second.text
    assert whole == standins.expected_text("adapter-0@v1", "long", LONG_TOKENS)


async def _generate_load(run: RunningSystem, stop: asyncio.Event) -> None:
    number = 0
    tasks = []
    clients = [run.client_of("tahi"), run.client_of("lakeshore")]
    while not stop.is_set():
        number += 1
        client = clients[number % 2]
        name = f"adapter-{number % 8}"
        client = clients[(number % 8) % 2]
        tasks.append(
            asyncio.ensure_future(
                client.complete(name, f"busy {number}", 10, 20.0)
            )
        )
        tasks[-1].wanted = standins.expected_text(
            f"{name}@v1", f"busy {number}", 10
        )
        await asyncio.sleep(0.04)
    for task in tasks:
        run.results.append((task.wanted, await task))


@behave.given("a busy system")
def busy(context) -> None:
    run = context.run
    context.stop_load = asyncio.Event()
    task = run.loop.create_task(_generate_load(run, context.stop_load))
    run.tasks.append(task)
    context.load = task
    run.run_sync(asyncio.sleep(1.5))


def _end_load(context) -> None:
    context.stop_load.set()
    context.run.run_sync(context.load)


@behave.when("an owner is frozen past its lease and resumes")
def freeze_owner(context) -> None:
    run = context.run
    status = run.run_sync(run.status())
    owners = {
        t["owner"].partition("#")[0] for t in status["targets"] if t["owner"]
    }
    name = sorted(owners)[-1]
    run.system.freeze(name)
    run.run_sync(asyncio.sleep(4.0))
    run.system.wake(name)
    run.run_sync(asyncio.sleep(2.0))
    _end_load(context)


@behave.then("no engine executed an order with an old fencing token")
def no_stale(context) -> None:
    run = context.run
    for name in run.system.engines:
        records = run.run_sync(run.records(name))
        assert records["stale_orders_taken"] == 0, records


@behave.then("no engine evicted an adapter that was serving")
def none_evicted(context) -> None:
    run = context.run
    for name in run.system.engines:
        assert not run.run_sync(run.records(name))["evicted_while_serving"]


@behave.then("every answer was exact or a typed error")
def exact_or_typed(context) -> None:
    for wanted, result in context.run.results:
        assert result.code or result.text == wanted, result


@behave.when("a daemon is stopped gracefully")
def planned_stop(context) -> None:
    run = context.run
    context.stopped = run.run_sync(run.leader())
    run.system.stop(context.stopped)
    context.exit_code = run.run_sync(run.system.wait_exit(context.stopped, 30))
    run.run_sync(asyncio.sleep(1.0))
    _end_load(context)


@behave.then("it exits with code 0")
def exit_zero(context) -> None:
    assert context.exit_code == 0, context.exit_code


@behave.then("every request was answered")
def every_answered(context) -> None:
    bad = [r for wanted, r in context.run.results if r.text != wanted]
    assert not bad, bad[:3]


async def _resend_over_kills(run: RunningSystem) -> list[tuple[str, bool]]:
    """Send calls, each retried under one key, while entries are killed."""
    client = run.client
    outcomes = []

    async def book(number: int) -> None:
        key = f"{int(time.time())}-{uuid.uuid4()}"
        answered = False
        for attempt in range(4):
            names = run.running()
            address = run.system.by_name[names[number % len(names)]].address
            result = await client.call(
                "tahi-app", "/pickups/1", key=key, address=address
            )
            if not result.code:
                answered = True
                break
            await asyncio.sleep(0.3)
        outcomes.append((key, answered))

    tasks = []
    for number in range(60):
        tasks.append(asyncio.ensure_future(book(number)))
        await asyncio.sleep(0.03)
        if number in (20, 40):
            run.system.kill(f"entry-{3 + number // 40}")
        if number == 30:
            run.system.launch("entry-3")
    await asyncio.gather(*tasks)
    return outcomes


@behave.when("calls are resent while their entries are killed")
def resend(context) -> None:
    context.outcomes = context.run.run_sync(_resend_over_kills(context.run))
    counts = demo.count_runs(context.run.system, context.run.http)
    context.counts = context.run.run_sync(counts)


@behave.then("no call ran twice")
def none_twice(context) -> None:
    keys = {key for key, _ in context.outcomes}
    twice = {k: n for k, n in context.counts.items() if k in keys and n > 1}
    assert not twice, twice


@behave.then("every answered call ran")
def answered_ran(context) -> None:
    answered = [key for key, done in context.outcomes if done]
    assert answered
    assert all(context.counts[key] == 1 for key in answered)


@behave.when("a caller disconnects in mid-stream")
def caller_leaves(context) -> None:
    run = context.run
    context.long = run.run_sync(_begin_long_answer(run, False))

    async def leave() -> None:
        context.long["task"].cancel()
        await asyncio.gather(context.long["task"], return_exceptions=True)

    run.run_sync(leave())


@behave.then("the engine cancels its run")
def engine_cancels(context) -> None:
    run = context.run

    async def cancelled() -> bool:
        records = await run.records(context.long["target"])
        return bool(records["cancelled"])

    run.run_sync(run.system.eventually(cancelled, "the run to be cancelled"))


@behave.given("a long answer streaming from an engine behind a relay")
def behind_relay(context) -> None:
    run = context.run

    async def begin() -> None:
        names = run.system.engines
        context.relay = relay.Relay(run.system.by_name[names[0]].address)
        await context.relay.__aenter__()
        process = run.system.by_name[names[0]]
        process.address = context.relay.address
        others = names[1:]
        await run.system.publish_instances(run.http, without=others)

        async def known() -> bool:
            status = await run.status()
            live = [
                t["info"]
                for t in status["targets"]
                if t["info"]["pool"] == "sastre-llm"
                and not t["info"]["leaving"]
            ]
            return [t["address"] for t in live] == [context.relay.address]

        await run.system.eventually(known, "the relay's address")
        leader = await run.leader()
        # Kills the owner, so that the next one uses the relay's address, as
        # after a restart of the engine.
        status = await run.status()
        owner = next(
            t["owner"].partition("#")[0]
            for t in status["targets"]
            if t["info"]["id"] == names[0]
        )
        run.system.kill(owner)
        del leader
        await asyncio.sleep(3.0)
        context.long = await _begin_long_answer(run, False)

    run.run_sync(begin())
    context.stack.callback(
        lambda: run.run_sync(context.relay.__aexit__(None, None, None))
    )


@behave.when("the relay stops forwarding but keeps connections open")
def cut_relay(context) -> None:
    context.relay.cut()


@behave.then("the caller gets a typed error within {seconds:d} seconds")
def typed_in_time(context, seconds: int) -> None:
    run = context.run

    async def wait() -> bench.Result:
        return await asyncio.wait_for(context.long["task"], seconds)

    result = run.run_sync(wait())
    assert result.code, result
    wanted = standins.expected_text("adapter-0@v1", "long", LONG_TOKENS)
    assert wanted.startswith(result.text)


@behave.then("curl gets a streamed answer with its end mark")
def by_curl(context) -> None:
    assert shutil.which("curl"), "curl is not installed"
    address = context.run.system.addresses[0]
    body = {
        "model": "adapter-0",
        "prompt": "Hem a gown",
        "max_tokens": 5,
        "stream": True,
    }
    done = subprocess.run(
        [
            "curl",
            "-sN",
            f"http://{address}/v1/completions",
            "-H",
            "Authorization: Bearer tahi-token",
            "-H",
            "Content-Type: application/json",
            "-d",
            json.dumps(body),
        ],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.stdout.strip().endswith("data: [DONE]"), done.stdout


GOOD = {"model": "adapter-0", "prompt": "x", "max_tokens": 2}
RUN_PATH = "/v1/completions"


def _bad_requests() -> dict[str, tuple[str, str, bytes | None, dict]]:
    """Return method, path, body and headers by the request's name."""
    tahi = {"Authorization": "Bearer tahi-token"}
    lakeshore = {"Authorization": "Bearer lakeshore-token"}
    ops = {"Authorization": f"Bearer {operator_token()}"}

    def run(headers=tahi, **changes) -> tuple:
        body = json.dumps(GOOD | changes).encode()
        return ("POST", RUN_PATH, body, headers)

    service = "/v1/services/tahi-app/pickups/1"
    entry = "/admin/v1/entries/adapter/"
    adapter = {
        "owner": "tahi",
        "pool": "sastre-llm",
        "versions": {"v1": "w"},
        "default_version": "v1",
    }
    good_entry = json.dumps(adapter).encode()
    return {
        "no token": run({}),
        "wrong token": run({"Authorization": "Bearer nobody"}),
        "not JSON": ("POST", RUN_PATH, b"{nope", tahi),
        "unknown adapter": run(model="nothing"),
        "unknown version": run(model="adapter-0@v9"),
        "other member": run(lakeshore),
        "huge body": run(prompt="x" * 5_000_000),
        "zero tokens": run(max_tokens=0),
        "bad deadline": run(tahi | {"X-Deadline-Ms": "soon"}),
        "bad priority": run(tahi | {"X-Priority": "urgent"}),
        "bad resume": run(tahi | {"Last-Event-ID": "a~b~c~lakeshore:1~0"}),
        "other model's resume": run(
            tahi | {"Last-Event-ID": "runner-0~x~adapter-2@v1~tahi:1~0"}
        ),
        "unknown route": ("GET", "/nothing", None, tahi),
        "peer route": ("POST", "/peer/v1/heartbeat", b"{}", tahi),
        "admin as caller": ("GET", "/admin/v1/status", None, tahi),
        "no key": ("POST", service, b"{}", tahi),
        "bad key": ("POST", service, b"{}", tahi | {"Idempotency-Key": "k"}),
        "bad entry": ("PUT", entry + "a1", b'{"owner": 1}', ops),
        "bad entry id": ("PUT", entry + "a%20b", good_entry, ops),
        "stale revision": (
            "PUT",
            entry + "adapter-0",
            good_entry,
            ops | {"If-Match": '"1"'},
        ),
    }


def operator_token() -> str:
    """Return the operator token of the system of processes."""
    return "demo-operator-token"


@behave.then("these requests get these codes")
def typed_codes(context) -> None:
    requests = _bad_requests()
    address = context.run.system.addresses[0]
    wrong = []
    for row in context.table:
        method, path, body, headers = requests[row["request"]]
        request = wire.HttpRequest(
            f"http://{address}{path}", method, body, headers
        )
        reply = context.run.run_sync(context.run.http.fetch(request))
        code = json.loads(reply.body).get("error", {}).get("code")
        if code is None:
            code = json.loads(reply.body).get("code")
        if (str(reply.status), code) != (row["status"], row["code"]):
            wrong.append((row["request"], reply.status, code))
    assert not wrong, wrong


# The daemons of these tests accept bodies of up to 4 MiB.
OVER_LIMIT_BYTES = 5 * 1024 * 1024
OVER_TWICE_BYTES = 9 * 1024 * 1024
PIECE = b"x" * 65536
# Longer than a server that responds early takes to close the connection.
SEND_PAUSE_S = 0.3
BODY_BY_NAME = {
    "declared over the limit": (RUN_PATH, OVER_LIMIT_BYTES, False),
    "declared over twice that": (RUN_PATH, OVER_TWICE_BYTES, False),
    "chunked over the limit": (RUN_PATH, OVER_LIMIT_BYTES, True),
    "chunked over twice that": (RUN_PATH, OVER_TWICE_BYTES, True),
    "declared on no route": ("/nothing", OVER_LIMIT_BYTES // 2, False),
}


async def _send_slowly(
    address: str, path: str, size: int, chunked: bool
) -> bytes:
    """Send a body with pauses; return the status line of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    length = (
        "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    )
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{length}\r\n\r\n"
    writer.write(head.encode())
    try:
        for sent in range(0, size, len(PIECE)):
            piece = PIECE[: size - sent]
            framed = b"%x\r\n%s\r\n" % (len(piece), piece)
            writer.write(framed if chunked else piece)
            await writer.drain()
            if sent in (0, size // 2 // len(PIECE) * len(PIECE)):
                await asyncio.sleep(SEND_PAUSE_S)
        if chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return await asyncio.wait_for(reader.readline(), 10)
    finally:
        writer.transport.abort()


@behave.then("slow callers of these bodies get these answers")
def slow_bodies(context) -> None:
    wrong = []
    address = context.run.system.addresses[0]
    for row in context.table:
        sending = _send_slowly(address, *BODY_BY_NAME[row["body"]])
        try:
            line = context.run.run_sync(sending).decode()
        except OSError as error:
            line = str(error)
        if f" {row['status']} " not in line:
            wrong.append((row["body"], line))
    assert not wrong, wrong


@behave.then("a caller leaves its request incomplete")
def leave_incomplete(context) -> None:
    host, _, port = context.run.system.addresses[0].rpartition(":")

    async def send_part() -> None:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 100\r\n\r\n{"
        )
        await writer.drain()
        context.stack.callback(writer.transport.abort)

    context.run.run_sync(send_part())


@behave.then("a valid request of another caller is answered")
def valid_answered(context) -> None:
    result = context.run.run_sync(
        context.run.client.complete("adapter-0", "x", 3)
    )
    assert not result.code, result
