"""Analysis of requests, from the event logs of any number of daemons.

``read_events`` parses the logs, ``request_traces`` returns a trace of each
request, and ``summary`` formats tables of them.

Example::

    events = explain.read_events(paths)
    print("\\n".join(explain.describe_request("r1", events)))
"""

from bergamotsail.explain import _events
from bergamotsail.explain import _summary
from bergamotsail.explain import _traces
from bergamotsail import wire

Event = _events.Event
read_events = _events.read_events

RequestTrace = _traces.RequestTrace
request_traces = _traces.request_traces

describe_request = _summary.describe_request
summary = _summary.summary

# The plots need matplotlib, which daemons run without.
__getattr__ = wire.lazy_names(__name__, {"_report": ("write_report",)})
