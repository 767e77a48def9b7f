"""Counts of targets lost per request, from reports of all daemons."""

import collections
import dataclasses
import itertools

from bergamotsail.quarantine import _observations

_SuspectTable = collections.OrderedDict[str, "Suspect"]
# Lost targets after which a request is quarantined.
MAX_ENDS = 3
# Losses closer together than this count as one: a failed rack or switch takes
# down several targets and all their requests, whichever they are.
COINCIDENCE_WINDOW_S = 0.25
# Bounds of memory: suspects per member, members, and targets per suspect.
MAX_SUSPECTS_PER_MEMBER = 500
MAX_MEMBERS = 40
MAX_TARGETS_PER_SUSPECT = 16
# Suspects in one heartbeat reply; 35 bytes each.
MAX_REPORTED_SUSPECTS = 32


@dataclasses.dataclass(slots=True)
class Suspect:
    """Loss history of a request that was lost with a target.

    Args:
        ended_at_by_target: time of the loss, by incarnation of the target.
        served_at: latest time at which it was served.
        ends: separate losses since it was last served.
    """

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
        """Record how one run ended."""
        if observation.end is _observations.RunEnd.SERVED:
            self.served_at = max(self.served_at, ended_at)
        elif observation.end is _observations.RunEnd.LOST:
            if len(self.ended_at_by_target) < MAX_TARGETS_PER_SUSPECT:
                self.ended_at_by_target.setdefault(
                    observation.target, ended_at
                )
        self.ends = self._count()

    def _count(self) -> int:
        """Count losses since it was served; simultaneous ones count once."""
        losses = [
            ended_at
            for ended_at in self.ended_at_by_target.values()
            if ended_at > self.served_at
        ]
        count = 0
        last_at = float("-inf")
        for ended_at in sorted(losses):
            if ended_at - last_at > COINCIDENCE_WINDOW_S:
                count += 1
                last_at = ended_at
        return count

    def last_observed_at(self) -> float:
        """Return the time of the latest loss or success."""
        return max((*self.ended_at_by_target.values(), self.served_at))


class _MemberSuspects:
    """Bounded table of one member's suspects, least recently updated first.

    Most suspects were lost once, because another request crashed their
    target. They are evicted before those lost more than once.
    """

    def __init__(self) -> None:
        self.lost_once: _SuspectTable = collections.OrderedDict()
        self.lost_again: _SuspectTable = collections.OrderedDict()

    def get(self, identity: str) -> Suspect | None:
        """Return the suspect with this identity, or None."""
        return self.lost_once.get(identity) or self.lost_again.get(identity)

    def put(self, identity: str, suspect: Suspect) -> str | None:
        """Insert or update a suspect; return the evicted identity, if any."""
        self.drop(identity)
        table = self.lost_again if suspect.ends > 1 else self.lost_once
        table[identity] = suspect
        if (
            len(self.lost_once) + len(self.lost_again)
            <= MAX_SUSPECTS_PER_MEMBER
        ):
            return None
        evicted, _ = (self.lost_once or self.lost_again).popitem(last=False)
        return evicted

    def drop(self, identity: str) -> None:
        """Remove a suspect, if present."""
        self.lost_once.pop(identity, None)
        self.lost_again.pop(identity, None)

    def __len__(self) -> int:
        return len(self.lost_once) + len(self.lost_again)


class LossCounter:
    """Counts, by request, the targets that were lost while they ran it.

    Observations may arrive late, duplicated and in any order; the count is
    the same.

    Example: a request that was lost at ``e1``, retried and lost at ``e2``
    has two ends. Once it gets a complete response it has none.
    """

    def __init__(self) -> None:
        self._by_member: collections.OrderedDict[str, _MemberSuspects] = (
            collections.OrderedDict()
        )
        # Least recently updated first.
        self._member_by_identity: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._latest_suspects: tuple[str, ...] | None = ()

    def take(
        self, observation: _observations.Observation, now: float
    ) -> Suspect:
        """Record a daemon's observation and return the updated suspect."""
        identity, member = observation.identity, observation.member
        suspects = self._by_member.setdefault(member, _MemberSuspects())
        self._by_member.move_to_end(member)
        suspect = suspects.get(identity) or Suspect(member, observation.pool)
        suspect.take(observation, now - observation.ended_ago_s)
        evicted = suspects.put(identity, suspect)
        self._member_by_identity[identity] = member
        self._member_by_identity.move_to_end(identity)
        if evicted is not None:
            self._member_by_identity.pop(evicted, None)
        if len(self._by_member) > MAX_MEMBERS:
            self._forget_member(next(iter(self._by_member)))
        self._latest_suspects = None
        return suspect

    def ends(self, identity: str) -> int:
        """Return the separate losses of a request since it was served."""
        suspect = self._find(identity)
        return 0 if suspect is None else suspect.ends

    def suspects(self) -> tuple[str, ...]:
        """Return identities of the most recently updated suspects."""
        if self._latest_suspects is None:
            latest = reversed(self._member_by_identity)
            found = (
                identity for identity in latest if self.ends(identity) > 0
            )
            self._latest_suspects = tuple(
                itertools.islice(found, MAX_REPORTED_SUSPECTS)
            )
        return self._latest_suspects

    def forget(self, identity: str) -> None:
        """Remove a request, so that its count restarts at zero."""
        member = self._member_by_identity.pop(identity, None)
        if member is not None:
            self._by_member[member].drop(identity)
            self._latest_suspects = None

    def forget_before(self, oldest: float) -> None:
        """Remove requests whose latest observation is before *oldest*."""
        while self._member_by_identity:
            identity = next(iter(self._member_by_identity))
            suspect = self._find(identity)
            if suspect is not None and suspect.last_observed_at() >= oldest:
                return
            self.forget(identity)

    def _find(self, identity: str) -> Suspect | None:
        member = self._member_by_identity.get(identity)
        return (
            None if member is None else self._by_member[member].get(identity)
        )

    def _forget_member(self, member: str) -> None:
        suspects = self._by_member.pop(member)
        for identity in (*suspects.lost_once, *suspects.lost_again):
            self._member_by_identity.pop(identity, None)

    def __len__(self) -> int:
        return len(self._member_by_identity)
