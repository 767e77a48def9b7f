"""Finds where the streams that callers resume began.

A caller may resume its stream at any entry, which may know nothing of it. It
goes on only where it began, so it is refused if nobody knows that.
"""

import base64
import dataclasses
import hashlib
import math

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.routing import _attempt
from bergamotsail.routing import _forward_types
from bergamotsail import wire

# How long after its patience ended a caller may still resume its stream.
RESUME_S = 15.0
# No caller may resume a stream that is older.
MAX_KEEP_S = 3600.0
# A new leader may delay its reply by this, and by this share of the caller's
# patience, until it has heard of the streams.
MAX_WAIT_S = 1.0
WAIT_SHARE = 0.2
ASK_MARGIN_S = 0.3
RETRY_AFTER_S = 0.5
COMMIT_TIMEOUT_S = 1.0
NAME_BYTES = 9
MAX_COVERED = 1_000


def stream_name(member: str, request: _forward_types.CallerRequest) -> str:
    """Return the name of the stream that an attempt begins or resumes.

    A digest of the member and the attempt that began the stream, so that
    nobody finds the streams of others.
    """
    text = f"{member}/{request.resumes or request.id}"
    digest = hashlib.blake2b(text.encode(), digest_size=NAME_BYTES).digest()
    return base64.urlsafe_b64encode(digest).decode()


def keep_s(request: _forward_types.CallerRequest) -> float:
    """Return how long the caller of an attempt may resume its stream."""
    return min(request.assumed_patience_s + RESUME_S, MAX_KEEP_S)


def is_resumable(route: catalogue.Route) -> bool:
    """Whether callers may resume the streams of a route."""
    return route.kind is catalogue.RouteKind.STREAM and route.repeatable


