"""Encoding of forwarded packets: a fixed header, the hosts visited or asked, and the payload.

The payload comes last and unchanged, so that forwarding a packet copies it without parsing.
"""

import socket
import struct

from heatheryoke.core.flows import PacketKind
from heatheryoke.core.messages import Forward, Search, Visit
from heatheryoke.inventory.model import Address

__all__ = ["decode_forward", "decode_search", "encode_forward", "encode_search"]

HEADER = struct.Struct("!13sQBBBB4sHHI")
VISIT = struct.Struct("!Qf")
SEARCH = struct.Struct("!Bf")
SHORT_ID_BYTES = 4
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


def encode_search(message: Forward) -> bytes:
    """Encode a packet whose owner is searched for, as the body of a datagram of its own kind.

    A process of a release that does not know the kind drops it, and never takes the hosts asked
    for a part of the caller's packet.
    """
    search, count = message.search, len(message.search.asked)
    head = SEARCH.pack(count, search.longest_uptime_s) + struct.pack(f"!{count}I", *search.asked)
    return head + encode_forward(message)


def decode_search(data: bytes) -> Forward | None:
    """Return the packet in a body written by `encode_search`, None if it is malformed."""
    try:
        count, longest_uptime_s = SEARCH.unpack_from(data)
        asked = struct.unpack_from(f"!{count}I", data, SEARCH.size)
    except struct.error:
        return None
    message = decode_forward(data[SEARCH.size + count * SHORT_ID_BYTES :])
    return message and message._replace(search=Search(asked, longest_uptime_s))
