"""Tests of byte streams: headers, homes, placement, and recovery of flows from the upstream."""

import re
from itertools import pairwise
from math import inf
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatheryoke import core
from heatheryoke.core.effects import (
    AnswerCaller,
    Deliver,
    Effect,
    LogChange,
    ProbeUpstream,
    SendForward,
    SendPeer,
    Stopped,
)
from heatheryoke.core.events import (
    CallerPacket,
    ForwardArrived,
    PeerMessageArrived,
    PlatformUnavailable,
    StopRequested,
    StoreChanged,
    StoreRead,
    Tick,
    UpstreamDown,
    UpstreamPacket,
)
from heatheryoke.core.flows import UDP, FlowTuple, PacketKind, flow_key
from heatheryoke.core.messages import (
    HOP_LIMIT,
    Forward,
    Hint,
    Pong,
    RecoveryRequest,
    Relayed,
    Search,
    Visit,
    Yield,
)
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, RouteTable, Share
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.core.stream_search import FIRST_ASKED, short_id
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_roles import StreamAgentApplication
from heatheryoke.daemons.stream_settings import StreamSettings
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import (
    ACK,
    BOUNCED,
    FIN,
    HEADER,
    RST,
    SYN,
    PacketCodec,
    Side,
    check_packet,
    packet_flow,
)
from heatheryoke.wire.peers import open_datagram, seal_datagram

NOW = 100.0
PORT = 7_000
CODEC = PacketCodec()
FEED = Address("198.18.0.1", 443)
HOLD = Address("198.18.0.2", 443)
BALANCER = Address("10.9.0.1", PORT)
DOMAINS = ("north", "south", "west")


def flow_of(port, service=FEED):
    return flow_key(FlowTuple(UDP, Address("100.64.0.7", port), service))


def packet(flow, flags, sequence=1, acknowledged=0, data=b"", from_upstream=False):
    source, target = flow[1:7], flow[7:13]
    if from_upstream:
        source, target = target, source
    return (
        HEADER.pack(
            9,
            int.from_bytes(source[4:], "big"),
            source[3::-1],
            int.from_bytes(target[4:], "big"),
            target[3::-1],
            0,
            flags,
            0,
            sequence,
            acknowledged,
            len(data),
        )
        + data
    )


def endpoint(number, service="live", **changes):
    record = EndpointRecord(
        service,
        Address(f"10.1.0.{number}", 8_000),
        DOMAINS[number % 3],
        2,
        False,
        0.0,
        1_000 + number,
    )
    return StoreItem(
        Subject.ENDPOINT, f"i-{number}", Position(0, number), True, record._replace(**changes)
    )


def configuration(version=3, revision=90, routes=None):
    routes = routes or (
        Route("feed", FEED, (Share("live", 1.0),), True, 0.1, 1.5, 2),
        Route("hold", HOLD, (Share("live", 1.0),), False, 0.1, 1.5, 1),
    )
    services = (ServiceRecord("live", 2_000, 2.0, 0.0), ServiceRecord("print", 2_000, 2.0, 0.0))
    record = ConfigurationRecord(version, routes, services, 15.0)
    return StoreItem(Subject.CONFIGURATION, "", Position(0, revision), True, record)


def withdrawal(domain, revision, present=True):
    return StoreItem(Subject.WITHDRAWAL, domain, Position(0, revision), present, None)


ITEMS = (configuration(), *(endpoint(number) for number in range(1, 6)))


def make_agent(number=1, items=ITEMS, first_start=True, service="live", started=NOW):
    node = StreamAgent(
        f"10.1.0.{number}",
        1,
        started,
        CODEC,
        service,
        Address(f"10.1.0.{number}", 8_000),
        first_start=first_start,
        peer_port=PORT,
    )
    node.reduce(StoreRead(started, items))
    return node


def make_balancer(items=ITEMS):
    node = StreamBalancer("edge", 1, CODEC, address=BALANCER, peer_port=PORT)
    node.reduce(StoreRead(NOW, items))
    return node


def forward(flow, payload, epoch=3, now=NOW, **changes):
    kind = CODEC.read_header(payload).kind
    message = Forward(flow, name_hash("live"), kind, HOP_LIMIT, BALANCER, payload)
    return ForwardArrived(now, BALANCER, epoch, message._replace(**changes))


