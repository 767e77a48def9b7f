"""Decides which member of the route table a request belongs to."""

import dataclasses

from bergamotsail import catalogue
from bergamotsail import wire

STALE_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The member that sent a request.

    Args:
        name: empty if it is unknown, on a route that needs no token.
        priority: replaces the route's priority, None to keep it.
    """

    name: str = ""
    priority: int | None = None


def authenticate(
    index: catalogue.RouteIndex,
    route: catalogue.Route,
    token: str | None,
    fresh: bool,
) -> Caller:
    """Return the member that holds the token of a request.

    Args:
        token: the caller's token, None if it sent no valid one.
        fresh: whether the index includes every acknowledged change.

    Raises:
        UnauthenticatedError: no member holds the token.
        OverloadError: likewise, but a newer route table may name one.
    """
    if not index.needs_token:
        return Caller()
    name = None
    if token is not None:
        name = catalogue.find_holder(index.member_by_token, token)
    if name is not None:
        return Caller(name, index.member_by_name[name].priority)
    if route.public:
        return Caller()
    if token is not None and not fresh:
        raise wire.OverloadError(
            "This instance can't check the token, as its routes may be out "
            "of date. Retry, or use another address.",
            retry_after_s=STALE_RETRY_S,
        )
    raise wire.UnauthenticatedError(
        "Missing or invalid token. Send your member's token as "
        "Authorization: Bearer TOKEN."
    )
