"""In-memory log: the entries after the last snapshot."""

import collections.abc

from bergamotsail.quorum import _messages
from bergamotsail import wire

Config = _messages.Config
Entry = _messages.Entry
SnapshotMeta = _messages.SnapshotMeta


class Log:
    """Entries after the snapshot, and the configurations they set.

    A configuration takes effect when its entry is appended, whether it is
    committed or not; when the entry is truncated, the previous one applies.
    """

    def __init__(self) -> None:
        self.snapshot = SnapshotMeta(0, 0, Config())
        self._entries: list[Entry] = []
        # Size of the data of all entries up to each one, in bytes.
        self._end_bytes: list[int] = []
        self._configs: list[tuple[int, Config]] = [(0, Config())]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        if self._entries:
            return self._entries[-1].index
        return self.snapshot.index

    @property
    def config(self) -> Config:
        """The latest configuration."""
        return self._configs[-1][1]

    @property
    def config_index(self) -> int:
        """Index of the entry that set the latest configuration."""
        return self._configs[-1][0]

    def config_at(self, index: int) -> Config:
        """Return the latest configuration at or before an index."""
        return [config for at, config in self._configs if at <= index][-1]

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index after the snapshot."""
        return self._entries[index - self.snapshot.index - 1]

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or of the snapshot's last entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        return self.entry_at(index).term

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from *first* to *last*, both included."""
        return tuple(self.entry_at(i) for i in range(first, last + 1))

    def bytes_after(self, index: int) -> int:
        """Return the size of the data of all entries after an index.

        The index is that of the snapshot, or of an entry after it.
        """
        if index >= self.last_index:
            return 0
        first = index - self.snapshot.index
        before = self._end_bytes[first] - len(self._entries[first].data)
        return self._end_bytes[-1] - before

    def matches(self, index: int, term: int) -> bool:
        """Whether the entry at *index* has this term."""
        if index <= self.snapshot.index:
            # A snapshot covers only committed entries, which always match.
            return True
        return index <= self.last_index and self.term_at(index) == term

    def add(self, entry: Entry) -> None:
        """Append an entry, and apply a configuration in it at once."""
        self._entries.append(entry)
        before = self._end_bytes[-1] if self._end_bytes else 0
        self._end_bytes.append(before + len(entry.data))
        if entry.kind is _messages.EntryKind.CONFIG:
            config = wire.decode(entry.data, Config)
            self._configs.append((entry.index, config))

    def truncate_after(self, index: int) -> None:
        """Remove all entries after an index."""
        del self._entries[index - self.snapshot.index :]
        del self._end_bytes[index - self.snapshot.index :]
        self._configs = [(at, c) for at, c in self._configs if at <= index]

    def compact(self, meta: SnapshotMeta) -> None:
        """Discard the entries that a snapshot of this log now covers."""
        del self._entries[: meta.index - self.snapshot.index]
        del self._end_bytes[: meta.index - self.snapshot.index]
        later = [(at, c) for at, c in self._configs if at > meta.index]
        self._configs = [(meta.index, meta.config), *later]
        self.snapshot = meta

    def reset(self, meta: SnapshotMeta) -> None:
        """Discard all entries and continue from a snapshot."""
        self._entries.clear()
        self._end_bytes.clear()
        self._configs = [(meta.index, meta.config)]
        self.snapshot = meta

    def entries_after(self, index: int) -> collections.abc.Sequence[Entry]:
        """Return all entries after an index."""
        return self._entries[index - self.snapshot.index :]
