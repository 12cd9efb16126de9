"""Command line of heatheryoke.

Exit codes: 0 success; 1 failure at run time or of a check in a demo or soak; 2 invalid settings,
inventory or arguments; 3 immediate exit after a second signal.
"""

import asyncio
import json
import sys
from enum import StrEnum
from itertools import product
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
from loguru import logger
from returns.result import Failure
from rich.console import Console
from rich.progress import track
from rich.table import Table

from heatheryoke import __version__
from heatheryoke.daemons.application import AgentApplication, Application, BalancerApplication
from heatheryoke.daemons.settings import LogFormat, Settings, read_settings
from heatheryoke.daemons.status import FlowExplanation, Status
from heatheryoke.daemons.stream_settings import read_stream_settings
from heatheryoke.inventory.checks import check_document
from heatheryoke.inventory.document import decode_document
from heatheryoke.inventory.importer import import_inventory
from heatheryoke.inventory.model import Address, Role

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_INVALID = 2
STATUS_TIMEOUT_S = 5.0
REPORTED_POLICIES = ("heatheryoke", "naive", "cache-only")

app = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help=__doc__)
inventory_app = typer.Typer(no_args_is_help=True, help="Import, check and compare inventories.")
app.add_typer(inventory_app, name="inventory")
console = Console()
error_console = Console(stderr=True)

SettingsPath = Annotated[Path, typer.Argument(help="The daemon's settings file (INI).")]
StatusAddress = Annotated[str, typer.Argument(help="A process's status address, ip:port.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print machine-readable JSON.")]


class RoleName(StrEnum):
    """A role, as named on the command line."""

    BALANCER = "balancer"
    AGENT = "agent"


APPLICATIONS: dict[Role, type[Application]] = {
    Role.BALANCER: BalancerApplication,
    Role.AGENT: AgentApplication,
}


def main() -> None:
    """Run the command line."""
    app()


def _show_version(value: bool) -> None:
    if value:
        console.print(f"heatheryoke {__version__}")
        raise typer.Exit


@app.callback()
def options(
    version: Annotated[
        bool, typer.Option("--version", callback=_show_version, is_eager=True)
    ] = False,
) -> None:
    """A layer-4 load balancer whose flows are owned by agents next to the upstreams."""


@app.command()
def balancer(settings: SettingsPath) -> None:
    """Run a balancer. Example: heatheryoke balancer balancer-1.ini."""
    _run_daemon(settings, Role.BALANCER)


@app.command()
def agent(settings: SettingsPath) -> None:
    """Run an agent next to an upstream. Example: heatheryoke agent upstream-1.ini."""
    _run_daemon(settings, Role.AGENT)


@app.command()
def check(
    settings: SettingsPath,
    role: Annotated[RoleName, typer.Option(help="The role that the file is for.")],
    streams: Annotated[bool, typer.Option(help="The file is for a byte-stream daemon.")] = False,
) -> None:
    """Validate a settings file. Example: heatheryoke check a.ini --role agent."""
    if streams:
        problems = read_stream_settings(settings, Role(role.value))[1]
        if problems:
            _exit_invalid(problems)
    else:
        _load_settings(settings, Role(role.value))
    console.print(f"{settings}: valid")


def _load_settings(path: Path, role: Role) -> Settings:
    result = read_settings(path, role)
    if isinstance(result, Failure):
        _exit_invalid(result.failure())
    return result.unwrap()


def _exit_invalid(problems: tuple[object, ...]) -> None:
    for problem in problems:
        error_console.print(str(problem), markup=False, highlight=False, soft_wrap=True)
    raise typer.Exit(EXIT_INVALID)


def _run_daemon(path: Path, role: Role) -> None:
    settings = _load_settings(path, role)
    logger.remove()
    as_json = settings.log_format is LogFormat.JSON
    logger.add(sys.stderr, level=settings.log_level, serialize=as_json)
    try:
        code = asyncio.run(_run_application(settings, role))
    except OSError as error:
        error_console.print(f"{path}: cannot bind an address: {error}", markup=False)
        code = EXIT_FAILED
    raise typer.Exit(code)


async def _run_application(settings: Settings, role: Role) -> int:
    return await APPLICATIONS[role](settings).run()


