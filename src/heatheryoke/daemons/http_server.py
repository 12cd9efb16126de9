"""A minimal HTTP server for readiness probes and metrics."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools

from heatheryoke.inventory.model import Address

__all__ = ["HttpServer", "Reply"]

READ_BYTES = 4_096
# Idle connections are closed after this time; probes arrive twice a second.
IDLE_TIMEOUT_S = 15.0
REASON_PHRASES = {
    200: "OK",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Reply(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


def not_found() -> Reply:
    """Return the response to a call of an unknown path."""
    return Reply(404)


class RequestCollector:
    """Parser callbacks that collect the paths of complete requests."""

    def __init__(self):
        self.url = b""
        self.paths: list[str] = []

    def on_message_begin(self) -> None:
        """Reset the target at the start of a request."""
        self.url = b""

    def on_url(self, data: bytes) -> None:
        """Append a fragment of the request target."""
        self.url += data

    def on_message_complete(self) -> None:
        """Record the path of a complete request."""
        self.paths.append(self.url.decode("latin-1").partition("?")[0])


class HttpServer:
    """An HTTP server with one handler for each path; request methods are ignored.

    A handler that raises an exception is reported to `on_fault`, and its call answered with 500.
    """

    def __init__(
        self, handlers: dict[str, Callable[[], Reply]], on_fault: Callable[[Exception], None]
    ):
        self.handlers = handlers
        self.on_fault = on_fault
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Start listening on an address."""
        self.server = await asyncio.start_server(self.serve, *address)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests on one connection until it is closed or idle."""
        request = RequestCollector()
        parser = httptools.HttpRequestParser(request)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    data = await reader.read(READ_BYTES)
                if not data:
                    return
                parser.feed_data(data)
                for path in request.paths:
                    writer.write(self.respond(path))
                request.paths.clear()
        except (OSError, TimeoutError, httptools.HttpParserError):
            return
        except asyncio.CancelledError:
            return  # shutdown; Python 3.11 prints an error if a stream handler ends cancelled
        finally:
            writer.close()

    def respond(self, path: str) -> bytes:
        """Return the encoded response to a request for a path."""
        handler = self.handlers.get(path, not_found)
        try:
            reply = handler()
        except Exception as error:  # costs none of the calls that follow on the connection
            self.on_fault(error)
            reply = Reply(500)
        head = (
            f"HTTP/1.1 {reply.status} {REASON_PHRASES[reply.status]}\r\n"
            f"Content-Type: {reply.content_type}\r\nContent-Length: {len(reply.body)}\r\n\r\n"
        )
        return head.encode() + reply.body
