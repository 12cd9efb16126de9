"""A model of byte streams for the question who owns each flow, with planned work and delays.

Processes can be paused, so that they handle later what arrives meanwhile, and agents restarted
while their upstreams live. Upstreams drain and leave, and others are added. Each process gets the
store's changes at a moment of its own.
"""

from typing import Any, NamedTuple

from heatheryoke.core.effects import CloseFlow, DiscardQueued, LogChange, LogFlow, Stopped
from heatheryoke.core.events import StopRequested, StoreChanged, StoreRead, Tick
from heatheryoke.core.flows import FlowKey, describe_flow
from heatheryoke.core.messages import Yield
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, Share
from heatheryoke.inventory.model import Address
from heatheryoke.measure.flow_judge import FlowJudge
from heatheryoke.measure.kept_flows import FlowCaller, KeepingUpstream
from heatheryoke.measure.stream_scenarios import STREAM_POLICIES
from heatheryoke.measure.stream_world import (
    APP_PORT,
    CALLER_DELAY_S,
    PEER_PORT,
    SERVICE,
    SERVICE_ADDRESS,
    StreamProcess,
    StreamSite,
    StreamWorld,
)

__all__ = ["FlowLoad", "FlowProcess", "FlowWorld"]

FLOW_KEEPING_ROLES = STREAM_POLICIES["judged"]._replace(upstream=KeepingUpstream)
# Time in which each process reads a change of the store by itself, if no other tells it earlier.
OWN_READ_S = (0.3, 2.5)
# From the end of an agent's process to the start of the next.
RESTART_S = (0.1, 0.6)
# From the store's entry that an upstream drains to its exit (the platform's `drainMs` and more).
DRAIN_S = (3.0, 4.0)
# The most that an agent's stop takes: its own limit (1.5 s) and a tick.
STOP_LIMIT_S = 1.7
DECISIONS_TRACED = ("reason", "silent", "busy", "waited_s", "loads")


class FlowLoad(NamedTuple):
    """New flows per second; a share of them is kept open for up to `requests` requests."""

    rate: float = 60.0
    kept_share: float = 0.5
    requests: int = 8
    pause_s: float = 0.4
    idempotent: bool = False


class FlowProcess(StreamProcess):
    """A process that can be paused and restarted, and whose decisions on flows are recorded."""

    def __init__(self, world: "FlowWorld", address: Address, domain: str, node: Any):
        super().__init__(world, address, domain, node)
        self.name = address.ip
        self.incarnation = 1
        self.is_paused = False
        self.backlog: list[Any] = []
        self.effect_handlers |= {
            LogFlow: self.note_decision,
            LogChange: self.note_change,
            CloseFlow: lambda effect: world.judge.note(effect.flow, self.name, "dropped"),
            Stopped: lambda effect: self.go_down(),
            DiscardQueued: lambda effect: self.backlog.clear(),
        }

    def is_ready(self) -> bool:
        """Return whether callers' packets may be sent to this balancer."""
        return self.is_up and self.node.is_ready()

    def step(self, event: Any) -> None:
        """Handle an event, after the end of a pause."""
        if not self.is_paused:
            super().step(event)
        elif not isinstance(event, Tick):
            self.backlog.append(event)

    def pause(self, duration_s: float) -> None:
        """Handle nothing for some time."""
        if self.is_up and not self.is_paused:
            self.is_paused = True
            self.world.judge.note_process(self.name, "paused", f"for {duration_s:.3f} s")
            self.world.scheduler.after(duration_s, self.resume)

    def resume(self) -> None:
        """Handle what has arrived during the pause, in its order."""
        self.is_paused = False
        while self.backlog:
            super().step(self.backlog.pop(0)._replace(now=self.world.now))
        super().step(Tick(self.world.now))

    def send(self, effect: Any) -> None:
        """Send a message; record one that tells an owner to drop a flow."""
        message = effect.message
        if isinstance(message, Yield):
            detail = f"{effect.to.ip} to yield to {message.owner}"
            self.world.judge.note(message.flow, self.name, "told", detail)
        super().send(effect)

    def note_decision(self, effect: LogFlow) -> None:
        """Record a decision on a flow."""
        facts = [f"{key}={value}" for key, value in effect.facts if key in DECISIONS_TRACED]
        self.world.judge.note(effect.flow, self.name, effect.decision, " ".join(facts))

    def note_change(self, effect: LogChange) -> None:
        """Record that a flow was yielded; its log entry names the flow as text."""
        caller = self.world.callers_by_text.get(effect.subject)
        if caller is not None:
            self.world.judge.note(caller.flow, self.name, effect.state, effect.reason)

    def restart(self) -> None:
        """Stop the process in order; start it again while its upstream lives."""
        self.world.judge.note_process(self.name, "asked to stop")
        self.step(StopRequested(self.world.now))
        incarnation = self.incarnation
        self.world.scheduler.after(STOP_LIMIT_S, lambda: self.go_down(incarnation))

    def go_down(self, incarnation: int | None = None) -> None:
        """End the process and start the next one a little later."""
        if not self.is_up or incarnation not in (None, self.incarnation):
            return
        self.is_up = False
        self.backlog.clear()
        self.world.judge.note_process(self.name, "down")
        if not self.upstream.is_gone:
            self.world.scheduler.after(self.world.random.uniform(*RESTART_S), self.start_again)

    def start_again(self) -> None:
        """Start the next process with a complete read of the store."""
        self.incarnation += 1
        self.node = self.world.agent_node(self.address, self.domain, self.incarnation)
        self.is_up = True
        self.world.judge.note_process(self.name, "started again")
        self.world.store.read_by(self)


