"""Real processes beside another writer that leaves malformed entries in the store."""

import asyncio

from heatheryoke.inventory.model import Address
from heatheryoke.standins.foreign_writer import ForeignWriter
from heatheryoke.standins.process_site import ProcessStreamSite
from heatheryoke.standins.stream_caller import Outcome
from heatheryoke.standins.stream_site import CHANGE_WITHIN_S, FEEDS

NEW_ROUTE = Address("198.18.0.2", 2_000)
OPENING_INTERVAL_S = 0.04
RESTARTED = ("balancer-1", "agent-2", "agent-6", "balancer-2", "agent-1", "balancer-3", "agent-3")


class ForeignEntryDay:
    """A drain, a new route and restarts beside malformed entries, under a steady load."""

    def __init__(self, site):
        self.site = site
        self.is_over = False
        self.served = []

    async def play(self):
        """Return the flows that the draining upstream got too late, and what was served last."""
        site = self.site
        leaving = site.upstreams["agent-1"]
        writer = ForeignWriter(site.store, lambda: [leaving])
        tasks = [asyncio.create_task(row) for row in (writer.run(self.has_ended), self.open_all())]
        await asyncio.sleep(3.0)
        leaving.set_state("draining")
        must_end_at = asyncio.get_running_loop().time() + CHANGE_WITHIN_S
        site.routes[NEW_ROUTE] = FEEDS
        site.publish()
        for name in RESTARTED:
            await site.stop_process(name)
            await site.start_process(site.hosts[name])
            await asyncio.sleep(0.8)
        await asyncio.sleep(CHANGE_WITHIN_S)
        last = [await self.request_all(row) for row in (site.service_address(FEEDS), NEW_ROUTE)]
        self.is_over = True
        await asyncio.gather(*tasks)
        late = [row for row in leaving.openings.values() if row.at > must_end_at]
        return len(late), last

    def has_ended(self):
        return self.is_over

    async def open_all(self):
        """Open flows at a steady rate until the end."""
        caller, requests = await self.site.add_caller(), []
        while not self.is_over:
            flow = caller.flow(self.site.service_address(FEEDS))
            requests.append(asyncio.create_task(flow.request(5.0)))
            await asyncio.sleep(OPENING_INTERVAL_S)
        self.served = await asyncio.gather(*requests)

    async def request_all(self, address):
        """Return how many of 24 requests in turn, each on a flow of its own, were served."""
        caller = await self.site.add_caller()
        outcomes = [await caller.flow(address).request(5.0) for _ in range(24)]
        return outcomes.count(Outcome.SERVED)


class TestForeignEntriesBesideADrain:
    """They stopped the store watches or hid the drain: a draining upstream still got new flows."""

    def test_hide_neither_the_drain_nor_a_new_route_from_any_process(self):
        async def play():
            site = ProcessStreamSite(seed=11)
            await site.start()
            try:
                result = await ForeignEntryDay(site).play()
                return result, site.misled_views, site.faults, site.unexpected_exits
            finally:
                await site.close()

        (late, last), misled, faults, exits = asyncio.run(play())
        assert late == 0
        assert misled == []
        assert last == [24, 24]
        assert faults == [] and exits == []
