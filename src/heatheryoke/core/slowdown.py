"""Tells a lasting slowdown of an upstream from the spread of its usual service times."""

from collections.abc import Iterable
from math import log

__all__ = ["FACTOR", "SlowdownTest"]

# The least slowdown to be found, as a factor of the usual service time.
FACTOR = 3.0
# One request that hangs says no more than so many usual service times; it may be alone.
LONGEST = 6.0
PER_SERVICE_TIME = 1 - 1 / FACTOR
PER_ANSWER = log(FACTOR)


class SlowdownTest:
    """A cumulative sum of log-likelihood ratios (Page's test), of service times in usual ones.

    Load pattern: an upstream with several requests in progress goes cold without a word. To wait
    for slow answers takes longer than it can bear, so the time spent on requests in progress
    counts too. Under exponential service times this is the quickest test for its rate of false
    alarms.
    """

    def __init__(self):
        self.total = 0.0
        self.lowest = 0.0

    def reset(self) -> None:
        """Forget all evidence."""
        self.total = self.lowest = 0.0

    def level(self, in_progress: Iterable[float]) -> float:
        """Return the sum so far, with the service times spent on requests in progress."""
        spent = sum(min(taken, LONGEST) for taken in in_progress)
        return self.total + PER_SERVICE_TIME * spent

    def add(self, took: float, in_progress: Iterable[float]) -> None:
        """Take in an answer; `took` and `in_progress` count usual service times."""
        self.total += PER_SERVICE_TIME * min(took, LONGEST) - PER_ANSWER
        self.lowest = min(self.lowest, self.level(in_progress))

    def evidence(self, in_progress: Iterable[float]) -> float:
        """Return how much more likely the slowdown is than none, as a natural logarithm."""
        return self.level(in_progress) - self.lowest
