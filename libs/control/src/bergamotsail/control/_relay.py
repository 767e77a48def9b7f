"""A daemon passes calls of a neighbour on to the leader."""

from bergamotsail.control import _session
from bergamotsail import wire

TIMEOUT_S = 2.0


class Relay:
    """Passes calls on while this daemon's own session is fresh.

    Only then is its own way to the leader known to be good. It passes
    nothing on that came to it through another, since it answers only calls
    that it would itself send to the leader directly.
    """

    def __init__(
        self, session: _session.Session, transport: wire.PeerTransport
    ) -> None:
        self._session = session
        self._transport = transport

    def serve(self, server: wire.PeerServer, *calls: wire.Call) -> None:
        """Pass these calls on from now on."""
        for call in calls:
            server.serve(call, self._handler(call))

    def _handler(self, call: wire.Call):
        async def handle(request: object) -> object:
            return await self._pass_on(call, request)

        return handle

    async def _pass_on(self, call: wire.Call, request: object) -> object:
        direct = not self._session.goes_through_neighbour
        if not (self._session.fresh() and direct):
            raise wire.LeaseLostError(
                "This instance has no way to the leader either.",
                retry_after_s=1.0,
            )
        patience_s = getattr(request, "patience_s", 0.0)
        try:
            return await self._transport.call(
                self._session.leader.address,
                call,
                request,
                patience_s + TIMEOUT_S,
            )
        except wire.NotLeaderError as error:
            # The caller can't reach whom the error names.
            raise wire.LeaseLostError(
                "The leader moved. Ask again.", retry_after_s=0.1
            ) from error
