"""File access to the data folder; tests inject disk faults behind it."""

import abc
import asyncio
import collections.abc
import functools
import os
import pathlib


class DiskError(OSError):
    """A disk operation failed; the data must not be acknowledged."""


class Disk(abc.ABC):
    """Files by name in one folder; only synced data is durable."""

    @abc.abstractmethod
    async def read(self, name: str) -> bytes | None:
        """Return the content, or None when the file does not exist."""

    @abc.abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Append data, which is durable only after ``sync``."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Make all data appended to the file durable."""

    @abc.abstractmethod
    async def truncate(self, name: str, size: int) -> None:
        """Truncate the file to *size* bytes and sync it."""

    @abc.abstractmethod
    async def rename(self, old: str, new: str) -> None:
        """Rename a synced file over *new*, atomically and durably."""

    @abc.abstractmethod
    async def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, atomically and durably."""
        temporary = f"{name}.new"
        await self.remove(temporary)
        await self.append(temporary, data)
        await self.sync(temporary)
        await self.rename(temporary, name)


class FolderDisk(Disk):
    """A folder of the file system.

    Reads, writes and syncs run in the event loop's default thread pool.
    """

    def __init__(self, folder: str | pathlib.Path) -> None:
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd_by_name: dict[str, int] = {}

    async def read(self, name: str) -> bytes | None:
        try:
            return await _run_in_thread((self._folder / name).read_bytes)
        except FileNotFoundError:
            return None

    async def append(self, name: str, data: bytes) -> None:
        await _run_in_thread(self._append, name, data)

    async def sync(self, name: str) -> None:
        await _run_in_thread(os.fdatasync, self._fd(name))

    async def truncate(self, name: str, size: int) -> None:
        await _run_in_thread(os.ftruncate, self._fd(name), size)
        await self.sync(name)

    async def rename(self, old: str, new: str) -> None:
        self._close(old)
        self._close(new)
        await _run_in_thread(self._rename, old, new)

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


async def _wait_until_done(done: asyncio.Future) -> object:
    """Wait for work in a thread, even when the waiting task is cancelled.

    The work can't be interrupted, and its file must not be closed or written
    by other code until it ends.
    """
    try:
        return await asyncio.shield(done)
    except asyncio.CancelledError:
        await asyncio.wait((done,))
        raise


async def _run_in_thread(
    function: collections.abc.Callable, *args: object
) -> object:
    loop = asyncio.get_running_loop()
    done = loop.run_in_executor(None, functools.partial(function, *args))
    try:
        return await _wait_until_done(done)
    except FileNotFoundError:
        raise
    except OSError as error:
        raise DiskError(
            error.errno,
            f"Access to the data folder failed ({error}). Check the disk and "
            "its free space, then restart this replica.",
        ) from error