class FlowStore:
    """The platform's store; one process tells the others of changes, and each reads by itself."""

    def __init__(self, world: "FlowWorld", items: tuple[StoreItem, ...], position: Position):
        self.world = world
        self.items = {(item.subject, item.name): item for item in items}
        self.position = position

    def read_by(self, process: FlowProcess) -> None:
        """Let a process read the whole store."""
        items = tuple(item for item in self.items.values() if item.present)
        process.step(StoreRead(self.world.now, items, self.position))

    def write(self, subject: Subject, name: str, record: Any, present: bool = True) -> None:
        """Write an item; one agent reads it at once, and all processes at moments of their own."""
        before, self.position = self.position, self.position.successor()
        item = StoreItem(subject, name, self.position, present, record)
        self.items[subject, name] = item
        world = self.world
        reader = world.random.choice([agent for agent in world.agents if agent.is_up])
        reader.step(StoreChanged(world.now, (item,), before, self.position))
        for process in list(world.processes.values()):
            delay_s = world.random.uniform(*OWN_READ_S)
            world.scheduler.after(delay_s, lambda p=process: self.read_by(p))


class FlowWorld(StreamWorld):
    """A deployment whose callers keep flows open, with a judge of what becomes of the flows."""

    process_type = FlowProcess

    def __init__(self, site: StreamSite, seed: int, load: FlowLoad):
        self.load = load
        self.judge = FlowJudge(self)
        self.callers: dict[FlowKey, FlowCaller] = {}
        self.callers_by_text: dict[str, FlowCaller] = {}
        super().__init__(site, seed, FLOW_KEEPING_ROLES)
        self.store = FlowStore(self, self.store_items(), self.store.position)
        self.judge.check()

    def store_items(self) -> tuple[StoreItem, ...]:
        """Return the store's content at the start."""
        site = self.site
        shares = (Share(SERVICE, 1.0),)
        route = Route(
            "r", SERVICE_ADDRESS, shares, self.load.idempotent, site.target_s, site.deadline_s, 1
        )
        services = (ServiceRecord(SERVICE, 2_000, 0.0, 0.0),)
        configuration = ConfigurationRecord(1, (route,), services, 15.0)
        items = [StoreItem(Subject.CONFIGURATION, "", Position(1, 1), True, configuration)]
        for number, agent in enumerate(self.agents):
            position = Position(1, 2 + number)
            record = self.endpoint_record(agent)
            items.append(StoreItem(Subject.ENDPOINT, agent.name, position, True, record))
        return tuple(items)

    def endpoint_record(self, agent: FlowProcess, is_draining: bool = False) -> EndpointRecord:
        """Return the store's entry of an agent's upstream."""
        app = Address(agent.name, APP_PORT)
        return EndpointRecord(SERVICE, app, agent.domain, self.site.slots, is_draining, 0.0, 1)

    def choose_balancer(self, domain: str) -> FlowProcess:
        """Return a balancer of a domain that is in rotation."""
        balancers = self.balancers[domain]
        ready = [balancer for balancer in balancers if balancer.is_ready()]
        return self.random.choice(ready or balancers)

    def answer_caller(self, flow: FlowKey, packet: bytes, sender: StreamProcess) -> None:
        """Send a packet from a process to a flow's caller."""
        caller = self.callers.get(flow)
        if caller is not None:
            self.scheduler.after(CALLER_DELAY_S, lambda: caller.on_packet(packet, sender))

    def unanswered_callers(self) -> list[FlowCaller]:
        """Return the callers that wait for an answer."""
        return [caller for caller in self.callers.values() if caller.is_waiting]

    def offer_load(self, until: float) -> None:
        """Start flows at the load's rate until a time."""
        if self.now >= until:
            return
        load, random = self.load, self.random
        is_kept = random.random() < load.kept_share
        requests = random.randint(2, load.requests) if is_kept else 1
        caller = FlowCaller(self, random.choice(self.site.domains), requests, load.pause_s)
        self.callers[caller.flow] = caller
        self.callers_by_text[describe_flow(caller.flow)] = caller
        caller.open()
        self.scheduler.after(random.expovariate(load.rate), lambda: self.offer_load(until))

    def drain(self, agent: FlowProcess) -> None:
        """Let an upstream drain and leave; its agent goes with it."""
        agent.upstream.is_draining = True
        record = self.endpoint_record(agent, is_draining=True)
        self.store.write(Subject.ENDPOINT, agent.name, record)
        self.scheduler.after(self.random.uniform(*DRAIN_S), lambda: self.leave(agent))

    def leave(self, agent: FlowProcess) -> None:
        """Let an upstream exit, and remove its entry."""
        agent.upstream.leave()
        agent.go_down()
        self.store.write(Subject.ENDPOINT, agent.name, None, present=False)

    def add_upstream(self, domain: str) -> None:
        """Start an agent and an upstream, and add its entry to the store."""
        address = Address(f"10.3.0.{len(self.agents)}", PEER_PORT)
        self.network.domains[address.ip] = domain
        self.add_agent(address, domain)
        agent = self.processes[address]
        self.store.read_by(agent)
        agent.tick()
        self.store.write(Subject.ENDPOINT, agent.name, self.endpoint_record(agent))

    def withdraw(self, domain: str, present: bool = True) -> None:
        """Withdraw a failure domain, or end its withdrawal."""
        self.store.write(Subject.WITHDRAWAL, domain, None, present)