@inventory_app.command("import")
def import_command(
    assets: Annotated[Path, typer.Option(help="The asset register (CSV).")],
    rules: Annotated[Path, typer.Option(help="The operators' rules (INI).")],
    output: Annotated[Path, typer.Option(help="The file to write the document to.")],
) -> None:
    """Write the document to publish, if the inventory is valid.

    Example: heatheryoke inventory import --assets a.csv --rules r.ini --output inventory.bin
    """
    result = import_inventory(assets, rules)
    if isinstance(result, Failure):
        _exit_invalid(result.failure())
    document, published = result.unwrap()
    output.write_bytes(published)
    console.print(
        f"version {document.version}: {len(document.hosts)} hosts, "
        f"{len(document.services)} services, {len(document.endpoints)} endpoints, "
        f"{len(published)} bytes"
    )


@inventory_app.command("check")
def check_inventory(
    file: Annotated[Path, typer.Argument(help="A document written by `inventory import`.")],
) -> None:
    """Validate a document. Example: heatheryoke inventory check inventory.bin."""
    try:
        decoded = decode_document(file.read_bytes())
    except OSError as error:
        _exit_invalid((error,))
    if isinstance(decoded, Failure):
        _exit_invalid((f"{file}: {decoded.failure()}",))
    document = decoded.unwrap()
    problems = check_document(document)
    if problems:
        _exit_invalid(tuple(f"{file}: {problem}" for problem in problems))
    console.print(f"{file}: valid, version {document.version}")


@inventory_app.command("in-force")
def in_force(
    addresses: Annotated[
        list[str], typer.Argument(help="Status addresses of the processes, each ip:port.")
    ],
) -> None:
    """Compare the configuration versions in force in several processes; fail if they differ."""
    versions: set[int | None] = set()
    for address in addresses:
        status = _fetch(address, "status")
        versions.add(status["epoch"] if status else None)
        console.print(f"{address}  {status['epoch'] if status else 'no answer'}")
    if len(versions) > 1 or None in versions:
        raise typer.Exit(EXIT_FAILED)


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
    response = _fetch(address, path, **params)
    if response is None:
        error_console.print(f"{address}: no answer")
        raise typer.Exit(EXIT_FAILED)
    return response


def _fetch(address: str, path: str, **params: str) -> dict | None:
    try:
        checked = Address.parse(address)
    except ValueError as error:
        _exit_invalid((f"{address}: {error}",))
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


@app.command()
def demo(
    deployment: Annotated[
        str, typer.Option(help="The deployment: sundarban or sangam.")
    ] = "sundarban",
    seed: Annotated[int, typer.Option(help="The random seed of the fabric and the callers.")] = 1,
    streams: Annotated[
        bool, typer.Option(help="Run byte-stream daemons on the users' platform.")
    ] = False,
) -> None:
    """Run a complete deployment on loopback for about 20 seconds, and change it meanwhile.

    Example: heatheryoke demo --streams
    """
    if streams:
        from heatheryoke.standins.stream_demo import run_stream_demo

        raise typer.Exit(asyncio.run(run_stream_demo(seed, console)))
    from heatheryoke.standins.demo import run_demo
    from heatheryoke.standins.deployments import DEPLOYMENTS

    if deployment not in DEPLOYMENTS:
        _exit_invalid((f"unknown deployment {deployment!r}: {', '.join(DEPLOYMENTS)}",))
    logger.remove()
    raise typer.Exit(asyncio.run(run_demo(DEPLOYMENTS[deployment], seed, console)))


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help="The random seed that determines the faults.")] = 1,
    minutes: Annotated[float, typer.Option(help="How long faults are injected.")] = 1.0,
    processes: Annotated[
        int, typer.Option(min=8, max=240, help="How many balancers and agents run.")
    ] = 11,
    logs: Annotated[
        Path | None, typer.Option(help="The folder for the processes' logs if a check fails.")
    ] = None,
) -> None:
    """Run byte-stream daemons as processes under injected faults. Failed checks are reported.

    Example: heatheryoke soak --seed 7 --minutes 2 --processes 40
    """
    from heatheryoke.standins.soak import run_soak, write_logs
    from heatheryoke.standins.stream_site import SiteSize

    result = run_soak(seed, 60 * minutes, SiteSize.of(processes))
    table = Table("outcome or fault", "count", title=f"soak with seed {seed}")
    for name, count in sorted((result.outcomes + result.injected_faults).items()):
        table.add_row(name, str(count))
    console.print(table)
    for problem in result.violations:
        console.print(f"BROKEN {problem}", markup=False, highlight=False)
    if result.violations and logs is not None:
        console.print(f"{write_logs(result, seed, logs)}")
    raise typer.Exit(EXIT_FAILED if result.violations else 0)


