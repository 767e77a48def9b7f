"""Simulates a whole cluster in one process and in virtual time.

The daemons are real; the disks, the network and the targets are in-memory
fakes behind the daemons' interfaces. Faults can be injected at the steps
that wire.Step names.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import json
import random
import signal

import looptime

from bergamotsail import catalogue
from bergamotsail import daemon as daemon_lib
from bergamotsail import routing
from bergamotsail import settings as settings_lib
from bergamotsail import standins
from bergamotsail import targets
from bergamotsail import wire
from features.support import oracle

WALL_START_S = 1_800_000_000.0
# Limits processor time: real time also depends on other processes.
MAX_PROCESSOR_S = 45
# Limits real time: a coroutine that waits for ever uses no processor time.
MAX_REAL_S = 900
OPERATOR = "ops"
DATACENTRES = ("mnl-a", "mnl-b", "mnl-c")
PEER_TOKEN = "peer-token-0123456789"
MEMBERS = ("tahi", "lakeshore")

Action = collections.abc.Callable[
    ["EntryInstance"], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Sizes and settings of a simulated cluster.

    Args:
        load_s: time to load an adapter into an engine.
        daemon: settings that replace the defaults of every daemon.
    """

    seed: int = 1
    daemons: int = 5
    replicas: int = 3
    engines: int = 2
    services: int = 2
    adapters: int = 8
    checks_fencing: bool = True
    engine: standins.EngineSettings = standins.EngineSettings(
        adapter_slots=3, batch_slots=4, step_s=0.02
    )
    load_s: float = 0.15
    member_concurrency: int | None = 40
    daemon: dict = dataclasses.field(default_factory=dict)


class ScheduledFaultInjector(wire.FaultInjector):
    """Runs a scheduled action when its step is first reached."""

    def __init__(self, entry: "EntryInstance") -> None:
        self._entry = entry

    async def reach(self, step: wire.Step, phase: wire.Phase) -> None:
        world = self._entry.world
        world.reached[(step, phase)] += 1
        action = world.action_by_step.pop((step, phase), None)
        if action is not None:
            world.injected.append((step, phase, self._entry.name))
            await action(self._entry)


