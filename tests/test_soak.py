"""A short soak with real processes, regression seeds, and tests of the rule checks."""

import asyncio

import pytest

from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import ACK, RST, SYN, PacketCodec
from heatheryoke.standins import soak as soak_module
from heatheryoke.standins.contact import CORE
from heatheryoke.standins.soak import Soak, run_soak
from heatheryoke.standins.soak_faults import FAULTS, Fault
from heatheryoke.standins.stream_caller import Outcome, StreamFlow
from heatheryoke.standins.stream_packets import build_packet
from heatheryoke.standins.stream_site import FEEDS, SHEETS, SiteSize
from heatheryoke.standins.stream_upstream import StreamUpstream

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


class TestPlannedWork:
    """Guards against open flows that the system resets while hosts and upstreams are replaced."""

    # Large enough that two hosts of a kind may be away at the same time.
    SIZE = SiteSize(balancers=4, feed_agents=5, sheet_agents=4)

    def test_breaks_no_flow_while_its_kinds_overlap(self, monkeypatch):
        planned = {kind: fault for kind, fault in FAULTS.items() if fault.is_planned}
        monkeypatch.setattr(soak_module, "FAULTS", planned)
        monkeypatch.setattr(soak_module, "FAULT_GAPS_S", (0.5, 3.0))
        result = run_soak(1, SHORT_S, self.SIZE)
        assert result.violations == []
        assert result.outcomes["feed served"] > 100
        assert len(result.injected_faults) > 3


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
            soak.site.reserve_ports()
            host = soak.site.hosts["balancer-1"]
            await soak.site.start_process(host)
            await soak.site.start_process(host)
            await soak.site.close()
            return self.running(soak.site), soak.site.leftovers

        running, leftovers = asyncio.run(play())
        assert running == []
        assert len(leftovers) == 1


class FakeUpstream:
    """Upstream with one open flow."""

    name = "i-1"

    def __init__(self, key):
        self.key = key

    def has_open(self, flow):
        return flow == self.key


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


