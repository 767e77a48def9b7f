"""Checks the status of HTTP replies.

libcurl passes on any status of three digits, and reads the first three of a
longer number. A reply with a status that HTTP doesn't have is no reply, and
what it says must not reach a caller.
"""

import http
import re

from bergamotsail.wire import _errors

MIN_STATUS = 100
MAX_STATUS = 599
STATUS_LINE_START = b"HTTP/"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?:[ \r\n]|$)")


def check_status(status: int | None) -> int:
    """Return a status if it is one of HTTP.

    This client never asks to switch protocols, so 101 is none either.

    Example::

        >>> check_status(204)
        204

    Raises:
        InvalidReplyError: it is not.
    """
    if (
        status is None
        or not MIN_STATUS <= status <= MAX_STATUS
        or status == http.HTTPStatus.SWITCHING_PROTOCOLS
    ):
        raise _errors.InvalidReplyError(
            f"The reply has the status {status}, which is none of HTTP. Check "
            "the peer."
        )
    return status


def parse_status_line(line: bytes) -> int:
    """Return the status in the first line of a reply's head.

    Raises:
        InvalidReplyError: it contains no status of HTTP.
    """
    found = _STATUS_LINE.match(line)
    if found is None:
        raise _errors.InvalidReplyError(
            f"The reply begins with {line[:40]!r}, which is no status line of "
            "HTTP/1.1. Check the peer."
        )
    return check_status(int(found[1]))
