"""Sites that run beside each other use ports of their own, whatever their seeds."""

import asyncio
import socket

import pytest

from heatheryoke.standins import site_ports
from heatheryoke.standins.site_ports import PortReservation, Ports
from heatheryoke.standins.stream_caller import Outcome
from heatheryoke.standins.stream_site import FEEDS, StreamSite

PREFERRED = Ports.from_first(24_000)
IPS = ["127.20.9.1", "127.20.9.2"]


class TestReservation:
    def test_takes_the_preferred_ports_if_they_are_free(self):
        reservation = PortReservation(PREFERRED)
        try:
            ports = reservation.reserve(IPS)
            assert reservation.reserve(IPS) is ports
            assert ports == PREFERRED or ports.callers % site_ports.BLOCK_PORTS == 0
        finally:
            reservation.release()

    @pytest.mark.parametrize("kind", (socket.SOCK_DGRAM, socket.SOCK_STREAM))
    def test_leaves_out_ports_that_a_program_uses_at_any_address(self, kind):
        first, second = PortReservation(PREFERRED), PortReservation(PREFERRED)
        try:
            free = first.reserve(IPS)
            first.release()
            with socket.socket(socket.AF_INET, kind) as used:
                used.bind((IPS[1], free.store))
                assert second.reserve(IPS) != free
        finally:
            second.release()

    def test_gives_released_ports_out_again(self):
        first, second = PortReservation(PREFERRED), PortReservation(PREFERRED)
        ports = first.reserve(IPS)
        first.release()
        try:
            assert PortReservation(ports).ports == second.reserve(IPS) == ports
        finally:
            second.release()

    def test_ends_if_no_ports_are_free(self, monkeypatch):
        monkeypatch.setattr(site_ports, "LAST_PORT", site_ports.FIRST_PORT + 10)
        first, second = (PortReservation(Ports.from_first(20_000)) for _ in range(2))
        monkeypatch.setattr(site_ports, "check_free", lambda ips, ports: None)
        try:
            first.reserve(IPS)
            with pytest.raises(OSError):
                second.reserve(IPS)
        finally:
            first.release()


class TestSitesOfOneSeed:
    """They used the same ports, so that a test failed when another one ran beside it."""

    def test_start_and_serve_beside_each_other(self):
        async def play():
            sites = [StreamSite(seed=7) for _ in range(2)]
            try:
                for site in sites:
                    await site.start()
                callers = [await site.add_caller() for site in sites]
                flows = [
                    caller.flow(site.service_address(FEEDS))
                    for site, caller in zip(sites, callers, strict=True)
                ]
                return [await flow.request(5.0) for flow in flows]
            finally:
                for site in sites:
                    await site.close()

        assert asyncio.run(play()) == [Outcome.SERVED, Outcome.SERVED]
