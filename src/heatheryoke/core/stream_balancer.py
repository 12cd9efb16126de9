"""The balancer's reducer where flows are byte streams and the store names the agents."""

from typing import Any

from heatheryoke.core.effects import AnswerCaller, Count, Effect, LogFlow, SendForward
from heatheryoke.core.events import CallerPacket
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.forwarder import Forwarder
from heatheryoke.core.store_node import StoreNode
from heatheryoke.core.streams import StreamCodec, StreamHead
from heatheryoke.inventory.model import Host

__all__ = ["StreamBalancer"]

# Owners remembered: at about 150 bytes each, 3 MB.
MAXIMUM_HINTS = 20_000
# The router takes a balancer out after two missed probes, 0.5 s apart; a margin for the second.
STOP_LINGER_S = 1.4
# No packet for so long means that none is on its way here.
STOP_QUIET_S = 0.5
# Above the rank of every agent.
BALANCER_RANK = 1 << 32
# Within the platform's grace after SIGTERM (6 s).
STOP_LIMIT_S = 4.0


class StreamBalancer(Forwarder, StoreNode):
    """Sends each packet to its flow's owner if that is known, else to one of the flow's homes."""

    def __init__(self, host_name: str, incarnation: int, codec: StreamCodec, **options: Any):
        super().__init__(host_name, incarnation, maximum_hints=MAXIMUM_HINTS, **options)
        self.codec = codec
        self.last_packet = 0.0

    def on_caller_packet(self, event: CallerPacket) -> list[Effect]:
        """Send a caller's packet towards its owner; refuse a flow that no route allows."""
        self.last_packet = event.now
        if self.is_muted():
            return [Count("dropped_no_view")]
        head = self.codec.read_head(event.payload)
        service = self.topology.service_of(event.flow)
        if service is None:
            return self.refuse(event.flow) if head.opens else [Count("dropped_no_route")]
        host = self.next_stop(event.flow, head)
        if host is None:
            return [Count("dropped_no_host")]
        return [SendForward(host.address, self.forward(event, service, head.kind))]

    def next_stop(self, flow: FlowKey, head: StreamHead) -> Host | None:
        """Return the cached owner, else a home; each copy of a first packet goes to the next."""
        owner = None if head.opens else self.hinted(flow)
        if owner is not None:
            return owner
        homes = [home for home in self.topology.homes(flow) if self.is_usable(home)]
        if not homes:
            return None
        return homes[head.acknowledged % len(homes)] if head.opens else homes[0]

    def refuse(self, flow: FlowKey) -> list[Effect]:
        """Reset a flow whose address has no route."""
        facts = (("reason", "no route"), ("configuration", self.epoch))
        return [
            Count("flows_refused"),
            LogFlow(flow, "refused", facts),
            AnswerCaller(flow, self.codec.reset(flow, 0)),
        ]

    @property
    def rank(self) -> int:
        """Any agent goes first: agents know every other process, balancers only the agents."""
        return super().rank | BALANCER_RANK

    def is_idle(self, now: float) -> bool:
        """Tell whether callers' packets go elsewhere by now."""
        stopping_s = now - self.stopping_since
        if stopping_s > STOP_LIMIT_S:
            return True
        return stopping_s > STOP_LINGER_S and now - self.last_packet > STOP_QUIET_S
