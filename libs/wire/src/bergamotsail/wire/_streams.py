"""Reading a stream whose other side may have gone silent."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import typing

from bergamotsail.wire import _errors

T = typing.TypeVar("T")

Check = collections.abc.Callable[[], _errors.ServingError | None]

READ_AHEAD = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """The end of a stream, with its error if it broke."""

    error: BaseException | None = None


async def monitored_stream(
    items: collections.abc.AsyncGenerator[T, None],
    check: Check,
    interval_s: float,
) -> collections.abc.AsyncGenerator[T, None]:
    """Yield the items, and give the stream up when *check* says so.

    A frozen or cut-off peer ends no connection, so that a plain reader
    would wait for ever. One task reads the whole stream; a task for each
    item would cost more than the item.

    Args:
        check: asked after every *interval_s* seconds without an item;
            returns the error to raise, or None to wait on.
    """
    loop = asyncio.get_running_loop()
    queue: asyncio.Queue = asyncio.Queue(READ_AHEAD)
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
