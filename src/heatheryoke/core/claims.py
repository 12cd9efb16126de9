"""Claims: a non-idempotent request starts only after a majority of its witnesses granted it.

A claim is a lease on a request id. `Witness` stores the claims for which this host is a witness;
`Claimant` collects the majorities that this host needs before it runs a request.
"""

from collections.abc import Callable
from enum import Enum
from math import inf
from typing import NamedTuple

from heatheryoke.core.messages import (
    ClaimRecord,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
)

__all__ = ["CLAIM_LIFETIME_S", "CLAIM_ROUND_S", "ClaimRound", "Claimant", "Outcome"]
__all__ += ["Witness", "WitnessSets"]

CLAIM_LIFETIME_S = 300.0
CLAIM_ROUND_S = 1.0
CLAIM_RESEND_INTERVAL_S = 0.2
RECOVERY_DELAY_S = 2 * CLAIM_ROUND_S
# Runner and attempt of a contested claim, which no request can supersede.
NO_RUNNER = ""
CONTESTED_ATTEMPT = 0


class HeldClaim(NamedTuple):
    """A claim held at a witness; `is_vote` is true if this witness granted it itself.

    A claim learnt from another witness blocks other runners, but does not count as a vote for its
    own runner.
    """

    runner: str
    attempt: int
    expires: float
    is_vote: bool


class Witness:
    """Grants each request id to one runner for the lifetime of a claim.

    After a start, it grants nothing until the claims of the other witnesses have been read back,
    or until every claim that it may have lost has expired.
    """

    def __init__(self, host_name: str, started: float, lifetime_s: float = CLAIM_LIFETIME_S):
        self.host_name = host_name
        self.lifetime_s = lifetime_s
        self.claims: dict[bytes, HeldClaim] = {}
        self.recovering_until = started + lifetime_s

    def stop_granting(self) -> None:
        """Stop granting claims, because this process stops."""
        self.recovering_until = inf

    def is_recovering(self, now: float) -> bool:
        """Return whether claims granted before the start may be missing."""
        return now < self.recovering_until

    def finish_recovery(self, now: float) -> None:
        """End the recovery after the claims of all other witnesses have been read back."""
        self.recovering_until = min(self.recovering_until, now)

    def on_request(self, request: ClaimRequest, now: float) -> ClaimReply:
        """Grant a claim, or reply with the claim that is held."""
        held = self.claims.get(request.request_id)
        if held is not None and held.expires <= now:
            held = None
        if held is not None and not self.can_replace(held, request):
            is_same_attempt = held[:2] == (request.runner, request.attempt)
            verdict = ClaimVerdict.RECOVERING if is_same_attempt else ClaimVerdict.HELD
            return self.reply(request, verdict, held)
        if held is None and self.is_recovering(now):
            return self.reply(request, ClaimVerdict.RECOVERING, None)
        held = HeldClaim(request.runner, request.attempt, now + self.lifetime_s, True)
        self.claims.pop(request.request_id, None)
        self.claims[request.request_id] = held
        return self.reply(request, ClaimVerdict.GRANTED, held)

    def can_replace(self, held: HeldClaim, request: ClaimRequest) -> bool:
        """Return whether a request repeats a granted claim or supersedes a released attempt."""
        if held.is_vote and held[:2] == (request.runner, request.attempt):
            return True
        return held.attempt == request.supersedes != CONTESTED_ATTEMPT

    def reply(
        self, request: ClaimRequest, verdict: ClaimVerdict, held: HeldClaim | None
    ) -> ClaimReply:
        """Return a reply that names the holder of the claim, if any."""
        holder, attempt = (held.runner, held.attempt) if held else ("", 0)
        return ClaimReply(
            request.request_id, self.host_name, request.attempt, verdict, holder, attempt
        )

    def release(self, release: ClaimRelease) -> None:
        """Remove a claim whose attempt was never started."""
        held = self.claims.get(release.request_id)
        if held is not None and held.attempt == release.attempt:
            del self.claims[release.request_id]

    def accept(self, record: ClaimRecord, now: float) -> bool:
        """Store a claim of another witness; return False if this one has granted a different one.

        In that case, the witness that hands over must keep its claim, since either claim might
        have a majority. If two different claims were learnt from others, the request id is
        contested and granted to neither runner.
        """
        held = self.claims.get(record.request_id)
        expires = now + record.remaining_s
        if held is None or held.expires <= now:
            learnt = HeldClaim(record.runner, record.attempt, expires, False)
            self.claims[record.request_id] = learnt
            return True
        is_same_attempt = held[:2] == (record.runner, record.attempt)
        if held.is_vote or is_same_attempt:
            return is_same_attempt
        contested = HeldClaim(NO_RUNNER, CONTESTED_ATTEMPT, max(expires, held.expires), False)
        self.claims[record.request_id] = contested
        return True

    def records(self, now: float) -> list[ClaimRecord]:
        """Return the unexpired claims, for a witness that lost its own."""
        return [
            ClaimRecord(request_id, held.runner, held.attempt, held.expires - now)
            for request_id, held in self.claims.items()
            if held.expires > now
        ]

    def expire(self, now: float, limit: int) -> int:
        """Remove up to `limit` expired claims, oldest first, and return how many."""
        dropped = 0
        while self.claims and dropped < limit:
            request_id, held = next(iter(self.claims.items()))
            if held.expires > now:
                break
            del self.claims[request_id]
            dropped += 1
        return dropped


