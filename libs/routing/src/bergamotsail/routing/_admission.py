"""Admission control with limits that apply across all daemons.

The leader allots each daemon a share of each limit. A request takes a unit
of every share that applies to it. When a share is exhausted the request is
queued while the session asks the leader for a larger share.
"""

import abc
import asyncio
import collections
import collections.abc
import contextlib
import dataclasses

from bergamotsail import catalogue
from bergamotsail import wire

# Shares of rate limits are in thousandths of a request per second.
MILLI = 1000
BURST_S = 1.0
POLL_S = 0.02
WANTED_WINDOW_S = 5.0
# How long queued requests stay queued after the lease has expired. Elections
# take 0.5 to 0.9 s and usually begin before the lease ends.
LEASE_GAP_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits on admission by one daemon.

    Args:
        max_waiting: maximum number of queued requests of one member.
        max_active: maximum number of requests of all members, queued ones
            included.
        max_wait_s: maximum time in the queue.
        usual_run_bound_s: usual bound on the remaining run time of admitted
            requests that is announced to the leader. A request with a later
            deadline waits until the leader has confirmed a later bound.
    """

    max_waiting: int = 200
    max_active: int = 2000
    max_wait_s: float = 10.0
    usual_run_bound_s: float = 33.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    keys: tuple[str, ...]
    deadline: float
    ready: asyncio.Future

    @property
    def admitted(self) -> bool:
        """Whether it has taken its units."""
        ready = self.ready
        ended = ready.done() and not ready.cancelled()
        return ended and ready.exception() is None


class _Share(abc.ABC):
    """The part of one limit that this daemon may use.

    Args:
        share: the amount that the leader allotted.
        wanted: the recent demand.
    """

    def __init__(self) -> None:
        self.share = 0
        self.wanted = 0
        self.wanted_at = float("-inf")

    @abc.abstractmethod
    def record_wanted(self, amount: int, now: float) -> None:
        """Record demand."""

    @abc.abstractmethod
    def can_take(self, now: float) -> bool:
        """Whether a unit is available."""

    @abc.abstractmethod
    def take(self, now: float) -> None:
        """Take a unit."""

    @abc.abstractmethod
    def give_back(self) -> None:
        """Return a unit; a no-op for rate limits."""

    @abc.abstractmethod
    def held(self) -> int:
        """Return the amount that the leader must count as in use here."""

    @abc.abstractmethod
    def set_share(self, share: int, now: float) -> None:
        """Replace the share."""


class _Concurrency(_Share):
    """A share of a concurrency limit."""

    def __init__(self) -> None:
        super().__init__()
        self.used = 0

    def record_wanted(self, amount: int, now: float) -> None:
        # Keep the recent peak, so that the share does not oscillate.
        if amount >= self.wanted or now - self.wanted_at > WANTED_WINDOW_S:
            self.wanted = amount
            self.wanted_at = now

    def can_take(self, now: float) -> bool:
        return self.used < self.share

    def take(self, now: float) -> None:
        self.used += 1

    def give_back(self) -> None:
        self.used -= 1

    def held(self) -> int:
        return max(self.share, self.used)

    def set_share(self, share: int, now: float) -> None:
        self.share = share


class _Rate(_Share):
    """A share of a rate limit: a token bucket that starts empty.

    If the bucket started full, moving a share between daemons would allow
    more than the limit.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens = 0.0
        self._filled_at = 0.0

    def record_wanted(self, amount: int, now: float) -> None:
        self.wanted = max(amount, self.wanted)
        self.wanted_at = now

    def can_take(self, now: float) -> bool:
        self._refill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> None:
        self._tokens -= 1.0

    def give_back(self) -> None:
        return None

    def held(self) -> int:
        return self.share

    def set_share(self, share: int, now: float) -> None:
        self._refill(now)
        self.share = share
        if share == 0:
            self._tokens = 0.0

    def _refill(self, now: float) -> None:
        rate = self.share / MILLI
        filled = self._tokens + rate * (now - self._filled_at)
        self._tokens = min(filled, max(1.0, rate * BURST_S))
        self._filled_at = now


