"""Claims of non-idempotent requests: as their runner, as a witness, and for another's answer."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from heatheryoke.core.claims import Claimant, Finished, Outcome, Witness
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

RESULT_POLL_S = 0.5
RESULT_SILENCE_S = 1.5
CLAIM_EXPIRY_BATCH = 200

REFUSALS_BY_STATE = {
    ResultState.UNKNOWN: RefusalReason.OUTCOME_UNKNOWN,
    ResultState.REFUSED: RefusalReason.OVERLOADED,
}


class ClaimOutcomes(ABC):
    """What becomes of a request whose claim is settled."""

    @abstractmethod
    def on_granted(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Go on with a request that this host may run."""

    @abstractmethod
    def on_repeated(self, active: ActiveRequest, answer: bytes) -> list[Effect]:
        """Give a request the answer of the run that stands for it."""

    @abstractmethod
    def refuse(self, active: ActiveRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Give a request its final answer without an upstream."""


class Holder:
    """The host whose claim on a request id stands, as far as is known here."""

    __slots__ = ("attempt", "heard", "host", "poll_at")

    def __init__(self, host: str, attempt: int, now: float):
        self.host = host
        self.attempt = attempt
        self.heard = now
        self.poll_at = now


class WriteClaims:
    """Every claim that this host makes, grants, or waits for."""

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
        self.is_doubtful: Callable[[str], bool] = lambda host_name: False
        self.claimant = Claimant(host_name, incarnation)
        self.witness = Witness(host_name, started, lifetime_s)
        self.runs = Runs(lifetime_s)
        self.claiming: dict[bytes, ActiveRequest] = {}
        self.waiting: dict[bytes, list[ActiveRequest]] = {}
        self.holders: dict[bytes, Holder] = {}

    # As the runner

    def take(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Claim a request, or let it wait for a run of the same id."""
        request_id = active.request.request_id
        run = self.runs.find(request_id)
        if run is not None:
            return self.join_run(active, run, now)
        if request_id in self.claiming or request_id in self.waiting:
            return self.wait(active)
        return self.claim(active, now)

    def claim(self, active: ActiveRequest, now: float, supersedes: int = 0) -> list[Effect]:
        """Ask the witnesses to let this host run a request."""
        request_id = active.request.request_id
        active.phase = RequestPhase.CLAIMING
        self.claiming[request_id] = active
        sets = self.history.witness_sets(active.service, request_id, now)
        opened = self.claimant.begin(active.service, request_id, sets, now, supersedes)
        active.attempt = opened.attempt
        asks = self.claimant.first_asks(opened, self.is_doubtful)
        return [Count("claims"), *self.ask_witnesses(asks, now)]

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

    def send_to(self, host_name: str, message: PeerMessage) -> list[Effect]:
        """Send a message to a host, if any topology that counts knows it."""
        host = self.history.find_host(host_name)
        return [SendPeer(host.address, message)] if host else []

    def on_claim_reply(self, reply: ClaimReply, now: float) -> list[Effect]:
        """Take a witness's answer."""
        finished = self.claimant.on_reply(reply, now)
        return self.conclude(finished, now) if finished else []

    def conclude(self, finished: Finished, now: float) -> list[Effect]:
        """Go on with a request whose round of claims has ended."""
        request_id = finished.request_id
        active = self.claiming.pop(request_id)
        if finished.outcome is Outcome.GRANTED:
            self.runs.start(request_id, finished.attempt, now)
            return self.outcomes.on_granted(active, now)
        effects = self.release(active, False, now)
        active.attempt = 0
        if finished.outcome is Outcome.HELD:
            self.holders[request_id] = Holder(finished.holder, finished.holder_attempt, now)
            return [*effects, Count("claims_held"), *self.wait(active), *self.poll_holders(now)]
        effects.append(Count("claims_unavailable"))
        for each in (active, *self.waiting.pop(request_id, [])):
            effects += self.outcomes.refuse(each, RefusalReason.OUTCOME_UNKNOWN, now)
        return effects

    def release(self, active: ActiveRequest, refused: bool, now: float) -> list[Effect]:
        """Tell the witnesses, and those that wait, that an attempt will never start.

        `refused` tells that its caller is told so, too.
        """
        request_id = active.request.request_id
        note = ClaimRelease(request_id, self.host_name, active.attempt)
        self.witness.release(note)
        effects: list[Effect] = []
        sets = self.history.witness_sets(active.service, request_id, now)
        for witness in sorted(set().union(*sets.members)):
            if witness != self.host_name:
                effects += self.send_to(witness, note)
        state = ResultState.REFUSED if refused else ResultState.RELEASED
        reply = ResultReply(request_id, active.attempt, state, b"")
        waiters = self.runs.release(request_id, active.attempt, refused, now)
        return effects + [SendPeer(waiter, reply) for waiter in sorted(waiters)]

    def refuse_run(self, active: ActiveRequest, reason: RefusalReason, now: float) -> list[Effect]:
        """Give back the claim of a request that is refused, and refuse those that wait for it."""
        effects = self.release(active, reason.not_run, now)
        for waiting in self.waiting.pop(active.request.request_id, []):
            effects += self.outcomes.refuse(waiting, reason, now)
        return effects

    def lose(self, active: ActiveRequest) -> list[Effect]:
        """Note that the outcome of a started request will never be known."""
        request_id = active.request.request_id
        run = self.runs.find(request_id)
        if run is None or run.attempt != active.attempt:
            return []
        reply = ResultReply(request_id, run.attempt, ResultState.UNKNOWN, b"")
        return [SendPeer(waiter, reply) for waiter in sorted(self.runs.lose(request_id))]

    def publish(self, request_id: bytes, answer: bytes) -> list[Effect]:
        """Give the answer of a run to all that wait for it, here and elsewhere."""
        run = self.runs.find(request_id)
        waiters = self.runs.answer(request_id, answer)
        effects: list[Effect] = []
        for active in self.waiting.pop(request_id, []):
            effects += self.outcomes.on_repeated(active, answer)
        if run is not None:
            reply = ResultReply(request_id, run.attempt, ResultState.ANSWERED, answer)
            effects += [SendPeer(waiter, reply) for waiter in sorted(waiters)]
        return effects

    def cancel(self, active: ActiveRequest, now: float) -> list[Effect]:
        """End the round of a request that is given up while it is being claimed."""
        self.claimant.rounds.pop(active.request.request_id, None)
        self.claiming.pop(active.request.request_id, None)
        return self.release(active, False, now)

    # For another runner's answer

    def join_run(self, active: ActiveRequest, run: Run, now: float) -> list[Effect]:
        """Give a request the answer of this host's own run of it."""
        if run.state is ResultState.ANSWERED:
            return self.outcomes.on_repeated(active, run.answer)
        if run.state is ResultState.UNKNOWN:
            return self.outcomes.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return self.wait(active)

    def wait(self, active: ActiveRequest) -> list[Effect]:
        """Let a request wait for another's answer."""
        active.phase = RequestPhase.WAITING
        self.waiting.setdefault(active.request.request_id, []).append(active)
        return []

    def stop_waiting(self, active: ActiveRequest) -> None:
        """Take one request from those that wait."""
        waiting = self.waiting.get(active.request.request_id, [])
        if active in waiting:
            waiting.remove(active)

    def poll_holders(self, now: float) -> list[Effect]:
        """Ask the holders of claims for their answers; give up on the silent."""
        effects: list[Effect] = []
        for request_id, holder in list(self.holders.items()):
            if now - holder.heard > RESULT_SILENCE_S:
                effects += self.refuse_waiting(request_id, RefusalReason.OUTCOME_UNKNOWN, now)
            elif now >= holder.poll_at:
                holder.poll_at = now + RESULT_POLL_S
                age_s = now - min((row.arrived for row in self.waiting[request_id]), default=now)
                ask = ResultRequest(request_id, holder.attempt, age_s)
                effects += self.send_to(holder.host, ask)
        return effects

    def forget_holder(self, request_id: bytes) -> list[ActiveRequest]:
        """Stop asking a holder; return the requests that waited for it."""
        self.holders.pop(request_id, None)
        return self.waiting.pop(request_id, [])

    def refuse_waiting(self, request_id: bytes, reason: RefusalReason, now: float) -> list[Effect]:
        """Give every request that waits for a holder its final answer."""
        effects: list[Effect] = []
        for active in self.forget_holder(request_id):
            effects += self.outcomes.refuse(active, reason, now)
        return effects

    def on_result_reply(self, reply: ResultReply, now: float) -> list[Effect]:
        """Take a holder's word on a request."""
        holder = self.holders.get(reply.request_id)
        if holder is None or holder.attempt != reply.holder_attempt:
            return []
        holder.heard = now
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
            effects += self.outcomes.on_repeated(active, reply.answer)
        return effects

    def claim_again(self, waiting: list[ActiveRequest], released: int, now: float) -> list[Effect]:
        """Claim for the first of the waiting, in place of an attempt that was released."""
        if not waiting:
            return []
        effects = self.claim(waiting[0], now, supersedes=released)
        for active in waiting[1:]:
            effects += self.wait(active)
        return effects

    # As a witness, and as a holder

    def on_claim_request(self, sender: Address, request: ClaimRequest, now: float) -> list[Effect]:
        """Answer a runner as one of its witnesses."""
        reply = self.witness.ask(request, now)
        if request.lacks_history and self.history.is_complete(now):
            sets = self.history.witness_sets(request.service, request.request_id, now)
            former = tuple(WitnessSet(tuple(sorted(members))) for members in sets.members)
            reply = reply._replace(knows_history=True, former_sets=former)
        return [SendPeer(sender, reply)]

    def records_for(self, host_name: str, now: float) -> list[ClaimRecord]:
        """Return the claims that stand and of which a host should be a witness."""
        views = [
            self.history.current.view(service)
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
        """Tell another agent what became of a request claimed by this host."""
        current = self.claimant.rounds.get(request.request_id)
        claiming = current is not None and current.attempt == request.holder_attempt
        return [SendPeer(sender, self.runs.reply(sender, request, claiming, now))]

    # Time

    def advance(self, now: float) -> list[Effect]:
        """Repeat, end and expire what is due."""
        resend, finished = self.claimant.due(now)
        effects = self.ask_witnesses(resend, now)
        for each in finished:
            effects += self.conclude(each, now)
        effects += self.poll_holders(now)
        self.runs.expire(now)
        self.witness.expire(now, CLAIM_EXPIRY_BATCH)
        return effects
