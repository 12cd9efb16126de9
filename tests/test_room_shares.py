"""Tests of the shares of an upstream's room, by kind of request."""

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatheryoke.core.opening_queue import OpeningQueue, Waiting
from heatheryoke.core.room_shares import RoomShares
from tests.test_streams import ACK, NOW, SYN, UpstreamPacket, flow_of, forward, make_agent, packet

WORK_S = 0.02
TARGET_S = 0.3
SLOTS = 1


class Kind(NamedTuple):
    """A kind of request: its priority, and its arrivals a second before and during the burst."""

    name: str
    priority: int
    usual: float
    burst: float


def replay(kinds, shares, burst=(1.0, 4.0), until=5.0):
    """Serve arrivals of several kinds at one slot; return the starts by kind, and late ones."""
    arrivals = []
    for kind in kinds:
        at = 0.0
        while at < until:
            arrivals.append((at, kind))
            at += 1 / (kind.burst if burst[0] <= at < burst[1] else kind.usual)
    arrivals.sort()
    queue, now, starts = OpeningQueue(shares), 0.0, []
    refused = dict.fromkeys((kind.name for kind in kinds), 0)
    number = 0
    while arrivals or queue:
        now = max(now, arrivals[0][0]) if not queue else now
        while arrivals and arrivals[0][0] <= now:
            at, kind = arrivals.pop(0)
            number += 1
            entry = Waiting(kind.name, at, kind.priority, TARGET_S, kind.name)
            replaced = queue.add(number.to_bytes(4, "big"), entry, at, WORK_S, SLOTS)
            if replaced is not None:
                refused[replaced.kind] += 1
        for entry in queue.expired(now):
            refused[entry.kind] += 1
        entry = queue.take(now, WORK_S)
        if entry is not None:
            if shares is not None:
                shares.note_request(entry.kind, 5 * WORK_S, now)
            starts.append((now, entry))
            now += WORK_S
    return starts, refused


class TestBurst:
    """Load pattern: orders, the more urgent kind, arrive at three times their usual rate."""

    KINDS = (Kind("order", 1, 15.0, 55.0), Kind("feed", 2, 15.0, 15.0))

    def in_time(self, starts, kind):
        rows = [
            (now, entry) for now, entry in starts if entry.kind == kind and 1.0 <= entry.began < 4.0
        ]
        return sum(now + WORK_S <= entry.began + TARGET_S for now, entry in rows)

    def test_a_burst_does_not_starve_the_other_kind(self):
        """Guards against a kind that gets nothing while another, more urgent, takes all room."""
        shared, _ = replay(self.KINDS, RoomShares())
        by_priority, _ = replay(self.KINDS, None)
        feeds = 45
        assert self.in_time(shared, "feed") >= 0.95 * feeds
        assert self.in_time(by_priority, "feed") < 0.5 * feeds

    def test_the_burst_pays_for_itself(self):
        _, refused = replay(self.KINDS, RoomShares())
        assert refused["feed"] == 0
        assert refused["order"] > 0

    def test_no_room_is_left_unused(self):
        shared, _ = replay(self.KINDS, RoomShares())
        by_priority, _ = replay(self.KINDS, None)
        assert len(shared) >= len(by_priority) - 1


class TestShares:
    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.integers(0, 3), min_size=2, max_size=4),
        st.lists(st.floats(20.0, 200.0), min_size=4, max_size=4),
    )
    def test_a_kind_that_always_waits_gets_its_share_less_one_request(self, priorities, rates):
        """Every kind asks for more than the whole room, whatever the others ask for."""
        kinds = [
            Kind(f"k{number}", priority, 60.0 + rate, 60.0 + rate)
            for number, (priority, rate) in enumerate(zip(priorities, rates, strict=False))
        ]
        shares = RoomShares()
        waiting = {kind.name: kind.priority for kind in kinds}
        weights = {kind.name: 2.0**-kind.priority for kind in kinds}
        work = dict.fromkeys(waiting, 0.0)
        now = 0.0
        for _ in range(400):
            over = shares.over_share(waiting, now)
            ranked = sorted(kinds, key=lambda kind: (kind.name in over, kind.priority))
            chosen = ranked[0]
            shares.note_request(chosen.name, 5 * WORK_S, now)
            work[chosen.name] += WORK_S
            now += WORK_S
        total = sum(work.values())
        for kind in kinds:
            share = weights[kind.name] / sum(weights.values())
            assert work[kind.name] >= share * total - 2 * WORK_S - 0.02 * total

    def test_a_kind_alone_is_never_over_its_share(self):
        shares = RoomShares()
        for number in range(100):
            shares.note_request("feed", 0.1, number * 0.01)
        assert shares.over_share({"feed": 2}, 1.0) == set()

    def test_past_work_is_forgotten(self):
        shares = RoomShares()
        for kind, count in (("feed", 50), ("order", 1)):
            for _ in range(count):
                shares.note_request(kind, 0.1, 0.0)
        assert shares.over_share({"feed": 1, "order": 1}, 0.1) == {"feed"}
        for _ in range(5):
            shares.note_request("order", 0.1, 6.0)
        assert shares.over_share({"feed": 1, "order": 1}, 6.0) == {"order"}

    def test_memory_is_bounded_by_the_configuration(self):
        shares = RoomShares()
        for number in range(1_000):
            shares.note_request(f"r-{number}", 0.1, 0.0)
        shares.retain({"r-1", "r-2"})
        assert set(shares.kinds) == {"r-1", "r-2"}


class TestAgent:
    @pytest.mark.parametrize("shares", (RoomShares(), None))
    def test_requests_of_open_flows_count_for_their_kind(self, shares):
        """Guards against long flows that take their share twice: as requests and as new flows."""
        agent, flow = make_agent(), flow_of(1)
        agent.shares = shares
        agent.reduce(forward(flow, packet(flow, SYN), assigned=True))
        answer = packet(flow, SYN | ACK, 500, 2, from_upstream=True)
        agent.reduce(UpstreamPacket(NOW, flow, answer))
        for number in range(3):
            request = packet(flow, ACK, 2 + number, 501 + number, b"GET")
            agent.reduce(forward(flow, request, now=NOW + number))
            done = packet(flow, ACK, 501 + number, 5, b"done", from_upstream=True)
            agent.reduce(UpstreamPacket(NOW + number + 0.03, flow, done))
        if shares is not None:
            assert shares.kinds["feed"].times.samples == 3
            assert shares.kinds["feed"].work_at(NOW + 2.0) > 0.03
