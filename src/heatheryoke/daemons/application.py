"""Daemons that feed events to a reducer on an event loop and execute its effects."""

import asyncio
import os
import secrets
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import reactivex
from loguru import logger
from reactivex.subject import Subject

from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
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
    CallerPacket,
    ConfigurationOffered,
    Event,
    FlowBound,
    ForwardArrived,
    PeerMessageArrived,
    PlatformUnavailable,
    StopRequested,
    Tick,
    UpstreamGone,
    UpstreamPacket,
)
from heatheryoke.core.flows import FlowKey, PacketKind, flow_tuple
from heatheryoke.core.node import TICK_S, Node
from heatheryoke.daemons.datagrams import RECEIVE_BUFFER_BYTES, Datagram, DatagramSocket
from heatheryoke.daemons.metrics import Metrics
from heatheryoke.daemons.platform_client import PlatformClient
from heatheryoke.daemons.settings import Settings
from heatheryoke.daemons.status import StatusServer
from heatheryoke.inventory.model import Address, Document, Protocol
from heatheryoke.wire.coap import CoapCodec
from heatheryoke.wire.control import decode_control, encode_control
from heatheryoke.wire.envelope import BadEnvelope, EnvelopeCodec, EnvelopeKind
from heatheryoke.wire.forward import decode_forward, encode_forward
from heatheryoke.wire.proxy_header import encode_proxy_header, split_proxy_header

__all__ = ["AgentApplication", "Application", "BalancerApplication"]

EXIT_SECOND_SIGNAL = 3
FAULT_COUNTER = "faults"


