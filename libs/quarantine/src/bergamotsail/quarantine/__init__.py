"""Detection of requests that crash the targets that run them.

A request that crashes an engine ("query of death") is often retried, through
any daemon, and crashes the next one; or many requests do that share a part of
their prompts. Both are a :class:`Key` of a run. :func:`identity` and
:func:`part_keys` compute keys that are the same everywhere, daemons collect
:class:`Observations` of runs lost with a target, and the leader counts them
with a :class:`LossCounter`.
"""

from bergamotsail.quarantine import _ends
from bergamotsail.quarantine import _identity
from bergamotsail.quarantine import _observations

COINCIDENCE_WINDOW_S = _ends.COINCIDENCE_WINDOW_S
KEPT_S = _observations.KEPT_S
MAX_ENDS = _ends.MAX_ENDS
Key = _identity.Key
LossCounter = _ends.LossCounter
Observation = _observations.Observation
Observations = _observations.Observations
ObservedPart = _observations.ObservedPart
Run = _observations.Run
RunEnd = _observations.RunEnd
Suspect = _ends.Suspect
identity = _identity.identity
part_keys = _identity.part_keys
