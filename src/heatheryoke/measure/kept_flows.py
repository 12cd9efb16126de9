"""Flows in the model that stay open for several requests: their upstreams and their callers."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from heatheryoke.core.events import CallerPacket, UpstreamPacket
from heatheryoke.core.flows import FlowKey, PacketKind
from heatheryoke.core.streams import SEQUENCE_MODULUS, StreamHeader
from heatheryoke.measure.stream_upstream_model import StreamUpstreamModel, returned_packet
from heatheryoke.platform.packets import ACK, FIN, RST, SYN
from heatheryoke.standins.stream_packets import build_packet

if TYPE_CHECKING:
    from heatheryoke.measure.flow_world import FlowProcess, FlowWorld

__all__ = ["FlowCaller", "KeepingUpstream"]

ANSWER = b"done"
# A packet belongs to an upstream's flow if it acknowledges up to this much of what it has sent.
SENT_WINDOW = 76_800
# When an end sends again what was not acknowledged: after 0.2 s, doubled up to 1.6 s.
FIRST_INTERVAL_S = 0.2
LONGEST_INTERVAL_S = 1.6
# When a caller sends its first packet and the copies of it, and when it gives up.
OPENING_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
# Time that a caller waits for an answer.
ANSWER_TIMEOUT_S = 6.0
CALLER_DELAY_S = 0.003


def interval_s(sent_before: int) -> float:
    """Return the time until a packet is sent again."""
    return min(FIRST_INTERVAL_S * 2**sent_before, LONGEST_INTERVAL_S)


class HeldFlow:
    """A flow at an upstream; open once a packet that acknowledges `sequence` has arrived."""

    def __init__(self, sequence: int):
        self.sequence = sequence
        self.is_open = False
        self.is_over = False
        self.running: int | None = None
        self.answers: dict[int, bytes] = {}
        self.answered = 0
        self.acknowledged = 0
        self.last_packet = 0.0

    def belongs(self, head: StreamHeader) -> bool:
        """Return whether a caller's packet acknowledges what this upstream has sent."""
        return 0 < (head.acknowledged - self.sequence) % SEQUENCE_MODULUS < SENT_WINDOW

    def is_acknowledged(self, number: int) -> bool:
        """Return whether the caller has got an answer."""
        return self.acknowledged > number * len(ANSWER)

    def next_sequence(self) -> int:
        """Return the sequence number of the next answer."""
        return self.sequence + 1 + self.answered * len(ANSWER)


