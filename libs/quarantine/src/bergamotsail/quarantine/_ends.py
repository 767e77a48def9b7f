"""Counts of targets lost per key, from reports of all daemons."""

import collections
import collections.abc
import dataclasses
import itertools

from bergamotsail.quarantine import _identity
from bergamotsail.quarantine import _observations
from bergamotsail.quarantine import _served

_SuspectTable = collections.OrderedDict[str, "Suspect"]
# Lost targets after which a key is quarantined.
MAX_ENDS = 3
# The same for a part that was answered shortly before the first loss: a
# popular part is in most prompts that another one takes down with a target.
MAX_ENDS_OF_SERVED = 5
# Losses that a part needs beyond those that one narrower key explains.
MIN_ENDS_BEYOND_NARROWER = 2
# Losses closer together than this count as one: a failed rack or switch takes
# down several targets and all their requests, whichever they are.
COINCIDENCE_WINDOW_S = 0.25
# Bounds of memory: suspects per member, members, targets per suspect, keys
# per loss, and targets whose loss is explained.
MAX_SUSPECTS_PER_MEMBER = 500
MAX_MEMBERS = 40
MAX_TARGETS_PER_SUSPECT = 16
MAX_NARROWER = 128
MAX_EXPLAINED = 512
# Suspects in one heartbeat reply; 35 bytes each.
MAX_REPORTED_SUSPECTS = 32
MAX_RANKED_SUSPECTS = 256


@dataclasses.dataclass(slots=True)
class Loss:
    """Loss of a target that ran requests with a key.

    Args:
        narrower: ids of narrower keys of these requests.
    """

    ended_at: float
    narrower: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Suspect:
    """Loss history of a key whose requests were lost with a target.

    Args:
        part: the part of the prompt; None for a whole request.
        loss_by_target: the losses, by incarnation of the target.
        served_at: latest time at which a request with it was served.
        ends: separate losses since it was last served.
    """

    member: str
    pool: str
    part: str | None = None
    loss_by_target: dict[str, Loss] = dataclasses.field(default_factory=dict)
    served_at: float = float("-inf")
    ends: int = 0

    def take_loss(
        self,
        target: str,
        ended_at: float,
        narrower: collections.abc.Iterable[str] = (),
    ) -> None:
        """Record that a target was lost."""
        loss = self.loss_by_target.get(target)
        if loss is None:
            if len(self.loss_by_target) >= MAX_TARGETS_PER_SUSPECT:
                return
            loss = self.loss_by_target[target] = Loss(ended_at)
        room = MAX_NARROWER - len(loss.narrower)
        loss.narrower.update(itertools.islice(narrower, max(room, 0)))
        self.ends = self._count()

    def take_served(self, served_at: float) -> None:
        """Record that a request with the key was served."""
        self.served_at = max(self.served_at, served_at)
        self.ends = self._count()

    def drop_loss(self, target: str) -> None:
        """Remove a loss that has another explanation."""
        if self.loss_by_target.pop(target, None) is not None:
            self.ends = self._count()

    def targets(self) -> list[str]:
        """Return the targets that were lost since it was served."""
        return [
            target
            for target, loss in self.loss_by_target.items()
            if loss.ended_at > self.served_at
        ]

    def _losses(self) -> list[Loss]:
        """Return the losses since it was served."""
        return [
            loss
            for loss in self.loss_by_target.values()
            if loss.ended_at > self.served_at
        ]

    def _count(self) -> int:
        return self.count_without("", ())

    def count_without(
        self, narrower: str, targets: collections.abc.Container[str]
    ) -> int:
        """Count losses since it was served; simultaneous ones count once.

        Args:
            narrower: a narrower key, whose requests may have caused some.
            targets: the targets that these may have crashed.
        """
        losses = sorted(
            loss.ended_at
            for target, loss in self.loss_by_target.items()
            if loss.ended_at > self.served_at
            and not (narrower in loss.narrower and target in targets)
        )
        count = 0
        last_at = float("-inf")
        for ended_at in losses:
            if ended_at - last_at > COINCIDENCE_WINDOW_S:
                count += 1
                last_at = ended_at
        return count

    def ends_to_blame(self) -> int:
        """Return the ends after which the key is to blame."""
        if self.part is None or not self.was_served_lately():
            return MAX_ENDS
        return MAX_ENDS_OF_SERVED

    def frequent_narrower(self) -> list[str]:
        """Return narrower keys that were lost with it at several targets."""
        lost_with = collections.Counter(
            itertools.chain.from_iterable(
                loss.narrower for loss in self._losses()
            )
        )
        return [key for key, times in lost_with.items() if times > 1]

    def was_served_lately(self) -> bool:
        """Whether it was served shortly before the first loss since then."""
        first_at = min(
            (loss.ended_at for loss in self._losses()), default=float("inf")
        )
        return first_at - self.served_at <= _served.LATELY_S

    def last_observed_at(self) -> float:
        """Return the time of the latest loss or success."""
        ended = (loss.ended_at for loss in self.loss_by_target.values())
        return max((*ended, self.served_at))


