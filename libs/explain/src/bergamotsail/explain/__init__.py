"""What happened to requests, from the JSON logs of any number of daemons.

Example::

    events = explain.read_events(paths)
    journeys = explain.journeys(events)
    print("\\n".join(explain.summary(journeys, events)))
"""

from bergamotsail.explain import _events
from bergamotsail.explain import _journeys
from bergamotsail.explain import _summary
from bergamotsail import wire

Event = _events.Event
read_events = _events.read_events

Journey = _journeys.Journey
request_traces = _journeys.request_traces

describe_request = _summary.describe_request
summary = _summary.summary

# The plots need matplotlib, which daemons do without.
__getattr__ = wire.lazy_names(__name__, {"_report": ("write_report",)})
