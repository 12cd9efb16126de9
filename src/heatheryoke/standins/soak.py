"""Soak test: callers use a deployment of real processes under overlapping, seeded random faults.

All the while an operator changes routes, and another writer leaves malformed entries in the store.

The rules are checked by what callers and upstreams observe. The platform's rules bind in time only
while the system is calm: the store and all processes have been undisturbed for `CONTACT_S`.
"""

import asyncio
import json
import random
import signal
from collections import Counter
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import NamedTuple

from heatheryoke.core.flows import FlowKey, describe_flow, flow_tuple
from heatheryoke.inventory.model import Address
from heatheryoke.standins.contact import CONTACT_S, CORE, Contact
from heatheryoke.standins.foreign_writer import ForeignWriter
from heatheryoke.standins.process_site import ProcessStreamSite
from heatheryoke.standins.route_checker import RouteChecker
from heatheryoke.standins.soak_faults import FAULTS, FaultTarget
from heatheryoke.standins.stream_caller import Outcome, StreamCaller, StreamFlow
from heatheryoke.standins.stream_site import (
    CHANGE_WITHIN_S,
    FEEDS,
    FLOW_TTL_S,
    IDLE_TIMEOUT_MS,
    SHEETS,
    SMALL_SITE,
    SiteSize,
)
from heatheryoke.standins.stream_upstream import StreamUpstream

__all__ = ["Soak", "SoakResult", "run_soak", "write_logs"]

FEED_CALLERS = 12
# Callers that send all packets of a flow to one balancer until its process is gone.
LOYAL_CALLERS = 6
SHEET_CALLERS = 6
REQUEST_INTERVAL_S = 0.25
TIMEOUT_S = 6.0
# Share of requests after which a caller replaces its flow: most end within `FLOW_TTL_S`.
RENEWAL_SHARE = 0.01
# Time after the last fault within which all must work again (the platform's `recoveryS`).
RECOVERY_S = 12.0
# Pauses between the beginnings of two faults.
FAULT_GAPS_S = (0.1, 0.1, 0.5, 1.0, 3.0, CONTACT_S + 6.0)
# Hosts for each series of faults; larger sites have several series at the same time.
HOSTS_PER_SERIES = 20


class SoakResult(NamedTuple):
    """Result of a soak: outcomes of requests, faults injected, and rule violations.

    `logs` are the latest log lines of each process, kept if a rule was violated.
    """

    outcomes: Counter[str]
    injected_faults: Counter[str]
    violations: list[str]
    logs: dict[str, list[str]]


