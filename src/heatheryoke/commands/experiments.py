"""Commands that run a demo, a soak or the model, or show the users' bench's figures."""

import asyncio
import json
import sys
from itertools import product
from pathlib import Path
from typing import Annotated, Any

import typer
from loguru import logger
from rich.progress import track
from rich.table import Table

from heatheryoke.commands.console import (
    EXIT_FAILED,
    AsJson,
    console,
    error_console,
    exit_invalid,
)

__all__ = ["app"]

REPORTED_POLICIES = ("heatheryoke", "naive", "cache-only")

app = typer.Typer()


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
        exit_invalid((f"unknown deployment {deployment!r}: {', '.join(DEPLOYMENTS)}",))
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
        bool,
        typer.Option(
            help="Measure the byte-stream form; policies heatheryoke, judged, rendezvous."
        ),
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
            exit_invalid((f"{value!r} is not one of {', '.join(allowed)}",))
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
            exit_invalid((f"{value!r} is not one of {', '.join(allowed)}",))
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
