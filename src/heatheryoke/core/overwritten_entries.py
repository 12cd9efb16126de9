"""Upstreams whose entries another writer has overwritten with something that names no upstream.

Such an upstream goes on serving, and writes its entry again with its next heartbeat. So it stays in
the view for a time, instead of leaving and returning each time.
"""

__all__ = ["OVERWRITTEN_GRACE_S", "OverwrittenEntries"]

# Two heartbeats of the slowest known platform (1.2 s each). The report of a drain may have been
# overwritten before it was read, so this is less than the time to take a drain in (3 s).
OVERWRITTEN_GRACE_S = 2.4


class OverwrittenEntries:
    """Names of entries that are overwritten, and the monotonic times since when."""

    def __init__(self):
        self.since: dict[str, float] = {}

    def __contains__(self, name: str) -> bool:
        return name in self.since

    def add(self, name: str, now: float) -> None:
        """Record that an entry is overwritten, unless it was already."""
        self.since.setdefault(name, now)

    def discard(self, name: str) -> None:
        """Forget an entry that has been written again, or is gone."""
        self.since.pop(name, None)

    def due(self, now: float) -> list[str]:
        """Return the entries that nobody has written again within the grace period."""
        return [name for name, at in self.since.items() if now - at >= OVERWRITTEN_GRACE_S]
