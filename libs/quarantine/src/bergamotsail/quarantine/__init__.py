"""Detection of requests that crash the targets that run them.

A request that crashes an engine ("query of death") is often retried, through
any daemon, and crashes the next one. :func:`identity` computes a key that all
retries share, daemons collect :class:`Observations` of requests lost with a
target, and the leader counts them with a :class:`LossCounter`.
"""

from bergamotsail.quarantine import _ends
from bergamotsail.quarantine import _identity
from bergamotsail.quarantine import _observations

KEPT_S = _observations.KEPT_S
MAX_ENDS = _ends.MAX_ENDS
LossCounter = _ends.LossCounter
Observation = _observations.Observation
Observations = _observations.Observations
Run = _observations.Run
RunEnd = _observations.RunEnd
Suspect = _ends.Suspect
identity = _identity.identity
