"""The PROXY protocol, version 2, for IPv4 datagrams.

Specification: https://www.haproxy.org/download/2.8/doc/proxy-protocol.txt, section 2.2.
"""

import socket
import struct
from typing import NamedTuple

from heatheryoke.core.flows import UDP, FlowTuple
from heatheryoke.inventory.document import Address

__all__ = ["Proxied", "decode_proxied", "encode_proxied"]

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_PROXY = 0x21
IPV4_DATAGRAM = 0x12
IPV4_BYTES = 12
HEADER = struct.Struct("!12sBBH4s4sHH")


class Proxied(NamedTuple):
    """A datagram with the caller's and the service's address."""

    flow: FlowTuple
    payload: bytes


def encode_proxied(flow: FlowTuple, payload: bytes) -> bytes:
    """Put the header before a datagram."""
    header = HEADER.pack(
        SIGNATURE,
        VERSION_AND_PROXY,
        IPV4_DATAGRAM,
        IPV4_BYTES,
        socket.inet_aton(flow.source.ip),
        socket.inet_aton(flow.service.ip),
        flow.source.port,
        flow.service.port,
    )
    return header + payload


def decode_proxied(data: bytes) -> Proxied | None:
    """Split a datagram from its header; None if the header is not as it must be."""
    if len(data) < HEADER.size:
        return None
    signature, version, family, length, source, service, source_port, service_port = (
        HEADER.unpack_from(data)
    )
    if signature != SIGNATURE or version != VERSION_AND_PROXY or family != IPV4_DATAGRAM:
        return None
    body = 16 + length
    if length < IPV4_BYTES or len(data) < body or not source_port or not service_port:
        return None
    flow = FlowTuple(
        UDP,
        Address(socket.inet_ntoa(source), source_port),
        Address(socket.inet_ntoa(service), service_port),
    )
    return Proxied(flow, data[body:])
