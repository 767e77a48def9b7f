"""A reference client: looks up addresses, caches them and connects."""

import asyncio
import dataclasses
import json
import time
import urllib.parse

from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a request.

    Args:
        model: model that the last chunk names.
        code: error code, "" for a complete answer.
        ran: whether the work ran, as the error states it.
        first_s: seconds to the first token.
        total_s: seconds to the end of the stream.
        last_event: id of the last server-sent event.
        replayed: whether the reply is the stored one of an earlier call.
    """

    text: str = ""
    model: str = ""
    code: str = ""
    ran: str = ""
    first_s: float = 0.0
    total_s: float = 0.0
    status: int = 200
    retry_after: str | None = None
    last_event: str | None = None
    replayed: bool = False


class Client:
    """A client with the token of one member.

    Args:
        addresses: daemons to ask for the addresses of models and services.
    """

    def __init__(
        self, http: wire.HttpClient, addresses: list[str], token: str
    ) -> None:
        self._http = http
        self._addresses = addresses
        self._token = token
        self._cache: dict[tuple[str, str], tuple[float, list[str]]] = {}

    async def where(self, kind: str, name: str) -> list[str]:
        """Return addresses for a model or service, from the cache if fresh.

        If every lookup fails, returns the expired answer, or else the
        configured addresses.
        """
        now = time.monotonic()
        expires_at, cached = self._cache.get((kind, name), (0.0, []))
        if now < expires_at and cached:
            return cached
        query = urllib.parse.urlencode({kind: name})
        for address in self._addresses:
            request = wire.HttpRequest(
                f"http://{address}/v1/where?{query}",
                headers=self._headers(),
                timeout_s=2.0,
            )
            try:
                reply = await self._http.fetch(request)
            except wire.ServingError:
                continue
            if reply.status == 200:
                answer = json.loads(reply.body)
                found = answer["addresses"] or [address]
                new_expiry = now + answer["keep_s"]
                self._cache[(kind, name)] = (new_expiry, found)
                return found
        return cached or self._addresses

    def clear_cache(self) -> None:
        """Clear the address cache."""
        self._cache.clear()

    def _headers(self, **extra: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._token}"} | extra

    async def complete(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 8,
        deadline_s: float = 30.0,
        headers: dict[str, str] | None = None,
        address: str | None = None,
    ) -> Result:
        """Request a completion and read the streamed answer.

        The error codes ``cut_off``, ``stopping`` and ``not_sent`` are retried
        at the next address until the deadline. Other outcomes are returned.
        """
        started = time.monotonic()
        result = Result(code="unreachable", ran="not_run")
        while time.monotonic() - started < deadline_s:
            addresses = (
                [address] if address else await self.where("model", model)
            )
            for chosen in addresses:
                result = await self.complete_at(
                    chosen, model, prompt, max_tokens, deadline_s, headers
                )
                if result.code not in ("cut_off", "stopping", "not_sent"):
                    return result
                self.clear_cache()
            await asyncio.sleep(0.2)
        return result

    async def complete_at(
        self,
        address: str,
        model: str,
        prompt: str,
        max_tokens: int,
        deadline_s: float,
        headers: dict[str, str] | None,
    ) -> Result:
        """Request a completion from one address, without retries."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        request = wire.HttpRequest(
            f"http://{address}/v1/completions",
            "POST",
            json.dumps(body).encode(),
            self._headers(
                **{
                    "X-Deadline-Ms": str(int(deadline_s * 1000)),
                    "Content-Type": "application/json",
                }
            )
            | (headers or {}),
            timeout_s=deadline_s + 15,
            connect_timeout_s=2.0,
        )
        return await _read_stream(self._http, request)

    async def call(
        self,
        service: str,
        path: str,
        method: str = "POST",
        body: bytes = b"{}",
        key: str | None = None,
        deadline_s: float = 10.0,
        address: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result:
        """Call a service at its first address, without retries."""
        addresses = (
            [address] if address else await self.where("service", service)
        )
        extra = {"X-Deadline-Ms": str(int(deadline_s * 1000))}
        if key is not None:
            extra["Idempotency-Key"] = key
        request = wire.HttpRequest(
            f"http://{addresses[0]}/v1/services/{service}{path}",
            method,
            body if method != "GET" else None,
            self._headers(**extra) | (headers or {}),
            timeout_s=deadline_s + 5,
            connect_timeout_s=2.0,
        )
        try:
            reply = await self._http.fetch(request)
        except wire.ServingError as error:
            return Result(code=error.code, ran=str(error.ran))
        return _result_of(reply)


def _result_of(reply: wire.HttpReply) -> Result:
    text = reply.body.decode(errors="replace")
    lowered = {name.lower(): value for name, value in reply.headers.items()}
    retry_after = lowered.get("retry-after")
    replayed = "idempotency-replayed" in lowered
    if reply.status >= 400:
        error = json.loads(text)["error"]
        return Result(
            code=error["code"],
            ran=error["ran"],
            status=reply.status,
            retry_after=retry_after,
        )
    return Result(
        text, status=reply.status, retry_after=retry_after, replayed=replayed
    )


async def _read_stream(
    http: wire.HttpClient, request: wire.HttpRequest
) -> Result:
    started = time.monotonic()
    texts: list[str] = []
    model = ""
    first_s = 0.0
    done = False
    last_event = None
    is_error = False
    code, ran = "", ""
    lines = http.stream(request)
    try:
        async for line in lines:
            if line.startswith(b"id: "):
                last_event = line[4:].decode()
            elif line == b"event: error":
                is_error = True
            elif line == b"data: [DONE]":
                done = True
            elif line.startswith(b"data: ") or line.startswith(b"{"):
                data = json.loads(line.removeprefix(b"data: "))
                if is_error or "error" in data:
                    code = data["error"]["code"]
                    ran = data["error"]["ran"]
                    continue
                first_s = first_s or time.monotonic() - started
                texts.append(data["choices"][0]["text"])
                model = data["model"]
    except wire.ServingError as error:
        code, ran = error.code, str(error.ran)
    finally:
        await lines.aclose()
    if not done and not code:
        code, ran = "truncated", "unknown"
    total_s = time.monotonic() - started
    return Result(
        "".join(texts),
        model,
        code,
        ran,
        first_s,
        total_s,
        last_event=last_event,
    )
