"""In-process fake of an LLM engine: continuous batching, LoRA slots."""

import abc
import asyncio
import collections
import collections.abc
import dataclasses
import uuid
import zlib

from bergamotsail import targets
from bergamotsail import wire

FINISHED_STREAM_TTL_S = 30.0


class WeightSource(abc.ABC):
    """Source from which an engine fetches adapter weights."""

    @abc.abstractmethod
    async def fetch(self, weights: str) -> None:
        """Return once the weights are fetched.

        Raises:
            EngineError: the fetch failed.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Capacity, timing and protocol behaviour of a stand-in engine.

    Args:
        step_s: seconds per decoding step.
        report_lag_s: seconds by which reports lag behind the state.
        refuses_old: whether a request with a fencing token below the
            highest one seen is rejected.
        checks_incarnation: whether a run addressed to another incarnation
            is rejected.
        sloppy: whether a run for an adapter that is not resident is served
            by one that is, or by the base model.
        cached_prefixes: capacity of the prefix cache, in prompts.
    """

    adapter_slots: int = 4
    batch_slots: int = 8
    step_s: float = 0.01
    report_lag_s: float = 0.2
    refuses_old: bool = True
    checks_incarnation: bool = True
    sloppy: bool = False
    cached_prefixes: int = 64
    base_model: str = "base-1"


