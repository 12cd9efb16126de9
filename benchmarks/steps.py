"""Time per reducer step and per codec operation."""

from itertools import count

from benchmarks.common import per_call_us, report
from heatheryoke.core.agent import Agent
from heatheryoke.core.balancer import Balancer
from heatheryoke.core.events import (
    CallerPacket,
    ConfigurationOffered,
    FlowBound,
    ForwardArrived,
    PeerMessageArrived,
    Tick,
    UpstreamPacket,
)
from heatheryoke.core.flows import UDP, FlowTuple, PacketKind, flow_key
from heatheryoke.core.messages import (
    ClaimRequest,
    Forward,
    Heartbeat,
    Registration,
    Registrations,
)
from heatheryoke.core.requests import RequestKind
from heatheryoke.inventory.checks import name_hash
from heatheryoke.inventory.model import Address, Protocol
from heatheryoke.measure.plain_codec import ANSWER, REQUEST, PlainCodec, PlainMessage
from heatheryoke.standins.deployments import DEPLOYMENTS, make_document
from heatheryoke.wire.control import decode_control, encode_control
from heatheryoke.wire.envelope import EnvelopeCodec, EnvelopeKind
from heatheryoke.wire.forward import decode_forward, encode_forward

NOW = 100.0
PEER = Address("10.1.0.9", 5_683)


def build_reducers():
    """Return a document, and a balancer and an agent with it in force."""
    numbers = count(1)
    document = make_document(
        DEPLOYMENTS["sundarban"], lambda: Address(f"10.1.0.{next(numbers)}", 5_683)
    )
    balancer = Balancer("balancer-1", 1)
    agent = Agent("upstream-1", 1, NOW, {Protocol.COAP: PlainCodec}, first_start=True)
    for node in (balancer, agent):
        node.reduce(ConfigurationOffered(NOW, document))
    agent.recovery.peers_replied = set(agent.recovery.peers)
    return document, balancer, agent


def measure_codecs(forward: Forward) -> None:
    """Measure the codecs of forwards, envelopes and control messages."""
    body = encode_forward(forward)
    sender, receiver = EnvelopeCodec(b"k" * 32, 1), EnvelopeCodec(b"k" * 32, 2)
    report("codec", step="encode forward", us=per_call_us(lambda: encode_forward(forward)))
    report("codec", step="decode forward", us=per_call_us(lambda: decode_forward(body)))
    seal = lambda: sender.seal(EnvelopeKind.FORWARD, 1, body)  # noqa: E731
    report("codec", step="seal 200 bytes", us=per_call_us(seal))
    seal_and_open = lambda: receiver.open(seal())  # noqa: E731
    report("codec", step="seal and open 200 bytes", us=per_call_us(seal_and_open))
    registration = Registration(forward.flow, "upstream-1", 0, 40_000, True, False, ())
    for message in (Heartbeat("upstream-1", 2**60, 7), Registrations(1, (registration,))):
        data = encode_control(message)
        name = type(message).__name__
        report("codec", step=f"encode {name}", us=per_call_us(lambda m=message: encode_control(m)))
        report("codec", step=f"decode {name}", us=per_call_us(lambda d=data: decode_control(d)))


def main() -> None:
    """Measure every step."""
    document, balancer, agent = build_reducers()
    main_service = document.services[0]
    flow = flow_key(FlowTuple(UDP, Address("192.0.2.1", 4_000), main_service.address))
    payload = PlainMessage(REQUEST, RequestKind.CONTROL, 1, "", b"", text=b"x" * 190).encode()
    packet = CallerPacket(NOW, flow, PacketKind.EITHER, payload)
    report(
        "step", event="caller's packet, no hint", us=per_call_us(lambda: balancer.reduce(packet))
    )
    balancer.hints[flow] = name_hash("upstream-1")
    report("step", event="caller's packet, hint", us=per_call_us(lambda: balancer.reduce(packet)))
    service_id = name_hash(main_service.name)
    forward = Forward(flow, service_id, PacketKind.EITHER, 8, PEER, payload, assigned=True)
    agent.reduce(ForwardArrived(NOW, PEER, 1, forward))
    agent.reduce(FlowBound(NOW, flow, 40_000))
    owned = ForwardArrived(NOW, PEER, 1, forward._replace(assigned=False))
    report("step", event="packet of an owned flow", us=per_call_us(lambda: agent.reduce(owned)))
    notification = PlainMessage(
        ANSWER, RequestKind.FEED, 1, "", b"t", text=b"x" * 190, feed=True
    ).encode()
    answer = UpstreamPacket(NOW, flow, notification)
    report("step", event="upstream's packet", us=per_call_us(lambda: agent.reduce(answer)))
    registration = Registration(flow, "upstream-2", 0, 40_000, True, False, ())
    numbers = count()

    def register():
        renumbered = registration._replace(flow=next(numbers).to_bytes(13, "big"))
        return agent.reduce(PeerMessageArrived(NOW, PEER, 1, Registrations(1, (renumbered,))))

    report("step", event="registration", us=per_call_us(register))

    def claim():
        request = ClaimRequest(
            main_service.name, next(numbers).to_bytes(16, "big"), "upstream-2", 9
        )
        return agent.reduce(PeerMessageArrived(NOW, PEER, 1, request))

    report("step", event="claim at a witness", us=per_call_us(claim))
    heartbeat = PeerMessageArrived(
        NOW, PEER, 1, Heartbeat("balancer-2", 1, agent.membership.digest)
    )
    report("step", event="heartbeat", us=per_call_us(lambda: agent.reduce(heartbeat)))
    report("step", event="tick, agent", us=per_call_us(lambda: agent.reduce(Tick(NOW))))
    report("step", event="tick, balancer", us=per_call_us(lambda: balancer.reduce(Tick(NOW))))
    measure_codecs(forward)


if __name__ == "__main__":
    main()
