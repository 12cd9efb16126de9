"""Tests of the UDP sockets of a daemon."""

import asyncio

from heatheryoke.daemons.datagrams import DatagramSocket
from heatheryoke.inventory.model import Address

HOST = "127.24.0.3"


class TestSend:
    def test_a_datagram_that_cannot_be_sent_is_reported(self):
        async def run():
            failures = []
            port = DatagramSocket(
                asyncio.get_running_loop(),
                Address(HOST, 0),
                lambda batch: None,
                on_failed=lambda: failures.append(1),
            )
            port.send(b"x" * 70_000, port.address)
            port.send(b"x", port.address)
            port.close()
            return len(failures)

        assert asyncio.run(run()) == 1
