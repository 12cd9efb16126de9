"""Encoding of forwarded packets: a fixed header, the hosts visited or asked, and the payload.

The payload comes last and unchanged, so that forwarding a packet copies it without parsing.
"""

import socket
import struct

from heatheryoke.core.flows import PacketKind
from heatheryoke.core.messages import Forward, Search, Visit
from heatheryoke.inventory.model import Address

__all__ = ["decode_forward", "encode_forward"]

HEADER = struct.Struct("!13sQBBBB4sHHI")
VISIT = struct.Struct("!Qf")
SEARCH = struct.Struct("!Bf")
SHORT_ID_BYTES = 4
ASSIGNED = 1
PLACE_HERE = 2
HAS_SEARCH = 4
MAXIMUM_VISITS = 100


def encode_forward(message: Forward) -> bytes:
    """Encode a forwarded packet as the body of a datagram."""
    flags = (ASSIGNED if message.assigned else 0) | (PLACE_HERE if message.place_here else 0)
    flags |= HAS_SEARCH if message.search.asked else 0
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
    search = _encode_search(message.search) if message.search.asked else b""
    return header + visits + search + message.payload


def _encode_search(search: Search) -> bytes:
    count = len(search.asked)
    return SEARCH.pack(count, search.longest_uptime_s) + struct.pack(f"!{count}I", *search.asked)


def _decode_search(data: bytes, offset: int) -> tuple[Search, int]:
    """Return the search at an offset and the offset behind it; raise `struct.error` if cut off."""
    count, longest_uptime_s = SEARCH.unpack_from(data, offset)
    offset += SEARCH.size
    asked = struct.unpack_from(f"!{count}I", data, offset)
    return Search(asked, longest_uptime_s), offset + count * SHORT_ID_BYTES


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
    search = Search()
    if flags & HAS_SEARCH:
        try:
            search, offset = _decode_search(data, offset)
        except struct.error:
            return None
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
        search,
    )