class _Sequence:
    """A run and the chunks generated for it so far."""

    def __init__(self, run: targets.Run, arrival: int) -> None:
        self.run = run
        self.arrival = arrival
        self.chunks: list[targets.Chunk] = []
        self.error: wire.ServingError | None = None
        self.finished = False
        self.changed = asyncio.Event()

    def wake(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class EngineStandIn:
    """A fake engine; an async context manager that runs its step loop.

    It records what a real engine does not report, for tests to assert on:
    evictions of an adapter with running sequences, accepted stale orders,
    and runs per stream.
    """

    def __init__(self, settings: EngineSettings, store: WeightSource) -> None:
        self.settings = settings
        self.leaving = False
        self.load_fault: wire.ServingError | None = None
        self.load_hang_s = 0.0
        self.evicted_while_serving: list[str] = []
        self.stale_orders_taken = 0
        self.loads = 0
        self.runs_by_stream: collections.Counter[str] = collections.Counter()
        self.adapter_by_stream: dict[str, str] = {}
        self.cancelled: set[str] = set()
        self.prompts_run: set[str] = set()
        self.run_times: list[float] = []
        self._store = store
        self._highest_epoch = 0
        self._past_reports: collections.deque[
            tuple[float, targets.EngineReport]
        ] = collections.deque()
        self._task: asyncio.Task | None = None
        self._wake = asyncio.Event()
        self._reset()

    def _reset(self) -> None:
        self.incarnation = uuid.uuid4().hex[:8]
        self.residents: set[str] = set()
        self._loading: set[str] = set()
        self._sequence_by_stream: dict[str, _Sequence] = {}
        self._steps = 0
        self._slots_used = 0
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    async def __aenter__(self) -> "EngineStandIn":
        self._task = asyncio.create_task(self._step_loop())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def restart(self) -> None:
        """Restart the engine; its running streams fail.

        The new incarnation has no residents and has seen no fencing token.
        """
        lost = list(self._sequence_by_stream.values())
        self._reset()
        self._highest_epoch = 0
        for sequence in lost:
            if not sequence.finished:
                sequence.error = wire.PeerLostError("The engine restarted.")
            sequence.wake()

    def active_by_resident(self) -> collections.Counter[str]:
        """Return the number of running sequences per adapter."""
        return collections.Counter(
            s.run.adapter for s in self._running_sequences()
        )

    def report(self) -> targets.EngineReport:
        """Return the newest report that is at least ``report_lag_s`` old.

        If none is that old, the oldest one is returned.
        """
        now = asyncio.get_running_loop().time()
        self._record_report(now)
        reported_at, report = self._past_reports[0]
        while len(self._past_reports) > 1:
            next_at, next_report = self._past_reports[1]
            if now - next_at < self.settings.report_lag_s:
                break
            self._past_reports.popleft()
            reported_at, report = next_at, next_report
        return dataclasses.replace(report, age_s=now - reported_at)

    def _record_report(self, now: float) -> None:
        active = self.active_by_resident()
        # Simulates prefix cache events that arrive late or are lost: the two
        # newest prefixes and one in eight are left out.
        prefixes = tuple(p for p in self._prefixes if p % 8)[:-2]
        report = targets.EngineReport(
            self.incarnation,
            self.settings.base_model,
            self.settings.adapter_slots,
            self.settings.batch_slots,
            tuple(sorted(self.residents)),
            dict(active),
            sum(active.values()),
            self.leaving,
            0.0,
            self._steps,
            self._slots_used,
            prefixes,
        )
        self._past_reports.append((now, report))

    async def load(self, epoch: int, name: str, weights: str) -> None:
        """Load an adapter into a free slot."""
        self._check_epoch(epoch)
        if name in self.residents:
            return
        if name in self._loading:
            raise wire.EngineError(
                f"Adapter {name} is already being loaded.",
                ran=wire.RunStatus.UNKNOWN,
            )
        used = len(self.residents) + len(self._loading)
        if used >= self.settings.adapter_slots:
            raise wire.EngineError("All adapter slots are in use.")
        incarnation = self.incarnation
        self._loading.add(name)
        try:
            if self.load_hang_s:
                await asyncio.sleep(self.load_hang_s)
            if self.load_fault is not None:
                raise self.load_fault
            await self._store.fetch(weights)
        finally:
            self._loading.discard(name)
        if incarnation != self.incarnation:
            raise wire.PeerLostError("The engine restarted.")
        self.residents.add(name)
        self.loads += 1

    async def unload(self, epoch: int, name: str) -> None:
        """Remove an adapter; its running sequences fail."""
        self._check_epoch(epoch)
        if name not in self.residents:
            return
        self.residents.discard(name)
        for sequence in self._running_sequences():
            if sequence.run.adapter == name:
                self.evicted_while_serving.append(name)
                sequence.error = wire.EngineError(
                    f"Adapter {name} was evicted while it was in use."
                )
                sequence.finished = True
                sequence.wake()

    async def cancel(self, epoch: int, stream_id: str) -> None:
        """Cancel a stream and discard it."""
        self._check_epoch(epoch)
        sequence = self._sequence_by_stream.pop(stream_id, None)
        if sequence is not None and not sequence.finished:
            self.cancelled.add(stream_id)
            sequence.error = wire.CancelledByCallerError("Cancelled.")
            sequence.finished = True
            sequence.wake()

    async def run(
        self, epoch: int, run: targets.Run
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        """Start a run, or resume one after a chunk, and yield its chunks."""
        self._check_epoch(epoch)
        sequence = self._find_or_start(run)
        number = 0 if run.resume_after is None else run.resume_after + 1
        while True:
            changed = sequence.changed
            while number < len(sequence.chunks):
                yield sequence.chunks[number]
                number += 1
            if sequence.error is not None:
                raise sequence.error
            if sequence.finished:
                return
            await changed.wait()

    def _find_or_start(self, run: targets.Run) -> _Sequence:
        other = run.incarnation != self.incarnation
        if other and self.settings.checks_incarnation:
            raise wire.EngineError(
                "The run is for another incarnation of this engine.",
                ran=wire.RunStatus.NOT_RUN,
            )
        if run.resume_after is not None:
            sequence = self._sequence_by_stream.get(run.stream_id)
            if sequence is None:
                raise wire.EngineError(
                    f"Can't resume stream {run.stream_id}: it does not exist."
                )
            return sequence
        if run.adapter not in self.residents and self.settings.sloppy:
            held = min(self.residents, default="base")
            run = dataclasses.replace(run, adapter=held)
        elif run.adapter not in self.residents:
            raise wire.EngineError(
                f"Adapter {run.adapter} is not resident.",
                ran=wire.RunStatus.NOT_RUN,
            )
        sequence = _Sequence(run, len(self.runs_by_stream))
        self._sequence_by_stream[run.stream_id] = sequence
        self.runs_by_stream[run.stream_id] += 1
        self.adapter_by_stream[run.stream_id] = run.adapter
        self.prompts_run.add(run.prompt.text)
        self.run_times.append(asyncio.get_running_loop().time())
        self._prefixes[zlib.crc32(run.prompt.text[:64].encode())] = None
        while len(self._prefixes) > self.settings.cached_prefixes:
            self._prefixes.popitem(last=False)
        self._wake.set()
        return sequence

    def _check_epoch(self, epoch: int) -> None:
        if epoch < self._highest_epoch:
            if self.settings.refuses_old:
                raise wire.StaleFencingTokenError(
                    f"Fencing token {epoch} is lower than "
                    f"{self._highest_epoch}."
                )
            self.stale_orders_taken += 1
        self._highest_epoch = max(self._highest_epoch, epoch)

    def _running_sequences(self) -> list[_Sequence]:
        return [s for s in self._sequence_by_stream.values() if not s.finished]

    async def _step_loop(self) -> None:
        while True:
            running = self._running_sequences()
            if not running:
                self._wake.clear()
                await wire.wait_event(self._wake, 0.05)
                continue
            await asyncio.sleep(self.settings.step_s)
            running = self._running_sequences()
            running.sort(key=lambda s: (-s.run.priority, s.arrival))
            batch = running[: self.settings.batch_slots]
            self._steps += 1
            self._slots_used += len(batch)
            for sequence in batch:
                self._step(sequence)
            self._record_report(asyncio.get_running_loop().time())

    def _step(self, sequence: _Sequence) -> None:
        run = sequence.run
        number = len(sequence.chunks)
        end = number + 1 >= run.prompt.max_tokens
        text = token_text(run.adapter, run.prompt.text, number)
        sequence.chunks.append(
            targets.Chunk(
                run.stream_id,
                self.incarnation,
                run.adapter,
                number,
                text,
                end,
            )
        )
        sequence.finished = end
        sequence.wake()
        if end:
            loop = asyncio.get_running_loop()
            loop.call_later(
                FINISHED_STREAM_TTL_S,
                self._sequence_by_stream.pop,
                run.stream_id,
                None,
            )


def token_text(adapter: str, prompt: str, number: int) -> str:
    """Return the token that an adapter version generates at an index.

    It is a hash, so that text from a wrong adapter is detected.
    """
    checksum = zlib.crc32(f"{adapter}|{prompt}|{number}".encode())
    return f"{checksum:08x} "


def expected_text(adapter: str, prompt: str, max_tokens: int) -> str:
    """Return the complete text an adapter version generates for a prompt."""
    return "".join(
        token_text(adapter, prompt, number) for number in range(max_tokens)
    )
