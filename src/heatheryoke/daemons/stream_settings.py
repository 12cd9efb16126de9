"""Settings of a process whose flows are byte streams, read from INI and checked whole."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from heatheryoke.daemons.setting_values import (
    SettingProblem,
    parse_milliseconds,
    parse_name,
    parse_ports,
    parse_seconds,
    parse_switch,
)
from heatheryoke.inventory.model import Address, Role

__all__ = ["STREAM_SETTINGS", "StreamSetting", "StreamSettings", "read_stream_settings"]


class StreamSettings(NamedTuple):
    """The checked settings of one process; what its role lacks is None.

    Other processes are reached at the first of `peer_ports`, the same at all hosts.
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


class StreamSetting(NamedTuple):
    """What is known of one setting."""

    field: str
    section: str
    key: str
    parse: Callable[[str], Any]
    roles: tuple[Role, ...]
    help: str


BOTH = (Role.BALANCER, Role.AGENT)
AGENT = (Role.AGENT,)

STREAM_SETTINGS = (
    StreamSetting("name", "process", "name", parse_name, BOTH, "The host's name in logs."),
    StreamSetting("ip", "process", "ip", parse_name, BOTH, "The host's address."),
    StreamSetting(
        "failure_domain", "process", "failure_domain", parse_name, BOTH, "Where the host stands."
    ),
    StreamSetting(
        "first_start",
        "process",
        "first_start",
        parse_switch,
        BOTH,
        "Whether no flow can be older than this process.",
    ),
    StreamSetting(
        "peer_ports", "process", "peer_ports", parse_ports, BOTH, "Ports between processes (UDP)."
    ),
    StreamSetting(
        "callers",
        "listen",
        "callers",
        Address.parse,
        BOTH,
        "Where callers' packets arrive; its port is that of all callers too.",
    ),
    StreamSetting(
        "status", "listen", "status", Address.parse, BOTH, "Readiness and metrics (HTTP)."
    ),
    StreamSetting("store", "store", "address", Address.parse, BOTH, "The platform's store."),
    StreamSetting(
        "leaving_within_s",
        "store",
        "leaving_within_ms",
        parse_milliseconds,
        BOTH,
        "How soon a leaving upstream must get no new flow (ms).",
    ),
    StreamSetting(
        "configuration_within_s",
        "store",
        "configuration_within_ms",
        parse_milliseconds,
        BOTH,
        "How soon a configuration must be in force (ms).",
    ),
    StreamSetting(
        "answers", "upstream", "answers", Address.parse, AGENT, "Where the upstream sends (UDP)."
    ),
    StreamSetting(
        "upstream", "upstream", "address", Address.parse, AGENT, "Where the upstream is (UDP)."
    ),
    StreamSetting(
        "service", "upstream", "service", parse_name, AGENT, "The service of the upstream."
    ),
    StreamSetting(
        "flow_lifetime_s",
        "upstream",
        "flow_lifetime_s",
        parse_seconds,
        AGENT,
        "How long a flow keeps its upstream, at most (s).",
    ),
)


def read_stream_settings(
    path: Path, role: Role
) -> tuple[StreamSettings | None, tuple[SettingProblem, ...]]:
    """Read and check a whole file; return the settings, or None and every problem."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return None, (SettingProblem(str(path), "", "", "", " ".join(str(error).split())),)
    problems: list[SettingProblem] = []
    values: dict[str, Any] = dict.fromkeys(StreamSettings._fields)
    for row in STREAM_SETTINGS:
        if role not in row.roles:
            continue
        text = parser.get(row.section, row.key, fallback="").strip()
        try:
            values[row.field] = row.parse(text)
        except ValueError as error:
            problems.append(SettingProblem(str(path), row.section, row.key, text, str(error)))
    return (None if problems else StreamSettings(**values)), tuple(problems)
