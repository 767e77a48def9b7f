"""Admission within limits that hold over all entry instances together.

The leader gives each daemon a share of each limit. A request takes a unit
of every share that applies to it; when one is used up it waits its turn,
while the session asks the leader for more.
"""

import abc
import asyncio
import collections
import collections.abc
import contextlib
import dataclasses

from bergamotsail import catalogue
from bergamotsail import wire

MILLI = 1000
BURST_S = 1.0
TICK_S = 0.02
WANTED_KEPT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of one daemon's admission.

    Args:
        max_waiting: requests of one member that may wait for a share.
        max_active: requests of all members in this daemon.
        max_wait_s: the longest that a request waits for a share.
        usual_run_bound_s: the leader knows that what is admitted ends within so
            many seconds. A request with a later deadline waits until the
            leader knows of that as well.
    """

    max_waiting: int = 200
    max_active: int = 2000
    max_wait_s: float = 10.0
    usual_run_bound_s: float = 33.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    keys: tuple[str, ...]
    deadline: float
    ready: asyncio.Future


class _Share(abc.ABC):
    """The part of one limit that this daemon may use.

    Args:
        share: how much the leader gave.
        wanted: how much could be used lately.
    """

    def __init__(self) -> None:
        self.share = 0
        self.wanted = 0
        self.wanted_at = float("-inf")

    @abc.abstractmethod
    def want(self, amount: int, now: float) -> None:
        """Remember what could be used."""

    @abc.abstractmethod
    def can_take(self, now: float) -> bool:
        """Whether there is a unit to take."""

    @abc.abstractmethod
    def take(self, now: float) -> None:
        """Take a unit."""

    @abc.abstractmethod
    def give_back(self) -> None:
        """Give a unit back, if units come back."""

    @abc.abstractmethod
    def held(self) -> int:
        """Return what must count as this daemon's."""

    @abc.abstractmethod
    def set_share(self, share: int, now: float) -> None:
        """Use another share from now on."""


class _Concurrency(_Share):
    """A share of a concurrency limit."""

    def __init__(self) -> None:
        super().__init__()
        self.used = 0

    def want(self, amount: int, now: float) -> None:
        # The peak lately, so that the share does not flap.
        if amount >= self.wanted or now - self.wanted_at > WANTED_KEPT_S:
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
    """A share of a rate limit, as a token bucket that starts empty.

    A bucket that started full would let a limit be passed by moving the
    share from daemon to daemon.
    """

    def __init__(self) -> None:
        super().__init__()
        self._tokens = 0.0
        self._at = 0.0

    def want(self, amount: int, now: float) -> None:
        self.wanted = max(amount, self.wanted)
        self.wanted_at = now

    def can_take(self, now: float) -> bool:
        self._fill(now)
        return self._tokens >= 1.0

    def take(self, now: float) -> None:
        self._tokens -= 1.0

    def give_back(self) -> None:
        return None

    def held(self) -> int:
        return self.share

    def set_share(self, share: int, now: float) -> None:
        self._fill(now)
        self.share = share
        if share == 0:
            self._tokens = 0.0

    def _fill(self, now: float) -> None:
        rate = self.share / MILLI
        filled = self._tokens + rate * (now - self._at)
        self._tokens = min(filled, max(1.0, rate * BURST_S))
        self._at = now


