"""The PROXY protocol, version 2, for UDP over IPv4.

Specification: https://www.haproxy.org/download/2.8/doc/proxy-protocol.txt, section 2.2.
"""

import socket
import struct
from typing import NamedTuple

from heatheryoke.core.flows import UDP, FlowKey, FlowTuple, flow_key
from heatheryoke.inventory.model import Address

__all__ = ["ProxiedDatagram", "decode_proxy_header", "encode_proxy_header", "split_proxy_header"]

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_PROXY = 0x21
IPV4_DATAGRAM = 0x12
ADDRESS_BLOCK_BYTES = 12
IPV4_DATAGRAM_PREFIX = (
    SIGNATURE + bytes((VERSION_AND_PROXY, IPV4_DATAGRAM)) + ADDRESS_BLOCK_BYTES.to_bytes(2, "big")
)
PROTOCOL_BYTE = bytes((UDP,))
NO_PORT = bytes(2)
HEADER = struct.Struct("!12sBBH4s4sHH")


class ProxiedDatagram(NamedTuple):
    """A datagram's payload and the flow that its PROXY header names."""

    flow: FlowTuple
    payload: bytes


def encode_proxy_header(flow: FlowTuple, payload: bytes) -> bytes:
    """Prepend a PROXY header to a datagram."""
    header = HEADER.pack(
        SIGNATURE,
        VERSION_AND_PROXY,
        IPV4_DATAGRAM,
        ADDRESS_BLOCK_BYTES,
        socket.inet_aton(flow.source.ip),
        socket.inet_aton(flow.service.ip),
        flow.source.port,
        flow.service.port,
    )
    return header + payload


def split_proxy_header(data: bytes) -> tuple[FlowKey, bytes] | None:
    """Return the flow key and the payload, None if the header is invalid.

    The key is copied from the header without decoding the addresses, since this is the hot path.
    """
    if data[:16] != IPV4_DATAGRAM_PREFIX or len(data) < HEADER.size:
        return _split_with_tlvs(data)
    ports = data[24:28]
    if ports[:2] == NO_PORT or ports[2:] == NO_PORT:
        return None
    key = PROTOCOL_BYTE + data[16:20] + ports[:2] + data[20:24] + ports[2:]
    return key, data[HEADER.size :]


def _split_with_tlvs(data: bytes) -> tuple[FlowKey, bytes] | None:
    """Split a datagram whose header may have TLVs after the addresses."""
    proxied = decode_proxy_header(data)
    return (flow_key(proxied.flow), proxied.payload) if proxied else None


def decode_proxy_header(data: bytes) -> ProxiedDatagram | None:
    """Return the decoded header and the payload, None if the header is invalid."""
    if len(data) < HEADER.size:
        return None
    signature, version, family, length, source, service, source_port, service_port = (
        HEADER.unpack_from(data)
    )
    if signature != SIGNATURE or version != VERSION_AND_PROXY or family != IPV4_DATAGRAM:
        return None
    payload_offset = 16 + length
    if (
        length < ADDRESS_BLOCK_BYTES
        or len(data) < payload_offset
        or not source_port
        or not service_port
    ):
        return None
    flow = FlowTuple(
        UDP,
        Address(socket.inet_ntoa(source), source_port),
        Address(socket.inet_ntoa(service), service_port),
    )
    return ProxiedDatagram(flow, data[payload_offset:])
