"""Tests of routing: packets reach their flow's owner, and never another service."""

from itertools import count
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core import topology as topology_module
from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
from heatheryoke.core.effects import (
    AnswerCaller,
    BindFlow,
    CloseFlow,
    Deliver,
    SendForward,
    SendPeer,
)
from heatheryoke.core.events import (
    CallerPacket,
    ConfigurationOffered,
    FlowBound,
    ForwardArrived,
    PeerMessageArrived,
    UpstreamPacket,
)
from heatheryoke.core.flows import UDP, FlowTuple, PacketKind, flow_key
from heatheryoke.core.messages import HOP_LIMIT, Forward, Hint, Registration, Visit, Yield
from heatheryoke.core.ownership import FIRST_REGISTRATION_S
from heatheryoke.core.requests import RequestKind
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Protocol
from heatheryoke.measure.plain_codec import ANSWER, REQUEST, PlainCodec, PlainMessage
from heatheryoke.standins.deployments import DEPLOYMENTS, make_document

NOW = 100.0
PEER = Address("10.1.0.99", 5_683)
PAYLOAD = PlainMessage(REQUEST, RequestKind.CONTROL, 1, "", b"").encode()


def document():
    numbers = count(1)
    return make_document(
        DEPLOYMENTS["sundarban"], lambda: Address(f"10.1.0.{next(numbers)}", 5_683)
    )


def flow_to(service, port=4_000):
    return flow_key(FlowTuple(UDP, Address("192.0.2.1", port), service.address))


def make_balancer(published):
    node = Balancer("balancer-1", 1)
    node.reduce(ConfigurationOffered(NOW, published))
    return node


def make_agent(published, name="upstream-1"):
    node = Agent(name, 1, NOW, {Protocol.COAP: PlainCodec}, first_start=True)
    node.reduce(ConfigurationOffered(NOW, published))
    node.recovery.peers_replied = set(node.recovery.peers)
    return node


def forward(flow, service, **changes):
    message = Forward(flow, name_hash(service.name), PacketKind.EITHER, HOP_LIMIT, PEER, PAYLOAD)
    return ForwardArrived(NOW, PEER, 1, message._replace(**changes))


