"""What the parts of an engine's owner share."""

import asyncio
import dataclasses

from bergamotsail import control
from bergamotsail import observe
from bergamotsail.placement import _counter
from bergamotsail.placement import _fair_queue
from bergamotsail.placement import _jobs
from bergamotsail.placement import _residents
from bergamotsail import targets
from bergamotsail import wire

DEFAULT_LOAD_S = 0.3


@dataclasses.dataclass(slots=True, eq=False)
class EngineState:
    """One engine as its owner knows it, and what its owner works with.

    Args:
        report: the engine's latest report.
        load_s: what a load took lately, in seconds.
        work: set when there may be something to load.
        ordering: held while a load or an eviction is under way.
    """

    info: control.TargetInfo
    engine: targets.Engine
    session: control.Session
    settings: _jobs.PlacementSettings
    metrics: observe.Metrics
    clock: wire.Clock
    steps: wire.FaultInjector
    residents: _residents.Residents
    uses: _counter.DecayingCounter
    queue: _fair_queue.FairQueue = dataclasses.field(
        default_factory=_fair_queue.FairQueue
    )
    used_at_by_name: dict[str, float] = dataclasses.field(default_factory=dict)
    report: targets.EngineReport | None = None
    load_s: float = DEFAULT_LOAD_S
    work: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ordering: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
