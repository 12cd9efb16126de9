"""Reducer of an agent whose flows are byte streams."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from heatheryoke.core.directory import Directory, by_answer
from heatheryoke.core.effects import Count, Effect, LogFlow, SendPeer
from heatheryoke.core.events import ForwardArrived, PeerMessageArrived
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.isolation import for_each, isolated
from heatheryoke.core.messages import HOP_LIMIT, Forward, RecoveryRequest
from heatheryoke.core.stream_search import StreamSearch
from heatheryoke.core.streams import OwnedStream, StreamHeader
from heatheryoke.inventory.model import Address, Service

__all__ = ["StreamAgent"]

# Directory entries of a home: at 0.5 KB each, a quarter of the memory of the smallest agent host.
MAXIMUM_ENTRIES = 50_000
# Lifetime of an entry that its owner does not close: a flow's lifetime and the time to end it.
ENTRY_S = 75.0
# Limits the entries dropped per tick, so that a tick stays short.
EXPIRY_BATCH = 200
# Balancers remembered: the number in the largest fleet that is designed for.
MAXIMUM_BALANCERS = 1_100
# A balancer silent for this long may be gone: three of the longest intervals of the store watch.
BALANCER_TIMEOUT_S = 8.0
# How long a stop waits for requests in progress: well within the platform's grace period (6 s).
STOP_LIMIT_S = 1.5


class StreamAgent(StreamSearch):
    """Owner and home of byte streams, on the host of one upstream."""

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self.directory = Directory(MAXIMUM_ENTRIES, ENTRY_S, by_answer)
        self.has_asked_peers = False
        self.balancers: OrderedDict[Address, float] = OrderedDict()
        self.periodic_tasks: tuple[Callable[[float], list[Effect]], ...] = (
            self.probe,
            self.remove_due,
            self.end_overdue_openings,
            self.check_upstream,
            self.serve_queue,
            self.expire_flows,
            self.expire_entries,
            self.flush_registrations,
        )

    def on_forward(self, event: ForwardArrived) -> list[Effect]:
        """Deliver a caller's packet if this host owns its flow, else place or forward it."""
        effects = self.note_peer_epoch(event)
        if self.is_muted():
            return [*effects, Count("dropped_no_view")]
        message, now = event.message, event.now
        effects += self.acknowledge(event.sender, message)
        self.note_balancer(message.via, now)
        head = self.codec.read_header(message.payload)
        owned = self.flows.flows.get(message.flow)
        if owned is not None and not owned.contradicts(head):
            return effects + self.deliver(owned, message, now)
        if owned is not None:
            effects += self.give_up_contradicted(owned, head, now)
        if head.opens:
            return effects + self.on_opening(event)
        return effects + self.forward_unknown(message, now)

    def give_up_contradicted(
        self, owned: OwnedStream, head: StreamHeader, now: float
    ) -> list[Effect]:
        """Give up a flow whose caller follows another upstream's acceptance."""
        facts = (("accepted", owned.accepted), ("acknowledged", head.acknowledged))
        contradicted = LogFlow(owned.flow, "contradicted", facts)
        return [Count("flows_contradicted"), contradicted, *self.give_up(owned, now)]

    def on_opening(self, event: ForwardArrived) -> list[Effect]:
        """Place a new flow by the configuration that its balancer selected the service by.

        A flow that another agent passed on is placed here even if this host is not its home, since
        the views of the two agents may differ.
        """
        message = event.message._replace(service_epoch=event.epoch)
        service = self.agreed_service(message)
        if service is None:
            return self.drop_contradicted(message)
        passed_on = message.hops < HOP_LIMIT
        message = message._replace(place_here=passed_on)
        if self.host_name not in self.topology.hosts:
            return self.pass_on_outside_view(message, service, event.now)
        if not passed_on and not self.is_home_usable(message.flow):
            message = message._replace(place_here=True)
        return self.route(message, service, event.now)

    def is_home_usable(self, flow: FlowKey) -> bool:
        """Return whether any home of a flow is within reach, or is this host."""
        return any(self.is_usable(home) for home in self.topology.homes(flow))

    def resend_opening(self, message: Forward, now: float) -> list[Effect]:
        """Pass a first packet to another candidate than the one that has not acknowledged it."""
        if self.may_be_opened(message.flow, now):
            return [Count("openings_repeated")]
        service = self.agreed_service(message)
        if service is None:
            return self.drop_contradicted(message)
        message = message._replace(assigned=False, place_here=True)
        if self.host_name not in self.topology.hosts:
            return self.pass_on_outside_view(message, service, now)
        if not message.visited:
            return self.route(message, service, now)
        candidates = self.usable_candidates(message.flow, service)
        return self.continue_placement(message, service, candidates, now)

    def pass_on_outside_view(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Pass a new flow on while this process's view lacks its own upstream."""
        if message.visited or message.assigned:
            return self.place_elsewhere(message, service, now)
        homes = self.topology.homes(message.flow)
        return self.pass_on(message, homes[0]) if homes else [Count("dropped_no_host")]

    def note_balancer(self, via: Address, now: float) -> None:
        """Record that a balancer is running."""
        if via.port:
            self.balancers[via] = now
            self.balancers.move_to_end(via)
            if len(self.balancers) > MAXIMUM_BALANCERS:
                self.balancers.popitem(last=False)

    def on_store_update(self, event: PeerMessageArrived) -> list[Effect]:
        """Apply store changes read by another process; a sender that is no agent is a balancer."""
        if all(host.address != event.sender for host in self.topology.document.hosts):
            self.note_balancer(event.sender, event.now)
        return super().on_store_update(event)

    def update_recipients(self, now: float) -> list[Address]:
        """Return the addresses of the other agents and of recently active balancers."""
        active = [via for via, at in self.balancers.items() if now - at < BALANCER_TIMEOUT_S]
        return [*super().update_recipients(now), *active]

    def needs_frequent_reads(self) -> bool:
        """Return whether this process's view lacks its own upstream, whose service is in use."""
        if self.topology is None or self.service not in self.view.service_names:
            return False
        return self.host_name not in self.topology.hosts

    def has_recovered_flows(self, now: float) -> bool:
        """Return True: a flow may be placed twice, since its caller follows only one acceptance."""
        return True

    def on_topology(self, now: float) -> list[Effect]:
        """Register flows whose homes have changed; at the first view, ask peers for their flows."""
        self.forget_removed_hosts(now)
        if self.shares is not None:
            self.shares.retain({route.name for route in self.topology.route_table.routes.values()})
        refusals = isolated(self.refuse_contradicted) + isolated(self.note_incarnation, now)
        refusals += for_each(self.flows.flows.values(), self.register_if_moved)
        if self.has_asked_peers or self.first_start:
            return refusals
        self.has_asked_peers = True
        request = RecoveryRequest(self.host_name, self.incarnation, 0)
        hosts = self.topology.document.hosts
        peers = [host.address for host in hosts if host.name != self.host_name]
        return [*refusals, *(SendPeer(address, request) for address in peers)]

    def register_if_moved(self, owned: OwnedStream) -> list[Effect]:
        """Register a flow whose homes have changed."""
        homes = tuple(home.name for home in self.topology.homes(owned.flow))
        if homes != owned.homes:
            self.registrar.register(owned, self.topology)
        return []

    def note_incarnation(self, now: float) -> list[Effect]:
        """Have the upstream judged anew if the store lists another incarnation at its address."""
        newest = self.view.newest_by_address().get(self.upstream)
        if newest is None:
            return []
        name, record = newest
        return self.apply_finding(self.monitor.on_incarnation((name, record.born_ms), now), now)

    def on_pause_ended(self, now: float) -> list[Effect]:
        """Register every flow again, since another owner may have registered during the pause."""
        self.monitor.on_paused(self.in_progress.values())
        if self.topology is not None:
            for owned in self.flows.flows.values():
                self.registrar.register(owned, self.topology)
        return []

    def advance(self, now: float) -> list[Effect]:
        """Do periodic work: probes, expiry, the queue of new flows, and registrations."""
        effects: list[Effect] = []
        for task in self.periodic_tasks:
            effects += isolated(task, now)
        return effects

    def end_overdue_openings(self, now: float) -> list[Effect]:
        """Stop counting new flows whose first request is overdue."""
        self.expire_openings(now)
        return []

    def expire_entries(self, now: float) -> list[Effect]:
        """Drop directory entries that have expired."""
        self.directory.expire(now, EXPIRY_BATCH)
        return []

    def flush_registrations(self, now: float) -> list[Effect]:
        """Send the registrations that are due."""
        return self.registrar.flush(self.flows, self.topology, now)

    def is_idle(self, now: float) -> bool:
        """Return whether no request is in progress or waits, or the stop has timed out."""
        return not (self.in_progress or self.queue) or now - self.stopping_since > STOP_LIMIT_S
