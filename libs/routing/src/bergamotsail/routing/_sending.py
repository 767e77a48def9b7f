"""Sends requests to targets and classifies how that ends."""

import asyncio
import collections
import dataclasses

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail.routing import _answers
from bergamotsail.routing import _attempt
from bergamotsail.routing import _brittle
from bergamotsail.routing import _fatal
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _target_client
from bergamotsail import wire

# Share of the time that is left that a request waits at a brittle target.
SLOT_WAIT_SHARE = 0.25

CallerRequest = _forward_types.CallerRequest
Destination = _forward_types.Destination


class Sender:
    """Sends attempts of callers to one target at a time.

    Args:
        session: its view and digest are used even if they are stale.
        client: sends requests to targets.
        answers: relays the answers.
    """

    def __init__(
        self,
        session: control.Session,
        client: _target_client.TargetClient,
        dialect: _forward_types.Dialect,
        guard: _fatal.QuarantineGuard,
        brittle: _brittle.BrittleTargets,
        answers: _answers.AnswerRelay,
        clock: wire.Clock,
    ) -> None:
        self._session = session
        self._client = client
        self._dialect = dialect
        self._guard = guard
        self._brittle = brittle
        self._answers = answers
        self._clock = clock
        self._running_by_target: collections.Counter[str] = (
            collections.Counter()
        )

    async def send(
        self, attempt: _attempt.Attempt, destination: Destination
    ) -> None:
        """Send to one target and relay its answer.

        Raises:
            RetryableError: the attempt may be sent again.
            ServingError: the request is quarantined.
        """
        wait_s = (attempt.deadline - self._clock.now()) * SLOT_WAIT_SHARE
        async with self._brittle.slot(destination.target, wait_s) as slot:
            if slot is None:
                raise _attempt.NotAcceptingError(
                    "The target may not have to reject more requests.",
                    ran=wire.RunStatus.NOT_RUN,
                )
            # The request may have been quarantined, or the target may have
            # announced a pause, while this attempt waited.
            self._guard.check(attempt.tracked)
            self.check_accepting(attempt, destination.target)
            await self._send_now(attempt, destination, slot)

    def check_accepting(self, attempt: _attempt.Attempt, target: str) -> None:
        """Raise if a target is leaving or paused.

        The target may have announced this while the request waited for its
        placement, before the instance list or the leader knows about it.

        Raises:
            NotAcceptingError: the target accepts no work.
        """
        now = self._clock.now()
        leaving = self._session.notices.is_leaving(target)
        pause_s = self._session.notices.pause_left_s(target, now)
        if not leaving and pause_s == 0.0:
            return
        observe.log_event(
            "route",
            "closed",
            request=attempt.request.id,
            target=target,
            leaving=leaving,
            pause_left_s=round(pause_s, 3),
        )
        raise _attempt.NotAcceptingError(
            "The target is leaving or paused.", ran=wire.RunStatus.NOT_RUN
        )

    async def _send_now(
        self,
        attempt: _attempt.Attempt,
        destination: Destination,
        slot: _brittle.Slot,
    ) -> None:
        request = attempt.request
        attempt.sends += 1
        attempt.arrived = True
        attempt.sent_at = self._clock.now()
        attempt.target = destination.target
        attempt.software = destination.software
        attempt.avoid.add(destination.target)
        observe.log_event(
            "route",
            "send",
            request=request.id,
            route=attempt.route.name,
            target=destination.target,
            version=destination.version,
            newest=self._newest_version(request),
            placed=destination.placed,
            send=attempt.sends,
            resume=destination.resume_after,
            resumes=request.resumes,
            software=destination.software,
            needed=attempt.origin.software if attempt.origin else None,
        )
        sending = self._sending(attempt, destination)
        self._running_by_target[destination.target] += 1
        self._guard.started(attempt.tracked)
        try:
            async with self._client.open(sending) as (exchange, head):
                slot.release()
                await self._answers.relay(attempt, exchange, head)
            self._guard.answered(
                attempt.tracked, destination.target, head.status
            )
        except wire.NotSentError as error:
            attempt.arrived = False
            self._log_not_sent(attempt, error)
            raise _attempt.retryable(error, wire.RunStatus.NOT_RUN) from error
        except _attempt.InvalidAnswerError as error:
            attempt.runs += 1
            self._handle_lost_answer(attempt, error)
        except wire.PeerLostError as error:
            attempt.runs += 1
            self._guard.lost(attempt.tracked, destination.target)
            self._handle_lost_answer(attempt, error)
        except asyncio.CancelledError:
            if sending.sent:
                attempt.runs += 1
            raise
        finally:
            self._count_send_ended(destination.target)

    def _sending(
        self, attempt: _attempt.Attempt, destination: Destination
    ) -> _target_client.Sending:
        def left_s() -> float:
            return attempt.deadline - self._clock.now()

        def make_headers() -> _forward_types.Headers:
            current = dataclasses.replace(destination, left_s=left_s())
            return self._dialect.outgoing(attempt.request, current)

        return _target_client.Sending(
            attempt.request,
            destination.target,
            destination.address,
            make_headers,
            left_s,
        )

    def _log_not_sent(
        self, attempt: _attempt.Attempt, error: wire.ServingError
    ) -> None:
        observe.log_event(
            "route",
            "not_sent",
            request=attempt.request.id,
            target=attempt.target,
            since_send_s=round(self._clock.now() - attempt.sent_at, 4),
            error=error.message,
        )

    def _count_send_ended(self, target: str) -> None:
        self._running_by_target[target] -= 1
        if self._running_by_target[target] <= 0:
            del self._running_by_target[target]

    def _handle_lost_answer(
        self, attempt: _attempt.Attempt, error: wire.ServingError
    ) -> None:
        """Abort an answer that has started and cannot be resumed.

        Raises:
            RetryableError: no answer has started, or it can be resumed.
        """
        model = attempt.request.model
        observe.log_event(
            "route",
            "lost",
            request=attempt.request.id,
            identity=attempt.tracked.identity,
            parts=model.shared_parts if model is not None else None,
            body_bytes=len(attempt.request.body),
            target=attempt.target,
            began=attempt.answer.started,
            since_send_s=round(self._clock.now() - attempt.sent_at, 4),
            beside=self._running_by_target[attempt.target] - 1,
            error=error.message,
        )
        is_stream = attempt.route.kind is catalogue.RouteKind.STREAM
        if attempt.answer.started and not (
            is_stream and attempt.route.repeatable
        ):
            attempt.abort()
            return
        raise _attempt.retryable(error, wire.RunStatus.UNKNOWN) from error

    def _newest_version(self, request: CallerRequest) -> int | None:
        """Return the newest version set for a request's adapter, if any."""
        model = request.model
        if model is None:
            return None
        return self._session.view.named_version(model.model, model.adapter)
