"""The scheduler that places requests on engines and orders adapter loads.

It is active on the leader of the replicated log, or on the holder of a group
of engines, and derives its fencing numbers from the term under which it is.
Entries ask it for a target and send the request directly to that engine; the
engine refuses a request for an adapter that it does not hold.
"""

import abc
import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import functools

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import limits
from bergamotsail import observe
from bergamotsail.placement import _counter
from bergamotsail.placement import _debits
from bergamotsail.placement import _decisions
from bergamotsail.placement import _engine_orders
from bergamotsail.placement import _engine_record
from bergamotsail.placement import _engine_table
from bergamotsail.placement import _leadership
from bergamotsail.placement import _pace
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _place_settings
from bergamotsail.placement import _recent_mean
from bergamotsail.placement import _reserved_loads
from bergamotsail.placement import _rights
from bergamotsail.placement import _tenure
from bergamotsail.placement import _waiting
from bergamotsail import targets
from bergamotsail import wire

# Interval of the periodic checks.
TICK_S = 0.05
# Event loop lag beyond which a call is shed. Place requests are shed first,
# since callers retry with a delay; a lost release is repaired by the next
# heartbeat.
PLACE_SHED_S = 0.12
RELEASE_SHED_S = 0.25
# A grant that is missing from its daemon's heartbeat is kept for this long.
USE_GRACE_S = 1.5
# Within about this time of a new term, every connected entry has found the
# new leader and reported its running requests.
USES_REPORTED_S = 1.0
COPY_NOTE_INTERVAL_S = 0.5
STATE_LOG_INTERVAL_S = 1.0
# Half-life of the use counts of adapters.
USES_HALF_LIFE_S = 10.0
SCHEDULE_DELAY_S = 0.002
# Time limit of one scheduling pass, so that the calls that keep the
# leadership are served in between.
SCHEDULE_SLICE_S = 0.015
# The leader grants about 250 requests a second, so more waiting requests
# can't be served before their deadlines. Further callers are told to retry.
MAX_WAITERS = 400
# Interval of decisions for requests without a load in progress while no engine
# that may serve them changes.
BLOCKED_RETRY_S = 0.2
# Number of adapters that could not use a slot that became free, after which no
# more are tried there before the next tick.
MAX_PASSED_OVER = 4
# Minimum delay before the next scheduling pass, as a multiple of the duration
# of the last one.
SCHEDULE_SPACING = 3.0
# How long requests may still be placed on a version after a newer one is set.
OLD_VERSION_S = 1.0
# Requests that have not begun on an old version this long after a newer one
# was set are placed again.
OLD_VERSION_QUEUE_S = 3.0
# Number of loads in transit to an engine up to which versions in use are
# replaced there. Such a load stays in transit until the runs have ended, so
# one place is left for other adapters.
MAX_LOADS_TO_REPLACE_BUSY = _decisions.MAX_CONCURRENT_LOADS - 1
RETRY_AFTER_S = 0.5
# Time constant of the mean wait for a place.
WAIT_WINDOW_S = 1.0

State = _engine_record.SlotState
Outcome = _place_messages.UseOutcome


class CopyRegistry(abc.ABC):
    """Persists outside this process which engines have copies of adapters."""

    @abc.abstractmethod
    def names(self, target: str) -> tuple[str, ...]:
        """Return the copies recorded for a target, the newest last."""

    @abc.abstractmethod
    async def note(self, note: catalogue.NoteCopies) -> None:
        """Record added copies and removed targets.

        Raises:
            ServingError: the note may not have been recorded.
        """


