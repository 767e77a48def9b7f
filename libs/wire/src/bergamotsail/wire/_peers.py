"""Calls between daemons: one interface, HTTP with JSON behind it."""

import abc
import collections.abc
import dataclasses
import typing

from bergamotsail.wire import _codec
from bergamotsail.wire import _errors
from bergamotsail.wire import _http

PEER_PATH = "/peer/v1/"
TOKEN_HEADER = "X-Peer-Token"

Request = typing.TypeVar("Request")
Reply = typing.TypeVar("Reply")


@dataclasses.dataclass(frozen=True, slots=True)
class Call(typing.Generic[Request, Reply]):
    """One kind of call: its name and the types of both sides.

    A call with ``streams=True`` is answered by many replies in order.
    """

    name: str
    request: type[Request]
    reply: type[Reply]
    streams: bool = False


Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]
StreamHandler = collections.abc.Callable[
    [typing.Any], collections.abc.AsyncIterator[typing.Any]
]


class PeerServer:
    """The calls that this process answers, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, tuple[Call, Handler | StreamHandler]] = {}
        self.shed_after_s: dict[str, float] = {}

    def serve(
        self,
        call: Call,
        handler: Handler | StreamHandler,
        shed_after_s: float | None = None,
    ) -> None:
        """Answer *call* with *handler* from now on.

        Args:
            shed_after_s: refuse it while this process is later than this
                with its work; None to answer it always.
        """
        self.by_name[call.name] = (call, handler)
        if shed_after_s is not None:
            self.shed_after_s[call.name] = shed_after_s

    def find(self, name: str) -> tuple[Call, Handler | StreamHandler]:
        """Return the call of this name and its handler.

        Raises:
            NotFoundError: there is none.
        """
        if name not in self.by_name:
            raise _errors.NotFoundError(
                f"No call {name} here. Check that both sides run the same "
                "version and that this daemon has the role."
            )
        return self.by_name[name]


class PeerTransport(abc.ABC):
    """How one daemon calls another."""

    @abc.abstractmethod
    async def call(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> Reply:
        """Call and return the one reply.

        Raises:
            NotSentError: nothing reached the peer.
            PeerLostError: the reply was lost.
            ServingError: whatever typed error the peer raised.
        """

    @abc.abstractmethod
    def stream(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> collections.abc.AsyncIterator[Reply]:
        """Call and yield the replies in order; raises as ``call``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One line of a streamed reply: a reply, an error or the end."""

    reply: typing.Any = None
    error: _errors.ErrorBody | None = None
    end: bool = False


class HttpPeerTransport(PeerTransport):
    """HTTP with JSON between daemons.

    Args:
        http: the client to use.
        token: the shared secret of all daemons.
        called: told of each call's name, and the bytes of the bodies that
            went out and came back.
    """

    def __init__(
        self,
        http: _http.HttpClient,
        token: str,
        called: collections.abc.Callable[[str, int, int], None] = (
            lambda name, sent, received: None
        ),
    ) -> None:
        self._http = http
        self._token = token
        self._called = called

    async def call(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> Reply:
        request = self._request(address, call, message, timeout_s)
        reply = await self._http.fetch(request)
        self._called(call.name, len(request.body), len(reply.body))
        if reply.status != 200:
            raise _errors.error_from_body(
                _codec.decode(reply.body, _errors.ErrorBody)
            )
        return _codec.decode(reply.body, call.reply)

    async def stream(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> collections.abc.AsyncIterator[Reply]:
        request = self._request(address, call, message, timeout_s)
        lines = self._http.stream(request)
        frame_type = stream_frame_type(call)
        try:
            async for line in lines:
                frame = _codec.decode(line, frame_type)
                if frame.error is not None:
                    raise _errors.error_from_body(frame.error)
                if frame.end:
                    return
                yield frame.reply
        finally:
            await lines.aclose()
        raise _errors.PeerLostError(
            f"The stream {call.name} from {address} broke off. Resume it."
        )

    def _request(
        self, address: str, call: Call, message: object, timeout_s: float
    ) -> _http.HttpRequest:
        return _http.HttpRequest(
            f"http://{address}{PEER_PATH}{call.name}",
            method="POST",
            body=_codec.encode(message),
            headers={
                TOKEN_HEADER: self._token,
                "Content-Type": "application/json",
            },
            timeout_s=timeout_s,
        )


def stream_frame_type(call: Call) -> type:
    """Return the frame type whose reply is of the call's type."""
    if call.name not in _frame_types:
        _frame_types[call.name] = dataclasses.make_dataclass(
            f"{call.name}_frame",
            [
                ("reply", call.reply | None, None),
                ("error", _errors.ErrorBody | None, None),
                ("end", bool, False),
            ],
            frozen=True,
        )
    return _frame_types[call.name]


_frame_types: dict[str, type] = {}
