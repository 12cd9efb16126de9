"""The owner's part of an agent: the flows of its host, their requests and registrations."""

from abc import abstractmethod

from heatheryoke.core.claims import CLAIM_LIFETIME_S
from heatheryoke.core.effects import (
    CloseFlow,
    Count,
    Effect,
    LogChange,
    SendPeer,
)
from heatheryoke.core.events import (
    FlowBound,
    PeerMessageArrived,
    UpstreamGone,
    UpstreamPacket,
)
from heatheryoke.core.flows import FlowKey, PacketKind, describe_flow, service_part
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.messages import (
    HOP_LIMIT,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    Forward,
    Hint,
    RegistrationsAck,
    ResultReply,
    ResultRequest,
    Yield,
)
from heatheryoke.core.node import Node
from heatheryoke.core.ownership import OwnedFlow, OwnedFlows, Registrar
from heatheryoke.core.request_engine import RequestEngine
from heatheryoke.core.requests import CodecFactory, RefusalReason
from heatheryoke.inventory.checks import short_id
from heatheryoke.inventory.document import Address, Protocol, Service

__all__ = ["Owner"]

EXPIRY_BATCH = 200
RENEWAL_BATCH = 200
HINTS_PER_S = 3.0
HINT_BURST = 30.0
SPARE_IDLE_S = 5.0
SPARE_SEARCH = 20


