"""Copies of the leader's record of streams, on all other replicas."""

import asyncio
import collections.abc
import dataclasses
import itertools
import math
import uuid

from absl import logging

from bergamotsail.control import _messages
from bergamotsail.control import _streams
from bergamotsail import observe
from bergamotsail import quorum
from bergamotsail import wire

# Streams in one call; about 16 bytes each.
MAX_COPIED = 500
# Streams that begin within this time share a call.
COPY_INTERVAL_S = 0.1
RETRY_S = 0.5
TIMEOUT_S = 1.0
LEAD_POLL_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Task:
    """Copying to a replica in a term.

    Args:
        follow: whether streams that are noted later are copied as well.
    """

    peer: str
    term: int
    follow: bool


class StreamCopies:
    """Sends the leader's record to the other replicas; a context manager.

    So the next leader knows where streams began, even if the leader and the
    daemons that began them are lost together. The next leader may have just
    restarted, so each replica also sends it what it knows.

    Args:
        address: of this replica.
        table: the record of this replica; copies are noted there.
    """

    def __init__(
        self,
        address: str,
        node: quorum.Node,
        table: _streams.StreamTable,
        transport: wire.PeerTransport,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._address = address
        self._node = node
        self._table = table
        self._transport = transport
        self._clock = clock
        self._start = uuid.uuid4().hex
        self._running: dict[_Task, asyncio.Task] = {}
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "StreamCopies":
        self._background.start(self._run)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        await self._stop(set(self._running))

    def serve(self, server: wire.PeerServer) -> None:
        """Register the handler of copies."""
        server.serve(_messages.COPY_STREAMS, self.on_copy)

    async def on_copy(
        self, request: _messages.CopyStreams
    ) -> _messages.CopyReply:
        """Note copies of records."""
        for copied in request.copied:
            for stream in copied.streams:
                self._table.note_copy(
                    copied.term, stream, copied.origin, copied.keep_s
                )
        return _messages.CopyReply(self._start)

    async def _run(self) -> None:
        """Keep a task for each replica that should get copies now."""
        while True:
            wanted = set(self._tasks())
            await self._stop(self._running.keys() - wanted)
            for task in wanted - self._running.keys():
                self._running[task] = asyncio.create_task(
                    self._copy_always(task)
                )
            await self._clock.sleep(LEAD_POLL_S)

    def _tasks(self) -> collections.abc.Iterator[_Task]:
        """Yield the other replicas if this one leads, else the leader."""
        node = self._node
        if node.holds_lease():
            for member in node.config.members:
                if member.address != self._address:
                    yield _Task(member.address, node.term, True)
            return
        leader = node.leader
        if leader is not None and leader.address != self._address:
            yield _Task(leader.address, node.term, False)

    async def _stop(self, ended: set[_Task]) -> None:
        running = [self._running.pop(task) for task in ended]
        for each in running:
            each.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def _copy_always(self, task: _Task) -> None:
        """Copy, and begin anew after an unforeseen error."""
        while True:
            try:
                await self._copy(task)
                return
            except Exception:
                logging.exception("streams: Copies to %s failed.", task.peer)
            await self._clock.sleep(RETRY_S)

    async def _copy(self, task: _Task) -> None:
        """Copy the whole record to a replica, then what is new."""
        start, was_reached = "", True
        with self._table.subscribe(task.follow) as changes:
            while task.follow or changes:
                await changes.wait()
                names = changes.take(MAX_COPIED)
                try:
                    reply = await self._send(task.peer, names)
                except wire.ServingError as error:
                    changes.give_back(names)
                    if was_reached:
                        self._log_failure(task, len(names), error)
                    was_reached = False
                    await self._clock.sleep(RETRY_S)
                    continue
                if start not in ("", reply.start):
                    # A replica that has restarted has lost its copies.
                    changes.add_all()
                start, was_reached = reply.start, True
                if len(names) < MAX_COPIED:
                    await self._clock.sleep(COPY_INTERVAL_S)

    async def _send(self, peer: str, names: list[str]) -> _messages.CopyReply:
        request = _messages.CopyStreams(self._grouped(names))
        return await self._transport.call(
            peer, _messages.COPY_STREAMS, request, TIMEOUT_S
        )

    def _grouped(
        self, names: collections.abc.Iterable[str]
    ) -> tuple[_messages.CopiedStreams, ...]:
        """Return the records of streams; those that are alike share one."""

        def kind(record: _streams.StreamRecord) -> tuple[str, str, int, int]:
            origin = record.origin
            left_s = math.ceil(record.until - self._clock.now())
            return origin.pool, repr(origin.software), record.term, left_s

        records = [
            (name, record)
            for name in names
            if (record := self._table.find(name)) is not None
        ]
        records.sort(key=lambda item: kind(item[1]))
        groups = itertools.groupby(records, lambda item: kind(item[1]))
        copied = []
        for (_, _, term, left_s), items in groups:
            alike = list(items)
            copied.append(
                _messages.CopiedStreams(
                    alike[0][1].origin,
                    float(left_s),
                    term,
                    tuple(name for name, _ in alike),
                )
            )
        return tuple(copied)

    def _log_failure(
        self, task: _Task, streams: int, error: wire.ServingError
    ) -> None:
        observe.log_event(
            "streams",
            "not_copied",
            peer=task.peer,
            streams=streams,
            term=task.term,
            code=error.code,
        )
