"""The platform's key-value store: items with revisions, range reads and watches."""

import asyncio
import base64
import json
import time
from collections import deque
from typing import Any, NamedTuple

from aiohttp import web

from heatheryoke.inventory.model import Address

__all__ = ["StreamStore"]

PAGE_ITEMS = 50
HISTORY_EVENTS = 10_000
# Copies that the store can return from: some seconds of the heartbeats of a few hundred upstreams.
KEPT_COPIES = 2_000
ERA_HEADER = "Store-Era"


class StoreCopy(NamedTuple):
    """The contents of the store as of a monotonic time."""

    at: float
    revision: int
    items: dict[str, dict[str, Any]]


class StreamStore:
    """Stores items in memory; may be down, slow, or compacted, for all hosts or some of them.

    It may also return from an older copy; its era, a header of all answers, rises by one each time.
    Each host calls it at an address of its own, which tells who is calling.
    """

    def __init__(self):
        self.era = 1
        self.lost: dict[str, dict[str, Any] | None] = {}
        self.revision = 1
        self.copies: deque[StoreCopy] = deque(maxlen=KEPT_COPIES)
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.last_dropped = 0
        self.is_down = False
        self.rejected_addresses: frozenset[str] = frozenset()
        self.delay_s = 0.0
        self.calls = 0
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None

    async def start(self, *addresses: Address) -> None:
        """Start the HTTP server at all addresses."""
        app = web.Application()
        app.router.add_get("/v1/kv-range", self.on_range)
        app.router.add_get("/v1/kv-watch", self.on_watch)
        app.on_response_prepare.append(self.add_era)
        self.runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=0.2
        )
        await self.runner.setup()
        for address in addresses:
            await self.listen(address)

    async def listen(self, address: Address) -> None:
        """Serve at one more address."""
        await web.TCPSite(self.runner, address.ip, address.port).start()

    async def close(self) -> None:
        """Stop the HTTP server."""
        self.wake_watches()
        if self.runner is not None:
            await self.runner.cleanup()

    def wake_watches(self) -> None:
        """Wake all waiting watches, so that they check again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Write an item; bytes are stored unchanged, other values as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision}
        self.items[key] = item
        self.append_event(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.append_event({"key": key, "revision": self.revision, "tombstone": True})

    def append_event(self, event: dict[str, Any]) -> None:
        """Append an event to the history, keep a copy of the items, and wake the watches."""
        self.events.append(event)
        self.lost.pop(event["key"], None)
        self.copies.append(StoreCopy(time.monotonic(), self.revision, dict(self.items)))
        if len(self.events) > HISTORY_EVENTS:
            self.compact(HISTORY_EVENTS // 2)
        self.wake_watches()

    def compact(self, keep: int = 0) -> None:
        """Drop all but the last `keep` events; a watch from before them is answered with 410."""
        dropped = self.events[: len(self.events) - keep]
        if dropped:
            self.last_dropped = dropped[-1]["revision"]
        self.events = self.events[len(dropped) :]
        self.wake_watches()

    def return_from_copy(self, age_s: float) -> None:
        """Go back to a copy at least `age_s` old, or the oldest, in a new era.

        Keep in `lost` the items that the copy lacks or has otherwise, None for one that had been
        removed, until they are written again.
        """
        before, taken_by = self.items, time.monotonic() - age_s
        older = [copy for copy in self.copies if copy.at <= taken_by]
        copy = older[-1] if older else self.copies[0]
        self.era += 1
        self.revision, self.items = copy.revision, dict(copy.items)
        self.events = [event for event in self.events if event["revision"] <= copy.revision]
        self.last_dropped = min(self.last_dropped, copy.revision)
        self.copies = deque((row for row in older or [copy]), maxlen=KEPT_COPIES)
        for key in before.keys() | copy.items.keys():
            if before.get(key) != copy.items.get(key):
                self.lost.setdefault(key, before.get(key))
        self.wake_watches()

    def write_again(self, prefix: str) -> None:
        """Write the lost items under a prefix again, and remove those that had been removed."""
        for key, item in list(self.lost.items()):
            if key.startswith(prefix) and item is None:
                self.delete(key)
            elif key.startswith(prefix):
                self.put(key, base64.b64decode(item["value"]))

    async def add_era(self, request: web.Request, response: web.StreamResponse) -> None:
        """Add the header with the store's era to an answer."""
        response.headers[ERA_HEADER] = str(self.era)

    def check_available(self, request: web.Request) -> None:
        """Raise `HTTPServiceUnavailable` if the store is down, or rejects the caller."""
        called_ip = request.transport.get_extra_info("sockname")[0] if request.transport else ""
        if self.is_down or called_ip in self.rejected_addresses:
            raise web.HTTPServiceUnavailable

    async def admit(self, request: web.Request) -> None:
        """Count a call and delay it; raise `HTTPServiceUnavailable` if it is rejected."""
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        self.check_available(request)

    async def on_range(self, request: web.Request) -> web.Response:
        """Answer with a page of the items under a prefix."""
        await self.admit(request)
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return web.json_response({"items": page, "hasMore": more, "currentRev": self.revision})

    async def on_watch(self, request: web.Request) -> web.Response:
        """Answer with the events after a revision, or with none when the wait expires."""
        await self.admit(request)
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        ends = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000
        while True:
            self.check_available(request)
            if after < self.last_dropped or after > self.revision:
                raise web.HTTPGone
            events = [event for event in self.events if event["revision"] > after]
            events = [event for event in events if event["key"].startswith(prefix)]
            left_s = ends - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response({"events": events, "currentRev": self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
