"""The daemon's parts put together, and its HTTP faces.

:class:`Daemon` is the whole of it behind the interfaces to the outside; the
programs ``bergamotsaild`` and ``bergamotsail`` are thin around it.
"""

from bergamotsail.daemon import _bounded_body
from bergamotsail.daemon import _peer_face
from bergamotsail.daemon import _process
from bergamotsail.daemon import _quiet
from bergamotsail.daemon import _roles
from bergamotsail.daemon import _vitals
from bergamotsail import wire

BODY_BYTES = _bounded_body.BODY_BYTES
BoundedBodyHandler = _bounded_body.BoundedBodyHandler
SERVER_BODY_BYTES = _bounded_body.SERVER_BODY_BYTES
ResendBudgetSettings = _roles.ResendBudgetSettings
EntryPoint = _roles.EntryPoint
Replica = _roles.Replica
REPLICA_TIMING = _roles.REPLICA_TIMING
RoleSettings = _roles.RoleSettings
make_counting_transport = _roles.make_counting_transport
metrics_application = _roles.metrics_application
PEER_BODY_BYTES = _process.PEER_BODY_BYTES
listen = _process.listen
wait_for_stop_signal = _process.wait_for_stop_signal
LoopLag = _peer_face.LoopLag
PeerEndpoint = _peer_face.PeerEndpoint
ProcessMonitor = _vitals.ProcessMonitor
application_without_access_log = _quiet.application_without_access_log

__getattr__ = wire.lazy_names(
    __name__,
    {
        "_assembly": (
            "Daemon",
            "Dependencies",
        ),
        "_http_server": ("application",),
    },
)
