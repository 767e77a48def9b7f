"""Routes calls of plain services, idempotent and non-idempotent ones.

A non-idempotent call first claims its idempotency key: a write-once record
that a majority of replicas has on disk. Only the attempt that won the claim
is sent, at most once. A resend through any daemon gets the recorded outcome,
or *unknown* if the first attempt did not record one.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import hashlib
import time
import uuid

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail.routing import _admission
from bergamotsail.routing import _budget_admission
from bergamotsail.routing import _completions
from bergamotsail.routing import _fatal
from bergamotsail.routing import _keys
from bergamotsail.routing import _retries
from bergamotsail import targets
from bergamotsail import wire

State = catalogue.ClaimState

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
POLL_S = 0.1
REPLAY_WAIT_S = 3.0
RECORD_TIMEOUT_S = 60.0
MAX_RECORDED_BYTES = 64 * 1024
MAX_CLOCK_SKEW_MS = 300_000
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A caller's call of a service.

    Args:
        path: path and query within the service.
        key: the caller's idempotency key, if any.
        non_idempotent: the caller declared the call as non-idempotent.
    """

    request: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_s: float
    key: str | None = None
    non_idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceResult:
    """The answer of a service.

    Args:
        replayed: the answer is the record of an earlier attempt.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    replayed: bool = False


class ServiceRouter:
    """Routes the calls of plain services that reach this daemon."""

    def __init__(
        self,
        session: control.Session,
        admission: _admission.Admission,
        make_service: collections.abc.Callable[[str], targets.Service],
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
        steps: wire.FaultInjector = wire.NoFaultInjector(),
        wall_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._wall_s = wall_s
        self._session = session
        self._admission = admission
        self._budget_admission = _budget_admission.BudgetAdmission(
            session, metrics
        )
        self._make_service = make_service
        self._metrics = metrics
        self._clock = clock
        self._steps = steps
        self._guard = _fatal.QuarantineGuard(session, metrics)
        self._budgets = _retries.RetryBudgets(lambda: session.view)
        self._running_by_target: collections.Counter[str] = (
            collections.Counter()
        )
        self._detached: set[asyncio.Task] = set()

    async def call(
        self, caller: _completions.Caller, call: ServiceCall
    ) -> ServiceResult:
        """Forward a call and return its answer.

        Raises:
            ServingError: says whether the call ran and when to retry.
        """
        self._session.check_fresh()
        entry = self._resolve(caller, call.service)
        once = call.non_idempotent or _is_non_idempotent(entry.value, call)
        key_time_ms = self._validated_key_time_ms(call) if once else 0
        deadline = self._clock.now() + call.deadline_s
        tracked = _tracked(caller, call, entry.value)
        debit = self._budget_admission.admit(caller.member, None, call.request)
        entered = self._admission.enter(
            caller.member, catalogue.Kind.SERVICE, entry.id, call.deadline_s
        )
        async with entered:
            debit.take_here()
            if once:
                # A non-idempotent call is not cancelled when its caller goes
                # away, so that its outcome is still recorded.
                return await asyncio.shield(
                    self._run_detached(
                        self._call_once(
                            caller,
                            call,
                            entry.value,
                            key_time_ms,
                            deadline,
                            tracked,
                        )
                    )
                )
            return await self._call_idempotent(
                caller, call, entry.value, deadline, tracked
            )

    async def wait_settled(self) -> None:
        """Wait until all non-idempotent calls have ended and are recorded."""
        while self._detached:
            await asyncio.wait(list(self._detached))

    def _resolve(
        self, caller: _completions.Caller, service: str
    ) -> catalogue.Entry:
        entry = self._session.view.service_by_id.get(service)
        allowed = entry is not None and caller.member in (
            entry.value.owner,
            *entry.value.callers,
        )
        if not allowed:
            raise wire.NotFoundError(
                f"There is no service {service!r} that member "
                f"{caller.member} may use. Check the name, or ask its owner "
                "for access."
            )
        return entry

    def _validated_key_time_ms(self, call: ServiceCall) -> int:
        """Return the timestamp in the idempotency key of a call.

        Raises:
            IdempotencyKeyError: the key is missing or invalid, or its time is
                in the future.
        """
        if call.key is None:
            raise wire.IdempotencyKeyError(
                "This call is not idempotent and needs an Idempotency-Key: "
                "a UUID of version 7 or UNIX_SECONDS-ANYTHING. Use the same "
                "key for resends."
            )
        key_time_ms = _keys.key_time_ms(call.key)
        if key_time_ms > self._wall_s() * 1000 + MAX_CLOCK_SKEW_MS:
            raise wire.IdempotencyKeyError(
                "The time in the Idempotency-Key is in the future. Check the "
                "clock of the caller."
            )
        return key_time_ms

    # Idempotent calls

    async def _call_idempotent(
        self,
        caller: _completions.Caller,
        call: ServiceCall,
        service: catalogue.Service,
        deadline: float,
        tracked: _fatal.TrackedRequest,
    ) -> ServiceResult:
        self._budgets.record_first_try(caller.member)
        tried: set[str] = set()
        tries = 0
        may_have_run = False
        while True:
            tries += 1
            try:
                target = self._choose(call, service, tried)
                tried.add(target.id)
                reply = await self._send(
                    target, call, deadline, False, tracked
                )
                return ServiceResult(
                    reply.status, _end_to_end(reply.headers), reply.body
                )
            except wire.ServingError as error:
                if error.ran is not wire.RunStatus.NOT_RUN:
                    may_have_run = True
                elif may_have_run:
                    # This try did not run, but an earlier one may have.
                    error.ran = wire.RunStatus.UNKNOWN
                pause_s = RETRY_PAUSE_S * tries
                late = self._clock.now() + pause_s >= deadline
                if tries >= MAX_ATTEMPTS or late or not tracked.may_retry:
                    raise
                if isinstance(error, wire.QuarantinedError):
                    raise
                if not self._budgets.spend(caller.member):
                    raise
                self._metrics.count("retries", code=error.code)
                await self._clock.sleep(pause_s)
                if not self._session.fresh():
                    raise

    def _choose(
        self,
        call: ServiceCall,
        service: catalogue.Service,
        tried: set[str],
    ) -> control.TargetInfo:
        usable = [
            target
            for target in self._session.open_targets()
            if target.pool == service.pool
        ]
        if not usable:
            raise wire.OverloadError(
                f"No target of pool {service.pool} accepts work now.",
                retry_after_s=1.0,
            )
        untried = [target for target in usable if target.id not in tried]
        order = control.rendezvous(call.request, [t.id for t in usable])
        chosen = min(
            untried or usable,
            key=lambda t: (self._running_by_target[t.id], order.index(t.id)),
        )
        observe.log_decision(
            observe.Decision(
                "route",
                "Call",
                "least calls running",
                call.request,
                call.service,
                chosen.id,
            )
        )
        return chosen

    async def _send(
        self,
        target: control.TargetInfo,
        call: ServiceCall,
        deadline: float,
        once: bool,
        tracked: _fatal.TrackedRequest,
    ) -> targets.ServiceReply:
        """Send to one target, unless the request is quarantined."""
        self._guard.check(tracked)
        left_s = deadline - self._clock.now()
        async with self._guard.exclusive(tracked, left_s):
            self._guard.check(tracked)
            try:
                reply = await self._send_to(target, call, deadline, once)
            except wire.PeerTimeoutError:
                raise
            except wire.PeerLostError:
                self._guard.lost(
                    tracked, target.id, self._incarnation_name(target)
                )
                raise
            self._guard.answered(tracked, target.id, reply.status)
            return reply

    def _incarnation_name(self, target: control.TargetInfo) -> str:
        """Return a name for the incarnation of a target that was just lost.

        Without a start time in the instance list, each loss counts as that
        of another incarnation.
        """
        if targets.Incarnation.of(target.id).start_time_ms is not None:
            return target.id
        return f"{target.id}/{self._clock.now():.1f}"

    async def _send_to(
        self,
        target: control.TargetInfo,
        call: ServiceCall,
        deadline: float,
        once: bool,
    ) -> targets.ServiceReply:
        request = targets.ServiceRequest(
            call.method,
            call.path,
            _end_to_end(call.headers),
            call.body,
            max(0.05, deadline - self._clock.now()),
            once,
            self._session.fresh,
        )
        self._running_by_target[target.id] += 1
        try:
            return await self._make_service(target.address).call(request)
        finally:
            self._running_by_target[target.id] -= 1

    # Non-idempotent calls

    async def _call_once(
        self,
        caller: _completions.Caller,
        call: ServiceCall,
        service: catalogue.Service,
        key_time_ms: int,
        deadline: float,
        tracked: _fatal.TrackedRequest,
    ) -> ServiceResult:
        claim = catalogue.Claim(
            caller.member,
            call.key or "",
            key_time_ms,
            _digest(call),
            uuid.uuid4().hex,
        )
        reply = await self._claim(claim, deadline)
        if reply.state is State.WON:
            return await self._run_claimed(
                claim, call, service, deadline, tracked
            )
        return await self._replay(claim, reply, deadline)

    async def _claim(
        self, claim: catalogue.Claim, deadline: float
    ) -> catalogue.ClaimReply:
        """Claim the key, retrying until the leader replies.

        Raises:
            DeadlineError: the deadline passed first; the call was not sent.
        """
        command = catalogue.Command(claim=claim)
        started_at = self._clock.now()
        while True:
            await self._steps.reach(wire.Step.CLAIM, wire.Phase.BEFORE)
            try:
                reply = await self._session.leader.command(command)
                self._metrics.record_s("claim", self._clock.now() - started_at)
                return reply
            except wire.ServingError as error:
                if self._clock.now() + RETRY_PAUSE_S >= deadline:
                    self._record_not_run(claim)
                    raise wire.DeadlineError(
                        "The idempotency key could not be claimed in time "
                        f"({error.code}). The call was not sent.",
                        retry_after_s=1.0,
                    ) from error
                await self._clock.sleep(RETRY_PAUSE_S)

    def _record_not_run(self, claim: catalogue.Claim) -> None:
        """Record that a call has not run, in case its claim commits later.

        This frees the key.
        """
        self._record_later(
            catalogue.Record(
                claim.member, claim.key, claim.attempt, State.NOT_RUN
            )
        )

    async def _run_claimed(
        self,
        claim: catalogue.Claim,
        call: ServiceCall,
        service: catalogue.Service,
        deadline: float,
        tracked: _fatal.TrackedRequest,
    ) -> ServiceResult:
        state = State.UNKNOWN
        outcome = None
        try:
            await self._steps.reach(wire.Step.CLAIM, wire.Phase.AFTER)
            reply = await self._send_once(call, service, deadline, tracked)
            outcome = _outcome_to_record(reply)
            state = State.DONE
        except wire.PeerLostError as error:
            raise wire.UnknownOutcomeError(
                "The service's reply was lost, so the call may have run. It "
                "will not be run again under this key."
            ) from error
        except wire.ServingError as error:
            if error.ran is wire.RunStatus.NOT_RUN:
                state = State.NOT_RUN
            raise
        finally:
            record = catalogue.Record(
                claim.member, claim.key, claim.attempt, state, outcome
            )
            recording = self._record_later(record)
        # If the reply were sent before the record is committed, a resend
        # might not get the recorded outcome.
        await asyncio.wait(
            [recording], timeout=max(0.0, deadline - self._clock.now())
        )
        return ServiceResult(outcome.status, outcome.headers, reply.body)

    async def _send_once(
        self,
        call: ServiceCall,
        service: catalogue.Service,
        deadline: float,
        tracked: _fatal.TrackedRequest,
    ) -> targets.ServiceReply:
        """Try targets in turn until one may have received the call.

        Raises:
            ServingError: says whether the call may have run.
        """
        tried: set[str] = set()
        while True:
            self._session.check_fresh()
            target = self._choose(call, service, tried)
            is_last = target.id in tried or len(tried) >= MAX_ATTEMPTS
            tried.add(target.id)
            await self._steps.reach(wire.Step.SEND, wire.Phase.BEFORE)
            try:
                reply = await self._send(target, call, deadline, True, tracked)
            except wire.NotSentError:
                if is_last or self._clock.now() >= deadline:
                    raise
                continue
            await self._steps.reach(wire.Step.SEND, wire.Phase.AFTER)
            return reply

    def _record_later(self, record: catalogue.Record) -> asyncio.Task:
        return self._run_detached(self._record(record))

    def _run_detached(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Run work to its end even if the caller goes away."""
        task = asyncio.create_task(work)
        self._detached.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._detached.discard(task)
        if not task.cancelled():
            # Mark the exception as retrieved, since the caller may be gone.
            task.exception()

    async def _record(self, record: catalogue.Record) -> None:
        """Commit a record, retrying for up to RECORD_TIMEOUT_S."""
        command = catalogue.Command(record=record)
        give_up_at = self._clock.now() + RECORD_TIMEOUT_S
        await self._steps.reach(wire.Step.RECORD, wire.Phase.BEFORE)
        while self._clock.now() < give_up_at:
            with contextlib.suppress(wire.ServingError):
                await self._session.leader.command(command)
                await self._steps.reach(wire.Step.RECORD, wire.Phase.AFTER)
                return
            await self._clock.sleep(RETRY_PAUSE_S)

    async def _replay(
        self,
        claim: catalogue.Claim,
        reply: catalogue.ClaimReply,
        deadline: float,
    ) -> ServiceResult:
        """Answer a resend from the record of the first attempt.

        While that attempt still runs, polls for its outcome for a while.
        """
        wait_until = min(deadline, self._clock.now() + REPLAY_WAIT_S)
        while reply.state is State.HELD and self._clock.now() < wait_until:
            await self._clock.sleep(POLL_S)
            find = control.FindClaim(claim.member, claim.key)
            with contextlib.suppress(wire.ServingError):
                found = await self._session.leader.call(
                    control.FIND_CLAIM, find, 1.0
                )
                reply = found.claim or reply
        return _replayed(reply)


