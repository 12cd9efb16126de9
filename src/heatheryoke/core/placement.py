"""Placement of new flows: the first packet visits a few candidates, and the last one decides."""

from abc import ABC, abstractmethod
from collections import deque
from math import inf

from heatheryoke.core.messages import Visit
from heatheryoke.core.upstream_condition import IMPAIRED_LOAD
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Host

__all__ = ["MAXIMUM_VISITS", "LeastOfVisited", "Offers"]
__all__ += ["Placement", "SeenLoads"]

MAXIMUM_VISITS = 3
# Visits beyond the maximum while all visited hosts have an impaired upstream.
MORE_VISITS = 2


class Placement(ABC):
    """Decides, at each candidate in turn, whether to visit another or which host owns the flow."""

    @abstractmethod
    def next_candidate(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Return the candidate to visit next, None to decide now."""

    def choose(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Return the visited host with the least load, None if none has room."""
        usable = {name_hash(host.name): host for host in candidates}
        offers = [visit for visit in visited if visit.host_id in usable and visit.load < inf]
        if not offers:
            return None
        return usable[min(offers, key=lambda visit: visit.load).host_id]


class LeastOfVisited(Placement):
    """Visits up to `maximum` candidates by rank and chooses the least loaded."""

    def __init__(self, maximum: int = MAXIMUM_VISITS):
        self.maximum = maximum

    def next_candidate(self, candidates: list[Host], visited: tuple[Visit, ...]) -> Host | None:
        """Return the next host by rank; beyond the maximum only while no visited host has room.

        While the upstreams of all those with room are impaired, `MORE_VISITS` others are visited.
        """
        if len(visited) >= self.maximum and self.choose(candidates, visited) is not None:
            is_impaired = min(visit.load for visit in visited) >= IMPAIRED_LOAD
            if not is_impaired or len(visited) >= self.maximum + MORE_VISITS:
                return None
        seen = {visit.host_id for visit in visited}
        return next((host for host in candidates if name_hash(host.name) not in seen), None)


class Offers:
    """New flows that this host has recently offered to own; it gets a share of them.

    Without this count, flows that arrive together would all be placed at the same least loaded
    host.
    """

    def __init__(self, keep_s: float):
        self.keep_s = keep_s
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Record an offer."""
        self.times.append(now)

    def count(self, now: float) -> float:
        """Return the expected number of flows from the offers that are still open."""
        while self.times and now - self.times[0] > self.keep_s:
            self.times.popleft()
        return len(self.times) / MAXIMUM_VISITS


class SeenLoads:
    """Loads of other candidates, from the visits recorded in packets that passed this host."""

    def __init__(self, keep_s: float):
        self.keep_s = keep_s
        self.loads: dict[tuple[str, int], tuple[float, float]] = {}

    def note(self, service: str, visited: tuple[Visit, ...], now: float) -> None:
        """Record the loads that a new flow's packet carries."""
        for visit in visited:
            if visit.load < inf:
                self.loads[service, visit.host_id] = (visit.load, now)

    def mean(self, service: str, candidates: list[Host], now: float) -> float | None:
        """Return the mean of the loads seen recently, None if there are fewer than two."""
        seen = (self.loads.get((service, name_hash(host.name))) for host in candidates)
        recent = [entry[0] for entry in seen if entry and now - entry[1] < self.keep_s]
        return sum(recent) / len(recent) if len(recent) >= 2 else None