class Application(ABC):
    """Base class of the daemons: runs a reducer on the current event loop.

    Owns the reducer's sockets and clients from `start` to `close`. Batches of events are published
    on three subjects (packets, timers and configurations), which are merged into one stream.
    """

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic):
        self.settings = settings
        self.clock = clock
        self.incarnation = time.time_ns()
        self.node = self.make_node()
        self.metrics = Metrics(self.node)
        self.envelopes = EnvelopeCodec(settings.shared_key, secrets.randbits(64))
        self.packets: Subject[list[Event]] = Subject()
        self.timers: Subject[list[Event]] = Subject()
        self.configurations: Subject[list[Event]] = Subject()
        self.control: DatagramSocket | None = None
        self.status = StatusServer(self.node, self.metrics, clock)
        self.platform = PlatformClient(
            settings.platform_url,
            self.on_document,
            self.on_platform_unavailable,
            lambda: self.node.epoch,
            self.node.is_platform_watcher,
        )
        self.stopped = asyncio.Event()
        self.ticker: asyncio.TimerHandle | None = None
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            SendForward: self.send_forward,
            SendPeer: self.send_peer,
            FetchConfiguration: self.fetch_configuration,
            DiscardQueued: self.discard_queued,
            Count: self.count,
            Measure: self.measure,
            LogChange: self.log_change,
            Fault: self.report_fault,
            Stopped: self.set_stopped,
        }

    @abstractmethod
    def make_node(self) -> Node:
        """Return the reducer for this role."""

    def ports(self) -> list[DatagramSocket]:
        """Return the open sockets."""
        return [self.control] if self.control else []

    # Life cycle

    async def start(self) -> None:
        """Open the sockets and start the clients; raise `OSError` if an address cannot be bound."""
        loop = asyncio.get_running_loop()
        merged = reactivex.merge(self.packets, self.timers, self.configurations)
        merged.subscribe(self.step)
        self.control = DatagramSocket(
            loop,
            self.settings.address,
            self.on_datagrams,
            on_failed=self.on_send_failed,
            buffer_bytes=RECEIVE_BUFFER_BYTES,
        )
        await self.status.start(self.settings.status_address)
        self.platform.start()
        self.tick()
        logger.info("{} started", self.settings.name)

    def on_send_failed(self) -> None:
        """Count a datagram that could not be sent."""
        self.metrics.count("sends_failed", 1)

    def request_stop(self) -> None:
        """Start a graceful stop; `stopped` is set when it is complete."""
        self.timers.on_next([StopRequested(self.clock())])

    async def close(self) -> None:
        """Close all sockets and clients immediately."""
        if self.ticker is not None:
            self.ticker.cancel()
        await self.platform.close()
        await self.status.close()
        for port in self.ports():
            port.close()
        for subject in (self.packets, self.timers, self.configurations):
            subject.on_completed()
        logger.info("{} stopped", self.settings.name)

    async def run(self) -> int:
        """Run until stopped by a signal; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.on_signal)
        await self.start()
        await self.stopped.wait()
        await self.close()
        return 0

    def on_signal(self) -> None:
        """Stop gracefully on the first signal; exit immediately on the second."""
        if self.node.stopping_since is not None:
            logger.warning(
                "{}: second signal while stopping; exiting immediately", self.settings.name
            )
            os._exit(EXIT_SECOND_SIGNAL)
        self.request_stop()

    # Events in

    def step(self, events: list[Event]) -> None:
        """Reduce events and execute their effects; an exception abandons its event or effect."""
        for event in events:
            try:
                effects = self.node.reduce(event)
            except Exception as error:
                self.report_fault(Fault(type(event).__name__, error))
                continue
            for effect in effects:
                try:
                    self.effect_handlers[type(effect)](effect)
                except Exception as error:
                    self.report_fault(Fault(type(effect).__name__, error))

    def report_fault(self, fault: Fault) -> None:
        """Count and log an unexpected exception."""
        self.metrics.count(FAULT_COUNTER, 1)
        logger.opt(exception=fault.error).error(
            "{}: unhandled exception while processing {}", self.settings.name, fault.kind
        )

    def tick(self) -> None:
        """Publish a tick and schedule the next one."""
        self.ticker = asyncio.get_running_loop().call_later(TICK_S, self.tick)
        self.timers.on_next([Tick(self.clock())])

    def on_document(self, document: Document) -> None:
        """Publish a document that the platform has returned."""
        self.configurations.on_next([ConfigurationOffered(self.clock(), document)])

    def on_platform_unavailable(self) -> None:
        """Publish a failed read of the platform."""
        self.configurations.on_next([PlatformUnavailable(self.clock())])

    def on_datagrams(self, batch: list[Datagram]) -> None:
        """Publish the events in datagrams from other processes."""
        now = self.clock()
        events: list[Event] = []
        for data, sender in batch:
            try:
                event = self.read_datagram(data, sender, now)
            except Exception as error:
                self.report_fault(Fault("datagram", error))
                continue
            if event is not None:
                events.append(event)
        self.packets.on_next(events)

    def read_datagram(self, data: bytes, sender: Address, now: float) -> Event | None:
        """Return the event in a datagram; count an invalid datagram and return None."""
        envelope = self.envelopes.open(data)
        if isinstance(envelope, BadEnvelope):
            self.metrics.count(f"bad_datagrams_{envelope.value}", 1)
            return None
        is_forward = envelope.kind is EnvelopeKind.FORWARD
        message = decode_forward(envelope.body) if is_forward else decode_control(envelope.body)
        if message is None:
            self.metrics.count("bad_datagrams_malformed", 1)
            return None
        event_type = ForwardArrived if is_forward else PeerMessageArrived
        return event_type(now, sender, envelope.epoch, message)

    # Effects out

    def send_forward(self, effect: SendForward) -> None:
        """Forward a caller's packet to another process."""
        body = encode_forward(effect.message)
        self.control.send(
            self.envelopes.seal(EnvelopeKind.FORWARD, self.node.epoch, body), effect.to
        )

    def send_peer(self, effect: SendPeer) -> None:
        """Send a control message to another process."""
        body = encode_control(effect.message)
        data = self.envelopes.seal(EnvelopeKind.CONTROL, self.node.epoch, body)
        self.metrics.count("control_bytes_sent", len(data))
        self.control.send(data, effect.to)

    def fetch_configuration(self, effect: FetchConfiguration) -> None:
        """Request the configuration from the platform."""
        self.platform.start_read()

    def discard_queued(self, effect: DiscardQueued) -> None:
        """Drop the datagrams queued in every socket."""
        for port in self.ports():
            self.metrics.count("dropped_after_pause", port.discard_queued())

    def count(self, effect: Count) -> None:
        """Increase the counter of an event."""
        self.metrics.count(effect.name, effect.amount)

    def measure(self, effect: Measure) -> None:
        """Record a value in a histogram."""
        self.metrics.measure(*effect)

    def log_change(self, effect: LogChange) -> None:
        """Log a change of state."""
        logger.info("{}: {} {} ({})", self.settings.name, *effect)

    def set_stopped(self, effect: Stopped) -> None:
        """Set `stopped`, so that `run` returns."""
        self.stopped.set()


