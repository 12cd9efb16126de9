"""A fabric that sends each datagram of a caller to a random live balancer."""

import asyncio
import random
from typing import NamedTuple

from heatheryoke.core.flows import UDP, FlowTuple
from heatheryoke.daemons.datagrams import RECEIVE_BUFFER_BYTES, Datagram, DatagramSocket
from heatheryoke.inventory.model import Address
from heatheryoke.wire.proxy_header import decode_proxy_header, encode_proxy_header

__all__ = ["Fabric", "Faults"]


class Faults(NamedTuple):
    """Probabilities of the faults that a datagram may meet on its way to a balancer."""

    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    delay_s: float = 0.02


class Fabric:
    """Forwards datagrams from service addresses to balancers, and answers back to callers."""

    def __init__(self, seed: int, faults: Faults = Faults()):
        self.random = random.Random(seed)
        self.faults = faults
        self.balancers: list[Address] = []
        self.services: dict[Address, DatagramSocket] = {}
        self.egress: DatagramSocket | None = None
        self.bad_answers = 0

    def start(self, egress: Address, services: list[Address]) -> None:
        """Open the service addresses and the address that receives answers."""
        loop = asyncio.get_running_loop()
        size = RECEIVE_BUFFER_BYTES
        self.egress = DatagramSocket(loop, egress, self.on_answers, buffer_bytes=size)
        for service in services:
            port = DatagramSocket(loop, service, self.receiver(service), buffer_bytes=size)
            self.services[service] = port

    def close(self) -> None:
        """Close every address."""
        for port in self.services.values():
            port.close()
        if self.egress is not None:
            self.egress.close()

    def receiver(self, service: Address):
        """Return the receive callback of a service address."""

        def receive(batch: list[Datagram]) -> None:
            for data, caller in batch:
                self.forward(encode_proxy_header(FlowTuple(UDP, caller, service), data))

        return receive

    def forward(self, data: bytes) -> None:
        """Forward a datagram, subject to the configured faults."""
        chance = self.random.random
        if chance() < self.faults.drop:
            return
        copies = 2 if chance() < self.faults.duplicate else 1
        for _ in range(copies):
            if chance() < self.faults.delay:
                delay = chance() * self.faults.delay_s
                asyncio.get_running_loop().call_later(delay, self.send_to_balancer, data)
            else:
                self.send_to_balancer(data)

    def send_to_balancer(self, data: bytes) -> None:
        """Send a datagram to a random live balancer."""
        if self.balancers and self.egress.socket.fileno() >= 0:
            self.egress.send(data, self.random.choice(self.balancers))

    def on_answers(self, batch: list[Datagram]) -> None:
        """Forward a batch of answers to their callers."""
        for data, _ in batch:
            self.on_answer(data)

    def on_answer(self, data: bytes) -> None:
        """Forward an answer to its caller from the address of the service."""
        proxied = decode_proxy_header(data)
        port = self.services.get(proxied.flow.service) if proxied else None
        if port is None:
            self.bad_answers += 1
            return
        port.send(proxied.payload, proxied.flow.source)
