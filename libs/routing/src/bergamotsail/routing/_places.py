"""An entry's side of placement: ask for places, give them back."""

import asyncio
import collections
import collections.abc
import dataclasses

from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail.routing import _silence
from bergamotsail.routing import _survey
from bergamotsail import wire

ASK_S = 1.5
SLACK_S = 0.15
ASK_RETRY_S = 0.05
MOST_PAUSE_S = 0.3
RELEASE_SPACING_S = 0.01
# All daemons together send about so many releases a second at most; a
# release costs the leader some 0.4 ms.
MOST_RELEASES_PER_S = 300.0
# All daemons together ask for places about so often a second at most, so
# that whoever leads next isn't asked by all at once.
MAX_ASKS_PER_S = 600.0
# Each may ask so many times at once, however many daemons there are.
MIN_BURST = 2.0
# What it may ask in so long, it may ask at once.
BURST_S = 0.5
# After a take-over a daemon may hold more than its turns. Served in order of
# arrival all would be late; those that are late wait for a turn to be spare.
LATE_PAUSE_S = 0.05
# Where a leader was lost, one request of a daemon looks for the next; the
# others look now and then.
SEARCH_PAUSE_S = 0.5
# While engines are asked what they hold, requests look so often whether one
# has named what they need.
SURVEY_POLL_S = 0.05
RELEASE_TIMEOUT_S = 0.5
MOST_RELEASES = 500
REMEMBERED = 500
REMEMBERED_S = 20.0
MOST_REDIRECTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Remembered:
    reply: placement.PlaceReply
    at: float


class LeaderMovedError(wire.ServingError):
    """Another leader was found while an answer of the old one was awaited."""

    code = "leader_moved"


