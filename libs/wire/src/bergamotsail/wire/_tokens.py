"""Unique tokens and random generators for each process."""

import hashlib
import os
import random
import time
import uuid

TOKEN_BYTES = 8


def fresh_token(name: str) -> str:
    """Return a new, unique token of 16 hex digits.

    The system's random numbers alone may be equal in processes that start
    at the same moment on identical instances, so the name, the process ID
    and the clocks are included.
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
    """Return a random generator with a unique seed."""
    return random.Random(fresh_token(name))
