"""Reading a stream whose other side may have gone silent."""

import asyncio
import collections.abc
import contextlib
import typing

from bergamotsail.wire import _errors

T = typing.TypeVar("T")

Check = collections.abc.Callable[[], _errors.ServingError | None]


async def watched(
    items: collections.abc.AsyncGenerator[T, None],
    check: Check,
    interval_s: float,
) -> collections.abc.AsyncGenerator[T, None]:
    """Yield the items, and give the stream up when *check* says so.

    A frozen or cut-off peer ends no connection, so that a plain reader
    would wait for ever.

    Args:
        check: asked every *interval_s* seconds without an item; returns the
            error to raise, or None to wait on.
    """
    async with contextlib.aclosing(items):
        while True:
            reading = asyncio.ensure_future(anext(items))
            try:
                await _wait(reading, check, interval_s)
            finally:
                if not reading.done():
                    reading.cancel()
                    await asyncio.gather(reading, return_exceptions=True)
            try:
                item = reading.result()
            except StopAsyncIteration:
                return
            yield item


async def _wait(
    reading: asyncio.Future, check: Check, interval_s: float
) -> None:
    while not reading.done():
        await asyncio.wait([reading], timeout=interval_s)
        if reading.done():
            return
        error = check()
        if error is not None:
            raise error
