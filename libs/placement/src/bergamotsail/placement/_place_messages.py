"""What entries and the holder of the engines' orders say to each other."""

import dataclasses
import enum

from bergamotsail import wire


class UseOutcome(enum.StrEnum):
    """How a request ended at its target."""

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
    """Give back what requests used, and tell which were begun."""

    boot: str
    ended: tuple[EndedUse, ...]
    begun: tuple[BegunUse, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """Ask for an engine that holds an adapter.

    Args:
        boot: of the asking daemon.
        request: names the request among all of that daemon.
        adapter: empty for the base model itself.
        prompt_tokens: tokens to be read.
        output_tokens: tokens to be generated at most.
        parts: the parts of the prompt with their tokens, in order.
        priority: 0 is the most urgent.
        patience_s: how long the caller of this call waits.
        avoid: targets that have refused or failed this request.
        waited_s: how long it has waited before this call.
        objective_s: the time until the first token that is worth most.
        hope_s: refuse it after this wait unless a load is on its way.
        age_s: how long its caller had tried before this attempt, about.
        releases: what the daemon has to give back, on the same way.
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


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReply:
    """Where a request may run now.

    Args:
        target: the incarnation that must run it.
        version: of the adapter; None when any is the newest.
        waited_s: how long the request waited for an adapter.
        reason: why this target, in a few words.
    """

    target: str
    address: str
    version: int | None
    waited_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """A reply without content."""


PLACE = wire.Call("place", PlaceRequest, PlaceReply)
RELEASE = wire.Call("release", ReleaseRequest, Released)
