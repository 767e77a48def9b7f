"""JSON encoding of frozen dataclasses, with validation on decoding."""

import collections.abc
import typing

import msgspec

from bergamotsail.wire import _errors

T = typing.TypeVar("T")
REPLACEMENT_CHARACTER = "\ufffd".encode()


def encode(value: object) -> bytes:
    """Encode a dataclass, or any plain value, as JSON."""
    return msgspec.json.encode(value)


def to_builtins(value: object) -> typing.Any:
    """Convert a dataclass to dicts, lists and plain values."""
    return msgspec.to_builtins(value)


def decode(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON into *kind* and validate every field.

    Raises:
        BadMessageError: the data is not JSON or does not fit *kind*.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        name = getattr(kind, "__name__", str(kind))
        raise _errors.BadMessageError(
            f"Invalid JSON for {name}: {error}."
        ) from error


def decode_each(
    items: collections.abc.Iterable[msgspec.Raw],
    kind: type[T],
    on_invalid: collections.abc.Callable[[_errors.BadMessageError], None],
) -> collections.abc.Iterator[T]:
    """Decode items one by one, and skip those that are invalid.

    Args:
        on_invalid: called with the error of each item that is skipped.
    """
    for item in items:
        try:
            if REPLACEMENT_CHARACTER in bytes(item):
                raise _errors.BadMessageError("The item is not valid UTF-8.")
            yield decode(bytes(item), kind)
        except _errors.BadMessageError as error:
            on_invalid(error)


def replace_invalid_utf8(data: bytes) -> bytes:
    """Replace invalid UTF-8, so that only the items with it are skipped."""
    return data.decode("utf-8", "replace").encode()


def encode_lines(values: collections.abc.Iterable[object]) -> bytes:
    """Encode values as JSON, one per line."""
    return b"".join(encode(value) + b"\n" for value in values)
