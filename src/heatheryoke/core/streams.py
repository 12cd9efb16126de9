"""Headers of byte-stream packets, and the state that an owner keeps for each stream.

Only headers are read; the data that the two ends exchange is left unchanged.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.messages import Visit
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.inventory.model import Address

__all__ = ["SEQUENCE_MODULUS", "OwnedStream", "StreamCodec", "StreamHeader", "follows"]

SEQUENCE_MODULUS = 2**32
# What a caller can acknowledge before its owner has heard of it: the upstream's first packets, of
# which at most 16 with 1,200 bytes each are in flight.
ACKNOWLEDGED_WINDOW = 1 + 16 * 1_200


class StreamHeader(NamedTuple):
    """Fields read from one packet's header.

    `opens` marks the first packet of a flow: its `acknowledged` is the number of the copy, and its
    `age_s` the time since the caller sent the first copy. `accepts` marks the upstream's answer to
    it, `returned` a packet that the upstream did not accept.
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
        """Return whether the packet opens a flow or belongs to an open one."""
        return PacketKind.OPENS if self.opens else PacketKind.BELONGS


def is_ahead(sequence: int, other: int) -> bool:
    """Return whether a sequence number comes after another."""
    return 0 < (sequence - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def follows(head: StreamHeader, accepted: int) -> bool:
    """Return whether a caller's packet follows the acceptance of a sequence number."""
    return 0 < (head.acknowledged - accepted) % SEQUENCE_MODULUS <= ACKNOWLEDGED_WINDOW


class StreamCodec(ABC):
    """Reads and writes the headers of a stream's packets."""

    @abstractmethod
    def read_header(self, packet: bytes) -> StreamHeader:
        """Return the header fields of a packet that has passed its checks."""

    @abstractmethod
    def reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a reset packet for a flow's caller, with the service's address as its source."""

    @abstractmethod
    def without_marks(self, packet: bytes) -> bytes:
        """Return a packet as its sender wrote it, without the marks added in transit."""


class OwnedStream(OwnedFlow):
    """A flow that this host's upstream serves, with the state seen in its packets.

    `accepted` is the sequence number of the upstream's first packet, None while unknown.
    `has_request` is set while a request is in progress. It arrived at `waiting_since`;
    `had_free_slot` is set if the upstream had a free slot for it, `requests_before` is the number
    of others in progress then, and `is_overdue` is set once it counts as failed. `service_epoch` is
    the version of the configuration that the service was selected by, 0 if unknown. `request_end`
    is the sequence number after the caller's data, None before the first, and `answer_end` the one
    after the upstream's.
    """

    __slots__ = (
        "accepted",
        "answer_end",
        "caller_closed",
        "feed",
        "had_free_slot",
        "has_request",
        "is_over",
        "is_overdue",
        "removal_due",
        "request_end",
        "requests_before",
        "service_epoch",
        "upstream_closed",
        "via",
        "visited",
        "waiting_since",
    )

    def __init__(self, flow: FlowKey, service: str, generation: int, local_port: int, now: float):
        super().__init__(flow, service, generation, local_port, now)
        self.accepted: int | None = None
        self.waiting_since = now
        self.has_request = False
        self.had_free_slot = False
        self.requests_before = 0
        self.is_overdue = False
        self.request_end: int | None = None
        self.answer_end: int | None = None
        self.feed = False
        self.caller_closed = False
        self.upstream_closed = False
        self.is_over = False
        self.removal_due = now
        self.via: Address | None = None
        self.visited: tuple[Visit, ...] = ()
        self.service_epoch = 0

    def take_new_data(self, head: StreamHeader) -> bool:
        """Record a caller's data; return whether it is new, not sent again."""
        end = (head.sequence + head.length) % SEQUENCE_MODULUS
        if self.request_end is not None and not is_ahead(end, self.request_end):
            return False
        self.request_end = end
        return True

    def note_upstream_data(self, head: StreamHeader) -> None:
        """Record how far the upstream has sent."""
        end = (head.sequence + head.accepts + head.length) % SEQUENCE_MODULUS
        if self.answer_end is None or is_ahead(end, self.answer_end):
            self.answer_end = end

    def closes_before_data(self, head: StreamHeader) -> bool:
        """Return whether a closing packet has overtaken data that the upstream sent before it."""
        return self.answer_end is None or is_ahead(head.sequence, self.answer_end)

    def contradicts(self, head: StreamHeader) -> bool:
        """Return whether a caller's packet shows that another upstream accepted the flow."""
        if self.answered or self.accepted is None or head.opens or head.resets:
            return False
        return not follows(head, self.accepted)
