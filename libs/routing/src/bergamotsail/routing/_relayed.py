"""Exchanges with targets through a neighbour, another entry.

The neighbour only carries bytes: admission, placement, deadlines, budgets
and resends stay with the entry that has the caller. It never passes a call on
to another neighbour.
"""

import asyncio
import collections.abc
import dataclasses
import random

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _reach
from bergamotsail import wire

CONNECT_TIMEOUT_S = 0.2
# Bound of the descriptors that a neighbour lends to other entries.
MAX_RELAYED = 256
# How long a neighbour that worked is preferred, and one that failed avoided.
GOOD_S = 5.0
BAD_S = 2.0


class NoPathError(wire.NotSentError):
    """This instance reaches no target directly, so nothing was sent."""

    code = "no_path"


class TargetClosedError(wire.NotSentError):
    """The neighbour knows that the target is leaving or paused."""

    code = "target_closed"


class TargetUnreachableError(wire.NotSentError):
    """A neighbour could not connect to the target; nothing was sent."""

    code = "target_unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request that a neighbour sends to a target, once.

    Args:
        request: its name in the log.
        target: id of the target; the neighbour looks up its address.
        request_target: path and query, as sent.
        left_s: the neighbour gives up after this time.
    """

    request: str
    target: str
    method: str
    request_target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyPart:
    """A part of the target's reply: first its head, then pieces of its body.

    Args:
        status: None in pieces of the body.
    """

    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    data: bytes = b""


RELAY = wire.Call(
    "relay_request",
    RelayRequest,
    ReplyPart,
    streams=True,
    once=True,
    connect_timeout_s=CONNECT_TIMEOUT_S,
)


def direct_request(
    reach: _reach.Reach,
    target: str,
    address: str,
    method: str,
    body: bytes,
    connect_timeout_s: float,
    timeout_s: float = 0.0,
) -> wire.HttpRequest:
    """Return a request that is written once, on a connection of its own.

    That the connection was opened is noted in *reach*.

    Args:
        timeout_s: time for the whole exchange; 0 means no limit.
    """

    def connected() -> bool:
        reach.reached(target)
        return True

    return wire.HttpRequest(
        f"http://{address}/",
        method=method,
        body=body,
        timeout_s=timeout_s,
        connect_timeout_s=connect_timeout_s,
        gate=connected,
        once=True,
    )


class RelayService:
    """Sends requests to targets on behalf of other entries.

    Args:
        dialect: reads what targets announce in their answers.
        accepts: whether this process still takes work.

    Attributes:
        active: the number of requests that are being relayed.
    """

    def __init__(
        self,
        session: control.Session,
        http: wire.CurlClient,
        reach: _reach.Reach,
        dialect: _forward_types.Dialect,
        accepts: collections.abc.Callable[[], bool] = lambda: True,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._session = session
        self._http = http
        self._reach = reach
        self._dialect = dialect
        self._accepts = accepts
        self._clock = clock
        self.active = 0

    def serve(self, server: wire.PeerServer) -> None:
        """Register the handler of :data:`RELAY`."""
        server.serve(RELAY, self._relay)

    async def _relay(
        self, request: RelayRequest
    ) -> collections.abc.AsyncIterator[ReplyPart]:
        self._check(request)
        outgoing = direct_request(
            self._reach,
            request.target,
            self._address_of(request.target),
            request.method,
            request.body,
            CONNECT_TIMEOUT_S,
            request.left_s,
        )
        exchange = self._http.open(
            outgoing, request.request_target, request.headers
        )
        self.active += 1
        outcome = "done"
        try:
            async with exchange:
                head = await self._head(exchange, request.target)
                self._note_announcements(request, head)
                yield ReplyPart(head.status, head.headers)
                async for piece in exchange.pieces():
                    yield ReplyPart(data=piece)
        except wire.ServingError as error:
            outcome = error.code
            raise
        except (asyncio.CancelledError, GeneratorExit):
            outcome = "cancelled"
            raise
        finally:
            self.active -= 1
            observe.log_event(
                "relay",
                "end",
                request=request.request,
                target=request.target,
                outcome=outcome,
            )

    def _check(self, request: RelayRequest) -> None:
        if not self._accepts():
            raise wire.NotSentError("This instance stops. Ask another one.")
        if self.active >= MAX_RELAYED:
            raise wire.NotSentError("Too many calls. Ask another instance.")
        if self._reach.may_be_cut_from(request.target):
            raise NoPathError(
                "This instance may not reach the target. Ask another one."
            )
        notices = self._session.notices
        pause_s = notices.pause_left_s(request.target, self._clock.now())
        if pause_s > 0.0 or notices.is_leaving(request.target):
            raise TargetClosedError("The target is leaving or paused.")

    def _address_of(self, target: str) -> str:
        info = self._session.digest.target_by_id.get(target)
        if info is None:
            raise wire.NotSentError(
                f"This instance doesn't know the target {target}. Ask "
                "another one."
            )
        return info.address

    def _note_announcements(
        self, request: RelayRequest, head: wire.ReplyHead
    ) -> None:
        """Note that a target leaves or pauses, as its answer says."""
        parsed = self._dialect.read(_as_received(request), head)
        if not parsed.own:
            return
        if parsed.leaving.is_set:
            self._session.notices.note_leaving(request.target)
        if parsed.pause.value is not None:
            self._session.notices.note_pause(
                request.target, parsed.pause.value, self._clock.now()
            )

    async def _head(
        self, exchange: wire.Exchange, target: str
    ) -> wire.ReplyHead:
        started_at = self._clock.now()
        try:
            head = await exchange.head()
        except wire.NotSentError as error:
            self._reach.failed(target, started_at)
            raise TargetUnreachableError(
                f"No connection to the target {target}. {error.message}"
            ) from error
        return head


def _as_received(request: RelayRequest) -> _forward_types.CallerRequest:
    """Return what a relayed request tells of the caller's."""
    return _forward_types.CallerRequest(
        request.request,
        request.method,
        "",
        "",
        request.request_target,
        request.headers,
        request.body,
        request.left_s,
        0.0,
    )


