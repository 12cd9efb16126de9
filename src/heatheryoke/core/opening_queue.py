"""New flows that wait for room at an upstream.

Load pattern: every caller comes back at the same moment after an outage, many times what the
upstreams can begin. To refuse all but the first would use up the callers' retries within
milliseconds; to begin all would make each of them late. So some wait: those that can still be
served within their aim go first, the urgent before the others, and who cannot be begun within
`LONGEST_WAIT_S` is refused on arrival.
"""

from typing import Generic, NamedTuple, TypeVar

from heatheryoke.core.flows import FlowKey

__all__ = ["LONGEST_WAIT_S", "OpeningQueue", "Waiting"]

LONGEST_WAIT_S = 1.1
MAXIMUM_WAITING = 400

Packet = TypeVar("Packet")


class Waiting(NamedTuple, Generic[Packet]):
    """One flow that waits; `priority` 0 is the most urgent."""

    packet: Packet
    arrived: float
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

    def has_room(self, service_s: float, slots: int) -> bool:
        """Tell whether one more flow would be begun in time."""
        wait_s = (len(self.waiting) + 1) * service_s / slots
        return wait_s <= LONGEST_WAIT_S and len(self.waiting) < MAXIMUM_WAITING

    def add(self, flow: FlowKey, row: Waiting[Packet]) -> None:
        """Let a flow wait."""
        self.waiting.setdefault(flow, row)

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self.waiting.pop(flow, None)

    def take(self, now: float, service_s: float) -> Waiting[Packet] | None:
        """Remove and return the flow to begin next, None if none waits."""
        if not self.waiting:
            return None
        flow = min(self.waiting, key=lambda key: self.rank(self.waiting[key], now, service_s))
        return self.waiting.pop(flow)

    def rank(self, row: Waiting[Packet], now: float, service_s: float) -> tuple[bool, int, float]:
        """Return what orders a flow: in time, then urgent, then the one with the least time."""
        aim_ends = row.arrived + row.aim_s
        is_late = now + service_s > aim_ends
        return is_late, row.priority, aim_ends

    def expired(self, now: float) -> list[Waiting[Packet]]:
        """Remove and return the flows that have waited too long."""
        late = [key for key, row in self.waiting.items() if now - row.arrived > LONGEST_WAIT_S]
        return [self.waiting.pop(key) for key in late]

    def clear(self) -> list[Waiting[Packet]]:
        """Remove and return every flow."""
        rows = list(self.waiting.values())
        self.waiting.clear()
        return rows
