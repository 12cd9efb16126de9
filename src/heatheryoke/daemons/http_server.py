"""A small HTTP server for probes and metrics."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools

from heatheryoke.inventory.model import Address

__all__ = ["HttpServer", "Reply"]

READ_BYTES = 4_096
# A connection without a request for so long is closed; probes come twice a second.
IDLE_S = 15.0
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class Reply(NamedTuple):
    """A status and a body."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class Request:
    """Collects requests from the parser's callbacks."""

    def __init__(self):
        self.url = b""
        self.complete: list[str] = []

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.url = b""

    def on_url(self, data: bytes) -> None:
        """Add a part of the target."""
        self.url += data

    def on_message_complete(self) -> None:
        """Note a whole request."""
        self.complete.append(self.url.decode("latin-1").partition("?")[0])


class HttpServer:
    """Answers GET calls by path."""

    def __init__(self, handlers: dict[str, Callable[[], Reply]]):
        self.handlers = handlers
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, *address)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it is closed or silent."""
        request = Request()
        parser = httptools.HttpRequestParser(request)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    data = await reader.read(READ_BYTES)
                if not data:
                    return
                parser.feed_data(data)
                for path in request.complete:
                    writer.write(self.respond(path))
                request.complete.clear()
        except (OSError, TimeoutError, httptools.HttpParserError):
            return
        except asyncio.CancelledError:
            return  # the process ends; the streams of Python 3.11 print a cancelled handler
        finally:
            writer.close()

    def respond(self, path: str) -> bytes:
        """Return the response to a request for a path."""
        handler = self.handlers.get(path)
        reply = handler() if handler else Reply(404)
        head = (
            f"HTTP/1.1 {reply.status} {REASONS[reply.status]}\r\n"
            f"Content-Type: {reply.content_type}\r\nContent-Length: {len(reply.body)}\r\n\r\n"
        )
        return head.encode() + reply.body
