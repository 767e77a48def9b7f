"""Bearer tokens in the Authorization header."""

import collections.abc
import re

# RFC 9110, section 11.4: the scheme is case-insensitive, and one or more
# spaces separate it from the token.
CREDENTIALS = re.compile(r"[ \t]*bearer +([\x21-\x7e]+)[ \t]*", re.IGNORECASE)


def parse_bearer(values: collections.abc.Sequence[str]) -> str | None:
    """Return the bearer token in the values of the Authorization header.

    Example: ``parse_bearer(["bearer  abc"])`` returns ``"abc"``. No value,
    several values, another scheme, and text after the token give None.
    """
    if len(values) != 1:
        return None
    match = CREDENTIALS.fullmatch(values[0])
    return None if match is None else match[1]
