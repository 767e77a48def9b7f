"""Histograms and counters, by name and labels.

Histograms are exported in HdrHistogram's encoded form, so that those of many
daemons can be merged without loss.
"""

import collections
import collections.abc
import dataclasses

from hdrh import histogram

MIN_US = 1
MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 95, 99, 100)


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """All metrics of one daemon; histograms are encoded, in microseconds."""

    histogram_by_name: dict[str, str]
    counter_by_name: dict[str, int]


class Metrics:
    """The metrics of one daemon."""

    def __init__(self) -> None:
        self._histogram_by_name: dict[str, histogram.HdrHistogram] = {}
        self._counter_by_name: collections.Counter[str] = collections.Counter()

    def record_s(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds."""
        full = full_name(name, labels)
        if full not in self._histogram_by_name:
            self._histogram_by_name[full] = _new_histogram()
        microseconds = min(max(int(seconds * 1e6), MIN_US), MAX_US)
        self._histogram_by_name[full].record_value(microseconds)

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counter_by_name[full_name(name, labels)] += by

    def set(self, name: str, value: int, **labels: str) -> None:
        """Set a value that may also fall; daemons' values are added up."""
        self._counter_by_name[full_name(name, labels)] = value

    def counters(
        self, names: collections.abc.Collection[str]
    ) -> dict[str, int]:
        """Return the counters of these names, with their labels."""
        return {
            full: count
            for full, count in self._counter_by_name.items()
            if full.partition("{")[0] in names
        }

    def reset(self) -> None:
        """Delete all metrics, for example after a warm-up."""
        self._histogram_by_name.clear()
        self._counter_by_name.clear()

    def snapshot(self) -> MetricsSnapshot:
        """Return all metrics in a form that can be sent and merged."""
        return MetricsSnapshot(
            {
                name: recorded.encode().decode()
                for name, recorded in self._histogram_by_name.items()
            },
            dict(self._counter_by_name),
        )


def full_name(name: str, labels: dict[str, str]) -> str:
    """Return a name with its labels.

    Example: ``full_name("refusals", {"code": "deadline"})`` gives
    ``refusals{code=deadline}``.
    """
    if not labels:
        return name
    inner = ",".join(f"{key}={labels[key]}" for key in sorted(labels))
    return f"{name}{{{inner}}}"


def merge(snapshots: list[MetricsSnapshot]) -> MetricsSnapshot:
    """Merge the metrics of many daemons."""
    merged: dict[str, histogram.HdrHistogram] = {}
    counters: collections.Counter[str] = collections.Counter()
    for snapshot in snapshots:
        counters.update(snapshot.counter_by_name)
        for name, encoded in snapshot.histogram_by_name.items():
            if name not in merged:
                merged[name] = _new_histogram()
            merged[name].decode_and_add(encoded)
    return MetricsSnapshot(
        {name: h.encode().decode() for name, h in merged.items()},
        dict(counters),
    )


def readable(snapshot: MetricsSnapshot) -> dict[str, dict[str, float]]:
    """Return percentiles in milliseconds, and counters as ``count``."""
    shown: dict[str, dict[str, float]] = {}
    for name, encoded in sorted(snapshot.histogram_by_name.items()):
        decoded = histogram.HdrHistogram.decode(encoded)
        shown[name] = {"count": decoded.get_total_count()} | {
            f"p{percentile}_ms": decoded.get_value_at_percentile(percentile)
            / 1000
            for percentile in PERCENTILES
        }
    for name, count in sorted(snapshot.counter_by_name.items()):
        shown[name] = {"count": count}
    return shown


def as_text(snapshot: MetricsSnapshot) -> str:
    """Return one line for each value: its name, its labels and the value.

    Example: ``request_p99_ms{code=done} 812.5``
    """
    lines = []
    for name, figures in readable(snapshot).items():
        base, brace, labels = name.partition("{")
        for figure, value in figures.items():
            lines.append(f"{base}_{figure}{brace}{labels} {value}")
    return "\n".join(lines) + "\n"


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
