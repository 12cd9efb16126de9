"""Reads the platform's store once and then watches it for changes."""

import asyncio
import random
from collections.abc import Callable

from heatheryoke.core.backoff import Backoff
from heatheryoke.core.records import StoreItem
from heatheryoke.platform.items import UnreadableItemError
from heatheryoke.platform.store import (
    RevisionCompactedError,
    StoreClient,
    StorePage,
    StoreUnavailableError,
)

__all__ = ["StoreWatch"]

ALL_KEYS = ""
# The shares are fractions of the time within which a change must be in force.
# How long a reader's watch call waits for a change.
READER_WAIT_SHARE = 0.3
# How long any other process waits for an update before it reads the store itself: longer than a
# reader's wait, so that this is rare, and short enough to leave time for its own call.
UPDATE_WAIT_SHARE = 0.45
# The random part of that wait, which lets one process read before the others.
UPDATE_WAIT_SPREAD = 0.15
# The minimum time between two calls of a reader, for changes in quick succession.
MINIMUM_CALL_INTERVAL_S = 0.25
# The wait while the view lacks the process's own upstream, which gets no flows until it is there.
URGENT_WAIT_S = 0.3
# Timeout of a page: 250 times the usual response time (4 ms); slow responses take 50 times as long.
TIMEOUT_S = 1.0
# How much longer than its wait a watch call may take.
WATCH_MARGIN_S = 0.6


class StoreWatch:
    """Watches all keys of the store and reports what it reads through callbacks.

    Each call has a cost. Readers call continuously and send the changes to other processes, which
    call the store only if no such update reaches them in time. `on_change` gets the changed items,
    the revision after which the changes were made and the revision up to which they are complete.
    """

    def __init__(
        self,
        client: StoreClient,
        backoff: Backoff,
        on_read: Callable[[tuple[StoreItem, ...], int], None],
        on_change: Callable[[tuple[StoreItem, ...], int, int], None],
        on_unavailable: Callable[[str], None],
        on_unreadable: Callable[[UnreadableItemError], None],
        needs_frequent_reads: Callable[[], bool],
        change_within_s: float,
        draw: Callable[[], float] = random.random,
    ):
        self.client = client
        self.backoff = backoff
        self.on_read = on_read
        self.on_change = on_change
        self.on_unavailable = on_unavailable
        self.on_unreadable = on_unreadable
        self.needs_frequent_reads = needs_frequent_reads
        self.change_within_s = change_within_s
        self.draw = draw
        self.next_call_at = 0.0
        self.is_reader = False
        self.was_postponed = False
        self.revision: int | None = None

    async def run(self) -> None:
        """Read and watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            self.was_postponed = False
            try:
                await self.step()
                self.backoff.succeed()
                if not self.was_postponed:
                    self.is_reader = True
                    self.next_call_at = started_at + MINIMUM_CALL_INTERVAL_S
            except RevisionCompactedError:
                self.revision = None
            except StoreUnavailableError as error:
                self.is_reader = False
                self.on_unavailable(str(error))
                self.next_call_at = loop.time() + self.backoff.fail()
            while self.next_call_at > loop.time():
                await asyncio.sleep(self.next_call_at - loop.time())

    def postpone_call(self, revision: int, sender_precedes: bool) -> None:
        """Postpone the next call: another process has sent all changes up to a revision.

        A reader continues to call, unless the sender takes precedence over it (`sender_precedes`).
        """
        if self.revision is None:
            return
        self.revision = max(self.revision, revision)
        if self.is_reader and not sender_precedes:
            return
        self.is_reader = False
        self.was_postponed = True
        share = UPDATE_WAIT_SHARE + UPDATE_WAIT_SPREAD * self.draw()
        wait_s = URGENT_WAIT_S if self.needs_frequent_reads() else share * self.change_within_s
        self.next_call_at = asyncio.get_running_loop().time() + wait_s

    async def step(self) -> None:
        """Read all items or watch for changes, and report the result."""
        if self.revision is None:
            await self.read_all()
            return
        after = self.revision
        wait_s = READER_WAIT_SHARE * self.change_within_s if self.is_reader else 0.0
        page = await self.client.watch(ALL_KEYS, after, wait_s, WATCH_MARGIN_S)
        self.report_problems(page)
        self.revision = max(self.revision, page.revision)
        self.on_change(page.items, after, page.revision)

    async def read_all(self) -> None:
        """Read all items page by page; the watch then returns the changes since the first page."""
        items: list[StoreItem] = []
        revision, after, has_more = None, "", True
        while has_more:
            page = await self.client.read_range(ALL_KEYS, after, TIMEOUT_S)
            self.report_problems(page)
            items += page.items
            revision = page.revision if revision is None else revision
            after, has_more = page.last_key, page.has_more
        self.revision = revision
        self.on_read(tuple(items), revision)

    def report_problems(self, page: StorePage) -> None:
        """Report the items that could not be read."""
        for problem in page.problems:
            self.on_unreadable(problem)
