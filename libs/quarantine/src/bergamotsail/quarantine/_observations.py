"""A daemon's observations of requests that were lost with their target."""

import collections
import dataclasses
import enum

from bergamotsail import wire

# Older observations are dropped: a retry after this counts as a new request.
KEPT_S = 600.0
MOST_KEPT = 256
# Observations in one heartbeat; about 150 bytes each.
MOST_TOLD = 32


class RunEnd(enum.StrEnum):
    """How a run ended, as seen by the daemon that sent the request."""

    LOST = "lost"
    SERVED = "served"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request at a target.

    Args:
        identity: shared by all retries of the request.
        member: owner of the request.
        target: incarnation of the target.
    """

    identity: str
    member: str
    pool: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """How a run ended, as reported to the leader.

    Args:
        ended_ago_s: age of the end when it is reported, in seconds.
    """

    identity: str
    member: str
    pool: str
    target: str
    ended_ago_s: float
    end: RunEnd = RunEnd.LOST


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    number: int
    run: Run
    ended_at: float
    end: RunEnd


class Observations:
    """Buffers observations and reports each of them once per leader.

    A new leader starts without observations, so all are reported again.
    """

    def __init__(self, clock: wire.Clock = wire.LoopClock()) -> None:
        self._clock = clock
        self._seen: collections.deque[_Seen] = collections.deque(
            maxlen=MOST_KEPT
        )
        self._number = 0
        self._told_term = -1
        self._told_number = 0
        self._lost_here: set[str] = set()
        self._told_suspects: frozenset[str] = frozenset()

    @property
    def any_suspect(self) -> bool:
        """Whether any request is suspected.

        Without suspects no identity has to be looked up.
        """
        return bool(self._lost_here or self._told_suspects)

    def suspected(self, identity: str) -> bool:
        """Whether a request is a suspect, locally or at the leader."""
        return identity in self._lost_here or identity in self._told_suspects

    def note(self, run: Run, end: RunEnd) -> None:
        """Record how a run ended.

        Other ends than losses matter only for suspects.
        """
        if end is RunEnd.LOST:
            self._lost_here.add(run.identity)
        elif not self.suspected(run.identity):
            return
        elif end is RunEnd.SERVED:
            self._lost_here.discard(run.identity)
        self._number += 1
        self._seen.append(_Seen(self._number, run, self._clock.now(), end))

    def take_suspects(self, identities: tuple[str, ...]) -> None:
        """Replace the suspects reported by the leader."""
        self._told_suspects = frozenset(identities)

    def forget(self, identities: frozenset[str]) -> None:
        """Remove requests that the leader has quarantined.

        Reported again to a later leader, their observations would
        quarantine them again although an operator had released them.
        """
        if identities and any(
            seen.run.identity in identities for seen in self._seen
        ):
            left = [s for s in self._seen if s.run.identity not in identities]
            self._seen.clear()
            self._seen.extend(left)
            self._lost_here -= identities

    def pending(self, term: int) -> tuple[int, tuple[Observation, ...]]:
        """Return the last number and the observations to report to a leader.

        The number is for :meth:`told` once the leader has replied.
        """
        self._forget_old()
        if term != self._told_term:
            self._told_term, self._told_number = term, 0
        now = self._clock.now()
        new = [seen for seen in self._seen if seen.number > self._told_number]
        told = new[:MOST_TOLD]
        last = told[-1].number if told else self._told_number
        return last, tuple(_observation(seen, now) for seen in told)

    def told(self, term: int, number: int) -> None:
        """Mark observations up to a number as received by the leader."""
        if term == self._told_term:
            self._told_number = number

    def _forget_old(self) -> None:
        oldest = self._clock.now() - KEPT_S
        while self._seen and self._seen[0].ended_at < oldest:
            self._seen.popleft()
        if not self._seen:
            self._lost_here.clear()


def _observation(seen: _Seen, now: float) -> Observation:
    run = seen.run
    return Observation(
        run.identity,
        run.member,
        run.pool,
        run.target,
        now - seen.ended_at,
        seen.end,
    )
