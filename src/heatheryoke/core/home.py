"""Home role of an agent: finds the owner of a flow, or places a new one."""

from abc import abstractmethod
from math import inf
from typing import Any

from heatheryoke.core.directory import Directory, Entry, Outcome
from heatheryoke.core.effects import (
    Count,
    Effect,
    Fault,
    SendForward,
    SendPeer,
)
from heatheryoke.core.events import (
    ForwardArrived,
    PeerMessageArrived,
)
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import (
    Forward,
    Registration,
    Registrations,
    RegistrationsAck,
    Visit,
    Yield,
)
from heatheryoke.core.owner import Owner
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.placement import LeastOfVisited, Offers, Placement, SeenLoads
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Endpoint, Host, Service

__all__ = ["OWNER_GIVE_UP_S", "TAKEOVER_GRACE_S", "Home"]

TAKEOVER_GRACE_S = 2.0
OWNER_GIVE_UP_S = 10.0
OFFER_S = 0.02
SEEN_LOAD_S = 2.0


class Home(Owner):
    """Keeps the directory entries of a share of all flows, and places new flows."""

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        started: float,
        placement: Placement | None = None,
        **options: Any,
    ):
        super().__init__(host_name, incarnation, started, **options)
        self.directory = Directory()
        self.placement = placement or LeastOfVisited()
        self.pending_offers = Offers(OFFER_S)
        self.seen_loads = SeenLoads(SEEN_LOAD_S)
        self.event_handlers[ForwardArrived] = self.on_forward
        self.message_handlers[Registrations] = self.on_registrations

    @abstractmethod
    def has_recovered_flows(self, now: float) -> bool:
        """Return whether the directory has the entries that this host's former process had."""

    @abstractmethod
    def former_homes(self, service: str, flow: FlowKey, now: float, within_s: float) -> list[Host]:
        """Return a flow's homes `within_s` ago, none if they are the present ones."""

    @abstractmethod
    def opens_feed(self, message: Forward, service: Service) -> bool:
        """Return whether a new flow opens a feed, and so is expected to be long-lived."""

    @abstractmethod
    def load(self, service: str, opens_feed: bool, now: float) -> float:
        """Return this host's load for placement, infinite if it admits no new flows."""

    @abstractmethod
    def refuse_flow(self, message: Forward, service: Service) -> list[Effect]:
        """Refuse a flow that no host has room for."""

    @abstractmethod
    def bind_flow(self, owned: OwnedFlow, endpoint: Endpoint) -> list[Effect]:
        """Prepare the path of a new flow's packets to the upstream."""

    @abstractmethod
    def evictable_flow(self, service: str, now: float) -> OwnedFlow | None:
        """Return an idle flow that may be closed to make room, None if there is none."""

    def forget_entry(self, flow: FlowKey) -> None:
        """Remove a flow from the directory."""
        self.directory.remove(flow)

    def on_forward(self, event: ForwardArrived) -> list[Effect]:
        """Deliver a caller's packet if this host owns its flow, else route it."""
        effects = self.note_peer_epoch(event)
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

    def route(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Pass on a packet of a flow that this host does not own, or place the flow."""
        if message.assigned:
            return self.become_owner(message, service, message.generation, now)
        entry = self.directory.find(message.flow, now)
        generation = message.generation
        if entry is not None and not entry.tentative:
            if not self.is_owner_lost(entry.registration.owner, service, now):
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
        place_here = authority.name not in self.home_names(message.flow, service)[:1]
        return self.pass_on(
            message._replace(place_here=place_here or message.place_here), authority
        )

    def can_repeat(self, entry: Entry) -> bool:
        """Return whether the host that a flow was passed to is still usable."""
        host = self.topology.hosts.get(entry.registration.owner)
        return host is not None and self.is_usable(host)

    def repeat_decision(self, message: Forward, entry: Entry) -> list[Effect]:
        """Pass a flow's packet to the same host as its first packet, so that both get one owner."""
        registration = entry.registration
        outgoing = message._replace(generation=registration.generation, assigned=entry.assigned)
        if not entry.assigned:
            own_visit = Visit(name_hash(self.host_name), inf)
            outgoing = outgoing._replace(visited=(*message.visited, own_visit))
        return self.pass_on(outgoing, self.topology.hosts[registration.owner])

    def is_owner_lost(self, owner: str, service: Service, now: float) -> bool:
        """Return whether an owner no longer serves its flows."""
        if self.topology.is_withdrawn(owner):
            return True
        if (service.name, owner) not in self.topology.endpoints:
            return True
        return self.suspected_for(owner, now) > OWNER_GIVE_UP_S

    def pass_to_owner(
        self, message: Forward, service: Service, entry: Entry, now: float
    ) -> list[Effect]:
        """Pass a packet to the owner that the directory names."""
        registration = entry.registration
        assigned = message._replace(
            assigned=True, local_port=registration.local_port, generation=registration.generation
        )
        if registration.owner == self.host_name:
            return self.become_owner(assigned, service, registration.generation, now)
        return self.pass_on(assigned, self.topology.hosts[registration.owner])

    def pass_on(self, message: Forward, to: Host) -> list[Effect]:
        """Forward a packet to a host, within the hop limit."""
        if message.hops <= 1:
            return [Count("dropped_hop_limit")]
        return [SendForward(to.address, message._replace(hops=message.hops - 1))]

    def authority(self, message: Forward, service: Service, now: float) -> Host | None:
        """Return the host that decides whether an unknown flow is new, None while no host can.

        It is the flow's first usable home. Shortly after the homes have changed it is the former
        home, and while this home recovers it is the other one.
        """
        own_host = self.topology.hosts[self.host_name]
        recovering = not self.has_recovered_flows(now)
        if message.place_here:
            return None if recovering else own_host
        former = self.former_homes(service.name, message.flow, now, TAKEOVER_GRACE_S)
        usable = [home for home in former if self.is_usable(home)]
        if usable:
            return usable[0]
        homes = self.topology.service_view(service.name).homes(message.flow)
        other_homes = [
            home for home in homes if home.name != own_host.name and self.is_usable(home)
        ]
        if recovering:
            return other_homes[0] if other_homes else None
        if own_host.name not in [home.name for home in homes]:
            return other_homes[0] if other_homes else None
        return next(
            (home for home in homes if home.name == own_host.name or home in other_homes), own_host
        )

    def place(
        self, message: Forward, service: Service, generation: int, now: float
    ) -> list[Effect]:
        """Add this host's load to a new flow's packet; pass it on or choose the owner."""
        candidates = self.usable_candidates(message.flow, service)
        opens_feed = self.opens_feed(message, service)
        visit = Visit(name_hash(self.host_name), self.load(service.name, opens_feed, now))
        if not opens_feed:
            self.seen_loads.note(service.name, message.visited, now)
            if not message.visited and self.may_keep(service.name, candidates, visit.load, now):
                return self.become_owner(message, service, generation, now)
        self.pending_offers.add(now)
        visited = (*message.visited, visit)
        visited_message = message._replace(visited=visited, generation=generation)
        return self.continue_placement(visited_message, service, candidates, now)

    def continue_placement(
        self, message: Forward, service: Service, candidates: list[Host], now: float
    ) -> list[Effect]:
        """Pass a new flow's packet on to the next candidate, or to the one chosen as its owner."""
        generation = message.generation
        next_host = self.placement.next_candidate(candidates, message.visited)
        if next_host is not None:
            self.directory.add_tentative(message.flow, next_host.name, generation, False, now)
            return self.pass_on(message, next_host)
        chosen = self.placement.choose(candidates, message.visited)
        if chosen is None:
            return self.refuse_flow(message, service)
        if chosen.name == self.host_name:
            return self.become_owner(message, service, generation, now)
        self.directory.add_tentative(message.flow, chosen.name, generation, True, now)
        return self.pass_on(message._replace(assigned=True), chosen)

    def usable_candidates(self, flow: FlowKey, service: Service) -> list[Host]:
        """Return the hosts that may own a new flow and are usable, in rendezvous order."""
        view = self.topology.service_view(service.name)
        return [host for host in view.candidates(flow) if self.is_usable(host)]

    def may_keep(self, service: str, candidates: list[Host], load: float, now: float) -> bool:
        """Return whether the first home may own a flow without asking others.

        Its load must not exceed the mean of the loads last seen at the others. Flows that open a
        feed last too long to be placed by such an estimate.
        """
        if not candidates or candidates[0].name != self.host_name:
            return False
        mean_load = self.seen_loads.mean(service, candidates[1:], now)
        return mean_load is not None and load <= mean_load

    def become_owner(
        self, message: Forward, service: Service, generation: int, now: float
    ) -> list[Effect]:
        """Become the owner of a flow and deliver its packet."""
        endpoint = self.topology.endpoints.get((service.name, self.host_name))
        if endpoint is None:
            return [Count("dropped_no_endpoint")]
        is_new = message.local_port == 0
        effects: list[Effect] = []
        if is_new and self.flows.count(service.name) >= endpoint.connections:
            evictable = self.evictable_flow(service.name, now)
            if evictable is None:
                return self.refuse_flow(message, service)
            effects = [Count("flows_spared"), *self.give_up(evictable, now)]
        owned = OwnedFlow(message.flow, service.name, generation, message.local_port, now)
        self.adopt(owned, now)
        counted = Count("flows_opened" if is_new else "flows_readopted")
        bound = self.bind_flow(owned, endpoint)
        return [*effects, counted, *bound, *self.deliver(owned, message, now)]

    def on_registrations(self, event: PeerMessageArrived) -> list[Effect]:
        """Process an owner's registrations and resolve conflicts of owners.

        They are acknowledged if all were taken; else the owner sends them again, a few times.
        """
        effects: list[Effect] = []
        for registration in event.message.entries:
            effects += isolated(self.process_registration, event.sender, registration, event.now)
        if any(type(effect) is Fault for effect in effects):
            return effects
        return [SendPeer(event.sender, RegistrationsAck(event.message.batch)), *effects]

    def precedes(self, owned: OwnedFlow, rival: Registration | Yield) -> bool:
        """Return whether an owned flow's registration takes precedence over another owner's."""
        return self.directory.precedes(owned.registration(self.host_name), rival)

    def keep_registration(self, registration: Registration, now: float) -> None:
        """Keep the registration of a flow's other owner, if this host is a home of the flow."""
        service = self.topology.service_of(registration.flow)
        if service is not None and self.host_name in self.home_names(registration.flow, service):
            self.directory.register(registration, now)

    def process_registration(
        self, sender: Address, registration: Registration, now: float
    ) -> list[Effect]:
        """Process one registration; the owner that loses a conflict is sent a `Yield`."""
        owned = self.flows.flows.get(registration.flow)
        if owned is not None and not registration.closed:
            if self.yields_to(owned, registration):
                yielded = self.yield_flow(owned, registration.owner, now)
                self.keep_registration(registration, now)
                return [Count("owners_settled"), *yielded]
            self.keep_registration(registration, now)
            if not self.precedes(owned, registration):
                return []
            notice = yield_notice(owned.registration(self.host_name))
            return [Count("owners_settled"), SendPeer(sender, notice)]
        existing = self.directory.entries.get(registration.flow)
        outcome = self.directory.register(registration, now)
        if outcome is Outcome.LOST:
            notice = yield_notice(existing.registration)
            return [Count("owners_settled"), SendPeer(sender, notice)]
        if outcome is Outcome.REPLACED:
            loser = self.topology.hosts.get(existing.registration.owner)
            notice = yield_notice(registration)
            return [Count("owners_settled"), *([SendPeer(loser.address, notice)] if loser else [])]
        return [Count("registrations_refused")] if outcome is Outcome.REFUSED else []


def yield_notice(winner: Registration) -> Yield:
    """Return the message to an owner whose registration another one's takes precedence over."""
    return Yield(winner.flow, winner.owner, winner.generation, winner.answered)
