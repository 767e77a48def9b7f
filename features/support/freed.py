"""Checks that requests are freed when they end.

A request in a cycle of references keeps its body until the next garbage
collection, long after the connection table has stopped charging for it.
"""

import asyncio
import collections.abc
import gc
import socket

from bergamotsail import daemon
from bergamotsail import observe
from bergamotsail import routing
from features.support import fatal_world

BODY = b"a body"
MAX_BODY_BYTES = 100_000


async def _kept_after(outcome: str) -> list[str]:
    """Return a fault if a request that ended so is kept."""
    async with fatal_world.World(entries=1, count=3, attempts=2) as world:
        if outcome == "crashed":
            world.fatal.add(BODY)
        if outcome == "refused":
            for target in world.targets:
                target.up = False
        gc.collect()
        gc.disable()
        try:
            code = await world.ask(BODY)
            await asyncio.sleep(1.0)
            kept = [
                found
                for found in gc.get_objects()
                if isinstance(found, routing.CallerRequest)
                and found.body == BODY
            ]
        finally:
            gc.enable()
    faults = []
    if (code == "served") != (outcome == "served"):
        faults.append(f"ended as {code}")
    if kept:
        faults.append(f"{len(kept)} requests kept after one was {outcome}")
    return faults


async def check_served() -> list[str]:
    """A request that was served is freed."""
    return await _kept_after("served")


async def check_crashed() -> list[str]:
    """A request whose targets crashed is freed."""
    return await _kept_after("crashed")


async def check_refused() -> list[str]:
    """A request that no target accepts is freed."""
    return await _kept_after("refused")


CHECKS = {
    "served": check_served,
    "crashed": check_crashed,
    "refused": check_refused,
}


class _Handler(daemon.RelayHandler):
    """Takes a body and answers nothing."""

    async def post(self) -> None:
        self.take_body()

    def initialize(self) -> None:
        self.init_body(MAX_BODY_BYTES)

    def send_refusal(self) -> None:
        self.finish()


async def _keep_after_leaving() -> list[str]:
    limits = daemon.ProcessLimits(40 * MAX_BODY_BYTES / 1e6, 500)
    clients = daemon.ClientListeners(limits, observe.Metrics())
    app = daemon.application_without_access_log([(r".*", _Handler)])
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    listener = clients.listen(
        app,
        f"127.0.0.1:{port}",
        daemon.ListenerLimits(daemon.SERVER_BODY_BYTES),
    )
    gc.collect()
    gc.disable()
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"
        writer.write(head + b"p")
        await writer.drain()
        await _until(lambda: bool(_handlers()))
        assert _handlers(), "the request did not arrive"
        writer.close()
        del writer
        await _until(lambda: not len(clients.table))
        await asyncio.sleep(0.1)
        kept = sum(len(handler.take_body()) for handler in _handlers())
    finally:
        gc.enable()
        listener.stop()
    return [f"{kept} bytes kept after their caller left"] if kept else []


def _handlers() -> list[_Handler]:
    return [found for found in gc.get_objects() if type(found) is _Handler]


async def _until(check: collections.abc.Callable[[], bool]) -> None:
    for _ in range(100):
        if check():
            return
        await asyncio.sleep(0.02)


def check_left_early() -> list[str]:
    """A request whose caller left while it was received is freed."""
    return asyncio.run(_keep_after_leaving())
