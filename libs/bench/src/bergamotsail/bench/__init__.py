"""Tools that run the product on loopback and benchmark it."""

from bergamotsail.bench import _client
from bergamotsail.bench import _system

Client = _client.Client
OPERATOR_TOKEN = _system.OPERATOR_TOKEN
Process = _system.Process
Result = _client.Result
System = _system.System
SystemSettings = _system.SystemSettings
