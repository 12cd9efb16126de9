"""A short soak with real processes, regression seeds, and tests of the rule checks."""

import asyncio

import pytest

from heatheryoke.standins import soak as soak_module
from heatheryoke.standins.soak import Soak, run_soak
from heatheryoke.standins.stream_caller import Outcome

SHORT_S = 20.0
# Seeds of soaks that violated a rule before the cause was fixed.
REGRESSIONS: tuple[int, ...] = (102, 105)


class TestSoak:
    @pytest.mark.parametrize("seed", (1, *REGRESSIONS))
    def test_keeps_every_rule(self, seed):
        result = run_soak(seed, SHORT_S)
        assert result.violations == []
        assert result.outcomes["feed served"] > 100
        assert sum(result.injected_faults.values()) > 3


class FakeUpstream:
    """Upstream with one connection."""

    name = "i-1"

    def __init__(self, key):
        self.connections = {key: None}


class FakeFlow:
    """Flow with the attributes that the rule checks read."""

    key = b"flow"


class TestRuleChecks:
    """Guards against a soak that passes because its rule checks never report a violation."""

    def violations(self, outcome, sent_at=50.0, was_open=True, unplanned_faults=0, replaced=False):
        soak = Soak(1)
        soak.now = lambda: sent_at + 1.0
        soak.calm_since, soak.unplanned_faults = 40.0, unplanned_faults
        upstream = FakeUpstream(FakeFlow.key)
        soak.site.upstreams["agent-1"] = upstream
        soak.check_flow(
            FakeFlow, outcome, sent_at, was_open, {} if replaced else {"agent-1": upstream}
        )
        soak.site.folder.cleanup()
        return soak.violations

    @pytest.mark.parametrize("outcome", (Outcome.RESET, Outcome.SILENT))
    def test_a_flow_that_breaks_in_calm_is_a_broken_rule(self, outcome):
        assert len(self.violations(outcome)) == 1

    def test_an_answer_of_another_is_always_a_broken_rule(self):
        assert len(self.violations(Outcome.MIXED, unplanned_faults=1)) == 1

    def test_what_breaks_beside_a_fault_or_soon_after_is_excused(self):
        assert self.violations(Outcome.RESET, unplanned_faults=1) == []
        assert self.violations(Outcome.RESET, sent_at=43.0) == []

    def test_a_flow_whose_upstream_was_replaced_is_excused(self):
        assert self.violations(Outcome.RESET, replaced=True) == []

    def test_new_flows_after_the_bound_are_a_broken_rule(self, monkeypatch):
        monkeypatch.setattr(soak_module, "CHANGE_WITHIN_S", 0.0)

        async def play(calm_since):
            soak = Soak(1)
            soak.calm_since = soak.now() - calm_since
            counted = [5, 5, 3]
            await soak.expect_no_new_flows("a draining upstream", counted.pop)
            soak.site.folder.cleanup()
            return soak.violations

        assert len(asyncio.run(play(calm_since=10.0))) == 1
        assert asyncio.run(play(calm_since=1.0)) == []
