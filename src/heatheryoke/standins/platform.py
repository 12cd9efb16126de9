"""A read-only configuration service with long polling."""

import asyncio

from aiohttp import web

from heatheryoke.inventory.document import encode_document
from heatheryoke.inventory.model import Address, Document

__all__ = ["Platform"]


class Platform:
    """Serves published documents over HTTP; may be down, or serve an older version."""

    def __init__(self):
        self.versions: dict[int, bytes] = {}
        self.current = 0
        self.is_down = False
        self.calls = 0
        self.changed = asyncio.Event()
        self.runner: web.AppRunner | None = None

    async def start(self, address: Address) -> None:
        """Start the HTTP server."""
        app = web.Application()
        app.router.add_get("/v1/inventory", self.on_inventory)
        self.runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self.runner.setup()
        await web.TCPSite(self.runner, address.ip, address.port, shutdown_timeout=0.2).start()

    async def close(self) -> None:
        """Stop the HTTP server."""
        self.changed.set()
        if self.runner is not None:
            await self.runner.cleanup()

    def publish(self, document: Document) -> None:
        """Publish a document and serve it."""
        self.versions[document.version] = encode_document(document)
        self.serve(document.version)

    def serve(self, version: int) -> None:
        """Serve a published version, which may be older than the current one."""
        self.current = version
        self.changed.set()
        self.changed = asyncio.Event()

    async def on_inventory(self, request: web.Request) -> web.Response:
        """Answer a read, or a long poll for a change."""
        self.calls += 1
        if self.is_down:
            return web.Response(status=503)
        after = int(request.query.get("after", "0"))
        wait_s = float(request.query.get("wait", "0"))
        if self.current <= after and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                return web.Response(status=304)
        if self.is_down:
            return web.Response(status=503)
        if self.current == after or not self.current:
            return web.Response(status=304)
        return web.Response(body=self.versions[self.current])
