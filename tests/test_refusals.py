"""Tests of refusals of new flows: a reset reaches no caller whose flow another agent has opened."""

import pytest

from heatheryoke.core.effects import AnswerCaller, SendPeer
from heatheryoke.core.events import PeerMessageArrived
from heatheryoke.core.messages import OwnerQuery, OwnerUnknown
from heatheryoke.core.sent_openings import SentOpening
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_flow_owners import make_registration, register
from tests.test_streams import (
    CODEC,
    ITEMS,
    NOW,
    SYN,
    accept_flow,
    endpoint,
    flow_of,
    forward,
    make_agent,
    of_kind,
    packet,
)


def home_names(flow):
    return [host.name for host in make_agent().topology.homes(flow)]


def other_host(flow):
    """Return a host that is no home of a flow."""
    return next(n for n in map("10.1.0.{}".format, range(1, 6)) if n not in home_names(flow))


def refuse(agent, flow, now=NOW):
    agent.last_event = now
    service = agent.topology.services["live"]
    message = forward(flow, packet(flow, SYN)).message
    return agent.route_effects(agent.refuse_flow(message, service, "no upstream has room"), now)


def queries(effects):
    return [effect for effect in of_kind(effects, SendPeer) if type(effect.message) is OwnerQuery]


def silence(agent, hosts, silent_s):
    """Let hosts that have acknowledged packets before acknowledge none for a time from `NOW`."""
    agent.reachability.answered.update(host.address for host in agent.topology.document.hosts)
    for host in hosts:
        agent.reachability.on_silent(host, 2, NOW, NOW + silent_s)


def ask_homes(agent, effects, agents, now=NOW):
    """Carry queries to the homes and their replies back; return what reaches the caller."""
    answers = of_kind(effects, AnswerCaller)
    for query in queries(effects):
        event = PeerMessageArrived(NOW, agent.peer_address, 3, query.message)
        for reply in of_kind(agents[query.to.ip].reduce(event), SendPeer):
            event = PeerMessageArrived(now, query.to, 3, reply.message)
            answers += of_kind(agent.reduce(event), AnswerCaller)
    return answers


class TestRefusal:
    """Guards against resets of open flows: a copy of a first packet, or one that was sent another
    way, found no room at one agent after another agent's upstream had accepted the flow.
    """

    @pytest.fixture
    def flow(self):
        return flow_of(1)

    @pytest.fixture
    def agents(self):
        return {f"10.1.0.{number}": make_agent(number) for number in range(1, 6)}

    def test_a_flow_that_no_home_knows_is_reset(self, flow, agents):
        for agent in agents.values():
            (answer,) = ask_homes(agent, refuse(agent, flow), agents)
            assert CODEC.read_header(answer.payload).resets

    @pytest.mark.parametrize("home", (0, 1))
    def test_a_flow_registered_at_either_home_is_not_reset(self, flow, agents, home):
        register(agents[home_names(flow)[home]], make_registration(flow, other_host(flow)))
        for agent in agents.values():
            assert not ask_homes(agent, refuse(agent, flow), agents)

    @pytest.mark.parametrize("home", (0, 1))
    def test_a_flow_that_a_home_owns_is_not_reset(self, flow, agents, home):
        accept_flow(agents[home_names(flow)[home]], flow)
        assert not ask_homes(
            agents[other_host(flow)], refuse(agents[other_host(flow)], flow), agents
        )

    def test_a_flow_that_waits_at_a_home_is_left_to_it(self, flow, agents):
        home = agents[home_names(flow)[0]]
        home.queue_flow(forward(flow, packet(flow, SYN)).message, NOW)
        assert not ask_homes(
            agents[other_host(flow)], refuse(agents[other_host(flow)], flow), agents
        )

    def test_an_owner_that_has_left_keeps_no_refusal_back(self, flow, agents):
        register(agents[home_names(flow)[0]], make_registration(flow, "10.1.0.77"))
        assert ask_homes(agents[other_host(flow)], refuse(agents[other_host(flow)], flow), agents)

    def test_a_home_that_acknowledges_late_is_asked(self, flow, agents):
        """It may be late since it has just opened the flow itself (seed 22 of the flow model)."""
        agent = agents[other_host(flow)]
        homes = agent.topology.homes(flow)
        silence(agent, homes, 0.2)
        asked = {sent.to for sent in queries(refuse(agent, flow, NOW + 0.2))}
        assert asked == {home.address for home in homes}

    def test_a_home_that_has_long_been_silent_is_left_out(self, flow, agents):
        agent = agents[other_host(flow)]
        homes = agent.topology.homes(flow)
        silence(agent, homes[:1], 2.0)
        (sent,) = queries(refuse(agent, flow, NOW + 2.0))
        assert sent.to == homes[1].address
        silence(agent, homes, 2.0)
        assert of_kind(refuse(agent, flow, NOW + 2.0), AnswerCaller)

    def test_an_upstream_alone_refuses_at_once(self, flow):
        agent = make_agent(items=(ITEMS[0], endpoint(1)))
        assert of_kind(refuse(agent, flow), AnswerCaller)

    def test_a_host_that_may_have_the_first_packet_is_asked(self, flow, agents):
        """It was passed the packet and has not acknowledged it (seed 19 of the flow model)."""
        agent, opened = agents[other_host(flow)], agents["10.1.0.5"]
        sent = SentOpening(opened.peer_address, forward(flow, packet(flow, SYN)).message, NOW, 0)
        agent.sent_openings.add(sent)
        agent.sent_openings.take_overdue(lambda address: True, NOW)
        assert opened.peer_address in {query.to for query in queries(refuse(agent, flow))}

    def test_a_late_reply_confirms_nothing(self, flow, agents):
        """The flow may have been opened meanwhile (seeds 19 and 33 of the flow model)."""
        agent = agents[other_host(flow)]
        assert not ask_homes(agent, refuse(agent, flow), agents, NOW + 0.2)

    def test_one_reply_of_two_confirms_nothing(self, flow, agents):
        agent = agents[other_host(flow)]
        refuse(agent, flow)
        sender = agent.topology.homes(flow)[0].address
        for _ in range(2):
            event = PeerMessageArrived(NOW, sender, 3, OwnerUnknown(flow))
            assert not of_kind(agent.reduce(event), AnswerCaller)

    @pytest.mark.parametrize("kind", (OwnerQuery, OwnerUnknown))
    def test_messages_round_trip_as_kinds_that_former_releases_drop(self, flow, kind):
        """Load pattern: a rolling upgrade; a former release knows the kinds up to 16."""
        datagram = seal_datagram(7, kind(flow))
        assert datagram[3] > 16
        assert open_datagram(datagram) == (7, kind(flow))
