"""In-process implementations of the target interfaces.

Each wraps a stand-in behind a ``Link``, on which a test injects network
faults: a cut link, lost replies, or a frozen sender.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses

from bergamotsail.standins import _engine
from bergamotsail.standins import _others
from bergamotsail import targets
from bergamotsail import wire


class Link:
    """Fault injection for the connection to a target.

    Attributes:
        cut: whether no call or reply gets through.
        lose_replies: whether calls arrive but their replies are lost.
        delay_s: one-way latency in seconds.
        crossed: whether each chunk is duplicated and followed by a chunk
            of another stream.
        lose_chunks: whether one chunk in seven is lost.
        awake: cleared while the sender is frozen.
    """

    def __init__(self) -> None:
        self.cut = False
        self.lose_replies = False
        self.delay_s = 0.0005
        self.crossed = False
        self.lose_chunks = False
        self.awake = asyncio.Event()
        self.awake.set()

    async def wait_unfrozen(self) -> None:
        """Block while the sender is frozen."""
        await self.awake.wait()

    async def deliver_call(self) -> None:
        """Simulate sending a call to the target.

        Raises:
            NotSentError: the link is cut.
        """
        await asyncio.sleep(self.delay_s)
        if self.cut:
            raise wire.NotSentError("The link is cut.")

    async def deliver_reply(self) -> None:
        """Simulate returning a reply to the caller.

        Raises:
            PeerLostError: the reply was lost.
        """
        await asyncio.sleep(self.delay_s)
        await self.wait_unfrozen()
        if self.cut or self.lose_replies:
            raise wire.PeerLostError("The reply was lost.")


class MemoryEngine(targets.Engine):
    """Engine client that calls an engine stand-in over a link."""

    def __init__(self, engine: _engine.EngineStandIn, link: Link) -> None:
        self._engine = engine
        self._link = link

    async def report(self) -> targets.EngineReport:
        await self._link.deliver_call()
        report = self._engine.report()
        await self._link.deliver_reply()
        return report

    async def load(
        self, order: targets.Order, adapter: str, weights: str
    ) -> None:
        await self._send(order)
        await self._engine.load(order.epoch, adapter, weights)
        await self._link.deliver_reply()

    async def unload(self, order: targets.Order, adapter: str) -> None:
        await self._send(order)
        await self._engine.unload(order.epoch, adapter)
        await self._link.deliver_reply()

    async def cancel(self, order: targets.Order, stream_id: str) -> None:
        await self._send(order)
        await self._engine.cancel(order.epoch, stream_id)
        await self._link.deliver_reply()

    async def run(
        self, order: targets.Order, run: targets.Run
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        await self._send(order)
        chunks = self._engine.run(order.epoch, run)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                await self._link.deliver_reply()
                for received in self._received_chunks(chunk):
                    yield received

    def _received_chunks(
        self, chunk: targets.Chunk
    ) -> collections.abc.Iterator[targets.Chunk]:
        """Yield the chunks that arrive for one that was sent."""
        if self._link.lose_chunks and chunk.number % 7 == 3:
            return
        yield chunk
        if self._link.crossed:
            yield chunk
            yield dataclasses.replace(chunk, stream_id="other", text="? ")

    async def _send(self, order: targets.Order) -> None:
        await self._link.wait_unfrozen()
        if not order.gate():
            raise wire.NotSentError(
                "The lease ended before the order was sent."
            )
        await self._link.deliver_call()


class MemoryService(targets.Service):
    """Service client that calls a service stand-in over a link."""

    def __init__(self, service: _others.ServiceStandIn, link: Link) -> None:
        self._service = service
        self._link = link

    async def call(
        self, request: targets.ServiceRequest
    ) -> targets.ServiceReply:
        await self._link.wait_unfrozen()
        if not request.gate():
            raise wire.NotSentError(
                "The lease ended before the call was sent."
            )
        await self._link.deliver_call()
        try:
            async with asyncio.timeout(request.timeout_s):
                reply = await self._service.call(
                    request.method,
                    request.path,
                    request.headers,
                    request.body,
                )
        except TimeoutError:
            raise wire.PeerTimeoutError(
                "The service did not answer."
            ) from None
        await self._link.deliver_reply()
        return reply


class MemoryInstanceList(targets.InstanceList):
    """Instance list client that reads a stand-in over a link."""

    def __init__(
        self, instances: _others.InstanceListStandIn, link: Link
    ) -> None:
        self._instances = instances
        self._link = link

    async def read(self) -> tuple[targets.Instance, ...]:
        await self._link.deliver_call()
        listed = self._instances.read()
        await self._link.deliver_reply()
        return listed
