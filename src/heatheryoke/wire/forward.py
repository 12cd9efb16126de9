"""Encoding of forwarded packets: a fixed header, the visited hosts, and the unchanged payload.

The payload comes last, so that forwarding a packet copies it without parsing.
"""

import socket
import struct

from heatheryoke.core.flows import PacketKind
from heatheryoke.core.messages import Forward, Visit
from heatheryoke.inventory.model import Address

__all__ = ["decode_forward", "encode_forward"]

HEADER = struct.Struct("!13sQBBBB4sHHI")
VISIT = struct.Struct("!Qf")
ASSIGNED = 1
PLACE_HERE = 2
MAXIMUM_VISITS = 100


def encode_forward(message: Forward) -> bytes:
    """Encode a forwarded packet as the body of a datagram."""
    flags = (ASSIGNED if message.assigned else 0) | (PLACE_HERE if message.place_here else 0)
    header = HEADER.pack(
        message.flow,
        message.service_id,
        message.kind,
        message.hops,
        flags,
        len(message.visited),
        socket.inet_aton(message.via.ip),
        message.via.port,
        message.local_port,
        message.generation,
    )
    visits = b"".join(VISIT.pack(*visit) for visit in message.visited)
    return header + visits + message.payload


def decode_forward(data: bytes) -> Forward | None:
    """Return the forwarded packet in a datagram's body, None if it is malformed."""
    if len(data) < HEADER.size:
        return None
    flow, service_id, kind, hops, flags, visit_count, via_ip, via_port, local_port, generation = (
        HEADER.unpack_from(data)
    )
    offset = HEADER.size + visit_count * VISIT.size
    if visit_count > MAXIMUM_VISITS or len(data) < offset or kind > PacketKind.EITHER:
        return None
    visited = tuple(Visit(*visit) for visit in VISIT.iter_unpack(data[HEADER.size : offset]))
    return Forward(
        flow,
        service_id,
        PacketKind(kind),
        hops,
        Address(socket.inet_ntoa(via_ip), via_port),
        data[offset:],
        visited,
        bool(flags & ASSIGNED),
        bool(flags & PLACE_HERE),
        local_port,
        generation,
    )
