"""A model of an upstream whose flows carry one request each, and the faults it may have."""

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from heatheryoke.core.events import UpstreamPacket
from heatheryoke.core.flows import FlowKey
from heatheryoke.platform.packets import ACK, BOUNCED, FIN, RST, SYN
from heatheryoke.standins.stream_packets import build_packet

if TYPE_CHECKING:
    from heatheryoke.measure.stream_world import StreamProcess, StreamWorld

__all__ = ["NO_FAULT", "StreamUpstreamModel", "UpstreamFault", "returned_packet"]

FLAGS_OFFSET = 20


class UpstreamFault(NamedTuple):
    """What an upstream does to a share of its requests while its entry in the store is unchanged.

    `refuses` means that it accepts no flow, `resets` that it resets the flow of a request at once,
    and `hangs` that it never answers. Its work takes `slowness` times as long.
    """

    share: float = 1.0
    refuses: bool = False
    resets: bool = False
    hangs: bool = False
    slowness: float = 1.0


NO_FAULT = UpstreamFault()


class StreamUpstreamModel:
    """An upstream that answers one request per flow, with a queue before its slots."""

    def __init__(self, world: "StreamWorld", process: "StreamProcess"):
        self.world = world
        self.process = process
        self.sequences: dict[FlowKey, int] = {}
        self.busy = 0
        self.queue: list[FlowKey] = []
        self.runs: Counter[FlowKey] = Counter()
        self.opened_at: list[float] = []
        self.fault = NO_FAULT

    def fails(self) -> bool:
        """Return whether the fault hits the next request."""
        return self.fault.share == 1.0 or self.world.random.random() < self.fault.share

    def on_packet(self, flow: FlowKey, packet: bytes) -> None:
        """Handle a caller's packet; return it to the agent if its flow is unknown."""
        head = self.world.codec.read_header(packet)
        if self.fault.refuses:
            return
        if head.opens:
            if flow not in self.sequences:
                self.opened_at.append(self.world.now)
            sequence = self.sequences.setdefault(flow, self.world.random.getrandbits(31))
            self.answer(flow, SYN | ACK, sequence)
        elif flow not in self.sequences:
            self.process.step(UpstreamPacket(self.world.now, flow, returned_packet(packet)))
        elif head.length and flow not in self.runs:
            if self.fault.resets and self.fails():
                self.answer(flow, RST, self.sequences.pop(flow) + 1)
                return
            self.runs[flow] += 1
            if self.fault.hangs and self.fails():
                return
            self.queue.append(flow)
            self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests while there are free slots."""
        while self.queue and self.busy < self.world.site.slots:
            flow = self.queue.pop(0)
            self.busy += 1
            mean_s = self.world.site.work_s * self.fault.slowness
            work_s = self.world.random.expovariate(1 / mean_s)
            self.world.scheduler.after(work_s, lambda flow=flow: self.finish(flow))

    def finish(self, flow: FlowKey) -> None:
        """Answer a request and start the next."""
        self.busy -= 1
        self.answer(flow, FIN | ACK, self.sequences[flow] + 1, b"done")
        self.start_queued()

    def answer(self, flow: FlowKey, flags: int, sequence: int, data: bytes = b"") -> None:
        """Send a packet to a flow's caller through the agent."""
        packet = build_packet(flow, flags, sequence, 0, data, to_caller=True)
        self.process.step(UpstreamPacket(self.world.now, flow, packet))


def returned_packet(packet: bytes) -> bytes:
    """Return a caller's packet as an upstream returns it that does not hold its flow."""
    returned = bytearray(packet)
    returned[FLAGS_OFFSET] |= BOUNCED
    return bytes(returned)
