"""The document that operators publish: inventory and rules under one growing version."""

import zlib
from enum import StrEnum
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

__all__ = [
    "MAXIMUM_DOCUMENT_BYTES",
    "Address",
    "Document",
    "Endpoint",
    "FailureDomain",
    "Host",
    "HostState",
    "Protocol",
    "Role",
    "Service",
    "UnreadableDocument",
    "decode_document",
    "encode_document",
]

MAXIMUM_DOCUMENT_BYTES = 1_000_000
MAXIMUM_EXPANDED_BYTES = 32_000_000


class Address(NamedTuple):
    """An IPv4 address in dotted form and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


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


class UnreadableDocument(NamedTuple):
    """Bytes that are not a published document."""

    reason: str

    def __str__(self) -> str:
        return f"unreadable document: {self.reason}"


def encode_document(document: Document) -> bytes:
    """Return the published form: compressed JSON, each row an array."""
    return zlib.compress(msgspec.json.encode(document), level=6)


def decode_document(data: bytes) -> Result[Document, UnreadableDocument]:
    """Read the published form; every field is checked against its type."""
    if len(data) > MAXIMUM_DOCUMENT_BYTES:
        return Failure(UnreadableDocument(f"{len(data)} bytes, at most {MAXIMUM_DOCUMENT_BYTES}"))
    try:
        expanded = zlib.decompressobj().decompress(data, MAXIMUM_EXPANDED_BYTES)
        return Success(msgspec.json.decode(expanded, type=Document))
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(UnreadableDocument(str(error)))
