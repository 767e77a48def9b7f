"""The interface to plain services."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """An HTTP request to forward.

    Args:
        once: write the request at most once, because it is not idempotent.
        gate: called right before the request is written; if it returns
            False, nothing is sent.
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
    """The complete response of a service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Service(abc.ABC):
    """One instance of a plain service."""

    @abc.abstractmethod
    async def call(self, request: ServiceRequest) -> ServiceReply:
        """Forward a request and return the response.

        Raises:
            NotSentError: nothing was written to the service.
            PeerLostError: the response was lost; the call may have run.
        """
