"""The owner of an engine: residency, pins, loads, evictions and runs.

One daemon owns an engine at a time and sees every request for it. So what
to load, what may be evicted, and who runs next are local decisions.
"""

from bergamotsail.placement import _counter
from bergamotsail.placement import _engine_orders
from bergamotsail.placement import _engine_owner
from bergamotsail.placement import _fair_queue
from bergamotsail.placement import _holding
from bergamotsail.placement import _jobs
from bergamotsail.placement import _owners
from bergamotsail.placement import _place_messages
from bergamotsail.placement import _place_policy
from bergamotsail.placement import _placer
from bergamotsail.placement import _policy
from bergamotsail.placement import _residents

AgedCounter = _counter.AgedCounter
EngineOwner = _engine_owner.EngineOwner
FairQueue = _fair_queue.FairQueue
Owners = _owners.Owners

CANCEL = _jobs.CANCEL
CancelRequest = _jobs.CancelRequest
Job = _jobs.Job
PlacementSettings = _jobs.PlacementSettings
RUN = _jobs.RUN
RunRequest = _jobs.RunRequest

Candidate = _policy.Candidate
LeastRecentPolicy = _policy.LeastRecentPolicy
Policy = _policy.Policy
ValuePolicy = _policy.ValuePolicy
policy_named = _policy.policy_named

Residents = _residents.Residents

EngineOrders = _engine_orders.EngineOrders
StoreTurns = _engine_orders.StoreTurns
Holding = _holding.Holding
HomePolicy = _place_policy.HomePolicy
CopyNotes = _placer.CopyNotes
Leadership = _placer.Leadership
PlacePolicy = _place_policy.PlacePolicy
Placer = _placer.Placer

EndedUse = _place_messages.EndedUse
PLACE = _place_messages.PLACE
PlaceReply = _place_messages.PlaceReply
PlaceRequest = _place_messages.PlaceRequest
RELEASE = _place_messages.RELEASE
ReleaseRequest = _place_messages.ReleaseRequest
UseOutcome = _place_messages.UseOutcome
