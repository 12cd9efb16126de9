"""What this host knows of the non-idempotent requests that it was to run."""

from collections import OrderedDict
from typing import NamedTuple

from heatheryoke.core.messages import ResultReply, ResultRequest, ResultState
from heatheryoke.inventory.model import Address

__all__ = ["Run", "Runs"]


class Run(NamedTuple):
    """One claimed request; `waiters` are agents that asked for its answer."""

    attempt: int
    state: ResultState
    answer: bytes
    expires: float
    waiters: frozenset[Address] = frozenset()


class Released(NamedTuple):
    """An attempt given up before its start; `refused` tells that its caller was told so."""

    at: float
    refused: bool


class Runs:
    """Runs by request id, and the attempts that were given up before they started.

    Both are kept for the lifetime of a claim, in order of age.
    """

    def __init__(self, lifetime_s: float):
        self.lifetime_s = lifetime_s
        self.runs: OrderedDict[bytes, Run] = OrderedDict()
        self.released: OrderedDict[tuple[bytes, int], Released] = OrderedDict()

    def find(self, request_id: bytes) -> Run | None:
        """Return the run of a request id."""
        return self.runs.get(request_id)

    def start(self, request_id: bytes, attempt: int, now: float) -> None:
        """Note that a claim was granted to this host."""
        self.runs[request_id] = Run(attempt, ResultState.PENDING, b"", now + self.lifetime_s)

    def answer(self, request_id: bytes, answer: bytes) -> frozenset[Address]:
        """Keep the upstream's answer; return the agents that wait for it."""
        run = self.runs.get(request_id)
        if run is None:
            return frozenset()
        settled = run._replace(state=ResultState.ANSWERED, answer=answer, waiters=frozenset())
        self.runs[request_id] = settled
        return run.waiters

    def lose(self, request_id: bytes) -> frozenset[Address]:
        """Note that a started request's outcome will never be known; return those that wait."""
        run = self.runs[request_id]
        self.runs[request_id] = run._replace(state=ResultState.UNKNOWN, waiters=frozenset())
        return run.waiters

    def release(
        self, request_id: bytes, attempt: int, refused: bool, now: float
    ) -> frozenset[Address]:
        """Note that an attempt will never start; return the agents that wait for it."""
        self.released[request_id, attempt] = Released(now, refused)
        run = self.runs.get(request_id)
        if run is None or run.attempt != attempt:
            return frozenset()
        del self.runs[request_id]
        return run.waiters

    def reply(
        self, asker: Address, request: ResultRequest, claiming: bool, now: float
    ) -> ResultReply:
        """Tell an agent what became of an attempt; it is told again when there is an answer."""
        request_id, attempt, age_s = request
        run = self.runs.get(request_id)
        if run is not None and run.attempt == attempt:
            if run.state is ResultState.PENDING:
                self.runs[request_id] = run._replace(waiters=run.waiters | {asker})
            return ResultReply(request_id, attempt, run.state, run.answer)
        released = self.released.get((request_id, attempt))
        if released is not None:
            asked_before = released.refused and now - age_s <= released.at
            state = ResultState.REFUSED if asked_before else ResultState.RELEASED
            return ResultReply(request_id, attempt, state, b"")
        state = ResultState.PENDING if claiming else ResultState.UNKNOWN
        return ResultReply(request_id, attempt, state, b"")

    def expire(self, now: float) -> None:
        """Drop what is older than a claim's lifetime."""
        while self.runs and next(iter(self.runs.values())).expires <= now:
            self.runs.popitem(last=False)
        oldest = now - self.lifetime_s
        while self.released and next(iter(self.released.values())).at <= oldest:
            self.released.popitem(last=False)
