"""Tests of the HTTP server of the byte-stream daemons.

Guards against an error report at shutdown: Python 3.11 prints one if the handler of an open
connection ends cancelled.
"""

import asyncio

from heatheryoke.daemons.http_server import HttpServer, Reply
from heatheryoke.inventory.model import Address


class TestShutdown:
    def test_an_open_connection_causes_no_error_at_shutdown(self):
        problems = []

        async def run():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: problems.append(context))
            server = HttpServer({"/": lambda: Reply(200)})
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
