"""A deployment in virtual time: fabric, platform, processes, upstreams and callers."""

import random
from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
from heatheryoke.core.events import (
    CallerPacket,
    ConfigurationOffered,
    Event,
    PlatformUnavailable,
    StopRequested,
)
from heatheryoke.core.flows import FlowKey, PacketKind, flow_tuple
from heatheryoke.core.node import Node
from heatheryoke.inventory.model import (
    Address,
    Document,
    FailureDomain,
    Host,
    HostState,
    Protocol,
    Role,
)
from heatheryoke.measure.caller_model import CallerModel, CallerTraits, Tally
from heatheryoke.measure.naive import CachingBalancer, NaiveAgent, NaiveBalancer
from heatheryoke.measure.network import FABRIC, Network
from heatheryoke.measure.plain_codec import PlainCodec
from heatheryoke.measure.process_model import ProcessModel
from heatheryoke.measure.scheduler import Scheduler
from heatheryoke.measure.upstream_model import Ledger, UpstreamModel, UpstreamTraits
from heatheryoke.standins.deployments import Deployment, make_document
from heatheryoke.wire.control import encode_control
from heatheryoke.wire.envelope import BODY_OFFSET

__all__ = ["POLICIES", "Load", "Policy", "World"]

PLATFORM_S = 0.003
WATCH_RETRY_S = 1.0
DATAGRAM_HEADERS = 28
CALLER_HOP_S = {"sundarban": 0.003, "sangam": 0.001}
DOMAIN_HOP_S = {"sundarban": 0.0005, "sangam": 0.001}
FEED_CHECK_S = 1.0
FEED_SILENCE_S = 20.0


class Policy(NamedTuple):
    """The reducers that a policy runs."""

    balancer: type[Balancer]
    agent: type[Agent]


POLICIES = {
    "heatheryoke": Policy(Balancer, Agent),
    "naive": Policy(NaiveBalancer, NaiveAgent),
    "cache-only": Policy(CachingBalancer, NaiveAgent),
}


class Load(NamedTuple):
    """The number of callers, and the share of the slots that their requests use."""

    feeds: int = 105
    sheet_callers: int = 30
    share: float = 0.5


