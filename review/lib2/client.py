"""Stand-in for clients: open flows, send requests on them, and open others after a failure."""

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress

from wire import ACK, FIN, MODULUS, RST, SYN, Address, FlowKey, Packet, decode

SYN_WAITS_S = (0.2, 0.4, 0.8)
FIRST_INTERVAL_S, LONGEST_INTERVAL_S = 0.2, 1.6
FIRST_PORT = 1_024


class Flow:
    """A client's end of one flow."""

    def __init__(self, client: "Client", key: FlowKey, tag: int):
        self.client, self.key = client, key
        self.sequence = 1_000 + 7 * tag
        self.expected: int | None = None
        self.answer = b""
        self.was_reset = False
        self.arrived = asyncio.Event()
        self.balancers: set[str] = set()
        self.began = time.monotonic()

    def on_packet(self, packet: Packet, sender: str) -> None:
        """Handle a packet from the system."""
        if packet.has(RST):
            if packet.is_system_reset and not self.was_reset:
                self.client.on_reset(self, sender)
            self.was_reset = True
        elif packet.has(SYN):
            if self.expected is None:
                self.expected = (packet.sequence + 1) % MODULUS
                self.sequence += 1
                self.client.note(self.key, "client", "follows", sender)
        elif packet.data and packet.sequence == self.expected:
            self.expected += len(packet.data)
            self.answer = packet.data
            self.send(ACK)
        elif packet.data:
            self.send(ACK)
        self.arrived.set()

    def send(self, flags: int, data: bytes = b"", acknowledged: int | None = None) -> None:
        """Send a packet by the balancer that the router selects now."""
        number = (self.expected or 0) if acknowledged is None else acknowledged
        packet = Packet(*self.key, flags, self.sequence, number, data)
        balancer = self.client.route(self.key, self.client.zone)
        if balancer is not None:
            self.balancers.add(balancer[0])
            self.client.transport.sendto(packet.encode(), balancer)

    async def wait(self, is_done: Callable[[], bool], timeout_s: float) -> None:
        """Wait for a condition or until the time is over."""
        ends = time.monotonic() + timeout_s
        while not is_done() and time.monotonic() < ends:
            self.arrived.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(ends - time.monotonic()):
                    await self.arrived.wait()

    async def open(self) -> bool:
        """Send the SYN and its copies; return whether the flow has opened."""
        for copy, wait_s in enumerate(SYN_WAITS_S):
            self.client.note(self.key, "client", "sends SYN", copy)
            self.send(SYN, acknowledged=copy)
            await self.wait(lambda: self.expected is not None or self.was_reset, wait_s)
            if self.was_reset:
                return False
            if self.expected is not None:
                return True
        return False

    async def request(self, name: str, deadline_s: float) -> bool:
        """Send a request until it is answered; return whether it was."""
        data, self.answer = f"request {name} ".ljust(120, ".").encode(), b""
        ends, interval_s = time.monotonic() + deadline_s, FIRST_INTERVAL_S
        while time.monotonic() < ends and not self.was_reset:
            self.send(ACK, data)
            left_s = min(interval_s, ends - time.monotonic())
            await self.wait(lambda: bool(self.answer) or self.was_reset, left_s)
            if self.answer:
                self.sequence += len(data)
                if self.answer.split()[1].decode() != name:
                    self.client.mixed.append((self.key, name, self.answer[:60]))
                return True
            interval_s = min(2 * interval_s, LONGEST_INTERVAL_S)
        return False


class Client(asyncio.DatagramProtocol):
    """One client address with its flows, each from a port that it has not used before."""

    def __init__(
        self,
        address: Address,
        zone: str,
        route: Callable[[FlowKey, str], Address | None],
        note: Callable[..., None],
        on_reset: Callable[[Flow, str], None],
    ):
        self.address, self.zone, self.route = address, zone, route
        self.note, self.on_reset = note, on_reset
        self.flows: dict[FlowKey, Flow] = {}
        self.mixed: list = []
        self.altered = 0
        self.outcomes: dict[str, int] = {}
        self.next_port = FIRST_PORT
        self.random = random.Random(address[0])
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, self.address)

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Pass a packet to its flow."""
        packet = decode(data)
        if packet is None or packet.echo or packet.pad:
            self.altered += 1
            return
        flow = self.flows.get((packet.target, packet.source))
        if flow is not None:
            flow.on_packet(packet, sender[0])

    def count(self, outcome: str) -> None:
        """Count an outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    async def session(
        self, route: Address, requests: int, pause_s: float, deadline_s: float, retries: int = 2
    ) -> None:
        """Send some requests on a flow; each try after a failure uses a flow of its own."""
        done = 0
        for _ in range(retries + 1):
            self.next_port += 1
            key = (self.address[0], self.next_port), route
            flow = self.flows[key] = Flow(self, key, self.next_port)
            if not await flow.open():
                self.count("reset before it opened" if flow.was_reset else "not opened")
                del self.flows[key]
                continue
            while done < requests:
                name = f"{key[0][0]}:{key[0][1]}-{done}"
                if not await flow.request(name, deadline_s):
                    break
                done += 1
                self.count("answered")
                await asyncio.sleep(self.random.expovariate(1 / pause_s))
                if flow.was_reset:
                    break
            if not flow.was_reset:
                flow.send(FIN | ACK)
                self.note(key, "client", "sends FIN")
            await asyncio.sleep(0.2)
            del self.flows[key]
            if done == requests:
                return
            self.count("reset" if flow.was_reset else "not answered")
