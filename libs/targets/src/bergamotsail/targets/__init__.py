"""Narrow interfaces to everything outside, and their HTTP forms.

One small module for each kind of outside system: engines, plain services
and the instance list. Nothing else in the project knows their protocols.
"""

from bergamotsail.targets import _adapter_engine
from bergamotsail.targets import _instances
from bergamotsail.targets import _said
from bergamotsail import wire

AdapterEngine = _adapter_engine.AdapterEngine
AdapterReport = _adapter_engine.AdapterReport
EngineOrder = _adapter_engine.EngineOrder
ReportedAdapter = _adapter_engine.ReportedAdapter
OrderOutcome = _adapter_engine.OrderOutcome

Incarnation = _instances.Incarnation
Instance = _instances.Instance
InstanceList = _instances.InstanceList
BadEntryLogger = _instances.BadEntryLogger
InstanceState = _instances.InstanceState
parse_ms = _instances.parse_ms

Flag = _said.Flag
Seconds = _said.Seconds
parse_flag = _said.parse_flag
parse_seconds = _said.parse_seconds

__getattr__ = wire.lazy_names(
    __name__,
    {
        "_engine": (
            "Chunk",
            "Engine",
            "EngineReport",
            "Order",
            "Prompt",
            "Run",
            "split_name",
            "versioned_name",
        ),
        "_http_engine": ("HttpEngine",),
        "_http_list": ("HttpInstanceList",),
        "_http_service": ("HttpService",),
        "_service": (
            "Service",
            "ServiceReply",
            "ServiceRequest",
        ),
    },
)
