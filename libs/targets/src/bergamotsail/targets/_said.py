"""What a target says of itself beside an answer, as text that may be wrong."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Flag:
    """Whether something was said.

    Args:
        unread: a text that says neither.
    """

    is_set: bool = False
    unread: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Seconds:
    """A time that was named.

    Args:
        value: in seconds; None when none was named that can be read.
        unread: a text that is no such time.
    """

    value: float | None = None
    unread: str | None = None


def read_flag(texts: collections.abc.Iterable[str]) -> Flag:
    """Read a flag that may be said several times; once is enough.

    Example: ``read_flag(["0", "1"])`` is set.
    """
    is_set, unread = False, None
    for text in texts:
        if text == "1":
            is_set = True
        elif text != "0":
            unread = text
    return Flag(is_set, unread)


def read_seconds(texts: collections.abc.Iterable[str]) -> Seconds:
    """Read a time that may be named several times; the longest holds.

    A date is not read: it would need the target's clock to be ours.

    Example: ``read_seconds(["1.5", "soon"])`` is 1.5 with "soon" unread.
    """
    longest_s, unread = None, None
    for text in texts:
        whole, _, fraction = text.partition(".")
        if text.isascii() and (whole + fraction).isdecimal():
            longest_s = max(float(text), longest_s or 0.0)
        else:
            unread = text
    return Seconds(longest_s, unread)
