"""What an owner asks of a model engine."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What every order to an engine carries.

    Args:
        epoch: the fencing number.
        gate: asked at the moment of sending; False sends nothing.
    """

    epoch: int
    gate: collections.abc.Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """The state of an engine as it stood *age_s* ago.

    Args:
        incarnation: new with every restart of the engine.
        residents: resident adapters, as ``adapter@version``.
        active_by_resident: running requests by adapter.
        running: all running requests.
        steps: steps made since the start.
        step_slots_used: sum over steps of the slots in use.
        batch_slots: slots in a step.
        cached_prefixes: hashes of prompt prefixes, late and with gaps.
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
    """What a caller asks a model.

    Args:
        chat: whether *text* is a JSON list of chat messages.
        max_tokens: the most tokens to generate.
    """

    text: str
    max_tokens: int = 16
    chat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """An order to run a prompt.

    Args:
        stream_id: unique over all attempts; names the stream for resume
            and cancel.
        incarnation: the engine must still be this incarnation.
        adapter: as ``adapter@version``.
        resume_after: number of the last chunk already held, or None for a
            new run.
    """

    stream_id: str
    incarnation: str
    adapter: str
    prompt: Prompt
    priority: int = 0
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A numbered part of an answer, stamped with what produced it.

    Args:
        number: counts from 0 within the stream.
        end: whether the answer is whole with this chunk.
    """

    stream_id: str
    incarnation: str
    adapter: str
    number: int
    text: str
    end: bool = False


class Engine(abc.ABC):
    """One model engine. All its methods raise typed serving errors."""

    @abc.abstractmethod
    async def report(self) -> EngineReport:
        """Return its state, which may be old by ``age_s``."""

    @abc.abstractmethod
    async def load(self, order: Order, adapter: str, weights: str) -> None:
        """Load an adapter version; returns once it is resident."""

    @abc.abstractmethod
    async def unload(self, order: Order, adapter: str) -> None:
        """Remove an adapter version from its slot."""

    @abc.abstractmethod
    def run(
        self, order: Order, run: Run
    ) -> collections.abc.AsyncIterator[Chunk]:
        """Run, or resume, and yield chunks as the engine sends them."""

    @abc.abstractmethod
    async def cancel(self, order: Order, stream_id: str) -> None:
        """End a stream and free its slot; done when this returns."""


def versioned_name(adapter: str, version: str) -> str:
    """Return the name under which an engine knows an adapter version."""
    return f"{adapter}@{version}"


def split_name(name: str) -> tuple[str, str]:
    """Return adapter and version of a name; no version gives "".

    Example: ``split_name("quotes@v3")`` gives ``("quotes", "v3")``.
    """
    adapter, _, version = name.partition("@")
    return adapter, version
