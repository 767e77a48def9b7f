"""JSON encoding of frozen dataclasses, checked on the way in."""

import collections.abc
import typing

import msgspec

from bergamotsail.wire import _errors

T = typing.TypeVar("T")
UNREADABLE = "\ufffd".encode()


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


def decode_each(
    items: collections.abc.Iterable[msgspec.Raw],
    kind: type[T],
    refused: collections.abc.Callable[[_errors.BadMessageError], None],
) -> collections.abc.Iterator[T]:
    """Decode items one by one; one that does not fit costs itself alone.

    Args:
        refused: told of each item that does not fit.
    """
    for item in items:
        try:
            if UNREADABLE in bytes(item):
                raise _errors.BadMessageError("Send text in UTF-8.")
            yield decode(bytes(item), kind)
        except _errors.BadMessageError as error:
            refused(error)


def replace_invalid_utf8(data: bytes) -> bytes:
    """Replace bytes that are no text, so that they spoil only their item."""
    return data.decode("utf-8", "replace").encode()


def encode_lines(values: collections.abc.Iterable[object]) -> bytes:
    """Encode values as JSON, one a line."""
    return b"".join(encode(value) + b"\n" for value in values)
