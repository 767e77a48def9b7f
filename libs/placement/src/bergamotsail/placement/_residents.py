"""What is resident in an engine, and what may not be evicted."""

import dataclasses

from bergamotsail import targets


@dataclasses.dataclass(slots=True)
class Resident:
    """An adapter version in a slot.

    Args:
        confirmed: the engine confirmed it in its present incarnation.
        changed_at: reports older than this say nothing of it.
        pins: runs of ours that use it.
        doubt_since: an event after which it may be in use unseen; None
            when there is no doubt.
        draining: it takes no new run, to make room.
    """

    name: str
    confirmed: bool
    changed_at: float
    pins: int = 0
    doubt_since: float | None = None
    draining: bool = False

    @property
    def pinned(self) -> bool:
        """Whether it may be serving."""
        return self.pins > 0 or self.doubt_since is not None


class Residents:
    """The slots of one engine, as far as its owner can know.

    A report speaks of a moment in the past. It is believed about an
    adapter only if that moment lies after the last event we know of.

    Args:
        now: the moment of taking over; whatever is found resident may be
            serving runs of an earlier owner until a later report says
            otherwise.
    """

    def __init__(self, now: float) -> None:
        self.by_name: dict[str, Resident] = {}
        self.incarnation: str | None = None
        self._taken_over_at = now
        self._past_incarnations: set[str] = set()
        self._gone_at: dict[str, float] = {}

    def usable(self, name: str) -> bool:
        """Whether a run may be sent to this adapter version."""
        resident = self.by_name.get(name)
        return (
            resident is not None
            and resident.confirmed
            and not resident.draining
        )

    def confirmed(self) -> tuple[str, ...]:
        """Return the adapter versions that surely are resident."""
        return tuple(r.name for r in self.by_name.values() if r.confirmed)

    def stop_draining(self) -> None:
        """Let every adapter take new runs again."""
        for resident in self.by_name.values():
            resident.draining = False

    def pin(self, name: str) -> None:
        """Keep an adapter from eviction while a run uses it."""
        self.by_name[name].pins += 1

    def unpin(self, name: str, incarnation: str | None) -> None:
        """Undo a pin, unless its incarnation is gone."""
        resident = self.by_name.get(name)
        if resident is not None and incarnation == self.incarnation:
            resident.pins = max(0, resident.pins - 1)

    def doubt(self, name: str, incarnation: str | None, now: float) -> None:
        """Keep an adapter: a run on it may go on unseen."""
        resident = self.by_name.get(name)
        if resident is not None and incarnation == self.incarnation:
            resident.doubt_since = now

    def loading(self, name: str, now: float) -> None:
        """Reserve a slot before a load is ordered."""
        self.by_name[name] = Resident(name, False, now)

    def loaded(self, name: str, now: float) -> None:
        """The engine confirmed a load."""
        self.by_name[name] = Resident(name, True, now)
        self._gone_at.pop(name, None)

    def not_loaded(self, name: str, now: float) -> None:
        """The engine said that a load failed."""
        self.by_name.pop(name, None)
        self._gone_at[name] = now

    def unloaded(self, name: str, now: float) -> None:
        """The engine confirmed an eviction."""
        self.by_name.pop(name, None)
        self._gone_at[name] = now

    def uncertain(self, name: str, now: float) -> None:
        """An order's outcome is unknown; a later report will tell."""
        resident = self.by_name.get(name)
        if resident is not None:
            resident.confirmed = False
            resident.changed_at = now

    def restarted(self, incarnation: str, now: float) -> None:
        """The engine is a new incarnation, and empty."""
        if self.incarnation is not None:
            self._past_incarnations.add(self.incarnation)
            self._taken_over_at = now
        self.incarnation = incarnation
        self.by_name.clear()
        self._gone_at.clear()

    def believe(
        self, report: targets.EngineReport, as_of: float, now: float
    ) -> bool:
        """Take a report that shows the engine as of *as_of*.

        Returns whether it showed a new incarnation.
        """
        if report.incarnation in self._past_incarnations:
            return False
        is_new = report.incarnation != self.incarnation
        if is_new:
            self.restarted(report.incarnation, now)
        for name in report.residents:
            self._believe_present(name, report, as_of)
        for name in set(self.by_name) - set(report.residents):
            if as_of > self.by_name[name].changed_at:
                del self.by_name[name]
        return is_new

    def _believe_present(
        self, name: str, report: targets.EngineReport, as_of: float
    ) -> None:
        resident = self.by_name.get(name)
        if resident is None:
            if as_of <= self._gone_at.get(name, float("-inf")):
                return
            resident = Resident(name, True, as_of)
            resident.doubt_since = self._taken_over_at
            self.by_name[name] = resident
        if as_of > resident.changed_at:
            resident.confirmed = True
        # Only a report of no run at all ends a doubt: counts of a past
        # moment can't be set against the pins of this one.
        idle = report.active_by_resident.get(name, 0) == 0
        in_doubt = resident.doubt_since is not None
        if in_doubt and as_of > resident.doubt_since and idle:
            resident.doubt_since = None
