"""The version of the configuration in force never decreases, in whatever order documents arrive."""

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.balancer import Balancer
from heatheryoke.core.configuration import EPOCH_CLAIM_S, Configuration, is_platform_watcher
from heatheryoke.core.effects import Count, FetchConfiguration, SendPeer
from heatheryoke.core.events import ConfigurationOffered, PeerMessageArrived, Tick
from heatheryoke.core.messages import ConfigurationPart, ConfigurationRequest, EpochNotice
from heatheryoke.core.node import PAUSE_S, TICK_S
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.model import Address, Document, FailureDomain, Host, Role

PEER = Address("10.0.0.9", 7_000)
LAST_VERSION = 6


def document(version):
    """Return a document with as many hosts as its version."""
    hosts = tuple(
        Host(f"balancer-{n}", Role.BALANCER, "d", Address(f"10.0.0.{n + 1}", 7_000))
        for n in range(version)
    )
    return Document(version, (FailureDomain("d", "east"),), hosts)


def peer_at(version, previous=None):
    """Return a peer's configuration at a version, after a previous one if given."""
    peer = Configuration()
    if previous:
        peer.accept(document(previous))
    peer.accept(document(version))
    return peer


def parts_from(peer, have):
    effects = peer.answer(PEER, ConfigurationRequest(have))
    return [effect.message for effect in effects if isinstance(effect, SendPeer)]


offers = st.one_of(
    st.builds(lambda version: ("platform", version), st.integers(1, LAST_VERSION)),
    st.builds(
        lambda versions, have: ("peer", max(versions), min(versions), have),
        st.sets(st.integers(1, LAST_VERSION), min_size=2, max_size=2),
        st.integers(0, LAST_VERSION),
    ),
    st.builds(lambda data: ("garbage", data), st.binary(max_size=60)),
)


class TestOrderOfArrival:
    @given(st.lists(offers, max_size=25), st.randoms(use_true_random=False))
    def test_version_never_decreases(self, arrivals, random):
        node = Balancer("balancer-0", 1)
        now, previous_epoch = 0.0, 0
        for arrival in arrivals:
            for event in self.events(arrival, now, random):
                node.reduce(event)
                assert node.epoch >= previous_epoch
                if node.topology is not None:
                    assert len(node.topology.hosts) == node.epoch
                previous_epoch = node.epoch
            now += 0.05
        offered = [arrival[1] for arrival in arrivals if arrival[0] == "platform"]
        assert node.epoch >= max(offered, default=0)

    def events(self, arrival, now, random):
        if arrival[0] == "platform":
            return [ConfigurationOffered(now, document(arrival[1]))]
        if arrival[0] == "garbage":
            part = ConfigurationPart(99, 0, 0, 1, arrival[1])
            return [PeerMessageArrived(now, PEER, 99, part)]
        _, version, previous, have = arrival
        parts = parts_from(peer_at(version, previous), have)
        random.shuffle(parts)
        return [PeerMessageArrived(now, PEER, version, part) for part in parts]


class TestExchange:
    def test_a_peer_one_version_behind_gets_only_the_change(self):
        (part,) = parts_from(peer_at(5, previous=4), have=4)
        assert part.base == 4
        behind = peer_at(4)
        assert behind.collect(part).unwrap() == document(5)

    def test_a_peer_further_behind_gets_the_whole_document(self):
        (part,) = parts_from(peer_at(5, previous=4), have=2)
        assert part.base == 0
        assert Configuration().collect(part).unwrap() == document(5)

    def test_an_unreadable_document_is_refused_and_the_platform_asked(self):
        node = Balancer("balancer-0", 1)
        node.reduce(ConfigurationOffered(0.0, document(3)))
        part = ConfigurationPart(9, 0, 0, 1, b"not a document")
        effects = node.reduce(PeerMessageArrived(0.1, PEER, 9, part))
        assert node.epoch == 3
        assert FetchConfiguration() in effects
        assert Count("configurations_refused") in effects

    def test_a_readable_document_with_problems_is_refused(self):
        faulty = document(4)._replace(failure_domains=())
        peer = Configuration()
        peer.accept(faulty)
        node = Balancer("balancer-0", 1)
        node.reduce(ConfigurationOffered(0.0, document(3)))
        for part in parts_from(peer, have=0):
            node.reduce(PeerMessageArrived(0.1, PEER, 4, part))
        assert node.epoch == 3

    def test_after_a_refused_change_the_whole_document_is_requested(self):
        node = Balancer("balancer-0", 1)
        node.reduce(ConfigurationOffered(0.0, document(3)))
        node.reduce(PeerMessageArrived(0.1, PEER, 5, ConfigurationPart(5, 3, 0, 1, b"no change")))
        effects = node.reduce(PeerMessageArrived(0.2, PEER, 5, EpochNotice(0)))
        assert SendPeer(PEER, ConfigurationRequest(0)) in effects

    def test_a_newer_epoch_is_requested_from_its_sender(self):
        node = Balancer("balancer-0", 1)
        node.reduce(ConfigurationOffered(0.0, document(3)))
        effects = node.reduce(PeerMessageArrived(0.1, PEER, 5, EpochNotice(4)))
        assert SendPeer(PEER, ConfigurationRequest(3)) in effects


class TestPause:
    def paused(self):
        node = Balancer("balancer-0", 1)
        node.reduce(ConfigurationOffered(0.0, document(3)))
        node.reduce(Tick(0.05))
        node.reduce(Tick(0.05 + PAUSE_S + 1))
        return node

    def test_a_process_is_muted_after_a_pause_until_its_epoch_is_confirmed(self):
        node = self.paused()
        assert node.is_muted()
        node.reduce(ConfigurationOffered(1.2, document(3)))
        assert not node.is_muted()

    def test_an_older_document_does_not_confirm_the_epoch(self):
        node = self.paused()
        node.reduce(ConfigurationOffered(1.2, document(2)))
        assert node.is_muted()
        assert node.epoch == 3

    def test_a_known_newer_epoch_must_arrive_before_the_process_resumes(self):
        node = self.paused()
        node.reduce(PeerMessageArrived(1.2, PEER, 5, EpochNotice(0)))
        assert node.is_muted()
        node.reduce(ConfigurationOffered(1.3, document(5)))
        assert not node.is_muted()

    def test_an_epoch_that_nobody_repeats_or_supplies_does_not_mute(self):
        node = self.paused()
        node.reduce(PeerMessageArrived(1.2, PEER, 5, EpochNotice(0)))
        end = 1.2 + EPOCH_CLAIM_S
        for step in range(int((end - 1.2) / TICK_S) + 2):
            node.reduce(Tick(1.2 + step * TICK_S))
        node.reduce(ConfigurationOffered(end + 0.1, document(3)))
        assert not node.is_muted()

    def test_an_epoch_whose_document_was_refused_does_not_mute(self):
        node = self.paused()
        part = ConfigurationPart(9, 0, 0, 1, b"not a document")
        node.reduce(PeerMessageArrived(1.2, PEER, 9, part))
        node.reduce(ConfigurationOffered(1.3, document(3)))
        assert not node.is_muted()


class TestPlatformWatchers:
    def test_are_two_per_failure_domain_without_suspected_hosts(self):
        topology = Topology(document(6))
        first = [name for name in topology.hosts if is_platform_watcher(topology, name, set())]
        assert len(first) == 2
        remaining = [
            name for name in topology.hosts if is_platform_watcher(topology, name, {first[0]})
        ]
        assert len(remaining) == 2
        assert first[0] not in remaining
