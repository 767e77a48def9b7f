"""Runs requests on one engine that this daemon owns."""

import asyncio
import collections.abc
import contextlib
import dataclasses

from absl import logging

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _counter
from bergamotsail.placement import _jobs
from bergamotsail.placement import _loads
from bergamotsail.placement import _residents
from bergamotsail.placement import _run_keys
from bergamotsail.placement import _state
from bergamotsail import quarantine
from bergamotsail import targets
from bergamotsail import wire

WATCH_INTERVAL_S = 0.25
UNREACHABLE_AFTER_S = 2.0


class _WaitAbandonedError(wire.PeerLostError):
    """The owner stopped waiting; the engine may still be alive."""


@dataclasses.dataclass(slots=True, eq=False)
class _Stream:
    """A run that was dispatched to the engine."""

    job: _jobs.Job
    incarnation: str | None
    sent: bool = False
    ended: bool = False
    last_number: int = -1


class EngineOwner:
    """Runs, loads and evicts on one engine under one ownership epoch.

    It is an async context manager. Right before each order is sent, the
    session is asked whether this epoch still owns the engine.
    """

    def __init__(
        self,
        info: control.TargetInfo,
        epoch: int,
        engine: targets.Engine,
        session: control.Session,
        settings: _jobs.PlacementSettings,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
        steps: wire.FaultInjector = wire.NoFaultInjector(),
    ) -> None:
        self.info = info
        self.epoch = epoch
        self.handing_over = False
        self._released = False
        self._session = session
        self._clock = clock
        self._steps = steps
        self._metrics = metrics
        self._settings = settings
        self._engine = engine
        self._state = _state.EngineState(
            info,
            engine,
            session,
            settings,
            metrics,
            clock,
            steps,
            _residents.Residents(clock.now()),
            _counter.DecayingCounter(settings.half_life_s),
        )
        self._queue = self._state.queue
        self._residents = self._state.residents
        self._loads = _loads.Loads(
            self._state, self._order, self._may_start, self._dispatch
        )
        self._report_at = float("-inf")
        self._running = 0
        self._background = wire.BackgroundTasks()
        self._cancel_task_by_stream: dict[str, asyncio.Task] = {}

    async def __aenter__(self) -> "EngineOwner":
        self._background.start(self._read_reports, self._loads.run)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.handing_over = True
        self._refuse_waiting(self._not_owner())
        await self._background.stop()

    @property
    def active(self) -> int:
        """Number of runs in progress."""
        return self._running

    def may_order(self) -> bool:
        """Whether an order would be sent now."""
        return self._owns()

    def status(self) -> control.TargetStatus:
        """Return the status that is reported to the leader."""
        report = self._state.report
        return control.TargetStatus(
            self.info.id,
            self.epoch,
            self._reachable(),
            report is not None and report.leaving,
            self._residents.confirmed(),
            len(self._queue),
            self._running,
            report.batch_slots if report is not None else 0,
            report.adapter_slots if report is not None else 0,
            self._loads.pending(),
            self._loads.cheapest(),
        )

    async def hand_over(self) -> None:
        """Stop sending orders; running streams continue.

        Returns once the outcome of the last order is known, so that the next
        owner can send orders at once.
        """
        self.handing_over = True
        self._refuse_waiting(self._not_owner())
        async with self._state.ordering:
            # The view lags and still shows this epoch as the owner.
            self._released = True
            await self._steps.reach(wire.Step.HAND_OVER, wire.Phase.AFTER)

    # Running.

    async def run(
        self, request: _jobs.RunRequest
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        """Run a request, or resume its stream, and yield its chunks.

        Raises:
            ServingError: its type and ``ran`` tell whether the request ran.
        """
        stream = await self._admit(request)
        try:
            async for chunk in self._chunks(stream):
                yield chunk
        finally:
            self._finish_run(stream)

    async def cancel(self, stream_id: str) -> None:
        """Cancel a run whose caller disconnected."""
        cancel_task = self._cancel_task_by_stream.pop(stream_id, None)
        if cancel_task is not None:
            cancel_task.cancel()
        await self._steps.reach(wire.Step.CANCEL, wire.Phase.BEFORE)
        await self._engine.cancel(self._order(), stream_id)
        await self._steps.reach(wire.Step.CANCEL, wire.Phase.AFTER)

    async def _admit(self, request: _jobs.RunRequest) -> _Stream:
        if self.handing_over or not self._owns():
            raise self._not_owner()
        job = self._make_job(request)
        if request.resume_after is not None:
            return self._resume(job)
        self._check_queue(job)
        self._state.uses.add(job.adapter, self._clock.now())
        self._queue.put(job)
        self._dispatch()
        self._state.work.set()
        try:
            async with asyncio.timeout_at(job.deadline):
                return await self._wait_dispatched(job)
        except TimeoutError:
            raise wire.DeadlineError(
                "The deadline passed while the request was waiting for "
                f"{job.adapter}. Try again later.",
                retry_after_s=self._expected_wait_s(job),
            ) from None

    async def _wait_dispatched(self, job: _jobs.Job) -> _Stream:
        """Wait until a job is dispatched; undo its queueing on failure."""
        try:
            return await job.ready
        except BaseException:
            self._queue.remove(job)
            self._undo_dispatch(job)
            raise

    def _make_job(self, request: _jobs.RunRequest) -> _jobs.Job:
        adapter, version = targets.split_name(request.adapter)
        entry = self._session.view.adapter_by_id.get(adapter)
        if entry is None or version not in entry.value.versions:
            raise wire.WithdrawnError(
                f"{request.adapter} was withdrawn. Request an available "
                "version."
            )
        now = self._clock.now()
        return _jobs.Job(
            request,
            entry.value.owner,
            entry.value.versions[version],
            now,
            now + request.left_s,
            self._residents.usable(request.adapter),
            asyncio.get_running_loop().create_future(),
        )

    def _resume(self, job: _jobs.Job) -> _Stream:
        """Attach to a stream that the engine still holds."""
        request = job.request
        if request.incarnation != self._residents.incarnation:
            raise wire.TruncatedError(
                "The engine was restarted, so this stream can't be resumed. "
                "Send the request again."
            )
        cancel_task = self._cancel_task_by_stream.pop(request.stream_id, None)
        if cancel_task is not None:
            cancel_task.cancel()
        if job.adapter in self._residents.by_name:
            self._residents.pin(job.adapter)
        self._running += 1
        stream = _Stream(job, self._residents.incarnation)
        stream.last_number = request.resume_after
        return stream

    def _check_queue(self, job: _jobs.Job) -> None:
        """Reject a request that would miss its deadline or overfill the queue.

        If the queue is full and another member has more waiting requests,
        the newest request of the member with the longest queue is rejected
        instead.
        """
        expected_s = self._expected_wait_s(job)
        if expected_s > job.request.left_s:
            raise wire.DeadlineError(
                "The request can't be served before its deadline. Try again "
                "later or with a later deadline.",
                retry_after_s=expected_s,
            )
        if len(self._queue) < self._settings.max_queue:
            return
        queue_full = wire.OverloadError(
            f"The queue of engine {self.info.id} is full: "
            f"{len(self._queue)} requests are waiting. Try again later.",
            retry_after_s=expected_s,
        )
        longest = self._queue.longest_member()
        own = self._queue.waiting_of(job.request.payer)
        if own >= self._queue.waiting_of(longest):
            raise queue_full
        dropped = self._queue.newest_of(longest)
        self._queue.remove(dropped)
        if not dropped.ready.done():
            dropped.ready.set_exception(queue_full)

    def _expected_wait_s(self, job: _jobs.Job) -> float:
        """Estimate the wait from the loads that come first.

        Members take turns, so of another member's loads at most as many are
        counted as this member has itself.
        """
        if self._residents.usable(job.adapter):
            return 0.0
        names_by_member: dict[str, set[str]] = {job.owner: {job.adapter}}
        for waiting in self._queue:
            if not self._residents.usable(waiting.adapter):
                names = names_by_member.setdefault(waiting.owner, set())
                names.add(waiting.adapter)
        own = len(names_by_member[job.owner])
        load_count = sum(
            min(own, len(names)) for names in names_by_member.values()
        )
        return self._state.load_s * load_count

    def _undo_dispatch(self, job: _jobs.Job) -> None:
        """Undo the dispatch of a job whose caller no longer waits.

        If a caller disconnects just as its job is dispatched, the adapter's
        pin and the batch slot must be released.
        """
        ready = job.ready
        if not ready.done():
            ready.cancel()
        elif not ready.cancelled() and ready.exception() is None:
            self._finish_run(ready.result())

    def _dispatch(self) -> None:
        """Start waiting jobs while batch slots are free, in fair order."""
        if self.handing_over or not self._owns():
            return
        weights = {
            name: entry.value.weight
            for name, entry in self._session.view.member_by_id.items()
        }
        while self._free_batch_slots() > 0:
            job = self._queue.take(self._can_run, weights)
            if job is None:
                return
            self._residents.pin(job.adapter)
            self._running += 1
            stream = _Stream(job, self._residents.incarnation)
            if job.ready.done():
                self._finish_run(stream)
            else:
                job.ready.set_result(stream)

    def _can_run(self, job: _jobs.Job) -> bool:
        return not job.ready.done() and self._residents.usable(job.adapter)

    def _free_batch_slots(self) -> int:
        if self._state.report is None:
            return 0
        return self._state.report.batch_slots - self._running

    async def _chunks(
        self, stream: _Stream
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        job = stream.job
        request = job.request
        self._record_wait(job)
        self._check_available(job)
        self._check_quarantine(stream)
        run = targets.Run(
            request.stream_id,
            stream.incarnation or "",
            job.adapter,
            request.prompt,
            _jobs.PRIORITY.get(request.entry_class, 0),
            request.resume_after,
        )
        await self._steps.reach(wire.Step.RUN, wire.Phase.BEFORE)
        stream.sent = True
        chunks = wire.monitored_stream(
            self._engine.run(self._order(), run),
            lambda: self._abandon_reason(job),
            WATCH_INTERVAL_S,
        )
        try:
            async for chunk in chunks:
                await self._reach_chunk(stream, chunk)
                if self._accept(stream, chunk):
                    stream.ended = chunk.end
                    if chunk.end:
                        self._note_end(stream, quarantine.RunEnd.SERVED)
                    yield chunk
        except (wire.NotSentError, wire.StaleFencingTokenError):
            stream.sent = False
            raise
        except wire.ServingError as error:
            if isinstance(error, wire.PeerLostError):
                self._note_lost(stream, error)
            stream.ended = error.ran is not wire.RunStatus.UNKNOWN
            if error.ran is wire.RunStatus.NOT_RUN:
                # The adapter may not be resident; the next report shows it.
                self._residents.mark_unconfirmed(
                    job.adapter, self._clock.now()
                )
            raise
        finally:
            await chunks.aclose()
        if not stream.ended:
            raise wire.TruncatedError(
                "The engine's stream ended without an end marker."
            )

    def _check_quarantine(self, stream: _Stream) -> None:
        """Reject a quarantined request, which crashed engines that ran it.

        Raises:
            QuarantinedError: the request is in quarantine.
        """
        held_by_id = self._session.view.quarantine_by_id
        if not held_by_id:
            return
        request = stream.job.request
        parts = _run_keys.part_keys(request, self.info.pool)
        for key_id in (
            _run_keys.identity(request),
            *(key.id for key in parts),
        ):
            entry = held_by_id.get(key_id)
            if entry is not None and entry.value.held:
                part = entry.value.part
                what = "request" if part is None else f"prompt's {part}"
                raise wire.QuarantinedError(
                    f"This {what} crashed {entry.value.ends} engines that "
                    "ran it. Change it, or have an operator delete the "
                    f"catalogue entry quarantine {entry.id}."
                )

    def _note_lost(self, stream: _Stream, error: wire.PeerLostError) -> None:
        """Record that the engine may have crashed while running a request."""
        if (
            not isinstance(error, _WaitAbandonedError)
            and not self.info.leaving
        ):
            self._note_end(stream, quarantine.RunEnd.LOST)

    def _note_end(self, stream: _Stream, end: quarantine.RunEnd) -> None:
        """Report the end of a run to the leader without delay.

        A served run is reported only while there are suspects.
        """
        observations = self._session.observations
        request, pool = stream.job.request, self.info.pool
        if end is quarantine.RunEnd.SERVED:
            observations.served_parts.note(
                request.payer, pool, _run_keys.parts(request.prompt)
            )
            if not observations.any_suspect:
                return
        run = quarantine.Run(
            _run_keys.identity(request),
            request.payer,
            pool,
            f"{self.info.id}/{stream.incarnation}",
            _run_keys.part_keys(request, pool),
        )
        if observations.note(run, end):
            self._session.kick()

    def _abandon_reason(self, job: _jobs.Job) -> wire.ServingError | None:
        """Return an error if the engine is silent or the deadline passed."""
        if not self._reachable() or self._clock.now() > job.deadline:
            return _WaitAbandonedError(
                f"Engine {self.info.id} did not complete the answer in time."
            )
        return None

    async def _reach_chunk(
        self, stream: _Stream, chunk: targets.Chunk
    ) -> None:
        step = wire.Step.MID_STREAM
        if stream.last_number < 0:
            step = wire.Step.FIRST_CHUNK
        elif chunk.end:
            step = wire.Step.LAST_CHUNK
        await self._steps.reach(step, wire.Phase.BEFORE)

    def _accept(self, stream: _Stream, chunk: targets.Chunk) -> bool:
        """Check the source and the number of a chunk.

        Returns False for a chunk of another stream or a repeated one, which
        is dropped.
        """
        request = stream.job.request
        if chunk.stream_id != request.stream_id:
            self._metrics.count("chunks_dropped", reason="other_stream")
            return False
        wrong = (
            chunk.adapter != request.adapter
            or chunk.incarnation != stream.incarnation
        )
        if wrong:
            raise wire.WrongAdapterError(
                f"The request was for {request.adapter}, but the engine "
                f"answered from {chunk.adapter}, incarnation "
                f"{chunk.incarnation}. The answer was dropped."
            )
        if chunk.number <= stream.last_number:
            self._metrics.count("chunks_dropped", reason="repeated")
            return False
        if chunk.number != stream.last_number + 1:
            raise wire.TruncatedError(
                f"Chunk {stream.last_number + 1} of the answer is missing."
            )
        stream.last_number = chunk.number
        return True

    def _check_available(self, job: _jobs.Job) -> None:
        adapter, version = targets.split_name(job.adapter)
        entry = self._session.view.adapter_by_id.get(adapter)
        if entry is None or version not in entry.value.versions:
            raise wire.WithdrawnError(
                f"{job.adapter} was withdrawn while the request was waiting. "
                "Request an available version."
            )

    def _finish_run(self, stream: _Stream) -> None:
        """Release a run; if it may continue, schedule its cancellation."""
        self._running -= 1
        name = stream.job.adapter
        now = self._clock.now()
        self._state.used_at_by_name[name] = now
        if stream.sent and not stream.ended:
            # The run may continue, and its caller may resume the stream.
            self._residents.mark_in_doubt(name, stream.incarnation, now)
            stream_id = stream.job.request.stream_id
            self._cancel_task_by_stream[stream_id] = asyncio.create_task(
                self._cancel_later(stream_id)
            )
        self._residents.unpin(name, stream.incarnation)
        self._dispatch()
        self._state.work.set()

    async def _cancel_later(self, stream_id: str) -> None:
        await self._clock.sleep(self._settings.orphan_grace_s)
        self._cancel_task_by_stream.pop(stream_id, None)
        with contextlib.suppress(wire.ServingError):
            await self._engine.cancel(self._order(), stream_id)

    def _record_wait(self, job: _jobs.Job) -> None:
        waited_s = self._clock.now() - job.queued_at
        member = job.request.payer
        entry_class = job.request.entry_class
        stall_s = 0.0 if job.was_resident else waited_s
        labels = {"member": member, "entry_class": entry_class}
        self._metrics.record_s("load_stall", stall_s, **labels)
        self._metrics.record_s("queue_wait", waited_s, **labels)

    # Orders.

    def _may_start(self) -> bool:
        """Whether new loads and evictions may be started."""
        return not self.handing_over and self._owns()

    def _owns(self) -> bool:
        owned = self._session.owns(self.info.id, self.epoch)
        return owned and not self._released

    def _order(self) -> targets.Order:
        return targets.Order(self.epoch, self._owns)

    def _not_owner(self) -> wire.NotOwnerError:
        return wire.NotOwnerError(
            f"This instance does not own {self.info.id}. Look up the owner "
            "and send the request there.",
            retry_after_s=0.5,
        )

    def _refuse_waiting(self, error: wire.ServingError) -> None:
        for job in self._queue:
            self._queue.remove(job)
            if not job.ready.done():
                job.ready.set_exception(error)

    # Reports.

    async def _read_reports(self) -> None:
        while True:
            asked_at = self._clock.now()
            try:
                report = await self._engine.report()
                self._take_report(report, asked_at)
            except wire.ServingError as error:
                logging.debug(
                    "place: Could not read the engine report. %s",
                    error.message,
                )
            except Exception:
                logging.exception("place: Failed to process a report.")
            await self._clock.sleep(self._settings.report_interval_s)

    def _take_report(
        self, report: targets.EngineReport, asked_at: float
    ) -> None:
        now = self._clock.now()
        as_of = asked_at - report.age_s
        if self._residents.apply_report(report, as_of, now):
            logging.info(
                "place: Engine %s has the new incarnation %s.",
                self.info.id,
                report.incarnation,
            )
        self._state.report = report
        self._report_at = now
        self._drop_expired(now)
        self._dispatch()
        self._state.work.set()

    def _drop_expired(self, now: float) -> None:
        for job in list(self._queue):
            if job.deadline <= now:
                self._queue.remove(job)

    def _reachable(self) -> bool:
        silent_s = self._clock.now() - self._report_at
        return silent_s < UNREACHABLE_AFTER_S
