"""The agent's reducer where flows are byte streams.

The upstream is the truth: it returns each packet of a flow that it does not hold. So an agent that
has restarted knows nothing and loses nothing; it asks its upstream with the packet itself.
"""

from collections import OrderedDict
from math import inf
from typing import Any

from heatheryoke.core.cold_start import OpeningBudget
from heatheryoke.core.directory import Directory
from heatheryoke.core.effects import (
    AnswerCaller,
    Count,
    Deliver,
    Effect,
    LogFlow,
    SendForward,
    SendPeer,
)
from heatheryoke.core.events import ForwardArrived, PeerMessageArrived, UpstreamPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.forwarder import NO_ADDRESS
from heatheryoke.core.home import Home
from heatheryoke.core.messages import HOP_LIMIT, Forward, Hint, RecoveryRequest, Visit
from heatheryoke.core.opening_queue import OpeningQueue, Waiting
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.service_times import ServiceTimes
from heatheryoke.core.store_node import StoreNode
from heatheryoke.core.streams import OwnedStream, StreamCodec, StreamHead
from heatheryoke.inventory.checks import short_id
from heatheryoke.inventory.model import Address, Endpoint, Host, HostState, Service

__all__ = ["StreamAgent"]

MAXIMUM_ENTRIES = 50_000
MAXIMUM_OFFERED = 2_000
MAXIMUM_ASKED = 30
MAXIMUM_HEARD_OF = 10_000
TOGETHER_S = 8.0
ENTRY_S = 75.0
EXPIRY_BATCH = 200
CLOSING_S = 4.0
FLOW_LIFETIME_S = 60.0
OPENING_S = 0.5
AHEAD_OF_SLOTS = 2
BUSY_WEIGHT = 0.5
FEED_WEIGHT = 0.05
STOP_LIMIT_S = 1.5


