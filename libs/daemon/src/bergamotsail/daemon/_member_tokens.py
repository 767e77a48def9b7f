"""Adds and removes tokens in the JSON value of a member."""

import secrets
import typing

from bergamotsail import wire

TOKEN_BYTES = 24

Value = dict[str, typing.Any]


def new_token() -> str:
    """Return a random token for a member's callers."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def with_token(value: Value, token_sha256: str) -> Value:
    """Return a member that holds another token as well.

    Raises:
        BadRequestError: the member holds it already.
    """
    if token_sha256 in hashes(value):
        raise wire.BadRequestError("The member holds this token already.")
    return value | {"tokens_sha256": [*_further(value), token_sha256]}


def without_token(value: Value, token_sha256: str) -> Value:
    """Return a member that no longer holds a token.

    Raises:
        BadRequestError: the member does not hold it.
    """
    if token_sha256 not in hashes(value):
        raise wire.BadRequestError(
            "The member does not hold this token. List its tokens with "
            "'member tokens'."
        )
    further = [token for token in _further(value) if token != token_sha256]
    first = value.get("token_sha256")
    kept = None if first == token_sha256 else first
    return value | {"token_sha256": kept, "tokens_sha256": further}


def hashes(value: Value) -> list[str]:
    """Return the hashes of a member's tokens."""
    first = value.get("token_sha256")
    return [*([first] if first is not None else ()), *_further(value)]


def _further(value: Value) -> list[str]:
    return list(value.get("tokens_sha256") or ())
