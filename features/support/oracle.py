"""Records the events of a simulation and checks its invariants."""

import asyncio
import collections
import dataclasses
import typing

from bergamotsail import catalogue
from bergamotsail import routing
from bergamotsail import standins
from bergamotsail import wire

if typing.TYPE_CHECKING:
    from features.support import world as world_lib

CHECK_INTERVAL_S = 0.2
# A daemon that holds a lease must apply a change within this time.
MAX_PROPAGATION_S = 8.0
# A target that leaves must get no new runs after this time.
MAX_LEAVING_NOTICE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedCompletion:
    """A completion that a caller requested."""

    model: str
    prompt: str
    tokens: int


@dataclasses.dataclass(slots=True, eq=False)
class Answer:
    """The answer that a caller received.

    Args:
        whole: the last part received carried the end mark.
        left: the caller disconnected by itself.
        may_have_run: the first attempt ended with a lost connection, so
            its request may have run.
    """

    asked: RequestedCompletion
    parts: list[str] = dataclasses.field(default_factory=list)
    adapter: str = ""
    whole: bool = False
    left: bool = False
    error: wire.ServingError | None = None
    resume: routing.ResumePoint | None = None
    may_have_run: bool = False

    @property
    def text(self) -> str:
        """The text that the caller has received."""
        return "".join(self.parts)


@dataclasses.dataclass(slots=True, eq=False)
class Booking:
    """A non-idempotent call with the outcomes of all its attempts."""

    member: str
    key: str
    outcomes: list[tuple[routing.ServiceResult | None, str]] = (
        dataclasses.field(default_factory=list)
    )
    errors: list[wire.ServingError | None] = dataclasses.field(
        default_factory=list
    )

    def add(
        self,
        result: routing.ServiceResult | None,
        error: wire.ServingError | None,
    ) -> None:
        """Record the outcome of one attempt."""
        self.errors.append(error)
        ran = "" if error is None else str(error.ran)
        self.outcomes.append((result, ran))


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgedChange:
    """A change that was acknowledged to an operator."""

    at: float
    kind: str
    id: str
    revision: int
    deleted: bool