class WitnessSets(NamedTuple):
    """The witnesses of a request id in each known epoch within a claim's lifetime.

    `is_complete` is true if every epoch in force during that time is known.
    """

    members: list[frozenset[str]]
    is_complete: bool


class Outcome(Enum):
    """The result of a claim round."""

    GRANTED = "granted"
    HELD = "held by another"
    UNAVAILABLE = "no majority"


class ClaimRound:
    """One attempt to collect a majority in every witness set."""

    __slots__ = (
        "attempt",
        "granted",
        "holders",
        "lacks_history",
        "request_id",
        "resend_at",
        "service",
        "sets",
        "started",
        "supersedes",
    )

    def __init__(
        self,
        service: str,
        request_id: bytes,
        attempt: int,
        sets: WitnessSets,
        now: float,
        supersedes: int,
    ):
        self.service = service
        self.request_id = request_id
        self.attempt = attempt
        self.sets = list(sets.members)
        self.lacks_history = not sets.is_complete
        self.supersedes = supersedes
        self.started = now
        self.resend_at = now + CLAIM_RESEND_INTERVAL_S
        self.granted: set[str] = set()
        self.holders: dict[str, tuple[str, int]] = {}

    def witnesses(self) -> set[str]:
        """Return the witnesses of all sets."""
        return set().union(*self.sets)

    def smallest_majority(self, own: str, avoid: Callable[[str], bool]) -> set[str]:
        """Return enough witnesses for a majority of each set, those to avoid only if needed."""
        chosen: set[str] = set()
        for members in self.sets:
            ranked = sorted(members, key=lambda name: (avoid(name), name != own, name))
            needed = len(members) // 2 + 1 - len(chosen & members)
            chosen.update([name for name in ranked if name not in chosen][: max(0, needed)])
        return chosen

    def has_majority(self) -> bool:
        """Return whether all witness sets are known and a majority of each has granted."""
        if self.lacks_history:
            return False
        return all(2 * len(self.granted & members) > len(members) for members in self.sets)

    def add_former_sets(self, reply: ClaimReply) -> bool:
        """Add the witness sets of former epochs from a reply; return whether it had them."""
        if not self.lacks_history or not reply.knows_history:
            return False
        self.lacks_history = False
        former = [frozenset(witness_set.hosts) for witness_set in reply.former_sets]
        self.sets += [members for members in former if members not in self.sets]
        return True

    def winning_holder(self, runner: str) -> tuple[str, int] | None:
        """Return the holder that this attempt loses to, or None while it may still win."""
        if not self.holders:
            return None
        holder, attempt = max(self.holders.values(), key=lambda held: (-held[1], held[0]))
        blocked = any(2 * len(members - set(self.holders)) <= len(members) for members in self.sets)
        if blocked or (attempt, holder) < (self.attempt, runner):
            return holder, attempt
        return None