class Admission:
    """Admits requests of this daemon.

    Args:
        view: gives the catalogue as it stands.
        check_lease: raises the typed refusal once the daemon's lease ended.
        kick: asks for a heartbeat soon.
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
        self._waiting_by_member: dict[str, list[_Waiting]] = (
            collections.defaultdict(list)
        )
        self.active = 0
        self._deadlines: list[float] = []
        # What is admitted has ended by then, as the leader knows it, and as
        # it was told last.
        self._promised_until = float("-inf")
        self._telling_until = float("-inf")

    @contextlib.asynccontextmanager
    async def enter(
        self,
        member: str,
        kind: catalogue.Kind,
        entry_id: str,
        left_s: float,
    ) -> collections.abc.AsyncIterator[None]:
        """Hold a unit of each limit that applies, while inside.

        Raises:
            LeaseLostError: the daemon's lease ended before there was a share.
            LimitError: the limit is reached and the wait is over.
            OverloadError: too many requests wait or are active.
        """
        if self.active >= self._settings.max_active:
            raise wire.OverloadError(
                "This instance is full. Use another address.",
                retry_after_s=1.0,
            )
        keys = self._keys(member, kind, entry_id)
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
                self._start_waiting()
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
        """Return the shares held."""
        return {key: share.held() for key, share in self._share_by_key.items()}

    def wanted_by_key(self) -> dict[str, int]:
        """Return the shares that could be used."""
        now = self._clock.now()
        wanted = {}
        for key, share in list(self._share_by_key.items()):
            if now - share.wanted_at <= WANTED_KEPT_S:
                wanted[key] = share.wanted
            elif share.held() == 0:
                del self._share_by_key[key]
        return wanted

    def declare_run_bound(self) -> float:
        """Return after how long all that is admitted has ended, in seconds.

        What was promised before and ends later is void: the leader may
        know this promise even if no answer comes.
        """
        now = self._clock.now()
        waiting = [
            waiting.deadline
            for queue in self._waiting_by_member.values()
            for waiting in queue
        ]
        usual = now + self._settings.usual_run_bound_s
        self._telling_until = max([usual, *self._deadlines, *waiting])
        self._promised_until = min(self._promised_until, self._telling_until)
        return self._telling_until - now

    def confirm_run_bound(self) -> None:
        """Admit what ends within the last promise, as it was taken."""
        self._promised_until = self._telling_until

    def take_shares(self, share_by_key: dict[str, int]) -> None:
        """Use these shares from now on, and start what they allow."""
        now = self._clock.now()
        for key, amount in share_by_key.items():
            if key in self._share_by_key:
                self._share_by_key[key].set_share(amount, now)
        self._start_waiting()

    def _keys(
        self, member: str, kind: catalogue.Kind, entry_id: str
    ) -> tuple[str, ...]:
        """Return the keys of the limits that apply."""
        view = self._view()
        found = []
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
                found.append(f"concurrency/{subject_kind}/{subject_id}")
            if limits.rate is not None:
                found.append(f"rate/{subject_kind}/{subject_id}")
        return tuple(found)

    async def _take(
        self, member: str, keys: tuple[str, ...], deadline: float
    ) -> None:
        for key in keys:
            self._share(key)
        queue = self._waiting_by_member[member]
        if not queue and self._try_take(keys, deadline):
            self._note_wanted(keys)
            return
        if len(queue) >= self._settings.max_waiting:
            raise self._at_limit(member)
        ready = asyncio.get_running_loop().create_future()
        waiting = _Waiting(keys, deadline, ready)
        queue.append(waiting)
        self._note_wanted(keys)
        self._kick()
        left_s = deadline - self._clock.now()
        wait_s = min(left_s, self._settings.max_wait_s)
        ticking = asyncio.create_task(self._tick(ready))
        try:
            async with asyncio.timeout(wait_s):
                await ready
        except TimeoutError:
            raise self._at_limit(member) from None
        except asyncio.CancelledError:
            self._undo_if_taken(waiting)
            raise
        finally:
            ticking.cancel()
            if waiting in queue:
                queue.remove(waiting)

    def _undo_if_taken(self, waiting: _Waiting) -> None:
        ready = waiting.ready
        taken = ready.done() and not ready.cancelled()
        if taken and ready.exception() is None:
            for key in waiting.keys:
                self._share_by_key[key].give_back()

    async def _tick(self, ready: asyncio.Future) -> None:
        """Look again as rate tokens arrive, and whether the lease holds."""
        while not ready.done():
            await self._clock.sleep(TICK_S)
            self._start_waiting()

    def _at_limit(self, member: str) -> wire.LimitError:
        return wire.LimitError(
            f"Member {member} is at its limit. Try again later.",
            retry_after_s=1.0,
        )

    def _share(self, key: str) -> _Share:
        if key not in self._share_by_key:
            is_rate = key.startswith("rate/")
            self._share_by_key[key] = _Rate() if is_rate else _Concurrency()
        return self._share_by_key[key]

    def _try_take(self, keys: tuple[str, ...], deadline: float) -> bool:
        now = self._clock.now()
        if keys and deadline > self._promised_until:
            return False
        shares = [self._share(key) for key in keys]
        if not all(share.can_take(now) for share in shares):
            return False
        for share in shares:
            share.take(now)
        return True

    def _note_wanted(self, keys: tuple[str, ...]) -> None:
        now = self._clock.now()
        for key in keys:
            share = self._share(key)
            waiting = sum(
                key in waiting.keys
                for queue in self._waiting_by_member.values()
                for waiting in queue
            )
            if isinstance(share, _Rate):
                share.want(MILLI * max(1, waiting), now)
            else:
                share.want(share.used + waiting, now)

    def _start_waiting(self) -> None:
        """Start what the shares allow, or send all elsewhere.

        A lease can end while requests wait, and the shares with it: others
        may hold them from then on.
        """
        try:
            self._check_lease()
        except wire.LeaseLostError as error:
            self._refuse_waiting(error)
            return
        for queue in self._waiting_by_member.values():
            for waiting in list(queue):
                if waiting.ready.done():
                    queue.remove(waiting)
                elif self._try_take(waiting.keys, waiting.deadline):
                    queue.remove(waiting)
                    waiting.ready.set_result(None)

    def _refuse_waiting(self, error: wire.LeaseLostError) -> None:
        for queue in self._waiting_by_member.values():
            for waiting in queue:
                if not waiting.ready.done():
                    waiting.ready.set_exception(error)
            queue.clear()
