"""From a caller's request to the target that answers it.

:class:`Entry` serves model requests, :class:`ServiceRouter` calls of plain
services; both admit within the shares of :class:`Admission`.
"""

from bergamotsail.routing import _admission
from bergamotsail.routing import _choice
from bergamotsail.routing import _entry
from bergamotsail.routing import _forward
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _keys
from bergamotsail.routing import _places
from bergamotsail.routing import _retries
from bergamotsail.routing import _service_choice
from bergamotsail.routing import _services
from bergamotsail.routing import _where

Admission = _admission.Admission
AdmissionSettings = _admission.AdmissionSettings

LeastLoadedRouting = _choice.LeastLoadedRouting
HashRouting = _choice.HashRouting
ResidencyRouting = _choice.ResidencyRouting
Routing = _choice.Routing
routing_named = _choice.routing_named

Caller = _entry.Caller
Completion = _entry.Completion
Entry = _entry.Entry
Part = _entry.Part
ResumePoint = _entry.ResumePoint
parse_resume = _entry.parse_resume

CallerAnswer = _forward_types.CallerAnswer
CallerRequest = _forward_types.CallerRequest
Dialect = _forward_types.Dialect
Destination = _forward_types.Destination
Forwarder = _forward.Forwarder
Headers = _forward_types.Headers
ModelPart = _forward_types.ModelPart
Places = _places.Places
Reading = _forward_types.Reading
RepeatBudgets = _service_choice.RepeatBudgets
ServiceChoice = _service_choice.ServiceChoice

key_time_ms = _keys.key_time_ms

RetryBudgets = _retries.RetryBudgets

ServiceCall = _services.ServiceCall
ServiceResult = _services.ServiceResult
ServiceRouter = _services.ServiceRouter

Where = _where.Where
WhereAnswer = _where.WhereAnswer
