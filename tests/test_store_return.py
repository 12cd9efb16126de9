"""The store comes back from an older copy, and gives revisions out again."""

import asyncio

from heatheryoke.inventory.model import Address
from heatheryoke.standins.stream_caller import Outcome
from heatheryoke.standins.stream_site import CHANGE_WITHIN_S, FEEDS, StreamSite

ADDED = Address("198.18.0.9", 2_001)
HELD = Address("198.18.0.9", 2_002)


async def request_at_each_balancer(site, address):
    """Return the outcomes of a request through each balancer."""
    outcomes = []
    for host in site.balancers():
        caller = await site.add_caller(lambda flow, ip=host.ip: Address(ip, site.ports.callers))
        outcomes.append(await caller.flow(address).request(2.5))
    return outcomes


class TestConfigurationAfterReturn:
    def test_a_version_of_a_lower_revision_is_in_force_in_time(self):
        """A view that compares bare revisions refuses every version written after the return."""

        async def play():
            site = StreamSite(seed=6)
            await site.start()
            try:
                site.routes[HELD] = FEEDS
                site.publish()
                await asyncio.sleep(0.5)
                site.store.return_from_copy(1.0)
                site.routes[ADDED] = FEEDS
                site.publish()
                await asyncio.sleep(CHANGE_WITHIN_S)
                return await request_at_each_balancer(site, ADDED)
            finally:
                await site.close()

        assert set(asyncio.run(play())) == {Outcome.SERVED}
