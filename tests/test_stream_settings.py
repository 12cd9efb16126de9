"""Settings of byte-stream daemons are validated completely; every invalid line is reported."""

import asyncio
import contextlib
import os
from pathlib import Path

import pytest
from typer.testing import CliRunner

from heatheryoke.cli import app
from heatheryoke.core.effects import ProbeUpstream
from heatheryoke.core.upstream_monitor import TrafficMonitor, Unmonitored
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_roles import StreamAgentApplication
from heatheryoke.daemons.stream_settings import STREAM_SETTINGS, read_stream_settings
from heatheryoke.inventory.model import Address, Role

ROOT = Path(__file__).parent.parent
AGENT_SETTINGS = """
[process]
name = side-north-1
ip = 10.1.0.12
failure_domain = north
first_start = true
peer_ports = 7720,7735

[listen]
callers = 10.1.0.12:8172
status = 10.1.0.12:8167

[store]
address = 10.200.1.7:8169
leaving_within_ms = 3000
configuration_within_ms = 3000

[upstream]
answers = 10.1.0.12:8162
address = 10.1.0.12:8165
service = live
flow_lifetime_s = 60
"""


def write_settings(folder, text):
    path = folder / "settings.ini"
    path.write_text(text)
    return path


class TestReading:
    def test_reads_an_agents_settings(self, tmp_path):
        settings, problems = read_stream_settings(
            write_settings(tmp_path, AGENT_SETTINGS), Role.AGENT
        )
        assert problems == ()
        assert settings.upstream == Address("10.1.0.12", 8165)
        assert settings.peer_ports == (7720, 7735) and settings.flow_lifetime_s == 60.0

    def test_a_balancer_needs_no_upstream(self, tmp_path):
        text = AGENT_SETTINGS[: AGENT_SETTINGS.index("[upstream]")]
        settings, problems = read_stream_settings(write_settings(tmp_path, text), Role.BALANCER)
        assert problems == () and settings.upstream is None

    def test_every_invalid_line_is_reported(self, tmp_path):
        text = (
            AGENT_SETTINGS.replace("8172", "99999")
            .replace("7720,7735", "7735,7720")
            .replace("first_start = true", "first_start = perhaps")
            .replace("flow_lifetime_s = 60", "flow_lifetime_s = -1")
            .replace("service = live\n", "")
        )
        settings, problems = read_stream_settings(write_settings(tmp_path, text), Role.AGENT)
        assert settings is None
        keys = {problem.key for problem in problems}
        assert keys == {"callers", "peer_ports", "first_start", "flow_lifetime_s", "service"}

    def test_an_unknown_line_is_reported(self, tmp_path):
        text = AGENT_SETTINGS.replace("service = live", "service = live\nweight = 2")
        settings, problems = read_stream_settings(
            write_settings(tmp_path, text + "[cache]\nsize = 1\n"), Role.AGENT
        )
        assert settings is None
        assert [(problem.section, problem.key) for problem in problems] == [
            ("upstream", "weight"),
            ("cache", ""),
        ]

    def test_the_hosts_ip_must_be_an_address(self, tmp_path):
        text = AGENT_SETTINGS.replace("ip = 10.1.0.12", "ip = zzz")
        settings, problems = read_stream_settings(write_settings(tmp_path, text), Role.AGENT)
        assert settings is None and [problem.key for problem in problems] == ["ip"]

    def test_an_unreadable_file_is_a_problem(self, tmp_path):
        for text in ("[process", "name = outside"):
            settings, problems = read_stream_settings(write_settings(tmp_path, text), Role.AGENT)
            assert settings is None and problems


class TestContracts:
    """What is new takes effect only where the settings call for it."""

    def make_agent(self, folder, text):
        path = write_settings(folder, text)
        settings, problems = read_stream_settings(path, Role.AGENT)
        assert problems == ()
        return StreamAgentApplication(settings, path, JsonLog("a", descriptor=None)).node

    def test_upstreams_are_judged_under_the_health_contract(self, tmp_path):
        node = self.make_agent(tmp_path, AGENT_SETTINGS + "contracts = base, health,flows\n")
        assert isinstance(node.monitor, TrafficMonitor)
        assert node.queue.shares is node.shares is not None

    @pytest.mark.parametrize("line", ("", "contracts =\n", "contracts = base,flows\n"))
    def test_they_are_served_as_before_without_it(self, tmp_path, line):
        node = self.make_agent(tmp_path, AGENT_SETTINGS + line)
        assert isinstance(node.monitor, Unmonitored)
        assert node.queue.shares is None


