"""Event logs, and metrics that can be merged over daemons."""

from bergamotsail.observe import _decisions
from bergamotsail.observe import _events
from bergamotsail.observe import _metrics
from bergamotsail.observe import _work

Decision = _decisions.Decision
log_decision = _decisions.log_decision

EventHandler = _events.EventHandler
EventLog = _events.EventLog
install_event_handler = _events.install_event_handler
lines_dropped = _events.lines_dropped
log_event = _events.log_event

Metrics = _metrics.Metrics
MetricsSnapshot = _metrics.MetricsSnapshot
as_text = _metrics.as_text
merge = _metrics.merge
readable = _metrics.readable

WorkDone = _work.WorkDone
WorkLog = _work.WorkLog
count_message = _work.count_message
spent = _work.spent
timed = _work.timed
