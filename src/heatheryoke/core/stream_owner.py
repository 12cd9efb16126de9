"""Owner role of an agent of byte streams: its upstream's flows and requests in progress."""

from abc import abstractmethod
from collections import OrderedDict
from typing import Any

from heatheryoke.core.effects import (
    AnswerCaller,
    Count,
    Deliver,
    Effect,
    Measure,
    SendPeer,
)
from heatheryoke.core.events import UpstreamPacket
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.home import Home
from heatheryoke.core.isolation import isolated
from heatheryoke.core.linked_node import LinkedNode
from heatheryoke.core.messages import Forward, Hint, Registration, Yield
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.service_times import ServiceTimes
from heatheryoke.core.streams import OwnedStream, StreamCodec, StreamHeader
from heatheryoke.core.upstream_monitor import Finding, Unmonitored, UpstreamMonitor
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Endpoint

__all__ = ["StreamOwner"]

# How long a flow is remembered that is closed or that its caller does not follow up: at least two
# of the longest retransmission intervals (1.6 s).
CLOSING_S = 4.0
# How long a new flow counts as a request in progress although none has arrived: ten round trips to
# callers. The caller of a flow that waited for room may have given up, and such a flow must not
# keep others out.
OPENING_S = 0.1
# Flows remembered that an upstream did not accept in time: some seconds of all its new flows.
MAXIMUM_PLACED_ELSEWHERE = 2_000