class Placer(control.UseTracker):
    """Places requests on engines and orders loads; an async context manager.

    Args:
        view: returns the current catalogue.
        make_engine: returns a client of the engine of a listed target.
        copy_registry: where copies are recorded for the next leader.
        holder_registry: where the processes that gave orders are recorded.
        tenure: decides when this process may give orders.
        budgets: what members spend of their budgets.
        streams: where streams began; grants are noted there.
        rates: limits of targets; grants are taken from them.
        debits: debits requests in place of *budgets*.
        group: id of the group of engines that it places requests on.
    """

    def __init__(
        self,
        leadership: _leadership.Leadership,
        view: collections.abc.Callable[[], catalogue.View],
        make_engine: collections.abc.Callable[
            [targets.Instance], targets.AdapterEngine
        ],
        policy: _place_policy.PlacePolicy,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
        copy_registry: CopyRegistry | None = None,
        settings: _place_settings.PlaceSettings = (
            _place_settings.PlaceSettings()
        ),
        holder_registry: _tenure.HolderRegistry = _tenure.NoHolderRegistry(),
        tenure: _tenure.Tenure | None = None,
        budgets: limits.LeaderBudgets | None = None,
        streams: control.StreamTable | None = None,
        rates: control.TargetRates | None = None,
        debits: _debits.Debits | None = None,
        group: str = "",
    ) -> None:
        self._rates = rates or control.TargetRates()
        # Targets with a limit at the last decision.
        self._limited: tuple[str, ...] = ()
        self._streams = streams or control.StreamTable(clock)
        self._debits = debits or _debits.LeaderDebits(
            leadership,
            view,
            budgets or limits.LeaderBudgets(),
            metrics,
            clock,
        )
        self._group = group
        self._wait_mean = _recent_mean.RecentMean(WAIT_WINDOW_S)
        self._settings = settings
        self._rights = _rights.OrderRights(
            leadership,
            tenure or _tenure.Tenure(lease_s=0.0, started_at=0.0),
            holder_registry,
            self._schedule_soon,
            clock,
        )
        self._uses = _counter.DecayingCounter(USES_HALF_LIFE_S)
        self._copy_registry = copy_registry
        self._leadership = leadership
        self._view = view
        self._make_engine = make_engine
        self._metrics = metrics
        self._clock = clock
        self._term = -1
        self._term_at = 0.0
        self._orders_by_target: dict[str, _engine_orders.EngineOrders] = {}
        self._engines = _engine_table.EngineTable()
        self._record_by_target = self._engines.record_by_target
        # Targets of running requests, by the daemon's boot id and request.
        self._target_by_request: dict[str, dict[str, str]] = {}
        self._decider = _decisions.Decider(
            self._engines, policy, settings, self._is_current
        )
        # Since the state was last logged: time in seconds spent to decide for
        # arriving requests, and in passes for waiting ones.
        self._arrivals_took_s = 0.0
        self._passes_took_s = 0.0
        self._waiters = _waiting.WaitingList()
        self._reserved_loads = _reserved_loads.ReservedLoads()
        self._store = _engine_orders.StoreLoadLock()
        self._background = wire.BackgroundTasks()
        self._removed_targets: set[str] = set()
        self._new_start_callback: (
            collections.abc.Callable[[str, int], None] | None
        ) = None
        # Number of incarnations of each engine in this term so far. It
        # offsets the fencing numbers of the next one.
        self._incarnation_count_by_name: collections.Counter[str] = (
            collections.Counter()
        )
        self._pace_by_pool: dict[str, _pace.PoolPace] = {}
        self._schedule_timer: asyncio.TimerHandle | None = None
        self._schedule_took_s = 0.0
        # Adapters whose requests wait without a load in progress, and when
        # the latest pass decided so.
        self._blocked: dict[_engine_record.AdapterName, float] = {}
        # Whether the next scheduling pass decides for all waiting requests;
        # otherwise for those that the changed targets may serve.
        self._all_due = True
        self._changed: set[str] = set()
        # Targets that had a slot for a further adapter when last looked at.
        self._with_free_slot: set[str] = set()
        # Adapters of the latest pass for all requests, highest rank first.
        self._ranked: tuple[_engine_record.AdapterName, ...] = ()
        # Adapters that the current scheduling pass has still to decide for.
        self._names_left: collections.deque[_engine_record.AdapterName] = (
            collections.deque()
        )

    async def __aenter__(self) -> "Placer":
        self.start()
        return self

    def start(self) -> None:
        """Start the background tasks, as entering the context does."""
        self._background.start(self._tick, self._note_copies)

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        self._rights.stop()
        self._reset()

    def daemons(self) -> tuple[str, ...]:
        """Return the boots of the daemons with grants."""
        return tuple(
            boot
            for boot, target_by_request in self._target_by_request.items()
            if target_by_request
        )

    def wait_s(self) -> float:
        """Return the mean wait of the last requests for a place."""
        return self._wait_mean.value(self._clock.now())

    # Calls from entries.

    async def on_place(
        self, request: _place_messages.PlaceRequest
    ) -> _place_messages.PlaceReply:
        """Return a target for a request, waiting for a load if needed."""
        self._check_leading()
        if request.releases is not None:
            self._apply_releases(request.releases)
        if len(self._waiters) >= MAX_WAITERS:
            raise wire.LoadShedError(
                "Too many requests are waiting for an engine. Try again.",
                retry_after_s=RETRY_AFTER_S,
            )
        self._check_software(request)
        await self._debits.take(request)
        self._check_leading()
        done = asyncio.get_running_loop().create_future()
        arrived_at = self._clock.now() - request.waited_s
        waiter = _waiting.Waiter(request, arrived_at, done)
        self._waiters.add(waiter)
        began_at = self._clock.now()
        try:
            now = self._clock.now()
            granted = self._try_grant(waiter, now)
            self._arrivals_took_s += self._clock.now() - now
            if not granted:
                self._check_tenure(waiter)
                self._log_wait(waiter)
            return await self._wait(waiter)
        finally:
            self._waiters.discard(waiter)
            now = self._clock.now()
            self._wait_mean.add(now - began_at, now)

    def _check_software(self, request: _place_messages.PlaceRequest) -> None:
        """Refuse a request at once if no engine has the software it needs.

        Raises:
            NoCapacityError: there is none that accepts work.
        """
        if request.software is None or any(
            record.info.software == request.software
            and record.info.pool == request.pool
            and not record.leaving
            and (not record.known or request.model in record.models)
            and record.info.id not in request.avoid
            for record in self._record_by_target.values()
        ):
            return
        self._metrics.count("placements_refused", reason="no_software")
        observe.log_event(
            "place",
            "no_software",
            request=request.request,
            needed=request.software,
            avoid=request.avoid or None,
            term=self._term,
        )
        raise wire.NoCapacityError(
            "No engine runs the software version that began the stream. "
            "Start a new stream.",
            retry_after_s=RETRY_AFTER_S,
        )

    def _check_tenure(self, waiter: _waiting.Waiter) -> None:
        """Refuse a request at once if its load can't be ordered in time.

        While the state of an engine is unknown, the adapter may be resident
        there, so the request is not refused. Orders are usually allowed, so
        that is checked first and the engines are rarely scanned.
        """
        wait_s = self._rights.wait_s()
        if wait_s <= _max_wait_without_load_s(waiter.request):
            return
        known = all(record.known for record in self._usable(waiter))
        if not known or self._grant_expected(waiter):
            return
        self._metrics.count("placements_refused", reason="no_orders_yet")
        self._log_refusal(waiter)
        raise wire.NoCapacityError(
            "No adapter can be loaded yet because another instance was "
            "ordering loads a moment ago. Try again later.",
            retry_after_s=wait_s,
        )

    async def _wait(
        self, waiter: _waiting.Waiter
    ) -> _place_messages.PlaceReply:
        """Wait for a grant.

        Raises:
            NoCapacityError: ``hope_s`` passed, and no usable engine has the
                adapter or loads it.
            StillWaitingError: ``patience_s`` passed.
        """
        request = waiter.request
        hope_s = _max_wait_without_load_s(request)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(hope_s):
                return await asyncio.shield(waiter.done)
        if not self._grant_expected(waiter):
            self._metrics.count("placements_refused", reason="no_place")
            self._reserved_loads.count_refusal(waiter.name)
            self._log_refusal(waiter)
            raise wire.NoCapacityError(
                "No engine can take this request in time. Try again later.",
                retry_after_s=RETRY_AFTER_S,
            )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(request.patience_s - hope_s):
                return await waiter.done
        raise wire.StillWaitingError(
            "No engine has become available for this request yet. Try again.",
            retry_after_s=RETRY_AFTER_S,
        )

    def _grant_expected(self, waiter: _waiting.Waiter) -> bool:
        """Whether a request is granted or a usable engine has its adapter.

        The adapter may be resident, loading or in an unconfirmed state.
        """
        return waiter.done.done() or any(
            waiter.name in record.slot_by_name
            for record in self._usable(waiter)
        )

    def _log_wait(self, waiter: _waiting.Waiter) -> None:
        """Log that a request is waiting for a grant."""
        observe.log_event(
            "place",
            "wait",
            request=waiter.request.request,
            adapter="/".join(waiter.name),
            waiting=len(self._waiters),
            term=self._term,
        )

    def _log_refusal(self, waiter: _waiting.Waiter) -> None:
        """Log a refusal with the state of the engines at that time."""
        state_by_target = {
            target: str(record.slot_by_name[waiter.name].state)
            for target, record in self._record_by_target.items()
            if waiter.name in record.slot_by_name
        }
        usable = self._usable(waiter)
        observe.log_event(
            "place",
            "refuse",
            request=waiter.request.request,
            adapter="/".join(waiter.name),
            waited_s=round(self._clock.now() - waiter.arrived_at, 4),
            waiting=len(self._waiters),
            held_at=state_by_target,
            usable=len(usable),
            settled=sum(record.known for record in usable),
            avoid=waiter.request.avoid or None,
            orders_in_s=round(self._rights.wait_s(), 3),
            term=self._term,
        )

    async def on_release(
        self, request: _place_messages.ReleaseRequest
    ) -> _place_messages.Released:
        """Release ended requests and record how they ended."""
        self._check_leading()
        self._apply_releases(request)
        return _place_messages.Released()

    def _apply_releases(self, request: _place_messages.ReleaseRequest) -> None:
        for begun in request.begun:
            orders = self._orders_by_target.get(begun.target)
            if orders is not None:
                key = (request.boot, begun.request)
                orders.record.begin(key, begun.first_s, self._clock.now())
        for ended in request.ended:
            self._end_use(request.boot, ended)

    def _end_use(self, boot: str, ended: _place_messages.EndedUse) -> None:
        orders = self._orders_by_target.get(ended.target)
        if orders is None:
            return
        now = self._clock.now()
        grant = self._release(boot, ended.request, ended.target, now)
        if ended.outcome is Outcome.FAILED:
            orders.record.add_fault(now)
        elif grant is not None and orders.record.rejects_requests(grant.name):
            # The engine rejected the request because its adapter is being
            # replaced, which is no fault.
            return
        elif ended.outcome is Outcome.REFUSED:
            orders.record.add_fault(now, 0.5)
        elif ended.outcome is Outcome.ABSENT:
            if grant is not None:
                orders.record.drop_slot(grant.name)
            orders.reconcile()

    # Callbacks from the session coordinator.

    def take_uses(
        self, boot: str, uses: collections.abc.Sequence[control.Use]
    ) -> None:
        self._follow_term()
        now = self._clock.now()
        running = {(use.target, use.request) for use in uses}
        for request, target in list(self._requests_of(boot).items()):
            record = self._record_by_target.get(target)
            grant = None
            if record is not None:
                grant = record.grant_by_request.get((boot, request))
            if grant is None:
                del self._requests_of(boot)[request]
                continue
            old = now - grant.granted_at > USE_GRACE_S
            if old and (target, request) not in running:
                self._release(boot, request, target, now)
        for use in uses:
            record = self._record_by_target.get(use.target)
            key = (boot, use.request)
            if record is None or key in record.grant_by_request:
                continue
            name = (use.model, use.adapter)
            record.restore(
                _engine_record.Grant(boot, use.request, name, use.tokens, now)
            )
            self._move_request(boot, use.request, use.target, now)

    def _requests_of(self, boot: str) -> dict[str, str]:
        """Return a daemon's running requests and their targets."""
        return self._target_by_request.setdefault(boot, {})

    def _move_request(
        self, boot: str, request: str, target: str, now: float
    ) -> None:
        """Record the target of a request and release its previous one.

        An entry repeats its call when the reply was lost, and never releases
        the first grant. That grant would otherwise count for the rest of the
        term, with its prompt as unread, and the estimated backlog of the
        engine would grow without bound.
        """
        previous = self._requests_of(boot).get(request)
        if previous is not None and previous != target:
            self._release(boot, request, previous, now)
        self._requests_of(boot)[request] = target

    def _release(
        self, boot: str, request: str, target: str, now: float
    ) -> _engine_record.Grant | None:
        """Release a request's grant and return it, if there was one."""
        self._requests_of(boot).pop(request, None)
        record = self._record_by_target.get(target)
        if record is None:
            return None
        self._schedule_for(target)
        return record.release(boot, request, now)

    def drop_uses(self, boot: str) -> None:
        now = self._clock.now()
        for request, target in list(self._requests_of(boot).items()):
            self._release(boot, request, target, now)
        del self._target_by_request[boot]

    def targets_changed(
        self, known: collections.abc.Sequence[control.TargetInfo]
    ) -> None:
        self._follow_term()
        pools = self._view().routes.pool_by_name
        seen = set()
        for info in known:
            pool = pools.get(info.pool)
            if pool is None or pool.engine is None:
                continue
            seen.add(info.id)
            orders = self._orders_by_target.get(info.id)
            if orders is not None and orders.record.info.pool != info.pool:
                self._remove_target(info.id)
                orders = None
            if orders is None:
                orders = self._add_target(info, pool.engine)
            record = orders.record
            record.leaving = info.leaving
            if record.info.software != info.software:
                record.info = dataclasses.replace(
                    record.info, software=info.software
                )
        for target in set(self._orders_by_target) - seen:
            self._remove_target(target)
            self._removed_targets.add(target)
        self._schedule_soon()

    def on_new_start(
        self, callback: collections.abc.Callable[[str, int], None]
    ) -> None:
        self._new_start_callback = callback

    def _report_new_start(self, target: str, start_time_ms: int) -> None:
        if self._new_start_callback is not None:
            self._new_start_callback(target, start_time_ms)

    def _remove_target(self, target: str) -> None:
        self._orders_by_target.pop(target).stop()
        self._engines.remove(target)
        self._with_free_slot.discard(target)

    def _add_target(
        self, info: control.TargetInfo, spec: catalogue.EngineSpec
    ) -> _engine_orders.EngineOrders:
        instance = targets.Instance(
            info.id,
            info.pool,
            info.address,
            info.datacentre,
            software=info.software,
        )
        name = targets.Incarnation.of(info.id).name
        orders = _engine_orders.EngineOrders(
            _engine_record.EngineRecord(
                instance,
                spec,
                self._term_at + USES_REPORTED_S,
                self._pool_pace(info.pool),
            ),
            spec,
            self._make_engine(instance),
            self._term,
            self._rights,
            self._store,
            self._metrics,
            functools.partial(self._schedule_for, info.id),
            self._clock,
            functools.partial(self._report_new_start, info.id),
            self._incarnation_count_by_name[name],
        )
        self._incarnation_count_by_name[name] += 1
        self._orders_by_target[info.id] = orders
        self._engines.add(orders.record)
        if self._copy_registry is not None:
            orders.record.restore_copies(self._copy_registry.names(info.id))
        orders.reconcile()
        return orders

    # Terms.

    def _check_leading(self) -> None:
        if not self._leadership.holds():
            raise self._leadership.refusal()
        self._follow_term()

    def _follow_term(self) -> None:
        if self._term == self._leadership.term:
            return
        self._term = self._leadership.term
        self._term_at = self._clock.now()
        self._reset()
        self._rights.follow(self._term)

    def _fail_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done.done():
                waiter.done.set_exception(self._leadership.refusal())
        self._waiters.clear()

    def _reset(self) -> None:
        for orders in self._orders_by_target.values():
            orders.stop()
        self._orders_by_target.clear()
        self._engines.clear()
        self._target_by_request.clear()
        self._blocked.clear()
        self._changed.clear()
        self._with_free_slot.clear()
        self._incarnation_count_by_name.clear()
        self._reserved_loads.clear()
        self._fail_waiters()

    async def _tick(self) -> None:
        logged_at = self._clock.now()
        while True:
            await self._clock.sleep(TICK_S)
            if self._leadership.holds():
                self._rights.claim()
                for orders in self._orders_by_target.values():
                    orders.check_state()
                self._refresh_versions(self._clock.now())
                self._schedule_soon()
                if self._clock.now() - logged_at > STATE_LOG_INTERVAL_S:
                    logged_at = self._clock.now()
                    self._log_state()
            elif self._waiters:
                self._fail_waiters()

    def _log_state(self) -> None:
        """Log the recorded state of all engines and what decisions cost."""
        counts = self._decider.counts
        observe.log_event(
            "place",
            "state",
            term=self._term,
            group=self._group or None,
            waiting=len(self._waiters),
            oldest_s=round(
                max(
                    (
                        self._clock.now() - waiter.arrived_at
                        for waiter in self._waiters
                    ),
                    default=0.0,
                ),
                3,
            ),
            decided=counts.decided,
            weighed=counts.weighed,
            arrivals_took_s=round(self._arrivals_took_s, 4),
            passes_took_s=round(self._passes_took_s, 4),
            engines={
                target: orders.record.summary(self._clock.now())
                for target, orders in self._orders_by_target.items()
            },
        )
        counts.decided = counts.weighed = 0
        self._arrivals_took_s = self._passes_took_s = 0.0

    async def _note_copies(self) -> None:
        """Persist new copies and removed targets for the next leader."""
        while True:
            await self._clock.sleep(COPY_NOTE_INTERVAL_S)
            if self._copy_registry is None or not self._leadership.holds():
                continue
            copies = tuple(self._new_copies())
            gone, self._removed_targets = tuple(self._removed_targets), set()
            if copies or gone:
                with contextlib.suppress(wire.ServingError, TimeoutError):
                    note = catalogue.NoteCopies(copies, gone)
                    await self._copy_registry.note(note)

    def _new_copies(self) -> collections.abc.Iterator[catalogue.Copies]:
        for target, orders in self._orders_by_target.items():
            names = tuple(map("/".join, orders.record.new_copies))
            orders.record.new_copies.clear()
            if names:
                yield catalogue.Copies(target, names)

    def _usable(
        self, waiter: _waiting.Waiter
    ) -> list[_engine_record.EngineRecord]:
        """Return the engines that have capacity for a request.

        They need not hold its adapter.
        """
        demand = self._demand(waiter, self._clock.now())
        return [
            record
            for record in self._record_by_target.values()
            if record.can_take(demand)
        ]

    # Scheduling.

    def _schedule_soon(self) -> None:
        """Schedule a pass that decides for all waiting requests."""
        self._all_due = True
        self._set_timer()

    def _schedule_for(self, target: str) -> None:
        """Schedule a pass for the requests that a changed target may serve."""
        self._changed.add(target)
        self._set_timer()

    def _set_timer(self) -> None:
        """Start the timer, so that passes take a bounded share of CPU time."""
        if self._schedule_timer is None:
            delay_s = max(
                SCHEDULE_DELAY_S, SCHEDULE_SPACING * self._schedule_took_s
            )
            loop = asyncio.get_running_loop()
            self._schedule_timer = loop.call_later(delay_s, self._schedule)

    def _schedule(self) -> None:
        """Run one scheduling pass: grant requests and start loads.

        A pass is limited in time and leaves the rest to the next one. After
        a leader change hundreds of requests wait; deciding for all of them
        at once took so long that the leader's lease expired.
        """
        self._schedule_timer = None
        if self._leadership.holds():
            with observe.spent(self._metrics, "decide"):
                self._decide_slice()

    def _decide_slice(self) -> None:
        """Decide for waiting requests in rank order, up to the time limit."""
        now = self._clock.now()
        self._apply_rates(now)
        may_load = self._rights.may_order()
        if may_load:
            self._start_reserved_load(now)
        if self._all_due and not self._names_left:
            self._rank_names(now)
        names = self._names_left_in_pass()
        if not self._names_left:
            names = self._names_served_by_changed(now)
        for name in names:
            self._decide_adapter(name, now, may_load)
            if self._clock.now() - now >= SCHEDULE_SLICE_S:
                break
        self._schedule_took_s = self._clock.now() - now
        self._passes_took_s += self._schedule_took_s
        if self._names_left or self._changed:
            self._set_timer()

    def _start_reserved_load(self, now: float) -> None:
        """Load an adapter that was left out, if that is allowed now."""
        name = self._reserved_loads.next_name(
            name for name in self._waiters.names if name in self._blocked
        )
        if name is None:
            return
        waiter = min(
            self._waiters.of(name), key=lambda waiter: self._rank(waiter, now)
        )
        targets_due = (
            self._record_by_target if self._all_due else self._changed
        )
        records = (
            self._record_by_target[target]
            for target in targets_due
            if target in self._record_by_target
        )
        load = self._decider.load_now(
            self._demand(waiter, now), records, self._waiters.names, now
        )
        if load is None:
            return
        self._log_reserved_load(waiter, load, now)
        self._reserved_loads.count_reserved_load()
        self._blocked.pop(name, None)
        self._start_load(load, name, now)

    def _log_reserved_load(
        self, waiter: _waiting.Waiter, load: _decisions.Load, now: float
    ) -> None:
        observe.log_event(
            "place",
            "reserved_load",
            request=waiter.request.request,
            adapter="/".join(waiter.name),
            target=load.target,
            refusals=self._reserved_loads.refusals(waiter.name),
            waited_s=round(now - waiter.arrived_at, 4),
            waiting=len(self._waiters),
            term=self._term,
        )

    def _rank_names(self, now: float) -> None:
        """Have the pass decide for all waiting requests, in rank order."""
        self._all_due = False
        self._ranked = tuple(self._ranked_names(now))
        self._names_left.extend(
            name
            for name in self._ranked
            if now - self._blocked.get(name, float("-inf")) >= BLOCKED_RETRY_S
        )
        self._blocked = {
            name: self._blocked[name]
            for name in self._ranked
            if name in self._blocked
        }

    def _names_left_in_pass(
        self,
    ) -> collections.abc.Iterator[_engine_record.AdapterName]:
        """Yield and remove the adapters that the pass has not decided for."""
        while self._names_left:
            yield self._names_left.popleft()

    def _names_served_by_changed(
        self, now: float
    ) -> collections.abc.Iterator[_engine_record.AdapterName]:
        """Yield the adapters that the changed targets may serve.

        These are the ones at these targets, then others if a slot has become
        free there. What is left of a pass that is cut short waits for the
        tick.
        """
        changed, self._changed = self._changed, set()
        records = [
            self._record_by_target[target]
            for target in changed
            if target in self._record_by_target
        ]
        yield from self._waiting_at(records, now)
        free_before = self._with_free_slot
        freed = [
            record
            for record in self._update_free_slots(records, now)
            if record.info.id not in free_before
        ]
        passed_over = 0
        for name in self._ranked if freed else ():
            if passed_over > MAX_PASSED_OVER or not any(
                self._decider.has_room(record, self._waiters.names, now)
                for record in freed
            ):
                return
            if name in self._blocked:
                yield name
                passed_over += name in self._blocked

    def _update_free_slots(
        self,
        records: collections.abc.Iterable[_engine_record.EngineRecord],
        now: float,
    ) -> list[_engine_record.EngineRecord]:
        """Note which engines have a free slot, and return those."""
        free = []
        known = set(self._with_free_slot)
        for record in records:
            known.discard(record.info.id)
            if self._decider.has_room(record, self._waiters.names, now):
                known.add(record.info.id)
                free.append(record)
        self._with_free_slot = known
        return free

    def _waiting_at(
        self,
        records: collections.abc.Iterable[_engine_record.EngineRecord],
        now: float,
    ) -> list[_engine_record.AdapterName]:
        """Return the adapters at engines that requests wait for, by rank."""
        names = {
            name
            for record in records
            for name in record.slot_by_name
            if name in self._waiters.names
        }
        return sorted(
            names,
            key=lambda name: min(
                self._rank(waiter, now) for waiter in self._waiters.of(name)
            ),
        )

    def _rank(
        self, waiter: _waiting.Waiter, now: float
    ) -> tuple[bool, int, float]:
        paces = self._pace_by_pool.get(waiter.request.pool)
        pace = _pace.INITIAL_PACE if paces is None else paces.pace()
        return waiter.rank(pace, now)

    def _ranked_names(
        self, now: float
    ) -> collections.abc.Iterable[_engine_record.AdapterName]:
        """Return the adapters of waiting requests, highest rank first."""
        ranked = sorted(
            self._waiters, key=lambda waiter: self._rank(waiter, now)
        )
        return dict.fromkeys(waiter.name for waiter in ranked)

    def _apply_rates(self, now: float) -> None:
        """Note in the records which limited engines take a request now."""
        limited = self._rates.limited()
        for target in {*self._limited, *limited}:
            record = self._record_by_target.get(target)
            if record is not None:
                record.takes_requests = self._rates.has_token(target, now)
        self._limited = limited

    def _decide_adapter(
        self,
        name: _engine_record.AdapterName,
        now: float,
        may_load: bool,
    ) -> None:
        """Grant the requests waiting for one adapter, or start its load.

        Stops at the first request that can't be granted, unless that is
        because of the software version that it needs.
        """
        waiters = sorted(
            self._waiters.of(name), key=lambda waiter: self._rank(waiter, now)
        )
        for waiter in waiters:
            if waiter.done.done():
                continue
            granted = self._decide_one(waiter, now, may_load)
            if not granted and not waiter.needs_software:
                return

    def _try_grant(self, waiter: _waiting.Waiter, now: float) -> bool:
        """Grant a new request if it can run now; False if it has to wait.

        While loads of other adapters could not be started, none is started
        here, so that loads start in order of rank rather than of arrival.
        """
        self._apply_rates(now)
        decision = self._decider.decide(
            self._demand(waiter, now),
            self._waiters.names,
            now,
            self._rights.may_order(),
            not self._blocked,
        )
        if isinstance(decision, _decisions.Run):
            self._grant(waiter, decision.target, now)
            return True
        if isinstance(decision, _decisions.Load) and not self._blocked:
            self._start_load(decision, waiter.name, now)
        waits = decision == _decisions.Wait(False)
        if waits and not waiter.needs_software:
            self._blocked.setdefault(waiter.name, float("-inf"))
        return False

    def _decide_one(
        self,
        waiter: _waiting.Waiter,
        now: float,
        may_load: bool,
    ) -> bool:
        """Decide for a request and act on it; False if it has to wait."""
        demand = self._demand(waiter, now)
        decision = self._decider.decide(
            demand, self._waiters.names, now, may_load
        )
        if isinstance(decision, _decisions.Run):
            self._grant(waiter, decision.target, now)
            return True
        if isinstance(decision, _decisions.Load):
            self._reserved_loads.count_ranked_load()
            self._start_load(decision, waiter.name, now)
        if waiter.needs_software:
            return False
        if decision == _decisions.Wait(False):
            self._blocked[waiter.name] = now
        else:
            self._blocked.pop(waiter.name, None)
        return False

    def _start_load(
        self,
        decision: _decisions.Load,
        name: _engine_record.AdapterName,
        now: float,
    ) -> None:
        self._with_free_slot.discard(decision.target)
        orders = self._orders_by_target[decision.target]
        version = self._wanted_version(name)
        orders.start_load(name, version, decision.victim, now)

    def _demand(
        self, waiter: _waiting.Waiter, now: float
    ) -> _place_policy.PlacementDemand:
        uses = self._uses.value("/".join(waiter.name), now)
        return waiter.demand(uses, now)

    def _pool_pace(self, pool: str) -> _pace.PoolPace:
        if pool not in self._pace_by_pool:
            learns = self._settings.learned_pace
            self._pace_by_pool[pool] = _pace.PoolPace(learns)
        return self._pace_by_pool[pool]

    def _grant(self, waiter: _waiting.Waiter, target: str, now: float) -> None:
        record = self._record_by_target[target]
        self._with_free_slot.discard(target)
        request = waiter.request
        grant = _engine_record.Grant(
            request.boot, request.request, waiter.name, waiter.tokens, now
        )
        self._uses.add("/".join(waiter.name), now)
        self._reserved_loads.count_grant(waiter.name)
        self._rates.take(target, now)
        record.takes_requests = self._rates.has_token(target, now)
        self._move_request(request.boot, request.request, target, now)
        backlog_s = record.reading.backlog_s(now, request.priority)
        new_tokens = record.add(
            grant, request.parts, request.prompt_tokens, request.priority
        )
        slot = record.slot_by_name.get(waiter.name)
        waited_s = now - waiter.arrived_at
        self._metrics.record_s("placement_wait", waited_s)
        reason = "resident" if waited_s < TICK_S else "loaded"
        waiter.done.set_result(
            _place_messages.PlaceReply(
                record.info.id,
                record.info.address,
                slot.version if slot is not None else None,
                waited_s,
                reason,
                record.info.software,
                self._leadership.log_term,
                is_noted=self._leadership.leads_log,
            )
        )
        self._waiters.discard(waiter)
        if request.stream:
            self._streams.note(
                self._leadership.log_term,
                request.stream,
                control.StreamOrigin(request.pool, record.info.software),
                request.stream_keep_s,
            )
        observe.log_event(
            "place",
            "grant",
            request=request.request,
            adapter="/".join(waiter.name),
            target=record.info.id,
            version=slot.version if slot is not None else None,
            newest=self._wanted_version(waiter.name),
            software=record.info.software,
            needed=request.software,
            reason=reason,
            waited_s=round(waited_s, 4),
            running=record.running,
            new_tokens=new_tokens,
            backlog_s=round(backlog_s, 3),
            limit_per_s=self._rates.limit(record.info.id),
            term=self._term,
        )

    def _is_current(
        self,
        name: _engine_record.AdapterName,
        slot: _engine_record.Slot,
        now: float,
    ) -> bool:
        return not self._too_old(name, slot, now)

    def _wanted_version(self, name: _engine_record.AdapterName) -> int | None:
        return self._view().named_version(*name)

    def _newer_version(
        self,
        name: _engine_record.AdapterName,
        slot: _engine_record.Slot,
        now: float,
    ) -> int | None:
        """Return the newest version of an adapter if a slot's is older.

        Otherwise records that the slot has the newest one now.
        """
        wanted = self._wanted_version(name)
        if wanted is not None and (slot.version or 0) < wanted:
            return wanted
        slot.newest_at = now
        return None

    def _too_old(
        self,
        name: _engine_record.AdapterName,
        slot: _engine_record.Slot,
        now: float,
    ) -> bool:
        """Whether a slot's version is too old to start requests on.

        The period of OLD_VERSION_S counts from when the version was last
        known to be the newest. So neither a look that comes late, as after an
        election or a slow load, nor a further version can extend it. Like
        _newer_version, this records when a version is the newest.
        """
        if self._newer_version(name, slot, now) is None:
            return False
        return now - slot.newest_at > OLD_VERSION_S

    def _refresh_versions(self, now: float) -> None:
        """Replace older versions in slots by the newest one.

        All slots are looked at, whatever their state and whether or not
        orders are allowed, so that each records until when it was the newest.
        """
        may_order = self._rights.may_order()
        for orders in self._orders_by_target.values():
            record = orders.record
            for name, slot in list(record.slot_by_name.items()):
                wanted = self._newer_version(name, slot, now)
                if wanted is None or not may_order:
                    continue
                if _may_replace_idle(record, slot, now) or _may_replace_busy(
                    record, name, slot, now
                ):
                    orders.start_load(name, wanted, None, now)


def _may_replace_idle(
    record: _engine_record.EngineRecord,
    slot: _engine_record.Slot,
    now: float,
) -> bool:
    """Whether an old version that is not in use can be replaced now."""
    return (
        record.may_load
        and record.is_idle(slot, now)
        and record.unconfirmed_loads() < _decisions.MAX_CONCURRENT_LOADS
    )


def _may_replace_busy(
    record: _engine_record.EngineRecord,
    name: _engine_record.AdapterName,
    slot: _engine_record.Slot,
    now: float,
) -> bool:
    """Whether an old version is to be replaced while it is in use.

    The engine completes its runs, but rejects the requests that wait as not
    run, so that they begin elsewhere. This applies to an engine that is
    leaving too.
    """
    return (
        slot.state is State.READY
        and now - slot.newest_at > OLD_VERSION_QUEUE_S
        and record.may_have_queued(name)
        and record.known
        and not record.fenced
        and record.unconfirmed_loads() < MAX_LOADS_TO_REPLACE_BUSY
    )


def _max_wait_without_load_s(request: _place_messages.PlaceRequest) -> float:
    """Return how long a request may wait while no load is in progress."""
    hope_s = min(request.hope_s - request.waited_s, request.patience_s)
    return max(hope_s, 0.0)
