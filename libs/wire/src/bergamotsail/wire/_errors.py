"""Typed errors that can cross a process boundary.

An error has a stable ``code``, an HTTP status and the information whether the
work ran. ``NOT_RUN`` is reported only when nothing was sent to a target, or
when the target itself confirmed it; in doubt it is ``UNKNOWN``.
"""

import dataclasses
import enum


class RunStatus(enum.StrEnum):
    """Whether the work of a failed request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """The JSON form of an error."""

    code: str
    message: str
    ran: RunStatus
    retry_after_s: float | None = None
    use: str | None = None


class ServingError(Exception):
    """Base of all errors that callers, operators and peers can see.

    Args:
        message: what happened and what to do about it.
        retry_after_s: delay before a retry, in seconds.
        use: the address of a daemon to use instead.
        ran: overrides the default of this type.
    """

    code = "internal"
    status = 500
    ran = RunStatus.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        retry_after_s: float | None = None,
        use: str | None = None,
        ran: RunStatus | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        self.use = use
        if ran is not None:
            self.ran = ran

    def body(self) -> ErrorBody:
        """Return the JSON form of this error."""
        return ErrorBody(
            self.code, self.message, self.ran, self.retry_after_s, self.use
        )


class InternalError(ServingError):
    """A bug or an internal failure; whether the work ran is unknown."""

    ran = RunStatus.UNKNOWN


class BadMessageError(ServingError):
    """A message that is not JSON or does not fit its type."""

    code = "bad_message"
    status = 400


class BadRequestError(ServingError):
    """An invalid request, which fails again if it is repeated unchanged."""

    code = "bad_request"
    status = 400


class IdempotencyKeyError(BadRequestError):
    """A missing, malformed or expired idempotency key."""

    code = "bad_idempotency_key"


class KeyReusedError(ServingError):
    """An idempotency key that was used with another request."""

    code = "idempotency_key_reused"
    status = 422


class TooLargeError(ServingError):
    """A body over the limit."""

    code = "too_large"
    status = 413


class UnauthenticatedError(ServingError):
    """A missing or wrong token."""

    code = "unauthenticated"
    status = 401


class ForbiddenError(ServingError):
    """A caller or operator without the right to do this."""

    code = "forbidden"
    status = 403


class NotFoundError(ServingError):
    """An unknown adapter, version, service, entry or route."""

    code = "not_found"
    status = 404


class ConflictError(ServingError):
    """A change that conflicts with the current state; the message says how."""

    code = "conflict"
    status = 409


class WithdrawnError(ServingError):
    """The adapter version was withdrawn while the request waited."""

    code = "version_withdrawn"
    status = 410


class LimitError(ServingError):
    """A member or an entry has reached its catalogue limit."""

    code = "limit_reached"
    status = 429


class OverloadError(ServingError):
    """No capacity for this request within its deadline."""

    code = "overloaded"
    status = 503


class NoCapacityError(OverloadError):
    """No target will have capacity in time, so the request does not wait."""

    code = "no_place"


class LoadShedError(OverloadError):
    """An overloaded daemon shed a call without processing it."""

    code = "behind"


class NoRoomError(OverloadError):
    """The process has no memory or connections left for more clients."""

    code = "no_room"


class RequestTimeoutError(ServingError):
    """A request was not received in time and has not run."""

    code = "request_timeout"
    status = 408


class QuarantinedError(ServingError):
    """Targets that ran this request crashed, so it is not sent to others."""

    code = "quarantined"
    status = 503


class OtherCopyError(QuarantinedError):
    """Targets that ran this request crashed, and another copy still runs."""

    code = "other_copy"


class StillWaitingError(OverloadError):
    """No capacity yet; repeat the call at once to keep waiting."""

    code = "still_waiting"


class DeadlineError(ServingError):
    """The deadline has passed or can't be met."""

    code = "deadline"
    status = 504


