"""Import, consistency checks, encoding of documents, and changes between documents."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from typer.testing import CliRunner

from heatheryoke.cli import app
from heatheryoke.inventory.changes import (
    apply_change,
    decode_change,
    encode_change,
    make_change,
)
from heatheryoke.inventory.checks import check_document
from heatheryoke.inventory.document import decode_document, encode_document
from heatheryoke.inventory.model import (
    Address,
    Document,
    Endpoint,
    FailureDomain,
    Host,
    HostState,
    Protocol,
    Role,
    Service,
)

ASSETS = """\
kind,name,failure_domain,region,role,address,tenant,protocol,service,host,slots,connections
failure_domain,domain-1,,east,,,,,,,,
host,balancer-1,domain-1,,balancer,127.0.0.1:7001,,,,,,
host,upstream-1,domain-1,,agent,127.0.0.1:7002,,,,,,
host,upstream-2,domain-1,,agent,127.0.0.1:7003,,,,,,
service,fitters,,,,127.0.0.1:5683,sundarban,coap,,,,
service,showroom,,,,127.0.0.1:5684,sundarban,coap,,,,
endpoint,,,,,127.0.0.1:6001,,,fitters,upstream-1,4,2000
endpoint,,,,,127.0.0.1:6002,,,showroom,upstream-2,4,2000
"""
RULES = """\
[document]
version = 3
[host upstream-2]
state = draining
[service fitters]
floor = 0.5
apart_from = showroom
weight.measurements = 2
[endpoint fitters upstream-1]
weight = 2
"""


def run_import(tmp_path, assets=ASSETS, rules=RULES):
    (tmp_path / "assets.csv").write_text(assets)
    (tmp_path / "rules.ini").write_text(rules)
    output = tmp_path / "inventory.bin"
    arguments = ["--assets", str(tmp_path / "assets.csv"), "--rules", str(tmp_path / "rules.ini")]
    command = ["inventory", "import", *arguments, "--output", str(output)]
    return CliRunner().invoke(app, command), output


class TestImport:
    def test_written_document_passes_the_check(self, tmp_path):
        result, output = run_import(tmp_path)
        assert result.exit_code == 0, result.output
        document = decode_document(output.read_bytes()).unwrap()
        assert document.version == 3
        assert document.hosts[2].state is HostState.DRAINING
        assert document.services[0].class_weights == {"measurements": 2.0}
        assert document.endpoints[0].weight == 2.0
        assert CliRunner().invoke(app, ["inventory", "check", str(output)]).exit_code == 0

    def test_request_classes_keep_their_case(self, tmp_path):
        rules = RULES.replace("weight.measurements", "Weight.Holds").replace("version", "Version")
        result, output = run_import(tmp_path, rules=rules)
        assert result.exit_code == 0, result.output
        document = decode_document(output.read_bytes()).unwrap()
        assert document.services[0].class_weights == {"Holds": 2.0}

    @pytest.mark.parametrize(
        ("assets", "rules", "expected"),
        [
            (ASSETS + "rack,r1,,,,,,,,,,\n", RULES, "line 10: unknown kind 'rack'"),
            (ASSETS + "host,upstream-1,domain-1,,agent,127.0.0.1:7009,,,,,,\n", RULES, "once"),
            (ASSETS.replace("upstream-1,4", "upstream-9,4"), RULES, "unknown host 'upstream-9'"),
            (ASSETS.replace("6001,,,fitters", "6001,,,baths"), RULES, "unknown service 'baths'"),
            (ASSETS.replace("4,2000", "four,2000", 1), RULES, "slots must be a whole number"),
            (ASSETS.replace("showroom,upstream-2", "showroom,upstream-1"), RULES, "must not share"),
            (ASSETS.replace("127.0.0.1:7001", "127.0.0.1:70001"), RULES, "port 70001"),
            (ASSETS, RULES.replace("version = 3", "version = x"), "whole number"),
            (ASSETS, RULES + "[host upstream-9]\nstate = leaving\n", "no such host"),
            (ASSETS, RULES + "[cache]\nsize = 1\n", "unknown section"),
            (ASSETS, RULES.replace("floor = 0.5", "idle_s = nan"), "idle_s must be"),
            (ASSETS, RULES.replace("floor = 0.5", "idle_s = inf"), "idle_s must be"),
            (ASSETS, RULES.replace("measurements = 2", "measurements = inf"), "'measurements'"),
            (ASSETS, RULES.replace("measurements = 2", "measurements = nan"), "'measurements'"),
            (
                ASSETS,
                RULES.replace("draining", "asleep"),
                "'asleep' is not one of active, draining, leaving",
            ),
        ],
    )
    def test_reports_the_problem_and_writes_nothing(self, tmp_path, assets, rules, expected):
        result, output = run_import(tmp_path, assets, rules)
        assert result.exit_code == 2
        assert expected in result.stderr
        assert not output.exists()

    def test_refuses_a_document_over_a_megabyte(self, tmp_path):
        names = "".join(
            f"failure_domain,{i * 2654435761 % 2**64:x}{i},,r,,,,,,,,\n" for i in range(150_000)
        )
        result, output = run_import(tmp_path, ASSETS + names)
        assert result.exit_code == 2
        assert "at most 1000000" in result.stderr
        assert not output.exists()


def documents(version):
    numbers = st.sets(st.integers(0, 6))
    return st.builds(
        lambda hosts, services, withdrawn: Document(
            version,
            (FailureDomain("domain-1", "east", withdrawn),),
            tuple(
                Host(f"h{n}", Role.AGENT, "domain-1", Address("127.0.0.1", 7000 + n)) for n in hosts
            ),
            tuple(
                Service(f"s{n}", Address("127.0.0.1", 5000 + n), "t", Protocol.OPAQUE)
                for n in services
            ),
            tuple(
                Endpoint(f"s{s}", f"h{h}", Address("127.0.0.1", 1000 + s * 10 + h), 1, 10)
                for s in services
                for h in hosts
            ),
        ),
        numbers,
        numbers,
        st.booleans(),
    )


class TestDocument:
    @given(documents(4))
    def test_round_trip(self, document):
        assert decode_document(encode_document(document)) == Success(document)
        assert check_document(document) == []

    @given(st.binary(max_size=100))
    def test_random_bytes_are_refused(self, data):
        assert isinstance(decode_document(data), Failure)


class TestChange:
    @given(documents(4), documents(9))
    def test_turns_one_document_into_another(self, old, new):
        change = decode_change(encode_change(make_change(old, new))).unwrap()
        result = apply_change(old, change).unwrap()
        assert make_change(result, new)._replace(base=0, digest=0) == make_change(
            new, new
        )._replace(base=0, digest=0)

    @given(documents(4), documents(5), documents(9))
    def test_is_refused_for_another_base(self, old, other, new):
        assert isinstance(apply_change(other, make_change(old, new)), Failure)


class TestAddresses:
    @pytest.mark.parametrize("ip", ["10.0.0.1\0", "10.0.0.256", "\u0661.0.0.1", "010.0.0.1", ""])
    def test_a_malformed_one_is_a_problem(self, ip):
        """A zero character in an address ended the watch of each process that read it."""
        host = Host("a", Role.AGENT, "north", Address(ip, 1))
        reasons = [problem.reason for problem in check_document(Document(2, hosts=(host,)))]
        assert any("is not an IPv4 address" in reason for reason in reasons)
