"""Tests of the HTTP server of the byte-stream daemons."""

import asyncio

from heatheryoke.daemons.http_server import HttpServer, Reply
from heatheryoke.inventory.model import Address


class TestShutdown:
    """Python 3.11 prints an error report if the handler of an open connection ends cancelled."""

    def test_an_open_connection_causes_no_error_at_shutdown(self):
        problems = []

        async def run():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: problems.append(context))
            server = HttpServer({"/": lambda: Reply(200)}, problems.append)
            await server.start(Address("127.24.0.2", 0))
            address = server.server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.05)
            (handler,) = asyncio.all_tasks() - {asyncio.current_task()}
            handler.cancel()
            await asyncio.sleep(0.05)
            server.close()
            writer.close()

        asyncio.run(run())
        assert problems == []


class TestHandlers:
    def test_one_that_raises_costs_no_other_call_of_the_connection(self):
        """The connection was closed, and the calls that followed on it had no answer."""
        faults = []

        def fail():
            raise RuntimeError("no page")

        async def run():
            server = HttpServer({"/a": fail, "/b": lambda: Reply(200)}, faults.append)
            await server.start(Address("127.24.0.2", 0))
            reader, writer = await asyncio.open_connection(*server.server.sockets[0].getsockname())
            writer.write(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.1)
            answers = await reader.read(1_000)
            writer.close()
            server.close()
            return [line for line in answers.split(b"\r\n") if line.startswith(b"HTTP")]

        lines = asyncio.run(run())
        assert lines == [b"HTTP/1.1 500 Internal Server Error", b"HTTP/1.1 200 OK"]
        assert [str(fault) for fault in faults] == ["no page"]