class _MemberSuspects:
    """Bounded table of one member's suspects, least recently updated first.

    Most suspects were lost once, because another request crashed their
    target. They are evicted before those lost more than once.
    """

    def __init__(self) -> None:
        self.lost_once: _SuspectTable = collections.OrderedDict()
        self.lost_again: _SuspectTable = collections.OrderedDict()

    def get(self, key_id: str) -> Suspect | None:
        """Return the suspect with this key, or None."""
        return self.lost_once.get(key_id) or self.lost_again.get(key_id)

    def all(self) -> list[tuple[str, Suspect]]:
        """Return all suspects with their keys."""
        return [*self.lost_once.items(), *self.lost_again.items()]

    def put(self, key_id: str, suspect: Suspect) -> str | None:
        """Insert or update a suspect; return the evicted key, if any."""
        self.drop(key_id)
        table = self.lost_again if suspect.ends > 1 else self.lost_once
        table[key_id] = suspect
        if (
            len(self.lost_once) + len(self.lost_again)
            <= MAX_SUSPECTS_PER_MEMBER
        ):
            return None
        evicted, _ = (self.lost_once or self.lost_again).popitem(last=False)
        return evicted

    def drop(self, key_id: str) -> None:
        """Remove a suspect, if present."""
        self.lost_once.pop(key_id, None)
        self.lost_again.pop(key_id, None)

    def __len__(self) -> int:
        return len(self.lost_once) + len(self.lost_again)


