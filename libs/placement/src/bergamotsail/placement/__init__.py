"""The owner of an engine: residency, pins, loads, evictions and runs.

One daemon owns an engine at a time and sees every request for it. So what
to load, what may be evicted, and who runs next are local decisions.
"""

from bergamotsail.placement import _counter
from bergamotsail.placement import _engine_orders
from bergamotsail.placement import _holding
from bergamotsail.placement import _leadership
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _place_settings
from bergamotsail.placement import _placer
from bergamotsail.placement import _tenure
from bergamotsail import wire

DecayingCounter = _counter.DecayingCounter

EngineOrders = _engine_orders.EngineOrders
StoreLoadLock = _engine_orders.StoreLoadLock
EngineRecord = _holding.EngineRecord
CopyAffinityPolicy = _place_policy.CopyAffinityPolicy
CopyRegistry = _placer.CopyRegistry
Leadership = _leadership.Leadership
HolderRegistry = _tenure.HolderRegistry
Tenure = _tenure.Tenure
PlaceSettings = _place_settings.PlaceSettings
PlacePolicy = _place_policy.PlacePolicy
Placer = _placer.Placer

BegunUse = _place_messages.BegunUse
EndedUse = _place_messages.EndedUse
PLACE = _place_messages.PLACE
PlaceReply = _place_messages.PlaceReply
PlaceRequest = _place_messages.PlaceRequest
RELEASE = _place_messages.RELEASE
ReleaseRequest = _place_messages.ReleaseRequest
UseOutcome = _place_messages.UseOutcome

__getattr__ = wire.lazy_names(
    __name__,
    {
        "_engine_owner": ("EngineOwner",),
        "_fair_queue": ("FairQueue",),
        "_jobs": (
            "CANCEL",
            "CancelRequest",
            "Job",
            "PlacementSettings",
            "RUN",
            "RunRequest",
        ),
        "_owners": ("Owners",),
        "_policy": (
            "Candidate",
            "LeastRecentPolicy",
            "Policy",
            "ValuePolicy",
            "policy_named",
        ),
        "_residents": ("Residents",),
    },
)
