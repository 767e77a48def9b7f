"""What an entry asks of a plain service."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """An HTTP call to pass on.

    Args:
        once: the call may not be repeated, so it is written at most once.
        gate: asked at the moment of sending; False sends nothing.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    once: bool
    gate: collections.abc.Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """The whole reply of a service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Service(abc.ABC):
    """One instance of a plain service."""

    @abc.abstractmethod
    async def call(self, request: ServiceRequest) -> ServiceReply:
        """Pass the call on and return the reply.

        Raises:
            NotSentError: nothing was written to the service.
            PeerLostError: the reply was lost; the call may have run.
        """
