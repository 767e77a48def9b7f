"""Tables of the time, messages and bytes of processes, by kind of work."""

import collections
import collections.abc
import dataclasses

from bergamotsail.explain import _events

Event = _events.Event
MS_PER_S = 1000.0
BYTES_PER_KB = 1000.0
MAX_KIND_ROWS = 16


@dataclasses.dataclass(slots=True)
class _WorkTotals:
    """Totals of one kind of work."""

    took_s: float = 0.0
    messages: int = 0
    received: int = 0
    sent: int = 0

    def add(self, values: collections.abc.Sequence[float]) -> None:
        """Add the values of one line."""
        took_s, messages, received, sent = values
        self.took_s += took_s
        self.messages += int(messages)
        self.received += int(received)
        self.sent += int(sent)


def work_tables(
    events: collections.abc.Iterable[Event],
) -> collections.abc.Iterator[str]:
    """Yield tables for each role: its mean process and its busiest one."""
    by_role: dict[str, dict[str, list[Event]]] = {}
    for event in events:
        if (event.part, event.what) == ("vitals", "work"):
            role = str(event.fields.get("role", "-"))
            events_by_daemon = by_role.setdefault(
                role, collections.defaultdict(list)
            )
            events_by_daemon[event.daemon].append(event)
    for role, events_by_daemon in sorted(by_role.items()):
        yield from _table(role, events_by_daemon)
        yield ""


def _table(
    role: str, events_by_daemon: dict[str, list[Event]]
) -> collections.abc.Iterator[str]:
    busiest = max(
        events_by_daemon, key=lambda d: _utilization(events_by_daemon[d])
    )
    all_events = [e for events in events_by_daemon.values() for e in events]
    yield from _rows(f"{role}, mean of {len(events_by_daemon)}", all_events)
    yield from _rows(f"{role}, busiest {busiest}", events_by_daemon[busiest])


def _utilization(events: list[Event]) -> float:
    """Return the fraction of the time in which a process worked."""
    over_s = sum(event.number("over_s") for event in events)
    took_s = sum(done.took_s for done in _totals_by_kind(events).values())
    return took_s / over_s if over_s else 0.0


def _rows(title: str, events: list[Event]) -> collections.abc.Iterator[str]:
    over_s = sum(event.number("over_s") for event in events)
    memory_mb = max(event.number("resident_mb") for event in events)
    yield (
        f"{title:44}{'ms/s':>9}{'calls/s':>9}{'KB/s in':>9}"
        f"{'KB/s out':>9}   {memory_mb:.0f} MB at most"
    )
    if not over_s:
        return
    ranked = sorted(
        _totals_by_kind(events).items(), key=lambda item: -item[1].took_s
    )
    for kind, done in ranked[:MAX_KIND_ROWS]:
        yield (
            f"  {kind:42}{done.took_s * MS_PER_S / over_s:9.2f}"
            f"{done.messages / over_s:9.2f}"
            f"{done.received / BYTES_PER_KB / over_s:9.3f}"
            f"{done.sent / BYTES_PER_KB / over_s:9.3f}"
        )


def _totals_by_kind(events: list[Event]) -> dict[str, _WorkTotals]:
    totals_by_kind: dict[str, _WorkTotals] = collections.defaultdict(
        _WorkTotals
    )
    for event in events:
        by_kind = event.fields.get("by_kind")
        if isinstance(by_kind, dict):
            for kind, values in by_kind.items():
                totals_by_kind[kind].add(values)
    return totals_by_kind
