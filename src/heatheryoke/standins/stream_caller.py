"""A byte-stream caller: opens flows, sends requests and classifies their outcomes."""

import asyncio
import random
from collections.abc import Callable
from enum import Enum
from math import inf

from heatheryoke.core.flows import UDP, FlowKey, FlowTuple, flow_key
from heatheryoke.daemons.datagrams import Datagram, DatagramSocket
from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import ACK, FIN, RST, SYN, PacketCodec, Side, packet_flow
from heatheryoke.standins.stream_packets import Packet, build_packet, read_packet

__all__ = ["Outcome", "StreamCaller", "StreamFlow"]

SYN_TIMEOUTS_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
FIRST_PORT = 1_024


class Outcome(Enum):
    """Outcome of a request."""

    SERVED = "served"
    NOT_OPENED = "not opened"
    RESET = "reset"
    SILENT = "silent"
    MIXED = "mixed"


class StreamFlow:
    """One flow of a caller."""

    def __init__(self, caller: "StreamCaller", key: FlowKey):
        self.caller = caller
        self.key = key
        self.sequence = caller.random.getrandbits(31)
        self.expected: int | None = None
        self.received = b""
        self.was_reset = False
        self.requests = 0
        self.opened_at = inf
        # When the latest packet was sent, and when each balancer (by IP address) took one.
        self.active_at = caller.now()
        self.taken_at: dict[str, float] = {}
        self.packet_arrived = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether an upstream has accepted the flow."""
        return self.expected is not None

    def on_packet(self, packet: Packet) -> None:
        """Process a packet of the flow."""
        if packet.has(RST):
            self.was_reset = True
        elif packet.has(SYN) and self.expected is None:
            self.expected = (packet.head.sequence + 1) % 2**32
            self.opened_at = self.caller.now()
            self.sequence = (self.sequence + 1) % 2**32
        elif packet.data and packet.head.sequence == self.expected:
            self.received += packet.data
            self.expected = (self.expected + len(packet.data)) % 2**32
        if packet.data:
            self.send(ACK)
        self.packet_arrived.set()

    def send(self, flags: int, data: bytes = b"") -> None:
        """Send a packet of the flow."""
        self.send_acknowledging(self.expected or 0, flags, data)

    def send_acknowledging(self, acknowledged: int, flags: int, data: bytes = b"") -> None:
        """Send a packet with an acknowledgement; note when which balancer takes it."""
        packet = build_packet(self.key, flags, self.sequence, acknowledged, data)
        balancer = self.caller.send(packet)
        self.active_at = self.caller.now()
        if balancer is not None:
            self.taken_at[balancer.ip] = self.active_at

    async def open(self) -> Outcome | None:
        """Open the flow; return None on success, otherwise the outcome."""
        for copy, wait_s in enumerate(SYN_TIMEOUTS_S):
            self.send_acknowledging(copy, SYN)
            await self.wait(lambda: self.is_open or self.was_reset, wait_s)
            if self.was_reset:
                return Outcome.RESET
            if self.is_open:
                return None
        return Outcome.NOT_OPENED

    async def request(self, timeout_s: float) -> Outcome:
        """Open the flow if needed, send a request and wait for the complete answer."""
        if not self.is_open:
            refused = await self.open()
            if refused is not None:
                return refused
        self.requests += 1
        line = f"GET /{self.requests}".encode()
        request = line + b"\r\n\r\n"
        self.received = b""
        loop = asyncio.get_running_loop()
        ends, wait_s = loop.time() + timeout_s, RETRANSMIT_S
        while loop.time() < ends and not self.was_reset:
            self.send(ACK, request)
            await self.wait(lambda: self.is_answered() or self.was_reset, wait_s)
            if self.is_answered():
                self.sequence = (self.sequence + len(request)) % 2**32
                return Outcome.SERVED if line in self.received else Outcome.MIXED
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
        return Outcome.RESET if self.was_reset else Outcome.SILENT

    def is_answered(self) -> bool:
        """Return whether a complete answer has been received."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        return bool(separator) and len(body) >= int(head.rpartition(b" ")[2])

    async def wait(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition holds or the time-out expires."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + timeout_s
        while not condition() and loop.time() < ends:
            self.packet_arrived.clear()
            try:
                async with asyncio.timeout_at(ends):
                    await self.packet_arrived.wait()
            except TimeoutError:
                return

    def close(self) -> None:
        """Send a FIN and drop the flow."""
        self.send(FIN | ACK)
        self.caller.flows.pop(self.key, None)


class StreamCaller:
    """Client address with its flows; `route` returns the balancer for a packet."""

    def __init__(self, address: Address, route: Callable[[FlowKey], Address | None], seed: int):
        self.address = address
        self.route = route
        self.random = random.Random(seed)
        self.flows: dict[FlowKey, StreamFlow] = {}
        self.next_port = FIRST_PORT
        self.codec = PacketCodec()
        self.altered = 0
        # Called with a flow that the system resets, and the IP address of the sender.
        self.on_system_reset: Callable[[StreamFlow, str], None] = lambda flow, sender: None
        self.port: DatagramSocket | None = None

    async def start(self) -> None:
        """Open the socket."""
        self.port = DatagramSocket(asyncio.get_running_loop(), self.address, self.on_datagrams)

    async def close(self) -> None:
        """Close the socket."""
        self.port.close()

    def flow(self, service: Address) -> StreamFlow:
        """Return a new flow to a service, from an unused source port."""
        self.next_port += 1
        source = Address(self.address.ip, self.next_port)
        flow = StreamFlow(self, flow_key(FlowTuple(UDP, source, service)))
        self.flows[flow.key] = flow
        return flow

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def send(self, packet: bytes) -> Address | None:
        """Send a packet to the balancer that the router currently selects, and return it."""
        balancer = self.route(packet_flow(packet, Side.CALLER))
        if balancer is not None:
            self.port.send(packet, balancer)
        return balancer

    def on_datagrams(self, batch: list[Datagram]) -> None:
        """Pass packets to their flows, and count altered ones."""
        for data, source in batch:
            packet = read_packet(data)
            if packet is None:
                self.altered += 1
                continue
            flow = self.flows.get(packet_flow(data, Side.UPSTREAM))
            if flow is None:
                continue
            if packet.is_system_reset:
                self.on_system_reset(flow, source[0])
            flow.on_packet(packet)
