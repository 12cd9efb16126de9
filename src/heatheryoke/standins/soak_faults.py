"""The faults that a soak injects, in series and overlapping."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from random import Random
from typing import NamedTuple

from heatheryoke.inventory.model import Role
from heatheryoke.standins.contact import CORE, Contact
from heatheryoke.standins.process_site import ProcessStreamSite
from heatheryoke.standins.route_checker import RouteChecker
from heatheryoke.standins.stream_site import HEARTBEAT_S, SERVICES, SHEETS, StreamHost
from heatheryoke.standins.stream_store import StreamStore
from heatheryoke.standins.stream_upstream import Sickness

__all__ = ["FAULTS", "Fault", "FaultTarget"]

RESTART_DELAY_S = (0.3, 3.0)
FAULT_DURATION_S = (1.0, 5.0)
# Hosts restarted or replaced one after another, and the pauses between the restarts: some begin
# while the former process is away (`RESTART_DELAY_S`) or has just started.
HOSTS_IN_TURN = 3
ROLL_GAP_S = (0.2, 2.5)
# How long an added host stays.
STAY_S = (4.0, 8.0)
# A pause shorter than the reducers notice.
SHORT_PAUSE_S = (0.05, 0.9)
# Changes of the configuration in a storm, and the pauses between them.
STORM_CHANGES = (3, 15)
STORM_GAP_S = (0.02, 0.6)
# Signals sent to a process before it is stopped, and the pauses between them.
SIGNALS_BEFORE_STOP = (0, 4)
SIGNAL_GAP_S = (0.0, 0.4)
# Age of the copy that the store returns from, how long it is away before, and how long its writers
# take until they write again what was lost.
COPY_AGE_S = (0.2, 5.0)
AWAY_S = (0.0, 1.5)
REWRITE_DELAY_S = (0.0, 2.0)
OPERATOR_KEYS = "op/"
UPSTREAM_KEYS = "servers/"
HARMLESS_SIGNALS = (signal.SIGHUP, signal.SIGSTOP)
SICKNESSES = tuple(sickness for sickness in Sickness if sickness is not Sickness.NONE)


class FaultTarget(ABC):
    """What the faults are injected into: a site of processes, with checks on its routes."""

    random: Random
    site: ProcessStreamSite
    checker: RouteChecker
    contact: Contact
    reserved: set[str]
    withdrawn: str | None
    change_lock: asyncio.Lock

    @abstractmethod
    async def expect_no_new_flows(self, where: str, opened: Callable[[], int]) -> None:
        """Record new flows that arrive after a change should be in force."""

    def serving(self, role: Role, service: str | None) -> list[StreamHost]:
        """Return the hosts of a role and service that no fault uses and no withdrawal empties."""
        return [
            host
            for host in self.site.hosts.values()
            if (host.role, host.service) == (role, service)
            and host.name not in self.reserved
            and (role is Role.BALANCER or host.failure_domain != self.withdrawn)
        ]

    def can_spare(self, host: StreamHost) -> bool:
        """Return whether a host is free and half of the hosts like it serve without it."""
        kind = (host.role, host.service)
        alike = [row for row in self.site.hosts.values() if (row.role, row.service) == kind]
        others = [row for row in self.serving(*kind) if row is not host]
        return host.name not in self.reserved and 2 * len(others) >= len(alike)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds that other faults change."""
        while not condition():
            await asyncio.sleep(0.1)

    async def pick_host(self, role: Role, is_free: Callable[[StreamHost], bool]) -> StreamHost:
        """Wait until a host of a role is free, and return one at random."""

        def free() -> list[StreamHost]:
            return [row for row in self.site.hosts.values() if row.role is role and is_free(row)]

        await self.wait_for(lambda: bool(free()))
        return self.random.choice(free())

    @asynccontextmanager
    async def disturbed_host(self, role: Role) -> AsyncIterator[StreamHost]:
        """Reserve a host for an unplanned fault."""
        host = await self.pick_host(role, lambda row: row.name not in self.reserved)
        with self.reserving(host.name), self.contact.disturbed(host.name):
            yield host

    @asynccontextmanager
    async def planned_host(self, role: Role) -> AsyncIterator[StreamHost]:
        """Reserve a host for planned work, which leaves enough others like it."""
        host = await self.pick_host(role, self.can_spare)
        with self.reserving(host.name):
            yield host

    def sample_free(self, role: Role, service: str | None = None) -> list[StreamHost]:
        """Return some hosts that no fault uses, for planned work on one after another."""
        free = [row for row in self.site.hosts.values() if row.name not in self.reserved]
        hosts = [row for row in free if row.role is role and service in (None, row.service)]
        return self.random.sample(hosts, min(len(hosts), HOSTS_IN_TURN))

    @contextmanager
    def reserving(self, *names: str) -> Iterator[None]:
        """Reserve hosts, so that no other fault uses them."""
        self.reserved.update(names)
        try:
            yield
        finally:
            self.reserved.difference_update(names)

    async def wait_random(self, bounds: tuple[float, float]) -> None:
        """Wait for a random time between two bounds."""
        await asyncio.sleep(self.random.uniform(*bounds))


