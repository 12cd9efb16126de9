"""A scheduler in virtual time; callbacks due at the same time run in the order of scheduling."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["Scheduler"]

Callback = Callable[[], None]


class Scheduler:
    """A clock that jumps from one callback to the next."""

    def __init__(self):
        self.now = 0.0
        self.queue: list[tuple[float, int, Callback]] = []
        self.numbers = count()

    def after(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self.queue, (self.now + delay_s, next(self.numbers), callback))

    def run_until(self, end: float) -> None:
        """Run every callback that is due up to a time."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end
