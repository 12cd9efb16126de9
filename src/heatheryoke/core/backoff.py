"""Exponential backoff with jitter, for repeating failed calls."""

from collections.abc import Callable

__all__ = ["Backoff"]

# Initial delay: 50 times the usual response time of the store (4 ms).
INITIAL_DELAY_S = 0.2
# Maximum delay: the usual interval of a watch, so that the store's return is noticed as soon as
# a change would be.
MAXIMUM_DELAY_S = 1.6


class Backoff:
    """Delays that double with each failure, with jitter so that a fleet does not call in step.

    Load pattern: all processes of a fleet lose the store at the same moment and regain it at the
    same moment. Each call counts against the store's call limit, even if it is refused.
    """

    def __init__(self, draw: Callable[[], float]):
        self.draw = draw
        self.failures = 0

    def succeed(self) -> None:
        """Reset to the initial delay."""
        self.failures = 0

    def fail(self) -> float:
        """Return the delay after one more failure, in seconds."""
        limit_s = min(MAXIMUM_DELAY_S, INITIAL_DELAY_S * 2 ** min(self.failures, 10))
        self.failures += 1
        return limit_s * (0.5 + 0.5 * self.draw())
