"""Keys that runs of requests have in common."""

import collections.abc
import dataclasses
import hashlib

DIGEST_BYTES = 16
LENGTH_BYTES = 8
PART_LABEL = "part"


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Something that several runs share: the whole request, or a part of it.

    Args:
        id: digest that is equal for all runs that share it.
        part: identifier of the part of the prompt; None for a whole request.
    """

    id: str
    part: str | None = None


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


def part_keys(
    member: str, pool: str, parts: collections.abc.Iterable[str]
) -> tuple[Key, ...]:
    """Return the keys of a prompt's parts.

    Targets of one pool may crash on a part that those of another one run.

    Example: ``part_keys("tahi", "llm", ("5c1e07a2",))`` has one key, which
    all prompts of that member in that pool share that have the part.
    """
    return tuple(
        Key(identity(member, PART_LABEL, pool, part), part) for part in parts
    )
