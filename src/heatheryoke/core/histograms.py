"""Histograms that are cheap enough to update for every packet."""

from bisect import bisect_left

__all__ = ["WAIT_BUCKETS_S", "Histogram"]

WAIT_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Histogram:
    """Counts values by the first bound that they do not exceed; the last bucket has no bound."""

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: tuple[float, ...] = WAIT_BUCKETS_S):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def cumulative(self) -> list[tuple[str, int]]:
        """Return each bound with the number of values that do not exceed it."""
        buckets, total_count = [], 0
        for bound, count in zip((*map(str, self.bounds), "+Inf"), self.counts, strict=True):
            total_count += count
            buckets.append((bound, total_count))
        return buckets
