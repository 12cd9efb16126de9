"""The byte-stream daemons: balancer and agent."""

import asyncio
import time
from pathlib import Path
from typing import Any

from heatheryoke.core.effects import Deliver, ProbeUpstream
from heatheryoke.core.events import CallerPacket, UpstreamDown, UpstreamPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.room_shares import RoomShares
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.core.upstream_monitor import TrafficMonitor, Unmonitored
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_application import StreamApplication
from heatheryoke.daemons.stream_settings import StreamSettings, read_stream_settings
from heatheryoke.inventory.model import Address, Role
from heatheryoke.platform.packets import Side
from heatheryoke.platform.process import requires_judgement

__all__ = ["STREAM_APPLICATIONS", "StreamAgentApplication", "StreamBalancerApplication", "run_role"]

# The upstream is on the same host, where a connection is refused in less than a millisecond.
PROBE_TIMEOUT_S = 0.5


class StreamBalancerApplication(StreamApplication):
    """The balancer daemon for byte streams."""

    role = Role.BALANCER
    side = Side.CALLER

    def make_node(self) -> StreamBalancer:
        """Return the balancer's reducer."""
        return StreamBalancer(
            self.settings.name,
            time.time_ns(),
            self.codec,
            address=self.peer_address,
            failure_domain=self.settings.failure_domain,
            peer_port=self.peer_address.port,
        )

    def packet_address(self) -> Address:
        """Return the address for packets from callers."""
        return self.settings.callers

    def packet_event(self, now: float, flow: FlowKey, packet: bytes) -> CallerPacket:
        """Return the event for a caller's packet."""
        return CallerPacket(now, flow, PacketKind.EITHER, packet)

    def apply_settings(self, settings: StreamSettings) -> None:
        """Do nothing: a running balancer has no settings that may change."""


class StreamAgentApplication(StreamApplication):
    """The agent daemon for byte streams."""

    role = Role.AGENT
    side = Side.UPSTREAM

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.effect_handlers |= {Deliver: self.deliver, ProbeUpstream: self.start_probe}
        self.probe_task: asyncio.Task[None] | None = None

    def make_node(self) -> StreamAgent:
        """Return the agent's reducer."""
        settings = self.settings
        judges_upstream = requires_judgement(settings.contracts)
        return StreamAgent(
            settings.ip,
            time.time_ns(),
            self.clock(),
            self.codec,
            settings.service,
            settings.upstream,
            first_start=settings.first_start,
            flow_lifetime_s=settings.flow_lifetime_s,
            monitor=TrafficMonitor() if judges_upstream else Unmonitored(),
            shares=RoomShares() if judges_upstream else None,
            failure_domain=settings.failure_domain,
            peer_port=self.peer_address.port,
        )

    def packet_address(self) -> Address:
        """Return the address for packets from the upstream."""
        return self.settings.answers

    def packet_event(self, now: float, flow: FlowKey, packet: bytes) -> UpstreamPacket:
        """Return the event for a packet that the upstream has sent or returned."""
        return UpstreamPacket(now, flow, packet)

    def deliver(self, effect: Deliver) -> None:
        """Send a packet to the upstream."""
        self.packet_socket.send(effect.payload, self.settings.upstream)

    def start_probe(self, effect: ProbeUpstream) -> None:
        """Start to probe the upstream, unless a probe is in progress."""
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.get_running_loop().create_task(self.probe())

    async def probe(self) -> None:
        """Connect to the upstream; only a refused connection shows that it is not running."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self.settings.upstream)
        except ConnectionRefusedError:
            self.step(UpstreamDown(self.clock()))
        except (OSError, TimeoutError):
            self.record.add("probes_without_verdict")
        else:
            writer.close()

    def close(self) -> None:
        """Close all sockets and end all tasks immediately."""
        if self.probe_task is not None:
            self.probe_task.cancel()
        super().close()

    def apply_settings(self, settings: StreamSettings) -> None:
        """Apply the upstream's service and address to the reducer."""
        self.node.service = settings.service
        self.node.upstream = settings.upstream


STREAM_APPLICATIONS: dict[Role, type[StreamApplication]] = {
    Role.BALANCER: StreamBalancerApplication,
    Role.AGENT: StreamAgentApplication,
}


def run_role(role: Role, path: Path) -> int | None:
    """Run a role until it is stopped; return the exit code, or None if its settings are invalid."""
    settings, problems = read_stream_settings(path, role)
    log = JsonLog(settings.name if settings else role.value)
    if settings is None:
        log.write("settings refused", problems=[str(problem) for problem in problems])
        return None
    return asyncio.run(_run(STREAM_APPLICATIONS[role], settings, path, log))


async def _run(
    application_type: type[StreamApplication], settings: StreamSettings, path: Path, log: JsonLog
) -> int:
    return await application_type(settings, path, log).run()
