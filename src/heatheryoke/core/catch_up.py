"""When a process that is behind asks another for its newer configuration, and which one.

Load pattern: a configuration changes and one reader sends it to all processes at once. A few
miss a part of it, because a datagram was lost, the reader does not know them, or the store rejects
them; each of them learns from the next message of any other process that it is behind. So it waits
for as long as the reader's update usually takes, and then asks the process that is ahead. It
asks a few times only, since the store is read anyway and a version may never have existed.
"""

from math import inf

from heatheryoke.inventory.model import Address

__all__ = ["QUERY_DELAY_S", "CatchUp"]

# Allows a reader's update to arrive first: the longest round trip between failure domains (25 ms).
QUERY_DELAY_S = 0.03
# Two of the store node's ticks, within which an answer has arrived.
QUERY_INTERVAL_S = 0.2
# Queries for one version; by then this process has read the store itself.
MAXIMUM_QUERIES = 10


class CatchUp:
    """The newest configuration that a peer has shown, until it is in force here."""

    def __init__(self):
        self.newest_epoch = 0
        self.source: Address | None = None
        self.behind_since: float | None = None
        self.next_query_at = inf
        self.queries_left = 0

    def on_peer_epoch(self, epoch: int, source: Address, now: float) -> bool:
        """Record a peer's version, newer than the one here; return whether to ask for it.

        That is the newest, unless nobody has supplied it in `MAXIMUM_QUERIES`: another version may
        exist although it is lower.
        """
        if epoch == self.newest_epoch:
            self.source = source
        if epoch <= self.newest_epoch and (epoch == self.newest_epoch or self.queries_left > 0):
            return False
        self.newest_epoch, self.source = epoch, source
        self.queries_left = MAXIMUM_QUERIES
        if self.behind_since is None:
            self.behind_since = now
            self.next_query_at = now + QUERY_DELAY_S
        return True

    def on_in_force(self, epoch: int) -> None:
        """Record the version that has come into force here."""
        if epoch >= self.newest_epoch:
            self.behind_since, self.next_query_at = None, inf

    def take_query(self, now: float) -> Address | None:
        """Return the process to ask now, None if no query is due."""
        if now < self.next_query_at or self.queries_left == 0:
            return None
        self.next_query_at = now + QUERY_INTERVAL_S
        self.queries_left -= 1
        return self.source
