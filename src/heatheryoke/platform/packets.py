"""The platform's packets: a little-endian header of 32 bytes and up to 1,200 bytes of data."""

import struct
from enum import Enum
from typing import NamedTuple

from heatheryoke.core.flows import FLOW_FORMAT, UDP, FlowKey
from heatheryoke.core.streams import StreamCodec, StreamHeader

__all__ = ["BadPacket", "PacketCodec", "PacketHeader", "Side", "check_packet", "packet_flow"]

HEADER = struct.Struct("<IH4sH4sIBBIIH")
MAXIMUM_DATA_BYTES = 1_200
SYN, ACK, FIN, RST, BOUNCED = 128, 1, 32, 64, 2
KNOWN_FLAGS = SYN | ACK | FIN | RST | BOUNCED
# Times since the first SYN at which a caller sends the SYN and its copies, by `acknowledged`.
SYN_COPY_AGES_S = (0.0, 0.2, 0.6)
FLAGS_OFFSET, ECHO_OFFSET, ECHO_BYTES, PAD_OFFSET = 20, 16, 4, 21


class Side(Enum):
    """The end that sent a packet."""

    CALLER = "caller"
    UPSTREAM = "upstream"


class BadPacket(Enum):
    """A reason for dropping a packet."""

    LENGTH = "length"
    FLAGS = "flags"


class PacketHeader(NamedTuple):
    """The fields of a header in wire order; addresses have their bytes reversed."""

    sum: int  # keyed, over all fields but echo, pad and BOUNCED; 0 in this system's resets
    source_port: int
    source: bytes
    target_port: int
    target: bytes
    echo: int  # free for use by this system in transit; both ends write 0
    flags: int
    pad: int  # free for use like echo; an endpoint that bounces a packet sets it to 0
    sequence: int
    acknowledged: int  # in a SYN: the number of copies sent before
    length: int


def check_packet(packet: bytes, side: Side) -> BadPacket | None:
    """Return why a packet is invalid as one sent by `side`, None if it is valid."""
    size = len(packet)
    if size < HEADER.size or size > HEADER.size + MAXIMUM_DATA_BYTES:
        return BadPacket.LENGTH
    if size - HEADER.size != packet[30] | packet[31] << 8:
        return BadPacket.LENGTH
    flags = packet[FLAGS_OFFSET]
    if flags & ~KNOWN_FLAGS:
        return BadPacket.FLAGS
    if side is Side.CALLER and (flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK):
        return BadPacket.FLAGS
    return None


def packet_flow(packet: bytes, side: Side) -> FlowKey:
    """Return the flow of a checked packet; a bounced one has the caller as its source."""
    _, source_port, source, target_port, target, _, flags, _, _, _, _ = HEADER.unpack_from(packet)
    if side is Side.CALLER or flags & BOUNCED:
        return FLOW_FORMAT.pack(UDP, source[::-1], source_port, target[::-1], target_port)
    return FLOW_FORMAT.pack(UDP, target[::-1], target_port, source[::-1], source_port)


def _decode_header(packet: bytes) -> StreamHeader:
    _, _, _, _, _, _, flags, _, sequence, acknowledged, length = HEADER.unpack_from(packet)
    opens = flags & (SYN | ACK) == SYN
    copies_before = min(acknowledged, len(SYN_COPY_AGES_S) - 1) if opens else 0
    return StreamHeader(
        opens,
        flags & (SYN | ACK) == SYN | ACK,
        flags & FIN != 0,
        flags & RST != 0,
        flags & BOUNCED != 0,
        sequence,
        acknowledged,
        length,
        SYN_COPY_AGES_S[copies_before],
    )


class PacketCodec(StreamCodec):
    """Reads and writes headers; caches the last, which several processing steps ask for."""

    def __init__(self):
        self.last_packet = b""
        self.last_header: StreamHeader | None = None

    def read_header(self, packet: bytes) -> StreamHeader:
        """Return the decoded header of a checked packet."""
        if packet is not self.last_packet or self.last_header is None:
            self.last_packet, self.last_header = packet, _decode_header(packet)
        return self.last_header

    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset packet for a flow's caller."""
        _, source, source_port, target, target_port = FLOW_FORMAT.unpack(flow)
        return HEADER.pack(
            0, target_port, target[::-1], source_port, source[::-1], 0, RST, 0, sequence, 0, 0
        )

    def without_marks(self, packet: bytes) -> bytes:
        """Return a packet as its sender wrote it, with BOUNCED, `echo` and `pad` cleared."""
        original = bytearray(packet)
        original[FLAGS_OFFSET] &= ~BOUNCED & 0xFF
        original[ECHO_OFFSET : ECHO_OFFSET + ECHO_BYTES] = bytes(ECHO_BYTES)
        original[PAD_OFFSET] = 0
        return bytes(original)
