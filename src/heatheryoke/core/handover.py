"""Hands over the claims of a stopping witness to its peers, so that its restart loses none.

Once every other possible witness stores the claims that this one granted, the restarted process
can read them back without a delay, since no grant of the stopped process is still in transit.
"""

from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.core.effects import Effect, SendPeer
from heatheryoke.core.messages import ClaimHandover, ClaimHandoverDone, ClaimRecord
from heatheryoke.inventory.model import Host

__all__ = ["Handover", "HandoverLog"]

CLAIMS_PER_PART = 12
PARTS_PER_TICK = 40
RESEND_INTERVAL_S = 0.3


class PeerClaims(NamedTuple):
    """The claims for one peer, split into parts that it has not acknowledged yet."""

    peer: Host
    parts: dict[int, ClaimHandover]


class Handover:
    """Sends each claim to the peers that are its witnesses until all have acknowledged."""

    def __init__(self, host_name: str, peers: list[Host], records: Callable[[str], list]):
        self.host_name = host_name
        self.resend_at = 0.0
        self.is_done = False
        self.pending = {peer.name: self.split(peer, records(peer.name)) for peer in peers}

    def split(self, peer: Host, claims: list[ClaimRecord]) -> PeerClaims:
        """Split the claims for one peer into parts, at least one even without claims."""
        starts = range(0, max(1, len(claims)), CLAIMS_PER_PART)
        parts = {
            part: ClaimHandover(
                self.host_name, part, tuple(claims[start : start + CLAIMS_PER_PART])
            )
            for part, start in enumerate(starts)
        }
        return PeerClaims(peer, parts)

    def acknowledge(self, peer_name: str, part: int) -> None:
        """Remove a part that a peer has acknowledged."""
        peer_claims = self.pending.get(peer_name)
        if peer_claims is not None:
            peer_claims.parts.pop(part, None)

    def advance(self, now: float, may_skip: Callable[[str], bool]) -> list[Effect]:
        """Send unacknowledged parts, or announce completion when there are none."""
        if self.is_done:
            return []
        for name in [name for name in self.pending if may_skip(name)]:
            del self.pending[name]
        if all(not peer_claims.parts for peer_claims in self.pending.values()):
            return self.finish()
        if now < self.resend_at:
            return []
        self.resend_at = now + RESEND_INTERVAL_S
        return [
            SendPeer(peer_claims.peer.address, message)
            for peer_claims in self.pending.values()
            for message in list(peer_claims.parts.values())[:PARTS_PER_TICK]
        ]

    def finish(self) -> list[Effect]:
        """Notify every peer that the handover is complete; sent twice in case one is lost."""
        self.is_done = True
        done = ClaimHandoverDone(self.host_name)
        return [
            SendPeer(peer_claims.peer.address, done) for peer_claims in self.pending.values()
        ] * 2


class HandoverLog:
    """Records which peers have handed over their claims, until their next process asks."""

    def __init__(self):
        self.begun: set[str] = set()
        self.done: dict[str, int] = {}

    def begin(self, host_name: str) -> None:
        """Record that a peer has begun its handover."""
        self.begun.add(host_name)

    def finish(self, host_name: str) -> None:
        """Record that all peers of a host store its claims."""
        self.done[host_name] = 0

    def consume(self, host_name: str, incarnation: int) -> bool:
        """Return whether a restarted process may grant at once.

        Only the first process after a handover may; its incarnation is recorded.
        """
        self.begun.discard(host_name)
        consumed_by = self.done.get(host_name)
        if consumed_by == 0:
            self.done[host_name] = incarnation
            return True
        return consumed_by == incarnation
