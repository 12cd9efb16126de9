"""Limit on new flows to a cold upstream, counted exactly by the agent on its host."""

from collections import deque

__all__ = ["OpeningBudget"]

# The second for which a cold rate is set, plus a tenth for packets that arrive in bursts.
WINDOW_S = 1.1
# Larger than any rate that is set for a cold upstream.
MAXIMUM_TIMES = 4_096


class OpeningBudget:
    """Counts the new flows admitted within a sliding window against a rate.

    Load pattern: an upstream that has just started is the least loaded of all, so that every new
    flow would go there. The window is a little wider than the second for which the rate is set,
    since packets may arrive in bursts.
    """

    def __init__(self):
        self.times: deque[float] = deque(maxlen=MAXIMUM_TIMES)

    def spend(self, now: float) -> None:
        """Record that a new flow was admitted."""
        self.times.append(now)

    def allows(self, rate: float | None, now: float) -> bool:
        """Return whether one more flow is within `rate` flows per second; None sets no limit."""
        while self.times and now - self.times[0] >= WINDOW_S:
            self.times.popleft()
        return rate is None or len(self.times) < max(1, int(rate))
