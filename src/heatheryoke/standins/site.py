"""A whole deployment on loopback: balancers, agents, and the stand-ins around them."""

import asyncio
import random
import secrets
import socket
from datetime import UTC, datetime, timedelta

from heatheryoke.daemons.application import AgentApplication, Application, BalancerApplication
from heatheryoke.daemons.settings import LogFormat, Settings
from heatheryoke.inventory.model import Address, Document, Host, HostState, Role
from heatheryoke.standins.deployments import Deployment, make_document
from heatheryoke.standins.fabric import Fabric
from heatheryoke.standins.platform import Platform
from heatheryoke.standins.upstream import Ledger, Upstream, UpstreamBehaviour

__all__ = ["LOOPBACK", "Site", "free_address"]

LOOPBACK = "127.0.0.1"
FIRST_START_S = 60
FIRST_PORT = 15_000
LAST_PORT = 32_000


returned_ports: set[int] = set()


def free_address() -> Address:
    """Return a free loopback address that was not returned before.

    The port lies below the ephemeral range, so that the kernel does not assign it to another
    socket before it is opened.
    """
    while True:
        port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
        if port not in returned_ports and _is_free(port):
            returned_ports.add(port)
            return Address(LOOPBACK, port)


def _is_free(port: int) -> bool:
    """Return whether no UDP or TCP socket is bound to a port."""
    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


class Site:
    """Owns the stand-ins, and runs the balancers and agents on the same event loop.

    Subclasses may run the balancers and agents elsewhere.
    """

    def __init__(self, deployment: Deployment, seed: int, behaviour: UpstreamBehaviour):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.behaviour = behaviour
        self.shared_key = secrets.token_bytes(32)
        self.document = make_document(deployment, free_address)
        self.platform = Platform()
        self.platform_address = free_address()
        self.fabric = Fabric(seed)
        self.fabric_egress = free_address()
        self.fabric_listens = {host.name: free_address() for host in self.hosts(Role.BALANCER)}
        self.status_addresses = {host.name: free_address() for host in self.document.hosts}
        self.ledger = Ledger()
        self.upstreams: dict[str, Upstream] = {}
        self.applications: dict[str, Application] = {}
        self.first_start_until = datetime.now(UTC) + timedelta(seconds=FIRST_START_S)

    # Life cycle

    async def start_standins(self) -> None:
        """Start the platform, the fabric and the upstreams."""
        await self.platform.start(self.platform_address)
        self.platform.publish(self.document)
        services = [service.address for service in self.document.services]
        self.fabric.start(self.fabric_egress, services)
        for endpoint in self.document.endpoints:
            upstream = Upstream(endpoint.host, self.ledger, self.behaviour)
            await upstream.start(endpoint.address)
            self.upstreams[endpoint.host] = upstream

    async def start_processes(self) -> None:
        """Start every balancer and agent."""
        for host in self.document.hosts:
            await self.start_process(host)

    async def start_process(self, host: Host) -> None:
        """Start one host's balancer or agent; add a balancer to the fabric."""
        kind = BalancerApplication if host.role is Role.BALANCER else AgentApplication
        application = kind(self.settings(host))
        self.applications[host.name] = application
        await application.start()
        if host.role is Role.BALANCER:
            self.fabric.balancers.append(self.fabric_listens[host.name])

    async def stop_process(self, name: str, graceful: bool) -> None:
        """Stop one balancer or agent; a balancer is first removed from the fabric."""
        listen = self.fabric_listens.get(name)
        if listen in self.fabric.balancers:
            self.fabric.balancers.remove(listen)
        application = self.applications.pop(name)
        if graceful:
            application.request_stop()
            await application.stopped.wait()
        await application.close()

    async def close(self) -> None:
        """Stop the processes and the stand-ins."""
        for application in list(self.applications.values()):
            await application.close()
        self.fabric.close()
        for upstream in self.upstreams.values():
            await upstream.close()
        await self.platform.close()

    # Queries

    def hosts(self, role: Role) -> list[Host]:
        """Return the hosts with a role."""
        return [host for host in self.document.hosts if host.role is role]

    def host(self, name: str) -> Host:
        """Return a host by name."""
        return next(host for host in self.document.hosts if host.name == name)

    def service_address(self, name: str) -> Address:
        """Return the address that callers of a service use."""
        return next(service.address for service in self.document.services if service.name == name)

    def settings(self, host: Host) -> Settings:
        """Return the settings of one host's process."""
        return Settings(
            name=host.name,
            failure_domain=host.failure_domain,
            address=host.address,
            shared_key=self.shared_key,
            peers=tuple(other.address for other in self.document.hosts if other is not host)[:3],
            platform_url=f"http://{self.platform_address}",
            fabric_egress=self.fabric_egress,
            fabric_listen=self.fabric_listens.get(host.name),
            status_address=self.status_addresses[host.name],
            log_format=LogFormat.TEXT,
            log_level="INFO",
            upstream_bind=LOOPBACK,
            first_start_until=self.first_start_until,
        )

    # Changes

    def publish(self, document: Document) -> None:
        """Publish a document under the next version."""
        self.document = document._replace(version=self.document.version + 1)
        self.platform.publish(self.document)

    def set_host_state(self, name: str, state: HostState) -> None:
        """Publish a new state of a host."""
        hosts = tuple(
            host._replace(state=state) if host.name == name else host
            for host in self.document.hosts
        )
        self.publish(self.document._replace(hosts=hosts))

    def set_withdrawn(self, domain: str, withdrawn: bool) -> None:
        """Publish that a failure domain is withdrawn, or returned to service."""
        domains = tuple(
            (
                failure_domain._replace(withdrawn=withdrawn)
                if failure_domain.name == domain
                else failure_domain
            )
            for failure_domain in self.document.failure_domains
        )
        self.publish(self.document._replace(failure_domains=domains))

    async def wait_for_epoch(self, timeout_s: float = 10.0) -> float:
        """Wait until every process has the current version; return the seconds waited."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while any(
            application.node.epoch < self.document.version
            for application in self.applications.values()
        ):
            if loop.time() - began > timeout_s:
                raise TimeoutError(f"epoch {self.document.version} not in force at every process")
            await asyncio.sleep(0.02)
        return loop.time() - began