class Fault(NamedTuple):
    """One kind of fault; every rule stays in force during a planned one."""

    is_planned: bool
    inject: Callable[[FaultTarget], Awaitable[None]]


async def restart(target: FaultTarget, host: StreamHost, number: signal.Signals) -> None:
    """End a process with a signal and start it again."""
    await target.site.end(host.name, number)
    await target.wait_random(RESTART_DELAY_S)
    await target.site.start_process(host)
    await asyncio.sleep(1.0)


async def kill(target: FaultTarget, role: Role) -> None:
    """Kill a process and start it again."""
    async with target.disturbed_host(role) as host:
        await restart(target, host, signal.SIGKILL)


async def stop(target: FaultTarget, role: Role) -> None:
    """Stop a process gracefully and start it again."""
    async with target.planned_host(role) as host:
        await restart(target, host, signal.SIGTERM)


async def roll(target: FaultTarget, role: Role) -> None:
    """Restart processes in turn, each before the former has settled."""

    async def stop_in_turn(host: StreamHost) -> None:
        await target.wait_for(lambda: target.can_spare(host))
        with target.reserving(host.name):
            await restart(target, host, signal.SIGTERM)

    async with asyncio.TaskGroup() as running:
        for host in target.sample_free(role):
            running.create_task(stop_in_turn(host))
            await target.wait_random(ROLL_GAP_S)


async def release(target: FaultTarget) -> None:
    """Replace upstreams of a service one after another, under new names or the former ones."""
    for host in target.sample_free(Role.AGENT, target.random.choice(SERVICES)):
        await target.wait_for(lambda host=host: target.can_spare(host))
        with target.reserving(host.name):
            await drain(target, host)
            former = await target.site.end_upstream(host)
            await target.wait_random(RESTART_DELAY_S)
            await target.site.start_upstream(host, target.random.choice((None, former.name)))
            await asyncio.sleep(1.0)


async def drain(target: FaultTarget, host: StreamHost) -> None:
    """Drain an upstream and check that it receives no new flows."""
    upstream = target.site.upstreams[host.name]
    upstream.set_state("draining")
    await target.expect_no_new_flows("a draining upstream", lambda: upstream.opened)


async def add_host(target: FaultTarget, role: Role, service: str | None = None) -> None:
    """Add a host, an agent's with an upstream, and take it away after a time."""
    site = target.site
    host = await site.join(role, service)
    with target.reserving(host.name):
        await site.wait_started(host.name)
        if role is Role.BALANCER:
            await target.checker.add_balancer(host)
        else:
            await site.start_upstream(host)
        await target.wait_random(STAY_S)
        if role is Role.AGENT:
            await drain(target, host)
            await site.end_upstream(host)
        await site.leave(host)


async def add_hosts(target: FaultTarget) -> None:
    """Add a balancer and an agent with its upstream while traffic runs."""
    service = target.random.choice(SERVICES)
    await asyncio.gather(add_host(target, Role.BALANCER), add_host(target, Role.AGENT, service))