class KeepingUpstream(StreamUpstreamModel):
    """An upstream that holds flows; it returns every packet of a flow that it does not hold.

    A draining upstream closes each flow after its next answer.
    """

    def __init__(self, world: "FlowWorld", process: "FlowProcess"):
        super().__init__(world, process)
        self.held: dict[FlowKey, HeldFlow] = {}
        self.waiting: list[tuple[FlowKey, int]] = []
        self.is_draining = False
        self.is_gone = False

    def note(self, flow: FlowKey, event: str, detail: str = "") -> None:
        """Add an event to a flow's trace."""
        self.world.judge.note(flow, f"up {self.process.name}", event, detail)

    def leave(self) -> None:
        """Exit: every flow is lost."""
        self.is_gone = True
        self.held.clear()
        self.waiting.clear()

    def on_packet(self, flow: FlowKey, packet: bytes) -> None:
        """Handle a caller's packet; return it to the agent if its flow is not held."""
        if self.is_gone:
            return
        head = self.world.codec.read_header(packet)
        held = self.held.get(flow)
        if head.opens:
            self.accept(flow, held)
        elif held is None or not held.belongs(head):
            self.note(flow, "returned data")
            self.process.step(UpstreamPacket(self.world.now, flow, returned_packet(packet)))
        elif held.is_over:
            self.answer(flow, RST if head.length else ACK, held.next_sequence())
        else:
            self.take(flow, held, head)

    def accept(self, flow: FlowKey, held: HeldFlow | None) -> None:
        """Accept a flow, or repeat the acceptance."""
        if held is None:
            held = self.held[flow] = HeldFlow(self.world.random.getrandbits(31))
            self.note(flow, "accepted")
        self.answer(flow, SYN | ACK, held.sequence)

    def take(self, flow: FlowKey, held: HeldFlow, head: StreamHeader) -> None:
        """Process a packet of a flow that is held."""
        if not held.is_open:
            held.is_open = True
            self.note(flow, "opened")
        held.last_packet = self.world.now
        acknowledged = (head.acknowledged - held.sequence) % SEQUENCE_MODULUS
        held.acknowledged = max(held.acknowledged, acknowledged)
        if head.closes:
            held.is_over = True
            self.note(flow, "closed")
            self.answer(flow, FIN | ACK, held.next_sequence())
        elif head.length:
            self.take_request(flow, held, head.sequence)

    def take_request(self, flow: FlowKey, held: HeldFlow, number: int) -> None:
        """Start a request, or repeat its answer; acknowledge a copy of one in progress."""
        if number in held.answers:
            self.send_answer(flow, held, number)
        elif held.running is not None:
            self.answer(flow, ACK, held.next_sequence())
        else:
            held.running = number
            self.waiting.append((flow, number))
            self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests while there are free slots."""
        while self.waiting and self.busy < self.world.site.slots:
            flow, number = self.waiting.pop(0)
            self.busy += 1
            work_s = self.world.random.expovariate(1 / self.world.site.work_s)
            self.world.scheduler.after(work_s, lambda f=flow, n=number: self.finish_request(f, n))

    def finish_request(self, flow: FlowKey, number: int) -> None:
        """Answer a request and start the next."""
        self.busy -= 1
        held = self.held.get(flow)
        if held is not None and not held.is_over:
            flags = ACK | FIN if self.is_draining else ACK
            packet = build_packet(flow, flags, held.next_sequence(), 0, ANSWER, to_caller=True)
            held.answers = {number: packet}
            held.running = None
            held.answered += 1
            self.repeat_answer(flow, held, number, held.answered, 0)
        self.start_queued()

    def repeat_answer(
        self, flow: FlowKey, held: HeldFlow, number: int, answered: int, sent_before: int
    ) -> None:
        """Send an answer until the caller has acknowledged it."""
        is_held = self.held.get(flow) is held and not held.is_over and number in held.answers
        if not is_held or held.is_acknowledged(answered) or sent_before > 4:
            return
        self.send_answer(flow, held, number)
        self.world.scheduler.after(
            interval_s(sent_before),
            lambda: self.repeat_answer(flow, held, number, answered, sent_before + 1),
        )

    def send_answer(self, flow: FlowKey, held: HeldFlow, number: int) -> None:
        """Send an answer to the caller."""
        self.process.step(UpstreamPacket(self.world.now, flow, held.answers[number]))

    def holds_open(self, flow: FlowKey, sequence: int) -> bool:
        """Return whether a flow is open here as its caller follows it."""
        held = self.held.get(flow)
        return held is not None and held.sequence == sequence and held.is_open and not held.is_over


class FlowCaller:
    """A caller that keeps a flow open for some requests, with pauses between them.

    It follows the first acceptance that arrives, and ignores all others.
    """

    def __init__(self, world: "FlowWorld", domain: str, requests: int, pause_s: float):
        self.world = world
        self.domain = domain
        self.requests = requests
        self.pause_s = pause_s
        self.flow = world.next_flow()
        self.upstream: KeepingUpstream | None = None
        self.accepted = 0
        self.received = 0
        self.answered = 0
        self.is_waiting = False
        self.is_over = False
        self.balancer = world.choose_balancer(domain)

    def note(self, event: str, detail: str = "") -> None:
        """Add an event to the flow's trace."""
        self.world.judge.note(self.flow, "caller", event, detail)

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback unless the flow is over by then."""
        self.world.scheduler.after(delay_s, lambda: None if self.is_over else callback())

    def open(self) -> None:
        """Send the first packet, and its copies while no acceptance arrives."""
        for copy, delay_s in enumerate(OPENING_TIMES_S):
            self.after(delay_s, lambda n=copy: self.send_opening(n))
        self.after(OPENING_TIMEOUT_S, self.give_up_opening)

    def send_opening(self, copy: int) -> None:
        """Send a copy of the first packet unless the flow is open."""
        if self.upstream is None:
            self.note(
                "sent SYN", f"copy {copy} by {self.send(build_packet(self.flow, SYN, 1, copy))}"
            )

    def give_up_opening(self) -> None:
        """End if no acceptance has arrived."""
        if self.upstream is None:
            self.end("not opened")

    def send(self, packet: bytes) -> str:
        """Send a packet to the caller's balancer, to another once that is out of rotation."""
        world = self.world
        if not self.balancer.is_ready():
            self.balancer = world.choose_balancer(self.domain)
        balancer, flow = self.balancer, self.flow
        world.scheduler.after(
            CALLER_DELAY_S,
            lambda: balancer.step(CallerPacket(world.now, flow, PacketKind.EITHER, packet)),
        )
        return balancer.name

    def on_packet(self, packet: bytes, sender: "FlowProcess") -> None:
        """Handle a packet that a process has sent."""
        head = self.world.codec.read_header(packet)
        if self.is_over:
            return
        if head.resets:
            self.on_reset(packet, sender)
        elif head.accepts:
            self.on_accepted(head, sender)
        elif self.upstream is not None and head.sequence == self.next_expected():
            self.on_answer(head)

    def on_reset(self, packet: bytes, sender: "FlowProcess") -> None:
        """End the flow; a reset with the checksum 0 is the system's own."""
        if packet[:4] == bytes(4):
            self.world.judge.on_reset(self, sender)
        self.end("reset")

    def on_accepted(self, head: StreamHeader, sender: "FlowProcess") -> None:
        """Follow the first acceptance."""
        if self.upstream is not None:
            if sender.upstream is not self.upstream:
                self.note("ignored SYN+ACK", f"from {sender.name}")
            return
        self.note("followed", sender.name)
        self.upstream, self.accepted = sender.upstream, head.sequence
        self.start_request()

    def next_expected(self) -> int:
        """Return the next sequence number of the followed upstream."""
        return (self.accepted + 1 + self.received) % SEQUENCE_MODULUS

    def start_request(self) -> None:
        """Send a request until it is answered."""
        self.is_waiting = True
        self.send_request(self.answered, 0, self.world.now)

    def send_request(self, number: int, sent_before: int, started: float) -> None:
        """Send a request's data unless it has been answered."""
        if number != self.answered:
            return
        if self.world.now - started > ANSWER_TIMEOUT_S:
            self.end("not answered")
            return
        self.send_data(ACK, b"r")
        if sent_before:
            self.note("sent again", f"request {number}")
        self.after(
            interval_s(sent_before), lambda: self.send_request(number, sent_before + 1, started)
        )

    def send_data(self, flags: int, data: bytes = b"") -> None:
        """Send a packet that acknowledges what has arrived."""
        self.send(build_packet(self.flow, flags, 2 + self.answered, self.next_expected(), data))

    def on_answer(self, head: StreamHeader) -> None:
        """Acknowledge an answer; close the flow, or pause before the next request."""
        if not head.length:
            return
        self.received += head.length
        self.answered += 1
        self.is_waiting = False
        if head.closes or self.answered == self.requests:
            self.send_data(FIN | ACK)
            self.end("done")
            return
        self.send_data(ACK)
        self.after(self.world.random.expovariate(1 / self.pause_s), self.start_request)

    def is_open_at_upstream(self) -> bool:
        """Return whether the followed upstream holds the flow open."""
        upstream = self.upstream
        return upstream is not None and upstream.holds_open(self.flow, self.accepted)

    def last_arrival(self) -> float:
        """Return when the followed upstream last got a packet of the flow."""
        return self.upstream.held[self.flow].last_packet

    def end(self, outcome: str) -> None:
        """End the flow."""
        self.is_over = True
        self.note("ended", outcome)
        self.world.callers.pop(self.flow, None)
