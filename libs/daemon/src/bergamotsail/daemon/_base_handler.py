"""What all HTTP handlers of a daemon share."""

import asyncio
import collections.abc
import typing

from absl import logging
from tornado import iostream

from bergamotsail.daemon import _bounded_body
from bergamotsail import wire

if typing.TYPE_CHECKING:
    from bergamotsail.daemon import _assembly

T = typing.TypeVar("T")


class BaseHandler(_bounded_body.BoundedBodyHandler):
    """Bounds the body, types every error, and notices lost callers."""

    prefix = "http"
    refusal_level = logging.INFO

    def initialize(self, daemon: "_assembly.Daemon") -> None:
        """Take the daemon that the routes give."""
        self.daemon = daemon
        self.init_body(daemon.settings.http.max_body_bytes)
        self._task: asyncio.Task | None = None

    def send_refusal(self) -> None:
        """Answer with the typed refusal."""
        assert self.refused is not None
        self.send_typed(self.refused)

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that went away."""
        if self._task is not None:
            self._task.cancel()

    async def serve(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run the handler's work; a caller that goes away cancels it."""
        if self.refused is not None:
            work.close()
            self.send_refusal()
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
