"""Stable identity of a request across its retries."""

import hashlib

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def identity(member: str, *parts: str | bytes) -> str:
    """Return a digest that is the same for every retry of a request.

    The member is part of it, so requests of two members never share an
    identity. The content can't be recovered from it, so it may be logged.

    Example: ``identity("tahi", "POST", "/quotes", b"hem")`` is the same at
    every daemon and after every restart.

    Args:
        parts: everything that determines the work of the target.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (member, *parts):
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(LENGTH_BYTES, "big"))
        digest.update(data)
    return digest.hexdigest()
