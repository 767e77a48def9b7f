"""Background tasks that live as long as their owner."""

import asyncio
import collections.abc


class BackgroundTasks:
    """The background tasks of one owner, cancelled together.

    Example::

        self._background.start(self._read, self._write)
        ...
        await self._background.stop()
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task] = []

    def start(
        self,
        *functions: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Run each coroutine function in its own task."""
        self._tasks += [
            asyncio.create_task(function()) for function in functions
        ]

    async def stop(self) -> None:
        """Cancel the tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
