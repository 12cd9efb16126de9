"""Commands that run a daemon, or check its settings."""

import asyncio
import sys
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger
from returns.result import Failure

from heatheryoke.commands.console import (
    EXIT_FAILED,
    SettingsPath,
    console,
    error_console,
    exit_invalid,
)
from heatheryoke.daemons.application import AgentApplication, Application, BalancerApplication
from heatheryoke.daemons.settings import LogFormat, Settings, read_settings
from heatheryoke.daemons.stream_settings import read_stream_settings
from heatheryoke.inventory.model import Role

__all__ = ["app"]

app = typer.Typer()


class RoleName(StrEnum):
    """A role, as named on the command line."""

    BALANCER = "balancer"
    AGENT = "agent"


APPLICATIONS: dict[Role, type[Application]] = {
    Role.BALANCER: BalancerApplication,
    Role.AGENT: AgentApplication,
}


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
            exit_invalid(problems)
    else:
        _load_settings(settings, Role(role.value))
    console.print(f"{settings}: valid")


def _load_settings(path: Path, role: Role) -> Settings:
    result = read_settings(path, role)
    if isinstance(result, Failure):
        exit_invalid(result.failure())
    return result.unwrap()


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
