"""The leader's side of gathered calls."""

import asyncio
import collections.abc
import dataclasses
import typing

from absl import logging

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _exchange_messages
from bergamotsail.placement import _leadership
from bergamotsail.placement import _place_messages
from bergamotsail import wire

# A gathering replica that is silent for this long has given its calls up.
SENDER_SILENT_S = 3.0

CallOutcome = _exchange_messages.CallOutcome
PlaceHandler = collections.abc.Callable[
    [_place_messages.PlaceRequest],
    collections.abc.Awaitable[_place_messages.PlaceReply],
]
ReleaseHandler = collections.abc.Callable[
    [_place_messages.ReleaseRequest],
    collections.abc.Awaitable[_place_messages.Released],
]
HeartbeatHandler = collections.abc.Callable[
    [control.Heartbeat], collections.abc.Awaitable[control.HeartbeatReply]
]


@dataclasses.dataclass(slots=True)
class _Sender:
    """The calls of one gathering replica.

    Args:
        outcomes: of calls that have ended and are not returned yet.
    """

    seen_at: float
    task_by_number: dict[int, asyncio.Task] = dataclasses.field(
        default_factory=dict
    )
    outcomes: list[CallOutcome] = dataclasses.field(default_factory=list)

    def take_outcomes(self) -> tuple[CallOutcome, ...]:
        """Return the outcomes since the last exchange."""
        taken, self.outcomes = tuple(self.outcomes), []
        return taken

    def stop(self) -> None:
        """Cancel all calls."""
        for task in self.task_by_number.values():
            task.cancel()


class CallExchange:
    """Serves the calls that other replicas gathered.

    An exchange is one message for many calls of many entries. It returns the
    outcomes that are known and doesn't wait for the others, which the next
    exchange returns.

    Args:
        place, release, heartbeat: the handlers of the gathered calls.
        leadership: tells whether this process leads.
        metrics: counts the work by kind of call.
    """

    def __init__(
        self,
        place: PlaceHandler,
        release: ReleaseHandler,
        heartbeat: HeartbeatHandler,
        leadership: _leadership.Leadership,
        metrics: observe.Metrics,
        clock: wire.Clock,
    ) -> None:
        self._place = place
        self._release = release
        self._heartbeat = heartbeat
        self._leadership = leadership
        self._metrics = metrics
        self._clock = clock
        self._boot = wire.fresh_token("exchange")
        self._sender_by_id: dict[str, _Sender] = {}

    def stop(self) -> None:
        """Cancel all calls."""
        for sender in self._sender_by_id.values():
            sender.stop()
        self._sender_by_id.clear()

    async def on_exchange(
        self, request: _exchange_messages.ExchangeRequest
    ) -> _exchange_messages.ExchangeReply:
        """Start the calls of a replica and return the known outcomes.

        Raises:
            NotLeaderError: this process does not lead; no call was started,
                but releases may have been applied, which may be repeated.
        """
        if not self._leadership.holds():
            raise self._leadership.refusal()
        now = self._clock.now()
        sender = self._sender(request.sender, now)
        for releases in request.releases:
            await self._release(releases)
        for number in request.withdrawn:
            task = sender.task_by_number.get(number)
            if task is not None:
                task.cancel()
        for call in request.calls:
            task = asyncio.create_task(self._run(sender, call))
            sender.task_by_number[call.number] = task
        # Calls that are granted at once end in this turn of the event loop.
        await asyncio.sleep(0)
        return _exchange_messages.ExchangeReply(
            f"{self._boot}/{self._leadership.term}", sender.take_outcomes()
        )

    def _sender(self, name: str, now: float) -> _Sender:
        """Return the calls of a replica, and drop those of silent ones."""
        for other, sender in list(self._sender_by_id.items()):
            if now - sender.seen_at > SENDER_SILENT_S:
                sender.stop()
                del self._sender_by_id[other]
        sender = self._sender_by_id.setdefault(name, _Sender(now))
        sender.seen_at = now
        return sender

    async def _run(
        self, sender: _Sender, call: _exchange_messages.GatheredCall
    ) -> None:
        """Run one call and add its outcome."""
        number = call.number
        try:
            if call.place is not None:
                reply = await self._timed("place", self._place, call.place)
                outcome = CallOutcome(number, place=reply)
            else:
                renewed = await self._timed(
                    "heartbeat", self._heartbeat, call.heartbeat
                )
                outcome = CallOutcome(number, heartbeat=renewed)
        except wire.ServingError as error:
            outcome = CallOutcome(number, error=error.body())
        except Exception:
            logging.exception("exchange: Unhandled exception in a call.")
            error = wire.InternalError("Internal error. See the log.")
            outcome = CallOutcome(number, error=error.body())
        finally:
            sender.task_by_number.pop(number, None)
        sender.outcomes.append(outcome)

    async def _timed(
        self,
        kind: str,
        handler: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[typing.Any]
        ],
        request: object,
    ) -> typing.Any:
        """Run a handler and count its work like that of a direct call."""
        observe.count_message(self._metrics, kind)
        return await observe.timed(self._metrics, kind, handler, request)
