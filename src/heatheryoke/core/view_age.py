"""How long ago a process's view was last known to be complete."""

from math import inf

from heatheryoke.core.effects import Count, Effect, LogChange

__all__ = ["OLD_VIEW_S", "ViewAge"]

# The platform's `drainMs` and `configMs`: a change must be in force within this time. A process
# that reads or is sent updates as it should confirms its view every 1.8 s.
OLD_VIEW_S = 3.0


class ViewAge:
    """Reports once that a view has become old, and once that it is confirmed again.

    A view is confirmed by an answer of the store that was applied, or by a peer's update. The time
    before the first counts from the first check.
    """

    def __init__(self):
        self.confirmed_at: float | None = None
        self.is_old = False

    def check(self, last_answer_at: float, state: str, now: float) -> list[Effect]:
        """Compare the time of the last confirmation; `state` describes the view in the log."""
        if self.confirmed_at is None:
            self.confirmed_at = last_answer_at if last_answer_at > -inf else now
        former, self.confirmed_at = self.confirmed_at, max(self.confirmed_at, last_answer_at)
        if self.is_old and self.confirmed_at > former:
            self.is_old = False
            reason = f"after {self.confirmed_at - former:.1f} s, {state}"
            return [LogChange("view", "confirmed", reason)]
        if self.is_old or now - self.confirmed_at <= OLD_VIEW_S:
            return []
        self.is_old = True
        reason = f"not confirmed for {now - self.confirmed_at:.1f} s, {state}"
        return [Count("views_old"), LogChange("view", "old", reason)]
