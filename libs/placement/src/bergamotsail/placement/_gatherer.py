"""Gathers calls of daemons, to pass them on to the leader."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from absl import logging

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _exchange_messages
from bergamotsail.placement import _place_messages
from bergamotsail import wire

# Upper bound for exchanges per second of all gathering replicas together.
# One costs the leader as much time to carry as a single call.
MAX_EXCHANGES_PER_S = 120.0
EXCHANGE_TIMEOUT_S = 0.5
# Maximum number of calls in an exchange, so that the leader's event
# loop is not blocked by one.
MAX_CALLS_PER_EXCHANGE = 20
# Placement calls are refused while this many calls wait for an exchange.
# Four gathering replicas hold as many as the leader lets wait.
MAX_UNSENT_CALLS = 100
RETRY_AFTER_S = 0.1
# Pause after an exchange that reached no leader.
LEADERLESS_PAUSE_S = 0.1
# Maximum number of releases and withdrawn calls that wait for an exchange. A
# lost release is repaired by the entry's next heartbeat.
MAX_QUEUED = 1_000

STATE_LOG_INTERVAL_S = 1.0

# Errors after which the leader has certainly not processed the exchange.
UNPROCESSED_ERRORS = (
    wire.NotSentError,
    wire.NotLeaderError,
    wire.LoadShedError,
    wire.StartingError,
)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingCall:
    """A call whose outcome is not known yet.

    Args:
        done: resolved with the reply or with the error as an exception.
    """

    call: _exchange_messages.GatheredCall
    arrived_at: float
    done: asyncio.Future

    def aged(self, now: float) -> _exchange_messages.GatheredCall:
        """Return the call with the time that it waited here included."""
        request, held_s = self.call.place, now - self.arrived_at
        if request is None:
            return self.call
        aged = dataclasses.replace(
            request,
            waited_s=request.waited_s + held_s,
            patience_s=max(request.patience_s - held_s, 0.0),
        )
        return dataclasses.replace(self.call, place=aged)


@dataclasses.dataclass(slots=True)
class _ExchangeTimes:
    """What exchanges took since they were last logged, in seconds.

    Args:
        held_s: sum of the times that calls waited here to be passed on.
        took_s: sum of the durations of the exchanges.
    """

    calls: int = 0
    held_s: float = 0.0
    most_held_s: float = 0.0
    exchanges: int = 0
    took_s: float = 0.0

    def add(self, held_s: list[float], took_s: float) -> None:
        """Add an exchange, with the times that its calls waited here."""
        self.calls += len(held_s)
        self.held_s += sum(held_s)
        self.most_held_s = max(self.most_held_s, *held_s, 0.0)
        self.exchanges += 1
        self.took_s += took_s


class CallGatherer:
    """Passes calls of daemons on to the leader, many in one message.

    Carrying a call costs a leader more than deciding on it, and the other
    replicas are idle. There is one exchange at a time, so more calls share a
    message as the leader gets slower.

    An async context manager; while it is entered it exchanges in the
    background.

    Args:
        find_leader: returns the address of the leader.
        count_gatherers: returns the number of replicas that may gather.
    """

    def __init__(
        self,
        transport: wire.PeerTransport,
        find_leader: collections.abc.Callable[[], str],
        count_gatherers: collections.abc.Callable[[], int],
        clock: wire.Clock,
    ) -> None:
        self._transport = transport
        self._find_leader = find_leader
        self._count_gatherers = count_gatherers
        self._clock = clock
        self._sender = wire.fresh_token("gatherer")
        self._receiver = ""
        self._number = 0
        # Calls that wait for an exchange, and those that the leader has.
        self._unsent: dict[int, _PendingCall] = {}
        self._sent: dict[int, _PendingCall] = {}
        self._releases: collections.deque[_place_messages.ReleaseRequest]
        self._releases = collections.deque(maxlen=MAX_QUEUED)
        self._withdrawn: collections.deque[int]
        self._withdrawn = collections.deque(maxlen=MAX_QUEUED)
        self._wake = asyncio.Event()
        self._times = _ExchangeTimes()
        self._logged_at = clock.now()
        self._background = wire.BackgroundTasks()

    async def __aenter__(self) -> "CallGatherer":
        self._background.start(self._run)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._background.stop()
        for call in (*self._unsent.values(), *self._sent.values()):
            error = wire.StoppingError("This replica stops. Ask another.")
            _fail(call, error)

    async def place(
        self, request: _place_messages.PlaceRequest
    ) -> _place_messages.PlaceReply:
        """Return the leader's reply to a placement call.

        Raises:
            NotLeaderError: no leader is known; nothing was passed on.
            LoadShedError: the leader takes fewer calls than this replica
                gets; nothing was passed on.
            UnknownOutcomeError: the leader may or may not have granted it.
            ServingError: the leader's error.
        """
        if len(self._unsent) >= MAX_UNSENT_CALLS:
            raise wire.LoadShedError(
                "The leader takes fewer calls than this replica gets. Retry.",
                retry_after_s=RETRY_AFTER_S,
            )
        self._number += 1
        return await self._wait(
            _exchange_messages.GatheredCall(self._number, place=request)
        )

    async def heartbeat(
        self, request: control.Heartbeat
    ) -> control.HeartbeatReply:
        """Return the leader's reply to a heartbeat.

        It raises as ``place``, but is never refused for the number of waiting
        calls, since the daemon's lease depends on it.
        """
        self._number += 1
        return await self._wait(
            _exchange_messages.GatheredCall(self._number, heartbeat=request)
        )

    async def _wait(self, call: _exchange_messages.GatheredCall) -> typing.Any:
        """Wait for the outcome of a call."""
        self._find_leader()
        done = asyncio.get_running_loop().create_future()
        self._unsent[call.number] = _PendingCall(call, self._clock.now(), done)
        self._wake.set()
        try:
            return await done
        finally:
            self._unsent.pop(call.number, None)
            if self._sent.pop(call.number, None) is not None:
                self._withdrawn.append(call.number)
                self._wake.set()

    async def release(
        self, request: _place_messages.ReleaseRequest
    ) -> _place_messages.Released:
        """Pass on releases with the next exchange."""
        self._find_leader()
        self._releases.append(request)
        self._wake.set()
        return _place_messages.Released()

    @property
    def pending(self) -> int:
        """Number of calls whose outcome is not known yet."""
        return len(self._unsent) + len(self._sent)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            began_at = self._clock.now()
            try:
                pause_s = await self._exchange()
            except Exception:
                logging.exception("exchange: Unexpected error.")
                self._lose_sent(())
                pause_s = LEADERLESS_PAUSE_S
            if not (self.pending or self._releases or self._withdrawn):
                self._wake.clear()
            took_s = self._clock.now() - began_at
            self._log_state()
            interval_s = self._count_gatherers() / MAX_EXCHANGES_PER_S
            await self._clock.sleep(max(interval_s - took_s, pause_s))

    def _next_calls(self) -> dict[int, _PendingCall]:
        """Return the calls for the next exchange, heartbeats first."""
        ordered = sorted(
            self._unsent.items(),
            key=lambda item: item[1].call.heartbeat is None,
        )
        return dict(ordered[:MAX_CALLS_PER_EXCHANGE])

    async def _exchange(self) -> float:
        """Pass on what was gathered, and resolve the calls that ended.

        Returns:
            The minimum pause until the next exchange, in seconds.
        """
        now = self._clock.now()
        new = self._next_calls()
        held_s = [now - call.arrived_at for call in new.values()]
        request = _exchange_messages.ExchangeRequest(
            self._sender,
            tuple(call.aged(now) for call in new.values()),
            tuple(self._releases),
            tuple(self._withdrawn),
        )
        self._releases.clear()
        self._withdrawn.clear()
        for number in new:
            self._sent[number] = self._unsent.pop(number)
        try:
            reply = await self._transport.call(
                self._find_leader(),
                _exchange_messages.EXCHANGE,
                request,
                EXCHANGE_TIMEOUT_S,
            )
        except wire.ServingError as error:
            return self._on_failed(request, error)
        self._times.add(held_s, self._clock.now() - now)
        if reply.receiver != self._receiver:
            self._lose_sent(new)
            self._receiver = reply.receiver
        for outcome in reply.outcomes:
            self._resolve(outcome)
        return 0.0

    def _on_failed(
        self,
        request: _exchange_messages.ExchangeRequest,
        error: wire.ServingError,
    ) -> float:
        """Requeue what the leader refused, or fail what it may have lost.

        Returns:
            The minimum pause until the next exchange, in seconds.
        """
        self._log_failed(request, error)
        if not isinstance(error, UNPROCESSED_ERRORS):
            self._lose_sent(())
            return 0.0
        self._releases.extendleft(reversed(request.releases))
        self._withdrawn.extendleft(reversed(request.withdrawn))
        refused = {
            call.number: self._sent.pop(call.number)
            for call in request.calls
            if call.number in self._sent
        }
        if isinstance(error, wire.LoadShedError):
            self._unsent = refused | self._unsent
            return error.retry_after_s or 0.0
        for call in refused.values():
            _fail(call, error)
        self._lose_sent(())
        return LEADERLESS_PAUSE_S

    def _log_state(self) -> None:
        """Log how long calls wait here and what exchanges take."""
        now, times = self._clock.now(), self._times
        if now - self._logged_at < STATE_LOG_INTERVAL_S:
            return
        observe.log_event(
            "exchange",
            "state",
            over_s=round(now - self._logged_at, 3),
            calls=times.calls,
            held_s=round(times.held_s / max(times.calls, 1), 4),
            most_held_s=round(times.most_held_s, 4),
            exchanges=times.exchanges,
            took_s=round(times.took_s / max(times.exchanges, 1), 4),
            unsent=len(self._unsent),
            sent=len(self._sent),
        )
        self._logged_at, self._times = now, _ExchangeTimes()

    def _log_failed(
        self,
        request: _exchange_messages.ExchangeRequest,
        error: wire.ServingError,
    ) -> None:
        """Log a failed exchange that calls wait for."""
        if not self.pending:
            return
        observe.log_event(
            "exchange",
            "failed",
            calls=len(request.calls),
            sent=len(self._sent),
            unsent=len(self._unsent),
            releases=len(request.releases),
            code=error.code,
        )

    def _lose_sent(self, kept: collections.abc.Container[int]) -> None:
        """Fail the calls that a leader had; it may have granted them."""
        lost = [number for number in self._sent if number not in kept]
        for number in lost:
            error = wire.UnknownOutcomeError(
                "The leader that had this call was lost. Ask again."
            )
            _fail(self._sent.pop(number), error)

    def _resolve(self, outcome: _exchange_messages.CallOutcome) -> None:
        call = self._sent.pop(outcome.number, None)
        if call is None or call.done.done():
            return
        if outcome.error is not None:
            call.done.set_exception(wire.error_from_body(outcome.error))
        else:
            call.done.set_result(outcome.place or outcome.heartbeat)


def _fail(call: _PendingCall, error: wire.ServingError) -> None:
    if not call.done.done():
        call.done.set_exception(error)
