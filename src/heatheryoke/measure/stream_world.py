"""Byte streams in virtual time: the reducers of balancers and agents between callers and upstreams.

Packets cross a network that can be cut between failure domains, one way or both. Callers reach
the balancers of their own domain whatever is cut.
"""

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, NamedTuple

from heatheryoke.core.effects import (
    AnswerCaller,
    Deliver,
    Fault,
    ScheduleTick,
    SendForward,
    SendPeer,
)
from heatheryoke.core.events import (
    CallerPacket,
    ForwardArrived,
    PeerMessageArrived,
    StoreRead,
    Tick,
)
from heatheryoke.core.flows import UDP, FlowKey, FlowTuple, PacketKind, flow_key
from heatheryoke.core.messages import Forward
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, Share
from heatheryoke.core.store_node import StoreNode
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.core.streams import SEQUENCE_MODULUS
from heatheryoke.inventory.model import Address
from heatheryoke.measure.network import Network
from heatheryoke.measure.process_model import raise_fault
from heatheryoke.measure.scheduler import Scheduler
from heatheryoke.measure.store_model import StoreModel
from heatheryoke.measure.stream_upstream_model import StreamUpstreamModel, UpstreamFault
from heatheryoke.platform.packets import ACK, SYN, PacketCodec
from heatheryoke.standins.stream_packets import build_packet

__all__ = ["Roles", "StreamOutcome", "StreamProcess", "StreamSite", "StreamWorld"]

PEER_PORT = 7_000
APP_PORT = 8_000
CALLER_DELAY_S = 0.003
TICK_S = 0.1
SERVICE = "live"
SERVICE_ADDRESS = Address("198.18.0.1", 443)
# When a caller sends its first packet, its copies, and gives up.
OPENING_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMIT_TIMES_S = (0.2, 0.6, 1.4, 3.0)


class StreamSite(NamedTuple):
    """The size and load of a deployment; `rate` is in new flows per second of all callers."""

    domains: tuple[str, ...] = ("a", "b", "c", "d")
    balancers_per_domain: int = 2
    upstreams_per_domain: int = 3
    slots: int = 3
    work_s: float = 0.04
    target_s: float = 0.2
    deadline_s: float = 2.0
    rate: float = 150.0
    tries: int = 3
    hop_s: float = 0.0014


class Roles(NamedTuple):
    """The reducers that are run."""

    balancer: type[StreamBalancer] = StreamBalancer
    agent: Callable[..., StreamAgent] = StreamAgent
    upstream: Callable[..., StreamUpstreamModel] = StreamUpstreamModel


class StreamOutcome(NamedTuple):
    """How a request ended; `latency_s` counts from its first try, and is infinite if unserved."""

    started: float
    domain: str
    latency_s: float
    tries: int


class StreamProcess:
    """A balancer or an agent: carries out the effects of its reducer in virtual time."""

    def __init__(self, world: "StreamWorld", address: Address, domain: str, node: StoreNode):
        self.world = world
        self.address = address
        self.domain = domain
        self.node = node
        self.upstream = world.roles.upstream(world, self)
        self.is_up = True
        self.sent: Counter[str] = Counter()
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            SendForward: self.send,
            SendPeer: self.send,
            Fault: raise_fault,
            Deliver: lambda effect: self.upstream.on_packet(effect.flow, effect.payload),
            AnswerCaller: lambda effect: world.answer_caller(effect.flow, effect.payload, self),
            ScheduleTick: lambda effect: world.scheduler.after(effect.delay_s, self.tick_early),
        }

    def step(self, event: Any) -> None:
        """Reduce an event and carry out its effects."""
        if not self.is_up:
            return
        for effect in self.node.reduce(event):
            handler = self.effect_handlers.get(type(effect))
            if handler is not None:
                handler(effect)

    def tick(self) -> None:
        """Process a tick and schedule the next."""
        self.step(Tick(self.world.now))
        self.world.scheduler.after(TICK_S, self.tick)

    def tick_early(self) -> None:
        """Process a tick between the regular ones."""
        self.step(Tick(self.world.now))

    def send(self, effect: SendForward | SendPeer) -> None:
        """Send a message to another process."""
        target = self.world.processes[effect.to]
        self.sent[type(effect.message).__name__] += 1
        epoch = self.node.epoch_of(effect.message)
        self.world.network.send(
            self.address.ip, target.address.ip, lambda: target.receive(self, epoch, effect.message)
        )

    def receive(self, sender: "StreamProcess", epoch: int, message: Any) -> None:
        """Handle a message that another process has sent under a version."""
        event_type = ForwardArrived if isinstance(message, Forward) else PeerMessageArrived
        self.step(event_type(self.world.now, sender.address, epoch, message))


