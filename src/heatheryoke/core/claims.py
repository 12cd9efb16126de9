"""Claims: a non-idempotent request starts only once most of its witnesses have let it.

A claim is a lease on a request id. `Witness` keeps the claims for which this host is a witness;
`Claimant` gathers the majorities that this host needs before it runs a request.
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

__all__ = ["CLAIM_LIFETIME_S", "CLAIM_ROUND_S", "Claimant", "Outcome", "Round"]
__all__ += ["Witness", "WitnessSets"]

CLAIM_LIFETIME_S = 300.0
CLAIM_ROUND_S = 1.0
CLAIM_RESEND_S = 0.2
RECOVERY_DELAY_S = 2 * CLAIM_ROUND_S
NOBODY = ""
CONTESTED = 0


class Held(NamedTuple):
    """A claim that stands; `is_vote` tells that this witness granted it itself.

    A claim known from another witness keeps other runners out but is no vote for its own.
    """

    runner: str
    attempt: int
    expires: float
    is_vote: bool


class Witness:
    """Grants each request id to one runner for the lifetime of a claim.

    After a start it grants nothing until the other witnesses' claims were read back, or until
    every claim that it may have forgotten is over.
    """

    def __init__(self, host_name: str, started: float, lifetime_s: float = CLAIM_LIFETIME_S):
        self.host_name = host_name
        self.lifetime_s = lifetime_s
        self.claims: dict[bytes, Held] = {}
        self.recovering_until = started + lifetime_s

    def close(self) -> None:
        """Grant nothing more, since this process stops."""
        self.recovering_until = inf

    def is_recovering(self, now: float) -> bool:
        """Tell whether claims may be missing."""
        return now < self.recovering_until

    def recovered(self, now: float) -> None:
        """Note that every other witness's claims have been read back."""
        self.recovering_until = min(self.recovering_until, now)

    def ask(self, request: ClaimRequest, now: float) -> ClaimReply:
        """Grant a claim, or name the one that stands."""
        held = self.claims.get(request.request_id)
        if held is not None and held.expires <= now:
            held = None
        if held is not None and not self.may_replace(held, request):
            same = held[:2] == (request.runner, request.attempt)
            verdict = ClaimVerdict.RECOVERING if same else ClaimVerdict.HELD
            return self.reply(request, verdict, held)
        if held is None and self.is_recovering(now):
            return self.reply(request, ClaimVerdict.RECOVERING, None)
        held = Held(request.runner, request.attempt, now + self.lifetime_s, True)
        self.claims.pop(request.request_id, None)
        self.claims[request.request_id] = held
        return self.reply(request, ClaimVerdict.GRANTED, held)

    def may_replace(self, held: Held, request: ClaimRequest) -> bool:
        """Tell whether a claim that stands is the one asked for, or one known to be released."""
        if held.is_vote and held[:2] == (request.runner, request.attempt):
            return True
        return held.attempt == request.supersedes != CONTESTED

    def reply(self, request: ClaimRequest, verdict: ClaimVerdict, held: Held | None) -> ClaimReply:
        """Return a reply that names the claim that stands."""
        holder, attempt = (held.runner, held.attempt) if held else ("", 0)
        return ClaimReply(
            request.request_id, self.host_name, request.attempt, verdict, holder, attempt
        )

    def release(self, release: ClaimRelease) -> None:
        """Forget a claim whose attempt was never started."""
        held = self.claims.get(release.request_id)
        if held is not None and held.attempt == release.attempt:
            del self.claims[release.request_id]

    def accept(self, record: ClaimRecord, now: float) -> bool:
        """Hold a claim known from another witness; False if this one has granted another.

        A witness that hands over must not forget its claim then: both might be part of a majority.
        Where two different claims are known, neither runner is let through.
        """
        held = self.claims.get(record.request_id)
        expires = now + record.remaining_s
        if held is None or held.expires <= now:
            known = Held(record.runner, record.attempt, expires, False)
            self.claims[record.request_id] = known
            return True
        same = held[:2] == (record.runner, record.attempt)
        if held.is_vote or same:
            return same
        contested = Held(NOBODY, CONTESTED, max(expires, held.expires), False)
        self.claims[record.request_id] = contested
        return True

    def records(self, now: float) -> list[ClaimRecord]:
        """Return the claims that stand, for a witness that lost its own."""
        return [
            ClaimRecord(request_id, held.runner, held.attempt, held.expires - now)
            for request_id, held in self.claims.items()
            if held.expires > now
        ]

    def expire(self, now: float, limit: int) -> int:
        """Drop claims that are over, oldest first; return how many were dropped."""
        dropped = 0
        while self.claims and dropped < limit:
            request_id, held = next(iter(self.claims.items()))
            if held.expires > now:
                break
            del self.claims[request_id]
            dropped += 1
        return dropped


class WitnessSets(NamedTuple):
    """The witnesses of a request id in every epoch known to count.

    `is_complete` tells that these are all epochs in force during a claim's lifetime.
    """

    members: list[frozenset[str]]
    is_complete: bool


class Outcome(Enum):
    """How a round of claims ended."""

    GRANTED = "granted"
    HELD = "held by another"
    UNAVAILABLE = "no majority"


