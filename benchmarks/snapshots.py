"""Size and cost of the store's contents as one process sends them to the others.

Usage: python -m benchmarks.snapshots
"""

import random
import time

from heatheryoke.core.messages import StoreSnapshot
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, Share
from heatheryoke.core.store_view import StoreView
from heatheryoke.inventory.model import Address
from heatheryoke.wire.fragments import split_message
from heatheryoke.wire.peers import open_datagram, seal_datagram

# Upstreams and routes: a small site, the users' large site, and the size that is designed for.
SIZES = ((10, 13), (136, 125), (11_000, 780))
SERVICES = 20
DOMAINS = 11
POSITION = Position(1, 20_000)


def make_snapshot(upstreams: int, routes: int) -> StoreSnapshot:
    """Return the contents of a store with random names."""
    rng = random.Random(1)
    records = [
        EndpointRecord(
            f"service-{number % SERVICES}",
            Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8_000),
            f"domain-{number % DOMAINS}",
            2,
            False,
            0.0,
            rng.getrandbits(40),
        )
        for number in range(upstreams)
    ]
    items = [
        StoreItem(Subject.ENDPOINT, f"i-{rng.getrandbits(32):08x}", POSITION, True, record)
        for record in records
    ]
    table = tuple(
        Route(
            f"route-{number}",
            Address(f"198.18.{number >> 8}.{number & 255}", 443),
            (Share(f"service-{number % SERVICES}", 1.0),),
            True,
            0.1,
            1.5,
            2,
        )
        for number in range(routes)
    )
    services = tuple(
        ServiceRecord(f"service-{number}", 2_000, 2.0, 0.0) for number in range(SERVICES)
    )
    record = ConfigurationRecord(7, table, services, 15.0)
    items.append(StoreItem(Subject.CONFIGURATION, "", POSITION, True, record))
    return StoreSnapshot(1, POSITION, tuple(items))


def main() -> None:
    """Print the bytes, datagrams and milliseconds of a snapshot for each size."""
    for upstreams, routes in SIZES:
        snapshot = make_snapshot(upstreams, routes)
        started = time.perf_counter()
        data = seal_datagram(7, snapshot)
        datagrams = split_message(data)
        encoded = time.perf_counter()
        message = open_datagram(data).message
        view = StoreView(7_000)
        view.replace(message.items, message.position, 0.0)
        view.topology()
        applied = time.perf_counter()
        print(
            f"{upstreams} upstreams, {routes} routes: {sum(map(len, datagrams))} bytes in "
            f"{len(datagrams)} datagrams, encode {1_000 * (encoded - started):.1f} ms, "
            f"decode and apply {1_000 * (applied - encoded):.1f} ms"
        )


if __name__ == "__main__":
    main()
