"""The stand-ins at the product's interfaces, within one process.

A *link* says whether and how a call gets through, so that a test can cut
it, lose a reply or hold it back.
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
    """What happens to calls on their way to a target and back.

    Args:
        cut: nothing gets through.
        lose_replies: calls arrive, but their replies are lost.
        delay_s: time on the way, each way.
        crossed: chunks come twice, and those of others are mixed in.
        gappy: now and then a chunk is lost.
    """

    def __init__(self) -> None:
        self.cut = False
        self.lose_replies = False
        self.delay_s = 0.0005
        self.crossed = False
        self.gappy = False
        self.held = asyncio.Event()
        self.held.set()

    async def hold(self) -> None:
        """Wait while the sender is frozen."""
        await self.held.wait()

    async def go(self) -> None:
        """Take a call to the target."""
        await asyncio.sleep(self.delay_s)
        if self.cut:
            raise wire.NotSentError("The link is cut.")

    async def back(self) -> None:
        """Take a reply to the caller."""
        await asyncio.sleep(self.delay_s)
        await self.hold()
        if self.cut or self.lose_replies:
            raise wire.PeerLostError("The reply was lost.")


class MemoryEngine(targets.Engine):
    """An engine stand-in behind a link."""

    def __init__(self, engine: _engine.EngineStandIn, link: Link) -> None:
        self._engine = engine
        self._link = link

    async def report(self) -> targets.EngineReport:
        await self._link.go()
        report = self._engine.report()
        await self._link.back()
        return report

    async def load(
        self, order: targets.Order, adapter: str, weights: str
    ) -> None:
        await self._send(order)
        await self._engine.load(order.epoch, adapter, weights)
        await self._link.back()

    async def unload(self, order: targets.Order, adapter: str) -> None:
        await self._send(order)
        await self._engine.unload(order.epoch, adapter)
        await self._link.back()

    async def cancel(self, order: targets.Order, stream_id: str) -> None:
        await self._send(order)
        await self._engine.cancel(order.epoch, stream_id)
        await self._link.back()

    async def run(
        self, order: targets.Order, run: targets.Run
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        await self._send(order)
        chunks = self._engine.run(order.epoch, run)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                await self._link.back()
                for arrived in self._arrivals(chunk):
                    yield arrived

    def _arrivals(
        self, chunk: targets.Chunk
    ) -> collections.abc.Iterator[targets.Chunk]:
        """Yield what arrives in the place of a chunk."""
        if self._link.gappy and chunk.number % 7 == 3:
            return
        yield chunk
        if self._link.crossed:
            yield chunk
            yield dataclasses.replace(chunk, stream_id="other", text="? ")

    async def _send(self, order: targets.Order) -> None:
        await self._link.hold()
        if not order.gate():
            raise wire.NotSentError("The lease ended before the order went.")
        await self._link.go()


class MemoryService(targets.Service):
    """A service stand-in behind a link."""

    def __init__(self, service: _others.ServiceStandIn, link: Link) -> None:
        self._service = service
        self._link = link

    async def call(
        self, request: targets.ServiceRequest
    ) -> targets.ServiceReply:
        await self._link.hold()
        if not request.gate():
            raise wire.NotSentError("The lease ended before the call went.")
        await self._link.go()
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
        await self._link.back()
        return reply


class MemoryInstanceList(targets.InstanceList):
    """An instance list stand-in behind a link."""

    def __init__(
        self, instances: _others.InstanceListStandIn, link: Link
    ) -> None:
        self._instances = instances
        self._link = link

    async def read(self) -> tuple[targets.Instance, ...]:
        await self._link.go()
        listed = self._instances.read()
        await self._link.back()
        return listed
