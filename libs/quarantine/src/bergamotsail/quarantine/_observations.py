"""A daemon's observations of requests that were lost with their target."""

import collections
import dataclasses
import enum

from bergamotsail import wire

# Older observations are dropped: a retry after this counts as a new request.
KEPT_S = 600.0
MAX_BUFFERED = 256
# Observations in one heartbeat; about 150 bytes each.
MAX_REPORTED_OBSERVATIONS = 32


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
class _NumberedObservation:
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
        self._buffer: collections.deque[_NumberedObservation] = (
            collections.deque(maxlen=MAX_BUFFERED)
        )
        self._number = 0
        self._reported_term = -1
        self._acknowledged_number = 0
        self._lost_locally: set[str] = set()
        self._leader_suspects: frozenset[str] = frozenset()

    @property
    def any_suspect(self) -> bool:
        """Whether any request is suspected.

        If not, callers need not compute the identity of a request.
        """
        return bool(self._lost_locally or self._leader_suspects)

    def suspected(self, identity: str) -> bool:
        """Whether a request is a suspect, locally or at the leader."""
        return (
            identity in self._lost_locally or identity in self._leader_suspects
        )

    def note(self, run: Run, end: RunEnd) -> None:
        """Record how a run ended.

        Ends other than losses are recorded for suspects only.
        """
        if end is RunEnd.LOST:
            self._lost_locally.add(run.identity)
        elif not self.suspected(run.identity):
            return
        elif end is RunEnd.SERVED:
            self._lost_locally.discard(run.identity)
        self._number += 1
        self._buffer.append(
            _NumberedObservation(self._number, run, self._clock.now(), end)
        )

    def take_suspects(self, identities: tuple[str, ...]) -> None:
        """Replace the suspects reported by the leader."""
        self._leader_suspects = frozenset(identities)

    def forget(self, identities: frozenset[str]) -> None:
        """Remove requests that the leader has quarantined.

        Reported again to a later leader, their observations would
        quarantine them again although an operator had released them.
        """
        if identities and any(
            noted.run.identity in identities for noted in self._buffer
        ):
            kept = [
                noted
                for noted in self._buffer
                if noted.run.identity not in identities
            ]
            self._buffer.clear()
            self._buffer.extend(kept)
            self._lost_locally -= identities

    def pending(self, term: int) -> tuple[int, tuple[Observation, ...]]:
        """Return the last number and the observations to report to a leader.

        The number is for :meth:`acknowledge` once the leader has replied.
        """
        self._drop_expired()
        if term != self._reported_term:
            self._reported_term, self._acknowledged_number = term, 0
        now = self._clock.now()
        new = [
            noted
            for noted in self._buffer
            if noted.number > self._acknowledged_number
        ]
        batch = new[:MAX_REPORTED_OBSERVATIONS]
        last = batch[-1].number if batch else self._acknowledged_number
        return last, tuple(_observation(noted, now) for noted in batch)

    def acknowledge(self, term: int, number: int) -> None:
        """Mark observations up to a number as received by the leader."""
        if term == self._reported_term:
            self._acknowledged_number = number

    def _drop_expired(self) -> None:
        oldest = self._clock.now() - KEPT_S
        while self._buffer and self._buffer[0].ended_at < oldest:
            self._buffer.popleft()
        if not self._buffer:
            self._lost_locally.clear()


def _observation(noted: _NumberedObservation, now: float) -> Observation:
    run = noted.run
    return Observation(
        run.identity,
        run.member,
        run.pool,
        run.target,
        now - noted.ended_at,
        noted.end,
    )
