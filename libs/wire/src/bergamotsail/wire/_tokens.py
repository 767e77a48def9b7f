"""Names and luck that no two processes share."""

import hashlib
import os
import random
import time
import uuid

TOKEN_BYTES = 8


def fresh_token(name: str) -> str:
    """Return a token of 16 hex digits that is new with every call.

    The system's randomness alone may be the same in processes that start
    at the same moment on machines that are alike, so the name of the daemon
    and the clocks go in as well.
    """
    parts = (
        name,
        uuid.uuid4().hex,
        str(os.getpid()),
        str(time.time_ns()),
        str(time.monotonic_ns()),
    )
    text = "/".join(parts).encode()
    return hashlib.blake2b(text, digest_size=TOKEN_BYTES).hexdigest()


def make_rng(name: str) -> random.Random:
    """Return a source of luck that other daemons don't share."""
    return random.Random(fresh_token(name))
