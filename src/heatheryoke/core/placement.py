"""Where a new flow goes: its first packet passes a few candidates, and the last decides."""

from abc import ABC, abstractmethod
from math import inf

from heatheryoke.core.messages import Visit
from heatheryoke.inventory.checks import short_id
from heatheryoke.inventory.document import Host

__all__ = ["MAXIMUM_VISITS", "FirstCandidate", "LeastOfVisited", "Placement"]

MAXIMUM_VISITS = 3


class Placement(ABC):
    """Decides, at each candidate in turn, whether to ask another or which host takes the flow."""

    @abstractmethod
    def next_candidate(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Return the candidate to ask next, None to decide now."""

    def choose(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Return the visited host with the least load, None if none has room."""
        usable = {short_id(host.name): host for host in candidates}
        offers = [visit for visit in visited if visit.host_id in usable and visit.load < inf]
        if not offers:
            return None
        return usable[min(offers, key=lambda visit: visit.load).host_id]


class LeastOfVisited(Placement):
    """Visits up to `maximum` candidates by rank and takes the least loaded."""

    def __init__(self, maximum: int = MAXIMUM_VISITS):
        self.maximum = maximum

    def next_candidate(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Return the next host by rank; beyond the maximum only while none has room."""
        if len(visited) >= self.maximum and self.choose(candidates, visited) is not None:
            return None
        seen = {visit.host_id for visit in visited}
        return next((host for host in candidates if short_id(host.name) not in seen), None)


class FirstCandidate(Placement):
    """Takes the first candidate by rank: plain rendezvous hashing."""

    def next_candidate(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Move on only from hosts without room."""
        if self.choose(candidates, visited) is not None:
            return None
        seen = {visit.host_id for visit in visited}
        return next((host for host in candidates if short_id(host.name) not in seen), None)