class Round:
    """One attempt to gather a majority of every witness set that counts."""

    __slots__ = (
        "attempt",
        "granted",
        "held_by",
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
        self.resend_at = now + CLAIM_RESEND_S
        self.granted: set[str] = set()
        self.held_by: dict[str, tuple[str, int]] = {}

    def witnesses(self) -> set[str]:
        """Return every witness that may answer."""
        return set().union(*self.sets)

    def smallest_majority(self, own: str, avoid: Callable[[str], bool]) -> set[str]:
        """Return witnesses enough for a majority of each set, without those to avoid if it can."""
        chosen: set[str] = set()
        for members in self.sets:
            ranked = sorted(members, key=lambda name: (avoid(name), name != own, name))
            needed = len(members) // 2 + 1 - len(chosen & members)
            chosen.update([name for name in ranked if name not in chosen][: max(0, needed)])
        return chosen

    def has_majority(self) -> bool:
        """Tell whether most of each set have granted, and all sets are known."""
        if self.lacks_history:
            return False
        return all(2 * len(self.granted & members) > len(members) for members in self.sets)

    def learn(self, reply: ClaimReply) -> bool:
        """Take the witness sets of former epochs from a reply; tell whether it had them."""
        if not self.lacks_history or not reply.knows_history:
            return False
        self.lacks_history = False
        former = [frozenset(row.hosts) for row in reply.former_sets]
        self.sets += [members for members in former if members not in self.sets]
        return True

    def lost_to(self, runner: str) -> tuple[str, int] | None:
        """Return the holder to give way to, None while this attempt may still win."""
        if not self.held_by:
            return None
        holder, attempt = max(self.held_by.values(), key=lambda held: (-held[1], held[0]))
        blocked = any(2 * len(members - set(self.held_by)) <= len(members) for members in self.sets)
        if blocked or (attempt, holder) < (self.attempt, runner):
            return holder, attempt
        return None


class Finished(NamedTuple):
    """A round that has ended; `holder` and `holder_attempt` are set when held by another."""

    request_id: bytes
    attempt: int
    outcome: Outcome
    holder: str = ""
    holder_attempt: int = 0


class Claimant:
    """The rounds that this host has open; a round ends within `CLAIM_ROUND_S`."""

    def __init__(self, host_name: str, incarnation: int):
        self.host_name = host_name
        self.last_attempt = incarnation
        self.rounds: dict[bytes, Round] = {}

    def begin(
        self,
        service: str,
        request_id: bytes,
        sets: WitnessSets,
        now: float,
        supersedes: int = 0,
    ) -> Round:
        """Open a round under a new attempt number."""
        self.last_attempt += 1
        opened = Round(service, request_id, self.last_attempt, sets, now, supersedes)
        self.rounds[request_id] = opened
        return opened

    def asks(self, current: Round) -> list[tuple[str, ClaimRequest]]:
        """Return what to ask of the witnesses that have not granted."""
        ask = ClaimRequest(
            current.service,
            current.request_id,
            self.host_name,
            current.attempt,
            current.supersedes,
            current.lacks_history,
        )
        silent = current.witnesses() - current.granted
        return [(witness, ask) for witness in sorted(silent)]

    def first_asks(
        self, current: Round, avoid: Callable[[str], bool]
    ) -> list[tuple[str, ClaimRequest]]:
        """Return what to ask at first: no more witnesses than a majority needs."""
        chosen = current.smallest_majority(self.host_name, avoid)
        return [(witness, ask) for witness, ask in self.asks(current) if witness in chosen]

    def on_reply(self, reply: ClaimReply, now: float) -> Finished | None:
        """Take a witness's answer; return how the round ended if it did."""
        current = self.rounds.get(reply.request_id)
        if current is None or current.attempt != reply.attempt:
            return None
        if now - current.started > CLAIM_ROUND_S:
            return self.end(current, Outcome.UNAVAILABLE)
        if current.learn(reply):
            current.resend_at = now
        if reply.verdict is ClaimVerdict.GRANTED:
            current.granted.add(reply.witness)
            current.held_by.pop(reply.witness, None)
            return self.end(current, Outcome.GRANTED) if current.has_majority() else None
        if reply.verdict is ClaimVerdict.HELD:
            current.held_by[reply.witness] = (reply.holder, reply.holder_attempt)
            lost = current.lost_to(self.host_name)
            return self.end(current, Outcome.HELD, *lost) if lost else None
        return None

    def end(
        self, current: Round, outcome: Outcome, holder: str = "", holder_attempt: int = 0
    ) -> Finished:
        """Close a round."""
        del self.rounds[current.request_id]
        return Finished(current.request_id, current.attempt, outcome, holder, holder_attempt)

    def due(self, now: float) -> tuple[list[tuple[str, ClaimRequest]], list[Finished]]:
        """Return the requests to send again, and the rounds that ran out of time."""
        resend: list[tuple[str, ClaimRequest]] = []
        finished: list[Finished] = []
        for current in list(self.rounds.values()):
            if now - current.started > CLAIM_ROUND_S:
                finished.append(self.end(current, Outcome.UNAVAILABLE))
            elif now >= current.resend_at:
                current.resend_at = now + CLAIM_RESEND_S
                resend += self.asks(current)
        return resend, finished
