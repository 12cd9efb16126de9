"""A process in virtual time: a reducer, its local ports, its lifetime and its pauses."""

from collections.abc import Callable
from itertools import cycle
from typing import Any, Protocol

from heatheryoke.core.agent import Agent
from heatheryoke.core.effects import (
    AnswerCaller,
    BindFlow,
    CloseFlow,
    Count,
    Deliver,
    DiscardQueued,
    Fault,
    FetchConfiguration,
    LogChange,
    Measure,
    SendForward,
    SendPeer,
    Stopped,
)
from heatheryoke.core.events import (
    Event,
    FlowBound,
    ForwardArrived,
    PeerMessageArrived,
    Tick,
    UpstreamGone,
    UpstreamPacket,
)
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.messages import HOP_LIMIT
from heatheryoke.core.node import TICK_S, Node
from heatheryoke.inventory.model import Address
from heatheryoke.measure.scheduler import Scheduler
from heatheryoke.measure.upstream_model import UpstreamModel

__all__ = ["Environment", "ProcessModel", "raise_fault"]

UPSTREAM_GONE_S = 0.0002
FIRST_PORT = 20_000
LAST_PORT = 65_536


class Environment(Protocol):
    """The environment of a process, used to execute its effects."""

    def send_message(
        self, source: str, to: Address, make_event: Callable[[float, Address], Event]
    ) -> None:
        """Deliver a message to the process at an address."""

    def record_control(self, source: str, message: Any) -> None:
        """Account for a control message."""

    def answer_caller(self, source: str, flow: FlowKey, payload: bytes) -> None:
        """Deliver an answer to a caller."""

    def record_delivery(self, flow: FlowKey, host: str) -> None:
        """Record that a host's upstream receives a packet of a flow."""

    def read_platform(self, process: "ProcessModel") -> None:
        """Answer a process's read of the platform."""

    def upstream_of(self, host: str, address: Address) -> UpstreamModel | None:
        """Return the upstream at an address."""


def raise_fault(fault: Fault) -> None:
    """Raise the exception that a reducer has caught, since a model of it must have none."""
    raise fault.error


