"""Packets of byte streams: what their heads say, and what an owner knows of each stream.

Only the heads are read; nothing that the two ends send each other is changed.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.messages import Visit
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.inventory.model import Address

__all__ = ["SEQUENCE_MODULUS", "OwnedStream", "StreamCodec", "StreamHead"]

SEQUENCE_MODULUS = 2**32
ACKNOWLEDGED_WINDOW = 2**20


class StreamHead(NamedTuple):
    """What the head of one packet says.

    `opens` marks the first packet of a flow, whose `acknowledged` counts its copies and whose
    caller began `age_s` ago; `accepts` the upstream's answer to it; `returned` a packet that the
    upstream did not take.
    """

    opens: bool
    accepts: bool
    closes: bool
    resets: bool
    returned: bool
    sequence: int
    acknowledged: int
    length: int
    age_s: float = 0.0

    @property
    def kind(self) -> PacketKind:
        """What the packet says about its flow."""
        return PacketKind.OPENS if self.opens else PacketKind.BELONGS


class StreamCodec(ABC):
    """Reads and writes the heads of a stream's packets."""

    @abstractmethod
    def read_head(self, packet: bytes) -> StreamHead:
        """Return what the head of a checked packet says."""

    @abstractmethod
    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset for a flow's caller, as from the service's address."""

    @abstractmethod
    def cleared(self, packet: bytes) -> bytes:
        """Return a packet as its sender wrote it, without the marks of its way."""


class OwnedStream(OwnedFlow):
    """One flow that this host's upstream serves, as its packets have shown it.

    `accepted` is the sequence number of the upstream's first packet, None while unknown.
    `requested` tells that a request is in progress, which came at `waiting_since` and, if
    `found_slot`, had no other before it.
    """

    __slots__ = (
        "accepted",
        "caller_closed",
        "ending_at",
        "feed",
        "found_slot",
        "is_over",
        "requested",
        "upstream_closed",
        "via",
        "visited",
        "waiting_since",
    )

    def __init__(self, flow: FlowKey, service: str, generation: int, local_port: int, now: float):
        super().__init__(flow, service, generation, local_port, now)
        self.accepted: int | None = None
        self.waiting_since = now
        self.requested = False
        self.found_slot = False
        self.feed = False
        self.caller_closed = False
        self.upstream_closed = False
        self.is_over = False
        self.ending_at = now
        self.via: Address | None = None
        self.visited: tuple[Visit, ...] = ()

    def contradicts(self, head: StreamHead) -> bool:
        """Tell whether a caller's packet shows that another upstream accepted the flow."""
        if self.answered or self.accepted is None or head.opens or head.resets:
            return False
        ahead = (head.acknowledged - self.accepted) % SEQUENCE_MODULUS
        return ahead > ACKNOWLEDGED_WINDOW