class Admission:
    """Admission control for the requests of this daemon.

    Args:
        view: returns the current catalogue.
        check_lease: raises LeaseLostError once the daemon's lease has expired.
        kick: requests an early heartbeat.
    """

    def __init__(
        self,
        view: collections.abc.Callable[[], catalogue.View],
        check_lease: collections.abc.Callable[[], None],
        kick: collections.abc.Callable[[], None],
        settings: AdmissionSettings,
        clock: wire.Clock = wire.LoopClock(),
    ) -> None:
        self._view = view
        self._check_lease = check_lease
        self._kick = kick
        self._settings = settings
        self._clock = clock
        self._share_by_key: dict[str, _Share] = {}
        self._waiting_by_member: dict[str, list[_Waiter]] = (
            collections.defaultdict(list)
        )
        self.active = 0
        self._deadlines: list[float] = []
        # Time by which all admitted requests will have ended: the bound that
        # the leader has confirmed, and the bound that was sent last.
        self._confirmed_bound = float("-inf")
        self._sent_bound = float("-inf")
        # When the lease was first seen to be expired; None while it is valid.
        self._lapsed_at: float | None = None

    @contextlib.asynccontextmanager
    async def enter(
        self,
        member: str,
        kind: catalogue.Kind,
        entry_id: str,
        left_s: float,
    ) -> collections.abc.AsyncIterator[None]:
        """Admit a request, holding a unit of each limit that applies.

        Raises:
            LeaseLostError: the lease expired while the request was queued.
            LimitError: the member's queue is full, or no unit became
                available in time.
            OverloadError: too many requests are active.
        """
        if self.active >= self._settings.max_active:
            raise wire.OverloadError(
                "This instance is at capacity. Use another address.",
                retry_after_s=1.0,
            )
        keys = self._limit_keys(member, kind, entry_id)
        deadline = self._clock.now() + left_s
        self.active += 1
        try:
            await self._take(member, keys, deadline)
            self._deadlines.append(deadline)
            try:
                yield
            finally:
                self._deadlines.remove(deadline)
                for key in keys:
                    self._share_by_key[key].give_back()
                self._admit_waiting()
        finally:
            self.active -= 1

    def used_by_key(self) -> dict[str, int]:
        """Return the units of concurrency limits in use."""
        return {
            key: share.used
            for key, share in self._share_by_key.items()
            if isinstance(share, _Concurrency)
        }

    def held_by_key(self) -> dict[str, int]:
        """Return the amount of each limit held by this daemon."""
        return {key: share.held() for key, share in self._share_by_key.items()}

    def wanted_by_key(self) -> dict[str, int]:
        """Return the recent demand on each limit; drop unused shares."""
        now = self._clock.now()
        wanted = {}
        for key, share in list(self._share_by_key.items()):
            if now - share.wanted_at <= WANTED_WINDOW_S:
                wanted[key] = share.wanted
            elif share.held() == 0:
                del self._share_by_key[key]
        return wanted

    def declare_run_bound(self) -> float:
        """Return a bound on the time until all present requests have ended.

        The bound, in seconds, is sent to the leader with a heartbeat. If it
        is earlier than the confirmed bound, it replaces that at once, since
        the leader may have received it even if no reply arrives.
        """
        now = self._clock.now()
        waiting = [
            waiter.deadline
            for queue in self._waiting_by_member.values()
            for waiter in queue
        ]
        usual = now + self._settings.usual_run_bound_s
        self._sent_bound = max([usual, *self._deadlines, *waiting])
        self._confirmed_bound = min(self._confirmed_bound, self._sent_bound)
        return self._sent_bound - now

    def confirm_run_bound(self) -> None:
        """Note that the leader has confirmed the bound that was sent last."""
        self._confirmed_bound = self._sent_bound

    def take_shares(self, share_by_key: dict[str, int]) -> None:
        """Replace shares and admit the queued requests that they allow."""
        now = self._clock.now()
        for key, amount in share_by_key.items():
            if key in self._share_by_key:
                self._share_by_key[key].set_share(amount, now)
        self._admit_waiting()

    def _limit_keys(
        self, member: str, kind: catalogue.Kind, entry_id: str
    ) -> tuple[str, ...]:
        """Return the keys of the limits that apply."""
        view = self._view()
        keys = []
        subjects = (
            (catalogue.Kind.MEMBER, member),
            (kind, entry_id),
        )
        for subject_kind, subject_id in subjects:
            entry = view.by_kind[subject_kind].get(subject_id)
            if entry is None:
                continue
            limits = entry.value.limits
            if limits.concurrency is not None:
                keys.append(f"concurrency/{subject_kind}/{subject_id}")
            if limits.rate is not None:
                keys.append(f"rate/{subject_kind}/{subject_id}")
        return tuple(keys)

    async def _take(
        self, member: str, keys: tuple[str, ...], deadline: float
    ) -> None:
        for key in keys:
            self._share(key)
        queue = self._waiting_by_member[member]
        if not queue and self._try_take(keys, deadline):
            self._record_wanted(keys)
            return
        if len(queue) >= self._settings.max_waiting:
            raise self._limit_error(member)
        ready = asyncio.get_running_loop().create_future()
        waiter = _Waiter(keys, deadline, ready)
        queue.append(waiter)
        self._record_wanted(keys)
        self._kick()
        left_s = deadline - self._clock.now()
        wait_s = min(left_s, self._settings.max_wait_s)
        polling = asyncio.create_task(self._poll(ready))
        try:
            async with asyncio.timeout(wait_s):
                await ready
        except TimeoutError:
            # The request may have been admitted in the turn of the event
            # loop in which its wait ended; then it has its units.
            if not waiter.admitted:
                raise self._limit_error(member) from None
        except asyncio.CancelledError:
            if waiter.admitted:
                for key in keys:
                    self._share_by_key[key].give_back()
            raise
        finally:
            polling.cancel()
            if waiter in queue:
                queue.remove(waiter)

    async def _poll(self, ready: asyncio.Future) -> None:
        """Recheck the queues until *ready* is done.

        Rate limits regain tokens and the lease may expire in between.
        """
        while not ready.done():
            await self._clock.sleep(POLL_S)
            self._admit_waiting()

    def _limit_error(self, member: str) -> wire.LimitError:
        return wire.LimitError(
            f"Member {member} has reached its limit. Retry later.",
            retry_after_s=1.0,
        )

    def _share(self, key: str) -> _Share:
        if key not in self._share_by_key:
            is_rate = key.startswith("rate/")
            self._share_by_key[key] = _Rate() if is_rate else _Concurrency()
        return self._share_by_key[key]

    def _try_take(self, keys: tuple[str, ...], deadline: float) -> bool:
        now = self._clock.now()
        if keys and deadline > self._confirmed_bound:
            return False
        shares = [self._share(key) for key in keys]
        if not all(share.can_take(now) for share in shares):
            return False
        for share in shares:
            share.take(now)
        return True

    def _record_wanted(self, keys: tuple[str, ...]) -> None:
        now = self._clock.now()
        for key in keys:
            share = self._share(key)
            waiting = sum(
                key in waiter.keys
                for queue in self._waiting_by_member.values()
                for waiter in queue
            )
            if isinstance(share, _Rate):
                share.record_wanted(MILLI * max(1, waiting), now)
            else:
                share.record_wanted(share.used + waiting, now)

    def _admit_waiting(self) -> None:
        """Admit queued requests, or refuse all if the lease stays expired.

        The shares expire with the lease: the leader may allot them to other
        daemons from then on. So nothing is admitted without a lease, but the
        requests stay queued for LEASE_GAP_S, since a new leader usually
        renews the lease by then.
        """
        try:
            self._check_lease()
        except wire.LeaseLostError as error:
            self._on_lease_lost(error)
            return
        self._lapsed_at = None
        for queue in self._waiting_by_member.values():
            for waiter in list(queue):
                if waiter.ready.done():
                    queue.remove(waiter)
                elif self._try_take(waiter.keys, waiter.deadline):
                    queue.remove(waiter)
                    waiter.ready.set_result(None)

    def _on_lease_lost(self, error: wire.LeaseLostError) -> None:
        now = self._clock.now()
        if self._lapsed_at is None:
            self._lapsed_at = now
        if now - self._lapsed_at >= LEASE_GAP_S:
            self._lapsed_at = None
            self._refuse_waiting(error)

    def _refuse_waiting(self, error: wire.LeaseLostError) -> None:
        for queue in self._waiting_by_member.values():
            for waiter in queue:
                if not waiter.ready.done():
                    waiter.ready.set_exception(error)
            queue.clear()