class StreamOwner(Home, LinkedNode):
    """Delivers packets to its upstream and tracks each stream's state from the packets seen."""

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        started: float,
        codec: StreamCodec,
        service: str,
        upstream: Address,
        flow_lifetime_s: float = 60.0,
        monitor: UpstreamMonitor | None = None,
        **options: Any,
    ):
        super().__init__(host_name, incarnation, started, **options)
        self.codec = codec
        self.service = service
        self.upstream = upstream
        self.own_id = name_hash(host_name)
        self.started = started
        self.flow_lifetime_s = flow_lifetime_s
        self.monitor = monitor or Unmonitored()
        self.feed_count = 0
        self.in_progress: dict[FlowKey, OwnedStream] = {}
        self.service_times = ServiceTimes()
        self.scheduled_removals: OrderedDict[FlowKey, OwnedStream] = OrderedDict()
        self.offered: OrderedDict[FlowKey, Forward] = OrderedDict()
        self.placed_elsewhere: OrderedDict[FlowKey, None] = OrderedDict()
        self.event_handlers[UpstreamPacket] = self.on_upstream_packet

    @property
    def peer_address(self) -> Address:
        """The address at which this process receives messages from others."""
        return Address(self.host_name, self.view.peer_port)

    @abstractmethod
    def on_returned(self, event: UpstreamPacket, head: StreamHeader) -> list[Effect]:
        """Forward a packet elsewhere that the upstream returned, or reset its flow."""

    @abstractmethod
    def apply_finding(self, finding: Finding, now: float) -> list[Effect]:
        """Act on what was observed of the upstream."""

    @abstractmethod
    def note_request(self, owned: OwnedStream, now: float) -> None:
        """Record that a flow's request begins."""

    @abstractmethod
    def note_answer(self, owned: OwnedStream, took_s: float) -> None:
        """Record how long a flow's request took."""

    @abstractmethod
    def serve_queue(self, now: float) -> list[Effect]:
        """Start waiting flows as far as there is room."""

    def on_packet(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Update a stream's state from a caller's packet and deliver it to the upstream."""
        head = self.codec.read_header(message.payload)
        effects: list[Effect] = []
        if owned.accepted is not None and not (head.opens or head.resets or owned.answered):
            effects += self.note_answered(owned, now)
        if head.length and owned.take_new_data(head) and not owned.has_request:
            self.start_request(owned, now)
            self.note_request(owned, now)
            owned.has_request = True
        owned.caller_closed |= head.closes or head.resets
        self.note_end(owned, head, now)
        return [*effects, Deliver(owned.flow, message.payload)]

    def note_answered(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Record that the caller follows the upstream's acceptance; register that at the homes.

        A home that has named another owner is told at once: when that one gives up, the home
        would know none.
        """
        owned.answered = True
        self.cancel_removal(owned)
        self.registrar.register(owned, self.topology)
        if not owned.contested:
            return []
        return self.registrar.flush(self.flows, self.topology, now)

    def on_upstream_packet(self, event: UpstreamPacket) -> list[Effect]:
        """Send an upstream's packet to the caller; handle a caller's packet that it returned."""
        head = self.codec.read_header(event.payload)
        if head.returned:
            return self.on_returned(event, head)
        owned = self.flows.flows.get(event.flow)
        effects: list[Effect] = []
        if owned is None and head.accepts and event.flow in self.placed_elsewhere:
            return [Count("acceptances_too_late")]
        if owned is None:
            owned = self.adopt_unknown(event, head)
        self.flows.touch(owned, event.now)
        effects += self.apply_finding(self.monitor.on_packet(owned, head, event.now), event.now)
        owned.note_upstream_data(head)
        if head.accepts:
            effects += self.on_accepted(owned, head, event.now)
        elif head.length and owned.has_request:
            effects += self.on_answer(owned, event.now)
        owned.upstream_closed |= head.closes or head.resets
        self.note_end(owned, head, event.now)
        return [*effects, AnswerCaller(event.flow, event.payload)]

    def adopt_unknown(self, event: UpstreamPacket, head: StreamHeader) -> OwnedStream:
        """Adopt a flow that the upstream holds but this process did not know."""
        offered = self.offered.pop(event.flow, None)
        owned = OwnedStream(event.flow, self.service, 0, 0, event.now)
        owned.answered = not head.accepts
        owned.via = offered.via if offered else None
        self.adopt(owned, event.now)
        if head.accepts:
            self.schedule_removal(owned, event.now)
        if self.topology is not None:
            self.registrar.register(owned, self.topology)
        return owned

    def note_placed_elsewhere(self, flow: FlowKey) -> None:
        """Record that a flow was given up since the upstream had not accepted it in time.

        If it accepts the flow later, its acceptance is dropped. The caller might follow it while
        another upstream's agent registers the flow, and the flow would have two owners.
        """
        self.placed_elsewhere[flow] = None
        if len(self.placed_elsewhere) > MAXIMUM_PLACED_ELSEWHERE:
            self.placed_elsewhere.popitem(last=False)

    def yields_to(self, owned: OwnedFlow, rival: Registration | Yield) -> bool:
        """Return whether a flow is left to another owner: its caller has answered that one.

        While it has answered neither, it may still follow either upstream's acceptance. An owner
        that it does not follow gives the flow up after `CLOSING_S`.
        """
        return rival.answered and not owned.answered

    def forget_entry(self, flow: FlowKey) -> None:
        """Remove a flow's tentative entry; the registration of another owner may be needed again.

        The caller may follow that owner, which does not register again.
        """
        self.directory.remove_tentative(flow)

    def on_accepted(self, owned: OwnedStream, head: StreamHeader, now: float) -> list[Effect]:
        """Record that the upstream has accepted a flow; notify its homes and its balancer."""
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
        """Record a request in progress; a new flow counts as one until its first arrives."""
        if owned.flow not in self.in_progress:
            self.in_progress[owned.flow] = owned
        endpoint = self.topology.endpoints.get((self.service, self.host_name))
        owned.waiting_since = now
        owned.requests_before = len(self.in_progress) - 1
        owned.is_overdue = False
        owned.had_free_slot = endpoint is not None and len(self.in_progress) <= endpoint.slots

    def end_request(self, owned: OwnedStream) -> None:
        """Record that a flow has no request in progress."""
        self.in_progress.pop(owned.flow, None)
        owned.has_request = False

    def on_answer(self, owned: OwnedStream, now: float) -> list[Effect]:
        """Record that the request in progress is being answered; start waiting flows."""
        took_s = now - owned.waiting_since
        if owned.had_free_slot:
            self.service_times.add(took_s)
        self.note_answer(owned, took_s)
        self.end_request(owned)
        return [self.measurement("service_seconds", owned.flow, took_s), *self.serve_queue(now)]

    def measurement(self, name: str, flow: FlowKey, value: float) -> Measure:
        """Return the effect that adds a value to the histogram of a flow's service and route."""
        route = self.topology.route_table.find(flow) if self.topology else None
        return Measure(name, self.service, route.name if route else "", value)

    def bind_flow(self, owned: OwnedFlow, endpoint: Endpoint) -> list[Effect]:
        """Return no effects: the upstream identifies flows by their packets."""
        return []

    def evictable_flow(self, service: str, now: float) -> OwnedFlow | None:
        """Return None: a stream is never closed to make room."""
        return None

    def note_end(self, owned: OwnedStream, head: StreamHeader, now: float) -> None:
        """Schedule the removal of a flow that both ends have closed or either has reset."""
        over = head.resets or (owned.caller_closed and owned.upstream_closed)
        if over and not owned.is_over:
            owned.is_over = True
            self.schedule_removal(owned, now)
            self.end_request(owned)

    def schedule_removal(self, owned: OwnedStream, now: float) -> None:
        """Schedule the removal of a flow that is over or not yet followed up by its caller."""
        owned.removal_due = now + CLOSING_S
        self.scheduled_removals[owned.flow] = owned
        self.scheduled_removals.move_to_end(owned.flow)

    def cancel_removal(self, owned: OwnedStream) -> None:
        """Cancel the removal of a flow that its caller has followed up."""
        if not owned.is_over:
            self.scheduled_removals.pop(owned.flow, None)

    def adopt(self, owned: OwnedFlow, now: float) -> None:
        """Add a flow to the tables."""
        self.placed_elsewhere.pop(owned.flow, None)
        self.flows.add(owned)
        self.forget_entry(owned.flow)
        self.feed_count += owned.feed

    def end_closed_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Drop the request in progress and the scheduled removal of a flow that is over."""
        self.monitor.on_ended(owned.flow)
        self.end_request(owned)
        self.scheduled_removals.pop(owned.flow, None)
        self.feed_count -= owned.feed
        return []

    def end_yielded_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Drop the request in progress of a flow that another host owns."""
        return self.end_closed_flow(owned, now)

    def idle_s(self, service: str) -> float:
        """Return how long a silent flow is kept."""
        return min(self.view.configuration.idle_s, self.flow_lifetime_s) + CLOSING_S

    def remove_due(self, now: float) -> list[Effect]:
        """Remove the flows whose scheduled removal is due."""
        effects: list[Effect] = []
        while self.scheduled_removals:
            owned = next(iter(self.scheduled_removals.values()))
            if owned.removal_due > now:
                break
            del self.scheduled_removals[owned.flow]
            effects += isolated(self.give_up, owned, now)
        return effects

    def expire_openings(self, now: float) -> None:
        """Stop counting new flows whose first request has not arrived in time."""
        for owned in list(self.in_progress.values()):
            if not owned.has_request and now - owned.waiting_since > OPENING_S:
                self.end_request(owned)
