"""Messages between entries and the scheduler."""

import dataclasses
import enum

from bergamotsail import wire


class UseOutcome(enum.StrEnum):
    """How a request ended at its target.

    REFUSED: the target rejected it.
    ABSENT: the target did not hold the adapter.
    LEFT: the caller left, or the request was not sent after all.
    """

    DONE = "done"
    REFUSED = "refused"
    ABSENT = "absent"
    FAILED = "failed"
    LEFT = "left"


@dataclasses.dataclass(frozen=True, slots=True)
class EndedUse:
    """A request that no longer runs at a target."""

    request: str
    target: str
    outcome: UseOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class BegunUse:
    """A request whose first answer came *first_s* after its grant."""

    request: str
    target: str
    first_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Report ended requests, and requests that got their first answer."""

    boot: str
    ended: tuple[EndedUse, ...]
    begun: tuple[BegunUse, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask for an engine that can run a request.

    Args:
        boot: boot id of the calling daemon.
        request: id of the request, unique within that daemon.
        adapter: empty for the base model itself.
        prompt_tokens: number of tokens in the prompt.
        output_tokens: maximum number of generated tokens.
        parts: ids and token counts of the parts of the prompt, in order.
        priority: 0 is the most urgent.
        patience_s: how long the caller waits for the reply.
        avoid: targets that have refused or failed this request.
        waited_s: how long the request waited before this call.
        objective_s: objective for the time to the first token.
        hope_s: refuse the request after this wait unless a usable engine has
            the adapter or loads it.
        age_s: approximate time that the client spent on earlier attempts.
        releases: pending releases of the daemon, sent along.
        member: the member that sent the request.
        cost: units of the member's budget to debit; 0 if that was done.
        software: version that the engine's software must have, None for any.
        stream: name of the stream that it begins or resumes, empty for none.
        stream_keep_s: how long its caller may resume that stream.
        group: id of the group of engines to place it on, if the replica that
            is called holds that; empty to ask the leader.
    """

    boot: str
    request: str
    pool: str
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    priority: int
    patience_s: float
    datacentre: str
    avoid: tuple[str, ...] = ()
    waited_s: float = 0.0
    objective_s: float = 1.0
    hope_s: float = 60.0
    age_s: float = 0.0
    releases: ReleaseRequest | None = None
    member: str = ""
    cost: float = 0.0
    software: str | None = None
    stream: str = ""
    stream_keep_s: float = 0.0
    group: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReply:
    """A grant to run a request on a target.

    Args:
        target: the engine incarnation that must run it.
        version: of the adapter; None for no specific one.
        waited_s: how long the request waited for the grant.
        reason: ``resident`` if the request waited less than one tick of
            the scheduler, else ``loaded``. Without a leader, ``surveyed`` or
            ``remembered``, for a placement found by the daemon itself.
        software: version of the target's software, None if unknown.
        term: of the leader that granted it, -1 without one.
        is_noted: whether that leader has a record of where the stream
            begins. A holder of a group tells it later.
        only_grant: whether no reply to the same request was lost before; set
            by the daemon that asked.
    """

    target: str
    address: str
    version: int | None
    waited_s: float
    reason: str
    software: str | None = None
    term: int = -1
    is_noted: bool = False
    only_grant: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """An empty reply."""


PLACE = wire.Call("place", PlaceRequest, PlaceReply)
RELEASE = wire.Call("release", ReleaseRequest, Released)
# The same calls, answered by any replica that hears the leader.
PLACE_INDIRECT = wire.Call("place_indirect", PlaceRequest, PlaceReply)
RELEASE_INDIRECT = wire.Call("release_indirect", ReleaseRequest, Released)
