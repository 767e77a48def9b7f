"""Keeps a stream at the software version of the target that began it.

The texts of two versions don't fit together, and targets don't check which
version wrote the events that a resumed stream follows.
"""

import collections.abc

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.routing import _attempt
from bergamotsail.routing import _forward_types
from bergamotsail import wire


def agreed(
    stated: str | None, listed: control.TargetInfo | None
) -> str | None:
    """Return the version of a target's software, None unless it is certain.

    Args:
        stated: the version that the grant of the placement states.
        listed: the target as this daemon knows it, None if it doesn't yet.

    Example: a target came back under its id with another version, and the
    leader has read a newer instance list than this daemon. The result is
    None, as the target may run either.
    """
    if listed is None or listed.software == stated:
        return stated
    return None


def may_run(attempt: _attempt.Attempt, target: control.TargetInfo) -> bool:
    """Whether an attempt may run at a target, as far as its stream goes."""
    origin = attempt.origin
    return origin is None or origin.allows(target.software)


def usable(
    attempt: _attempt.Attempt,
    known: collections.abc.Iterable[control.TargetInfo],
) -> collections.abc.Iterator[control.TargetInfo]:
    """Yield the targets at which an attempt may run."""
    return (target for target in known if may_run(attempt, target))


def required(attempt: _attempt.Attempt) -> str | None:
    """Return the version that a placement must have, None for any.

    Raises:
        OriginUnknownError: the stream has begun at an unknown version.
    """
    if attempt.origin is None:
        return None
    if attempt.origin.software is None:
        raise _attempt.OriginUnknownError(
            "The software version that began the stream is not known, so it "
            "can't go on. Start a new stream."
        )
    return attempt.origin.software


def check(
    attempt: _attempt.Attempt, destination: _forward_types.Destination
) -> None:
    """Check the version of a target right before it is used.

    Raises:
        NotAcceptingError: the target runs another version, or an unknown one.
    """
    origin = attempt.origin
    if origin is None or origin.allows(destination.software):
        return
    attempt.avoid.add(destination.target)
    observe.log_event(
        "route",
        "other_software",
        request=attempt.request.id,
        target=destination.target,
        software=destination.software,
        needed=origin.software,
    )
    raise _attempt.NotAcceptingError(
        "The target runs another version of its software than the one that "
        "began the stream.",
        ran=wire.RunStatus.NOT_RUN,
    )
