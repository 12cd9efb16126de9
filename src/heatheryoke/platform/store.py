"""Client for the two read calls of the platform's store, over one persistent connection."""

import asyncio
import json
from typing import Any, NamedTuple
from urllib.parse import urlencode

import httptools

from heatheryoke.core.record_checks import check_integer
from heatheryoke.core.records import Position, StoreItem
from heatheryoke.inventory.model import Address
from heatheryoke.platform.items import UnreadableItemError, read_item

__all__ = ["RevisionCompactedError", "StoreClient", "StorePage", "StoreUnavailableError"]

RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
READ_CHUNK_BYTES = 65_536
# Number of times that the store has returned from an older copy; a store may not send it.
ERA_HEADER = b"store-era"
STATUS_OK, STATUS_GONE = 200, 410


class StoreUnavailableError(Exception):
    """The store did not answer a call, refused it, or gave a malformed response."""


class RevisionCompactedError(Exception):
    """The store no longer has the changes since a revision; all items must be read again."""


class StorePage(NamedTuple):
    """The result of one call; `position` is the store's position when it answered."""

    items: tuple[StoreItem, ...]
    problems: tuple[UnreadableItemError, ...]
    position: Position
    last_key: str
    has_more: bool


class Response:
    """Collects one response from the parser's callbacks."""

    def __init__(self):
        self.body = bytearray()
        self.is_complete = False
        self.era = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the store's era; raise `ValueError` if it is malformed."""
        if name.lower() == ERA_HEADER:
            self.era = check_integer(int(value))

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True


class StoreClient:
    """Makes one call at a time; a time-out, I/O error or bad response closes the connection."""

    def __init__(self, address: Address):
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.calls = 0

    async def read_range(self, prefix: str, after: str, timeout_s: float) -> StorePage:
        """Return one page of the items under a prefix, starting after a key."""
        query = {"prefix": prefix} | ({"after": after} if after else {})
        return self.decode(*await self.call(RANGE_PATH, query, timeout_s), "items")

    async def watch(self, prefix: str, after: int, wait_s: float, timeout_s: float) -> StorePage:
        """Return the changes under a prefix after a revision, waiting up to `wait_s` for any."""
        query = {"prefix": prefix, "after": after, "waitMs": int(wait_s * 1000)}
        return self.decode(*await self.call(WATCH_PATH, query, wait_s + timeout_s), "events")

    def decode(self, body: Any, era: int, items_field: str) -> StorePage:
        """Decode a body; raise `StoreUnavailableError` if it is malformed."""
        try:
            return _decode_page(body, era, items_field)
        except Exception as error:  # a page of any form is a failed call, not the end of the watch
            self.close()
            raise StoreUnavailableError(f"malformed response: {error!r}") from error

    async def call(self, path: str, query: dict[str, Any], timeout_s: float) -> tuple[Any, int]:
        """Return the body of a GET call, and the store's era.

        Raise `StoreUnavailableError` or `RevisionCompactedError`.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                # A key that an entry has may contain surrogates, which UTF-8 does not.
                encoded = urlencode(query, errors="surrogatepass")
                return await self.exchange(f"{path}?{encoded}")
        except TimeoutError:
            self.close()
            raise StoreUnavailableError("timeout") from None
        except (OSError, ValueError, RecursionError, httptools.HttpParserError) as error:
            self.close()
            raise StoreUnavailableError(repr(error)) from error

    async def exchange(self, target: str) -> tuple[Any, int]:
        """Send one request and return the body and the era of its response."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        request = f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
        self.writer.write(request.encode())
        response = Response()
        parser = httptools.HttpResponseParser(response)
        while not response.is_complete:
            chunk = await self.reader.read(READ_CHUNK_BYTES)
            if not chunk:
                raise OSError("connection closed")
            parser.feed_data(chunk)
        if not parser.should_keep_alive():
            self.close()
        status = parser.get_status_code()
        if status == STATUS_GONE:
            raise RevisionCompactedError
        if status != STATUS_OK:
            raise StoreUnavailableError(f"status {status}")
        return json.loads(bytes(response.body)), response.era

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def _key_of(raw: Any) -> str:
    """Return the key of an item of any form, an empty text if it has none."""
    key = raw.get("key") if isinstance(raw, dict) else None
    return key if isinstance(key, str) else ""


def _decode_page(body: dict[str, Any], era: int, items_field: str) -> StorePage:
    items, problems, last_key = [], [], ""
    for raw in body[items_field]:
        item, problem = read_item(raw, era)
        if item is not None:
            items.append(item)
        if problem is not None:
            problems.append(problem)
        last_key = _key_of(raw) or last_key
    has_more = bool(body.get("hasMore"))
    position = Position(era, check_integer(body["currentRev"]))
    return StorePage(tuple(items), tuple(problems), position, last_key, has_more)
