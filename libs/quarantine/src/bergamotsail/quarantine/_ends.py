"""How many targets ended under a request, from all daemons' words."""

import collections
import dataclasses
import itertools

from bergamotsail.quarantine import _observations

_Ordered = collections.OrderedDict[str, "Suspect"]
# Targets that a request may end before it is held back.
MAX_ENDS = 3
# A rack or a switch takes several targets at one moment, and all that runs
# there with them; that says nothing of any one request.
COINCIDENCE_WINDOW_S = 0.25
# What is remembered: requests of a member, and members.
MAX_SUSPECTS_PER_MEMBER = 500
MAX_MEMBERS = 40
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

    ends: int = 0

    def take(
        self, observation: _observations.Observation, ended_at: float
    ) -> None:
        """Take how one run ended."""
        if observation.end is _observations.RunEnd.SERVED:
            self.served_at = max(self.served_at, ended_at)
        elif observation.end is _observations.RunEnd.LOST:
            if len(self.ended_at_by_target) < MOST_TARGETS:
                self.ended_at_by_target.setdefault(
                    observation.target, ended_at
                )
        self.ends = self._count()

    def _count(self) -> int:
        """Count the ends since it was served, those of one moment as one."""
        since = [
            ended_at
            for ended_at in self.ended_at_by_target.values()
            if ended_at > self.served_at
        ]
        count = 0
        last_at = float("-inf")
        for ended_at in sorted(since):
            if ended_at - last_at > COINCIDENCE_WINDOW_S:
                count += 1
                last_at = ended_at
        return count

    def heard_at(self) -> float:
        """Return when something was last heard of it."""
        return max((*self.ended_at_by_target.values(), self.served_at))


class _MemberSuspects:
    """Suspects of one member, the latest last.

    Most were lost beside another request, once; they make room before those
    that were lost again.
    """

    def __init__(self) -> None:
        self.once: _Ordered = collections.OrderedDict()
        self.again: _Ordered = collections.OrderedDict()

    def get(self, identity: str) -> Suspect | None:
        """Return a suspect, if it is known."""
        return self.once.get(identity) or self.again.get(identity)

    def put(self, identity: str, suspect: Suspect) -> str | None:
        """Put a suspect last; return who had to make room."""
        self.drop(identity)
        found = self.again if suspect.ends > 1 else self.once
        found[identity] = suspect
        if len(self.once) + len(self.again) <= MAX_SUSPECTS_PER_MEMBER:
            return None
        gone, _ = (self.once or self.again).popitem(last=False)
        return gone

    def drop(self, identity: str) -> None:
        """Forget a suspect."""
        self.once.pop(identity, None)
        self.again.pop(identity, None)

    def __len__(self) -> int:
        return len(self.once) + len(self.again)


class EndCounter:
    """Counts, by request, the targets that ended while they ran it.

    Words come late, twice and in any order; the count is the same.

    Example: a request that was lost at ``e1``, came again and was lost at
    ``e2`` has two ends, and none once it was answered in whole.
    """

    def __init__(self) -> None:
        self._by_member: collections.OrderedDict[str, _MemberSuspects] = (
            collections.OrderedDict()
        )
        # The latest last.
        self._member_by_identity: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._told: tuple[str, ...] | None = ()

    def take(
        self, observation: _observations.Observation, now: float
    ) -> Suspect:
        """Take a daemon's word and return what is known of the request."""
        identity, member = observation.identity, observation.member
        own = self._by_member.setdefault(member, _MemberSuspects())
        self._by_member.move_to_end(member)
        suspect = own.get(identity) or Suspect(member, observation.pool)
        suspect.take(observation, now - observation.ended_ago_s)
        gone = own.put(identity, suspect)
        self._member_by_identity[identity] = member
        self._member_by_identity.move_to_end(identity)
        if gone is not None:
            self._member_by_identity.pop(gone, None)
        if len(self._by_member) > MAX_MEMBERS:
            self._forget_member(next(iter(self._by_member)))
        self._told = None
        return suspect

    def ends(self, identity: str) -> int:
        """Return how many targets ended under a request since it served."""
        suspect = self._find(identity)
        return 0 if suspect is None else suspect.ends

    def suspects(self) -> tuple[str, ...]:
        """Return the latest requests that are suspected."""
        if self._told is None:
            latest = reversed(self._member_by_identity)
            found = (one for one in latest if self.ends(one) > 0)
            self._told = tuple(itertools.islice(found, MOST_TOLD))
        return self._told

    def forget(self, identity: str) -> None:
        """Begin to count anew."""
        member = self._member_by_identity.pop(identity, None)
        if member is not None:
            self._by_member[member].drop(identity)
            self._told = None

    def forget_before(self, oldest: float) -> None:
        """Forget requests of which nothing was heard since a moment."""
        while self._member_by_identity:
            identity = next(iter(self._member_by_identity))
            suspect = self._find(identity)
            if suspect is not None and suspect.heard_at() >= oldest:
                return
            self.forget(identity)

    def _find(self, identity: str) -> Suspect | None:
        member = self._member_by_identity.get(identity)
        return (
            None if member is None else self._by_member[member].get(identity)
        )

    def _forget_member(self, member: str) -> None:
        own = self._by_member.pop(member)
        for identity in (*own.once, *own.again):
            self._member_by_identity.pop(identity, None)

    def __len__(self) -> int:
        return len(self._member_by_identity)
