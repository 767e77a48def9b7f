"""What the holder of an engine's orders asks of it.

For engines that check by themselves what each request expects of them:
the incarnation, the adapter and its version. Requests then need not pass
through the holder, which only says what the engine loads and unloads.
"""

import abc
import collections.abc
import dataclasses
import enum


class OrderOutcome(enum.StrEnum):
    """What an engine said to an order."""

    STARTED = "started"
    HOLDS = "holds"
    OTHERWISE = "otherwise"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load or unload a model or an adapter of it.

    Args:
        incarnation: the text of the incarnation that must carry it out.
        adapter: empty for the base model itself.
        version: of the adapter; None for the newest.
        expected: how many orders the engine has accepted so far; it does
            nothing when that is no longer so, however late this arrives.
        fence: grows with each holder.
        gate: asked right before the order is written.
    """

    incarnation: str
    model: str
    adapter: str
    version: int | None
    expected: int | None
    fence: int
    gate: collections.abc.Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedAdapter:
    """An adapter in an engine; *version* is None when it was not told."""

    model: str
    adapter: str
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterReport:
    """The state of an engine as it stood some hundred ms ago.

    Args:
        models: base models it holds.
        pending: adapters on their way to it.
        busy: whether an order on a base model is in progress.
        sequence: how many orders it has accepted.
        at_hand: base models of which it keeps a copy, so that a load takes
            nothing from the store.
        start_time_ms: when this start of the engine began, None when it does not
            tell.
    """

    models: tuple[str, ...]
    adapters: tuple[ReportedAdapter, ...]
    pending: tuple[ReportedAdapter, ...]
    busy: bool
    sequence: int
    queued: int = 0
    running: int = 0
    at_hand: tuple[str, ...] = ()
    start_time_ms: int | None = None


class AdapterEngine(abc.ABC):
    """An engine that holds base models and adapters by order."""

    @abc.abstractmethod
    async def report(self) -> AdapterReport:
        """Return its state.

        Raises:
            ServingError: it can't be reached or read.
        """

    @abc.abstractmethod
    async def load(self, order: EngineOrder) -> OrderOutcome:
        """Order a load.

        Raises:
            NotSentError: nothing was written.
            PeerLostError: it may be carried out, now or seconds later.
        """

    @abc.abstractmethod
    async def unload(self, order: EngineOrder) -> OrderOutcome:
        """Order an unload; raises as ``load``."""
