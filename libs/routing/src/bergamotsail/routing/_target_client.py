"""Sends a request to a target, directly or through a neighbour."""

import collections.abc
import contextlib
import dataclasses
import random

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _reach
from bergamotsail.routing import _relayed
from bergamotsail import wire

CONNECT_TIMEOUT_S = 0.5
PROBE_TIMEOUT_S = 0.2
MAX_NEIGHBOURS = 3
# How many neighbours must fail to reach a target for it to count as down.
VOTES_FOR_DOWN = 2

Exchange = wire.Exchange | _relayed.RelayedExchange


@dataclasses.dataclass(slots=True)
class Sending:
    """A request on its way to a target.

    Args:
        make_headers: returns the headers; called for each connection, as
            they state the time that is left.
        left_s: returns the time that is left.
        sent: whether the target may have received the request.
    """

    request: _forward_types.CallerRequest
    target: str
    address: str
    make_headers: collections.abc.Callable[[], _forward_types.Headers]
    left_s: collections.abc.Callable[[], float]
    sent: bool = False


class TargetClient:
    """Opens exchanges with targets.

    Args:
        reach: shared with the relay of this process.
    """

    def __init__(
        self,
        session: control.Session,
        http: wire.CurlClient,
        transport: wire.PeerTransport,
        reach: _reach.Reach,
        rng: random.Random,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._http = http
        self._transport = transport
        self._reach = reach
        self._neighbours = _relayed.Neighbours(session, rng, clock)
        self._clock = clock

    @contextlib.asynccontextmanager
    async def open(
        self, sending: Sending
    ) -> collections.abc.AsyncIterator[tuple[Exchange, wire.ReplyHead]]:
        """Send a request once, and yield the exchange and the reply's head.

        Raises:
            NotSentError: the target did not receive the request.
            NoPathError: likewise, and that says nothing about the target.
            PeerLostError: the reply was lost.
        """
        async with contextlib.AsyncExitStack() as stack:
            way = self._reach.way(sending.target)
            if way is not _reach.Way.NEIGHBOUR:
                opened = await self._open_directly(stack, sending, way)
            else:
                opened = await self._open_relayed(stack, sending)
            yield opened

    async def _open_directly(
        self,
        stack: contextlib.AsyncExitStack,
        sending: Sending,
        way: _reach.Way,
    ) -> tuple[Exchange, wire.ReplyHead]:
        """Connect directly, else relay if the link may be cut."""
        probes = way is _reach.Way.PROBE
        timeout_s = PROBE_TIMEOUT_S if probes else CONNECT_TIMEOUT_S
        started_at = self._clock.now()
        try:
            return await self._enter(
                stack, sending, self._direct(sending, timeout_s)
            )
        except wire.NotSentError:
            self._reach.failed(sending.target, started_at)
            if not self._reach.may_be_cut_from(sending.target):
                raise
            return await self._open_relayed(stack, sending)

    def _direct(self, sending: Sending, timeout_s: float) -> wire.Exchange:
        request = sending.request
        outgoing = _relayed.direct_request(
            self._reach,
            sending.target,
            sending.address,
            request.method,
            request.body,
            timeout_s,
        )
        return self._http.open(
            outgoing, request.target, sending.make_headers()
        )

    async def _open_relayed(
        self, stack: contextlib.AsyncExitStack, sending: Sending
    ) -> tuple[Exchange, wire.ReplyHead]:
        """Try neighbours until one has sent the request."""
        is_cut = self._reach.is_cut
        tried: set[str] = set()
        votes = 0
        while len(tried) < (MAX_NEIGHBOURS if is_cut else 1):
            neighbour = self._neighbours.choose(tried)
            if neighbour is None:
                break
            tried.add(neighbour.boot)
            try:
                opened = await self._enter(
                    stack, sending, self._relayed(sending, neighbour)
                )
            except _relayed.TargetClosedError:
                raise
            except wire.NotSentError as error:
                votes += self._count_votes(sending, neighbour, error)
                continue
            self._neighbours.worked(neighbour.boot)
            return opened
        if votes >= (VOTES_FOR_DOWN if is_cut else 1):
            self._reach.down(sending.target)
            raise wire.NotSentError(
                "Neither this instance nor a neighbour reaches the target."
            )
        raise _relayed.NoPathError(
            "This instance may have lost its links to the targets, and no "
            "neighbour could relay the request. Retry at another instance."
        )

    def _count_votes(
        self,
        sending: Sending,
        neighbour: control.DaemonInfo,
        error: wire.NotSentError,
    ) -> int:
        """Note why a neighbour sent nothing.

        Returns:
            Its votes for the target being down. A neighbour that has not
            relayed lately may be cut off without knowing it.
        """
        observe.log_event(
            "route",
            "not_relayed",
            request=sending.request.id,
            target=sending.target,
            neighbour=neighbour.id,
            code=error.code,
        )
        unreachable = isinstance(error, _relayed.TargetUnreachableError)
        if unreachable and self._neighbours.is_good(neighbour.boot):
            return VOTES_FOR_DOWN
        self._neighbours.failed(neighbour.boot)
        return 1 if unreachable else 0

    def _relayed(
        self, sending: Sending, neighbour: control.DaemonInfo
    ) -> _relayed.RelayedExchange:
        request = sending.request
        observe.log_event(
            "route",
            "relay",
            request=request.id,
            target=sending.target,
            neighbour=neighbour.id,
        )
        relayed = _relayed.RelayRequest(
            request.id,
            sending.target,
            request.method,
            request.target,
            sending.make_headers(),
            request.body,
            max(sending.left_s(), 0.0),
        )
        return _relayed.RelayedExchange(
            self._transport, neighbour.peer_address, relayed
        )

    async def _enter(
        self,
        stack: contextlib.AsyncExitStack,
        sending: Sending,
        exchange: Exchange,
    ) -> tuple[Exchange, wire.ReplyHead]:
        """Enter an exchange for good if its head arrives."""
        async with contextlib.AsyncExitStack() as attempt:
            await attempt.enter_async_context(exchange)
            try:
                head = await exchange.head()
            finally:
                sending.sent = exchange.sent
            stack.push_async_exit(attempt.pop_all())
        return exchange, head
