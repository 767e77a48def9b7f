"""HTTP handlers for operators: catalogue, history, status, metrics."""

import asyncio
import dataclasses
import hmac
import uuid

from absl import logging

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail.daemon import _base_handler
from bergamotsail import observe
from bergamotsail import wire

WATCH_POLL_S = 0.1
WATCH_TIMEOUT_S = 30.0
STATUS_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class EntryView:
    """JSON form of a catalogue entry."""

    kind: str
    id: str
    revision: int
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """JSON form of a target with its owner and fencing epoch."""

    info: control.TargetInfo
    owner: str | None
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusView:
    """JSON form of the system's state as one daemon knows it."""

    daemon: str
    fresh: bool
    applied: int
    stopping: bool
    replicas: control.StatusReply | None
    targets: tuple[TargetView, ...]


class AdminHandler(_base_handler.BaseHandler):
    """Base class of handlers that authenticate an operator."""

    prefix = "admin"

    def authenticate(self) -> str:
        """Authenticate the operator; compares tokens in constant time.

        Raises:
            UnauthenticatedError: the token is missing or belongs to no
                operator.
        """
        header = self.request.headers.get("Authorization", "")
        digest = catalogue.hash_token(header.removeprefix("Bearer "))
        found = None
        tokens = self.daemon.settings.operator_tokens
        for operator, stored in tokens.items():
            if hmac.compare_digest(stored, digest):
                found = operator
        if found is None:
            raise wire.UnauthenticatedError(
                "Missing or invalid token. Send an operator's token as "
                "Authorization: Bearer TOKEN."
            )
        return found

    def parse_kind(self, name: str) -> catalogue.Kind:
        """Return the entry kind named in a path.

        Raises:
            NotFoundError: there is no such kind.
        """
        try:
            return catalogue.Kind(name)
        except ValueError:
            kinds = ", ".join(catalogue.Kind)
            raise wire.NotFoundError(
                f"Unknown kind {name!r}. Use one of {kinds}."
            ) from None

    def fresh_view(self) -> catalogue.View:
        """Return the catalogue view.

        Raises:
            LeaseLostError: this daemon's lease has expired.
        """
        self.daemon.session.check_fresh()
        return self.daemon.session.view


def _entry_view(entry: catalogue.Entry) -> EntryView:
    return EntryView(str(entry.kind), entry.id, entry.revision, entry.value)


class EntriesHandler(AdminHandler):
    """Lists the entries of a kind."""

    async def get(self, kind: str) -> None:
        """List the entries, sorted by id."""
        await self.serve(self._answer(kind))

    async def _answer(self, kind: str) -> None:
        self.authenticate()
        by_id = self.fresh_view().by_kind[self.parse_kind(kind)]
        self.send_read([_entry_view(by_id[name]) for name in sorted(by_id)])


class EntryHandler(AdminHandler):
    """Reads, sets and deletes an entry."""

    async def get(self, kind: str, entry_id: str) -> None:
        """Return the entry, with its revision as ETag."""
        await self.serve(self._get(kind, entry_id))

    async def put(self, kind: str, entry_id: str) -> None:
        """Set the entry."""
        await self.serve(self._change(kind, entry_id, False))

    async def delete(self, kind: str, entry_id: str) -> None:
        """Delete the entry."""
        await self.serve(self._change(kind, entry_id, True))

    async def _get(self, kind: str, entry_id: str) -> None:
        self.authenticate()
        entry = self.fresh_view().by_kind[self.parse_kind(kind)].get(entry_id)
        if entry is None:
            raise wire.NotFoundError(f"There is no {kind} {entry_id}.")
        self.set_header("ETag", f'"{entry.revision}"')
        self.send_read(_entry_view(entry))

    async def _change(
        self, kind_name: str, entry_id: str, delete: bool
    ) -> None:
        operator = self.authenticate()
        kind = self.parse_kind(kind_name)
        catalogue.check_id(entry_id)
        value = None
        if not delete:
            parsed = catalogue.parse_value(kind, self.take_body())
            value = wire.encode(parsed).decode()
        operation_id = self.request.headers.get("X-Operation-Id")
        put = catalogue.Put(
            kind,
            entry_id,
            value,
            operation_id or uuid.uuid4().hex,
            operator,
            self._if_revision(),
        )
        leader = self.daemon.leader
        reply = await leader.command(catalogue.Command(put=put))
        self._send_reply(put, reply)

    def _if_revision(self) -> int | None:
        match = self.request.headers.get("If-Match")
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        if match is None or match == "*":
            return None
        text = match.strip('"')
        if not text.isdigit():
            raise wire.BadRequestError(
                "If-Match must be the number of a revision."
            )
        return int(text)

    def _send_reply(
        self, put: catalogue.Put, reply: catalogue.PutReply
    ) -> None:
        logging.info(
            "admin: Catalogue change. operator=%s kind=%s id=%s operation=%s "
            "revision=%d refused=%s",
            put.operator,
            put.kind,
            put.id,
            put.operation_id,
            reply.revision,
            reply.conflict or "no",
        )
        if reply.conflict is not None:
            self.set_status(409)
            error = wire.ConflictError(
                f"{reply.conflict} Read the entry again before you retry."
            )
            current = None
            if reply.current is not None:
                current = wire.decode(reply.current, dict)
            self.send_json(
                {
                    "error": error.body(),
                    "revision": reply.revision,
                    "current": current,
                }
            )
            return
        self.set_header("ETag", f'"{reply.revision}"')
        self.send_json({"revision": reply.revision})


