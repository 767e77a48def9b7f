"""Descriptions of the settings, for the command line and the docs."""

import collections.abc
import dataclasses
import typing

from bergamotsail.settings import _model


@dataclasses.dataclass(frozen=True, slots=True)
class SettingDescription:
    """A setting: its path, type, default, range and description."""

    path: str
    kind: str
    default: str
    allowed: str
    note: str


def explain(
    kind: type = _model.DaemonSettings, path: str = ""
) -> collections.abc.Iterator[SettingDescription]:
    """Yield a description of each setting."""
    for field in dataclasses.fields(kind):
        inner_path = f"{path}{field.name}"
        if dataclasses.is_dataclass(field.type):
            yield from explain(field.type, f"{inner_path}.")
            continue
        allowed = field.metadata.get("range")
        yield SettingDescription(
            inner_path,
            _kind_name(field.type),
            _default_of(field),
            f"{allowed.low:g} to {allowed.high:g}" if allowed else "",
            field.metadata["note"],
        )


def _kind_name(kind: typing.Any) -> str:
    return kind.__name__ if isinstance(kind, type) else str(kind)


def _default_of(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    return str(field.default)
