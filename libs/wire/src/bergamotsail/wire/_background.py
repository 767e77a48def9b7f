"""Tasks that run for as long as their owner does."""

import asyncio
import collections.abc


class BackgroundTasks:
    """The tasks of one owner, ended together.

    Example::

        self._background.start(self._read, self._write)
        ...
        await self._background.stop()
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task] = []

    def start(
        self,
        *works: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Run each work in a task of its own."""
        self._tasks += [asyncio.create_task(work()) for work in works]

    async def stop(self) -> None:
        """End the tasks, and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
