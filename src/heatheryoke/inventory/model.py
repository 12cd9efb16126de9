"""Inventory and rules as typed rows, without their published form."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Address",
    "Document",
    "Endpoint",
    "FailureDomain",
    "Host",
    "HostState",
    "Protocol",
    "Role",
    "Service",
]


class Address(NamedTuple):
    """An IPv4 address in dotted form and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in `ip:port`; raise `ValueError` if it is none."""
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError("must be ip:port")
        number = int(port) if port.isdecimal() else 0
        if not 0 < number < 65_536:
            raise ValueError("port must be between 1 and 65535")
        parts = ip.split(".")
        if len(parts) != 4 or not all(part.isdecimal() and int(part) < 256 for part in parts):
            raise ValueError(f"{ip!r} is not an IPv4 address")
        return cls(ip, number)


class Role(StrEnum):
    """What a host runs: a balancer, or an agent beside an upstream."""

    BALANCER = "balancer"
    AGENT = "agent"


class HostState(StrEnum):
    """What operators have decided about a host."""

    ACTIVE = "active"
    DRAINING = "draining"
    LEAVING = "leaving"


class Protocol(StrEnum):
    """How an agent reads the datagrams of a service."""

    OPAQUE = "opaque"
    COAP = "coap"


class FailureDomain(NamedTuple):
    """Hosts that fail together; a withdrawn one receives no packets."""

    name: str
    region: str
    withdrawn: bool = False


class Host(NamedTuple):
    """One machine, its process's control address and its failure domain."""

    name: str
    role: Role
    failure_domain: str
    address: Address
    state: HostState = HostState.ACTIVE


class Service(NamedTuple):
    """One address that callers use, and the rules for its requests.

    `floor` is how many requests an upstream bears when cold, and `warm_answers` how many good
    answers it gives before it is taken to bear more; `class_weights` maps the first path
    segment of a request to its weight under overload; `request_id` names the query key that
    carries the id of a non-idempotent request; `idle_s` is how long a silent flow is kept.
    """

    name: str
    address: Address
    tenant: str
    protocol: Protocol = Protocol.OPAQUE
    request_id: str = ""
    floor: float = 1.0
    warm_answers: int = 40
    idle_s: float = 300.0
    class_weights: dict[str, float] = {}
    apart_from: tuple[str, ...] = ()


class Endpoint(NamedTuple):
    """An upstream: one service on one host, with its limits."""

    service: str
    host: str
    address: Address
    slots: int
    connections: int
    weight: float = 1.0


class Document(NamedTuple):
    """Everything operators publish, as of one version."""

    version: int
    failure_domains: tuple[FailureDomain, ...] = ()
    hosts: tuple[Host, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
