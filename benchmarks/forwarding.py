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
from heatheryoke.wire.proxy_header import encode_proxy_header

DATAGRAMS = 20_000
BURST = 100
PAYLOAD = b"x" * 200
ROUNDS = 5


class BareForwarder(asyncio.DatagramProtocol):
    """Sends each datagram that it receives to a target, without processing."""

    def __init__(self, target: Address):
        self.target = target
        self.received_count = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Send the datagram to the target."""
        self.received_count += 1
        self.transport.sendto(data, self.target)


async def send_in_bursts(target: Address, datagrams: list[bytes], received_count) -> float:
    """Send datagrams in bursts, each after the previous one was received, and return the rate."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    start = received_count()
    began = time.perf_counter()
    for at in range(0, len(datagrams), BURST):
        for data in datagrams[at : at + BURST]:
            sender.sendto(data, target)
        while received_count() - start < at + BURST:
            await asyncio.sleep(0)
    duration_s = time.perf_counter() - began
    sender.close()
    return len(datagrams) / duration_s


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
        document_host if document_host == host else document_host._replace(address=target)
        for document_host in site.document.hosts
    )
    app.on_document(site.document._replace(hosts=hosts))
    service = site.service_address("fitters")
    flows = [
        FlowTuple(UDP, Address("192.0.2.1", 1_024 + n % 5_000), service) for n in range(DATAGRAMS)
    ]
    datagrams = [encode_proxy_header(flow, PAYLOAD) for flow in flows]
    bare_address = free_address()
    transport, bare = await loop.create_datagram_endpoint(
        lambda: BareForwarder(target), local_addr=tuple(bare_address)
    )
    received = {"count": 0}
    receive = app.fabric.on_datagrams

    def count_received(batch: list[Datagram]) -> None:
        receive(batch)
        received["count"] += len(batch)

    app.fabric.on_datagrams = count_received
    ratios = []
    for _ in range(ROUNDS):
        bare_rate = await send_in_bursts(bare_address, datagrams, lambda: bare.received_count)
        balancer_rate = await send_in_bursts(
            site.settings(host).fabric_listen, datagrams, lambda: received["count"]
        )
        ratios.append((balancer_rate / bare_rate, balancer_rate, bare_rate))
    ratios.sort()
    ratio, balancer_median, bare_median = ratios[len(ratios) // 2]
    report(
        "forwarding",
        balancer_per_s=round(balancer_median),
        bare_per_s=round(bare_median),
        ratio=round(ratio, 3),
        rounds=ROUNDS,
        cores=os.cpu_count(),
    )
    transport.close()
    await app.close()
    sink.close()


if __name__ == "__main__":
    asyncio.run(main())