class Owner(Node):
    """Owns the flows of one upstream host; nobody else gives that host work."""

    engine_type: type[RequestEngine] = RequestEngine

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        started: float,
        codecs: dict[Protocol, CodecFactory] | None = None,
        seeds: tuple[Address, ...] = (),
        unix_offset_s: float = 0.0,
        claim_lifetime_s: float = CLAIM_LIFETIME_S,
        first_start: bool = False,
    ):
        super().__init__(host_name, incarnation, seeds)
        self.history = TopologyHistory(claim_lifetime_s)
        self.flows = OwnedFlows()
        self.registrar = Registrar(host_name, incarnation & 0xFFFFFFFF)
        self.engine = self.engine_type(
            host_name,
            incarnation,
            self.history,
            self.flows,
            codecs or {},
            started,
            unix_offset_s,
            claim_lifetime_s,
        )
        self.engine.claims.is_doubtful = self.is_doubtful
        if first_start:
            self.engine.claims.witness.recovered(started)
            self.history.is_first_start = True
        self.withdrawn = False
        self.hint_tokens = HINT_BURST
        self.hint_refill_at = started
        self.event_handlers |= {
            UpstreamPacket: self.on_upstream_packet,
            FlowBound: self.on_flow_bound,
            UpstreamGone: self.on_upstream_gone,
        }
        self.message_handlers |= {
            RegistrationsAck: self.on_registrations_ack,
            Yield: self.on_yield,
            ClaimRequest: self.on_claim_request,
            ClaimReply: self.on_claim_reply,
            ClaimRelease: self.on_claim_release,
            ResultRequest: self.on_result_request,
            ResultReply: self.on_result_reply,
        }

    @abstractmethod
    def forget_entry(self, flow: FlowKey) -> None:
        """Forget what is known of a flow's owner, since it is this host."""

    def deliver(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Hand a packet of an owned flow to its request handling."""
        self.flows.touch(owned, now)
        effects = self.engine.on_datagram(owned, message.payload, now)
        if message.hops < HOP_LIMIT:
            effects += self.hint(message, self.host_name, now)
        if message.kind is PacketKind.CLOSES:
            effects += self.give_up(owned, now)
        return effects

    def on_upstream_packet(self, event: UpstreamPacket) -> list[Effect]:
        """Pass an upstream's datagram to the caller of its flow."""
        owned = self.flows.flows.get(event.flow)
        if owned is None or self.withdrawn or self.confirming:
            return [Count("dropped_late_answers")]
        self.flows.touch(owned, event.now)
        feeds = len(owned.feeds)
        effects = self.engine.on_answer(owned, event.payload, event.now)
        if len(owned.feeds) != feeds or not owned.answered:
            owned.answered = True
            self.registrar.register(owned, self.topology)
        return effects

    def on_upstream_gone(self, event: UpstreamGone) -> list[Effect]:
        """Note that nothing listens at the upstream's port."""
        owned = self.flows.flows.get(event.flow)
        return self.engine.on_upstream_gone(owned, event.now) if owned else []

    def on_flow_bound(self, event: FlowBound) -> list[Effect]:
        """Note the upstream's side of a flow; it is registered with its first answer, or soon."""
        owned = self.flows.flows.get(event.flow)
        if owned is not None:
            owned.local_port = event.local_port
            self.registrar.register_later(owned, event.now)
        return []

    def hint(self, message: Forward, owner: str, now: float) -> list[Effect]:
        """Tell the balancer who the owner is, within the budget."""
        elapsed, self.hint_refill_at = now - self.hint_refill_at, now
        self.hint_tokens = min(HINT_BURST, self.hint_tokens + elapsed * HINTS_PER_S)
        if self.hint_tokens < 1 or not message.via.port:
            return []
        self.hint_tokens -= 1
        return [SendPeer(message.via, Hint(message.flow, short_id(owner)))]

    def adopt(self, owned: OwnedFlow, now: float) -> None:
        """Enter a flow into the tables."""
        self.flows.add(owned)
        self.forget_entry(owned.flow)
        self.registrar.renew_later(owned, now)

    def spare_flow(self, service: str, now: float) -> OwnedFlow | None:
        """Return the flow that has been silent longest, if it can make room for a new one.

        It has no feed and no open request; flows of protocols that are not read are never spare.
        """
        if self.topology.services[service].protocol is Protocol.OPAQUE:
            return None
        for owned in self.flows.idle(service, now - SPARE_IDLE_S, SPARE_SEARCH):
            if not owned.feeds and not self.engine.has_pending(owned.flow):
                return owned
        return None

    def give_up(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Remove a flow from every table."""
        self.flows.remove(owned.flow)
        self.registrar.close(owned)
        effects = self.engine.forget({owned.flow}, now)
        return [*effects, CloseFlow(owned.flow), Count("flows_closed")]

    def yield_flow(self, owned: OwnedFlow, owner: str, now: float) -> list[Effect]:
        """Drop a flow that another owner serves; its feeds end, so that the caller asks there."""
        self.flows.remove(owned.flow)
        effects = self.engine.end_feeds(owned.flow, now)
        effects += self.engine.forget({owned.flow}, now)
        reason = f"owned by {owner}"
        return [
            *effects,
            CloseFlow(owned.flow),
            Count("flows_yielded"),
            LogChange(describe_flow(owned.flow), "yielded", reason),
        ]

    def reset_flows(self, flows: list[OwnedFlow], now: float) -> list[Effect]:
        """End flows so that their callers come back at once."""
        if not flows:
            return []
        keys = {owned.flow for owned in flows}
        effects = self.engine.reset(keys, RefusalReason.WITHDRAWN, now)
        for owned in flows:
            self.flows.remove(owned.flow)
            self.registrar.close(owned)
            effects.append(CloseFlow(owned.flow))
        reason = "failure domain withdrawn" if self.withdrawn else "service moved"
        return [
            *effects,
            Count("flows_reset", len(flows)),
            LogChange(self.host_name, f"{len(flows)} flows reset", reason),
        ]

    def drop_moved_services(self, now: float) -> list[Effect]:
        """Reset the flows of services that this host serves no longer, or at another address."""
        moved = [
            owned
            for owned in self.flows.flows.values()
            if (owned.service, self.host_name) not in self.topology.endpoints
            or service_part(owned.flow) != self.topology.service_keys[owned.service]
        ]
        return self.reset_flows(moved, now)

    def expire_flows(self, now: float) -> list[Effect]:
        """Close flows that have been silent for their service's idle time."""
        effects: list[Effect] = []
        for name in list(self.flows.by_service):
            idle_s = self.engine.service_of(name).idle_s
            for owned in self.flows.idle(name, now - idle_s, EXPIRY_BATCH):
                effects += self.give_up(owned, now)
        return effects

    def home_names(self, flow: FlowKey, service: Service) -> list[str]:
        """Return the names of a flow's homes."""
        return [home.name for home in self.topology.view(service.name).homes(flow)]

    def register_moved(self) -> None:
        """Register the flows whose homes have moved."""
        for owned in self.flows.flows.values():
            homes = tuple(self.home_names(owned.flow, self.topology.services[owned.service]))
            if homes != owned.homes:
                self.registrar.register(owned, self.topology)

    def renew(self, now: float) -> None:
        """Register and renew what is due."""
        for owned in self.registrar.due_first(now):
            if self.flows.flows.get(owned.flow) is owned:
                self.registrar.register(owned, self.topology)
        for owned in self.registrar.due(now, RENEWAL_BATCH):
            if self.flows.flows.get(owned.flow) is owned:
                self.registrar.register(owned, self.topology)
                self.registrar.renew_later(owned, now)

    def on_registrations_ack(self, event: PeerMessageArrived) -> list[Effect]:
        """Stop sending a batch."""
        self.registrar.acknowledge(event.message.batch)
        return []

    def on_yield(self, event: PeerMessageArrived) -> list[Effect]:
        """Give a flow up to the owner that stands before this one."""
        owned = self.flows.flows.get(event.message.flow)
        return self.yield_flow(owned, event.message.owner, event.now) if owned else []

    def is_doubtful(self, host_name: str) -> bool:
        """Tell whether a witness should not be asked first: it is suspected or withdrawn."""
        return self.membership.is_suspected(host_name) or self.topology.is_withdrawn(host_name)

    def on_claim_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Answer a claim as a witness."""
        return self.engine.claims.on_claim_request(event.sender, event.message, event.now)

    def on_claim_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Take a witness's answer."""
        return self.engine.claims.on_claim_reply(event.message, event.now)

    def on_claim_release(self, event: PeerMessageArrived) -> list[Effect]:
        """Forget a claim that was given back."""
        self.engine.claims.witness.release(event.message)
        return []

    def on_result_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Tell another agent what became of a request."""
        return self.engine.claims.on_result_request(event.sender, event.message, event.now)

    def on_result_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Take another agent's answer to a request that waits here."""
        return self.engine.claims.on_result_reply(event.message, event.now)
