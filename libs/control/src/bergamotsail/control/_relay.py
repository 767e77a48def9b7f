"""Relays calls to the leader for daemons that can't reach it."""

from bergamotsail.control import _session
from bergamotsail import wire

TIMEOUT_S = 2.0


class Relay:
    """Relays calls to the leader while this daemon's session is fresh.

    Only then is its own connection to the leader known to work. A daemon
    that itself uses a relay refuses, so there is at most one hop.
    """

    def __init__(
        self, session: _session.Session, transport: wire.PeerTransport
    ) -> None:
        self._session = session
        self._transport = transport

    def serve(self, server: wire.PeerServer, *calls: wire.Call) -> None:
        """Register handlers that relay these calls."""
        for call in calls:
            server.serve(call, self._handler(call))

    def _handler(self, call: wire.Call):
        async def handle(request: object) -> object:
            return await self._relay_call(call, request)

        return handle

    async def _relay_call(self, call: wire.Call, request: object) -> object:
        direct = not self._session.goes_through_neighbour
        if not (self._session.fresh() and direct):
            raise wire.LeaseLostError(
                "This instance can't reach the leader directly, so it can't "
                "relay the call.",
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
            # The caller can't reach the address in the error.
            raise wire.LeaseLostError(
                "The leader changed. Retry the call.", retry_after_s=0.1
            ) from error
