"""Request limits that targets name, kept by all daemons together.

A target in need says how many requests a second it takes from all daemons.
The leader keeps one token bucket for each such target. It takes from it for
each request that it places on an engine, and hands out permits for plain
services with its replies to heartbeats. A daemon without contact to the leader
takes turns instead, which need no messages.
"""

import collections
import collections.abc
import dataclasses
import random

from bergamotsail.control import _messages
from bergamotsail import limits

# Time in which a bucket fills; it holds one request at least.
BURST_S = 0.25
# A permit that is not used lapses after this time. Without that, daemons
# could save up permits and use them all at once.
PERMIT_S = 1.0
# What a daemon heard itself goes before the leader's list for this long.
OWN_NOTICE_S = 2.0
# A daemon reports for this long that a target no longer names a limit.
ENDED_REPORTED_S = 10.0
# Part of a limit that daemons without contact to the leader use together.
ALONE_PART = 0.5
MAX_TARGETS = 4096


@dataclasses.dataclass(slots=True)
class _Bucket:
    per_s: float
    heard_at: float
    level: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Add what has accrued since the last time."""
        accrued = (now - self.refilled_at) * self.per_s
        capacity = max(1.0, self.per_s * BURST_S)
        self.level = min(self.level + accrued, capacity)
        self.refilled_at = now


class TargetRates:
    """The leader's token buckets, soft state of one term.

    Example::

        >>> rates = TargetRates()
        >>> rates.note(7, [RateNotice("t1", 2.0)], now=0.0)
        ['t1']
        >>> rates.take("t1", now=0.1), rates.take("t1", now=0.6)
        (False, True)
    """

    def __init__(self) -> None:
        self._term = -1
        self._bucket_by_target: dict[str, _Bucket] = {}
        # When a daemon last heard that a target names no limit.
        self._ended_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note(
        self,
        term: int,
        notices: collections.abc.Iterable[_messages.RateNotice],
        now: float,
    ) -> list[str]:
        """Record what daemons heard; return the targets that it changes."""
        self._begin_term(term)
        return [n.target for n in notices if self._note(n, now)]

    def _begin_term(self, term: int) -> None:
        if term != self._term:
            self._term = term
            self._bucket_by_target.clear()
            self._ended_at.clear()

    def _note(self, notice: _messages.RateNotice, now: float) -> bool:
        heard_at = now - notice.heard_s
        bucket = self._bucket_by_target.get(notice.target)
        known_at = self._ended_at.get(notice.target, float("-inf"))
        if bucket is not None:
            known_at = bucket.heard_at
        if heard_at < known_at:
            return False
        if notice.per_s is None:
            self._ended_at[notice.target] = heard_at
            while len(self._ended_at) > MAX_TARGETS:
                self._ended_at.popitem(last=False)
            return self._bucket_by_target.pop(notice.target, None) is not None
        if bucket is None:
            if len(self._bucket_by_target) < MAX_TARGETS:
                # Empty, since requests may be on their way.
                self._bucket_by_target[notice.target] = _Bucket(
                    notice.per_s, heard_at, 0.0, now
                )
            return True
        bucket.refill(now)
        changed, bucket.heard_at = bucket.per_s != notice.per_s, heard_at
        bucket.per_s = notice.per_s
        return changed

    def limit(self, target: str) -> float | None:
        """Return the limit of a target, None without one."""
        bucket = self._bucket_by_target.get(target)
        return None if bucket is None else bucket.per_s

    def limited(self) -> tuple[str, ...]:
        """Return the targets with a limit."""
        return tuple(self._bucket_by_target)

    def has_token(self, target: str, now: float) -> bool:
        """Whether a target takes one more request now."""
        bucket = self._bucket_by_target.get(target)
        if bucket is None:
            return True
        bucket.refill(now)
        return bucket.level >= 1.0

    def take(self, target: str, now: float) -> bool:
        """Take one request from a target's limit; False if it has none."""
        if not self.has_token(target, now):
            return False
        bucket = self._bucket_by_target.get(target)
        if bucket is not None:
            bucket.level -= 1.0
        return True

    def permits(
        self, wanted: collections.abc.Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Take a permit for each of these limited targets that has one."""
        return tuple(
            target
            for target in wanted
            if target in self._bucket_by_target and self.take(target, now)
        )


class DaemonRates:
    """The daemon's side: notices of targets, permits and turns.

    It has no clock: callers pass the time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # The limit that a target last named, and when; None for none.
        self._notice_by_target: collections.OrderedDict[
            str, tuple[float | None, float]
        ] = collections.OrderedDict()
        self._permit_until: dict[str, float] = {}
        self._wanted: dict[str, None] = {}
        # When a turn began, and whether it has been used.
        self._turn_by_target: dict[str, tuple[float, bool]] = {}
        self._acknowledged = (-1, float("-inf"))

    def note(self, target: str, per_s: float | None, now: float) -> bool:
        """Record what a target says of its limit; return if it changed."""
        before = self._notice_by_target.get(target, (None, 0.0))[0]
        if per_s is None and target not in self._notice_by_target:
            return False
        self._notice_by_target[target] = (per_s, now)
        self._notice_by_target.move_to_end(target)
        while len(self._notice_by_target) > MAX_TARGETS:
            self._notice_by_target.popitem(last=False)
        return before != per_s

    def limit(
        self,
        info: _messages.TargetInfo,
        contact: limits.LeaderContact,
        now: float,
    ) -> float | None:
        """Return the limit of a target, None without one."""
        per_s, heard_at = self._notice_by_target.get(
            info.id, (None, float("-inf"))
        )
        is_own = now - heard_at <= OWN_NOTICE_S
        if is_own or (per_s is not None and contact.silent_s > OWN_NOTICE_S):
            return per_s
        return info.limit

    def may_send(
        self,
        info: _messages.TargetInfo,
        contact: limits.LeaderContact,
        alone: bool,
        now: float,
    ) -> bool:
        """Whether a request may be sent to a target now.

        Args:
            alone: there is no contact to the leader.
        """
        per_s = self.limit(info, contact, now)
        if per_s is None:
            return True
        if alone:
            return self._has_turn(info.id, per_s, contact.daemons, now)
        self._wanted[info.id] = None
        return self._permit_until.get(info.id, 0.0) > now

    def use(self, target: str) -> None:
        """Use up the permit or turn of a target, if it is limited."""
        self._permit_until.pop(target, None)
        if target in self._turn_by_target:
            began_at, _ = self._turn_by_target[target]
            self._turn_by_target[target] = (began_at, True)

    def _has_turn(
        self, target: str, per_s: float, daemons: int, now: float
    ) -> bool:
        """Whether this daemon has a turn that it hasn't used.

        Turns begin at random times, so that those of all daemons are spread.
        """
        if per_s == 0.0:
            return False
        period_s = max(daemons, 1) / (per_s * ALONE_PART)
        turn = self._turn_by_target.get(target)
        if turn is None:
            if len(self._turn_by_target) >= MAX_TARGETS:
                self._turn_by_target.clear()
            turn = (now + self._rng.random() * period_s, False)
        began_at, is_used = turn
        while began_at + period_s <= now:
            began_at, is_used = began_at + period_s, False
        self._turn_by_target[target] = (began_at, is_used)
        return not is_used and 0.0 <= now - began_at < PERMIT_S

    # Heartbeats.

    def pending(
        self, term: int, now: float
    ) -> tuple[_messages.RateNotice, ...]:
        """Return the notices that the leader may not have."""
        acknowledged_term, acknowledged_at = self._acknowledged
        is_new_term = term != acknowledged_term
        for target, (per_s, heard_at) in list(self._notice_by_target.items()):
            if per_s is None and now - heard_at > ENDED_REPORTED_S:
                del self._notice_by_target[target]
        return tuple(
            _messages.RateNotice(target, per_s, now - heard_at)
            for target, (per_s, heard_at) in self._notice_by_target.items()
            if is_new_term or heard_at >= acknowledged_at
        )

    def acknowledge(self, term: int, asked_term: int, sent_at: float) -> None:
        """Record that the leader has the notices of a heartbeat."""
        if term == asked_term:
            self._acknowledged = (term, sent_at)

    def take_wanted(self) -> tuple[str, ...]:
        """Return the targets for which permits are wanted, once."""
        wanted, self._wanted = tuple(self._wanted), {}
        return wanted

    def grant(
        self, permits: collections.abc.Iterable[str], now: float
    ) -> None:
        """Keep the permits of a reply until they lapse."""
        for target in permits:
            self._permit_until[target] = now + PERMIT_S
