"""How many targets ended under a request, from all daemons' words."""

import collections
import dataclasses

from bergamotsail.quarantine import _observations

# Targets that a request may end before it is held back.
MOST_ENDS = 3
# A rack or a switch takes several targets at one moment, and all that runs
# there with them; that says nothing of any one request.
SEPARATE_S = 0.25
MOST_SUSPECTS = 1_000
# No member's requests push another's out of what is remembered.
MOST_BY_MEMBER = 100
MOST_TARGETS = 16
# In the answer to a heartbeat; 35 bytes each.
MOST_TOLD = 32


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request that was lost with a target, and not served since."""

    member: str
    pool: str
    ended_at_by_target: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    served_at: float = float("-inf")

    @property
    def ends(self) -> int:
        """How many targets ended under it, one event counted once."""
        since = [
            ended_at
            for ended_at in self.ended_at_by_target.values()
            if ended_at > self.served_at
        ]
        count = 0
        last_at = float("-inf")
        for ended_at in sorted(since):
            if ended_at - last_at > SEPARATE_S:
                count += 1
                last_at = ended_at
        return count


class EndCounter:
    """Counts, by request, the targets that ended while they ran it.

    Words come late, twice and in any order; the count is the same.

    Example: a request that was lost at ``e1``, came again and was lost at
    ``e2`` has two ends, and none once it was answered in whole.
    """

    def __init__(self) -> None:
        self._suspect_by_identity: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )

    def take(
        self, observation: _observations.Observation, now: float
    ) -> Suspect:
        """Take a daemon's word and return what is known of the request."""
        suspect = self._suspect(observation)
        ended_at = now - observation.ended_ago_s
        end = observation.end
        if end is _observations.RunEnd.SERVED:
            suspect.served_at = max(suspect.served_at, ended_at)
        if end is not _observations.RunEnd.LOST:
            return suspect
        if len(suspect.ended_at_by_target) < MOST_TARGETS:
            suspect.ended_at_by_target.setdefault(observation.target, ended_at)
        return suspect

    def ends(self, identity: str) -> int:
        """Return how many targets ended under a request since it served."""
        suspect = self._suspect_by_identity.get(identity)
        return 0 if suspect is None else suspect.ends

    def suspects(self) -> tuple[str, ...]:
        """Return the latest requests that are suspected."""
        found = [
            identity
            for identity, suspect in reversed(
                self._suspect_by_identity.items()
            )
            if suspect.ends > 0
        ]
        return tuple(found[:MOST_TOLD])

    def forget(self, identity: str) -> None:
        """Begin to count anew."""
        self._suspect_by_identity.pop(identity, None)

    def forget_before(self, oldest: float) -> None:
        """Forget requests of which nothing was heard since a moment."""
        for identity, suspect in list(self._suspect_by_identity.items()):
            heard = (*suspect.ended_at_by_target.values(), suspect.served_at)
            if max(heard) < oldest:
                self.forget(identity)

    def _suspect(self, observation: _observations.Observation) -> Suspect:
        known = self._suspect_by_identity.get(observation.identity)
        if known is None:
            self._make_room(observation.member)
            known = Suspect(observation.member, observation.pool)
            self._suspect_by_identity[observation.identity] = known
        self._suspect_by_identity.move_to_end(observation.identity)
        return known

    def _make_room(self, member: str) -> None:
        """Forget the oldest of the same member, or the oldest of all."""
        own = [
            identity
            for identity, suspect in self._suspect_by_identity.items()
            if suspect.member == member
        ]
        if len(own) >= MOST_BY_MEMBER:
            self.forget(own[0])
        while len(self._suspect_by_identity) >= MOST_SUSPECTS:
            self._suspect_by_identity.popitem(last=False)
