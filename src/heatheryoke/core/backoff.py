"""When a failed call is tried again."""

from collections.abc import Callable

__all__ = ["Backoff"]

# The first wait (s): fifty answers of the store (4 ms).
FIRST_S = 0.2
# The longest (s): the usual pace of a watch, so that a store's return is seen as soon as news is.
LONGEST_S = 1.6


class Backoff:
    """Waits that double with each failure, spread so that a fleet does not call at once.

    Load pattern: every process of a fleet loses the store at the same moment and regains it at the
    same moment; each of their calls counts, also those that are refused.
    """

    def __init__(self, draw: Callable[[], float]):
        self.draw = draw
        self.failures = 0

    def succeed(self) -> None:
        """Begin anew with the shortest wait."""
        self.failures = 0

    def fail(self) -> float:
        """Return the wait after one more failure, in seconds."""
        longest = min(LONGEST_S, FIRST_S * 2 ** min(self.failures, 10))
        self.failures += 1
        return longest * (0.5 + 0.5 * self.draw())
