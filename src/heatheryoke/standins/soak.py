"""Soak test: callers use a deployment of real processes under overlapping, seeded random faults.

The rules are checked by what callers and upstreams observe. The platform's rules bind in time only
while the system is calm: the store and all processes have been undisturbed for `CONTACT_S`.
"""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from math import inf
from typing import NamedTuple

from heatheryoke.inventory.model import Role
from heatheryoke.standins.process_site import ProcessStreamSite
from heatheryoke.standins.stream_caller import Outcome, StreamCaller, StreamFlow
from heatheryoke.standins.stream_site import CHANGE_WITHIN_S, FEEDS, SHEETS, StreamHost

__all__ = ["FAULTS", "Soak", "SoakResult", "run_soak"]

FEED_CALLERS = 16
SHEET_CALLERS = 6
REQUEST_INTERVAL_S = 0.25
TIMEOUT_S = 6.0
# The platform's rules bind a process only after it was undisturbed for this time.
CONTACT_S = 4.0
# Time after the last fault within which all must work again (the platform's `recoveryS`).
RECOVERY_S = 12.0
RESTART_DELAY_S = (0.3, 3.0)
FAULT_DURATION_S = (1.0, 5.0)


class Fault(NamedTuple):
    """One kind of fault; every rule stays in force during a planned one."""

    is_planned: bool
    inject: Callable[["Soak"], Awaitable[None]]


class SoakResult(NamedTuple):
    """Result of a soak: outcomes of requests, faults injected, and rule violations."""

    outcomes: Counter[str]
    injected_faults: Counter[str]
    violations: list[str]


