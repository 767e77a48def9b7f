"""Messages between a replica that holds groups of engines and the leader."""

import dataclasses

from bergamotsail import control
from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class DebitRequest:
    """Debit a request from the budget of a member.

    Args:
        number: of the debit, unique at its sender.
        request: id of the request, for the log.
    """

    number: int
    member: str
    cost: float
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class DebitOutcome:
    """The outcome of a debit; *wait_s* is 0 if it was made."""

    number: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NewStart:
    """A target that reported another start, in milliseconds of Unix time."""

    target: str
    start_time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonUses:
    """The requests of a daemon that run at targets."""

    boot: str
    uses: tuple[control.Use, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRequest:
    """Ask for a lease on groups of engines, or for its renewal.

    Args:
        name: of the replica, the same across restarts.
        sender: the process, new with every start.
        sequence: incremented with each request of the process.
        held: ids of the groups that it holds.
        digest_term, digest_version: of the sender's digest.
        wait_s_by_group: mean wait for a place in each group that it holds,
            by the group's id.
        calls_per_s: placement calls that it has time for.
        streams: where streams began that it placed since the last call.
        leaving: it stops, and has given up all groups.
    """

    name: str
    address: str
    sender: str
    sequence: int
    held: tuple[str, ...]
    digest_term: int
    digest_version: int
    wait_s_by_group: dict[str, float]
    calls_per_s: float
    debits: tuple[DebitRequest, ...] = ()
    streams: tuple[control.StreamNote, ...] = ()
    new_starts: tuple[NewStart, ...] = ()
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReply:
    """A lease, which counts from the sending of the request.

    Args:
        term: of the leader; the lease ends with it.
        groups: number of groups; 0 while that is not decided.
        epoch_by_group: the groups on which the lease is given, by their ids.
        uses: what daemons reported since the last reply.
    """

    term: int
    groups: int
    epoch_by_group: dict[str, int]
    digest: control.DigestDelta
    uses: tuple[DaemonUses, ...] = ()
    debits: tuple[DebitOutcome, ...] = ()


HOLD = wire.Call("hold", HoldRequest, HoldReply)
