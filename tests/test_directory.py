"""Tests of a home's directory: conflicts, expiry, closing and eviction; also against a model."""

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.directory import (
    ENTRY_S,
    RENEWAL_S,
    TENTATIVE_S,
    Directory,
    Outcome,
    by_answer,
    by_generation,
)
from heatheryoke.core.messages import Registration

FLOWS = [b"flow-%d" % number for number in range(4)]
any_registration = st.builds(
    Registration,
    st.sampled_from(FLOWS),
    st.sampled_from(["upstream-1", "upstream-2", "upstream-3"]),
    st.integers(0, 3),
    st.just(2_000),
    st.booleans(),
    st.booleans(),
    st.just(()),
)


def make_registration(owner, generation=0, answered=True, closed=False):
    return Registration(FLOWS[0], owner, generation, 2_000, answered, closed, ())


class ReferenceDirectory:
    """The registrations in force in one dict, without expiry or limit."""

    def __init__(self, precedence):
        self.precedence = precedence
        self.by_flow: dict[bytes, Registration] = {}

    def register(self, registration: Registration) -> None:
        existing = self.by_flow.get(registration.flow)
        if registration.closed:
            if existing and existing.owner == registration.owner:
                del self.by_flow[registration.flow]
        elif (
            existing is None
            or existing.owner == registration.owner
            or self.precedence(registration) > self.precedence(existing)
        ):
            self.by_flow[registration.flow] = registration


class TestRegister:
    def test_higher_generation_takes_precedence(self):
        directory = Directory()
        directory.register(make_registration("upstream-1"), 0.0)
        assert (
            directory.register(make_registration("upstream-2", generation=1), 0.0)
            is Outcome.REPLACED
        )
        assert directory.find(FLOWS[0], 0.0).registration.owner == "upstream-2"

    def test_answered_owner_takes_precedence(self):
        directory = Directory()
        directory.register(make_registration("upstream-1"), 0.0)
        assert (
            directory.register(make_registration("upstream-2", answered=False), 0.0) is Outcome.LOST
        )

    def test_a_former_owner_cannot_close_anothers_flow(self):
        directory = Directory()
        directory.register(make_registration("upstream-1", generation=1), 0.0)
        directory.register(make_registration("upstream-3", generation=1, closed=True), 0.0)
        assert directory.find(FLOWS[0], 0.0).registration.owner == "upstream-1"

    @given(st.lists(any_registration, max_size=30), st.sampled_from([by_answer, by_generation]))
    def test_agrees_with_reference(self, registrations, precedence):
        directory = Directory(precedence=precedence)
        reference = ReferenceDirectory(precedence)
        for registration in registrations:
            directory.register(registration, 0.0)
            reference.register(registration)
        for flow in FLOWS:
            entry = directory.find(flow, 0.0)
            assert (entry.registration if entry else None) == reference.by_flow.get(flow)

    @given(
        st.permutations(
            [
                make_registration("upstream-1"),
                make_registration("upstream-2", 1),
                make_registration("upstream-3", 2),
            ]
        )
    )
    def test_order_of_conflicting_registrations_does_not_matter(self, registrations):
        directory = Directory()
        for registration in registrations:
            directory.register(registration, 0.0)
        assert directory.find(FLOWS[0], 0.0).registration.owner == "upstream-3"


class TestExpiry:
    def test_entry_without_renewal_expires(self):
        directory = Directory()
        directory.register(make_registration("upstream-1"), 0.0)
        assert directory.find(FLOWS[0], ENTRY_S + 1) is None
        assert directory.expire(ENTRY_S + 1, 10) == 1
        assert len(directory) == 0

    def test_tentative_entry_expires_sooner(self):
        directory = Directory()
        directory.add_tentative(FLOWS[0], "upstream-1", 0, False, 0.0)
        assert directory.find(FLOWS[0], TENTATIVE_S / 2).tentative
        assert directory.find(FLOWS[0], TENTATIVE_S + 0.1) is None


class TestFind:
    def test_an_expired_entry_does_not_hide_a_live_tentative_one(self):
        directory = Directory()
        directory.register(make_registration("upstream-1"), 0.0)
        directory.add_tentative(FLOWS[0], "upstream-2", 0, True, ENTRY_S + 1.0)
        found = directory.find(FLOWS[0], ENTRY_S + 1.5)
        assert found is not None and found.registration.owner == "upstream-2"


class TestBound:
    def test_idle_entry_is_evicted(self):
        directory = Directory(maximum=1)
        directory.register(make_registration("upstream-1"), 0.0)
        other = make_registration("upstream-1")._replace(flow=FLOWS[1])
        later = RENEWAL_S + 1
        assert directory.register(other, later) is Outcome.KEPT
        assert directory.find(FLOWS[0], later) is None

    def test_active_entry_is_not_evicted(self):
        directory = Directory(maximum=1)
        directory.register(make_registration("upstream-1"), 0.0)
        other = make_registration("upstream-1")._replace(flow=FLOWS[1])
        assert directory.register(other, 1.0) is Outcome.REFUSED
        assert directory.find(FLOWS[0], 1.0) is not None
