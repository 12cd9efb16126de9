"""A topology whose services are reached by routes, and whose flows have homes at any agent."""

import xxhash

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.routes import RouteTable
from heatheryoke.core.topology import HOME_COUNT, ServiceView, Topology, spread
from heatheryoke.inventory.checks import short_id
from heatheryoke.inventory.model import Document, Host, HostState, Service

__all__ = ["HOME_SLOTS", "RoutedTopology"]

# Slots that flows fall into: a host's share of homes is even within a few percent up to 400 hosts.
HOME_SLOTS = 4_096


class RoutedView(ServiceView):
    """The agents of one service; a flow's homes stay where they are when its route changes."""

    def __init__(self, topology: "RoutedTopology", plain: ServiceView):
        super().__init__(plain.service, plain.agents, plain.placeable)
        self.topology = topology

    def homes(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that keep the flow's directory entry."""
        return self.topology.homes(flow)

    def keepers(self, flow: FlowKey, owner: str) -> list[Host]:
        """Return the flow's homes; the owner is one more host that knows it."""
        return self.topology.homes(flow)


class RoutedTopology(Topology):
    """Flows fall into `HOME_SLOTS` slots; each slot has its homes, ranked once.

    A host that is leaving is home no more, so that its flows' homes move while it still answers.
    """

    def __init__(self, document: Document, table: RouteTable):
        super().__init__(document)
        self.table = table
        staying = [host for host in document.hosts if host.state is not HostState.LEAVING]
        self.seeds = [(short_id(host.name), host) for host in staying or document.hosts]
        self.slots: dict[int, list[Host]] = {}

    def service_of(self, flow: FlowKey) -> Service | None:
        """Return the service that the flow's route sends it to."""
        return self.services.get(self.table.service_name(flow) or "")

    def view(self, service_name: str) -> ServiceView:
        """Return the agents of a service."""
        found = self.views.get(service_name)
        if not isinstance(found, RoutedView):
            found = RoutedView(self, super().view(service_name))
            self.views[service_name] = found
        return found

    def homes(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that keep the flow's directory entry, whatever its service."""
        slot = xxhash.xxh32_intdigest(flow) & (HOME_SLOTS - 1)
        found = self.slots.get(slot)
        if found is None:
            found = self.slots[slot] = spread(self.ranked(slot), HOME_COUNT)
        return found

    def ranked(self, slot: int) -> list[Host]:
        """Return the hosts that stay, in rendezvous order for a slot."""
        key = slot.to_bytes(4, "big")
        digest = xxhash.xxh3_64_intdigest
        scored = sorted(
            ((digest(key, seed), seed, host) for seed, host in self.seeds), reverse=True
        )
        return [host for _, _, host in scored]
