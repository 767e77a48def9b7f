"""HTTP handlers for callers: lookups, completions and plain services."""

import asyncio
import contextlib
import dataclasses
import time
import typing
import uuid

from absl import logging

from bergamotsail import catalogue
from bergamotsail.daemon import _base_handler
from bergamotsail import routing
from bergamotsail import targets
from bergamotsail import wire

MAX_TOKENS = 100_000
NOT_FORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "host",
        "x-deadline-ms",
        "x-priority",
        "x-non-idempotent",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionBody:
    """Body of a request to the completion or chat API.

    Other fields of the API are accepted and ignored.
    """

    model: str
    prompt: str | None = None
    messages: list[dict[str, typing.Any]] | None = None
    max_tokens: int = 16
    stream: bool = False


class CallerHandler(_base_handler.BaseHandler):
    """Base class of handlers that authenticate a caller's member."""

    prefix = "entry"

    def authenticate(self) -> routing.Caller:
        """Authenticate the caller.

        Raises:
            UnauthenticatedError: the token is missing or belongs to no
                member.
        """
        values = self.request.headers.get_list("Authorization")
        token = wire.parse_bearer(values)
        by_token = self.daemon.session.view.member_by_token
        member = None
        if token is not None:
            member = catalogue.find_holder(by_token, token)
        if member is None:
            self.daemon.session.check_fresh()
            raise wire.UnauthenticatedError(
                "Missing or invalid token. Send your member's token as "
                "Authorization: Bearer TOKEN."
            )
        return routing.Caller(member)

    def request_id(self) -> str:
        """Return the caller's X-Request-Id, or a new id.

        An id that is not printable ASCII of at most 128 characters is
        replaced.
        """
        given = self.request.headers.get("X-Request-Id", "")
        safe = given.isascii() and given.isprintable() and len(given) <= 128
        return given if given and safe else uuid.uuid4().hex

    def deadline_s(self) -> float:
        """Return the caller's time limit in seconds, capped by settings.

        Raises:
            BadRequestError: X-Deadline-Ms is not a positive whole number.
        """
        limits = self.daemon.settings.http
        text = self.request.headers.get("X-Deadline-Ms")
        if text is None:
            return limits.default_deadline_s
        if not text.isdigit() or int(text) == 0:
            raise wire.BadRequestError(
                "X-Deadline-Ms must be a positive whole number of "
                "milliseconds."
            )
        return min(int(text) / 1000, limits.max_deadline_s)

    def entry_class(self) -> str | None:
        """Return the requested priority class, None if unspecified.

        Raises:
            BadRequestError: X-Priority names no class.
        """
        text = self.request.headers.get("X-Priority")
        if text is None:
            return None
        allowed = [str(kind) for kind in catalogue.EntryClass]
        if text not in allowed:
            raise wire.BadRequestError(
                f"X-Priority must be one of {', '.join(allowed)}."
            )
        return text


class HealthHandler(CallerHandler):
    """Reports whether this instance accepts requests."""

    async def get(self) -> None:
        """Respond with 200 while requests are accepted."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        self.daemon.check_accepting()
        self.daemon.session.check_fresh()
        self.send_json({"ok": True})


class WhereHandler(CallerHandler):
    """Returns the addresses to use for a model or a service."""

    async def get(self) -> None:
        """Look up the addresses."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        caller = self.authenticate()
        self.daemon.session.check_fresh()
        model = self.get_query_argument("model", "")
        service = self.get_query_argument("service", "")
        if bool(model) == bool(service):
            raise wire.BadRequestError(
                "Send exactly one of the parameters model and service."
            )
        adapter = ""
        if model:
            adapter = self.daemon.completions.resolve(caller, model)
        lookup = self.daemon.address_lookup
        self.send_json(lookup.look_up(model or service, adapter))


class ModelsHandler(CallerHandler):
    """Lists the model versions that the caller's member may use."""

    async def get(self) -> None:
        """List the model versions."""
        await self.serve(self._answer())

    async def _answer(self) -> None:
        member = self.authenticate().member
        entries = self.daemon.session.view.adapter_by_id.values()
        data = [
            {"id": f"{entry.id}@{version}", "object": "model"}
            for entry in entries
            if member in (entry.value.owner, *entry.value.callers)
            for version in entry.value.versions
        ]
        self.send_read({"object": "list", "data": data})


