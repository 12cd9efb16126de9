"""Steady traffic of short flows."""

import asyncio

CLIENTS = 4


async def one_flow(client, target, name: str, results: list) -> None:
    """Open a flow, send a request and close."""
    flow = client.flow(target)
    outcome = await flow.open()
    if outcome == "open":
        outcome = await flow.request(name)
    results.append(outcome)
    await flow.close()


async def open_flows(site, target, per_s: float, results: list) -> None:
    """Open flows at a steady rate until cancelled."""
    clients = [site.add_client() for _ in range(CLIENTS)]
    number = 0
    start = asyncio.get_running_loop().time()
    while True:
        client = clients[number % CLIENTS]
        site.spawn(one_flow(client, target, f"request-{number}", results))
        number += 1
        await asyncio.sleep(start + number / per_s - asyncio.get_running_loop().time())
