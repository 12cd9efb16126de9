"""Policies to compare with: plain rendezvous hashing, without and with a cache at each balancer."""

from heatheryoke.core.admission import Admission, Decision
from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
from heatheryoke.core.effects import Effect
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import Forward
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.request_engine import RequestEngine
from heatheryoke.core.requests import ActiveRequest, Request
from heatheryoke.inventory.model import Host, Service

__all__ = ["CachingBalancer", "NaiveAgent", "NaiveBalancer"]


class NaiveBalancer(Balancer):
    """Sends each packet to the first live host by rank; remembers nothing."""

    def next_host(self, flow: FlowKey, service: Service) -> Host | None:
        """Return the first host that may take new flows."""
        candidates = self.topology.view(service.name).candidates(flow)
        return next((host for host in candidates if self.is_usable(host)), None)


class CachingBalancer(NaiveBalancer):
    """Keeps to the host that it chose first, for as long as it lives."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.chosen: dict[FlowKey, str] = {}

    def next_host(self, flow: FlowKey, service: Service) -> Host | None:
        """Return the host chosen before, if it may still be sent to."""
        before = self.topology.hosts.get(self.chosen.get(flow, ""))
        if before is not None and self.is_usable(before):
            return before
        host = super().next_host(flow, service)
        if host is not None:
            self.chosen[flow] = host.name
        return host


class UnlimitedAdmission(Admission):
    """Starts whatever it is offered."""

    def offer(self, request: ActiveRequest, now: float) -> Decision:
        """Start at once."""
        return Decision([self.begin(request, now)], [])


class NaiveEngine(RequestEngine):
    """Passes every request without a claim or a limit."""

    def admission(self, service: str, now: float) -> Admission:
        """Return limits that never bind."""
        if service not in self.admissions:
            self.admissions[service] = UnlimitedAdmission(1_000_000, 1_000_000.0, 1, now)
        return self.admissions[service]

    def on_write(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Treat a write like a read."""
        return self.on_read(owned, request, payload, now)


class NaiveAgent(Agent):
    """Takes every flow that a balancer sends; registers and recovers nothing."""

    engine_type = NaiveEngine

    def route(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Own whatever arrives."""
        return self.own(message, service, 0, now)

    def advance(self, now: float) -> list[Effect]:
        """Run requests and expiry alone."""
        self.registrar.outbox.clear()
        return self.engine.advance(now) + self.expire_flows(now)
