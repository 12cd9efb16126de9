"""The store changes that one process sends to the others, so that they need not read the store.

Load pattern: hundreds of processes need the same keys, which change a few times a minute. If each
of them watched the store, nearly all calls would return nothing, and every change would complete
all of them at once. So one process reads and sends each result to the others, even an empty one; a
process that receives nothing reads the store itself.
"""

from heatheryoke.core.messages import StoreUpdate
from heatheryoke.core.records import EndpointRecord, Position, StoreItem, Subject
from heatheryoke.core.store_view import StoreView

__all__ = ["MAXIMUM_ITEMS", "make_store_update"]

# Items per message. A release that replaces half of a service's upstreams at once changes fewer.
MAXIMUM_ITEMS = 500


def make_store_update(
    view: StoreView,
    rank: int,
    after: Position,
    position: Position,
    items: tuple[StoreItem, ...],
) -> StoreUpdate | None:
    """Return the changes after a position for processes that have all up to it.

    Return None if there are too many. Heartbeats are left out. If any item of a name is a
    change, all items of that name are sent, since one may undo the one before.
    """
    if after.revision == 0:
        return None
    changed = {(item.subject, item.name) for item in items if _is_change(view, item, after)}
    included = tuple(item for item in items if (item.subject, item.name) in changed)
    return StoreUpdate(rank, after, position, included) if len(included) <= MAXIMUM_ITEMS else None


def _is_change(view: StoreView, item: StoreItem, after: Position) -> bool:
    """Return whether an item is more than a heartbeat that repeats the entry as of a position.

    An entry that `view` has had from elsewhere since then may be new to the receivers.
    """
    if item.subject is not Subject.ENDPOINT:
        return True
    if view.position_of(item) > after:
        return True
    held = view.endpoints.get(item.name)
    if not isinstance(item.record, EndpointRecord):
        return held is not None
    if held is None or item.record.cold_s > 0 or item.name in view.overwritten:
        return True
    return held != item.record
