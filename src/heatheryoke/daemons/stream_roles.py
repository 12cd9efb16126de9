"""The two roles on byte streams: a balancer's process and an agent's."""

import asyncio
import time
from pathlib import Path
from typing import Any

from heatheryoke.core.effects import Deliver
from heatheryoke.core.events import CallerPacket, UpstreamPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_application import StreamApplication
from heatheryoke.daemons.stream_settings import StreamSettings, read_stream_settings
from heatheryoke.inventory.model import Address, Role
from heatheryoke.platform.packets import Side

__all__ = ["STREAM_APPLICATIONS", "StreamAgentApplication", "StreamBalancerApplication", "run_role"]


class StreamBalancerApplication(StreamApplication):
    """A balancer's process."""

    role = Role.BALANCER
    side = Side.CALLER

    def make_node(self) -> StreamBalancer:
        """Return a balancer's reducer."""
        return StreamBalancer(
            self.settings.name,
            time.time_ns(),
            self.codec,
            address=self.peer_address,
            peer_port=self.peer_address.port,
        )

    def outer_address(self) -> Address:
        """Return where callers' packets arrive."""
        return self.settings.callers

    def packet_event(self, now: float, flow: FlowKey, packet: bytes) -> CallerPacket:
        """Return the event of a caller's packet."""
        return CallerPacket(now, flow, PacketKind.EITHER, packet)

    def use_settings(self, settings: StreamSettings) -> None:
        """Do nothing: no setting of a balancer may change while it runs."""


class StreamAgentApplication(StreamApplication):
    """An agent's process."""

    role = Role.AGENT
    side = Side.UPSTREAM

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.effect_handlers[Deliver] = self.deliver

    def make_node(self) -> StreamAgent:
        """Return an agent's reducer."""
        settings = self.settings
        return StreamAgent(
            settings.ip,
            time.time_ns(),
            self.clock(),
            self.codec,
            settings.service,
            settings.upstream,
            first_start=settings.first_start,
            flow_lifetime_s=settings.flow_lifetime_s,
            peer_port=self.peer_address.port,
        )

    def outer_address(self) -> Address:
        """Return where the upstream's packets arrive."""
        return self.settings.answers

    def packet_event(self, now: float, flow: FlowKey, packet: bytes) -> UpstreamPacket:
        """Return the event of a packet that the upstream has sent, or has returned."""
        return UpstreamPacket(now, flow, packet)

    def deliver(self, effect: Deliver) -> None:
        """Hand a packet to the upstream."""
        self.outer.send(effect.payload, self.settings.upstream)

    def use_settings(self, settings: StreamSettings) -> None:
        """Tell the reducer which service its upstream is of."""
        self.node.service = settings.service
        self.node.upstream = settings.upstream


STREAM_APPLICATIONS: dict[Role, type[StreamApplication]] = {
    Role.BALANCER: StreamBalancerApplication,
    Role.AGENT: StreamAgentApplication,
}


def run_role(role: Role, path: Path) -> int | None:
    """Run a role until it is stopped; return the exit code, None if its settings are unusable."""
    settings, problems = read_stream_settings(path, role)
    log = JsonLog(settings.name if settings else role.value)
    if settings is None:
        log.write("settings refused", problems=[str(problem) for problem in problems])
        return None
    return asyncio.run(_run(STREAM_APPLICATIONS[role], settings, path, log))


async def _run(
    kind: type[StreamApplication], settings: StreamSettings, path: Path, log: JsonLog
) -> int:
    return await kind(settings, path, log).run()
