"""Plain rendezvous hashing of byte streams: the baseline that the reducers are compared with.

A balancer sends each packet to the first agent by rank. There are no homes, no comparison of
loads, no acknowledgements and no relays, so that a packet crosses one hop between hosts.
"""

from heatheryoke.core.effects import Effect
from heatheryoke.core.events import CallerPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.linked_node import LinkedNode
from heatheryoke.core.messages import Forward
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.core.streams import StreamHeader
from heatheryoke.inventory.model import Host, Service

__all__ = ["RendezvousAgent", "RendezvousBalancer"]


class UnlinkedNode(LinkedNode):
    """A node that takes every host for reachable."""

    def route_effects(self, effects: list[Effect], now: float, resends: int = 0) -> list[Effect]:
        """Return the effects unchanged."""
        return effects

    def check_links(self, now: float) -> list[Effect]:
        """Do nothing."""
        return []


class RendezvousBalancer(UnlinkedNode, StreamBalancer):
    """Sends every packet of a flow to the first agent by rank."""

    def choose_host(self, flow: FlowKey, head: StreamHeader) -> Host | None:
        """Return the first agent of the flow's service by rank."""
        service = self.topology.service_of(flow)
        ranked = self.topology.service_view(service.name).candidates(flow) if service else []
        return ranked[0] if ranked else None

    def forward(self, event: CallerPacket, service: Service, kind: PacketKind) -> Forward:
        """Return a message that makes its receiver the owner."""
        return super().forward(event, service, kind)._replace(assigned=True)


class RendezvousAgent(UnlinkedNode, StreamAgent):
    """Owns the flows that balancers assign to it."""
