"""How many new flows a cold upstream is given: counted exactly, beside it."""

from collections import deque

__all__ = ["OpeningBudget"]

# The second that a cold rate is meant for, and a tenth for packets that bunch up on their way.
WINDOW_S = 1.1
# More than any rate that is set for a cold upstream.
MAXIMUM_TIMES = 4_096


class OpeningBudget:
    """New flows given within the last window, against a rate.

    Load pattern: an upstream that has just started is the least loaded of all, so that every new
    flow would go there. The window slides, and is a little wider than the second for which the
    rate is meant, since packets may bunch up on their way.
    """

    def __init__(self):
        self.times: deque[float] = deque(maxlen=MAXIMUM_TIMES)

    def spend(self, now: float) -> None:
        """Note that a new flow was given."""
        self.times.append(now)

    def allows(self, rate: float | None, now: float) -> bool:
        """Tell whether one more flow may be given at so many a second; None sets no limit."""
        while self.times and now - self.times[0] >= WINDOW_S:
            self.times.popleft()
        return rate is None or len(self.times) < max(1, int(rate))
