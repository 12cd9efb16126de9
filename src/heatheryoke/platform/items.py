"""Decoding of the items of the platform's store into typed records."""

import base64
import json
from collections.abc import Callable
from reprlib import repr as shortened
from typing import Any

from heatheryoke.core.record_checks import (
    MAXIMUM_SLOTS,
    check_configuration,
    check_endpoint,
    check_integer,
    check_name,
    check_number,
    check_position,
    check_route,
    check_service,
)
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, Share
from heatheryoke.inventory.model import Address

__all__ = ["UnreadableItemError", "read_item"]

ENDPOINT_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
WITHDRAWAL_PREFIX = "op/evacuate/"
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
IDEMPOTENT_KINDS = {"idempotent", "download"}
MAXIMUM_REASON_LENGTH = 200
MILLISECONDS_PER_S = 1_000
ROUTE_KINDS = IDEMPOTENT_KINDS | {"non_idempotent"}


def _refuse_constant(name: str) -> None:
    """Raise `ValueError` for a constant that JSON lacks but Python's decoder accepts."""
    raise ValueError(f"{name} is no JSON value")


STRICT_JSON = json.JSONDecoder(parse_constant=_refuse_constant)


class UnreadableItemError(ValueError):
    """An item is malformed, or its value does not have the format that its key requires."""


def read_item(raw: Any, era: int = 0) -> tuple[StoreItem | None, UnreadableItemError | None]:
    """Return the decoded item or event of an era, and the error if it could not be decoded.

    The item is None for a key that is not used and for an unreadable configuration. An unreadable
    upstream is returned without a record. Unreadable routes and services of a configuration are
    left out, and the error names them.
    """
    try:
        key, position = check_name(raw["key"]), check_position(Position(era, raw["revision"]))
        is_deleted = bool(raw.get("tombstone"))
    except Exception as error:  # an item of another form costs no other item
        reason = f"{error!r} in {shortened(raw)}"
        return None, UnreadableItemError(reason[:MAXIMUM_REASON_LENGTH])
    if key.startswith(ENDPOINT_PREFIX):
        name = key.removeprefix(ENDPOINT_PREFIX)
        record, problem = (None, None) if is_deleted else _decode_value(_decode_endpoint, raw)
        return StoreItem(Subject.ENDPOINT, name, position, not is_deleted, record), problem
    if key.startswith(WITHDRAWAL_PREFIX):
        name = key.removeprefix(WITHDRAWAL_PREFIX)
        return StoreItem(Subject.WITHDRAWAL, name, position, not is_deleted, None), None
    if key != CONFIGURATION_KEY or is_deleted:
        return None, None
    record, problem = _decode_value(_decode_configuration, raw)
    if record is None:
        return None, problem
    return StoreItem(Subject.CONFIGURATION, "", position, True, record), problem


def _decode_value(
    decode: Callable[[Any], tuple[Any, list[str]]], raw: dict[str, Any]
) -> tuple[Any, UnreadableItemError | None]:
    """Return the decoded value of an item, None if that fails in any way, and what failed.

    Any writer may have written the value, so that no list of errors to expect would be complete.
    """
    try:
        text = base64.b64decode(raw["value"], validate=True).decode()
        record, reasons = decode(STRICT_JSON.decode(text))
    except Exception as error:
        record, reasons = None, [repr(error)]
    if not reasons:
        return record, None
    reason = f"{raw['key']!r} revision {raw['revision']}: {', '.join(reasons)}"
    return record, UnreadableItemError(reason[:MAXIMUM_REASON_LENGTH])


def _decode_rows(decode: Callable[[Any], Any], entries: Any) -> tuple[tuple[Any, ...], list[str]]:
    """Return the rows that can be decoded, and why others cannot.

    Raise `UnreadableItemError` if the entries are no list, or none of them can be decoded.
    """
    if not isinstance(entries, list):
        raise UnreadableItemError(f"{shortened(entries)} is not a list")
    rows, reasons = [], []
    for number, entry in enumerate(entries):
        try:
            rows.append(decode(entry))
        except Exception as error:
            reasons.append(f"entry {number}: {error!r}")
    if reasons and not rows:
        raise UnreadableItemError(f"no entry is readable: {reasons[0]}")
    return tuple(rows), reasons


def _seconds(milliseconds: Any) -> float:
    return check_number(milliseconds) / MILLISECONDS_PER_S


def _decode_endpoint(value: dict[str, Any]) -> tuple[EndpointRecord, list[str]]:
    """Return the record of an entry, which has all fields that an endpoint writes.

    An entry that lacks one is another writer's and names no endpoint to use, so that fields that
    the record leaves out are checked, too.
    """
    check_name(value["version"])  # of the endpoint's software
    check_integer(value["sequence"])  # number of this heartbeat
    record = EndpointRecord(
        value["service"],
        Address.parse(check_name(value["address"])),
        value["zone"],
        # slots: requests served concurrently
        max(1, check_integer(value["concurrency"], 0, MAXIMUM_SLOTS)),
        IS_DRAINING_BY_STATE[value["state"]],
        _seconds(value["warmupLeftMs"]),
        value["born"],  # start of this incarnation; another may reuse its id
    )
    return check_endpoint(record), []


def _decode_configuration(value: dict[str, Any]) -> tuple[ConfigurationRecord, list[str]]:
    """Return a configuration with the routes and services that can be decoded."""
    routes, route_reasons = _decode_rows(_decode_route, value["routes"])
    services, service_reasons = _decode_rows(_decode_service, value["services"])
    idle_s = _seconds(value["limits"]["idleTimeoutMs"])  # idle time after which a flow expires
    record = check_configuration(ConfigurationRecord(value["version"], routes, services, idle_s))
    return record, [f"routes {reason}" for reason in route_reasons] + [
        f"services {reason}" for reason in service_reasons
    ]


def _decode_route(entry: dict[str, Any]) -> Route:
    backends = entry.get("backends")  # weighted services, not individual upstreams
    if backends:
        shares = tuple(Share(backend["service"], backend["weight"]) for backend in backends)
    else:
        shares = (Share(entry["service"], 1.0),)
    if entry["kind"] not in ROUTE_KINDS:
        raise UnreadableItemError(f"unknown kind {shortened(entry['kind'])}")
    return check_route(
        Route(
            entry["name"],
            # `host` is an IP address and `prefix` a port between slashes
            Address.parse(f"{entry['host']}:{check_name(entry['prefix']).strip('/')}"),
            shares,
            entry["kind"] in IDEMPOTENT_KINDS,
            _seconds(entry["targetLatencyMs"]),
            _seconds(entry["timeoutMs"]),
            entry["priority"],  # 0 is the highest
        )
    )


def _decode_service(entry: dict[str, Any]) -> ServiceRecord:
    return check_service(
        ServiceRecord(
            entry["name"],
            entry.get("maxConns", 1_000),  # concurrent flows of one upstream
            entry.get("warmupS", 0),
            entry.get("warmupPerS", 0),
        )
    )