class ProcessModel:
    """Passes events to a reducer and executes its effects."""

    def __init__(
        self, name: str, address: Address, node: Node, scheduler: Scheduler, world: Environment
    ):
        self.name = name
        self.address = address
        self.node = node
        self.scheduler = scheduler
        self.world = world
        self.is_alive = True
        self.paused = False
        self.queued: list[Callable[[float], Event]] = []
        self.local_ports: dict[FlowKey, int] = {}
        self.flows_by_port: dict[int, FlowKey] = {}
        self.upstreams: dict[FlowKey, UpstreamModel] = {}
        self.counters: dict[str, int] = {}
        self.changes: list[tuple[float, LogChange]] = []
        self.hops: list[int] = []
        self.is_stopped = False
        self.ports = cycle(range(FIRST_PORT, LAST_PORT))
        self.handlers: dict[type, Callable[[Any], None]] = {
            SendForward: self.send_forward,
            SendPeer: self.send_peer,
            BindFlow: self.bind_flow,
            Deliver: self.deliver,
            CloseFlow: self.close_flow,
            Fault: raise_fault,
            AnswerCaller: self.answer_caller,
            FetchConfiguration: lambda effect: world.read_platform(self),
            DiscardQueued: lambda effect: self.queued.clear(),
            Count: self.count,
            Measure: lambda effect: None,
            LogChange: lambda effect: self.changes.append((scheduler.now, effect)),
            Stopped: self.set_stopped,
        }
        scheduler.after(0.0, self.tick)

    # Lifetime

    def kill(self) -> None:
        """End immediately and close every local port."""
        self.is_alive = False
        self.queued.clear()
        self.flows_by_port.clear()

    def pause(self, duration_s: float) -> None:
        """Stop processing for a time; events that arrive meanwhile are queued."""
        self.paused = True
        self.scheduler.after(duration_s, self.resume)

    def resume(self) -> None:
        """Continue with the queued events."""
        self.paused = False
        while self.queued and self.is_alive:
            make_event = self.queued.pop(0)
            self.step(make_event(self.scheduler.now))

    def tick(self) -> None:
        """Process a tick and schedule the next."""
        if not self.is_alive:
            return
        self.scheduler.after(TICK_S, self.tick)
        if not self.paused:
            self.step(Tick(self.scheduler.now))

    # Events

    def handle(self, make_event: Callable[[float], Event]) -> None:
        """Process an event now, or when the current pause ends."""
        if not self.is_alive:
            return
        if self.paused:
            self.queued.append(make_event)
        else:
            self.step(make_event(self.scheduler.now))

    def step(self, event: Event) -> None:
        """Reduce one event and execute its effects."""
        effects = self.node.reduce(event)
        if isinstance(event, ForwardArrived) and isinstance(self.node, Agent):
            self.record_hops(event)
        for effect in effects:
            self.handlers[type(effect)](effect)

    def record_hops(self, event: ForwardArrived) -> None:
        """Record the hops of a packet that has arrived at the owner of its flow."""
        if event.message.flow in self.node.flows.flows:
            self.hops.append(HOP_LIMIT - event.message.hops + 1)

    # Effects

    def send_forward(self, effect: SendForward) -> None:
        """Send a caller's packet to another process."""
        epoch = self.node.epoch
        self.world.send_message(
            self.name,
            effect.to,
            lambda now, sender: ForwardArrived(now, sender, epoch, effect.message),
        )

    def send_peer(self, effect: SendPeer) -> None:
        """Send a control message to another process."""
        epoch = self.node.epoch
        self.world.record_control(self.name, effect.message)
        self.world.send_message(
            self.name,
            effect.to,
            lambda now, sender: PeerMessageArrived(now, sender, epoch, effect.message),
        )

    def bind_flow(self, effect: BindFlow) -> None:
        """Bind a local port for a flow."""
        upstream = self.world.upstream_of(self.name, effect.upstream)
        requested_port = effect.local_port
        port = (
            requested_port
            if requested_port and requested_port not in self.flows_by_port
            else self.free_port()
        )
        self.local_ports[effect.flow] = port
        self.flows_by_port[port] = effect.flow
        self.upstreams[effect.flow] = upstream
        self.step(FlowBound(self.scheduler.now, effect.flow, port))

    def free_port(self) -> int:
        """Return a local port that no flow uses."""
        return next(port for port in self.ports if port not in self.flows_by_port)

    def deliver(self, effect: Deliver) -> None:
        """Send a datagram to the upstream."""
        upstream = self.upstreams.get(effect.flow)
        port = self.local_ports.get(effect.flow)
        if upstream is None or port is None:
            return
        self.world.record_delivery(effect.flow, self.name)
        if upstream.is_up:
            upstream.receive(port, effect.payload)
        else:
            self.scheduler.after(
                UPSTREAM_GONE_S, lambda: self.handle(lambda now: UpstreamGone(now, effect.flow))
            )

    def on_upstream_datagram(self, port: int, data: bytes) -> bool:
        """Process a datagram from the upstream; return False if the port is closed."""
        flow = self.flows_by_port.get(port)
        if flow is None or not self.is_alive:
            return False
        self.handle(lambda now: UpstreamPacket(now, flow, data))
        return True

    def close_flow(self, effect: CloseFlow) -> None:
        """Close a flow's local port."""
        port = self.local_ports.pop(effect.flow, None)
        self.flows_by_port.pop(port, None)
        self.upstreams.pop(effect.flow, None)

    def answer_caller(self, effect: AnswerCaller) -> None:
        """Deliver an answer to a caller."""
        self.world.answer_caller(self.name, effect.flow, effect.payload)

    def count(self, effect: Count) -> None:
        """Increase a counter."""
        self.counters[effect.name] = self.counters.get(effect.name, 0) + effect.amount

    def set_stopped(self, effect: Stopped) -> None:
        """Complete a graceful stop."""
        self.is_stopped = True
        self.kill()
