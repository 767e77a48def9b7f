"""Relays the answers of targets to callers."""

import collections.abc

from absl import logging

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail.routing import _attempt
from bergamotsail.routing import _brittle
from bergamotsail.routing import _events
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _target_client
from bergamotsail import wire

SERVER_ERROR = 500
# An answer that has lasted this long did not crash its target as it began.
LASTING_S = 1.0
# Longest body that is passed on; a longer one is taken for bytes without end.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class AnswerRelay:
    """Relays answers and records what targets announce in them.

    Args:
        has_other_target: whether an attempt may go to another target after
            the present one failed it.
        note_origin: called when the stream of an attempt begins or goes on.
        note_lasting: called with the later pieces of a long answer.
    """

    def __init__(
        self,
        session: control.Session,
        dialect: _forward_types.Dialect,
        brittle: _brittle.BrittleTargets,
        metrics: observe.Metrics,
        clock: wire.Clock,
        has_other_target: collections.abc.Callable[[_attempt.Attempt], bool],
        note_origin: collections.abc.Callable[[_attempt.Attempt], None],
        note_lasting: collections.abc.Callable[[_attempt.Attempt], None],
    ) -> None:
        self._session = session
        self._dialect = dialect
        self._brittle = brittle
        self._metrics = metrics
        self._clock = clock
        self._has_other_target = has_other_target
        self._note_origin = note_origin
        self._note_lasting = note_lasting

    async def relay(
        self,
        attempt: _attempt.Attempt,
        exchange: _target_client.Exchange,
        head: wire.ReplyHead,
    ) -> None:
        """Relay one target's answer, or the rest of it, to the caller.

        Raises:
            RetryableError: the target did not run the request, or failed it
                and another one may run it.
            PeerLostError: the answer is incomplete or invalid.
        """
        parsed = self._dialect.read(attempt.request, head)
        self._record_announcements(attempt, parsed)
        observe.log_event(
            "route",
            "answer",
            request=attempt.request.id,
            target=attempt.target,
            software=attempt.software,
            status=head.status,
            framing=head.framing,
            own=parsed.own,
            not_run=parsed.not_run,
            since_arrival_s=round(
                self._clock.now() - attempt.request.arrived_at, 4
            ),
        )
        if parsed.not_run:
            code = "absent" if parsed.absent else "refused"
            error = wire.OverloadError(
                f"The target did not run the request ({code})."
            )
            error.code = code
            raise _attempt.retryable(error, wire.RunStatus.NOT_RUN)
        if not parsed.own or not parsed.has_seal:
            raise _attempt.InvalidAnswerError(
                "The answer is invalid or belongs to another request."
            )
        if head.status >= SERVER_ERROR and not attempt.answer.started:
            if attempt.route.repeatable and self._has_other_target(attempt):
                attempt.runs += 1
                error = wire.EngineError("The target failed the request.")
                raise _attempt.retryable(error, wire.RunStatus.FAILED)
        attempt.events = _events.EventSplitter()
        if not attempt.answer.started:
            if attempt.origin is None and _has_events(attempt, head):
                attempt.origin = control.StreamOrigin(
                    attempt.pool.name, attempt.software
                )
            self._note_origin(attempt)
            attempt.answer.start(head.status, self._dialect.returning(head))
        elif not _has_events(attempt, head):
            raise _attempt.InvalidAnswerError(
                "The target could not resume the stream."
            )
        if _has_events(attempt, head):
            await self._relay_events(attempt, exchange, head)
        else:
            async for piece in self._pieces(attempt, exchange):
                await attempt.answer.write(piece)
        attempt.runs += 1
        await attempt.answer.finish()

    async def _relay_events(
        self,
        attempt: _attempt.Attempt,
        exchange: _target_client.Exchange,
        head: wire.ReplyHead,
    ) -> None:
        """Relay an event stream; only whole events if it may be resumed.

        Raises:
            BrokenStreamError: the stream did not end with an event.
        """
        events = attempt.events
        async for piece in self._pieces(attempt, exchange):
            whole_events = events.feed(piece)
            if attempt.route.resumable:
                piece = whole_events
                attempt.last_event = events.last_id or attempt.last_event
            if piece:
                await attempt.answer.write(piece)
        if not events.is_complete(head.framing):
            raise _attempt.BrokenStreamError(
                "The stream ended in the middle of an event or without one."
            )
        if attempt.route.resumable and events.rest:
            await attempt.answer.write(events.rest)

    async def _pieces(
        self, attempt: _attempt.Attempt, exchange: _target_client.Exchange
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the pieces of an answer and record when they arrive.

        Raises:
            InvalidAnswerError: the answer is longer than MAX_ANSWER_BYTES.
        """
        first_at: float | None = None
        received = 0
        async for piece in exchange.pieces():
            received += len(piece)
            if received > MAX_ANSWER_BYTES:
                raise _attempt.InvalidAnswerError(
                    f"The answer is longer than {MAX_ANSWER_BYTES} bytes."
                )
            now = self._clock.now()
            attempt.record_piece(now)
            first_at = now if first_at is None else first_at
            if now - first_at > LASTING_S:
                self._note_lasting(attempt)
            if attempt.on_first_piece is not None:
                attempt.on_first_piece()
            yield piece

    def _record_announcements(
        self, attempt: _attempt.Attempt, parsed: _forward_types.ParsedHead
    ) -> None:
        """Record a drain or pause that a target announces in its answer."""
        for announced in (parsed.leaving, parsed.pause, parsed.limit):
            if announced.invalid_value is not None:
                logging.info(
                    "route: Cannot parse leaving, pause or limit header "
                    "from %s: %.80r",
                    attempt.target,
                    announced.invalid_value,
                )
        if not parsed.own:
            return
        self._note_brittle(attempt, parsed)
        notices, now = self._session.notices, self._clock.now()
        if parsed.leaving.is_set and notices.note_leaving(attempt.target):
            self._metrics.count("targets_heard_leaving")
            self._log_announcement(attempt, "leaving", None)
            # Tell the other daemons before they hear it from the target.
            self._session.kick()
        if self._session.rates.note(attempt.target, parsed.limit.value, now):
            self._metrics.count("target_limits_heard")
            self._log_limit(attempt, parsed.limit.value)
        if parsed.pause.value is not None:
            until = notices.note_pause(attempt.target, parsed.pause.value, now)
            self._metrics.count("targets_heard_pausing")
            self._log_announcement(attempt, "pause", until - now)

    def _note_brittle(
        self, attempt: _attempt.Attempt, parsed: _forward_types.ParsedHead
    ) -> None:
        """Note whether a target is brittle; pause it if it rejected."""
        target = attempt.target
        self._brittle.note(target, parsed.bears_rejections)
        rejected = parsed.not_run and not parsed.absent
        pause_s = self._brittle.pause_s(target) if rejected else 0.0
        if pause_s > 0.0:
            now = self._clock.now()
            self._session.notices.note_pause(target, pause_s, now)
            self._metrics.count("brittle_targets_paused")
            self._log_announcement(attempt, "brittle", pause_s)

    def _log_limit(
        self, attempt: _attempt.Attempt, per_s: float | None
    ) -> None:
        observe.log_event(
            "route",
            "limit",
            request=attempt.request.id,
            target=attempt.target,
            per_s=per_s,
        )

    def _log_announcement(
        self, attempt: _attempt.Attempt, what: str, left_s: float | None
    ) -> None:
        observe.log_event(
            "heard",
            what,
            request=attempt.request.id,
            target=attempt.target,
            left_s=None if left_s is None else round(left_s, 3),
        )


def _has_events(attempt: _attempt.Attempt, head: wire.ReplyHead) -> bool:
    """Whether the body of an answer is an event stream."""
    is_stream = attempt.route.kind is catalogue.RouteKind.STREAM
    has_body = attempt.request.method != "HEAD"
    return is_stream and has_body and _events.is_event_stream(head)
