"""A short soak with real processes, regression seeds, and tests of the rule checks."""

import asyncio

import pytest

from heatheryoke.standins import soak as soak_module
from heatheryoke.standins.soak import Soak, run_soak
from heatheryoke.standins.soak_faults import FAULTS, Fault
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


class TestReturnedStore:
    """Guards against views that take a copy for the present, or refuse what is written after it."""

    KINDS = ("store returned", "configurations in a storm", "agent killed", "balancer stopped")

    def test_keeps_every_rule_while_the_store_returns_from_copies(self, monkeypatch):
        monkeypatch.setattr(soak_module, "FAULTS", {kind: FAULTS[kind] for kind in self.KINDS})
        monkeypatch.setattr(soak_module, "FAULT_GAPS_S", (0.5, 3.0))
        result = run_soak(7, SHORT_S)
        assert result.violations == []
        assert result.injected_faults["store returned"] > 0


class TestProcesses:
    """Guards against daemons that go on running after the soak has ended."""

    @staticmethod
    async def start_late(target):
        """Start a process of a host while the site is being closed after another fault's error."""
        await asyncio.sleep(0.2)
        for host in list(target.site.hosts.values()):
            await target.site.start_process(host)
            await asyncio.sleep(0.05)

    @staticmethod
    async def fail(target):
        """Raise as a fault does whose process cannot be started."""
        await asyncio.sleep(0.1)
        raise OSError("too many open files")

    def running(self, site):
        return [name for name, process in site.all_processes if process.returncode is None]

    def test_no_process_outlives_a_soak_that_ends_by_an_error(self, monkeypatch):
        kinds = iter([self.start_late, self.fail])
        monkeypatch.setattr(
            soak_module, "FAULTS", {"kind": Fault(True, lambda target: next(kinds)(target))}
        )
        monkeypatch.setattr(soak_module, "HOSTS_PER_SERIES", 5)
        monkeypatch.setattr(soak_module, "FAULT_GAPS_S", (5.0,))

        async def play():
            soak = Soak(1)
            with pytest.raises(ExceptionGroup):
                await soak.run(4.0)
            await asyncio.sleep(0.5)
            return self.running(soak.site)

        assert asyncio.run(play()) == []

    def test_a_process_without_a_host_is_killed_and_reported(self):
        async def play():
            soak = Soak(1)
            host = soak.site.hosts["balancer-1"]
            await soak.site.start_process(host)
            await soak.site.start_process(host)
            await soak.site.close()
            return self.running(soak.site), soak.site.leftovers

        running, leftovers = asyncio.run(play())
        assert running == []
        assert len(leftovers) == 1


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
