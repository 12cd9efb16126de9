"""Failure detection: heartbeats, accusations, and how they spread along the ring."""

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.effects import SendPeer
from heatheryoke.core.membership import (
    SILENCE_TIMEOUT_S,
    Membership,
    relay_targets,
    watch_offsets,
)
from heatheryoke.core.messages import Accusation, Accusations, Heartbeat
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.model import Address, Document, FailureDomain, Host, Role


def document(size, withdrawn=False):
    domains = (FailureDomain("d0", "east"), FailureDomain("d1", "east", withdrawn))
    hosts = tuple(
        Host(f"h{n}", Role.AGENT, f"d{n % 2}", Address(f"10.0.0.{n + 1}", 1)) for n in range(size)
    )
    return Document(2 if withdrawn else 1, domains, hosts)


class TestWatchOffsets:
    @given(st.integers(2, 20_000))
    def test_are_distinct_and_never_zero(self, size):
        offsets = watch_offsets(size)
        assert len(offsets) == min(3, size - 1)
        assert len(set(offsets)) == len(offsets)
        assert all(0 < offset < size for offset in offsets)


class TestRelay:
    @given(st.integers(2, 400), st.integers(0, 399), st.sets(st.integers(0, 399), max_size=40))
    def test_reaches_every_live_host_once(self, size, start, dead):
        start %= size
        ring = Topology(document(size)).ring
        skip = {ring[number].name for number in dead if number < size and number != start}
        positions = {host.name: index for index, host in enumerate(ring)}
        reached = [ring[start].name]
        waiting = [(start, size - 1)]
        while waiting:
            position, span = waiting.pop()
            for target in relay_targets(ring, position, span, skip):
                reached.append(target.host.name)
                waiting.append((positions[target.host.name], target.span))
        assert sorted(reached) == sorted(set(positions) - skip)


class TestSuspicion:
    def membership(self, name="h0"):
        membership = Membership(name, 1)
        membership.use(Topology(document(12)), 0.0)
        return membership

    def accuse(self, membership, host, accusers, suspected=True, counter=5):
        entries = tuple(Accusation(accuser, host, counter, suspected) for accuser in accusers)
        membership.merge(Address("10.0.0.9", 1), Accusations(0, entries), 1.0)

    def watchers_of(self, host):
        membership = self.membership(host)
        return [watcher.name for watcher in membership.watchers()]

    def test_one_accuser_does_not_make_a_host_suspected(self):
        membership = self.membership()
        self.accuse(membership, "h5", self.watchers_of("h5")[:1])
        assert not membership.is_suspected("h5")

    def test_a_majority_of_watchers_makes_a_host_suspected(self):
        membership = self.membership()
        self.accuse(membership, "h5", self.watchers_of("h5")[:2])
        assert membership.is_suspected("h5")

    def test_retractions_end_the_suspicion(self):
        membership = self.membership()
        watchers = self.watchers_of("h5")
        self.accuse(membership, "h5", watchers)
        self.accuse(membership, "h5", watchers, suspected=False, counter=6)
        assert not membership.is_suspected("h5")

    def test_accusers_that_do_not_watch_the_host_are_ignored(self):
        membership = self.membership()
        non_watchers = [f"h{n}" for n in range(12) if f"h{n}" not in self.watchers_of("h5")]
        self.accuse(membership, "h5", non_watchers)
        assert not membership.is_suspected("h5")

    def test_a_silent_host_is_accused_until_its_next_heartbeat(self):
        membership = self.membership()
        silent = membership.watched()[0]
        for host in membership.watched()[1:]:
            membership.record_heartbeat(
                Heartbeat(host.name, 1, membership.digest), SILENCE_TIMEOUT_S
            )
        sent = membership.tick(SILENCE_TIMEOUT_S + 0.5)
        accused = [
            entry.host
            for effect in sent
            if isinstance(effect, SendPeer) and isinstance(effect.message, Accusations)
            for entry in effect.message.entries
        ]
        assert set(accused) == {silent.name}
        membership.record_heartbeat(
            Heartbeat(silent.name, 1, membership.digest), SILENCE_TIMEOUT_S + 1
        )
        assert not membership.accuses(silent.name)

    def test_hosts_of_a_withdrawn_domain_watch_each_other(self):
        topology = Topology(document(12, withdrawn=True))
        membership = Membership("h1", 1)
        membership.use(topology, 0.0)
        assert {host.failure_domain for host in membership.watchers()} == {"d1"}
