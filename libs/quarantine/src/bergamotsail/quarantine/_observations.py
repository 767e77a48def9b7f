"""What one daemon saw of requests that were lost with their target."""

import collections
import dataclasses
import enum

from bergamotsail import wire

# A caller that comes back later than this begins anew.
KEPT_S = 600.0
MOST_KEPT = 256
# In one heartbeat; some 150 bytes each.
MOST_TOLD = 32


class RunEnd(enum.StrEnum):
    """How a run ended, as the daemon that sent it there saw it."""

    LOST = "lost"
    SERVED = "served"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request at a target.

    Args:
        identity: what repeats of the request share.
        member: whose request it is.
        target: the start of a target.
    """

    identity: str
    member: str
    pool: str
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """How a run ended, as it is told to the leader.

    Args:
        ended_ago_s: when it ended, in seconds before now.
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
    """Keeps what was seen, and tells each leader once.

    A leader that is new has heard nothing, so all is told again.
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
        """Whether any request is suspected; else identities don't matter."""
        return bool(self._lost_here or self._told_suspects)

    def suspected(self, identity: str) -> bool:
        """Whether a request was lost with a target, and not served since."""
        return identity in self._lost_here or identity in self._told_suspects

    def note(self, run: Run, end: RunEnd) -> None:
        """Note how a run ended, unless that says nothing new."""
        if end is RunEnd.LOST:
            self._lost_here.add(run.identity)
        elif not self.suspected(run.identity):
            return
        elif end is RunEnd.SERVED:
            self._lost_here.discard(run.identity)
        self._number += 1
        self._seen.append(_Seen(self._number, run, self._clock.now(), end))

    def take_suspects(self, identities: tuple[str, ...]) -> None:
        """Take what the leader suspects, from all daemons' words."""
        self._told_suspects = frozenset(identities)

    def forget(self, identities: frozenset[str]) -> None:
        """Forget requests that were judged.

        Told again to a later leader, they would be held back again though
        an operator let them run.
        """
        if identities and any(
            seen.run.identity in identities for seen in self._seen
        ):
            left = [s for s in self._seen if s.run.identity not in identities]
            self._seen.clear()
            self._seen.extend(left)
            self._lost_here -= identities

    def pending(self, term: int) -> tuple[int, tuple[Observation, ...]]:
        """Return what the leader of a term lacks, and the last number."""
        self._forget_old()
        if term != self._told_term:
            self._told_term, self._told_number = term, 0
        now = self._clock.now()
        new = [seen for seen in self._seen if seen.number > self._told_number]
        told = new[:MOST_TOLD]
        last = told[-1].number if told else self._told_number
        return last, tuple(_observation(seen, now) for seen in told)

    def told(self, term: int, number: int) -> None:
        """Note that the leader of a term has heard all up to a number."""
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
