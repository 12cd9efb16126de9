"""Tests of flows that two agents own for a moment: which of them keeps the flow."""

import pytest

from heatheryoke.core.directory import Outcome
from heatheryoke.core.effects import AnswerCaller, Deliver, SendPeer
from heatheryoke.core.events import PeerMessageArrived, Tick, UpstreamPacket
from heatheryoke.core.messages import Registration, Registrations, Yield
from heatheryoke.inventory.model import Address
from tests.test_streams import (
    ACK,
    NOW,
    PORT,
    RST,
    SYN,
    accept_flow,
    flow_of,
    forward,
    make_agent,
    of_kind,
    packet,
)

RIVAL = "10.1.0.4"
RIVAL_ADDRESS = Address(RIVAL, PORT)


def make_registration(flow, owner=RIVAL, generation=0, answered=False):
    return Registration(flow, owner, generation, 0, answered, False, ())


def register(agent, registration, now=NOW):
    batch = Registrations(7, (registration,))
    return agent.reduce(PeerMessageArrived(now, RIVAL_ADDRESS, 3, batch))


def follow_up(agent, flow, now=NOW, flags=ACK):
    """Let the caller of a flow follow the acceptance of an agent's upstream."""
    return agent.reduce(forward(flow, packet(flow, flags, 2, 501), now=now))


def receive_yield(agent, flow, generation=0, answered=False):
    notice = Yield(flow, RIVAL, generation, answered)
    return agent.reduce(PeerMessageArrived(NOW, RIVAL_ADDRESS, 3, notice))


@pytest.fixture
def flow():
    return flow_of(1)


@pytest.fixture
def agent(flow):
    agent = make_agent()
    accept_flow(agent, flow)
    return agent


class TestYield:
    """Guards against open flows that no agent owns any more, so that a search resets them."""

    @pytest.mark.parametrize("generation", (0, 1))
    def test_an_owner_whose_caller_answered_does_not_yield(self, agent, flow, generation):
        """A home may have compared before it knew that the caller follows this owner."""
        follow_up(agent, flow)
        receive_yield(agent, flow, generation)
        assert flow in agent.flows.flows

    def test_it_registers_again_at_its_homes(self, agent, flow):
        follow_up(agent, flow)
        agent.reduce(Tick(NOW + 0.1))
        receive_yield(agent, flow)
        sent = of_kind(agent.reduce(Tick(NOW + 0.2)), SendPeer)
        entries = [row for effect in sent for row in getattr(effect.message, "entries", ())]
        assert {(row.flow, row.answered) for row in entries} == {(flow, True)}

    @pytest.mark.parametrize("number", range(1, 6))
    def test_no_owner_yields_before_the_caller_has_answered_either(self, number, flow):
        """The caller follows either acceptance, whichever owner takes precedence."""
        agent = make_agent(number)
        accept_flow(agent, flow)
        receive_yield(agent, flow)
        register(agent, make_registration(flow))
        assert flow in agent.flows.flows

    def test_an_owner_yields_to_the_one_that_the_caller_answered(self, agent, flow):
        receive_yield(agent, flow, answered=True)
        assert flow not in agent.flows.flows

    def test_a_home_that_yields_knows_the_owner(self, agent, flow):
        register(agent, make_registration(flow, answered=True))
        assert flow not in agent.flows.flows
        assert agent.directory.find(flow, NOW).registration.owner == RIVAL

    def test_a_later_decision_to_place_the_flow_does_not_replace_an_answered_owner(self, agent):
        other = flow_of(2)
        register(agent, make_registration(other, answered=True))
        later = make_registration(other, "10.1.0.5", generation=1)
        assert agent.directory.register(later, NOW) is Outcome.LOST

    def test_a_callers_reset_is_no_answer(self, agent, flow):
        """A caller may reset the acceptance that it does not follow."""
        follow_up(agent, flow, flags=RST)
        assert not agent.flows.flows[flow].answered

    def test_packets_reach_the_upstream_that_the_caller_follows(self, agent, flow):
        """Both homes have told the other owner to yield; the flow stays in use."""
        receive_yield(agent, flow)
        register(agent, make_registration(flow))
        effects = follow_up(agent, flow)
        assert of_kind(effects, Deliver) and not of_kind(effects, AnswerCaller)

    def test_an_owner_that_is_not_followed_gives_up(self, agent, flow):
        agent.reduce(Tick(NOW + 4.1))
        assert flow not in agent.flows.flows


class TestRestartedOwner:
    """Guards against half-open flows that a restarted agent keeps until they are idle."""

    def test_an_adopted_acceptance_that_is_not_followed_is_given_up(self, flow):
        agent = make_agent(first_start=False)
        acceptance = packet(flow, SYN | ACK, 500, 2, from_upstream=True)
        agent.reduce(UpstreamPacket(NOW, flow, acceptance))
        agent.reduce(Tick(NOW + 4.1))
        assert flow not in agent.flows.flows
