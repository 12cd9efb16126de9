"""State of the non-idempotent requests whose claims this host was granted."""

from collections import OrderedDict
from typing import NamedTuple

from heatheryoke.core.messages import ResultReply, ResultRequest, ResultState
from heatheryoke.inventory.model import Address

__all__ = ["Run", "Runs"]


class Run(NamedTuple):
    """A claimed request; `waiters` are the agents that asked for its answer."""

    attempt: int
    state: ResultState
    answer: bytes
    expires: float
    waiters: frozenset[Address] = frozenset()


class ReleasedAttempt(NamedTuple):
    """An attempt released before its start; `refused` is true if its caller was refused."""

    released_at: float
    refused: bool


class Runs:
    """Runs by request id, and attempts that were released before they started.

    Both are kept for the lifetime of a claim, oldest first.
    """

    def __init__(self, lifetime_s: float):
        self.lifetime_s = lifetime_s
        self.runs: OrderedDict[bytes, Run] = OrderedDict()
        self.released: OrderedDict[tuple[bytes, int], ReleasedAttempt] = OrderedDict()

    def find(self, request_id: bytes) -> Run | None:
        """Return the run of a request id, or None."""
        return self.runs.get(request_id)

    def start(self, request_id: bytes, attempt: int, now: float) -> None:
        """Record a run whose claim was granted to this host."""
        self.runs[request_id] = Run(attempt, ResultState.PENDING, b"", now + self.lifetime_s)

    def answer(self, request_id: bytes, answer: bytes) -> frozenset[Address]:
        """Store the upstream's answer and return the agents that wait for it."""
        run = self.runs.get(request_id)
        if run is None:
            return frozenset()
        answered = run._replace(state=ResultState.ANSWERED, answer=answer, waiters=frozenset())
        self.runs[request_id] = answered
        return run.waiters

    def mark_unknown(self, request_id: bytes) -> frozenset[Address]:
        """Mark the outcome of a run as unknown and return the agents that wait for it."""
        run = self.runs[request_id]
        self.runs[request_id] = run._replace(state=ResultState.UNKNOWN, waiters=frozenset())
        return run.waiters

    def release(
        self, request_id: bytes, attempt: int, refused: bool, now: float
    ) -> frozenset[Address]:
        """Record that an attempt will never start and return the agents that wait for it."""
        self.released[request_id, attempt] = ReleasedAttempt(now, refused)
        run = self.runs.get(request_id)
        if run is None or run.attempt != attempt:
            return frozenset()
        del self.runs[request_id]
        return run.waiters

    def reply(
        self, sender: Address, request: ResultRequest, is_claiming: bool, now: float
    ) -> ResultReply:
        """Return the state of an attempt.

        The sender is added to the waiters of a pending run. A refusal is reported only for requests
        that arrived before it; for later ones the attempt is only released.
        """
        request_id, attempt, age_s = request
        run = self.runs.get(request_id)
        if run is not None and run.attempt == attempt:
            if run.state is ResultState.PENDING:
                self.runs[request_id] = run._replace(waiters=run.waiters | {sender})
            return ResultReply(request_id, attempt, run.state, run.answer)
        released = self.released.get((request_id, attempt))
        if released is not None:
            arrived_before_refusal = released.refused and now - age_s <= released.released_at
            state = ResultState.REFUSED if arrived_before_refusal else ResultState.RELEASED
            return ResultReply(request_id, attempt, state, b"")
        state = ResultState.PENDING if is_claiming else ResultState.UNKNOWN
        return ResultReply(request_id, attempt, state, b"")

    def expire(self, now: float) -> None:
        """Remove runs and released attempts older than a claim's lifetime."""
        while self.runs and next(iter(self.runs.values())).expires <= now:
            self.runs.popitem(last=False)
        cutoff = now - self.lifetime_s
        while self.released and next(iter(self.released.values())).released_at <= cutoff:
            self.released.popitem(last=False)
