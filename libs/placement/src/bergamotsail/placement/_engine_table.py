"""All engine records, with indexes of the engines that have an adapter."""

import collections.abc

from bergamotsail.placement import _engine_record

AdapterName = _engine_record.AdapterName
EngineRecord = _engine_record.EngineRecord


class EngineTable:
    """Engine records by target.

    It indexes where adapters are and where engines keep copies of them, so
    that a decision costs as much with hundreds of engines as with a few.

    Example::

        table.add(record)
        record.put_slot(("base", "a1"), slot)
        table.holders(("base", "a1"))  # (record,)
    """

    def __init__(self) -> None:
        self.record_by_target: dict[str, EngineRecord] = {}
        self._held = _engine_record.AdapterIndex()
        self._copies = _engine_record.AdapterIndex()
        # Increases when a record is added or removed.
        self.revision = 0
        self._pools_at = -1
        self._by_pool: dict[str, list[EngineRecord]] = {}

    def add(self, record: EngineRecord) -> None:
        """Add a record; it replaces an earlier one of the same target."""
        self.remove(record.info.id)
        self.record_by_target[record.info.id] = record
        record.attach(self._held, self._copies)
        self.revision += 1

    def remove(self, target: str) -> None:
        """Remove the record of a target, if there is one."""
        record = self.record_by_target.pop(target, None)
        if record is not None:
            record.detach()
            self.revision += 1

    def clear(self) -> None:
        """Remove all records."""
        for target in list(self.record_by_target):
            self.remove(target)

    def holders(
        self, name: AdapterName
    ) -> collections.abc.Collection[EngineRecord]:
        """Return the engines with a slot for an adapter, in any state."""
        return self._held.records(name)

    def keepers(
        self, name: AdapterName
    ) -> collections.abc.Collection[EngineRecord]:
        """Return the engines that keep a local copy of an adapter."""
        return self._copies.records(name)

    def pool(self, name: str) -> collections.abc.Sequence[EngineRecord]:
        """Return the engines of a pool; not to be changed."""
        if self._pools_at != self.revision:
            self._pools_at = self.revision
            self._by_pool = {}
            for record in self.record_by_target.values():
                self._by_pool.setdefault(record.info.pool, []).append(record)
        return self._by_pool.get(name, [])