class EntryInstance:
    """An entry instance: its address, its disk and its daemon process."""

    def __init__(self, world: "SimulatedCluster", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"entry-{number}"
        self.address = f"10.0.0.{number + 1}:7000"
        self.disk: standins.MemoryDisk | None = None
        if number < world.settings.replicas:
            self.disk = standins.MemoryDisk(world.rng)
        self.daemon: daemon_lib.Daemon | None = None
        self.host: standins.Host | None = None
        self.link_by_address: dict[str, standins.Link] = {}
        self.frozen = False
        self.tasks: set[asyncio.Task] = set()

    @property
    def up(self) -> bool:
        """Whether its process is running."""
        return self.host is not None and not self.host.dead

    def link_to(self, address: str) -> standins.Link:
        """Return this process's link to a target."""
        if address not in self.link_by_address:
            link = standins.Link()
            self.link_by_address[address] = link
            if self.frozen:
                link.awake.clear()
            self.world.links[(self.name, address)].append(link)
        return self.link_by_address[address]

    @property
    def links(self) -> list[standins.Link]:
        """This process's links to targets."""
        return list(self.link_by_address.values())


class SimulatedCluster:
    """A cluster of daemons, fakes and an oracle; an async context manager."""

    def __init__(self, settings: ClusterSettings = ClusterSettings()) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.network = standins.MemoryNetwork(self.rng)
        self.oracle = oracle.Oracle(self)
        self.action_by_step: dict[tuple[wire.Step, wire.Phase], Action] = {}
        self.injected: list[tuple[wire.Step, wire.Phase, str]] = []
        self.reached: collections.Counter = collections.Counter()
        self.links: dict[tuple[str, str], list[standins.Link]] = (
            collections.defaultdict(list)
        )
        self.store = standins.WeightStoreStandIn(settings.load_s)
        self.engine_by_address: dict[str, standins.EngineStandIn] = {}
        self.service_by_address: dict[str, standins.ServiceStandIn] = {}
        self.instances = standins.InstanceListStandIn(0.5)
        self.list_link = standins.Link()
        self.leaving: set[str] = set()
        self.missing: set[str] = set()
        self.entries = [
            EntryInstance(self, n) for n in range(settings.daemons)
        ]
        self.entry_by_name = {entry.name: entry for entry in self.entries}
        self._stack = contextlib.AsyncExitStack()
        self._operations = 0
        self._requests = 0

    async def __aenter__(self) -> "SimulatedCluster":
        for number in range(self.settings.engines):
            engine = standins.EngineStandIn(self.settings.engine, self.store)
            await self._stack.enter_async_context(engine)
            self.engine_by_address[f"10.1.0.{number + 1}:8000"] = engine
        for number in range(self.settings.services):
            service = standins.ServiceStandIn(0.02)
            self.service_by_address[f"10.2.0.{number + 1}:8000"] = service
        self.publish()
        for entry in self.entries:
            await self.start(entry)
        await self.entry(0).daemon.node.form()
        await self.wait_until(self.all_fresh, 20)
        await self._create_entries()
        newest = max(change.revision for change in self.oracle.changes)
        await self.wait_until(lambda: self.all_applied(newest), 10)
        # A new leader grants no shares before earlier leases have expired.
        await asyncio.sleep(4.0)
        self.oracle.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.oracle.stop()
        for entry in self.entries:
            if entry.up:
                await self.kill(entry)
        await self._stack.aclose()

    # Starting and stopping.

    def entry(self, number: int) -> EntryInstance:
        """Return an entry instance by number."""
        return self.entries[number]

    def daemon_settings(
        self, entry: EntryInstance
    ) -> settings_lib.DaemonSettings:
        """Return the settings of an instance's daemon."""
        replicas = [p.address for p in self.entries if p.disk is not None]
        values = {
            "name": entry.name,
            "address": entry.address,
            "datacentre": DATACENTRES[entry.number % 3],
            "replicas": replicas,
            "instance_list": "http://list",
            "peer_token": PEER_TOKEN,
            "operator_tokens": {},
            "answer_keep_s": 2.0,
            "consensus": {"snapshot_entries": 60},
        }
        if entry.disk is not None:
            values["data_folder"] = "data"
        values |= self.settings.daemon
        return settings_lib.parse(json.dumps(values))

    async def start(self, entry: EntryInstance) -> None:
        """Start the process of an instance."""
        if entry.disk is not None:
            entry.disk.start_again()
        entry.frozen = False
        entry.link_by_address.clear()
        dependencies = daemon_lib.Dependencies(
            standins.MemoryTransport(self.network, entry.address),
            lambda address: self._engine_for(entry, address),
            lambda address: self._service_for(entry, address),
            standins.MemoryInstanceList(self.instances, self.list_link),
            entry.disk,
            random.Random(self.rng.random()),
            steps=ScheduledFaultInjector(entry),
            wall_s=self.wall_s,
        )
        daemon = daemon_lib.Daemon(self.daemon_settings(entry), dependencies)
        entry.host = self.network.join(entry.address, daemon.server)
        entry.daemon = daemon
        await daemon.__aenter__()

    async def kill(self, entry: EntryInstance) -> None:
        """Kill a process and cancel its tasks."""
        if not entry.up:
            return
        self.oracle.record_kill(entry)
        self.network.kill(entry.address)
        for link in entry.links:
            link.awake.clear()
        if entry.disk is not None:
            entry.disk.crash()
        for task in list(entry.tasks):
            task.cancel()
        await entry.daemon.__aexit__(None, None, None)

    async def kill_within_step(self, entry: EntryInstance) -> None:
        """Kill a process from within one of its own steps; never returns."""
        ending = asyncio.create_task(self.kill(entry))
        self.oracle.background.add(ending)
        await asyncio.Event().wait()

    async def restart(self, entry: EntryInstance) -> None:
        """Kill a process if it is running, then start it."""
        await self.kill(entry)
        await self.start(entry)

    def freeze(self, entry: EntryInstance) -> None:
        """Suspend a process; timers that expire meanwhile fire late."""
        entry.frozen = True
        entry.host.awake.clear()
        for link in entry.links:
            link.awake.clear()

    def wake(self, entry: EntryInstance) -> None:
        """Resume a frozen process."""
        entry.frozen = False
        if entry.up:
            entry.host.awake.set()
            for link in entry.links:
                link.awake.set()

    def leader(self) -> EntryInstance | None:
        """Return the running leader that holds a leader lease, if any."""
        for entry in self.entries:
            if entry.up and not entry.frozen and entry.daemon.node:
                if entry.daemon.node.holds_lease():
                    return entry
        return None

    async def heal(self) -> None:
        """End all faults and wait until every daemon holds a lease."""
        self.action_by_step.clear()
        self.network.heal()
        self.store.fault = None
        self.instances.fault = None
        self.list_link.cut = False
        for links in self.links.values():
            for link in links:
                link.cut = False
                link.lose_replies = False
                link.delay_s = 0.0005
        for engine in self.engine_by_address.values():
            engine.load_fault = None
            engine.load_hang_s = 0.0
        for entry in self.entries:
            if entry.disk is not None:
                # The fault may be set on a disk that was not written to yet.
                entry.disk.fail_syncs = False
                entry.disk.full = False
            node = entry.daemon.node if entry.daemon else None
            failed = node is not None and node.error is not None
            if entry.frozen:
                self.wake(entry)
            if not entry.up or failed:
                await self.restart(entry)
        await self.wait_until(self.all_fresh, 60)

    def all_fresh(self) -> bool:
        """Whether every daemon is running and holds a lease."""
        return all(
            entry.up and entry.daemon.session.fresh() for entry in self.entries
        )

    def all_applied(self, index: int) -> bool:
        """Whether every daemon has applied the log up to an index."""
        return all(
            entry.up and entry.daemon.session.view.index >= index
            for entry in self.entries
        )

    async def wait_until(
        self, check: collections.abc.Callable[[], bool], timeout_s: float
    ) -> None:
        """Wait in virtual time until a condition holds.

        Raises:
            AssertionError: it does not hold after timeout_s.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not check():
            if loop.time() > deadline:
                raise AssertionError(
                    f"{getattr(check, '__name__', 'condition')} does not hold "
                    f"after {timeout_s} s; injected faults: {self.injected}"
                )
            await asyncio.sleep(0.05)

    # The instance list, targets and the clock.

    def publish(self) -> None:
        """Update the instance list with the leaving and missing targets."""
        listed = []
        for kind, pool, addresses in (
            ("runner", "sastre-llm", self.engine_by_address),
            ("app", "booking", self.service_by_address),
        ):
            for number, address in enumerate(addresses):
                name = f"{kind}-{number}"
                state = targets.InstanceState.LIVE
                if name in self.leaving:
                    state = targets.InstanceState.LEAVING
                if name not in self.missing:
                    listed.append(
                        targets.Instance(
                            name, pool, address, DATACENTRES[number % 3], state
                        )
                    )
        self.instances.set(tuple(listed))

    def engine(self, number: int) -> standins.EngineStandIn:
        """Return an engine by number."""
        return list(self.engine_by_address.values())[number]

    def _engine_for(
        self, entry: EntryInstance, address: str
    ) -> targets.Engine:
        engine = self.engine_by_address[address]
        return standins.MemoryEngine(engine, entry.link_to(address))

    def _service_for(
        self, entry: EntryInstance, address: str
    ) -> targets.Service:
        service = self.service_by_address[address]
        return standins.MemoryService(service, entry.link_to(address))

    def wall_s(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return WALL_START_S + asyncio.get_running_loop().time()

    # Operators and callers.

    async def _create_entries(self) -> None:
        fencing = self.settings.checks_fencing
        limits = {"concurrency": self.settings.member_concurrency}
        await self.put(
            "pool",
            "sastre-llm",
            {"kind": "engine", "checks_fencing": fencing},
        )
        await self.put("pool", "booking", {"kind": "service"})
        for member in MEMBERS:
            token = catalogue.hash_token(f"{member}-token")
            value = {"token_sha256": token, "limits": limits}
            await self.put("member", member, value)
            service = {
                "owner": member,
                "pool": "booking",
                "non_idempotent": [
                    {"method": "POST", "path_prefix": "/pickups"}
                ],
            }
            await self.put("service", f"{member}-app", service)
        for number in range(self.settings.adapters):
            await self.put(
                "adapter",
                f"adapter-{number}",
                adapter_value(MEMBERS[number % 2]),
            )

    async def put(
        self,
        kind: str,
        entry_id: str,
        value: dict | None,
        at: EntryInstance | None = None,
        if_revision: int | None = None,
        operation_id: str | None = None,
        tries: int = 30,
    ) -> catalogue.PutReply | None:
        """Change an entry as an operator who resends on errors.

        Args:
            tries: the number of attempts before it returns None.
        """
        self._operations += 1
        entry = at or self.entries[0]
        put = catalogue.Put(
            catalogue.Kind(kind),
            entry_id,
            None if value is None else json.dumps(value),
            operation_id or f"operation-{self._operations}",
            OPERATOR,
            if_revision,
        )
        for _ in range(tries):
            if not entry.up:
                entry = self._any_up() or entry
            try:
                reply = await self._in_process(
                    entry,
                    entry.daemon.leader.command(catalogue.Command(put=put)),
                )
            except wire.ServingError:
                await asyncio.sleep(0.2)
                entry = self._any_up() or entry
                continue
            self.oracle.record_change(put, reply)
            return reply
        return None

    def _any_up(self) -> EntryInstance | None:
        up = [p for p in self.entries if p.up and not p.frozen]
        return self.rng.choice(up) if up else None

    async def _in_process(
        self, entry: EntryInstance, work: collections.abc.Coroutine
    ) -> object:
        """Run work inside a process, so that killing it cancels the work.

        Raises:
            wire.PeerLostError: the process was killed.
        """
        task = asyncio.create_task(work)
        entry.tasks.add(task)
        task.add_done_callback(entry.tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                task.cancel()
                raise
            raise wire.PeerLostError("The instance was lost.") from None

    async def complete(
        self,
        adapter: int,
        at: EntryInstance,
        tokens: int = 5,
        deadline_s: float = 20.0,
        version: str | None = None,
        leave_after: int | None = None,
        reconnect: bool = True,
    ) -> oracle.Answer:
        """Request a completion; reconnect once if the instance is lost.

        Args:
            leave_after: disconnect after this number of parts.
        """
        self._requests += 1
        prompt = f"prompt {self._requests}"
        model = f"adapter-{adapter}"
        if version is not None:
            model = f"{model}@{version}"
        asked = oracle.RequestedCompletion(model, prompt, tokens)
        answer = oracle.Answer(asked)
        member = MEMBERS[adapter % 2]
        self.oracle.record_request(answer)
        resume: routing.ResumePoint | None = None
        for attempt in range(2):
            request = routing.Completion(
                f"request-{self._requests}",
                model,
                targets.Prompt(prompt, tokens),
                deadline_s,
                resume=resume,
            )
            work = self._read(at, member, request, answer, leave_after)
            try:
                await self._in_process(at, work)
                break
            except wire.ServingError as error:
                answer.error = error
                lost = isinstance(error, wire.PeerLostError)
                resume = answer.resume
                if attempt or not lost or not reconnect:
                    break
                answer.error = None
                answer.may_have_run = True
                at = self._any_up() or at
                if resume is None:
                    answer.parts.clear()
        self.oracle.record_answer(answer)
        return answer

    async def _read(
        self,
        entry: EntryInstance,
        member: str,
        request: routing.Completion,
        answer: oracle.Answer,
        leave_after: int | None,
    ) -> None:
        entry.daemon.check_accepting()
        parts = entry.daemon.completions.complete(
            routing.Caller(member), request
        )
        async with contextlib.aclosing(parts):
            async for part in parts:
                await entry.host.awake.wait()
                answer.parts.append(part.text)
                answer.adapter = part.adapter
                answer.resume = part.resume
                answer.whole = part.end
                if leave_after is not None:
                    if len(answer.parts) >= leave_after:
                        answer.left = True
                        return

    async def book(
        self,
        number: int,
        at: EntryInstance,
        key: str | None = None,
        resends: int = 0,
        deadline_s: float = 8.0,
    ) -> oracle.Booking:
        """Make a non-idempotent service call, resending it after errors."""
        member = MEMBERS[number % 2]
        key = key or f"{int(self.wall_s())}-{number}"
        booking = oracle.Booking(member, key)
        self.oracle.record_booking(booking)
        for _ in range(resends + 1):
            call = routing.ServiceCall(
                f"booking-{number}",
                f"{member}-app",
                "POST",
                f"/pickups/{number}",
                {"Idempotency-Key": key},
                b"{}",
                deadline_s,
                key,
            )
            try:
                result = await self._in_process(
                    at,
                    at.daemon.services.call(routing.Caller(member), call),
                )
                booking.add(result, None)
                break
            except wire.ServingError as error:
                booking.add(None, error)
                await asyncio.sleep(0.3)
                at = self._any_up() or at
        return booking


def adapter_value(
    owner: str, versions: tuple[str, ...] = ("v1", "v2")
) -> dict:
    """Return the value of an adapter entry."""
    return {
        "owner": owner,
        "pool": "sastre-llm",
        "versions": {v: f"store/{v}" for v in versions},
        "default_version": versions[0],
        "entry_class": "interactive",
    }


class TimeLimitError(Exception):
    """Work in virtual time that exceeds its time limit."""


def _raise_time_limit(*_: object) -> None:
    raise TimeLimitError(
        f"not done after {MAX_PROCESSOR_S} s of processor time or "
        f"{MAX_REAL_S} s of real time"
    )


def run_virtual(work: collections.abc.Coroutine) -> object:
    """Run a coroutine in virtual time on a new event loop.

    Raises:
        TimeLimitError: it exceeded its limit of processor time or real time.
    """
    signal.signal(signal.SIGALRM, _raise_time_limit)
    signal.signal(signal.SIGPROF, _raise_time_limit)
    signal.alarm(MAX_REAL_S)
    signal.setitimer(signal.ITIMER_PROF, MAX_PROCESSOR_S)
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        signal.alarm(0)
        signal.setitimer(signal.ITIMER_PROF, 0)
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(
                asyncio.gather(*pending, return_exceptions=True)
            )
        loop.close()
        asyncio.set_event_loop(None)
