"""A document indexed for packet forwarding, and the host rankings computed from it."""

from collections.abc import Iterable
from functools import cached_property

import xxhash

from heatheryoke.core.flows import FlowKey, service_key, service_part
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Document, Endpoint, Host, HostState, Service

__all__ = [
    "HOME_COUNT",
    "NO_SERVICE_ADDRESS",
    "WITNESS_COUNT",
    "Segment",
    "ServiceView",
    "Topology",
    "choose_across_domains",
]

HOME_COUNT = 2
WITNESS_COUNT = 3
# The address of a service that callers reach by routes only.
NO_SERVICE_ADDRESS = Address("0.0.0.0", 0)


class ServiceView:
    """The agents of one service, ranked for a key by rendezvous hashing."""

    def __init__(self, service: Service, agents: list[Host], placeable: frozenset[str]):
        self.service = service
        self.agents = agents
        self.placeable = placeable
        self.seeds = [(name_hash(host.name), host) for host in agents]

    def ranked(self, key: bytes) -> list[Host]:
        """Return the agents in rendezvous order for `key`."""
        digest = xxhash.xxh3_64_intdigest
        scores = [(digest(key, seed), seed, host) for seed, host in self.seeds]
        scores.sort(reverse=True)
        return [host for _, _, host in scores]

    def homes(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that keep the flow's directory entry."""
        return choose_across_domains(self.ranked(flow), HOME_COUNT)

    def registration_hosts(self, flow: FlowKey, owner: str) -> list[Host]:
        """Return the hosts besides the owner that keep the registration: homes and a reserve."""
        chosen = choose_across_domains(self.ranked(flow), HOME_COUNT + 1)
        return [host for host in chosen if host.name != owner][:HOME_COUNT]

    def witnesses(self, request_id: bytes) -> list[Host]:
        """Return the hosts that keep the claims of a request id."""
        return choose_across_domains(self.ranked(b"claim:" + request_id), WITNESS_COUNT)

    def candidates(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that may own a new flow, in rendezvous order."""
        return [host for host in self.ranked(flow) if host.name in self.placeable]


def choose_across_domains(ranked: Iterable[Host], count: int) -> list[Host]:
    """Return the first hosts in distinct failure domains; repeat domains if there are too few."""
    chosen: list[Host] = []
    repeats: list[Host] = []
    domains: set[str] = set()
    for host in ranked:
        if host.failure_domain in domains:
            repeats.append(host)
            continue
        domains.add(host.failure_domain)
        chosen.append(host)
        if len(chosen) == count:
            return chosen
    return (chosen + repeats)[:count]


class Segment:
    """Hosts that watch one another, in ring order."""

    def __init__(self, hosts: list[Host]):
        self.hosts = hosts
        self.positions = {host.name: index for index, host in enumerate(hosts)}


class Topology:
    """A document in force, indexed for packet forwarding."""

    def __init__(self, document: Document):
        self.document = document
        self.version = document.version
        self.hosts = {host.name: host for host in document.hosts}
        self.hosts_by_address = {host.address: host for host in document.hosts}
        self.hosts_by_id = {name_hash(host.name): host for host in document.hosts}
        self.withdrawn = {domain.name for domain in document.failure_domains if domain.withdrawn}
        self.services = {service.name: service for service in document.services}
        self.service_ids = {name_hash(service.name): service for service in document.services}
        self.services_by_key = {
            service_key(service.address): service for service in document.services
        }
        self.service_keys = {
            service.name: service_key(service.address) for service in document.services
        }
        self.endpoints: dict[tuple[str, str], Endpoint] = {}
        self.endpoints_of_service: dict[str, list[Endpoint]] = {}
        self.services_of_host: dict[str, list[str]] = {}
        self.service_views: dict[str, ServiceView] = {}
        for endpoint in document.endpoints:
            self.endpoints[endpoint.service, endpoint.host] = endpoint
            self.endpoints_of_service.setdefault(endpoint.service, []).append(endpoint)
            self.services_of_host.setdefault(endpoint.host, []).append(endpoint.service)

    def is_withdrawn(self, host_name: str) -> bool:
        """Return whether a host is unknown or in a withdrawn failure domain."""
        host = self.hosts.get(host_name)
        return host is None or host.failure_domain in self.withdrawn

    def is_placeable(self, host: Host) -> bool:
        """Return whether new flows may be placed on a host."""
        return host.state is HostState.ACTIVE and host.failure_domain not in self.withdrawn

    def service_view(self, service_name: str) -> ServiceView:
        """Return the agents of a service outside withdrawn failure domains.

        A service that the document does not list has none; its open flows may outlive it.
        """
        view = self.service_views.get(service_name)
        if view is None:
            service = self.services.get(service_name)
            if service is None:
                service = Service(service_name, NO_SERVICE_ADDRESS, service_name)
            endpoints = self.endpoints_of_service.get(service_name, ())
            hosts = [self.hosts[endpoint.host] for endpoint in endpoints]
            agents = [host for host in hosts if host.failure_domain not in self.withdrawn]
            placeable = frozenset(host.name for host in agents if self.is_placeable(host))
            view = ServiceView(service, agents, placeable)
            self.service_views[service_name] = view
        return view

    def service_of(self, flow: FlowKey) -> Service | None:
        """Return the service that a flow's address belongs to."""
        return self.services_by_key.get(service_part(flow))

    def peers_of(self, host_name: str) -> list[Host]:
        """Return the other agents that share a service with a host, without withdrawn ones."""
        peers: dict[str, Host] = {}
        for service_name in self.services_of_host.get(host_name, ()):
            for host in self.service_view(service_name).agents:
                peers[host.name] = host
        peers.pop(host_name, None)
        return [peers[name] for name in sorted(peers)]

    @cached_property
    def ring(self) -> list[Host]:
        """All hosts, in a hashed order that is the same in every process."""
        return sorted(self.hosts.values(), key=lambda host: (name_hash(host.name), host.name))

    @cached_property
    def ring_positions(self) -> dict[str, int]:
        """The index of each host in `ring`."""
        return {host.name: index for index, host in enumerate(self.ring)}

    @cached_property
    def segments(self) -> dict[str, Segment]:
        """The hosts that watch one another; each withdrawn failure domain is its own segment."""
        members: dict[str, list[Host]] = {}
        for host in self.ring:
            withdrawn = host.failure_domain in self.withdrawn
            members.setdefault(host.failure_domain if withdrawn else "", []).append(host)
        return {name: Segment(hosts) for name, hosts in members.items()}

    def segment_of(self, host_name: str) -> Segment | None:
        """Return the segment of a host, None for an unknown host."""
        host = self.hosts.get(host_name)
        if host is None:
            return None
        withdrawn = host.failure_domain in self.withdrawn
        return self.segments[host.failure_domain if withdrawn else ""]
