"""UDP sockets on an asyncio event loop, read in batches."""

import asyncio
import socket
from collections.abc import Callable

from heatheryoke.inventory.model import Address

__all__ = ["Datagram", "DatagramSocket"]

BATCH_DATAGRAMS = 64
# Pause between two reads above which only one datagram is expected: a few packet times (0.1 ms).
QUIET_S = 0.0005
MAXIMUM_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

Datagram = tuple[bytes, Address]
Receiver = Callable[[list[Datagram]], None]


class DatagramSocket:
    """A non-blocking UDP socket that passes received datagrams to `on_datagrams` in batches.

    `on_refused` is called when the connected peer has no open socket, `on_failed` when a datagram
    could not be sent.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bind: Address,
        on_datagrams: Receiver,
        connect: Address | None = None,
        on_refused: Callable[[], None] | None = None,
        on_failed: Callable[[], None] | None = None,
        buffer_bytes: int = 0,
    ):
        self.loop = loop
        self.on_datagrams = on_datagrams
        self.on_refused = on_refused
        self.on_failed = on_failed
        self.last_read = 0.0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        if buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        try:
            self.socket.bind(bind)
            if connect is not None:
                self.socket.connect(connect)
        except OSError:
            self.socket.close()
            raise
        loop.add_reader(self.socket.fileno(), self.read_batch)

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        return Address(*self.socket.getsockname())

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()

    def send(self, data: bytes, to: Address | None = None) -> None:
        """Send a datagram; if that fails, drop it and call `on_refused` or `on_failed`."""
        try:
            if to is None:
                self.socket.send(data)
            else:
                self.socket.sendto(data, to)
        except ConnectionRefusedError:
            self.notify_refused()
        except OSError:
            if self.on_failed is not None:
                self.on_failed()

    def read_batch(self) -> None:
        """Read at most one batch of queued datagrams, so that timers can run between batches.

        After a quiet time only one is read, since another call would mostly find none; if more are
        queued, the loop calls again at once.
        """
        batch: list[Datagram] = []
        refused = False
        is_quiet = self.loop.time() - self.last_read > QUIET_S
        for _ in range(1 if is_quiet else BATCH_DATAGRAMS):
            try:
                data, sender = self.socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                refused = True
                continue
            except OSError:
                break
            batch.append((data, Address(*sender)))
        if batch:
            self.on_datagrams(batch)
        if refused:
            self.notify_refused()
        self.last_read = self.loop.time()

    def discard_queued(self) -> int:
        """Drop all queued datagrams; return how many there were."""
        dropped = 0
        while True:
            try:
                self.socket.recv(1)
            except ConnectionRefusedError:
                continue
            except OSError:
                return dropped
            dropped += 1

    def notify_refused(self) -> None:
        """Report that the connected peer has no open socket."""
        if self.on_refused is not None:
            self.on_refused()
