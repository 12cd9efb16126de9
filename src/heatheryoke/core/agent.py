"""The agent's reducer: owner, home and witness of flows, with recovery and graceful stop."""

from heatheryoke.core.admission import ColdReason
from heatheryoke.core.effects import (
    BindFlow,
    Count,
    Effect,
    LogChange,
    SendPeer,
)
from heatheryoke.core.events import (
    PeerMessageArrived,
)
from heatheryoke.core.handover import Handover, HandoverLog
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import (
    ClaimHandover,
    ClaimHandoverAck,
    ClaimHandoverDone,
    RecoveryReply,
    RecoveryRequest,
    Registration,
)
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.recovery import Recovery, recovery_replies
from heatheryoke.core.request_home import RequestHome

__all__ = ["Agent"]

EXPIRY_BATCH = 200
STOP_LIMIT_S = 25.0


class Agent(RequestHome):
    """The owner, home and witness roles of the process beside one upstream host."""

    def __init__(self, host_name: str, incarnation: int, started: float, *arguments, **options):
        super().__init__(host_name, incarnation, started, *arguments, **options)
        self.recovery = Recovery(host_name, incarnation)
        self.handover: Handover | None = None
        self.handover_log = HandoverLog()
        self.message_handlers |= {
            RecoveryRequest: self.on_recovery_request,
            RecoveryReply: self.on_recovery_reply,
            ClaimHandover: self.on_claim_handover,
            ClaimHandoverAck: self.on_claim_handover_ack,
            ClaimHandoverDone: self.on_claim_handover_done,
        }

    def has_recovered_flows(self, now: float) -> bool:
        """Return whether the recovery of flows and directory entries has ended."""
        return self.recovery.has_flows(now)

    def on_topology(self, now: float) -> list[Effect]:
        """Adapt flows, homes and limits to a new configuration."""
        self.history.set_current(self.topology, now)
        was_withdrawn, self.withdrawn = self.withdrawn, self.topology.is_withdrawn(self.host_name)
        if self.withdrawn:
            effects = self.reset_flows(list(self.flows.flows.values()), now)
            self.registrar.clear()
            self.directory.clear()
            return effects
        if self.topology.withdrawn:
            self.directory.forget_owners(self.topology.is_withdrawn)
        effects = self.reset_moved_flows(now)
        if self.recovery.started is None:
            effects += self.recovery.begin(self.topology.peers_of(self.host_name), now)
        if was_withdrawn:
            for admission in self.engine.admissions.values():
                admission.mark_cold(now, ColdReason.RETURNED)
        self.register_moved()
        return effects

    def on_pause_ended(self, now: float) -> list[Effect]:
        """Register every flow again, since another host may have become its owner meanwhile."""
        if self.topology is not None and not self.withdrawn:
            for owned in self.flows.flows.values():
                self.registrar.register(owned, self.topology)
        return []

    def advance(self, now: float) -> list[Effect]:
        """Advance requests, expiry, renewals, registrations, recovery and handover to `now`."""
        effects = self.engine.advance(now)
        effects += isolated(self.expire_flows, now)
        self.directory.expire(now, EXPIRY_BATCH)
        effects += isolated(self.renew, now)
        effects += isolated(self.registrar.flush, self.flows, self.topology, now)
        effects += isolated(self.recovery.advance, now, self.history.is_complete(now))
        return effects + isolated(self.advance_handover, now)

    def advance_handover(self, now: float) -> list[Effect]:
        """While stopping, hand over this witness's claims once no work is in progress."""
        if self.stopping_since is None:
            return []
        self.engine.is_closing = True
        if self.handover is None and self.engine.is_idle() and self.registrar.is_idle():
            claims = self.engine.claims
            claims.witness.stop_granting()
            peers = self.topology.peers_of(self.host_name)
            self.handover = Handover(
                self.host_name, peers, lambda name: claims.records_for(name, now)
            )
        if self.handover is None:
            return []
        return self.handover.advance(now, self.can_skip_handover)

    def can_skip_handover(self, peer: str) -> bool:
        """Return whether the handover omits a peer.

        A suspected peer reads back all claims when it restarts, unless it has begun a handover.
        """
        return self.membership.is_suspected(peer) and peer not in self.handover_log.begun

    def is_idle(self, now: float) -> bool:
        """Return whether the handover is done or `STOP_LIMIT_S` has passed."""
        if self.stopping_since is not None and now - self.stopping_since > STOP_LIMIT_S:
            return True
        return self.handover is not None and self.handover.is_done

    def on_recovery_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Send a restarted agent its flows, directory entries, claims and topology history."""
        request = event.message
        entries = [
            registration
            for registration in self.directory.registrations()
            if self.is_owner_or_home(registration, request.host)
        ]
        entries += [
            owned.registration(self.host_name)
            for owned in self.flows.flows.values()
            if request.host in owned.homes
        ]
        complete = not self.engine.claims.witness.is_recovering(event.now)
        claims = self.engine.claims.records_for(request.host, event.now)
        handed_over = self.handover_log.consume(request.host, request.incarnation)
        replies = recovery_replies(request, complete, handed_over, entries, claims)
        if self.history.is_complete(event.now):
            history = self.history.records(event.now)
            replies[0] = replies[0]._replace(knows_history=True, history=history)
        return [SendPeer(event.sender, reply) for reply in replies]

    def is_owner_or_home(self, registration: Registration, host_name: str) -> bool:
        """Return whether a host is the owner or a home of a registered flow."""
        if registration.owner == host_name:
            return True
        service = self.topology.service_of(registration.flow)
        return service is not None and host_name in self.home_names(registration.flow, service)

    def on_recovery_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Recover flows, directory entries and claims from a peer's reply."""
        reply = event.message
        peer = next(
            (name for name, host in self.recovery.peers.items() if host.address == event.sender),
            None,
        )
        if peer is None or self.withdrawn:
            return []
        effects: list[Effect] = []
        for registration in reply.entries:
            effects += self.restore_flow(registration, event.now)
        for record in reply.claims:
            self.engine.claims.witness.accept(record, event.now)
        self.recovery.on_reply(peer, reply)
        if reply.knows_history and event.epoch == self.epoch:
            self.adopt_history(reply, event.now)
        if self.recovery.has_claims() and self.engine.claims.witness.is_recovering(event.now):
            self.engine.claims.witness.finish_recovery(event.now)
            effects.append(LogChange(self.host_name, "recovered", "claims read back"))
        return effects

    def adopt_history(self, reply: RecoveryReply, now: float) -> None:
        """Adopt a peer's topology history, unless this process's history is complete."""
        if not self.history.is_complete(now):
            self.history.adopt(reply.history, now)

    def on_claim_handover(self, event: PeerMessageArrived) -> list[Effect]:
        """Store the claims of a stopping witness; acknowledge them if none conflicts with a grant.

        Without an acknowledgement, the witness sends them again.
        """
        message = event.message
        self.handover_log.begin(message.host)
        witness = self.engine.claims.witness
        accepted = [witness.accept(record, event.now) for record in message.claims]
        if not all(accepted):
            return [Count("handovers_contested")]
        return [SendPeer(event.sender, ClaimHandoverAck(self.host_name, message.part))]

    def on_claim_handover_ack(self, event: PeerMessageArrived) -> list[Effect]:
        """Record that a peer stored a part of this witness's claims."""
        if self.handover is not None:
            self.handover.acknowledge(event.message.host, event.message.part)
        return []

    def on_claim_handover_done(self, event: PeerMessageArrived) -> list[Effect]:
        """Record that a peer's next process may grant claims at once."""
        self.handover_log.finish(event.message.host)
        return []

    def restore_flow(self, registration: Registration, now: float) -> list[Effect]:
        """Restore a registered flow as its owner, or its directory entry as its home."""
        if registration.owner != self.host_name:
            self.directory.register(registration, now)
            return []
        if registration.flow in self.flows.flows:
            return []
        service = self.topology.service_of(registration.flow)
        endpoint = service and self.topology.endpoints.get((service.name, self.host_name))
        if not endpoint:
            return []
        owned = OwnedFlow(
            registration.flow, service.name, registration.generation, registration.local_port, now
        )
        owned.answered = registration.answered
        self.adopt(owned, now)
        effects: list[Effect] = [Count("flows_recovered")]
        effects.append(BindFlow(registration.flow, endpoint.address, registration.local_port))
        for feed in registration.feeds:
            effects += self.engine.restore_feed(owned, feed, now)
        return effects
