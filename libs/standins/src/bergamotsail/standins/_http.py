"""HTTP handlers for the stand-ins, to run them as separate processes."""

import contextlib
import dataclasses

from tornado import web

from bergamotsail.standins import _engine
from bergamotsail.standins import _others
from bergamotsail import targets
from bergamotsail import wire

FENCING_HEADER = "X-Fencing-Number"


class _Handler(web.RequestHandler):
    def send_error_body(self, error: wire.ServingError) -> None:
        self.set_status(error.status)
        self.finish(wire.encode(error.body()))

    def epoch(self) -> int:
        return int(self.request.headers.get(FENCING_HEADER, "0"))


@dataclasses.dataclass(frozen=True, slots=True)
class _AdapterBody:
    lora_name: str
    lora_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _CompletionBody:
    model: str
    max_tokens: int = 16
    stream: bool = True
    prompt: str | None = None
    messages: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineControl:
    """Faults to inject into an engine; a field that is None is unchanged."""

    leaving: bool | None = None
    restart: bool = False
    load_hang_s: float | None = None
    fail_loads: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRecords:
    """Counters and records of an engine, for tests to assert on."""

    evicted_while_serving: list[str]
    runs_by_stream: dict[str, int]
    adapter_by_stream: dict[str, str]
    loads: int
    cancelled: list[str]
    stale_orders_taken: int


class _EngineHandler(_Handler):
    def initialize(self, engine: _engine.EngineStandIn) -> None:
        self.engine = engine


class _ReportHandler(_EngineHandler):
    def get(self) -> None:
        self.finish(wire.encode(self.engine.report()))


class _AdapterHandler(_EngineHandler):
    async def post(self, command: str) -> None:
        body = wire.decode(self.request.body, _AdapterBody)
        try:
            if command == "load_lora_adapter":
                await self.engine.load(
                    self.epoch(), body.lora_name, body.lora_path
                )
            else:
                await self.engine.unload(self.epoch(), body.lora_name)
        except wire.ServingError as error:
            self.send_error_body(error)


class _CancelHandler(_EngineHandler):
    async def post(self, stream_id: str) -> None:
        try:
            await self.engine.cancel(self.epoch(), stream_id)
        except wire.ServingError as error:
            self.send_error_body(error)


class _CompletionHandler(_EngineHandler):
    _closed = False

    def on_connection_close(self) -> None:
        self._closed = True

    async def post(self) -> None:
        body = wire.decode(self.request.body, _CompletionBody)
        headers = self.request.headers
        resume = headers.get("X-Resume-After")
        run = targets.Run(
            headers.get("X-Stream-Id", ""),
            headers.get("X-Engine-Incarnation", ""),
            body.model,
            targets.Prompt(
                body.prompt or body.messages or "",
                body.max_tokens,
                body.messages is not None,
            ),
            int(headers.get("X-Priority", "0")),
            None if resume is None else int(resume),
        )
        started = False
        try:
            chunks = self.engine.run(self.epoch(), run)
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    if self._closed:
                        return
                    if not started:
                        self.set_header("Content-Type", "text/event-stream")
                    started = True
                    self.write(_encode_event(chunk))
                    await self.flush()
            self.write(b"data: [DONE]\n\n")
        except wire.PeerLostError:
            self.request.connection.stream.close()
        except wire.ServingError as error:
            if not started:
                self.set_status(error.status)
            self.write(wire.encode(error.body()) + b"\n")


def _encode_event(chunk: targets.Chunk) -> bytes:
    event = {
        "id": chunk.stream_id,
        "model": chunk.adapter,
        "incarnation": chunk.incarnation,
        "number": chunk.number,
        "choices": [
            {
                "text": chunk.text,
                "index": 0,
                "finish_reason": "stop" if chunk.end else None,
            }
        ],
    }
    return b"data: " + wire.encode(event) + b"\n\n"


class _EngineControlHandler(_EngineHandler):
    def get(self) -> None:
        engine = self.engine
        self.finish(
            wire.encode(
                EngineRecords(
                    engine.evicted_while_serving,
                    dict(engine.runs_by_stream),
                    engine.adapter_by_stream,
                    engine.loads,
                    sorted(engine.cancelled),
                    engine.stale_orders_taken,
                )
            )
        )

    def post(self) -> None:
        control = wire.decode(self.request.body, EngineControl)
        if control.leaving is not None:
            self.engine.leaving = control.leaving
        if control.load_hang_s is not None:
            self.engine.load_hang_s = control.load_hang_s
        if control.fail_loads is not None:
            fault = wire.EngineError("The load failed: injected fault.")
            self.engine.load_fault = fault if control.fail_loads else None
        if control.restart:
            self.engine.restart()


def engine_application(engine: _engine.EngineStandIn) -> web.Application:
    """Return the web application that serves an engine stand-in."""
    args = {"engine": engine}
    return web.Application(
        [
            (r"/report", _ReportHandler, args),
            (
                r"/v1/(load_lora_adapter|unload_lora_adapter)",
                _AdapterHandler,
                args,
            ),
            (r"/v1/(?:chat/)?completions", _CompletionHandler, args),
            (r"/v1/streams/([^/]+)/cancel", _CancelHandler, args),
            (r"/standin", _EngineControlHandler, args),
        ]
    )


class _FetchHandler(_Handler):
    def initialize(self, store: _others.WeightStoreStandIn) -> None:
        self.store = store

    async def post(self) -> None:
        try:
            await self.store.fetch(self.request.body.decode())
        except wire.ServingError as error:
            self.send_error_body(error)


def store_application(store: _others.WeightStoreStandIn) -> web.Application:
    """Return the web application that serves a weight store stand-in."""
    return web.Application([(r"/fetch", _FetchHandler, {"store": store})])


class HttpWeightStore(_engine.WeightSource):
    """Client of a weight store in another process."""

    def __init__(self, http: wire.HttpClient, address: str) -> None:
        self._http = http
        self._url = f"http://{address}/fetch"

    async def fetch(self, weights: str) -> None:
        request = wire.HttpRequest(
            self._url, "POST", weights.encode(), timeout_s=60.0
        )
        reply = await self._http.fetch(request)
        if reply.status != 200:
            raise wire.EngineError(
                f"The weight store failed the load: status {reply.status}."
            )


class _ServiceHandler(_Handler):
    def initialize(self, service: _others.ServiceStandIn) -> None:
        self.service = service

    async def prepare(self) -> None:
        if self.request.path == "/standin":
            self.finish(wire.encode(dict(self.service.count_by_key)))
            return
        reply = await self.service.call(
            self.request.method or "GET",
            self.request.uri or "/",
            dict(self.request.headers.get_all()),
            self.request.body,
        )
        self.set_status(reply.status)
        for name, value in reply.headers.items():
            self.set_header(name, value)
        self.finish(reply.body)


def service_application(service: _others.ServiceStandIn) -> web.Application:
    """Return the web application that serves a service stand-in."""
    return web.Application([(r".*", _ServiceHandler, {"service": service})])


class _InstanceListHandler(_Handler):
    def initialize(self, instances: _others.InstanceListStandIn) -> None:
        self.instances = instances

    def get(self) -> None:
        try:
            self.finish(wire.encode(self.instances.read()))
        except wire.ServingError as error:
            self.send_error_body(error)

    def put(self) -> None:
        body = self.request.body
        self.instances.set(wire.decode(body, tuple[targets.Instance, ...]))


def list_application(
    instances: _others.InstanceListStandIn,
) -> web.Application:
    """Return the web application that serves an instance list stand-in."""
    return web.Application(
        [(r"/instances", _InstanceListHandler, {"instances": instances})]
    )