class RelayedExchange:
    """An exchange with a target through a neighbour.

    An async context manager with the interface of :class:`wire.Exchange`.
    Leaving it before the end makes the neighbour close its connection.

    Attributes:
        sent: whether the target may have received the request.
    """

    def __init__(
        self,
        transport: wire.PeerTransport,
        address: str,
        request: RelayRequest,
    ) -> None:
        self.sent = False
        self._transport = transport
        self._address = address
        self._request = request
        self._parts: collections.abc.AsyncIterator[ReplyPart] | None = None

    async def __aenter__(self) -> "RelayedExchange":
        self._parts = self._transport.stream(
            self._address, RELAY, self._request, self._request.left_s
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._parts is not None
        await self._parts.aclose()

    async def head(self) -> wire.ReplyHead:
        """Wait for the status and headers.

        Raises:
            NotSentError: the target did not receive the request.
            PeerLostError: the reply was lost.
        """
        assert self._parts is not None
        self.sent = True
        try:
            first = await anext(self._parts)
        except StopAsyncIteration:
            raise wire.PeerLostError("The neighbour sent no reply.") from None
        except wire.NotSentError:
            self.sent = False
            raise
        except wire.ServingError as error:
            if error.ran is not wire.RunStatus.NOT_RUN:
                raise
            self.sent = False
            raise wire.NotSentError(
                f"The neighbour refused the call. {error.message}"
            ) from error
        return wire.ReplyHead(wire.check_status(first.status), first.headers)

    async def pieces(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raise if it is incomplete."""
        assert self._parts is not None
        async for part in self._parts:
            yield part.data


class Neighbours:
    """Chooses the entries that requests are relayed through."""

    def __init__(
        self,
        session: control.Session,
        rng: random.Random,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._session = session
        self._rng = rng
        self._clock = clock
        self._good_until_by_boot: dict[str, float] = {}
        self._bad_until_by_boot: dict[str, float] = {}

    def choose(
        self, tried: collections.abc.Container[str]
    ) -> control.DaemonInfo | None:
        """Return a neighbour, None without one; one that works if known."""
        now = self._clock.now()
        usable = [
            info
            for info in self._session.daemon_by_boot.values()
            if info.boot != self._session.boot
            and info.peer_address
            and not info.leaving
            and info.boot not in tried
            and now >= self._bad_until_by_boot.get(info.boot, 0.0)
        ]
        good = [info for info in usable if self.is_good(info.boot)]
        return self._rng.choice(good or usable) if usable else None

    def is_good(self, boot: str) -> bool:
        """Whether a neighbour has worked recently."""
        until = self._good_until_by_boot.get(boot, 0.0)
        return self._clock.now() < until

    def worked(self, boot: str) -> None:
        """Note that a neighbour reached a target."""
        self._good_until_by_boot[boot] = self._clock.now() + GOOD_S
        self._bad_until_by_boot.pop(boot, None)

    def failed(self, boot: str) -> None:
        """Note that a neighbour can't relay."""
        self._forget_old()
        self._good_until_by_boot.pop(boot, None)
        self._bad_until_by_boot[boot] = self._clock.now() + BAD_S

    def _forget_old(self) -> None:
        now = self._clock.now()
        for until_by_boot in (
            self._good_until_by_boot,
            self._bad_until_by_boot,
        ):
            for boot, until in list(until_by_boot.items()):
                if until < now:
                    del until_by_boot[boot]
