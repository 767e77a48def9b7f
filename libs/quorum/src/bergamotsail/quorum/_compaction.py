"""Decides when the log is compacted into a snapshot."""

import dataclasses
import random

# The applied entries may take this multiple of the last snapshot before their
# size makes the next one due. Snapshots of large changes then add at most half
# of what the log writes, and a replica that receives a snapshot has the time
# of twice as many bytes of entries before the next one replaces it.
SNAPSHOT_RATIO = 2
# Replicas draw their limit of bytes from this fraction on. A replica answers
# no calls while it compacts its log; if all did so at once, the leader would
# lose its majority.
MIN_LIMIT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CompactionLimits:
    """Bounds of the applied entries between two snapshots.

    Args:
        entries: largest number of entries.
        log_bytes: largest size of their data in bytes, unless the last
            snapshot is larger than half of it. Each limit is drawn between
            half of it and all of it.
    """

    entries: int
    log_bytes: int


class Compaction:
    """Counts the entries that were applied since the last snapshot.

    Example: with limits of 300 entries and 8 MB, 6 to 12 entries of 0.7 MB
    make a snapshot due, and so do 300 small ones. After a snapshot of 10 MB
    another is due at 20 MB, or 300 entries.

    Args:
        rng: draws the limits of bytes; differs between replicas.
    """

    def __init__(self, limits: CompactionLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._entries = 0
        self._log_bytes = 0
        self._max_log_bytes = 0.0
        self.reset(0)

    def add(self, entry_bytes: int) -> None:
        """Count an applied entry."""
        self._entries += 1
        self._log_bytes += entry_bytes

    def reset(self, snapshot_bytes: int) -> None:
        """Start again after a snapshot of this size was taken or loaded."""
        self._entries = 0
        self._log_bytes = 0
        fraction = self._rng.uniform(MIN_LIMIT_FRACTION, 1.0)
        self._max_log_bytes = max(
            fraction * self._limits.log_bytes, SNAPSHOT_RATIO * snapshot_bytes
        )

    @property
    def is_due(self) -> bool:
        """Whether a snapshot must be taken."""
        return (
            self._entries >= self._limits.entries
            or self._log_bytes >= self._max_log_bytes
        )