def of_kind(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def accept_flow(agent, flow, now=NOW):
    """Let an agent's upstream accept a flow."""
    agent.reduce(forward(flow, packet(flow, SYN), assigned=True, now=now))
    return agent.reduce(
        UpstreamPacket(now, flow, packet(flow, SYN | ACK, 500, 2, from_upstream=True))
    )


class TestHeads:
    def test_reads_the_published_example(self):
        data = bytes.fromhex(
            "d5c3b2a1419c07004064bb01010012c600000000800044332211000000000000".ljust(64, "0")
        )
        assert check_packet(data, Side.CALLER) is None
        assert packet_flow(data, Side.CALLER) == flow_of(40_001)
        head = CODEC.read_header(data)
        assert head.opens and head.sequence == 0x11223344

    def test_writes_the_published_reset(self):
        expected = "00000000bb01010012c6419c07004064000000004000" + "00" * 10
        assert CODEC.reset(flow_of(40_001), 0).hex() == expected

    def test_copy_of_first_packet_shows_how_long_its_caller_waits(self):
        heads = [CODEC.read_header(packet(flow_of(1), SYN, acknowledged=n)) for n in range(4)]
        assert [head.age_s for head in heads] == [0.0, 0.2, 0.6, 0.6]

    def test_clears_only_marks_added_in_transit(self):
        flow = flow_of(1)
        sent = packet(flow, ACK, 5, 6, b"data")
        marked = bytearray(sent)
        marked[16:20], marked[20], marked[21] = b"mark", ACK | BOUNCED, 7
        assert CODEC.without_marks(bytes(marked)) == sent

    @pytest.mark.parametrize("flags", [SYN | ACK, BOUNCED, BOUNCED | SYN, 4, 8, 16])
    def test_caller_packet_with_other_senders_flags_is_rejected(self, flags):
        assert check_packet(packet(flow_of(1), flags), Side.CALLER) is not None

    @given(st.binary(max_size=1_400))
    def test_any_bytes_are_checked_before_they_are_read(self, data):
        for side in Side:
            if check_packet(data, side) is None:
                assert len(packet_flow(data, side)) == 13
                CODEC.read_header(data)

    @given(st.binary(max_size=200))
    def test_any_peer_datagram_is_read_or_rejected(self, data):
        for kind in range(20):
            open_datagram(b"hy\x01" + bytes([kind]) + data)

    def test_a_search_has_a_kind_that_former_releases_drop(self):
        """Load pattern: a rolling upgrade; a former release knows the kinds up to 7."""
        message = Forward(flow_of(1), 5, PacketKind.BELONGS, 3, BALANCER, b"x")
        searching = message._replace(search=Search((1, 2), 8.0))
        relayed = Relayed(BALANCER, BALANCER, searching)
        kinds = [seal_datagram(7, row)[3] for row in (message, searching, relayed)]
        assert kinds[0] == 1 and min(kinds[1:]) > 7
        assert open_datagram(seal_datagram(7, relayed)) == (7, relayed)

    def test_a_former_release_drops_and_sends_no_precedence_with_a_yield(self):
        """Load pattern: a rolling upgrade; a former release knows the kinds up to 16."""
        flow = flow_of(1)
        notice = Yield(flow, "10.1.0.4", 3, True)
        datagram = seal_datagram(7, notice)
        assert datagram[3] > 16
        assert open_datagram(datagram) == (7, notice)
        former = datagram[:3] + b"\x05" + datagram[4:12] + flow + b"\x0810.1.0.4"
        assert open_datagram(former) == (7, Yield(flow, "10.1.0.4"))

    def test_peer_datagrams_round_trip(self):
        flow = flow_of(1)
        message = Forward(
            flow, 5, PacketKind.OPENS, 3, BALANCER, b"x", (Visit(1, 2.0), Visit(2, inf))
        )
        assert open_datagram(seal_datagram(7, message)) == (7, message)
        message = message._replace(visited=(), search=Search((1, 2, 2**32 - 1), 8.0))
        assert open_datagram(seal_datagram(7, message)) == (7, message)


class TestRoutes:
    def test_copies_of_a_flow_get_the_same_share(self):
        shares = (Share("live", 90), Share("print", 10))
        table = RouteTable(1, (Route("r", FEED, shares, True, 1, 1, 1),))
        names = [table.service_name(flow_of(port)) for port in range(2_000)]
        assert names == [table.service_name(flow_of(port)) for port in range(2_000)]
        assert 0.05 < names.count("print") / len(names) < 0.15

    def test_a_share_of_weight_zero_gets_nothing(self):
        shares = (Share("live", 0), Share("print", 5))
        table = RouteTable(1, (Route("r", FEED, shares, True, 1, 1, 1),))
        assert {table.service_name(flow_of(port)) for port in range(200)} == {"print"}


class TestBalancer:
    def test_a_flow_without_a_route_is_reset_at_once(self):
        flow = flow_of(1, Address("198.18.9.9", 1))
        effects = make_balancer().reduce(CallerPacket(NOW, flow, 0, packet(flow, SYN)))
        (answer,) = of_kind(effects, AnswerCaller)
        assert CODEC.read_header(answer.payload).resets

    def test_an_open_flow_without_a_route_is_dropped_silently(self):
        flow = flow_of(1, Address("198.18.9.9", 1))
        effects = make_balancer().reduce(CallerPacket(NOW, flow, 0, packet(flow, ACK)))
        assert not of_kind(effects, AnswerCaller) and not of_kind(effects, SendForward)

    def test_copies_of_a_first_packet_try_both_homes(self):
        node, flow = make_balancer(), flow_of(1)
        targets = [
            of_kind(
                node.reduce(CallerPacket(NOW, flow, 0, packet(flow, SYN, acknowledged=copy))),
                SendForward,
            )[0].to
            for copy in range(3)
        ]
        assert targets[0] == targets[2] != targets[1]

    def test_a_hint_leads_to_the_owner(self):
        node, flow = make_balancer(), flow_of(1)
        node.reduce(PeerMessageArrived(NOW, BALANCER, 3, Hint(flow, name_hash("10.1.0.4"))))
        (sent,) = of_kind(node.reduce(CallerPacket(NOW, flow, 0, packet(flow, ACK))), SendForward)
        assert sent.to.ip == "10.1.0.4"

    def test_a_changed_route_moves_no_home(self):
        other = (Route("feed", FEED, (Share("print", 1.0),), True, 0.1, 1.5, 2),)
        before = make_balancer().topology.homes(flow_of(1))
        after = make_balancer((*ITEMS, configuration(4, 99, other))).topology.homes(flow_of(1))
        assert before == after

    def test_serves_packets_while_stopping(self):
        node, flow = make_balancer(), flow_of(1)
        node.reduce(StopRequested(NOW))
        assert not node.is_ready()
        assert of_kind(node.reduce(CallerPacket(NOW, flow, 0, packet(flow, ACK))), SendForward)


class TestPlannedStop:
    """Load pattern: an agent is stopped while new flows wait at its upstream."""

    def test_waiting_flows_are_placed_elsewhere_and_none_is_refused(self):
        """Guards against flows that were just taken in and are cut off without an answer."""
        agent = make_agent()
        flows = [flow_of(port) for port in range(100, 108)]
        for flow in flows:
            accept_flow(agent, flow)
        waiting = set(agent.queue.waiting)
        assert waiting
        effects = [*agent.reduce(StopRequested(NOW + 0.01)), *agent.reduce(Tick(NOW + 0.02))]
        passed_on = {effect.message.flow for effect in of_kind(effects, SendForward)}
        assert passed_on == waiting
        assert not of_kind(effects, AnswerCaller)
        assert not agent.queue

    def test_an_agent_waits_for_the_requests_in_progress(self):
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        agent.reduce(forward(flow, packet(flow, ACK, 2, 501, b"GET")))
        agent.reduce(StopRequested(NOW + 0.01))
        assert not of_kind(agent.reduce(Tick(NOW + 0.2)), Stopped)
        done = packet(flow, ACK, 501, 5, b"done", from_upstream=True)
        assert of_kind(agent.reduce(UpstreamPacket(NOW + 0.3, flow, done)), AnswerCaller)
        assert of_kind(agent.reduce(Tick(NOW + 0.4)), Stopped)


class TestHomes:
    """Load pattern: an upstream joins, and at first only some processes have it in their view."""

    def away_flow(self, agent):
        ports = range(1, 200)
        return next(
            flow_of(port)
            for port in ports
            if agent.host_name not in [h.name for h in agent.topology.homes(flow_of(port))]
        )

    def test_a_balancers_first_packet_is_passed_to_the_home(self):
        agent = make_agent()
        flow = self.away_flow(agent)
        (sent,) = of_kind(agent.reduce(forward(flow, packet(flow, SYN))), SendForward)
        assert sent.to == agent.topology.homes(flow)[0].address and not sent.message.visited

    def test_first_packet_from_another_agent_is_placed_even_if_not_home(self):
        agent = make_agent()
        flow = self.away_flow(agent)
        event = forward(flow, packet(flow, SYN), hops=HOP_LIMIT - 1)
        (sent,) = of_kind(agent.reduce(event), SendForward)
        assert [visit.host_id for visit in sent.message.visited] == [name_hash("10.1.0.1")]


class TestOwner:
    def test_an_acceptance_is_registered_at_both_homes_and_hinted(self):
        agent, flow = make_agent(), flow_of(1)
        sent = of_kind(accept_flow(agent, flow), SendPeer)
        homes = {host.address for host in agent.topology.homes(flow)} - {Address("10.1.0.1", PORT)}
        assert {effect.to for effect in sent} == homes | {BALANCER}

    def test_a_request_sent_again_after_its_answer_is_not_in_progress_again(self):
        """Guards against slots that seem busy, and requests that seem unanswered, since an answer
        was lost on its way and the caller sent its request again.
        """
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        request = packet(flow, ACK, 0xFFFFFFFE, 501, b"GET")
        agent.reduce(forward(flow, request))
        done = packet(flow, ACK, 501, 1, b"done", from_upstream=True)
        agent.reduce(UpstreamPacket(NOW + 0.02, flow, done))
        again = agent.reduce(forward(flow, request, now=NOW + 0.2))
        assert of_kind(again, Deliver)
        assert not agent.in_progress
        agent.reduce(forward(flow, packet(flow, ACK, 1, 505, b"GET"), now=NOW + 1.0))
        assert list(agent.in_progress) == [flow]

    def test_a_packet_for_another_upstreams_acceptance_is_passed_on(self):
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        stray = packet(flow, ACK, 2, 0x7000_0000, b"GET")
        effects = agent.reduce(forward(flow, stray))
        assert not of_kind(effects, Deliver)

    def test_a_flow_that_its_upstream_has_lost_is_reset(self):
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        data = packet(flow, ACK, 2, 501, b"GET")
        agent.reduce(forward(flow, data))
        returned = packet(flow, ACK | BOUNCED, 2, 501, b"GET")
        (answer,) = of_kind(agent.reduce(UpstreamPacket(NOW, flow, returned)), AnswerCaller)
        head = CODEC.read_header(answer.payload)
        assert head.resets and head.sequence == 501

    def test_a_first_packet_that_is_returned_goes_to_another_upstream(self):
        agent, flow = make_agent(), flow_of(1)
        agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        effects = agent.reduce(UpstreamPacket(NOW, flow, packet(flow, SYN | BOUNCED)))
        (sent,) = of_kind(effects, SendForward)
        assert sent.message.payload == packet(flow, SYN)
        assert sent.to.ip != "10.1.0.1"

    def test_an_agent_that_restarted_asks_its_upstream(self):
        agent, flow = make_agent(first_start=False), flow_of(1)
        data = packet(flow, ACK, 2, 501, b"GET")
        assert of_kind(agent.reduce(forward(flow, data)), Deliver)
        effects = agent.reduce(
            UpstreamPacket(NOW, flow, packet(flow, ACK | BOUNCED, 2, 501, b"GET"))
        )
        (sent,) = of_kind(effects, SendForward)
        assert sent.message.payload == data
        assert short_id("10.1.0.1") in sent.message.search.asked

    def test_agent_on_first_start_offers_nothing(self):
        flow = flow_of(1)
        assert not of_kind(make_agent().reduce(forward(flow, packet(flow, ACK))), Deliver)

    def ask_last_host(self, agent, now, flags=ACK, uptime_s=60.0):
        """Forward a packet of an unknown flow to an agent after all other hosts were asked."""
        flow = flow_of(1)
        search = Search(tuple(short_id(f"10.1.0.{n}") for n in range(2, 6)), uptime_s)
        data = packet(flow, flags, 2, 501)
        return agent.reduce(forward(flow, data, now=now, search=search))

    def test_a_search_ends_silently_while_an_upstream_may_be_missing(self):
        effects = self.ask_last_host(make_agent(), NOW + 0.5)
        assert not of_kind(effects, AnswerCaller | SendForward | Deliver)

    def test_flow_without_owner_is_reset_once_the_view_is_settled(self):
        agent = make_agent()
        agent.reduce(StoreChanged(NOW + 6.9, ()))
        (answer,) = of_kind(self.ask_last_host(agent, NOW + 7.0), AnswerCaller)
        assert CODEC.read_header(answer.payload).sequence == 501

    def test_no_reset_after_an_upstream_vanished_or_the_store_was_lost(self):
        vanished, disconnected = make_agent(), make_agent()
        gone = endpoint(5)._replace(position=Position(0, 95), present=False, record=None)
        vanished.reduce(StoreChanged(NOW + 6.0, (gone,)))
        disconnected.reduce(PlatformUnavailable(NOW + 6.0, "timeout"))
        for agent in (vanished, disconnected):
            assert not of_kind(self.ask_last_host(agent, NOW + 7.0), AnswerCaller)

    def test_reset_at_once_if_all_hosts_started_together(self):
        assert of_kind(self.ask_last_host(make_agent(), NOW + 0.5, uptime_s=1.0), AnswerCaller)

    def test_no_reset_if_a_restarted_host_is_not_in_the_view(self):
        agent = make_agent()
        agent.reduce(PeerMessageArrived(NOW, BALANCER, 3, RecoveryRequest("10.1.0.9", 1, 0)))
        assert not of_kind(self.ask_last_host(agent, NOW + 0.5, uptime_s=1.0), AnswerCaller)

    def test_a_search_does_not_end_at_a_host_whose_upstream_has_left(self):
        """Guards against callers that wait for their deadline since a search ends at a host that
        had restarted, and was removed from the view afterwards.
        """
        agent = make_agent(items=(*ITEMS, endpoint(9, is_draining=True)))
        peer = Address("10.1.0.9", PORT)
        agent.reduce(PeerMessageArrived(NOW, peer, 3, RecoveryRequest("10.1.0.9", 1, 0)))
        gone = endpoint(9)._replace(position=Position(0, 96), present=False, record=None)
        agent.reduce(StoreChanged(NOW + 0.4, (gone,)))
        effects = self.ask_last_host(agent, NOW + 0.5, uptime_s=1.0)
        assert not of_kind(effects, SendForward)
        assert of_kind(effects, AnswerCaller)

    def test_host_outside_the_view_is_asked_last_and_ends_the_search(self):
        agent, peer = make_agent(), Address("10.1.0.9", PORT)
        agent.reduce(PeerMessageArrived(NOW, peer, 3, RecoveryRequest("10.1.0.9", 1, 0)))
        (asked,) = of_kind(self.ask_last_host(agent, NOW + 0.5, uptime_s=1.0), SendForward)
        assert asked.to == peer
        search = Search((*asked.message.search.asked, short_id("10.1.0.9")), 1.0)
        reply = asked.message._replace(search=search)
        effects = agent.reduce(ForwardArrived(NOW + 0.51, peer, 3, reply))
        assert of_kind(effects, AnswerCaller)

    def test_host_outside_its_view_leaves_the_decision_to_a_home(self):
        agent, flow = make_agent(number=9), flow_of(1)
        search = Search(tuple(short_id(f"10.1.0.{n}") for n in range(1, 6)), 1.0)
        (sent,) = of_kind(
            agent.reduce(forward(flow, packet(flow, ACK, 2, 501), search=search)), SendForward
        )
        assert sent.to == agent.topology.homes(flow)[0].address
        assert sent.message.search.asked[-1] == short_id("10.1.0.9")

    def test_hosts_outside_their_views_do_not_forward_a_packet_forever(self):
        agent, flow = make_agent(number=9), flow_of(1)
        search = Search(tuple(short_id(f"10.1.0.{n}") for n in (1, 2, 3, 4, 5, 9)), 1.0)
        data, passes = packet(flow, ACK, 2, 501), 0
        message = forward(flow, data, search=search).message
        while passes <= HOP_LIMIT:
            sent = of_kind(agent.reduce(ForwardArrived(NOW, BALANCER, 3, message)), SendForward)
            if not sent:
                break
            message, passes = sent[0].message, passes + 1
        assert 0 < passes <= HOP_LIMIT

    def test_packet_is_dropped_while_the_view_has_no_host(self):
        agent, flow = make_agent(items=(configuration(),)), flow_of(1)
        effects = agent.reduce(forward(flow, packet(flow, ACK, 2, 501)))
        assert not of_kind(effects, SendForward | Deliver | AnswerCaller)

    def test_asked_hosts_are_compared_by_id_not_by_count(self):
        agent, flow = make_agent(), flow_of(1)
        search = Search(tuple(short_id(f"10.1.0.{n}") for n in (2, 3, 4, 9)), 1.0)
        effects = agent.reduce(forward(flow, packet(flow, ACK, 2, 501), search=search))
        assert not of_kind(effects, AnswerCaller)
        assert [effect.to.ip for effect in of_kind(effects, SendForward)] == ["10.1.0.5"]

    @pytest.mark.parametrize("count", [10, 136, 240])
    def test_a_search_asks_every_host_once_and_seldom_leaves_a_domain(self, count):
        """Load pattern: after a loss of power, callers of all open flows send packets."""
        items = (configuration(), *(endpoint(number) for number in range(1, count + 1)))
        agents = {f"10.1.0.{n}": make_agent(n, items) for n in range(1, count + 1)}
        for number, agent in enumerate(agents.values()):
            agent.failure_domain = DOMAINS[(number + 1) % 3]
        flow, visited = flow_of(1), ["10.1.0.1"]
        event = forward(flow, packet(flow, ACK, 2, 501), now=NOW + 0.5)
        while sent := of_kind(agents[visited[-1]].reduce(event), SendForward):
            visited.append(sent[0].to.ip)
            event = ForwardArrived(NOW + 0.5, sent[0].to, 3, sent[0].message)
        assert sorted(visited) == sorted(agents)
        domains = [agents[name].failure_domain for name in visited]
        crossings = sum(one != other for one, other in pairwise(domains))
        assert crossings <= FIRST_ASKED + len(DOMAINS)
        assert len(seal_datagram(3, event.message)) < 1_200

    def test_a_flow_that_the_upstream_has_returned_is_not_offered_again(self):
        agent, flow = make_agent(first_start=False), flow_of(1)
        data = packet(flow, ACK, 2, 501, b"GET")
        agent.reduce(forward(flow, data))
        agent.reduce(UpstreamPacket(NOW, flow, packet(flow, ACK | BOUNCED, 2, 501, b"GET")))
        effects = agent.reduce(forward(flow, data, now=NOW + 0.2))
        assert not of_kind(effects, Deliver) and of_kind(effects, SendForward)

    def test_a_flow_that_opens_after_all_is_no_longer_taken_for_returned(self):
        agent, flow = make_agent(first_start=False), flow_of(1)
        agent.reduce(forward(flow, packet(flow, ACK, 2, 501, b"GET")))
        agent.reduce(UpstreamPacket(NOW, flow, packet(flow, ACK | BOUNCED, 2, 501, b"GET")))
        assert flow in agent.returned
        accept_flow(agent, flow, NOW + 0.1)
        assert flow not in agent.returned

    def test_agent_without_its_upstream_in_the_view_probes_it(self):
        agent, flow = make_agent(number=9, first_start=False), flow_of(1)
        data = forward(flow, packet(flow, ACK, 2, 501), now=NOW + 0.2)
        effects = agent.reduce(Tick(NOW + 0.1))
        assert of_kind(effects, ProbeUpstream)
        for ping in of_kind(effects, SendPeer):
            agent.reduce(PeerMessageArrived(NOW + 0.1, ping.to, 3, Pong()))
        assert not of_kind(agent.reduce(Tick(NOW + 0.2)), ProbeUpstream)
        assert of_kind(agent.reduce(data), Deliver)
        agent.reduce(UpstreamDown(NOW + 0.3))
        effects = agent.reduce(data._replace(now=NOW + 0.4))
        assert not of_kind(effects, Deliver) and of_kind(effects, SendForward)
        assert not of_kind(agent.reduce(Tick(NOW + 9.0)), ProbeUpstream)

    def test_agent_with_its_upstream_in_the_view_does_not_probe(self):
        assert not of_kind(make_agent(first_start=False).reduce(Tick(NOW + 0.1)), ProbeUpstream)

    def test_reset_is_not_answered_with_a_reset(self):
        agent = make_agent()
        agent.reduce(StoreChanged(NOW + 6.9, ()))
        assert not of_kind(self.ask_last_host(agent, NOW + 7.0, RST), AnswerCaller)

    def test_flow_is_removed_after_both_ends_have_closed(self):
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        agent.reduce(forward(flow, packet(flow, ACK | FIN, 2, 501)))
        agent.reduce(UpstreamPacket(NOW, flow, packet(flow, ACK | FIN, from_upstream=True)))
        agent.advance(NOW + 1.0)
        assert len(agent.flows) == 1
        agent.advance(NOW + 10.0)
        assert len(agent.flows) == 0

    def test_a_callers_reset_reaches_the_upstream(self):
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        assert of_kind(agent.reduce(forward(flow, packet(flow, RST, 2, 501))), Deliver)


class TestEffects:
    """Guards against an effect of the reducers for which the application has no handler."""

    def test_all_have_handlers(self):
        source = "".join(
            (Path(core.__file__).parent / f"{name}.py").read_text()
            for name in (
                "owner",
                "home",
                "store_node",
                "stream_admission",
                "stream_agent",
                "stream_balancer",
                "stream_owner",
                "stream_search",
            )
        )
        settings = StreamSettings(
            "a",
            "10.1.0.1",
            "north",
            True,
            (PORT, PORT),
            BALANCER,
            BALANCER,
            BALANCER,
            3.0,
            3.0,
            BALANCER,
            BALANCER,
            "live",
            60.0,
        )
        application = StreamAgentApplication(settings, Path("settings"), JsonLog("a"))
        used = {kind for kind in Effect.__args__ if re.search(rf"\b{kind.__name__}\(", source)}
        assert used - application.effect_handlers.keys() == set()


class TestNoNewFlows:
    """An upstream that may not have a new flow gets none, however the flow arrives."""

    @pytest.mark.parametrize(
        "change",
        [
            endpoint(1, is_draining=True)._replace(position=Position(0, 95)),
            withdrawal("south", 95),
            endpoint(1, service="print")._replace(position=Position(0, 95)),
            StoreItem(Subject.ENDPOINT, "i-1", Position(0, 95), False, None),
        ],
        ids=["draining", "withdrawn", "another service", "gone"],
    )
    def test_after_a_change(self, change):
        agent, flow = make_agent(), flow_of(1)
        agent.reduce(StoreChanged(NOW, (change,)))
        effects = agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        assert not of_kind(effects, Deliver)
        assert of_kind(effects, SendForward)

    def test_when_settings_name_another_service_than_the_store(self):
        agent, flow = make_agent(service="print"), flow_of(1)
        effects = agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        assert not of_kind(effects, Deliver)

    def test_when_the_newer_configuration_of_the_sender_says_another_service(self):
        agent, flow = make_agent(), flow_of(1)
        event = forward(flow, packet(flow, SYN), epoch=9, service_id=name_hash("print"))
        assert not of_kind(agent.reduce(event), Deliver)

    def test_established_flows_continue(self):
        agent, flow = make_agent(), flow_of(1)
        accept_flow(agent, flow)
        agent.reduce(StoreChanged(NOW, (withdrawal("south", 95),)))
        assert of_kind(agent.reduce(forward(flow, packet(flow, ACK, 2, 501))), Deliver)

    def test_an_agent_whose_upstream_its_view_lacks_passes_first_packets_on(self):
        agent, flow = make_agent(items=ITEMS[:1] + ITEMS[2:]), flow_of(1)
        (sent,) = of_kind(agent.reduce(forward(flow, packet(flow, SYN))), SendForward)
        assert sent.to == agent.topology.homes(flow)[0].address

    def test_candidate_outside_its_view_passes_first_packets_to_the_next(self):
        agent, flow = make_agent(items=ITEMS[:1] + ITEMS[2:]), flow_of(1)
        visits = (Visit(name_hash("10.1.0.2"), 1.0),)
        event = forward(flow, packet(flow, SYN), visited=visits, hops=HOP_LIMIT - 1)
        (sent,) = of_kind(agent.reduce(event), SendForward)
        assert sent.message.visited == (*visits, Visit(name_hash("10.1.0.1"), inf))


class TestColdUpstream:
    """Load pattern: a new upstream is the least loaded of all, so every new flow would go there."""

    def make_limited_agent(self, **changes):
        record = configuration().record
        services = (ServiceRecord("live", 2_000, 2.0, 4.0),)
        cold = configuration()._replace(record=record._replace(services=services))
        return make_agent(items=(cold, endpoint(1, **changes), *ITEMS[2:]))

    def admitted(self, agent, now, attempts=20):
        flows = [flow_of(port) for port in range(int(now * 100), int(now * 100) + attempts)]
        events = [forward(flow, packet(flow, SYN), assigned=True, now=now) for flow in flows]
        return sum(len(of_kind(agent.reduce(event), Deliver)) for event in events)

    def test_cold_rate_is_not_exceeded_in_any_second(self):
        agent = self.make_limited_agent(cold_s=2.0)
        assert self.admitted(agent, NOW + 0.1) <= 4
        assert self.admitted(agent, NOW + 1.0) == 0

    def test_a_returned_domain_is_cold(self):
        agent = self.make_limited_agent()
        agent.reduce(StoreChanged(NOW, (withdrawal("south", 95),)))
        agent.reduce(StoreChanged(NOW + 1, (withdrawal("south", 96, present=False),)))
        assert self.admitted(agent, NOW + 1.5) <= 4

    def test_warm_upstream_has_no_rate_limit(self):
        agent = self.make_limited_agent()
        slots = agent.endpoint_of("live").slots
        assert self.admitted(agent, NOW + 0.1) == slots + 2


class TestView:
    def test_a_heartbeat_changes_no_topology(self):
        agent = make_agent()
        before = agent.topology
        heartbeat = endpoint(2, cold_s=1.0)._replace(position=Position(0, 95))
        agent.reduce(StoreChanged(NOW, (heartbeat,)))
        assert agent.topology is before

    def test_an_older_configuration_changes_nothing(self):
        agent = make_agent()
        agent.reduce(StoreChanged(NOW, (configuration(2, 96, ()),)))
        assert agent.epoch == 3

    def test_host_of_a_draining_upstream_is_not_a_home(self):
        agent = make_agent()
        agent.reduce(
            StoreChanged(NOW, (endpoint(2, is_draining=True)._replace(position=Position(0, 95)),))
        )
        homes = {host.name for port in range(300) for host in agent.topology.homes(flow_of(port))}
        assert homes == {f"10.1.0.{number}" for number in (1, 3, 4, 5)}

    def test_a_withdrawn_host_stays_a_home(self):
        agent = make_agent()
        agent.reduce(StoreChanged(NOW, (withdrawal("west", 95),)))
        homes = {host.name for port in range(300) for host in agent.topology.homes(flow_of(port))}
        assert homes == {f"10.1.0.{number}" for number in range(1, 6)}

    def test_newest_incarnation_takes_an_address(self):
        younger = endpoint(7, "print", address=Address("10.1.0.1", 8_000), born_ms=9_000)
        agent = make_agent(items=(*ITEMS, younger))
        assert agent.endpoint_of("live") is None
        assert ("print", "10.1.0.1") in agent.topology.endpoints


class TestViewLog:
    """The log line of a view lists the hosts that have changed, not all hosts."""

    def logged(self, agent, items):
        (entry,) = [
            row
            for row in of_kind(agent.reduce(StoreChanged(NOW, items)), LogChange)
            if row.subject == "view"
        ]
        return entry.reason

    def test_lists_hosts_that_are_added_changed_and_removed(self):
        agent = make_agent()
        draining = endpoint(2, is_draining=True)._replace(position=Position(0, 95))
        assert self.logged(agent, (draining,)) == "10.1.0.2=leaving by i-2"
        gone = endpoint(2)._replace(position=Position(0, 96), present=False, record=None)
        assert self.logged(agent, (gone,)) == "10.1.0.2=removed"
        assert (
            self.logged(agent, (endpoint(2)._replace(position=Position(0, 97)),))
            == "10.1.0.2=active by i-2"
        )


class TestRoom:
    """Load pattern: after an outage many first packets are from callers that have given up."""

    def fill(self, agent, now):
        for port in range(4):
            flow = flow_of(5_000 + port)
            agent.reduce(forward(flow, packet(flow, SYN), assigned=True, now=now))
        waiting = flow_of(6_000)
        effects = agent.reduce(forward(waiting, packet(waiting, SYN), assigned=True, now=now))
        assert not of_kind(effects, Deliver)

    def test_flow_that_is_not_followed_up_soon_frees_its_place(self):
        agent = make_agent()
        self.fill(agent, NOW)
        assert not of_kind(agent.reduce(Tick(NOW + 0.05)), Deliver)
        assert len(of_kind(agent.reduce(Tick(NOW + 0.2)), Deliver)) == 1

    def test_answer_to_a_request_admits_the_next_flow(self):
        agent = make_agent()
        self.fill(agent, NOW)
        flow = flow_of(5_000)
        agent.reduce(UpstreamPacket(NOW, flow, packet(flow, SYN | ACK, 500, 2, from_upstream=True)))
        agent.reduce(forward(flow, packet(flow, ACK, 2, 501, b"GET"), now=NOW + 0.01))
        answer = packet(flow, ACK, 501, 5, b"200", from_upstream=True)
        effects = agent.reduce(UpstreamPacket(NOW + 0.03, flow, answer))
        assert len(of_kind(effects, Deliver)) == 1
