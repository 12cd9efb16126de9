"""Reducer of a balancer whose flows are byte streams and whose agents come from the store."""

from typing import Any

from heatheryoke.core.effects import AnswerCaller, Count, Effect, LogFlow, SendForward
from heatheryoke.core.events import CallerPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.forwarder import Forwarder
from heatheryoke.core.linked_node import LinkedNode
from heatheryoke.core.messages import Forward
from heatheryoke.core.streams import StreamCodec, StreamHeader
from heatheryoke.inventory.model import Address, Host, Service

__all__ = ["StreamBalancer"]

# Cached flow owners: 3 MB at about 150 bytes each.
MAXIMUM_HINTS = 20_000
# The router removes a balancer after two failed probes, 0.5 s apart; the rest is a margin for the
# second probe.
STOP_LINGER_S = 1.4
# After this time without a packet, none is on its way here.
STOP_QUIET_S = 0.5
# Bit that places a balancer's rank above that of every agent.
BALANCER_RANK = 1 << 32
# Within the platform's grace period after SIGTERM (6 s).
STOP_LIMIT_S = 4.0


class StreamBalancer(Forwarder, LinkedNode):
    """Forwards each packet to its flow's owner if that is cached, else to one of the homes."""

    def __init__(self, host_name: str, incarnation: int, codec: StreamCodec, **options: Any):
        super().__init__(host_name, incarnation, maximum_hints=MAXIMUM_HINTS, **options)
        self.codec = codec
        self.last_packet = 0.0

    def on_caller_packet(self, event: CallerPacket) -> list[Effect]:
        """Forward a caller's packet towards its flow's owner; reset a new flow without a route."""
        self.last_packet = event.now
        if self.is_muted():
            return [Count("dropped_no_view")]
        head = self.codec.read_header(event.payload)
        service = self.topology.service_of(event.flow)
        if service is None:
            return self.refuse(event.flow) if head.opens else [Count("dropped_no_route")]
        host = self.choose_host(event.flow, head)
        if host is None:
            return [Count("dropped_no_host")]
        if head.opens:
            return [SendForward(host.address, self.forward_opening(event, service))]
        return [SendForward(host.address, self.forward(event, service, head.kind))]

    def choose_host(self, flow: FlowKey, head: StreamHeader) -> Host | None:
        """Return the cached owner, else a home; copies of a first packet alternate between them.

        While both homes are out of reach, another host takes their place.
        """
        owner = None if head.opens else self.cached_owner(flow)
        if owner is not None:
            return owner
        homes = self.topology.homes(flow)
        usable = [home for home in homes if self.is_usable(home)]
        if not usable:
            return self.choose_substitute(flow) or (homes[0] if homes else None)
        return usable[head.acknowledged % len(usable)] if head.opens else usable[0]

    def choose_substitute(self, flow: FlowKey) -> Host | None:
        """Return the first host by rank that is within reach, None if there is none."""
        ranked = self.topology.ranked_hosts(flow)
        return next((host for host in ranked if self.is_usable(host)), None)

    def resend_opening(self, message: Forward, now: float) -> list[Effect]:
        """Send a first packet to another home, or to a host that takes the homes' place.

        Its service is selected anew, since the configuration may have changed meanwhile.
        """
        service = self.topology.service_of(message.flow)
        if service is None:
            return [Count("dropped_no_route")]
        head = self.codec.read_header(message.payload)
        host = self.choose_host(message.flow, head)
        if host is None:
            return [Count("dropped_no_host")]
        return [SendForward(host.address, self.forward_opening(message, service))]

    def forward_opening(self, packet: CallerPacket | Forward, service: Service) -> Forward:
        """Return the message that carries a first packet by the configuration in force."""
        return self.forward(packet, service, PacketKind.OPENS)._replace(service_epoch=self.epoch)

    @property
    def peer_address(self) -> Address:
        """The address at which this process receives messages from others."""
        return self.address

    def keeps_flows(self, owner: Host) -> bool:
        """Return whether a host is in the view; one out of reach keeps its flows."""
        return owner.name in self.topology.hosts

    def is_ready(self) -> bool:
        """Return whether callers' packets may be sent to this process, which reaches an agent."""
        return super().is_ready() and not self.is_isolated()

    def refuse(self, flow: FlowKey) -> list[Effect]:
        """Reset a flow whose address has no route."""
        facts = (("reason", "no route"), *self.decision_facts(self.last_event))
        return [
            Count("flows_refused"),
            LogFlow(flow, "refused", facts),
            AnswerCaller(flow, self.codec.reset(flow, 0)),
        ]

    @property
    def rank(self) -> int:
        """Rank after every agent: agents know every other process, balancers only the agents."""
        return super().rank | BALANCER_RANK

    def is_idle(self, now: float) -> bool:
        """Return whether the router has stopped sending callers' packets here."""
        stopping_s = now - self.stopping_since
        if stopping_s > STOP_LIMIT_S:
            return True
        return stopping_s > STOP_LINGER_S and now - self.last_packet > STOP_QUIET_S