class World:
    """All parts of one simulation; scenarios change it while it runs."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        seed: int,
        load: Load = Load(),
        traits: UpstreamTraits = UpstreamTraits(),
    ):
        self.deployment = deployment
        self.policy = policy
        self.traits = traits
        self.random = random.Random(seed)
        self.scheduler = Scheduler()
        numbers = count(1)
        self.document = make_document(deployment, lambda: Address(f"10.1.0.{next(numbers)}", 5_683))
        domains = {host.name: host.failure_domain for host in self.document.hosts}
        hop_s = DOMAIN_HOP_S[deployment.name]
        self.network = Network(self.scheduler, seed, domains, hop_s)
        self.ledger = Ledger()
        self.tally = Tally()
        self.upstreams = self.make_upstreams(seed)
        self.processes: dict[str, ProcessModel] = {}
        self.by_address: dict[Address, str] = {
            host.address: host.name for host in self.document.hosts
        }
        self.fabric_balancers: list[str] = []
        self.platform_up = True
        self.platform_document = self.document
        self.platform_calls = 0
        self.published_at: dict[int, float] = {}
        self.in_force_at: dict[int, float] = {}
        self.last_epochs: dict[tuple[str, int], int] = {}
        self.epochs_reverted = 0
        self.control_bytes: Counter[str] = Counter()
        self.control_messages: Counter[str] = Counter()
        self.withdrawals: list[tuple[float, float, str]] = []
        self.withdrawn_traffic: dict[str, float] = {}
        self.incarnations = count(1_000_000, 1_000_000)
        self.callers: dict[str, CallerModel] = {}
        for host in self.document.hosts:
            self.start_process(host, first_start=True)
        self.make_callers(load)
        self.scheduler.after(FEED_CHECK_S, self.check_feeds)
        self.check_configurations()

    # Building

    def make_upstreams(self, seed: int) -> dict[str, UpstreamModel]:
        """Return the upstream of each host."""
        return {
            endpoint.host: UpstreamModel(
                endpoint, self.scheduler, self.ledger, self.traits, seed * 1_000 + index
            )
            for index, endpoint in enumerate(self.document.endpoints)
        }

    def make_callers(self, load: Load) -> None:
        """Create callers whose requests use `load.share` of the slots."""
        main, sheets = self.document.services
        deployment = self.deployment
        slots = deployment.slots / self.traits.service_s
        main_rate = slots * deployment.main_endpoints * load.share / load.feeds
        sheet_rate = slots * deployment.sheet_endpoints * load.share / load.sheet_callers
        feed_traits = CallerTraits(
            main,
            feed_path=deployment.feed_path,
            write_path=deployment.write_path,
            interval_s=1 / main_rate,
        )
        sheet_traits = CallerTraits(
            sheets, sheet_path=deployment.sheet_path, interval_s=1 / sheet_rate
        )
        caller_traits = [feed_traits] * load.feeds + [sheet_traits] * load.sheet_callers
        for number, traits in enumerate(caller_traits, start=1):
            caller = CallerModel(
                number, traits, self.scheduler, self.tally, self.send_from_caller, self.random
            )
            caller.is_host_withdrawn = self.is_host_withdrawn
            self.callers[flow_tuple(caller.flow).source.ip] = caller
            self.scheduler.after(2.0 + self.random.random() * 3.0, caller.start)

    def start_process(self, host: Host, first_start: bool = False) -> ProcessModel:
        """Start a new process for a host."""
        node = self.make_node(host, first_start)
        process = ProcessModel(host.name, host.address, node, self.scheduler, self)
        self.processes[host.name] = process
        upstream = self.upstreams.get(host.name)
        if upstream is not None:
            upstream.send = process.on_upstream_datagram
        if host.role is Role.BALANCER:
            self.fabric_balancers.append(host.name)
        return process

    def make_node(self, host: Host, first_start: bool) -> Node:
        """Return a new reducer for a host."""
        incarnation = next(self.incarnations)
        peers = tuple(peer.address for peer in self.document.hosts if peer.name != host.name)[:3]
        if host.role is Role.BALANCER:
            return self.policy.balancer(host.name, incarnation, host.address, seeds=peers)
        return self.policy.agent(
            host.name,
            incarnation,
            self.scheduler.now,
            {Protocol.COAP: PlainCodec},
            peers,
            first_start=first_start,
        )

    # Environment of the processes

    def send_message(
        self, source: str, to: Address, make_event: Callable[[float, Address], Event]
    ) -> None:
        """Deliver a message to the process at an address."""
        target = self.by_address.get(to)
        if target is None:
            return
        sender = self.processes[source].address

        def deliver() -> None:
            self.record_withdrawn_traffic(source, target)
            self.processes[target].handle(lambda now: make_event(now, sender))

        self.network.send(source, target, deliver)

    def record_withdrawn_traffic(self, source: str, target: str) -> None:
        """Record the time of the last datagram that entered a withdrawn failure domain."""
        domain = self.network.domains[target]
        if self.network.domains.get(source) != domain and self.is_withdrawn(domain):
            self.withdrawn_traffic[domain] = self.scheduler.now

    def is_withdrawn(self, domain: str) -> bool:
        """Return whether operators have withdrawn a failure domain."""
        return any(
            known.name == domain and known.withdrawn for known in self.document.failure_domains
        )

    def record_control(self, source: str, message: Any) -> None:
        """Account for a control message at its size on the wire."""
        size = len(encode_control(message)) + BODY_OFFSET + DATAGRAM_HEADERS
        self.control_bytes[source] += size
        self.control_messages[type(message).__name__] += size

    def answer_caller(self, source: str, flow: FlowKey, payload: bytes) -> None:
        """Deliver an answer to a caller through the fabric."""
        caller = self.callers.get(flow_tuple(flow).source.ip)
        if caller is None:
            return
        hop_s = CALLER_HOP_S[self.deployment.name]

        def deliver() -> None:
            self.scheduler.after(hop_s, lambda: caller.on_datagram(flow, payload))

        self.network.send(source, FABRIC, deliver)

    def send_from_caller(self, flow: FlowKey, payload: bytes) -> None:
        """Send a caller's datagram to a random balancer."""
        if not self.fabric_balancers:
            return
        name = self.random.choice(self.fabric_balancers)

        def deliver() -> None:
            self.processes[name].handle(
                lambda now: CallerPacket(now, flow, PacketKind.EITHER, payload)
            )

        hop = CALLER_HOP_S[self.deployment.name]
        self.scheduler.after(hop, lambda: self.network.send(FABRIC, name, deliver))

    def record_delivery(self, flow: FlowKey, host: str) -> None:
        """Record at the caller's model which upstream receives its packet."""
        self.callers[flow_tuple(flow).source.ip].record_delivery(flow, host)

    def is_host_withdrawn(self, host: str) -> bool:
        """Return whether a host's flows may be reset because its failure domain is withdrawn."""
        return self.is_withdrawn(self.network.domains[host])

    def upstream_of(self, host: str, address: Address) -> UpstreamModel | None:
        """Return the upstream at an address."""
        return self.upstreams.get(host)

    # The platform

    def read_platform(self, process: ProcessModel) -> None:
        """Answer a read, or fail it while the platform is down."""
        self.platform_calls += 1
        document = self.platform_document if self.platform_up else None

        def answer(now: float) -> Event:
            return ConfigurationOffered(now, document) if document else PlatformUnavailable(now)

        self.scheduler.after(PLATFORM_S, lambda: process.handle(answer))

    def publish(self, document: Document) -> None:
        """Publish a change under the next version and notify the watching processes."""
        self.document = document._replace(version=self.document.version + 1)
        self.published_at[self.document.version] = self.scheduler.now
        self.platform_document = self.document
        self.notify_watchers()

    def notify_watchers(self) -> None:
        """Answer every watch, or retry later while the platform is down."""
        if not self.platform_up:
            self.scheduler.after(WATCH_RETRY_S, self.notify_watchers)
            return
        for process in self.processes.values():
            if process.is_alive and process.node.is_platform_watcher():
                self.read_platform(process)

    def check_configurations(self) -> None:
        """Record when each version is in force everywhere, and count processes that revert."""
        for name, process in self.processes.items():
            if not process.is_alive or process.paused:
                continue
            incarnation = process.node.membership.incarnation
            last_epoch = self.last_epochs.get((name, incarnation), 0)
            self.epochs_reverted += process.node.epoch < last_epoch
            self.last_epochs[name, incarnation] = process.node.epoch
        live_epochs = [
            process.node.epoch
            for process in self.processes.values()
            if process.is_alive and not process.paused
        ]
        for version in self.published_at:
            if version not in self.in_force_at and live_epochs and min(live_epochs) >= version:
                self.in_force_at[version] = self.scheduler.now
        self.scheduler.after(0.05, self.check_configurations)

    # Changes made by scenarios

    def set_host_state(self, name: str, state: HostState) -> None:
        """Publish a new state of a host."""
        hosts = tuple(
            host._replace(state=state) if host.name == name else host
            for host in self.document.hosts
        )
        self.publish(self.document._replace(hosts=hosts))

    def set_withdrawn(self, domain: str, withdrawn: bool) -> None:
        """Publish the withdrawal or the return of a failure domain."""
        domains = tuple(
            FailureDomain(known.name, known.region, withdrawn) if known.name == domain else known
            for known in self.document.failure_domains
        )
        self.publish(self.document._replace(failure_domains=domains))
        if withdrawn:
            self.withdrawals.append((self.scheduler.now, float("inf"), domain))
        else:
            began, _, _ = self.withdrawals.pop()
            self.withdrawals.append((began, self.scheduler.now, domain))

    def kill(self, name: str) -> None:
        """Kill a process; the fabric no longer sends to it."""
        if name in self.fabric_balancers:
            self.fabric_balancers.remove(name)
        self.processes[name].kill()

    def restart(self, name: str, down_s: float = 1.0) -> None:
        """Kill a process and start a new one without its state."""
        self.kill(name)
        host = next(host for host in self.document.hosts if host.name == name)
        self.scheduler.after(down_s, lambda: self.start_process(host))

    def stop_gracefully(self, name: str, down_s: float = 1.0) -> None:
        """Stop a process as an upgrade does, and start a new one once it has ended."""
        if name in self.fabric_balancers:
            self.fabric_balancers.remove(name)
        process = self.processes[name]
        process.handle(StopRequested)
        host = next(host for host in self.document.hosts if host.name == name)

        def start_when_stopped() -> None:
            if process.is_alive:
                self.scheduler.after(0.1, start_when_stopped)
            else:
                self.scheduler.after(down_s, lambda: self.start_process(host))

        start_when_stopped()

    def check_feeds(self) -> None:
        """Let callers detect feeds that have been silent for `FEED_SILENCE_S`."""
        for caller in self.callers.values():
            if caller.traits.feed_path:
                caller.check_feed(FEED_SILENCE_S)
        self.scheduler.after(FEED_CHECK_S, self.check_feeds)

    # Queries

    def agents(self) -> list[Agent]:
        """Return the agents that are alive."""
        return [
            process.node
            for process in self.processes.values()
            if process.is_alive and isinstance(process.node, Agent)
        ]

    def run_until(self, end: float) -> None:
        """Advance virtual time."""
        self.scheduler.run_until(end)