class Soak(FaultTarget):
    """Runs callers, injects faults, and checks the rules."""

    def __init__(self, seed: int, size: SiteSize = SMALL_SITE):
        self.random = random.Random(seed)
        # Of its own, so that the seed alone fixes the sequence of kinds, whatever the callers draw.
        self.kinds = random.Random(f"kinds {seed}")
        self.site = ProcessStreamSite(seed, size)
        self.checker = RouteChecker(self.site, self.random, self.is_calm)
        self.outcomes: Counter[str] = Counter()
        self.injected_faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self.site.on_system_reset = self.check_reset
        self.contact = Contact(self.now)
        self.foreign_writer = ForeignWriter(self.site.store, self.foreign_targets)
        self.unplanned_faults = 0
        self.calm_since = inf
        self.reserved: set[str] = set()
        self.withdrawn: str | None = None
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

    def foreign_targets(self) -> list[StreamUpstream]:
        """Return the upstreams that malformed entries pretend to be: those that drain, or all."""
        upstreams = list(self.site.upstreams.values())
        return [row for row in upstreams if row.state == "draining"] or upstreams

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
            elif self.random.random() < RENEWAL_SHARE:
                flow.close()
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
        holder = self.holder(flow.key)
        if holder in upstreams.values():
            self.record_violation(
                f"outcome of a flow was {outcome.value} while {holder.name} kept its connection"
            )

    def check_reset(self, flow: StreamFlow, sender: str) -> None:
        """Record a reset by the system of a flow that is open at a live upstream.

        It counts during planned work, and beside unplanned faults of other hosts than the
        sender, the balancers that took the flow's latest packets, and the upstream's.
        """
        holder = self.holder(flow.key)
        if holder is None or self.may_be_discarded(flow):
            return
        taken = [ip for ip, at in flow.taken_at.items() if self.now() - at < CONTACT_S]
        names = [self.site.names.get(ip, ip) for ip in (sender, *taken)]
        if self.contact.is_kept((*names, holder.host_name)):
            self.record_violation(
                f"{names[0]} reset {describe_flow(flow.key)}, which is open at {holder.host_name} "
                f"({holder.name}); it was sent through {', '.join(names[1:])}"
            )

    def holder(self, flow: FlowKey) -> StreamUpstream | None:
        """Return the live upstream at which a flow is open, if any."""
        return next((row for row in self.site.upstreams.values() if row.has_open(flow)), None)

    def may_be_discarded(self, flow: StreamFlow) -> bool:
        """Return whether an open flow is too old, was idle too long or has lost its route."""
        now = self.now()
        return (
            now - flow.opened_at > FLOW_TTL_S
            or now - flow.active_at > IDLE_TIMEOUT_MS / 1000
            or self.site.history.drops_route(flow_tuple(flow.key).service, flow.opened_at, now)
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

    def loyal_way(self) -> Callable[[FlowKey], Address | None]:
        """Return a way that keeps to each flow's balancer until that process is gone."""
        chosen: dict[FlowKey, Address] = {}

        def choose(flow: FlowKey) -> Address | None:
            balancer = chosen.get(flow)
            if balancer is None or not self.site.is_running(self.site.names[balancer.ip]):
                balancer = self.site.route(flow)
                if balancer is not None:
                    chosen[flow] = balancer
            return balancer

        return choose

    async def start_callers(self) -> list[asyncio.Task[None]]:
        """Start all callers."""
        loop = asyncio.get_running_loop()
        activities = [
            (FEED_CALLERS, self.request_repeatedly, self.site.route),
            (LOYAL_CALLERS, self.request_repeatedly, self.loyal_way()),
            (SHEET_CALLERS, self.fetch_repeatedly, self.site.route),
        ]
        await self.checker.start()
        background = (
            self.checker.run,
            self.checker.change_repeatedly,
            self.foreign_writer.run,
        )
        tasks = [loop.create_task(run(lambda: self.is_over)) for run in background]
        for count, activity, way in activities:
            for _ in range(count):
                tasks.append(loop.create_task(activity(await self.site.add_caller(way))))
        return tasks

    # Faults

    async def inject_fault(self) -> None:
        """Inject one random fault and wait for its end."""
        kind = self.kinds.choice(sorted(FAULTS))
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
        async with asyncio.TaskGroup() as running:
            while self.now() < ends:
                running.create_task(self.inject_fault())
                await asyncio.sleep(self.random.choice(FAULT_GAPS_S))

    async def inject_series(self, seconds: float) -> None:
        """Inject a series of faults for every `HOSTS_PER_SERIES` hosts.

        An error in one series cancels the others, so that none starts processes after the site has
        been closed.
        """
        async with asyncio.TaskGroup() as running:
            for _ in range(max(1, len(self.site.hosts) // HOSTS_PER_SERIES)):
                running.create_task(self.inject_faults(seconds))

    async def expect_no_new_flows(self, where: str, opened: Callable[[], int]) -> None:
        """Record new flows that arrive after `CHANGE_WITHIN_S`, if the system stayed calm."""
        began = self.now()
        await asyncio.sleep(CHANGE_WITHIN_S)
        before = opened()
        await asyncio.sleep(1.0)
        if self.is_calm(began) and opened() > before:
            self.record_violation(f"{opened() - before} new flows at {where}")

    # Run

    async def run(self, seconds: float) -> SoakResult:
        """Start the deployment, inject faults, let it recover, and return the result.

        SIGTERM cancels the soak, so that it ends its processes first.
        """
        self.began = self.now()
        cancel = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
        try:
            with self.contact.disturbed(CORE):
                await self.site.start()
            self.calm_since = self.now()
            callers = await self.start_callers()
            await self.inject_series(seconds)
            await asyncio.sleep(RECOVERY_S)
            await self.expect_service()
            self.is_over = True
            await asyncio.gather(*callers)
            self.check_processes()
            self.violations += self.checker.violations()
        finally:
            await self.site.close()
        self.violations += self.site.leftovers
        logs = {name: list(lines) for name, lines in self.site.logs.items()}
        return SoakResult(
            self.outcomes + self.checker.outcomes,
            self.injected_faults,
            self.violations,
            logs if self.violations else {},
        )

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
        """Record faults of processes, unexpected exits, misled views, and altered packets."""
        self.violations += self.site.faults + self.site.unexpected_exits + self.site.misled_views
        altered = sum(upstream.altered for upstream in self.site.all_upstreams)
        altered += sum(caller.altered for caller in self.site.callers)
        if altered:
            self.record_violation(f"{altered} packets altered")


def run_soak(seed: int, seconds: float, size: SiteSize = SMALL_SITE) -> SoakResult:
    """Run one soak; a seed fixes the choice of faults, but not their exact timing."""
    return asyncio.run(Soak(seed, size).run(seconds))


def write_logs(result: SoakResult, seed: int, folder: Path) -> Path:
    """Write the violations and logs of a soak to a file in a folder, and return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"soak-{seed}.json"
    content = {"seed": seed, "violations": result.violations, "logs": result.logs}
    path.write_text(json.dumps(content, indent=1), encoding="utf-8")
    return path
