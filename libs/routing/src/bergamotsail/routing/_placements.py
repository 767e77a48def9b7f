"""Client of the placement service: acquires and releases placements."""

import asyncio
import collections
import collections.abc
import dataclasses

from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.routing import _budget_admission
from bergamotsail.routing import _silence
from bergamotsail.routing import _survey
from bergamotsail import wire

ASK_TIMEOUT_S = 1.5
ASK_MARGIN_S = 0.15
ASK_RETRY_S = 0.05
MAX_RETRY_PAUSE_S = 0.3
RETRY_AFTER_S = 1.0
RELEASE_SPACING_S = 0.01
# Approximate limit of release messages of all daemons together; the leader
# needs about 0.4 ms to process a release.
MAX_RELEASES_PER_S = 300.0
# Limit for all daemons together until a replica says how many calls it has
# time for, so that a new leader is not flooded with placement requests.
MAX_ASKS_PER_S = 600.0
# Minimum burst size of a daemon, however small its share of the rate is.
MIN_BURST = 2.0
# Burst size, as the time in which a daemon's rate admits as many requests.
BURST_S = 0.5
# After a leader change a daemon may hold more requests than its rate admits.
# Served in order of arrival, all would miss their objective. So requests that
# have already missed it poll for a spare token at this interval.
LATE_POLL_S = 0.05
# After the leader is lost, one request of each daemon probes for the next
# leader; the others retry at this interval.
LEADER_POLL_S = 0.5
# While a survey of the engines runs, requests check its results this often.
SURVEY_POLL_S = 0.05
RELEASE_TIMEOUT_S = 0.5
MAX_QUEUED_RELEASES = 500
MAX_CACHED = 500
CACHE_TTL_S = 20.0
MAX_REDIRECTS = 2
# Errors after which the leader has certainly not processed the call.
UNPROCESSED_ERRORS = (
    wire.NotSentError,
    wire.NotLeaderError,
    wire.LoadShedError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Way:
    """Where a request is asked for a place, or releases are sent.

    Args:
        address: of the replica to call, or the leader's.
        call: the call to make.
        holds: whether the replica is called as a holder of engines.
        group: the group of engines to place a request on.
    """

    address: str
    call: wire.Call = placement.PLACE
    holds: bool = False
    group: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedPlacement:
    reply: placement.PlaceReply
    at: float


class LeaderMovedError(wire.ServingError):
    """The leader, or the way to it, changed while a reply was pending."""

    code = "leader_moved"


class AskRateLimiter:
    """Token bucket that limits a daemon's rate of placement requests.

    Args:
        per_s: returns this daemon's share of the rate of all daemons, in
            requests per second.
    """

    def __init__(
        self,
        per_s: collections.abc.Callable[[], float],
        clock: wire.Clock,
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = MIN_BURST
        self._refilled_at = clock.now()

    def has_token(self) -> bool:
        """Whether a token is available without waiting."""
        since_s = self._clock.now() - self._refilled_at
        return self._tokens + since_s * self._per_s() >= 1.0

    def wait_s(self) -> float:
        """Return the wait for the next token, in seconds."""
        since_s = self._clock.now() - self._refilled_at
        per_s = self._per_s()
        return max(0.0, (1.0 - self._tokens - since_s * per_s) / per_s)

    def reserve(self, max_wait_s: float) -> float | None:
        """Take a token and return how long to wait before using it.

        No token is taken if the wait would not be under *max_wait_s*; the
        result is then None. Otherwise each request that gives up would
        lengthen the wait of the next one, and a daemon with more requests
        than its rate admits would soon refuse all of them.

        Example: at 10 tokens a second, of 4 simultaneous calls two return 0
        and the others about 0.1 and 0.2.
        """
        now = self._clock.now()
        per_s = self._per_s()
        capacity = max(MIN_BURST, per_s * BURST_S)
        refilled = self._tokens + (now - self._refilled_at) * per_s
        self._refilled_at = now
        self._tokens = min(refilled, capacity)
        wait_s = max(0.0, (1.0 - self._tokens) / per_s)
        if wait_s >= max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s


class PlacementClient:
    """Placements in use by this daemon's requests.

    An async context manager; while it is entered it sends releases to the
    leader in the background. Without a leader it falls back on cached
    placements, which is safe because an engine refuses requests for an
    adapter that it no longer holds.
    """

    def __init__(
        self,
        session: control.Session,
        transport: wire.PeerTransport,
        clock: wire.Clock = wire.LoopClock(),
        survey: _survey.Survey | None = None,
    ) -> None:
        self._session = session
        self._survey = survey
        self._transport = transport
        self._clock = clock
        self._use_by_request: dict[str, control.Use] = {}
        self._ended: collections.deque[placement.EndedUse] = collections.deque(
            maxlen=MAX_QUEUED_RELEASES
        )
        self._cache: collections.OrderedDict[
            tuple[str, str, str], _CachedPlacement
        ] = collections.OrderedDict()
        self._begun: collections.deque[placement.BegunUse] = collections.deque(
            maxlen=MAX_QUEUED_RELEASES
        )
        self._wake = asyncio.Event()
        self._background = wire.BackgroundTasks()
        self._probing = False
        self._survey_task: asyncio.Task | None = None
        self._retry_now = asyncio.Event()
        # A daemon that has just started has not lost its leader.
        self._leader_heard_at = clock.now()
        # Rates of asks, by the group of engines; None for the leader.
        self._limiter_by_group: dict[int | None, AskRateLimiter] = {}
        # Groups without an engine for a pool and software, for a version of
        # the digest and a number of groups.
        self._suitable_at = (0, 0, 0)
        self._unsuitable_by_need: dict[
            tuple[str, str | None], frozenset[int]
        ] = {}

    def _limiter(self, group: int | None) -> AskRateLimiter:
        """Return the limiter of asks for a group of engines."""
        if group not in self._limiter_by_group:
            self._limiter_by_group[group] = AskRateLimiter(
                lambda: self._asks_per_s(group), self._clock
            )
        return self._limiter_by_group[group]

    def _asks_per_s(self, group: int | None) -> float:
        """Return this daemon's part of the calls that a replica takes."""
        holders = self._session.holders
        per_s = None
        if group is None and len(holders) == 1:
            per_s = holders.holder(0).calls_per_s
        elif group is not None and group < len(holders):
            per_s = holders.holder(group).calls_per_s
        if per_s is None:
            per_s = MAX_ASKS_PER_S
        return per_s / self._daemon_count()

    def _daemon_count(self) -> int:
        """Return the number of daemons, including this one, at least 1."""
        return max(len(self._session.daemon_by_boot), 1)

    async def __aenter__(self) -> "PlacementClient":
        self._background.start(self._release)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._survey_task is not None:
            self._survey_task.cancel()
        await self._background.stop()

    def uses(self) -> tuple[control.Use, ...]:
        """Return the placements in use, for the heartbeat."""
        return tuple(self._use_by_request.values())

    async def acquire(
        self,
        request: placement.PlaceRequest,
        debit: _budget_admission.Debit | None = None,
    ) -> placement.PlaceReply:
        """Request a placement until one is granted or patience runs out.

        Args:
            debit: updated once the request is debited; None without a
                budget.

        Raises:
            LimitError: the member is above its limit.
            NoCapacityError: the leader refused the request.
            OverloadError: no placement was granted in time.
        """
        debit = debit or _budget_admission.Debit()
        started_at = self._clock.now()
        deadline = started_at + request.patience_s
        pause_s = ASK_RETRY_S
        last: wire.ServingError | None = None
        may_be_granted = False
        refused: set[int] = set()
        retry_after_s = RETRY_AFTER_S
        while (left_s := deadline - self._clock.now()) > 0:
            found = self._place_without_leader(request, left_s, may_be_granted)
            if found is not None:
                self._session.rates.use(found.target)
                debit.take_here()
                return self._register_use(request, found)
            if self._survey_task is not None and not self._survey_task.done():
                await self._clock.sleep(min(SURVEY_POLL_S, left_s))
                continue
            waited_s = request.waited_s + self._clock.now() - started_at
            way = self._way(request, refused)
            limiter = self._limiter(way.group)
            if waited_s > request.objective_s and not limiter.has_token():
                # Requests that can still meet their objective go first.
                await self._clock.sleep(min(LATE_POLL_S, left_s))
                continue
            delay_s = limiter.reserve(left_s)
            if delay_s is None:
                retry_after_s = limiter.wait_s()
                break
            if delay_s > 0.0:
                await self._clock.sleep(delay_s)
            call_request = dataclasses.replace(
                request,
                patience_s=min(
                    max(deadline - self._clock.now(), 0.0), ASK_TIMEOUT_S
                ),
                waited_s=request.waited_s + self._clock.now() - started_at,
                releases=self._take_releases(way),
                member=debit.member,
                cost=debit.due,
                group=self._group_id(way),
            )
            try:
                reply = await self._ask(way, call_request)
                debit.mark_taken()
                self._on_leader_reply()
                reply = dataclasses.replace(
                    reply, only_grant=not may_be_granted
                )
                return self._register_use(request, reply)
            except LeaderMovedError:
                may_be_granted = True
                continue
            except wire.StillWaitingError:
                debit.mark_taken()
                self._leader_heard_at = self._clock.now()
                continue
            except wire.NoCapacityError:
                debit.mark_taken()
                self._leader_heard_at = self._clock.now()
                if not self._may_ask_others(request, way, refused):
                    raise
                continue
            except wire.LimitError:
                self._leader_heard_at = self._clock.now()
                raise
            except wire.ServingError as error:
                last = error
                if not isinstance(error, UNPROCESSED_ERRORS):
                    may_be_granted = True
                self._requeue_releases(error, call_request.releases)
                if isinstance(error, wire.LoadShedError):
                    self._leader_heard_at = self._clock.now()
                    pause_s = max(pause_s, error.retry_after_s or 0.0)
                cached = None
                if self._may_place_alone(request, may_be_granted):
                    cached = self._cached_placement(request)
                if cached is not None:
                    self._session.rates.use(cached.target)
                    debit.take_here()
                    return self._register_use(request, cached)
            await self._wait_to_retry(min(pause_s, left_s))
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)
        raise wire.OverloadError(
            "No placement was granted in time. Retry later.",
            retry_after_s=max(retry_after_s, RETRY_AFTER_S),
        ) from last

    def _way(
        self,
        request: placement.PlaceRequest,
        refused: collections.abc.Container[int] = (),
    ) -> _Way:
        """Return where to ask for a place.

        Args:
            refused: groups of engines that have refused the request.
        """
        session = self._session
        if session.goes_through_neighbour:
            return _Way(session.leader.address)
        if len(session.holders) > 1:
            group = session.holders.choose(
                placement.group_key(request),
                {*refused, *self._unsuitable_groups(request)},
            )
            if group is not None:
                address = session.holders.address(group)
                return _Way(address, holds=True, group=group)
        gatherer = session.gatherer.address()
        if gatherer is not None:
            return _Way(gatherer, placement.PLACE_INDIRECT)
        return _Way(session.leader.address)

    def _unsuitable_groups(
        self, request: placement.PlaceRequest
    ) -> frozenset[int]:
        """Return the groups that have no engine for a request."""
        digest, groups = self._session.digest, len(self._session.holders)
        at = (digest.term, digest.version, groups)
        if at != self._suitable_at:
            self._suitable_at = at
            self._unsuitable_by_need.clear()
        need = (request.pool, request.software)
        if need not in self._unsuitable_by_need:
            suitable = control.groups_with(
                digest.target_by_id.values(), *need, groups
            )
            self._unsuitable_by_need[need] = (
                frozenset(range(groups)) - suitable
            )
        return self._unsuitable_by_need[need]

    def _group_id(self, way: _Way) -> str:
        if way.group is None:
            return ""
        return control.group_id(way.group, len(self._session.holders))

    def _may_ask_others(
        self, request: placement.PlaceRequest, way: _Way, refused: set[int]
    ) -> bool:
        """Whether a refused request may be asked for at another group.

        Only some engines run the software that a resumed stream needs, and
        the group that refused may have none of them.
        """
        if way.group is None or request.software is None:
            return False
        refused.add(way.group)
        return len(refused) < len(self._session.holders)

    def _take_releases(
        self, way: _Way | None = None
    ) -> placement.ReleaseRequest | None:
        """Take the queued releases, to be sent with the next call.

        Args:
            way: takes only those of the engines that this replica holds;
                None for all.
        """
        ended, begun = tuple(self._ended), tuple(self._begun)
        if way is not None and way.holds:
            address_for = self._session.holders.address_for
            ended = tuple(
                e for e in ended if address_for(e.target) == way.address
            )
            begun = tuple(
                b for b in begun if address_for(b.target) == way.address
            )
        if not ended and not begun:
            return None
        self._drop_queued(ended, begun)
        return placement.ReleaseRequest(self._session.boot, ended, begun)

    def _drop_queued(
        self,
        ended: tuple[placement.EndedUse, ...],
        begun: tuple[placement.BegunUse, ...],
    ) -> None:
        """Remove releases that are sent from the queues."""
        if len(ended) == len(self._ended) and len(begun) == len(self._begun):
            self._ended.clear()
            self._begun.clear()
            return
        taken: set[object] = {*ended, *begun}
        kept_ended = [each for each in self._ended if each not in taken]
        kept_begun = [each for each in self._begun if each not in taken]
        self._ended.clear()
        self._ended.extend(kept_ended)
        self._begun.clear()
        self._begun.extend(kept_begun)

    def _requeue_releases(
        self,
        error: wire.ServingError,
        releases: placement.ReleaseRequest | None,
    ) -> None:
        """Requeue releases that the leader certainly did not process."""
        if releases is not None and isinstance(error, UNPROCESSED_ERRORS):
            self._ended.extendleft(reversed(releases.ended))
            self._begun.extendleft(reversed(releases.begun))

    async def _wait_to_retry(self, pause_s: float) -> None:
        """Wait before the leader is asked again.

        One request of this daemon probes the leader after *pause_s*. The
        others wait until a reply or a survey wakes them, but no longer than
        the larger of *pause_s* and LEADER_POLL_S.
        """
        if not self._probing:
            self._probing = True
            try:
                await self._clock.sleep(pause_s)
            finally:
                self._probing = False
            return
        await wire.wait_event(self._retry_now, max(pause_s, LEADER_POLL_S))

    def _silent_s(self) -> float:
        """Return the time since any call last heard from a leader."""
        since_heard_s = self._clock.now() - self._leader_heard_at
        return min(since_heard_s, self._session.silent_s())

    def _may_place_alone(
        self, request: placement.PlaceRequest, may_be_granted: bool
    ) -> bool:
        """Whether a request may be placed without the leader.

        A leader keeps the version that it granted as the one that begins the
        stream. If its reply was lost, the stream must not begin at another.

        Args:
            may_be_granted: whether a leader may have granted the request.
        """
        if not may_be_granted or not request.stream:
            return True
        if request.software is not None:
            return True
        softwares = {
            info.software
            for info in self._session.digest.target_by_id.values()
            if info.pool == request.pool
        }
        return len(softwares) == 1

    def _place_without_leader(
        self,
        request: placement.PlaceRequest,
        left_s: float,
        may_be_granted: bool,
    ) -> placement.PlaceReply | None:
        """Return a placement found without the leader, once it is lost.

        A request that will probably time out before a leader returns is
        refused at once: holding it gains nothing and leaves its caller too
        little time for a retry.

        Raises:
            OverloadError: no placement is known, and the leader is likely
                to stay lost for longer than the request can wait.
        """
        silent_s = self._silent_s()
        if silent_s < _silence.LEADER_LOST_S:
            if self._survey is not None:
                self._survey.clear()
            return None
        known = None
        if self._may_place_alone(request, may_be_granted):
            known = self._surveyed_placement(
                request
            ) or self._cached_placement(request)
        if known is None and _silence.outlasts(silent_s, left_s):
            raise wire.OverloadError(
                "No leader is available to grant placements. Retry later.",
                retry_after_s=_silence.retry_after_s(silent_s),
            )
        return known

    def _surveyed_placement(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply | None:
        """Return a placement on an engine that reported the adapter."""
        if self._survey is None:
            return None
        known = {
            info.id: info
            for info in self._session.open_targets()
            if self._session.may_send(info)
        }
        unasked = self._survey.unasked(request.pool, known.values())
        if unasked and (self._survey_task is None or self._survey_task.done()):
            self._survey_task = asyncio.create_task(self._run_survey(unasked))
        return self._survey.choose(
            request,
            known,
            self._min_version(request),
            self._daemon_count(),
        )

    def _min_version(self, request: placement.PlaceRequest) -> int | None:
        """Return the newest version of an adapter that is known here.

        Engines may report a version that was named after the last contact
        with a leader.
        """
        versions = [
            self._session.view.named_version(request.model, request.adapter)
        ]
        if self._survey is not None:
            versions.append(
                self._survey.newest_version(request.model, request.adapter)
            )
        return max((v for v in versions if v is not None), default=None)

    async def _run_survey(self, unasked: list[control.TargetInfo]) -> None:
        """Collect reports from engines and wake the waiting requests."""
        assert self._survey is not None
        await self._survey.collect(unasked)
        self._wake_waiters()

    def _on_leader_reply(self) -> None:
        """Note a reply of the leader and wake the waiting requests."""
        self._leader_heard_at = self._clock.now()
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        """Make all requests that wait for a retry proceed now."""
        self._retry_now.set()
        self._retry_now = asyncio.Event()

    async def _ask(
        self, way: _Way, call_request: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask for a place; redirects to the actual leader are followed."""
        if way.group is not None:
            return await self._ask_holder(way, call_request)
        if way.call is placement.PLACE_INDIRECT:
            return await self._ask_through(way.address, call_request)
        address: str | None = way.address
        last: wire.ServingError | None = None
        for _ in range(MAX_REDIRECTS + 1):
            try:
                return await self._ask_at(
                    address, placement.PLACE, call_request
                )
            except wire.NotLeaderError as error:
                last = error
                if error.use is None or error.use == address:
                    raise
                address = error.use
        assert last is not None
        raise last

    async def _ask_holder(
        self, way: _Way, call_request: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask the holder of a group, which is left out for a while on failure.

        Raises:
            LeaderMovedError: another replica holds the group now.
        """
        assert way.group is not None
        holders = self._session.holders
        try:
            return await self._ask_at(way.address, way.call, call_request)
        except (wire.NotLeaderError, *control.GATHERER_ERRORS) as error:
            if holders.address(way.group) == way.address:
                holders.avoid(way.group)
            observe.log_event(
                "route",
                "avoid_holder",
                request=call_request.request,
                holder=way.address,
                group=call_request.group,
                code=error.code,
                leader_silent_s=round(self._session.silent_s(), 3),
            )
            raise

    async def _ask_through(
        self, gatherer: str, call_request: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask through a replica that gathers calls.

        It is left out for a while if it fails the call.
        """
        try:
            return await self._ask_at(
                gatherer, placement.PLACE_INDIRECT, call_request
            )
        except control.GATHERER_ERRORS as error:
            self._avoid_gatherer(gatherer, error)
            raise

    def _avoid_gatherer(self, gatherer: str, error: wire.ServingError) -> None:
        self._session.gatherer.avoid(gatherer)
        observe.log_event(
            "route",
            "avoid_gatherer",
            gatherer=gatherer,
            code=error.code,
            leader_silent_s=round(self._session.silent_s(), 3),
        )

    async def _ask_at(
        self,
        address: str,
        call: wire.Call,
        call_request: placement.PlaceRequest,
    ) -> placement.PlaceReply:
        """Ask one replica; abandon the call if it can't be answered.

        Raises:
            LeaderMovedError: the leader, or the holder of a group, changed
                before the reply came, or the leader no longer hears the
                gathering replica.
        """
        if call_request.group:
            return await self._ask_until_moved(address, call, call_request)
        asked = asyncio.ensure_future(
            self._transport.call(
                address,
                call,
                call_request,
                call_request.patience_s + ASK_MARGIN_S,
            )
        )
        events = [self._session.leader.moved]
        if call is placement.PLACE_INDIRECT:
            events.append(self._session.gatherer.moved)
        moved = [asyncio.ensure_future(event.wait()) for event in events]
        try:
            await asyncio.wait(
                (asked, *moved), return_when=asyncio.FIRST_COMPLETED
            )
            if asked.done():
                return asked.result()
            raise LeaderMovedError(
                "The leader or the replica that passes calls on changed. "
                "Ask again."
            )
        finally:
            asked.cancel()
            for waiting in moved:
                waiting.cancel()

    async def _ask_until_moved(
        self,
        address: str,
        call: wire.Call,
        call_request: placement.PlaceRequest,
    ) -> placement.PlaceReply:
        """Ask a holder; abandon the call once it no longer is one.

        Raises:
            LeaderMovedError: the group has another holder, or none.
        """
        holders = self._session.holders
        asked = asyncio.ensure_future(
            self._transport.call(
                address,
                call,
                call_request,
                call_request.patience_s + ASK_MARGIN_S,
            )
        )
        try:
            while holders.holds(address, call_request.group):
                moved = asyncio.ensure_future(holders.moved.wait())
                try:
                    await asyncio.wait(
                        (asked, moved), return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    moved.cancel()
                if asked.done():
                    return asked.result()
            raise LeaderMovedError(
                "Another replica holds these engines. Ask again."
            )
        finally:
            asked.cancel()

    def _register_use(
        self, request: placement.PlaceRequest, reply: placement.PlaceReply
    ) -> placement.PlaceReply:
        self._use_by_request[request.request] = control.Use(
            request.request,
            reply.target,
            request.model,
            request.adapter,
            request.prompt_tokens + request.output_tokens,
        )
        key = (request.pool, request.model, request.adapter)
        self._cache[key] = _CachedPlacement(reply, self._clock.now())
        self._cache.move_to_end(key)
        while len(self._cache) > MAX_CACHED:
            self._cache.popitem(last=False)
        return reply

    def _cached_placement(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply | None:
        """Return a cached placement that is probably still valid."""
        key = (request.pool, request.model, request.adapter)
        found = self._cache.get(key)
        if found is None or found.reply.target in request.avoid:
            return None
        age_s = self._clock.now() - found.at
        info = self._session.digest.target_by_id.get(found.reply.target)
        if age_s > CACHE_TTL_S or info is None:
            return None
        if not self._session.takes_work(info):
            return None
        if not self._session.may_send(info):
            return None
        if request.software not in (None, info.software):
            return None
        min_version = self._min_version(request)
        if min_version is not None and (
            (found.reply.version or 0) < min_version
        ):
            return None
        observe.log_event(
            "route",
            "recall",
            request=request.request,
            target=found.reply.target,
            version=found.reply.version,
            newest=min_version,
            age_s=round(age_s, 3),
            leader_silent_s=round(self._session.silent_s(), 3),
        )
        return dataclasses.replace(
            found.reply,
            reason="remembered",
            software=info.software,
            term=-1,
        )

    def report_begun(self, request: str, target: str, first_s: float) -> None:
        """Queue a notice that a target sent the start of its answer."""
        self._begun.append(placement.BegunUse(request, target, first_s))
        self._wake.set()

    def release(
        self, request: str, target: str, outcome: placement.UseOutcome
    ) -> None:
        """Release the placement of a request that no longer runs."""
        use = self._use_by_request.pop(request, None)
        if use is not None and outcome is placement.UseOutcome.ABSENT:
            for key in list(self._cache):
                if key[1:] == (use.model, use.adapter):
                    del self._cache[key]
            if self._survey is not None:
                self._survey.discard(target)
        self._ended.append(placement.EndedUse(request, target, outcome))
        self._wake.set()

    async def _release(self) -> None:
        """Send releases in batches; heartbeats make up for a lost batch."""
        while True:
            await self._wake.wait()
            spacing_s = self._daemon_count() / MAX_RELEASES_PER_S
            await self._clock.sleep(max(RELEASE_SPACING_S, spacing_s))
            self._wake.clear()
            for way in self._release_ways():
                await self._send_releases(way)

    def _release_ways(self) -> list[_Way]:
        """Return the replicas to which queued releases are to be sent."""
        session = self._session
        if session.goes_through_neighbour:
            return [_Way(session.leader.address, placement.RELEASE)]
        if len(session.holders) > 1:
            targets = {each.target for each in (*self._ended, *self._begun)}
            addresses = {session.holders.address_for(t) for t in targets}
            return [
                _Way(address, placement.RELEASE, holds=True)
                for address in sorted(addresses - {""})
            ]
        gatherer = session.gatherer.address()
        if gatherer is not None:
            return [_Way(gatherer, placement.RELEASE_INDIRECT)]
        return [_Way(session.leader.address, placement.RELEASE)]

    async def _send_releases(self, way: _Way) -> None:
        """Send the queued releases of the engines that a replica holds."""
        message = self._take_releases(way)
        if message is None:
            return
        try:
            await self._transport.call(
                way.address, way.call, message, RELEASE_TIMEOUT_S
            )
        except wire.ServingError as error:
            indirect = way.call is placement.RELEASE_INDIRECT
            if indirect and isinstance(error, control.GATHERER_ERRORS):
                self._avoid_gatherer(way.address, error)
            self._requeue_releases(error, message)
