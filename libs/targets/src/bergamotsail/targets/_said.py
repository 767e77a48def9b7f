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
    invalid_value: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Seconds:
    """A time that was named.

    Args:
        value: in seconds; None when none was named that can be read.
        unread: a text that is no such time.
    """

    value: float | None = None
    invalid_value: str | None = None


def parse_flag(texts: collections.abc.Iterable[str]) -> Flag:
    """Read a flag that may be said several times; once is enough.

    Example: ``parse_flag(["0", "1"])`` is set.
    """
    is_set, invalid_value = False, None
    for text in texts:
        if text == "1":
            is_set = True
        elif text != "0":
            invalid_value = text
    return Flag(is_set, invalid_value)


def parse_seconds(texts: collections.abc.Iterable[str]) -> Seconds:
    """Read a time that may be named several times; the longest holds.

    A date is not read: it would need the target's clock to be ours.

    Example: ``parse_seconds(["1.5", "soon"])`` is 1.5 with "soon" unread.
    """
    longest_s, invalid_value = None, None
    for text in texts:
        whole, _, fraction = text.partition(".")
        if text.isascii() and (whole + fraction).isdecimal():
            longest_s = max(float(text), longest_s or 0.0)
        else:
            invalid_value = text
    return Seconds(longest_s, invalid_value)
