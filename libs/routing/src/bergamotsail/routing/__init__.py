"""Routes callers' requests to the targets that answer them.

:class:`CompletionRouter` serves model requests and :class:`ServiceRouter`
calls of plain services, both subject to :class:`Admission`.
:class:`Forwarder` serves requests according to the route table.
"""

from bergamotsail.routing import _forward
from bergamotsail.routing import _forward_types
from bergamotsail.routing import _placements
from bergamotsail.routing import _reach
from bergamotsail.routing import _relayed
from bergamotsail.routing import _service_choice
from bergamotsail.routing import _survey
from bergamotsail.routing import _target_client
from bergamotsail import wire

AnswerWriter = _forward_types.AnswerWriter
CallerRequest = _forward_types.CallerRequest
Dialect = _forward_types.Dialect
Destination = _forward_types.Destination
Forwarder = _forward.Forwarder
Headers = _forward_types.Headers
ModelPart = _forward_types.ModelPart
PlacementClient = _placements.PlacementClient
ParsedHead = _forward_types.ParsedHead
Reach = _reach.Reach
RelayService = _relayed.RelayService
ResendBudgets = _service_choice.ResendBudgets
ServiceBalancer = _service_choice.ServiceBalancer
Survey = _survey.Survey
TargetClient = _target_client.TargetClient

__getattr__ = wire.lazy_names(
    __name__,
    {
        "_admission": (
            "Admission",
            "AdmissionSettings",
        ),
        "_choice": (
            "LeastLoadedRouting",
            "HashRouting",
            "ResidencyRouting",
            "Routing",
            "make_routing",
        ),
        "_completions": (
            "Caller",
            "Completion",
            "CompletionRouter",
            "AnswerPart",
            "ResumePoint",
            "parse_resume",
        ),
        "_keys": ("key_time_ms",),
        "_retries": ("RetryBudgets",),
        "_services": (
            "ServiceCall",
            "ServiceResult",
            "ServiceRouter",
        ),
        "_where": (
            "AddressLookup",
            "LookupResult",
        ),
    },
)
