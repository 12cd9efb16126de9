"""Packets as the platform's pages describe them, with a sum that reveals any alteration."""

import socket
import struct
import zlib
from typing import NamedTuple

HEADER = struct.Struct("<IH4sH4sIBBIIH")
SYN, ACK, FIN, RST, BOUNCED = 128, 1, 32, 64, 2
FLAGS_OFFSET, PAD_OFFSET = 20, 21
MODULUS = 2**32

Address = tuple[str, int]
FlowKey = tuple[Address, Address]


class Packet(NamedTuple):
    """One packet; `source` and `target` are the ends of the flow."""

    source: Address
    target: Address
    flags: int
    sequence: int
    acknowledged: int
    data: bytes = b""
    sum: int = 0
    echo: int = 0
    pad: int = 0

    def has(self, flag: int) -> bool:
        """Return whether a flag is set."""
        return bool(self.flags & flag)

    @property
    def is_system_reset(self) -> bool:
        """Whether the system, not an endpoint, has reset the flow."""
        return self.flags == RST and self.sum == 0 and not self.data

    def expected_sum(self) -> int:
        """Return the sum that the packet's sender wrote."""
        fields = (*self.source, *self.target, self.flags & ~BOUNCED)
        text = repr((*fields, self.sequence, self.acknowledged)).encode()
        return zlib.crc32(text + self.data) or 1

    def encode(self) -> bytes:
        """Return the datagram, with the sum of its sender."""
        head = HEADER.pack(
            self.expected_sum(),
            self.source[1],
            socket.inet_aton(self.source[0])[::-1],
            self.target[1],
            socket.inet_aton(self.target[0])[::-1],
            0,
            self.flags,
            0,
            self.sequence % MODULUS,
            self.acknowledged % MODULUS,
            len(self.data),
        )
        return head + self.data


def decode(datagram: bytes) -> Packet | None:
    """Return the packet in a datagram, None if it is not as its sender wrote it."""
    if len(datagram) < HEADER.size:
        return None
    total, sport, source, dport, target, echo, flags, pad, sequence, acknowledged, length = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size :]
    packet = Packet(
        (socket.inet_ntoa(source[::-1]), sport),
        (socket.inet_ntoa(target[::-1]), dport),
        flags,
        sequence,
        acknowledged,
        data,
        total,
        echo,
        pad,
    )
    if len(data) != length:
        return None
    return packet if packet.is_system_reset or packet.expected_sum() == total else None


def bounced(datagram: bytes) -> bytes:
    """Return a packet as an endpoint gives it back that does not hold the flow."""
    returned = bytearray(datagram)
    returned[FLAGS_OFFSET] |= BOUNCED
    returned[PAD_OFFSET] = 0
    return bytes(returned)
