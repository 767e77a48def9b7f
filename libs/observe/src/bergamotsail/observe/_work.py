"""Time, messages and bytes of a process, by kind of work.

Only the time in which a coroutine runs is counted, not the time in which it
waits. The values are counters of the metrics, so they can be merged over
daemons.

Example::

    reply = await observe.timed(metrics, "place", handler, message)
    observe.count_message(metrics, "place", received=410, sent=180)
"""

import collections.abc
import contextlib
import dataclasses
import time
import types
import typing

from bergamotsail.observe import _metrics

TIME = "work_us"
MESSAGES = "work_messages"
RECEIVED = "work_received_bytes"
SENT = "work_sent_bytes"
US_PER_S = 1e6

Result = typing.TypeVar("Result")
Metrics = _metrics.Metrics


@dataclasses.dataclass(frozen=True, slots=True)
class WorkDone:
    """Totals of one kind of work.

    Args:
        took_s: time in which it ran, in seconds.
        received: bytes of the bodies that were received.
        sent: bytes of the bodies that were sent.
    """

    took_s: float = 0.0
    messages: int = 0
    received: int = 0
    sent: int = 0


async def timed(
    metrics: Metrics,
    kind: str,
    work: collections.abc.Callable[
        ..., collections.abc.Coroutine[typing.Any, typing.Any, Result]
    ],
    *args: object,
) -> Result:
    """Await *work* with its arguments and count the time that it runs."""
    return await _drive(metrics, kind, work(*args))


@types.coroutine
def _drive(metrics, kind, work):
    """Drive the coroutine *work* and count its time between awaits."""
    step, value = work.send, None
    try:
        while True:
            with spent(metrics, kind):
                try:
                    awaited = step(value)
                except StopIteration as end:
                    return end.value
            try:
                value = yield awaited
                step = work.send
            except BaseException as error:
                step, value = work.throw, error
    finally:
        work.close()


@contextlib.contextmanager
def spent(metrics: Metrics, kind: str) -> collections.abc.Iterator[None]:
    """Count the time of a block that doesn't await."""
    began = time.perf_counter()
    try:
        yield
    finally:
        took_us = int((time.perf_counter() - began) * US_PER_S)
        metrics.count(TIME, took_us, kind=kind)


def count_message(
    metrics: Metrics, kind: str, received: int = 0, sent: int = 0
) -> None:
    """Count a message and the bytes received and sent for it."""
    metrics.count(MESSAGES, kind=kind)
    metrics.count(RECEIVED, received, kind=kind)
    metrics.count(SENT, sent, kind=kind)


class WorkLog:
    """Reports the work done since the previous report."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._last_counts: dict[str, int] = {}

    def since_last(self) -> dict[str, WorkDone]:
        """Return the work done by kind, in descending order of time."""
        counted = self._metrics.counters((TIME, MESSAGES, RECEIVED, SENT))
        increases = {
            key: count - self._last_counts.get(key, 0)
            for key, count in counted.items()
        }
        self._last_counts = counted
        by_kind: dict[str, dict[str, int]] = {}
        for key, count in increases.items():
            name, _, labels = key.partition("{kind=")
            if count:
                by_kind.setdefault(labels.rstrip("}"), {})[name] = count
        done = {kind: _done(counts) for kind, counts in by_kind.items()}
        return dict(sorted(done.items(), key=lambda item: -item[1].took_s))


def _done(counts: dict[str, int]) -> WorkDone:
    return WorkDone(
        counts.get(TIME, 0) / US_PER_S,
        counts.get(MESSAGES, 0),
        counts.get(RECEIVED, 0),
        counts.get(SENT, 0),
    )
