"""Checks of the fields of the store's records, which come from any writer or from other processes.

Each raises `InvalidFieldError` for a value of another type than the field's, or out of its range.
"""

from reprlib import repr as shortened
from typing import Any

from heatheryoke.core.records import ConfigurationRecord, EndpointRecord, Position, ServiceRecord
from heatheryoke.core.routes import Route

__all__ = [
    "MAXIMUM_INT64",
    "MAXIMUM_SLOTS",
    "MAXIMUM_UNIX_MS",
    "InvalidFieldError",
    "check_configuration",
    "check_endpoint",
    "check_integer",
    "check_name",
    "check_number",
    "check_position",
    "check_route",
    "check_service",
]

# Revisions, versions and Unix times in milliseconds fit into 63 bits.
MAXIMUM_INT64 = 2**63 - 1
# The store's documented limit for a key. It applies to every name, so that records fit into peer
# messages, which give a name's length in one byte.
MAXIMUM_NAME_BYTES = 200
# The largest number that a peer message can carry as an upstream's slots.
MAXIMUM_SLOTS = 65_535
# The last millisecond of the year 9999, beyond which no clock gives a Unix time.
MAXIMUM_UNIX_MS = 253_402_300_799_999
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


def check_name(value: Any) -> str:
    """Return a printable text of up to `MAXIMUM_NAME_BYTES`."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise InvalidFieldError(f"{shortened(value)} is not a printable text")
    if len(value.encode()) > MAXIMUM_NAME_BYTES:
        raise InvalidFieldError(f"{shortened(value)} is longer than {MAXIMUM_NAME_BYTES} bytes")
    return value


def check_boolean(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise InvalidFieldError(f"{shortened(value)} is neither true nor false")
    return value


def check_position(position: Position) -> Position:
    """Return a position that peer messages can carry."""
    check_integer(position.era)
    check_integer(position.revision)
    return position


def check_endpoint(record: EndpointRecord) -> EndpointRecord:
    """Return an upstream's record; `Address.parse` has checked its address."""
    check_name(record.service)
    check_name(record.failure_domain)
    check_integer(record.slots, 1, MAXIMUM_SLOTS)
    check_number(record.cold_s, 0, MAXIMUM_COLD_S)
    check_integer(record.born_ms, 0, MAXIMUM_UNIX_MS)
    return record


def check_route(route: Route) -> Route:
    """Return a route; `Address.parse` has checked its address."""
    check_name(route.name)
    for share in route.shares:
        check_name(share.service)
        check_number(share.weight)
    check_boolean(route.idempotent)
    check_number(route.target_latency_s)
    check_number(route.timeout_s)
    check_integer(route.priority)
    return route


def check_service(record: ServiceRecord) -> ServiceRecord:
    """Return a service's limits."""
    check_name(record.name)
    check_integer(record.connections)
    check_number(record.cold_s)
    check_number(record.cold_rate)
    return record


def check_configuration(record: ConfigurationRecord) -> ConfigurationRecord:
    """Return a configuration, whose routes and services are checked on their own."""
    check_integer(record.version)
    check_number(record.idle_s)
    return record
