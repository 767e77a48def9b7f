"""Fakes (stand-ins) of the external systems.

They implement the subset of the published protocols that the demonstration,
the tests and the benchmarks need. Each is available as an in-process object
and as HTTP handlers around it.
"""

from bergamotsail.standins import _disk
from bergamotsail.standins import _engine
from bergamotsail.standins import _http
from bergamotsail.standins import _memory
from bergamotsail.standins import _network
from bergamotsail.standins import _others

EngineSettings = _engine.EngineSettings
EngineStandIn = _engine.EngineStandIn

InstanceListStandIn = _others.InstanceListStandIn
ServiceStandIn = _others.ServiceStandIn
WeightStoreStandIn = _others.WeightStoreStandIn

Link = _memory.Link
MemoryDisk = _disk.MemoryDisk
MemoryEngine = _memory.MemoryEngine
MemoryInstanceList = _memory.MemoryInstanceList
MemoryService = _memory.MemoryService

Host = _network.Host
MemoryNetwork = _network.MemoryNetwork
MemoryTransport = _network.MemoryTransport

engine_application = _http.engine_application
list_application = _http.list_application
service_application = _http.service_application
store_application = _http.store_application
HttpWeightStore = _http.HttpWeightStore
expected_text = _engine.expected_text
