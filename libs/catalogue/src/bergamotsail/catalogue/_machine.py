"""The replicated state machine: catalogue, ownership and claims."""

import collections
import collections.abc
import dataclasses

from bergamotsail.catalogue import _commands
from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _routes
from bergamotsail.catalogue import _view
from bergamotsail import quorum
from bergamotsail import wire

KEPT_OPERATIONS = 10_000
KEPT_CHANGES = 2_000
KEPT_EFFECTS = 4_000
# Of adapters, for each engine; the engines keep about as many.
MAX_COPIES_PER_ENGINE = 64
# Of those who gave orders to engines. One that is forgotten would have to
# come back within a lease while so many others took their turn.
KEPT_HOLDERS = 32

Command = _commands.Command
State = _commands.ClaimState


@dataclasses.dataclass(frozen=True, slots=True)
class _Claimed:
    member: str
    key: str
    key_time_ms: int
    digest: str
    attempt: str
    state: State
    outcome: _commands.Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Operation:
    id: str
    reply: _commands.PutReply


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    """One line of a snapshot."""

    effect: _view.Effect | None = None
    claimed: _Claimed | None = None
    operation: _Operation | None = None
    change: _commands.Change | None = None
    floor_ms: int | None = None
    document: str | None = None
    copies: _commands.Copies | None = None
    order_holders: tuple[str, ...] = ()
    # Boots alone, as former releases noted them.
    sharers: tuple[str, ...] = ()
    share_notes: tuple[_commands.Sharer, ...] = ()


