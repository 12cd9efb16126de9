"""Data model of the inventory and rules, independent of their published form."""

from enum import StrEnum
from socket import AF_INET, inet_pton
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
        """Parse an address in the form `ip:port`; raise `ValueError` if it is malformed.

        Each address has one spelling, so that no other text stands for the same upstream.
        """
        ip, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError("must be ip:port")
        number = int(port) if port.isascii() and port.isdecimal() else 0
        if not 0 < number < 65_536 or str(number) != port:
            raise ValueError("port must be between 1 and 65535, without leading zeros")
        try:
            inet_pton(AF_INET, ip)
        except OSError:
            raise ValueError(f"{ip!r} is not an IPv4 address") from None
        return cls(ip, number)


class Role(StrEnum):
    """The process that a host runs: a balancer, or an agent beside an upstream."""

    BALANCER = "balancer"
    AGENT = "agent"


class HostState(StrEnum):
    """The state that operators have set for a host."""

    ACTIVE = "active"
    DRAINING = "draining"
    LEAVING = "leaving"


class Protocol(StrEnum):
    """The protocol by which an agent parses the datagrams of a service."""

    OPAQUE = "opaque"
    COAP = "coap"


class FailureDomain(NamedTuple):
    """A group of hosts that may fail together; a withdrawn group receives no packets."""

    name: str
    region: str
    withdrawn: bool = False


class Host(NamedTuple):
    """A machine with its role, its failure domain and the control address of its process."""

    name: str
    role: Role
    failure_domain: str
    address: Address
    state: HostState = HostState.ACTIVE


class Service(NamedTuple):
    """An address that callers use, and the rules for its requests.

    `floor` is the concurrency limit of a cold upstream (below 1 the share of time it may be busy),
    and `warm_answers` the number of good answers before that limit is raised; `class_weights` maps
    the first path segment of a request to its weight under overload; `request_id` names the query
    key with the id of a non-idempotent request; `idle_s` is how long an idle flow is kept;
    `apart_from` lists services that must not share a host with this one.
    """

    name: str
    address: Address
    team: str
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
    """Inventory and rules as published by operators under one version."""

    version: int
    failure_domains: tuple[FailureDomain, ...] = ()
    hosts: tuple[Host, ...] = ()
    services: tuple[Service, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