def of_kind(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


class TestBalancer:
    def test_sends_every_packet_of_a_flow_to_its_first_home(self):
        published = document()
        service = published.services[0]
        homes = {
            effect.to
            for _ in range(3)
            for effect in make_balancer(published).reduce(
                CallerPacket(NOW, flow_to(service), PacketKind.EITHER, PAYLOAD)
            )
        }
        assert len(homes) == 1

    def test_ignores_a_hint_to_a_host_of_another_service(self):
        published = document()
        service = published.services[0]
        node = make_balancer(published)
        other_endpoint = next(
            endpoint for endpoint in published.endpoints if endpoint.service != service.name
        )
        hint = Hint(flow_to(service), name_hash(other_endpoint.host))
        node.reduce(PeerMessageArrived(NOW, PEER, 1, hint))
        (sent,) = node.reduce(CallerPacket(NOW, flow_to(service), PacketKind.EITHER, PAYLOAD))
        assert sent.to != node.topology.hosts[other_endpoint.host].address

    def test_drops_packets_for_unknown_service_addresses(self):
        node = make_balancer(document())
        flow = flow_key(FlowTuple(UDP, Address("192.0.2.1", 1), Address("192.0.2.9", 1)))
        assert not of_kind(
            node.reduce(CallerPacket(NOW, flow, PacketKind.EITHER, PAYLOAD)), SendForward
        )

    def test_its_cache_is_bounded(self):
        published = document()
        node = Balancer("balancer-1", 1, maximum_hints=10)
        node.reduce(ConfigurationOffered(NOW, published))
        for port in range(1, 50):
            hint = Hint(flow_to(published.services[0], port), 7)
            node.reduce(PeerMessageArrived(NOW, PEER, 1, hint))
        assert len(node.hints) == 10


class TestPlacement:
    def home_of(self, published, flow):
        view = make_balancer(published).topology.service_view(published.services[0].name)
        return view.homes(flow)[0].name

    def test_second_packet_goes_to_the_same_host_as_the_first(self):
        published = document()
        main = published.services[0]
        flow = flow_to(main)
        node = make_agent(published, self.home_of(published, flow))
        (first,) = of_kind(node.reduce(forward(flow, main)), SendForward)
        visits = tuple(
            Visit(name_hash(host.name), 50.0)
            for host in node.topology.service_view(main.name).agents
        )
        node.seen_loads.note(main.name, visits, NOW)
        effects = node.reduce(forward(flow, main))
        assert not of_kind(effects, BindFlow)
        assert [effect.to for effect in of_kind(effects, SendForward)] == [first.to]

    def test_home_with_less_than_mean_load_keeps_a_flow(self):
        published = document()
        main = published.services[0]
        flow = flow_to(main)
        node = make_agent(published, self.home_of(published, flow))
        others = tuple(
            Visit(name_hash(host.name), 5.0)
            for host in node.topology.service_view(main.name).agents
        )
        node.seen_loads.note(main.name, others, NOW)
        assert of_kind(node.reduce(forward(flow, main)), BindFlow)


class TestServices:
    @given(st.integers(0, 2**64 - 1))
    def test_a_forged_service_is_never_delivered(self, service_id):
        published = document()
        service = published.services[0]
        node = make_agent(published)
        event = forward(flow_to(service), service, service_id=service_id, assigned=True)
        if service_id != name_hash(service.name):
            assert not of_kind(node.reduce(event), Deliver)

    def test_a_flow_of_another_service_is_never_delivered(self):
        published = document()
        main, sheets = published.services
        node = make_agent(published)
        event = forward(flow_to(sheets), main, assigned=True)
        assert not of_kind(node.reduce(event), Deliver)

    def test_flows_do_not_follow_an_address_to_another_service(self):
        published = document()
        main, sheets = published.services
        node = make_agent(published)
        flow = flow_to(main)
        node.reduce(forward(flow, main, assigned=True))
        swapped = (main._replace(address=sheets.address), sheets._replace(address=main.address))
        effects = node.reduce(
            ConfigurationOffered(NOW, published._replace(version=2, services=swapped))
        )
        assert of_kind(effects, CloseFlow) == [CloseFlow(flow)]
        assert not of_kind(node.reduce(forward(flow, main)), Deliver)
        assert not of_kind(node.reduce(forward(flow, sheets, assigned=True)), Deliver)

    def test_equal_hashes_do_not_mix_flows(self, monkeypatch):
        constant = SimpleNamespace(xxh3_64_intdigest=lambda *_: 7)
        monkeypatch.setattr(topology_module, "xxhash", constant)
        published = document()
        main = published.services[0]
        node = make_agent(published)
        node.reduce(forward(flow_to(main, 1), main, assigned=True))
        effects = node.reduce(forward(flow_to(main, 2), main, assigned=True))
        bound = {effect.flow for effect in of_kind(effects, BindFlow)}
        assert bound == {flow_to(main, 2)}
        assert {effect.flow for effect in of_kind(effects, Deliver)} == bound


class TestOwner:
    def test_a_withdrawn_agent_delivers_nothing_and_closes_its_flows(self):
        published = document()
        main = published.services[0]
        node = make_agent(published)
        node.reduce(forward(flow_to(main), main, assigned=True))
        domains = tuple(
            failure_domain._replace(withdrawn=failure_domain.name == "domain-1")
            for failure_domain in published.failure_domains
        )
        changed = published._replace(version=2, failure_domains=domains)
        assert of_kind(node.reduce(ConfigurationOffered(NOW, changed)), CloseFlow)
        assert not of_kind(node.reduce(forward(flow_to(main), main, assigned=True)), Deliver)

    def test_entries_from_before_a_withdrawal_are_dropped(self):
        published = document()
        flow = flow_to(published.services[0])
        registration = Registration(flow, "upstream-3", 0, 40_000, True, False, ())
        for domain in ("domain-1", "domain-3"):
            node = make_agent(published)
            node.directory.register(registration, NOW)
            for version, withdrawn in ((2, True), (3, False)):
                domains = tuple(
                    failure_domain._replace(withdrawn=withdrawn and failure_domain.name == domain)
                    for failure_domain in published.failure_domains
                )
                changed = published._replace(version=version, failure_domains=domains)
                node.reduce(ConfigurationOffered(NOW, changed))
            assert node.directory.find(flow, NOW) is None

    def test_the_hop_limit_ends_a_loop(self):
        published = document()
        main = published.services[0]
        node = make_agent(published)
        assert not of_kind(node.reduce(forward(flow_to(main), main, hops=1)), SendForward)

    def test_second_owner_yields(self):
        published = document()
        main = published.services[0]
        node = make_agent(published)
        flow = flow_to(main)
        node.reduce(forward(flow, main, assigned=True))
        node.reduce(FlowBound(NOW, flow, 40_000))
        effects = node.reduce(PeerMessageArrived(NOW, PEER, 1, Yield(flow, "upstream-4")))
        assert of_kind(effects, CloseFlow) == [CloseFlow(flow)]
        assert flow not in node.flows.flows
        assert not of_kind(effects, AnswerCaller)

    def test_a_full_upstream_takes_no_new_flow(self):
        published = document()
        main = published.services[0]
        endpoints = tuple(endpoint._replace(connections=1) for endpoint in published.endpoints)
        node = make_agent(published._replace(endpoints=endpoints))
        node.reduce(forward(flow_to(main, 1), main, assigned=True))
        effects = node.reduce(forward(flow_to(main, 2), main, assigned=True))
        assert not of_kind(effects, BindFlow)

    def test_bindings_are_registered_at_the_other_homes(self):
        published = document()
        main = published.services[0]
        node = make_agent(published)
        flow = flow_to(main)
        node.reduce(forward(flow, main, assigned=True))
        node.reduce(FlowBound(NOW, flow, 40_000))
        node.renew(NOW + FIRST_REGISTRATION_S)
        sent = of_kind(node.registrar.flush(node.flows, node.topology, NOW), SendPeer)
        homes = {home.address for home in node.topology.service_view(main.name).homes(flow)}
        own = node.topology.hosts["upstream-1"].address
        assert {effect.to for effect in sent} == homes - {own}

    def test_feed_is_registered_before_its_caller_is_answered(self):
        published = document()
        main = published.services[0]
        flow = flow_to(main)
        node = make_agent(published)
        opening = PlainMessage(REQUEST, RequestKind.FEED, 1, "feed", b"t")
        node.reduce(forward(flow, main, assigned=True, payload=opening.encode()))
        node.reduce(FlowBound(NOW, flow, 4_001))
        answer = opening._replace(phase=ANSWER, feed=True).encode()
        effects = node.reduce(UpstreamPacket(NOW + 0.1, flow, answer))
        (answered,) = of_kind(effects, AnswerCaller)
        before = of_kind(effects[: effects.index(answered)], SendPeer)
        registration_hosts = {
            effect.to for effect in before for entry in effect.message.entries if entry.feeds
        }
        assert len(registration_hosts) == 2
