"""Assembles the daemon from its components and serves it over HTTP.

:class:`Daemon` contains the whole daemon and reaches external systems only
through the interfaces passed to it. The program ``bergamotsaild`` is a thin
wrapper around it; ``bergamotsail`` is its HTTP client.
"""

from bergamotsail.daemon import _access_log
from bergamotsail.daemon import _bounded_body
from bergamotsail.daemon import _client_server
from bergamotsail.daemon import _peer_endpoint
from bergamotsail.daemon import _process
from bergamotsail.daemon import _process_monitor
from bergamotsail.daemon import _relay_handler
from bergamotsail.daemon import _roles
from bergamotsail import wire

BODY_BYTES = _bounded_body.BODY_BYTES
BoundedBodyHandler = _bounded_body.BoundedBodyHandler
SERVER_BODY_BYTES = _bounded_body.SERVER_BODY_BYTES
ResendBudgetSettings = _roles.ResendBudgetSettings
EntryPoint = _roles.EntryPoint
Replica = _roles.Replica
REPLICA_TIMING = _roles.REPLICA_TIMING
RelayedAnswer = _relay_handler.RelayedAnswer
RelayHandler = _relay_handler.RelayHandler
RoleSettings = _roles.RoleSettings
make_counting_transport = _roles.make_counting_transport
PEER_BODY_BYTES = _process.PEER_BODY_BYTES
ignore_reload_signal = _process.ignore_reload_signal
ClientListeners = _client_server.ClientListeners
Listener = _client_server.Listener
ListenerLimits = _client_server.ListenerLimits
ProcessLimits = _client_server.ProcessLimits
reloads = _process.reloads
wait_for_stop_signal = _process.wait_for_stop_signal
LoopLag = _peer_endpoint.LoopLag
PeerEndpoint = _peer_endpoint.PeerEndpoint
ProcessMonitor = _process_monitor.ProcessMonitor
application_without_access_log = _access_log.application_without_access_log

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
