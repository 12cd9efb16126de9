"""A cancelled wait of the byte-stream caller ends even if a packet arrives at that moment.

A wait that swallows the cancellation would keep its task running for ever.
"""

import asyncio

import pytest

from heatheryoke.core.flows import FlowKey
from heatheryoke.inventory.model import Address
from heatheryoke.standins.stream_caller import StreamCaller


def no_route(flow: FlowKey) -> None:
    return None


class TestCancellation:
    @pytest.mark.parametrize("turns", range(6))
    def test_is_not_lost_when_a_packet_arrives_at_the_same_moment(self, turns):
        async def run():
            flow = StreamCaller(Address("127.0.0.1", 1), no_route, 1).flow(Address("198.18.0.1", 1))

            async def wait_for_ever():
                while True:
                    await flow.wait(lambda: False, 0.5)

            task = asyncio.create_task(wait_for_ever())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            flow.packet_arrived.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            done, _ = await asyncio.wait([task], timeout=0.3)
            lost = not done
            task.cancel()
            return lost

        assert not asyncio.run(run())