class BalancerApplication(Application):
    """The balancer daemon."""

    fabric: DatagramSocket | None = None

    def make_node(self) -> Balancer:
        """Return the balancer's reducer."""
        settings = self.settings
        return Balancer(settings.name, self.incarnation, settings.address, seeds=settings.peers)

    def ports(self) -> list[DatagramSocket]:
        """Return the open sockets."""
        return super().ports() + ([self.fabric] if self.fabric else [])

    async def start(self) -> None:
        """Open the socket for datagrams from the fabric as well."""
        await super().start()
        self.fabric = DatagramSocket(
            asyncio.get_running_loop(),
            self.settings.fabric_listen,
            self.on_fabric_datagrams,
            on_failed=self.on_send_failed,
            buffer_bytes=RECEIVE_BUFFER_BYTES,
        )

    def on_fabric_datagrams(self, batch: list[Datagram]) -> None:
        """Publish callers' packets in datagrams from the fabric."""
        now = self.clock()
        events: list[Event] = []
        for data, _ in batch:
            split = split_proxy_header(data)
            if split is None:
                self.metrics.count("bad_datagrams_proxy_header", 1)
                continue
            events.append(CallerPacket(now, split[0], PacketKind.EITHER, split[1]))
        self.packets.on_next(events)


class AgentApplication(Application):
    """The agent daemon, with one local port for each flow that it owns."""

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic):
        super().__init__(settings, clock)
        self.flow_ports: dict[FlowKey, DatagramSocket] = {}
        self.egress: DatagramSocket | None = None
        self.effect_handlers |= {
            BindFlow: self.bind_flow,
            Deliver: self.deliver,
            AnswerCaller: self.answer_caller,
            CloseFlow: self.close_flow,
        }

    def make_node(self) -> Agent:
        """Return the agent's reducer."""
        settings = self.settings
        first_start = settings.first_start_until
        return Agent(
            settings.name,
            self.incarnation,
            self.clock(),
            {Protocol.COAP: CoapCodec},
            settings.peers,
            unix_offset_s=time.time() - self.clock(),
            first_start=first_start is not None and first_start.timestamp() > time.time(),
        )

    def ports(self) -> list[DatagramSocket]:
        """Return the open sockets."""
        egress = [self.egress] if self.egress else []
        return [*super().ports(), *egress, *self.flow_ports.values()]

    async def start(self) -> None:
        """Open the socket for answers to callers as well."""
        self.egress = DatagramSocket(
            asyncio.get_running_loop(),
            Address(self.settings.address.ip, 0),
            lambda batch: None,
            on_failed=self.on_send_failed,
        )
        await super().start()

    def bind_flow(self, effect: BindFlow) -> None:
        """Bind a flow's local port, or any free port if that one is in use."""
        for port in (effect.local_port, 0):
            try:
                bound = self.open_flow_port(effect, port)
            except OSError:
                self.metrics.count("local_ports_taken", 1)
                continue
            self.flow_ports[effect.flow] = bound
            self.packets.on_next([FlowBound(self.clock(), effect.flow, bound.address.port)])
            return

    def open_flow_port(self, effect: BindFlow, port: int) -> DatagramSocket:
        """Open a flow's socket and connect it to the upstream."""
        flow = effect.flow
        return DatagramSocket(
            asyncio.get_running_loop(),
            Address(self.settings.upstream_bind, port),
            lambda batch: self.on_upstream_datagrams(flow, batch),
            connect=effect.upstream,
            on_refused=lambda: self.packets.on_next([UpstreamGone(self.clock(), flow)]),
            on_failed=self.on_send_failed,
        )

    def on_upstream_datagrams(self, flow: FlowKey, batch: list[Datagram]) -> None:
        """Publish the upstream's datagrams to a flow's port."""
        now = self.clock()
        self.packets.on_next([UpstreamPacket(now, flow, data) for data, _ in batch])

    def deliver(self, effect: Deliver) -> None:
        """Send a datagram to the upstream."""
        port = self.flow_ports.get(effect.flow)
        if port is not None:
            port.send(effect.payload)

    def answer_caller(self, effect: AnswerCaller) -> None:
        """Send an answer to a caller through the fabric."""
        data = encode_proxy_header(flow_tuple(effect.flow), effect.payload)
        self.egress.send(data, self.settings.fabric_egress)

    def close_flow(self, effect: CloseFlow) -> None:
        """Close a flow's local port."""
        port = self.flow_ports.pop(effect.flow, None)
        if port is not None:
            port.close()
