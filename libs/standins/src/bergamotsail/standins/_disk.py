"""In-memory disk that loses unsynced writes on a crash."""

import asyncio
import random

from bergamotsail import quorum

SYNC_S = 0.0005


class MemoryDisk(quorum.Disk):
    """Files in memory, with injectable faults.

    Args:
        rng: chooses how an unsynced write is torn in a crash.

    Attributes:
        fail_syncs: whether a sync fails and drops the unsynced data.
        full: whether appends fail.
        tear: whether a crash keeps part of the unsynced data.
        dead: whether the process crashed; writes then block forever.
        read_s: seconds that a read takes.
        sync_s: seconds that a sync takes.
    """

    def __init__(self, rng: random.Random) -> None:
        self.fail_syncs = False
        self.full = False
        self.tear = False
        self.dead = False
        self.read_s = 0.0
        self.sync_s = SYNC_S
        self._rng = rng
        self._synced_by_name: dict[str, bytes] = {}
        self._pending_by_name: dict[str, bytes] = {}

    def crash(self) -> None:
        """Drop unsynced data; with ``tear``, keep part of it."""
        for name, pending in self._pending_by_name.items():
            kept = b""
            if self.tear and pending:
                kept = self._torn(pending)
            synced = self._synced_by_name.get(name)
            if synced is not None or kept:
                self._synced_by_name[name] = (synced or b"") + kept
        self._pending_by_name.clear()
        self.dead = True

    def _torn(self, pending: bytes) -> bytes:
        """Return a write that is cut short, or has a range of zeros."""
        first = self._rng.randrange(len(pending))
        if self._rng.random() < 0.5:
            return pending[:first]
        last = self._rng.randint(first + 1, len(pending))
        return pending[:first] + bytes(last - first) + pending[last:]

    def start_again(self) -> None:
        """Clear the crash and the sync and space faults after a restart.

        ``tear`` and the delays are kept.
        """
        self.dead = False
        self.fail_syncs = False
        self.full = False

    def lose(self) -> None:
        """Delete all files."""
        self._synced_by_name.clear()
        self._pending_by_name.clear()

    async def read(self, name: str) -> bytes | None:
        await asyncio.sleep(self.read_s)
        synced = self._synced_by_name.get(name)
        pending = self._pending_by_name.get(name)
        if synced is None and pending is None:
            return None
        return (synced or b"") + (pending or b"")

    async def append(self, name: str, data: bytes) -> None:
        await self._block_if_crashed()
        if self.full:
            raise quorum.DiskError("The disk is full.")
        pending = self._pending_by_name.get(name, b"")
        self._pending_by_name[name] = pending + data

    async def sync(self, name: str) -> None:
        await asyncio.sleep(self.sync_s)
        await self._block_if_crashed()
        if self.fail_syncs:
            self._pending_by_name.pop(name, None)
            raise quorum.DiskError("The sync failed.")
        pending = self._pending_by_name.pop(name, b"")
        synced = self._synced_by_name.get(name, b"")
        self._synced_by_name[name] = synced + pending

    async def truncate(self, name: str, size: int) -> None:
        await self.sync(name)
        self._synced_by_name[name] = self._synced_by_name[name][:size]

    async def rename(self, old: str, new: str) -> None:
        await asyncio.sleep(self.sync_s)
        await self._block_if_crashed()
        self._synced_by_name[new] = self._synced_by_name.pop(old, b"")
        self._pending_by_name.pop(new, None)
        if old in self._pending_by_name:
            pending = self._pending_by_name.pop(old)
            self._pending_by_name[new] = pending

    async def remove(self, name: str) -> None:
        await self._block_if_crashed()
        self._synced_by_name.pop(name, None)
        self._pending_by_name.pop(name, None)

    async def _block_if_crashed(self) -> None:
        if self.dead:
            # A crashed process writes nothing more: block until the task is
            # cancelled.
            await asyncio.Event().wait()
