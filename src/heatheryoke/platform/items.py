"""Decoding of the items of the platform's store into typed records."""

import base64
import binascii
import json
from math import inf, isfinite
from typing import Any

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
# The store's documented limit for a key. It applies to every name, so that records fit into peer
# messages, which give a name's length in one byte.
MAXIMUM_NAME_BYTES = 200
MAXIMUM_SLOTS = 65_535
# Revisions, versions and Unix times in milliseconds fit into 63 bits.
MAXIMUM_INT64 = 2**63 - 1
# One hour: the longest remaining cold start that is accepted.
MAXIMUM_COLD_START_MS = 3_600_000
DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
    binascii.Error,
)
ROUTE_KINDS = IDEMPOTENT_KINDS | {"non_idempotent"}


class UnreadableItemError(ValueError):
    """An item is malformed, or its value does not have the format that its key requires."""


def read_item(raw: Any, era: int = 0) -> tuple[StoreItem | None, UnreadableItemError | None]:
    """Return the decoded item or event of an era, and the error if it could not be decoded.

    The item is None for a key that is not used and for an unreadable configuration. An unreadable
    upstream is returned without a record, as if its entry had been removed.
    """
    key, revision = raw.get("key"), raw.get("revision")
    if not _is_name(key) or type(revision) is not int or not 0 <= revision <= MAXIMUM_INT64:
        return None, UnreadableItemError(f"invalid key or revision: {str(raw)[:80]}")
    is_deleted, position = bool(raw.get("tombstone")), Position(era, revision)
    if key.startswith(ENDPOINT_PREFIX):
        name = key.removeprefix(ENDPOINT_PREFIX)
        record, problem = (None, None) if is_deleted else _decode_value(_decode_endpoint, raw)
        return StoreItem(Subject.ENDPOINT, name, position, record is not None, record), problem
    if key.startswith(WITHDRAWAL_PREFIX):
        name = key.removeprefix(WITHDRAWAL_PREFIX)
        return StoreItem(Subject.WITHDRAWAL, name, position, not is_deleted, None), None
    if key != CONFIGURATION_KEY or is_deleted:
        return None, None
    record, problem = _decode_value(_decode_configuration, raw)
    if record is None:
        return None, problem
    return StoreItem(Subject.CONFIGURATION, "", position, True, record), None


def _decode_value(decode: Any, raw: dict[str, Any]) -> tuple[Any, UnreadableItemError | None]:
    try:
        value = json.loads(base64.b64decode(raw["value"], validate=True))
        return decode(value), None
    except DECODING_ERRORS as error:
        return None, UnreadableItemError(
            f"{raw['key']!r} revision {raw['revision']}: {error!r}"[:MAXIMUM_REASON_LENGTH]
        )


def _checked_number(value: Any, minimum: float = -inf, maximum: float = inf) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise UnreadableItemError(f"{value!r} is not a number")
    if not minimum <= value <= maximum:
        raise UnreadableItemError(f"{value!r} is not between {minimum} and {maximum}")
    return value


def _is_name(value: Any) -> bool:
    if not isinstance(value, str) or not value:
        return False
    return len(value.encode(errors="replace")) <= MAXIMUM_NAME_BYTES and value.isprintable()


def _checked_name(value: Any) -> str:
    if not _is_name(value):
        raise UnreadableItemError(f"{value!r} is not a valid name")
    return value


def _decode_endpoint(value: dict[str, Any]) -> EndpointRecord:
    born = value.get("born", 0)  # start of this incarnation; another may reuse its id
    return EndpointRecord(
        _checked_name(value["service"]),
        Address.parse(_checked_name(value["address"])),
        _checked_name(value["zone"]),
        # slots: requests served concurrently
        max(1, int(_checked_number(value["concurrency"], 0, MAXIMUM_SLOTS))),
        IS_DRAINING_BY_STATE[value["state"]],
        _checked_number(value.get("warmupLeftMs", 0), 0, MAXIMUM_COLD_START_MS) / 1000,
        int(_checked_number(born, 0, MAXIMUM_INT64)),
    )


def _decode_configuration(value: dict[str, Any]) -> ConfigurationRecord:
    return ConfigurationRecord(
        int(_checked_number(value["version"], 0, MAXIMUM_INT64)),
        tuple(_decode_route(entry) for entry in value["routes"]),
        tuple(_decode_service(entry) for entry in value["services"]),
        _checked_number(value["limits"]["idleTimeoutMs"])
        / 1000,  # idle time after which a flow expires
    )


def _decode_route(entry: dict[str, Any]) -> Route:
    backends = entry.get("backends")  # weighted services, not individual upstreams
    if backends:
        shares = tuple(
            Share(_checked_name(backend["service"]), _checked_number(backend["weight"]))
            for backend in backends
        )
    else:
        shares = (Share(_checked_name(entry["service"]), 1.0),)
    if entry["kind"] not in ROUTE_KINDS:
        raise UnreadableItemError(f"unknown kind {entry['kind']!r}")
    return Route(
        _checked_name(entry["name"]),
        # `host` is an IP address and `prefix` a port between slashes
        Address.parse(f"{entry['host']}:{_checked_name(entry['prefix']).strip('/')}"),
        shares,
        entry["kind"] in IDEMPOTENT_KINDS,
        _checked_number(entry["targetLatencyMs"]) / 1000,
        _checked_number(entry["timeoutMs"]) / 1000,
        int(_checked_number(entry["priority"])),  # 0 is the highest
    )


def _decode_service(entry: dict[str, Any]) -> ServiceRecord:
    return ServiceRecord(
        _checked_name(entry["name"]),
        int(_checked_number(entry.get("maxConns", 1_000))),  # concurrent flows of one upstream
        _checked_number(entry.get("warmupS", 0)),
        _checked_number(entry.get("warmupPerS", 0)),
    )
