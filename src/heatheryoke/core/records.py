"""What the platform's store says, as typed records."""

from enum import Enum
from typing import NamedTuple

from heatheryoke.core.routes import Route
from heatheryoke.inventory.model import Address

__all__ = [
    "ConfigurationRecord",
    "EndpointRecord",
    "ServiceRecord",
    "StoreItem",
    "Subject",
]


class Subject(Enum):
    """What an item of the store is about."""

    ENDPOINT = "endpoint"
    CONFIGURATION = "configuration"
    WITHDRAWAL = "withdrawal"


class EndpointRecord(NamedTuple):
    """An upstream's own word on itself.

    `cold_s` is how much longer it bears only little; `born_ms`, the Unix time of its start, tells
    one incarnation from the next.
    """

    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_s: float
    born_ms: int


class ServiceRecord(NamedTuple):
    """The limits of a service's upstreams.

    A cold upstream, for `cold_s` after its start, bears `cold_rate` new requests a second, 0 where
    no such limit is set.
    """

    name: str
    connections: int
    cold_s: float
    cold_rate: float


class ConfigurationRecord(NamedTuple):
    """The operators' configuration; `idle_s` is how long a silent flow is kept."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceRecord, ...]
    idle_s: float


class StoreItem(NamedTuple):
    """One item as of a revision of the store; `record` is None if it is gone or unreadable.

    A withdrawal has no record of its own: it stands while `present`.
    """

    subject: Subject
    name: str
    revision: int
    present: bool
    record: EndpointRecord | ConfigurationRecord | None