@app.command()
def rounds(
    journal: Annotated[Path, typer.Argument(help="The folder of the bench's journal entries.")],
    report: Annotated[
        Path | None, typer.Option(help="The folder for an HTML report with plots.")
    ] = None,
) -> None:
    """Show the worth of the users' standard days for each round.

    Example: heatheryoke rounds journal --report out
    """
    from heatheryoke.measure.rounds import read_rounds, write_rounds

    scores, problems = read_rounds(journal)
    for problem in problems:
        error_console.print(f"skipped unreadable entry: {problem}", markup=False)
    table = Table("when", "deployment", "mean worth", "broken days", "why")
    for score in scores:
        broken = ", ".join(score.broken) or "-"
        table.add_row(score.at, score.deployment, f"{score.mean:.3f}", broken, score.why)
    console.print(table)
    if report is not None:
        console.print(f"{write_rounds(scores, report)}")


@app.command()
def measure(
    scenario: Annotated[str, typer.Argument(help="The scenario; see --list.")] = "steady",
    deployment: Annotated[
        str, typer.Option(help="The deployment: sundarban or sangam.")
    ] = "sundarban",
    policy: Annotated[
        str, typer.Option(help="The policy: heatheryoke, naive or cache-only.")
    ] = "heatheryoke",
    seed: Annotated[int, typer.Option(help="The random seed that determines the figures.")] = 1,
    as_json: AsJson = False,
    run_all: Annotated[bool, typer.Option("--all", help="Run every scenario.")] = False,
    seeds: Annotated[int, typer.Option(help="With --all: the number of seeds, from 1.")] = 2,
    report: Annotated[
        Path | None, typer.Option(help="With --all: the folder for an HTML report.")
    ] = None,
    list_scenarios: Annotated[bool, typer.Option("--list", help="List the scenarios.")] = False,
    streams: Annotated[
        bool, typer.Option(help="Measure the byte-stream form; policies heatheryoke, rendezvous.")
    ] = False,
) -> None:
    """Measure the reducers in virtual time.

    Example: heatheryoke measure domain-leaves --deployment sangam --policy naive --json
    """
    from heatheryoke.measure.scenarios import SCENARIOS, run_scenario
    from heatheryoke.measure.stream_scenarios import STREAM_SCENARIOS
    from heatheryoke.measure.world import POLICIES
    from heatheryoke.standins.deployments import DEPLOYMENTS

    if list_scenarios:
        for name, definition in (STREAM_SCENARIOS if streams else SCENARIOS).items():
            console.print(f"{name:20}{definition.title}", highlight=False)
        return
    if streams:
        _measure_streams(scenario, policy, seed, as_json)
        return
    if run_all:
        _measure_all(seeds, report)
        return
    for value, allowed in ((scenario, SCENARIOS), (deployment, DEPLOYMENTS), (policy, POLICIES)):
        if value not in allowed:
            _exit_invalid((f"{value!r} is not one of {', '.join(allowed)}",))
    figures = run_scenario(scenario, deployment, policy, seed)._asdict()
    _print_figures(figures, f"{scenario}: {SCENARIOS[scenario].title}", as_json)


def _measure_streams(scenario: str, policy: str, seed: int, as_json: bool) -> None:
    from heatheryoke.measure.stream_scenarios import (
        STREAM_POLICIES,
        STREAM_SCENARIOS,
        run_stream_scenario,
    )

    for value, allowed in ((scenario, STREAM_SCENARIOS), (policy, STREAM_POLICIES)):
        if value not in allowed:
            _exit_invalid((f"{value!r} is not one of {', '.join(allowed)}",))
    figures = run_stream_scenario(scenario, policy, seed)._asdict()
    _print_figures(figures, f"{scenario}: {STREAM_SCENARIOS[scenario].title}", as_json)


def _print_figures(figures: dict[str, Any], title: str, as_json: bool) -> None:
    if as_json:
        sys.stdout.write(json.dumps(figures, sort_keys=True) + "\n")
        return
    table = Table("figure", "value", title=title)
    for name, value in figures.items():
        table.add_row(name, "-" if value is None else str(value))
    console.print(table)


def _measure_all(seeds: int, report: Path | None) -> None:
    from heatheryoke.measure.report import write_report
    from heatheryoke.measure.scenarios import SCENARIOS, run_scenario
    from heatheryoke.standins.deployments import DEPLOYMENTS

    jobs = list(product(SCENARIOS, DEPLOYMENTS, REPORTED_POLICIES, range(1, seeds + 1)))
    figures = [
        run_scenario(*job) for job in track(jobs, description="measuring", console=error_console)
    ]
    if report is None:
        for result in figures:
            sys.stdout.write(json.dumps(result._asdict(), sort_keys=True) + "\n")
        return
    console.print(f"{write_report(figures, report)}")