class CompletionHandler(CallerHandler):
    """The completion and chat API."""

    async def post(self, kind: str) -> None:
        """Complete a prompt, in one response or as a stream."""
        await self.serve(self._answer(kind == "chat/completions"))

    async def _answer(self, chat: bool) -> None:
        caller = self.authenticate()
        self.daemon.check_accepting()
        body = wire.decode(self.take_body(), CompletionBody)
        completion = self._make_completion(caller, body, chat)
        self.set_header("X-Request-Id", completion.request)
        parts = self.daemon.completions.complete(caller, completion)
        async with contextlib.aclosing(parts):
            if body.stream:
                await self._send_stream(parts, completion.request, chat)
            else:
                await self._send_whole(parts, completion.request, chat)

    def _make_completion(
        self, caller: routing.Caller, body: CompletionBody, chat: bool
    ) -> routing.Completion:
        if not 1 <= body.max_tokens <= MAX_TOKENS:
            raise wire.BadRequestError(
                f"max_tokens must be from 1 to {MAX_TOKENS}."
            )
        if chat and not body.messages:
            raise wire.BadRequestError("messages must be a non-empty list.")
        if not chat and body.prompt is None:
            raise wire.BadRequestError("prompt is required, as a string.")
        text = wire.encode(body.messages).decode() if chat else body.prompt
        token = self.request.headers.get("Last-Event-ID")
        resume = None
        if token is not None:
            resume = routing.parse_resume(token, caller.member)
        return routing.Completion(
            self.request_id(),
            body.model,
            targets.Prompt(text or "", body.max_tokens, chat),
            self.deadline_s(),
            self.entry_class(),
            resume,
        )

    async def _send_whole(self, parts, request: str, chat: bool) -> None:
        texts = []
        model = ""
        async for part in parts:
            texts.append(part.text)
            model = part.adapter
        text = "".join(texts)
        content = (
            {"message": {"role": "assistant", "content": text}}
            if chat
            else {"text": text}
        )
        choice = {"index": 0, "finish_reason": "stop", **content}
        self.send_json(self._envelope(request, model, choice, chat, ""))

    async def _send_stream(self, parts, request: str, chat: bool) -> None:
        """Send server-sent events.

        A complete stream ends in ``[DONE]``, a failed one in an ``error``
        event.
        """
        started = False
        try:
            async for part in parts:
                if not started:
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header("Cache-Control", "no-store")
                    started = True
                self.write(self._encode_event(part, request, chat))
                await self._flush_with_timeout()
            self.write(b"data: [DONE]\n\n")
        except wire.ServingError as error:
            if not started:
                raise
            logging.info("entry: Stream failed. request=%s %s", request, error)
            data = self.error_json(error)
            self.write(b"event: error\ndata: " + data + b"\n\n")
        self.finish()

    async def _flush_with_timeout(self) -> None:
        """Flush the output.

        Raises:
            TimeoutError: the caller did not read it within ``write_s``.
        """
        async with asyncio.timeout(self.daemon.settings.http.write_s):
            await self.flush()

    def _encode_event(
        self, part: routing.AnswerPart, request: str, chat: bool
    ) -> bytes:
        reason = "stop" if part.end else None
        content = (
            {"delta": {"content": part.text}} if chat else {"text": part.text}
        )
        choice = {"index": 0, "finish_reason": reason, **content}
        data = wire.encode(
            self._envelope(request, part.adapter, choice, chat, ".chunk")
        )
        token = part.resume.token().encode()
        return b"id: " + token + b"\ndata: " + data + b"\n\n"

    def _envelope(
        self, request: str, model: str, choice: dict, chat: bool, suffix: str
    ) -> dict:
        kind = f"chat.completion{suffix}" if chat else "text_completion"
        return {
            "id": request,
            "object": kind,
            "created": int(time.time()),
            "model": model,
            "choices": [choice],
        }


class ServiceHandler(CallerHandler):
    """Forwards HTTP calls to a plain service."""

    async def _handle(self, service: str, path: str | None) -> None:
        await self.serve(self._answer(service, path or "/"))

    get = post = put = patch = delete = head = options = _handle

    async def _answer(self, service: str, path: str) -> None:
        caller = self.authenticate()
        self.daemon.check_accepting()
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {
            name: value
            for name, value in self.request.headers.get_all()
            if name.lower() not in NOT_FORWARDED_HEADERS
        }
        non_idempotent = self.request.headers.get("X-Non-Idempotent", "false")
        call = routing.ServiceCall(
            self.request_id(),
            service,
            self.request.method or "GET",
            path + query,
            headers,
            self.take_body(),
            self.deadline_s(),
            self.request.headers.get("Idempotency-Key"),
            non_idempotent.lower() == "true",
        )
        result = await self.daemon.services.call(caller, call)
        self.set_status(result.status)
        for name, value in result.headers.items():
            self.set_header(name, value)
        if result.replayed:
            self.set_header("Idempotency-Replayed", "true")
        self.finish(result.body)


class UnknownHandler(CallerHandler):
    """Responds with a typed error to unknown paths."""

    async def _handle(self) -> None:
        await self.serve(self._answer())

    get = post = put = patch = delete = head = options = _handle

    async def _answer(self) -> None:
        raise wire.NotFoundError("Unknown path. See the README.")
