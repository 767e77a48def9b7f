"""Monitors the resource use of this process.

Event loop lag, CPU time, garbage collection pauses and resident memory
show whether a delay was caused by the process itself.
"""

import collections
import contextlib
import gc
import pathlib
import resource
import time

from absl import logging

from bergamotsail.daemon import _peer_endpoint
from bergamotsail import observe
from bergamotsail import quorum
from bergamotsail import wire

SAMPLE_INTERVAL_S = 0.1
# The sampling window is one second.
WINDOW_SAMPLES = 10
SAMPLES_PER_CHECK = 10
# A second whose largest lag exceeds this is logged.
LAG_LOG_THRESHOLD_S = 0.1
# Interval of the event "work", which costs an entry about 0.1 ms.
WORK_LOG_INTERVAL_S = 5.0
STATM = pathlib.Path("/proc/self/statm")


class GcPauses:
    """Sums the pauses of the garbage collector; a context manager."""

    def __init__(self) -> None:
        self.paused_s = 0.0
        self._gc_started_at = 0.0

    def __enter__(self) -> "GcPauses":
        gc.callbacks.append(self._on_gc)
        return self

    def __exit__(self, *_: object) -> None:
        gc.callbacks.remove(self._on_gc)

    def _on_gc(self, phase: str, _: dict[str, int]) -> None:
        now = time.perf_counter()
        if phase == "start":
            self._gc_started_at = now
        else:
            self.paused_s += now - self._gc_started_at


class ProcessMonitor(quorum.NodeObserver):
    """Logs resource use of this process; an async context manager.

    Adds the resource use to each event of the log. Once a second it records
    the largest loop lag in the metrics, and logs an event if that exceeds
    LAG_LOG_THRESHOLD_S. Every WORK_LOG_INTERVAL_S it logs the work done,
    by kind.

    Args:
        lag: must be entered before this context manager.
        role: role of this process, a field of the event "work".
    """

    def __init__(
        self,
        lag: _peer_endpoint.LoopLag,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
        role: str = "replica",
    ) -> None:
        self._role = role
        self._lag = lag
        self._metrics = metrics
        self._clock = clock
        self._gc_pauses = GcPauses()
        self._samples: collections.deque[tuple[float, float, float]]
        self._samples = collections.deque(maxlen=WINDOW_SAMPLES)
        self._work = observe.WorkLog(metrics)
        self._background = wire.BackgroundTasks()
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> "ProcessMonitor":
        self._stack.enter_context(self._gc_pauses)
        self._background.start(self._watch)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        self._stack.close()

    def on_node_event(self, what: str, fields: dict[str, object]) -> None:
        """Log an event of the log with the resource use of this process."""
        observe.log_event("quorum", what, **fields, **self.resource_use())

    def resource_use(self) -> dict[str, float | None]:
        """Return the resource use of the last second.

        ``over_s`` is the exact length of the window.
        """
        now, cpu_s, paused_s = self._sample()
        oldest = self._samples[0] if self._samples else (now, cpu_s, paused_s)
        return {
            "lag_s": round(self._lag.worst_s(), 4),
            "lag_mean_s": round(self._lag.mean_s(), 4),
            "over_s": round(now - oldest[0], 3),
            "cpu_s": round(cpu_s - oldest[1], 4),
            "collected_s": round(paused_s - oldest[2], 4),
            "resident_mb": _resident_mb(),
        }

    def _sample(self) -> tuple[float, float, float]:
        now = self._clock.now()
        return now, time.process_time(), self._gc_pauses.paused_s

    async def _watch(self) -> None:
        logged_at = self._clock.now()
        cpu_s = time.process_time()
        while True:
            for _ in range(SAMPLES_PER_CHECK):
                self._samples.append(self._sample())
                await self._clock.sleep(SAMPLE_INTERVAL_S)
            self._record_lag()
            over_s = self._clock.now() - logged_at
            if over_s >= WORK_LOG_INTERVAL_S:
                logged_at += over_s
                used_s, cpu_s = cpu_s, time.process_time()
                self._log_work(over_s, cpu_s - used_s)

    def _log_work(self, over_s: float, cpu_s: float) -> None:
        """Log the work done since the last such event.

        Each kind maps to seconds of execution (waits excluded), messages,
        bytes received and bytes sent.
        """
        observe.log_event(
            "vitals",
            "work",
            role=self._role,
            over_s=round(over_s, 3),
            cpu_s=round(cpu_s, 4),
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

    def _record_lag(self) -> None:
        worst_s = self._lag.worst_s()
        self._metrics.record_s("loop_lag_worst", worst_s)
        if worst_s > LAG_LOG_THRESHOLD_S:
            observe.log_event("vitals", "late", **self.resource_use())


def _resident_mb() -> float | None:
    """Return the resident memory in MB, None where it can't be read."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError) as error:
        logging.log_first_n(
            logging.INFO, "vitals: Resident memory is unknown: %s", 1, error
        )
        return None
    return round(pages * resource.getpagesize() / 1e6, 1)
