"""Typed records of the items in the platform's store."""

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
    """What an item of the store describes."""

    ENDPOINT = "endpoint"
    CONFIGURATION = "configuration"
    WITHDRAWAL = "withdrawal"


class EndpointRecord(NamedTuple):
    """An upstream as it describes itself.

    `cold_s` is how much longer it can handle only a low rate; `born_ms`, the Unix time of its
    start, identifies its incarnation.
    """

    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_s: float
    born_ms: int


class ServiceRecord(NamedTuple):
    """Limits of a service's upstreams.

    An upstream is cold for `cold_s` after its start, and then handles at most `cold_rate` new
    requests per second; 0 sets no limit.
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

    A withdrawal has no record of its own: it is in force while `present`.
    """

    subject: Subject
    name: str
    revision: int
    present: bool
    record: EndpointRecord | ConfigurationRecord | None
