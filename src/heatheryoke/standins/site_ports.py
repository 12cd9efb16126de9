"""Ports for a site whose hosts, each with an IP address of its own, all use the same numbers."""

import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple

__all__ = ["BLOCK_PORTS", "FIRST_PORT", "LAST_PORT", "PortReservation", "Ports"]

# Below the range from which the kernel gives out ports.
FIRST_PORT, LAST_PORT = 20_000, 30_000
# Distance of two sites' first ports.
BLOCK_PORTS = 10
# Where a site holds its first port, so that no other site takes the same ones.
GUARD_IP = "127.19.0.1"


class Ports(NamedTuple):
    """Ports of a site; every host uses the same numbers."""

    callers: int
    peers: int
    status: int
    answers: int
    app: int
    store: int

    @classmethod
    def from_first(cls, first: int) -> "Ports":
        """Return consecutive ports."""
        return cls(*range(first, first + len(cls._fields)))


class PortReservation:
    """Ports that no other site or program uses, reserved until `release`."""

    def __init__(self, preferred: Ports):
        self.ports = preferred
        self.guard: socket.socket | None = None

    def reserve(self, ips: list[str]) -> Ports:
        """Reserve the preferred ports, or the next that are free at all of some IP addresses.

        Raise `OSError` if none are. A second call keeps the ports.
        """
        if self.guard is None:
            self.guard, self.ports = self.find(ips)
        return self.ports

    def find(self, ips: list[str]) -> tuple[socket.socket, Ports]:
        """Return the socket that guards free ports, and the ports."""
        for ports in self.candidates():
            guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            with suppress(OSError):
                guard.bind((GUARD_IP, ports[0]))
                check_free(ips, ports)
                return guard, ports
            guard.close()
        raise OSError("no block of ports is free")

    def candidates(self) -> Iterator[Ports]:
        """Yield all blocks of ports, the preferred one first."""
        size, preferred = LAST_PORT - FIRST_PORT, self.ports[0] - FIRST_PORT
        for offset in range(0, size, BLOCK_PORTS):
            yield Ports.from_first(FIRST_PORT + (preferred + offset) % size)

    def release(self) -> None:
        """Let other sites use the ports."""
        if self.guard is not None:
            self.guard.close()
            self.guard = None


def check_free(ips: list[str], ports: Ports) -> None:
    """Raise `OSError` if a process uses any of some ports at any of some IP addresses."""
    for ip in ips:
        for port in ports:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
