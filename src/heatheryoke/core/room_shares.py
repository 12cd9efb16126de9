"""Shares of an upstream's room for the kinds of request that compete for it.

Load pattern: one kind of request arrives at two or three times its usual rate for some seconds,
while a release or a withdrawal has taken a part of the upstreams. By priority alone the burst would
take all the room and the other kinds would starve. So a kind that has had more than its share of
the recent work yields to the kinds that wait and have had less.

Shares only order what waits: as long as nothing else waits, a kind gets all the room. The requests
of open flows cannot be held back, but they count, so new flows of their kind yield.
"""

from math import exp

from heatheryoke.core.service_times import ServiceTimes

__all__ = ["RoomShares"]

# Time in which past work loses its weight: a burst pays for itself, and is forgotten with the
# longest time that a caller waits (1.1 s).
MEMORY_S = 1.0
# Weight of a kind in proportion to one that is less urgent by one.
WEIGHT_PER_PRIORITY = 2.0


class KindUse:
    """The recent work of one kind, in seconds of one slot, as of `updated_at`."""

    __slots__ = ("times", "updated_at", "work_s")

    def __init__(self, now: float):
        self.times = ServiceTimes()
        self.work_s = 0.0
        self.updated_at = now

    def work_at(self, now: float) -> float:
        """Return the recent work, discounted by its age."""
        return self.work_s * exp((self.updated_at - now) / MEMORY_S)

    def add(self, work_s: float, now: float) -> None:
        """Add work that begins now."""
        self.work_s = self.work_at(now) + work_s
        self.updated_at = now


class RoomShares:
    """Recent work by kind; a kind is a route's name."""

    def __init__(self):
        self.kinds: dict[str, KindUse] = {}

    def note_request(self, kind: str, target_latency_s: float, now: float) -> None:
        """Record that a request of a kind begins, with its expected work."""
        use = self.kinds.get(kind)
        if use is None:
            use = self.kinds[kind] = KindUse(now)
        use.add(use.times.expected(target_latency_s), now)

    def note_answer(self, kind: str, took_s: float) -> None:
        """Record how long a request that found a free slot took."""
        if kind in self.kinds:
            self.kinds[kind].times.add(took_s)

    def retain(self, kinds: set[str]) -> None:
        """Forget the kinds that the configuration no longer has."""
        self.kinds = {kind: use for kind, use in self.kinds.items() if kind in kinds}

    def over_share(self, waiting: dict[str, int], now: float) -> set[str]:
        """Return the waiting kinds that have had more than their share of the work of all these.

        `waiting` holds the priority of each kind that asks for room, 0 for the most urgent. The
        shares are of what these kinds have had, since the others leave theirs to them.
        """
        weights = {kind: WEIGHT_PER_PRIORITY**-priority for kind, priority in waiting.items()}
        work = {kind: self.recent_work(kind, now) for kind in waiting}
        total_weight, total_work = sum(weights.values()), sum(work.values())
        return {kind for kind in waiting if work[kind] * total_weight > weights[kind] * total_work}

    def recent_work(self, kind: str, now: float) -> float:
        """Return the recent work of a kind, in seconds of one slot."""
        use = self.kinds.get(kind)
        return use.work_at(now) if use else 0.0
