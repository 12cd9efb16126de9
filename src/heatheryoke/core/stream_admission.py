"""Admission of new flows to the upstream of an agent: start, queue, pass on or refuse."""

from math import inf
from typing import Any

from heatheryoke.core.cold_start import OpeningBudget
from heatheryoke.core.effects import Count, Effect, LogChange, LogFlow
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.forwarder import NO_ADDRESS
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import HOP_LIMIT, Forward, Visit
from heatheryoke.core.opening_queue import OpeningQueue, Waiting
from heatheryoke.core.room_shares import RoomShares
from heatheryoke.core.stream_refusal import StreamRefusal
from heatheryoke.core.streams import OwnedStream
from heatheryoke.core.upstream_condition import IMPAIRED_LOAD, Condition, ConditionChange
from heatheryoke.core.upstream_monitor import Finding
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Endpoint, Host, HostState, Service

__all__ = ["StreamAdmission"]

# Requests admitted beyond the slots, so that no slot idles while a new flow's first request is on
# its way; docs/decisions/0007 compares it with one more and one less.
REQUESTS_BEYOND_SLOTS = 2
# Weight of a request in progress relative to a long-lived flow, for placing a long-lived flow.
REQUEST_WEIGHT = 0.5
# Weight of a long-lived flow relative to a request in progress, for placing a short flow: the share
# of time that a long-lived flow keeps a slot busy, given its caller's pauses between requests.
FEED_WEIGHT = 0.05


