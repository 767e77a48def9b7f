"""The leader's decisions which replica holds which group of engines.

They are computed from what replicas told and when. Nothing here waits, sends
or reads a clock.
"""

import collections
import collections.abc
import dataclasses

# How long a holder may place and order after it asked for its lease.
LEASE_S = 1.0
# Time after which such a lease has ended on any clock.
LEASE_ENDED_S = 1.1
# A replica that was given a group and has not asked for its lease for this
# long is not waited for.
ACCEPT_S = 0.5
# Holders of one group in one term. Each has an epoch of its own.
EPOCHS_PER_TERM = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A group that was given to a replica."""

    group: int
    holder: str
    epoch: int
    former: str


@dataclasses.dataclass(slots=True)
class _Group:
    """State of one group.

    Args:
        holder: address of its holder, empty if there is none.
        epoch: of its latest holder in this term; 0 before the first one.
        given_at: when the holder got the group.
        leased_until: when the holder's last lease has ended for certain.
        withdrawn: whether its lease is no longer renewed.
    """

    holder: str = ""
    epoch: int = 0
    given_at: float = 0.0
    leased_until: float = float("-inf")
    withdrawn: bool = False


class Assignments:
    """Which replica holds each group, soft state of one term.

    A group goes to another replica only after the lease of its holder has
    ended, so that no engine has two holders.

    Args:
        own: address of the leader. It holds groups for as long as it leads,
            without a lease.
        groups: number of groups.
        started_at: when the term started. Leases of earlier terms have ended
            LEASE_ENDED_S later.

    Example::

        assignments = Assignments("r1", 2, started_at=0.0)
        assignments.renew("r2", now=0.0)  # {}
        assignments.assign({}, now=0.1)
        assignments.renew("r2", now=0.2)  # {0: 1}, group 0 with epoch 1
    """

    def __init__(self, own: str, groups: int, started_at: float) -> None:
        self._own = own
        self._started_at = started_at
        self._groups = [_Group() for _ in range(groups)]
        self._heard_at_by_replica: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._groups)

    def holder(self, group: int) -> str:
        """Return the address of a group's holder, empty without one."""
        return self._groups[group].holder

    def epoch(self, group: int) -> int:
        """Return the epoch of the latest holder of a group."""
        return self._groups[group].epoch

    def held_by(self, replica: str) -> dict[int, int]:
        """Return the groups of a replica, with their epochs."""
        return {
            number: group.epoch
            for number, group in enumerate(self._groups)
            if group.holder == replica and not group.withdrawn
        }

    def withdrawn_from(self, replica: str) -> list[int]:
        """Return the groups that a replica is to give up."""
        return [
            number
            for number, group in enumerate(self._groups)
            if group.holder == replica and group.withdrawn
        ]

    def give_up(self, group: int) -> None:
        """Free a withdrawn group, since its holder has given it up."""
        self._groups[group].holder = ""
        self._groups[group].withdrawn = False

    def remove(self, replica: str) -> None:
        """Free the groups of a replica that has given up all of them."""
        self._heard_at_by_replica.pop(replica, None)
        for group in self._groups:
            if group.holder == replica:
                group.holder, group.withdrawn = "", False

    def heard(self) -> collections.abc.Set[str]:
        """Return the replicas that asked for a lease in this term."""
        return self._heard_at_by_replica.keys()

    def renew(self, replica: str, now: float) -> dict[int, int]:
        """Renew the leases of a replica; return its groups and epochs."""
        self._heard_at_by_replica[replica] = now
        held = self.held_by(replica)
        for number in held:
            self._groups[number].leased_until = now + LEASE_ENDED_S
        return held

    def assign(
        self,
        former: collections.abc.Mapping[int, str],
        now: float,
    ) -> list[Move]:
        """Give groups without a holder to replicas; return what changed.

        Args:
            former: the last known holders of earlier terms, by group.
        """
        candidates = self._candidates(now)
        self._drop_lost(candidates, now)
        moves = []
        for number, group in enumerate(self._groups):
            if group.holder or not self._is_free(
                group, former.get(number, ""), now
            ):
                continue
            move = self._give(number, candidates, former.get(number, ""), now)
            if move is not None:
                moves.append(move)
        self._withdraw_one(candidates)
        return moves

    def _candidates(self, now: float) -> list[str]:
        """Return the replicas that may get groups, the leader included."""
        return [
            self._own,
            *(
                replica
                for replica, heard_at in self._heard_at_by_replica.items()
                if now - heard_at <= ACCEPT_S and replica != self._own
            ),
        ]

    def _drop_lost(
        self, candidates: collections.abc.Collection[str], now: float
    ) -> None:
        """Remove holders whose lease has ended."""
        for group in self._groups:
            if group.holder == self._own:
                if group.withdrawn:
                    group.holder, group.withdrawn = "", False
                continue
            accepts_until = group.given_at + ACCEPT_S
            if group.withdrawn or group.holder not in candidates:
                accepts_until = now
            if now >= max(group.leased_until, accepts_until):
                group.holder, group.withdrawn = "", False

    def _is_free(self, group: _Group, former: str, now: float) -> bool:
        """Whether no earlier holder can act on a group without a holder."""
        if group.epoch or not former:
            return True
        # A replica that was heard in this term has given up earlier leases.
        if former == self._own or former in self._heard_at_by_replica:
            return True
        return now - self._started_at >= LEASE_ENDED_S

    def _counts(
        self, candidates: collections.abc.Iterable[str]
    ) -> dict[str, int]:
        """Return the load of each replica, in groups.

        The leader has other work, which counts as one group.
        """
        counts = collections.Counter(group.holder for group in self._groups)
        return {
            replica: counts[replica] + (replica == self._own)
            for replica in candidates
        }

    def _give(
        self,
        number: int,
        candidates: collections.abc.Collection[str],
        former: str,
        now: float,
    ) -> Move | None:
        """Give a group to the replica with the fewest, if there is one."""
        group = self._groups[number]
        if not candidates or group.epoch + 1 >= EPOCHS_PER_TERM:
            return None
        counts = self._counts(candidates)
        chosen = min(
            counts,
            key=lambda replica: (
                counts[replica],
                replica != former,
                replica == self._own,
                replica,
            ),
        )
        group.holder = chosen
        group.epoch += 1
        group.given_at = now
        group.leased_until = float("-inf")
        return Move(number, chosen, group.epoch, former)

    def _withdraw_one(
        self, candidates: collections.abc.Collection[str]
    ) -> None:
        """Withdraw a group if its holder has two more than another replica.

        It is given away once its lease has ended, one group at a time.
        """
        if any(group.withdrawn or not group.holder for group in self._groups):
            return
        counts = self._counts(candidates)
        if not counts:
            return
        most = max(counts, key=lambda replica: (counts[replica], replica))
        if counts[most] - min(counts.values()) < 2:
            return
        held = self.held_by(most)
        if held:
            self._groups[max(held)].withdrawn = True
