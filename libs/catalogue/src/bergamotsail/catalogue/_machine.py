"""The replicated state machine: catalogue, target ownership and claims."""

import collections
import collections.abc
import dataclasses

from bergamotsail.catalogue import _commands
from bergamotsail.catalogue import _entries
from bergamotsail.catalogue import _members
from bergamotsail.catalogue import _order_holders
from bergamotsail.catalogue import _origins
from bergamotsail.catalogue import _routes
from bergamotsail.catalogue import _view
from bergamotsail import quorum
from bergamotsail import wire

MAX_OPERATIONS = 10_000
MAX_CHANGES = 2_000
MAX_EFFECTS = 4_000
# Adapter copies remembered for each engine; an engine stores about as many.
MAX_COPIES_PER_ENGINE = 64

Command = _commands.Command
State = _commands.ClaimState


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredClaim:
    member: str
    key: str
    key_time_ms: int
    digest: str
    attempt: str
    state: State
    outcome: _commands.Outcome | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredOperation:
    id: str
    reply: _commands.PutReply


@dataclasses.dataclass(frozen=True, slots=True)
class _SnapshotLine:
    """One line of a snapshot."""

    effect: _view.Effect | None = None
    claimed: _StoredClaim | None = None
    operation: _StoredOperation | None = None
    change: _commands.Change | None = None
    floor_ms: int | None = None
    document: str | None = None
    copies: _commands.Copies | None = None
    order_holders: tuple[str, ...] = ()
    holders_by_group: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    fence_by_group: dict[str, int] = dataclasses.field(default_factory=dict)
    # Written by earlier releases, which stored only the boots.
    sharers: tuple[str, ...] = ()
    share_notes: tuple[_commands.Sharer, ...] = ()
    origins: _origins.OriginsState | None = None
    moved: _origins.MovedStream | None = None