class StreamRequest:
    """A request of a caller, which opens a new flow for each try."""

    def __init__(self, world: "StreamWorld", domain: str):
        self.world = world
        self.domain = domain
        self.started = world.now
        self.tries = 0
        self.flow: FlowKey = b""
        self.is_open = False
        self.is_over = False
        self.sequence = 0

    def open(self) -> None:
        """Open a flow: the first packet and its copies go to the same balancer."""
        world = self.world
        self.tries += 1
        self.is_open = False
        self.flow = world.next_flow()
        world.requests[self.flow] = self
        self.balancer = world.random.choice(world.balancers[self.domain])
        for copy, delay_s in enumerate(OPENING_TIMES_S):
            world.scheduler.after(delay_s, lambda f=self.flow, n=copy: self.send_opening(f, n))
        world.scheduler.after(OPENING_TIMEOUT_S, lambda f=self.flow: self.fail_opening(f))

    def send_opening(self, flow: FlowKey, copy: int) -> None:
        """Send a copy of the first packet unless the flow is open or given up."""
        if flow == self.flow and not self.is_open and not self.is_over:
            self.send(build_packet(flow, SYN, 1, copy))

    def fail_opening(self, flow: FlowKey) -> None:
        """Try again if the flow has not opened."""
        if flow == self.flow and not self.is_open:
            self.retry()

    def send(self, packet: bytes) -> None:
        """Send a packet to the caller's balancer."""
        flow, balancer, world = self.flow, self.balancer, self.world
        world.scheduler.after(
            CALLER_DELAY_S,
            lambda: balancer.step(CallerPacket(world.now, flow, PacketKind.EITHER, packet)),
        )

    def on_packet(self, packet: bytes) -> None:
        """Handle a packet from the system."""
        head = self.world.codec.read_header(packet)
        if self.is_over:
            return
        if head.resets:
            self.retry()
        elif head.accepts and not self.is_open:
            self.is_open = True
            self.sequence = (head.sequence + 1) % SEQUENCE_MODULUS
            self.send_request(self.flow)
            for delay_s in RETRANSMIT_TIMES_S:
                self.world.scheduler.after(delay_s, lambda f=self.flow: self.send_request(f))
        elif head.length:
            self.end(self.world.now - self.started)

    def send_request(self, flow: FlowKey) -> None:
        """Send the request's data unless it has been answered."""
        if flow == self.flow and self.is_open and not self.is_over:
            self.send(build_packet(flow, ACK, 2, self.sequence, b"request"))

    def retry(self) -> None:
        """Open another flow, if there are tries left."""
        if self.tries < self.world.site.tries and not self.is_over:
            self.open()

    def end(self, latency_s: float) -> None:
        """Record the outcome."""
        if not self.is_over:
            self.is_over = True
            world = self.world
            world.outcomes.append(StreamOutcome(self.started, self.domain, latency_s, self.tries))


