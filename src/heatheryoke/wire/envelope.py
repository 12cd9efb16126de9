"""Authenticated envelope of datagrams between processes that share a key.

offset  bytes  field
0       2      magic
2       1      version
3       1      kind
4       8      sender: random id of the sending process
12      8      sender's sequence number
20      8      sender's epoch
28      16     BLAKE2b MAC of all other bytes, keyed with the shared key
44             body
"""

import hmac
import struct
from enum import Enum, IntEnum
from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    "BadEnvelope",
    "Envelope",
    "EnvelopeCodec",
    "EnvelopeKind",
    "ReplayWindow",
]

MAGIC = b"HY"
VERSION = 1
HEADER = struct.Struct("!2sBBQQQ")
MAC_BYTES = 16
BODY_OFFSET = HEADER.size + MAC_BYTES
WINDOW_BITS = 1_024
MAXIMUM_SENDERS = 50_000


class EnvelopeKind(IntEnum):
    """The type of a body."""

    FORWARD = 1
    CONTROL = 2


KINDS = frozenset(EnvelopeKind)


class BadEnvelope(Enum):
    """A reason for dropping a datagram."""

    TRUNCATED = "truncated"
    FOREIGN = "foreign"
    WRONG_VERSION = "wrong_version"
    FORGED = "forged"
    REPLAYED = "replayed"
    UNKNOWN_KIND = "unknown_kind"


class Envelope(NamedTuple):
    """An authenticated datagram."""

    kind: EnvelopeKind
    sender: int
    epoch: int
    body: bytes


class ReplayWindow:
    """Accepts each sequence number of one sender once, within `WINDOW_BITS` of the highest."""

    __slots__ = ("highest", "seen_bits")

    def __init__(self):
        self.highest = -1
        self.seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; return whether it is within the window and new."""
        if sequence > self.highest:
            shift = sequence - self.highest
            self.seen_bits = (
                (self.seen_bits << shift | 1) & WINDOW_MASK if shift < WINDOW_BITS else 1
            )
            self.highest = sequence
            return True
        bit = 1 << (self.highest - sequence)
        if self.highest - sequence >= WINDOW_BITS or self.seen_bits & bit:
            return False
        self.seen_bits |= bit
        return True


WINDOW_MASK = (1 << WINDOW_BITS) - 1


class EnvelopeCodec:
    """Seals and opens datagrams for one process."""

    def __init__(self, key: bytes, sender: int):
        self.keyed_hash = blake2b(key=key, digest_size=MAC_BYTES)
        self.sender = sender
        self.sequence = 0
        self.windows: dict[int, ReplayWindow] = {}

    def seal(self, kind: EnvelopeKind, epoch: int, body: bytes) -> bytes:
        """Return a datagram under the next sequence number."""
        self.sequence += 1
        header = HEADER.pack(MAGIC, VERSION, kind, self.sender, self.sequence, epoch)
        return header + self.mac(header, body) + body

    def mac(self, header: bytes, body: bytes) -> bytes:
        """Return the MAC of a datagram's header and body."""
        digest = self.keyed_hash.copy()
        digest.update(header)
        digest.update(body)
        return digest.digest()

    def open(self, data: bytes) -> Envelope | BadEnvelope:
        """Return a datagram's envelope, or why it is dropped; cheaper checks come first."""
        if len(data) < BODY_OFFSET:
            return BadEnvelope.TRUNCATED
        magic, version, kind, sender, sequence, epoch = HEADER.unpack_from(data)
        if magic != MAGIC:
            return BadEnvelope.FOREIGN
        if version != VERSION:
            return BadEnvelope.WRONG_VERSION
        body = data[BODY_OFFSET:]
        mac = self.mac(data[: HEADER.size], body)
        if not hmac.compare_digest(mac, data[HEADER.size : BODY_OFFSET]):
            return BadEnvelope.FORGED
        if not self.window(sender).accept(sequence):
            return BadEnvelope.REPLAYED
        if kind not in KINDS:
            return BadEnvelope.UNKNOWN_KIND
        return Envelope(EnvelopeKind(kind), sender, epoch, body)

    def window(self, sender: int) -> ReplayWindow:
        """Return a sender's window, evicting the oldest of more than `MAXIMUM_SENDERS`."""
        window = self.windows.get(sender)
        if window is None:
            window = self.windows[sender] = ReplayWindow()
            if len(self.windows) > MAXIMUM_SENDERS:
                del self.windows[next(iter(self.windows))]
        return window
