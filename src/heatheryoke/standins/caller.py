"""A CoAP caller that sends writes, fetches sheets and follows a feed, from one socket."""

import asyncio
from collections import Counter
from enum import Enum

import aiocoap
from aiocoap.numbers import codes, types

from heatheryoke.inventory.model import Address
from heatheryoke.standins.upstream import SHEET_BYTES

__all__ = ["Caller", "Reply"]

TRANSPORTS = ["simple6"]


class Reply(Enum):
    """Outcome of a request as its caller observes it."""

    SERVED = "served"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    MIXED = "mixed"
    SILENT = "silent"


class Caller:
    """Caller with one socket, hence one flow to its service."""

    def __init__(self, service: Address):
        self.base = f"coap://{service}"
        self.context: aiocoap.Context | None = None
        self.replies: Counter[Reply] = Counter()
        self.notifications = 0
        self.feed_restarts = 0
        self.feed_owner = ""
        self.owner_changes = 0
        self.feed_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the caller's socket."""
        self.context = await aiocoap.Context.create_client_context(transports=TRANSPORTS)

    async def close(self) -> None:
        """Stop following the feed and close the socket."""
        if self.feed_task is not None:
            self.feed_task.cancel()
            await asyncio.gather(self.feed_task, return_exceptions=True)
        if self.context is not None:
            await self.context.shutdown()

    async def request(self, message: aiocoap.Message, timeout_s: float) -> aiocoap.Message | None:
        """Return the answer, or None if none arrives within the time-out."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.context.request(message).response
        except (TimeoutError, aiocoap.error.Error):
            return None

    async def write(self, path: str, identity: str, timeout_s: float = 10.0) -> Reply:
        """Send one measurement or seat hold and return its outcome."""
        uri = f"{self.base}/{path}?id={identity}"
        message = aiocoap.Message(code=codes.POST, uri=uri, payload=identity.encode())
        answer = await self.request(message, timeout_s)
        return self.classify(
            answer, lambda response: response.payload == b"ran " + identity.encode()
        )

    async def fetch_sheet(self, path: str, name: str, timeout_s: float = 10.0) -> Reply:
        """Fetch one sheet by block-wise transfer and return the outcome."""
        message = aiocoap.Message(code=codes.GET, uri=f"{self.base}/{path}?{name}")
        answer = await self.request(message, timeout_s)
        expected = (f"{name};".encode() * SHEET_BYTES)[:SHEET_BYTES]
        return self.classify(answer, lambda response: response.payload == expected)

    def classify(self, answer: aiocoap.Message | None, is_expected) -> Reply:
        """Classify an answer and count it under its outcome."""
        if answer is None:
            reply = Reply.SILENT
        elif answer.code == codes.SERVICE_UNAVAILABLE:
            reply = Reply.REFUSED
        elif answer.code == codes.GATEWAY_TIMEOUT:
            reply = Reply.UNKNOWN
        else:
            reply = Reply.SERVED if is_expected(answer) else Reply.MIXED
        self.replies[reply] += 1
        return reply

    def open_feed(self, path: str) -> None:
        """Observe a feed, and open it again whenever it ends."""
        self.feed_task = asyncio.get_running_loop().create_task(self.follow(path))

    async def follow(self, path: str) -> None:
        """Follow a feed and reopen it when it ends, until cancelled."""
        while True:
            await self.follow_once(path)
            self.feed_restarts += 1
            await asyncio.sleep(0.2)

    async def follow_once(self, path: str) -> None:
        """Follow a feed until it ends."""
        message = aiocoap.Message(
            code=codes.GET, uri=f"{self.base}/{path}", observe=0, mtype=types.CON
        )
        observed = self.context.request(message)
        try:
            self.count_notification(await observed.response)
            async for notification in observed.observation:
                self.count_notification(notification)
        except aiocoap.error.Error:
            return
        finally:
            if not observed.observation.cancelled:
                observed.observation.cancel()

    def count_notification(self, notification: aiocoap.Message) -> None:
        """Count a notification, and a change of the upstream that sends them."""
        if not notification.code.is_successful():
            return
        owner = notification.payload.split(b":")[0].decode()
        if self.feed_owner and owner != self.feed_owner:
            self.owner_changes += 1
        self.feed_owner = owner
        self.notifications += 1
