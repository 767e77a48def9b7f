"""Requests, answers and the interfaces that the forwarder relies on."""

import abc
import dataclasses

from bergamotsail import quarantine
from bergamotsail import targets
from bergamotsail import wire

# Patience of a caller that states none.
DEFAULT_PATIENCE_S = 30.0
# Parts of a prompt that are looked at; further ones are ignored.
MAX_SHARED_PARTS = 8

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelPart:
    """The model-specific part of a request.

    Args:
        adapter: empty for the base model itself.
        prompt_tokens: tokens of the prompt.
        output_tokens: the most tokens to generate.
        parts: identifiers and token counts of the prompt's parts, in order.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Identifiers of the parts that other requests may have, in order.

        The last part belongs to the request or its session alone.
        """
        shared = self.parts[:-1][:MAX_SHARED_PARTS]
        return tuple(part for part, _ in shared)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller, completely received.

    Args:
        id: unique id of this attempt, set by the caller.
        target: path and query, as received.
        patience_s: how long the caller waits, None if unknown.
        arrived_at: time of arrival on this daemon's clock.
        resume_after: id of the last event that the caller received of a
            stream.
        caller: the caller's credentials; empty without any.
        token: the caller's token, None if its credentials are not valid.
        size: declared number of tokens, None without a declaration.
        resumes: id of the attempt that brought the first event of the stream
            that this attempt resumes.
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
    token: str | None = None
    size: int | None = None
    resumes: str | None = None

    @property
    def assumed_patience_s(self) -> float:
        """How long the caller waits, a default if it is unknown."""
        return self.patience_s or DEFAULT_PATIENCE_S

    @property
    def member(self) -> str:
        """Hash that identifies the caller without exposing its credentials."""
        return quarantine.identity(self.caller) if self.caller else ""

    @property
    def identity(self) -> str:
        """Hash that all attempts of the same request share."""
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
        version: expected version of the adapter, None for any.
        priority: 0 is the most urgent.
        left_s: the remaining patience of the caller.
        resume_after: id of the event after which to resume a stream.
        member: the member that sent the request, empty if unknown.
        keeps_credentials: whether to pass on the caller's credentials.
        placed: how the placement was found, None without a placement.
        software: version of the target's software, None if unknown.
    """

    target: str
    address: str
    version: int | None
    priority: int
    left_s: float
    resume_after: str | None = None
    member: str = ""
    keeps_credentials: bool = True
    placed: str | None = None
    software: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedHead:
    """The parsed head of a target's answer.

    Args:
        own: the answer belongs to this request.
        not_run: the target guarantees that it did not run the request.
        absent: the target is another incarnation, or lacks the adapter or
            version.
        has_seal: the head has the header that marks answers of targets.
        leaving: whether the target announces that it is leaving.
        pause: how long the target asks for no new work.
        bears_rejections: how many rejections in a second the target bears;
            None if it doesn't say that it is brittle.
        limit: how many requests a second the target takes from all daemons
            together.
    """

    own: bool
    not_run: bool
    absent: bool
    has_seal: bool
    leaving: targets.Flag = targets.Flag()
    pause: targets.Seconds = targets.Seconds()
    bears_rejections: int | None = None
    limit: targets.Rate = targets.Rate()


class Dialect(abc.ABC):
    """Translates requests and answers between callers and targets."""

    @abc.abstractmethod
    def outgoing(
        self, request: CallerRequest, destination: Destination
    ) -> Headers:
        """Return the headers to send to a target."""

    @abc.abstractmethod
    def read(self, request: CallerRequest, head: wire.ReplyHead) -> ParsedHead:
        """Parse the head of a target's answer."""

    @abc.abstractmethod
    def returning(self, head: wire.ReplyHead) -> Headers:
        """Return the headers to send to the caller."""


class AnswerWriter(abc.ABC):
    """Writer for the answer to a caller."""

    @property
    @abc.abstractmethod
    def started(self) -> bool:
        """Whether the head has been set."""

    @abc.abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Set the head, which is sent with the first piece or at the end."""

    @abc.abstractmethod
    async def write(self, piece: bytes) -> None:
        """Send a piece of the body; waits while the caller is slow."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the answer is visibly incomplete."""
