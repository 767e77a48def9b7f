"""The leader's part of holding back requests that end targets.

What is counted is soft state of one term, told again by daemons to whoever
leads next. Who is held back stands in the log: a restart of all would let
the request end three more targets.
"""

import asyncio
import collections
import collections.abc

from absl import logging

from bergamotsail import catalogue
from bergamotsail import observe
from bergamotsail import quarantine
from bergamotsail import wire

# A request that is held back may run again after so long, and after twice as
# long for each further target that it ends.
HOLD_S = 900.0
MOST_HOLD_S = 86_400.0
# Entries of one member; its oldest one goes first.
MOST_HELD_BY_MEMBER = 100
NOTE_TIMEOUT_S = 0.2
OPERATOR = "leader"
# One copy of a suspected request runs at a time, for so long at most.
MOST_ALONE_S = 10.0

Propose = collections.abc.Callable[
    [catalogue.Command], collections.abc.Awaitable[object]
]


class _Alone:
    """The only copy of a request that runs now."""

    def __init__(self, boot: str, since: float) -> None:
        self.boot = boot
        self.since = since
        self.over = asyncio.Event()


class Quarantine:
    """Decides for one term which requests are held back, and for how long.

    Args:
        view: gives the catalogue, in which they stand.
        propose: commits a command.
    """

    def __init__(
        self,
        term: int,
        view: collections.abc.Callable[[], catalogue.View],
        propose: Propose,
        clock: wire.Clock,
    ) -> None:
        self._term = term
        self._view = view
        self._propose = propose
        self._clock = clock
        self._counter = quarantine.EndCounter()
        self._due: dict[str, catalogue.Quarantine | None] = {}
        # When the entry at a revision was first seen, by this leader.
        self._seen_at: dict[tuple[str, int], float] = {}
        self._settling = asyncio.Lock()
        self._alone_by_identity: dict[str, _Alone] = {}

    def suspects(self) -> tuple[str, ...]:
        """Return requests of which a whole answer is worth telling."""
        return self._counter.suspects()

    async def acquire_exclusive(
        self, boot: str, identity: str, wait_s: float
    ) -> bool:
        """Return whether a daemon may run a suspected request now.

        Copies that come in one moment would each end a target before the
        first end is counted; so the others wait until it is known how the
        first one ends.
        """
        try:
            async with asyncio.timeout(wait_s):
                while (other := self._other_copy(boot, identity)) is not None:
                    await other.over.wait()
        except TimeoutError:
            return False
        return not self._is_held(identity)

    def _other_copy(self, boot: str, identity: str) -> _Alone | None:
        """Return what has to end first; None when this copy may run."""
        if self._counter.ends(identity) == 0 or self._is_held(identity):
            return None
        now = self._clock.now()
        other = self._alone_by_identity.get(identity)
        if other is not None and now - other.since <= MOST_ALONE_S:
            return other
        self._alone_by_identity[identity] = _Alone(boot, now)
        return None

    def _is_held(self, identity: str) -> bool:
        entry = self._view().quarantine_by_id.get(identity)
        return entry is not None and entry.value.held

    def _end_alone(self, boot: str, identity: str) -> None:
        """Let the next copy run, if this daemon ran the only one.

        Of a request that was served meanwhile all copies may run.
        """
        alone = self._alone_by_identity.get(identity)
        if alone is None:
            return
        if alone.boot == boot or self._counter.ends(identity) == 0:
            del self._alone_by_identity[identity]
            alone.over.set()

    async def take(
        self,
        boot: str,
        observations: collections.abc.Sequence[quarantine.Observation],
        told_at: float,
    ) -> None:
        """Take a daemon's word, and put in the log what follows from it."""
        for observation in observations:
            suspect = self._counter.take(observation, told_at)
            ended_at = told_at - observation.ended_ago_s
            self._decide(observation, suspect, ended_at)
        await self._settle()
        for observation in observations:
            self._end_alone(boot, observation.identity)

    def _decide(
        self,
        observation: quarantine.Observation,
        suspect: quarantine.Suspect,
        ended_at: float,
    ) -> None:
        if observation.end is quarantine.RunEnd.GIVEN_UP:
            return
        identity = observation.identity
        served = observation.end is quarantine.RunEnd.SERVED
        entry = self._view().quarantine_by_id.get(identity)
        observe.log_event(
            "quarantine",
            "cleared" if served else "end",
            identity=identity,
            member=observation.member,
            pool=observation.pool,
            target=observation.target,
            ends=suspect.ends,
            ended_ago_s=round(observation.ended_ago_s, 3),
        )
        if served:
            self._due.pop(identity, None)
        # What an entry of the log was made of is told again to a new leader.
        if entry is not None and ended_at <= self._known_since(entry):
            return
        if served:
            if entry is not None:
                self._due[identity] = None
            return
        if self._is_held(identity):
            return
        earlier = 0 if entry is None else entry.value.ends
        most = quarantine.MAX_ENDS if entry is None else 1
        if suspect.ends >= most:
            self._due[identity] = catalogue.Quarantine(
                suspect.member, suspect.pool, earlier + suspect.ends
            )

    def _known_since(self, entry: catalogue.Entry) -> float:
        """Return since when this leader knows an entry as it stands."""
        key = (entry.id, entry.revision)
        return self._seen_at.get(key, self._clock.now())

    async def tend(self) -> None:
        """Let requests run again in time; do what could not be done."""
        now = self._clock.now()
        self._counter.forget_before(now - quarantine.KEPT_S)
        entries = self._view().quarantine_by_id
        seen_at = {}
        for identity, entry in entries.items():
            key = (identity, entry.revision)
            seen_at[key] = since = self._seen_at.get(key, now)
            if entry.value.held and now - since >= hold_s(entry.value.ends):
                self._counter.forget(identity)
                self._due.setdefault(
                    identity,
                    catalogue.Quarantine(
                        entry.value.member,
                        entry.value.pool,
                        entry.value.ends,
                        held=False,
                    ),
                )
        self._seen_at = seen_at
        for identity, alone in list(self._alone_by_identity.items()):
            if now - alone.since > MOST_ALONE_S:
                self._end_alone(alone.boot, identity)
        for identity in _beyond(entries):
            self._due.setdefault(identity, None)
        await self._settle()

    async def _settle(self) -> None:
        """Put what is due in the log; what fails is due again."""
        if self._settling.locked():
            return
        async with self._settling:
            while self._due:
                identity, value = next(iter(self._due.items()))
                if not await self._put(identity, value):
                    return
                if self._due.get(identity) is value:
                    del self._due[identity]

    async def _put(
        self, identity: str, value: catalogue.Quarantine | None
    ) -> bool:
        text = None if value is None else wire.encode(value).decode()
        put = catalogue.Put(
            catalogue.Kind.QUARANTINE,
            identity,
            text,
            f"quarantine-{self._term}-{wire.fresh_token(identity)}",
            OPERATOR,
        )
        try:
            async with asyncio.timeout(NOTE_TIMEOUT_S):
                await self._propose(catalogue.Command(put=put))
        except (wire.ServingError, TimeoutError) as error:
            logging.info(
                "quarantine: %s is not noted yet. %r", identity, error
            )
            return False
        if value is not None and value.held:
            self._counter.forget(identity)
        observe.log_event(
            "quarantine",
            _what(value),
            identity=identity,
            ends=None if value is None else value.ends,
        )
        return True


def hold_s(ends: int) -> float:
    """Return how long a request is held that ended so many targets.

    Example: 900 s after 3 ends, 1,800 s after 4, a day at most.
    """
    further = max(ends - quarantine.MAX_ENDS, 0)
    return min(HOLD_S * 2.0**further, MOST_HOLD_S)


def _what(value: catalogue.Quarantine | None) -> str:
    if value is None:
        return "released"
    return "held" if value.held else "may_run"


def _beyond(
    entries: collections.abc.Mapping[str, catalogue.Entry],
) -> collections.abc.Iterator[str]:
    """Yield the oldest entries of members that have too many."""
    by_member: dict[str, list[catalogue.Entry]] = collections.defaultdict(list)
    for entry in entries.values():
        by_member[entry.value.member].append(entry)
    for own in by_member.values():
        own.sort(key=lambda entry: entry.revision)
        for entry in own[: max(len(own) - MOST_HELD_BY_MEMBER, 0)]:
            yield entry.id
