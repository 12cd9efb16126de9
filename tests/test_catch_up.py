"""A process that missed a new configuration gets it from a process that has it."""

import asyncio

from heatheryoke.core.catch_up import MAXIMUM_QUERIES, QUERY_DELAY_S, QUERY_INTERVAL_S
from heatheryoke.core.effects import LogChange, SendPeer
from heatheryoke.core.events import ForwardArrived, PeerMessageArrived, Tick
from heatheryoke.core.messages import ConfigurationQuery, ConfigurationReply, Pong, StoreUpdate
from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import SYN
from heatheryoke.standins.stream_site import StreamSite
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_configuration_decisions import change_configuration
from tests.test_streams import (
    BALANCER,
    NOW,
    PORT,
    configuration,
    flow_of,
    forward,
    make_agent,
    make_balancer,
    of_kind,
    packet,
)

PEER = Address("10.1.0.2", PORT)


def hear(node, epoch, now=NOW, sender=PEER):
    """Let a node receive a message under a version."""
    return node.reduce(PeerMessageArrived(now, sender, epoch, Pong()))


def queries(effects):
    sent = of_kind(effects, SendPeer)
    return [(row.to, row.message) for row in sent if isinstance(row.message, ConfigurationQuery)]


class TestQueries:
    def test_are_sent_after_the_time_of_an_update(self):
        agent = make_agent()
        assert queries(hear(agent, 9)) == []
        assert queries(agent.reduce(Tick(NOW + QUERY_DELAY_S / 2))) == []
        effects = agent.reduce(Tick(NOW + QUERY_DELAY_S))
        assert queries(effects) == [(PEER, ConfigurationQuery(3))]

    def test_are_not_sent_once_the_update_has_arrived(self):
        agent = make_agent()
        hear(agent, 9)
        change_configuration(agent, 9, feed="live")
        assert queries(agent.reduce(Tick(NOW + 1.0))) == []

    def test_go_to_the_balancer_that_admitted_a_flow_by_the_newer_version(self):
        agent, flow = make_agent(), flow_of(1)
        message = forward(flow, packet(flow, SYN), assigned=True).message
        agent.reduce(ForwardArrived(NOW, PEER, 9, message))
        ((to, _),) = queries(agent.reduce(Tick(NOW + 0.1)))
        assert to == BALANCER

    def test_about_a_version_that_nobody_has_end(self):
        agent, sent = make_agent(), 0
        hear(agent, 2**40)
        for number in range(5 * MAXIMUM_QUERIES):
            sent += len(queries(agent.reduce(Tick(NOW + 0.1 + number * QUERY_INTERVAL_S))))
        assert sent == MAXIMUM_QUERIES

    def test_are_sent_about_a_lower_version_once_nobody_has_the_newest(self):
        """A version that never existed, above all others, ended the queries for good."""
        agent = make_agent()
        hear(agent, 2**60)
        for tick in range(MAXIMUM_QUERIES + 2):
            agent.reduce(Tick(NOW + 0.1 + tick * QUERY_INTERVAL_S))
        later = NOW + 5.0
        hear(agent, 9, later, BALANCER)
        sent = agent.reduce(Tick(later + QUERY_INTERVAL_S))
        assert queries(sent) == [(BALANCER, ConfigurationQuery(3))]

    def test_are_logged_once_for_each_version(self):
        agent = make_agent()
        logged = [of_kind(hear(agent, 9, NOW + number / 100), LogChange) for number in range(5)]
        assert [len(row) for row in logged] == [1, 0, 0, 0, 0]


class TestReplies:
    def replies(self, node, epoch):
        event = PeerMessageArrived(NOW, PEER, epoch, ConfigurationQuery(epoch))
        return [row.message for row in of_kind(node.reduce(event), SendPeer)]

    def test_bring_the_configuration_into_force(self):
        ahead, behind = make_agent(2), make_balancer()
        change_configuration(ahead, 9, feed="print")
        (reply,) = self.replies(ahead, 3)
        received = open_datagram(seal_datagram(9, reply)).message
        behind.reduce(PeerMessageArrived(NOW, PEER, 9, received))
        assert behind.epoch == 9
        assert behind.topology.service_of(flow_of(1)).name == "print"

    def test_are_sent_only_by_a_process_that_is_ahead(self):
        assert self.replies(make_agent(), 3) == []

    def test_that_arrive_late_change_nothing(self):
        agent = make_agent()
        late = ConfigurationReply(configuration(5, 205))
        change_configuration(agent, 9, feed="live")
        agent.reduce(PeerMessageArrived(NOW, PEER, 5, late))
        assert agent.epoch == 9


class TestLostUpdates:
    def test_a_process_whose_updates_are_lost_while_the_store_rejects_it(self):
        async def play():
            site = StreamSite(seed=6)
            await site.start()
            try:
                await asyncio.sleep(1.0)
                application = site.applications["balancer-1"]
                application.node.message_handlers[StoreUpdate] = lambda event: []
                address = site.store_address(site.hosts["balancer-1"]).ip
                site.store.rejected_addresses = frozenset({address})
                site.store.wake_watches()
                await asyncio.sleep(0.5)
                site.publish()
                await asyncio.sleep(1.5)
                return application.node.epoch, site.version
            finally:
                await site.close()

        in_force, published = asyncio.run(play())
        assert in_force == published
