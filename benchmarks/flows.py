"""Rate of new flows at the balancer and agent reducers; memory and expiry of many held flows."""

import time
import tracemalloc
from itertools import count

from benchmarks.common import report
from benchmarks.steps import NOW, PEER, build_reducers
from heatheryoke.core.directory import Directory
from heatheryoke.core.events import CallerPacket, FlowBound, ForwardArrived, Tick
from heatheryoke.core.flows import UDP, FlowTuple, PacketKind, flow_key
from heatheryoke.core.messages import Registration
from heatheryoke.core.ownership import OwnedFlow, OwnedFlows
from heatheryoke.core.requests import RequestKind
from heatheryoke.inventory.model import Address
from heatheryoke.measure.plain_codec import REQUEST, PlainMessage

NEW_FLOWS = 1_500
SIZES = (75_000, 150_000, 300_000)


def flow_of(number: int, service: Address) -> bytes:
    """Return the key of the flow with a given number."""
    ip = f"100.{number >> 18 & 63}.{number >> 10 & 255}.{number >> 2 & 255}"
    return flow_key(FlowTuple(UDP, Address(ip, 1_024 + (number & 3)), service))


def measure_new_flows() -> None:
    """Measure the first packets of new flows, from the fabric to the upstream."""
    document, balancer, agent = build_reducers()
    service = document.services[0]
    payload = PlainMessage(REQUEST, RequestKind.CONTROL, 1, "", b"", text=b"x" * 190).encode()
    keys = [flow_of(number, service.address) for number in range(NEW_FLOWS)]
    began = time.perf_counter()
    for key in keys:
        balancer.reduce(CallerPacket(NOW, key, PacketKind.EITHER, payload))
    balancer_s = time.perf_counter() - began
    forwards = [
        balancer.reduce(CallerPacket(NOW, key, PacketKind.EITHER, payload))[0].message
        for key in keys
    ]
    began = time.perf_counter()
    for forward in forwards:
        arrived = ForwardArrived(NOW, PEER, 1, forward._replace(assigned=True))
        agent.reduce(arrived)
        agent.reduce(FlowBound(NOW, forward.flow, 40_000))
    agent.reduce(Tick(NOW + 0.06))
    agent_s = time.perf_counter() - began
    report(
        "new flows",
        balancer_per_s=round(NEW_FLOWS / balancer_s),
        agent_per_s=round(NEW_FLOWS / agent_s),
    )


def measure_held_flows(size: int) -> None:
    """Measure the memory of directory entries and owned flows, and the longest expiry step."""
    service = Address("198.51.100.1", 5_683)
    tracemalloc.start()
    directory = Directory(maximum=size)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(size):
        key = flow_of(number, service)
        directory.register(Registration(key, "upstream-1", 0, 40_000, True, False, ()), NOW)
    entry_bytes = (tracemalloc.get_traced_memory()[0] - before) / size
    flows = OwnedFlows()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(size):
        flows.add(OwnedFlow(flow_of(number, service), "fitters", 0, 40_000, NOW))
    owned_bytes = (tracemalloc.get_traced_memory()[0] - before) / size
    tracemalloc.stop()
    longest = 0.0
    total_expired = 0
    for _ in count():
        began = time.perf_counter()
        expired = directory.expire(NOW + 1_000, 200)
        longest = max(longest, time.perf_counter() - began)
        total_expired += expired
        if not expired:
            break
    report(
        "held flows",
        flows=size,
        entry_bytes=round(entry_bytes),
        owned_bytes=round(owned_bytes),
        entries_mb=round(entry_bytes * size / 1e6, 1),
        owned_mb=round(owned_bytes * size / 1e6, 1),
        longest_expiry_ms=round(longest * 1000, 3),
        expired=total_expired,
    )


def main() -> None:
    """Measure new flows, and held flows at each size."""
    measure_new_flows()
    for size in SIZES:
        measure_held_flows(size)


if __name__ == "__main__":
    main()
