"""Settings of a daemon: an INI file, validated completely before any socket is opened."""

import configparser
from collections.abc import Callable
from datetime import datetime
from enum import StrEnum
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from heatheryoke.daemons.setting_values import SettingProblem, find_unknown, parse_name
from heatheryoke.inventory.model import Address, Role

__all__ = ["SETTINGS", "LogFormat", "Setting", "SettingProblem", "Settings", "read_settings"]

MINIMUM_KEY_BYTES = 16


class LogFormat(StrEnum):
    """The format of log lines."""

    TEXT = "text"
    JSON = "json"


class Settings(NamedTuple):
    """The validated settings of a daemon; those that its role does not have are None."""

    name: str
    failure_domain: str
    address: Address
    shared_key: bytes
    peers: tuple[Address, ...]
    platform_url: str
    fabric_egress: Address | None
    fabric_listen: Address | None
    status_address: Address
    log_format: LogFormat
    log_level: str
    upstream_bind: str
    first_start_until: datetime | None


class Setting(NamedTuple):
    """The definition of a setting; a required one has None as its default."""

    field: str
    section: str
    key: str
    parse: Callable[[str], Any]
    roles: tuple[Role, ...]
    default: str | None
    help: str


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses in a comma-separated list."""
    return tuple(Address.parse(part.strip()) for part in text.split(",") if part.strip())


def parse_key(text: str) -> bytes:
    """Return the bytes of a hexadecimal key."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise ValueError("must be hexadecimal") from None
    if not MINIMUM_KEY_BYTES <= len(key) <= 64:
        raise ValueError(f"must be {MINIMUM_KEY_BYTES} to 64 bytes")
    return key


def parse_url(text: str) -> str:
    """Return an HTTP or HTTPS URL without trailing slashes."""
    if not text.startswith(("http://", "https://")):
        raise ValueError("must begin with http:// or https://")
    return text.rstrip("/")


def parse_log_level(text: str) -> str:
    """Return the name of a log level, in upper case."""
    levels = ("DEBUG", "INFO", "WARNING", "ERROR")
    if text.upper() not in levels:
        raise ValueError(f"must be one of {', '.join(levels)}")
    return text.upper()


def parse_ip(text: str) -> str:
    """Return an IPv4 address."""
    return str(IPv4Address(text))


def parse_time(text: str) -> datetime | None:
    """Return a time with a time zone, or None if the text is empty."""
    if not text:
        return None
    time = datetime.fromisoformat(text)
    if time.tzinfo is None:
        raise ValueError("must have a time zone, for example 2030-01-31T12:00:00+00:00")
    return time


BOTH_ROLES = (Role.BALANCER, Role.AGENT)

SETTINGS = (
    Setting(
        "name", "process", "name", parse_name, BOTH_ROLES, None, "The host's name in the inventory."
    ),
    Setting(
        "failure_domain",
        "process",
        "failure_domain",
        parse_name,
        BOTH_ROLES,
        None,
        "The host's failure domain.",
    ),
    Setting(
        "address",
        "process",
        "address",
        Address.parse,
        BOTH_ROLES,
        None,
        "The address for traffic from other processes (UDP).",
    ),
    Setting(
        "shared_key",
        "process",
        "shared_key",
        parse_key,
        BOTH_ROLES,
        None,
        "The key shared by all processes, hexadecimal, 16 to 64 bytes.",
    ),
    Setting(
        "peers",
        "process",
        "peers",
        parse_addresses,
        BOTH_ROLES,
        "",
        "Addresses of processes that supply the configuration while the platform is down.",
    ),
    Setting(
        "platform_url",
        "platform",
        "url",
        parse_url,
        BOTH_ROLES,
        None,
        "The URL of the configuration service.",
    ),
    Setting(
        "fabric_listen",
        "fabric",
        "listen",
        Address.parse,
        (Role.BALANCER,),
        None,
        "The address for datagrams from the fabric (UDP, PROXY protocol v2).",
    ),
    Setting(
        "fabric_egress",
        "fabric",
        "egress",
        Address.parse,
        (Role.AGENT,),
        None,
        "The fabric's address for answers to callers (UDP, PROXY protocol v2).",
    ),
    Setting(
        "status_address",
        "status",
        "address",
        Address.parse,
        BOTH_ROLES,
        None,
        "The address for status and metrics (HTTP).",
    ),
    Setting(
        "log_format",
        "log",
        "format",
        LogFormat,
        BOTH_ROLES,
        "text",
        "The format of log lines: `text` or `json`.",
    ),
    Setting(
        "log_level",
        "log",
        "level",
        parse_log_level,
        BOTH_ROLES,
        "INFO",
        "The lowest level that is logged: `DEBUG`, `INFO`, `WARNING` or `ERROR`.",
    ),
    Setting(
        "upstream_bind",
        "agent",
        "upstream_bind",
        parse_ip,
        (Role.AGENT,),
        "127.0.0.1",
        "The local IP address for traffic to upstreams.",
    ),
    Setting(
        "first_start_until",
        "agent",
        "first_start_until",
        parse_time,
        (Role.AGENT,),
        "",
        "Until this time the agent assumes that its services have never run before.",
    ),
)


def read_settings(path: Path, role: Role) -> Result[Settings, tuple[SettingProblem, ...]]:
    """Read and validate a settings file; return the settings, or all problems found."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return Failure((SettingProblem(str(path), "", "", "", _one_line(error)),))
    known = {(setting.section, setting.key) for setting in SETTINGS if role in setting.roles}
    problems = find_unknown(path, parser, known)
    values: dict[str, Any] = {}
    for setting in SETTINGS:
        if role not in setting.roles:
            values[setting.field] = None
            continue
        problem = _parse_setting(path, parser, setting, values)
        if problem is not None:
            problems.append(problem)
    return Failure(tuple(problems)) if problems else Success(Settings(**values))


def _parse_setting(
    path: Path, parser: configparser.ConfigParser, setting: Setting, values: dict[str, Any]
) -> SettingProblem | None:
    """Parse one setting into `values`; return the problem, if any."""
    text = parser.get(setting.section, setting.key, fallback=setting.default)
    if text is None:
        return SettingProblem(
            str(path), setting.section, setting.key, "", "required setting is missing"
        )
    try:
        values[setting.field] = setting.parse(text.strip())
    except ValueError as error:
        return SettingProblem(str(path), setting.section, setting.key, text, _one_line(error))
    return None


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
