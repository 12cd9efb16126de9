"""Control traffic of reachability per process, by fleet size: `python -m benchmarks.reachability`.

Bytes include the UDP and IP headers. Each process has the share of new flows that it has at the
size to design for: 77,000 a second over 12,100 processes.
"""

import time
from collections import Counter

from heatheryoke.core.messages import OpeningAck, Ping, Pong
from heatheryoke.measure.stream_world import StreamSite, StreamWorld
from heatheryoke.wire.peers import seal_datagram

IP_AND_UDP_BYTES = 28
DURATION_S = 4.0
FLOWS_PER_PROCESS_S = 77_000 / 12_100
DOMAINS = tuple("abcdefghijk")
# Balancers and agents in each of 11 failure domains: 110 and 550 processes.
SIZES = ((1, 9), (5, 45))
MESSAGES = {"Ping": Ping(), "Pong": Pong(), "OpeningAck": OpeningAck(bytes(13))}


def bytes_per_s(balancers: int, agents: int, rate: float) -> dict[str, float]:
    """Return bytes sent a second by the mean process, for each kind of message."""
    site = StreamSite(DOMAINS, balancers, agents, slots=4, work_s=0.01, rate=max(rate, 0.001))
    world = StreamWorld(site, 1)
    if rate:
        world.offer_load(DURATION_S)
    world.run_until(DURATION_S)
    sent = sum((process.sent for process in world.processes.values()), Counter())
    share = len(world.processes) * DURATION_S
    return {
        name: sent[name] * (len(seal_datagram(1, message)) + IP_AND_UDP_BYTES) / share
        for name, message in MESSAGES.items()
    }


def main() -> None:
    for balancers, agents in SIZES:
        count = len(DOMAINS) * (balancers + agents)
        for rate in (0.0, count * FLOWS_PER_PROCESS_S):
            started = time.perf_counter()
            figures = bytes_per_s(balancers, agents, rate)
            parts = ", ".join(f"{name} {value:.0f}" for name, value in figures.items())
            took_s = time.perf_counter() - started
            total = sum(figures.values())
            print(
                f"{count} processes, {rate:.0f} flows/s: {total:.0f} B/s ({parts}); {took_s:.0f} s"
            )


if __name__ == "__main__":
    main()
