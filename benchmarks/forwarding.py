"""Forwarding rate of the balancer on one core, compared with a bare asyncio forwarder."""

import asyncio
import os
import socket
import time

from benchmarks.common import report
from heatheryoke.core.flows import UDP, FlowTuple
from heatheryoke.daemons.application import BalancerApplication
from heatheryoke.daemons.datagrams import Datagram
from heatheryoke.inventory.model import Address
from heatheryoke.standins.deployments import DEPLOYMENTS
from heatheryoke.standins.site import Site, free_address
from heatheryoke.standins.upstream import UpstreamBehaviour
from heatheryoke.wire.proxy_header import encode_proxied

DATAGRAMS = 20_000
BURST = 100
PAYLOAD = b"x" * 200
ROUNDS = 5


class BareForwarder(asyncio.DatagramProtocol):
    """Sends each datagram that it receives to a target, without processing."""

    def __init__(self, target: Address):
        self.target = target
        self.seen = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Send the datagram to the target."""
        self.seen += 1
        self.transport.sendto(data, self.target)


async def pump(target: Address, datagrams: list[bytes], seen) -> float:
    """Send datagrams in bursts, each after the previous one was received, and return the rate."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    start = seen()
    began = time.perf_counter()
    for at in range(0, len(datagrams), BURST):
        for data in datagrams[at : at + BURST]:
            sender.sendto(data, target)
        while seen() - start < at + BURST:
            await asyncio.sleep(0)
    took = time.perf_counter() - began
    sender.close()
    return len(datagrams) / took


async def main() -> None:
    """Measure both forwarders in turn, and report the round with the median ratio."""
    loop = asyncio.get_running_loop()
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    site = Site(DEPLOYMENTS["sundarban"], 1, UpstreamBehaviour())
    host = site.host("balancer-1")
    app = BalancerApplication(site.settings(host))
    await app.start()
    target = Address(*sink.getsockname())
    hosts = tuple(
        row if row == host else row._replace(address=target) for row in site.document.hosts
    )
    app.on_document(site.document._replace(hosts=hosts))
    service = site.service_address("fitters")
    flows = [
        FlowTuple(UDP, Address("192.0.2.1", 1_024 + n % 5_000), service) for n in range(DATAGRAMS)
    ]
    datagrams = [encode_proxied(flow, PAYLOAD) for flow in flows]
    bare_address = free_address()
    transport, bare = await loop.create_datagram_endpoint(
        lambda: BareForwarder(target), local_addr=tuple(bare_address)
    )
    taken = {"count": 0}
    receive = app.fabric.receive

    def counting(batch: list[Datagram]) -> None:
        receive(batch)
        taken["count"] += len(batch)

    app.fabric.receive = counting
    ratios = []
    for _ in range(ROUNDS):
        bare_rate = await pump(bare_address, datagrams, lambda: bare.seen)
        our_rate = await pump(site.settings(host).fabric_listen, datagrams, lambda: taken["count"])
        ratios.append((our_rate / bare_rate, our_rate, bare_rate))
    ratios.sort()
    ratio, ours, plain = ratios[len(ratios) // 2]
    report(
        "forwarding",
        balancer_per_s=round(ours),
        bare_per_s=round(plain),
        ratio=round(ratio, 3),
        rounds=ROUNDS,
        cores=os.cpu_count(),
    )
    transport.close()
    await app.close()
    sink.close()


if __name__ == "__main__":
    asyncio.run(main())
