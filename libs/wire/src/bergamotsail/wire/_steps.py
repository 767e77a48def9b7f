"""Fault injection points.

Production code uses :class:`NoFaultInjector`, which costs one awaited call at
each point.
"""

import abc
import enum


class Step(enum.StrEnum):
    """An operation before or after which a fault can be injected."""

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
    """Whether the operation is about to start or has just finished."""

    BEFORE = "before"
    AFTER = "after"


class FaultInjector(abc.ABC):
    """Interface that is called at each fault injection point."""

    @abc.abstractmethod
    async def reach(self, step: Step, phase: Phase) -> None:
        """Report a step; a test may raise, block or disconnect here."""


class NoFaultInjector(FaultInjector):
    """Implementation for production, which does nothing."""

    async def reach(self, step: Step, phase: Phase) -> None:
        return None
