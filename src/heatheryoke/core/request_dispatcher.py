"""Dispatches callers' requests to this host's upstreams and returns the answers."""

from abc import abstractmethod
from collections.abc import Callable

import xxhash

from heatheryoke.core.admission import Admission, Decision
from heatheryoke.core.claims import CLAIM_LIFETIME_S
from heatheryoke.core.effects import (
    AnswerCaller,
    Count,
    Deliver,
    Effect,
    LogChange,
    Measure,
)
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.notification_numbers import next_notification_number
from heatheryoke.core.ownership import OwnedFlow, OwnedFlows
from heatheryoke.core.requests import (
    ActiveRequest,
    CodecFactory,
    OpaqueCodec,
    RefusalReason,
    Request,
    RequestCodec,
    RequestKind,
    RequestPhase,
)
from heatheryoke.core.write_claims import ClaimOutcomes, WriteClaims
from heatheryoke.inventory.model import Protocol, Service

__all__ = ["RequestDispatcher", "RequestId", "with_jitter"]

DEFAULT_TIMEOUT_S = 30.0
CALLER_RESEND_S = 1.5
START_WINDOW_S = 30.0
RequestId = tuple[FlowKey, bytes]
Handler = Callable[[OwnedFlow, Request, bytes, float], list[Effect]]


