"""The catalogue and target ownership as each daemon holds them."""

import collections.abc
import dataclasses
import zlib

from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _members
from bergamotsail.catalogue import _routes
from bergamotsail import wire

# Values of at least this many characters of JSON are sent compressed; shorter
# ones fit into one or two packets anyway. Each change of a route table is sent
# to every daemon in full. A table of 1,500 routes takes 376 kB as text and
# 18 kB (similar names) to 88 kB (random names) compressed; compressing takes
# 3 ms and is done once for all daemons.
COMPRESS_MIN_CHARS = 4_096
COMPRESS_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """The owner of a target; *owner* is None while it has none.

    The epoch grows with each change of ownership and is the fencing token
    of every order sent to the target.
    """

    target: str
    owner: str | None
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """One change of a view: an entry set or deleted, or a new ownership.

    Args:
        index: index of the log entry that caused it.
        value: the entry's JSON, or None if it was deleted or *deflated* is
            set.
        deflated: the entry's JSON, zlib-compressed; replaces a long value.
        more: whether *deflated* is continued in the next effect.
    """

    index: int
    kind: _entries.Kind | None = None
    id: str = ""
    value: str | None = None
    ownership: Ownership | None = None
    deflated: bytes | None = None
    more: bool = False

    @property
    def text(self) -> str | None:
        """The entry's JSON, or None if it was deleted.

        Raises:
            BadMessageError: the compressed value is corrupt.
        """
        if self.deflated is None:
            return self.value
        try:
            return zlib.decompress(self.deflated).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            raise wire.BadMessageError(
                f"Entry {self.id} is corrupt: {error}. Fetch it again."
            ) from error

    @property
    def size(self) -> int:
        """Approximate size of the value on the wire, in bytes.

        A compressed value is sent as base64.
        """
        return len(self.value or "") + len(self.deflated or b"") * 4 // 3

    def compressed(self) -> "Effect":
        """Return this effect with a long value compressed."""
        if self.value is None or len(self.value) < COMPRESS_MIN_CHARS:
            return self
        deflated = zlib.compress(self.value.encode(), COMPRESS_LEVEL)
        return dataclasses.replace(self, value=None, deflated=deflated)


def split_effect(
    effect: Effect, max_bytes: int
) -> collections.abc.Iterator[Effect]:
    """Split an effect with a long compressed value.

    Each part carries at most *max_bytes* bytes of the value. An effect that is
    not compressed is yielded whole.
    """
    data = effect.deflated
    if data is None or len(data) <= max_bytes:
        yield effect
        return
    for start in range(0, len(data), max_bytes):
        end = start + max_bytes
        yield dataclasses.replace(
            effect, deflated=data[start:end], more=end < len(data)
        )


class EffectAssembler:
    """Reassembles effects that were split by :func:`split_effect`."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def join(self, effect: Effect) -> Effect | None:
        """Add a part; return the whole effect once it is complete."""
        if effect.more:
            self._parts.append(effect.deflated)
            return None
        if not self._parts:
            return effect
        data = b"".join((*self._parts, effect.deflated))
        self._parts.clear()
        return dataclasses.replace(effect, deflated=data)


ROUTE_TABLE_ID = "table"


def adapter_key(model: str, adapter: str) -> str:
    """Return the id of an adapter's version entry."""
    return f"{model}/{adapter}"