class StreamWorld:
    """A deployment in virtual time; cuts, kills and load are scheduled by the caller."""

    process_type = StreamProcess

    def __init__(self, site: StreamSite, seed: int, roles: Roles = Roles()):
        self.site = site
        self.roles = roles
        self.scheduler = Scheduler()
        self.random = Random(seed)
        self.codec = PacketCodec()
        self.processes: dict[Address, StreamProcess] = {}
        self.balancers: dict[str, list[StreamProcess]] = {name: [] for name in site.domains}
        self.agents: list[StreamProcess] = []
        self.requests: dict[FlowKey, StreamRequest] = {}
        self.outcomes: list[StreamOutcome] = []
        self.flow_count = 0
        domains: dict[str, str] = {}
        self.network = Network(self.scheduler, seed, domains, site.hop_s)
        for index, domain in enumerate(site.domains):
            for number in range(site.upstreams_per_domain):
                self.add_agent(Address(f"10.1.{index}.{number}", PEER_PORT), domain)
            for number in range(site.balancers_per_domain):
                self.add_balancer(Address(f"10.2.{index}.{number}", PEER_PORT), domain)
        self.store = StoreModel(self)
        domains |= {process.address.ip: process.domain for process in self.processes.values()}
        for process in self.processes.values():
            process.step(StoreRead(0.0, self.store_items(), self.store.position))
            self.scheduler.after(TICK_S * self.random.random(), process.tick)

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self.scheduler.now

    def agent_node(self, address: Address, domain: str, incarnation: int = 1) -> StreamAgent:
        """Return the reducer of an agent; from its second incarnation on, its upstream has run."""
        return self.roles.agent(
            address.ip,
            incarnation,
            self.now,
            self.codec,
            SERVICE,
            Address(address.ip, APP_PORT),
            first_start=incarnation == 1,
            failure_domain=domain,
            peer_port=PEER_PORT,
        )

    def balancer_node(self, address: Address, domain: str, incarnation: int = 1) -> StreamBalancer:
        """Return the reducer of a balancer."""
        return self.roles.balancer(
            address.ip,
            incarnation,
            self.codec,
            address=address,
            failure_domain=domain,
            peer_port=PEER_PORT,
        )

    def add_agent(self, address: Address, domain: str) -> None:
        """Add an agent and its upstream."""
        node = self.agent_node(address, domain)
        self.processes[address] = self.process_type(self, address, domain, node)
        self.agents.append(self.processes[address])

    def add_balancer(self, address: Address, domain: str) -> None:
        """Add a balancer."""
        node = self.balancer_node(address, domain)
        self.processes[address] = self.process_type(self, address, domain, node)
        self.balancers[domain].append(self.processes[address])

    def store_items(self) -> tuple[StoreItem, ...]:
        """Return the store's content: one route, one service, and every upstream."""
        site = self.site
        shares = (Share(SERVICE, 1.0),)
        route = Route("r", SERVICE_ADDRESS, shares, False, site.target_s, site.deadline_s, 1)
        services = (ServiceRecord(SERVICE, 2_000, 0.0, 0.0),)
        configuration = ConfigurationRecord(1, (route,), services, 15.0)
        items = [StoreItem(Subject.CONFIGURATION, "", Position(1, 1), True, configuration)]
        for number, agent in enumerate(self.agents):
            app = Address(agent.address.ip, APP_PORT)
            record = EndpointRecord(SERVICE, app, agent.domain, site.slots, False, 0.0, 1)
            position = Position(1, 2 + number)
            items.append(StoreItem(Subject.ENDPOINT, f"i-{number}", position, True, record))
        return tuple(items)

    def next_flow(self) -> FlowKey:
        """Return the key of a new flow."""
        self.flow_count += 1
        high, port = divmod(self.flow_count, 60_000)
        caller = Address(f"100.64.0.{high + 1}", 1_024 + port)
        return flow_key(FlowTuple(UDP, caller, SERVICE_ADDRESS))

    def answer_caller(self, flow: FlowKey, packet: bytes, sender: StreamProcess) -> None:
        """Send a packet from a process to a flow's caller."""
        request = self.requests.get(flow)
        if request is not None and request.flow == flow:
            self.scheduler.after(CALLER_DELAY_S, lambda: request.on_packet(packet))

    def cut(self, source: str, target: str, both_ways: bool = True) -> None:
        """Cut the way from one failure domain to another, and back unless it is one way."""
        self.network.cut(source, target)
        if both_ways:
            self.network.cut(target, source)

    def cut_off(self, domain: str) -> None:
        """Cut a failure domain off from all others."""
        for other in self.site.domains:
            if other != domain:
                self.cut(domain, other)

    def set_fault(self, fault: UpstreamFault, every: int = 7) -> None:
        """Give every n-th upstream a fault, or end it."""
        for agent in self.agents[::every]:
            agent.upstream.fault = fault

    def offer_load(self, until: float) -> None:
        """Start requests at the site's rate until a time."""
        if self.now >= until:
            return
        request = StreamRequest(self, self.random.choice(self.site.domains))
        request.open()
        self.scheduler.after(self.site.deadline_s, lambda: request.end(inf))
        pause_s = self.random.expovariate(self.site.rate)
        self.scheduler.after(pause_s, lambda: self.offer_load(until))

    def run_until(self, end: float) -> None:
        """Advance the virtual time."""
        self.scheduler.run_until(end)

    def runs(self) -> Counter[FlowKey]:
        """Return how often each flow's request was run, over all upstreams."""
        return sum((agent.upstream.runs for agent in self.agents), Counter())

    def served_share(self, start: float, end: float, domains: tuple[str, ...] = ()) -> float:
        """Return the share of requests started in a time span that met the latency target."""
        chosen = [
            outcome
            for outcome in self.outcomes
            if start <= outcome.started < end and (not domains or outcome.domain in domains)
        ]
        return sum(row.latency_s <= self.site.target_s for row in chosen) / max(1, len(chosen))
