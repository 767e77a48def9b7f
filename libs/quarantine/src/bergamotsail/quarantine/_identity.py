"""What repeats of one request have in common."""

import hashlib

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def identity(member: str, *parts: str | bytes) -> str:
    """Return a name that repeats of a request share, and nothing else does.

    Requests of two members never have the same name. What was asked can't
    be read from it, so it may stand in logs.

    Example: ``identity("tahi", "POST", "/quotes", b"hem")`` is the same at
    every daemon and after every restart.

    Args:
        parts: all that makes a target do the same work again.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (member, *parts):
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(LENGTH_BYTES, "big"))
        digest.update(data)
    return digest.hexdigest()
