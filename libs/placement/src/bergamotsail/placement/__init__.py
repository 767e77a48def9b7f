"""Placement of requests and adapters on engines.

For engines that check each request themselves, a scheduler (Placer) grants
targets and orders loads. It runs on the leader, or with many engines on the
holder of each group of them (EngineGroups). Any other engine is owned by one
daemon at a time, which sees every request for it and so decides locally what
to load, what to evict and which request runs next (EngineOwner).
"""

from bergamotsail.placement import _counter
from bergamotsail.placement import _debits
from bergamotsail.placement import _engine_groups
from bergamotsail.placement import _engine_orders
from bergamotsail.placement import _engine_record
from bergamotsail.placement import _exchange
from bergamotsail.placement import _exchange_messages
from bergamotsail.placement import _gatherer
from bergamotsail.placement import _group_log
from bergamotsail.placement import _leadership
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _place_settings
from bergamotsail.placement import _placer
from bergamotsail.placement import _tenure
from bergamotsail import wire

DecayingCounter = _counter.DecayingCounter

EngineOrders = _engine_orders.EngineOrders
FENCES_PER_TERM = _engine_orders.FENCES_PER_TERM
StoreLoadLock = _engine_orders.StoreLoadLock
EngineRecord = _engine_record.EngineRecord
CopyAffinityPolicy = _place_policy.CopyAffinityPolicy
CopyRegistry = _placer.CopyRegistry
EngineGroups = _engine_groups.EngineGroups
group_key = _engine_groups.group_key
GroupLog = _group_log.GroupLog
Debits = _debits.Debits
LeaderDebits = _debits.LeaderDebits
Leadership = _leadership.Leadership
HolderRegistry = _tenure.HolderRegistry
Tenure = _tenure.Tenure
PlaceSettings = _place_settings.PlaceSettings
PlacePolicy = _place_policy.PlacePolicy
Placer = _placer.Placer
PLACE_SHED_S = _placer.PLACE_SHED_S
RELEASE_SHED_S = _placer.RELEASE_SHED_S
CallExchange = _exchange.CallExchange
CallGatherer = _gatherer.CallGatherer

BegunUse = _place_messages.BegunUse
EndedUse = _place_messages.EndedUse
EXCHANGE = _exchange_messages.EXCHANGE
PLACE = _place_messages.PLACE
PLACE_INDIRECT = _place_messages.PLACE_INDIRECT
PlaceReply = _place_messages.PlaceReply
PlaceRequest = _place_messages.PlaceRequest
RELEASE = _place_messages.RELEASE
RELEASE_INDIRECT = _place_messages.RELEASE_INDIRECT
Released = _place_messages.Released
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
