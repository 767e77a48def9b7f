"""A stand-in for the runners of a plain service, with slots and a queue."""

import asyncio
import threading
import time

from tornado import httpserver
from tornado import netutil
from tornado import web

SEAL = "X-Response-Seal"
ATTEMPT = "X-Attempt-Id"


class Runner:
    """A runner at an address: it works on some requests, and queues some.

    Args:
        listed: the target in the platform's list that it stands for; its id
            is checked against X-Expect-Instance.
        now: the clock of the record.
    """

    def __init__(
        self, listed, slots: int, queue: int, work_s: float,
        now=time.monotonic,
    ) -> None:  # fmt: skip
        self.now = now
        self.listed = listed
        self.work_s = work_s
        self.places = slots + queue
        self.taken = 0
        self.slots = slots
        self.running: asyncio.Semaphore | None = None
        # Attempts that it began to work on.
        self.ran: list[str] = []
        self.ran_at: list[float] = []


class Handler(web.RequestHandler):
    """Serves the requests to a runner."""

    def initialize(self, runner: Runner) -> None:
        self.runner = runner
        self.left = False

    def on_connection_close(self) -> None:
        self.left = True

    def _reject(self, status: int) -> None:
        self.set_status(status)
        self.set_header("X-Not-Executed", "1")
        self.finish()

    async def _run(self) -> None:
        runner, headers = self.runner, self.request.headers
        attempt = headers.get(ATTEMPT)
        if headers.get("X-Expect-Instance") not in (None, runner.listed.id):
            self._reject(421)
            return
        if attempt is None:
            self._reject(400)
            return
        self.set_header(ATTEMPT, attempt)
        if runner.taken >= runner.places:
            self._reject(503)
            return
        runner.taken += 1
        try:
            async with runner.running:
                if self.left:
                    return
                runner.ran.append(attempt)
                runner.ran_at.append(runner.now())
                await asyncio.sleep(runner.work_s)
        finally:
            runner.taken -= 1
        if not self.left:
            self.set_header(SEAL, f"seal-{runner.listed.id}")
            self.finish(b"done by " + runner.listed.id.encode())

    get = post = _run


def serve(runners: list[Runner]) -> None:
    """Serve the runners at their listed addresses, in a thread."""
    ready = threading.Event()

    async def listen() -> None:
        for runner in runners:
            runner.running = asyncio.Semaphore(runner.slots)
            app = web.Application(
                [(r"/.*", Handler, {"runner": runner})],
                log_function=lambda _: None,
            )
            host, _, port = runner.listed.address.rpartition(":")
            server = httpserver.HTTPServer(app)
            server.add_sockets(netutil.bind_sockets(int(port), host))
        ready.set()
        await asyncio.Event().wait()

    threading.Thread(target=lambda: asyncio.run(listen()), daemon=True).start()
    ready.wait(10)