class Soak:
    """Runs callers, injects faults, and checks the rules."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.site = ProcessStreamSite(seed)
        self.outcomes: Counter[str] = Counter()
        self.injected_faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self.unplanned_faults = 0
        self.calm_since = inf
        self.reserved: set[str] = set()
        self.is_over = False
        self.change_lock = asyncio.Lock()
        self.began = 0.0

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def is_calm(self, since: float) -> bool:
        """Return whether no unplanned fault was active since `CONTACT_S` before `since`."""
        return not self.unplanned_faults and self.calm_since + CONTACT_S <= since

    def record_violation(self, problem: str) -> None:
        """Record a rule violation with the time since the start."""
        self.violations.append(f"{self.now() - self.began:.1f} s: {problem}")

    # Callers

    async def request_repeatedly(self, caller: StreamCaller) -> None:
        """Send requests on one long-lived flow; a flow that breaks is checked and replaced."""
        flow, upstreams = None, {}
        while not self.is_over:
            if flow is None:
                flow = caller.flow(self.site.service_address(FEEDS))
                upstreams = dict(self.site.upstreams)
            sent_at = self.now()
            was_open = flow.is_open
            outcome = await flow.request(TIMEOUT_S)
            self.outcomes[f"feed {outcome.value}"] += 1
            self.check_flow(flow, outcome, sent_at, was_open, upstreams)
            if outcome is not Outcome.SERVED:
                flow = None
            await asyncio.sleep(REQUEST_INTERVAL_S * (0.5 + self.random.random()))

    def check_flow(
        self, flow: StreamFlow, outcome: Outcome, sent_at: float, was_open: bool, upstreams: dict
    ) -> None:
        """Record what must never happen to a flow, and what must not happen while calm.

        While calm, an open flow must be served as long as the same upstream keeps its connection.
        """
        if outcome is Outcome.MIXED:
            self.record_violation("a caller received the answer to another request")
        if outcome is Outcome.SERVED or not was_open or not self.is_calm(sent_at):
            return
        holders = [
            upstream
            for upstream in self.site.upstreams.values()
            if flow.key in upstream.connections
        ]
        if holders and holders[0] in upstreams.values():
            self.record_violation(
                f"outcome of a flow was {outcome.value} while {holders[0].name} kept its connection"
            )

    async def fetch_repeatedly(self, caller: StreamCaller) -> None:
        """Send each request on a new flow."""
        while not self.is_over:
            flow = caller.flow(self.site.service_address(SHEETS))
            outcome = await flow.request(TIMEOUT_S)
            self.outcomes[f"sheet {outcome.value}"] += 1
            self.check_flow(flow, outcome, self.now(), False, {})
            flow.close()
            await asyncio.sleep(REQUEST_INTERVAL_S * (0.5 + self.random.random()))

    # Faults

    def pick_host(self, role: Role) -> StreamHost:
        """Return a random host of a role, if possible one that no fault is using."""
        hosts = [host for host in self.site.hosts.values() if host.role is role]
        free = [host for host in hosts if host.name not in self.reserved]
        return self.random.choice(free or hosts)

    async def inject_fault(self) -> None:
        """Inject one random fault and wait for its end."""
        kind = self.random.choice(sorted(FAULTS))
        fault = FAULTS[kind]
        self.injected_faults[kind] += 1
        self.unplanned_faults += not fault.is_planned
        try:
            await fault.inject(self)
        finally:
            self.unplanned_faults -= not fault.is_planned
            if not fault.is_planned:
                self.calm_since = self.now()

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults for a time, in series and overlapping."""
        ends = self.now() + seconds
        running: set[asyncio.Task[None]] = set()
        while self.now() < ends:
            running.add(asyncio.get_running_loop().create_task(self.inject_fault()))
            await asyncio.sleep(self.random.choice((0.1, 1.0, 3.0, CONTACT_S + 6.0)))
        await asyncio.gather(*running)

    @asynccontextmanager
    async def reserved_host(self, role: Role) -> AsyncIterator[StreamHost]:
        """Reserve a host, so that no other fault uses it."""
        host = self.pick_host(role)
        while host.name in self.reserved:
            await asyncio.sleep(0.1)
        self.reserved.add(host.name)
        try:
            yield host
        finally:
            self.reserved.discard(host.name)

    async def restart(self, role: Role, number: signal.Signals) -> None:
        """End a process with a signal and start it again."""
        async with self.reserved_host(role) as host:
            await self.site.end(host.name, number)
            await asyncio.sleep(self.random.uniform(*RESTART_DELAY_S))
            await self.site.start_process(host)
            await asyncio.sleep(1.0)

    async def pause(self, role: Role) -> None:
        """Suspend a process for a time and resume it."""
        async with self.reserved_host(role) as host:
            self.site.send_signal(host.name, signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(*FAULT_DURATION_S))
            self.site.send_signal(host.name, signal.SIGCONT)

    async def kill_all(self) -> None:
        """Kill all processes that no other fault is using, and start them again."""
        names = [name for name in self.site.processes if name not in self.reserved]
        self.reserved.update(names)
        await asyncio.gather(*(self.site.kill_process(name) for name in names))
        await asyncio.sleep(self.random.uniform(*RESTART_DELAY_S))
        for name in names:
            await self.site.start_process(self.site.hosts[name])
        self.reserved.difference_update(names)

    async def replace_upstream(self) -> None:
        """Close an upstream abruptly and start a new one at the same address."""
        async with self.reserved_host(Role.AGENT) as host:
            await self.site.upstreams[host.name].close()
            await asyncio.sleep(self.random.uniform(*RESTART_DELAY_S))
            await self.site.start_upstream(host)

    async def drain_upstream(self) -> None:
        """Drain an upstream, check that it receives no new flows, and make it ready again."""
        async with self.reserved_host(Role.AGENT) as host:
            upstream = self.site.upstreams[host.name]
            upstream.set_state("draining")
            await self.expect_no_new_flows("a draining upstream", lambda: upstream.opened)
            upstream.set_state("ready")

    async def withdraw_domain(self) -> None:
        """Withdraw a failure domain, check that it receives no new flows, and return it."""
        domain = self.random.choice(sorted({host.failure_domain for host in self.agents()}))
        async with self.change_lock:
            self.site.store.put(f"op/evacuate/{domain}", {})
            upstreams = [
                upstream for upstream in self.site.upstreams.values() if upstream.domain == domain
            ]
            await self.expect_no_new_flows(
                "a withdrawn domain", lambda: sum(upstream.opened for upstream in upstreams)
            )
            self.site.store.delete(f"op/evacuate/{domain}")

    async def remove_route(self) -> None:
        """Remove a route, check that its service receives no new flows, and restore the route."""
        async with self.change_lock:
            self.site.publish(without=SHEETS)
            upstreams = [
                upstream for upstream in self.site.upstreams.values() if upstream.service == SHEETS
            ]
            await self.expect_no_new_flows(
                "a removed route", lambda: sum(upstream.opened for upstream in upstreams)
            )
            self.site.publish()

    async def expect_no_new_flows(self, where: str, opened: Callable[[], int]) -> None:
        """Record new flows that arrive after `CHANGE_WITHIN_S`, if the system stayed calm."""
        began = self.now()
        await asyncio.sleep(CHANGE_WITHIN_S)
        before = opened()
        await asyncio.sleep(1.0)
        if self.is_calm(began) and opened() > before:
            self.record_violation(f"{opened() - before} new flows at {where}")

    async def set_store_fault(self, name: str, value: object, normal: object) -> None:
        """Set an attribute of the store for a time and restore it."""
        setattr(self.site.store, name, value)
        self.site.store.wake_watches()
        await asyncio.sleep(self.random.uniform(*FAULT_DURATION_S))
        setattr(self.site.store, name, normal)

    async def compact_store(self) -> None:
        """Compact the history of the store."""
        self.site.store.compact()

    def agents(self) -> list[StreamHost]:
        """Return the hosts with an upstream."""
        return [host for host in self.site.hosts.values() if host.role is Role.AGENT]

    # Run

    async def run(self, seconds: float) -> SoakResult:
        """Start the deployment, inject faults, let it recover, and return the result."""
        self.began = self.now()
        loop = asyncio.get_running_loop()
        try:
            await self.site.start()
            self.calm_since = self.now()
            activities = [
                (FEED_CALLERS, self.request_repeatedly),
                (SHEET_CALLERS, self.fetch_repeatedly),
            ]
            callers = [
                loop.create_task(activity(await self.site.add_caller()))
                for count, activity in activities
                for _ in range(count)
            ]
            await self.inject_faults(seconds)
            await asyncio.sleep(RECOVERY_S)
            await self.expect_service()
            self.is_over = True
            await asyncio.gather(*callers)
            self.check_processes()
        finally:
            await self.site.close()
        return SoakResult(self.outcomes, self.injected_faults, self.violations)

    async def expect_service(self) -> None:
        """Record a service that does not answer every new flow after the recovery time."""
        for service in (FEEDS, SHEETS):
            caller = await self.site.add_caller()
            flows = [caller.flow(self.site.service_address(service)) for _ in range(8)]
            outcomes = await asyncio.gather(*(flow.request(TIMEOUT_S) for flow in flows))
            bad = [outcome.value for outcome in outcomes if outcome is not Outcome.SERVED]
            if bad:
                self.record_violation(
                    f"new flows to {service} failed after the recovery time: {bad}"
                )

    def check_processes(self) -> None:
        """Record faults of processes, unexpected exits, and altered packets."""
        self.violations += self.site.faults + self.site.unexpected_exits
        altered = sum(upstream.altered for upstream in self.site.upstreams.values())
        altered += sum(caller.altered for caller in self.site.callers)
        if altered:
            self.record_violation(f"{altered} packets altered")


