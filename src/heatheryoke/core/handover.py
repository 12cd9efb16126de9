"""Hands a stopping witness's claims to the others, so that its restart loses none.

Once every other possible witness holds what this one granted, the restarted process need not wait
before it reads its claims back: none that its former self granted can still be on its way.
"""

from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.core.effects import Effect, SendPeer
from heatheryoke.core.messages import ClaimHandover, ClaimHandoverDone, ClaimRecord
from heatheryoke.inventory.model import Host

__all__ = ["Handover", "HandoverLog"]

CLAIMS_PER_PART = 12
PARTS_PER_TICK = 40
RESEND_S = 0.3


class Parcel(NamedTuple):
    """What one peer is to hold, cut into parts that it has yet to acknowledge."""

    peer: Host
    parts: dict[int, ClaimHandover]


class Handover:
    """Sends every claim to each peer that is to be a witness of it, until all acknowledge."""

    def __init__(self, host_name: str, peers: list[Host], records: Callable[[str], list]):
        self.host_name = host_name
        self.resend_at = 0.0
        self.is_done = False
        self.parcels = {peer.name: self.pack(peer, records(peer.name)) for peer in peers}

    def pack(self, peer: Host, claims: list[ClaimRecord]) -> Parcel:
        """Cut one peer's claims into parts; without claims there is one empty part."""
        starts = range(0, max(1, len(claims)), CLAIMS_PER_PART)
        parts = {
            part: ClaimHandover(self.host_name, part, tuple(claims[at : at + CLAIMS_PER_PART]))
            for part, at in enumerate(starts)
        }
        return Parcel(peer, parts)

    def acknowledge(self, peer_name: str, part: int) -> None:
        """Note that a peer holds a part."""
        parcel = self.parcels.get(peer_name)
        if parcel is not None:
            parcel.parts.pop(part, None)

    def advance(self, now: float, may_skip: Callable[[str], bool]) -> list[Effect]:
        """Send what is not acknowledged; announce the end once nothing is left."""
        if self.is_done:
            return []
        for name in [name for name in self.parcels if may_skip(name)]:
            del self.parcels[name]
        if all(not parcel.parts for parcel in self.parcels.values()):
            return self.finish()
        if now < self.resend_at:
            return []
        self.resend_at = now + RESEND_S
        return [
            SendPeer(parcel.peer.address, message)
            for parcel in self.parcels.values()
            for message in list(parcel.parts.values())[:PARTS_PER_TICK]
        ]

    def finish(self) -> list[Effect]:
        """Tell every peer, twice for safety, that all of them hold this host's claims."""
        self.is_done = True
        done = ClaimHandoverDone(self.host_name)
        return [SendPeer(parcel.peer.address, done) for parcel in self.parcels.values()] * 2


class HandoverLog:
    """Which peers have handed their claims over, for their next process to ask about."""

    def __init__(self):
        self.begun: set[str] = set()
        self.done: dict[str, int] = {}

    def begin(self, host_name: str) -> None:
        """Note that a peer is handing over."""
        self.begun.add(host_name)

    def finish(self, host_name: str) -> None:
        """Note that every peer of a host holds its claims."""
        self.done[host_name] = 0

    def redeem(self, host_name: str, incarnation: int) -> bool:
        """Tell a restarted process whether it may grant at once; only the first one may."""
        self.begun.discard(host_name)
        holder = self.done.get(host_name)
        if holder == 0:
            self.done[host_name] = incarnation
            return True
        return holder == incarnation
