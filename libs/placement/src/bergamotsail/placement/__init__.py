"""The owner of an engine: residency, pins, loads, evictions and runs.

One daemon owns an engine at a time and sees every request for it. So what
to load, what may be evicted, and who runs next are local decisions.
"""

from bergamotsail.placement import _counter
from bergamotsail.placement import _engine_owner
from bergamotsail.placement import _fair_queue
from bergamotsail.placement import _jobs
from bergamotsail.placement import _owners
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
