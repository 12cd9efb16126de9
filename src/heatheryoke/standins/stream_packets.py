"""Packets as callers and upstreams build them, with a checksum that reveals any alteration."""

from typing import NamedTuple

import xxhash

from heatheryoke.core.flows import FLOW_FORMAT, FlowKey
from heatheryoke.platform.packets import ACK, BOUNCED, FIN, HEADER, RST, SYN, PacketHeader

__all__ = ["Packet", "build_packet", "read_packet"]

CHECKSUM_SEED = 0x5EED
CHECKSUM_FIELDS = ("source_port", "source", "target_port", "target", "sequence", "acknowledged")


class Packet(NamedTuple):
    """Packet that arrived unaltered."""

    head: PacketHeader
    data: bytes

    def has(self, flag: int) -> bool:
        """Return whether a flag is set."""
        return bool(self.head.flags & flag)

    @property
    def is_system_reset(self) -> bool:
        """Whether the system, not an upstream, reset the flow: the checksum is 0."""
        return self.head.flags == RST and self.head.sum == 0 and not self.data


def _checksum(head: PacketHeader, data: bytes) -> int:
    parts = [str(getattr(head, name)) for name in CHECKSUM_FIELDS]
    parts.append(str(head.flags & ~BOUNCED))
    return xxhash.xxh32_intdigest("|".join(parts).encode() + data, CHECKSUM_SEED)


def build_packet(
    flow: FlowKey,
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
    to_caller: bool = False,
) -> bytes:
    """Return a packet of a flow, from its caller or, with `to_caller`, to it."""
    _, source, sport, target, dport = FLOW_FORMAT.unpack(flow)
    if to_caller:
        source, sport, target, dport = target, dport, source, sport
    modulus = 2**32
    head = PacketHeader(
        0,
        sport,
        source[::-1],
        dport,
        target[::-1],
        0,
        flags,
        0,
        sequence % modulus,
        acknowledged % modulus,
        len(data),
    )
    return HEADER.pack(*head._replace(sum=_checksum(head, data))) + data


def read_packet(packet: bytes) -> Packet | None:
    """Decode a packet; return None if it was altered.

    A reset without data and with a checksum of 0 is accepted, since no caller or upstream
    built it: the system resets flows with it.
    """
    if len(packet) < HEADER.size:
        return None
    head, data = PacketHeader(*HEADER.unpack_from(packet)), packet[HEADER.size :]
    result = Packet(head, data)
    if head.echo or head.pad or head.flags & ~(SYN | ACK | FIN | RST):
        return None
    return result if result.is_system_reset or head.sum == _checksum(head, data) else None
