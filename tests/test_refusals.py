"""Tests of refusals of new flows: a reset reaches no caller whose flow another agent has opened."""

import pytest

from heatheryoke.core.effects import AnswerCaller, SendPeer
from heatheryoke.core.events import PeerMessageArrived, Tick
from heatheryoke.core.messages import Refusal
from heatheryoke.inventory.model import Address
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_flow_owners import make_registration, register
from tests.test_streams import (
    CODEC,
    ITEMS,
    NOW,
    PORT,
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


def refuse(agent, flow):
    service = agent.topology.services["live"]
    message = forward(flow, packet(flow, SYN)).message
    return agent.route_effects(agent.refuse_flow(message, service, "no upstream has room"), NOW)


def refusals(effects):
    return [effect for effect in of_kind(effects, SendPeer) if type(effect.message) is Refusal]


def silence(agent, *hosts):
    """Let hosts that have acknowledged packets before acknowledge none."""
    agent.reduce(Tick(NOW))
    agent.reachability.awaiting.clear()
    agent.reachability.answered.update(host.address for host in agent.topology.document.hosts)
    for host in hosts:
        agent.reachability.on_sent(host, NOW)
    agent.reduce(Tick(NOW + 0.1))


def pass_refusals(effects, agents):
    """Carry refusals from agent to agent; return what reaches the caller."""
    answers, pending = of_kind(effects, AnswerCaller), refusals(effects)
    while pending:
        sent = pending.pop()
        event = PeerMessageArrived(NOW, Address("10.1.0.9", PORT), 3, sent.message)
        handled = agents[sent.to.ip].reduce(event)
        answers += of_kind(handled, AnswerCaller)
        pending += refusals(handled)
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
            (answer,) = pass_refusals(refuse(agent, flow), agents)
            assert CODEC.read_header(answer.payload).resets

    @pytest.mark.parametrize("home", (0, 1))
    def test_a_flow_registered_at_either_home_is_not_reset(self, flow, agents, home):
        register(agents[home_names(flow)[home]], make_registration(flow, other_host(flow)))
        for agent in agents.values():
            assert not pass_refusals(refuse(agent, flow), agents)

    @pytest.mark.parametrize("home", (0, 1))
    def test_a_flow_that_a_home_owns_is_not_reset(self, flow, agents, home):
        accept_flow(agents[home_names(flow)[home]], flow)
        assert not pass_refusals(refuse(agents[other_host(flow)], flow), agents)

    def test_a_flow_that_waits_at_a_home_is_left_to_it(self, flow, agents):
        home = agents[home_names(flow)[0]]
        home.queue_flow(forward(flow, packet(flow, SYN)).message, NOW)
        assert not pass_refusals(refuse(agents[other_host(flow)], flow), agents)

    def test_an_owner_that_has_left_keeps_no_refusal_back(self, flow, agents):
        register(agents[home_names(flow)[0]], make_registration(flow, "10.1.0.77"))
        assert pass_refusals(refuse(agents[other_host(flow)], flow), agents)

    def test_a_home_that_is_silent_is_left_out(self, flow, agents):
        agent = agents[other_host(flow)]
        silent, other = agent.topology.homes(flow)
        silence(agent, silent)
        (sent,) = refusals(refuse(agent, flow))
        assert sent.to == other.address

    def test_a_flow_is_not_reset_while_no_home_can_be_asked(self, flow, agents):
        agent = agents[other_host(flow)]
        silence(agent, *agent.topology.homes(flow))
        effects = refuse(agent, flow)
        assert not of_kind(effects, AnswerCaller) and not refusals(effects)

    def test_an_upstream_alone_refuses_at_once(self, flow):
        agent = make_agent(items=(ITEMS[0], endpoint(1)))
        assert of_kind(refuse(agent, flow), AnswerCaller)

    def test_it_round_trips_as_a_kind_that_former_releases_drop(self, flow):
        """Load pattern: a rolling upgrade; a former release knows the kinds up to 17."""
        refusal = Refusal(flow, "10.1.0.4", "queue wait exceeded", 1)
        datagram = seal_datagram(7, refusal)
        assert datagram[3] > 17
        assert open_datagram(datagram) == (7, refusal)
