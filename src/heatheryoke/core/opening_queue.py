"""New flows that wait for room at an upstream.

Load pattern: every caller comes back at the same moment after an outage, many times what the
upstreams can begin. To refuse all but the first would use up the callers' retries within
milliseconds; to begin all would make each of them late. So as many wait as can be begun within
`LONGEST_WAIT_S`: those that can still be served within their aim go first, the urgent before the
others. Into a full queue a new flow comes in the place of one that is late already.
"""

from typing import Generic, NamedTuple, TypeVar

from heatheryoke.core.flows import FlowKey

__all__ = ["LONGEST_WAIT_S", "OpeningQueue", "Waiting"]

# Less than a caller waits for the answer to its first packet (1.4 s), by the way there and back.
LONGEST_WAIT_S = 1.1
# Bounds the memory of one queue to about 0.5 MB of first packets.
MAXIMUM_WAITING = 400

Packet = TypeVar("Packet")


class Waiting(NamedTuple, Generic[Packet]):
    """One flow that waits, whose caller began at `began`; `priority` 0 is the most urgent."""

    packet: Packet
    began: float
    priority: int
    aim_s: float


class OpeningQueue(Generic[Packet]):
    """Waiting flows by key; a copy of a first packet does not wait twice."""

    def __init__(self):
        self.waiting: dict[FlowKey, Waiting[Packet]] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self.waiting

    def can_add(self, now: float, service_s: float, slots: int) -> bool:
        """Tell whether one more flow may wait, be it in the place of a late one."""
        if not self.is_full(service_s, slots):
            return True
        return any(self.is_late(row, now, service_s) for row in self.waiting.values())

    def is_full(self, service_s: float, slots: int) -> bool:
        """Tell whether one more flow would not be begun in time if none gave way."""
        wait_s = (len(self.waiting) + 1) * service_s / slots
        return wait_s > LONGEST_WAIT_S or len(self.waiting) >= MAXIMUM_WAITING

    def add(
        self, flow: FlowKey, row: Waiting[Packet], now: float, service_s: float, slots: int
    ) -> Waiting[Packet] | None:
        """Let a flow wait; return the one that gives way to it, if any."""
        if flow in self.waiting:
            return None
        given_way = None
        if self.is_full(service_s, slots) and self.waiting:
            last = max(self.waiting, key=lambda key: self.rank(self.waiting[key], now, service_s))
            given_way = self.waiting.pop(last)
        self.waiting[flow] = row
        return given_way

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self.waiting.pop(flow, None)

    def take(self, now: float, service_s: float) -> Waiting[Packet] | None:
        """Remove and return the flow to begin next, None if none waits."""
        if not self.waiting:
            return None
        flow = min(self.waiting, key=lambda key: self.rank(self.waiting[key], now, service_s))
        return self.waiting.pop(flow)

    def is_late(self, row: Waiting[Packet], now: float, service_s: float) -> bool:
        """Tell whether a flow begun now would miss its aim."""
        return now + service_s > row.began + row.aim_s

    def rank(self, row: Waiting[Packet], now: float, service_s: float) -> tuple[bool, int, float]:
        """Return what orders a flow: in time, then urgent, then the one with the least time."""
        return self.is_late(row, now, service_s), row.priority, row.began + row.aim_s

    def expired(self, now: float) -> list[Waiting[Packet]]:
        """Remove and return the flows that have waited too long."""
        late = [key for key, row in self.waiting.items() if now - row.began > LONGEST_WAIT_S]
        return [self.waiting.pop(key) for key in late]

    def clear(self) -> list[Waiting[Packet]]:
        """Remove and return every flow."""
        rows = list(self.waiting.values())
        self.waiting.clear()
        return rows
