"""Commands that ask a running process about its state."""

import asyncio
import json
import sys
from typing import Annotated

import aiohttp
import typer
from rich.table import Table

from heatheryoke.commands.console import (
    EXIT_FAILED,
    AsJson,
    StatusAddress,
    console,
    error_console,
    exit_invalid,
)
from heatheryoke.daemons.status import FlowExplanation, Status
from heatheryoke.inventory.model import Address

__all__ = ["app", "fetch"]

STATUS_TIMEOUT_S = 5.0

app = typer.Typer()


@app.command()
def status(address: StatusAddress, as_json: AsJson = False) -> None:
    """Show the status of a process. Example: heatheryoke status 127.0.0.1:9100."""
    process_status = _fetch_or_fail(address, "status")
    if as_json:
        sys.stdout.write(json.dumps(process_status) + "\n")
        return
    console.print(_status_table(process_status))
    if process_status["upstreams"]:
        console.print(_upstream_table(process_status))


@app.command()
def explain(
    address: StatusAddress,
    source: Annotated[str, typer.Argument(help="The caller's address, ip:port.")],
    service: Annotated[str, typer.Argument(help="The service's address, ip:port.")],
    as_json: AsJson = False,
) -> None:
    """Show what a process knows about a flow and its owner.

    Example: heatheryoke explain 127.0.0.1:9100 192.0.2.7:5683 198.51.100.1:5683
    """
    explanation: FlowExplanation = _fetch_or_fail(
        address, "explain", source=source, service=service
    )
    if as_json:
        sys.stdout.write(json.dumps(explanation) + "\n")
        return
    for key, value in explanation.items():
        console.print(f"{key:10} {', '.join(value) if isinstance(value, list) else value}")


def _fetch_or_fail(address: str, path: str, **params: str) -> dict:
    response = fetch(address, path, **params)
    if response is None:
        error_console.print(f"{address}: no answer")
        raise typer.Exit(EXIT_FAILED)
    return response


def fetch(address: str, path: str, **params: str) -> dict | None:
    """Return what a process answers at a path, None if it does not answer."""
    try:
        checked = Address.parse(address)
    except ValueError as error:
        exit_invalid((f"{address}: {error}",))
    return asyncio.run(_get(f"http://{checked}/{path}", params))


async def _get(url: str, params: dict[str, str]) -> dict | None:
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, params=params) as response,
        ):
            return await response.json()
    except (aiohttp.ClientError, TimeoutError):
        return None


def _status_table(process_status: Status) -> Table:
    table = Table("field", "value", title=f"{process_status['role']} {process_status['name']}")
    for field in ("state", "epoch", "flows", "directory_entries", "hints"):
        table.add_row(field, str(process_status[field]))
    table.add_row("suspected", ", ".join(process_status["suspected"]) or "-")
    for name, value in process_status["counters"].items():
        table.add_row(name, str(value))
    return table


def _upstream_table(process_status: Status) -> Table:
    columns = ("service", "state", "since_s", "limit", "slots", "running", "queued", "flows")
    table = Table(*columns, "reason", title="upstreams")
    for upstream in process_status["upstreams"]:
        table.add_row(*(str(upstream[column]) for column in (*columns, "reason")))
    return table
