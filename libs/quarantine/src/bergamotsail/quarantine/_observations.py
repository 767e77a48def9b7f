"""A daemon's observations of requests that were lost with their target."""

import collections
import collections.abc
import dataclasses
import enum

from bergamotsail.quarantine import _identity
from bergamotsail.quarantine import _served
from bergamotsail import wire

# Older observations are dropped: a retry after this counts as a new request.
KEPT_S = 600.0
MAX_BUFFERED = 256
# Observations in one heartbeat; about 150 bytes each, and 90 for each part.
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
        identity: shared by all retries of the request; empty if the run
            tells nothing about the whole request.
        member: owner of the request.
        target: incarnation of the target.
        parts: keys of the shared parts of its prompt, in their order.
    """

    identity: str
    member: str
    pool: str
    target: str
    parts: tuple[_identity.Key, ...] = ()

    def ids(self) -> tuple[str, ...]:
        """Return the ids of all its keys, the whole request first."""
        parts = tuple(key.id for key in self.parts)
        return (self.identity, *parts) if self.identity else parts


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedPart:
    """A part of the prompt of an observed run.

    Args:
        id: its key.
        part: its identifier in the prompt.
        served_ago_s: age of the last answer to a prompt with it, in seconds;
            None if the daemon relayed none lately.
    """

    id: str
    part: str
    served_ago_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """How a run ended, as reported to the leader.

    Args:
        identity: empty if it tells nothing about the whole request.
        ended_ago_s: age of the end when it is reported, in seconds.
        parts: shared parts of the prompt that it tells something about.
    """

    identity: str
    member: str
    pool: str
    target: str
    ended_ago_s: float
    end: RunEnd = RunEnd.LOST
    parts: tuple[ObservedPart, ...] = ()

    def keys(self) -> tuple[_identity.Key, ...]:
        """Return what it is about, the narrowest first."""
        parts = tuple(
            _identity.Key(part.id, part.part) for part in reversed(self.parts)
        )
        return (_identity.Key(self.identity), *parts)[not self.identity :]


@dataclasses.dataclass(frozen=True, slots=True)
class _NumberedObservation:
    number: int
    run: Run
    ended_at: float
    end: RunEnd
    served_at_by_part: dict[str, float]

    def report(self, now: float) -> Observation:
        """Return the observation with its age."""
        run = self.run
        return Observation(
            run.identity,
            run.member,
            run.pool,
            run.target,
            now - self.ended_at,
            self.end,
            tuple(self._part(key, now) for key in run.parts),
        )

    def _part(self, key: _identity.Key, now: float) -> ObservedPart:
        served_at = self.served_at_by_part.get(key.id)
        return ObservedPart(
            key.id,
            (key.part or "")[: _served.MAX_PART_CHARS],
            None if served_at is None else now - served_at,
        )


class Observations:
    """Buffers observations and reports each of them once per leader.

    A new leader starts without observations, so all are reported again.
    """

    def __init__(self, clock: wire.Clock = wire.LoopClock()) -> None:
        self._clock = clock
        self._buffer: collections.deque[_NumberedObservation] = (
            collections.deque()
        )
        self._number = 0
        self._reported_term = -1
        self._acknowledged_number = 0
        self._lost_locally: set[str] = set()
        self._leader_suspects: frozenset[str] = frozenset()
        self._released: frozenset[str] = frozenset()
        self.served_parts = _served.ServedParts(clock)

    @property
    def any_suspect(self) -> bool:
        """Whether any key is suspected.

        If not, callers need not compute the keys of a request.
        """
        return bool(
            self._lost_locally or self._leader_suspects or self._released
        )

    def suspected(self, key_id: str) -> bool:
        """Whether a key is a suspect, locally or at the leader."""
        return (
            key_id in self._lost_locally
            or key_id in self._leader_suspects
            or key_id in self._released
        )

    def note(self, run: Run, end: RunEnd) -> bool:
        """Record how a run ended; return whether it is to be reported.

        Ends other than losses are recorded for suspects only.
        """
        if end is RunEnd.LOST:
            self._lost_locally.update(run.ids())
        else:
            run = self._suspected_only(run)
            if not run.ids():
                return False
            if end is RunEnd.SERVED:
                self._lost_locally.difference_update(run.ids())
        self._make_room()
        self._number += 1
        self._buffer.append(
            _NumberedObservation(
                self._number,
                run,
                self._clock.now(),
                end,
                dict(self._served_at(run)),
            )
        )
        return True

    def _make_room(self) -> None:
        """Drop the oldest observation if there are too many.

        Answers go first: there are many of them while a popular part is
        suspected, and only losses can't be observed again.
        """
        if len(self._buffer) < MAX_BUFFERED:
            return
        oldest = next(
            (
                number
                for number, noted in enumerate(self._buffer)
                if noted.end is not RunEnd.LOST
            ),
            0,
        )
        del self._buffer[oldest]

    def _suspected_only(self, run: Run) -> Run:
        return dataclasses.replace(
            run,
            identity=run.identity if self.suspected(run.identity) else "",
            parts=tuple(key for key in run.parts if self.suspected(key.id)),
        )

    def _served_at(
        self, run: Run
    ) -> collections.abc.Iterator[tuple[str, float]]:
        for key in run.parts:
            served_at = self.served_parts.served_at(
                run.member, run.pool, key.part or ""
            )
            if served_at is not None:
                yield key.id, served_at

    def take_suspects(self, ids: tuple[str, ...]) -> None:
        """Replace the suspects reported by the leader."""
        self._leader_suspects = frozenset(ids)

    def take_released(self, ids: frozenset[str]) -> None:
        """Replace the keys that may run again after a quarantine."""
        self._released = ids

    def forget(self, ids: frozenset[str]) -> None:
        """Remove losses that a key explains which the leader quarantined.

        Reported again to a later leader, they would quarantine it again
        although an operator had released it, or suspect the requests that
        ran beside.
        """
        dropped = [
            noted
            for noted in self._buffer
            if not ids.isdisjoint(noted.run.ids())
        ]
        if not dropped:
            return
        explained = {
            noted.run.target for noted in dropped if noted.end is RunEnd.LOST
        }
        kept = [
            noted
            for noted in self._buffer
            if ids.isdisjoint(noted.run.ids())
            and (
                noted.end is not RunEnd.LOST
                or noted.run.target not in explained
            )
        ]
        self._buffer.clear()
        self._buffer.extend(kept)
        self._lost_locally = {
            key_id
            for noted in kept
            if noted.end is RunEnd.LOST
            for key_id in noted.run.ids()
        } & self._lost_locally

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
        return last, tuple(noted.report(now) for noted in batch)

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