def _tracked(
    caller: _completions.Caller, call: ServiceCall, service: catalogue.Service
) -> _fatal.TrackedRequest:
    """Return the tracking state of a call.

    Its identity excludes the idempotency key, so that repeats of a call
    under new keys are recognized.
    """
    return _fatal.TrackedRequest(
        call.request,
        caller.member,
        service.pool,
        lambda: quarantine.identity(
            caller.member, call.service, call.method, call.path, call.body
        ),
        lambda: wire.RunStatus.NOT_RUN,
    )


def _replayed(reply: catalogue.ClaimReply) -> ServiceResult:
    """Return the outcome recorded for a key.

    Raises:
        ServingError: there is none for this call; the error says why.
    """
    outcome = reply.outcome
    if reply.state is State.DONE and outcome is not None:
        return ServiceResult(
            outcome.status, outcome.headers, outcome.body, True
        )
    if reply.state is State.HELD:
        raise wire.InProgressError(
            "An earlier call with this key is in progress, or its instance "
            "was lost. Retry with the same key.",
            retry_after_s=2.0,
        )
    if reply.state is State.EXPIRED:
        raise wire.IdempotencyKeyError(
            "This key has expired, so it is unknown whether the call ran. "
            "Check with the service before using a new key.",
            ran=wire.RunStatus.UNKNOWN,
        )
    if reply.state is State.OTHER_REQUEST:
        raise wire.KeyReusedError(
            "This key was used for another request. Use a new key."
        )
    if reply.state is State.NOT_RUN:
        raise wire.NotSentError(
            "The earlier call with this key was not sent. Retry with the "
            "same key.",
            retry_after_s=0.1,
        )
    raise wire.UnknownOutcomeError(
        "The outcome of the earlier call with this key is unknown. It will "
        "not be run again under this key."
    )


def _is_non_idempotent(service: catalogue.Service, call: ServiceCall) -> bool:
    """Whether the catalogue marks this call as non-idempotent."""
    return any(
        call.method == marked.method
        and call.path.startswith(marked.path_prefix)
        for marked in service.non_idempotent
    )


def _digest(call: ServiceCall) -> str:
    parts = (call.service, call.method, call.path)
    head = "\0".join(parts).encode()
    return hashlib.sha256(head + b"\0" + call.body).hexdigest()


def _end_to_end(headers: dict[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }


def _outcome_to_record(reply: targets.ServiceReply) -> catalogue.Outcome:
    """Return the outcome to record; an oversized body is omitted."""
    body = reply.body
    headers = _end_to_end(reply.headers)
    if len(body) > MAX_RECORDED_BYTES:
        body = b""
        headers["X-Body-Not-Recorded"] = "true"
    return catalogue.Outcome(reply.status, headers, body)