class AskBudget:
    """Bounds how often a daemon asks; a token bucket.

    Args:
        per_s: gives its part of what all daemons may ask in a second.
    """

    def __init__(
        self,
        per_s: collections.abc.Callable[[], float],
        clock: wire.Clock,
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = MIN_BURST
        self._at = clock.now()

    def spare(self) -> bool:
        """Whether a turn is free now that nobody has to wait for."""
        since_s = self._clock.now() - self._at
        return self._tokens + since_s * self._per_s() >= 1.0

    def wait_s(self) -> float:
        """Take a turn; return how long to wait for it.

        Example: with 10 turns a second, of 4 calls at once two return 0
        and the others about 0.1 and 0.2.
        """
        now = self._clock.now()
        per_s = self._per_s()
        most = max(MIN_BURST, per_s * BURST_S)
        grown = self._tokens + (now - self._at) * per_s
        self._at = now
        self._tokens = min(grown, most) - 1.0
        return max(0.0, -self._tokens / per_s)


class PlacementClient:
    """Places that this daemon's requests use; an async context manager.

    Without a leader it falls back on the places it was given before: the
    engine itself refuses what it no longer holds.
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
            maxlen=MOST_RELEASES
        )
        self._remembered: collections.OrderedDict[
            tuple[str, str, str], _Remembered
        ] = collections.OrderedDict()
        self._begun: collections.deque[placement.BegunUse] = collections.deque(
            maxlen=MOST_RELEASES
        )
        self._wake = asyncio.Event()
        self._background = wire.BackgroundTasks()
        self._searching = False
        self._looking: asyncio.Task | None = None
        self._found = asyncio.Event()
        # Before it starts a daemon has heard of nobody, and that is no
        # silence.
        self._heard_at = clock.now()
        self._budget = AskBudget(
            lambda: MAX_ASKS_PER_S / self._daemons(), clock
        )

    def _daemons(self) -> int:
        """Return how many daemons share the leader, this one included."""
        return max(len(self._session.daemon_by_boot), 1)

    async def __aenter__(self) -> "PlacementClient":
        self._background.start(self._release)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._looking is not None:
            self._looking.cancel()
        await self._background.stop()

    def uses(self) -> tuple[control.Use, ...]:
        """Return what runs now, for the heartbeat."""
        return tuple(self._use_by_request.values())

    async def take(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask the leader for a place until one comes or patience ends.

        Raises:
            OverloadError: there was none in time.
        """
        started_at = self._clock.now()
        deadline = started_at + request.patience_s
        pause_s = ASK_RETRY_S
        last: wire.ServingError | None = None
        while (left_s := deadline - self._clock.now()) > 0:
            known = self._without_leader(request, left_s)
            if known is not None:
                return self._took(request, known)
            if self._looking is not None and not self._looking.done():
                await self._clock.sleep(min(SURVEY_POLL_S, left_s))
                continue
            waited_s = request.waited_s + self._clock.now() - started_at
            if waited_s > request.objective_s and not self._budget.spare():
                # It is late already; who can still be on time goes first.
                await self._clock.sleep(min(LATE_PAUSE_S, left_s))
                continue
            turn_s = self._budget.wait_s()
            if turn_s >= left_s:
                break
            if turn_s > 0.0:
                await self._clock.sleep(turn_s)
            asked = dataclasses.replace(
                request,
                patience_s=min(max(deadline - self._clock.now(), 0.0), ASK_S),
                waited_s=request.waited_s + self._clock.now() - started_at,
                releases=self._pending(),
            )
            try:
                reply = await self._ask(asked)
                self._leader_answers()
                return self._took(request, reply)
            except LeaderMovedError:
                continue
            except wire.StillWaitingError:
                self._heard_at = self._clock.now()
                continue
            except wire.NoCapacityError:
                self._heard_at = self._clock.now()
                raise
            except wire.ServingError as error:
                last = error
                self._put_back(error, asked.releases)
                if isinstance(error, wire.LoadShedError):
                    self._heard_at = self._clock.now()
                    pause_s = max(pause_s, error.retry_after_s or 0.0)
                remembered = self._recall(request)
                if remembered is not None:
                    return self._took(request, remembered)
            await self._pause(min(pause_s, left_s))
            pause_s = min(pause_s * 2, MOST_PAUSE_S)
        raise wire.OverloadError(
            "No place was found in time. Come back later.",
            retry_after_s=1.0,
        ) from last

    def _pending(self) -> placement.ReleaseRequest | None:
        """Take what is to be given back; it rides with the next call."""
        if not self._ended and not self._begun:
            return None
        ended = tuple(self._ended)
        begun = tuple(self._begun)
        self._ended.clear()
        self._begun.clear()
        return placement.ReleaseRequest(self._session.boot, ended, begun)

    def _put_back(
        self,
        error: wire.ServingError,
        releases: placement.ReleaseRequest | None,
    ) -> None:
        """Keep for the next call what surely was not read."""
        unread = (wire.NotSentError, wire.NotLeaderError, wire.LoadShedError)
        if releases is not None and isinstance(error, unread):
            self._ended.extendleft(reversed(releases.ended))
            self._begun.extendleft(reversed(releases.begun))

    async def _pause(self, pause_s: float) -> None:
        """Wait before the leader is asked again.

        One of this daemon's requests asks as soon as *pause_s* is over. The
        others wait until one of them was answered, or longer.
        """
        if not self._searching:
            self._searching = True
            try:
                await self._clock.sleep(pause_s)
            finally:
                self._searching = False
            return
        await wire.wait_event(self._found, max(pause_s, SEARCH_PAUSE_S))

    def _silent_s(self) -> float:
        """Return for how long no leader was heard, by any call."""
        heard_s = self._clock.now() - self._heard_at
        return min(heard_s, self._session.silent_s())

    def _without_leader(
        self, request: placement.PlaceRequest, left_s: float
    ) -> placement.PlaceReply | None:
        """Return a place that needs no leader while none is heard for long.

        To hold a request on that a long silence likely outlasts gains
        nothing, and it comes back too late for another try.

        Raises:
            OverloadError: none is known, and the silence likely lasts on.
        """
        silent_s = self._silent_s()
        if silent_s < _silence.LONG_S:
            if self._survey is not None:
                self._survey.forget()
            return None
        known = self._surveyed(request) or self._recall(request)
        if known is None and _silence.outlasts(silent_s, left_s):
            raise wire.OverloadError(
                "Nobody gives places at the moment. Come back later.",
                retry_after_s=_silence.retry_after_s(silent_s),
            )
        return known

    def _surveyed(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply | None:
        """Return a place at an engine that says it holds the adapter."""
        if self._survey is None:
            return None
        known = {info.id: info for info in self._session.open_targets()}
        due = self._survey.due(request.pool, known.values())
        if due and (self._looking is None or self._looking.done()):
            self._looking = asyncio.create_task(self._look(due))
        return self._survey.choose(
            request,
            known,
            self._session.view.named_version(request.model, request.adapter),
            self._daemons(),
        )

    async def _look(self, due: list[control.TargetInfo]) -> None:
        """Ask engines what they hold, and wake whom that may help."""
        assert self._survey is not None
        await self._survey.look(due)
        self._wake_waiting()

    def _leader_answers(self) -> None:
        """Wake the requests that wait until a leader answers."""
        self._heard_at = self._clock.now()
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        """Let those who wait to ask again look at once."""
        self._found.set()
        self._found = asyncio.Event()

    async def _ask(
        self, asked: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask the leader, and whom it names instead of itself."""
        address: str | None = self._session.leader.address
        last: wire.ServingError | None = None
        for _ in range(MOST_REDIRECTS + 1):
            try:
                return await self._ask_at(address, asked)
            except wire.NotLeaderError as error:
                last = error
                if error.use is None or error.use == address:
                    raise
                address = error.use
        assert last is not None
        raise last

    async def _ask_at(
        self, address: str, asked: placement.PlaceRequest
    ) -> placement.PlaceReply:
        """Ask one replica; stop when another leader is found meanwhile."""
        call = asyncio.ensure_future(
            self._transport.call(
                address, placement.PLACE, asked, asked.patience_s + SLACK_S
            )
        )
        moved = asyncio.ensure_future(self._session.leader.moved.wait())
        try:
            await asyncio.wait(
                (call, moved), return_when=asyncio.FIRST_COMPLETED
            )
            if call.done():
                return call.result()
            raise LeaderMovedError("Another leader was found. Ask it.")
        finally:
            call.cancel()
            moved.cancel()

    def _took(
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
        self._remembered[key] = _Remembered(reply, self._clock.now())
        self._remembered.move_to_end(key)
        while len(self._remembered) > REMEMBERED:
            self._remembered.popitem(last=False)
        return reply

    def _recall(
        self, request: placement.PlaceRequest
    ) -> placement.PlaceReply | None:
        """Return a place given before that may still hold the adapter."""
        key = (request.pool, request.model, request.adapter)
        found = self._remembered.get(key)
        if found is None or found.reply.target in request.avoid:
            return None
        age_s = self._clock.now() - found.at
        info = self._session.digest.target_by_id.get(found.reply.target)
        if age_s > REMEMBERED_S or info is None:
            return None
        if not self._session.takes_work(info):
            return None
        named = self._session.view.named_version(
            request.model, request.adapter
        )
        if named is not None and (found.reply.version or 0) < named:
            return None
        observe.log_event(
            "route",
            "recall",
            request=request.request,
            target=found.reply.target,
            age_s=round(age_s, 3),
            leader_silent_s=round(self._session.silent_s(), 3),
        )
        return dataclasses.replace(found.reply, reason="remembered")

    def begun(self, request: str, target: str, first_s: float) -> None:
        """Say that a target gave the first of its answer."""
        self._begun.append(placement.BegunUse(request, target, first_s))
        self._wake.set()

    def give_back(
        self, request: str, target: str, outcome: placement.UseOutcome
    ) -> None:
        """Say that a request no longer runs."""
        use = self._use_by_request.pop(request, None)
        if use is not None and outcome is placement.UseOutcome.ABSENT:
            for key in list(self._remembered):
                if key[1:] == (use.model, use.adapter):
                    del self._remembered[key]
            if self._survey is not None:
                self._survey.drop(target)
        self._ended.append(placement.EndedUse(request, target, outcome))
        self._wake.set()

    async def _release(self) -> None:
        """Send what ended in batches; a lost one is healed by heartbeats."""
        while True:
            await self._wake.wait()
            spacing_s = self._daemons() / MOST_RELEASES_PER_S
            await self._clock.sleep(max(RELEASE_SPACING_S, spacing_s))
            self._wake.clear()
            message = self._pending()
            if message is None:
                continue
            try:
                await self._transport.call(
                    self._session.leader.address,
                    placement.RELEASE,
                    message,
                    RELEASE_TIMEOUT_S,
                )
            except wire.ServingError as error:
                self._put_back(error, message)
