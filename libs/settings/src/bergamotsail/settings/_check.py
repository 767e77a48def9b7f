"""Loading and validation of settings."""

import collections.abc
import dataclasses
import ipaddress
import json
import pathlib
import re
import typing

import cattrs
from cattrs import gen

from bergamotsail.settings import _model

MIN_HEARTBEATS_PER_LEASE = 3


class SettingFault(ValueError):
    """An invalid setting: its path and the reason."""

    def __init__(self, path: str, message: str) -> None:
        super().__init__(f"{path}: {message}")
        self.path = path
        self.message = message


class SettingsError(ExceptionGroup):
    """All faults of a settings file, as an exception group."""

    def derive(
        self, excs: collections.abc.Sequence[Exception]
    ) -> "SettingsError":
        """Return a group of this type when the group is split."""
        return SettingsError(self.message, excs)


def load(path: str | pathlib.Path) -> _model.DaemonSettings:
    """Read and validate a settings file.

    Raises:
        SettingsError: with one :class:`SettingFault` for each fault.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_error(
            [SettingFault(str(path), f"can't be read: {error}")]
        )
    return parse(text)


def parse(text: str) -> _model.DaemonSettings:
    """Validate settings given as JSON text; raises as :func:`load`."""
    try:
        data = json.loads(text)
    except ValueError as error:
        raise _settings_error([SettingFault("$", f"invalid JSON: {error}")])
    try:
        settings = _converter().structure(data, _model.DaemonSettings)
    except cattrs.BaseValidationError as error:
        raise _settings_error(list(_structure_faults(error)))
    faults = list(_range_faults(settings, "$"))
    faults.extend(_semantic_faults(settings))
    if faults:
        raise _settings_error(faults)
    return settings


def _settings_error(faults: list[SettingFault]) -> SettingsError:
    return SettingsError("Invalid settings", faults)


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (str, int, float, bool):
        converter.register_structure_hook(kind, _structure_exact)
    for kind in _nested_types(_model.DaemonSettings):
        hook = gen.make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=True
        )
        converter.register_structure_hook(kind, hook)
    return converter


def _nested_types(kind: type) -> collections.abc.Iterator[type]:
    for field in dataclasses.fields(kind):
        if dataclasses.is_dataclass(field.type):
            yield from _nested_types(field.type)
    yield kind


def _structure_exact(value: object, kind: type) -> object:
    """Return a value of exactly this type; an int is valid as a float."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        found = type(value).__name__
        raise TypeError(f"must be of type {kind.__name__}, not {found}")
    return value


def _structure_faults(
    error: cattrs.BaseValidationError,
) -> collections.abc.Iterator[SettingFault]:
    for line in cattrs.transform_error(error, format_exception=_describe):
        message, _, path = line.rpartition(" @ ")
        yield SettingFault(path, message)


def _describe(error: BaseException, _: type | None) -> str:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(error.extra_fields))
        return f"unknown keys: {names}; remove or correct them"
    if isinstance(error, KeyError):
        return f"required key {error.args[0]} is missing"
    return str(error)


def _range_faults(
    value: typing.Any, path: str
) -> collections.abc.Iterator[SettingFault]:
    for field in dataclasses.fields(value):
        inner = getattr(value, field.name)
        inner_path = f"{path}.{field.name}"
        if dataclasses.is_dataclass(inner):
            yield from _range_faults(inner, inner_path)
        allowed = field.metadata.get("range")
        if allowed and not allowed.low <= inner <= allowed.high:
            yield SettingFault(
                inner_path,
                f"must be from {allowed.low:g} to {allowed.high:g}",
            )


def _semantic_faults(
    settings: _model.DaemonSettings,
) -> collections.abc.Iterator[SettingFault]:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9-]{0,63}", settings.name):
        yield SettingFault(
            "$.name",
            "must be 1 to 64 letters, digits and dashes, with no leading dash",
        )
    for path, address in _addresses(settings):
        if not _is_address(address):
            yield SettingFault(path, "must be an IP address and a port")
    if not settings.replicas:
        yield SettingFault("$.replicas", "must list at least one replica")
    is_replica = settings.address in settings.replicas
    if is_replica and settings.data_folder is None:
        yield SettingFault(
            "$.data_folder",
            "required, as this address is listed under replicas",
        )
    if settings.data_folder is not None and not is_replica:
        yield SettingFault(
            "$.data_folder",
            "only replicas have one: list this address under replicas or "
            "remove this setting",
        )
    lease = settings.lease
    if lease.heartbeat_s * MIN_HEARTBEATS_PER_LEASE > lease.lease_s:
        yield SettingFault(
            "$.lease.heartbeat_s", "must be at most a third of lease_s"
        )
    if settings.consensus.heartbeat_s * 3 > settings.consensus.election_s:
        yield SettingFault(
            "$.consensus.heartbeat_s", "must be at most a third of election_s"
        )
    if len(settings.peer_token) < 16:
        yield SettingFault("$.peer_token", "must have 16 characters or more")
    for operator, digest in settings.operator_tokens.items():
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            yield SettingFault(
                f"$.operator_tokens[{operator!r}]",
                "must be 64 lowercase hex digits",
            )
    if settings.routing not in ("residency", "hash", "least_loaded"):
        yield SettingFault(
            "$.routing", "must be residency, hash or least_loaded"
        )
    if settings.placement.policy not in ("value", "least_recent"):
        yield SettingFault(
            "$.placement.policy", "must be value or least_recent"
        )


def _addresses(
    settings: _model.DaemonSettings,
) -> collections.abc.Iterator[tuple[str, str]]:
    yield "$.address", settings.address
    for number, address in enumerate(settings.replicas):
        yield f"$.replicas[{number}]", address


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65536
