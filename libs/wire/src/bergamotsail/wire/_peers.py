"""Remote calls between daemons, with JSON over HTTP."""

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
    """A remote call: its name and its request and reply types.

    A call with ``streams=True`` returns a stream of replies.

    Args:
        once: never write the request twice.
        connect_timeout_s: time to connect to the peer.
    """

    name: str
    request: type[Request]
    reply: type[Reply]
    streams: bool = False
    once: bool = False
    connect_timeout_s: float = _http.CONNECT_TIMEOUT_S


Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]
StreamHandler = collections.abc.Callable[
    [typing.Any], collections.abc.AsyncIterator[typing.Any]
]


class PeerServer:
    """Registry of the calls that this process serves, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, tuple[Call, Handler | StreamHandler]] = {}
        self.shed_after_s: dict[str, float] = {}

    def serve(
        self,
        call: Call,
        handler: Handler | StreamHandler,
        shed_after_s: float | None = None,
    ) -> None:
        """Register *handler* for *call*.

        Args:
            shed_after_s: event loop lag, in seconds, above which the call
                is shed; None to never shed it.
        """
        self.by_name[call.name] = (call, handler)
        if shed_after_s is not None:
            self.shed_after_s[call.name] = shed_after_s

    def find(self, name: str) -> tuple[Call, Handler | StreamHandler]:
        """Return the call with this name and its handler.

        Raises:
            NotFoundError: no call has this name.
        """
        if name not in self.by_name:
            raise _errors.NotFoundError(
                f"This daemon doesn't serve the call {name}. Check that both "
                "sides run the same version and that this daemon has the "
                "required role."
            )
        return self.by_name[name]


class PeerTransport(abc.ABC):
    """Interface for calls from one daemon to another."""

    @abc.abstractmethod
    async def call(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> Reply:
        """Send a request and return its reply.

        Raises:
            NotSentError: nothing was sent to the peer.
            PeerLostError: the request was sent, but the reply was lost.
            ServingError: the typed error that the peer raised.
        """

    @abc.abstractmethod
    def stream(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> collections.abc.AsyncIterator[Reply]:
        """Send a request and yield its replies; raises as ``call``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One line of a stream: a reply, an error or the end marker."""

    reply: typing.Any = None
    error: _errors.ErrorBody | None = None
    end: bool = False


class HttpPeerTransport(PeerTransport):
    """Peer transport with JSON over HTTP.

    Args:
        http: the client to use.
        token: the shared secret of all daemons.
        on_reply: called after each reply that is not a stream, with the name
            of the call and the bytes of the request and reply bodies.
    """

    def __init__(
        self,
        http: _http.HttpClient,
        token: str,
        on_reply: collections.abc.Callable[[str, int, int], None] = (
            lambda name, sent, received: None
        ),
    ) -> None:
        self._http = http
        self._token = token
        self._on_reply = on_reply

    async def call(
        self,
        address: str,
        call: Call[Request, Reply],
        message: Request,
        timeout_s: float,
    ) -> Reply:
        request = self._request(address, call, message, timeout_s)
        reply = await self._http.fetch(request)
        self._on_reply(call.name, len(request.body), len(reply.body))
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
                if frame == frame_type():
                    # The peer refused the call before the stream began.
                    body = _codec.decode(line, _errors.ErrorBody)
                    raise _errors.error_from_body(body)
                if frame.error is not None:
                    raise _errors.error_from_body(frame.error)
                if frame.end:
                    return
                yield frame.reply
        finally:
            await lines.aclose()
        raise _errors.PeerLostError(
            f"The stream {call.name} from {address} ended early. Resume it."
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
            connect_timeout_s=call.connect_timeout_s,
            once=call.once,
        )


def stream_frame_type(call: Call) -> type:
    """Return the type of a frame that holds a reply of *call*."""
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
