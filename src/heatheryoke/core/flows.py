"""Flow keys: the packed five-tuple, opaque to code that routes by it."""

import socket
import struct
from enum import IntEnum
from typing import NamedTuple

from heatheryoke.inventory.model import Address

__all__ = ["UDP", "FlowKey", "FlowTuple", "PacketKind", "describe_flow", "flow_key", "flow_tuple"]
__all__ += ["service_key", "service_part"]

UDP = 17
FLOW_FORMAT = struct.Struct("!B4sH4sH")
SERVICE_OFFSET = 7

FlowKey = bytes


class PacketKind(IntEnum):
    """Whether a packet opens, belongs to or closes its flow, as far as its protocol shows."""

    OPENS = 0
    BELONGS = 1
    CLOSES = 2
    EITHER = 3


class FlowTuple(NamedTuple):
    """The five values that identify a flow."""

    protocol: int
    source: Address
    service: Address


def flow_key(flow: FlowTuple) -> FlowKey:
    """Pack the whole tuple, so that no two flows share a key."""
    return FLOW_FORMAT.pack(
        flow.protocol,
        socket.inet_aton(flow.source.ip),
        flow.source.port,
        socket.inet_aton(flow.service.ip),
        flow.service.port,
    )


def service_key(service: Address) -> bytes:
    """Return the part of a flow key that holds the service's address."""
    return socket.inet_aton(service.ip) + service.port.to_bytes(2, "big")


def service_part(key: FlowKey) -> bytes:
    """Return the service key within a flow key."""
    return key[SERVICE_OFFSET:]


def flow_tuple(key: FlowKey) -> FlowTuple:
    """Unpack a key made by `flow_key`."""
    protocol, source_ip, source_port, service_ip, service_port = FLOW_FORMAT.unpack(key)
    return FlowTuple(
        protocol,
        Address(socket.inet_ntoa(source_ip), source_port),
        Address(socket.inet_ntoa(service_ip), service_port),
    )


def describe_flow(key: FlowKey) -> str:
    """Return a flow as `source>service`, for logs and status output."""
    flow = flow_tuple(key)
    return f"{flow.source}>{flow.service}"
