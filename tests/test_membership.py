"""Failure detection: heartbeats, accusations, and how they spread along the ring."""

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.effects import SendPeer
from heatheryoke.core.membership import (
    SILENCE_S,
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
        made = Membership(name, 1)
        made.use(Topology(document(12)), 0.0)
        return made

    def accuse(self, made, host, accusers, suspected=True, counter=5):
        rows = tuple(Accusation(accuser, host, counter, suspected) for accuser in accusers)
        made.merge(Address("10.0.0.9", 1), Accusations(0, rows), 1.0)

    def watchers_of(self, host):
        watched = self.membership(host)
        return [watcher.name for watcher in watched.watchers()]

    def test_one_accuser_does_not_make_a_host_suspected(self):
        made = self.membership()
        self.accuse(made, "h5", self.watchers_of("h5")[:1])
        assert not made.is_suspected("h5")

    def test_a_majority_of_watchers_makes_a_host_suspected(self):
        made = self.membership()
        self.accuse(made, "h5", self.watchers_of("h5")[:2])
        assert made.is_suspected("h5")

    def test_retractions_end_the_suspicion(self):
        made = self.membership()
        watchers = self.watchers_of("h5")
        self.accuse(made, "h5", watchers)
        self.accuse(made, "h5", watchers, suspected=False, counter=6)
        assert not made.is_suspected("h5")

    def test_accusers_that_do_not_watch_the_host_are_ignored(self):
        made = self.membership()
        strangers = [f"h{n}" for n in range(12) if f"h{n}" not in self.watchers_of("h5")]
        self.accuse(made, "h5", strangers)
        assert not made.is_suspected("h5")

    def test_a_silent_host_is_accused_until_its_next_heartbeat(self):
        made = self.membership()
        silent = made.watched()[0]
        for host in made.watched()[1:]:
            made.record_heartbeat(Heartbeat(host.name, 1, made.digest), SILENCE_S)
        sent = made.tick(SILENCE_S + 0.5)
        accused = [
            row.host
            for effect in sent
            if isinstance(effect, SendPeer) and isinstance(effect.message, Accusations)
            for row in effect.message.entries
        ]
        assert set(accused) == {silent.name}
        made.record_heartbeat(Heartbeat(silent.name, 1, made.digest), SILENCE_S + 1)
        assert not made.accuses(silent.name)

    def test_hosts_of_a_withdrawn_domain_watch_each_other(self):
        topology = Topology(document(12, withdrawn=True))
        made = Membership("h1", 1)
        made.use(topology, 0.0)
        assert {host.failure_domain for host in made.watchers()} == {"d1"}
