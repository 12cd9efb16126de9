"""Tests of homes that are kept when the view changes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from heatheryoke.core.routed_topology import RoutedTopology
from heatheryoke.core.routes import RouteTable
from heatheryoke.inventory.model import Address, Document, Host, HostState, Role

DOMAINS = ("north", "south", "west")
STATES = (HostState.ACTIVE, HostState.DRAINING, HostState.LEAVING)
HOSTS = st.dictionaries(
    st.integers(1, 30),
    st.tuples(st.sampled_from(DOMAINS), st.sampled_from(STATES)),
    min_size=1,
    max_size=30,
)
SLOTS = range(0, 4_096, 97)


def document_of(hosts):
    rows = tuple(
        Host(f"10.1.0.{number}", Role.AGENT, domain, Address(f"10.1.0.{number}", 1), state)
        for number, (domain, state) in sorted(hosts.items())
    )
    return Document(1, (), rows, (), ())


def homes_of(topology):
    flows = [slot.to_bytes(13, "big") for slot in SLOTS]
    return [topology.homes(flow) for flow in flows]


class TestKeptHomes:
    """Load pattern: a release replaces upstreams, so that the view changes all the time."""

    @settings(max_examples=150, deadline=None)
    @given(st.lists(HOSTS, min_size=2, max_size=5))
    def test_kept_homes_are_those_of_a_new_ranking(self, views):
        """Guards against two processes that disagree on homes because one of them kept them."""
        table = RouteTable(1, ())
        topology = None
        for hosts in views:
            document = document_of(hosts)
            topology = RoutedTopology(document, table, topology)
            assert homes_of(topology) == homes_of(RoutedTopology(document, table))

    def test_one_host_that_joins_changes_few_slots(self):
        table = RouteTable(1, ())
        hosts = {number: (DOMAINS[number % 3], HostState.ACTIVE) for number in range(1, 51)}
        before = RoutedTopology(document_of(hosts), table)
        homes_of(before)
        hosts[51] = ("north", HostState.ACTIVE)
        after = RoutedTopology(document_of(hosts), table, before)
        assert len(after.homes_by_slot) > 0.85 * len(before.homes_by_slot)
