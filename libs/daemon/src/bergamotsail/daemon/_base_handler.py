"""What all HTTP handlers of a daemon share."""

import asyncio
import collections.abc
import typing

from absl import logging
from tornado import iostream
from tornado import web

from bergamotsail import wire

if typing.TYPE_CHECKING:
    from bergamotsail.daemon import _assembly

T = typing.TypeVar("T")


@web.stream_request_body
class BaseHandler(web.RequestHandler):
    """Bounds the body, types every error, and notices lost callers."""

    prefix = "http"
    refusal_level = logging.INFO

    def initialize(self, daemon: "_assembly.Daemon") -> None:
        """Take the daemon that the routes give."""
        self.daemon = daemon
        self._pieces: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task | None = None

    def prepare(self) -> None:
        """Refuse a body that says it is too large."""
        limit = self.daemon.settings.http.max_body_bytes
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > limit:
            self._refuse_body(limit)

    def data_received(self, chunk: bytes) -> None:
        """Collect the body, up to the limit."""
        self._size += len(chunk)
        if self._size > self.daemon.settings.http.max_body_bytes:
            if not self._finished:
                self._refuse_body(self.daemon.settings.http.max_body_bytes)
            return
        self._pieces.append(chunk)

    def _refuse_body(self, limit: int) -> None:
        # The rest of the body is read and dropped: to close on a caller that
        # still sends would reset the connection under the answer.
        self.send_typed(
            wire.TooLargeError(f"Send a body of at most {limit} bytes.")
        )

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self._pieces)

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that went away."""
        if self._task is not None:
            self._task.cancel()

    async def serve(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run the handler's work; a caller that goes away cancels it."""
        if self._finished:
            work.close()
            return
        self._task = asyncio.create_task(work)
        try:
            await self._task
        except asyncio.CancelledError:
            logging.log(
                self.refusal_level, "%s: Caller went away.", self.prefix
            )
        except iostream.StreamClosedError:
            logging.info("%s: Caller went away.", self.prefix)
        except wire.ServingError as error:
            logging.log(
                self.refusal_level,
                "%s: Refused. code=%s ran=%s %s",
                self.prefix,
                error.code,
                error.ran,
                error.message,
            )
            self.send_typed(error)
        except Exception:
            logging.exception("%s: A request broke.", self.prefix)
            self.send_typed(
                wire.InternalError("Something broke here. See the log.")
            )

    def send_typed(self, error: wire.ServingError) -> None:
        """Answer with a typed error."""
        if self._finished:
            return
        self.set_status(error.status)
        if error.retry_after_s is not None:
            self.set_header(
                "Retry-After", str(max(1, round(error.retry_after_s)))
            )
        self.set_header("Content-Type", "application/json")
        self.finish(self.error_json(error))

    def error_json(self, error: wire.ServingError) -> bytes:
        """Return the JSON form of an error."""
        return wire.encode({"error": error.body()})

    def send_json(self, value: object) -> None:
        """Answer with a value."""
        self.set_header("Content-Type", "application/json")
        self.finish(wire.encode(value))

    def write_error(self, status_code: int, **_: typing.Any) -> None:
        """Type the errors that tornado itself finds."""
        self.send_typed(
            wire.BadRequestError("Send a request as the README shows.")
            if status_code < 500
            else wire.InternalError("Something broke here. See the log.")
        )