class View:
    """Entries by kind and id, and ownership by target, up to an index."""

    def __init__(self) -> None:
        self.index = 0
        self.by_kind: dict[_entries.Kind, dict[str, _entries.Entry]] = {
            kind: {} for kind in _entries.Kind
        }
        self.ownership_by_target: dict[str, Ownership] = {}
        self.member_by_token: dict[str, str] = {}
        self._routes = _routes.RouteIndex(_routes.RouteTable(0))

    @property
    def routes(self) -> _routes.RouteIndex:
        """The current routes; version 0 until a table is set."""
        return self._routes

    def named_version(self, model: str, adapter: str) -> int | None:
        """Return the newest version set for an adapter, if any."""
        named = self.by_kind[_entries.Kind.ADAPTER_VERSION]
        entry = named.get(adapter_key(model, adapter))
        return None if entry is None else entry.value.version

    @property
    def member_by_id(self) -> dict[str, _entries.Entry]:
        """Entries of kind MEMBER."""
        return self.by_kind[_entries.Kind.MEMBER]

    def budget(self, member: str) -> _members.Budget | None:
        """Return the budget of a member of the route table or catalogue."""
        found = self._routes.member_by_name.get(member)
        if found is None and member in self.member_by_id:
            found = self.member_by_id[member].value
        return None if found is None else found.limits.budget

    @property
    def adapter_by_id(self) -> dict[str, _entries.Entry]:
        """Entries of kind ADAPTER."""
        return self.by_kind[_entries.Kind.ADAPTER]

    @property
    def service_by_id(self) -> dict[str, _entries.Entry]:
        """Entries of kind SERVICE."""
        return self.by_kind[_entries.Kind.SERVICE]

    @property
    def pool_by_id(self) -> dict[str, _entries.Entry]:
        """Entries of kind POOL."""
        return self.by_kind[_entries.Kind.POOL]

    @property
    def quarantine_by_id(self) -> dict[str, _entries.Entry]:
        """Entries of kind QUARANTINE, by key of the request or part."""
        return self.by_kind[_entries.Kind.QUARANTINE]

    @property
    def blocked_keys(self) -> frozenset[str]:
        """Keys of quarantined requests and parts that are refused now."""
        entries = self.quarantine_by_id.values()
        return frozenset(e.id for e in entries if e.value.held)

    @property
    def released_keys(self) -> frozenset[str]:
        """Keys that may run again after their quarantine."""
        entries = self.quarantine_by_id.values()
        return frozenset(e.id for e in entries if not e.value.held)

    def clear(self) -> None:
        """Reset to an empty view at index 0."""
        self.__init__()

    def apply(self, effect: Effect) -> None:
        """Apply an effect.

        Effects of the log must be applied in index order.
        """
        if effect.ownership is not None:
            ownership = effect.ownership
            self.ownership_by_target[ownership.target] = ownership
        elif effect.kind is not None:
            self._apply_entry(effect)
        self.index = max(self.index, effect.index)

    def effects(self) -> collections.abc.Iterator[Effect]:
        """Return effects that rebuild the current state of this view.

        They are encoded lazily from a copy of the entries, so they don't
        include later changes of the view.
        """
        entries = [
            entry
            for by_id in self.by_kind.values()
            for entry in by_id.values()
        ]
        return _effects_of(entries, list(self.ownership_by_target.values()))

    def _apply_entry(self, effect: Effect) -> None:
        text = effect.text
        by_id = self.by_kind[effect.kind]
        previous = by_id.pop(effect.id, None)
        if previous is not None and effect.kind is _entries.Kind.MEMBER:
            for token in previous.value.token_hashes:
                self.member_by_token.pop(token, None)
        if text is None:
            return
        value_type = _entries.TYPE_BY_KIND[effect.kind]
        value = _entries.intern_common_parts(wire.decode(text, value_type))
        by_id[effect.id] = _entries.Entry(
            effect.kind, effect.id, effect.index, value
        )
        if effect.kind is _entries.Kind.MEMBER:
            for token in value.token_hashes:
                self.member_by_token[token] = effect.id
        if effect.kind is _entries.Kind.ROUTES:
            self._routes = _routes.RouteIndex(value)


def _effects_of(
    entries: list[_entries.Entry], ownerships: list[Ownership]
) -> collections.abc.Iterator[Effect]:
    for entry in entries:
        value = wire.encode(entry.value).decode()
        yield Effect(entry.revision, entry.kind, entry.id, value)
    for ownership in ownerships:
        yield Effect(ownership.epoch, ownership=ownership)
