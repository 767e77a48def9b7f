"""Messages between a replica that gathers calls of daemons and the leader."""

import dataclasses

from bergamotsail import control
from bergamotsail.placement import _place_messages
from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class GatheredCall:
    """A call that is passed on to the leader; one of its fields is set.

    Args:
        number: of the call at the gathering replica.
    """

    number: int
    place: _place_messages.PlaceRequest | None = None
    heartbeat: control.Heartbeat | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a call ended; the reply of its kind or the error is set."""

    number: int
    place: _place_messages.PlaceReply | None = None
    heartbeat: control.HeartbeatReply | None = None
    error: wire.ErrorBody | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Pass on the calls that a replica gathered since the last exchange.

    Args:
        sender: the gathering process, new with every start.
        withdrawn: numbers of calls whose callers no longer wait.
    """

    sender: str
    calls: tuple[GatheredCall, ...] = ()
    releases: tuple[_place_messages.ReleaseRequest, ...] = ()
    withdrawn: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeReply:
    """The outcomes of this and earlier exchanges that are known by now.

    Args:
        receiver: the leading process and its term. If it changed, calls of
            earlier exchanges are lost.
    """

    receiver: str
    outcomes: tuple[CallOutcome, ...] = ()


EXCHANGE = wire.Call("exchange", ExchangeRequest, ExchangeReply)
