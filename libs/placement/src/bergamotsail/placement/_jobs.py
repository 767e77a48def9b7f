"""Messages, settings and jobs of engine owners."""

import asyncio
import dataclasses

from bergamotsail import targets
from bergamotsail import wire


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of the engine owners.

    Args:
        policy: name of the load and eviction policy.
        stall_weight: 0 favours full batches, 1 favours short load stalls.
        max_queue: maximum number of waiting requests for each engine, over
            all members.
        report_interval_s: interval between reads of an engine's report.
        min_residence_s: minimum time before an adapter is evicted, so that
            changing popularity does not cause thrashing.
        half_life_s: half-life of the use counts.
        drain_after_s: wait after which a busy adapter is drained.
        orphan_grace_s: how long a run continues after its reader is lost.
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
    """Ask an owner to run a prompt on its target.

    Args:
        adapter: as ``adapter@version``; no other version may answer.
        payer: the member whose share is charged for the run.
        left_s: seconds until the deadline.
        resume_after: number of the last chunk received, to resume a stream.
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
    """Cancel a run whose caller disconnected."""

    target: str
    stream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """An empty reply."""


RUN = wire.Call("run", RunRequest, targets.Chunk, streams=True)
CANCEL = wire.Call("cancel", CancelRequest, Done)

CLASS_WEIGHT = {"interactive": 4.0, "standard": 2.0, "batch": 1.0}
PRIORITY = {"interactive": 2, "standard": 1, "batch": 0}


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request in the queue of an engine owner.

    Args:
        owner: the member that the adapter belongs to.
        weights: location of the adapter's weights.
        deadline: on the owner's clock.
        was_resident: whether its adapter was resident when it was queued.
        ready: resolved with its stream when the job is dispatched; its
            adapter is then pinned.
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
        """Weight of its entry class."""
        return CLASS_WEIGHT.get(self.request.entry_class, 1.0)
