"""Requests that end the targets that run them.

A request that makes an engine crash comes again, at any daemon, and ends the
next one. :func:`identity` names what its repeats share, daemons keep
:class:`Observations` of what was lost with a target, and the leader counts
them with an :class:`EndCounter`.
"""

from bergamotsail.quarantine import _ends
from bergamotsail.quarantine import _identity
from bergamotsail.quarantine import _observations

KEPT_S = _observations.KEPT_S
MAX_ENDS = _ends.MAX_ENDS
EndCounter = _ends.EndCounter
Observation = _observations.Observation
Observations = _observations.Observations
Run = _observations.Run
RunEnd = _observations.RunEnd
Suspect = _ends.Suspect
identity = _identity.identity
