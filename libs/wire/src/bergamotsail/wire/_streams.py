"""Reading a stream whose sender may stop responding."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

from bergamotsail.wire import _errors

T = typing.TypeVar("T")

Check = collections.abc.Callable[[], _errors.ServingError | None]

MAX_QUEUED_ITEMS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """The end of a stream, with the error if it failed."""

    error: BaseException | None = None


async def monitored_stream(
    items: collections.abc.AsyncGenerator[T, None],
    check: Check,
    interval_s: float,
) -> collections.abc.AsyncGenerator[T, None]:
    """Yield the items, and abort the stream if *check* returns an error.

    A frozen or partitioned peer doesn't close its connection, so a plain
    reader would wait forever. One task reads the whole stream, because a
    task for each item would cost more than the item.

    Args:
        check: called every *interval_s* seconds while no item has come for
            that long; returns the error to raise, or None to keep waiting.
    """
    loop = asyncio.get_running_loop()
    queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_ITEMS)
    reading = asyncio.create_task(_read(items, queue))
    item_at = loop.time()
    timer: asyncio.TimerHandle | None = None

    def tick() -> None:
        nonlocal timer
        silent = loop.time() - item_at >= interval_s and queue.empty()
        error = check() if silent else None
        if error is not None:
            queue.put_nowait(_End(error))
        timer = loop.call_later(interval_s, tick)

    timer = loop.call_later(interval_s, tick)
    try:
        while True:
            item = await queue.get()
            if isinstance(item, _End):
                if item.error is not None:
                    raise item.error
                return
            item_at = loop.time()
            yield item
            item_at = loop.time()
    finally:
        timer.cancel()
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


async def _read(
    items: collections.abc.AsyncGenerator[T, None], queue: asyncio.Queue
) -> None:
    try:
        async with contextlib.aclosing(items):
            async for item in items:
                await queue.put(item)
    except Exception as error:
        await queue.put(_End(error))
    else:
        await queue.put(_End())