class LeaseLostError(ServingError):
    """This daemon's lease has expired, so its state may be stale."""

    code = "cut_off"
    status = 503


class StoppingError(ServingError):
    """This daemon is shutting down."""

    code = "stopping"
    status = 503


class NotLeaderError(ServingError):
    """This replica is not the leader; ``use`` names the leader if known."""

    code = "not_leader"
    status = 421


class ReplicaFailedError(ServingError):
    """This replica's disk failed, so it acknowledges nothing."""

    code = "replica_failed"
    status = 503


class StartingError(ServingError):
    """This replica has not loaded its state from disk yet."""

    code = "starting"
    status = 503


class NotOwnerError(ServingError):
    """This daemon does not own the target."""

    code = "not_owner"
    status = 421


class NotSentError(ServingError):
    """Nothing was sent to the other side."""

    code = "not_sent"
    status = 503


class PeerLostError(ServingError):
    """The connection was lost after something was sent."""

    code = "peer_lost"
    status = 502
    ran = RunStatus.UNKNOWN


class ReplyTooLargeError(PeerLostError):
    """A reply was abandoned because it exceeds a bound."""

    code = "reply_too_large"


class InvalidReplyError(PeerLostError):
    """A reply that is none in HTTP, for example by its status."""

    code = "invalid_reply"


class PeerTimeoutError(PeerLostError):
    """The other side did not reply in time; it may still be alive."""

    code = "peer_silent"


class StaleFencingTokenError(ServingError):
    """The target rejected a stale fencing token."""

    code = "stale_order"
    status = 409


class TargetRestartedError(ServingError):
    """The target has restarted, so what was known about it is invalid."""

    code = "other_start"
    status = 409


class EngineError(ServingError):
    """The engine rejected the work or failed while it ran."""

    code = "engine_failed"
    status = 502
    ran = RunStatus.FAILED


class WrongAdapterError(ServingError):
    """The answer names another adapter, version or incarnation."""

    code = "wrong_adapter"
    status = 502
    ran = RunStatus.FAILED


class TruncatedError(ServingError):
    """A stream ended without its end marker, or a chunk is missing."""

    code = "truncated"
    status = 502
    ran = RunStatus.UNKNOWN


class UnknownOutcomeError(ServingError):
    """A call that may have run and is not repeated."""

    code = "outcome_unknown"
    status = 502
    ran = RunStatus.UNKNOWN


class InProgressError(ServingError):
    """A request with the same idempotency key has not ended."""

    code = "in_progress"
    status = 409
    ran = RunStatus.UNKNOWN


class CancelledByCallerError(ServingError):
    """The caller disconnected or cancelled the request."""

    code = "cancelled"
    status = 499
    ran = RunStatus.UNKNOWN


def _all_types(kind: type[ServingError]) -> list[type[ServingError]]:
    found = [kind]
    for sub in kind.__subclasses__():
        found.extend(_all_types(sub))
    return found


def error_from_body(body: ErrorBody) -> ServingError:
    """Rebuild the typed error that a peer sent."""
    by_code: dict[str, type[ServingError]] = {
        InternalError.code: InternalError
    }
    for kind in _all_types(ServingError):
        # A subclass without a code of its own is local to its module.
        by_code.setdefault(kind.code, kind)
    kind = by_code.get(body.code, InternalError)
    return kind(
        body.message,
        retry_after_s=body.retry_after_s,
        use=body.use,
        ran=body.ran,
    )


def drop_tracebacks(error: BaseException) -> None:
    """Remove the tracebacks of an error and of those that it came from.

    A function's variable that refers to an error is in a cycle of references
    with the error's traceback. That keeps all of the function's variables
    until the next garbage collection.
    """
    seen: set[int] = set()
    pending: list[BaseException | None] = [error]
    while pending:
        current = pending.pop()
        if current is None or id(current) in seen:
            continue
        seen.add(id(current))
        current.__traceback__ = None
        pending += (current.__cause__, current.__context__)
