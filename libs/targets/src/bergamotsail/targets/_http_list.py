"""The instance list over HTTP with JSON."""

from bergamotsail.targets import _instances
from bergamotsail import wire

TIMEOUT_S = 2.0


class HttpInstanceList(_instances.InstanceList):
    """Fetches the list from a URL, as a JSON array of instances."""

    def __init__(self, http: wire.HttpClient, url: str) -> None:
        self._http = http
        self._url = url

    async def read(self) -> tuple[_instances.Instance, ...]:
        request = wire.HttpRequest(self._url, timeout_s=TIMEOUT_S)
        reply = await self._http.fetch(request)
        if reply.status != 200:
            raise wire.PeerLostError(
                f"The instance list responded with status {reply.status}."
            )
        return wire.decode(reply.body, tuple[_instances.Instance, ...])