class StreamAgent(Home, StoreNode):
    """Owner and home of byte streams, beside one upstream."""

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        started: float,
        codec: StreamCodec,
        service: str,
        upstream: Address,
        first_start: bool = False,
        **options: Any,
    ):
        super().__init__(host_name, incarnation, started, **options)
        self.codec = codec
        self.service = service
        self.upstream = upstream
        self.directory = Directory(MAXIMUM_ENTRIES, ENTRY_S)
        self.own_id = short_id(host_name)
        self.started = started
        self.heard_of: set[str] = set()
        self.unsure_until = started if first_start else started + FLOW_LIFETIME_S
        self.has_asked_peers = False
        self.first_start = first_start
        self.feed_count = 0
        self.in_progress: dict[FlowKey, OwnedStream] = {}
        self.queue: OpeningQueue[Forward] = OpeningQueue()
        self.service_times = ServiceTimes()
        self.ending: OrderedDict[FlowKey, OwnedStream] = OrderedDict()
        self.offered: OrderedDict[FlowKey, Forward] = OrderedDict()
        self.budget = OpeningBudget()
        self.event_handlers[UpstreamPacket] = self.on_upstream_packet
        self.message_handlers[RecoveryRequest] = self.on_recovery_request

    # Packets of callers

    def on_forward(self, event: ForwardArrived) -> list[Effect]:
        """Deliver a caller's packet if its flow is this host's, else find out whose it is."""
        effects = self.note_peer_epoch(event)
        if self.is_muted():
            return [*effects, Count("dropped_no_view")]
        message, now = event.message, event.now
        head = self.codec.read_head(message.payload)
        owned = self.flows.flows.get(message.flow)
        if owned is not None and not owned.contradicts(head):
            return effects + self.deliver(owned, message, now)
        if owned is not None:
            effects += [Count("flows_contradicted"), *self.give_up(owned, now)]
        if head.opens:
            return effects + self.on_opening(event)
        return effects + self.seek(message, now)

    def on_opening(self, event: ForwardArrived) -> list[Effect]:
        """Place a new flow, by the newer of the sender's configuration and this process's."""
        message = event.message
        service = self.topology.service_of(message.flow)
        if event.epoch > self.epoch:
            service = self.topology.service_ids.get(message.service_id)
        if service is None:
            return [Count("dropped_wrong_service")]
        message = message._replace(service_id=short_id(service.name))
        if self.host_name not in self.topology.hosts:
            homes = self.topology.homes(message.flow)
            return self.pass_on(message, homes[0]) if homes else [Count("dropped_no_host")]
        return self.route(message, service, event.now)

    def seek(self, message: Forward, now: float) -> list[Effect]:
        """Pass on a packet of a flow that is not known here, until its owner gets it."""
        flow = message.flow
        tried = {visit.host_id for visit in message.visited}
        entry = self.directory.find(flow, now)
        if entry is not None and entry.registration.owner != self.host_name:
            owner = self.topology.hosts.get(entry.registration.owner)
            if owner is not None and short_id(owner.name) not in tried:
                return self.pass_on(message, owner)
        if now < self.unsure_until and self.own_id not in tried:
            return self.offer(message)
        if self.own_id not in tried:
            message = self.with_visit(message, now)
            tried.add(self.own_id)
        following = self.next_to_ask(flow, tried, now)
        if following is not None:
            return [SendForward(following.address, message)]
        if self.may_call_lost(message, now):
            return self.reset_lost(message, "no upstream holds the flow")
        return [Count("dropped_no_owner")]

    def may_call_lost(self, message: Forward, now: float) -> bool:
        """Tell whether a flow is lost that none of the hosts asked knows.

        That is so if all were asked and no upstream can be missing in the view; or if all of them
        have started lately and together, and none was heard of that the view lacks: then the
        upstreams lost power too, or one of them would have kept the packet.
        """
        if len(message.visited) < len(self.topology.hosts):
            return False
        if self.view.is_settled(now):
            return True
        oldest = max(visit.load for visit in message.visited)
        unknown = [name for name in self.heard_of if name not in self.topology.hosts]
        return oldest < TOGETHER_S and not unknown

    def reset_lost(self, message: Forward, reason: str) -> list[Effect]:
        """Reset an open flow that its upstream has lost, so that its caller comes back at once."""
        head = self.codec.read_head(message.payload)
        if head.resets:
            return [Count("dropped_no_owner")]
        return [
            Count("flows_lost"),
            LogFlow(message.flow, "reset", (("reason", reason), ("asked", len(message.visited)))),
            AnswerCaller(message.flow, self.codec.reset(message.flow, head.acknowledged)),
        ]

    def with_visit(self, message: Forward, now: float) -> Forward:
        """Note in a packet that this host does not hold its flow, and for how long it has run."""
        visit = Visit(self.own_id, now - self.started)
        return message._replace(visited=(*message.visited, visit))

    def next_to_ask(self, flow: FlowKey, tried: set[int], now: float) -> Host | None:
        """Return the next host that may know a flow: homes, former homes, then all by rank.

        Each host is asked once, and no more than `MAXIMUM_ASKED` are.
        """
        if len(tried) >= MAXIMUM_ASKED:
            return None
        former = self.former_homes("", flow, now, FLOW_LIFETIME_S)
        service = self.topology.service_of(flow)
        peers = self.topology.view(service.name).ranked(flow) if service else []
        everyone = self.topology.document.hosts
        for host in (*self.topology.homes(flow), *former, *peers, *everyone):
            if short_id(host.name) not in tried and host.name in self.topology.hosts:
                return host
        return None

    def offer(self, message: Forward) -> list[Effect]:
        """Ask the upstream with the packet itself; it returns the packet if the flow is not its."""
        self.offered[message.flow] = message
        self.offered.move_to_end(message.flow)
        if len(self.offered) > MAXIMUM_OFFERED:
            self.offered.popitem(last=False)
        return [Count("packets_offered"), Deliver(message.flow, message.payload)]

    def own(self, message: Forward, service: Service, generation: int, now: float) -> list[Effect]:
        """Become the owner of a new flow, at once or when there is room; or pass it on."""
        if message.flow in self.queue:
            return [Count("openings_repeated")]
        opens_feed = self.opens_feed(message, service)
        if self.load(service.name, opens_feed, now) == inf:
            return self.place_elsewhere(message, service, now)
        if not self.has_room():
            return self.hold(message, now)
        return self.begin(message, service, now)

    def has_room(self) -> bool:
        """Tell whether the upstream can begin one more request now, or very soon."""
        row = self.topology.endpoints.get((self.service, self.host_name))
        return row is not None and len(self.in_progress) < row.slots + AHEAD_OF_SLOTS

    def hold(self, message: Forward, now: float) -> list[Effect]:
        """Let a new flow wait for room."""
        route = self.topology.table.find(message.flow)
        if route is None:
            return [Count("dropped_no_route")]
        row = Waiting(message, now, route.priority, route.aim_s)
        slots = self.endpoint_of(self.service).slots
        given_way = self.queue.add(message.flow, row, now, self.service_s(), slots)
        service = self.topology.services[self.service]
        refused = self.refuse_flow(given_way.packet, service) if given_way else []
        facts = (("waiting", len(self.queue)), ("busy", len(self.in_progress)))
        return [*refused, Count("openings_held"), LogFlow(message.flow, "held", facts)]

    def serve_queue(self, now: float) -> list[Effect]:
        """Begin flows that wait, as far as there is room; give up those that waited too long."""
        if not self.queue:
            return []
        effects: list[Effect] = []
        service = self.topology.services.get(self.service)
        for row in self.queue.expired(now):
            effects += self.refuse_flow(row.packet, service)
        if not self.can_take(now):
            for row in self.queue.clear():
                effects += self.place_elsewhere(row.packet, service, now)
        while self.queue and self.has_room() and self.can_take(now):
            row = self.queue.take(now, self.service_s())
            effects += self.begin(row.packet, service, now)
        return effects

    def begin(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Become the owner of a new flow and deliver its first packet."""
        opens_feed = self.opens_feed(message, service)
        generation = message.generation
        owned = OwnedStream(message.flow, service.name, generation, 0, now)
        owned.via = message.via
        owned.visited = message.visited
        owned.feed = opens_feed
        self.adopt(owned, now)
        self.budget.spend(now)
        self.start_request(owned, now)
        facts = (
            ("service", service.name),
            ("configuration", self.epoch),
            ("busy", len(self.in_progress)),
            ("flows", len(self.flows)),
            ("visited", len(message.visited)),
        )
        return [
            Count("flows_placed"),
            LogFlow(message.flow, "placed", facts),
            *self.deliver(owned, message, now),
        ]

    def place_elsewhere(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Give a new flow to another candidate, since this host does not take it."""
        seen = tuple(visit for visit in message.visited if visit.host_id != self.own_id)
        visited = (*seen, Visit(self.own_id, inf))
        onward = message._replace(assigned=False, visited=visited)
        view = self.topology.view(service.name)
        candidates = [host for host in view.candidates(message.flow) if self.is_usable(host)]
        following = self.placement.next_candidate(candidates, visited)
        if following is not None:
            self.directory.expect(message.flow, following.name, 0, False, now)
            return self.pass_on(onward, following)
        chosen = self.placement.choose(candidates, visited)
        if chosen is None or chosen.name == self.host_name:
            return self.refuse_flow(onward, service)
        self.directory.expect(message.flow, chosen.name, 0, True, now)
        return self.pass_on(onward._replace(assigned=True), chosen)

    def take_packet(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Learn from a caller's packet and hand it to the upstream."""
        head = self.codec.read_head(message.payload)
        if not head.opens and owned.accepted is not None and not owned.answered:
            owned.answered = True
            self.registrar.register(owned, self.topology)
        if head.length and not owned.requested:
            self.start_request(owned, now)
            owned.requested = True
        owned.caller_closed |= head.closes or head.resets
        self.note_end(owned, head, now)
        return [Deliver(owned.flow, message.payload)]

    # Packets of the upstream

    def on_upstream_packet(self, event: UpstreamPacket) -> list[Effect]:
        """Pass an upstream's packet to the caller, or find the owner of one that it returned."""
        head = self.codec.read_head(event.payload)
        if head.returned:
            return self.on_returned(event, head)
        owned = self.flows.flows.get(event.flow)
        effects: list[Effect] = []
        if owned is None:
            owned = self.adopt_found(event, head)
        self.flows.touch(owned, event.now)
        if head.accepts:
            effects += self.on_accepted(owned, head, event.now)
        elif head.length and owned.requested:
            effects += self.on_answer(owned, event.now)
        owned.upstream_closed |= head.closes or head.resets
        self.note_end(owned, head, event.now)
        return [*effects, AnswerCaller(event.flow, event.payload)]

    def adopt_found(self, event: UpstreamPacket, head: StreamHead) -> OwnedStream:
        """Take up a flow that the upstream holds although this process did not know it."""
        offered = self.offered.pop(event.flow, None)
        owned = OwnedStream(event.flow, self.service, 0, 0, event.now)
        owned.answered = not head.accepts
        owned.via = offered.via if offered else None
        self.adopt(owned, event.now)
        if self.topology is not None:
            self.registrar.register(owned, self.topology)
        return owned

    def on_accepted(self, owned: OwnedStream, head: StreamHead, now: float) -> list[Effect]:
        """Note that the upstream has accepted a flow; tell its homes and its balancer."""
        if owned.accepted is not None:
            return []
        owned.accepted = head.sequence
        effects: list[Effect] = [Count("flows_opened")]
        if self.topology is not None:
            self.registrar.register(owned, self.topology)
            effects += self.registrar.flush(self.flows, self.topology, now)
        if owned.via is not None and owned.via.port:
            effects.append(SendPeer(owned.via, Hint(owned.flow, self.own_id)))
        return effects

    def start_request(self, owned: OwnedStream, now: float) -> None:
        """Note that a request is in progress; a new flow counts as one until its first comes."""
        if owned.flow not in self.in_progress:
            self.in_progress[owned.flow] = owned
        row = self.topology.endpoints.get((self.service, self.host_name))
        owned.waiting_since = now
        owned.found_slot = row is not None and len(self.in_progress) <= row.slots

    def end_request(self, owned: OwnedStream) -> None:
        """Note that no request of a flow is in progress."""
        self.in_progress.pop(owned.flow, None)
        owned.requested = False

    def on_answer(self, owned: OwnedStream, now: float) -> list[Effect]:
        """Note that the request in progress is being answered; begin what waits."""
        if owned.found_slot:
            self.service_times.add(now - owned.waiting_since)
        self.end_request(owned)
        return self.serve_queue(now)

    def on_returned(self, event: UpstreamPacket, head: StreamHead) -> list[Effect]:
        """Find another place for a packet that the upstream does not take."""
        now, flow = event.now, event.flow
        payload = self.codec.cleared(event.payload)
        owned = self.flows.flows.get(flow)
        if self.topology is None:
            return [Count("dropped_no_view")]
        if head.opens:
            return self.on_opening_returned(owned, flow, payload, now)
        if owned is not None and owned.answered:
            message = Forward(flow, 0, PacketKind.BELONGS, HOP_LIMIT, NO_ADDRESS, payload)
            lost = self.reset_lost(message, "its upstream does not hold the flow")
            return [*lost, *self.give_up(owned, now)]
        gone = self.give_up(owned, now) if owned is not None else []
        message = self.offered.pop(flow, None)
        if message is None:
            service = self.topology.service_of(flow)
            if service is None:
                return [*gone, Count("dropped_returned")]
            message = Forward(
                flow, short_id(service.name), PacketKind.BELONGS, HOP_LIMIT, NO_ADDRESS, payload
            )
        onward = self.with_visit(message._replace(payload=payload), now)
        return [*gone, Count("packets_returned"), *self.seek(onward, now)]

    def on_opening_returned(
        self, owned: OwnedStream | None, flow: FlowKey, payload: bytes, now: float
    ) -> list[Effect]:
        """Place a new flow elsewhere that the upstream has no room for."""
        if owned is None or owned.accepted is not None:
            return [Count("dropped_returned")]
        service = self.topology.services.get(owned.service)
        message = Forward(
            flow,
            short_id(owned.service),
            PacketKind.OPENS,
            HOP_LIMIT,
            owned.via or NO_ADDRESS,
            payload,
            owned.visited,
        )
        effects = [Count("openings_returned"), *self.give_up(owned, now)]
        if service is None:
            return effects
        return effects + self.place_elsewhere(message, service, now)

    # Placement

    def endpoint_of(self, service: str) -> Endpoint | None:
        """Return this host's upstream if it serves a service by the store and by settings."""
        if service != self.service:
            return None
        row = self.topology.endpoints.get((service, self.host_name))
        return row if row is not None and row.address == self.upstream else None

    def can_take(self, now: float) -> bool:
        """Tell whether the upstream may be given new flows, be there room or not."""
        row = self.endpoint_of(self.service)
        host = self.topology.hosts.get(self.host_name)
        if row is None or host is None or host.state is not HostState.ACTIVE:
            return False
        if self.stopping_since is not None or len(self.flows) >= row.connections:
            return False
        return self.budget.allows(self.cold_rate(now), now)

    def service_s(self) -> float:
        """Return how long the upstream works on a request."""
        return self.service_times.expected(self.topology.table.least_aim_s)

    def load(self, service: str, opens_feed: bool, now: float) -> float:
        """Return this host's load for placement, infinite where it takes no new flows."""
        if service != self.service or not self.can_take(now):
            return inf
        slots = self.endpoint_of(service).slots
        if not self.has_room() and not self.queue.can_add(now, self.service_s(), slots):
            return inf
        busy = len(self.in_progress) + len(self.queue) + self.offers.count(now)
        if opens_feed:
            return (self.feed_count + BUSY_WEIGHT * busy) / slots
        return (busy + FEED_WEIGHT * self.feed_count) / slots

    def cold_rate(self, now: float) -> float | None:
        """Return how many flows a second the upstream may be given, None if it is warm."""
        return None

    def opens_feed(self, message: Forward, service: Service) -> bool:
        """Tell whether a new flow is meant to last."""
        route = self.topology.table.find(message.flow)
        return route is not None and route.idempotent

    def may_keep(self, service: str, candidates: list[Host], load: float, now: float) -> bool:
        """Tell whether the first home may take a flow without asking others: never."""
        return False

    def refuse_flow(self, message: Forward, service: Service) -> list[Effect]:
        """Reset a flow that no upstream can take; the caller may come back at once."""
        facts = (
            ("reason", "no room"),
            ("service", service.name),
            ("visited", len(message.visited)),
            ("configuration", self.epoch),
        )
        return [
            Count("flows_refused"),
            LogFlow(message.flow, "refused", facts),
            AnswerCaller(message.flow, self.codec.reset(message.flow, 0)),
        ]

    def bind_flow(self, owned: OwnedFlow, endpoint: Endpoint) -> list[Effect]:
        """Do nothing: the upstream knows flows by their packets."""
        return []

    def spare_flow(self, service: str, now: float) -> OwnedFlow | None:
        """Return None: a stream is never cut to make room."""
        return None

    # Ends

    def note_end(self, owned: OwnedStream, head: StreamHead, now: float) -> None:
        """Plan to forget a flow that both ends have closed, or one has reset."""
        over = head.resets or (owned.caller_closed and owned.upstream_closed)
        if over and owned.ending_at is None:
            owned.ending_at = now + CLOSING_S
            self.ending[owned.flow] = owned
            self.end_request(owned)

    def adopt(self, owned: OwnedFlow, now: float) -> None:
        """Enter a flow into the tables."""
        self.flows.add(owned)
        self.forget_entry(owned.flow)
        self.feed_count += owned.feed

    def forget_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Forget the request in progress of a flow that is over."""
        self.end_request(owned)
        self.ending.pop(owned.flow, None)
        self.feed_count -= owned.feed
        return []

    def leave_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Forget a flow that another host owns."""
        return self.forget_flow(owned, now)

    def idle_s(self, service: str) -> float:
        """Return for how long a silent flow is kept."""
        return min(self.view.configuration.idle_s, FLOW_LIFETIME_S) + CLOSING_S

    def expire_ending(self, now: float) -> list[Effect]:
        """Forget flows that ended a while ago."""
        effects: list[Effect] = []
        while self.ending:
            owned = next(iter(self.ending.values()))
            if owned.ending_at > now:
                break
            effects += self.give_up(owned, now)
        return effects

    def expire_openings(self, now: float) -> None:
        """Stop counting new flows whose first request does not come."""
        for owned in list(self.in_progress.values()):
            if not owned.requested and now - owned.waiting_since > OPENING_S:
                self.end_request(owned)

    # Life of the process

    def has_recovered_flows(self, now: float) -> bool:
        """Return True: a flow placed twice does no harm, its caller goes with one acceptance."""
        return True

    def former_homes(self, service: str, flow: FlowKey, now: float, within_s: float) -> list[Host]:
        """Return a flow's homes before the last change of view, none if they have not moved."""
        former = self.former_topology(now, within_s)
        if former is None:
            return []
        before, present = former.homes(flow), self.topology.homes(flow)
        moved = [host.name for host in before[:1]] != [host.name for host in present[:1]]
        return before if moved else []

    def on_topology(self, now: float) -> list[Effect]:
        """Register flows whose homes have moved; at the first view, ask peers for theirs."""
        for owned in self.flows.flows.values():
            homes = tuple(home.name for home in self.topology.homes(owned.flow))
            if homes != owned.homes:
                self.registrar.register(owned, self.topology)
        if self.has_asked_peers or self.first_start:
            return []
        self.has_asked_peers = True
        request = RecoveryRequest(self.host_name, self.incarnation, 0)
        hosts = self.topology.document.hosts
        return [SendPeer(host.address, request) for host in hosts if host.name != self.host_name]

    def on_recovery_request(self, event: PeerMessageArrived) -> list[Effect]:
        """Register flows anew at a home that has restarted."""
        restarted = event.message.host
        if len(self.heard_of) < MAXIMUM_HEARD_OF:
            self.heard_of.add(restarted)
        for owned in self.flows.flows.values():
            if restarted in owned.homes:
                row = owned.registration(self.host_name)
                self.registrar.outbox.setdefault(restarted, {})[owned.flow] = row
        return self.registrar.flush(self.flows, self.topology, event.now)

    def on_resume(self, now: float) -> list[Effect]:
        """Register every flow anew, since another owner may have been found meanwhile."""
        if self.topology is not None:
            for owned in self.flows.flows.values():
                self.registrar.register(owned, self.topology)
        return []

    def advance(self, now: float) -> list[Effect]:
        """Run what is due: expiry and registrations."""
        effects = self.expire_ending(now)
        self.expire_openings(now)
        effects += self.serve_queue(now)
        effects += self.expire_flows(now)
        self.directory.expire(now, EXPIRY_BATCH)
        return effects + self.registrar.flush(self.flows, self.topology, now)

    def is_idle(self, now: float) -> bool:
        """Tell whether no request is in progress, or time is up."""
        return not (self.in_progress or self.queue) or now - self.stopping_since > STOP_LIMIT_S
