"""Settings are validated completely, with one problem reported for each invalid setting."""

import pytest
from returns.result import Failure, Success
from typer.testing import CliRunner

from heatheryoke.cli import app
from heatheryoke.daemons.settings import read_settings
from heatheryoke.inventory.model import Address, Role

VALID = """
[process]
name = upstream-1
failure_domain = domain-1
address = 127.0.0.1:7001
shared_key = 000102030405060708090a0b0c0d0e0f
peers = 127.0.0.1:7002, 127.0.0.1:7003
[platform]
url = http://127.0.0.1:8000/
[fabric]
egress = 127.0.0.1:7100
[status]
address = 127.0.0.1:7200
"""

INVALID_SETTINGS = {
    "unknown section": (VALID + "[cache]\nsize = 3\n", "cache", ""),
    "unknown key": (VALID + "port = 3\n", "status", "port"),
    "bad port": (VALID.replace("7001", "70010"), "process", "address"),
    "bad address": (VALID.replace("127.0.0.1:7001", "localhost:7001"), "process", "address"),
    "missing": (VALID.replace("failure_domain = domain-1", ""), "process", "failure_domain"),
    "short key": (VALID.replace("0b0c0d0e0f", ""), "process", "shared_key"),
    "bad url": (VALID.replace("http://", "ftp://"), "platform", "url"),
    "bad format": (VALID + "[log]\nformat = xml\n", "log", "format"),
    "no zone": (VALID + "[agent]\nfirst_start_until = 2030-01-01\n", "agent", "first_start_until"),
}


class TestSettings:
    def read(self, tmp_path, text):
        path = tmp_path / "agent.ini"
        path.write_text(text)
        return read_settings(path, Role.AGENT)

    def test_reads_a_valid_file(self, tmp_path):
        result = self.read(tmp_path, VALID)
        assert isinstance(result, Success)
        settings = result.unwrap()
        assert settings.peers == (Address("127.0.0.1", 7002), Address("127.0.0.1", 7003))
        assert settings.platform_url == "http://127.0.0.1:8000"

    @pytest.mark.parametrize("case", INVALID_SETTINGS)
    def test_names_the_section_and_key_of_a_problem(self, tmp_path, case):
        text, section, key = INVALID_SETTINGS[case]
        result = self.read(tmp_path, text)
        assert isinstance(result, Failure)
        assert [(problem.section, problem.key) for problem in result.failure()] == [(section, key)]

    def test_a_file_that_cannot_be_read_is_one_problem(self, tmp_path):
        (problem,) = read_settings(tmp_path / "absent.ini", Role.AGENT).failure()
        assert str(problem).startswith(f"{tmp_path / 'absent.ini'}: [Errno 2]")

    def test_reports_every_problem_at_once(self, tmp_path):
        text = VALID.replace("7001", "0").replace("http://", "")
        assert len(self.read(tmp_path, text).failure()) == 2


class TestCheckCommand:
    def test_exits_with_2_and_a_line_for_each_problem(self, tmp_path):
        path = tmp_path / "agent.ini"
        path.write_text(VALID.replace("7001", "0"))
        result = CliRunner().invoke(app, ["check", str(path), "--role", "agent"])
        assert result.exit_code == 2
        assert "[process] address = '127.0.0.1:0'" in result.stderr

    def test_accepts_a_valid_file(self, tmp_path):
        path = tmp_path / "agent.ini"
        path.write_text(VALID)
        assert CliRunner().invoke(app, ["check", str(path), "--role", "agent"]).exit_code == 0
