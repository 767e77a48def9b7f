"""Named steps of the work, where tests may inject a fault.

In production :class:`NoFaultInjector` is used and costs one awaited call.
"""

import abc
import enum


class Step(enum.StrEnum):
    """A step at which a fault can be injected."""

    VOTE = "vote"
    APPEND = "append"
    SYNC = "sync"
    ACK = "ack"
    APPLY = "apply"
    SNAPSHOT = "snapshot"
    JOIN = "join"
    GRANT = "grant"
    HAND_OVER = "hand_over"
    HEARTBEAT = "heartbeat"
    LOAD = "load"
    EVICT = "evict"
    RUN = "run"
    FIRST_CHUNK = "first_chunk"
    MID_STREAM = "mid_stream"
    LAST_CHUNK = "last_chunk"
    CANCEL = "cancel"
    CLAIM = "claim"
    SEND = "send"
    RECORD = "record"


class Phase(enum.StrEnum):
    """Whether the step is about to happen or has just happened."""

    BEFORE = "before"
    AFTER = "after"


class FaultInjector(abc.ABC):
    """Where the code announces the steps it takes."""

    @abc.abstractmethod
    async def reach(self, step: Step, phase: Phase) -> None:
        """Announce a step; a test may raise, block or cut here."""


class NoFaultInjector(FaultInjector):
    """Announces nothing."""

    async def reach(self, step: Step, phase: Phase) -> None:
        return None
