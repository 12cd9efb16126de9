"""Forwards each caller's packet to its flow's owner or home."""

from collections import OrderedDict
from typing import Any

from heatheryoke.core.effects import Count, Effect, SendForward
from heatheryoke.core.events import CallerPacket, PeerMessageArrived
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.messages import HOP_LIMIT, Forward, Hint
from heatheryoke.core.node import Node
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Host, Service

__all__ = ["NO_ADDRESS", "Forwarder"]

MAXIMUM_HINTS = 200_000
NO_ADDRESS = Address("0.0.0.0", 0)


class Forwarder(Node):
    """Forwards callers' packets by a bounded cache of flow owners."""

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        address: Address = NO_ADDRESS,
        maximum_hints: int = MAXIMUM_HINTS,
        **options: Any,
    ):
        super().__init__(host_name, incarnation, **options)
        self.address = address
        self.maximum_hints = maximum_hints
        self.hints: OrderedDict[FlowKey, int] = OrderedDict()
        self.event_handlers[CallerPacket] = self.on_caller_packet
        self.message_handlers[Hint] = self.on_hint

    def on_caller_packet(self, event: CallerPacket) -> list[Effect]:
        """Forward a caller's packet towards its flow's owner."""
        if self.is_muted():
            return [Count("dropped_unconfirmed")]
        service = self.topology.service_of(event.flow)
        if service is None:
            return [Count("dropped_unknown_service")]
        host = self.next_host(event.flow, service)
        if host is None:
            return [Count("dropped_no_host")]
        if event.kind is PacketKind.CLOSES:
            self.hints.pop(event.flow, None)
        return [SendForward(host.address, self.forward(event, service, event.kind))]

    def forward(
        self, packet: CallerPacket | Forward, service: Service, kind: PacketKind
    ) -> Forward:
        """Return the message that carries a caller's packet of a service."""
        service_id = name_hash(service.name)
        return Forward(packet.flow, service_id, kind, HOP_LIMIT, self.address, packet.payload)

    def next_host(self, flow: FlowKey, service: Service) -> Host | None:
        """Return the cached owner if usable, else the first usable home, else the first home."""
        owner = self.cached_owner(flow)
        if owner is not None and (service.name, owner.name) in self.topology.endpoints:
            return owner
        homes = self.topology.service_view(service.name).homes(flow)
        for home in homes:
            if self.is_usable(home):
                return home
        return homes[0] if homes else None

    def cached_owner(self, flow: FlowKey) -> Host | None:
        """Return the cached owner, None if it is withdrawn, gone or suspected."""
        owner_id = self.hints.get(flow)
        if owner_id is None:
            return None
        owner = self.topology.hosts_by_id.get(owner_id)
        if owner is None or not self.keeps_flows(owner):
            del self.hints[flow]
            return None
        self.hints.move_to_end(flow)
        return owner

    def keeps_flows(self, owner: Host) -> bool:
        """Return whether a host still owns the flows that it owned."""
        return self.is_usable(owner)

    def on_hint(self, event: PeerMessageArrived) -> list[Effect]:
        """Cache a flow's owner; evict the least recently used entry beyond the limit."""
        self.hints[event.message.flow] = event.message.owner_id
        self.hints.move_to_end(event.message.flow)
        if len(self.hints) > self.maximum_hints:
            self.hints.popitem(last=False)
        return [Count("hints")]

    def on_topology(self, now: float) -> list[Effect]:
        """Keep the cache: each entry is checked when it is used."""
        return []

    def on_pause_ended(self, now: float) -> list[Effect]:
        """Clear the cache: owners may have changed during the pause."""
        self.hints.clear()
        return []

    def advance(self, now: float) -> list[Effect]:
        """Return no effects: a balancer has no periodic work of its own."""
        return []
