"""An entry of another writer in the store, then an endpoint that drains."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployment import DRAIN_MS, Site, run  # noqa: E402

TARGET = ("198.18.0.1", 443)
FLOWS_PER_S = 25
# The value of `born`: a whole number that is longer than any of the types that hold one.
FOREIGN_BORN = "9" * 400


def make_site(folder: Path) -> Site:
    """Return a deployment of three edge machines and five endpoints."""
    site = Site(folder, 3, ["desk", "desk", "desk", "desk", "sheets"])
    site.routes = {TARGET: "desk", ("198.18.0.1", 444): "sheets"}
    return site


async def one_flow(site: Site, client, number: int, results: list) -> None:
    """Open a flow, send a request and close."""
    flow = client.flow(TARGET)
    outcome = await flow.open()
    if outcome == "open":
        outcome = await flow.request(f"request-{number}")
    results.append(outcome)
    await flow.close()


async def traffic(site: Site, results: list) -> None:
    """Open flows at a steady rate."""
    clients = [site.add_client() for _ in range(4)]
    number = 0
    while True:
        site.spawn(one_flow(site, clients[number % 4], number, results))
        number += 1
        await asyncio.sleep(1 / FLOWS_PER_S)


async def scenario(site: Site) -> list[str]:
    """Return what broke the rule."""
    results: list[str] = []
    site.spawn(traffic(site, results))
    await asyncio.sleep(3)
    if site.has_trouble:
        value = (
            '{"service":"desk","address":"127.0.0.77:8080","zone":"zone-a","version":"v0",'
            f'"concurrency":4,"state":"ready","warmupLeftMs":0,"sequence":1,"born":{FOREIGN_BORN}}}'
        )
        site.store.put("servers/foreign-1", value.encode())
        site.note("another writer: servers/foreign-1")
    await asyncio.sleep(3)
    leaving = site.host("side-1").endpoint
    leaving.state = "draining"
    acknowledged = leaving.write_entry()
    site.note("endpoint", leaving.identity, "reports draining, acknowledged")
    await asyncio.sleep(12)
    late = [
        (at, flow)
        for at, endpoint, flow, kind, held in site.arrivals
        if endpoint is leaving and kind.startswith("SYN") and not held
        if at > acknowledged + DRAIN_MS / 1000
    ]
    site.note("flows:", {outcome: results.count(outcome) for outcome in set(results)})
    site.note("new flows at the draining endpoint later than drainMs:", len(late))
    return [
        f"DRAIN: new flow {flow[1]} {at - acknowledged:.3f} s after the acknowledgement"
        for at, flow in late
    ]


if __name__ == "__main__":
    sys.exit(run(FOLDER, make_site, scenario))
