"""Baseline policies: plain rendezvous hashing, without and with a flow cache at each balancer."""

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
    """Forwards each packet to the usable host that ranks first, without state."""

    def next_host(self, flow: FlowKey, service: Service) -> Host | None:
        """Return the first usable candidate."""
        candidates = self.topology.service_view(service.name).candidates(flow)
        return next((host for host in candidates if self.is_usable(host)), None)


class CachingBalancer(NaiveBalancer):
    """Forwards a flow to the host chosen for its first packet while that host is usable."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.cached_hosts: dict[FlowKey, str] = {}

    def next_host(self, flow: FlowKey, service: Service) -> Host | None:
        """Return the cached host if it is usable, otherwise choose and cache another."""
        cached = self.topology.hosts.get(self.cached_hosts.get(flow, ""))
        if cached is not None and self.is_usable(cached):
            return cached
        host = super().next_host(flow, service)
        if host is not None:
            self.cached_hosts[flow] = host.name
        return host


class UnlimitedAdmission(Admission):
    """Admits every request."""

    def offer(self, request: ActiveRequest, now: float) -> Decision:
        """Start the request immediately."""
        return Decision([self.begin(request, now)], [])


class NaiveEngine(RequestEngine):
    """Forwards every request without claims or limits."""

    def admission(self, service: str, now: float) -> Admission:
        """Return an admission that never refuses or queues a request."""
        if service not in self.admissions:
            self.admissions[service] = UnlimitedAdmission(1_000_000, 1_000_000.0, 1, now)
        return self.admissions[service]

    def on_write(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Handle a write like a read."""
        return self.on_read(owned, request, payload, now)


class NaiveAgent(Agent):
    """Owns every flow that a balancer forwards, without registration or recovery."""

    engine_type = NaiveEngine

    def route(self, message: Forward, service: Service, now: float) -> list[Effect]:
        """Own the flow of any packet that arrives."""
        return self.become_owner(message, service, 0, now)

    def advance(self, now: float) -> list[Effect]:
        """Run only requests and flow expiry; discard registrations."""
        self.registrar.outbox.clear()
        return self.engine.advance(now) + self.expire_flows(now)
