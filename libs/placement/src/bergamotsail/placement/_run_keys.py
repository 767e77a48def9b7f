"""Keys of the runs on an owned engine, for the quarantine."""

import hashlib

from absl import logging
import msgspec

from bergamotsail.placement import _jobs
from bergamotsail import quarantine
from bergamotsail import targets
from bergamotsail import wire

# Messages that are looked at; further ones are ignored.
MAX_PARTS = 8
DIGEST_BYTES = 8


def identity(request: _jobs.RunRequest) -> str:
    """Return an id that is equal for all repeats of a request."""
    prompt = request.prompt
    return quarantine.identity(
        request.payer,
        request.adapter,
        str(prompt.text),
        str(prompt.max_tokens),
        str(prompt.chat),
    )


def parts(prompt: targets.Prompt) -> tuple[str, ...]:
    """Return names of the messages that other chats may have, too.

    The last message belongs to the request itself. A prompt that is no chat
    has no parts.

    Example: a chat of three messages has two, such as
    ``message 1 (5c1e07a2b4d01f6e)``.
    """
    if not prompt.chat:
        return ()
    try:
        messages = wire.decode(prompt.text, list[msgspec.Raw])
    except wire.BadMessageError as error:
        logging.info("owner: A chat is no list of messages. %s", error.message)
        return ()
    shared = messages[:-1][:MAX_PARTS]
    return tuple(
        f"message {number} ({_digest(bytes(message))})"
        for number, message in enumerate(shared, 1)
    )


def _digest(message: bytes) -> str:
    return hashlib.blake2b(message, digest_size=DIGEST_BYTES).hexdigest()


def part_keys(
    request: _jobs.RunRequest, pool: str
) -> tuple[quarantine.Key, ...]:
    """Return the keys of these messages."""
    return quarantine.part_keys(request.payer, pool, parts(request.prompt))
