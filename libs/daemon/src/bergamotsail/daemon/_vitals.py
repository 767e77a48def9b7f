"""What tells whether this process itself stood in its own way.

How late its loop was, how much of a processor it used, how long it
collected garbage, and how much memory it holds.
"""

import collections
import contextlib
import gc
import pathlib
import resource
import time

from absl import logging

from bergamotsail.daemon import _peer_face
from bergamotsail import observe
from bergamotsail import quorum
from bergamotsail import wire

SAMPLE_S = 0.1
# Figures tell of the last second.
SAMPLES = 10
SAMPLES_PER_LINE = 10
# A second whose worst lag is above this is worth a line.
LATE_S = 0.1
# A line on each kind of work costs an entry about 0.1 ms.
WORK_LOG_INTERVAL_S = 5.0
STATM = pathlib.Path("/proc/self/statm")


class Collections:
    """Pauses of the garbage collector; a context manager."""

    def __init__(self) -> None:
        self.paused_s = 0.0
        self._began_at = 0.0

    def __enter__(self) -> "Collections":
        gc.callbacks.append(self._seen)
        return self

    def __exit__(self, *_: object) -> None:
        gc.callbacks.remove(self._seen)

    def _seen(self, phase: str, _: dict[str, int]) -> None:
        now = time.perf_counter()
        if phase == "start":
            self._began_at = now
        else:
            self.paused_s += now - self._began_at


class ProcessMonitor(quorum.ElectionObserver):
    """Writes elections with the figures of this process; a context manager.

    Enter it after the loop's lag. A line of its own tells of a second in
    which the loop was late; each second's worst lag goes into the metrics.
    Now and then a line tells what the process did, by kind of work.

    Args:
        role: what the process is, for those lines.
    """

    def __init__(
        self,
        lag: _peer_face.LoopLag,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
        role: str = "replica",
    ) -> None:
        self._role = role
        self._lag = lag
        self._metrics = metrics
        self._clock = clock
        self._collections = Collections()
        self._samples: collections.deque[tuple[float, float, float]]
        self._samples = collections.deque(maxlen=SAMPLES)
        self._work = observe.WorkLog(metrics)
        self._background = wire.BackgroundTasks()
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> "ProcessMonitor":
        self._stack.enter_context(self._collections)
        self._background.start(self._watch)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        self._stack.close()

    def on_election_event(self, what: str, fields: dict[str, object]) -> None:
        """Write a line on an election."""
        observe.log_event("quorum", what, **fields, **self.figures())

    def figures(self) -> dict[str, float | None]:
        """Return the figures of the last second, and how long it was."""
        now, cpu_s, paused_s = self._sample()
        then = self._samples[0] if self._samples else (now, cpu_s, paused_s)
        return {
            "lag_s": round(self._lag.worst_s(), 4),
            "lag_mean_s": round(self._lag.mean_s(), 4),
            "over_s": round(now - then[0], 3),
            "cpu_s": round(cpu_s - then[1], 4),
            "collected_s": round(paused_s - then[2], 4),
            "resident_mb": _resident_mb(),
        }

    def _sample(self) -> tuple[float, float, float]:
        now = self._clock.now()
        return now, time.process_time(), self._collections.paused_s

    async def _watch(self) -> None:
        told_at = self._clock.now()
        while True:
            for _ in range(SAMPLES_PER_LINE):
                self._samples.append(self._sample())
                await self._clock.sleep(SAMPLE_S)
            self._tell()
            over_s = self._clock.now() - told_at
            if over_s >= WORK_LOG_INTERVAL_S:
                told_at += over_s
                self._tell_work(over_s)

    def _tell_work(self, over_s: float) -> None:
        """Write what this process did since the last such line."""
        observe.log_event(
            "vitals",
            "work",
            role=self._role,
            over_s=round(over_s, 3),
            resident_mb=_resident_mb(),
            by_kind={
                kind: [
                    round(done.took_s, 4),
                    done.messages,
                    done.received,
                    done.sent,
                ]
                for kind, done in self._work.since_last().items()
            },
        )

    def _tell(self) -> None:
        worst_s = self._lag.worst_s()
        self._metrics.record_s("loop_lag_worst", worst_s)
        if worst_s > LATE_S:
            observe.log_event("vitals", "late", **self.figures())


def _resident_mb() -> float | None:
    """Return the memory held, None where the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError) as error:
        logging.log_first_n(
            logging.INFO, "vitals: No figure of memory. %s", 1, error
        )
        return None
    return round(pages * resource.getpagesize() / 1e6, 1)
