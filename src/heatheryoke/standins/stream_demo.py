"""The demo of byte streams: callers use a deployment while its parts are replaced."""

import asyncio
from collections import Counter

from rich.console import Console

from heatheryoke.standins.demo_run import Check, Demonstration, check_table, run_demonstration
from heatheryoke.standins.stream_caller import Outcome, StreamFlow
from heatheryoke.standins.stream_site import FEEDS, SHEETS, StreamSite

__all__ = ["StreamDemo", "run_stream_demo"]

FEED_CALLERS = 12
SHEET_CALLERS = 4
ASK_EVERY_S = 0.3
TIMEOUT_S = 5.0
STEP_S = 3.0
LEAVE_S = 3.0


class StreamDemo(Demonstration):
    """Callers with long flows and callers with a flow for each request."""

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
            self.tasks.append(loop.create_task(self.ask_often(flow)))
        for _ in range(SHEET_CALLERS):
            caller = await self.site.add_caller()
            self.tasks.append(loop.create_task(self.fetch_often(caller)))

    async def close(self) -> None:
        """Stop the callers and the deployment."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.site.close()

    async def ask_often(self, flow: StreamFlow) -> None:
        """Ask again and again on one flow; a broken one is replaced."""
        while True:
            outcome = await flow.ask(TIMEOUT_S)
            self.feeds[outcome] += 1
            if outcome is not Outcome.SERVED:
                flow = flow.caller.flow(self.site.service_address(FEEDS))
            await asyncio.sleep(ASK_EVERY_S * (0.5 + self.site.random.random()))

    async def fetch_often(self, caller) -> None:
        """Open a flow for each request."""
        while True:
            flow = caller.flow(self.site.service_address(SHEETS))
            self.sheets[await flow.ask(TIMEOUT_S)] += 1
            flow.close()
            await asyncio.sleep(ASK_EVERY_S * (0.5 + self.site.random.random()))

    # The changes

    async def run(self) -> None:
        """Make one change after another."""
        self.stage = "steady"
        await asyncio.sleep(STEP_S)
        await self.replace_balancer()
        await self.restart_agent()
        await self.drain_upstream()
        await self.withdraw_domain()
        await self.lose_store()

    async def replace_balancer(self) -> None:
        """Stop one balancer gracefully and start it anew; nearly all flows move."""
        self.stage = "replacing a balancer"
        await self.site.stop_process("balancer-1")
        await asyncio.sleep(1.0)
        await self.site.start_process(self.site.hosts["balancer-1"])
        await asyncio.sleep(1.0)

    async def restart_agent(self) -> None:
        """Kill one agent and start it anew beside its living upstream."""
        self.stage = "restarting an agent"
        await self.site.kill_process("agent-2")
        await asyncio.sleep(0.5)
        await self.site.start_process(self.site.hosts["agent-2"])
        await asyncio.sleep(STEP_S)

    async def drain_upstream(self) -> None:
        """Drain one upstream and count the flows that it gets after a while."""
        self.stage = "draining an upstream"
        upstream = self.site.upstreams["agent-1"]
        upstream.set_state("draining")
        await asyncio.sleep(LEAVE_S)
        opened = upstream.opened
        await asyncio.sleep(1.0)
        self.drained_openings = upstream.opened - opened
        upstream.set_state("ready")

    async def withdraw_domain(self) -> None:
        """Withdraw one failure domain, count the flows that it gets after a while, return it."""
        self.stage = "withdrawing domain-2"
        self.site.store.put("op/evacuate/domain-2", {})
        await asyncio.sleep(LEAVE_S)
        opened = self.opened_in("domain-2")
        await asyncio.sleep(1.0)
        self.withdrawn_openings = self.opened_in("domain-2") - opened
        self.site.store.delete("op/evacuate/domain-2")

    async def lose_store(self) -> None:
        """Take the store down and bring it back."""
        self.stage = "losing the store"
        self.site.store.is_down = True
        self.site.store.wake()
        await asyncio.sleep(STEP_S)
        self.site.store.is_down = False
        await asyncio.sleep(1.0)

    # Reading

    def opened_in(self, domain: str) -> int:
        """Return how many flows the upstreams of a failure domain have accepted."""
        return sum(row.opened for row in self.site.upstreams.values() if row.domain == domain)

    def checks(self) -> list[Check]:
        """Return each promise with what was seen."""
        outcomes = self.feeds + self.sheets
        altered = sum(row.altered for row in self.site.upstreams.values())
        altered += sum(caller.altered for caller in self.site.callers)
        broken = self.feeds[Outcome.RESET] + self.feeds[Outcome.SILENT]
        not_opened = outcomes[Outcome.NOT_OPENED] + self.sheets[Outcome.RESET]
        mixed = outcomes[Outcome.MIXED]
        records = [app.record for app in self.site.applications.values()]
        faults = sum(record.counters.get("faults", 0) for record in records)
        rows = (
            ("long flows broken", broken),
            ("flows not opened", not_opened),
            ("answers mixed up", mixed),
            ("packets altered", altered),
            ("new flows at a draining upstream", self.drained_openings),
            ("new flows in a withdrawn domain", self.withdrawn_openings),
            ("faults in processes", faults),
        )
        return [Check(promise, str(seen), not seen) for promise, seen in rows]

    def progress(self) -> str:
        """Return one line on how it stands."""
        served = self.feeds[Outcome.SERVED], self.sheets[Outcome.SERVED]
        return f"{self.stage}: {served[0]} answers on long flows, {served[1]} on short ones"

    def print_result(self, console: Console, checks: list[Check]) -> None:
        """Print the requests and the promises."""
        console.print(self.progress())
        console.print(check_table("promise", checks))


async def run_stream_demo(seed: int, console: Console) -> int:
    """Run the demo; return the exit code."""
    return await run_demonstration(StreamDemo(StreamSite(seed)), console)