class RoundResult(NamedTuple):
    """The end of a claim round; `holder` and `holder_attempt` are set if another host holds it."""

    request_id: bytes
    attempt: int
    outcome: Outcome
    holder: str = ""
    holder_attempt: int = 0


class Claimant:
    """The open claim rounds of this host; a round ends after `CLAIM_ROUND_S` at the latest."""

    def __init__(self, host_name: str, incarnation: int):
        self.host_name = host_name
        self.last_attempt = incarnation
        self.rounds: dict[bytes, ClaimRound] = {}

    def begin(
        self,
        service: str,
        request_id: bytes,
        sets: WitnessSets,
        now: float,
        supersedes: int = 0,
    ) -> ClaimRound:
        """Start a round with a new attempt number."""
        self.last_attempt += 1
        claim_round = ClaimRound(service, request_id, self.last_attempt, sets, now, supersedes)
        self.rounds[request_id] = claim_round
        return claim_round

    def claim_requests(self, claim_round: ClaimRound) -> list[tuple[str, ClaimRequest]]:
        """Return the claim requests to the witnesses that have not granted yet."""
        request = ClaimRequest(
            claim_round.service,
            claim_round.request_id,
            self.host_name,
            claim_round.attempt,
            claim_round.supersedes,
            claim_round.lacks_history,
        )
        missing = claim_round.witnesses() - claim_round.granted
        return [(witness, request) for witness in sorted(missing)]

    def first_claim_requests(
        self, claim_round: ClaimRound, avoid: Callable[[str], bool]
    ) -> list[tuple[str, ClaimRequest]]:
        """Return the first claim requests, to no more witnesses than a majority needs."""
        chosen = claim_round.smallest_majority(self.host_name, avoid)
        return [
            (witness, request)
            for witness, request in self.claim_requests(claim_round)
            if witness in chosen
        ]

    def on_reply(self, reply: ClaimReply, now: float) -> RoundResult | None:
        """Process a witness's reply; return the result if it ends the round."""
        claim_round = self.rounds.get(reply.request_id)
        if claim_round is None or claim_round.attempt != reply.attempt:
            return None
        if now - claim_round.started > CLAIM_ROUND_S:
            return self.end(claim_round, Outcome.UNAVAILABLE)
        if claim_round.add_former_sets(reply):
            claim_round.resend_at = now
        if reply.verdict is ClaimVerdict.GRANTED:
            claim_round.granted.add(reply.witness)
            claim_round.holders.pop(reply.witness, None)
            return self.end(claim_round, Outcome.GRANTED) if claim_round.has_majority() else None
        if reply.verdict is ClaimVerdict.HELD:
            claim_round.holders[reply.witness] = (reply.holder, reply.holder_attempt)
            winner = claim_round.winning_holder(self.host_name)
            return self.end(claim_round, Outcome.HELD, *winner) if winner else None
        return None

    def end(
        self, claim_round: ClaimRound, outcome: Outcome, holder: str = "", holder_attempt: int = 0
    ) -> RoundResult:
        """Close a round."""
        del self.rounds[claim_round.request_id]
        return RoundResult(
            claim_round.request_id, claim_round.attempt, outcome, holder, holder_attempt
        )

    def due(self, now: float) -> tuple[list[tuple[str, ClaimRequest]], list[RoundResult]]:
        """Return the claim requests to resend, and the rounds that have timed out."""
        resend: list[tuple[str, ClaimRequest]] = []
        results: list[RoundResult] = []
        for claim_round in list(self.rounds.values()):
            if now - claim_round.started > CLAIM_ROUND_S:
                results.append(self.end(claim_round, Outcome.UNAVAILABLE))
            elif now >= claim_round.resend_at:
                claim_round.resend_at = now + CLAIM_RESEND_INTERVAL_S
                resend += self.claim_requests(claim_round)
        return resend, results
