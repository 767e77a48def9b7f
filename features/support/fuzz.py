"""Stateful fuzzing with hypothesis.

The whole system runs in virtual time: hypothesis draws a complete history
of commands, which then runs and is checked by the oracle. The catalogue,
the ledger and the storage are state machines that are compared with simple
models after each step.
"""

import asyncio
import collections
import dataclasses
import json
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import quorum
from bergamotsail import standins
from bergamotsail import wire
from features.support import matrix
from features.support import world as world_lib

FIXED_SEED = 1
ENTRY_NUMBERS = st.integers(0, 4)


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command of a history and the pause after it."""

    action: str
    entry: int
    number: int
    pause_s: float


CALLS = ("complete", "complete", "complete", "book", "book", "put", "leave")
FAULTS = (
    "kill",
    "start",
    "freeze",
    "wake",
    "cut",
    "cut_one_way",
    "heal",
    "lose_disk",
    "fail_sync",
    "tear",
    "engine_restart",
    "lose_replies",
    "fail_loads",
    "disorder_messages",
    "stop",
    "hand_over",
    "transfer",
)


def commands() -> st.SearchStrategy[Command]:
    """Return a strategy that draws one command."""
    return st.builds(
        Command,
        st.sampled_from(CALLS + CALLS + FAULTS),
        ENTRY_NUMBERS,
        st.integers(0, 7),
        st.sampled_from((0.0, 0.02, 0.2, 1.0)),
    )


class History:
    """Runs the commands of a history on a simulated cluster."""

    def __init__(self, world: world_lib.SimulatedCluster) -> None:
        self._world = world
        self._tasks: list[asyncio.Task] = []
        self._booked = 0

    async def run(self, history: list[Command]) -> list[str]:
        """Run all commands, end all faults and return the violations."""
        for command in history:
            await getattr(self, f"_{command.action}")(command)
            await asyncio.sleep(command.pause_s)
        await self._world.heal()
        await asyncio.gather(*self._tasks)
        await matrix.check_recovery(self._world)
        return self._world.oracle.check_at_end()

    def _spawn(self, work) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _entry(self, command: Command) -> world_lib.EntryInstance:
        return self._world.entry(command.entry)

    def _usable_instance(
        self, command: Command
    ) -> world_lib.EntryInstance | None:
        entry = self._entry(command)
        return entry if entry.up and not entry.frozen else None

    async def _complete(self, command: Command) -> None:
        entry = self._usable_instance(command)
        if entry is not None:
            self._spawn(self._world.complete(command.number, entry, 8))

    async def _leave(self, command: Command) -> None:
        entry = self._usable_instance(command)
        if entry is not None:
            self._spawn(
                self._world.complete(command.number, entry, 8, leave_after=2)
            )

    async def _book(self, command: Command) -> None:
        entry = self._usable_instance(command)
        self._booked += 1
        if entry is not None:
            self._spawn(self._world.book(self._booked, entry, resends=2))

    async def _put(self, command: Command) -> None:
        entry = self._usable_instance(command)
        owner = world_lib.MEMBERS[command.number % 2]
        value = world_lib.adapter_value(
            owner, ("v1", "v2", f"x{len(self._tasks)}")
        )
        name = f"adapter-{command.number}"
        if entry is not None:
            self._spawn(self._world.put("adapter", name, value, entry))

    async def _kill(self, command: Command) -> None:
        await self._world.kill(self._entry(command))

    async def _start(self, command: Command) -> None:
        if not self._entry(command).up:
            await self._world.start(self._entry(command))

    async def _freeze(self, command: Command) -> None:
        if self._entry(command).up:
            self._world.freeze(self._entry(command))

    async def _wake(self, command: Command) -> None:
        self._world.wake(self._entry(command))

    async def _cut(self, command: Command) -> None:
        self._world.network.isolate(self._entry(command).address)

    async def _cut_one_way(self, command: Command) -> None:
        address = self._entry(command).address
        self._world.network.isolate(address, both_ways=False)

    async def _heal(self, command: Command) -> None:
        self._world.network.heal()
        for links in self._world.links.values():
            for link in links:
                link.lose_replies = False

    async def _lose_disk(self, command: Command) -> None:
        entry = self._entry(command)
        if entry.disk is None:
            return
        if matrix.other_replicas_vote(self._world, entry):
            await self._world.kill(entry)
            entry.disk.lose()
            await self._world.start(entry)

    async def _fail_sync(self, command: Command) -> None:
        if self._entry(command).disk is not None:
            self._entry(command).disk.fail_syncs = True

    async def _tear(self, command: Command) -> None:
        entry = self._entry(command)
        if entry.disk is not None:
            entry.disk.tear = True
            await self._world.restart(entry)

    async def _engine_restart(self, command: Command) -> None:
        self._world.engine(command.number % 2).restart()

    async def _lose_replies(self, command: Command) -> None:
        for links in self._world.links.values():
            for link in links:
                link.lose_replies = True

    async def _fail_loads(self, command: Command) -> None:
        engine = self._world.engine(command.number % 2)
        engine.load_fault = wire.EngineError("The load failed.")

    async def _disorder_messages(self, command: Command) -> None:
        self._world.network.duplicate_probability = 0.3
        self._world.network.max_extra_delay_s = 0.2

    async def _stop(self, command: Command) -> None:
        self._spawn(matrix.stop_and_start(self._entry(command)))

    async def _hand_over(self, command: Command) -> None:
        owners = self._entry(command).daemon.owners
        if self._entry(command).up:
            owners.hand_over(list(owners.by_target))

    async def _transfer(self, command: Command) -> None:
        entry = self._world.leader()
        if entry is not None:
            self._spawn(self._transfer_leader(entry))

    async def _transfer_leader(self, entry: world_lib.EntryInstance) -> None:
        moving = asyncio.create_task(entry.daemon.node.transfer())
        await asyncio.wait([moving], timeout=3.0)
        moving.cancel()


async def _run_history(history: list[Command], seed: int) -> list[str]:
    settings = world_lib.ClusterSettings(seed=seed)
    async with (
        asyncio.timeout(600),
        world_lib.SimulatedCluster(settings) as world,
    ):
        return await History(world).run(history)


def _check_history(history: list[Command], seed: int) -> None:
    faults = world_lib.run_virtual(_run_history(history, seed))
    assert not faults, (seed, history, faults)


class CatalogueAgainstModel(stateful.RuleBasedStateMachine):
    """Compares the catalogue with dicts, with restarts from snapshots."""

    def __init__(self) -> None:
        super().__init__()
        self.machine = catalogue.CatalogueMachine()
        self.model: dict[str, tuple[int, str]] = {}
        self.replies: dict[str, catalogue.PutReply] = {}
        self.claims: dict[str, str] = {}
        self.epochs: dict[str, int] = {}
        self.index = 0
        self._apply(
            catalogue.Command(
                put=catalogue.Put(
                    catalogue.Kind.POOL, "p", '{"kind":"engine"}', "pool", "o"
                )
            )
        )

    def _apply(self, command: catalogue.Command) -> object:
        self.index += 1
        return self.machine.apply(self.index, wire.encode(command))

    @stateful.rule(
        number=st.integers(0, 3),
        revision=st.sampled_from((None, 0, "current", 99_999)),
        operation=st.integers(0, 12),
        weight=st.integers(-1, 3),
        delete=st.booleans(),
    )
    def put(self, number, revision, operation, weight, delete) -> None:
        """Set or delete a member, possibly resent or at an old revision."""
        name = f"member-{number}"
        current_revision = self.model.get(name, (0, ""))[0]
        wanted = current_revision if revision == "current" else revision
        token = catalogue.hash_token(f"{name}")
        value = json.dumps({"token_sha256": token, "weight": weight})
        put = catalogue.Put(
            catalogue.Kind.MEMBER,
            name,
            None if delete else value,
            f"operation-{operation}",
            "ops",
            wanted,
        )
        reply = self._apply(catalogue.Command(put=put))
        known = self.replies.get(put.operation_id)
        if known is not None:
            assert reply == known
            return
        self.replies[put.operation_id] = reply
        refused = (
            (wanted is not None and wanted != current_revision)
            or (not delete and weight <= 0)
            or (delete and not current_revision)
        )
        assert (reply.conflict is not None) == refused, (put, reply)
        if refused:
            assert reply.revision == current_revision
        elif delete:
            del self.model[name]
        else:
            self.model[name] = (self.index, value)

    @stateful.rule(key=st.integers(0, 3), attempt=st.integers(0, 3))
    def claim(self, key, attempt) -> None:
        """Claim an idempotency key for an attempt."""
        name = f"key-{key}"
        claim = catalogue.Claim("m", name, 10, "digest", f"attempt-{attempt}")
        reply = self._apply(catalogue.Command(claim=claim))
        holder = self.claims.setdefault(name, claim.attempt)
        won = reply.state is catalogue.ClaimState.WON
        assert won == (holder == claim.attempt)

    @stateful.rule(number=st.integers(0, 2), stale=st.booleans())
    def grant(self, number, stale) -> None:
        """Grant a target, possibly with an outdated epoch."""
        name = f"target-{number}"
        epoch = self.epochs.get(name, 0)
        after = epoch - 1 if stale else epoch
        grant = catalogue.Grant(name, "boot", after)
        done = self._apply(catalogue.Command(grant=grant))
        assert done == (not stale)
        if done:
            assert self.index > epoch
            self.epochs[name] = self.index

    @stateful.rule()
    def restart(self) -> None:
        """Restart from a snapshot."""
        lines = list(self.machine.snapshot())
        self.machine = catalogue.CatalogueMachine()
        self.machine.restore(self.index, lines)

    @stateful.invariant()
    def same_as_model(self) -> None:
        """Compare the view, and one rebuilt from effects, with the model."""
        members = self.machine.view.member_by_id
        shown = {name: entry.revision for name, entry in members.items()}
        assert shown == {
            n: revision for n, (revision, _) in self.model.items()
        }
        view = catalogue.View()
        for effect in self.machine.view.effects():
            view.apply(effect)
        assert view.by_kind == self.machine.view.by_kind
        owned = self.machine.view.ownership_by_target
        assert {n: o.epoch for n, o in owned.items()} == self.epochs


class LedgerAgainstLimit(stateful.RuleBasedStateMachine):
    """Checks that daemons stay within a limit despite lost messages."""

    LIMIT = 5
    KEY = "concurrency/member/m"

    def __init__(self) -> None:
        super().__init__()
        self.ledger = control.Ledger()
        self.held: collections.Counter = collections.Counter()
        self.used: collections.Counter = collections.Counter()
        self.silent: set[str] = set()

    @stateful.rule(
        daemon=st.integers(0, 4),
        wanted=st.integers(0, 8),
        lost=st.sampled_from(("no", "request", "reply")),
    )
    def heartbeat(self, daemon, wanted, lost) -> None:
        """Declare the share held and receive a grant; either may be lost."""
        boot = f"boot-{daemon}"
        if lost == "request":
            return
        self.silent.discard(boot)
        held = max(self.held[boot], self.used[boot])
        self.ledger.declare(boot, {self.KEY: held}, {self.KEY: wanted})
        share = self.ledger.grant(self.KEY, boot, self.LIMIT, True)
        if lost == "no":
            self.held[boot] = share

    @stateful.rule(daemon=st.integers(0, 4))
    def start_request(self, daemon) -> None:
        """Use one unit if the share allows it."""
        boot = f"boot-{daemon}"
        if self.used[boot] < self.held[boot]:
            self.used[boot] += 1

    @stateful.rule(daemon=st.integers(0, 4))
    def end_request(self, daemon) -> None:
        """Release one unit."""
        boot = f"boot-{daemon}"
        self.used[boot] = max(0, self.used[boot] - 1)

    @stateful.rule(daemon=st.integers(0, 4))
    def lease_ended(self, daemon) -> None:
        """End the lease of a daemon; its runs may continue."""
        boot = f"boot-{daemon}"
        if boot in self.silent:
            return
        self.silent.add(boot)
        self.held[boot] = 0
        self.ledger.lapse(boot, self.ledger.held(boot))

    @stateful.rule(daemon=st.integers(0, 4))
    def runs_ended(self, daemon) -> None:
        """End all runs of a silent daemon."""
        boot = f"boot-{daemon}"
        if boot in self.silent:
            self.used[boot] = 0
            self.ledger.drop(boot)

    @stateful.invariant()
    def within_limit(self) -> None:
        """Check that no more units are in use than the limit allows."""
        assert sum(self.used.values()) <= self.LIMIT


class StorageAgainstList(stateful.RuleBasedStateMachine):
    """Compares the log storage with lists across crashes.

    All synced entries must survive a crash in order. After them only a
    prefix of the appended but unsynced entries may be found.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.disk = standins.MemoryDisk(random.Random(1))
        self.disk.tear = True
        self.synced: list[quorum.Entry] = []
        self.pending: list[quorum.Entry] = []
        self.snapshot = 0
        self._open()

    def teardown(self) -> None:
        """Close the event loop."""
        self.loop.close()

    def _do(self, work):
        return self.loop.run_until_complete(work)

    def _open(self) -> None:
        self.storage = quorum.Storage(self.disk)
        loaded = self._do(self.storage.load())
        entries = loaded.entries
        assert entries[: len(self.synced)] == self.synced
        rest = entries[len(self.synced) :]
        assert rest == self.pending[: len(rest)]
        self.synced = entries
        self.pending = []

    def _next(self) -> int:
        return self.snapshot + len(self.synced) + len(self.pending) + 1

    @stateful.rule(count=st.integers(1, 4), size=st.integers(0, 200))
    def append(self, count, size) -> None:
        """Append entries without syncing them."""
        first = self._next()
        entries = [
            quorum.Entry(first + i, 1, quorum.EntryKind.COMMAND, bytes(size))
            for i in range(count)
        ]
        self._do(self.storage.append(entries))
        self.pending += entries

    @stateful.rule()
    def sync(self) -> None:
        """Sync the appended entries."""
        self._do(self.storage.sync())
        self.synced += self.pending
        self.pending = []

    @stateful.rule()
    def crash(self) -> None:
        """Crash, which may lose or tear unsynced writes, and reload."""
        self.disk.crash()
        self.disk.start_again()
        self._open()

    @stateful.rule(keep=st.integers(0, 5))
    def truncate(self, keep) -> None:
        """Truncate the log after an entry."""
        self.sync()
        self.synced = self.synced[:keep]
        self._do(self.storage.truncate_after(self.snapshot + len(self.synced)))


