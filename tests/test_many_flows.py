"""Memory stays bounded, however many flows callers try to open."""

from heatheryoke.core.directory import Directory
from heatheryoke.core.effects import Deliver
from heatheryoke.core.events import CallerPacket, PeerMessageArrived, Tick, UpstreamPacket
from heatheryoke.core.messages import Hint
from heatheryoke.core.stream_agent import MAXIMUM_ENTRIES
from heatheryoke.core.stream_balancer import MAXIMUM_HINTS
from heatheryoke.platform.packets import ACK, SYN
from tests.test_streams import (
    BALANCER,
    HOLD,
    NOW,
    flow_of,
    forward,
    make_agent,
    make_balancer,
    of_kind,
    packet,
)

ATTEMPTS = 300_000


class TestDirectory:
    def test_tentative_entries_are_bounded(self):
        directory = Directory(maximum=1_000)
        for number in range(ATTEMPTS):
            directory.add_tentative(number.to_bytes(13, "big"), "host", 0, False, NOW)
        assert len(directory) <= 2_000


class TestBalancer:
    def test_keeps_a_bounded_number_of_hints(self):
        node = make_balancer()
        for number in range(30_000):
            flow = flow_of(number)
            node.reduce(PeerMessageArrived(NOW, BALANCER, 3, Hint(flow, number)))
            node.reduce(CallerPacket(NOW, flow, 0, packet(flow, SYN)))
        assert len(node.hints) <= MAXIMUM_HINTS


class TestAgent:
    """Load pattern: far more first packets without follow-up than a host holds flows."""

    def flood(self, agent, count, start):
        opened_flows = 0
        for number in range(count):
            now = start + number / 5_000
            flow = flow_of(number % 60_000, HOLD)
            effects = agent.reduce(forward(flow, packet(flow, SYN), assigned=True, now=now))
            if of_kind(effects, Deliver):
                opened_flows += 1
                accepted = packet(flow, SYN | ACK, 500, 2, from_upstream=True)
                agent.reduce(UpstreamPacket(now, flow, accepted))
            if number % 500 == 0:
                agent.reduce(Tick(now))
        return opened_flows

    def test_all_tables_are_bounded(self):
        agent = make_agent()
        self.flood(agent, 20_000, NOW)
        assert len(agent.flows) <= 2_000
        assert len(agent.directory) <= MAXIMUM_ENTRIES
        assert len(agent.queue) <= 400 and len(agent.offered) <= 2_000

    def test_accepts_new_flows_soon_after_a_flood(self):
        agent = make_agent()
        self.flood(agent, 20_000, NOW)
        start = NOW + 4.0 + 4.5
        for step in range(10):
            agent.reduce(Tick(start + step / 10))
        assert len(agent.flows) == 0
        assert self.flood(agent, 1, start + 1.0) == 1
