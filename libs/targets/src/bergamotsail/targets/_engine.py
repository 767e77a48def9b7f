"""The interface to an engine, used by the owner of the target."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Fields that every order to an engine has.

    Args:
        epoch: fencing token.
        gate: called right before the order is written; if it returns False,
            nothing is sent.
    """

    epoch: int
    gate: collections.abc.Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state of an engine *age_s* seconds ago.

    Args:
        incarnation: changes with every restart of the engine.
        adapter_slots: maximum number of resident adapters.
        batch_slots: maximum number of requests in a step.
        residents: resident adapters, as ``adapter@version``.
        active_by_resident: number of running requests by adapter.
        running: number of all running requests.
        steps: number of steps since the start.
        step_slots_used: sum of the batch slots in use over all steps.
        cached_prefixes: hashes of cached prompt prefixes; delayed and
            incomplete.
    """

    incarnation: str
    base_model: str
    adapter_slots: int
    batch_slots: int
    residents: tuple[str, ...] = ()
    active_by_resident: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    running: int = 0
    leaving: bool = False
    age_s: float = 0.0
    steps: int = 0
    step_slots_used: int = 0
    cached_prefixes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The input of a completion.

    Args:
        max_tokens: maximum number of tokens to generate.
        chat: whether *text* is a JSON list of chat messages.
    """

    text: str
    max_tokens: int = 16
    chat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """An order to run a prompt.

    Args:
        stream_id: unique across attempts; identifies the stream for resume
            and cancel.
        incarnation: the expected incarnation of the engine.
        adapter: as ``adapter@version``.
        resume_after: number of the last chunk already received, or None for
            a new run.
    """

    stream_id: str
    incarnation: str
    adapter: str
    prompt: Prompt
    priority: int = 0
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A numbered part of a response.

    Args:
        incarnation: the incarnation of the engine that produced it.
        adapter: the adapter that produced it, as ``adapter@version``.
        number: position in the stream, from 0.
        end: whether this is the last chunk of the response.
    """

    stream_id: str
    incarnation: str
    adapter: str
    number: int
    text: str
    end: bool = False


class Engine(abc.ABC):
    """A model engine. All methods raise subclasses of ServingError."""

    @abc.abstractmethod
    async def report(self) -> EngineReport:
        """Fetch the state of the engine, which is ``age_s`` seconds old."""

    @abc.abstractmethod
    async def load(self, order: Order, adapter: str, weights: str) -> None:
        """Load an adapter version; return once it is resident."""

    @abc.abstractmethod
    async def unload(self, order: Order, adapter: str) -> None:
        """Remove an adapter version from its slot."""

    @abc.abstractmethod
    def run(
        self, order: Order, run: Run
    ) -> collections.abc.AsyncIterator[Chunk]:
        """Start or resume a run; yield chunks as the engine sends them."""

    @abc.abstractmethod
    async def cancel(self, order: Order, stream_id: str) -> None:
        """Cancel a stream; return once its slot is free."""


def versioned_name(adapter: str, version: str) -> str:
    """Return the name of an adapter version at an engine."""
    return f"{adapter}@{version}"


def split_name(name: str) -> tuple[str, str]:
    """Split a name into adapter and version, which is "" if absent.

    Example: ``split_name("quotes@v3")`` returns ``("quotes", "v3")``.
    """
    adapter, _, version = name.partition("@")
    return adapter, version
