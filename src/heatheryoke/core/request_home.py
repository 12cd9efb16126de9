"""Connects an agent's flow ownership to admission, claims and answers of its requests."""

from math import inf
from typing import Any

from heatheryoke.core.claims import CLAIM_LIFETIME_S
from heatheryoke.core.effects import (
    AnswerCaller,
    BindFlow,
    CloseFlow,
    Count,
    Effect,
    LogChange,
)
from heatheryoke.core.events import (
    FlowBound,
    PeerMessageArrived,
    UpstreamGone,
    UpstreamPacket,
)
from heatheryoke.core.flows import FlowKey, service_part
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.home import Home
from heatheryoke.core.messages import (
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    Forward,
    ResultReply,
    ResultRequest,
)
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.request_engine import RequestEngine
from heatheryoke.core.requests import CodecFactory, RefusalReason, RequestKind
from heatheryoke.core.ring_node import RingNode
from heatheryoke.inventory.model import Address, Endpoint, Host, Protocol, Service

__all__ = ["RequestHome"]

OUTSTANDING_WEIGHT = 2.0
NO_ROOM_RETRY_S = 2.0
SPARE_IDLE_S = 5.0
SPARE_SEARCH_LIMIT = 20


class RequestHome(Home, RingNode):
    """An agent that handles the requests of the flows it owns.

    No other process sends requests to its upstream.
    """

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
        **options: Any,
    ):
        super().__init__(host_name, incarnation, started, seeds=seeds, **options)
        self.history = TopologyHistory(claim_lifetime_s)
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
        self.engine.claims.is_unavailable = self.is_unavailable
        if first_start:
            self.engine.claims.witness.finish_recovery(started)
            self.history.is_first_start = True
        self.event_handlers |= {
            UpstreamPacket: self.on_upstream_packet,
            FlowBound: self.on_flow_bound,
            UpstreamGone: self.on_upstream_gone,
        }
        self.message_handlers |= {
            ClaimRequest: self.on_claim_request,
            ClaimReply: self.on_claim_reply,
            ClaimRelease: self.on_claim_release,
            ResultRequest: self.on_result_request,
            ResultReply: self.on_result_reply,
        }

    # Hooks of Home and Owner

    def on_packet(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Handle a caller's datagram."""
        return self.engine.on_datagram(owned, message.payload, now)

    def end_closed_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """End the requests and feeds of a closed flow."""
        return self.engine.reset_silently({owned.flow}, now)

    def end_yielded_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """End the requests and feeds of a flow that another host owns."""
        effects = self.engine.end_feeds(owned.flow, now)
        return effects + self.engine.reset_silently({owned.flow}, now)

    def idle_s(self, service: str) -> float:
        """Return the idle timeout of a service's flows."""
        return self.engine.service_of(service).idle_s

    def former_homes(self, service: str, flow: FlowKey, now: float, within_s: float) -> list[Host]:
        """Return a flow's homes of `within_s` ago, or none if its first home is the same."""
        return self.history.former_homes(service, flow, now, within_s)

    def opens_feed(self, message: Forward, service: Service) -> bool:
        """Return whether a new flow's packet requests a feed."""
        request = self.engine.codec_of(service.name).read_request(message.payload)
        return request is not None and request.kind is RequestKind.FEED

    def bind_flow(self, owned: OwnedFlow, endpoint: Endpoint) -> list[Effect]:
        """Request the local port from which a flow's packets reach the upstream."""
        return [BindFlow(owned.flow, endpoint.address, owned.local_port)]

    def on_upstream_packet(self, event: UpstreamPacket) -> list[Effect]:
        """Forward an upstream's datagram to the caller of its flow.

        A new feed is registered at its homes before the caller is answered. The caller sends
        nothing while its feed is open, so if this process were killed before the registration,
        the loss of the feed would go unnoticed.
        """
        owned = self.flows.flows.get(event.flow)
        if owned is None or self.withdrawn or self.confirming:
            return [Count("dropped_late_answers")]
        self.flows.touch(owned, event.now)
        feed_count = len(owned.feeds)
        effects = self.engine.on_answer(owned, event.payload, event.now)
        feeds_changed = len(owned.feeds) != feed_count
        if feeds_changed or not owned.answered:
            owned.answered = True
            self.registrar.register(owned, self.topology)
        if feeds_changed:
            return self.registrar.flush(self.flows, self.topology, event.now) + effects
        return effects

    def on_upstream_gone(self, event: UpstreamGone) -> list[Effect]:
        """Handle an unreachable upstream port."""
        owned = self.flows.flows.get(event.flow)
        return self.engine.on_upstream_gone(owned, event.now) if owned else []

    def on_flow_bound(self, event: FlowBound) -> list[Effect]:
        """Store a flow's local port and schedule the flow's registration.

        An answer that arrives earlier registers the flow at once.
        """
        owned = self.flows.flows.get(event.flow)
        if owned is not None:
            owned.local_port = event.local_port
            self.registrar.register_later(owned, event.now)
        return []

    def evictable_flow(self, service: str, now: float) -> OwnedFlow | None:
        """Return the longest idle flow that can be closed for a new one, or None.

        An evictable flow has no feed and no pending request; flows of opaque protocols never are.
        """
        if self.topology.services[service].protocol is Protocol.OPAQUE:
            return None
        for owned in self.flows.idle(service, now - SPARE_IDLE_S, SPARE_SEARCH_LIMIT):
            if not owned.feeds and not self.engine.has_pending(owned.flow):
                return owned
        return None

    def reset_flows(self, flows: list[OwnedFlow], now: float) -> list[Effect]:
        """Close flows, and answer their requests and feeds so that callers need not time out."""
        if not flows:
            return []
        flow_keys = {owned.flow for owned in flows}
        effects = self.engine.reset(flow_keys, RefusalReason.WITHDRAWN, now)
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

    def reset_moved_flows(self, now: float) -> list[Effect]:
        """Reset the flows of services that this host no longer serves, or that changed address."""
        moved = [
            owned
            for owned in self.flows.flows.values()
            if (owned.service, self.host_name) not in self.topology.endpoints
            or service_part(owned.flow) != self.topology.service_keys[owned.service]
        ]
        return self.reset_flows(moved, now)

    def is_unavailable(self, host_name: str) -> bool:
        """Return whether a witness is suspected or withdrawn, and should not be asked first."""
        return self.membership.is_suspected(host_name) or self.topology.is_withdrawn(host_name)

    def on_claim_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Answer a claim as a witness."""
        return self.engine.claims.on_claim_request(event.sender, event.message, event.now)

    def on_claim_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Process a witness's reply to a claim."""
        return self.engine.claims.on_claim_reply(event.message, event.now)

    def on_claim_release(self, event: PeerMessageArrived) -> list[Effect]:
        """Remove a released claim."""
        self.engine.claims.witness.release(event.message)
        return []

    def on_result_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Send the state of a request to another agent."""
        return self.engine.claims.on_result_request(event.sender, event.message, event.now)

    def on_result_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Process another agent's result for requests that wait here."""
        return self.engine.claims.on_result_reply(event.message, event.now)

    def load(self, service: str, opens_feed: bool, now: float) -> float:
        """Return this host's load for placement, or infinity if it takes no new flows.

        The load is the number of live flows and weighted outstanding requests relative to the
        upstream's current capacity. Outstanding requests are left out for a flow that opens a
        feed, since the feed outlasts them.
        """
        endpoint = self.topology.endpoints.get((service, self.host_name))
        host = self.topology.hosts[self.host_name]
        if endpoint is None or self.stopping_since is not None:
            return inf
        if not self.topology.is_placeable(host):
            return inf
        flows = self.flows.count(service)
        if flows >= endpoint.connections and self.evictable_flow(service, now) is None:
            return inf
        admission = self.engine.admission(service, now)
        load = self.flows.active_count(service, now)
        if not opens_feed:
            load += OUTSTANDING_WEIGHT * admission.outstanding
        capacity = endpoint.weight * min(1.0, admission.limit / admission.slots)
        return (load + self.pending_offers.count(now)) / capacity

    def refuse_flow(self, message: Forward, service: Service) -> list[Effect]:
        """Refuse a flow that no upstream has room for, with a retry time."""
        codec = self.engine.codec_of(service.name)
        request = codec.read_request(message.payload)
        effects: list[Effect] = [Count("flows_refused")]
        if request is None or request.kind is RequestKind.CONTROL:
            return effects
        reason = RefusalReason.OUTCOME_UNKNOWN if request.request_id else RefusalReason.NO_ROOM
        answer = codec.refusal(message.payload, reason, NO_ROOM_RETRY_S)
        return [*effects, AnswerCaller(message.flow, answer)]
