"""A flow is handled by the configuration of the balancer that admitted it, or not at all."""

from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from heatheryoke.core.effects import Deliver, SendForward
from heatheryoke.core.events import (
    CallerPacket,
    ForwardArrived,
    StoreChanged,
    Tick,
    UpstreamPacket,
)
from heatheryoke.core.flows import PacketKind
from heatheryoke.core.records import Position
from heatheryoke.core.routes import Route, Share
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_roles import StreamAgentApplication
from heatheryoke.daemons.stream_settings import StreamSettings
from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import BOUNCED, SYN
from heatheryoke.wire.peers import open_datagram
from tests.test_streams import (
    FEED,
    HOLD,
    ITEMS,
    NOW,
    PORT,
    configuration,
    endpoint,
    flow_of,
    forward,
    make_agent,
    make_balancer,
    name_hash,
    of_kind,
    packet,
)

EXTRA = Address("198.18.0.3", 443)
STAYS = Address("198.18.0.4", 443)


def routes(**services):
    """Return routes of the given services, of which None leaves one out, and one that stays."""
    addresses = {"feed": FEED, "hold": HOLD, "extra": EXTRA, "stays": STAYS}
    return tuple(
        Route(name, addresses[name], (Share(service, 1.0),), True, 0.1, 1.5, 2)
        for name, service in (services | {"stays": "live"}).items()
        if service is not None
    )


def change_configuration(node, version, now=NOW, **services):
    """Bring a newer configuration into force."""
    item = configuration(version, 100 + version, routes(**services))
    return node.reduce(StoreChanged(now, (item,), Position(0, 90), Position(0, 100 + version)))


class TestOlderBalancer:
    """An agent that is ahead of the balancer must not show what the balancer does not know."""

    def test_its_flow_does_not_go_by_the_agents_newer_configuration(self):
        agent, flow = make_agent(), flow_of(1)
        change_configuration(agent, 5, feed="print", hold="live")
        effects = agent.reduce(forward(flow, packet(flow, SYN), epoch=3))
        assert not of_kind(effects, SendForward) and not of_kind(effects, Deliver)

    def test_its_flow_is_not_run_where_the_newer_configuration_has_no_route(self):
        agent, flow = make_agent(), flow_of(1)
        change_configuration(agent, 5, hold="live")
        effects = agent.reduce(forward(flow, packet(flow, SYN), epoch=3, assigned=True))
        assert not of_kind(effects, Deliver)

    def test_its_flow_is_run_where_both_configurations_agree(self):
        agent, flow = make_agent(), flow_of(1)
        change_configuration(agent, 5, feed="live", extra="print")
        effects = agent.reduce(forward(flow, packet(flow, SYN), epoch=3, assigned=True))
        assert of_kind(effects, Deliver)


class TestOlderAgents:
    """Agents that are behind pass a flow on under the version that its balancer chose by."""

    def application(self, number=1):
        address = Address(f"10.1.0.{number}", 8_000)
        settings = StreamSettings(
            f"agent-{number}",
            address.ip,
            "north",
            True,
            (PORT, PORT),
            Address(address.ip, 1),
            Address(address.ip, 2),
            Address("10.8.0.1", 3),
            3.0,
            3.0,
            Address(address.ip, 4),
            address,
            "live",
            60.0,
        )
        log = JsonLog("agent", descriptor=None)
        application = StreamAgentApplication(settings, Path("unused"), log)
        application.node = make_agent(number)
        return application

    def test_the_version_is_not_lost_at_the_first_agent(self):
        application, flow = self.application(), flow_of(1, EXTRA)
        event = forward(flow, packet(flow, SYN), epoch=9, service_id=name_hash("live"))
        (sent,) = of_kind(application.node.reduce(event), SendForward)
        (datagram,) = application.datagrams_of(sent.message)
        assert open_datagram(datagram).epoch == 9

    def test_an_added_route_is_served_through_two_agents_that_lack_it(self):
        first, flow = self.application(), flow_of(1, EXTRA)
        event = forward(flow, packet(flow, SYN), epoch=9, service_id=name_hash("live"))
        (sent,) = of_kind(first.node.reduce(event), SendForward)
        received = open_datagram(first.datagrams_of(sent.message)[0])
        second = make_agent(int(sent.to.ip.rpartition(".")[2]))
        arrived = ForwardArrived(NOW, first.peer_address, received.epoch, received.message)
        effects = second.reduce(arrived)
        assert of_kind(effects, SendForward) or of_kind(effects, Deliver)


