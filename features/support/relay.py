"""A TCP relay that can stall traffic without closing connections."""

import asyncio


class Relay:
    """Forwards TCP connections to an address; an async context manager."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._flowing = asyncio.Event()
        self._flowing.set()
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
        self._flowing.clear()

    def heal(self) -> None:
        """Resume forwarding."""
        self._flowing.set()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await self._flowing.wait()
        there, back = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(
            self._pass_on(reader, back), self._pass_on(there, writer)
        )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                await self._flowing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()
