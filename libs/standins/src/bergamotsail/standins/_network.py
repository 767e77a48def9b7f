"""In-process network between daemons, with fault injection."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import random
import typing

from bergamotsail import wire

DELAY_S = 0.0005
# Concurrent replies on a slow link take turns in units of this size.
BURST_BYTES = 8_192


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """A daemon process at an address of the network.

    Attributes:
        dead: whether the process was killed.
        awake: cleared while the process is frozen.
        tasks: handlers that run in the process.
    """

    address: str
    server: wire.PeerServer
    dead: bool = False
    awake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


class MemoryNetwork:
    """A simulated network of hosts.

    Attributes:
        cuts: (source, destination) pairs between which messages are dropped.
        duplicate_probability: probability that a request is delivered twice.
        max_extra_delay_s: upper bound of the extra one-way latency, in
            seconds.
        bytes_per_s: bandwidth limit for replies, by receiving address.
        received: bytes received over a limited link, by address.
        stalled: receiving addresses on whose limited link a transfer hangs.
        max_request_bytes: size above which a receiver resets the connection,
            as a server with a limit of the body does.
        largest_request_by_call: size of the largest request sent, in bytes,
            by name of the call.
    """

    def __init__(self, rng: random.Random) -> None:
        self.host_by_address: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.duplicate_probability = 0.0
        self.max_extra_delay_s = 0.0
        self.rng = rng
        self.bytes_per_s: dict[str, float] = {}
        self.received: collections.Counter[str] = collections.Counter()
        self.stalled: set[str] = set()
        self.max_request_bytes = float("inf")
        self.largest_request_by_call: dict[str, int] = {}
        self._link_by_address: dict[str, asyncio.Lock] = {}

    def check_request(self, address: str, call: wire.Call, size: int) -> None:
        """Record the size of a request to a host.

        Raises:
            PeerLostError: the request is larger than the host accepts.
        """
        largest = self.largest_request_by_call.get(call.name, 0)
        self.largest_request_by_call[call.name] = max(largest, size)
        if size > self.max_request_bytes:
            raise wire.PeerLostError(f"{address} reset the connection.")

    async def transfer(self, address: str, size: int) -> None:
        """Wait for the transfer time of a reply to its receiver.

        A link without a bandwidth limit takes no time. On a limited link a
        transfer to a stalled receiver never completes.
        """
        rate = self.bytes_per_s.get(address)
        if rate is None:
            return
        link = self._link_by_address.setdefault(address, asyncio.Lock())
        while size > 0:
            burst = min(size, BURST_BYTES)
            size -= burst
            async with link:
                self.received[address] += burst
                await asyncio.sleep(burst / rate)
            if address in self.stalled:
                await asyncio.Event().wait()

    def join(self, address: str, server: wire.PeerServer) -> Host:
        """Register a new process at an address."""
        host = Host(address, server)
        host.awake.set()
        self.host_by_address[address] = host
        return host

    def kill(self, address: str) -> None:
        """Kill the process at an address and cancel its handlers."""
        host = self.host_by_address[address]
        host.dead = True
        for task in list(host.tasks):
            task.cancel()

    def cut(self, one: str, other: str, both_ways: bool = True) -> None:
        """Drop messages from one host to the other, and back if both ways."""
        self.cuts.add((one, other))
        if both_ways:
            self.cuts.add((other, one))

    def isolate(self, address: str, both_ways: bool = True) -> None:
        """Drop messages from a host to all others, and back if both ways."""
        for other in self.host_by_address:
            if other != address:
                self.cut(address, other, both_ways)

    def heal(self) -> None:
        """Remove all partitions, duplication and extra latency."""
        self.cuts.clear()
        self.duplicate_probability = 0.0
        self.max_extra_delay_s = 0.0

    async def delay(self) -> None:
        """Wait for the latency of one message."""
        extra_s = self.rng.random() * self.max_extra_delay_s
        await asyncio.sleep(DELAY_S * (1 + self.rng.random()) + extra_s)

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether messages from source to destination are dropped."""
        return (source, destination) in self.cuts


