"""HTTP handler for calls from other daemons."""

import contextlib
import hmac

from absl import logging

from bergamotsail.daemon import _base_handler
from bergamotsail import wire

TOKEN_HEADER = "X-Peer-Token"


class PeerHandler(_base_handler.BaseHandler):
    """Dispatches a peer's call to its handler."""

    prefix = "peer"
    # The peer gets the reason of a refusal, and logs it if it matters there.
    refusal_level = logging.DEBUG

    def prepare(self) -> None:
        """Refuse a request without the token before its body is read."""
        token = self.request.headers.get(TOKEN_HEADER, "")
        secret = self.daemon.settings.peer_token
        if hmac.compare_digest(token.encode(), secret.encode()):
            self.trust_connection()
            super().prepare()
            return
        self.send_error_response(
            wire.UnauthenticatedError(
                "Missing or invalid peer token. Check that all daemons have "
                "the same peer token."
            )
        )

    async def post(self, name: str) -> None:
        """Handle the call of this name."""
        await self.serve(self._answer(name))

    async def _answer(self, name: str) -> None:
        call, handler = self.daemon.server.find(name)
        message = wire.decode(self.take_body(), call.request)
        if call.streams:
            await self._send_stream(handler(message))
            return
        self.send_json(await handler(message))

    async def _send_stream(self, replies) -> None:
        """Send one JSON line per reply, then an end or error line."""
        async with contextlib.aclosing(replies):
            try:
                async for reply in replies:
                    self.write(wire.encode({"reply": reply}) + b"\n")
                    await self.flush()
                last: dict = {"end": True}
            except wire.ServingError as error:
                last = {"error": error.body()}
        self.finish(wire.encode(last) + b"\n")

    def send_error_response(self, error: wire.ServingError) -> None:
        """Send the error without the envelope, the form that peers parse."""
        if not self._finished:
            self.set_status(error.status)
            self.finish(wire.encode(error.body()))
