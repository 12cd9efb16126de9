"""The platform's key-value store: items with revisions, range reads and watches."""

import asyncio
import base64
import json
from typing import Any

from aiohttp import web

from heatheryoke.inventory.model import Address

__all__ = ["StreamStore"]

PAGE_ITEMS = 50
HISTORY_EVENTS = 10_000


class StreamStore:
    """Stores items in memory; may be down, slow, or compacted, for all hosts or some of them.

    Each host calls it at an address of its own, which tells who is calling.
    """

    def __init__(self):
        self.revision = 1
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
        self.runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=0.2
        )
        await self.runner.setup()
        for address in addresses:
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
        """Append an event to the history and wake the watches."""
        self.events.append(event)
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
            if after < self.last_dropped:
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
