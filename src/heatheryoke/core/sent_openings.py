"""First packets that were passed to another host and not acknowledged yet."""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Forward
from heatheryoke.core.reachability import ACKNOWLEDGEMENT_TIMEOUT_S
from heatheryoke.inventory.model import Address

__all__ = ["MAXIMUM_RESENDS", "SentOpening", "SentOpenings"]

# Ways tried after the first; with the time-out, all are tried before the caller's second copy.
MAXIMUM_RESENDS = 3
# Limits the memory for first packets to about 0.3 MB; the oldest are dropped beyond this.
MAXIMUM_SENT = 1_000


class SentOpening(NamedTuple):
    """A first packet as it was sent, and how often it had been sent another way before."""

    to: Address
    message: Forward
    sent_at: float
    resends: int


class SentOpenings:
    """Keeps first packets until the next host has acknowledged them.

    Load pattern: a host that has just been killed or cut off swallows every first packet sent to
    it, and the caller's first copy follows only after 200 ms, which is the whole latency target.
    """

    def __init__(self):
        self.by_flow: OrderedDict[FlowKey, SentOpening] = OrderedDict()
        self.silent_hosts: OrderedDict[FlowKey, frozenset[Address]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_flow)

    def add(self, opening: SentOpening) -> None:
        """Keep a first packet; it replaces an earlier copy of the same flow."""
        self.by_flow[opening.message.flow] = opening
        self.by_flow.move_to_end(opening.message.flow)
        if len(self.by_flow) > MAXIMUM_SENT:
            self.by_flow.popitem(last=False)

    def acknowledge(self, flow: FlowKey, sender: Address) -> None:
        """Drop a first packet that the host it was sent to has received."""
        opening = self.by_flow.get(flow)
        if opening is not None and opening.to == sender:
            del self.by_flow[flow]

    def take_overdue(self, is_silent: Callable[[Address], bool], now: float) -> list[SentOpening]:
        """Remove and return the packets overdue, or sent to a host that is silent."""
        overdue = [
            opening
            for opening in self.by_flow.values()
            if now - opening.sent_at >= ACKNOWLEDGEMENT_TIMEOUT_S or is_silent(opening.to)
        ]
        for opening in overdue:
            del self.by_flow[opening.message.flow]
            self.note_silent(opening)
        return overdue

    def note_silent(self, opening: SentOpening) -> None:
        """Record that a host may have a first packet, although it has not acknowledged it."""
        flow = opening.message.flow
        self.silent_hosts[flow] = self.hosts_that_may_have(flow) | {opening.to}
        self.silent_hosts.move_to_end(flow)
        if len(self.silent_hosts) > MAXIMUM_SENT:
            self.silent_hosts.popitem(last=False)

    def hosts_that_may_have(self, flow: FlowKey) -> frozenset[Address]:
        """Return the hosts that were sent a first packet and have not acknowledged it in time."""
        return self.silent_hosts.get(flow, frozenset())

    def allow_for_own_delay(self, now: float) -> None:
        """Extend all time-outs after a delay of this process, whose queue may hold the answers."""
        for flow, opening in self.by_flow.items():
            self.by_flow[flow] = opening._replace(sent_at=now)
