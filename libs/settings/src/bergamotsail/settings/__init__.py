"""JSON settings with validation.

Every field is typed and has a documented default where one makes sense.
Unknown keys are rejected, and all faults are reported at once.
"""

from bergamotsail.settings import _check
from bergamotsail.settings import _explain
from bergamotsail.settings import _model

SettingFault = _check.SettingFault
SettingsError = _check.SettingsError
load = _check.load
parse = _check.parse

explain = _explain.explain
SettingDescription = _explain.SettingDescription

AdmissionFields = _model.AdmissionFields
ConsensusFields = _model.ConsensusFields
DaemonSettings = _model.DaemonSettings
HttpFields = _model.HttpFields
LeaseFields = _model.LeaseFields
PlacementFields = _model.PlacementFields
StopFields = _model.StopFields
