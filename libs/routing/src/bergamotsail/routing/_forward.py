"""Forwards callers' attempts directly to targets and relays the answers.

The kind of the route alone decides what may be repeated. Each attempt
reaches exactly one daemon, so that daemon decides without coordination: a
request that must run at most once is sent again only if the target
guarantees that it has not run.
"""

import asyncio
import collections.abc
import random

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.routing import _answers
from bergamotsail.routing import _attempt
from bergamotsail.routing import _authentication
from bergamotsail.routing import _brittle
from bergamotsail.routing import _budget_admission
from bergamotsail.routing import _fatal
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _origins
from bergamotsail.routing import _placements
from bergamotsail.routing import _sending
from bergamotsail.routing import _service_choice
from bergamotsail.routing import _software
from bergamotsail.routing import _target_client
from bergamotsail import wire

MAX_SENDS = 6
# A starting instance receives its routes from the leader 0.2 to 0.8 s after
# it begins to serve, also after a power loss of all instances. A request that
# arrives before that waits at most this long, and at most this share of its
# patience.
ROUTES_WAIT_S = 0.8
ROUTES_WAIT_SHARE = 0.25
ROUTES_POLL_S = 0.01
NO_ROUTES_RETRY_S = 0.3
# Age of the view up to which the lack of a route or member is definite.
MAX_VIEW_AGE_S = 2.0
PLACEMENT_WAIT_SHARE = 0.7
PLACEMENT_WAIT_OBJECTIVES = 3.0
REFUSE_AFTER_OBJECTIVES = 1.5
DEADLINE_MARGIN_S = 0.03
# Pauses of an engine up to this length are waited out: it is about the time
# to load the adapter on another engine, which would evict another adapter.
SHORT_PAUSE_S = 0.5
# Requests that waited for a pause resume after a random delay of up to this
# fraction of it, to avoid a thundering herd.
PAUSE_JITTER = 0.25
MAX_TRACKED_ROUTES = 10_000
# Longest wait for a permit of a limited target, a bit more than the interval
# between heartbeats, and how many requests may wait; the others are refused at
# once.
PERMIT_WAIT_S = 0.7
PERMIT_POLL_S = 0.05
MAX_PERMIT_WAITERS = 4
ABORTED = "broken_off"

AnswerWriter = _forward_types.AnswerWriter
CallerRequest = _forward_types.CallerRequest
Destination = _forward_types.Destination
Outcome = placement.UseOutcome


