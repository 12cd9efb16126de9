"""Keeps a process's view up to date: reads the store once, then watches it."""

import asyncio
from collections.abc import Callable

from heatheryoke.core.backoff import Backoff
from heatheryoke.core.records import StoreItem
from heatheryoke.platform.items import UnreadableItemError
from heatheryoke.platform.store import HistoryGoneError, Reading, StoreClient, StoreUnavailableError

__all__ = ["StoreWatch"]

ALL_KEYS = ""
# The part of the time within which a change must be in force that may pass between two calls.
PACE_SHARE = 0.55
# While a process waits for the entry of its own upstream, which gets no flow before.
HURRIED_PACE_S = 0.3
# How long a watch may wait for news: a silent connection is noticed WATCH_MARGIN_S after it.
WAIT_S = 3.0
# How long one page may take: 250 usual answers (4 ms), and slow ones of 50 times that.
TIMEOUT_S = 1.0
# How much later than its wait a watch may be answered.
WATCH_MARGIN_S = 0.6


class StoreWatch:
    """One watch over all keys, no more often than news is needed: each call has its price."""

    def __init__(
        self,
        client: StoreClient,
        backoff: Backoff,
        replace: Callable[[tuple[StoreItem, ...]], None],
        change: Callable[[tuple[StoreItem, ...]], None],
        unavailable: Callable[[str], None],
        unreadable: Callable[[UnreadableItemError], None],
        is_hurried: Callable[[], bool],
        change_within_s: float,
    ):
        self.client = client
        self.backoff = backoff
        self.replace = replace
        self.change = change
        self.unavailable = unavailable
        self.unreadable = unreadable
        self.is_hurried = is_hurried
        self.pace_s = PACE_SHARE * change_within_s
        self.revision: int | None = None

    async def run(self) -> None:
        """Read and watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            try:
                await self.step()
                self.backoff.succeed()
                pace_s = HURRIED_PACE_S if self.is_hurried() else self.pace_s
                await asyncio.sleep(max(0.0, began + pace_s - loop.time()))
            except HistoryGoneError:
                self.revision = None
            except StoreUnavailableError as error:
                self.unavailable(str(error))
                await asyncio.sleep(self.backoff.fail())

    async def step(self) -> None:
        """Make the next call, or calls, and hand over what they return."""
        if self.revision is None:
            await self.read_all()
            return
        reading = await self.client.watch(ALL_KEYS, self.revision, WAIT_S, WATCH_MARGIN_S)
        self.note_problems(reading)
        self.revision = max(self.revision, reading.revision)
        self.change(reading.items)

    async def read_all(self) -> None:
        """Read every item, page by page; changes since the first page come by the watch."""
        items: list[StoreItem] = []
        revision, after, has_more = None, "", True
        while has_more:
            page = await self.client.read_range(ALL_KEYS, after, TIMEOUT_S)
            self.note_problems(page)
            items += page.items
            revision = page.revision if revision is None else revision
            after, has_more = page.last_key, page.has_more
        self.revision = revision
        self.replace(tuple(items))

    def note_problems(self, reading: Reading) -> None:
        """Pass on what could not be read."""
        for problem in reading.problems:
            self.unreadable(problem)