async def signal_in_series(target: FaultTarget, role: Role) -> None:
    """Send a process several signals in a row, the last of which stops it; start it at once."""
    async with target.disturbed_host(role) as host:
        await target.site.wait_started(host.name)
        for _ in range(target.random.randint(*SIGNALS_BEFORE_STOP)):
            await signal_harmlessly(target, host.name)
            await target.wait_random(SIGNAL_GAP_S)
        stopping = asyncio.ensure_future(target.site.end(host.name, signal.SIGTERM))
        await target.wait_random(SIGNAL_GAP_S)
        target.site.send_signal(host.name, signal.SIGHUP)
        await stopping
        await target.site.start_process(host)
        await asyncio.sleep(1.0)


async def signal_harmlessly(target: FaultTarget, name: str) -> None:
    """Make a process reload its settings, or pause it for less than it notices."""
    number = target.random.choice(HARMLESS_SIGNALS)
    target.site.send_signal(name, number)
    if number is signal.SIGSTOP:
        await target.wait_random(SHORT_PAUSE_S)
        target.site.send_signal(name, signal.SIGCONT)


async def pause(target: FaultTarget, role: Role) -> None:
    """Suspend a process for a time and resume it."""
    async with target.disturbed_host(role) as host:
        target.site.send_signal(host.name, signal.SIGSTOP)
        await target.wait_random(FAULT_DURATION_S)
        target.site.send_signal(host.name, signal.SIGCONT)


async def kill_together(target: FaultTarget, share: float) -> None:
    """Kill a share of the processes that no other fault is using, and start them again."""
    free = [name for name in target.site.processes if name not in target.reserved]
    names = target.random.sample(free, round(len(free) * share))
    with target.reserving(*names), target.contact.disturbed(*names):
        await asyncio.gather(*(target.site.kill_process(name) for name in names))
        await target.wait_random(RESTART_DELAY_S)
        for name in names:
            await target.site.start_process(target.site.hosts[name])


async def replace_upstream(target: FaultTarget) -> None:
    """Close an upstream abruptly and start a new one at the same address."""
    async with target.disturbed_host(Role.AGENT) as host:
        await target.site.upstreams[host.name].close()
        await target.wait_random(RESTART_DELAY_S)
        await target.site.start_upstream(host)


async def sicken_upstream(target: FaultTarget) -> None:
    """Let an upstream fail for a time while its entry in the store says that it is ready."""
    async with target.disturbed_host(Role.AGENT) as host:
        upstream = target.site.upstreams[host.name]
        upstream.sickness = target.random.choice(SICKNESSES)
        await target.wait_random(FAULT_DURATION_S)
        upstream.sickness = Sickness.NONE


async def drain_upstream(target: FaultTarget) -> None:
    """Drain an upstream, check that it receives no new flows, and make it ready again."""
    async with target.planned_host(Role.AGENT) as host:
        await drain(target, host)
        target.site.upstreams[host.name].set_state("ready")


async def withdraw_domain(target: FaultTarget) -> None:
    """Withdraw a failure domain, check that it receives no new flows, and return it."""
    site = target.site
    domain = target.random.choice(sorted({host.failure_domain for host in site.agents()}))
    async with target.change_lock:
        target.withdrawn = domain
        await target.wait_for(lambda: all(target.serving(Role.AGENT, row) for row in SERVICES))
        site.store.put(f"op/evacuate/{domain}", {})
        upstreams = [row for row in site.upstreams.values() if row.domain == domain]
        await target.expect_no_new_flows(
            "a withdrawn domain", lambda: sum(upstream.opened for upstream in upstreams)
        )
        site.store.delete(f"op/evacuate/{domain}")
        target.withdrawn = None


async def remove_route(target: FaultTarget) -> None:
    """Remove a route, check that its callers open no new flows, and restore the route."""
    site = target.site
    address = site.service_address(SHEETS)
    async with target.change_lock:
        del site.routes[address]
        site.publish()
        upstreams = [row for row in site.upstreams.values() if row.service == SHEETS]
        await target.expect_no_new_flows(
            "a removed route",
            lambda: sum(upstream.count_opened(address) for upstream in upstreams),
        )
        site.routes[address] = SHEETS
        site.publish()


