"""Open flows keep their owner when acknowledgements are late, agents pause and work is planned."""

import pytest

from heatheryoke.core.effects import AnswerCaller
from heatheryoke.measure.flow_judge import ViolationKind
from heatheryoke.measure.flow_troubles import LOAD_START_S, run_flow_seed
from heatheryoke.measure.flow_world import FlowLoad, FlowWorld
from heatheryoke.measure.kept_flows import FlowCaller
from heatheryoke.measure.stream_world import StreamSite
from heatheryoke.platform.packets import RST
from heatheryoke.standins.stream_packets import build_packet

SITE = StreamSite(("a", "b"), 1, 2, slots=2, work_s=0.02, hop_s=0.001)
# 40 seeds took 8.7 s on one core.
SEEDS = range(40)


def quiet_world(seed=1, **load):
    world = FlowWorld(SITE, seed, FlowLoad(**load))
    world.run_until(LOAD_START_S)
    return world


def open_caller(world, requests=100, pause_s=0.2):
    """Return a caller whose flow has been open for half a second."""
    caller = FlowCaller(world, "a", requests, pause_s)
    world.callers[caller.flow] = caller
    caller.open()
    world.run_until(world.now + 0.5)
    assert caller.is_open_at_upstream()
    return caller


def kinds(world):
    return [violation.kind for violation in world.judge.violations]


class TestOwnership:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_open_flow_is_reset_or_left_without_owner(self, seed):
        """Guards against agents that reset an open flow, or all give it up, while it is served.

        Late acknowledgements, pauses, lost messages and planned work place a flow twice.
        """
        run = run_flow_seed(seed)
        assert not run.violations, run.describe()


class TestModel:
    def test_undisturbed_flows_are_all_served(self):
        """Guards against a model that loses flows by itself, so that its verdicts mean nothing."""
        world = quiet_world(rate=30.0)
        world.offer_load(world.now + 3.0)
        world.run_until(world.now + 10.0)
        ends = {trace[-1].detail for trace in world.judge.traces.values()}
        assert world.flow_count > 50
        assert world.judge.counts["opened"] == world.judge.counts["ended"] == world.flow_count
        assert ends <= {"done", ""}
        assert not world.judge.violations

    def test_a_seed_gives_the_same_traces_again(self):
        """Guards against a verdict that changes from run to run."""
        first, again = run_flow_seed(3), run_flow_seed(3)
        assert first.world.judge.traces == again.world.judge.traces

    def test_a_caller_follows_exactly_one_acceptance(self):
        """Guards against a model in which a second acceptance moves a flow."""
        world = quiet_world()
        caller = open_caller(world)
        other = next(agent for agent in world.agents if agent.upstream is not caller.upstream)
        followed = caller.upstream
        other.upstream.accept(caller.flow, None)
        world.run_until(world.now + 0.5)
        assert caller.upstream is followed
        assert caller.is_open_at_upstream()
        assert not other.upstream.held[caller.flow].is_open


class TestJudge:
    def test_a_reset_by_an_agent_is_a_violation_while_the_upstream_holds_the_flow(self):
        """Guards against a judge that misses the reset of an open flow."""
        world = quiet_world()
        caller = open_caller(world)
        agent = next(agent for agent in world.agents if agent.upstream is not caller.upstream)
        reset = AnswerCaller(caller.flow, world.codec.reset(caller.flow, 0))
        agent.effect_handlers[AnswerCaller](reset)
        world.run_until(world.now + 0.1)
        assert kinds(world) == [ViolationKind.RESET]
        assert world.judge.violations[0].culprit == agent.name

    def test_a_reset_by_the_upstream_itself_is_none(self):
        """Guards against blaming the system for what an upstream does."""
        world = quiet_world()
        caller = open_caller(world)
        packet = build_packet(caller.flow, RST, 7, 0, to_caller=True)
        world.answer_caller(caller.flow, packet, caller.upstream.process)
        world.run_until(world.now + 0.1)
        assert caller.is_over
        assert not kinds(world)

    def test_a_reset_of_a_flow_that_its_upstream_has_lost_is_none(self):
        """Guards against blaming an agent for a flow that its upstream holds no longer."""
        world = quiet_world()
        caller = open_caller(world)
        caller.upstream.held.clear()
        world.run_until(world.now + 5.0)
        assert world.judge.counts["got reset"] == 1
        assert not kinds(world)

    def test_a_flow_without_an_owner_is_a_violation_after_two_seconds(self):
        """Guards against a judge that misses a flow which is silent rather than reset."""
        world = quiet_world()
        caller = open_caller(world)
        for process in world.processes.values():
            process.is_up = False
        caller.upstream.process.node.flows.remove(caller.flow)
        for agent in world.agents:
            agent.node.flows.flows.pop(caller.flow, None)
        world.run_until(world.now + 2.0)
        assert not kinds(world)
        world.run_until(world.now + 1.5)
        assert kinds(world) == [ViolationKind.UNOWNED]
