"""What the forwarder asks of the callers' and the targets' dialect."""

import abc
import dataclasses

from bergamotsail import quarantine
from bergamotsail import targets
from bergamotsail import wire

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelPart:
    """What a model request names.

    Args:
        adapter: empty for the base model itself.
        parts: the parts of its prompt with their tokens, in order.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller, whole.

    Args:
        id: the caller's name for this attempt, unique.
        target: path and query, as they came.
        patience_s: how long the caller waits, None when it did not say.
        arrived_at: on this daemon's clock.
        resume_after: the last event that the caller has of a stream.
        caller: who asks, as its credentials name it; empty without any.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    patience_s: float | None
    arrived_at: float
    model: ModelPart | None = None
    resume_after: str | None = None
    caller: str = ""

    @property
    def member(self) -> str:
        """Whose request it is, without what its credentials say."""
        return quarantine.identity(self.caller) if self.caller else ""

    @property
    def identity(self) -> str:
        """What this attempt shares with other attempts of its request."""
        model = self.model
        name = f"{model.model}/{model.adapter}" if model is not None else ""
        return quarantine.identity(
            self.caller, self.host, self.method, self.target, name, self.body
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Where an attempt is sent, and what is expected there.

    Args:
        target: the incarnation that must run it.
        version: of the adapter, None when none was named.
        priority: 0 is the most urgent.
        left_s: what is left of the caller's patience.
        resume_after: go on with a stream after this event.
    """

    target: str
    address: str
    version: int | None
    priority: int
    left_s: float
    resume_after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What a target's head says.

    Args:
        own: the answer belongs to this request.
        not_run: the target promises that it did not run it.
        absent: it is another incarnation, or lacks adapter or version.
        genuine: it bears the target's mark of an answer.
        leaving: whether the target says that it is leaving.
        pause: for how long the target wants no more work.
    """

    own: bool
    not_run: bool
    absent: bool
    has_seal: bool
    leaving: targets.Flag = targets.Flag()
    pause: targets.Seconds = targets.Seconds()


class Dialect(abc.ABC):
    """Translates requests for targets, and their answers."""

    @abc.abstractmethod
    def outgoing(
        self, request: CallerRequest, destination: Destination
    ) -> Headers:
        """Return the headers to send."""

    @abc.abstractmethod
    def read(self, request: CallerRequest, head: wire.ReplyHead) -> Reading:
        """Read the head of an answer."""

    @abc.abstractmethod
    def returning(self, head: wire.ReplyHead) -> Headers:
        """Return the headers that go back to the caller."""


class AnswerWriter(abc.ABC):
    """Where the answer to a caller goes."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head has been sent."""

    @abc.abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Send the head with the first piece, or at the end."""

    @abc.abstractmethod
    async def write(self, piece: bytes) -> None:
        """Send a piece; waits for a slow caller."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer is not complete."""
