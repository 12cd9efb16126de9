"""Another writer overwrites the entry of an upstream that goes on serving."""

import asyncio

import pytest

from heatheryoke.core.events import PeerMessageArrived, StoreChanged, StoreRead, Tick
from heatheryoke.core.overwritten_entries import OVERWRITTEN_GRACE_S
from heatheryoke.core.records import Position
from heatheryoke.daemons.store_watch import MINIMUM_CALL_INTERVAL_S
from heatheryoke.inventory.model import HostState
from heatheryoke.standins.stream_caller import Outcome
from heatheryoke.standins.stream_site import FEEDS, StreamSite
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_store_updates import NOW, address_of, agent, endpoint, store_updates_sent

IP = address_of(2).ip
UNREADABLE = endpoint(2, 6)._replace(record=None)
UNNAMED = endpoint(2, 6, service="nowhere")
OVERWRITING = pytest.mark.parametrize("item", (UNREADABLE, UNNAMED), ids=("unreadable", "unnamed"))


def change(node, item, after, now=NOW):
    """Let a node read one change of the store."""
    return node.reduce(StoreChanged(now, (item,), Position(0, after), item.position))


class TestOverwrittenEntries:
    """The upstream left the view until its next heartbeat, and its open flows were reset."""

    @OVERWRITING
    def test_an_upstream_stays_while_it_writes_its_entry_again(self, item):
        node = agent(1, 10)
        for number in range(8):
            revision, now = 6 + 2 * number, NOW + number
            change(node, item._replace(position=Position(0, revision)), revision - 1, now)
            node.reduce(Tick(now + 0.5))
            assert node.topology.endpoints["live", IP].service == "live"
            change(node, endpoint(2, revision + 1), revision, now + 0.6)

    @OVERWRITING
    def test_an_upstream_leaves_if_nobody_writes_its_entry_again(self, item):
        node = agent(1, 10)
        change(node, item, 5)
        node.reduce(Tick(NOW + OVERWRITTEN_GRACE_S - 0.1))
        assert ("live", IP) in node.topology.endpoints
        node.reduce(Tick(NOW + OVERWRITTEN_GRACE_S + 0.1))
        assert ("live", IP) not in node.topology.endpoints

    def test_an_upstream_leaves_at_once_when_its_entry_is_removed(self):
        node = agent(1, 10)
        change(node, UNREADABLE, 5)
        change(node, endpoint(2, 7)._replace(present=False, record=None), 6)
        assert ("live", IP) not in node.topology.endpoints

    def test_a_drain_stays_known(self):
        node = agent(1, 10)
        change(node, endpoint(2, 6, is_draining=True), 5)
        change(node, UNREADABLE._replace(position=Position(0, 7)), 6)
        assert node.topology.hosts[IP].state is HostState.LEAVING

    def test_a_drain_is_taken_while_the_entry_is_overwritten(self):
        node = agent(1, 10)
        change(node, UNREADABLE, 5)
        change(node, endpoint(2, 7, is_draining=True), 6)
        assert node.topology.hosts[IP].state is HostState.LEAVING

    def pass_on(self, reader, receiver, item, after):
        """Let a process read a change and send it to another."""
        update = store_updates_sent(change(reader, item, after))[0].message
        datagram = open_datagram(seal_datagram(1, update))
        receiver.reduce(PeerMessageArrived(NOW, address_of(1), 1, datagram.message))

    def test_a_receiver_of_an_update_drops_the_upstream_when_the_reader_does(self):
        reader, receiver = agent(1, 10), agent(3, 11)
        self.pass_on(reader, receiver, UNREADABLE, 5)
        for node in (reader, receiver):
            assert ("live", IP) in node.topology.endpoints
            node.reduce(Tick(NOW + OVERWRITTEN_GRACE_S + 0.1))
            assert ("live", IP) not in node.topology.endpoints

    def test_a_receiver_learns_that_the_entry_is_written_again(self):
        """A heartbeat that changes nothing else is left out of updates."""
        reader, receiver = agent(1, 10), agent(3, 11)
        self.pass_on(reader, receiver, UNREADABLE, 5)
        self.pass_on(reader, receiver, endpoint(2, 7), 6)
        receiver.reduce(Tick(NOW + OVERWRITTEN_GRACE_S + 0.1))
        assert ("live", IP) in receiver.topology.endpoints

    def test_an_unreadable_entry_names_no_upstream_to_a_fresh_process(self):
        node = agent(1, 10)
        items = (UNREADABLE._replace(name="i-9"),)
        change(node, *items, 5)
        node.reduce(StoreRead(NOW, items, Position(0, 9)))
        assert "i-9" not in node.view.endpoints and not node.view.overwritten.since


class TestOpenFlows:
    def test_are_served_on_while_their_upstreams_entries_are_overwritten(self):
        async def play():
            site = StreamSite(seed=9)
            await site.start()
            try:
                address = site.service_address(FEEDS)
                flows = [(await site.add_caller()).flow(address) for _ in range(12)]
                outcomes = [await flow.request(5.0) for flow in flows]
                for _ in range(9):
                    for name in ("agent-1", "agent-2", "agent-3"):
                        site.store.put(f"servers/{site.upstreams[name].name}", b"\xff")
                    await asyncio.sleep(0.35)
                    outcomes += await asyncio.gather(*(flow.request(5.0) for flow in flows))
                return outcomes
            finally:
                await site.close()

        assert set(asyncio.run(play())) == {Outcome.SERVED}


class TestGrace:
    def test_is_longer_than_a_heartbeat_and_shorter_than_a_drain_may_take(self):
        """Guards against flows at an upstream whose report of a drain was overwritten."""
        assert 1.2 < OVERWRITTEN_GRACE_S < 3.0 - MINIMUM_CALL_INTERVAL_S
