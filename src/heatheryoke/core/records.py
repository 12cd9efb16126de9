"""Typed records of the items in the platform's store."""

from enum import Enum
from typing import NamedTuple

from heatheryoke.core.routes import Route
from heatheryoke.inventory.model import Address

__all__ = [
    "ConfigurationRecord",
    "EndpointRecord",
    "Position",
    "ServiceRecord",
    "StoreItem",
    "Subject",
]


class Subject(Enum):
    """What an item of the store describes."""

    ENDPOINT = "endpoint"
    CONFIGURATION = "configuration"
    WITHDRAWAL = "withdrawal"


class Position(NamedTuple):
    """A point in the history of the store.

    The store begins a new `era` when it returns from an older copy, and gives revisions out again.
    So revisions order changes within an era only, and every position of an era is before those of
    the next. A store that states no era has era 0.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        revision = f"revision {self.revision}"
        return f"era {self.era} {revision}" if self.era else revision

    def includes(self, other: "Position") -> bool:
        """Return whether `other` is a point of the same era up to this one."""
        return self.era == other.era and other.revision <= self.revision

    def successor(self) -> "Position":
        """Return the first position after this one."""
        return Position(self.era, self.revision + 1)


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

    def service_names(self) -> frozenset[str]:
        """Return the services that the configuration lists or sends flows to."""
        listed = {service.name for service in self.services}
        return frozenset(
            listed | {share.service for route in self.routes for share in route.shares}
        )


class StoreItem(NamedTuple):
    """One item as of a position of the store; `record` is None if it is gone or unreadable.

    An unreadable upstream is `present`, one whose entry was removed is not.

    A withdrawal has no record of its own: it is in force while `present`.
    """

    subject: Subject
    name: str
    position: Position
    present: bool
    record: EndpointRecord | ConfigurationRecord | None
