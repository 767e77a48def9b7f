"""Tracks the resident adapters of an engine and which may be evicted."""

import dataclasses

from bergamotsail import targets


@dataclasses.dataclass(slots=True)
class Resident:
    """An adapter version in a slot.

    Args:
        confirmed: the current incarnation of the engine confirmed it.
        changed_at: reports of an earlier state are ignored.
        pins: number of this owner's runs that use it.
        doubt_since: time since which runs unknown to this owner may use it;
            None if there are none.
        draining: it takes no new runs, so that it can be evicted.
    """

    name: str
    confirmed: bool
    changed_at: float
    pins: int = 0
    doubt_since: float | None = None
    draining: bool = False

    @property
    def pinned(self) -> bool:
        """Whether a run may be using it."""
        return self.pins > 0 or self.doubt_since is not None


class Residents:
    """The slots of one engine as known to its owner.

    A report shows a past state. It is applied to an adapter only if that
    state is later than the adapter's last known change.

    Args:
        now: when the ownership began. Adapters found resident may be serving
            runs of an earlier owner until a later report shows that they are
            idle.
    """

    def __init__(self, now: float) -> None:
        self.by_name: dict[str, Resident] = {}
        self.incarnation: str | None = None
        self._taken_over_at = now
        self._past_incarnations: set[str] = set()
        self._unloaded_at: dict[str, float] = {}

    def usable(self, name: str) -> bool:
        """Whether a run may be sent to this adapter version."""
        resident = self.by_name.get(name)
        return (
            resident is not None
            and resident.confirmed
            and not resident.draining
        )

    def confirmed(self) -> tuple[str, ...]:
        """Return the adapter versions confirmed as resident."""
        return tuple(r.name for r in self.by_name.values() if r.confirmed)

    def stop_draining(self) -> None:
        """Let every adapter take new runs again."""
        for resident in self.by_name.values():
            resident.draining = False

    def pin(self, name: str) -> None:
        """Prevent the eviction of an adapter while a run uses it."""
        self.by_name[name].pins += 1

    def unpin(self, name: str, incarnation: str | None) -> None:
        """Undo a pin, unless the engine has been restarted since."""
        resident = self.by_name.get(name)
        if resident is not None and incarnation == self.incarnation:
            resident.pins = max(0, resident.pins - 1)

    def mark_in_doubt(
        self, name: str, incarnation: str | None, now: float
    ) -> None:
        """Prevent eviction until a later report shows the adapter idle.

        A run on it may continue at the engine.
        """
        resident = self.by_name.get(name)
        if resident is not None and incarnation == self.incarnation:
            resident.doubt_since = now

    def loading(self, name: str, now: float) -> None:
        """Reserve a slot before the load order is sent."""
        self.by_name[name] = Resident(name, False, now)

    def loaded(self, name: str, now: float) -> None:
        """Record that the engine confirmed a load."""
        self.by_name[name] = Resident(name, True, now)
        self._unloaded_at.pop(name, None)

    def not_loaded(self, name: str, now: float) -> None:
        """Record that the engine reported a failed load."""
        self.by_name.pop(name, None)
        self._unloaded_at[name] = now

    def unloaded(self, name: str, now: float) -> None:
        """Record that the engine confirmed an eviction."""
        self.by_name.pop(name, None)
        self._unloaded_at[name] = now

    def mark_unconfirmed(self, name: str, now: float) -> None:
        """Mark an adapter as unconfirmed until a later report shows it."""
        resident = self.by_name.get(name)
        if resident is not None:
            resident.confirmed = False
            resident.changed_at = now

    def restarted(self, incarnation: str, now: float) -> None:
        """Reset the slots for a new incarnation of the engine."""
        if self.incarnation is not None:
            self._past_incarnations.add(self.incarnation)
            self._taken_over_at = now
        self.incarnation = incarnation
        self.by_name.clear()
        self._unloaded_at.clear()

    def apply_report(
        self, report: targets.EngineReport, as_of: float, now: float
    ) -> bool:
        """Apply a report of the engine's state at *as_of*.

        Returns whether it showed a new incarnation. A report of an earlier
        incarnation is ignored.
        """
        if report.incarnation in self._past_incarnations:
            return False
        is_new = report.incarnation != self.incarnation
        if is_new:
            self.restarted(report.incarnation, now)
        for name in report.residents:
            self._apply_resident(name, report, as_of)
        for name in set(self.by_name) - set(report.residents):
            if as_of > self.by_name[name].changed_at:
                del self.by_name[name]
        return is_new

    def _apply_resident(
        self, name: str, report: targets.EngineReport, as_of: float
    ) -> None:
        resident = self.by_name.get(name)
        if resident is None:
            if as_of <= self._unloaded_at.get(name, float("-inf")):
                return
            resident = Resident(name, True, as_of)
            resident.doubt_since = self._taken_over_at
            self.by_name[name] = resident
        if as_of > resident.changed_at:
            resident.confirmed = True
        # Only a report without any run rules out unknown runs: a count of runs
        # at a past time can't be compared with the current pins.
        idle = report.active_by_resident.get(name, 0) == 0
        in_doubt = resident.doubt_since is not None
        if in_doubt and as_of > resident.doubt_since and idle:
            resident.doubt_since = None
