"""Stand-in for the platform's store: an HTTP/1.1 server with the two reading calls."""

import asyncio
import base64
import json
import time
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Service Unavailable"}


class Store:
    """Items in memory, with their whole history; entries expire after three silent heartbeats."""

    def __init__(self, heartbeat_s: float):
        self.heartbeat_s = heartbeat_s
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.values: dict[str, Any] = {}
        self.written_at: dict[str, float] = {}
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()
        self.is_down = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.reaper: asyncio.Task[None] | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self.serve, *address)
        self.reaper = asyncio.create_task(self.expire())

    def close(self) -> None:
        """Stop listening."""
        if self.reaper:
            self.reaper.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def put(self, key: str, value: Any) -> None:
        """Write an item; an entry that repeats all but `sequence` is no change."""
        self.written_at[key] = time.monotonic()
        compared = {name: row for name, row in value.items() if name != "sequence"}
        if key in self.items and self.values.get(key) == compared:
            return
        self.values[key] = compared
        self.revision += 1
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        item = {"key": key, "value": encoded, "revision": self.revision}
        self.items[key] = item | {"createRevision": created, "lease": 0}
        self.append(self.items[key])

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.values.pop(key, None)
            self.revision += 1
            self.append({"key": key, "revision": self.revision, "tombstone": True})

    def append(self, event: dict[str, Any]) -> None:
        """Add an event to the history and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self) -> None:
        """Remove the entries of endpoints that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            if self.is_down:
                continue
            silent_since = time.monotonic() - 3 * self.heartbeat_s
            for key in [key for key in self.items if key.startswith("servers/")]:
                if self.written_at[key] < silent_since:
                    self.delete(key)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection."""
        self.writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                status, body = await self.answer(head.split(" ", 2)[1])
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, target: str) -> tuple[int, Any]:
        """Return the status and the body of one call, after the usual 4 ms."""
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, {}
        parts = urlsplit(target)
        query = {name: row[0] for name, row in parse_qs(parts.query).items()}
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if parts.path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "hasMore": more, "currentRev": self.revision}
        if parts.path == "/v1/kv-watch":
            return await self.watch(prefix, int(after), int(query.get("waitMs", "0")) / 1000)
        return 404, {}

    async def watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, Any]:
        """Return the events after a revision, as soon as there is one."""
        ends = time.monotonic() + wait_s
        while True:
            if self.is_down:
                return 503, {}
            if after > self.revision:
                return 410, {}
            events = [
                row for row in self.events if row["revision"] > after and row["key"] > prefix[:-1]
            ]
            events = [row for row in events if row["key"].startswith(prefix)]
            left_s = ends - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
