"""Narrow interfaces to everything outside, and their HTTP forms.

One small module for each kind of outside system: engines, plain services
and the instance list. Nothing else in the project knows their protocols.
"""

from bergamotsail.targets import _adapter_engine
from bergamotsail.targets import _engine
from bergamotsail.targets import _http_engine
from bergamotsail.targets import _http_list
from bergamotsail.targets import _http_service
from bergamotsail.targets import _instances
from bergamotsail.targets import _service

AdapterEngine = _adapter_engine.AdapterEngine
AdapterReport = _adapter_engine.AdapterReport
EngineOrder = _adapter_engine.EngineOrder
HeldAdapter = _adapter_engine.HeldAdapter
OrderOutcome = _adapter_engine.OrderOutcome

Chunk = _engine.Chunk
Engine = _engine.Engine
EngineReport = _engine.EngineReport
Order = _engine.Order
Prompt = _engine.Prompt
Run = _engine.Run
split_name = _engine.split_name
versioned_name = _engine.versioned_name

HttpEngine = _http_engine.HttpEngine
HttpInstanceList = _http_list.HttpInstanceList
HttpService = _http_service.HttpService

Instance = _instances.Instance
InstanceList = _instances.InstanceList
InstanceState = _instances.InstanceState

Service = _service.Service
ServiceReply = _service.ServiceReply
ServiceRequest = _service.ServiceRequest