MACHINES = {
    "catalogue": CatalogueAgainstModel,
    "ledger": LedgerAgainstLimit,
    "storage": StorageAgainstList,
}


def run(
    machine: str, count: int, seed: int = FIXED_SEED, shrink: bool = True
) -> str | None:
    """Run random histories and return the first failure, if any.

    Args:
        machine: "system" or a key of MACHINES.
        count: number of histories.
        seed: the same seed draws the same histories.
        shrink: whether to reduce a failing history to a minimal one.
    """
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=count,
        stateful_step_count=40,
        deadline=None,
        database=None,
        derandomize=seed == FIXED_SEED,
        suppress_health_check=list(hypothesis.HealthCheck),
        print_blob=True,
        phases=phases,
    )
    try:
        if machine == "system":
            _fuzz_system(settings, seed)
        else:
            # hypothesis.seed() sets the seed on the class: use a subclass.
            kind = type(machine, (MACHINES[machine],), {})
            if seed != FIXED_SEED:
                kind = hypothesis.seed(seed)(kind)
            stateful.run_state_machine_as_test(kind, settings=settings)
    except Exception as error:
        notes = "\n".join(getattr(error, "__notes__", ()))
        return f"{error!r}\n{notes}"
    return None


def _fuzz_system(settings: hypothesis.settings, seed: int) -> None:
    @settings
    @hypothesis.given(
        st.lists(commands(), min_size=15, max_size=40), st.integers(0, 99)
    )
    def check(history: list[Command], seed: int) -> None:
        _check_history(history, seed)

    if seed != FIXED_SEED:
        check = hypothesis.seed(seed)(check)
    check()
