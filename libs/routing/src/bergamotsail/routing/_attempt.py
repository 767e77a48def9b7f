"""State of one attempt of a caller, and how it ends."""

import collections.abc
import dataclasses
import weakref

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import placement
from bergamotsail.routing import _authentication
from bergamotsail.routing import _budget_admission
from bergamotsail.routing import _events
from bergamotsail.routing import _fatal
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _relayed
from bergamotsail import wire

RETRY_AFTER_S = 0.5


class RetryableError(wire.ServingError):
    """A send failed and the attempt may be sent again.

    Args:
        ran: NOT_RUN if the request is known not to have run.
    """

    code = "try_next"


class NotAcceptingError(RetryableError):
    """The target accepts no work at the moment; nothing was sent."""

    code = "closed"


class OriginUnknownError(wire.OverloadError):
    """A stream can't go on as it is not known where it began."""

    code = "origin_unknown"


class InvalidAnswerError(wire.PeerLostError):
    """The received answer belongs to another request or can't be used."""


class BrokenStreamError(wire.PeerLostError):
    """The received event stream did not end with an event."""


# Ends that say nothing against the target.
NO_FAULT_CODES = (
    NotAcceptingError.code,
    _relayed.NoPathError.code,
    _relayed.TargetClosedError.code,
)


@dataclasses.dataclass(slots=True, weakref_slot=True)
class Attempt:
    """State of one attempt of a caller, across all its sends.

    Args:
        age_s: estimate of how long the caller had been trying before.
        sends: how often it was sent to a target.
        arrived: whether the last send may have reached its target.
        runs: how many of the sends may have run.
        events: boundaries of the events in the current target's answer.
        software: version of the current target's software.
        origin: where its stream began, None if it may begin anywhere.
        granted: where its stream may be recorded to begin, by grants.
        noted_term: the term of the leader that has a record of the current
            placement, -1 without one.
        not_repeated: why it was not sent again, for the log.
        longest_pause_s: the longest gap between two pieces of the answer.
    """

    request: _forward_types.CallerRequest
    route: catalogue.Route
    pool: catalogue.RoutePool
    answer: _forward_types.AnswerWriter
    deadline: float
    age_s: float
    caller: _authentication.Caller
    debit: _budget_admission.Debit
    avoid: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    arrived: bool = False
    placements: int = 0
    runs: int = 0
    last_event: str | None = None
    events: _events.EventSplitter = dataclasses.field(
        default_factory=_events.EventSplitter
    )
    target: str = ""
    software: str | None = None
    origin: control.StreamOrigin | None = None
    granted: set[control.StreamOrigin] = dataclasses.field(default_factory=set)
    noted_term: int = -1
    aborted: bool = False
    not_repeated: str | None = None
    on_first_piece: collections.abc.Callable[[], None] | None = None
    sent_at: float = 0.0
    last_piece_at: float | None = None
    longest_pause_s: float = 0.0
    tracked: _fatal.TrackedRequest = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        request = self.request
        # A cycle of references would keep the request's body until the next
        # garbage collection.
        attempt = weakref.ref(self)
        self.tracked = _fatal.TrackedRequest(
            request.id,
            request.member,
            self.pool.name,
            lambda: request.identity,
            lambda: _ran(attempt()),
            request.model.shared_parts if request.model is not None else (),
        )

    @property
    def priority(self) -> int:
        """The priority of the request, 0 is the most urgent."""
        if self.caller.priority is not None:
            return self.caller.priority
        return self.route.priority

    def record_grant(self, place: placement.PlaceReply) -> None:
        """Record that the leader may have a record of this grant."""
        self.noted_term = place.term if place.is_noted else -1
        if place.term >= 0:
            origin = control.StreamOrigin(self.pool.name, place.software)
            self.granted.add(origin)
        if place.term >= 0 and not place.only_grant:
            self.granted.add(control.StreamOrigin(self.pool.name, None))

    def debit_send(self) -> None:
        """Debit a send that the leader does not debit."""
        if self.runs > 0:
            self.debit.take_again()
        else:
            self.debit.take_here()

    def record_piece(self, now: float) -> None:
        """Record the arrival of a piece of the answer."""
        if self.last_piece_at is not None:
            pause_s = now - self.last_piece_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_piece_at = now

    def abort(self) -> None:
        """Abort the answer so that the caller sees it is incomplete."""
        self.aborted = True
        self.answer.abort()


def _ran(attempt: Attempt | None) -> wire.RunStatus:
    """Return whether an attempt may have run; None has ended."""
    if attempt is None or attempt.runs:
        return wire.RunStatus.UNKNOWN
    return wire.RunStatus.NOT_RUN


def abort_or_raise(
    attempt: Attempt,
    reason: str,
    error_if_ran: wire.ServingError,
    cause: wire.ServingError | None = None,
    retry_after_s: float = RETRY_AFTER_S,
) -> None:
    """Abort an answer that has started, else raise the final error.

    Raises:
        OverloadError: no target ran the request.
        ServingError: *error_if_ran*, as the request may have run.
    """
    if attempt.answer.started:
        attempt.abort()
        return
    if attempt.runs == 0:
        raise wire.OverloadError(
            f"{reason}; it has not run.", retry_after_s=retry_after_s
        ) from cause
    raise error_if_ran from cause


def unknown_outcome() -> wire.ServingError:
    return wire.UnknownOutcomeError(
        "The target's answer was lost; the request may have run."
    )


def longest_pause_s(attempt: Attempt | None) -> float | None:
    """Return the longest gap between pieces of an answer, for the log."""
    if attempt is None or not attempt.longest_pause_s:
        return None
    return round(attempt.longest_pause_s, 4)


def unfinished_bytes(attempt: Attempt | None) -> int | None:
    """Return how much of an unfinished event was received, for the log."""
    if attempt is None or not attempt.events.inside_event:
        return None
    return len(attempt.events.rest)


def adapter_of(request: _forward_types.CallerRequest) -> str | None:
    if request.model is None:
        return None
    return f"{request.model.model}/{request.model.adapter}"


def size_of(
    request: _forward_types.CallerRequest, pool: catalogue.RoutePool
) -> int | None:
    """Return the tokens that a request can take at most, if it has any."""
    if request.size is None or pool.engine is None:
        return request.size
    # An engine runs nothing that is larger than its memory.
    return min(request.size, pool.engine.memory_tokens)


def retryable(error: wire.ServingError, ran: wire.RunStatus) -> RetryableError:
    retryable = RetryableError(error.message, ran=ran)
    retryable.code = error.code
    return retryable


def outcome_of(error: wire.ServingError) -> placement.UseOutcome:
    if error.code == "absent":
        return placement.UseOutcome.ABSENT
    if error.code == "refused":
        return placement.UseOutcome.REFUSED
    if error.code in NO_FAULT_CODES:
        return placement.UseOutcome.LEFT
    return placement.UseOutcome.FAILED
