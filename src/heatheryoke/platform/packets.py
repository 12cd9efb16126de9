"""The platform's packets: a head of 32 bytes, little-endian, and up to 1,200 bytes of data."""

import struct
from enum import Enum
from typing import NamedTuple

from heatheryoke.core.flows import FLOW_FORMAT, UDP, FlowKey
from heatheryoke.core.streams import StreamCodec, StreamHead

__all__ = ["BadPacket", "PacketCodec", "PacketHead", "Side", "check_packet", "packet_flow"]

HEAD = struct.Struct("<IH4sH4sIBBIIH")
MAXIMUM_DATA = 1_200
SYN, ACK, FIN, RST, BOUNCED = 128, 1, 32, 64, 2
KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED
# When a caller sends the copies of a SYN, after the first; `ack` counts them.
COPY_AGES_S = (0.0, 0.2, 0.6)
FLAGS_AT, ECHO_AT, ECHO_BYTES, PAD_AT = 20, 16, 4, 21


class Side(Enum):
    """Who has sent a packet."""

    CALLER = "caller"
    UPSTREAM = "upstream"


class BadPacket(Enum):
    """Why a packet was dropped."""

    LENGTH = "length"
    FLAGS = "flags"


class PacketHead(NamedTuple):
    """The fields of a head in their order on the wire; addresses are reversed, low byte first."""

    sum: int  # keyed over all fields but echo, pad and BOUNCED; 0 in a reset of the system's own
    source_port: int
    source: bytes
    target_port: int
    target: bytes
    echo: int  # free for the system's marks while under way; the two ends write 0
    flags: int
    pad: int  # free like echo; an endpoint that returns a packet sets it to 0
    sequence: int
    acknowledged: int  # in a SYN this counts the copies sent before
    length: int


def check_packet(packet: bytes, side: Side) -> BadPacket | None:
    """Return why a packet cannot be one that `side` has sent, None if it can."""
    size = len(packet)
    if size < HEAD.size or size > HEAD.size + MAXIMUM_DATA:
        return BadPacket.LENGTH
    if size - HEAD.size != packet[30] | packet[31] << 8:
        return BadPacket.LENGTH
    flags = packet[FLAGS_AT]
    if flags & ~KNOWN_FLAGS:
        return BadPacket.FLAGS
    if side is Side.CALLER and (flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK):
        return BadPacket.FLAGS
    return None


def packet_flow(packet: bytes, side: Side) -> FlowKey:
    """Return the flow of a checked packet; a returned one is still the caller's."""
    _, sport, source, dport, target, _, flags, _, _, _, _ = HEAD.unpack_from(packet)
    if side is Side.CALLER or flags & BOUNCED:
        return FLOW_FORMAT.pack(UDP, source[::-1], sport, target[::-1], dport)
    return FLOW_FORMAT.pack(UDP, target[::-1], dport, source[::-1], sport)


def _read_head(packet: bytes) -> StreamHead:
    _, _, _, _, _, _, flags, _, sequence, acknowledged, length = HEAD.unpack_from(packet)
    opens = flags & (SYN | ACK) == SYN
    copy = min(acknowledged, len(COPY_AGES_S) - 1) if opens else 0
    return StreamHead(
        opens,
        flags & (SYN | ACK) == SYN | ACK,
        flags & FIN != 0,
        flags & RST != 0,
        flags & BOUNCED != 0,
        sequence,
        acknowledged,
        length,
        COPY_AGES_S[copy],
    )


class PacketCodec(StreamCodec):
    """Reads and writes heads; each step of a packet's way asks for the same head again."""

    def __init__(self):
        self.last_packet = b""
        self.last_head: StreamHead | None = None

    def read_head(self, packet: bytes) -> StreamHead:
        """Return what the head of a checked packet says."""
        if packet is not self.last_packet or self.last_head is None:
            self.last_packet, self.last_head = packet, _read_head(packet)
        return self.last_head

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset for a flow's caller."""
        _, source, sport, target, dport = FLOW_FORMAT.unpack(flow)
        return HEAD.pack(0, dport, target[::-1], sport, source[::-1], 0, RST, 0, sequence, 0, 0)

    def cleared(self, packet: bytes) -> bytes:
        """Return a packet as its sender wrote it: without BOUNCED, `echo` and `pad`."""
        own = bytearray(packet)
        own[FLAGS_AT] &= ~BOUNCED & 0xFF
        own[ECHO_AT : ECHO_AT + ECHO_BYTES] = bytes(ECHO_BYTES)
        own[PAD_AT] = 0
        return bytes(own)
