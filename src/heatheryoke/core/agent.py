"""The agent's reducer: owns the flows of its host, and is a home for a share of all flows."""

from math import inf

from heatheryoke.core.admission import ColdReason
from heatheryoke.core.claims import CLAIM_LIFETIME_S
from heatheryoke.core.directory import Directory, Entry, Outcome, precedes
from heatheryoke.core.effects import (
    AnswerCaller,
    BindFlow,
    CloseFlow,
    Count,
    Effect,
    LogChange,
    SendForward,
    SendPeer,
)
from heatheryoke.core.events import (
    FlowBound,
    ForwardArrived,
    PeerMessageArrived,
    UpstreamGone,
    UpstreamPacket,
)
from heatheryoke.core.flows import FlowKey, PacketKind, describe_flow, service_part
from heatheryoke.core.handover import Handover, HandoverLog
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.messages import (
    HOP_LIMIT,
    ClaimHandover,
    ClaimHandoverAck,
    ClaimHandoverDone,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    Forward,
    Hint,
    RecoveryReply,
    RecoveryRequest,
    Registration,
    Registrations,
    RegistrationsAck,
    ResultReply,
    ResultRequest,
    Visit,
    Yield,
)
from heatheryoke.core.node import Node
from heatheryoke.core.ownership import OwnedFlow, OwnedFlows, Registrar
from heatheryoke.core.placement import LeastOfVisited, Offers, Placement, SeenLoads
from heatheryoke.core.recovery import Recovery, recovery_replies
from heatheryoke.core.request_engine import RequestEngine
from heatheryoke.core.requests import CodecFactory, RefusalReason, RequestKind
from heatheryoke.inventory.checks import short_id
from heatheryoke.inventory.document import Address, Host, Protocol, Service

__all__ = ["OWNER_GIVE_UP_S", "TAKEOVER_GRACE_S", "Agent"]

TAKEOVER_GRACE_S = 2.0
OWNER_GIVE_UP_S = 10.0
EXPIRY_BATCH = 200
RENEWAL_BATCH = 200
HINTS_PER_S = 3.0
HINT_BURST = 30.0
STOP_LIMIT_S = 25.0
OUTSTANDING_WEIGHT = 2.0
OFFER_S = 0.02
SEEN_LOAD_S = 2.0
SPARE_IDLE_S = 5.0
SPARE_SEARCH = 20
NO_ROOM_RETRY_S = 2.0