class TestResetCheck:
    """Guards against a soak that passes although the system resets a flow that its upstream has.

    The packets go straight into the caller and its upstream; no process runs.
    """

    NOW, SEQUENCE = 50.0, 700
    BALANCER, AGENT, OTHER = "balancer-1", "agent-1", "agent-2"

    @pytest.fixture
    def soak(self, monkeypatch):
        monkeypatch.setattr(StreamUpstream, "send", lambda *packet: None)
        monkeypatch.setattr("heatheryoke.standins.stream_caller.StreamCaller.now", self.now)
        monkeypatch.setattr(Soak, "now", self.now)
        soak = Soak(1)
        soak.site.history.publish(3, 0.0, soak.site.routes)
        yield soak
        soak.site.folder.cleanup()

    def now(self, _=None) -> float:
        return self.NOW

    def upstream(self, soak, name=AGENT, service=FEEDS):
        host = soak.site.hosts[name]
        address = Address(host.ip, 1)
        upstream = StreamUpstream("i-1", service, "d", address, address, soak.site.store, name)
        soak.site.upstreams[name] = upstream
        return upstream

    def flow(self, soak, service=FEEDS) -> StreamFlow:
        balancer = Address(soak.site.hosts[self.BALANCER].ip, 1)
        caller = soak_module.StreamCaller(Address("127.22.0.1", 1), lambda flow: balancer, 1)
        caller.on_system_reset = soak.check_reset
        caller.port = type("Port", (), {"send": lambda *packet: None})()
        return caller.flow(soak.site.service_address(service))

    def deliver(self, flow, upstream, flags, acknowledged=0):
        packet = build_packet(flow.key, flags, 1, acknowledged)
        upstream.on_datagrams([(packet, Address("127.0.0.1", 1))])

    def open(self, soak, service=FEEDS):
        """Open a flow with both ends aware of it, and return it with its upstream."""
        flow, upstream = self.flow(soak, service), self.upstream(soak, service=service)
        self.accept(flow, upstream)
        self.acknowledge(flow, upstream)
        return flow, upstream

    def accept(self, flow, upstream):
        """Let the upstream accept, and the caller follow this acceptance."""

        async def open_at_upstream():
            self.deliver(flow, upstream, SYN)

        asyncio.run(open_at_upstream())
        first = upstream.connections[flow.key].first
        self.answer(flow, build_packet(flow.key, SYN | ACK, first - 1, to_caller=True))

    def acknowledge(self, flow, upstream):
        """Let the caller's next packet reach an upstream."""
        flow.send(ACK)
        self.deliver(flow, upstream, ACK, flow.expected)

    def answer(self, flow, packet, sender="127.0.0.1"):
        flow.caller.on_datagrams([(packet, Address(sender, 1))])

    def reset(self, soak, flow, sender=OTHER):
        """Let the system reset a flow, with a sequence number that callers ignore."""
        packet = PacketCodec().reset(flow.key, self.SEQUENCE)
        self.answer(flow, packet, soak.site.hosts[sender].ip)
        return len(soak.violations)

    def test_a_reset_of_an_idle_open_flow_is_a_broken_rule(self, soak):
        flow, _ = self.open(soak)
        assert self.reset(soak, flow) == 1
        assert "agent-2 reset" in soak.violations[0]

    def test_a_reset_beside_planned_work_is_a_broken_rule(self, soak):
        flow, _ = self.open(soak)
        soak.reserved.update(soak.site.hosts)
        soak.withdrawn = soak.site.hosts[self.AGENT].failure_domain
        assert self.reset(soak, flow) == 1

    def test_a_reset_beside_an_unplanned_fault_of_another_host_is_a_broken_rule(self, soak):
        flow, _ = self.open(soak)
        soak.unplanned_faults = 1
        with soak.contact.disturbed("agent-3", "balancer-2"):
            assert self.reset(soak, flow) == 1

    @pytest.mark.parametrize("name", (CORE, BALANCER, AGENT, OTHER))
    def test_a_reset_beside_an_unplanned_fault_or_soon_after_is_excused(self, soak, name):
        flow, _ = self.open(soak)
        with soak.contact.disturbed(name):
            assert self.reset(soak, flow) == 0
        soak.contact.ended_at[name] = self.NOW - 3.9
        assert self.reset(soak, flow) == 0
        soak.contact.ended_at[name] = self.NOW - 4.0
        assert self.reset(soak, flow) == 1

    def test_a_flow_is_not_open_before_its_upstream_has_the_next_packet(self, soak):
        flow, upstream = self.flow(soak), self.upstream(soak)
        self.accept(flow, upstream)
        assert self.reset(soak, flow) == 0

    def test_a_flow_is_open_only_where_the_caller_follows_the_acceptance(self, soak):
        flow, followed = self.flow(soak), self.upstream(soak)
        self.accept(flow, followed)
        other = self.upstream(soak, self.OTHER)
        other.random.seed(5)
        self.accept(flow, other)
        self.acknowledge(flow, other)
        assert self.reset(soak, flow) == 0
        self.acknowledge(flow, followed)
        assert self.reset(soak, flow) == 1

    def test_an_outcome_counts_only_while_the_upstream_that_the_caller_follows_holds_the_flow(
        self, soak
    ):
        soak.calm_since = 0.0
        flow, followed = self.open(soak)
        self.accept(flow, self.upstream(soak, self.OTHER))
        upstreams = dict(soak.site.upstreams)
        soak.check_flow(flow, Outcome.SILENT, self.NOW, True, upstreams)
        assert len(soak.violations) == 1
        del followed.connections[flow.key]
        soak.check_flow(flow, Outcome.SILENT, self.NOW, True, upstreams)
        assert len(soak.violations) == 1

    def test_a_reset_by_the_upstream_is_no_broken_rule(self, soak):
        flow, _ = self.open(soak)
        self.answer(flow, build_packet(flow.key, RST, 1, to_caller=True))
        assert flow.was_reset
        assert soak.violations == []

    def test_a_flow_whose_upstream_has_ended_is_excused(self, soak):
        flow, upstream = self.open(soak)
        upstream.port = type("Port", (), {"close": lambda self: None})()
        asyncio.run(upstream.close())
        assert self.reset(soak, flow) == 0

    @pytest.mark.parametrize(("field", "age_s"), (("opened_at", 61.0), ("active_at", 16.0)))
    def test_a_flow_that_may_be_discarded_is_excused(self, soak, field, age_s):
        flow, _ = self.open(soak)
        setattr(flow, field, self.NOW - age_s)
        assert self.reset(soak, flow) == 0

    def test_only_a_flow_whose_route_was_removed_is_excused(self, soak):
        routes = dict(soak.site.routes)
        del routes[soak.site.service_address(SHEETS)]
        soak.site.history.publish(6, self.NOW - 1.0, routes)
        soak.site.history.publish(9, self.NOW - 0.5, soak.site.routes)
        removed, _ = self.open(soak, SHEETS)
        assert self.reset(soak, removed) == 0
        kept, _ = self.open(soak, FEEDS)
        assert self.reset(soak, kept) == 1
