"""Settings of a byte-stream daemon: an INI file that is validated completely."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from heatheryoke.daemons.setting_values import (
    SettingProblem,
    find_unknown,
    parse_boolean,
    parse_ip,
    parse_milliseconds,
    parse_name,
    parse_names,
    parse_ports,
    parse_seconds,
)
from heatheryoke.inventory.model import Address, Role

__all__ = ["STREAM_SETTINGS", "StreamSetting", "StreamSettings", "read_stream_settings"]


class StreamSettings(NamedTuple):
    """The validated settings of a daemon; those that its role does not have are None.

    Processes reach each other at the first port of `peer_ports`, which is the same on all hosts.
    """

    name: str
    ip: str
    failure_domain: str
    first_start: bool
    peer_ports: tuple[int, int]
    callers: Address
    status: Address
    store: Address
    leaving_within_s: float
    configuration_within_s: float
    answers: Address | None
    upstream: Address | None
    service: str | None
    flow_lifetime_s: float | None
    contracts: tuple[str, ...] | None = ()


class StreamSetting(NamedTuple):
    """The definition of a setting."""

    field: str
    section: str
    key: str
    parse: Callable[[str], Any]
    roles: tuple[Role, ...]
    help: str


BOTH_ROLES = (Role.BALANCER, Role.AGENT)
AGENT_ONLY = (Role.AGENT,)

STREAM_SETTINGS = (
    StreamSetting("name", "process", "name", parse_name, BOTH_ROLES, "The host's name in logs."),
    StreamSetting("ip", "process", "ip", parse_ip, BOTH_ROLES, "The host's IP address."),
    StreamSetting(
        "failure_domain",
        "process",
        "failure_domain",
        parse_name,
        BOTH_ROLES,
        "The host's failure domain.",
    ),
    StreamSetting(
        "first_start",
        "process",
        "first_start",
        parse_boolean,
        BOTH_ROLES,
        "`true` if no flow can be older than this process, else `false`.",
    ),
    StreamSetting(
        "peer_ports",
        "process",
        "peer_ports",
        parse_ports,
        BOTH_ROLES,
        "The range of ports for traffic between processes, as `first,last` (UDP).",
    ),
    StreamSetting(
        "callers",
        "listen",
        "callers",
        Address.parse,
        BOTH_ROLES,
        "The address for packets from callers, who use the same port.",
    ),
    StreamSetting(
        "status",
        "listen",
        "status",
        Address.parse,
        BOTH_ROLES,
        "The address for readiness probes and metrics (HTTP).",
    ),
    StreamSetting(
        "store",
        "store",
        "address",
        Address.parse,
        BOTH_ROLES,
        "The address of the platform's store.",
    ),
    StreamSetting(
        "leaving_within_s",
        "store",
        "leaving_within_ms",
        parse_milliseconds,
        BOTH_ROLES,
        "The time within which a leaving upstream must stop getting new flows (ms).",
    ),
    StreamSetting(
        "configuration_within_s",
        "store",
        "configuration_within_ms",
        parse_milliseconds,
        BOTH_ROLES,
        "The time within which a new configuration must be in force (ms).",
    ),
    StreamSetting(
        "answers",
        "upstream",
        "answers",
        Address.parse,
        AGENT_ONLY,
        "The address for packets from the upstream (UDP).",
    ),
    StreamSetting(
        "upstream",
        "upstream",
        "address",
        Address.parse,
        AGENT_ONLY,
        "The upstream's address (UDP).",
    ),
    StreamSetting(
        "service",
        "upstream",
        "service",
        parse_name,
        AGENT_ONLY,
        "The service that the upstream serves.",
    ),
    StreamSetting(
        "flow_lifetime_s",
        "upstream",
        "flow_lifetime_s",
        parse_seconds,
        AGENT_ONLY,
        "The longest time that a flow keeps its upstream (s).",
    ),
    StreamSetting(
        "contracts",
        "upstream",
        "contracts",
        parse_names,
        AGENT_ONLY,
        "The parts of the platform's rules in force, separated by commas; `health` makes the agent"
        " judge its upstream by its answers. Optional.",
    ),
)


def read_stream_settings(
    path: Path, role: Role
) -> tuple[StreamSettings | None, tuple[SettingProblem, ...]]:
    """Read and validate a settings file; return the settings, or None and all problems found."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return None, (SettingProblem(str(path), "", "", "", " ".join(str(error).split())),)
    problems: list[SettingProblem] = []
    values: dict[str, Any] = dict.fromkeys(StreamSettings._fields)
    for setting in STREAM_SETTINGS:
        if role not in setting.roles:
            continue
        text = parser.get(setting.section, setting.key, fallback="").strip()
        try:
            values[setting.field] = setting.parse(text)
        except ValueError as error:
            problems.append(
                SettingProblem(str(path), setting.section, setting.key, text, str(error))
            )
    known = {(setting.section, setting.key) for setting in STREAM_SETTINGS}
    problems += find_unknown(path, parser, known)
    return (None if problems else StreamSettings(**values)), tuple(problems)
