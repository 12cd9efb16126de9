"""Checks of the fields of the store's records, which come from any writer or from other processes.

Each raises `InvalidFieldError` for a value of another type than the field's, or out of its range.
"""

from reprlib import repr as shortened
from typing import Any

__all__ = [
    "MAXIMUM_COLD_S",
    "MAXIMUM_INT64",
    "MAXIMUM_SLOTS",
    "InvalidFieldError",
    "check_integer",
    "check_name",
    "check_number",
    "is_name",
]

# Revisions, versions and Unix times in milliseconds fit into 63 bits.
MAXIMUM_INT64 = 2**63 - 1
# The store's documented limit for a key. It applies to every name, so that records fit into peer
# messages, which give a name's length in one byte.
MAXIMUM_NAME_BYTES = 200
# The largest number that a peer message can carry as an upstream's slots.
MAXIMUM_SLOTS = 65_535
# One hour: the longest remaining cold start that is accepted.
MAXIMUM_COLD_S = 3_600.0


class InvalidFieldError(ValueError):
    """A field has another type than its own, or a value out of its range."""


def check_integer(value: Any, minimum: int = 0, maximum: int = MAXIMUM_INT64) -> int:
    """Return a whole number within a range."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise InvalidFieldError(
            f"{shortened(value)} is not a whole number from {minimum} to {maximum}"
        )
    return value


def check_number(value: Any, minimum: float = 0, maximum: float = MAXIMUM_INT64) -> float:
    """Return a number within a range as a float.

    The range is checked before the conversion, which raises `OverflowError` for larger integers.
    """
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise InvalidFieldError(f"{shortened(value)} is not a number from {minimum} to {maximum}")
    return float(value)


def is_name(value: Any) -> bool:
    """Return whether a value is a printable text of up to `MAXIMUM_NAME_BYTES`."""
    if not isinstance(value, str) or not value or not value.isprintable():
        return False
    return len(value.encode()) <= MAXIMUM_NAME_BYTES


def check_name(value: Any) -> str:
    """Return the name of a service, route, upstream or failure domain."""
    if not is_name(value):
        raise InvalidFieldError(f"{shortened(value)} is not a valid name")
    return value
