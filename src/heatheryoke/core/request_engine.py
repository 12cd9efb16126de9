"""Runs callers' requests at this host's upstreams: admission, claims, answers, refusals."""

from collections.abc import Callable, Iterable

import xxhash

from heatheryoke.core.admission import Admission, ColdReason, Decision
from heatheryoke.core.claims import CLAIM_LIFETIME_S, Claimant, Finished, Outcome, Witness
from heatheryoke.core.effects import (
    AnswerCaller,
    Count,
    Deliver,
    Effect,
    LogChange,
    Measure,
    SendPeer,
)
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.messages import (
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    ResultReply,
    ResultRequest,
    ResultState,
)
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
from heatheryoke.core.runs import Run, Runs
from heatheryoke.inventory.document import Address, Protocol, Service

__all__ = ["RequestEngine"]

DEFAULT_TIMEOUT_S = 30.0
RESULT_POLL_S = 0.5
RESULT_SILENCE_S = 1.5
SLOT_HOLD_S = 10.0
START_WINDOW_S = 30.0

RequestId = tuple[FlowKey, bytes]
Handler = Callable[[OwnedFlow, Request, bytes, float], list[Effect]]


class RequestEngine:
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
        self.claimant = Claimant(host_name, incarnation)
        self.witness = Witness(host_name, started, claim_lifetime_s)
        self.runs = Runs(claim_lifetime_s)
        self.claiming: dict[bytes, ActiveRequest] = {}
        self.waiting: dict[bytes, list[ActiveRequest]] = {}
        self.holders: dict[bytes, tuple[str, int]] = {}
        self.heard_holder: dict[bytes, float] = {}
        self.poll_at: dict[bytes, float] = {}
        self.handlers: dict[RequestKind, Handler] = {
            RequestKind.READ: self.on_read,
            RequestKind.FEED: self.on_read,
            RequestKind.WRITE: self.on_write,
            RequestKind.CANCEL: self.on_cancel,
            RequestKind.CONTROL: self.on_control,
        }

    # Reading

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

    def load(self, service: str, now: float) -> float:
        """Return the work outstanding at an upstream as a share of its limit."""
        return self.admission(service, now).load()

    def is_idle(self) -> bool:
        """Tell whether no request is in progress."""
        return not self.pending

    # Callers' datagrams

    def on_datagram(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Take a caller's datagram of a flow that this host owns."""
        request = self.codec_of(owned.service).read_request(payload)
        if request is None:
            return [Count("malformed_requests")]
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
        """Claim a non-idempotent request, unless this host has run it or is about to."""
        repeated = self.repeated(owned, request)
        if repeated is not None:
            return repeated
        active = self.activate(owned, request, payload, now)
        if not request.request_id:
            return [Count("writes_without_id"), *self.admit(active, now)]
        run = self.runs.find(request.request_id)
        if run is not None:
            return self.join_run(active, run, now)
        if request.request_id in self.claiming or request.request_id in self.waiting:
            return self.wait(active)
        return self.claim(active, now)

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

    # Admission

    def admit(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Offer a request to its upstream."""
        admission = self.admission(active.service, now)
        return self.carry_out(admission.offer(active, now), now)

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
        """Give a request its final answer at once, with when to come back."""
        self.pending.pop((active.flow, active.request.token), None)
        retry_s = self.admission(active.service, now).retry_s()
        answer = self.codec_of(active.service).refusal(
            active.payload, reason, spread(retry_s, active)
        )
        effects: list[Effect] = [Count(f"refused_{reason.name.lower()}")]
        if active.attempt and reason.not_run:
            effects += self.release(active.request.request_id, active.attempt, active.service, now)
            for waiting in self.waiting.pop(active.request.request_id, []):
                effects += self.refuse(waiting, reason, now)
        if answer:
            self.remember(active, answer)
            effects.append(AnswerCaller(active.flow, answer))
        return effects

    def remember(self, active: ActiveRequest, answer: bytes) -> None:
        """Keep a final answer, should the request's datagram arrive again."""
        owned = self.flows.flows.get(active.flow)
        if owned is not None:
            owned.remember(active.request.message_id, answer)

    # Upstream's datagrams

    def on_answer(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Pass an upstream's datagram to the request it answers, or drop it."""
        answer = self.codec_of(owned.service).read_answer(payload)
        if answer is None:
            return [Count("malformed_answers")]
        if not answer.final:
            return [AnswerCaller(owned.flow, payload)]
        key = (owned.flow, answer.token)
        if key in self.feeds and key not in self.pending:
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
        """Take the upstream's answer to a request in progress."""
        admission = self.admission(active.service, now)
        was_cold = admission.cold_starts
        admission.finish(active, now, refused)
        effects = [self.measure("service_seconds", active, now - active.started)]
        if admission.cold_starts > was_cold:
            reason = admission.cold_reason.value
            effects.append(LogChange(f"{owned.service} on {self.host_name}", "cold", reason))
        del self.pending[active.flow, active.request.token]
        if active.phase is RequestPhase.RUNNING:
            owned.remember(active.request.message_id, payload)
            effects.append(AnswerCaller(owned.flow, payload))
            if feed and active.request.kind is RequestKind.FEED:
                self.open_feed(owned, active)
        if active.request.request_id:
            effects += self.publish(active.request.request_id, payload, now)
        return effects + self.carry_out(admission.advance(now), now)

    def measure(self, name: str, active: ActiveRequest, value: float) -> Effect:
        """Return a value for the histogram of the request's tenant and class."""
        tenant = self.service_of(active.service).tenant
        return Measure(name, tenant, active.request.request_class, value)

    # Feeds

    def open_feed(self, owned: OwnedFlow, active: ActiveRequest) -> None:
        """Keep a feed's request, so that the feed can be renewed after a restart."""
        active.phase = RequestPhase.FEEDING
        self.feeds[active.flow, active.request.token] = active
        owned.feeds[active.request.token] = active.payload

    def end_feed(self, owned: OwnedFlow, token: bytes) -> None:
        """Forget a feed."""
        self.feeds.pop((owned.flow, token), None)
        owned.feeds.pop(token, None)

    def restore_feed(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Take a feed back after a restart, and renew it at the upstream."""
        codec = self.codec_of(owned.service)
        request = codec.read_request(payload)
        if request is None:
            return [Count("malformed_requests")]
        active = ActiveRequest(owned.flow, owned.service, request, payload, now, now, 1.0)
        self.open_feed(owned, active)
        message_id = xxhash.xxh32_intdigest(owned.flow + request.token, int(now * 1000)) & 0xFFFF
        return [Count("feeds_renewed"), Deliver(owned.flow, codec.renewal(payload, message_id))]

    # Claims, as the runner

    def claim(self, active: ActiveRequest, now: float, supersedes: int = 0) -> list[Effect]:
        """Ask the witnesses to let this host run a request."""
        request_id = active.request.request_id
        active.phase = RequestPhase.CLAIMING
        self.claiming[request_id] = active
        sets = self.history.witness_sets(active.service, request_id, now)
        opened = self.claimant.begin(request_id, sets, now, supersedes)
        active.attempt = opened.attempt
        return [Count("claims"), *self.ask_witnesses(self.claimant.asks(opened), now)]

    def ask_witnesses(self, asks: Iterable[tuple[str, ClaimRequest]], now: float) -> list[Effect]:
        """Send claims to witnesses; this host's own answer comes last, and at once."""
        effects: list[Effect] = []
        own: ClaimRequest | None = None
        for witness, ask in asks:
            if witness == self.host_name:
                own = ask
            else:
                effects += self.send_to(witness, ask)
        if own is not None:
            effects += self.on_claim_reply(self.witness.ask(own, now), now)
        return effects

    def send_to(self, host_name: str, message: ClaimRequest | ResultRequest) -> list[Effect]:
        """Send a message to a host, if any topology that counts knows it."""
        for topology in (
            self.history.current,
            *(row.topology for row in self.history.superseded),
        ):
            host = topology.hosts.get(host_name)
            if host is not None:
                return [SendPeer(host.address, message)]
        return []

    def on_claim_reply(self, reply: ClaimReply, now: float) -> list[Effect]:
        """Take a witness's answer."""
        finished = self.claimant.on_reply(reply, now)
        return self.conclude(finished, now) if finished else []

    def conclude(self, finished: Finished, now: float) -> list[Effect]:
        """Go on with a request whose round of claims has ended."""
        active = self.claiming.pop(finished.request_id)
        waiting = self.waiting.pop(finished.request_id, [])
        if finished.outcome is Outcome.GRANTED:
            self.runs.start(finished.request_id, finished.attempt, now)
            if waiting:
                self.waiting[finished.request_id] = waiting
            return self.admit(active, now)
        effects = self.release(finished.request_id, finished.attempt, active.service, now)
        active.attempt = 0
        if finished.outcome is Outcome.HELD:
            self.holders[finished.request_id] = (finished.holder, finished.holder_attempt)
            self.heard_holder[finished.request_id] = now
            self.waiting[finished.request_id] = waiting
            return [*effects, Count("claims_held"), *self.wait(active), *self.poll_holders(now)]
        effects.append(Count("claims_unavailable"))
        for each in (active, *waiting):
            effects += self.refuse(each, RefusalReason.OUTCOME_UNKNOWN, now)
        return effects

    def release(self, request_id: bytes, attempt: int, service: str, now: float) -> list[Effect]:
        """Tell the witnesses, and those that wait, that an attempt will never start."""
        note = ClaimRelease(request_id, self.host_name, attempt)
        self.witness.release(note)
        effects: list[Effect] = []
        sets = self.history.witness_sets(service, request_id, now)
        for witness in sorted(set().union(*sets.members)):
            if witness != self.host_name:
                effects += self.send_to(witness, note)
        reply = ResultReply(request_id, attempt, ResultState.RELEASED, b"")
        waiters = self.runs.release(request_id, attempt, now)
        effects += [SendPeer(waiter, reply) for waiter in sorted(waiters)]
        return effects

    # Answers of another runner

    def join_run(self, active: ActiveRequest, run: Run, now: float) -> list[Effect]:
        """Give a request the answer of this host's own run of it."""
        if run.state is ResultState.ANSWERED:
            return self.answer_with(active, run.answer)
        if run.state is ResultState.UNKNOWN:
            return self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return self.wait(active)

    def wait(self, active: ActiveRequest) -> list[Effect]:
        """Let a request wait for another's answer."""
        active.phase = RequestPhase.WAITING
        self.waiting.setdefault(active.request.request_id, []).append(active)
        return []

    def poll_holders(self, now: float) -> list[Effect]:
        """Ask the holders of claims for their answers; give up on the silent."""
        effects: list[Effect] = []
        for request_id, (holder, attempt) in list(self.holders.items()):
            if now - self.heard_holder[request_id] > RESULT_SILENCE_S:
                effects += self.give_up_waiting(request_id, now)
            elif now >= self.poll_at.get(request_id, 0.0):
                self.poll_at[request_id] = now + RESULT_POLL_S
                effects += self.send_to(holder, ResultRequest(request_id, attempt))
        return effects

    def forget_holder(self, request_id: bytes) -> list[ActiveRequest]:
        """Stop asking a holder; return the requests that waited for it."""
        for table in (self.holders, self.heard_holder, self.poll_at):
            table.pop(request_id, None)
        return self.waiting.pop(request_id, [])

    def give_up_waiting(self, request_id: bytes, now: float) -> list[Effect]:
        """Tell callers that the outcome of another runner's request is unknown."""
        effects: list[Effect] = []
        for active in self.forget_holder(request_id):
            effects += self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return effects

    def on_result_reply(self, reply: ResultReply, now: float) -> list[Effect]:
        """Take a holder's word on a request."""
        request_id = reply.request_id
        if self.holders.get(request_id, ("", 0))[1] != reply.holder_attempt:
            return []
        self.heard_holder[request_id] = now
        if reply.state is ResultState.PENDING:
            return []
        if reply.state is ResultState.UNKNOWN:
            return self.give_up_waiting(request_id, now)
        waiting = self.forget_holder(request_id)
        if reply.state is ResultState.RELEASED:
            return self.claim_again(waiting, reply.holder_attempt, now)
        effects: list[Effect] = []
        for active in waiting:
            effects += self.answer_with(active, reply.answer)
        return effects

    def claim_again(self, waiting: list[ActiveRequest], released: int, now: float) -> list[Effect]:
        """Claim for the first of the waiting, in place of an attempt that was released."""
        if not waiting:
            return []
        effects = self.claim(waiting[0], now, supersedes=released)
        for active in waiting[1:]:
            effects += self.wait(active)
        return effects

    def answer_with(self, active: ActiveRequest, answer: bytes) -> list[Effect]:
        """Give a waiting request the answer of the run that stands for it."""
        self.pending.pop((active.flow, active.request.token), None)
        payload = self.codec_of(active.service).readdress(answer, active.payload)
        self.remember(active, payload)
        return [Count("answers_repeated"), AnswerCaller(active.flow, payload)]

    def publish(self, request_id: bytes, answer: bytes, now: float) -> list[Effect]:
        """Give the answer of a run to all that wait for it, here and elsewhere."""
        run = self.runs.find(request_id)
        waiters = self.runs.answer(request_id, answer)
        effects: list[Effect] = []
        for active in self.waiting.pop(request_id, []):
            effects += self.answer_with(active, answer)
        if run is not None:
            reply = ResultReply(request_id, run.attempt, ResultState.ANSWERED, answer)
            effects += [SendPeer(waiter, reply) for waiter in sorted(waiters)]
        return effects

    # Claims, as a witness and as a holder

    def on_claim_request(self, sender: Address, request: ClaimRequest, now: float) -> list[Effect]:
        """Answer a runner as one of its witnesses."""
        if self.misses_witnesses(request, now):
            reply = self.witness.reply(request, ClaimVerdict.STALE_EPOCH, None)
            return [Count("claims_stale"), SendPeer(sender, reply)]
        return [SendPeer(sender, self.witness.ask(request, now))]

    def misses_witnesses(self, request: ClaimRequest, now: float) -> bool:
        """Tell whether the runner may not know a witness set that counts."""
        if not request.history_from:
            return False
        services = self.history.current.services_of_host.get(self.host_name, ())
        return any(
            self.history.is_missing(service, request.request_id, request.history_from, now)
            for service in services
        )

    def on_claim_release(self, release: ClaimRelease) -> list[Effect]:
        """Forget a claim that its runner has given back."""
        self.witness.release(release)
        return []

    def on_result_request(self, sender: Address, request: ResultRequest) -> list[Effect]:
        """Tell another agent what became of a request claimed by this host."""
        current = self.claimant.rounds.get(request.request_id)
        claiming = current is not None and current.attempt == request.holder_attempt
        return [SendPeer(sender, self.runs.reply(sender, request, claiming))]

    # Time and faults

    def advance(self, now: float) -> list[Effect]:
        """Start, refuse, repeat and expire what is due."""
        effects: list[Effect] = []
        resend, finished = self.claimant.due(now)
        effects += self.ask_witnesses(resend, now)
        for each in finished:
            effects += self.conclude(each, now)
        effects += self.poll_holders(now)
        for admission in list(self.admissions.values()):
            effects += self.carry_out(admission.advance(now), now)
        effects += self.expire_pending(now)
        self.runs.expire(now)
        self.witness.expire(now, 200)
        return effects

    def expire_pending(self, now: float) -> list[Effect]:
        """Answer requests whose time is over, and free the slots of those long lost."""
        effects: list[Effect] = []
        for key, active in list(self.pending.items()):
            if now < active.deadline:
                continue
            if active.phase is RequestPhase.RUNNING:
                active.phase = RequestPhase.ABANDONED
                effects += self.answer_unknown(active, now)
            elif active.phase is RequestPhase.ABANDONED and now > active.deadline + SLOT_HOLD_S:
                self.admission(active.service, now).abandon(active)
                effects += self.lose_run(active)
                del self.pending[key]
            elif active.phase is RequestPhase.WAITING:
                self.stop_waiting(active)
                effects += self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return effects

    def stop_waiting(self, active: ActiveRequest) -> None:
        """Take one request from those that wait for a holder's answer."""
        waiting = self.waiting.get(active.request.request_id, [])
        if active in waiting:
            waiting.remove(active)

    def answer_unknown(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Tell a caller that its request was started and may or may not have run."""
        retry_s = spread(self.admission(active.service, now).retry_s(), active)
        codec = self.codec_of(active.service)
        answer = codec.refusal(active.payload, RefusalReason.OUTCOME_UNKNOWN, retry_s)
        self.remember(active, answer)
        counted: list[Effect] = [Count("refused_outcome_unknown")]
        return [*counted, AnswerCaller(active.flow, answer)] if answer else counted

    def on_upstream_gone(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Take the upstream to be cold; what it was running has an unknown outcome."""
        admission = self.admission(owned.service, now)
        if admission.cold_reason is not ColdReason.GONE or not admission.is_cold():
            admission.chill(now, ColdReason.GONE)
        effects: list[Effect] = [Count("upstream_gone")]
        for active in list(self.pending.values()):
            if active.flow == owned.flow and active.phase is RequestPhase.RUNNING:
                admission.abandon(active)
                effects += self.lose_run(active)
                effects += self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return effects

    def lose_run(self, active: ActiveRequest) -> list[Effect]:
        """Note that the outcome of a started request will never be known."""
        request_id = active.request.request_id
        run = self.runs.find(request_id)
        if run is None or run.attempt != active.attempt:
            return []
        reply = ResultReply(request_id, run.attempt, ResultState.UNKNOWN, b"")
        return [SendPeer(waiter, reply) for waiter in sorted(self.runs.lose(request_id))]

    def forget(self, flows: set[FlowKey], now: float) -> list[Effect]:
        """End every request and feed of some flows without a word to their callers."""
        effects = self.reset(flows, RefusalReason.STOPPING, now)
        return [effect for effect in effects if not isinstance(effect, AnswerCaller)]

    def reset(self, flows: set[FlowKey], reason: RefusalReason, now: float) -> list[Effect]:
        """End every request and feed of some flows, so that their callers come back at once."""
        effects: list[Effect] = []
        for active in [row for row in self.pending.values() if row.flow in flows]:
            effects += self.reset_request(active, reason, now)
        for key in [key for key in self.feeds if key[0] in flows]:
            active = self.feeds.pop(key)
            effects += self.refuse(active, RefusalReason.FEED_ENDED, now)
        return effects

    def reset_request(
        self, active: ActiveRequest, reason: RefusalReason, now: float
    ) -> list[Effect]:
        """End one request: as not run only if that is certain."""
        admission = self.admission(active.service, now)
        if active.phase is RequestPhase.QUEUED:
            admission.withdraw(active)
            return self.refuse(active, reason, now)
        if active.phase is RequestPhase.CLAIMING:
            current = self.claimant.rounds.pop(active.request.request_id)
            self.claiming.pop(active.request.request_id)
            released = self.release(current.request_id, current.attempt, active.service, now)
            return released + self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        self.stop_waiting(active)
        admission.abandon(active)
        lost = self.lose_run(active)
        if active.phase is RequestPhase.ABANDONED:
            self.pending.pop((active.flow, active.request.token), None)
            return lost
        return lost + self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)


def spread(retry_s: float, active: ActiveRequest) -> float:
    """Return a time between once and twice `retry_s`, so that callers do not return at once."""
    fraction = xxhash.xxh32_intdigest(active.flow + active.request.token) / 2**32
    return retry_s * (1 + fraction)
