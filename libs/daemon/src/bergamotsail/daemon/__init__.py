"""The daemon's parts put together, and its HTTP faces.

:class:`Daemon` is the whole of it behind the interfaces to the outside; the
programs ``bergamotsaild`` and ``bergamotsail`` are thin around it.
"""

from bergamotsail.daemon import _assembly
from bergamotsail.daemon import _http_server

Daemon = _assembly.Daemon
Outside = _assembly.Outside
application = _http_server.application