class Agent(Node):
    """Owner, home and witness, beside one upstream host."""

    engine_type: type[RequestEngine] = RequestEngine

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        started: float,
        codecs: dict[Protocol, CodecFactory] | None = None,
        seeds: tuple[Address, ...] = (),
        placement: Placement | None = None,
        unix_offset_s: float = 0.0,
        claim_lifetime_s: float = CLAIM_LIFETIME_S,
        first_start: bool = False,
    ):
        super().__init__(host_name, incarnation, seeds)
        self.history = TopologyHistory(claim_lifetime_s)
        self.flows = OwnedFlows()
        self.directory = Directory()
        self.registrar = Registrar(host_name, incarnation & 0xFFFFFFFF)
        self.recovery = Recovery(host_name, incarnation)
        self.placement = placement or LeastOfVisited()
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
        self.offers = Offers(OFFER_S)
        self.seen_loads = SeenLoads(SEEN_LOAD_S)
        self.withdrawn = False
        self.handover: Handover | None = None
        self.handovers = HandoverLog()
        self.hint_tokens = HINT_BURST
        self.hint_refill_at = started
        self.event_handlers |= {
            ForwardArrived: self.on_forward,
            UpstreamPacket: self.on_upstream_packet,
            FlowBound: self.on_flow_bound,
            UpstreamGone: self.on_upstream_gone,
        }
        self.message_handlers |= {
            Registrations: self.on_registrations,
            RegistrationsAck: self.on_registrations_ack,
            Yield: self.on_yield,
            RecoveryRequest: self.on_recovery_request,
            RecoveryReply: self.on_recovery_reply,
            ClaimRequest: self.on_claim_request,
            ClaimReply: self.on_claim_reply,
            ClaimRelease: self.on_claim_release,
            ClaimHandover: self.on_claim_handover,
            ClaimHandoverAck: self.on_claim_handover_ack,
            ClaimHandoverDone: self.on_claim_handover_done,
            ResultRequest: self.on_result_request,
            ResultReply: self.on_result_reply,
        }

    # Life cycle

    def on_topology(self, now: float) -> list[Effect]:
        """Adapt flows, homes and limits to a configuration that has just come into force."""
        self.history.use(self.topology, now)
        was_withdrawn, self.withdrawn = self.withdrawn, self.topology.is_withdrawn(self.host_name)
        if self.withdrawn:
            effects = self.reset_flows(list(self.flows.flows.values()), now)
            self.registrar.clear()
            return effects
        effects = self.drop_moved_services(now)
        if self.recovery.started is None:
            effects += self.recovery.begin(self.topology.peers_of(self.host_name), now)
        if was_withdrawn:
            for admission in self.engine.admissions.values():
                admission.chill(now, ColdReason.RETURNED)
        self.register_moved()
        return effects

    def on_resume(self, now: float) -> list[Effect]:
        """Register every flow anew, since another owner may have been found meanwhile."""
        if self.topology is not None and not self.withdrawn:
            for owned in self.flows.flows.values():
                self.registrar.register(owned, self.topology)
        return []

    def advance(self, now: float) -> list[Effect]:
        """Run what is due: requests, expiry, renewals, registrations, recovery."""
        effects = self.engine.advance(now)
        effects += self.expire_flows(now)
        self.directory.expire(now, EXPIRY_BATCH)
        self.renew(now)
        effects += self.registrar.flush(self.flows, self.topology, now)
        effects += self.recovery.advance(now, self.history.is_complete(now))
        return effects + self.hand_over(now)

    def hand_over(self, now: float) -> list[Effect]:
        """While stopping, give this witness's claims to its peers once nothing is in progress."""
        if self.stopping_since is None:
            return []
        self.engine.is_closing = True
        if self.handover is None and self.engine.is_idle() and self.registrar.is_idle():
            claims = self.engine.claims
            claims.witness.close()
            peers = self.topology.peers_of(self.host_name)
            self.handover = Handover(
                self.host_name, peers, lambda name: claims.records_for(name, now)
            )
        if self.handover is None:
            return []
        return self.handover.advance(now, self.may_skip_handover)

    def may_skip_handover(self, peer: str) -> bool:
        """Tell whether a peer is gone in a way that makes it read back all claims itself."""
        return self.membership.is_suspected(peer) and peer not in self.handovers.begun

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing is in progress and all claims are handed over, or time is up."""
        if self.stopping_since is not None and now - self.stopping_since > STOP_LIMIT_S:
            return True
        return self.handover is not None and self.handover.is_done

    # Callers' packets

    def on_forward(self, event: ForwardArrived) -> list[Effect]:
        """Deliver a caller's packet if this host owns its flow, else pass it on."""
        effects = self.configuration.request_from(event.sender, event.epoch, event.now)
        if self.is_muted():
            return [*effects, Count("dropped_unconfirmed")]
        message = event.message
        service = self.topology.service_ids.get(message.service_id)
        if service is None or self.topology.service_of(message.flow) is not service:
            return [*effects, Count("dropped_wrong_service")]
        if self.withdrawn:
            return [*effects, Count("dropped_withdrawn")]
        owned = self.flows.flows.get(message.flow)
        if owned is not None and owned.service == service.name:
            return effects + self.deliver(owned, message, event.now)
        if owned is not None:
            effects += self.give_up(owned, event.now)
        return effects + self.route(message, service, event.now)

    def deliver(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Hand a packet of an owned flow to its request handling."""
        self.flows.touch(owned, now)
        effects = self.engine.on_datagram(owned, message.payload, now)
        if message.hops < HOP_LIMIT:
            effects += self.hint(message, self.host_name, now)
        if message.kind is PacketKind.CLOSES:
            effects += self.give_up(owned, now)
        return effects

    def hint(self, message: Forward, owner: str, now: float) -> list[Effect]:
        """Tell the balancer who the owner is, within the budget."""
        elapsed, self.hint_refill_at = now - self.hint_refill_at, now
        self.hint_tokens = min(HINT_BURST, self.hint_tokens + elapsed * HINTS_PER_S)
        if self.hint_tokens < 1 or not message.via.port:
            return []
        self.hint_tokens -= 1
        return [SendPeer(message.via, Hint(message.flow, short_id(owner)))]

    def route(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Pass on a packet of a flow that this host does not own, or place the flow."""
        if message.assigned:
            return self.own(message, service, message.generation, now)
        entry = self.directory.find(message.flow, now)
        generation = message.generation
        if entry is not None and not entry.tentative:
            if not self.is_lost(entry.registration.owner, service, now):
                return self.pass_to_owner(message, service, entry, now)
            generation = entry.registration.generation + 1
            self.directory.remove(message.flow)
        elif entry is not None and self.can_repeat(entry):
            return self.repeat_decision(message, entry)
        if message.visited:
            return self.place(message, service, generation, now)
        authority = self.authority(message, service, now)
        if authority is None:
            return [Count("dropped_no_authority")]
        if authority.name == self.host_name:
            return self.place(message, service, generation, now)
        deputed = authority.name not in self.home_names(message.flow, service)[:1]
        return self.pass_on(message._replace(deputed=deputed or message.deputed), authority)

    def can_repeat(self, entry: Entry) -> bool:
        """Tell whether the host that a flow was passed to can still be sent to."""
        host = self.topology.hosts.get(entry.registration.owner)
        return host is not None and self.is_usable(host)

    def repeat_decision(self, message: Forward, entry: Entry) -> list[Effect]:
        """Pass a flow's next packet where its first went, so that it ends with the same owner."""
        row = entry.registration
        onward = message._replace(generation=row.generation, assigned=entry.assigned)
        if not entry.assigned:
            own = Visit(short_id(self.host_name), inf)
            onward = onward._replace(visited=(*message.visited, own))
        return self.pass_on(onward, self.topology.hosts[row.owner])

    def home_names(self, flow: FlowKey, service: Service) -> list[str]:
        """Return the names of a flow's homes."""
        return [home.name for home in self.topology.view(service.name).homes(flow)]

    def is_lost(self, owner: str, service: Service, now: float) -> bool:
        """Tell whether an owner will not come back to its flows."""
        if self.topology.is_withdrawn(owner):
            return True
        if (service.name, owner) not in self.topology.endpoints:
            return True
        return self.membership.suspected_for(owner, now) > OWNER_GIVE_UP_S

    def pass_to_owner(
        self, message: Forward, service: Service, entry: Entry, now: float
    ) -> list[Effect]:
        """Send a packet to the owner that the directory names."""
        row = entry.registration
        assigned = message._replace(
            assigned=True, local_port=row.local_port, generation=row.generation
        )
        if row.owner == self.host_name:
            return self.own(assigned, service, row.generation, now)
        return self.pass_on(assigned, self.topology.hosts[row.owner])

    def pass_on(self, message: Forward, to: Host) -> list[Effect]:
        """Send a packet one hop further, within the hop limit."""
        if message.hops <= 1:
            return [Count("dropped_hop_limit")]
        return [SendForward(to.address, message._replace(hops=message.hops - 1))]

    # Placing new flows

    def authority(self, message: Forward, service: Service, now: float) -> Host | None:
        """Return the host that may call an unknown flow new, None while nobody can tell.

        That is the flow's first home that answers. While homes have just moved it is the former
        one, and while a home recovers it is the other.
        """
        own = self.topology.hosts[self.host_name]
        recovering = not self.recovery.has_flows(now)
        if message.deputed:
            return None if recovering else own
        former = self.history.former_homes(service.name, message.flow, now, TAKEOVER_GRACE_S)
        usable = [home for home in former if self.is_usable(home)]
        if usable:
            return usable[0]
        homes = self.topology.view(service.name).homes(message.flow)
        others = [home for home in homes if home.name != own.name and self.is_usable(home)]
        if recovering:
            return others[0] if others else None
        if own.name not in [home.name for home in homes]:
            return others[0] if others else None
        return next((home for home in homes if home.name == own.name or home in others), own)

    def place(
        self, message: Forward, service: Service, generation: int, now: float
    ) -> list[Effect]:
        """Add this host's offer to a new flow's packet; pass it on or choose the owner."""
        view = self.topology.view(service.name)
        candidates = [host for host in view.candidates(message.flow) if self.is_usable(host)]
        request = self.engine.codec_of(service.name).read_request(message.payload)
        opens_feed = request is not None and request.kind is RequestKind.FEED
        visit = Visit(short_id(self.host_name), self.load(service.name, opens_feed, now))
        if not opens_feed:
            self.seen_loads.note(service.name, message.visited, now)
            if not message.visited and self.may_keep(service.name, candidates, visit.load, now):
                return self.own(message, service, generation, now)
        self.offers.add(now)
        visited = (*message.visited, visit)
        onward = message._replace(visited=visited, generation=generation)
        following = self.placement.next_candidate(candidates, visited)
        if following is not None:
            self.directory.expect(message.flow, following.name, generation, False, now)
            return self.pass_on(onward, following)
        chosen = self.placement.choose(candidates, visited)
        if chosen is None:
            return self.refuse_flow(message, service)
        if chosen.name == self.host_name:
            return self.own(message, service, generation, now)
        self.directory.expect(message.flow, chosen.name, generation, True, now)
        return self.pass_on(onward._replace(assigned=True), chosen)

    def may_keep(self, service: str, candidates: list[Host], load: float, now: float) -> bool:
        """Tell whether the first home may take a flow without asking others: it has its share.

        Flows that open a feed stay too long for such a guess.
        """
        if not candidates or candidates[0].name != self.host_name:
            return False
        others = self.seen_loads.mean(service, candidates[1:], now)
        return others is not None and load <= others

    def load(self, service: str, opens_feed: bool, now: float) -> float:
        """Return this host's load for placement, infinite where it takes no new flows.

        Flows that live count by what the upstream can bear now. So does outstanding work, but not
        for a flow that opens a feed: it will stay long after that work is done.
        """
        endpoint = self.topology.endpoints.get((service, self.host_name))
        host = self.topology.hosts[self.host_name]
        if endpoint is None or self.stopping_since is not None:
            return inf
        if not self.topology.is_placeable(host):
            return inf
        flows = self.flows.count(service)
        if flows >= endpoint.connections and self.spare_flow(service, now) is None:
            return inf
        admission = self.engine.admission(service, now)
        live = self.flows.live(service, now)
        if not opens_feed:
            live += OUTSTANDING_WEIGHT * admission.outstanding
        bears = endpoint.weight * min(1.0, admission.limit / admission.slots)
        return (live + self.offers.count(now)) / bears

    def refuse_flow(self, message: Forward, service: Service) -> list[Effect]:
        """Tell the caller of a flow that has no place when to come back."""
        codec = self.engine.codec_of(service.name)
        request = codec.read_request(message.payload)
        counted: list[Effect] = [Count("flows_refused")]
        if request is None or request.kind is RequestKind.CONTROL:
            return counted
        reason = RefusalReason.OUTCOME_UNKNOWN if request.request_id else RefusalReason.NO_ROOM
        answer = codec.refusal(message.payload, reason, NO_ROOM_RETRY_S)
        return [*counted, AnswerCaller(message.flow, answer)]

    # Owned flows

    def own(self, message: Forward, service: Service, generation: int, now: float) -> list[Effect]:
        """Become the owner of a flow and deliver its packet."""
        endpoint = self.topology.endpoints.get((service.name, self.host_name))
        if endpoint is None:
            return [Count("dropped_no_endpoint")]
        is_new = message.local_port == 0
        effects: list[Effect] = []
        if is_new and self.flows.count(service.name) >= endpoint.connections:
            spare = self.spare_flow(service.name, now)
            if spare is None:
                return self.refuse_flow(message, service)
            effects = [Count("flows_spared"), *self.give_up(spare, now)]
        owned = OwnedFlow(message.flow, service.name, generation, message.local_port, now)
        self.adopt(owned, now)
        counted = Count("flows_opened" if is_new else "flows_readopted")
        bind = BindFlow(message.flow, endpoint.address, message.local_port)
        return [*effects, counted, bind, *self.deliver(owned, message, now)]

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

    def adopt(self, owned: OwnedFlow, now: float) -> None:
        """Enter a flow into the tables."""
        self.flows.add(owned)
        self.directory.remove(owned.flow)
        self.registrar.renew_later(owned, now)

    def on_flow_bound(self, event: FlowBound) -> list[Effect]:
        """Note the upstream's side of a flow; it is registered with its first answer, or soon."""
        owned = self.flows.flows.get(event.flow)
        if owned is not None:
            owned.local_port = event.local_port
            self.registrar.register_later(owned, event.now)
        return []

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

    def give_up(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Remove a flow from every table."""
        self.flows.remove(owned.flow)
        self.registrar.close(owned)
        effects = self.engine.forget({owned.flow}, now)
        return [*effects, CloseFlow(owned.flow), Count("flows_closed")]

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

    # Registration

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

    def on_registrations(self, event: PeerMessageArrived) -> list[Effect]:
        """Take an owner's registrations, acknowledge them, and settle rival owners."""
        effects: list[Effect] = [SendPeer(event.sender, RegistrationsAck(event.message.batch))]
        for row in event.message.entries:
            effects += self.settle(event.sender, row, event.now)
        return effects

    def settle(self, sender: Address, row: Registration, now: float) -> list[Effect]:
        """Take one registration; the owner that loses is told to yield."""
        owned = self.flows.flows.get(row.flow)
        if owned is not None and not row.closed:
            if precedes(owned.registration(self.host_name), row):
                return [Count("owners_settled"), SendPeer(sender, Yield(row.flow, self.host_name))]
            return [Count("owners_settled"), *self.yield_flow(owned, row.owner, now)]
        held = self.directory.entries.get(row.flow)
        outcome = self.directory.register(row, now)
        if outcome is Outcome.LOST:
            return [
                Count("owners_settled"),
                SendPeer(sender, Yield(row.flow, held.registration.owner)),
            ]
        if outcome is Outcome.REPLACED:
            loser = self.topology.hosts.get(held.registration.owner)
            note = Yield(row.flow, row.owner)
            return [Count("owners_settled"), *([SendPeer(loser.address, note)] if loser else [])]
        return [Count("registrations_refused")] if outcome is Outcome.REFUSED else []

    def on_registrations_ack(self, event: PeerMessageArrived) -> list[Effect]:
        """Stop sending a batch."""
        self.registrar.acknowledge(event.message.batch)
        return []

    def on_yield(self, event: PeerMessageArrived) -> list[Effect]:
        """Give a flow up to the owner that stands before this one."""
        owned = self.flows.flows.get(event.message.flow)
        return self.yield_flow(owned, event.message.owner, event.now) if owned else []

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

    # Recovery

    def on_recovery_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Send a restarted agent what this one holds for it."""
        request = event.message
        entries = [
            row for row in self.directory.registrations() if self.concerns(row, request.host)
        ]
        entries += [
            owned.registration(self.host_name)
            for owned in self.flows.flows.values()
            if request.host in owned.homes
        ]
        complete = not self.engine.claims.witness.is_recovering(event.now)
        claims = self.engine.claims.records_for(request.host, event.now)
        handed_over = self.handovers.redeem(request.host, request.incarnation)
        replies = recovery_replies(request, complete, handed_over, entries, claims)
        if self.history.is_complete(event.now):
            history = self.history.records(event.now)
            replies[0] = replies[0]._replace(knows_history=True, history=history)
        return [SendPeer(event.sender, reply) for reply in replies]

    def concerns(self, row: Registration, host_name: str) -> bool:
        """Tell whether a host owns a flow, or is one of its homes."""
        if row.owner == host_name:
            return True
        service = self.topology.service_of(row.flow)
        return service is not None and host_name in self.home_names(row.flow, service)

    def on_recovery_reply(self, event: PeerMessageArrived) -> list[Effect]:
        """Take back flows, directory entries and claims."""
        reply = event.message
        peer = next(
            (name for name, host in self.recovery.peers.items() if host.address == event.sender),
            None,
        )
        if peer is None or self.withdrawn:
            return []
        effects: list[Effect] = []
        for row in reply.entries:
            effects += self.take_back(row, event.now)
        for record in reply.claims:
            self.engine.claims.witness.accept(record, event.now)
        self.recovery.note(peer, reply)
        if reply.knows_history and event.epoch == self.epoch:
            self.take_history(reply, event.now)
        if self.recovery.has_claims() and self.engine.claims.witness.is_recovering(event.now):
            self.engine.claims.witness.recovered(event.now)
            effects.append(LogChange(self.host_name, "recovered", "claims read back"))
        return effects

    def take_history(self, reply: RecoveryReply, now: float) -> None:
        """Take a peer's history, unless this process knows it already."""
        if not self.history.is_complete(now):
            self.history.adopt(reply.history, now)

    def on_claim_handover(self, event: PeerMessageArrived) -> list[Effect]:
        """Keep the claims of a witness that stops; without an answer it will send them again."""
        message = event.message
        self.handovers.begin(message.host)
        witness = self.engine.claims.witness
        accepted = [witness.accept(record, event.now) for record in message.claims]
        if not all(accepted):
            return [Count("handovers_contested")]
        return [SendPeer(event.sender, ClaimHandoverAck(self.host_name, message.part))]

    def on_claim_handover_ack(self, event: PeerMessageArrived) -> list[Effect]:
        """Note that a peer holds a part of this witness's claims."""
        if self.handover is not None:
            self.handover.acknowledge(event.message.host, event.message.part)
        return []

    def on_claim_handover_done(self, event: PeerMessageArrived) -> list[Effect]:
        """Remember that a peer's next process may grant claims at once."""
        self.handovers.finish(event.message.host)
        return []

    def take_back(self, row: Registration, now: float) -> list[Effect]:
        """Take back one flow, as its owner or as its home."""
        if row.owner != self.host_name:
            self.directory.register(row, now)
            return []
        if row.flow in self.flows.flows:
            return []
        service = self.topology.service_of(row.flow)
        endpoint = service and self.topology.endpoints.get((service.name, self.host_name))
        if not endpoint:
            return []
        owned = OwnedFlow(row.flow, service.name, row.generation, row.local_port, now)
        owned.answered = row.answered
        self.adopt(owned, now)
        effects: list[Effect] = [Count("flows_recovered")]
        effects.append(BindFlow(row.flow, endpoint.address, row.local_port))
        for feed in row.feeds:
            effects += self.engine.restore_feed(owned, feed, now)
        return effects

    # Requests

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
