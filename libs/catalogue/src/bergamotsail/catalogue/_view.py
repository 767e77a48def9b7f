"""Catalogue and ownership as every daemon sees them."""

import collections.abc
import dataclasses
import zlib

from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _routes
from bergamotsail import wire

# Characters of JSON from which a value travels deflated: below a packet or
# two there is nothing to gain. Each change of a table goes to every daemon in
# whole; of 1,500 routes it is 376 kB as text and 18 kB (names alike) to 88 kB
# (random names) deflated, in 3 ms, once for all daemons.
DEFLATED_FROM = 4_096
DEFLATE_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns a target; *owner* is None while nobody does.

    The epoch only grows, and is the fencing number of every order.
    """

    target: str
    owner: str | None
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """One change of the view: an entry set or dropped, or an ownership.

    Args:
        index: of the log entry that made it.
        value: the entry's JSON, None when it was dropped.
        deflated: the entry's JSON, deflated, in the place of a long value.
        more: the rest of what was deflated follows in the next effect.
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
        """The entry's JSON, None when it was dropped.

        Raises:
            BadMessageError: what was deflated is damaged.
        """
        if self.deflated is None:
            return self.value
        try:
            return zlib.decompress(self.deflated).decode()
        except (zlib.error, UnicodeDecodeError) as error:
            raise wire.BadMessageError(
                f"Entry {self.id} came damaged: {error}. Ask again."
            ) from error

    @property
    def size(self) -> int:
        """About how many bytes it takes on its way, in base 64 if deflated."""
        return len(self.value or "") + len(self.deflated or b"") * 4 // 3

    def compressed(self) -> "Effect":
        """Return this effect as it travels, with a long value deflated."""
        if self.value is None or len(self.value) < DEFLATED_FROM:
            return self
        deflated = zlib.compress(self.value.encode(), DEFLATE_LEVEL)
        return dataclasses.replace(self, value=None, deflated=deflated)


def split_effect(
    effect: Effect, most: int
) -> collections.abc.Iterator[Effect]:
    """Return an effect in parts of so many bytes at most, if deflated."""
    data = effect.deflated
    if data is None or len(data) <= most:
        yield effect
        return
    for start in range(0, len(data), most):
        end = start + most
        yield dataclasses.replace(
            effect, deflated=data[start:end], more=end < len(data)
        )


class EffectAssembler:
    """Puts effects that came in parts together again."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def join(self, effect: Effect) -> Effect | None:
        """Return the whole effect, None while parts of it are missing."""
        if effect.more:
            self._parts.append(effect.deflated)
            return None
        if not self._parts:
            return effect
        data = b"".join((*self._parts, effect.deflated))
        self._parts.clear()
        return dataclasses.replace(effect, deflated=data)


TABLE_ID = "table"


def adapter_key(model: str, adapter: str) -> str:
    """Return the name of an adapter among all models."""
    return f"{model}/{adapter}"


class View:
    """Entries by kind and id, and ownership by target."""

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
        """The routes in force; of version 0 while none were set."""
        return self._routes

    def named_version(self, model: str, adapter: str) -> int | None:
        """Return the newest version named for an adapter, if any."""
        named = self.by_kind[_entries.Kind.ADAPTER_VERSION]
        entry = named.get(adapter_key(model, adapter))
        return None if entry is None else entry.value.version

    @property
    def member_by_id(self) -> dict[str, _entries.Entry]:
        """Members."""
        return self.by_kind[_entries.Kind.MEMBER]

    @property
    def adapter_by_id(self) -> dict[str, _entries.Entry]:
        """Adapters."""
        return self.by_kind[_entries.Kind.ADAPTER]

    @property
    def service_by_id(self) -> dict[str, _entries.Entry]:
        """Services."""
        return self.by_kind[_entries.Kind.SERVICE]

    @property
    def pool_by_id(self) -> dict[str, _entries.Entry]:
        """Pools."""
        return self.by_kind[_entries.Kind.POOL]

    @property
    def quarantine_by_id(self) -> dict[str, _entries.Entry]:
        """Requests that ended targets, by their identity."""
        return self.by_kind[_entries.Kind.QUARANTINE]

    @property
    def blocked_request_ids(self) -> frozenset[str]:
        """Identities of requests that are refused."""
        entries = self.quarantine_by_id.values()
        return frozenset(e.id for e in entries if e.value.held)

    def clear(self) -> None:
        """Forget all."""
        self.__init__()

    def apply(self, effect: Effect) -> None:
        """Apply an effect; effects come in order of their index."""
        if effect.ownership is not None:
            ownership = effect.ownership
            self.ownership_by_target[ownership.target] = ownership
        elif effect.kind is not None:
            self._apply_entry(effect)
        self.index = max(self.index, effect.index)

    def effects(self) -> collections.abc.Iterator[Effect]:
        """Return effects that rebuild this view as it stands now.

        They are made while they are read, from a frozen copy.
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
        old = by_id.pop(effect.id, None)
        if old is not None and effect.kind is _entries.Kind.MEMBER:
            self.member_by_token.pop(old.value.token_sha256, None)
        if text is None:
            return
        kind = _entries.TYPE_BY_KIND[effect.kind]
        value = _entries.share_parts(wire.decode(text, kind))
        by_id[effect.id] = _entries.Entry(
            effect.kind, effect.id, effect.index, value
        )
        if effect.kind is _entries.Kind.MEMBER:
            self.member_by_token[value.token_sha256] = effect.id
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
