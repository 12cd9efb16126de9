"""The byte-stream demo: callers use a deployment while its parts are replaced."""

import asyncio
from collections import Counter

from rich.console import Console

from heatheryoke.standins.demo_run import Check, Demonstration, check_table, run_demonstration
from heatheryoke.standins.stream_caller import Outcome, StreamFlow
from heatheryoke.standins.stream_site import FEEDS, SHEETS, StreamSite

__all__ = ["StreamDemo", "run_stream_demo"]

FEED_CALLERS = 12
SHEET_CALLERS = 4
REQUEST_INTERVAL_S = 0.3
TIMEOUT_S = 5.0
STEP_S = 3.0
SETTLE_S = 3.0


class StreamDemo(Demonstration):
    """Runs callers with long flows and with a flow per request, and replaces parts meanwhile."""

    def __init__(self, site: StreamSite):
        self.site = site
        self.stage = "starting"
        self.feeds: Counter[Outcome] = Counter()
        self.sheets: Counter[Outcome] = Counter()
        self.drained_openings = 0
        self.withdrawn_openings = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the deployment and its callers."""
        await self.site.start()
        loop = asyncio.get_running_loop()
        for _ in range(FEED_CALLERS):
            caller = await self.site.add_caller()
            flow = caller.flow(self.site.service_address(FEEDS))
            self.tasks.append(loop.create_task(self.request_repeatedly(flow)))
        for _ in range(SHEET_CALLERS):
            caller = await self.site.add_caller()
            self.tasks.append(loop.create_task(self.fetch_repeatedly(caller)))

    async def close(self) -> None:
        """Stop the callers and the deployment."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.site.close()

    async def request_repeatedly(self, flow: StreamFlow) -> None:
        """Send requests on one flow; a flow that breaks is replaced."""
        while True:
            outcome = await flow.request(TIMEOUT_S)
            self.feeds[outcome] += 1
            if outcome is not Outcome.SERVED:
                flow = flow.caller.flow(self.site.service_address(FEEDS))
            await asyncio.sleep(REQUEST_INTERVAL_S * (0.5 + self.site.random.random()))

    async def fetch_repeatedly(self, caller) -> None:
        """Send each request on a new flow."""
        while True:
            flow = caller.flow(self.site.service_address(SHEETS))
            self.sheets[await flow.request(TIMEOUT_S)] += 1
            flow.close()
            await asyncio.sleep(REQUEST_INTERVAL_S * (0.5 + self.site.random.random()))

    # Changes

    async def run(self) -> None:
        """Make the changes one after another."""
        self.stage = "steady"
        await asyncio.sleep(STEP_S)
        await self.replace_balancer()
        await self.restart_agent()
        await self.drain_upstream()
        await self.withdraw_domain()
        await self.lose_store()

    async def replace_balancer(self) -> None:
        """Stop one balancer gracefully and start it again; nearly all flows are rerouted."""
        self.stage = "replacing a balancer"
        await self.site.stop_process("balancer-1")
        await asyncio.sleep(1.0)
        await self.site.start_process(self.site.hosts["balancer-1"])
        await asyncio.sleep(1.0)

    async def restart_agent(self) -> None:
        """Kill one agent and start it again while its upstream keeps running."""
        self.stage = "restarting an agent"
        await self.site.kill_process("agent-2")
        await asyncio.sleep(0.5)
        await self.site.start_process(self.site.hosts["agent-2"])
        await asyncio.sleep(STEP_S)

    async def drain_upstream(self) -> None:
        """Drain one upstream and count the flows it still accepts after `SETTLE_S`."""
        self.stage = "draining an upstream"
        upstream = self.site.upstreams["agent-1"]
        upstream.set_state("draining")
        await asyncio.sleep(SETTLE_S)
        opened = upstream.opened
        await asyncio.sleep(1.0)
        self.drained_openings = upstream.opened - opened
        upstream.set_state("ready")

    async def withdraw_domain(self) -> None:
        """Withdraw a failure domain, count flows it accepts after `SETTLE_S`, and return it."""
        self.stage = "withdrawing domain-2"
        self.site.store.put("op/evacuate/domain-2", {})
        await asyncio.sleep(SETTLE_S)
        opened = self.opened_in("domain-2")
        await asyncio.sleep(1.0)
        self.withdrawn_openings = self.opened_in("domain-2") - opened
        self.site.store.delete("op/evacuate/domain-2")

    async def lose_store(self) -> None:
        """Make the store unavailable for a time."""
        self.stage = "losing the store"
        self.site.store.is_down = True
        self.site.store.wake_watches()
        await asyncio.sleep(STEP_S)
        self.site.store.is_down = False
        await asyncio.sleep(1.0)

    # Measurements

    def opened_in(self, domain: str) -> int:
        """Return how many flows the upstreams of a failure domain have accepted."""
        return sum(
            upstream.opened
            for upstream in self.site.upstreams.values()
            if upstream.domain == domain
        )

    def checks(self) -> list[Check]:
        """Return the result of each check."""
        outcomes = self.feeds + self.sheets
        altered = sum(upstream.altered for upstream in self.site.upstreams.values())
        altered += sum(caller.altered for caller in self.site.callers)
        broken = self.feeds[Outcome.RESET] + self.feeds[Outcome.SILENT]
        not_opened = outcomes[Outcome.NOT_OPENED] + self.sheets[Outcome.RESET]
        mixed = outcomes[Outcome.MIXED]
        records = [app.record for app in self.site.applications.values()]
        faults = sum(record.counters.get("faults", 0) for record in records)
        rows = (
            ("long flows broken", broken),
            ("flows not opened", not_opened),
            ("answers to the wrong request", mixed),
            ("packets altered", altered),
            ("new flows at a draining upstream", self.drained_openings),
            ("new flows in a withdrawn domain", self.withdrawn_openings),
            ("faults in processes", faults),
        )
        return [Check(name, str(measured), not measured) for name, measured in rows]

    def progress(self) -> str:
        """Return one line on the current stage and the answers so far."""
        served = self.feeds[Outcome.SERVED], self.sheets[Outcome.SERVED]
        return f"{self.stage}: {served[0]} answers on long flows, {served[1]} on short ones"

    def print_result(self, console: Console, checks: list[Check]) -> None:
        """Print the answers and the checks."""
        console.print(self.progress())
        console.print(check_table("check", checks))


async def run_stream_demo(seed: int, console: Console) -> int:
    """Run the demo and return the exit code."""
    return await run_demonstration(StreamDemo(StreamSite(seed)), console)
