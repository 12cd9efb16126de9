"""Reads the platform's store once and then watches it for changes."""

import asyncio
import random
from collections.abc import Callable

from heatheryoke.core.backoff import Backoff
from heatheryoke.core.records import Position, StoreItem
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


class EraChangedError(Exception):
    """The store has returned from an older copy; all items must be read again."""


class StoreWatch:
    """Watches all keys of the store and reports what it reads through callbacks.

    Each call has a cost. Readers call continuously and send the changes to other processes, which
    call the store only if no such update reaches them in time. `on_change` gets the changed items,
    the position after which the changes were made and the position up to which they are complete.

    Load pattern: the store returns from an older copy, and all processes find that out when they
    call it next. Those that call first read all items and send them on, while the other calls are
    spread by the backoff of an outage or by the waits for an update. So a return costs few calls
    more than an outage.
    """

    def __init__(
        self,
        client: StoreClient,
        backoff: Backoff,
        on_read: Callable[[tuple[StoreItem, ...], Position], None],
        on_change: Callable[[tuple[StoreItem, ...], Position, Position], None],
        on_unavailable: Callable[[str], None],
        on_unreadable: Callable[[UnreadableItemError], None],
        on_fault: Callable[[Exception], None],
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
        self.on_fault = on_fault
        self.needs_frequent_reads = needs_frequent_reads
        self.change_within_s = change_within_s
        self.draw = draw
        self.next_call_at = 0.0
        self.is_reader = False
        self.was_postponed = False
        self.is_restarted = False
        self.position: Position | None = None
        self.era = 0

    async def run(self) -> None:
        """Read and watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.was_postponed = False
            await self.call_once(loop.time())
            while self.next_call_at > loop.time():
                await asyncio.sleep(self.next_call_at - loop.time())

    async def call_once(self, started_at: float) -> None:
        """Make one call or complete read, and set the time of the next one.

        A lost history is read again at once, since what it lost may be due, but not repeatedly.
        """
        try:
            await self.step()
            self.backoff.succeed()
            self.is_restarted = False
            if not self.was_postponed:
                self.is_reader = True
                self.next_call_at = started_at + MINIMUM_CALL_INTERVAL_S
        except (RevisionCompactedError, EraChangedError):
            self.position = None
            if self.is_restarted:
                self.retry_later()
            self.is_restarted = True
        except StoreUnavailableError as error:
            self.on_unavailable(str(error))
            self.retry_later()
        except Exception as error:  # neither ends the watch nor skips changes that were not taken
            self.on_fault(error)
            self.position = None
            self.retry_later()

    def retry_later(self) -> None:
        """Leave reading to others, and call again after the backoff's next delay."""
        self.is_reader = False
        self.next_call_at = asyncio.get_running_loop().time() + self.backoff.fail()

    def postpone_call(self, position: Position, sender_precedes: bool) -> None:
        """Postpone the next call: another process has sent all changes up to a position.

        A reader continues to call, unless the sender takes precedence over it (`sender_precedes`).
        """
        self.era = max(self.era, position.era)
        if self.position is not None:
            self.position = max(self.position, position)
        if self.is_reader and not sender_precedes:
            return
        self.is_reader = False
        self.was_postponed = True
        share = UPDATE_WAIT_SHARE + UPDATE_WAIT_SPREAD * self.draw()
        wait_s = URGENT_WAIT_S if self.needs_frequent_reads() else share * self.change_within_s
        self.next_call_at = asyncio.get_running_loop().time() + wait_s

    async def step(self) -> None:
        """Read all items or watch for changes, and report the result.

        Raise `EraChangedError` if the changes are of another era than the revision asked about.
        """
        if self.position is None:
            await self.read_all()
            return
        after = self.position
        wait_s = READER_WAIT_SHARE * self.change_within_s if self.is_reader else 0.0
        page = await self.client.watch(ALL_KEYS, after.revision, wait_s, WATCH_MARGIN_S)
        self.check_era(page, after.era)
        self.report_problems(page)
        self.on_change(page.items, after, page.position)
        self.position = max(self.position, page.position)

    def check_era(self, page: StorePage, era: int) -> None:
        """Check that an answer is of an era, the newest that is known.

        Raise `StoreUnavailableError` if it is older than that, and `EraChangedError` if the era is
        another. Then revisions may have been given out again, and all items must be read anew.
        """
        if page.position.era < self.era:
            raise StoreUnavailableError(f"answer of era {page.position.era}, not {self.era}")
        self.era = page.position.era
        if page.position.era != era:
            raise EraChangedError

    async def read_all(self) -> None:
        """Read all items page by page; the watch then returns the changes since the first page.

        Raise `StoreUnavailableError` if the pages do not advance, since the read would never end.
        """
        items: list[StoreItem] = []
        position, after, has_more = None, "", True
        while has_more:
            page = await self.client.read_range(ALL_KEYS, after, TIMEOUT_S)
            position = position or page.position
            self.check_era(page, position.era)
            self.report_problems(page)
            items += page.items
            if page.has_more and page.last_key <= after:
                raise StoreUnavailableError(f"no page follows the key {after!r}")
            after, has_more = page.last_key, page.has_more
        self.on_read(tuple(items), position)
        self.position = position

    def report_problems(self, page: StorePage) -> None:
        """Report the items that could not be read."""
        for problem in page.problems:
            self.on_unreadable(problem)
