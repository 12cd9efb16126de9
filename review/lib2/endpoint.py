"""Stand-in for an endpoint: accepts flows, runs requests, and gives back what it does not hold."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from store import Store
from wire import ACK, FIN, MODULUS, RST, SYN, Address, FlowKey, Packet, bounced, decode

FIRST_INTERVAL_S, LONGEST_INTERVAL_S, RETRANSMISSIONS = 0.2, 1.6, 8
# A packet follows this endpoint's acceptance if it acknowledges up to this much of what was sent.
SENT_WINDOW = 76_800


class Held:
    """A flow that the endpoint holds; open once a packet has acknowledged its `first`."""

    def __init__(self, first: int, expected: int):
        self.first = first
        self.next = first + 1
        self.expected = expected
        self.acknowledged = first + 1
        self.opened_at: float | None = None
        self.is_over = False
        self.answer: Packet | None = None


class Endpoint(asyncio.DatagramProtocol):
    """One incarnation of an endpoint; `note` records what happens to each flow."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        app: Address,
        outbound: Address,
        store: Store,
        note: Callable[..., None],
        slots: int,
        work_s: float,
    ):
        self.name, self.service, self.zone = name, service, zone
        self.app, self.outbound, self.store, self.note = app, outbound, store, note
        self.slots, self.work_s = slots, work_s
        self.state, self.sequence = "ready", 0
        self.born = time.time_ns() // 1_000_000
        self.flows: dict[FlowKey, Held] = {}
        self.waiting: deque[tuple[FlowKey, Held, Packet]] = deque()
        self.busy = 0
        self.altered = 0
        self.is_alive = False
        self.random = random.Random(name)
        self.transport: asyncio.DatagramTransport | None = None
        self.health: asyncio.Server | None = None
        self.heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the sockets and register in the store."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, self.app)
        self.health = await asyncio.start_server(self.serve_health, *self.app)
        self.is_alive = True
        self.heartbeats = asyncio.create_task(self.beat())

    def power_off(self) -> None:
        """End at once; nothing is sent, and all flows are lost."""
        self.is_alive = False
        self.heartbeats.cancel()
        self.transport.abort()
        self.health.close()
        self.flows.clear()
        self.waiting.clear()

    async def beat(self) -> None:
        """Write the entry at every heartbeat."""
        while True:
            self.sequence += 1
            if not self.store.is_down:
                self.store.put(f"servers/{self.name}", self.entry())
            await asyncio.sleep(self.store.heartbeat_s)

    def entry(self) -> dict:
        """Return the entry as it is now."""
        return {
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def serve_health(self, reader, writer) -> None:
        """Answer the health check."""
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Handle a packet from the machine's own node."""
        packet = decode(data)
        if packet is None or packet.echo or packet.pad or (packet.has(SYN) and packet.has(ACK)):
            self.altered += 1
            return
        flow = packet.source, packet.target
        held = self.flows.get(flow)
        if packet.has(SYN):
            self.accept(flow, held, packet)
        elif held is None or not self.belongs(held, packet):
            self.note(flow, self.name, "gives back")
            self.transport.sendto(bounced(data), self.outbound)
        else:
            self.take(flow, held, packet)

    @staticmethod
    def belongs(held: Held, packet: Packet) -> bool:
        """Return whether a packet acknowledges what this endpoint has sent."""
        return 0 < (packet.acknowledged - held.first) % MODULUS <= SENT_WINDOW

    def accept(self, flow: FlowKey, held: Held | None, packet: Packet) -> None:
        """Accept a flow; answer a copy of its SYN as the first."""
        if held is None:
            held = self.flows[flow] = Held(self.random.getrandbits(30), packet.sequence + 1)
            self.note(flow, self.name, "takes the SYN", packet.acknowledged)
        self.send(flow, SYN | ACK, held.first, held.expected)

    def take(self, flow: FlowKey, held: Held, packet: Packet) -> None:
        """Handle a packet of a flow that is held."""
        if held.opened_at is None:
            held.opened_at = time.monotonic()
            self.note(flow, self.name, "has the end of the handshake")
        held.acknowledged = max(held.acknowledged, packet.acknowledged)
        if packet.has(RST):
            del self.flows[flow]
        elif held.is_over:
            self.send(flow, RST if packet.data else ACK, held.next, held.expected)
        elif packet.has(FIN):
            held.is_over = True
            self.note(flow, self.name, "has the FIN")
            self.send(flow, FIN | ACK, held.next, packet.sequence + 1)
        elif packet.data and packet.sequence == held.expected % MODULUS:
            held.expected += len(packet.data)
            held.answer = None
            self.send(flow, ACK, held.next, held.expected)
            self.waiting.append((flow, held, packet))
            self.start_waiting()
        elif packet.data:
            self.send(flow, ACK, held.next, held.expected)
            if held.answer is not None:
                self.transport.sendto(held.answer.encode(), self.outbound)

    def start_waiting(self) -> None:
        """Start the requests that wait, as far as there are slots."""
        while self.waiting and self.busy < self.slots and self.is_alive:
            self.busy += 1
            flow, held, packet = self.waiting.popleft()
            self.note(flow, self.name, "runs", packet.data.split()[1].decode())
            work_s = self.work_s * self.random.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(work_s, self.finish, flow, held, packet)

    def finish(self, flow: FlowKey, held: Held, packet: Packet) -> None:
        """Answer a request."""
        self.busy -= 1
        if not self.is_alive:
            return
        if self.flows.get(flow) is held and not held.is_over:
            body = (b"answer " + packet.data.split()[1] + b" ").ljust(600, b".")
            start = held.next
            held.next += len(body)
            held.answer = Packet(flow[1], flow[0], ACK, start, held.expected, body)
            self.repeat(flow, held, held.answer, 0)
        self.start_waiting()

    def repeat(self, flow: FlowKey, held: Held, answer: Packet, sent_before: int) -> None:
        """Send an answer until it is acknowledged."""
        if not self.is_alive or held.answer is not answer or self.flows.get(flow) is not held:
            return
        if held.acknowledged >= answer.sequence + len(answer.data):
            return
        if sent_before > RETRANSMISSIONS:
            return
        self.transport.sendto(answer.encode(), self.outbound)
        delay_s = min(FIRST_INTERVAL_S * 2**sent_before, LONGEST_INTERVAL_S)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self.repeat, flow, held, answer, sent_before + 1)

    def send(self, flow: FlowKey, flags: int, sequence: int, acknowledged: int) -> None:
        """Send a packet without data to the client of a flow."""
        packet = Packet(flow[1], flow[0], flags, sequence % MODULUS, acknowledged % MODULUS)
        self.transport.sendto(packet.encode(), self.outbound)
