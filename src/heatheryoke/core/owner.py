"""Owner role of an agent: the flows of its host and their registrations."""

from abc import abstractmethod
from typing import Any

from heatheryoke.core.effects import (
    CloseFlow,
    Count,
    Effect,
    LogChange,
    SendPeer,
)
from heatheryoke.core.events import PeerMessageArrived
from heatheryoke.core.flows import FlowKey, PacketKind, describe_flow
from heatheryoke.core.isolation import isolated
from heatheryoke.core.messages import (
    HOP_LIMIT,
    Forward,
    Hint,
    Registration,
    RegistrationsAck,
    Yield,
)
from heatheryoke.core.node import Node
from heatheryoke.core.ownership import BATCH_NUMBERS, OwnedFlow, OwnedFlows, Registrar
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Service

__all__ = ["Owner"]

EXPIRY_BATCH = 200
RENEWAL_BATCH = 200
HINTS_PER_S = 3.0
HINT_BURST = 30.0


class Owner(Node):
    """Owns the flows of one upstream host; no other process sends that host work."""

    def __init__(self, host_name: str, incarnation: int, started: float, **options: Any):
        super().__init__(host_name, incarnation, **options)
        self.flows = OwnedFlows()
        self.registrar = Registrar(host_name, incarnation % BATCH_NUMBERS)
        self.withdrawn = False
        self.hint_tokens = HINT_BURST
        self.hint_refill_at = started
        self.message_handlers |= {
            RegistrationsAck: self.on_registrations_ack,
            Yield: self.on_yield,
        }

    @abstractmethod
    def on_packet(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Process a caller's packet of an owned flow for the upstream."""

    @abstractmethod
    def end_closed_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """End the requests of a flow that is over."""

    @abstractmethod
    def end_yielded_flow(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """End the requests of a flow that another host owns."""

    @abstractmethod
    def precedes(self, owned: OwnedFlow, rival: Registration | Yield) -> bool:
        """Return whether an owned flow's registration takes precedence over another owner's."""

    @abstractmethod
    def keep_registration(self, registration: Registration, now: float) -> None:
        """Keep the registration of a flow's other owner, if this host is a home of the flow."""

    @abstractmethod
    def idle_s(self, service: str) -> float:
        """Return how long a silent flow of a service is kept."""

    @abstractmethod
    def forget_entry(self, flow: FlowKey) -> None:
        """Drop the directory entry of a flow that this host owns."""

    def deliver(self, owned: OwnedFlow, message: Forward, now: float) -> list[Effect]:
        """Process a packet of an owned flow; send a hint if another agent forwarded it."""
        self.flows.touch(owned, now)
        effects = self.on_packet(owned, message, now)
        if message.hops < HOP_LIMIT:
            effects += self.hint(message, self.host_name, now)
        if message.kind is PacketKind.CLOSES:
            effects += self.give_up(owned, now)
        return effects

    def hint(self, message: Forward, owner: str, now: float) -> list[Effect]:
        """Send the balancer a hint that names the owner, within the rate limit."""
        elapsed, self.hint_refill_at = now - self.hint_refill_at, now
        self.hint_tokens = min(HINT_BURST, self.hint_tokens + elapsed * HINTS_PER_S)
        if self.hint_tokens < 1 or not message.via.port:
            return []
        self.hint_tokens -= 1
        return [SendPeer(message.via, Hint(message.flow, name_hash(owner)))]

    def adopt(self, owned: OwnedFlow, now: float) -> None:
        """Add a flow to the tables and schedule its renewal."""
        self.flows.add(owned)
        self.forget_entry(owned.flow)
        self.registrar.renew_later(owned, now)

    def give_up(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Remove a flow from every table."""
        self.flows.remove(owned.flow)
        self.registrar.close(owned)
        effects = self.end_closed_flow(owned, now)
        return [*effects, CloseFlow(owned.flow), Count("flows_closed")]

    def yield_flow(self, owned: OwnedFlow, owner: str, now: float) -> list[Effect]:
        """Drop a flow that another owner serves; end its feeds, so that the caller reopens them."""
        self.flows.remove(owned.flow)
        effects = self.end_yielded_flow(owned, now)
        known = "answered" if owned.answered else "not answered"
        reason = f"owned by {owner}, {known} here, owned for {now - owned.opened:.3f} s"
        return [
            *effects,
            CloseFlow(owned.flow),
            Count("flows_yielded"),
            LogChange(describe_flow(owned.flow), "yielded", reason),
        ]

    def expire_flows(self, now: float) -> list[Effect]:
        """Close flows that have been silent for their service's idle time."""
        effects: list[Effect] = []
        for name in list(self.flows.by_service):
            for owned in self.flows.idle(name, now - self.idle_s(name), EXPIRY_BATCH):
                effects += isolated(self.give_up, owned, now)
        return effects

    def home_names(self, flow: FlowKey, service: Service) -> list[str]:
        """Return the names of a flow's homes."""
        return [home.name for home in self.topology.service_view(service.name).homes(flow)]

    def register_moved(self) -> None:
        """Register the flows whose homes have changed."""
        for owned in self.flows.flows.values():
            homes = tuple(self.home_names(owned.flow, self.topology.services[owned.service]))
            if homes != owned.homes:
                self.registrar.register(owned, self.topology)

    def renew(self, now: float) -> list[Effect]:
        """Queue the first registrations and the renewals that are due."""
        for owned in self.registrar.take_due_first(now):
            if self.flows.flows.get(owned.flow) is owned:
                self.registrar.register(owned, self.topology)
        for owned in self.registrar.take_due_renewals(now, RENEWAL_BATCH):
            if self.flows.flows.get(owned.flow) is owned:
                self.registrar.renew_later(owned, now)
                self.registrar.register(owned, self.topology)
        return []

    def on_registrations_ack(self, event: PeerMessageArrived) -> list[Effect]:
        """Stop resending an acknowledged batch."""
        self.registrar.acknowledge(event.message.batch)
        return []

    def on_yield(self, event: PeerMessageArrived) -> list[Effect]:
        """Drop a flow whose other owner takes precedence, or register it again if none does.

        The sender may have compared the two owners by an earlier state of this one.
        """
        rival = event.message
        owned = self.flows.flows.get(rival.flow)
        if owned is None:
            return []
        if self.yields_to(owned, rival):
            yielded = self.yield_flow(owned, rival.owner, event.now)
            self.keep_registration(rival.registration(), event.now)
            return yielded
        owned.contested = True
        if self.precedes(owned, rival):
            self.registrar.register(owned, self.topology)
        return [Count("yields_refused")]

    def yields_to(self, owned: OwnedFlow, rival: Registration | Yield) -> bool:
        """Return whether an owned flow is left to another owner."""
        return not self.precedes(owned, rival)
