"""Client of the platform's configuration service, with HTTP long polling.

    GET /v1/inventory?after=VERSION&wait=SECONDS

returns 200 with the document as soon as there is one newer than VERSION, or 304 after SECONDS.
"""

import asyncio
from collections.abc import Callable

import aiohttp
from loguru import logger
from returns.result import Success

from heatheryoke.inventory.checks import check_document
from heatheryoke.inventory.document import decode_document
from heatheryoke.inventory.model import Document

__all__ = ["PlatformClient"]

LONG_POLL_S = 25
READ_TIMEOUT_S = 3.0
RETRY_S = 1.0
WATCHER_CHECK_S = 1.0


class PlatformClient:
    """Passes valid documents to `on_document`; calls `on_unavailable` for each failed call."""

    def __init__(
        self,
        url: str,
        on_document: Callable[[Document], None],
        on_unavailable: Callable[[], None],
        version: Callable[[], int],
        is_watcher: Callable[[], bool],
    ):
        self.url = f"{url}/v1/inventory"
        self.on_document = on_document
        self.on_unavailable = on_unavailable
        self.version = version
        self.is_watcher = is_watcher
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_reading = False
        self.is_available = True

    def start(self) -> None:
        """Open the HTTP session and start the watch."""
        self.session = aiohttp.ClientSession()
        self.spawn(self.watch())

    async def close(self) -> None:
        """Cancel all calls and close the session."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.session is not None:
            await self.session.close()

    def spawn(self, coroutine) -> None:
        """Run a coroutine as a task and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_read(self) -> None:
        """Start to read the document, unless a read is in progress."""
        if not self.is_reading:
            self.is_reading = True
            self.spawn(self.read())

    async def read(self) -> None:
        """Read the document once."""
        try:
            await self.call(wait_s=0)
        finally:
            self.is_reading = False

    async def watch(self) -> None:
        """Long-poll for documents whenever `is_watcher` returns true; retry after a failure."""
        while True:
            if not self.is_watcher():
                await asyncio.sleep(WATCHER_CHECK_S)
            elif not await self.call(wait_s=LONG_POLL_S):
                await asyncio.sleep(RETRY_S)

    async def call(self, wait_s: int) -> bool:
        """Make one request; return whether the next may follow at once.

        It may not after a failed call, nor after a document that leaves the version as it is, which
        the platform would return again without waiting.
        """
        before, is_document = self.version(), False
        params = {"after": str(self.version()), "wait": str(wait_s)}
        timeout = aiohttp.ClientTimeout(total=wait_s + READ_TIMEOUT_S)
        try:
            async with self.session.get(self.url, params=params, timeout=timeout) as response:
                is_document = response.status == 200
                if is_document:
                    self.process_document(await response.read())
                answered = response.status in (200, 304)
        except (aiohttp.ClientError, TimeoutError):
            answered = False
        except Exception:  # a document of any form costs one call, not the watch
            logger.exception("unhandled exception while processing an answer of the platform")
            answered = False
        self.report_call(answered)
        return answered and (not is_document or self.version() != before)

    def process_document(self, data: bytes) -> None:
        """Decode and check a document; pass it to `on_document` if it is valid."""
        decoded = decode_document(data)
        if not isinstance(decoded, Success):
            logger.warning("cannot decode the document from the platform: {}", decoded.failure())
            return
        document = decoded.unwrap()
        problems = check_document(document)
        if problems:
            logger.warning(
                "invalid document from the platform, version {}: {}", document.version, problems[0]
            )
            return
        self.on_document(document)

    def report_call(self, answered: bool) -> None:
        """Log a change of the platform's availability; report a failed call."""
        if answered != self.is_available:
            self.is_available = answered
            logger.info("platform {}", "available" if answered else "unavailable")
        if not answered:
            self.on_unavailable()
