"""What one process tells the others of a reading of the store, so that they need not read it too.

Load pattern: hundreds of processes want the same keys, which change a few times a minute. If each
waits for changes itself, nearly all calls return nothing, and each change answers all of them. So
one reads and tells the others what came, also when nothing did; who hears nothing reads itself.
"""

from heatheryoke.core.messages import ViewNews
from heatheryoke.core.records import EndpointRecord, StoreItem, Subject
from heatheryoke.core.store_view import StoreView

__all__ = ["MAXIMUM_ITEMS", "news_of"]

# Items of one message: at most about 100 bytes each, within one datagram of 1,200 bytes.
MAXIMUM_ITEMS = 10


def news_of(
    view: StoreView, rank: int, after: int, revision: int, items: tuple[StoreItem, ...]
) -> ViewNews | None:
    """Return the news in a reading that `view` has not yet taken, None if it cannot be told.

    A configuration is too long for a message; each process reads it by itself. Of a subject that
    has news every item is told, since one may undo the one before.
    """
    if after == 0:
        return None
    if any(item.subject is Subject.CONFIGURATION for item in items):
        return None
    names = {item.name for item in items if _is_news(view, item)}
    found = tuple(item for item in items if item.name in names)
    return ViewNews(rank, after, revision, found) if len(found) <= MAXIMUM_ITEMS else None


def _is_news(view: StoreView, item: StoreItem) -> bool:
    """Tell whether an item says more than that its subject is as before."""
    if item.subject is Subject.WITHDRAWAL:
        return True
    held = view.endpoints.get(item.name)
    if not isinstance(item.record, EndpointRecord):
        return held is not None
    if held is None or item.record.cold_s > 0:
        return True
    return held != item.record
