"""A byte-stream deployment on loopback, with an IP address for each host."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import xxhash

from heatheryoke.core.flows import FlowKey
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_application import StreamApplication
from heatheryoke.daemons.stream_roles import STREAM_APPLICATIONS
from heatheryoke.daemons.stream_settings import StreamSettings
from heatheryoke.inventory.model import Address, Role
from heatheryoke.platform.process import READY_PATH
from heatheryoke.standins.configuration_history import ConfigurationHistory, Machine
from heatheryoke.standins.site_ports import (
    BLOCK_PORTS,
    FIRST_PORT,
    LAST_PORT,
    PortReservation,
    Ports,
)
from heatheryoke.standins.stream_caller import StreamCaller, StreamFlow
from heatheryoke.standins.stream_store import StreamStore
from heatheryoke.standins.stream_upstream import StreamUpstream

__all__ = [
    "CHANGE_WITHIN_S",
    "FEEDS",
    "FLOW_TTL_S",
    "HEARTBEAT_S",
    "IDLE_TIMEOUT_MS",
    "SERVICES",
    "SHEETS",
    "SMALL_SITE",
    "SiteSize",
    "StreamHost",
    "StreamSite",
]

DOMAINS = ("domain-1", "domain-2", "domain-3")
FEEDS = "feeds"
SHEETS = "sheets"
SERVICES = (FEEDS, SHEETS)
NETWORKS = {Role.BALANCER: "127.20", Role.AGENT: "127.21"}
KINDS = {FEEDS: "idempotent", SHEETS: "download"}
PROBE_S = 0.25
PROBE_FAILURE_LIMIT = 2
HEARTBEAT_S = 1.0
CHANGE_WITHIN_S = 3.0
# The platform's `flowTtlS`: an older flow may be discarded.
FLOW_TTL_S = 60.0
# `idleTimeoutMs` of the configuration: a flow that was silent for longer may be discarded.
IDLE_TIMEOUT_MS = 15_000


class SiteSize(NamedTuple):
    """How many processes a site has: balancers, and agents of each service."""

    balancers: int
    feed_agents: int
    sheet_agents: int

    @classmethod
    def of(cls, processes: int) -> "SiteSize":
        """Return a size of so many processes in all, a quarter of them balancers."""
        balancers = max(3, processes // 4)
        sheet_agents = max(2, (processes - balancers) // 3)
        return cls(balancers, processes - balancers - sheet_agents, sheet_agents)


SMALL_SITE = SiteSize(3, 5, 3)


class StreamHost(NamedTuple):
    """Host with its role, failure domain and, for an agent, the service of its upstream."""

    name: str
    role: Role
    ip: str
    failure_domain: str
    service: str | None = None


class StreamSite:
    """Runs the store, upstreams, router, balancers and agents on one event loop.

    Subclasses may run the balancers and agents elsewhere.
    """

    def __init__(self, seed: int, size: SiteSize = SMALL_SITE):
        self.size = size
        self.random = random.Random(seed)
        first = self.random.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
        self.reservation = PortReservation(Ports.from_first(first))
        self.store = StreamStore()
        self.hosts = {host.name: host for host in self.make_hosts()}
        # Names of all hosts by IP address, also of those that have left.
        self.names = {host.ip: host.name for host in self.hosts.values()}
        self.upstreams: dict[str, StreamUpstream] = {}
        self.applications: dict[str, StreamApplication] = {}
        self.callers: list[StreamCaller] = []
        self.on_system_reset: Callable[[StreamFlow, str], None] = lambda flow, sender: None
        self.probe_failures: dict[str, int] = {}
        self.version = 0
        self.routes = {self.service_address(service): service for service in SERVICES}
        self.history = ConfigurationHistory(CHANGE_WITHIN_S)
        self.incarnations: Counter[str] = Counter()
        self.all_upstreams: list[StreamUpstream] = []
        self.first_start = True
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def ports(self) -> Ports:
        """The ports of every host: those that the seed prefers until `reserve_ports`."""
        return self.reservation.ports

    def reserve_ports(self) -> None:
        """Choose ports that are free, so that sites of any seeds run beside each other."""
        ips = [host.ip for host in self.hosts.values()]
        self.reservation.reserve(
            [*ips, *(self.store_address(row).ip for row in self.hosts.values())]
        )

    def make_hosts(self) -> list[StreamHost]:
        """Return the hosts, spread over the failure domains."""
        services = [FEEDS] * self.size.feed_agents + [SHEETS] * self.size.sheet_agents
        return [
            *(self.make_host(Role.BALANCER, n) for n in range(1, self.size.balancers + 1)),
            *(self.make_host(Role.AGENT, n, row) for n, row in enumerate(services, 1)),
        ]

    def make_host(self, role: Role, number: int, service: str | None = None) -> StreamHost:
        """Return a host of a role by its number."""
        ip = f"{NETWORKS[role]}.{number // 250}.{number % 250}"
        return StreamHost(f"{role.value}-{number}", role, ip, DOMAINS[number % 3], service)

    def balancers(self) -> list[StreamHost]:
        """Return the hosts of balancers."""
        return [host for host in self.hosts.values() if host.role is Role.BALANCER]

    def agents(self) -> list[StreamHost]:
        """Return the hosts with an upstream."""
        return [host for host in self.hosts.values() if host.role is Role.AGENT]

    def service_address(self, service: str) -> Address:
        """Return the address that callers use for a service."""
        return Address("198.18.0.1", 1_000 + SERVICES.index(service))

    def store_address(self, host: StreamHost) -> Address:
        """Return the address at which a host calls the store."""
        return Address(host.ip.replace("127.", "127.1", 1), self.ports.store)

    def machine(self, host_name: str) -> Machine:
        """Return the present incarnation of a host's process."""
        return Machine(host_name, self.incarnations[host_name])

    # Life cycle

    async def start(self) -> None:
        """Start the deployment and wait until all balancers are in rotation."""
        self.reserve_ports()
        await self.store.start(*map(self.store_address, self.hosts.values()))
        self.publish()
        for host in self.hosts.values():
            if host.role is Role.AGENT:
                await self.start_upstream(host)
        for host in self.hosts.values():
            await self.start_process(host)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.probe_balancers()),
            loop.create_task(self.renew_entries()),
        ]
        while len(self.in_rotation()) < self.size.balancers:
            await asyncio.sleep(PROBE_S)
        self.first_start = False

    async def close(self) -> None:
        """Stop the callers, the processes, the upstreams and the store."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            await caller.close()
        for name in list(self.applications):
            await self.kill_process(name)
        for upstream in list(self.upstreams.values()):
            await upstream.close()
        await self.store.close()
        self.reservation.release()

    async def join(self, role: Role, service: str | None = None) -> StreamHost:
        """Add a host with a new address, as yet without an upstream, and return it."""
        number = 1 + sum(name.startswith(role.value) for name in self.names.values())
        host = self.make_host(role, number, service)
        self.names[host.ip] = host.name
        await self.store.listen(self.store_address(host))
        await self.start_process(host)
        self.hosts[host.name] = host
        return host

    async def end_upstream(self, host: StreamHost) -> StreamUpstream:
        """Close the upstream of a host, and return it."""
        upstream = self.upstreams.pop(host.name)
        await upstream.close()
        return upstream

    async def leave(self, host: StreamHost) -> None:
        """Stop a host's process and take the host away."""
        await self.stop_process(host.name)
        del self.hosts[host.name]
        self.probe_failures.pop(host.name, None)

    def publish(self) -> None:
        """Write a new configuration with the present routes."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": [self.route_entry(*row) for row in self.routes.items()],
            "services": [
                {"name": service, "maxConns": 2_000, "warmupS": 2.0, "warmupPerS": 0.0}
                for service in SERVICES
            ],
            "limits": {"idleTimeoutMs": IDLE_TIMEOUT_MS},
        }
        self.store.put("op/config", value)
        self.history.publish(self.version, asyncio.get_running_loop().time(), self.routes)

    def route_entry(self, address: Address, service: str) -> dict[str, Any]:
        """Return a route as the configuration describes it."""
        is_main = address == self.service_address(service)
        return {
            "name": f"r-{service}" if is_main else f"r-{address.ip}-{address.port}",
            "host": address.ip,
            "prefix": f"/{address.port}/",
            "kind": KINDS[service],
            "timeoutMs": 2_000,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }

    async def start_upstream(self, host: StreamHost, name: str | None = None) -> None:
        """Start the upstream of a host under a new name, or one that it had before."""
        app = Address(host.ip, self.ports.app)
        answers = Address(host.ip, self.ports.answers)
        name = name or f"i-{self.random.getrandbits(32):08x}"
        upstream = StreamUpstream(
            name, host.service, host.failure_domain, app, answers, self.store, host.name
        )
        self.upstreams[host.name] = upstream
        self.all_upstreams.append(upstream)
        await upstream.start()

    # Balancers and agents

    def settings(self, host: StreamHost) -> StreamSettings:
        """Return the settings of a host's process."""
        is_agent = host.role is Role.AGENT
        return StreamSettings(
            host.name,
            host.ip,
            host.failure_domain,
            self.first_start,
            (self.ports.peers, self.ports.peers),
            Address(host.ip, self.ports.callers),
            Address(host.ip, self.ports.status),
            self.store_address(host),
            CHANGE_WITHIN_S,
            CHANGE_WITHIN_S,
            Address(host.ip, self.ports.answers) if is_agent else None,
            Address(host.ip, self.ports.app) if is_agent else None,
            host.service,
            FLOW_TTL_S if is_agent else None,
            ("health",) if is_agent else None,
        )

    async def start_process(self, host: StreamHost) -> None:
        """Start a host's process."""
        kind = STREAM_APPLICATIONS[host.role]
        application = kind(
            self.settings(host), Path(host.name), JsonLog(host.name, descriptor=None)
        )
        self.applications[host.name] = application
        self.incarnations[host.name] += 1
        await application.start()

    async def stop_process(self, name: str) -> None:
        """Stop a process gracefully."""
        application = self.applications.pop(name)
        application.request_stop()
        await application.stopped.wait()
        application.close()

    async def kill_process(self, name: str) -> None:
        """End a process without a graceful stop."""
        self.applications.pop(name).close()

    # The platform's router and the upstreams' heartbeats

    async def probe_balancers(self) -> None:
        """Probe the readiness of each balancer until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for host in list(self.hosts.values()):
                    if host.role is Role.BALANCER:
                        ready = await self.is_ready(session, host)
                        self.probe_failures[host.name] = (
                            0 if ready else self.consecutive_failures(host.name) + 1
                        )
                await asyncio.sleep(PROBE_S)

    def consecutive_failures(self, name: str) -> int:
        """Return how many probes in a row a balancer has failed."""
        return self.probe_failures.get(name, PROBE_FAILURE_LIMIT)

    async def is_ready(self, session: aiohttp.ClientSession, host: StreamHost) -> bool:
        """Return whether a balancer answers the readiness probe with 200."""
        try:
            url = f"http://{host.ip}:{self.ports.status}{READY_PATH}"
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def renew_entries(self) -> None:
        """Renew the store entry of every upstream every `HEARTBEAT_S`."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for upstream in self.upstreams.values():
                upstream.write_entry()

    def in_rotation(self) -> list[StreamHost]:
        """Return the balancers that receive callers' packets."""
        return [
            host
            for host in self.hosts.values()
            if self.consecutive_failures(host.name) < PROBE_FAILURE_LIMIT
        ]

    def route(self, flow: FlowKey) -> Address | None:
        """Return the balancer for a flow's next packet; a change in rotation moves most flows."""
        nodes = self.in_rotation()
        if not nodes:
            return None
        host = nodes[xxhash.xxh32_intdigest(flow) % len(nodes)]
        return Address(host.ip, self.ports.callers)

    async def add_caller(
        self, route: Callable[[FlowKey], Address | None] | None = None
    ) -> StreamCaller:
        """Start another caller, whose packets take the router's or another way, and return it."""
        number = len(self.callers) + 1
        address = Address(f"127.22.{number // 250}.{number % 250 + 1}", self.ports.callers)
        caller = StreamCaller(address, route or self.route, number)
        caller.on_system_reset = self.on_system_reset
        await caller.start()
        self.callers.append(caller)
        return caller
