"""The data folder, behind an interface so that tests can break it."""

import abc
import asyncio
import collections.abc
import functools
import os
import pathlib


class DiskError(OSError):
    """A write or sync that did not happen; nothing may be acknowledged."""


class Disk(abc.ABC):
    """Files by name in one folder; only synced data lasts."""

    @abc.abstractmethod
    async def read(self, name: str) -> bytes | None:
        """Return the content, or None when there is no such file."""

    @abc.abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Append, without promise that it lasts."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Make all that was appended to the file last."""

    @abc.abstractmethod
    async def truncate(self, name: str, size: int) -> None:
        """Cut the file to *size* bytes and sync it."""

    @abc.abstractmethod
    async def rename(self, old: str, new: str) -> None:
        """Put a synced file in another's place, atomically and durably."""

    @abc.abstractmethod
    async def remove(self, name: str) -> None:
        """Remove a file if it is there."""

    async def replace(self, name: str, data: bytes) -> None:
        """Write a whole file, atomically and durably."""
        temporary = f"{name}.new"
        await self.remove(temporary)
        await self.append(temporary, data)
        await self.sync(temporary)
        await self.rename(temporary, name)


class FolderDisk(Disk):
    """A real folder. Blocking calls run in the loop's thread pool."""

    def __init__(self, folder: str | pathlib.Path) -> None:
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd_by_name: dict[str, int] = {}

    async def read(self, name: str) -> bytes | None:
        try:
            return await _in_thread((self._folder / name).read_bytes)
        except FileNotFoundError:
            return None

    async def append(self, name: str, data: bytes) -> None:
        await _in_thread(self._append, name, data)

    async def sync(self, name: str) -> None:
        await _in_thread(os.fdatasync, self._fd(name))

    async def truncate(self, name: str, size: int) -> None:
        await _in_thread(os.ftruncate, self._fd(name), size)
        await self.sync(name)

    async def rename(self, old: str, new: str) -> None:
        self._close(old)
        self._close(new)
        await _in_thread(self._rename, old, new)

    async def remove(self, name: str) -> None:
        self._close(name)
        (self._folder / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close all files."""
        for name in list(self._fd_by_name):
            self._close(name)

    def _append(self, name: str, data: bytes) -> None:
        fd = self._fd(name)
        view = memoryview(data)
        while view:
            written = os.write(fd, view)
            view = view[written:]

    def _rename(self, old: str, new: str) -> None:
        os.rename(self._folder / old, self._folder / new)
        folder_fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)

    def _fd(self, name: str) -> int:
        if name not in self._fd_by_name:
            path = self._folder / name
            flags = os.O_CREAT | os.O_APPEND | os.O_RDWR
            self._fd_by_name[name] = os.open(path, flags, 0o600)
        return self._fd_by_name[name]

    def _close(self, name: str) -> None:
        fd = self._fd_by_name.pop(name, None)
        if fd is not None:
            os.close(fd)


async def _run_to_completion(done: asyncio.Future) -> object:
    """Wait for a thread's work even when the waiting task is cancelled.

    The work can't be stopped, and its file may not be closed or written by
    anything else before it is over.
    """
    try:
        return await asyncio.shield(done)
    except asyncio.CancelledError:
        await asyncio.wait((done,))
        raise


async def _in_thread(
    function: collections.abc.Callable, *args: object
) -> object:
    loop = asyncio.get_running_loop()
    done = loop.run_in_executor(None, functools.partial(function, *args))
    try:
        return await _run_to_completion(done)
    except FileNotFoundError:
        raise
    except OSError as error:
        raise DiskError(
            error.errno,
            f"The data folder failed ({error}). Check space and disk, then "
            "restart this replica.",
        ) from error
