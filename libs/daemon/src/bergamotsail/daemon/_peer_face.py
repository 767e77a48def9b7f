"""Calls from other daemons, straight on the web server.

Most of what a leading replica does is to answer short calls. Tornado's
server is used without its framework of applications and handlers, which
took a quarter of each call's time: 0.38 ms of processor instead of 0.52
(3,000 place calls from 20 callers at once, beside other load).
"""

import asyncio
import collections
import contextlib
import hmac
import http.client
import time

from absl import logging
from tornado import httputil
from tornado import iostream

from bergamotsail import observe
from bergamotsail import wire

# How often the loop is asked how late it is.
LAG_POLL_S = 0.02
# How many looks are remembered, and for how long they count.
LAG_LOOKS = 50
LAG_WINDOW_S = 1.0
# Refused calls share a line for so long.
SHED_LINE_S = 1.0
# Calls that nobody serves here are counted together.
OTHER_CALLS = "other"
NOT_FOUND = wire.NotFoundError("This address answers daemons only.")


class LoopLag:
    """How late the event loop is; an async context manager."""

    def __init__(self, clock: wire.Clock = wire.LoopClock()) -> None:
        self.now_s = 0.0
        self._due_at = float("inf")
        self._looks: collections.deque[tuple[float, float]]
        self._looks = collections.deque(maxlen=LAG_LOOKS)
        self._clock = clock
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "LoopLag":
        self._background.start(self._watch)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()

    def worst_s(self) -> float:
        """Return the worst of the last second, with a look that is due."""
        overdue_s = self._clock.now() - self._due_at
        return max(0.0, overdue_s, *self._recent())

    def mean_s(self) -> float:
        """Return the mean of the last second; it tells how busy it is."""
        recent = self._recent()
        return sum(recent) / max(len(recent), 1)

    def _recent(self) -> list[float]:
        since = self._clock.now() - LAG_WINDOW_S
        return [lag_s for at, lag_s in self._looks if at >= since]

    async def _watch(self) -> None:
        while True:
            self._due_at = self._clock.now() + LAG_POLL_S
            await self._clock.sleep(LAG_POLL_S)
            now = self._clock.now()
            self.now_s = max(0.0, now - self._due_at)
            self._looks.append((now, self.now_s))


class PeerEndpoint:
    """Answers requests of other daemons by the calls of a server.

    A call that its server lets wait (``shed_after_s``) is refused while the
    loop is later than that, before it is read: what keeps the lead, such as
    votes and entries of the log, then still finds time.
    """

    def __init__(
        self,
        server: wire.PeerServer,
        token: str,
        lag: LoopLag,
        metrics: observe.Metrics | None = None,
    ) -> None:
        self._server = server
        self._token = token.encode()
        self._lag = lag
        self._tasks: set[asyncio.Task] = set()
        self.shed = 0
        self._metrics = metrics or observe.Metrics()
        self._shed_told = 0
        self._tell_shed_at = float("-inf")

    def __call__(self, request: httputil.HTTPServerRequest) -> None:
        """Answer a request; the web server calls this."""
        name = request.path.removeprefix(wire.PEER_PATH)
        if name not in self._server.by_name:
            name = OTHER_CALLS
        work = observe.timed(self._metrics, name, self._answer, request)
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        try:
            await self._answer_call(request)
        except iostream.StreamClosedError:
            logging.debug("peer: Caller went away.")
        except wire.ServingError as error:
            _send(request, error.status, wire.encode(error.body()))
        except Exception:
            logging.exception("peer: A call broke.")
            error = wire.InternalError("Something broke here. See the log.")
            _send(request, error.status, wire.encode(error.body()))

    async def _answer_call(self, request: httputil.HTTPServerRequest) -> None:
        if not request.path.startswith(wire.PEER_PATH):
            raise NOT_FOUND
        given = request.headers.get(wire.TOKEN_HEADER, "").encode()
        if not hmac.compare_digest(given, self._token):
            raise wire.UnauthenticatedError("This route is for daemons only.")
        name = request.path.removeprefix(wire.PEER_PATH)
        call, handler = self._server.find(name)
        self._check_lag(name)
        body = request.body
        message = wire.decode(body, call.request)
        if call.streams:
            observe.count_message(self._metrics, name, len(body))
            await _stream(request, handler(message))
            return
        reply = wire.encode(await handler(message))
        observe.count_message(self._metrics, name, len(body), len(reply))
        _send(request, http.client.OK, reply)

    def _check_lag(self, name: str) -> None:
        most_s = self._server.shed_after_s.get(name)
        if most_s is not None and self._lag.now_s > most_s:
            self._note_shed(name)
            raise wire.LoadShedError(
                "This daemon is behind with its work. Ask again.",
                retry_after_s=self._lag.now_s,
            )

    def _note_shed(self, name: str) -> None:
        self.shed += 1
        self._metrics.count("calls_shed", call=name)
        now = time.monotonic()
        if now < self._tell_shed_at:
            return
        self._tell_shed_at = now + SHED_LINE_S
        count, self._shed_told = self.shed - self._shed_told, self.shed
        observe.log_event(
            "peer",
            "shed",
            call=name,
            count=count,
            lag_s=round(self._lag.now_s, 4),
        )


def _send(
    request: httputil.HTTPServerRequest, status: int, body: bytes
) -> None:
    """Send a whole answer; one whose caller left is dropped."""
    connection = request.connection
    headers = httputil.HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
    )
    connection.set_close_callback(None)
    with contextlib.suppress(iostream.StreamClosedError):
        connection.write_headers(_first_line(status), headers, body)
        connection.finish()


async def _stream(request: httputil.HTTPServerRequest, replies) -> None:
    """Send one line for each reply, then the end or a typed error."""
    connection = request.connection
    headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
    await connection.write_headers(_first_line(http.client.OK), headers)
    async with contextlib.aclosing(replies):
        try:
            async for reply in replies:
                line = wire.encode({"reply": reply}) + b"\n"
                await connection.write(line)
            last: dict = {"end": True}
        except wire.ServingError as error:
            last = {"error": error.body()}
    await connection.write(wire.encode(last) + b"\n")
    connection.set_close_callback(None)
    connection.finish()


def _first_line(status: int) -> httputil.ResponseStartLine:
    reason = http.client.responses.get(status, "Unknown")
    return httputil.ResponseStartLine("HTTP/1.1", status, reason)
