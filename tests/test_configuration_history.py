"""The judge of configurations finds what it is meant to find, and nothing else."""

import pytest

from heatheryoke.inventory.model import Address
from heatheryoke.standins.configuration_history import ConfigurationHistory, Handled, Machine

OLD, KEPT, NEW = (Address("198.18.0.2", port) for port in (1, 2, 3))
BALANCER, AGENT = Machine("balancer-1", 1), Machine("agent-1", 1)


@pytest.fixture
def history():
    """Version 3 at 10 s; version 6 at 20 s removes a route, adds one, and moves one."""
    history = ConfigurationHistory(in_force_within_s=3.0)
    history.publish(3, 10.0, {OLD: "feeds", KEPT: "feeds"})
    history.publish(6, 20.0, {NEW: "feeds", KEPT: "sheets"})
    return history


def handled(address, service, sent_at, **changes):
    flow = Handled(address, service, (BALANCER, AGENT), sent_at, sent_at + 0.01)
    return flow._replace(**changes)


class TestLate:
    @pytest.mark.parametrize(
        "flow",
        [
            handled(OLD, "feeds", 23.1),
            handled(KEPT, "feeds", 23.1),
            handled(NEW, None, 23.1),
            handled(OLD, "feeds", 23.1, was_open=True),
            handled(NEW, "sheets", 23.1),
        ],
        ids=["removed", "moved", "added", "removed while open", "never allowed"],
    )
    def test_an_older_configuration_after_the_bound(self, history, flow):
        assert len(list(history.late([flow]))) == 1

    @pytest.mark.parametrize(
        "flow",
        [
            handled(OLD, "feeds", 22.9),
            handled(KEPT, "sheets", 20.1),
            handled(KEPT, "feeds", 23.1, was_open=True),
            handled(OLD, None, 23.1),
        ],
        ids=["within the bound", "newer", "an open flow keeps its upstream", "removed, refused"],
    )
    def test_what_the_configurations_allow(self, history, flow):
        assert list(history.late([flow])) == []


class TestStepsBack:
    SHOWN = handled(NEW, "feeds", 20.1)

    @pytest.mark.parametrize("machines", [(BALANCER,), (AGENT,)], ids=["balancer", "agent"])
    def test_an_older_configuration_after_a_newer_one(self, history, machines):
        flows = [self.SHOWN, handled(OLD, "feeds", 20.5, machines=machines)]
        assert len(list(history.steps_back(flows))) == 1

    @pytest.mark.parametrize(
        "flow",
        [
            handled(OLD, "feeds", 20.3),
            handled(OLD, "feeds", 20.5, machines=(Machine("balancer-1", 2),)),
            handled(OLD, "feeds", 20.5, machines=(Machine("balancer-2", 1),)),
            handled(KEPT, "sheets", 20.5),
            handled(OLD, None, 20.5),
        ],
        ids=["sent too soon", "another incarnation", "another process", "newer", "refused"],
    )
    def test_what_is_no_step_back(self, history, flow):
        assert list(history.steps_back([self.SHOWN, flow])) == []


class TestIsRouted:
    def test_needs_a_route_in_every_version_that_may_be_in_force(self, history):
        assert history.is_routed(KEPT, 22.0, 22.5)
        assert history.is_routed(NEW, 23.1, 23.5)
        assert not history.is_routed(NEW, 22.0, 22.5)
        assert not history.is_routed(OLD, 15.0, 21.0)
