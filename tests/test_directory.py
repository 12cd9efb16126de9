"""Tests of a home's directory: conflicts, expiry, closing and eviction; also against a model."""

from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.directory import ENTRY_S, RENEWAL_S, TENTATIVE_S, Directory, Outcome, precedes
from heatheryoke.core.messages import Registration

FLOWS = [b"flow-%d" % number for number in range(4)]
registrations = st.builds(
    Registration,
    st.sampled_from(FLOWS),
    st.sampled_from(["upstream-1", "upstream-2", "upstream-3"]),
    st.integers(0, 3),
    st.just(2_000),
    st.booleans(),
    st.booleans(),
    st.just(()),
)


def row(owner, generation=0, answered=True, closed=False):
    return Registration(FLOWS[0], owner, generation, 2_000, answered, closed, ())


class NaiveDirectory:
    """The registrations in force in one dict, without expiry or limit."""

    def __init__(self):
        self.rows: dict[bytes, Registration] = {}

    def register(self, new: Registration) -> None:
        held = self.rows.get(new.flow)
        if new.closed:
            if held and held.owner == new.owner:
                del self.rows[new.flow]
        elif held is None or held.owner == new.owner or precedes(new, held):
            self.rows[new.flow] = new


class TestRegister:
    def test_a_rival_of_a_higher_generation_stands(self):
        directory = Directory()
        directory.register(row("upstream-1"), 0.0)
        assert directory.register(row("upstream-2", generation=1), 0.0) is Outcome.REPLACED
        assert directory.find(FLOWS[0], 0.0).registration.owner == "upstream-2"

    def test_an_owner_that_has_answered_stands_before_one_that_has_not(self):
        directory = Directory()
        directory.register(row("upstream-1"), 0.0)
        assert directory.register(row("upstream-2", answered=False), 0.0) is Outcome.LOST

    def test_a_former_owner_cannot_close_anothers_flow(self):
        directory = Directory()
        directory.register(row("upstream-1", generation=1), 0.0)
        directory.register(row("upstream-3", generation=1, closed=True), 0.0)
        assert directory.find(FLOWS[0], 0.0).registration.owner == "upstream-1"

    @given(st.lists(registrations, max_size=30))
    def test_agrees_with_a_naive_table(self, rows):
        directory, naive = Directory(), NaiveDirectory()
        for each in rows:
            directory.register(each, 0.0)
            naive.register(each)
        for flow in FLOWS:
            found = directory.find(flow, 0.0)
            assert (found.registration if found else None) == naive.rows.get(flow)

    @given(st.permutations([row("upstream-1"), row("upstream-2", 1), row("upstream-3", 2)]))
    def test_every_order_of_rivals_ends_with_the_same_owner(self, rows):
        directory = Directory()
        for each in rows:
            directory.register(each, 0.0)
        assert directory.find(FLOWS[0], 0.0).registration.owner == "upstream-3"


class TestExpiry:
    def test_an_entry_that_is_not_renewed_goes(self):
        directory = Directory()
        directory.register(row("upstream-1"), 0.0)
        assert directory.find(FLOWS[0], ENTRY_S + 1) is None
        assert directory.expire(ENTRY_S + 1, 10) == 1
        assert len(directory) == 0

    def test_a_tentative_entry_goes_sooner(self):
        directory = Directory()
        directory.expect(FLOWS[0], "upstream-1", 0, False, 0.0)
        assert directory.find(FLOWS[0], TENTATIVE_S / 2).tentative
        assert directory.find(FLOWS[0], TENTATIVE_S + 0.1) is None


class TestBound:
    def test_an_idle_entry_makes_room(self):
        directory = Directory(maximum=1)
        directory.register(row("upstream-1"), 0.0)
        other = row("upstream-1")._replace(flow=FLOWS[1])
        later = RENEWAL_S + 1
        assert directory.register(other, later) is Outcome.KEPT
        assert directory.find(FLOWS[0], later) is None

    def test_an_active_entry_does_not(self):
        directory = Directory(maximum=1)
        directory.register(row("upstream-1"), 0.0)
        other = row("upstream-1")._replace(flow=FLOWS[1])
        assert directory.register(other, 1.0) is Outcome.REFUSED
        assert directory.find(FLOWS[0], 1.0) is not None
