"""A topology whose routes select services, and whose flows can have any agent as home."""

import xxhash

from heatheryoke.core.flows import FlowKey
from heatheryoke.core.routes import RouteTable
from heatheryoke.core.topology import HOME_COUNT, ServiceView, Topology, choose_across_domains
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Document, Host, HostState, Service

__all__ = ["HOME_SLOTS", "RoutedTopology"]

# Slots that flows are hashed into: with up to 400 hosts, the hosts' shares of homes are even
# within a few percent.
HOME_SLOTS = 4_096
# Hosts that join in one change beyond which hardly any slot would keep its homes.
MAXIMUM_JOINED = 16


class RoutedView(ServiceView):
    """The agents of one service; a change of route does not move a flow's homes."""

    def __init__(self, topology: "RoutedTopology", base: ServiceView):
        super().__init__(base.service, base.agents, base.placeable)
        self.topology = topology

    def homes(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that keep the flow's directory entry."""
        return self.topology.homes(flow)

    def registration_hosts(self, flow: FlowKey, owner: str) -> list[Host]:
        """Return the flow's homes; no host replaces the owner, which knows the flow anyway."""
        return self.topology.homes(flow)


class RoutedTopology(Topology):
    """Hashes flows into `HOME_SLOTS` slots; the homes of a slot are ranked once.

    A leaving host is not a home any more, so that homes move away while it still answers.

    Load pattern: during a release the view changes several times a second, and each change would
    rank all hosts again for every slot in use. So the homes of the previous topology are kept
    where no host that joined or left can have changed them.
    """

    def __init__(
        self,
        document: Document,
        route_table: RouteTable,
        previous: "RoutedTopology | None" = None,
    ):
        super().__init__(document)
        self.route_table = route_table
        remaining = [host for host in document.hosts if host.state is not HostState.LEAVING]
        self.seeds = [(name_hash(host.name), host) for host in remaining or document.hosts]
        self.homes_by_slot: dict[int, list[Host]] = previous.homes_for(self) if previous else {}

    def service_of(self, flow: FlowKey) -> Service | None:
        """Return the service that the flow's route selects."""
        return self.services.get(self.route_table.service_name(flow) or "")

    def service_view(self, service_name: str) -> ServiceView:
        """Return the agents of a service."""
        view = self.service_views.get(service_name)
        if not isinstance(view, RoutedView):
            view = RoutedView(self, super().service_view(service_name))
            self.service_views[service_name] = view
        return view

    def homes(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that keep the flow's directory entry, independent of its service."""
        slot = self.slot_of(flow)
        homes = self.homes_by_slot.get(slot)
        if homes is None:
            homes = self.homes_by_slot[slot] = choose_across_domains(self.ranked(slot), HOME_COUNT)
        return homes

    def homes_for(self, successor: "RoutedTopology") -> dict[int, list[Host]]:
        """Return the homes by slot that are the same in a successor of this topology.

        A slot's homes are the first two hosts by rank in different failure domains. They change
        only if one of them leaves or moves, or if a host joins that ranks above either.
        """
        domains = {host.name: host.failure_domain for _, host in self.seeds}
        seeds = {host.name: seed for seed, host in self.seeds}
        present = {host.name: host for _, host in successor.seeds}
        joined = [
            seed for seed, host in successor.seeds if domains.get(host.name) != host.failure_domain
        ]
        if len(joined) > MAXIMUM_JOINED:
            return {}
        kept: dict[int, list[Host]] = {}
        for slot, homes in self.homes_by_slot.items():
            remaining = [present[host.name] for host in homes if host.name in present]
            if [host.failure_domain for host in remaining] != [h.failure_domain for h in homes]:
                continue
            if joined and len({host.failure_domain for host in homes}) < HOME_COUNT:
                continue
            if not joined or self.rank_below(joined, slot, [seeds[h.name] for h in homes]):
                kept[slot] = remaining
        return kept

    @staticmethod
    def rank_below(joined: list[int], slot: int, homes: list[int]) -> bool:
        """Return whether all hosts that joined rank below a slot's homes, given their seeds."""
        key = slot.to_bytes(4, "big")
        digest = xxhash.xxh3_64_intdigest
        lowest = min(digest(key, seed) for seed in homes)
        return all(digest(key, seed) < lowest for seed in joined)

    def slot_of(self, flow: FlowKey) -> int:
        """Return the slot that a flow is hashed into."""
        return xxhash.xxh32_intdigest(flow) & (HOME_SLOTS - 1)

    def ranked_hosts(self, flow: FlowKey) -> list[Host]:
        """Return the hosts that are not leaving, the flow's homes among the first."""
        return self.ranked(self.slot_of(flow))

    def ranked(self, slot: int) -> list[Host]:
        """Return the hosts that are not leaving, in rendezvous order for a slot."""
        key = slot.to_bytes(4, "big")
        digest = xxhash.xxh3_64_intdigest
        scores = sorted(
            ((digest(key, seed), seed, host) for seed, host in self.seeds), reverse=True
        )
        return [host for _, _, host in scores]
