"""Decoding of the items of the platform's store into typed records."""

import base64
import binascii
import json
from math import inf, isfinite
from typing import Any

from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
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
# Revisions and Unix times in milliseconds fit into 63 bits.
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


def read_item(raw: Any) -> tuple[StoreItem | None, UnreadableItemError | None]:
    """Return the decoded item or event, and the error if it could not be decoded.

    The item is None for a key that is not used and for an unreadable configuration. An unreadable
    upstream is returned without a record, as if its entry had been removed.
    """
    key, revision = raw.get("key"), raw.get("revision")
    if not _is_name(key) or type(revision) is not int or not 0 <= revision <= MAXIMUM_INT64:
        return None, UnreadableItemError(f"item without key or revision: {str(raw)[:80]}")
    gone = bool(raw.get("tombstone"))
    if key.startswith(ENDPOINT_PREFIX):
        name = key.removeprefix(ENDPOINT_PREFIX)
        record, problem = (None, None) if gone else _attempt(_endpoint, raw)
        return StoreItem(Subject.ENDPOINT, name, revision, record is not None, record), problem
    if key.startswith(WITHDRAWAL_PREFIX):
        name = key.removeprefix(WITHDRAWAL_PREFIX)
        return StoreItem(Subject.WITHDRAWAL, name, revision, not gone, None), None
    if key != CONFIGURATION_KEY or gone:
        return None, None
    record, problem = _attempt(_configuration, raw)
    if record is None:
        return None, problem
    return StoreItem(Subject.CONFIGURATION, "", revision, True, record), None


def _attempt(read: Any, raw: dict[str, Any]) -> tuple[Any, UnreadableItemError | None]:
    try:
        value = json.loads(base64.b64decode(raw["value"], validate=True))
        return read(value), None
    except DECODING_ERRORS as error:
        return None, UnreadableItemError(
            f"{raw['key']!r} revision {raw['revision']}: {error!r}"[:MAXIMUM_REASON_LENGTH]
        )


def _number(value: Any, least: float = -inf, most: float = inf) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise UnreadableItemError(f"{value!r} is not a number")
    if not least <= value <= most:
        raise UnreadableItemError(f"{value!r} is not between {least} and {most}")
    return value


def _is_name(value: Any) -> bool:
    if not isinstance(value, str) or not value:
        return False
    return len(value.encode(errors="replace")) <= MAXIMUM_NAME_BYTES and value.isprintable()


def _text(value: Any) -> str:
    if not _is_name(value):
        raise UnreadableItemError(f"{value!r} is not a name")
    return value


def _endpoint(value: dict[str, Any]) -> EndpointRecord:
    born = value.get("born", 0)  # start of this incarnation; another may reuse its id
    return EndpointRecord(
        _text(value["service"]),
        Address.parse(_text(value["address"])),
        _text(value["zone"]),
        # slots: requests served concurrently
        max(1, int(_number(value["concurrency"], 0, MAXIMUM_SLOTS))),
        IS_DRAINING_BY_STATE[value["state"]],
        _number(value.get("warmupLeftMs", 0), 0, MAXIMUM_COLD_START_MS) / 1000,
        int(_number(born, 0, MAXIMUM_INT64)),
    )


def _configuration(value: dict[str, Any]) -> ConfigurationRecord:
    return ConfigurationRecord(
        int(_number(value["version"])),
        tuple(_route(row) for row in value["routes"]),
        tuple(_service(row) for row in value["services"]),
        _number(value["limits"]["idleTimeoutMs"]) / 1000,  # idle time after which a flow expires
    )


def _route(row: dict[str, Any]) -> Route:
    split = row.get("backends")  # weighted services, not individual upstreams
    if split:
        shares = tuple(Share(_text(part["service"]), _number(part["weight"])) for part in split)
    else:
        shares = (Share(_text(row["service"]), 1.0),)
    if row["kind"] not in ROUTE_KINDS:
        raise UnreadableItemError(f"kind {row['kind']!r}")
    return Route(
        _text(row["name"]),
        # `host` is an IP address and `prefix` a port between slashes
        Address(_text(row["host"]), int(_text(row["prefix"]).strip("/"))),
        shares,
        row["kind"] in IDEMPOTENT_KINDS,
        _number(row["targetLatencyMs"]) / 1000,
        _number(row["timeoutMs"]) / 1000,
        int(_number(row["priority"])),  # 0 is the highest
    )


def _service(row: dict[str, Any]) -> ServiceRecord:
    return ServiceRecord(
        _text(row["name"]),
        int(_number(row.get("maxConns", 1_000))),  # concurrent flows of one upstream
        _number(row.get("warmupS", 0)),
        _number(row.get("warmupPerS", 0)),
    )
