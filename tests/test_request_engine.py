"""Tests of duplicates, claims, refusals and resets of the requests of owned flows."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.effects import AnswerCaller, Deliver
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.notification_numbers import NUMBER_MODULUS, next_notification_number
from heatheryoke.core.ownership import OwnedFlow, OwnedFlows
from heatheryoke.core.request_engine import RequestEngine
from heatheryoke.core.requests import ActiveRequest, RefusalReason, RequestKind
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.model import Address, Protocol
from heatheryoke.measure.plain_codec import (
    ANSWER,
    REFUSAL,
    REQUEST,
    UNKNOWN,
    PlainCodec,
    PlainMessage,
)
from heatheryoke.standins.deployments import DEPLOYMENTS, make_document


def addresses():
    numbers = iter(range(1, 1_000))
    return lambda: Address(f"10.1.0.{next(numbers)}", 5_683)


class Bench:
    """A request engine at upstream-1 with one flow and no other witness."""

    def __init__(self, deployment="sangam"):
        document = make_document(DEPLOYMENTS[deployment], addresses())
        endpoints = tuple(
            endpoint for endpoint in document.endpoints if endpoint.host == "upstream-1"
        )
        self.topology = Topology(document._replace(endpoints=endpoints))
        self.history = TopologyHistory(300.0)
        self.history.is_first_start = True
        self.history.set_current(self.topology, 0.0)
        self.flows = OwnedFlows()
        self.service = DEPLOYMENTS[deployment].main_service
        self.engine = RequestEngine(
            "upstream-1", 1, self.history, self.flows, {Protocol.COAP: PlainCodec}, 0.0
        )
        self.engine.claims.witness.finish_recovery(0.0)
        self.owned = OwnedFlow(b"flow-a", self.service, 0, 0, 0.0)
        self.flows.add(self.owned)
        self.number = 0

    def message(self, kind=RequestKind.WRITE, request_id=b"", path="holds"):
        self.number += 1
        token = b"t%d" % self.number
        return PlainMessage(REQUEST, kind, self.number, path, token, request_id, b"x")

    def send(self, message, now=0.0):
        return self.engine.on_datagram(self.owned, message.encode(), now)

    def answer(self, message, now=0.1):
        return self.engine.on_answer(
            self.owned, message._replace(phase=ANSWER, text=b"done").encode(), now
        )


def delivered(effects):
    return [
        PlainMessage.decode(effect.payload) for effect in effects if isinstance(effect, Deliver)
    ]


def answered(effects):
    return [
        PlainMessage.decode(effect.payload)
        for effect in effects
        if isinstance(effect, AnswerCaller)
    ]


@pytest.fixture
def bench():
    return Bench()


class TestDuplicates:
    def test_a_request_in_progress_is_started_once(self, bench):
        message = bench.message(request_id=b"id")
        assert len(delivered(bench.send(message))) == 1
        assert delivered(bench.send(message)) == []

    def test_a_request_in_progress_is_known_however_many_came_after(self, bench):
        first = bench.message(RequestKind.READ)
        bench.send(first)
        for _ in range(50):
            bench.send(bench.message(RequestKind.READ))
        bench.send(first, 0.05)
        bench.answer(first)
        assert len(bench.engine.admissions[bench.service].running) <= 1
        assert (bench.owned.flow, first.token) not in bench.engine.pending

    def test_an_answered_request_gets_the_same_answer_again(self, bench):
        message = bench.message(request_id=b"id")
        bench.send(message)
        first = answered(bench.answer(message))
        again = bench.send(message, 1.0)
        assert answered(again) == first
        assert delivered(again) == []

    def test_the_same_id_under_another_token_gets_the_first_answer(self, bench):
        message = bench.message(request_id=b"id")
        bench.send(message)
        bench.answer(message)
        other = bench.message(request_id=b"id")
        effects = bench.send(other, 1.0)
        assert delivered(effects) == []
        assert [(answer.token, answer.text) for answer in answered(effects)] == [
            (other.token, b"done")
        ]

    def test_the_same_id_waits_while_the_first_runs(self, bench):
        message = bench.message(request_id=b"id")
        bench.send(message)
        other = bench.message(request_id=b"id")
        assert answered(bench.send(other)) == []
        tokens = [answer.token for answer in answered(bench.answer(message))]
        assert tokens == [message.token, other.token]


class TestRefusals:
    def fill(self, bench):
        for _ in range(60):
            bench.send(bench.message(RequestKind.READ, path="programmes"))

    def test_an_overloaded_upstream_refuses_at_once_with_a_time(self, bench):
        self.fill(bench)
        message = bench.message(request_id=b"")
        message = message._replace(request_class="programmes")
        refusals = [answer for answer in answered(bench.send(message)) if answer.phase == REFUSAL]
        assert [answer.token for answer in refusals] == [message.token]
        assert refusals[0].number >= 1.0

    def test_a_heavier_request_takes_the_place_of_a_lighter_one(self, bench):
        self.fill(bench)
        hold = bench.message(request_id=b"id")
        refused = [answer.token for answer in answered(bench.send(hold)) if answer.phase == REFUSAL]
        assert hold.token not in refused
        assert len(refused) == 1

    def test_a_refused_write_may_be_claimed_again(self, bench):
        bench.send(bench.message(RequestKind.READ))
        hold = bench.message(request_id=b"id")._replace(number=0.01)
        refusals = answered(bench.send(hold)) + answered(bench.engine.advance(5.0))
        assert [answer.phase for answer in refusals if answer.token == hold.token] == [REFUSAL]
        assert bench.engine.claims.witness.claims == {}

    def test_a_write_that_has_waited_long_is_not_said_to_be_not_run(self, bench):
        bench.send(bench.message(RequestKind.READ))
        hold = bench.message(request_id=b"id")
        bench.send(hold)
        effects = bench.engine.reset({bench.owned.flow}, RefusalReason.WITHDRAWN, 5.0)
        phases = [answer.phase for answer in answered(effects) if answer.token == hold.token]
        assert phases == [UNKNOWN]
        assert bench.engine.claims.witness.claims == {}


class TestAnswers:
    def test_an_answer_without_a_request_is_dropped(self, bench):
        assert answered(bench.answer(bench.message())) == []

    def test_an_answer_goes_to_the_flow_that_asked(self, bench):
        message = bench.message(request_id=b"id")
        bench.send(message)
        other_flow = OwnedFlow(b"flow-b", bench.service, 0, 0, 0.0)
        bench.flows.add(other_flow)
        payload = message._replace(phase=ANSWER).encode()
        assert answered(bench.engine.on_answer(other_flow, payload, 0.1)) == []
        assert len(answered(bench.answer(message))) == 1

    def test_a_request_that_ran_out_of_time_is_unknown_and_never_not_run(self, bench):
        message = bench.message(request_id=b"id")._replace(number=2.0)
        bench.send(message)
        (answer,) = answered(bench.engine.advance(2.5))
        assert answer.token == message.token
        assert answer.phase != REFUSAL


class TestNotificationNumbers:
    def notify(self, bench, message, now):
        payload = message._replace(phase=ANSWER, feed=True, number=1.0).encode()
        (answer,) = answered(bench.engine.on_answer(bench.owned, payload, now))
        return int(answer.number)

    def test_grow_although_the_upstream_numbers_a_renewed_feed_anew(self):
        numbers = []
        message = Bench().message(RequestKind.FEED, path="feeds")
        for restarted_at in (0.0, 50.0):
            bench = Bench()
            bench.engine.unix_offset_s = 1_764_000_000.0
            bench.send(message, restarted_at)
            times = [restarted_at + 0.1 * step for step in range(1, 9)]
            numbers += [self.notify(bench, message, now) for now in times]
        assert numbers == sorted(set(numbers))

    @given(st.lists(st.floats(0.0, 300_000.0), min_size=2, max_size=30))
    def test_grow_even_if_the_clock_steps_back(self, times):
        feed = ActiveRequest(b"flow", "live", None, b"", 0.0, 1.0, 1.0)
        numbers = [next_notification_number(feed, time_s) for time_s in times]
        pairs = itertools.pairwise(numbers)
        assert all(
            0 < (newer - older) % NUMBER_MODULUS < NUMBER_MODULUS // 2 for older, newer in pairs
        )


class TestFlowsThatEnd:
    def open_feed(self, bench):
        message = bench.message(RequestKind.FEED, path="feeds")
        bench.send(message)
        bench.engine.on_answer(bench.owned, message._replace(phase=ANSWER, feed=True).encode(), 0.1)
        return message

    def test_a_pending_renewal_frees_its_slot_when_its_feeds_end(self, bench):
        self.open_feed(bench)
        bench.engine.on_upstream_gone(bench.owned, 1.0)
        bench.engine.advance(2.0)
        admission = bench.engine.admissions[bench.service]
        assert len(admission.running) == 1
        effects = bench.engine.end_feeds(bench.owned.flow, 2.1)
        assert len(answered(effects)) == 1
        assert not admission.running and not bench.engine.pending

    def test_a_request_waiting_for_a_cancelled_claim_is_claimed_itself(self, bench):
        bench.engine.claims.witness.recovering_until = 10.0
        bench.send(bench.message(request_id=b"id"))
        other_flow = OwnedFlow(b"flow-b", bench.service, 0, 0, 0.0)
        bench.flows.add(other_flow)
        waiting = bench.message(request_id=b"id")
        bench.engine.on_datagram(other_flow, waiting.encode(), 0.1)
        bench.engine.reset_silently({bench.owned.flow}, 0.2)
        assert bench.engine.claims.claiming[b"id"].flow == other_flow.flow
        bench.engine.claims.witness.finish_recovery(0.3)
        effects = bench.engine.advance(0.6)
        assert [message.token for message in delivered(effects)] == [waiting.token]
