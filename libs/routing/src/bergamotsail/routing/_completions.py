"""Serves model requests: authorization, admission, routing and retries."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import uuid
import zlib

from bergamotsail import catalogue
from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.routing import _admission
from bergamotsail.routing import _budget_admission
from bergamotsail.routing import _choice
from bergamotsail.routing import _retries
from bergamotsail import targets
from bergamotsail import wire

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
MAX_RESUME_S = 8.0
MAX_OWNER_CHANGE_S = 8.0
WATCH_INTERVAL_S = 0.25
PREFIX_CHARS = 64
SEPARATOR = "~"
CANCEL_TIMEOUT_S = 2.0
# Callers send text; engines count tokens.
CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """The position in an interrupted stream, encoded in its event ids."""

    target: str
    incarnation: str
    adapter: str
    stream_id: str
    number: int

    def token(self) -> str:
        """Return the event id."""
        return SEPARATOR.join(
            (
                self.target,
                self.incarnation,
                self.adapter,
                self.stream_id,
                str(self.number),
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A caller's completion request.

    Args:
        model: adapter name, or ``adapter@version``.
        deadline_s: the longest time that the caller waits, in seconds.
        resume: position of an interrupted stream to resume.
    """

    request: str
    model: str
    prompt: targets.Prompt
    deadline_s: float
    entry_class: str | None = None
    resume: ResumePoint | None = None

    @property
    def size(self) -> int:
        """Estimate of its tokens: of the prompt, and at most generated."""
        prompt_tokens = -(-len(self.prompt.text) // CHARACTERS_PER_TOKEN)
        return prompt_tokens + self.prompt.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPart:
    """A part of the answer to the caller.

    Args:
        resume: the position of this part in the stream.
        end: whether this is the last part.
    """

    text: str
    adapter: str
    resume: ResumePoint
    end: bool


def parse_resume(token: str, member: str) -> ResumePoint:
    """Parse an event id that a caller sent back.

    Raises:
        BadRequestError: it is malformed or names another member's stream.
    """
    fields = token.split(SEPARATOR)
    owner = fields[3].rpartition(":")[0] if len(fields) == 5 else ""
    if len(fields) != 5 or owner != member or not fields[4].isdigit():
        raise wire.BadRequestError(
            "Last-Event-ID must be the id of the last event received."
        )
    return ResumePoint(*fields[:4], int(fields[4]))


class CompletionRouter:
    """Serves model requests on this daemon."""

    def __init__(
        self,
        session: control.Session,
        admission: _admission.Admission,
        owners: placement.Owners,
        transport: wire.PeerTransport,
        routing: _choice.Routing,
        metrics: observe.Metrics,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._session = session
        self._admission = admission
        self._budget_admission = _budget_admission.BudgetAdmission(
            session, metrics
        )
        self._owners = owners
        self._transport = transport
        self._routing = routing
        self._metrics = metrics
        self._clock = clock
        self._budgets = _retries.RetryBudgets(lambda: session.view)

    async def complete(
        self, caller: Caller, completion: Completion
    ) -> collections.abc.AsyncIterator[AnswerPart]:
        """Yield the answer in parts; the last one has ``end`` set.

        Raises:
            ServingError: says whether the request ran and when to retry.
        """
        self._session.check_fresh()
        adapter = self.resolve(caller, completion.model)
        _check_resumed_model(completion)
        entry = self._session.view.adapter_by_id[adapter.partition("@")[0]]
        debit = self._admit(caller, completion)
        deadline = self._clock.now() + completion.deadline_s
        started_at = self._clock.now()
        entered = self._admission.enter(
            caller.member,
            catalogue.Kind.ADAPTER,
            entry.id,
            completion.deadline_s,
        )
        async with entered:
            self._budgets.record_first_try(caller.member)
            debit.take_here()
            attempt = _Attempt(
                caller,
                completion,
                adapter,
                completion.entry_class or str(entry.value.entry_class),
                deadline,
            )
            parts = self._answer(attempt)
            last_at = started_at
            try:
                async for part in parts:
                    last_at = self._record_latency(
                        part, attempt, started_at, last_at
                    )
                    yield part
            finally:
                await parts.aclose()

    def _admit(
        self, caller: Caller, completion: Completion
    ) -> _budget_admission.Debit:
        """Admit a completion; one that resumes a run was admitted before."""
        if completion.resume is not None:
            return _budget_admission.Debit()
        return self._budget_admission.admit(
            caller.member, completion.size, completion.request
        )

    def resolve(self, caller: Caller, model: str) -> str:
        """Return ``adapter@version`` for a model that the caller may use.

        Raises:
            NotFoundError: it does not exist or the caller has no access.
        """
        name, version = targets.split_name(model)
        entry = self._session.view.adapter_by_id.get(name)
        allowed = entry is not None and caller.member in (
            entry.value.owner,
            *entry.value.callers,
        )
        if not allowed:
            raise wire.NotFoundError(
                f"There is no adapter {name!r} that member {caller.member} "
                "may use. Check the name, or ask its owner for access."
            )
        version = version or entry.value.default_version
        if version not in entry.value.versions:
            raise wire.NotFoundError(
                f"Adapter {name!r} has no version {version!r}. Available: "
                f"{', '.join(sorted(entry.value.versions))}."
            )
        return targets.versioned_name(name, version)

    def _record_latency(
        self,
        part: AnswerPart,
        attempt: "_Attempt",
        started_at: float,
        last_at: float,
    ) -> float:
        """Record the latency of a part; return its time of arrival."""
        now = self._clock.now()
        labels = {
            "member": attempt.caller.member,
            "entry_class": attempt.entry_class,
        }
        if part.resume.number == 0:
            self._metrics.record_s(
                "time_to_first_token", now - started_at, **labels
            )
        else:
            self._metrics.record_s("token_gap", now - last_at, **labels)
        return now

    async def _answer(
        self, attempt: "_Attempt"
    ) -> collections.abc.AsyncIterator[AnswerPart]:
        """Try targets until one answers, then resume its stream on failure."""
        completion = attempt.completion
        if completion.resume is not None:
            attempt.point = completion.resume
            attempt.stream_id = completion.resume.stream_id
        tried: set[str] = set()
        tries = 0
        while True:
            tries += 1
            try:
                async with contextlib.aclosing(
                    self._try_target(attempt, tried)
                ) as parts:
                    async for part in parts:
                        yield part
                return
            except wire.ServingError as error:
                await self._back_off_or_raise(attempt, tries, error)

    async def _back_off_or_raise(
        self, attempt: "_Attempt", tries: int, error: wire.ServingError
    ) -> None:
        """Back off before the next try, or raise the final error.

        Args:
            tries: how many tries have failed.
        """
        now = self._clock.now()
        if error.ran is not wire.RunStatus.NOT_RUN:
            attempt.may_have_run = True
        if attempt.failing_since is None:
            attempt.failing_since = now
        if attempt.point is not None:
            exhausted = now - attempt.failing_since > MAX_RESUME_S
        else:
            exhausted = tries >= MAX_ATTEMPTS
        # A target refuses requests while its ownership changes. Nothing has
        # run, so this retry takes no budget and is limited by time only.
        owner_changing = isinstance(error, wire.NotOwnerError)
        if owner_changing:
            exhausted = now - attempt.failing_since > MAX_OWNER_CHANGE_S
            self._session.kick()
        final = exhausted or not _is_retryable(error, attempt)
        if final or now + RETRY_PAUSE_S >= attempt.deadline:
            raise self._final_error(error, attempt)
        if not owner_changing and not self._budgets.spend(
            attempt.caller.member
        ):
            self._metrics.count("retry_budget_spent")
            raise self._final_error(error, attempt)
        self._metrics.count("retries", code=error.code)
        self._log_decision("Retry", attempt, "-", error.code)
        if attempt.point is None:
            attempt.new_stream()
        pauses = 1 if owner_changing else tries
        await self._clock.sleep(RETRY_PAUSE_S * pauses)
        if not self._session.fresh():
            raise self._final_error(error, attempt)

    def _final_error(
        self, error: wire.ServingError, attempt: "_Attempt"
    ) -> wire.ServingError:
        """Log and return the error: TruncatedError once parts were sent."""
        self._metrics.count("refusals", code=error.code)
        self._log_decision("Refuse", attempt, "-", error.code)
        if attempt.point is None:
            if attempt.may_have_run and error.ran is wire.RunStatus.NOT_RUN:
                # The last try did not run, but an earlier one may have.
                error.ran = wire.RunStatus.UNKNOWN
            return error
        return wire.TruncatedError(
            "The answer was truncated and could not be resumed "
            f"({error.code}). Send the request again.",
            retry_after_s=error.retry_after_s or 1.0,
            ran=wire.RunStatus.FAILED,
        )

    async def _try_target(
        self, attempt: "_Attempt", tried: set[str]
    ) -> collections.abc.AsyncIterator[AnswerPart]:
        target, owner = self._route(attempt, tried)
        tried.add(target)
        point = attempt.point
        request = placement.RunRequest(
            attempt.completion.request,
            attempt.stream_id,
            target,
            attempt.adapter if point is None else point.adapter,
            attempt.caller.member,
            attempt.entry_class,
            attempt.completion.prompt,
            max(0.0, attempt.deadline - self._clock.now()),
            None if point is None else point.number,
            None if point is None else point.incarnation,
        )
        ended = False
        # True if the caller goes away or the deadline passes: the run is then
        # cancelled at its owner, unless the last part was received.
        given_up = True
        chunks = wire.monitored_stream(
            self._run(owner, request),
            lambda: self._stop_reason(owner, attempt),
            WATCH_INTERVAL_S,
        )
        try:
            async for chunk in chunks:
                part = self._part(attempt, request, chunk)
                if part is None:
                    continue
                ended = part.end
                yield part
            given_up = False
        except wire.ServingError as error:
            given_up = isinstance(error, wire.DeadlineError)
            raise
        finally:
            if given_up and not ended:
                self._cancel(owner, request)
            await chunks.aclose()
        if not ended:
            raise wire.TruncatedError("The answer ended without a last part.")

    def _part(
        self,
        attempt: "_Attempt",
        request: placement.RunRequest,
        chunk: targets.Chunk,
    ) -> AnswerPart | None:
        """Advance the stream by a chunk and return it as a part.

        Returns None for a chunk that was received before or that belongs to
        another stream or adapter.

        Raises:
            TruncatedError: a chunk is missing before this one.
        """
        last_number = -1 if attempt.point is None else attempt.point.number
        mismatched = (
            chunk.stream_id != request.stream_id
            or chunk.adapter != request.adapter
        )
        if mismatched or chunk.number <= last_number:
            self._metrics.count("chunks_dropped", reason="late")
            return None
        if chunk.number != last_number + 1:
            raise wire.TruncatedError(f"Chunk {last_number + 1} is missing.")
        attempt.failing_since = None
        attempt.point = ResumePoint(
            request.target,
            chunk.incarnation,
            chunk.adapter,
            chunk.stream_id,
            chunk.number,
        )
        return AnswerPart(chunk.text, chunk.adapter, attempt.point, chunk.end)

    def _route(
        self, attempt: "_Attempt", tried: set[str]
    ) -> tuple[str, control.DaemonInfo]:
        """Choose a target and find its owner."""
        if attempt.point is not None:
            target = attempt.point.target
            self._log_decision("Resume", attempt, target, "stream is there")
            return target, self._owner_of(target)
        usable = self._usable_targets(attempt)
        untried = [target for target in usable if target.id not in tried]
        prefix = zlib.crc32(
            attempt.completion.prompt.text[:PREFIX_CHARS].encode()
        )
        choice = self._routing.choose(
            attempt.adapter, untried or usable, prefix, self._clock.now()
        )
        self._log_decision("Send", attempt, choice.target.id, choice.reason)
        return choice.target.id, self._owner_of(choice.target.id)

    def _usable_targets(self, attempt: "_Attempt") -> list[control.TargetInfo]:
        name, version = targets.split_name(attempt.adapter)
        view = self._session.view
        entry = view.adapter_by_id.get(name)
        if entry is None or version not in entry.value.versions:
            raise wire.WithdrawnError(
                f"{attempt.adapter} was withdrawn while the request was "
                "waiting."
            )
        owned = view.ownership_by_target
        live = [
            target
            for target in self._session.open_targets()
            if target.pool == entry.value.pool
        ]
        usable = [
            target
            for target in live
            if target.id in owned and owned[target.id].owner is not None
        ]
        reachable = [
            target
            for target in usable
            if target.status is None or target.status.reachable
        ]
        if live and not usable:
            raise wire.NotOwnerError(
                f"No engine of pool {entry.value.pool} has an owner at the "
                "moment.",
                retry_after_s=1.0,
            )
        if not usable:
            raise wire.OverloadError(
                f"No engine of pool {entry.value.pool} accepts work now.",
                retry_after_s=1.0,
            )
        return reachable or usable

    def _owner_of(self, target: str) -> control.DaemonInfo:
        ownership = self._session.view.ownership_by_target.get(target)
        owner = None
        if ownership is not None and ownership.owner is not None:
            owner = self._session.digest.daemon_by_boot.get(ownership.owner)
        if owner is None:
            raise wire.NotOwnerError(
                f"Target {target} has no owner at the moment.",
                retry_after_s=1.0,
            )
        return owner

    def _run(
        self, owner: control.DaemonInfo, request: placement.RunRequest
    ) -> collections.abc.AsyncIterator[targets.Chunk]:
        if owner.boot == self._session.boot:
            return self._owners.run(request)
        return self._transport.stream(
            owner.address,
            placement.RUN,
            request,
            request.left_s + MAX_RESUME_S,
        )

    def _stop_reason(
        self, owner: control.DaemonInfo, attempt: "_Attempt"
    ) -> wire.ServingError | None:
        """Return the reason to stop waiting for the answer, or None."""
        if self._clock.now() >= attempt.deadline:
            return wire.DeadlineError(
                "The deadline passed before the answer was complete.",
                retry_after_s=1.0,
                ran=wire.RunStatus.UNKNOWN,
            )
        if owner.boot not in self._session.digest.daemon_by_boot:
            return wire.PeerLostError(f"Instance {owner.id} was lost.")
        return None

    def _cancel(
        self, owner: control.DaemonInfo, request: placement.RunRequest
    ) -> None:
        """Cancel a run at its owner, in the background."""
        self._metrics.count("cancelled_by_caller")
        cancel = placement.CancelRequest(request.target, request.stream_id)
        task = asyncio.create_task(self._send_cancel(owner, cancel))
        _cancel_tasks.add(task)
        task.add_done_callback(_cancel_tasks.discard)

    async def _send_cancel(
        self, owner: control.DaemonInfo, cancel: placement.CancelRequest
    ) -> None:
        with contextlib.suppress(wire.ServingError):
            if owner.boot == self._session.boot:
                await self._owners.on_cancel(cancel)
            else:
                await self._transport.call(
                    owner.address, placement.CANCEL, cancel, CANCEL_TIMEOUT_S
                )

    def _log_decision(
        self, what: str, attempt: "_Attempt", target: str, reason: str
    ) -> None:
        observe.log_decision(
            observe.Decision(
                "route",
                what,
                reason,
                attempt.completion.request,
                attempt.adapter,
                target,
            )
        )


_cancel_tasks: set[asyncio.Task] = set()


@dataclasses.dataclass(slots=True, eq=False)
class _Attempt:
    """State of a request across all its tries.

    Args:
        point: position of the last part sent to the caller, if any.
        failing_since: start of the current series of failed tries, if any.
        may_have_run: whether any failed try may have run.
    """

    caller: Caller
    completion: Completion
    adapter: str
    entry_class: str
    deadline: float
    stream_id: str = ""
    point: ResumePoint | None = None
    failing_since: float | None = None
    may_have_run: bool = False

    def __post_init__(self) -> None:
        self.new_stream()

    def new_stream(self) -> None:
        """Generate a new unique stream id that names the member."""
        self.stream_id = f"{self.caller.member}:{uuid.uuid4().hex}"


def _check_resumed_model(completion: Completion) -> None:
    """Refuse to resume a stream of another adapter or version."""
    if completion.resume is None:
        return
    name, version = targets.split_name(completion.model)
    resumed = targets.split_name(completion.resume.adapter)
    if resumed != (name, version or resumed[1]):
        raise wire.BadRequestError(
            "Last-Event-ID belongs to the answer of another model."
        )


def _is_retryable(error: wire.ServingError, attempt: _Attempt) -> bool:
    """Whether another target, or the same one later, may succeed.

    Model requests are idempotent, so a request with an unknown outcome is
    run again as long as nothing was sent to the caller.
    """
    final = (
        wire.BadRequestError,
        wire.BadMessageError,
        wire.NotFoundError,
        wire.WithdrawnError,
        wire.DeadlineError,
        wire.TooLargeError,
        wire.QuarantinedError,
        wire.LeaseLostError,
    )
    if isinstance(error, final):
        return False
    if attempt.point is not None:
        return not isinstance(error, wire.EngineError | wire.WrongAdapterError)
    return True