class TestRemovedRoute:
    """A flow whose route is removed before it starts does not start."""

    def full_agent(self):
        agent = make_agent()
        for port in range(10, 14):
            flow = flow_of(port)
            agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        return agent

    def test_while_it_waits_for_room(self):
        agent, flow = self.full_agent(), flow_of(1)
        effects = agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        assert flow in agent.queue and not of_kind(effects, Deliver)
        change_configuration(agent, 5, hold="live")
        effects = agent.reduce(Tick(NOW + 0.5))
        assert flow not in agent.queue
        assert flow not in [effect.flow for effect in of_kind(effects, Deliver)]

    def test_after_its_upstream_has_returned_it(self):
        agent, flow = make_agent(), flow_of(1)
        agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        change_configuration(agent, 5, hold="live")
        effects = agent.reduce(UpstreamPacket(NOW, flow, packet(flow, SYN | BOUNCED)))
        assert not of_kind(effects, SendForward)

    def test_before_the_balancer_sends_it_another_way(self):
        balancer, flow = make_balancer((*ITEMS, endpoint(6))), flow_of(1)
        (sent,) = of_kind(
            balancer.reduce(CallerPacket(NOW, flow, PacketKind.EITHER, packet(flow, SYN))),
            SendForward,
        )
        change_configuration(balancer, 5, hold="live")
        assert not of_kind(balancer.resend_opening(sent.message, NOW + 0.1), SendForward)

    def test_while_an_agent_keeps_it_to_send_it_another_way(self):
        agent, flow = make_agent(), flow_of(1)
        message = forward(flow, packet(flow, SYN)).message._replace(service_epoch=3)
        change_configuration(agent, 5, hold="live")
        effects = agent.resend_opening(message, NOW + 0.1)
        assert not of_kind(effects, SendForward) and not of_kind(effects, Deliver)


class Fleet:
    """Balancers and agents at versions of their own, which carry out each other's effects."""

    SERVICES = ("live", "print", None)

    def __init__(self, published):
        self.published = published
        upstreams = [endpoint(n, service="print" if n > 3 else "live") for n in range(1, 7)]
        items = (configuration(3, 90, routes(**published[0])), *upstreams)
        agents = [make_agent(n, items, service="print" if n > 3 else "live") for n in range(1, 7)]
        self.agents = {agent.peer_address: agent for agent in agents}
        self.balancers = [make_balancer(items) for _ in range(2)]
        self.versions = dict.fromkeys([*self.balancers, *agents], 0)
        self.delivered = []

    def advance(self, node):
        """Bring the next version into force at one process."""
        index = min(self.versions[node] + 1, len(self.published) - 1)
        self.versions[node] = index
        change_configuration(node, 3 + index, **self.published[index])

    def open_flow(self, balancer, flow):
        """Send a first packet through a balancer and follow it to its end."""
        event = CallerPacket(NOW, flow, PacketKind.EITHER, packet(flow, SYN))
        pending = [(balancer, effect) for effect in balancer.reduce(event)]
        while pending:
            sender, effect = pending.pop(0)
            if isinstance(effect, Deliver):
                self.delivered.append((balancer, flow, sender))
            elif isinstance(effect, SendForward):
                receiver = self.agents[effect.to]
                epoch = sender.epoch_of(effect.message)
                address = getattr(sender, "peer_address", Address("10.9.0.1", PORT))
                arrived = ForwardArrived(NOW, address, epoch, effect.message)
                pending += [(receiver, effect) for effect in receiver.reduce(arrived)]


@st.composite
def configurations(draw):
    """Return versions of three routes, each of which a service has, or none."""
    service = st.sampled_from(Fleet.SERVICES)
    version = st.fixed_dictionaries({"feed": service, "hold": service, "extra": service})
    return draw(st.lists(version, min_size=2, max_size=5))


class TestMixedVersions:
    @settings(max_examples=150, deadline=None)
    @given(configurations(), st.data())
    def test_every_flow_goes_by_its_balancers_configuration(self, published, data):
        fleet = Fleet(published)
        nodes = list(fleet.versions)
        for port in range(1, 12):
            for _ in range(data.draw(st.integers(0, 3))):
                fleet.advance(nodes[data.draw(st.integers(0, len(nodes) - 1))])
            balancer = data.draw(st.sampled_from(fleet.balancers))
            name = data.draw(st.sampled_from(("feed", "hold", "extra")))
            address = {"feed": FEED, "hold": HOLD, "extra": EXTRA}[name]
            fleet.open_flow(balancer, flow_of(port, address))
            chosen = published[fleet.versions[balancer]][name]
            for _, flow, agent in fleet.delivered:
                if flow == flow_of(port, address):
                    assert agent.service == chosen
                    known = published[fleet.versions[agent]][name]
                    assert known == chosen or fleet.versions[agent] < fleet.versions[balancer]
