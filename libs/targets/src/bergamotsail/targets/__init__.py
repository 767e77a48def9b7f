"""Interfaces to external systems and their HTTP implementations.

There is one small module for each kind of system: engines, plain services
and the instance list. Other libraries use these interfaces only and do not
depend on the protocols.
"""

from bergamotsail.targets import _adapter_engine
from bergamotsail.targets import _header_values
from bergamotsail.targets import _instances
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

Flag = _header_values.Flag
Seconds = _header_values.Seconds
parse_count = _header_values.parse_count
parse_flag = _header_values.parse_flag
parse_seconds = _header_values.parse_seconds
Rate = _header_values.Rate
parse_rate = _header_values.parse_rate

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
