"""A TCP relay that can stall traffic without closing connections."""

import asyncio


class Relay:
    """Forwards TCP connections to an address; an async context manager."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def __aenter__(self) -> "Relay":
        self._server = await asyncio.start_server(
            self._connect, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Stop forwarding; connections stay open."""
        self._forwarding.clear()

    def heal(self) -> None:
        """Resume forwarding."""
        self._forwarding.set()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await self._forwarding.wait()
        target_reader, target_writer = await asyncio.open_connection(
            self._host, self._port
        )
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._forwarding.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()