class StreamAdmission(StreamRefusal):
    """Admits as many new flows as the upstream can start; queues or passes on the others."""

    def __init__(self, *arguments: Any, shares: RoomShares | None = None, **options: Any):
        super().__init__(*arguments, **options)
        self.shares = shares
        self.queue: OpeningQueue[Forward] = OpeningQueue(shares)
        self.budget = OpeningBudget()

    def become_owner(
        self, message: Forward, service: Service, generation: int, now: float
    ) -> list[Effect]:
        """Admit a new flow at once, queue it until there is room, or pass it on."""
        if message.flow in self.queue:
            return [Count("openings_repeated")]
        opens_feed = self.opens_feed(message, service)
        load = self.load(service.name, opens_feed, now)
        if load == inf or (load >= IMPAIRED_LOAD and not self.was_chosen_impaired(message)):
            return self.place_elsewhere(message, service, now, load)
        self.expire_openings(now)
        if not self.has_room():
            return self.queue_flow(message, now)
        return self.start_flow(message, service, now)

    def was_chosen_impaired(self, message: Forward) -> bool:
        """Return whether this host was chosen although its upstream was set aside."""
        return any(
            visit.host_id == self.own_id and visit.load >= IMPAIRED_LOAD
            for visit in message.visited
        )

    def apply_finding(self, finding: Finding, now: float) -> list[Effect]:
        """Log transitions of the upstream's condition; place elsewhere what it does not take."""
        effects: list[Effect] = []
        for change in finding.changes:
            effects += self.log_condition(change, now)
        if any(change.current is Condition.SET_ASIDE for change in finding.changes):
            effects += self.place_waiting_elsewhere(now)
        for message in finding.unaccepted:
            effects += self.place_unaccepted(message, now)
        return effects

    def is_waiting(self, flow: FlowKey) -> bool:
        """Return whether a new flow waits for room here."""
        return flow in self.queue

    def place_waiting_elsewhere(self, now: float) -> list[Effect]:
        """Place the waiting flows elsewhere, or here again if no other upstream is better."""
        effects: list[Effect] = []
        for entry in self.queue.clear():
            service = self.topology.services.get(self.service)
            effects += self.place_elsewhere(entry.packet, service, now, IMPAIRED_LOAD)
        return effects

    def log_condition(self, change: ConditionChange, now: float) -> list[Effect]:
        """Return the count and the log entry of a transition, with its evidence."""
        reason = change.evidence.value
        if change.current is Condition.SET_ASIDE:
            reason = f"{reason}, for {change.aside_until - now:.1f} s"
        return [
            Count(f"upstream_{change.current.name.lower()}"),
            LogChange("upstream", f"{change.former.value} -> {change.current.value}", reason),
        ]

    def place_unaccepted(self, message: Forward, now: float) -> list[Effect]:
        """Place a new flow elsewhere that the upstream has not accepted in time."""
        owned = self.flows.flows.get(message.flow)
        if owned is None or owned.accepted is not None or owned.answered:
            return []
        effects = [Count("openings_unaccepted"), *self.give_up(owned, now)]
        self.note_placed_elsewhere(message.flow)
        service = self.agreed_service(message)
        if service is None:
            return effects + self.drop_contradicted(message)
        facts = (("service", owned.service), *self.decision_facts(now))
        effects.append(LogFlow(message.flow, "not accepted", facts))
        outgoing = message._replace(hops=HOP_LIMIT)
        return effects + self.place_elsewhere(outgoing, service, now)

    def check_upstream(self, now: float) -> list[Effect]:
        """Judge what the upstream has not done in time."""
        endpoint = self.endpoint_of(self.service)
        if endpoint is None:
            return []
        requests = list(self.in_progress.values())
        finding = self.monitor.check(requests, self.service_s(), endpoint.slots, now)
        return self.apply_finding(finding, now)

    def agreed_service(self, message: Forward) -> Service | None:
        """Return the service of a new flow, None if a newer configuration here contradicts it.

        Selecting another service here would make the balancer's flows show a configuration that
        the balancer lacks, and its next flow, passed to another agent, an older one.
        """
        service = self.topology.service_ids.get(message.service_id)
        if message.service_epoch > self.epoch or self.topology.service_of(message.flow) is service:
            return service
        return None

    def drop_contradicted(self, message: Forward) -> list[Effect]:
        """Drop a new flow; by its caller's next copy the process that is behind has caught up."""
        facts = (
            ("reason", "configurations contradict each other"),
            ("service_by", message.service_epoch),
        )
        return [
            Count("openings_contradicted"),
            LogFlow(message.flow, "dropped", (*facts, *self.decision_facts(self.last_event))),
        ]

    def refuse_contradicted(self) -> list[Effect]:
        """Refuse the waiting flows that the configuration in force contradicts."""
        effects: list[Effect] = []
        for message in [entry.packet for entry in self.queue.waiting.values()]:
            if self.agreed_service(message) is None:
                self.queue.remove(message.flow)
                service = self.topology.services.get(self.service)
                effects += self.refuse_flow(message, service, "route changed while waiting")
        return effects

    def note_request(self, owned: OwnedStream, now: float) -> None:
        """Count a request against the share of its kind."""
        route = self.topology.route_table.find(owned.flow) if self.shares else None
        if route is not None:
            self.shares.note_request(route.name, route.target_latency_s, now)

    def note_answer(self, owned: OwnedStream, took_s: float) -> None:
        """Record how long a request of a kind took that found a free slot."""
        route = self.topology.route_table.find(owned.flow) if self.shares else None
        if route is not None and owned.had_free_slot:
            self.shares.note_answer(route.name, took_s)

    def has_room(self) -> bool:
        """Return whether the upstream can start one more request now or very soon."""
        endpoint = self.topology.endpoints.get((self.service, self.host_name))
        return (
            endpoint is not None and len(self.in_progress) < endpoint.slots + REQUESTS_BEYOND_SLOTS
        )

    def queue_flow(self, message: Forward, now: float) -> list[Effect]:
        """Queue a new flow until there is room."""
        route = self.topology.route_table.find(message.flow)
        if route is None:
            return [Count("dropped_no_route")]
        began = now - self.codec.read_header(message.payload).age_s
        entry = Waiting(message, began, route.priority, route.target_latency_s, route.name)
        slots = self.endpoint_of(self.service).slots
        replaced = self.queue.add(message.flow, entry, now, self.service_s(), slots)
        service = self.topology.services.get(self.service)
        refused = (
            self.refuse_flow(replaced.packet, service, "replaced in the queue") if replaced else []
        )
        facts = (
            ("waiting", len(self.queue)),
            ("busy", len(self.in_progress)),
            *self.decision_facts(now),
        )
        return [*refused, Count("openings_held"), LogFlow(message.flow, "held", facts)]

    def serve_queue(self, now: float) -> list[Effect]:
        """Start waiting flows as far as there is room; refuse those that waited too long."""
        if not self.queue:
            return []
        effects: list[Effect] = []
        self.expire_openings(now)
        service = self.topology.services.get(self.service)
        for entry in self.queue.expired(now):
            reason = "queue wait exceeded"
            effects += isolated(self.refuse_flow, entry.packet, service, reason)
        if service is None or not self.can_take(now):
            for entry in self.queue.clear():
                effects += isolated(self.place_elsewhere, entry.packet, service, now)
        while self.queue and self.has_room() and self.can_take(now):
            entry = self.queue.take(now, self.service_s())
            waited_s = now - entry.began
            effects += isolated(self.start_flow, entry.packet, service, now, waited_s)
        return effects

    def start_flow(
        self, message: Forward, service: Service, now: float, waited_s: float = 0.0
    ) -> list[Effect]:
        """Become the owner of a new flow and deliver its first packet.

        A copy that has waited may find that the upstream has accepted the flow meanwhile.
        """
        if message.flow in self.flows.flows:
            return self.deliver(self.flows.flows[message.flow], message, now)
        opens_feed = self.opens_feed(message, service)
        generation = message.generation
        owned = OwnedStream(message.flow, service.name, generation, 0, now)
        owned.via = message.via
        owned.visited = message.visited
        owned.service_epoch = message.service_epoch
        owned.feed = opens_feed
        self.adopt(owned, now)
        self.schedule_removal(owned, now)
        self.budget.spend(now)
        self.monitor.on_started(message, now)
        self.start_request(owned, now)
        facts = (
            ("service", service.name),
            ("waited_s", round(waited_s, 4)),
            ("busy", len(self.in_progress)),
            ("flows", len(self.flows)),
            ("loads", [round(visit.load, 2) for visit in message.visited if visit.load < inf]),
            ("service_by", message.service_epoch),
            *self.decision_facts(now),
        )
        return [
            Count("flows_placed"),
            self.measurement("wait_seconds", message.flow, waited_s),
            self.measurement("queue_at_arrival", message.flow, len(self.queue)),
            LogFlow(message.flow, "placed", facts),
            *self.deliver(owned, message, now),
        ]

    def place_elsewhere(
        self, message: Forward, service: Service | None, now: float, load: float = inf
    ) -> list[Effect]:
        """Pass a new flow that this host does not admit to another candidate, or refuse it.

        If `load` is finite, it may come back when no other candidate is better.
        """
        if service is None:
            return self.refuse_flow(message, service, "unknown service")
        earlier_visits = tuple(visit for visit in message.visited if visit.host_id != self.own_id)
        visited = (*earlier_visits, Visit(self.own_id, load))
        outgoing = message._replace(assigned=False, visited=visited)
        candidates = self.usable_candidates(message.flow, service)
        return self.continue_placement(outgoing, service, candidates, now)

    def on_opening_returned(
        self, owned: OwnedStream | None, flow: FlowKey, payload: bytes, now: float
    ) -> list[Effect]:
        """Place a new flow elsewhere after the upstream returned its first packet."""
        if owned is None or owned.accepted is not None:
            return [Count("dropped_returned")]
        message = Forward(
            flow,
            name_hash(owned.service),
            PacketKind.OPENS,
            HOP_LIMIT,
            owned.via or NO_ADDRESS,
            payload,
            owned.visited,
            service_epoch=owned.service_epoch,
        )
        effects = [Count("openings_returned"), *self.give_up(owned, now)]
        service = self.agreed_service(message)
        if service is None:
            return effects + self.drop_contradicted(message)
        facts = (
            ("service", owned.service),
            ("busy", len(self.in_progress)),
            *self.decision_facts(now),
        )
        effects.append(LogFlow(flow, "returned", facts))
        return effects + self.place_elsewhere(message, service, now)

    def endpoint_of(self, service: str) -> Endpoint | None:
        """Return this host's endpoint if both store and settings say that it serves a service."""
        if service != self.service:
            return None
        endpoint = self.topology.endpoints.get((service, self.host_name))
        return endpoint if endpoint is not None and endpoint.address == self.upstream else None

    def can_take(self, now: float) -> bool:
        """Return whether the upstream may be given new flows, apart from whether it has room."""
        endpoint = self.endpoint_of(self.service)
        host = self.topology.hosts.get(self.host_name)
        if endpoint is None or host is None or host.state is not HostState.ACTIVE:
            return False
        if self.stopping_since is not None or len(self.flows) >= endpoint.connections:
            return False
        return self.budget.allows(self.cold_rate(now), now)

    def service_s(self) -> float:
        """Return the expected time that the upstream works on a request."""
        return self.service_times.expected(self.topology.route_table.minimum_target_latency_s)

    def load(self, service: str, opens_feed: bool, now: float) -> float:
        """Return this host's load for placement, infinite if it admits no new flows."""
        if service != self.service or not self.can_take(now):
            return inf
        slots = self.endpoint_of(service).slots
        if not self.has_room() and not self.queue.can_add(now, self.service_s(), slots):
            return inf
        busy = len(self.in_progress) + len(self.queue) + self.pending_offers.count(now)
        weight = REQUEST_WEIGHT if opens_feed else 1.0
        flows = self.feed_count if opens_feed else FEED_WEIGHT * self.feed_count
        work = self.work_on_arrival(weight * busy + flows, weight)
        return work / slots + self.monitor.load_penalty()

    def work_on_arrival(self, work: float, own_work: float) -> float:
        """Return the work that a new flow finds, in the time that usual requests take.

        All of it takes longer by the upstream's slowness, and so does the new flow's own work.
        """
        slowness = self.monitor.slowness()
        return work * slowness + own_work * (slowness - 1)

    def cold_rate(self, now: float) -> float | None:
        """Return the limit on new flows per second of a cold upstream, None without a limit."""
        limits = self.view.limits_of(self.service)
        if limits is None or limits.cold_rate <= 0 or not self.view.is_cold(self.upstream, now):
            return None
        return limits.cold_rate

    def opens_feed(self, message: Forward, service: Service) -> bool:
        """Return whether a new flow is expected to be long-lived."""
        route = self.topology.route_table.find(message.flow)
        return route is not None and route.idempotent

    def may_keep(self, service: str, candidates: list[Host], load: float, now: float) -> bool:
        """Return False: the first home always compares its load with other candidates."""
        return False
