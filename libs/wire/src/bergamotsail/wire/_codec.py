"""JSON encoding of frozen dataclasses, checked on the way in."""

import collections.abc
import typing

import msgspec

from bergamotsail.wire import _errors

T = typing.TypeVar("T")


def encode(value: object) -> bytes:
    """Encode a dataclass, or any plain value, as JSON."""
    return msgspec.json.encode(value)


def to_builtins(value: object) -> typing.Any:
    """Turn a dataclass into dicts, lists and plain values."""
    return msgspec.to_builtins(value)


def decode(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON into *kind* and check every field.

    Raises:
        BadMessageError: the data is not JSON or does not fit *kind*.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        name = getattr(kind, "__name__", str(kind))
        raise _errors.BadMessageError(
            f"Send JSON that fits {name}: {error}."
        ) from error


def encode_lines(values: collections.abc.Iterable[object]) -> bytes:
    """Encode values as JSON, one a line."""
    return b"".join(encode(value) + b"\n" for value in values)