class RequestDispatcher(ClaimOutcomes):
    """The requests of the flows that this host owns.

    A non-idempotent request with an id is claimed before it is admitted, so that a "not run"
    refusal is valid for the request id and not only for this attempt.
    """

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        history: TopologyHistory,
        flows: OwnedFlows,
        codecs: dict[Protocol, CodecFactory],
        started: float,
        unix_offset_s: float = 0.0,
        claim_lifetime_s: float = CLAIM_LIFETIME_S,
    ):
        self.host_name = host_name
        self.history = history
        self.flows = flows
        self.services: dict[str, Service] = {}
        self.codec_factories = {Protocol.OPAQUE: lambda service: OpaqueCodec(), **codecs}
        self.codecs: dict[tuple[Protocol, str], RequestCodec] = {}
        self.unix_offset_s = unix_offset_s
        self.admissions: dict[str, Admission] = {}
        self.pending: dict[RequestId, ActiveRequest] = {}
        self.feeds: dict[RequestId, ActiveRequest] = {}
        self.claims = WriteClaims(host_name, incarnation, history, self, started, claim_lifetime_s)
        self.is_closing = False
        self.probes: dict[FlowKey, int] = {}
        self.handlers: dict[RequestKind, Handler] = {
            RequestKind.READ: self.on_read,
            RequestKind.FEED: self.on_read,
            RequestKind.WRITE: self.on_write,
            RequestKind.CANCEL: self.on_cancel,
            RequestKind.CONTROL: self.on_control,
        }

    def service_of(self, name: str) -> Service:
        """Return a service from the current topology, or its last known version."""
        current = self.history.current.services.get(name)
        if current is not None:
            self.services[name] = current
        return self.services[name]

    def codec_of(self, service: str) -> RequestCodec:
        """Return the codec of a service's protocol."""
        definition = self.service_of(service)
        key = (definition.protocol, definition.request_id)
        codec = self.codecs.get(key)
        if codec is None:
            codec = self.codecs[key] = self.codec_factories[definition.protocol](definition)
        return codec

    def admission(self, service: str, now: float) -> Admission:
        """Return the admission control of this host's upstream for a service."""
        admission = self.admissions.get(service)
        if admission is None:
            endpoint = self.history.current.endpoints.get((service, self.host_name))
            slots = endpoint.slots if endpoint else 1
            definition = self.service_of(service)
            admission = Admission(slots, definition.floor, definition.warm_answers, now)
            self.admissions[service] = admission
        return admission

    def has_pending(self, flow: FlowKey) -> bool:
        """Return whether a flow has a pending request."""
        return any(key[0] == flow for key in self.pending)

    def is_idle(self) -> bool:
        """Return whether no request is pending."""
        return not self.pending

    def on_datagram(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Handle a caller's datagram of a flow that this host owns.

        New requests are dropped while this process stops; the caller's transport retransmits them.
        """
        request = self.codec_of(owned.service).read_request(payload)
        if request is None:
            return [Count("malformed_requests")]
        if self.is_closing and request.kind is not RequestKind.CONTROL:
            return [Count("dropped_stopping")]
        return self.handlers[request.kind](owned, request, payload, now)

    def on_control(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Deliver a datagram that is not a request."""
        return [Deliver(owned.flow, payload)]

    def on_cancel(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """End a feed and handle the cancelling request as a read."""
        self.end_feed(owned, request.token)
        return self.on_read(owned, request, payload, now)

    def on_read(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Admit an idempotent request unless it is a duplicate."""
        duplicate_effects = self.handle_duplicate(owned, request)
        if duplicate_effects is not None:
            return duplicate_effects
        active = self.add_pending(owned, request, payload, now)
        if request.is_continuation:
            active.phase = RequestPhase.RUNNING
            active.started = now
            return self.start(active, now)
        return self.admit(active, now)

    def on_write(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Claim a non-idempotent request, or admit it at once if it has no id."""
        duplicate_effects = self.handle_duplicate(owned, request)
        if duplicate_effects is not None:
            return duplicate_effects
        active = self.add_pending(owned, request, payload, now)
        if not request.request_id:
            return [Count("writes_without_id"), *self.admit(active, now)]
        return self.claims.claim_or_join(active, now)

    def handle_duplicate(self, owned: OwnedFlow, request: Request) -> list[Effect] | None:
        """Return the effects for a duplicate request, or None if the request is new."""
        if (owned.flow, request.token) in self.pending:
            return [Count("duplicates")]
        answer = owned.answer_to(request.message_id)
        if answer is None:
            return None
        return [Count("duplicates"), AnswerCaller(owned.flow, answer)]

    def add_pending(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> ActiveRequest:
        """Record a new request as pending."""
        timeout = DEFAULT_TIMEOUT_S if request.timeout_s is None else request.timeout_s
        weights = self.service_of(owned.service).class_weights
        active = ActiveRequest(
            owned.flow,
            owned.service,
            request,
            payload,
            now,
            now + min(timeout, DEFAULT_TIMEOUT_S),
            weights.get(request.request_class, 1.0),
        )
        self.pending[owned.flow, request.token] = active
        return active

    def admit(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Submit a request to its upstream's admission control."""
        admission = self.admission(active.service, now)
        queued = self.measure("queue_at_arrival", active, len(admission.queue))
        return [queued, *self.apply_decision(admission.offer(active, now), now)]

    def apply_decision(self, decision: Decision, now: float) -> list[Effect]:
        """Start and refuse requests as admission control decided."""
        effects: list[Effect] = []
        for active in decision.start:
            effects += self.start(active, now)
        for active in decision.refuse:
            is_late = now + self.admission(active.service, now).service_s > active.deadline
            reason = RefusalReason.EXPIRED if is_late else RefusalReason.OVERLOADED
            effects += self.refuse(active, reason, now)
        return effects

    def start(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Deliver a request to the upstream.

        A claimed request older than `START_WINDOW_S` is refused, because its claim is about to
        lapse.
        """
        if active.is_renewal:
            return self.start_renewal(active, now)
        if active.attempt and now - active.arrived > START_WINDOW_S:
            self.admission(active.service, now).abandon(active)
            return self.refuse(active, RefusalReason.EXPIRED, now)
        codec = self.codec_of(active.service)
        payload = codec.add_deadline(active.payload, active.deadline + self.unix_offset_s)
        return [
            self.measure("wait_seconds", active, now - active.arrived),
            Deliver(active.flow, payload),
        ]

    def refuse(self, active: ActiveRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Answer a request with a refusal and a retry time.

        The caller of a write older than `CALLER_RESEND_S` may have sent it again, and another host
        may run it from now on. Such a write is refused as "outcome unknown" instead of "not run",
        although its claim is released.
        """
        never_started = reason.not_run
        if active.request.request_id and now - active.arrived > CALLER_RESEND_S:
            reason = RefusalReason.OUTCOME_UNKNOWN
        self.pending.pop((active.flow, active.request.token), None)
        retry_s = self.admission(active.service, now).retry_s(now)
        answer = self.codec_of(active.service).refusal(
            active.payload, reason, with_jitter(retry_s, active)
        )
        effects: list[Effect] = [Count(f"refused_{reason.name.lower()}")]
        if active.attempt and never_started:
            effects += self.claims.refuse_run(active, reason, now)
        if answer:
            self.remember(active, answer)
            effects.append(AnswerCaller(active.flow, answer))
        return effects

    def remember(self, active: ActiveRequest, answer: bytes) -> None:
        """Store a final answer, to repeat it if the request's datagram arrives again."""
        owned = self.flows.flows.get(active.flow)
        if owned is not None:
            owned.store_answer(active.request.message_id, answer)

    def on_answer(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Forward an upstream's datagram to the caller, or drop it if it matches no request."""
        answer = self.codec_of(owned.service).read_answer(payload)
        if answer is None:
            return [Count("malformed_answers")]
        if not answer.final:
            if self.probes.get(owned.flow) == answer.message_id:
                del self.probes[owned.flow]
                return [Count("probes_answered")]
            return [AnswerCaller(owned.flow, payload)]
        key = (owned.flow, answer.token)
        if key in self.feeds and key not in self.pending:
            self.admission(owned.service, now).renewals.pop(key, None)
            if answer.feed:
                payload = self.number_notification(self.feeds[key], payload, now)
            else:
                self.end_feed(owned, answer.token)
            return [Count("notifications"), AnswerCaller(owned.flow, payload)]
        active = self.pending.get(key)
        if active is None or active.phase not in (RequestPhase.RUNNING, RequestPhase.ABANDONED):
            return [Count("answers_unmatched")]
        return self.complete_request(owned, active, payload, answer.refused, answer.feed, now)

    def complete_request(
        self,
        owned: OwnedFlow,
        active: ActiveRequest,
        payload: bytes,
        refused: bool,
        feed: bool,
        now: float,
    ) -> list[Effect]:
        """Complete a request in progress with the upstream's answer.

        After a renewal, no request is started until the next tick: a notification may have been
        mistaken for the renewal's answer, and further notifications may make other queued
        renewals unnecessary.
        """
        was_renewal = active.is_renewal
        admission = self.admission(active.service, now)
        was_cold = admission.cold_starts
        admission.finish(active, now, refused)
        effects = [self.measure("service_seconds", active, now - active.started)]
        if admission.cold_starts > was_cold:
            reason = admission.cold_reason.value
            effects.append(LogChange(f"{owned.service} on {self.host_name}", "cold", reason))
            self.renew_feeds(owned.service, now)
        del self.pending[active.flow, active.request.token]
        if active.phase is RequestPhase.RUNNING:
            if feed:
                payload = self.number_notification(active, payload, now)
            owned.store_answer(active.request.message_id, payload)
            effects.append(AnswerCaller(owned.flow, payload))
            if active.request.kind is RequestKind.FEED:
                self.update_feed(owned, active, feed)
        if active.request.request_id:
            effects += self.claims.publish(active.request.request_id, payload)
        return (
            effects if was_renewal else effects + self.apply_decision(admission.advance(now), now)
        )

    def measure(self, name: str, active: ActiveRequest, value: float) -> Effect:
        """Return a sample for the histogram of the request's team and class."""
        team = self.service_of(active.service).team
        return Measure(name, team, active.request.request_class, value)

    def open_feed(self, owned: OwnedFlow, active: ActiveRequest) -> None:
        """Record a feed with its request, which renews the feed after a restart."""
        active.phase = RequestPhase.FEEDING
        active.is_renewal = False
        self.feeds[active.flow, active.request.token] = active
        owned.feeds[active.request.token] = active.payload
        self.flows.update_feeds(owned)

    def number_notification(self, feed: ActiveRequest, payload: bytes, now: float) -> bytes:
        """Return a feed's notification with the next number of its order."""
        number = next_notification_number(feed, now + self.unix_offset_s)
        return self.codec_of(feed.service).number_notification(payload, number)

    def update_feed(self, owned: OwnedFlow, active: ActiveRequest, feed: bool) -> None:
        """Open a feed if the upstream accepted it, else end it."""
        if feed:
            self.open_feed(owned, active)
        else:
            self.end_feed(owned, active.request.token)

    def end_feed(self, owned: OwnedFlow, token: bytes) -> None:
        """Remove a feed."""
        self.feeds.pop((owned.flow, token), None)
        owned.feeds.pop(token, None)
        self.flows.update_feeds(owned)

    def on_granted(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Admit a write whose claim was granted to this host."""
        return self.admit(active, now)

    def on_run_answered(self, active: ActiveRequest, answer: bytes) -> list[Effect]:
        """Answer a write with the answer of an earlier run of the same request id."""
        self.pending.pop((active.flow, active.request.token), None)
        payload = self.codec_of(active.service).copy_answer(answer, active.payload)
        self.remember(active, payload)
        return [Count("answers_repeated"), AnswerCaller(active.flow, payload)]

    def answer_unknown(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Answer a caller whose started request may or may not have run."""
        retry_s = with_jitter(self.admission(active.service, now).retry_s(now), active)
        codec = self.codec_of(active.service)
        answer = codec.refusal(active.payload, RefusalReason.OUTCOME_UNKNOWN, retry_s)
        self.remember(active, answer)
        effects: list[Effect] = [Count("refused_outcome_unknown")]
        return [*effects, AnswerCaller(active.flow, answer)] if answer else effects

    @abstractmethod
    def renew_feeds(self, service: str, now: float) -> None:
        """Queue the renewal of every feed of an upstream that may have lost them."""

    @abstractmethod
    def start_renewal(self, renewal: ActiveRequest, now: float) -> list[Effect]:
        """Deliver a feed's renewal to the upstream."""


def with_jitter(retry_s: float, active: ActiveRequest) -> float:
    """Return a time from `retry_s` to twice that, so that callers do not all retry together."""
    fraction = xxhash.xxh32_intdigest(active.flow + active.request.token) / 2**32
    return retry_s * (1 + fraction)