class CatalogueMachine(quorum.Machine):
    """Applies commands to a view, the claims and the operation ids."""

    def __init__(self) -> None:
        self.view = _view.View()
        self.floor_ms = 0
        self.routes_document: str | None = None
        self.copies_by_target: dict[str, tuple[str, ...]] = {}
        # Who gave orders to engines, the last one last.
        self.order_holders: tuple[str, ...] = ()
        # Daemons that may hold shares of limits.
        self.sharer_by_boot: dict[str, _commands.Sharer] = {}
        self.changes: collections.deque[_commands.Change] = collections.deque(
            maxlen=KEPT_CHANGES
        )
        self._operation_by_id: collections.OrderedDict[
            str, _commands.PutReply
        ] = collections.OrderedDict()
        self._claim_by_key: dict[tuple[str, str], _Claimed] = {}
        # In order. Of entries that are replaced as a whole just the newest:
        # 4,000 tables of 1,500 routes would take 1.5 GB.
        self._effect_by_index: dict[int, _view.Effect] = {}
        self._index_by_versioned: dict[tuple[_entries.Kind, str], int] = {}
        self._effects_after = 0

    @property
    def claims(self) -> int:
        """How many claims are kept."""
        return len(self._claim_by_key)

    def apply(self, index: int, command: bytes) -> object:
        parsed = wire.decode(command, Command)
        result: object = None
        if parsed.put is not None:
            result = self._put(index, parsed.put)
        elif parsed.grant is not None:
            result = self._grant(index, parsed.grant)
        elif parsed.release is not None:
            result = self._release(index, parsed.release)
        elif parsed.claim is not None:
            result = self._claim(parsed.claim)
        elif parsed.record is not None:
            result = self._record(parsed.record)
        elif parsed.raise_floor is not None:
            result = self._raise_floor(parsed.raise_floor)
        elif parsed.replace_routes is not None:
            result = self._replace_routes(index, parsed.replace_routes)
        elif parsed.name_version is not None:
            result = self._name_version(index, parsed.name_version)
        elif parsed.note_copies is not None:
            self._note_copies(parsed.note_copies)
        elif parsed.take_orders is not None:
            self._take_orders(parsed.take_orders)
        elif parsed.note_sharers is not None:
            self._note_sharers(parsed.note_sharers)
        self.view.index = index
        return result

    def effects_after(self, index: int) -> list[_view.Effect] | None:
        """Return the effects after *index*, or None if some are gone.

        Effects that a newer one makes void are left out.
        """
        if index < self._effects_after:
            return None
        found = []
        for effect in reversed(self._effect_by_index.values()):
            if effect.index <= index:
                break
            found.append(effect)
        found.reverse()
        return found

    def find_claim(self, member: str, key: str) -> _commands.ClaimReply | None:
        """Return what is recorded under a key."""
        claimed = self._claim_by_key.get((member, key))
        if claimed is None:
            return None
        return _reply_of(claimed)

    # Commands.

    def _put(self, index: int, put: _commands.Put) -> _commands.PutReply:
        known = self._operation_by_id.get(put.operation_id)
        if known is not None:
            return known
        reply = self._put_once(index, put)
        self._operation_by_id[put.operation_id] = reply
        while len(self._operation_by_id) > KEPT_OPERATIONS:
            self._operation_by_id.popitem(last=False)
        return reply

    def _put_once(self, index: int, put: _commands.Put) -> _commands.PutReply:
        current = self.view.by_kind[put.kind].get(put.id)
        revision = current.revision if current is not None else 0
        if put.if_revision is not None and put.if_revision != revision:
            return self._refused(
                current, f"The entry stands at revision {revision}."
            )
        problem = self._problem(put)
        if problem is not None:
            return self._refused(current, problem)
        self._take_effect(_view.Effect(index, put.kind, put.id, put.value))
        self.changes.append(
            _commands.Change(
                index,
                put.kind,
                put.id,
                put.value is None,
                put.operation_id,
                put.operator,
            )
        )
        return _commands.PutReply(index if put.value is not None else 0)

    def _problem(self, put: _commands.Put) -> str | None:
        """Check a change against the rest of the catalogue."""
        if put.kind in _entries.VERSIONED_KINDS:
            return "Set routes and versions with their own commands."
        if put.value is None:
            return self._delete_problem(put)
        try:
            value = _entries.parse_value(put.kind, put.value.encode())
        except wire.ServingError as error:
            return error.message
        if isinstance(value, _entries.Member):
            holder = self.view.member_by_token.get(value.token_sha256)
            if holder not in (None, put.id):
                return "Another member has this token. Choose another."
            return None
        if isinstance(value, (_entries.Pool, _entries.Quarantine)):
            return None
        members = self.view.member_by_id
        missing = [
            name
            for name in (value.owner, *value.callers)
            if name not in members
        ]
        if missing:
            return f"Create the members {', '.join(missing)} first."
        if value.pool not in self.view.pool_by_id:
            return f"Create the pool {value.pool} first."
        return None

    def _delete_problem(self, put: _commands.Put) -> str | None:
        if put.id not in self.view.by_kind[put.kind]:
            return "There is no such entry."
        used_by = [
            entry.id
            for kind in (_entries.Kind.ADAPTER, _entries.Kind.SERVICE)
            for entry in self.view.by_kind[kind].values()
            if (put.kind is _entries.Kind.POOL and entry.value.pool == put.id)
            or (
                put.kind is _entries.Kind.MEMBER
                and put.id in (entry.value.owner, *entry.value.callers)
            )
        ]
        if used_by:
            return f"Delete what uses it first: {', '.join(used_by[:5])}."
        return None

    def _refused(
        self, current: _entries.Entry | None, why: str
    ) -> _commands.PutReply:
        if current is None:
            return _commands.PutReply(0, why)
        value = wire.encode(current.value).decode()
        return _commands.PutReply(current.revision, why, value)

    def _grant(self, index: int, grant: _commands.Grant) -> bool:
        current = self.view.ownership_by_target.get(grant.target)
        epoch = current.epoch if current is not None else 0
        if epoch != grant.after_epoch:
            return False
        ownership = _view.Ownership(grant.target, grant.owner, index)
        self._take_effect(_view.Effect(index, ownership=ownership))
        return True

    def _release(self, index: int, release: _commands.Release) -> bool:
        current = self.view.ownership_by_target.get(release.target)
        if current is None or current.epoch != release.epoch:
            return False
        ownership = _view.Ownership(release.target, None, index)
        self._take_effect(_view.Effect(index, ownership=ownership))
        return True

    def _claim(self, claim: _commands.Claim) -> _commands.ClaimReply:
        if claim.key_time_ms < self.floor_ms:
            return _commands.ClaimReply(State.EXPIRED)
        key = (claim.member, claim.key)
        held = self._claim_by_key.get(key)
        if held is not None and held.digest != claim.digest:
            return _commands.ClaimReply(State.OTHER_REQUEST)
        if held is not None and held.attempt == claim.attempt:
            won = held.state is State.HELD
            if won:
                return _commands.ClaimReply(State.WON, held.attempt)
        if held is not None and held.state is not State.NOT_RUN:
            return _reply_of(held)
        self._claim_by_key[key] = _Claimed(
            claim.member,
            claim.key,
            claim.key_time_ms,
            claim.digest,
            claim.attempt,
            State.HELD,
        )
        return _commands.ClaimReply(State.WON, claim.attempt)

    def _record(self, record: _commands.Record) -> bool:
        key = (record.member, record.key)
        held = self._claim_by_key.get(key)
        if held is None or held.attempt != record.attempt:
            return False
        if held.state is not State.HELD:
            return held.state is record.state
        self._claim_by_key[key] = dataclasses.replace(
            held, state=record.state, outcome=record.outcome
        )
        return True

    def _raise_floor(self, raised: _commands.RaiseFloor) -> int:
        self.floor_ms = max(self.floor_ms, raised.floor_ms)
        self._claim_by_key = {
            key: claimed
            for key, claimed in self._claim_by_key.items()
            if claimed.key_time_ms >= self.floor_ms
        }
        return self.floor_ms

    def _replace_routes(
        self, index: int, replace: _commands.ReplaceRoutes
    ) -> _commands.VersionReply:
        current = self.view.routes.table.version
        table = replace.table
        if table.version <= current:
            return _commands.VersionReply(current, False)
        self.routes_document = replace.document
        self._set_versioned(index, _entries.Kind.ROUTES, _view.TABLE_ID, table)
        return _commands.VersionReply(table.version, True)

    def _name_version(
        self, index: int, name: _commands.NameVersion
    ) -> _commands.VersionReply:
        current = self.view.named_version(name.model, name.adapter)
        if current is not None and name.version <= current:
            return _commands.VersionReply(current, False)
        self._set_versioned(
            index,
            _entries.Kind.ADAPTER_VERSION,
            _view.adapter_key(name.model, name.adapter),
            _routes.AdapterVersion(name.version),
        )
        return _commands.VersionReply(name.version, True)

    def _note_copies(self, note: _commands.NoteCopies) -> None:
        for target in note.gone:
            self.copies_by_target.pop(target, None)
        for copies in note.copies:
            known = self.copies_by_target.get(copies.target, ())
            older = [name for name in known if name not in copies.names]
            names = (*older, *copies.names)[-MAX_COPIES_PER_ENGINE:]
            self.copies_by_target[copies.target] = names

    def _take_orders(self, take: _commands.TakeOrders) -> None:
        others = [name for name in self.order_holders if name != take.holder]
        if take.alone:
            others = []
        self.order_holders = (*others, take.holder)[-KEPT_HOLDERS:]

    def _note_sharers(self, note: _commands.NoteSharers) -> None:
        for boot in note.gone:
            self.sharer_by_boot.pop(boot, None)
        for boot in note.joined:
            self.sharer_by_boot.setdefault(boot, _commands.Sharer(boot))
        for sharer in note.sharers:
            self.sharer_by_boot[sharer.boot] = sharer

    def _set_versioned(
        self, index: int, kind: _entries.Kind, entry_id: str, value: object
    ) -> None:
        text = wire.encode(value).decode()
        effect = _view.Effect(index, kind, entry_id, text)
        self._take_effect(effect)
        self._drop_superseded((kind, entry_id), index)

    def _take_effect(self, effect: _view.Effect) -> None:
        self.view.apply(effect)
        self._effect_by_index[effect.index] = effect.compressed()
        while len(self._effect_by_index) > KEPT_EFFECTS:
            oldest = next(iter(self._effect_by_index))
            del self._effect_by_index[oldest]
            self._effects_after = oldest

    def _drop_superseded(
        self, key: tuple[_entries.Kind, str], index: int
    ) -> None:
        """Forget the effect that this one replaces.

        No other entry is checked or found by one of these kinds, so a view
        that never saw the older one comes out the same.
        """
        older = self._index_by_versioned.get(key)
        self._index_by_versioned[key] = index
        if older is not None:
            self._effect_by_index.pop(older, None)

    # Snapshots.

    def snapshot(self) -> collections.abc.Iterator[bytes]:
        effects = self.view.effects()
        claims = list(self._claim_by_key.values())
        operations = list(self._operation_by_id.items())
        changes = list(self.changes)
        return _snapshot_lines(
            effects,
            claims,
            operations,
            changes,
            _Line(
                floor_ms=self.floor_ms,
                document=self.routes_document,
                order_holders=self.order_holders,
                share_notes=tuple(self.sharer_by_boot.values()),
            ),
            dict(self.copies_by_target),
        )

    def restore(
        self, index: int, lines: collections.abc.Iterable[bytes]
    ) -> None:
        self.__init__()
        for data in lines:
            line = wire.decode(data, _Line)
            if line.effect is not None:
                self.view.apply(line.effect)
            elif line.claimed is not None:
                claimed = line.claimed
                key = (claimed.member, claimed.key)
                self._claim_by_key[key] = claimed
            elif line.operation is not None:
                operation = line.operation
                self._operation_by_id[operation.id] = operation.reply
            elif line.copies is not None:
                copies = line.copies
                self.copies_by_target[copies.target] = copies.names
            elif line.change is not None:
                self.changes.append(line.change)
            elif line.floor_ms is not None:
                self.floor_ms = line.floor_ms
                self.routes_document = line.document
                self.order_holders = line.order_holders
                self._note_sharers(
                    _commands.NoteSharers(
                        joined=line.sharers, sharers=line.share_notes
                    )
                )
        self.view.index = index
        self._effects_after = index


def _snapshot_lines(
    effects: collections.abc.Iterator[_view.Effect],
    claims: list[_Claimed],
    operations: list[tuple[str, _commands.PutReply]],
    changes: list[_commands.Change],
    first: _Line,
    copies_by_target: dict[str, tuple[str, ...]],
) -> collections.abc.Iterator[bytes]:
    yield wire.encode(first)
    for effect in effects:
        yield wire.encode(_Line(effect=effect))
    for claimed in claims:
        yield wire.encode(_Line(claimed=claimed))
    for operation_id, reply in operations:
        operation = _Operation(operation_id, reply)
        yield wire.encode(_Line(operation=operation))
    for change in changes:
        yield wire.encode(_Line(change=change))
    for target, names in copies_by_target.items():
        yield wire.encode(_Line(copies=_commands.Copies(target, names)))


def _reply_of(claimed: _Claimed) -> _commands.ClaimReply:
    return _commands.ClaimReply(
        claimed.state, claimed.attempt, claimed.outcome
    )
