"""Policies that choose which adapter to load and which one to evict."""

import abc
import collections.abc
import dataclasses

from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An adapter version that could be loaded or evicted.

    Args:
        owner: the member it belongs to.
        waiting: number of requests that wait for it.
        urgency: sum of the class weights of those requests.
        oldest_wait_s: how long the oldest of them has waited.
        use: decayed count of its uses.
        idle_s: time since it was last used.
    """

    name: str
    owner: str
    waiting: int
    urgency: float
    oldest_wait_s: float
    use: float
    idle_s: float


class Policy(abc.ABC):
    """Ranks loads and evictions. Callers exclude pinned adapters."""

    @abc.abstractmethod
    def load_score(self, candidate: Candidate) -> float:
        """Return the value of a load; the highest is loaded first."""

    @abc.abstractmethod
    def keep_score(self, candidate: Candidate) -> float:
        """Return the value of keeping an adapter; the lowest is evicted."""

    def next_load(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate:
        """Return the adapter to load next."""
        return max(candidates, key=self.load_score)

    def victim(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate:
        """Return the adapter to evict."""
        return min(candidates, key=self.keep_score)


class ValuePolicy(Policy):
    """Loads the most awaited adapter and keeps the most used ones.

    Args:
        stall_weight: weight of the oldest wait. With 1 it limits the longest
            stall; with 0 only the waiting requests count, which fills
            batches.
    """

    def __init__(self, stall_weight: float) -> None:
        self._stall_weight = stall_weight

    def load_score(self, candidate: Candidate) -> float:
        wait = 1.0 + self._stall_weight * candidate.oldest_wait_s
        return candidate.urgency * wait + candidate.use * 0.1

    def keep_score(self, candidate: Candidate) -> float:
        return candidate.waiting * 10.0 + candidate.use


class LeastRecentPolicy(Policy):
    """Loads in order of arrival and evicts the least recently used."""

    def load_score(self, candidate: Candidate) -> float:
        return candidate.oldest_wait_s

    def keep_score(self, candidate: Candidate) -> float:
        return -candidate.idle_s


def policy_named(name: str, stall_weight: float) -> Policy:
    """Return the policy with a name.

    Raises:
        BadRequestError: the name is unknown.
    """
    if name == "value":
        return ValuePolicy(stall_weight)
    if name == "least_recent":
        return LeastRecentPolicy()
    raise wire.BadRequestError(
        f"Unknown placement policy {name!r}. Use value or least_recent."
    )