class Oracle:
    """Records what callers and operators see; collects violations."""

    def __init__(self, world: "world_lib.SimulatedCluster") -> None:
        self.world = world
        self.faults: list[str] = []
        self.answers: list[Answer] = []
        self.bookings: list[Booking] = []
        self.changes: list[AcknowledgedChange] = []
        self.background: set[asyncio.Task] = set()
        self.operations: dict[str, catalogue.PutReply] = {}
        self.left_at: dict[str, float] = {}
        self._index_by_boot: dict[str, int] = {}
        self._highest_revision: dict[tuple[str, str], int] = {}
        self._epoch_by_target: dict[str, int] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start checking periodically."""
        self._task = asyncio.create_task(self._check_periodically())

    def stop(self) -> None:
        """Stop checking periodically."""
        if self._task is not None:
            self._task.cancel()

    # Recording.

    def record_request(self, answer: Answer) -> None:
        """Record the request of a caller."""
        self.answers.append(answer)

    def record_answer(self, answer: Answer) -> None:
        """Check the answer of a request that has ended."""
        asked = answer.asked
        if answer.error is not None or answer.left:
            return
        self._check(
            answer.whole, "exact", f"{asked}: truncated answer without error"
        )
        wanted = asked.model if "@" in asked.model else f"{asked.model}@v1"
        expected = standins.expected_text(wanted, asked.prompt, asked.tokens)
        self._check(
            answer.adapter == wanted,
            "exact",
            f"{asked}: answered by {answer.adapter}",
        )
        self._check(
            answer.text == expected, "own_answer", f"{asked}: unexpected text"
        )

    def record_booking(self, booking: Booking) -> None:
        """Record a non-idempotent call."""
        self.bookings.append(booking)

    def record_change(
        self, put: catalogue.Put, reply: catalogue.PutReply
    ) -> None:
        """Record and check the reply to a change."""
        known = self.operations.setdefault(put.operation_id, reply)
        self._check(
            known == reply, "changes", f"{put.operation_id}: replies differ"
        )
        if reply.conflict is not None or known is not reply:
            return
        now = asyncio.get_running_loop().time()
        deleted = put.value is None
        revision = reply.revision
        self.changes.append(
            AcknowledgedChange(now, str(put.kind), put.id, revision, deleted)
        )

    def record_kill(self, entry: "world_lib.EntryInstance") -> None:
        """Do nothing: no check depends on kills."""

    # Checking.

    def _check(self, holds: bool, guarantee: str, what: str) -> None:
        if not holds:
            fault = f"{guarantee}: {what}"
            if fault not in self.faults:
                self.faults.append(fault)

    async def _check_periodically(self) -> None:
        while True:
            self.check_now()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check_now(self) -> None:
        """Check the invariants that hold at any time."""
        fresh = [
            entry
            for entry in self.world.entries
            if entry.up and not entry.frozen and entry.daemon.session.fresh()
        ]
        self._check_changes(fresh)
        self._check_owners(fresh)
        self._check_limits()
        self._check_evictions()

    def _check_changes(self, fresh: list["world_lib.EntryInstance"]) -> None:
        now = asyncio.get_running_loop().time()
        for entry in fresh:
            view = entry.daemon.session.view
            boot = entry.daemon.session.boot
            before = self._index_by_boot.get(boot, 0)
            self._check(
                view.index >= before, "changes", f"{boot}: index decreased"
            )
            self._index_by_boot[boot] = view.index
            for change in self.changes:
                if now - change.at > MAX_PROPAGATION_S:
                    self._check_applied(entry.name, view, change)

    def _check_applied(
        self, name: str, view: catalogue.View, change: AcknowledgedChange
    ) -> None:
        what = f"{change.kind} {change.id} at {change.revision}, {name}"
        if change.deleted:
            return
        latest = max(
            c.revision
            for c in self.changes
            if (c.kind, c.id) == (change.kind, change.id)
        )
        if latest > change.revision:
            return
        if any(
            c.deleted and (c.kind, c.id) == (change.kind, change.id)
            for c in self.changes
        ):
            return
        by_id = view.by_kind[catalogue.Kind(change.kind)]
        catalogue_entry = by_id.get(change.id)
        revision = (
            catalogue_entry.revision if catalogue_entry is not None else 0
        )
        self._check(
            revision >= change.revision,
            "changes",
            f"{what}: still at revision {revision}",
        )

    def _check_owners(self, fresh: list["world_lib.EntryInstance"]) -> None:
        owners: dict[str, list[str]] = collections.defaultdict(list)
        for entry in fresh:
            for target, owner in entry.daemon.owners.by_target.items():
                if owner.may_order():
                    owners[target].append(entry.name)
        for target, names in owners.items():
            self._check(
                len(names) == 1, "ownership", f"{target} owned by {names}"
            )

    def _check_limits(self) -> None:
        """Check that no member exceeds its limit across all daemons."""
        limit = self.world.settings.member_concurrency
        if limit is None:
            return
        used: collections.Counter = collections.Counter()
        for entry in self.world.entries:
            if entry.up:
                used.update(entry.daemon.admission.used_by_key())
        for key, amount in used.items():
            if key.startswith("concurrency/member/"):
                self._check(
                    amount <= limit, "limits", f"{key}: {amount} > {limit}"
                )

    def _check_evictions(self) -> None:
        for address, engine in self.world.engine_by_address.items():
            self._check(
                not engine.evicted_while_serving,
                "pinned",
                f"{address}: evicted {engine.evicted_while_serving}",
            )
            self._check(
                not engine.stale_orders_taken,
                "ownership",
                f"{address}: executed an order with an old fencing token",
            )

    def check_at_end(self) -> list[str]:
        """Check all invariants, also those that need the final state.

        Returns:
            Violations, each prefixed with the name of its guarantee.
        """
        self.check_now()
        prompts = set()
        for engine in self.world.engine_by_address.values():
            prompts |= engine.prompts_run
        for answer in self.answers:
            error = answer.error
            if answer.may_have_run or error is None:
                continue
            if error.ran is wire.RunStatus.NOT_RUN:
                self._check(
                    answer.asked.prompt not in prompts,
                    "not_run",
                    f"{answer.asked}: ran, but {error.code} reports not run",
                )
        self._check_bookings()
        self._check_leaving()
        return self.faults

    def _check_bookings(self) -> None:
        count_by_key: collections.Counter = collections.Counter()
        for service in self.world.service_by_address.values():
            count_by_key.update(service.count_by_key)
        outcomes = collections.defaultdict(list)
        for booking in self.bookings:
            outcomes[booking.key].extend(booking.outcomes)
        for key, seen in outcomes.items():
            count = count_by_key[key]
            self._check(
                count <= 1, "at_most_once", f"{key}: ran {count} times"
            )
            done = any(result is not None for result, _ in seen)
            if done:
                self._check(
                    count == 1,
                    "at_most_once",
                    f"{key}: answered, but ran {count} times",
                )
            only_not_run = seen and all(ran == "not_run" for _, ran in seen)
            if only_not_run:
                self._check(
                    count == 0,
                    "not_run",
                    f"{key}: ran, but every outcome was not run",
                )
            bodies = {r.body for r, _ in seen if r is not None}
            self._check(
                len(bodies) <= 1, "at_most_once", f"{key}: answers differ"
            )

    def _check_leaving(self) -> None:
        addresses = list(self.world.engine_by_address)
        for name, left_at in self.left_at.items():
            if not name.startswith("runner-"):
                continue
            address = addresses[int(name.partition("-")[2])]
            engine = self.world.engine_by_address[address]
            late = [
                at
                for at in engine.run_times
                if at > left_at + MAX_LEAVING_NOTICE_S
            ]
            self._check(
                not late, "leaving", f"{name}: {len(late)} runs after leaving"
            )
