"""Idempotency keys with an embedded timestamp.

Claims are deleted after a retention time. To refuse a key whose claim may
have been deleted, its age must be known from the key alone, so a key is
either a UUID of version 7 or ``UNIX_SECONDS-ANYTHING``.
"""

import uuid

from bergamotsail import wire

MAX_KEY_LENGTH = 200
_MS = 1000


def key_time_ms(key: str) -> int:
    """Return the timestamp in a key, in milliseconds since the Unix epoch.

    Example: ``key_time_ms("1767225600-pickup-17")`` gives
    ``1767225600000``.

    Raises:
        IdempotencyKeyError: the key is empty, too long or has no timestamp.
    """
    if not key or len(key) > MAX_KEY_LENGTH:
        raise _bad_key()
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return _prefix_ms(key)
    if parsed.version != 7:
        raise _bad_key()
    return parsed.int >> 80


def _prefix_ms(key: str) -> int:
    seconds, dash, rest = key.partition("-")
    if not (dash and rest and seconds.isascii() and seconds.isdigit()):
        raise _bad_key()
    return int(seconds) * _MS


def _bad_key() -> wire.IdempotencyKeyError:
    return wire.IdempotencyKeyError(
        "The Idempotency-Key must be a UUID of version 7 or "
        "UNIX_SECONDS-ANYTHING, of at most 200 characters."
    )
