"""The memory and connections that a process spends on its clients.

All listeners of a process share one :class:`ConnectionTable`. Each connection
is charged for the bytes that the process holds for it. Where the next bytes
or the next connection don't fit, the connections without progress for the
longest time are closed; those whose request is being served are not. If that
does not make enough room, the new bytes are refused.

Nothing here does I/O: :class:`Owner` is the interface to what does.

Example::

    table = ConnectionTable(TableLimits.of_process(300_000_000, 4096), clock)
    connection = table.open(owner)
    connection.enter(Stage.BODY)
    connection.add_body(len(piece))  # may raise NoRoomError
    connection.close()
"""

from bergamotsail.connections import _limits
from bergamotsail.connections import _table

Connection = _table.Connection
ConnectionTable = _table.ConnectionTable
Owner = _table.Owner
Reason = _table.Reason
TableObserver = _table.TableObserver
no_room_error = _table.no_room_error
Stage = _table.Stage
ASKED_RECEIVE_BUFFER_BYTES = _limits.ASKED_RECEIVE_BUFFER_BYTES
RECEIVE_BUFFER_BYTES = _limits.RECEIVE_BUFFER_BYTES
TableLimits = _limits.TableLimits
Timeouts = _limits.Timeouts
