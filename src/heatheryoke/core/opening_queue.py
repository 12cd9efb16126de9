"""Queue of new flows that wait for room at an upstream.

Load pattern: after an outage all callers reconnect at the same moment, many times more than the
upstreams can start. Refusing all but the first would use up the callers' retries within
milliseconds; starting all would make each of them late. So as many flows wait as can be started
within `LONGEST_WAIT_S`. Flows that can still meet their latency target go first, then those of a
kind that has not had more than its share, ordered by priority. When the queue is full, a new flow
replaces one that is already late.
"""

from typing import Generic, NamedTuple, TypeVar

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.room_shares import RoomShares

__all__ = ["LONGEST_WAIT_S", "OpeningQueue", "Waiting"]

# A caller waits 1.4 s for the answer to its first packet; the difference is for the round trip.
LONGEST_WAIT_S = 1.1
# Limits the memory of one queue to about 0.5 MB of first packets.
MAXIMUM_WAITING = 400

Packet = TypeVar("Packet")
Rank = tuple[bool, bool, int, float]


class Waiting(NamedTuple, Generic[Packet]):
    """A waiting flow.

    Its caller sent the first packet at `began` and expects an answer within `target_latency_s`.
    `priority` 0 is the most urgent; `kind` is the kind of request that has a share of the room.
    """

    packet: Packet
    began: float
    priority: int
    target_latency_s: float
    kind: str = ""


class OpeningQueue(Generic[Packet]):
    """Waiting flows by key; a copy of a first packet is not queued twice.

    Without `shares`, flows are ordered without regard to their kinds.
    """

    def __init__(self, shares: RoomShares | None = None):
        self.shares = shares
        self.waiting: dict[FlowKey, Waiting[Packet]] = {}

    def __len__(self) -> int:
        return len(self.waiting)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self.waiting

    def can_add(self, now: float, service_s: float, slots: int) -> bool:
        """Return whether one more flow may wait, possibly by replacing a late one."""
        if not self.is_full(service_s, slots):
            return True
        return any(self.is_late(entry, now, service_s) for entry in self.waiting.values())

    def is_full(self, service_s: float, slots: int) -> bool:
        """Return whether one more flow could only wait if it replaced another."""
        wait_s = (len(self.waiting) + 1) * service_s / slots
        return wait_s > LONGEST_WAIT_S or len(self.waiting) >= MAXIMUM_WAITING

    def add(
        self, flow: FlowKey, entry: Waiting[Packet], now: float, service_s: float, slots: int
    ) -> Waiting[Packet] | None:
        """Queue a flow; return the flow that it replaces, None if it replaces none."""
        if flow in self.waiting:
            return None
        replaced = None
        if self.is_full(service_s, slots) and self.waiting:
            ranks = self.ranks(now, service_s)
            replaced = self.waiting.pop(max(ranks, key=ranks.__getitem__))
        self.waiting[flow] = entry
        return replaced

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow."""
        self.waiting.pop(flow, None)

    def take(self, now: float, service_s: float) -> Waiting[Packet] | None:
        """Remove and return the flow to start next, None if none waits."""
        if not self.waiting:
            return None
        ranks = self.ranks(now, service_s)
        return self.waiting.pop(min(ranks, key=ranks.__getitem__))

    def ranks(self, now: float, service_s: float) -> dict[FlowKey, Rank]:
        """Return the sort key of each waiting flow."""
        over_share: set[str] = set()
        if self.shares is not None:
            kinds = {entry.kind: entry.priority for entry in self.waiting.values()}
            over_share = self.shares.over_share(kinds, now)
        return {
            flow: self.rank(entry, entry.kind in over_share, now, service_s)
            for flow, entry in self.waiting.items()
        }

    def is_late(self, entry: Waiting[Packet], now: float, service_s: float) -> bool:
        """Return whether a flow started now would miss its latency target."""
        return now + service_s > entry.began + entry.target_latency_s

    def rank(
        self, entry: Waiting[Packet], is_over_share: bool, now: float, service_s: float
    ) -> Rank:
        """Return a flow's sort key.

        In time before late, then kinds within their share, then priority, then earliest deadline.
        """
        return (
            self.is_late(entry, now, service_s),
            is_over_share,
            entry.priority,
            entry.began + entry.target_latency_s,
        )

    def expired(self, now: float) -> list[Waiting[Packet]]:
        """Remove and return the flows that have waited too long."""
        expired = [key for key, entry in self.waiting.items() if now - entry.began > LONGEST_WAIT_S]
        return [self.waiting.pop(key) for key in expired]

    def clear(self) -> list[Waiting[Packet]]:
        """Remove and return every flow."""
        entries = list(self.waiting.values())
        self.waiting.clear()
        return entries