def is_resumption(
    route: catalogue.Route, request: _forward_types.CallerRequest
) -> bool:
    """Whether an attempt resumes a stream that an earlier one began."""
    return route.kind is catalogue.RouteKind.STREAM and (
        request.resume_after is not None or request.resumes is not None
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Found:
    """The result of a look-up.

    Args:
        source: how it is known: from the ``own`` notes, the ``log``, the
            leader's ``record`` of the stream, or as the ``sole`` possible
            origin; None if it is not.
        error: why the leader did not answer.
        term: of the leader that made the record.
        age_s: how long ago the leader that answered got the record.
    """

    origin: control.StreamOrigin | None
    source: str | None
    error: wire.ServingError | None = None
    term: int | None = None
    age_s: float | None = None


class Origins:
    """Notes where streams began, and finds it for those that are resumed."""

    def __init__(self, session: control.Session, clock: wire.Clock) -> None:
        self._session = session
        self._clock = clock
        # How old the leader lets streams get, by pool and route table.
        self._covered_s_by_pool: dict[tuple[str, int], float] = {}

    async def cover(self, attempt: _attempt.Attempt) -> None:
        """Have the leader know how old the stream of an attempt can get.

        What the caller has left when it resumes the stream doesn't tell how
        old the stream is, so it must be known before the stream begins.

        Raises:
            OverloadError: the leader can't record it; nothing was run.
        """
        if attempt.origin is not None or not is_resumable(attempt.route):
            return
        longest_s = keep_s(attempt.request)
        pool = (attempt.pool.name, self._session.view.routes.table.version)
        covered_s = self._covered_s_by_pool.get(pool, control.MIN_STREAM_AGE_S)
        if longest_s <= covered_s:
            return
        age = catalogue.StreamAge(attempt.pool.name, longest_s)
        try:
            await self._session.leader.ask(
                control.COVER_AGE, control.CoverAge(age), COMMIT_TIMEOUT_S
            )
        except wire.ServingError as error:
            raise wire.OverloadError(
                "The caller waits longer than the leader knows of, and the "
                "leader can't be told. Retry soon.",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        if len(self._covered_s_by_pool) >= MAX_COVERED:
            self._covered_s_by_pool.clear()
        self._covered_s_by_pool[pool] = longest_s

    async def confirm(
        self,
        attempt: _attempt.Attempt,
        place: placement.PlaceReply,
        software: str | None,
    ) -> None:
        """Have the log know where a stream begins if grants differ.

        The record of an earlier grant may outlive that of this one.

        Args:
            software: version that the target runs, None unless it is certain.

        Raises:
            OverloadError: the leader can't record it; nothing was run.
            UnknownOutcomeError: likewise, but an earlier send may have run.
        """
        if attempt.origin is not None or not is_resumable(attempt.route):
            return
        origin = control.StreamOrigin(attempt.pool.name, software)
        if attempt.granted <= {origin}:
            return
        stream = stream_name(attempt.caller.name, attempt.request)
        started_at = self._clock.now()
        error: wire.ServingError | None = None
        try:
            await self._session.leader.ask(
                control.MOVE_STREAM,
                control.MoveStream(stream, origin),
                COMMIT_TIMEOUT_S,
            )
            attempt.granted = {origin}
        except wire.ServingError as caught:
            error = caught
        observe.log_event(
            "route",
            "moved",
            request=attempt.request.id,
            target=place.target,
            software=software,
            error=error.code if error is not None else None,
            took_s=round(self._clock.now() - started_at, 4),
        )
        if error is not None:
            _attempt.abort_or_raise(
                attempt,
                "The leader can't record where the stream begins",
                _attempt.unknown_outcome(),
                error,
            )

    def note(self, attempt: _attempt.Attempt) -> None:
        """Note where the stream of an attempt began.

        The leader that granted its placement knows, unless this daemon lists
        another version of the target's software. A holder of a group may be
        lost before it tells the leader, so this daemon does that, too.
        """
        origin = attempt.origin
        if origin is None:
            return
        known_to = -1 if origin.software is None else attempt.noted_term
        self._session.note_stream(
            stream_name(attempt.caller.name, attempt.request),
            origin,
            keep_s(attempt.request),
            known_to,
        )

    async def find(
        self,
        request: _forward_types.CallerRequest,
        route: catalogue.Route,
        member: str,
    ) -> control.StreamOrigin:
        """Return where the stream that an attempt resumes began.

        Raises:
            OriginUnknownError: nobody knows, so the stream can't go on.
        """
        started_at = self._clock.now()
        found = await self._look_up(request, route, member)
        origin = found.origin
        observe.log_event(
            "route",
            "origin",
            request=request.id,
            resumes=request.resumes,
            resume=request.resume_after,
            pool=origin.pool if origin is not None else None,
            software=origin.software if origin is not None else None,
            source=found.source,
            noted_in=found.term,
            noted_s=found.age_s,
            error=found.error.code if found.error is not None else None,
            leader_silent_s=_finite(self._session.silent_s()),
            took_s=round(self._clock.now() - started_at, 4),
        )
        if origin is None or origin.software is None:
            raise _attempt.OriginUnknownError(
                "It is not known which version of the target's software "
                "began the stream, so it can't go on. Start a new stream.",
                retry_after_s=RETRY_AFTER_S if found.error else None,
            ) from found.error
        return origin

    async def _look_up(
        self,
        request: _forward_types.CallerRequest,
        route: catalogue.Route,
        member: str,
    ) -> _Found:
        stream = stream_name(member, request) if request.resumes else ""
        origin = self._session.streams.find(stream)
        if origin is not None:
            return _Found(origin, "own")
        try:
            found = await self._ask_leader(stream, route, request)
        except wire.ServingError as error:
            return _Found(None, None, error)
        return _Found(
            found.origin, found.source, None, found.term, found.age_s
        )

    async def _ask_leader(
        self,
        stream: str,
        route: catalogue.Route,
        request: _forward_types.CallerRequest,
    ) -> control.FoundStream:
        wait_s = min(MAX_WAIT_S, request.assumed_patience_s * WAIT_SHARE)
        return await self._session.leader.ask(
            control.FIND_STREAM,
            control.FindStream(stream, route.name, wait_s),
            wait_s + ASK_MARGIN_S,
        )


def pool_of(
    routes: catalogue.RouteIndex,
    route: catalogue.Route,
    origin: control.StreamOrigin,
) -> catalogue.RoutePool:
    """Return the pool in which a stream began.

    Raises:
        OverloadError: the route no longer leads there.
    """
    for split in route.splits:
        if split.pool == origin.pool and split.weight > 0:
            return routes.pool_by_name[split.pool]
    raise wire.OverloadError(
        "The route no longer leads to the pool that began the stream, so it "
        "can't go on. Start a new stream."
    )


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
