"""A byte-stream upstream: answers requests, and returns packets of unknown flows."""

import asyncio
import random
import time
from enum import Enum
from typing import Any, NamedTuple

from heatheryoke.core.flows import FlowKey, describe_flow, flow_tuple
from heatheryoke.daemons.datagrams import Datagram, DatagramSocket
from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import ACK, BOUNCED, FIN, RST, SYN, Side, packet_flow
from heatheryoke.standins.stream_packets import Packet, build_packet, read_packet
from heatheryoke.standins.stream_store import StreamStore

__all__ = ["Sickness", "StreamUpstream"]

PACKET_DATA = 1_200
RETRANSMIT_S = 0.2
RETRANSMISSIONS = 5
FLAGS_OFFSET = 20
SICK_SLOWNESS = 10


class Opening(NamedTuple):
    """When a flow was opened, and by which copy of its caller's first packet (from 0)."""

    at: float
    copy: int


class Sickness(Enum):
    """What an upstream does wrong while its entry in the store says that it is ready."""

    NONE = "none"
    SILENT = "receives nothing"
    RESETS = "resets requests"
    HANGS = "answers no request"
    SLOW = "takes ten times as long"


class Connection:
    """State of one flow at the upstream."""

    def __init__(self, sequence: int, expected: int):
        self.first = self.sequence = sequence
        self.expected = expected
        self.acknowledged = sequence
        self.is_open = False
        self.closed = False


class StreamUpstream:
    """Serves up to `slots` requests at once, each in `work_s`, and registers in the store."""

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        app: Address,
        answers: Address,
        store: StreamStore,
        host_name: str = "",
    ):
        self.name = name
        self.host_name = host_name
        self.service = service
        self.domain = domain
        self.app = app
        self.answers = answers
        self.store = store
        self.slots = 4
        self.work_s = 0.02
        self.response_bytes = 3_000
        self.sickness = Sickness.NONE
        self.state = "ready"
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.connections: dict[FlowKey, Connection] = {}
        self.served = 0
        self.opened = 0
        self.openings: dict[FlowKey, Opening] = {}
        self.run_flows: set[FlowKey] = set()
        self.altered = 0
        self.free_slots = asyncio.Semaphore(self.slots)
        self.tasks: set[asyncio.Task[None]] = set()
        self.port: DatagramSocket | None = None
        self.random = random.Random(name)

    async def start(self) -> None:
        """Open the socket and register in the store."""
        self.port = DatagramSocket(asyncio.get_running_loop(), self.app, self.on_datagrams)
        self.write_entry()

    async def close(self) -> None:
        """Stop immediately, drop all flows, and remove the entry from the store."""
        for task in self.tasks:
            task.cancel()
        self.connections.clear()
        self.port.close()
        self.store.delete(f"servers/{self.name}")

    def set_state(self, state: str) -> None:
        """Report a new state to the store."""
        self.state = state
        self.write_entry()

    def has_open(self, flow: FlowKey) -> bool:
        """Return whether a flow is open here: its caller has acknowledged this acceptance."""
        connection = self.connections.get(flow)
        return connection is not None and connection.is_open

    def count_opened(self, address: Address) -> int:
        """Return how many flows to a caller's address were opened."""
        return sum(flow_tuple(flow).service == address for flow in self.openings)

    def write_entry(self) -> None:
        """Write this upstream's entry to the store."""
        self.sequence += 1
        self.store.put(f"servers/{self.name}", self.entry())

    def entry(self) -> dict[str, Any]:
        """Return this upstream's entry."""
        return {
            "service": self.service,
            "address": str(self.app),
            "zone": self.domain,
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def on_datagrams(self, batch: list[Datagram]) -> None:
        """Process packets from the agent, and count altered ones."""
        if self.sickness is Sickness.SILENT:
            return
        for data, _ in batch:
            packet = read_packet(data)
            if packet is None or (packet.has(SYN) and packet.has(ACK)):
                self.altered += 1
                continue
            self.on_packet(packet_flow(data, Side.CALLER), packet, data)

    def on_packet(self, flow: FlowKey, packet: Packet, data: bytes) -> None:
        """Process one packet, or return it to the agent if its flow is unknown."""
        connection = self.connections.get(flow)
        if packet.has(SYN):
            self.on_opening(flow, packet, connection)
        elif connection is None:
            returned = bytearray(data)
            returned[FLAGS_OFFSET] |= BOUNCED
            self.port.send(bytes(returned), self.answers)
        elif packet.has(RST):
            del self.connections[flow]
        else:
            self.on_segment(flow, packet, connection)

    def on_opening(self, flow: FlowKey, packet: Packet, connection: Connection | None) -> None:
        """Accept a flow, or acknowledge a repeated SYN again."""
        if connection is None:
            self.opened += 1
            self.openings[flow] = Opening(
                asyncio.get_running_loop().time(), packet.head.acknowledged
            )
            start = self.random.getrandbits(32)
            connection = Connection(start + 1, packet.head.sequence + 1)
            self.connections[flow] = connection
        self.send(flow, SYN | ACK, connection.first - 1, connection.expected)

    def on_segment(self, flow: FlowKey, packet: Packet, connection: Connection) -> None:
        """Process data and acknowledgements; serve a request only once."""
        head = packet.head
        connection.acknowledged = head.acknowledged
        connection.is_open |= head.acknowledged == connection.first
        if packet.has(FIN):
            self.send(flow, FIN | ACK, connection.sequence, head.sequence + 1)
            connection.closed = True
            return
        if not packet.data:
            return
        if head.sequence != connection.expected:
            self.send(flow, ACK, connection.sequence, connection.expected)
            return
        if self.sickness is Sickness.RESETS:
            del self.connections[flow]
            self.send(flow, RST, connection.sequence, connection.expected)
            return
        connection.expected = (connection.expected + len(packet.data)) % 2**32
        self.send(flow, ACK, connection.sequence, connection.expected)
        if self.sickness is not Sickness.HANGS:
            self.spawn(self.work(flow, connection, packet.data))

    async def work(self, flow: FlowKey, connection: Connection, request: bytes) -> None:
        """Serve a request, and retransmit the answer until it is acknowledged."""
        async with self.free_slots:
            slowness = SICK_SLOWNESS if self.sickness is Sickness.SLOW else 1
            await asyncio.sleep(self.work_s * slowness)
        self.served += 1
        self.run_flows.add(flow)
        line = request.split(b"\r\n", 1)[0]
        body = (line + b" " + describe_flow(flow).encode() + b" ").ljust(self.response_bytes, b".")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        data, start = head + body, connection.sequence
        connection.sequence = (start + len(data)) % 2**32
        for attempt in range(RETRANSMISSIONS):
            for at in range(0, len(data), PACKET_DATA):
                part = data[at : at + PACKET_DATA]
                self.send(flow, ACK, start + at, connection.expected, part)
            await asyncio.sleep(RETRANSMIT_S * 2**attempt)
            if connection.acknowledged == connection.sequence:
                return

    def send(
        self, flow: FlowKey, flags: int, sequence: int, acknowledged: int, data: bytes = b""
    ) -> None:
        """Send a packet to the flow's caller through the agent."""
        packet = build_packet(flow, flags, sequence, acknowledged, data, to_caller=True)
        self.port.send(packet, self.answers)

    def spawn(self, coroutine) -> None:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
