"""Keeps a process's view up to date: reads the store once, then watches it."""

import asyncio
import random
from collections.abc import Callable

from heatheryoke.core.backoff import Backoff
from heatheryoke.core.records import StoreItem
from heatheryoke.platform.items import UnreadableItemError
from heatheryoke.platform.store import HistoryGoneError, Reading, StoreClient, StoreUnavailableError

__all__ = ["StoreWatch"]

ALL_KEYS = ""
# Shares of the time within which a change must be in force. A reader's call waits so long for one;
READER_WAIT_SHARE = 0.3
# after so long without news a process reads by itself: more than a reader's wait, so that this is
# rare, and little enough for its own call;
PATIENCE_SHARE = 0.45
# and this is by how much processes differ in that, so that one reads before the others.
PATIENCE_SPREAD = 0.15
# The least time between two calls of a reader, when changes come in quick succession.
LEAST_GAP_S = 0.25
# While a process waits for the entry of its own upstream, which gets no flow before.
HURRIED_PACE_S = 0.3
# How long one page may take: 250 usual answers (4 ms), and slow ones of 50 times that.
TIMEOUT_S = 1.0
# How much later than its wait a watch may be answered.
WATCH_MARGIN_S = 0.6


class StoreWatch:
    """One watch over all keys, by a reader or by who hears of no news: each call has its price.

    `change` gets the items, the revision after which they came and the one up to which they go.
    """

    def __init__(
        self,
        client: StoreClient,
        backoff: Backoff,
        replace: Callable[[tuple[StoreItem, ...], int], None],
        change: Callable[[tuple[StoreItem, ...], int, int], None],
        unavailable: Callable[[str], None],
        unreadable: Callable[[UnreadableItemError], None],
        is_hurried: Callable[[], bool],
        change_within_s: float,
        chance: Callable[[], float] = random.random,
    ):
        self.client = client
        self.backoff = backoff
        self.replace = replace
        self.change = change
        self.unavailable = unavailable
        self.unreadable = unreadable
        self.is_hurried = is_hurried
        self.change_within_s = change_within_s
        self.chance = chance
        self.due = 0.0
        self.is_reader = False
        self.has_yielded = False
        self.revision: int | None = None

    async def run(self) -> None:
        """Read and watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            self.has_yielded = False
            try:
                await self.step()
                self.backoff.succeed()
                if not self.has_yielded:
                    self.is_reader = True
                    self.due = began + LEAST_GAP_S
            except HistoryGoneError:
                self.revision = None
            except StoreUnavailableError as error:
                self.is_reader = False
                self.unavailable(str(error))
                self.due = loop.time() + self.backoff.fail()
            while self.due > loop.time():
                await asyncio.sleep(self.due - loop.time())

    def note_news(self, revision: int, from_reader: bool) -> None:
        """Put off the next call, since another process has told of all changes to a revision.

        A reader goes on unless the other goes before it.
        """
        if self.revision is None:
            return
        self.revision = max(self.revision, revision)
        if self.is_reader and not from_reader:
            return
        self.is_reader = False
        self.has_yielded = True
        share = PATIENCE_SHARE + PATIENCE_SPREAD * self.chance()
        patience_s = HURRIED_PACE_S if self.is_hurried() else share * self.change_within_s
        self.due = asyncio.get_running_loop().time() + patience_s

    async def step(self) -> None:
        """Make the next call, or calls, and hand over what they return."""
        if self.revision is None:
            await self.read_all()
            return
        after = self.revision
        wait_s = READER_WAIT_SHARE * self.change_within_s if self.is_reader else 0.0
        reading = await self.client.watch(ALL_KEYS, after, wait_s, WATCH_MARGIN_S)
        self.note_problems(reading)
        self.revision = max(self.revision, reading.revision)
        self.change(reading.items, after, reading.revision)

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
        self.replace(tuple(items), revision)

    def note_problems(self, reading: Reading) -> None:
        """Pass on what could not be read."""
        for problem in reading.problems:
            self.unreadable(problem)
