"""Durable log, vote and snapshot of one replica.

The log and the snapshot are sequences of records: length, CRC-32C, how many
bytes of the file were synced when the record was written, and a JSON payload.
After a power loss, data that was not synced may be present, missing or torn,
in any order. A bad record therefore ends the log unless a later record shows
that it was synced: an unsynced record was never acknowledged and is truncated.
A bad record that was synced is corruption, and the replica refuses to start.
"""

import collections.abc
import dataclasses
import struct

import google_crc32c

from bergamotsail.quorum import _disk
from bergamotsail.quorum import _messages
from bergamotsail import wire

LOG = "log"
VOTE = "vote"
SNAPSHOT = "snapshot"
INCOMING = "snapshot.incoming"
IDENTITY = "identity"

_HEADER = struct.Struct("<II")
_SYNCED = struct.Struct("<Q")
# Bounds of one write of a snapshot.
_WRITE_LINES = 10_000
_WRITE_BYTES = 256 * 1024


class CorruptLogError(wire.ServingError):
    """Corruption in the synced part of a file."""

    code = "corrupt_log"
    status = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The id and name of the replica that owns this data folder."""

    id: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotEnd:
    """The last record of a snapshot file, with the number of its lines."""

    lines: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedState:
    """The durable state that a replica loads at start."""

    vote: _messages.Vote
    meta: _messages.SnapshotMeta | None
    entries: list[_messages.Entry]


def pack(payload: bytes, synced: int = 0) -> bytes:
    """Return a record with this payload.

    Args:
        payload: encoded content of the record.
        synced: number of bytes of the file that are already synced.
    """
    body = _SYNCED.pack(synced) + payload
    return _HEADER.pack(len(body), google_crc32c.value(body)) + body


def unpack(
    data: bytes, offset: int = 0
) -> collections.abc.Iterator[tuple[int, bytes]]:
    """Yield (end offset, payload) of each record before the first bad one."""
    while (body := _body_at(data, offset)) is not None:
        offset += _HEADER.size + len(body)
        yield offset, body[_SYNCED.size :]


def _body_at(data: bytes, offset: int) -> bytes | None:
    """Return the body of the record at *offset*, or None when it is bad."""
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    # Checked before the body is copied: in a damaged file the length is
    # arbitrary, and this runs at every offset.
    if not _SYNCED.size <= length <= len(data) - start:
        return None
    body = data[start : start + length]
    return body if google_crc32c.value(body) == checksum else None


def _was_synced(data: bytes, offset: int) -> bool:
    """Whether a later record shows that the bad one at *offset* was synced.

    The length of the bad record can't be trusted, so every later offset is
    tried; the next good record usually starts a few hundred bytes later.
    """
    for start in range(offset + 1, len(data) - _HEADER.size):
        body = _body_at(data, start)
        if body is not None and _SYNCED.unpack_from(body)[0] > offset:
            return True
    return False


class Storage:
    """The durable state of one replica.

    Entries written by ``append`` are durable only after ``sync``. The node
    makes no concurrent calls that write.
    """

    def __init__(self, disk: _disk.Disk) -> None:
        self._disk = disk
        self._end_by_index: dict[int, int] = {}
        self._size = 0
        self._synced = 0

    async def identity(self, name: str) -> Identity:
        """Return the identity in this folder; create it when missing."""
        data = await self._disk.read(IDENTITY)
        if data is not None:
            return wire.decode(data, Identity)
        identity = Identity(f"{name}.{wire.fresh_token(name)}", name)
        await self._disk.replace(IDENTITY, wire.encode(identity))
        return identity

    async def load(self) -> LoadedState:
        """Load vote, snapshot metadata and log; truncate a torn log tail.

        Raises:
            CorruptLogError: a synced record of the log is damaged or missing,
                or the snapshot is damaged.
        """
        vote_data = await self._disk.read(VOTE)
        vote = _messages.Vote()
        if vote_data is not None:
            vote = wire.decode(vote_data, _messages.Vote)
        meta = await self._load_meta()
        entries = await self._load_log()
        if meta is not None:
            entries = [entry for entry in entries if entry.index > meta.index]
        _check_contiguous(entries, meta.index if meta is not None else 0)
        return LoadedState(vote, meta, entries)

    async def _load_meta(self) -> _messages.SnapshotMeta | None:
        records = await self._snapshot_records(SNAPSHOT)
        if records is None:
            return None
        return wire.decode(records[0], _messages.SnapshotMeta)

    async def _load_log(self) -> list[_messages.Entry]:
        data = await self._disk.read(LOG) or b""
        entries = []
        self._end_by_index.clear()
        self._size = 0
        for end, payload in unpack(data):
            entry = wire.decode(payload, _messages.Entry)
            entries.append(entry)
            self._end_by_index[entry.index] = end
            self._size = end
        if self._size < len(data):
            if _was_synced(data, self._size):
                raise CorruptLogError(
                    f"The log is damaged at byte {self._size}. Remove the "
                    "data folder; the replica then joins as a new one."
                )
            await self._disk.truncate(LOG, self._size)
        if data:
            # A killed process may have left writes that were never synced.
            await self._disk.sync(LOG)
        self._synced = self._size
        return entries

    async def save_vote(self, vote: _messages.Vote) -> None:
        """Store term and vote durably."""
        await self._disk.replace(VOTE, wire.encode(vote))

    async def append(
        self, entries: collections.abc.Sequence[_messages.Entry]
    ) -> None:
        """Append entries; they are durable only after ``sync``."""
        records = [pack(wire.encode(e), self._synced) for e in entries]
        await self._disk.append(LOG, b"".join(records))
        for entry, record in zip(entries, records):
            self._size += len(record)
            self._end_by_index[entry.index] = self._size

    async def sync(self) -> None:
        """Make all appended entries durable."""
        size = self._size
        await self._disk.sync(LOG)
        self._synced = size

    async def truncate_after(self, index: int) -> None:
        """Remove all entries after *index*."""
        size = self._end_by_index.get(index, 0)
        await self._disk.truncate(LOG, size)
        self._size = self._synced = size
        self._end_by_index = {
            at: end for at, end in self._end_by_index.items() if at <= index
        }

    async def rewrite_log(
        self, entries: collections.abc.Sequence[_messages.Entry]
    ) -> None:
        """Replace the whole log by these entries."""
        records = []
        self._size = 0
        self._end_by_index.clear()
        for entry in entries:
            # The file is synced before it replaces the log, so each record
            # counts all bytes before it as synced.
            records.append(pack(wire.encode(entry), self._size))
            self._size += len(records[-1])
            self._end_by_index[entry.index] = self._size
        await self._disk.replace(LOG, b"".join(records))
        self._synced = self._size

    async def write_snapshot(
        self,
        meta: _messages.SnapshotMeta,
        lines: collections.abc.Iterator[bytes],
    ) -> int:
        """Write a snapshot and make it the current one.

        Returns:
            The size of its lines in bytes.
        """
        await self.begin_incoming(meta)
        count = size = 0
        for batch in wire.batches(lines, len, _WRITE_LINES, _WRITE_BYTES):
            await self.add_incoming(batch)
            count += len(batch)
            size += sum(map(len, batch))
        await self.finish_incoming(count)
        return size

    async def begin_incoming(self, meta: _messages.SnapshotMeta) -> None:
        """Start a new snapshot file next to the current one."""
        await self._disk.remove(INCOMING)
        await self._disk.append(INCOMING, pack(wire.encode(meta)))

    async def add_incoming(
        self, lines: collections.abc.Sequence[bytes]
    ) -> None:
        """Append lines to the incoming snapshot."""
        data = b"".join(pack(line) for line in lines)
        await self._disk.append(INCOMING, data)

    async def finish_incoming(self, count: int) -> None:
        """Sync the incoming snapshot and make it the current one."""
        end = pack(wire.encode(SnapshotEnd(count)))
        await self._disk.append(INCOMING, end)
        await self._disk.sync(INCOMING)
        await self._disk.rename(INCOMING, SNAPSHOT)

    async def read_snapshot(
        self,
    ) -> tuple[_messages.SnapshotMeta, list[bytes]] | None:
        """Return metadata and lines of the current snapshot, or None."""
        records = await self._snapshot_records(SNAPSHOT)
        if records is None:
            return None
        meta = wire.decode(records[0], _messages.SnapshotMeta)
        return meta, records[1:-1]

    async def _snapshot_records(self, name: str) -> list[bytes] | None:
        data = await self._disk.read(name)
        if data is None:
            return None
        records = [payload for _, payload in unpack(data)]
        if len(records) < 2:
            raise _corrupt_snapshot()
        try:
            end = wire.decode(records[-1], SnapshotEnd)
        except wire.BadMessageError as error:
            raise _corrupt_snapshot() from error
        if end.lines != len(records) - 2:
            raise _corrupt_snapshot()
        return records


def _check_contiguous(
    entries: collections.abc.Sequence[_messages.Entry], before: int
) -> None:
    """Raise unless the entries are contiguous from the index after *before*.

    Raises:
        CorruptLogError: an entry is missing.
    """
    for expected, entry in enumerate(entries, before + 1):
        if entry.index != expected:
            raise CorruptLogError(
                f"The log has entry {entry.index} where {expected} is "
                "expected. Remove the data folder; the replica then joins as "
                "a new one."
            )


def _corrupt_snapshot() -> CorruptLogError:
    return CorruptLogError(
        "The snapshot is damaged. Remove the data folder; the replica then "
        "joins as a new one."
    )
