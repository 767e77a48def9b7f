"""Chooses and executes the adapter loads and evictions of one engine."""

import collections.abc
import contextlib

from absl import logging

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _jobs
from bergamotsail.placement import _policy
from bergamotsail.placement import _state
from bergamotsail import targets
from bergamotsail import wire

TURN_WAIT_S = 0.25
TURN_TIMEOUT_S = 2.0
# Weight of the latest load in the moving average of load durations.
SMOOTHING = 0.2
# Maximum number of pending adapters in a status report.
MAX_PENDING = 32
# Decayed use count below which an adapter counts as no longer used.
MIN_USE_COUNT = 0.5
LOAD_BACKOFF_S = 0.5
DEFAULT_STORE = "default"


class Loads:
    """Loads the adapters of waiting jobs and evicts others, one at a time.

    Args:
        make_order: returns an order that is sent only while the epoch owns
            the engine.
        may_start: whether new orders may be started.
        dispatch: starts waiting jobs whose adapter is resident.
    """

    def __init__(
        self,
        state: _state.EngineState,
        make_order: collections.abc.Callable[[], targets.Order],
        may_start: collections.abc.Callable[[], bool],
        dispatch: collections.abc.Callable[[], None],
    ) -> None:
        self._state = state
        self._make_order = make_order
        self._may_start = may_start
        self._dispatch = dispatch
        settings = state.settings
        self._policy = _policy.policy_named(
            settings.policy, settings.stall_weight
        )
        self._failures_by_name: dict[str, int] = {}
        self._retry_at_by_name: dict[str, float] = {}

    async def run(self) -> None:
        """Load adapters for waiting jobs until cancelled."""
        while True:
            self._state.work.clear()
            try:
                loaded = await self._load_next()
            except wire.ServingError as error:
                logging.info(
                    "place: Could not load an adapter. %s", error.message
                )
                loaded = False
            except Exception:
                logging.exception("place: Unexpected error during a load.")
                loaded = False
            if loaded:
                continue
            await wire.wait_event(self._state.work, LOAD_BACKOFF_S)

    def pending(self) -> tuple[str, ...]:
        """Return adapters with waiting jobs that are not usable yet."""
        residents = self._state.residents
        names = {job.adapter for job in self._state.queue}
        waiting = [n for n in sorted(names) if not residents.usable(n)]
        return tuple(waiting[:MAX_PENDING])

    def cheapest(self) -> float:
        """Return the lowest use count of a resident, 0 if a slot is free."""
        report = self._state.report
        held = self._state.residents.by_name
        if report is None or len(held) < report.adapter_slots:
            return 0.0
        now = self._state.clock.now()
        uses = [self._state.uses.value(name, now) for name in held]
        return round(min(uses, default=0.0), 1)

    def _candidates(self) -> list[_policy.Candidate]:
        now = self._state.clock.now()
        jobs_by_name: dict[str, list[_jobs.Job]] = {}
        for job in self._state.queue:
            resident = self._state.residents.by_name.get(job.adapter)
            backing_off = self._retry_at_by_name.get(job.adapter, 0.0) > now
            if resident is None and not backing_off:
                jobs_by_name.setdefault(job.adapter, []).append(job)
        return [
            self._candidate(name, jobs[0].owner, jobs)
            for name, jobs in jobs_by_name.items()
        ]

    def _candidate(
        self, name: str, owner: str, jobs: list[_jobs.Job]
    ) -> _policy.Candidate:
        now = self._state.clock.now()
        oldest = min((job.queued_at for job in jobs), default=now)
        return _policy.Candidate(
            name,
            owner,
            len(jobs),
            sum(job.class_weight for job in jobs),
            now - oldest,
            self._state.uses.value(name, now),
            now - self._state.used_at_by_name.get(name, 0.0),
        )

    async def _load_next(self) -> bool:
        """Load the adapter with the best score; False if none was loaded."""
        if not self._may_start() or self._state.report is None:
            return False
        candidates = self._candidates()
        if not candidates:
            self._state.residents.stop_draining()
            self._dispatch()
            return False
        best_by_member = self._best_by_member(candidates)
        ready = {
            member: wanted
            for member, wanted in best_by_member.items()
            if self._slot_for(wanted) is not None
        }
        for wanted in best_by_member.values():
            if wanted.owner not in ready:
                self._drain_for(wanted)
        if not ready:
            return False
        asked_at = self._state.clock.now()
        reply = await self._take_turn(ready)
        if reply.turn is None:
            return False
        try:
            return await self._load_on_turn(reply.member, asked_at)
        finally:
            await self._end_turn(reply.turn)

    def _best_by_member(
        self, candidates: list[_policy.Candidate]
    ) -> dict[str, _policy.Candidate]:
        """Return the load with the best score of each member."""
        by_member: dict[str, list[_policy.Candidate]] = {}
        for candidate in candidates:
            by_member.setdefault(candidate.owner, []).append(candidate)
        return {
            member: self._policy.next_load(own)
            for member, own in by_member.items()
        }

    async def _load_on_turn(self, member: str, asked_at: float) -> bool:
        """Choose the adapter again, as the queue may have changed; load it."""
        candidates = [c for c in self._candidates() if c.owner == member]
        if not candidates:
            return False
        wanted = self._policy.next_load(candidates)
        victim = self._slot_for(wanted)
        if victim is None:
            return False
        async with self._state.ordering:
            if not self._may_start():
                return False
            if victim and not await self._evict(victim, wanted):
                return False
            return await self._load(wanted, asked_at)

    def _slot_for(self, wanted: _policy.Candidate) -> str | None:
        """Return the adapter to evict, "" for a free slot, None if neither."""
        assert self._state.report is not None
        if (
            len(self._state.residents.by_name)
            < self._state.report.adapter_slots
        ):
            return ""
        evictable = self._evictable(wanted)
        if not evictable:
            return None
        return self._policy.victim(evictable).name

    def _evictable(self, wanted: _policy.Candidate) -> list[_policy.Candidate]:
        now = self._state.clock.now()
        unpinned = [
            resident.name
            for resident in self._state.residents.by_name.values()
            if resident.confirmed
            and not resident.pinned
            and now - resident.changed_at
            >= self._state.settings.min_residence_s
        ]
        draining = [
            n for n in unpinned if self._state.residents.by_name[n].draining
        ]
        candidates = [
            self._resident_candidate(name) for name in draining or unpinned
        ]
        return [c for c in candidates if self._may_displace(wanted, c)]

    def _resident_candidate(self, name: str) -> _policy.Candidate:
        jobs = [job for job in self._state.queue if job.adapter == name]
        return self._candidate(name, self._owner_of(name), jobs)

    def _owner_of(self, name: str) -> str:
        adapter, _ = targets.split_name(name)
        entry = self._state.session.view.adapter_by_id.get(adapter)
        return entry.value.owner if entry is not None else ""

    def _may_displace(
        self, wanted: _policy.Candidate, victim: _policy.Candidate
    ) -> bool:
        """Whether *victim* may be evicted for *wanted*.

        A member that has its share of the slots may evict adapters of other
        members only if they are no longer used.
        """
        if wanted.owner == victim.owner or not victim.owner:
            return True
        if victim.use < MIN_USE_COUNT and not victim.waiting:
            return True
        held = [
            name
            for name in self._state.residents.by_name
            if self._owner_of(name) == wanted.owner
        ]
        return len(held) < self._slots_of(wanted.owner)

    def _slots_of(self, member: str) -> int:
        """Return how many slots a member may hold by evicting others.

        This is its ``slot_share`` of the slots, by default in proportion to
        its weight among the members that use this engine.
        """
        assert self._state.report is not None
        slots = self._state.report.adapter_slots
        members = self._state.session.view.member_by_id
        entry = members.get(member)
        if entry is None:
            return slots
        share = entry.value.limits.slot_share
        if share is None:
            using = {self._owner_of(n) for n in self._state.residents.by_name}
            using |= {job.owner for job in self._state.queue}
            weights = [members[m].value.weight for m in using if m in members]
            share = entry.value.weight / max(sum(weights), entry.value.weight)
        return max(1, round(share * slots))

    def _drain_for(self, wanted: _policy.Candidate) -> None:
        """Drain the least valuable busy adapter if *wanted* waits too long.

        At most one adapter is drained at a time.
        """
        draining = [
            r for r in self._state.residents.by_name.values() if r.draining
        ]
        if (
            draining
            or wanted.oldest_wait_s < self._state.settings.drain_after_s
        ):
            return
        busy = [
            self._resident_candidate(r.name)
            for r in self._state.residents.by_name.values()
            if r.confirmed
        ]
        busy = [c for c in busy if self._may_displace(wanted, c)]
        if busy:
            victim = self._policy.victim(busy)
            self._state.residents.by_name[victim.name].draining = True
            self._log_decision("Drain", victim.name, f"room for {wanted.name}")

    async def _take_turn(
        self, best_by_member: dict[str, _policy.Candidate]
    ) -> control.TurnReply:
        request = control.TurnRequest(
            self._state.session.boot,
            self._store(),
            self._state.info.id,
            {
                member: self._policy.load_score(wanted)
                for member, wanted in best_by_member.items()
            },
            TURN_WAIT_S,
        )
        return await self._state.session.leader.call(
            control.TURN, request, TURN_TIMEOUT_S
        )

    def _store(self) -> str:
        """Return the weight store that this engine loads from."""
        view = self._state.session.view
        pool = view.pool_by_id.get(self._state.info.pool)
        return pool.value.store if pool is not None else DEFAULT_STORE

    async def _end_turn(self, turn: str) -> None:
        with contextlib.suppress(wire.ServingError):
            await self._state.session.leader.call(
                control.TURN_END, control.TurnEnd(self._store(), turn), 1.0
            )

    async def _evict(self, name: str, wanted: _policy.Candidate) -> bool:
        resident = self._state.residents.by_name.get(name)
        if resident is None or resident.pinned:
            return False
        # Prevents the dispatch of further runs to it.
        resident.confirmed = False
        self._log_decision(
            "Evict", name, f"lowest keep score, for {wanted.name}"
        )
        await self._state.steps.reach(wire.Step.EVICT, wire.Phase.BEFORE)
        try:
            await self._state.engine.unload(self._make_order(), name)
        except (wire.NotSentError, wire.StaleFencingTokenError):
            resident.confirmed = True
            raise
        except wire.ServingError:
            self._state.residents.mark_unconfirmed(
                name, self._state.clock.now()
            )
            raise
        await self._state.steps.reach(wire.Step.EVICT, wire.Phase.AFTER)
        self._state.residents.unloaded(name, self._state.clock.now())
        self._state.metrics.count("evictions")
        return True

    async def _load(self, wanted: _policy.Candidate, asked_at: float) -> bool:
        name = wanted.name
        weights = self._weights_of(name)
        if weights is None:
            return False
        started_at = self._state.clock.now()
        self._log_decision("Load", name, f"{wanted.waiting} waiting")
        self._state.residents.loading(name, started_at)
        await self._state.steps.reach(wire.Step.LOAD, wire.Phase.BEFORE)
        try:
            await self._state.engine.load(self._make_order(), name, weights)
        except wire.PeerLostError:
            self._state.residents.mark_unconfirmed(
                name, self._state.clock.now()
            )
            raise
        except wire.ServingError as error:
            self._state.residents.not_loaded(name, self._state.clock.now())
            self._load_failed(name, error)
            return False
        await self._state.steps.reach(wire.Step.LOAD, wire.Phase.AFTER)
        now = self._state.clock.now()
        self._state.residents.loaded(name, now)
        self._state.used_at_by_name[name] = now
        # Includes the wait for the turn, as waiting requests experience it.
        spent_s = now - asked_at
        self._state.load_s += (spent_s - self._state.load_s) * SMOOTHING
        self._failures_by_name.pop(name, None)
        self._state.metrics.count("loads")
        self._dispatch()
        return True

    def _weights_of(self, name: str) -> str | None:
        adapter, version = targets.split_name(name)
        entry = self._state.session.view.adapter_by_id.get(adapter)
        if entry is None:
            return None
        return entry.value.versions.get(version)

    def _load_failed(self, name: str, error: wire.ServingError) -> None:
        """Back off, and fail the waiting jobs after too many failures."""
        failures = self._failures_by_name.get(name, 0) + 1
        self._failures_by_name[name] = failures
        backoff_s = LOAD_BACKOFF_S * 2**failures
        self._retry_at_by_name[name] = self._state.clock.now() + backoff_s
        self._state.metrics.count("load_failures")
        self._log_decision("Back off", name, f"load failed: {error.code}")
        if failures < self._state.settings.load_retries:
            return
        for job in self._state.queue:
            if job.adapter == name and not job.ready.done():
                self._state.queue.remove(job)
                job.ready.set_exception(
                    wire.OverloadError(
                        f"{name} could not be loaded: {error.message}",
                        retry_after_s=backoff_s,
                    )
                )

    def _log_decision(self, what: str, adapter: str, reason: str) -> None:
        observe.log_decision(
            observe.Decision(
                "place",
                what,
                reason,
                adapter=adapter,
                target=self._state.info.id,
            )
        )
