"""Messages that are too long for one datagram: compressed, cut into parts, and put together again.

offset  bytes  field
0       2      magic
2       4      hash of the compressed message
6       1      number of this part, from 0
7       1      number of parts
8              a slice of the compressed message

A part that is lost loses the message, as it would lose any datagram.
"""

import struct
import zlib
from collections import OrderedDict
from typing import NamedTuple

import xxhash

from heatheryoke.inventory.model import Address

__all__ = ["MAXIMUM_DATAGRAM_BYTES", "MAXIMUM_INCOMPLETE", "Reassembly", "is_part"]
__all__ += ["split_message"]

# Fits into an Ethernet frame with the IP and UDP headers.
MAXIMUM_DATAGRAM_BYTES = 1_400
MAGIC = b"hp"
HEADER = struct.Struct("!2sIBB")
PART_BYTES = MAXIMUM_DATAGRAM_BYTES - HEADER.size
MAXIMUM_PARTS = 255
# Limits the memory for messages of which parts are missing.
MAXIMUM_INCOMPLETE = 32
# The longest message: a configuration of some ten thousand routes.
MAXIMUM_MESSAGE_BYTES = 2_000_000


class Incomplete(NamedTuple):
    """The parts of a message that have arrived."""

    count: int
    parts: dict[int, bytes]


def split_message(data: bytes) -> list[bytes]:
    """Return the datagrams that carry a message; raise `ValueError` if it is too long."""
    if len(data) <= MAXIMUM_DATAGRAM_BYTES:
        return [data]
    packed = zlib.compress(data)
    count = -(-len(packed) // PART_BYTES)
    if count > MAXIMUM_PARTS or len(data) > MAXIMUM_MESSAGE_BYTES:
        raise ValueError(f"message of {len(data)} bytes is too long")
    identity = xxhash.xxh32_intdigest(packed)
    return [
        HEADER.pack(MAGIC, identity, part, count)
        + packed[part * PART_BYTES : (part + 1) * PART_BYTES]
        for part in range(count)
    ]


def is_part(data: bytes) -> bool:
    """Return whether a datagram carries a part of a message."""
    return data[:2] == MAGIC


class Reassembly:
    """Collects parts by sender and message; forgets the oldest incomplete messages."""

    def __init__(self):
        self.incomplete: OrderedDict[tuple[Address, int], Incomplete] = OrderedDict()

    def add(self, sender: Address, data: bytes) -> bytes | None:
        """Add a part; return the message once it is complete.

        Raises `ValueError` for a malformed part or message.
        """
        if len(data) <= HEADER.size:
            raise ValueError("truncated part")
        _, identity, part, count = HEADER.unpack_from(data)
        if part >= count:
            raise ValueError(f"part {part} of {count}")
        key = (sender, identity)
        entry = self.incomplete.setdefault(key, Incomplete(count, {}))
        if entry.count != count:
            raise ValueError(f"{count} parts, not {entry.count}")
        entry.parts[part] = data[HEADER.size :]
        if len(entry.parts) < count:
            if len(self.incomplete) > MAXIMUM_INCOMPLETE:
                self.incomplete.popitem(last=False)
            return None
        del self.incomplete[key]
        return _decompress(b"".join(entry.parts[index] for index in range(count)))


def _decompress(packed: bytes) -> bytes:
    """Return the content of a compressed message, which must not exceed the maximum."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAXIMUM_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed message: {error}") from None
    if not decompressor.eof:
        raise ValueError("message is truncated or too long")
    return data
