"""Detection of a lasting slowdown of an upstream, despite the spread of its service times."""

from collections.abc import Iterable
from math import log

__all__ = ["SLOWDOWN_FACTOR", "SlowdownTest"]

# Smallest slowdown to detect, as a factor of the usual service time.
SLOWDOWN_FACTOR = 3.0
# Limit on the time counted per request, in usual service times: one may hang without a slowdown.
MAXIMUM_TIME = 6.0
LOG_RATIO_PER_SERVICE_TIME = 1 - 1 / SLOWDOWN_FACTOR
LOG_RATIO_PER_ANSWER = log(SLOWDOWN_FACTOR)


class SlowdownTest:
    """A cumulative sum of log-likelihood ratios of service times (Page's test).

    All times are multiples of the usual service time.

    Load pattern: an upstream with several requests in progress goes cold without notice. Waiting
    for slow answers takes longer than the upstream can sustain, so the time spent on requests in
    progress counts too. With exponential service times this is the quickest test for its rate of
    false alarms.
    """

    def __init__(self):
        self.total = 0.0
        self.lowest = 0.0

    def reset(self) -> None:
        """Reset the sum and its minimum."""
        self.total = self.lowest = 0.0

    def level(self, in_progress: Iterable[float]) -> float:
        """Return the sum so far, including the time spent on requests in progress."""
        spent = sum(min(time, MAXIMUM_TIME) for time in in_progress)
        return self.total + LOG_RATIO_PER_SERVICE_TIME * spent

    def add(self, took: float, in_progress: Iterable[float]) -> None:
        """Add the service time of an answered request and update the lowest sum."""
        self.total += LOG_RATIO_PER_SERVICE_TIME * min(took, MAXIMUM_TIME) - LOG_RATIO_PER_ANSWER
        self.lowest = min(self.lowest, self.level(in_progress))

    def log_likelihood_ratio(self, in_progress: Iterable[float]) -> float:
        """Return the natural logarithm of the likelihood ratio of a slowdown to none."""
        return self.level(in_progress) - self.lowest