class MemoryTransport(wire.PeerTransport):
    """Peer transport of the process at one address."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def _host(self) -> Host:
        return self._network.host_by_address[self._address]

    async def call(
        self,
        address: str,
        call: wire.Call,
        message: typing.Any,
        timeout_s: float,
    ) -> typing.Any:
        handler_task: asyncio.Task | None = None
        try:
            async with asyncio.timeout(timeout_s):
                destination = await self._reach_host(address)
                data = wire.encode(message)
                self._network.check_request(address, call, len(data))
                if (
                    self._network.rng.random()
                    < self._network.duplicate_probability
                ):
                    self._deliver(destination, call, data)
                handler_task = self._deliver(destination, call, data)
                reply = await asyncio.shield(handler_task)
                await self._return_reply(address, destination)
                data = wire.encode(reply)
                await self._network.transfer(self._address, len(data))
                return wire.decode(data, call.reply)
        except TimeoutError:
            raise _timeout_error(address, handler_task is not None) from None
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise wire.PeerLostError(
                f"{address} stopped before it replied."
            ) from None
        finally:
            if handler_task is not None and not handler_task.done():
                _spawn(
                    destination, self._cancel_handler(address, handler_task)
                )

    async def _cancel_handler(
        self, address: str, handler_task: asyncio.Task
    ) -> None:
        """Cancel a handler whose caller disconnected, as a server does."""
        await self._network.delay()
        if not self._network.is_cut(self._address, address):
            handler_task.cancel()

    async def stream(
        self,
        address: str,
        call: wire.Call,
        message: typing.Any,
        timeout_s: float,
    ) -> collections.abc.AsyncIterator[typing.Any]:
        try:
            async with asyncio.timeout(min(timeout_s, 1.0)):
                destination = await self._reach_host(address)
        except TimeoutError:
            raise _timeout_error(address, False) from None
        replies: asyncio.Queue = asyncio.Queue()
        handler_task = _spawn(
            destination,
            self._run_stream_handler(destination, call, message, replies),
        )
        try:
            while True:
                reply = await replies.get()
                await self._return_reply(address, destination)
                if isinstance(reply, wire.ServingError):
                    raise wire.error_from_body(reply.body())
                if reply is None:
                    return
                data = wire.encode(reply)
                await self._network.transfer(self._address, len(data))
                yield wire.decode(data, call.reply)
        finally:
            handler_task.cancel()

    async def _run_stream_handler(
        self,
        destination: Host,
        call: wire.Call,
        message: typing.Any,
        replies: asyncio.Queue,
    ) -> None:
        """Run a streaming handler at the destination."""
        try:
            _, handler = destination.server.find(call.name)
            copy = wire.decode(wire.encode(message), call.request)
            async with contextlib.aclosing(handler(copy)) as items:
                async for reply in items:
                    await destination.awake.wait()
                    replies.put_nowait(reply)
            replies.put_nowait(None)
        except wire.ServingError as error:
            replies.put_nowait(error)
        except asyncio.CancelledError:
            replies.put_nowait(wire.PeerLostError("The peer stopped."))
            raise

    async def _reach_host(self, address: str) -> Host:
        """Wait until a message reaches a host, and return the host.

        Blocks while messages to it are dropped, or if the source is dead.

        Raises:
            NotSentError: no live process is at the address.
        """
        source = self._host()
        await source.awake.wait()
        await self._network.delay()
        if source.dead:
            await asyncio.Event().wait()
        while self._network.is_cut(self._address, address):
            await asyncio.sleep(0.05)
        destination = self._network.host_by_address.get(address)
        if destination is None or destination.dead:
            raise wire.NotSentError(f"Nothing listens at {address}.")
        return destination

    async def _return_reply(self, address: str, destination: Host) -> None:
        await self._network.delay()
        if destination.dead:
            raise wire.PeerLostError(f"{address} stopped before it replied.")
        while self._network.is_cut(address, self._address):
            await asyncio.sleep(0.05)
        await self._host().awake.wait()

    def _deliver(
        self, destination: Host, call: wire.Call, data: bytes
    ) -> asyncio.Task:
        async def handle() -> typing.Any:
            await destination.awake.wait()
            _, handler = destination.server.find(call.name)
            reply = await handler(wire.decode(data, call.request))
            await destination.awake.wait()
            return reply

        return _spawn(destination, handle())


def _spawn(host: Host, coroutine: collections.abc.Coroutine) -> asyncio.Task:
    task = asyncio.create_task(coroutine)
    host.tasks.add(task)
    task.add_done_callback(host.tasks.discard)
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    return task


def _timeout_error(address: str, sent: bool) -> wire.ServingError:
    if sent:
        return wire.PeerLostError(f"No reply from {address}.")
    return wire.NotSentError(f"{address} can't be reached.")
