"""What a view knows better than a store that has returned from an older copy.

Load pattern: the store is away for a moment and returns without its last seconds. Every process
sees that at about the same time, while the store's writers are still writing again what was lost.
Until they have, the copy lists upstreams that have left and lacks failure domains that have been
withdrawn. So an item of the copy that contradicts the view is deferred. It is applied if nobody has
written the item again within a grace period, and discarded as soon as somebody has.
"""

from collections import OrderedDict
from typing import NamedTuple

from heatheryoke.core.records import StoreItem, Subject

__all__ = ["PERMIT_GRACE_S", "RESTRICT_GRACE_S", "Deferral", "DeferredItems"]
__all__ += ["Departure", "Departures"]

# How long an upstream or the end of a withdrawal is still taken as known although the copy lacks
# it. Per the platform, entries that a disturbance has removed are back within about 2 s.
PERMIT_GRACE_S = 2.3
# How long a departure, a drain or a withdrawal that the copy lacks stays in force. The longest time
# by which the platform lets a view lag while the store is disturbed (`maxSkewMs`).
RESTRICT_GRACE_S = 12.0
# How long the departure of an upstream is remembered: longer than any flow lives (60 s), and far
# longer than the few seconds that a copy is old.
DEPARTURE_S = 75.0

Key = tuple[Subject, str]


class Deferral(NamedTuple):
    """An item of the copy that is not applied before `due`."""

    item: StoreItem
    due: float


class DeferredItems:
    """Items of the copy that contradict the view, by key."""

    def __init__(self):
        self.by_key: dict[Key, Deferral] = {}

    def __len__(self) -> int:
        return len(self.by_key)

    def defer(self, item: StoreItem, due: float) -> None:
        """Defer an item."""
        self.by_key[item.subject, item.name] = Deferral(item, due)

    def discard(self, key: Key) -> None:
        """Discard a deferred item, since it has been written again."""
        self.by_key.pop(key, None)

    def take_due(self, confirmed_at: float) -> list[StoreItem]:
        """Remove and return the items that were due when the store last answered."""
        due = [key for key, row in self.by_key.items() if row.due <= confirmed_at]
        return [self.by_key.pop(key).item for key in due]


class Departure(NamedTuple):
    """An incarnation's Unix time of start in milliseconds, and the monotonic time it left at."""

    born_ms: int
    at: float


class Departures:
    """Incarnations of upstreams that have left, identified by name and Unix time of start."""

    def __init__(self):
        self.by_name: OrderedDict[str, Departure] = OrderedDict()

    def add(self, name: str, born_ms: int, now: float) -> None:
        """Add an incarnation that has left; forget those of more than `DEPARTURE_S` ago."""
        self.by_name[name] = Departure(born_ms, now)
        self.by_name.move_to_end(name)
        while now - next(iter(self.by_name.values())).at > DEPARTURE_S:
            self.by_name.popitem(last=False)

    def discard(self, name: str, born_ms: int) -> None:
        """Forget an incarnation that is there again."""
        if self.includes(name, born_ms):
            del self.by_name[name]

    def includes(self, name: str, born_ms: int) -> bool:
        """Return whether an incarnation, or a later one of the same name, has left."""
        return name in self.by_name and born_ms <= self.by_name[name].born_ms
