"""Requests as an owner sees them."""

import asyncio
import dataclasses

from bergamotsail import targets
from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How owners place adapters.

    Args:
        policy: name of the eviction policy.
        stall_weight: 0 favours full batches, 1 favours short load stalls.
        max_queue: waiting requests for each engine, over all members.
        report_interval_s: how often an engine's report is read.
        min_residence_s: an adapter stays at least so long, so that
            changing popularity does not cause thrashing.
        half_life_s: fading of the use counts.
        drain_after_s: a wait after which a busy adapter makes room.
        orphan_grace_s: how long a run outlives the loss of its reader.
        load_retries: failed loads after which waiting requests fail.
    """

    policy: str = "value"
    stall_weight: float = 0.5
    max_queue: int = 256
    report_interval_s: float = 0.25
    min_residence_s: float = 1.0
    half_life_s: float = 60.0
    drain_after_s: float = 2.0
    orphan_grace_s: float = 5.0
    load_retries: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """An entry asks an owner to run a prompt on its target.

    Args:
        adapter: as ``adapter@version``; never another.
        payer: the member whose share pays for the run.
        left_s: seconds until the deadline.
        resume_after: number of the last chunk held, to resume a stream.
        incarnation: of the engine that holds the stream to resume.
    """

    request: str
    stream_id: str
    target: str
    adapter: str
    payer: str
    entry_class: str
    prompt: targets.Prompt
    left_s: float
    resume_after: int | None = None
    incarnation: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """An entry's caller went away."""

    target: str
    stream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """A reply without content."""


RUN = wire.Call("run", RunRequest, targets.Chunk, streams=True)
CANCEL = wire.Call("cancel", CancelRequest, Done)

CLASS_WEIGHT = {"interactive": 4.0, "standard": 2.0, "batch": 1.0}
PRIORITY = {"interactive": 2, "standard": 1, "batch": 0}


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A waiting request at the owner.

    Args:
        owner: the member that the adapter belongs to.
        deadline: on the owner's clock.
        ready: done when the job may run; its adapter is then pinned.
    """

    request: RunRequest
    owner: str
    weights: str
    queued_at: float
    deadline: float
    was_resident: bool
    ready: asyncio.Future

    @property
    def adapter(self) -> str:
        """The adapter version to run."""
        return self.request.adapter

    @property
    def class_weight(self) -> float:
        """How much its class counts."""
        return CLASS_WEIGHT.get(self.request.entry_class, 1.0)
