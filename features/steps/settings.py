"""Steps for the validation of settings."""

import json

import behave

from bergamotsail import settings

behave.use_step_matcher("parse")


@behave.given("valid settings")
def valid_settings(context) -> None:
    context.values = {
        "name": "entry-1",
        "address": "10.0.0.1:7001",
        "datacentre": "mnl-a",
        "replicas": ["10.0.0.1:7001"],
        "data_folder": "/data",
        "instance_list": "http://10.0.0.9:9000/instances",
        "peer_token": "0123456789abcdef",
        "operator_tokens": {},
    }


@behave.when("{key} is set to {value}")
def set_key(context, key: str, value: str) -> None:
    context.values[key] = json.loads(value)


def _faults(context) -> list[settings.SettingFault]:
    try:
        settings.parse(json.dumps(context.values))
    except settings.SettingsError as group:
        return list(group.exceptions)
    return []


@behave.then("they are accepted")
def accepted(context) -> None:
    assert not _faults(context), _faults(context)


@behave.then("lease.lease_s is 3.0")
def default_lease(context) -> None:
    parsed = settings.parse(json.dumps(context.values))
    assert parsed.lease.lease_s == 3.0


@behave.then("the fault is at {path}")
def fault_at(context, path: str) -> None:
    paths = [fault.path for fault in _faults(context)]
    assert any(found.startswith(path) for found in paths), paths


@behave.then("there are {count:d} faults")
def fault_count(context, count: int) -> None:
    faults = _faults(context)
    assert len(faults) == count, faults


@behave.then("every setting has a meaning")
def explained(context) -> None:
    notes = list(settings.explain())
    assert len(notes) > 30
    assert all(note.note and note.kind for note in notes)
