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
HeldAdapter = _adapter_engine.HeldAdapter
OrderOutcome = _adapter_engine.OrderOutcome

Incarnation = _instances.Incarnation
Instance = _instances.Instance
InstanceList = _instances.InstanceList
ListFaults = _instances.ListFaults
InstanceState = _instances.InstanceState
whole_ms = _instances.whole_ms

Flag = _header_values.Flag
Seconds = _header_values.Seconds
read_flag = _header_values.read_flag
read_seconds = _header_values.read_seconds

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
