"""The software versions at which the streams of pools may have begun."""

import collections
import collections.abc
import math

from bergamotsail import catalogue
from bergamotsail import observe
from bergamotsail import targets

# Streams may get this old in any pool; an older one is covered by a command.
MIN_STREAM_AGE_S = 60.0
SAMPLE_INTERVAL_S = 1.0

Propose = collections.abc.Callable[
    [catalogue.Command], collections.abc.Awaitable[object]
]


class SoftwareHistory:
    """Keeps in the log at which versions streams may have begun.

    A version is committed before a target that runs it gets its first
    request, and stays until no stream that began there can be resumed. So a
    leader knows of all versions that count, also right after its election. It
    measures how long a version has been gone itself, as clocks of replicas
    differ, and begins anew with each term.

    Args:
        machine: the state machine of this replica.
        propose: commits a command.
    """

    def __init__(
        self, machine: catalogue.CatalogueMachine, propose: Propose
    ) -> None:
        self._machine = machine
        self._propose = propose
        self._term = -1
        self._term_began_at = 0.0
        self._listed_at: dict[catalogue.StreamOrigin, float] = {}
        # Proposed to be forgotten; that may take effect at any time.
        self._forgetting: set[catalogue.StreamOrigin] = set()
        # When this replica had applied the log up to an index.
        self._applied_at: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        # What was applied up to here is older than any stream.
        self._expired_index = 0

    def sole(self, route: str) -> catalogue.StreamOrigin | None:
        """Return where each stream that a route leads to must have begun."""
        return self._machine.origins.sole(route)

    def is_sole(self, origin: catalogue.StreamOrigin) -> bool:
        """Whether all streams of a pool must have begun at this version."""
        softwares = self._machine.origins.softwares(origin.pool)
        return softwares == {origin.software}

    def is_committed(self, instance: targets.Instance) -> bool:
        """Whether a target may get requests, as its version is committed."""
        origin = _origin_of(instance)
        softwares = self._machine.origins.softwares(origin.pool)
        return origin.software in softwares and origin not in self._forgetting

    async def commit(
        self, instances: collections.abc.Iterable[targets.Instance]
    ) -> None:
        """Commit the versions of these targets."""
        missing = dict.fromkeys(
            _origin_of(instance)
            for instance in instances
            if not self.is_committed(instance)
        )
        if not missing:
            return
        note = catalogue.NoteOrigins(softwares=tuple(missing))
        await self._propose(catalogue.Command(note_origins=note))
        self._forgetting.difference_update(missing)
        for origin in missing:
            observe.log_event(
                "software",
                "noted",
                pool=origin.pool,
                software=origin.software,
                term=self._term,
            )

    def covers(self, age: catalogue.StreamAge) -> bool:
        """Whether streams of a pool may get this old."""
        return self._longest_s(age.pool) >= age.longest_s

    async def cover(self, age: catalogue.StreamAge) -> None:
        """Commit that streams of a pool may get this old.

        Rounded up to a power of two, so that few ages need a command.
        """
        if self.covers(age):
            return
        longest_s = 2.0 ** math.ceil(math.log2(age.longest_s))
        note = catalogue.NoteOrigins(
            ages=(catalogue.StreamAge(age.pool, longest_s),)
        )
        await self._propose(catalogue.Command(note_origins=note))
        observe.log_event(
            "software",
            "covered",
            pool=age.pool,
            asked_s=age.longest_s,
            longest_s=longest_s,
            term=self._term,
        )

    def begin_term(self, term: int, now: float) -> None:
        """Measure anew how long versions have been gone."""
        self._term, self._term_began_at = term, now
        self._listed_at.clear()
        self._forgetting.clear()

    def note_listed(
        self,
        instances: collections.abc.Iterable[targets.Instance],
        now: float,
    ) -> None:
        """Record the targets that the instance list has now."""
        for instance in instances:
            self._listed_at[_origin_of(instance)] = now

    def sample(self, now: float) -> None:
        """Record up to which index this replica has applied the log."""
        samples = self._applied_at
        if not samples or now - samples[-1][0] >= SAMPLE_INTERVAL_S:
            samples.append((now, self._machine.view.index))
        oldest_s = max(MIN_STREAM_AGE_S, self._machine.origins.oldest_s())
        while samples[0][0] < now - oldest_s:
            _, self._expired_index = samples.popleft()

    async def forget(self, now: float) -> None:
        """Commit that what no stream depends on any more is forgotten."""
        origins = self._machine.origins
        expired = tuple(
            origin
            for origin in origins.all()
            if now - self._listed_at.get(origin, self._term_began_at)
            > self._longest_s(origin.pool)
        )
        through_index = self._expired_index
        if not expired and not origins.has_expired(through_index):
            return
        self._forgetting.update(expired)
        forget = catalogue.ForgetOrigins(expired, through_index)
        await self._propose(catalogue.Command(forget_origins=forget))
        self._forgetting.difference_update(expired)
        observe.log_event(
            "software",
            "forgotten",
            softwares=[[o.pool, o.software] for o in expired],
            through_index=through_index,
            term=self._term,
        )

    def _longest_s(self, pool: str) -> float:
        return max(MIN_STREAM_AGE_S, self._machine.origins.longest_s(pool))


def _origin_of(instance: targets.Instance) -> catalogue.StreamOrigin:
    return catalogue.StreamOrigin(instance.pool, instance.software)