class LossCounter:
    """Counts, by key, the targets that were lost while they ran its requests.

    Observations may arrive late, duplicated and in any order; the count is
    the same.

    Example: a request that was lost at ``e1``, retried and lost at ``e2``
    has two ends, and so has each part of its prompt. Once it gets a complete
    response they have none.
    """

    def __init__(self) -> None:
        self._by_member: collections.OrderedDict[str, _MemberSuspects] = (
            collections.OrderedDict()
        )
        # Least recently updated first.
        self._member_by_key: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        # The keys that explain the loss of a target.
        self._explained_by_target: collections.OrderedDict[
            str, frozenset[str]
        ] = collections.OrderedDict()
        self._latest_suspects: tuple[str, ...] | None = ()

    def take(self, observation: _observations.Observation, now: float) -> None:
        """Record a daemon's observation."""
        ended_at = now - observation.ended_ago_s
        narrower: list[str] = []
        for key in observation.keys():
            suspect = self.find(key.id) or Suspect(
                observation.member, observation.pool, key.part
            )
            if observation.end is _observations.RunEnd.SERVED:
                suspect.take_served(ended_at)
            elif observation.end is _observations.RunEnd.LOST:
                if self._may_explain(key.id, observation.target):
                    suspect.take_loss(observation.target, ended_at, narrower)
            self._put(key.id, suspect)
            narrower.append(key.id)
        self._take_earlier_answers(observation, now)

    def _take_earlier_answers(
        self, observation: _observations.Observation, now: float
    ) -> None:
        for part in observation.parts:
            suspect = self.find(part.id)
            if suspect is not None and part.served_ago_s is not None:
                suspect.take_served(now - part.served_ago_s)

    def _may_explain(self, key_id: str, target: str) -> bool:
        explained_by = self._explained_by_target.get(target)
        return explained_by is None or key_id in explained_by

    def _put(self, key_id: str, suspect: Suspect) -> None:
        member = suspect.member
        suspects = self._by_member.setdefault(member, _MemberSuspects())
        self._by_member.move_to_end(member)
        evicted = suspects.put(key_id, suspect)
        self._member_by_key[key_id] = member
        self._member_by_key.move_to_end(key_id)
        if evicted is not None:
            self._member_by_key.pop(evicted, None)
        if len(self._by_member) > MAX_MEMBERS:
            self._forget_member(next(iter(self._by_member)))
        self._latest_suspects = None

    def blame(
        self, key: _identity.Key, observation: _observations.Observation
    ) -> None:
        """Blame a key of a lost run for that loss and for its earlier ones.

        These losses count for no other key any more. When a whole request is
        to blame, the parts of its prompt keep them: more requests with the
        same part may be fatal.
        """
        ids = {key.id}
        if key.part is None:
            ids.update(part.id for part in observation.parts)
        targets = {observation.target, *self._targets(key.id)}
        for target in targets:
            others = self._explained_by_target.get(target)
            self._explained_by_target[target] = frozenset(
                ids if others is None else ids & others
            )
        for suspects in self._by_member.values():
            for key_id, suspect in suspects.all():
                if not targets.isdisjoint(suspect.loss_by_target):
                    self._drop_explained(key_id, suspect)
        while len(self._explained_by_target) > MAX_EXPLAINED:
            self._explained_by_target.popitem(last=False)
        self._latest_suspects = None

    def _drop_explained(self, key_id: str, suspect: Suspect) -> None:
        for target in list(suspect.loss_by_target):
            if not self._may_explain(key_id, target):
                suspect.drop_loss(target)

    def is_to_blame(self, key_id: str) -> bool:
        """Whether a key, and no narrower one, explains its losses.

        Example: three requests that share a part crash a target each. None
        of them explains more than one loss, so it is the part. Had the same
        request crashed all three, it would not be the part.
        """
        suspect = self.find(key_id)
        if suspect is None or suspect.ends < suspect.ends_to_blame():
            return False
        return all(
            suspect.count_without(narrower, self._targets(narrower))
            >= MIN_ENDS_BEYOND_NARROWER
            for narrower in suspect.frequent_narrower()
        )

    def _targets(self, key_id: str) -> list[str]:
        """Return the targets lost with a key since it was served."""
        suspect = self.find(key_id)
        return [] if suspect is None else suspect.targets()

    def ends(self, key_id: str) -> int:
        """Return the separate losses of a key since it was served."""
        suspect = self.find(key_id)
        return 0 if suspect is None else suspect.ends

    def suspects(self) -> tuple[str, ...]:
        """Return the ids of recent suspects, most losses first."""
        if self._latest_suspects is None:
            latest = reversed(self._member_by_key)
            found = (key_id for key_id in latest if self.ends(key_id) > 0)
            ranked = sorted(
                itertools.islice(found, MAX_RANKED_SUSPECTS),
                key=self.ends,
                reverse=True,
            )
            self._latest_suspects = tuple(ranked[:MAX_REPORTED_SUSPECTS])
        return self._latest_suspects

    def forget(self, key_id: str) -> None:
        """Remove a key, so that its count restarts at zero."""
        member = self._member_by_key.pop(key_id, None)
        if member is not None:
            self._by_member[member].drop(key_id)
            self._latest_suspects = None

    def forget_before(self, oldest: float) -> None:
        """Remove keys whose latest observation is before *oldest*."""
        while self._member_by_key:
            key_id = next(iter(self._member_by_key))
            suspect = self.find(key_id)
            if suspect is not None and suspect.last_observed_at() >= oldest:
                return
            self.forget(key_id)

    def find(self, key_id: str) -> Suspect | None:
        """Return the suspect with a key, or None."""
        member = self._member_by_key.get(key_id)
        return None if member is None else self._by_member[member].get(key_id)

    def _forget_member(self, member: str) -> None:
        suspects = self._by_member.pop(member)
        for key_id, _ in suspects.all():
            self._member_by_key.pop(key_id, None)

    def __len__(self) -> int:
        return len(self._member_by_key)
