"""Engines with the completions HTTP API, where models name adapters.

Orders are ``POST /v1/load_lora_adapter`` and ``/v1/unload_lora_adapter``;
runs are ``POST /v1/completions`` or ``/v1/chat/completions``, streamed as
server-sent events. Headers carry the fencing token and the expected
incarnation. Each event names the incarnation and adapter that produced it.
"""

import collections.abc
import dataclasses

from bergamotsail.targets import _engine
from bergamotsail import wire

FENCING_HEADER = "X-Fencing-Number"
INCARNATION_HEADER = "X-Engine-Incarnation"
STREAM_HEADER = "X-Stream-Id"
PRIORITY_HEADER = "X-Priority"
RESUME_HEADER = "X-Resume-After"
REPORT_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 30.0
DONE = b"[DONE]"
DATA_PREFIX = b"data:"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBody:
    """Body of a load, unload or cancel order."""

    lora_name: str
    lora_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionBody:
    """Body of a run."""

    model: str
    max_tokens: int
    stream: bool = True
    prompt: str | None = None
    messages: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A choice of a completion event."""

    text: str
    index: int = 0
    finish_reason: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionEvent:
    """One server-sent event of a completion.

    Args:
        id: id of the stream.
        model: the adapter that produced it, as ``adapter@version``.
        incarnation: the incarnation of the engine that produced it.
        number: position in the stream, from 0.
    """

    id: str
    model: str
    incarnation: str
    number: int
    choices: tuple[Choice, ...]


class HttpEngine(_engine.Engine):
    """An engine at an address.

    Args:
        stream_timeout_s: maximum duration of a run.
    """

    def __init__(
        self,
        http: wire.HttpClient,
        address: str,
        stream_timeout_s: float = 600.0,
    ) -> None:
        self._http = http
        self._url = f"http://{address}"
        self._stream_timeout_s = stream_timeout_s

    async def report(self) -> _engine.EngineReport:
        request = wire.HttpRequest(
            f"{self._url}/report", timeout_s=REPORT_TIMEOUT_S
        )
        reply = await self._http.fetch(request)
        _raise_for_status(reply)
        return wire.decode(reply.body, _engine.EngineReport)

    async def load(
        self, order: _engine.Order, adapter: str, weights: str
    ) -> None:
        body = LoadBody(adapter, weights)
        await self._send_order(
            order, "/v1/load_lora_adapter", body, LOAD_TIMEOUT_S
        )

    async def unload(self, order: _engine.Order, adapter: str) -> None:
        body = LoadBody(adapter)
        await self._send_order(order, "/v1/unload_lora_adapter", body, 5.0)

    async def cancel(self, order: _engine.Order, stream_id: str) -> None:
        path = f"/v1/streams/{stream_id}/cancel"
        await self._send_order(order, path, LoadBody(""), 5.0)

    async def _send_order(
        self, order: _engine.Order, path: str, body: object, timeout_s: float
    ) -> None:
        request = wire.HttpRequest(
            self._url + path,
            method="POST",
            body=wire.encode(body),
            headers={FENCING_HEADER: str(order.epoch)},
            timeout_s=timeout_s,
            gate=order.gate,
        )
        _raise_for_status(await self._http.fetch(request))

    async def run(
        self, order: _engine.Order, run: _engine.Run
    ) -> collections.abc.AsyncIterator[_engine.Chunk]:
        lines = self._http.stream(self._run_request(order, run))
        try:
            async for line in lines:
                if not line.startswith(DATA_PREFIX):
                    _raise_for_error_line(line)
                    continue
                data = line[len(DATA_PREFIX) :].strip()
                if data == DONE:
                    return
                yield _to_chunk(_decode_event(data))
        finally:
            await lines.aclose()

    def _run_request(
        self, order: _engine.Order, run: _engine.Run
    ) -> wire.HttpRequest:
        headers = {
            FENCING_HEADER: str(order.epoch),
            INCARNATION_HEADER: run.incarnation,
            STREAM_HEADER: run.stream_id,
            PRIORITY_HEADER: str(run.priority),
        }
        if run.resume_after is not None:
            headers[RESUME_HEADER] = str(run.resume_after)
        chat = run.prompt.chat
        body = CompletionBody(
            run.adapter,
            run.prompt.max_tokens,
            prompt=None if chat else run.prompt.text,
            messages=run.prompt.text if chat else None,
        )
        path = "/v1/chat/completions" if chat else "/v1/completions"
        return wire.HttpRequest(
            self._url + path,
            method="POST",
            body=wire.encode(body),
            headers=headers,
            timeout_s=self._stream_timeout_s,
            gate=order.gate,
            once=True,
        )


def _decode_event(data: bytes) -> CompletionEvent:
    """Decode an event; one that was cut off is a lost reply.

    Raises:
        PeerLostError: the event is not complete or not valid.
    """
    try:
        return wire.decode(data, CompletionEvent)
    except wire.BadMessageError as error:
        raise wire.PeerLostError(
            "The engine's stream broke off inside an event. Resume it."
        ) from error


def _to_chunk(event: CompletionEvent) -> _engine.Chunk:
    text = "".join(choice.text for choice in event.choices)
    end = any(choice.finish_reason for choice in event.choices)
    return _engine.Chunk(
        event.id, event.incarnation, event.model, event.number, text, end
    )


def _raise_for_status(reply: wire.HttpReply) -> None:
    if reply.status < 400:
        return
    try:
        body = wire.decode(reply.body, wire.ErrorBody)
    except wire.BadMessageError as error:
        raise wire.EngineError(
            f"The engine responded with status {reply.status}."
        ) from error
    raise wire.error_from_body(body)


def _raise_for_error_line(line: bytes) -> None:
    """Raise the error that a line of a response holds, if any.

    An engine that rejects a run sends an error body in place of events.
    """
    try:
        body = wire.decode(line, wire.ErrorBody)
    except wire.BadMessageError:
        return
    raise wire.error_from_body(body)
