"""Claims of non-idempotent requests, made as their runner and granted as a witness.

Requests whose id is claimed elsewhere wait for the answer of that run.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from heatheryoke.core.claims import Claimant, Outcome, RoundResult, Witness
from heatheryoke.core.effects import Count, Effect, SendPeer
from heatheryoke.core.history import TopologyHistory
from heatheryoke.core.messages import (
    ClaimRecord,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    PeerMessage,
    ResultReply,
    ResultRequest,
    ResultState,
    WitnessSet,
)
from heatheryoke.core.requests import ActiveRequest, RefusalReason, RequestPhase
from heatheryoke.core.runs import Run, Runs
from heatheryoke.inventory.model import Address

__all__ = ["ClaimOutcomes", "WriteClaims"]

RESULT_POLL_INTERVAL_S = 0.5
RESULT_TIMEOUT_S = 1.5
CLAIM_EXPIRY_BATCH = 200

REFUSALS_BY_STATE = {
    ResultState.UNKNOWN: RefusalReason.OUTCOME_UNKNOWN,
    ResultState.REFUSED: RefusalReason.OVERLOADED,
}


class ClaimOutcomes(ABC):
    """Callbacks for the outcome of a request's claim."""

    @abstractmethod
    def on_granted(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Continue a request whose claim was granted to this host."""

    @abstractmethod
    def on_run_answered(self, active: ActiveRequest, answer: bytes) -> list[Effect]:
        """Answer a request with the answer of an earlier run of the same request id."""

    @abstractmethod
    def refuse(self, active: ActiveRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Answer a request with a refusal."""


class ClaimHolder:
    """The host that holds the claim on a request id, as last reported to this host."""

    __slots__ = ("attempt", "host", "last_reply", "next_poll")

    def __init__(self, host: str, attempt: int, now: float):
        self.host = host
        self.attempt = attempt
        self.last_reply = now
        self.next_poll = now


class WriteClaims:
    """The claims that this host makes, grants, or waits for."""

    def __init__(
        self,
        host_name: str,
        incarnation: int,
        history: TopologyHistory,
        outcomes: ClaimOutcomes,
        started: float,
        lifetime_s: float,
    ):
        self.host_name = host_name
        self.history = history
        self.outcomes = outcomes
        self.is_unavailable: Callable[[str], bool] = lambda host_name: False
        self.claimant = Claimant(host_name, incarnation)
        self.witness = Witness(host_name, started, lifetime_s)
        self.runs = Runs(lifetime_s)
        self.claiming: dict[bytes, ActiveRequest] = {}
        self.waiting: dict[bytes, list[ActiveRequest]] = {}
        self.holders: dict[bytes, ClaimHolder] = {}

    # As the runner

    def claim_or_join(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Claim a request, or join an existing claim or run of the same id."""
        request_id = active.request.request_id
        run = self.runs.find(request_id)
        if run is not None:
            return self.join_run(active, run, now)
        if request_id in self.claiming or request_id in self.waiting:
            return self.wait(active)
        return self.claim(active, now)

    def claim(self, active: ActiveRequest, now: float, supersedes: int = 0) -> list[Effect]:
        """Ask the witnesses to grant a request to this host."""
        request_id = active.request.request_id
        active.phase = RequestPhase.CLAIMING
        self.claiming[request_id] = active
        sets = self.history.witness_sets(active.service, request_id, now)
        claim_round = self.claimant.begin(active.service, request_id, sets, now, supersedes)
        active.attempt = claim_round.attempt
        claim_requests = self.claimant.first_claim_requests(claim_round, self.is_unavailable)
        return [Count("claims"), *self.ask_witnesses(claim_requests, now)]

    def ask_witnesses(
        self, claim_requests: Iterable[tuple[str, ClaimRequest]], now: float
    ) -> list[Effect]:
        """Send claim requests to witnesses; this host's own reply is processed last, at once."""
        effects: list[Effect] = []
        own_request: ClaimRequest | None = None
        for witness, request in claim_requests:
            if witness == self.host_name:
                own_request = request
            else:
                effects += self.send_to(witness, request)
        if own_request is not None:
            effects += self.on_claim_reply(self.witness.on_request(own_request, now), now)
        return effects

    def send_to(self, host_name: str, message: PeerMessage) -> list[Effect]:
        """Send a message to a host, if the current or a recent topology contains it."""
        host = self.history.find_host(host_name)
        return [SendPeer(host.address, message)] if host else []

    def on_claim_reply(self, reply: ClaimReply, now: float) -> list[Effect]:
        """Process a witness's reply to a claim request."""
        result = self.claimant.on_reply(reply, now)
        return self.on_round_end(result, now) if result else []

    def on_round_end(self, result: RoundResult, now: float) -> list[Effect]:
        """Continue, suspend or refuse a request whose claim round has ended."""
        request_id = result.request_id
        active = self.claiming.pop(request_id)
        if result.outcome is Outcome.GRANTED:
            self.runs.start(request_id, result.attempt, now)
            return self.outcomes.on_granted(active, now)
        effects = self.release(active, False, now)
        active.attempt = 0
        if result.outcome is Outcome.HELD:
            self.holders[request_id] = ClaimHolder(result.holder, result.holder_attempt, now)
            return [*effects, Count("claims_held"), *self.wait(active), *self.poll_holders(now)]
        effects.append(Count("claims_unavailable"))
        for waiting in (active, *self.waiting.pop(request_id, [])):
            effects += self.outcomes.refuse(waiting, RefusalReason.OUTCOME_UNKNOWN, now)
        return effects

    def release(self, active: ActiveRequest, refused: bool, now: float) -> list[Effect]:
        """Notify witnesses and waiting agents that an attempt will never start.

        `refused` is true if its caller receives a "not run" refusal.
        """
        request_id = active.request.request_id
        release = ClaimRelease(request_id, self.host_name, active.attempt)
        self.witness.release(release)
        effects: list[Effect] = []
        sets = self.history.witness_sets(active.service, request_id, now)
        for witness in sorted(set().union(*sets.members)):
            if witness != self.host_name:
                effects += self.send_to(witness, release)
        state = ResultState.REFUSED if refused else ResultState.RELEASED
        reply = ResultReply(request_id, active.attempt, state, b"")
        waiters = self.runs.release(request_id, active.attempt, refused, now)
        return effects + [SendPeer(waiter, reply) for waiter in sorted(waiters)]

    def refuse_run(self, active: ActiveRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Release the claim of a refused request, and refuse the requests that wait for it."""
        effects = self.release(active, reason.not_run, now)
        for waiting in self.waiting.pop(active.request.request_id, []):
            effects += self.outcomes.refuse(waiting, reason, now)
        return effects

    def mark_unknown(self, active: ActiveRequest) -> list[Effect]:
        """Record that the outcome of a started request is lost, and notify waiting agents."""
        request_id = active.request.request_id
        run = self.runs.find(request_id)
        if run is None or run.attempt != active.attempt:
            return []
        reply = ResultReply(request_id, run.attempt, ResultState.UNKNOWN, b"")
        return [SendPeer(waiter, reply) for waiter in sorted(self.runs.mark_unknown(request_id))]

    def publish(self, request_id: bytes, answer: bytes) -> list[Effect]:
        """Send the answer of a run to the requests that wait for it, here and at other agents."""
        run = self.runs.find(request_id)
        waiters = self.runs.answer(request_id, answer)
        effects: list[Effect] = []
        for active in self.waiting.pop(request_id, []):
            effects += self.outcomes.on_run_answered(active, answer)
        if run is not None:
            reply = ResultReply(request_id, run.attempt, ResultState.ANSWERED, answer)
            effects += [SendPeer(waiter, reply) for waiter in sorted(waiters)]
        return effects

    def cancel(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Abort the claim round of a request; another that waits for its id claims in its place."""
        request_id = active.request.request_id
        self.claimant.rounds.pop(request_id, None)
        self.claiming.pop(request_id, None)
        waiting = self.waiting.pop(request_id, [])
        effects = self.release(active, False, now)
        return effects + self.claim_again(waiting, active.attempt, now)

    # Waiting for another runner's answer

    def join_run(self, active: ActiveRequest, run: Run, now: float) -> list[Effect]:
        """Answer a request from this host's own run of its id, or let it wait for that run."""
        if run.state is ResultState.ANSWERED:
            return self.outcomes.on_run_answered(active, run.answer)
        if run.state is ResultState.UNKNOWN:
            return self.outcomes.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return self.wait(active)

    def wait(self, active: ActiveRequest) -> list[Effect]:
        """Add a request to those that wait for the run of its id."""
        active.phase = RequestPhase.WAITING
        self.waiting.setdefault(active.request.request_id, []).append(active)
        return []

    def stop_waiting(self, active: ActiveRequest) -> None:
        """Remove a request from those that wait."""
        waiting = self.waiting.get(active.request.request_id, [])
        if active in waiting:
            waiting.remove(active)

    def poll_holders(self, now: float) -> list[Effect]:
        """Poll the holders of claims for their results; give up on those that do not reply."""
        effects: list[Effect] = []
        for request_id, holder in list(self.holders.items()):
            if now - holder.last_reply > RESULT_TIMEOUT_S:
                effects += self.refuse_waiting(request_id, RefusalReason.OUTCOME_UNKNOWN, now)
            elif now >= holder.next_poll:
                holder.next_poll = now + RESULT_POLL_INTERVAL_S
                age_s = now - min(
                    (waiting.arrived for waiting in self.waiting[request_id]), default=now
                )
                result_request = ResultRequest(request_id, holder.attempt, age_s)
                effects += self.send_to(holder.host, result_request)
        return effects

    def forget_holder(self, request_id: bytes) -> list[ActiveRequest]:
        """Stop polling a holder and return the requests that waited for it."""
        self.holders.pop(request_id, None)
        return self.waiting.pop(request_id, [])

    def refuse_waiting(self, request_id: bytes, reason: RefusalReason, now: float) -> list[Effect]:
        """Refuse every request that waits for a holder."""
        effects: list[Effect] = []
        for active in self.forget_holder(request_id):
            effects += self.outcomes.refuse(active, reason, now)
        return effects

    def on_result_reply(self, reply: ResultReply, now: float) -> list[Effect]:
        """Process a holder's reply about a request."""
        holder = self.holders.get(reply.request_id)
        if holder is None or holder.attempt != reply.holder_attempt:
            return []
        holder.last_reply = now
        if reply.state is ResultState.PENDING:
            return []
        reason = REFUSALS_BY_STATE.get(reply.state)
        if reason is not None:
            return self.refuse_waiting(reply.request_id, reason, now)
        waiting = self.forget_holder(reply.request_id)
        if reply.state is ResultState.RELEASED:
            return self.claim_again(waiting, reply.holder_attempt, now)
        effects: list[Effect] = []
        for active in waiting:
            effects += self.outcomes.on_run_answered(active, reply.answer)
        return effects

    def claim_again(
        self, waiting: list[ActiveRequest], released_attempt: int, now: float
    ) -> list[Effect]:
        """Claim for the first waiting request, superseding a released attempt."""
        if not waiting:
            return []
        effects = self.claim(waiting[0], now, supersedes=released_attempt)
        for active in waiting[1:]:
            effects += self.wait(active)
        return effects

    # As a witness and as a holder

    def on_claim_request(self, sender: Address, request: ClaimRequest, now: float) -> list[Effect]:
        """Reply to a claim request as a witness."""
        reply = self.witness.on_request(request, now)
        if request.lacks_history and self.history.is_complete(now):
            sets = self.history.witness_sets(request.service, request.request_id, now)
            former = tuple(WitnessSet(tuple(sorted(members))) for members in sets.members)
            reply = reply._replace(knows_history=True, former_sets=former)
        return [SendPeer(sender, reply)]

    def records_for(self, host_name: str, now: float) -> list[ClaimRecord]:
        """Return the unexpired claims for which a host is a witness."""
        views = [
            self.history.current.service_view(service)
            for service in self.history.current.services_of_host.get(host_name, ())
        ]
        return [
            record
            for record in self.witness.records(now)
            if any(
                host_name in (host.name for host in view.witnesses(record.request_id))
                for view in views
            )
        ]

    def on_result_request(
        self, sender: Address, request: ResultRequest, now: float
    ) -> list[Effect]:
        """Send another agent the state of a request claimed by this host."""
        claim_round = self.claimant.rounds.get(request.request_id)
        is_claiming = claim_round is not None and claim_round.attempt == request.holder_attempt
        return [SendPeer(sender, self.runs.reply(sender, request, is_claiming, now))]

    # Timers

    def advance(self, now: float) -> list[Effect]:
        """Resend claim requests, poll holders, and expire rounds, runs and claims."""
        resend, results = self.claimant.due(now)
        effects = self.ask_witnesses(resend, now)
        for result in results:
            effects += self.on_round_end(result, now)
        effects += self.poll_holders(now)
        self.runs.expire(now)
        self.witness.expire(now, CLAIM_EXPIRY_BATCH)
        return effects