FAULTS: dict[str, Fault] = {
    "balancer killed": Fault(False, lambda soak: soak.restart(Role.BALANCER, signal.SIGKILL)),
    "balancer stopped": Fault(True, lambda soak: soak.restart(Role.BALANCER, signal.SIGTERM)),
    "balancer paused": Fault(False, lambda soak: soak.pause(Role.BALANCER)),
    "agent killed": Fault(False, lambda soak: soak.restart(Role.AGENT, signal.SIGKILL)),
    "agent stopped": Fault(False, lambda soak: soak.restart(Role.AGENT, signal.SIGTERM)),
    "agent paused": Fault(False, lambda soak: soak.pause(Role.AGENT)),
    "all killed": Fault(False, Soak.kill_all),
    "upstream replaced": Fault(False, Soak.replace_upstream),
    "upstream drained": Fault(True, Soak.drain_upstream),
    "domain withdrawn": Fault(True, Soak.withdraw_domain),
    "route removed": Fault(True, Soak.remove_route),
    "store down": Fault(False, lambda soak: soak.set_store_fault("is_down", True, False)),
    "store slow": Fault(False, lambda soak: soak.set_store_fault("delay_s", 0.4, 0.0)),
    "store silent": Fault(False, lambda soak: soak.set_store_fault("delay_s", 60.0, 0.0)),
    "store compacted": Fault(True, Soak.compact_store),
}


def run_soak(seed: int, seconds: float) -> SoakResult:
    """Run one soak; a seed fixes the choice of faults, but not their exact timing."""
    return asyncio.run(Soak(seed).run(seconds))
