"""The CoAP demo: callers use a deployment while hosts and failure domains are changed."""

import asyncio
import logging
from collections import Counter

from rich.console import Console
from rich.table import Table

from heatheryoke.core.agent import Agent
from heatheryoke.daemons.application import FAULT_COUNTER
from heatheryoke.inventory.model import HostState, Role
from heatheryoke.standins.caller import Caller, Reply
from heatheryoke.standins.demo_run import Check, Demonstration, check_table, run_demonstration
from heatheryoke.standins.deployments import Deployment
from heatheryoke.standins.site import Site
from heatheryoke.standins.upstream import UpstreamBehaviour

__all__ = ["run_demo"]

FEEDS = 28
SHEET_CALLERS = 9
SETTLE_S = 2.0
STEP_S = 3.0
WRITE_INTERVAL_S = 0.8
SHEET_INTERVAL_S = 0.5


class Demo(Demonstration):
    """Runs callers with feeds, writes and sheets, and changes the deployment meanwhile."""

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.site = Site(deployment, seed, UpstreamBehaviour(slots=deployment.slots))
        self.feed_callers: list[Caller] = []
        self.sheet_callers: list[Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.writes = 0
        self.stage = "starting"
        self.imbalance = 0.0
        self.broken_by_plan = 0
        self.silent_after_s: float | None = None

    # Life cycle

    async def start(self) -> None:
        """Start the deployment and its callers."""
        await self.site.start_standins()
        await self.site.start_processes()
        await self.site.wait_for_epoch()
        await asyncio.sleep(SETTLE_S)
        main = self.site.service_address(self.deployment.main_service)
        sheets = self.site.service_address(self.deployment.sheet_service)
        loop = asyncio.get_running_loop()
        for index in range(FEEDS):
            caller = Caller(main)
            await caller.start()
            caller.open_feed(self.deployment.feed_path)
            self.feed_callers.append(caller)
            self.tasks.append(loop.create_task(self.write_repeatedly(caller, index)))
        for index in range(SHEET_CALLERS):
            caller = Caller(sheets)
            await caller.start()
            self.sheet_callers.append(caller)
            self.tasks.append(loop.create_task(self.fetch_repeatedly(caller, index)))

    async def close(self) -> None:
        """Stop the callers and the deployment."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in (*self.feed_callers, *self.sheet_callers):
            await caller.close()
        await self.site.close()

    async def write_repeatedly(self, caller: Caller, index: int) -> None:
        """Send writes; repeat each under the same id, up to five times, until it is answered."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S * (0.5 + self.site.random.random()))
            self.writes += 1
            identity = f"{index}-{self.writes}"
            for _ in range(5):
                reply = await caller.write(self.deployment.write_path, identity, 4.0)
                if reply in (Reply.SERVED, Reply.MIXED):
                    break
                await asyncio.sleep(1.0)

    async def fetch_repeatedly(self, caller: Caller, index: int) -> None:
        """Fetch sheets until cancelled."""
        while True:
            await asyncio.sleep(SHEET_INTERVAL_S * (0.5 + self.site.random.random()))
            await caller.fetch_sheet(self.deployment.sheet_path, f"sheet{index}", 4.0)

    # Changes

    async def run(self) -> None:
        """Make the changes one after another."""
        self.stage = "steady"
        await asyncio.sleep(STEP_S)
        self.imbalance = self.measure_imbalance()
        await self.replace_balancer()
        await self.drain_upstream()
        self.broken_by_plan = self.broken()
        await self.withdraw_domain()

    async def replace_balancer(self) -> None:
        """Stop one balancer abruptly and start it again."""
        self.stage = "replacing a balancer"
        await self.site.stop_process("balancer-1", graceful=False)
        await asyncio.sleep(STEP_S / 2)
        await self.site.start_process(self.site.host("balancer-1"))
        await asyncio.sleep(STEP_S / 2)

    async def drain_upstream(self) -> None:
        """Drain one upstream and make it active again."""
        self.stage = "draining an upstream"
        self.site.set_host_state("upstream-1", HostState.DRAINING)
        await asyncio.sleep(STEP_S)
        self.site.set_host_state("upstream-1", HostState.ACTIVE)

    async def withdraw_domain(self) -> None:
        """Withdraw one failure domain, measure when its traffic ends, and return it."""
        self.stage = "withdrawing domain-3"
        self.site.set_withdrawn("domain-3", True)
        began = asyncio.get_running_loop().time()
        await self.site.wait_for_epoch()
        served = self.served_in("domain-3")
        await asyncio.sleep(STEP_S)
        if self.served_in("domain-3") == served:
            self.silent_after_s = asyncio.get_running_loop().time() - began - STEP_S
        self.stage = "returning domain-3"
        self.site.set_withdrawn("domain-3", False)
        await asyncio.sleep(STEP_S)

    # Measurements

    def agents(self) -> list[Agent]:
        """Return the reducers of the running agents."""
        names = [host.name for host in self.site.hosts(Role.AGENT)]
        applications = self.site.applications
        return [applications[name].node for name in names if name in applications]

    def served_in(self, domain: str) -> int:
        """Return how many requests the upstreams of a failure domain have served."""
        names = [host.name for host in self.site.document.hosts if host.failure_domain == domain]
        return sum(
            self.site.upstreams[name].served for name in names if name in self.site.upstreams
        )

    def measure_imbalance(self) -> float:
        """Return the ratio of the largest to the mean number of main-service flows per agent."""
        counts = [
            agent.flows.count(self.deployment.main_service)
            for agent in self.agents()
            if (self.deployment.main_service, agent.host_name) in agent.topology.endpoints
        ]
        return max(counts) * len(counts) / max(1, sum(counts))

    def broken(self) -> int:
        """Return how many callers had a feed that ended or moved to another upstream."""
        return sum(
            1 for caller in self.feed_callers if caller.feed_restarts or caller.owner_changes
        )

    def replies(self, callers: list[Caller]) -> Counter[Reply]:
        """Return the total of the replies of these callers."""
        return sum((caller.replies for caller in callers), Counter())

    def progress(self) -> str:
        """Return one line on the current stage and the requests so far."""
        writes = self.replies(self.feed_callers)[Reply.SERVED]
        sheets = self.replies(self.sheet_callers)[Reply.SERVED]
        notifications = sum(caller.notifications for caller in self.feed_callers)
        return f"{self.stage}: {writes} writes, {sheets} sheets, {notifications} notifications"

    def checks(self) -> list[Check]:
        """Return the result of each check."""
        doubled = len(self.site.ledger.doubled())
        replies = self.replies([*self.feed_callers, *self.sheet_callers])
        overloads = sum(upstream.cold_overloads for upstream in self.site.upstreams.values())
        faults = sum(
            application.metrics.counters().get(FAULT_COUNTER, 0)
            for application in self.site.applications.values()
        )
        silent = self.silent_after_s
        return [
            Check(
                "feeds broken by planned changes", str(self.broken_by_plan), not self.broken_by_plan
            ),
            Check("writes run twice", str(doubled), not doubled),
            Check(
                "answers to the wrong request",
                str(replies[Reply.MIXED]),
                not replies[Reply.MIXED],
            ),
            Check("overloads of cold upstreams", str(overloads), not overloads),
            Check(
                "time until the withdrawn domain is idle (limit 5 s)",
                "still receiving" if silent is None else f"{max(0.0, silent):.2f} s",
                silent is not None and silent <= 5.0,
            ),
            Check("faults in processes", str(faults), not faults),
        ]

    def service_table(self) -> Table:
        """Return a table of request counts by class and outcome."""
        table = Table("class", *(reply.value for reply in Reply), title="requests")
        classes = (
            (self.deployment.write_path, self.feed_callers),
            (self.deployment.sheet_path, self.sheet_callers),
        )
        for name, callers in classes:
            counts = self.replies(callers)
            table.add_row(name, *(str(counts[reply]) for reply in Reply))
        return table

    def print_result(self, console: Console, checks: list[Check]) -> None:
        """Print the requests, the checks, and further measurements."""
        table = check_table("check or measurement", checks)
        table.add_row("feeds restarted or moved in total", str(self.broken()), "")
        table.add_row("flow imbalance (maximum / mean)", f"{self.imbalance:.2f}", "")
        replies = self.replies([*self.feed_callers, *self.sheet_callers])
        served_share = replies[Reply.SERVED] / max(1, replies.total())
        table.add_row("requests served / sent", f"{served_share:.3f}", "")
        console.print(self.service_table())
        console.print(table)


async def run_demo(deployment: Deployment, seed: int, console: Console) -> int:
    """Run the demo and return the exit code."""
    logging.getLogger("coap").setLevel(logging.CRITICAL)
    return await run_demonstration(Demo(deployment, seed), console)