async def storm_configurations(target: FaultTarget) -> None:
    """Publish configurations in quick succession."""
    for _ in range(target.random.randint(*STORM_CHANGES)):
        target.checker.change_routes()
        await target.wait_random(STORM_GAP_S)


async def set_store_fault(target: FaultTarget, name: str, value: object, normal: object) -> None:
    """Set an attribute of the store for a time and restore it."""
    with target.contact.disturbed(CORE):
        setattr(target.site.store, name, value)
        target.site.store.wake_watches()
        await target.wait_random(FAULT_DURATION_S)
        setattr(target.site.store, name, normal)


async def reject_some_hosts(target: FaultTarget) -> None:
    """Let the store reject the calls of half the hosts for a time."""
    hosts = list(target.site.hosts.values())
    rejected = target.random.sample(hosts, len(hosts) // 2)
    addresses = frozenset(target.site.store_address(host).ip for host in rejected)
    await set_store_fault(target, "rejected_addresses", addresses, frozenset())


async def compact_store(target: FaultTarget) -> None:
    """Compact the history of the store."""
    target.site.store.compact()


async def return_store_from_copy(target: FaultTarget) -> None:
    """Let the store return from an older copy, up to twice; its writers write again what was lost.

    The store's lease of an upstream that has left ends after three heartbeats.
    """
    with target.contact.disturbed(CORE):
        await return_and_rewrite(target, target.site.store)


async def return_and_rewrite(target: FaultTarget, store: StreamStore) -> None:
    """Return the store from older copies; write again what was lost."""
    for _ in range(target.random.randint(1, 2)):
        store.is_down = True
        store.wake_watches()
        await target.wait_random(AWAY_S)
        store.return_from_copy(target.random.uniform(*COPY_AGE_S))
        store.is_down = False
        await target.wait_random(REWRITE_DELAY_S)
    store.write_again(OPERATOR_KEYS)
    await asyncio.sleep(3 * HEARTBEAT_S)
    store.write_again(UPSTREAM_KEYS)


FAULTS: dict[str, Fault] = {
    "balancer killed": Fault(False, lambda t: kill(t, Role.BALANCER)),
    "balancer stopped": Fault(True, lambda t: stop(t, Role.BALANCER)),
    "balancer signalled": Fault(False, lambda t: signal_in_series(t, Role.BALANCER)),
    "balancer paused": Fault(False, lambda t: pause(t, Role.BALANCER)),
    "agent killed": Fault(False, lambda t: kill(t, Role.AGENT)),
    "agent stopped": Fault(True, lambda t: stop(t, Role.AGENT)),
    "agent signalled": Fault(False, lambda t: signal_in_series(t, Role.AGENT)),
    "agent paused": Fault(False, lambda t: pause(t, Role.AGENT)),
    "all killed": Fault(False, lambda t: kill_together(t, 1.0)),
    "many killed": Fault(False, lambda t: kill_together(t, 0.5)),
    "upstream replaced": Fault(False, replace_upstream),
    "upstream sick": Fault(False, sicken_upstream),
    "balancers rolled": Fault(True, lambda t: roll(t, Role.BALANCER)),
    "agents rolled": Fault(True, lambda t: roll(t, Role.AGENT)),
    "release": Fault(True, release),
    "hosts added": Fault(True, add_hosts),
    "upstream drained": Fault(True, drain_upstream),
    "domain withdrawn": Fault(True, withdraw_domain),
    "route removed": Fault(True, remove_route),
    "configurations in a storm": Fault(True, storm_configurations),
    "store down": Fault(False, lambda t: set_store_fault(t, "is_down", True, False)),
    "store slow": Fault(False, lambda t: set_store_fault(t, "delay_s", 0.4, 0.0)),
    "store silent": Fault(False, lambda t: set_store_fault(t, "delay_s", 60.0, 0.0)),
    "store rejects some": Fault(False, reject_some_hosts),
    "store compacted": Fault(True, compact_store),
    "store returned": Fault(False, return_store_from_copy),
}
