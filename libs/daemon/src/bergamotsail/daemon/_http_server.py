"""The HTTP routes of a daemon for callers, operators and peers."""

from tornado import web

from bergamotsail.daemon import _access_log
from bergamotsail.daemon import _admin_handlers
from bergamotsail.daemon import _assembly
from bergamotsail.daemon import _caller_handlers
from bergamotsail.daemon import _peer_handlers


def application(daemon: _assembly.Daemon) -> web.Application:
    """Return the web application of a daemon."""
    args = {"daemon": daemon}
    callers = _caller_handlers
    admin = _admin_handlers
    routes = [
        (r"/healthz", callers.HealthHandler, args),
        (r"/v1/where", callers.WhereHandler, args),
        (r"/v1/models", callers.ModelsHandler, args),
        (
            r"/v1/(completions|chat/completions)",
            callers.CompletionHandler,
            args,
        ),
        (r"/v1/services/([^/]+)(/.*)?", callers.ServiceHandler, args),
        (r"/admin/v1/entries/([a-z]+)", admin.EntriesHandler, args),
        (r"/admin/v1/entries/([a-z]+)/([^/]+)", admin.EntryHandler, args),
        (r"/admin/v1/history", admin.HistoryHandler, args),
        (r"/admin/v1/watch", admin.WatchHandler, args),
        (r"/admin/v1/status", admin.StatusHandler, args),
        (r"/admin/v1/metrics", admin.MetricsHandler, args),
        (r"/admin/v1/form", admin.FormHandler, args),
        (r"/admin/v1/drain", admin.DrainHandler, args),
        (r"/peer/v1/([a-z_]+)", _peer_handlers.PeerHandler, args),
        (r".*", callers.UnknownHandler, args),
    ]
    return _access_log.application_without_access_log(routes)
