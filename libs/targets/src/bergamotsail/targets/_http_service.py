"""Plain services over HTTP."""

from bergamotsail.targets import _service
from bergamotsail import wire


class HttpService(_service.Service):
    """A service instance at an address."""

    def __init__(self, http: wire.HttpClient, address: str) -> None:
        self._http = http
        self._url = f"http://{address}"

    async def call(
        self, request: _service.ServiceRequest
    ) -> _service.ServiceReply:
        has_body = request.method in ("POST", "PUT", "PATCH")
        reply = await self._http.fetch(
            wire.HttpRequest(
                self._url + request.path,
                method=request.method,
                body=request.body if has_body or request.body else None,
                headers=request.headers,
                timeout_s=request.timeout_s,
                once=request.once,
                gate=request.gate,
            )
        )
        return _service.ServiceReply(reply.status, reply.headers, reply.body)
