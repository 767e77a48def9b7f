"""Base class of the daemon's HTTP handlers."""

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
    """Limits the body, sends typed errors, cancels work of lost callers."""

    prefix = "http"
    refusal_level = logging.INFO

    def initialize(self, daemon: "_assembly.Daemon") -> None:
        """Store the daemon, an argument of the route."""
        self.daemon = daemon
        self.init_body(daemon.settings.http.max_body_bytes)
        self._task: asyncio.Task | None = None

    def send_refusal(self) -> None:
        """Send the error response for a refused body."""
        assert self.refused is not None
        self.send_error_response(self.refused)

    def on_connection_close(self) -> None:
        """Cancel the work for a caller that closed the connection."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()

    async def serve(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a handler's work and send a typed error if it fails.

        The work is cancelled when the caller closes the connection.
        """
        if self.refused is not None:
            work.close()
            self.send_refusal()
            return
        self._task = asyncio.create_task(work)
        try:
            await self._task
        except asyncio.CancelledError:
            logging.log(
                self.refusal_level,
                "%s: Caller closed the connection.",
                self.prefix,
            )
        except iostream.StreamClosedError:
            logging.info("%s: Caller closed the connection.", self.prefix)
        except wire.ServingError as error:
            logging.log(
                self.refusal_level,
                "%s: Request refused. code=%s ran=%s %s",
                self.prefix,
                error.code,
                error.ran,
                error.message,
            )
            self.send_error_response(error)
        except Exception:
            logging.exception(
                "%s: Unhandled exception in a request.", self.prefix
            )
            self.send_error_response(
                wire.InternalError("Internal error. See the log.")
            )
        finally:
            # Its error refers to the request, and so to its body.
            self._task = None

    def send_error_response(self, error: wire.ServingError) -> None:
        """Send a typed error as the response, unless one is complete."""
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
        """Return the JSON body of an error response."""
        return wire.encode({"error": error.body()})

    def send_json(self, value: object) -> None:
        """Send a value as JSON."""
        self._send_data(wire.encode(value))

    def send_read(self, value: object) -> None:
        """Send what was read as JSON; the request changed nothing.

        Raises:
            NoRoomError: there is no room for it.
        """
        data = wire.encode(value)
        self.check_room(len(data))
        self._send_data(data)

    def _send_data(self, data: bytes) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(data)

    def write_error(self, status_code: int, **_: typing.Any) -> None:
        """Send a typed error instead of tornado's error page."""
        self.send_error_response(
            wire.BadRequestError("Malformed request. See the README.")
            if status_code < 500
            else wire.InternalError("Internal error. See the log.")
        )