class CatalogueMachine(quorum.Machine):
    """Applies committed commands to the catalogue and the claims.

    It also keeps the replies to recent puts, so that a retried operation
    returns its first reply, and recent effects, from which other daemons
    update their views.
    """

    def __init__(self) -> None:
        self.view = _view.View()
        self.floor_ms = 0
        self.routes_document: str | None = None
        self.copies_by_target: dict[str, tuple[str, ...]] = {}
        self._holders = _order_holders.OrderHolders()
        self.origins = _origins.StreamOrigins()
        # Daemons that may hold shares of limits, by boot.
        self.sharer_by_boot: dict[str, _commands.Sharer] = {}
        self.changes: collections.deque[_commands.Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self._operation_by_id: collections.OrderedDict[
            str, _commands.PutReply
        ] = collections.OrderedDict()
        self._claim_by_key: dict[tuple[str, str], _StoredClaim] = {}
        # In index order. Keeps only the newest effect of each versioned
        # entry: 4,000 tables of 1,500 routes would take 1.5 GB.
        self._effect_by_index: dict[int, _view.Effect] = {}
        self._index_by_versioned_key: dict[tuple[_entries.Kind, str], int] = {}
        self._last_dropped_index = 0

    @property
    def order_holders(self) -> tuple[str, ...]:
        """Who gave orders to all engines as one group, the latest last."""
        return self.former_holders("")

    def former_holders(self, group: str) -> tuple[str, ...]:
        """Return who gave orders to a group of engines, the latest last."""
        return self._holders.former(group)

    def order_groups(self) -> int:
        """Return the number of groups that were ordered last, 0 if none."""
        return self._holders.groups

    @property
    def claims(self) -> int:
        """The number of stored claims."""
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
            result = self._holders.take(parsed.take_orders)
        elif parsed.note_sharers is not None:
            self._note_sharers(parsed.note_sharers)
        elif parsed.note_origins is not None:
            self.origins.note(parsed.note_origins)
        elif parsed.move_stream is not None:
            move = parsed.move_stream
            result = self.origins.move(
                _origins.MovedStream(move.stream, move.origin, index)
            )
        elif parsed.forget_origins is not None:
            self.origins.forget(parsed.forget_origins)
        self.view.index = index
        return result

    def effects_after(self, index: int) -> list[_view.Effect] | None:
        """Return the effects after *index*, or None if some were dropped.

        Effects superseded by a newer one are left out.
        """
        if index < self._last_dropped_index:
            return None
        effects = []
        for effect in reversed(self._effect_by_index.values()):
            if effect.index <= index:
                break
            effects.append(effect)
        effects.reverse()
        return effects

    def find_claim(self, member: str, key: str) -> _commands.ClaimReply | None:
        """Return the state of a member's key, or None if unclaimed."""
        claimed = self._claim_by_key.get((member, key))
        if claimed is None:
            return None
        return _claim_reply(claimed)

    def _put(self, index: int, put: _commands.Put) -> _commands.PutReply:
        first_reply = self._operation_by_id.get(put.operation_id)
        if first_reply is not None:
            return first_reply
        reply = self._put_once(index, put)
        self._operation_by_id[put.operation_id] = reply
        while len(self._operation_by_id) > MAX_OPERATIONS:
            self._operation_by_id.popitem(last=False)
        return reply

    def _put_once(self, index: int, put: _commands.Put) -> _commands.PutReply:
        current = self.view.by_kind[put.kind].get(put.id)
        revision = current.revision if current is not None else 0
        if put.if_revision is not None and put.if_revision != revision:
            return self._rejection(
                current, f"The entry stands at revision {revision}."
            )
        problem = self._put_problem(put)
        if problem is not None:
            return self._rejection(current, problem)
        self._apply_effect(_view.Effect(index, put.kind, put.id, put.value))
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

    def _put_problem(self, put: _commands.Put) -> str | None:
        """Return why a put must be rejected, or None if it is valid.

        The value is checked by itself and against the other entries.
        """
        if put.kind in _entries.VERSIONED_KINDS:
            return "Set routes and versions with their own commands."
        if put.value is None:
            return self._delete_problem(put)
        try:
            value = _entries.parse_value(put.kind, put.value.encode())
        except wire.ServingError as error:
            return error.message
        if isinstance(value, _members.Member):
            holders = {
                self.view.member_by_token.get(token)
                for token in value.token_hashes
            }
            if holders - {None, put.id}:
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

    def _rejection(
        self, current: _entries.Entry | None, reason: str
    ) -> _commands.PutReply:
        if current is None:
            return _commands.PutReply(0, reason)
        value = wire.encode(current.value).decode()
        return _commands.PutReply(current.revision, reason, value)

    def _grant(self, index: int, grant: _commands.Grant) -> bool:
        current = self.view.ownership_by_target.get(grant.target)
        epoch = current.epoch if current is not None else 0
        if epoch != grant.after_epoch:
            return False
        ownership = _view.Ownership(grant.target, grant.owner, index)
        self._apply_effect(_view.Effect(index, ownership=ownership))
        return True

    def _release(self, index: int, release: _commands.Release) -> bool:
        current = self.view.ownership_by_target.get(release.target)
        if current is None or current.epoch != release.epoch:
            return False
        ownership = _view.Ownership(release.target, None, index)
        self._apply_effect(_view.Effect(index, ownership=ownership))
        return True

    def _claim(self, claim: _commands.Claim) -> _commands.ClaimReply:
        if claim.key_time_ms < self.floor_ms:
            return _commands.ClaimReply(State.EXPIRED)
        key = (claim.member, claim.key)
        existing = self._claim_by_key.get(key)
        if existing is not None and existing.digest != claim.digest:
            return _commands.ClaimReply(State.OTHER_REQUEST)
        if existing is not None and existing.attempt == claim.attempt:
            won = existing.state is State.HELD
            if won:
                return _commands.ClaimReply(State.WON, existing.attempt)
        if existing is not None and existing.state is not State.NOT_RUN:
            return _claim_reply(existing)
        self._claim_by_key[key] = _StoredClaim(
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
        existing = self._claim_by_key.get(key)
        if existing is None or existing.attempt != record.attempt:
            return False
        if existing.state is not State.HELD:
            return existing.state is record.state
        self._claim_by_key[key] = dataclasses.replace(
            existing, state=record.state, outcome=record.outcome
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
        self.origins.replace_routes(index, table, is_first=current == 0)
        self._set_versioned(
            index, _entries.Kind.ROUTES, _view.ROUTE_TABLE_ID, table
        )
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
            recorded = self.copies_by_target.get(copies.target, ())
            older = [name for name in recorded if name not in copies.names]
            names = (*older, *copies.names)[-MAX_COPIES_PER_ENGINE:]
            self.copies_by_target[copies.target] = names

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
        self._apply_effect(effect)
        self._drop_superseded((kind, entry_id), index)

    def _apply_effect(self, effect: _view.Effect) -> None:
        self.view.apply(effect)
        self._effect_by_index[effect.index] = effect.compressed()
        while len(self._effect_by_index) > MAX_EFFECTS:
            oldest = next(iter(self._effect_by_index))
            del self._effect_by_index[oldest]
            self._last_dropped_index = oldest

    def _drop_superseded(
        self, key: tuple[_entries.Kind, str], index: int
    ) -> None:
        """Drop the effect that the one at *index* supersedes.

        No other entry is validated against or looked up through a versioned
        one, so a view that skips the older effect ends in the same state.
        """
        superseded = self._index_by_versioned_key.get(key)
        self._index_by_versioned_key[key] = index
        if superseded is not None:
            self._effect_by_index.pop(superseded, None)

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
            _SnapshotLine(
                floor_ms=self.floor_ms,
                document=self.routes_document,
                order_holders=self._holders.elsewhere,
                holders_by_group=dict(self._holders.by_group),
                fence_by_group=dict(self._holders.fence_by_group),
                share_notes=tuple(self.sharer_by_boot.values()),
                origins=self.origins.state(),
            ),
            dict(self.copies_by_target),
            self.origins.moves(),
        )

    def restore(
        self, index: int, lines: collections.abc.Iterable[bytes]
    ) -> None:
        self.__init__()
        origins: _origins.OriginsState | None = None
        moves: list[_origins.MovedStream] = []
        for data in lines:
            line = wire.decode(data, _SnapshotLine)
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
            elif line.moved is not None:
                moves.append(line.moved)
            elif line.floor_ms is not None:
                self.floor_ms = line.floor_ms
                self.routes_document = line.document
                origins = line.origins
                self._holders = _order_holders.OrderHolders(
                    line.holders_by_group,
                    line.order_holders,
                    line.fence_by_group,
                )
                self._note_sharers(
                    _commands.NoteSharers(
                        joined=line.sharers, sharers=line.share_notes
                    )
                )
        self._restore_origins(index, origins, moves)
        self.view.index = index
        self._last_dropped_index = index

    def _restore_origins(
        self,
        index: int,
        state: _origins.OriginsState | None,
        moves: list[_origins.MovedStream],
    ) -> None:
        table = self.view.routes.table
        if state is None:
            # A snapshot of an earlier release doesn't tell where streams
            # began, so each route counts as changed.
            self.origins.replace_routes(index, table, is_first=False)
            return
        self.origins = _origins.StreamOrigins(state)
        self.origins.restore_routes(table)
        for moved in moves:
            self.origins.move(moved)


def _snapshot_lines(
    effects: collections.abc.Iterator[_view.Effect],
    claims: list[_StoredClaim],
    operations: list[tuple[str, _commands.PutReply]],
    changes: list[_commands.Change],
    header: _SnapshotLine,
    copies_by_target: dict[str, tuple[str, ...]],
    moves: list[_origins.MovedStream],
) -> collections.abc.Iterator[bytes]:
    yield wire.encode(header)
    for effect in effects:
        yield wire.encode(_SnapshotLine(effect=effect))
    for claimed in claims:
        yield wire.encode(_SnapshotLine(claimed=claimed))
    for operation_id, reply in operations:
        operation = _StoredOperation(operation_id, reply)
        yield wire.encode(_SnapshotLine(operation=operation))
    for change in changes:
        yield wire.encode(_SnapshotLine(change=change))
    for target, names in copies_by_target.items():
        yield wire.encode(
            _SnapshotLine(copies=_commands.Copies(target, names))
        )
    for moved in moves:
        yield wire.encode(_SnapshotLine(moved=moved))


def _claim_reply(claimed: _StoredClaim) -> _commands.ClaimReply:
    return _commands.ClaimReply(
        claimed.state, claimed.attempt, claimed.outcome
    )