class TestCommand:
    def test_check_names_the_line(self, tmp_path):
        path = write_settings(tmp_path, AGENT_SETTINGS.replace("8165", "none"))
        result = CliRunner().invoke(app, ["check", str(path), "--role", "agent", "--streams"])
        assert result.exit_code == 2
        assert "[upstream] address" in result.output

    def test_check_accepts_valid_settings(self, tmp_path):
        path = write_settings(tmp_path, AGENT_SETTINGS)
        result = CliRunner().invoke(app, ["check", str(path), "--role", "agent", "--streams"])
        assert result.exit_code == 0


class TestPages:
    def test_the_operators_page_has_every_setting(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        for setting in STREAM_SETTINGS:
            roles = "both" if len(setting.roles) == 2 else setting.roles[0].value
            assert (
                f"| {setting.section} | {setting.key} | {roles} | {setting.help} |" in page
            ), setting.key

    def test_the_template_has_every_setting(self):
        template = (ROOT / "deploy" / "settings.ini").read_text(encoding="utf-8")
        for setting in STREAM_SETTINGS:
            assert f"{setting.key} = {{{{" in template, setting.key


class TestReload:
    def test_a_file_that_changes_without_a_signal_is_read_again(self, tmp_path):
        path = write_settings(tmp_path, AGENT_SETTINGS)
        settings, _ = read_stream_settings(path, Role.AGENT)
        application = StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))
        path.write_text(AGENT_SETTINGS.replace("service = live", "service = print"))
        os.utime(path, ns=(1, 1))
        application.file.next_check = 0.0
        application.check_settings()
        assert application.node.service == "print"

    def test_a_file_that_was_read_half_written_is_read_again(self, tmp_path):
        """The rest may come within the resolution of the modification time, without a signal."""
        path = write_settings(tmp_path, AGENT_SETTINGS)
        settings, _ = read_stream_settings(path, Role.AGENT)
        application = StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))
        changed = AGENT_SETTINGS.replace("service = live", "service = print")
        refusals = []
        application.log.write = lambda event, **facts: refusals.append(event)
        for text in (changed[:40], changed[:40], changed):
            path.write_text(text)
            os.utime(path, ns=(1, 1))
            application.file.next_check = 0.0
            application.check_settings()
        assert application.node.service == "print" and application.settings.service == "print"
        assert refusals == ["reload refused", "reload"]

    def test_settings_that_cannot_be_applied_are_tried_again(self, tmp_path):
        path = write_settings(tmp_path, AGENT_SETTINGS)
        settings, _ = read_stream_settings(path, Role.AGENT)
        application = StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))
        apply, application.apply_settings = application.apply_settings, None
        path.write_text(AGENT_SETTINGS.replace("service = live", "service = print"))
        for handler in (None, apply):
            application.file.next_check, application.apply_settings = 0.0, handler
            with contextlib.suppress(TypeError):
                application.check_settings()
        assert application.node.service == "print" and application.settings.service == "print"

    def test_a_refused_connection_shows_that_the_upstream_does_not_run(self, tmp_path):
        async def run(settings, path):
            application = StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))
            application.settings = settings._replace(upstream=Address("127.24.0.4", 9))
            assert application.node.may_hold_unknown_until > application.clock()
            application.start_probe(ProbeUpstream())
            await application.probe_task
            return application

        path = write_settings(
            tmp_path, AGENT_SETTINGS.replace("first_start = true", "first_start = false")
        )
        settings, _ = read_stream_settings(path, Role.AGENT)
        application = asyncio.run(run(settings, path))
        assert application.node.may_hold_unknown_until <= application.clock()
        assert application.record.counters == {}

    def test_invalid_settings_change_nothing(self, tmp_path):
        path = write_settings(tmp_path, AGENT_SETTINGS)
        settings, _ = read_stream_settings(path, Role.AGENT)
        application = StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))
        path.write_text("[process")
        application.reload()
        assert application.node.service == "live" and application.settings == settings
