"""Parsers for response headers in which a target reports its own state.

Invalid values are returned to the caller to be logged and never raise.
"""

import collections.abc
import dataclasses

# Counts and times are below 10^9.
MAX_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Flag:
    """A parsed flag.

    Args:
        invalid_value: an invalid value, if there was one.
    """

    is_set: bool = False
    invalid_value: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Seconds:
    """A parsed duration.

    Args:
        value: duration in seconds, None without a valid value.
        invalid_value: an invalid value, if there was one.
    """

    value: float | None = None
    invalid_value: str | None = None


def parse_flag(values: collections.abc.Iterable[str]) -> Flag:
    """Parse the values of a flag: "1" is set, "0" is not.

    The flag is set if any of the values is "1".

    Example: ``parse_flag(["0", "1"])`` is set.
    """
    is_set, invalid_value = False, None
    for text in values:
        if text == "1":
            is_set = True
        elif text != "0":
            invalid_value = text
    return Flag(is_set, invalid_value)


def parse_seconds(values: collections.abc.Iterable[str]) -> Seconds:
    """Parse the values of a duration in seconds; the longest counts.

    A date is invalid, because it would require synchronised clocks.

    Example: ``parse_seconds(["1.5", "soon"])`` returns 1.5 and reports "soon"
    as invalid.
    """
    longest_s, invalid_value = None, None
    for text in values:
        whole, _, fraction = text.partition(".")
        if text.isascii() and (whole + fraction).isdecimal():
            longest_s = max(float(text), longest_s or 0.0)
        else:
            invalid_value = text
    return Seconds(longest_s, invalid_value)


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """A parsed rate.

    Args:
        value: events a second, None without a valid value.
        invalid_value: an invalid value, if there was one.
    """

    value: float | None = None
    invalid_value: str | None = None


def parse_rate(values: collections.abc.Iterable[str]) -> Rate:
    """Parse the values of a rate, a decimal number; the lowest counts.

    Example: ``parse_rate(["2.5", "nan"])`` returns 2.5 and reports "nan" as
    invalid.
    """
    lowest, invalid_value = None, None
    for text in values:
        whole, _, fraction = text.partition(".")
        digits = whole + fraction
        if (
            digits.isascii()
            and digits.isdecimal()
            and len(whole) <= MAX_DIGITS
        ):
            rate = float(text)
            lowest = rate if lowest is None else min(rate, lowest)
        else:
            invalid_value = text
    return Rate(lowest, invalid_value)


def parse_count(text: str) -> int | None:
    """Return a decimal number of at most MAX_DIGITS digits, else None.

    Example: ``parse_count(" 12 ")`` is 12; ``"-1"`` and ``"\xb2"`` give None.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()):
        return None
    return int(digits) if len(digits) <= MAX_DIGITS else None
