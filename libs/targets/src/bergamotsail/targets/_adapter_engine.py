"""The interface to engines that validate requests themselves.

Such an engine checks the incarnation, adapter and version that each request
expects. Requests can therefore be sent to it directly. The order holder, the
one instance that may send orders, only decides what the engine loads and
unloads.
"""

import abc
import collections.abc
import dataclasses
import enum


class OrderOutcome(enum.StrEnum):
    """The response of an engine to an order.

    STARTED: accepted, but not complete yet.
    HOLDS: the engine is in the ordered state.
    OTHERWISE: rejected, as the engine is in another state than expected.
    FENCED: rejected, as the engine has seen a higher fencing token.
    OTHER_INSTANCE: rejected, as the order names another incarnation.
    INVALID: rejected as malformed.
    """

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
        incarnation: text of the incarnation that the order is for.
        adapter: empty for the base model itself.
        version: version of the adapter; None for the newest.
        expected: number of orders that the engine has accepted so far. The
            engine ignores the order if the number differs, so an order that
            arrives late has no effect.
        fence: fencing token, higher for each new order holder.
        gate: called right before the order is written; if it returns False,
            nothing is sent.
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
    """An adapter in an engine; *version* is None if not reported."""

    model: str
    adapter: str
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterReport:
    """The state of an engine a few hundred milliseconds ago.

    Args:
        models: loaded base models.
        adapters: loaded adapters.
        pending: adapters that are being loaded.
        busy: whether an order for a base model is in progress.
        sequence: number of orders accepted so far.
        queued: number of waiting requests.
        running: number of running requests.
        at_hand: base models with a local copy, which can be loaded without
            the weight store.
        start_time_ms: start time of the engine in milliseconds of Unix time,
            None if not reported.
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
    """An engine that loads base models and adapters on order."""

    @abc.abstractmethod
    async def report(self) -> AdapterReport:
        """Fetch the state of the engine.

        Raises:
            ServingError: it can't be reached or its report can't be decoded.
        """

    @abc.abstractmethod
    async def load(self, order: EngineOrder) -> OrderOutcome:
        """Order the engine to load a base model or an adapter.

        Raises:
            NotSentError: nothing was written.
            PeerLostError: the order may still take effect, now or seconds
                later.
        """

    @abc.abstractmethod
    async def unload(self, order: EngineOrder) -> OrderOutcome:
        """Order an unload; raises the same errors as ``load``."""