class Forwarder:
    """Serves callers' requests according to the current route table.

    Args:
        session: its view and digest are used even if they are stale.
        placements: grants placements on engines.
        client: sends requests to targets.
    """

    def __init__(
        self,
        session: control.Session,
        placements: _placements.PlacementClient,
        services: _service_choice.ServiceBalancer,
        budgets: _service_choice.ResendBudgets,
        client: _target_client.TargetClient,
        dialect: _forward_types.Dialect,
        metrics: observe.Metrics,
        datacentre: str,
        clock: wire.Clock = wire.LoopClock(),
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._permit_waiters = 0
        self._session = session
        self._guard = _fatal.QuarantineGuard(session, metrics)
        self._admission = _budget_admission.BudgetAdmission(session, metrics)
        self._placements = placements
        self._services = services
        self._budgets = budgets
        brittle = _brittle.BrittleTargets(
            lambda: len(session.daemon_by_boot), clock
        )
        self._origins = _origins.Origins(session, clock)
        answers = _answers.AnswerRelay(
            session,
            dialect,
            brittle,
            metrics,
            clock,
            self._has_other_target,
            self._origins.note,
            lambda attempt: self._guard.lasted(
                attempt.tracked, attempt.target
            ),
        )
        self._sender = _sending.Sender(
            session, client, dialect, self._guard, brittle, answers, clock
        )
        self._metrics = metrics
        self._datacentre = datacentre
        self._clock = clock
        self.active = 0
        self._max_patience_by_route: dict[str, float] = {}

    async def serve(
        self, request: CallerRequest, answer: AnswerWriter
    ) -> None:
        """Serve one attempt of a caller.

        Raises:
            ServingError: no part of an answer was sent; the error says
                whether the request may have run.
        """
        await observe.timed(
            self._metrics, "request", self._serve_counted, request, answer
        )

    async def _serve_counted(
        self, request: CallerRequest, answer: AnswerWriter
    ) -> None:
        self.active += 1
        started_at = self._clock.now()
        code = "done"
        attempt: _attempt.Attempt | None = None
        try:
            await self._wait_for_routes(request)
            attempt = await self._start_attempt(request, answer)
            await self._serve_in_time(attempt)
            if attempt.aborted:
                code = ABORTED
        except wire.ServingError as error:
            code = error.code
            wire.drop_tracebacks(error)
            raise
        except asyncio.CancelledError as error:
            code = "caller_left"
            wire.drop_tracebacks(error)
            raise
        finally:
            self.active -= 1
            if attempt is not None and attempt.runs == 0:
                attempt.debit.give_back()
            self._log_end(request, attempt, code, started_at)

    async def _wait_for_routes(self, request: CallerRequest) -> None:
        """Wait briefly for the first route table of a starting instance.

        After a power loss callers return before the routes are known, and
        refusing them would use up the only retry that each of them has.
        """
        patience_s = request.assumed_patience_s
        wait_s = min(ROUTES_WAIT_S, patience_s * ROUTES_WAIT_SHARE)
        gives_up_at = request.arrived_at + wait_s
        while self._session.view.routes.table.version == 0:
            if self._clock.now() >= gives_up_at:
                return
            await self._clock.sleep(ROUTES_POLL_S)

    def _find_route(
        self, request: CallerRequest
    ) -> tuple[catalogue.Route, _authentication.Caller]:
        """Return the route of a request and the member that sent it.

        Raises:
            NotFoundError: no route matches.
            OverloadError: likewise, but one may have been added.
            ServingError: the member is not known, or no route is.
        """
        routes = self._session.view.routes
        if routes.table.version == 0:
            raise wire.OverloadError(
                "This instance has not received its routes yet. Retry soon.",
                retry_after_s=NO_ROUTES_RETRY_S,
            )
        is_current = self._session.view_age_s() <= MAX_VIEW_AGE_S
        route = routes.find(request.host, request.path)
        if route is None and not is_current:
            raise wire.OverloadError(
                "This instance has no route for this host and path, but its "
                "routes may be out of date. Retry, or use another address.",
                retry_after_s=NO_ROUTES_RETRY_S,
            )
        if route is None:
            raise wire.NotFoundError(
                "No route matches this host and path. Check both."
            )
        caller = _authentication.authenticate(
            routes, route, request.token, is_current
        )
        return route, caller

    async def _start_attempt(
        self, request: CallerRequest, answer: AnswerWriter
    ) -> _attempt.Attempt:
        """Admit a request.

        Raises:
            OriginUnknownError: it resumes a stream that can't go on.
            ServingError: it is not admitted.
        """
        route, caller = self._find_route(request)
        origin: control.StreamOrigin | None = None
        if _origins.is_resumption(route, request):
            origin = await self._origins.find(request, route, caller.name)
            # The routes may have changed meanwhile.
            route, caller = self._find_route(request)
        routes = self._session.view.routes
        if origin is None:
            pool = routes.choose_pool(route, request.id)
        else:
            pool = _origins.pool_of(routes, route, origin)
        self._budgets.count(pool.name)
        debit = self._admission.admit(
            caller.name, _attempt.size_of(request, pool), request.id
        )
        patience_s = request.assumed_patience_s
        deadline = request.arrived_at + min(patience_s, route.timeout_s)
        age_s = self._estimate_age_s(route, patience_s)
        return _attempt.Attempt(
            request,
            route,
            pool,
            answer,
            deadline,
            age_s,
            caller,
            debit,
            origin=origin,
        )

    def _estimate_age_s(
        self, route: catalogue.Route, patience_s: float
    ) -> float:
        """Estimate how long the caller had been trying before this attempt.

        Callers of a route start with about the same patience and retry with
        the remainder, so the difference to the longest patience seen on the
        route approximates the time already spent.
        """
        if len(self._max_patience_by_route) > MAX_TRACKED_ROUTES:
            self._max_patience_by_route.clear()
        longest_s = self._max_patience_by_route.get(route.name, 0.0)
        self._max_patience_by_route[route.name] = max(longest_s, patience_s)
        return max(longest_s - patience_s, 0.0)

    def _log_end(
        self,
        request: CallerRequest,
        attempt: _attempt.Attempt | None,
        code: str,
        started_at: float,
    ) -> None:
        took_s = self._clock.now() - started_at
        route = attempt.route.name if attempt is not None else "-"
        self._metrics.record_s("request", took_s, code=code)
        observe.log_event(
            "route",
            "end",
            request=request.id,
            route=route,
            member=attempt.caller.name if attempt is not None else None,
            adapter=_attempt.adapter_of(request),
            routes_version=self._session.view.routes.table.version,
            leader_silent_s=round(self._session.silent_s(), 3),
            view_index=self._session.view.index,
            view_age_s=round(self._session.view_age_s(), 3),
            code=code,
            sends=attempt.sends if attempt is not None else 0,
            runs=attempt.runs if attempt is not None else 0,
            target=attempt.target if attempt is not None else None,
            took_s=round(took_s, 4),
            longest_pause_s=_attempt.longest_pause_s(attempt),
            unfinished_bytes=_attempt.unfinished_bytes(attempt),
            not_repeated=attempt.not_repeated if attempt is not None else None,
        )

    async def _serve_in_time(self, attempt: _attempt.Attempt) -> None:
        left_s = attempt.deadline - self._clock.now() - DEADLINE_MARGIN_S
        try:
            async with asyncio.timeout(max(left_s, 0.0)):
                await self._serve(attempt)
        except TimeoutError:
            self._time_out(attempt)

    def _time_out(self, attempt: _attempt.Attempt) -> None:
        """End an attempt whose deadline has passed."""
        error = wire.DeadlineError(
            "The target did not answer in time.", ran=wire.RunStatus.UNKNOWN
        )
        _attempt.abort_or_raise(
            attempt,
            "No target accepted the request before its deadline",
            error,
        )

    async def _serve(self, attempt: _attempt.Attempt) -> None:
        await self._origins.cover(attempt)
        last: wire.ServingError | None = None
        while attempt.sends < MAX_SENDS:
            self._guard.check(attempt.tracked)
            if attempt.sends > 0 and not self._may_repeat(attempt):
                break
            try:
                left_s = attempt.deadline - self._clock.now()
                async with self._guard.exclusive(attempt.tracked, left_s):
                    await self._try(attempt)
                return
            except _attempt.RetryableError as error:
                last = error
                wire.drop_tracebacks(error)
        self._abort_or_refuse(attempt, last)

    async def _try(self, attempt: _attempt.Attempt) -> None:
        if attempt.pool.engine is not None and attempt.request.model:
            await self._try_engine(attempt)
        else:
            await self._try_service(attempt)

    def _may_repeat(self, attempt: _attempt.Attempt) -> bool:
        """Whether the attempt may be sent again.

        The route, the number of lost targets and the budget limit this. If
        it may, one resend is taken from the budget, unless the last send
        reached no target.
        """
        attempt.not_repeated = self._why_not_repeated(attempt)
        return attempt.not_repeated is None

    def _why_not_repeated(self, attempt: _attempt.Attempt) -> str | None:
        if attempt.runs >= attempt.route.attempts:
            return "attempts"
        if attempt.runs > 0 and not attempt.route.repeatable:
            return "not_repeatable"
        if not attempt.tracked.may_retry:
            return "targets_lost"
        # A send that failed to connect reached no target.
        if not attempt.arrived:
            return None
        if not self._budgets.take(attempt.pool.name):
            return "budget"
        return None

    def _abort_or_refuse(
        self, attempt: _attempt.Attempt, last: wire.ServingError | None
    ) -> None:
        """End an attempt that will not be sent again."""
        _attempt.abort_or_raise(
            attempt,
            "No target accepts the request",
            _attempt.unknown_outcome(),
            last,
        )

    # Plain services

    async def _try_service(self, attempt: _attempt.Attempt) -> None:
        info = self._services.choose(
            attempt.pool.name, self._open_targets(attempt), attempt.avoid
        )
        if info is None:
            await self._wait_for_permit(attempt)
            await self._wait_for_pool(attempt)
            return
        destination = self._destination(
            attempt, info.id, info.address, info.software
        )
        self._session.rates.use(info.id)
        attempt.debit_send()
        failed = True
        self._services.started(info.id)
        try:
            await self._sender.send(attempt, destination)
            failed = attempt.aborted
        except asyncio.CancelledError:
            failed = False
            raise
        finally:
            self._services.ended(info.id, failed)

    def _open_targets(
        self, attempt: _attempt.Attempt
    ) -> collections.abc.Iterator[control.TargetInfo]:
        """Yield the targets at which an attempt may run now.

        Limited ones go first while their limit allows a request, since a
        permit that is not used lapses, and are left out otherwise.
        """
        usable = list(_software.usable(attempt, self._session.open_targets()))
        limited = [
            info
            for info in usable
            if info.pool == attempt.pool.name
            and self._session.is_limited(info)
        ]
        if not limited:
            return iter(usable)
        allowed = [
            info
            for info in limited
            if self._session.may_send(info) and info.id not in attempt.avoid
        ]
        others = (info for info in usable if info not in limited)
        return iter(allowed) if allowed else others

    async def _wait_for_permit(self, attempt: _attempt.Attempt) -> None:
        """Wait until the limit of a target allows the request.

        Returns at once if no target has a limit or enough requests wait, and
        after PERMIT_WAIT_S without a permit.

        Raises:
            NotAcceptingError: a target allows it; the attempt may be retried.
        """
        limited = [
            info
            for info in _software.usable(attempt, self._session.open_targets())
            if info.pool == attempt.pool.name
            and info.id not in attempt.avoid
            and self._session.is_limited(info)
        ]
        if not limited:
            return
        began_at = self._clock.now()
        allowed = await self._await_permit(attempt, limited)
        observe.log_event(
            "route",
            "permit" if allowed else "no_permit",
            request=attempt.request.id,
            targets=[info.id for info in allowed or limited],
            waited_s=round(self._clock.now() - began_at, 4),
            waiting=self._permit_waiters,
        )
        if allowed:
            raise _attempt.NotAcceptingError(
                "The target was at its limit.", ran=wire.RunStatus.NOT_RUN
            )

    async def _await_permit(
        self, attempt: _attempt.Attempt, limited: list[control.TargetInfo]
    ) -> list[control.TargetInfo]:
        """Return the targets that allow a request, none if that is late."""
        if self._permit_waiters >= MAX_PERMIT_WAITERS:
            return []
        left_s = attempt.deadline - self._clock.now()
        until = self._clock.now() + min(PERMIT_WAIT_S, left_s / 2)
        self._permit_waiters += 1
        try:
            while self._clock.now() < until:
                await self._clock.sleep(PERMIT_POLL_S)
                allowed = list(filter(self._session.may_send, limited))
                if allowed:
                    return allowed
        finally:
            self._permit_waiters -= 1
        return []

    def _remaining_pauses_s(self, attempt: _attempt.Attempt) -> list[float]:
        """Return the remaining pause of each target that may still be used."""
        now = self._clock.now()
        notices = self._session.notices
        return [
            notices.pause_left_s(info.id, now)
            for info in self._session.digest.target_by_id.values()
            if info.pool == attempt.pool.name
            and info.id not in attempt.avoid
            and not notices.is_marked_leaving(info)
            and _software.may_run(attempt, info)
        ]

    def _all_paused(self, attempt: _attempt.Attempt) -> bool:
        """Whether all targets that are not leaving are paused."""
        return min(self._remaining_pauses_s(attempt), default=0.0) > 0.0

    async def _wait_for_pool(self, attempt: _attempt.Attempt) -> None:
        """Wait for the shortest pause if the caller's patience allows it.

        Raises:
            OverloadError: the pause is too long, or no target is paused;
                nothing was run.
            UnknownOutcomeError: likewise, but an earlier send may have run.
            NotAcceptingError: the pause is over; the attempt may be retried.
        """
        pause_s = min(self._remaining_pauses_s(attempt), default=0.0)
        if pause_s == 0.0:
            self._abort_or_refuse(attempt, None)
            return
        left_s = attempt.deadline - self._clock.now()
        if pause_s * (1 + PAUSE_JITTER) > left_s * PLACEMENT_WAIT_SHARE:
            _attempt.abort_or_raise(
                attempt,
                "All targets have paused new work",
                _attempt.unknown_outcome(),
                retry_after_s=pause_s,
            )
            return
        await self._wait_for_pause_end(attempt, pause_s)

    async def _wait_for_pause_end(
        self, attempt: _attempt.Attempt, pause_s: float
    ) -> None:
        """Sleep until a pause is over, then have the attempt retried.

        Raises:
            NotAcceptingError: always, after the pause.
        """
        spread_s = pause_s * PAUSE_JITTER * self._rng.random()
        await self._clock.sleep(pause_s + spread_s)
        raise _attempt.NotAcceptingError(
            "The target was paused.", ran=wire.RunStatus.NOT_RUN
        )

    # Engines

    async def _try_engine(self, attempt: _attempt.Attempt) -> None:
        if self._all_paused(attempt):
            await self._wait_for_pool(attempt)
        request = attempt.request
        model = request.model
        assert model is not None
        use_id = f"{request.id}.{attempt.placements}"
        attempt.placements += 1
        # Targets that the leader, which grants placements, may not know to be
        # leaving or paused.
        not_accepting = (
            *self._session.unreported_leaving(),
            *self._session.notices.paused(SHORT_PAUSE_S, self._clock.now()),
        )
        software = _software.required(attempt)
        if attempt.runs > 0:
            attempt.debit.take_again()
        place = await self._placements.acquire(
            placement.PlaceRequest(
                self._session.boot,
                use_id,
                attempt.pool.name,
                model.model,
                model.adapter,
                model.prompt_tokens,
                model.output_tokens,
                model.parts,
                attempt.priority,
                self._placement_patience_s(attempt),
                self._datacentre,
                (*attempt.avoid, *not_accepting),
                self._clock.now() - request.arrived_at,
                attempt.route.objective_s,
                attempt.route.objective_s * REFUSE_AFTER_OBJECTIVES,
                attempt.age_s,
                software=software,
                stream=self._stream_of(attempt),
                stream_keep_s=_origins.keep_s(request),
            ),
            attempt.debit,
        )
        attempt.record_grant(place)
        outcome = Outcome.LEFT
        listed = self._session.digest.target_by_id.get(place.target)
        destination = self._destination(
            attempt,
            place.target,
            place.address,
            _software.agreed(place.software, listed),
            place,
        )
        try:
            _software.check(attempt, destination)
            self._sender.check_accepting(attempt, place.target)
        except _attempt.NotAcceptingError:
            self._placements.release(use_id, place.target, outcome)
            await self._wait_for_engine(attempt, place.target)
            raise
        placed_at = self._clock.now()

        def report_first_piece() -> None:
            """Report the time to the first piece of the answer, once."""
            attempt.on_first_piece = None
            first_s = self._clock.now() - placed_at
            self._placements.report_begun(use_id, place.target, first_s)

        attempt.on_first_piece = report_first_piece
        try:
            await self._origins.confirm(attempt, place, destination.software)
            await self._sender.send(attempt, destination)
            outcome = Outcome.FAILED if attempt.aborted else Outcome.DONE
        except _attempt.RetryableError as error:
            outcome = _attempt.outcome_of(error)
            raise
        finally:
            attempt.on_first_piece = None
            self._placements.release(use_id, place.target, outcome)

    def _stream_of(self, attempt: _attempt.Attempt) -> str:
        """Return the name of an attempt's stream, empty if it has none."""
        if attempt.route.kind is not catalogue.RouteKind.STREAM:
            return ""
        return _origins.stream_name(attempt.caller.name, attempt.request)

    async def _wait_for_engine(
        self, attempt: _attempt.Attempt, target: str
    ) -> None:
        """Wait out a short pause of an engine, else avoid the engine."""
        notices = self._session.notices
        pause_s = notices.pause_left_s(target, self._clock.now())
        short = pause_s <= min(
            SHORT_PAUSE_S, self._placement_patience_s(attempt)
        )
        if notices.is_leaving(target) or not short:
            attempt.avoid.add(target)
            return
        await self._wait_for_pause_end(attempt, pause_s)

    def _placement_patience_s(self, attempt: _attempt.Attempt) -> float:
        left_s = attempt.deadline - self._clock.now()
        objectives_s = attempt.route.objective_s * PLACEMENT_WAIT_OBJECTIVES
        return max(min(left_s * PLACEMENT_WAIT_SHARE, objectives_s), 0.0)

    def _destination(
        self,
        attempt: _attempt.Attempt,
        target: str,
        address: str,
        software: str | None,
        place: placement.PlaceReply | None = None,
    ) -> Destination:
        resume = attempt.last_event or attempt.request.resume_after
        return Destination(
            target,
            address,
            place.version if place is not None else None,
            min(attempt.priority, 9),
            attempt.deadline - self._clock.now(),
            resume,
            attempt.caller.name,
            not self._session.view.routes.needs_token,
            place.reason if place is not None else None,
            software,
        )

    def _has_other_target(self, attempt: _attempt.Attempt) -> bool:
        if attempt.runs + 1 >= attempt.route.attempts:
            return False
        others = _service_choice.candidates(
            attempt.pool.name, self._open_targets(attempt), attempt.avoid
        )
        return attempt.sends < MAX_SENDS and any(others)
