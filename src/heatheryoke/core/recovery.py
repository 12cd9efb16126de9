"""Recovers a restarted agent's flows and claims from the agents that share its services."""

from heatheryoke.core.claims import RECOVERY_DELAY_S
from heatheryoke.core.effects import Effect, SendPeer
from heatheryoke.core.messages import ClaimRecord, RecoveryReply, RecoveryRequest, Registration
from heatheryoke.inventory.model import Host

__all__ = ["FLOW_RECOVERY_S", "Recovery", "recovery_replies"]

FLOW_RECOVERY_S = 1.5
RETRY_INTERVAL_S = 0.4
RECOVERY_TIMEOUT_S = 60.0
ENTRIES_PER_PART = 8
CLAIMS_PER_PART = 8


class Recovery:
    """Requests flows from every peer at once, and claims after `RECOVERY_DELAY_S`.

    A claim that this host's former process granted reaches its majority within one claim round.
    Claims are read back after two rounds, when no round that counted such a grant is still open.
    """

    def __init__(self, host_name: str, incarnation: int):
        self.host_name = host_name
        self.incarnation = incarnation
        self.question = 0
        self.started: float | None = None
        self.retry_at = 0.0
        self.peers: dict[str, Host] = {}
        self.parts: dict[str, set[int]] = {}
        self.peers_replied: set[str] = set()
        self.peers_with_claims: set[str] = set()
        self.requests_claims = False
        self.handover_denied = False

    def begin(self, peers: list[Host], now: float) -> list[Effect]:
        """Send the first recovery request to every peer."""
        self.started = now
        self.retry_at = now + RETRY_INTERVAL_S
        self.peers = {peer.name: peer for peer in peers}
        return self.send_requests(peers)

    def send_requests(self, peers: list[Host]) -> list[Effect]:
        """Send a recovery request with a new question number; earlier replies are ignored."""
        self.question += 1
        self.parts.clear()
        request = RecoveryRequest(self.host_name, self.incarnation, self.question)
        return [SendPeer(peer.address, request) for peer in peers]

    def advance(self, now: float, has_history: bool) -> list[Effect]:
        """Request claims when due, and repeat requests to peers that have not fully replied."""
        if self.started is None or now - self.started > RECOVERY_TIMEOUT_S:
            return []
        if self.was_handed_over() and has_history:
            return []
        if not self.requests_claims and now - self.started > RECOVERY_DELAY_S:
            self.requests_claims = True
            self.retry_at = now + RETRY_INTERVAL_S
            return self.send_requests(list(self.peers.values()))
        if now < self.retry_at:
            return []
        self.retry_at = now + RETRY_INTERVAL_S
        if self.has_claims() and not has_history:
            return self.send_requests(list(self.peers.values()))
        done = self.peers_with_claims if self.requests_claims else self.peers_replied
        return self.send_requests([peer for name, peer in self.peers.items() if name not in done])

    def on_reply(self, peer: str, reply: RecoveryReply) -> None:
        """Record a part of a peer's reply."""
        if reply.question != self.question:
            return
        self.handover_denied = self.handover_denied or not reply.handed_over
        parts = self.parts.setdefault(peer, set())
        parts.add(reply.part)
        if len(parts) == reply.parts:
            self.peers_replied.add(peer)
            if reply.complete and self.requests_claims:
                self.peers_with_claims.add(peer)

    def has_flows(self, now: float) -> bool:
        """Return whether all peers have sent their flows, or `FLOW_RECOVERY_S` has passed."""
        if self.started is None:
            return False
        return self.peers_replied >= set(self.peers) or now - self.started > FLOW_RECOVERY_S

    def was_handed_over(self) -> bool:
        """Return whether every peer confirms that the former process handed over its claims.

        A peer that denies it may have seen a later process, whose claims may be lost.
        """
        return (
            bool(self.peers) and self.peers_replied >= set(self.peers) and not self.handover_denied
        )

    def has_claims(self) -> bool:
        """Return whether the claims are complete: all read back, or handed over before."""
        if self.was_handed_over():
            return True
        return (
            self.requests_claims and bool(self.peers) and self.peers_with_claims >= set(self.peers)
        )


def recovery_replies(
    request: RecoveryRequest,
    complete: bool,
    handed_over: bool,
    entries: list[Registration],
    claims: list[ClaimRecord],
) -> list[RecoveryReply]:
    """Return the reply to a recovery request, split into parts."""
    entry_parts = -(-len(entries) // ENTRIES_PER_PART)
    claim_parts = -(-len(claims) // CLAIMS_PER_PART)
    parts = max(1, entry_parts, claim_parts)
    return [
        RecoveryReply(
            request.question,
            part,
            parts,
            complete,
            handed_over,
            tuple(entries[part * ENTRIES_PER_PART : (part + 1) * ENTRIES_PER_PART]),
            tuple(claims[part * CLAIMS_PER_PART : (part + 1) * CLAIMS_PER_PART]),
        )
        for part in range(parts)
    ]