class HistoryHandler(AdminHandler):
    """Lists the latest changes; only replicas keep them."""

    async def get(self) -> None:
        """List the changes."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.authenticate()
        machine = self.daemon.machine
        if machine is None:
            raise wire.NotFoundError(
                "Only replicas keep the history. Ask a replica.",
                use=self.daemon.leader.address,
            )
        self.send_read(list(machine.changes))


class WatchHandler(AdminHandler):
    """Long poll for entries set after a revision; omits deletions."""

    async def get(self) -> None:
        """Respond with newer entries, or an empty list after a timeout."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.authenticate()
        after = self.get_query_argument("after", "0")
        if not after.isdigit():
            raise wire.BadRequestError(
                "The parameter after must be the number of a revision."
            )
        waited_s = 0.0
        while waited_s < WATCH_TIMEOUT_S:
            found = [
                _entry_view(entry)
                for by_id in self.fresh_view().by_kind.values()
                for entry in by_id.values()
                if entry.revision > int(after)
            ]
            if found:
                found.sort(key=lambda entry: entry.revision)
                self.send_read(found)
                return
            await asyncio.sleep(WATCH_POLL_S)
            waited_s += WATCH_POLL_S
        self.send_json([])


class StatusHandler(AdminHandler):
    """Describes replicas, daemons, targets and ownership."""

    async def get(self) -> None:
        """Return the state; ``replicas`` is null without a leader."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.authenticate()
        session = self.daemon.session
        replicas = None
        try:
            replicas = await self.daemon.leader.call(
                control.STATUS, control.Status(), STATUS_TIMEOUT_S
            )
        except wire.ServingError as error:
            logging.info(
                "admin: Could not get the status from the leader: %s",
                error.message,
            )
        ownership_by_target = session.view.ownership_by_target
        target_views = []
        for info in session.digest.target_by_id.values():
            ownership = ownership_by_target.get(info.id)
            owner = ownership.owner if ownership is not None else None
            epoch = ownership.epoch if ownership is not None else 0
            target_views.append(TargetView(info, owner, epoch))
        self.send_read(
            StatusView(
                self.daemon.settings.name,
                session.fresh(),
                session.view.index,
                self.daemon.stopping,
                replicas,
                tuple(sorted(target_views, key=lambda view: view.info.id)),
            )
        )


class MetricsHandler(AdminHandler):
    """Returns the metrics, encoded for merging or human-readable."""

    async def get(self) -> None:
        """Return the metrics; ``form=readable`` returns percentiles."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.authenticate()
        snapshot = self.daemon.metrics.snapshot()
        if self.get_query_argument("form", "encoded") == "readable":
            self.send_read(observe.readable(snapshot))
            return
        self.send_read(snapshot)


class FormHandler(AdminHandler):
    """Bootstraps the replicated log of a new system."""

    async def post(self) -> None:
        """Bootstrap the log; fails if a replica already has one."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.authenticate()
        if self.daemon.node is None:
            raise wire.BadRequestError(
                "Only a replica can form the log. Ask a replica."
            )
        await self.daemon.node.form()
        self.send_json({"formed": True})


class DrainHandler(AdminHandler):
    """Shuts this daemon down gracefully, as SIGTERM does."""

    async def post(self) -> None:
        """Start the shutdown and respond at once."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.authenticate()
        self.daemon.request_stop()
        self.send_json({"stopping": True})
