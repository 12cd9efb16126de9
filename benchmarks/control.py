"""Control traffic: fan-out of relayed messages by fleet size, and the size of each message."""

from benchmarks.common import fleet_document, report
from heatheryoke.core.membership import relay_targets, watch_offsets
from heatheryoke.core.messages import (
    Accusation,
    Accusations,
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    ConfigurationPart,
    ConfigurationRequest,
    EpochNotice,
    Heartbeat,
    Hint,
    Registration,
    Registrations,
    RegistrationsAck,
)
from heatheryoke.core.topology import Topology
from heatheryoke.wire.control import encode_control
from heatheryoke.wire.envelope import BODY_OFFSET

DATAGRAM_HEADERS = 28
FLEETS = ((100, 10, 7), (1_375, 138, 98), (11_000, 1_100, 780))
FLOW = bytes(range(13))


def measure_fan_out(endpoints: int, balancers: int, services: int) -> None:
    """Follow one message as it is relayed around the ring."""
    ring = Topology(fleet_document(endpoints, balancers, services)).ring
    positions = {host.name: index for index, host in enumerate(ring)}
    depths = {ring[0].name: 0}
    sent_counts = {ring[0].name: 0}
    pending = [(0, len(ring) - 1)]
    while pending:
        position, span = pending.pop()
        name = ring[position].name
        for target in relay_targets(ring, position, span):
            sent_counts[name] = sent_counts.get(name, 0) + 1
            depths[target.host.name] = depths[name] + 1
            pending.append((positions[target.host.name], target.span))
    report(
        "fan-out",
        processes=len(ring),
        reached=len(depths),
        hops=max(depths.values()),
        most_sent=max(sent_counts.values()),
        watchers=len(watch_offsets(len(ring))),
    )


def measure_sizes() -> None:
    """Report the size of each message on the wire, headers included."""
    registration = Registration(FLOW, "upstream-11000", 0, 40_000, True, False, ())
    feed_registration = registration._replace(feeds=(bytes(range(60)),))
    identity = b"0190f3c4-7a8b-7c3d-9e21-5f6a7b8c9d0e#0"
    service = "service-780"
    messages = {
        "heartbeat": Heartbeat("upstream-11000", 2**60, 2**31),
        "registration": Registrations(2**31, (registration,)),
        "registration with feed": Registrations(2**31, (feed_registration,)),
        "12 registrations": Registrations(2**31, (registration,) * 12),
        "acknowledgement": RegistrationsAck(2**31),
        "hint": Hint(FLOW, 2**63),
        "claim": ClaimRequest(service, identity, "upstream-11000", 2**60),
        "claim reply": ClaimReply(
            identity, "upstream-11000", 2**60, ClaimVerdict.GRANTED, "upstream-11000", 2**60
        ),
        "accusation": Accusations(
            100, (Accusation("upstream-11000", "upstream-10999", 2**60, True),)
        ),
        "epoch notice": EpochNotice(1_500),
        "configuration request": ConfigurationRequest(400_000),
        "configuration part": ConfigurationPart(400_001, 400_000, 0, 1, bytes(200)),
        "full configuration part": ConfigurationPart(400_001, 0, 0, 300, bytes(range(220)) * 5),
    }
    for name, message in messages.items():
        size = len(encode_control(message)) + BODY_OFFSET + DATAGRAM_HEADERS
        report("message", message=name, bytes=size)


def main() -> None:
    """Measure the fan-out at each fleet size, and all messages."""
    for fleet in FLEETS:
        measure_fan_out(*fleet)
    measure_sizes()


if __name__ == "__main__":
    main()
