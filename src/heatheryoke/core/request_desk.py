"""Takes callers' requests to this host's upstreams and their answers back."""

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

__all__ = ["RequestDesk", "spread"]

DEFAULT_TIMEOUT_S = 30.0
REPEAT_AGE_S = 1.5
START_WINDOW_S = 30.0
RequestId = tuple[FlowKey, bytes]
Handler = Callable[[OwnedFlow, Request, bytes, float], list[Effect]]


class RequestDesk(ClaimOutcomes):
    """The requests of the flows that this host owns.

    A non-idempotent request with an id is claimed first, then admitted, so that a refusal which
    says "not run" holds for the id and not for this attempt alone.
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
        self.factories = {Protocol.OPAQUE: lambda service: OpaqueCodec(), **codecs}
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
        """Return a service as it is, or as it last was."""
        current = self.history.current.services.get(name)
        if current is not None:
            self.services[name] = current
        return self.services[name]

    def codec_of(self, service: str) -> RequestCodec:
        """Return the codec of a service's protocol."""
        described = self.service_of(service)
        key = (described.protocol, described.request_id)
        found = self.codecs.get(key)
        if found is None:
            found = self.codecs[key] = self.factories[described.protocol](described)
        return found

    def admission(self, service: str, now: float) -> Admission:
        """Return the limits of this host's upstream for a service."""
        found = self.admissions.get(service)
        if found is None:
            endpoint = self.history.current.endpoints.get((service, self.host_name))
            slots = endpoint.slots if endpoint else 1
            described = self.service_of(service)
            found = Admission(slots, described.floor, described.warm_answers, now)
            self.admissions[service] = found
        return found

    def has_pending(self, flow: FlowKey) -> bool:
        """Tell whether a flow has an open request."""
        return any(key[0] == flow for key in self.pending)

    def is_idle(self) -> bool:
        """Tell whether no request is in progress."""
        return not self.pending

    def on_datagram(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Take a caller's datagram of a flow that this host owns.

        While this process stops it takes no new request; the caller's transport sends it again.
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
        """Pass a datagram that asks for nothing."""
        return [Deliver(owned.flow, payload)]

    def on_cancel(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """End a feed; the request that ends it is answered like any other."""
        self.end_feed(owned, request.token)
        return self.on_read(owned, request, payload, now)

    def on_read(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Admit an idempotent request, unless it has arrived before."""
        repeated = self.repeated(owned, request)
        if repeated is not None:
            return repeated
        active = self.activate(owned, request, payload, now)
        if request.continues:
            active.phase = RequestPhase.RUNNING
            active.started = now
            return self.start(active, now)
        return self.admit(active, now)

    def on_write(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> list[Effect]:
        """Claim a non-idempotent request before it is admitted."""
        repeated = self.repeated(owned, request)
        if repeated is not None:
            return repeated
        active = self.activate(owned, request, payload, now)
        if not request.request_id:
            return [Count("writes_without_id"), *self.admit(active, now)]
        return self.claims.take(active, now)

    def repeated(self, owned: OwnedFlow, request: Request) -> list[Effect] | None:
        """Answer a datagram that arrived before; None if it is new."""
        if (owned.flow, request.token) in self.pending:
            return [Count("duplicates")]
        answer = owned.remembered(request.message_id)
        if answer is None:
            return None
        return [Count("duplicates"), AnswerCaller(owned.flow, answer)]

    def activate(
        self, owned: OwnedFlow, request: Request, payload: bytes, now: float
    ) -> ActiveRequest:
        """Open the record of a new request."""
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
        """Offer a request to its upstream."""
        admission = self.admission(active.service, now)
        queued = self.measure("queue_at_arrival", active, len(admission.queue))
        return [queued, *self.carry_out(admission.offer(active, now), now)]

    def carry_out(self, decision: Decision, now: float) -> list[Effect]:
        """Start and refuse what admission decided."""
        effects: list[Effect] = []
        for active in decision.start:
            effects += self.start(active, now)
        for active in decision.refuse:
            late = now + self.admission(active.service, now).service_s > active.deadline
            reason = RefusalReason.EXPIRED if late else RefusalReason.OVERLOADED
            effects += self.refuse(active, reason, now)
        return effects

    def start(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Hand a request to the upstream, unless its claim is about to lapse."""
        if active.renews:
            return self.start_renewal(active, now)
        if active.attempt and now - active.arrived > START_WINDOW_S:
            self.admission(active.service, now).abandon(active)
            return self.refuse(active, RefusalReason.EXPIRED, now)
        codec = self.codec_of(active.service)
        payload = codec.stamp(active.payload, active.deadline + self.unix_offset_s)
        return [
            self.measure("wait_seconds", active, now - active.arrived),
            Deliver(active.flow, payload),
        ]

    def refuse(self, active: ActiveRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Give a request its final answer at once, with when to come back.

        A write that has waited long may have been sent again by its caller, and may be run by
        another host from now on. It is not said to be not run, though its claim is given back.
        """
        never_started = reason.not_run
        if active.request.request_id and now - active.arrived > REPEAT_AGE_S:
            reason = RefusalReason.OUTCOME_UNKNOWN
        self.pending.pop((active.flow, active.request.token), None)
        retry_s = self.admission(active.service, now).retry_s(now)
        answer = self.codec_of(active.service).refusal(
            active.payload, reason, spread(retry_s, active)
        )
        effects: list[Effect] = [Count(f"refused_{reason.name.lower()}")]
        if active.attempt and never_started:
            effects += self.claims.refuse_run(active, reason, now)
        if answer:
            self.remember(active, answer)
            effects.append(AnswerCaller(active.flow, answer))
        return effects

    def remember(self, active: ActiveRequest, answer: bytes) -> None:
        """Keep a final answer, should the request's datagram arrive again."""
        owned = self.flows.flows.get(active.flow)
        if owned is not None:
            owned.remember(active.request.message_id, answer)

    def on_answer(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Pass an upstream's datagram to the request it answers, or drop it."""
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
            if not answer.feed:
                self.end_feed(owned, answer.token)
            return [Count("notifications"), AnswerCaller(owned.flow, payload)]
        active = self.pending.get(key)
        if active is None or active.phase not in (RequestPhase.RUNNING, RequestPhase.ABANDONED):
            return [Count("answers_unmatched")]
        return self.settle(owned, active, payload, answer.refused, answer.feed, now)

    def settle(
        self,
        owned: OwnedFlow,
        active: ActiveRequest,
        payload: bytes,
        refused: bool,
        feed: bool,
        now: float,
    ) -> list[Effect]:
        """Take the upstream's answer to a request in progress.

        After a renewal nothing is started until the next tick: a notification may have passed for
        its answer, and others may show meanwhile that further renewals are not needed.
        """
        was_renewal = active.renews
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
            owned.remember(active.request.message_id, payload)
            effects.append(AnswerCaller(owned.flow, payload))
            if active.request.kind is RequestKind.FEED:
                self.settle_feed(owned, active, feed)
        if active.request.request_id:
            effects += self.claims.publish(active.request.request_id, payload)
        return effects if was_renewal else effects + self.carry_out(admission.advance(now), now)

    def measure(self, name: str, active: ActiveRequest, value: float) -> Effect:
        """Return a value for the histogram of the request's tenant and class."""
        tenant = self.service_of(active.service).tenant
        return Measure(name, tenant, active.request.request_class, value)

    def open_feed(self, owned: OwnedFlow, active: ActiveRequest) -> None:
        """Keep a feed's request, so that the feed can be renewed after a restart."""
        active.phase = RequestPhase.FEEDING
        active.renews = False
        self.feeds[active.flow, active.request.token] = active
        owned.feeds[active.request.token] = active.payload
        self.flows.note_feeds(owned)

    def settle_feed(self, owned: OwnedFlow, active: ActiveRequest, feed: bool) -> None:
        """Open a feed if the upstream has agreed to it, else end the one that was renewed."""
        if feed:
            self.open_feed(owned, active)
        else:
            self.end_feed(owned, active.request.token)

    def end_feed(self, owned: OwnedFlow, token: bytes) -> None:
        """Forget a feed."""
        self.feeds.pop((owned.flow, token), None)
        owned.feeds.pop(token, None)
        self.flows.note_feeds(owned)

    def on_granted(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Admit a write that this host may run."""
        return self.admit(active, now)

    def on_repeated(self, active: ActiveRequest, answer: bytes) -> list[Effect]:
        """Give a write the answer of the run that stands for it."""
        self.pending.pop((active.flow, active.request.token), None)
        payload = self.codec_of(active.service).readdress(answer, active.payload)
        self.remember(active, payload)
        return [Count("answers_repeated"), AnswerCaller(active.flow, payload)]

    def answer_unknown(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Tell a caller that its request was started and may or may not have run."""
        retry_s = spread(self.admission(active.service, now).retry_s(now), active)
        codec = self.codec_of(active.service)
        answer = codec.refusal(active.payload, RefusalReason.OUTCOME_UNKNOWN, retry_s)
        self.remember(active, answer)
        counted: list[Effect] = [Count("refused_outcome_unknown")]
        return [*counted, AnswerCaller(active.flow, answer)] if answer else counted

    @abstractmethod
    def renew_feeds(self, service: str, now: float) -> None:
        """Queue the renewal of every feed of an upstream that may have lost them."""

    @abstractmethod
    def start_renewal(self, renewal: ActiveRequest, now: float) -> list[Effect]:
        """Hand a feed's renewal to the upstream."""


def spread(retry_s: float, active: ActiveRequest) -> float:
    """Return a time between once and twice `retry_s`, so that callers do not return at once."""
    fraction = xxhash.xxh32_intdigest(active.flow + active.request.token) / 2**32
    return retry_s * (1 + fraction)
