"""Decoding of store items: the platform's documented examples, and malformed entries."""

import base64
import json
import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatheryoke.core.messages import StoreUpdate
from heatheryoke.core.record_checks import MAXIMUM_UNIX_MS
from heatheryoke.core.records import Position, Subject
from heatheryoke.inventory.model import Address
from heatheryoke.platform.items import UnreadableItemError, read_item
from heatheryoke.standins.foreign_writer import FOREIGN_FORMS
from heatheryoke.wire.peers import open_datagram, seal_datagram

ENDPOINT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "kol-north",
    "version": "v1",
    "concurrency": 4,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 1774272840070,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-a3hwrr6",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "kind": "idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 218,
            "priority": 2,
            "backends": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "maxAttempts": 2,
        },
        {
            "name": "r-x73d3zj",
            "host": "198.18.0.1",
            "prefix": "/8080/",
            "kind": "non_idempotent",
            "timeoutMs": 2500,
            "targetLatencyMs": 273,
            "priority": 1,
            "service": "huvo11a",
            "maxAttempts": 2,
        },
    ],
    "services": [{"name": "huvo11a", "maxConns": 2000, "warmupS": 2.0, "warmupPerS": 0.0}],
    "limits": {"idleTimeoutMs": 15000},
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)

MISSING = object()


def raw_item(key, value, revision=412):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"key": key, "value": base64.b64encode(data).decode(), "revision": revision}


class TestDocumentedItems:
    def test_decodes_an_upstream(self):
        decoded, problem = read_item(raw_item("servers/i-7f3a91c2", ENDPOINT))
        assert problem is None and decoded.subject is Subject.ENDPOINT
        record = decoded.record
        assert record.address == Address("10.128.0.9", 8080)
        assert (record.slots, record.cold_s, record.is_draining) == (4, 1.5, False)
        assert record.born_ms == 1774272840070

    def test_decodes_a_configuration(self):
        decoded, problem = read_item(raw_item("op/config", CONFIGURATION))
        assert problem is None
        split, single = decoded.record.routes
        assert [tuple(share) for share in split.shares] == [("huvo11a", 90), ("wuno96b", 10)]
        assert single.address == Address("198.18.0.1", 8080) and not single.idempotent
        assert decoded.record.idle_s == 15.0 and decoded.record.version == 7

    def test_decodes_a_withdrawal_and_its_removal(self):
        decoded, _ = read_item(raw_item("op/evacuate/kol-north", {}))
        removed, _ = read_item({"key": "op/evacuate/kol-north", "revision": 9, "tombstone": True})
        assert (decoded.name, decoded.present, removed.present) == ("kol-north", True, False)

    def test_decodes_a_removed_upstream(self):
        decoded, _ = read_item({"key": "servers/i-1", "revision": 9, "tombstone": True})
        assert decoded.record is None and not decoded.present


# A JSON number that no float can hold: converting it, or checking it with `isfinite`, raises.
LONG_NUMBER = 10**400
NUMBERS_OF_A_CONFIGURATION = [
    ("version",),
    ("limits", "idleTimeoutMs"),
    ("routes", 1, "timeoutMs"),
    ("routes", 1, "targetLatencyMs"),
    ("routes", 1, "priority"),
    ("routes", 0, "backends", 0, "weight"),
    ("services", 0, "maxConns"),
    ("services", 0, "warmupS"),
    ("services", 0, "warmupPerS"),
]


def replaced(value, path, field):
    """Return a copy of a value with one of its fields replaced."""
    copy = json.loads(json.dumps(value))
    inner = copy
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = field
    return copy


class TestLongNumbers:
    """An entry with a number of 400 digits ended every process's watch of the store."""

    @pytest.mark.parametrize("field", ["concurrency", "warmupLeftMs", "born"])
    def test_cost_an_upstream_its_own_entry_alone(self, field):
        item, problem = read_item(raw_item("servers/i-1", ENDPOINT | {field: LONG_NUMBER}))
        assert item.record is None and isinstance(problem, UnreadableItemError)

    @pytest.mark.parametrize("path", NUMBERS_OF_A_CONFIGURATION, ids=lambda path: str(path[-1]))
    def test_in_a_configuration_raise_nothing(self, path):
        value = replaced(CONFIGURATION, path, LONG_NUMBER)
        assert isinstance(read_item(raw_item("op/config", value))[1], UnreadableItemError)

    @pytest.mark.parametrize("field", ["key", "revision"])
    def test_in_an_item_raise_nothing(self, field):
        item, problem = read_item(raw_item("servers/i-1", ENDPOINT) | {field: LONG_NUMBER})
        assert item is None and isinstance(problem, UnreadableItemError)

    @given(
        st.sampled_from(sorted(ENDPOINT)),
        st.sampled_from(["", "9" * 400, "9" * 5_000, "-" + "9" * 400, "1e400", "NaN", "[" * 900]),
    )
    def test_any_json_text_of_a_field_raises_nothing(self, field, text):
        value = json.dumps(ENDPOINT | {field: "@"}).replace('"@"', text).encode()
        read_item(raw_item("servers/i-1", value))


class TestOtherSpellings:
    """Such entries replaced the upstream at their address, whose drain was then unknown."""

    # The view leaves out services that no configuration names.
    FORMS = sorted(FOREIGN_FORMS.keys() - {"service that is not configured"})

    @pytest.mark.parametrize("form", FORMS)
    def test_a_malformed_entry_names_no_upstream(self, form):
        entry = FOREIGN_FORMS[form](ENDPOINT)
        decoded, problem = read_item(raw_item("servers/foreign", entry))
        assert decoded.record is None and "servers/foreign" in str(problem)

    @given(
        st.lists(st.integers(0, 255), min_size=4, max_size=4),
        st.integers(1, 65_535),
        st.sampled_from(("0", "00", "+", " ", "0_")),
        st.integers(0, 4),
    )
    def test_an_address_has_one_spelling(self, octets, port, padding, padded):
        parts = [str(number) for number in (*octets, port)]
        text = f"{'.'.join(parts[:4])}:{parts[4]}"
        assert str(Address.parse(text)) == text
        parts[padded] = padding + parts[padded]
        with pytest.raises(ValueError):
            Address.parse(f"{'.'.join(parts[:4])}:{parts[4]}")

    def test_a_start_has_a_clocks_range(self):
        last = ENDPOINT | {"born": MAXIMUM_UNIX_MS}
        assert read_item(raw_item("servers/i-1", last))[0].record.born_ms == MAXIMUM_UNIX_MS
        later = ENDPOINT | {"born": MAXIMUM_UNIX_MS + 1}
        assert read_item(raw_item("servers/i-1", later))[0].record is None


class TestAgainstThePage:
    """Guards against an entry that the decoder takes and the platform's page does not describe."""

    NAME = re.compile(r"[ -~]{1,200}")
    ADDRESS = re.compile(r"(0|[1-9]\d{0,2})(\.(0|[1-9]\d{0,2})){3}:[1-9]\d{0,4}", re.ASCII)
    EDGES = st.sampled_from(
        (-1, 0, 1, 65_535, 65_536, 3_600_000, 3_600_001, 2**53, MAXIMUM_UNIX_MS + 1, 2**63, 10**400)
    ) | st.sampled_from((0.5, -0.0, 1e300, True, None, "", " ", "1", "draining", [], {}))
    ADDRESSES = st.builds(
        "{}{}.{}.{}.{}:{}{}".format,
        st.sampled_from(("", "", "0")),
        *(st.integers(0, 270) for _ in range(4)),
        st.sampled_from(("", "", "0")),
        st.integers(0, 70_000),
    )
    FIELDS = st.sampled_from(sorted(ENDPOINT))

    def is_described(self, entry):
        """Check an entry one field after the other, as the page names them."""

        def is_number(field, limit, kinds=(int,)):
            return type(entry.get(field)) in kinds and 0 <= entry[field] <= limit

        def is_text(field, pattern):
            text = entry.get(field)
            return isinstance(text, str) and pattern.fullmatch(text) is not None

        return (
            all(is_text(field, self.NAME) for field in ("service", "zone", "version"))
            and is_text("address", self.ADDRESS)
            and all(int(part) < 256 for part in entry["address"].partition(":")[0].split("."))
            and int(entry["address"].partition(":")[2]) < 65_536
            and is_number("concurrency", 65_535)
            and entry.get("state") in ("ready", "draining")
            and is_number("warmupLeftMs", 3_600_000, (int, float))
            and is_number("sequence", 2**63 - 1)
            and is_number("born", MAXIMUM_UNIX_MS)
        )

    @given(
        st.tuples(FIELDS, EDGES)
        | st.tuples(st.just("address"), ADDRESSES)
        | st.tuples(FIELDS, st.just(MISSING))
    )
    @settings(max_examples=1_000)
    def test_an_entry_is_taken_if_it_is_described(self, change):
        entry = ENDPOINT | dict([change])
        entry = {field: value for field, value in entry.items() if value is not MISSING}
        decoded, _ = read_item(raw_item("servers/i-1", entry))
        assert (decoded.record is not None) == self.is_described(entry)


class TestMalformedItems:
    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "resting"},
            {"address": "nowhere"},
            {"address": "10.1.0.300:80"},
            {"address": "10.1.0.3:0"},
            {"address": "10.1.0.3:70000"},
            {"address": "010.1.0.3:80"},
            {"address": "\u0661\u0660.1.0.3:80"},
            {"address": "10.1.0.3:\u0668\u0660"},
            {"concurrency": 70_000},
            {"born": -1},
            {"born": 2**64},
            {"warmupLeftMs": -1},
            {"service": "s" * 300},
            {"zone": "\ud800"},
            {"concurrency": "four"},
            {"service": None},
            {"born": True},
            {"born": float("inf")},
            {"warmupLeftMs": float("nan")},
            {"warmupLeftMs": None},
            {"born": 1.5},
            {"born": None},
            {"version": 1},
            {"version": None},
            {"sequence": "4"},
            {"sequence": 4.5},
            {"sequence": -1},
            {"state": ["ready"]},
        ],
        ids=str,
    )
    def test_upstream_with_an_invalid_field_has_no_record(self, changes):
        decoded, problem = read_item(raw_item("servers/i-1", ENDPOINT | changes))
        assert decoded.record is None and isinstance(problem, UnreadableItemError)

    @pytest.mark.parametrize("field", sorted(ENDPOINT))
    def test_upstream_with_a_missing_field_has_no_record(self, field):
        """An entry that lacked some fields became a host, and hid another's drain."""
        value = {name: part for name, part in ENDPOINT.items() if name != field}
        assert read_item(raw_item("servers/i-1", value))[0].record is None

    @pytest.mark.parametrize(
        ("field", "value"),
        [("host", "198.18.0.256"), ("host", "entry.example"), ("prefix", "/70000/")],
    )
    def test_configuration_with_an_invalid_route_address_is_skipped(self, field, value):
        routes = [{**CONFIGURATION["routes"][0], field: value}]
        item, problem = read_item(raw_item("op/config", {**CONFIGURATION, "routes": routes}))
        assert item is None
        assert isinstance(problem, UnreadableItemError)

    @pytest.mark.parametrize(
        "entry",
        [
            {**CONFIGURATION["routes"][0], "host": "entry.example"},
            {**CONFIGURATION["routes"][0], "kind": "stream"},
            {**CONFIGURATION["routes"][0], "timeoutMs": 10**400},
            {"name": "r-new"},
            None,
        ],
        ids=["host", "kind", "timeout", "fields missing", "no object"],
    )
    def test_an_invalid_route_costs_no_other_route(self, entry):
        """A process that started with such a configuration had none, and served nothing."""
        value = {**CONFIGURATION, "routes": [entry, CONFIGURATION["routes"][1]]}
        item, problem = read_item(raw_item("op/config", value))
        assert [route.name for route in item.record.routes] == ["r-x73d3zj"]
        assert isinstance(problem, UnreadableItemError)

    def test_an_invalid_service_costs_no_other_service(self):
        services = [*CONFIGURATION["services"], {"name": "other", "maxConns": "many"}]
        value = {**CONFIGURATION, "services": services}
        item, problem = read_item(raw_item("op/config", value))
        assert [service.name for service in item.record.services] == ["huvo11a"]
        assert isinstance(problem, UnreadableItemError)

    @pytest.mark.parametrize("routes", ["text", {"r-1": {}}, None, [None, 5]], ids=str)
    def test_a_configuration_without_a_readable_route_is_skipped(self, routes):
        """Its routes would all be removed, and the flows on them reset."""
        item, problem = read_item(raw_item("op/config", {**CONFIGURATION, "routes": routes}))
        assert item is None and isinstance(problem, UnreadableItemError)

    @pytest.mark.parametrize("version", [-1, 2**64])
    def test_configuration_with_a_version_that_no_datagram_can_carry_is_skipped(self, version):
        """Every message carries the version, so none could be sent under such a configuration."""
        decoded, problem = read_item(raw_item("op/config", CONFIGURATION | {"version": version}))
        assert decoded is None and problem is not None

    def test_unreadable_configuration_is_skipped(self):
        decoded, problem = read_item(raw_item("op/config", b"\xff\xfe"))
        assert decoded is None and problem is not None

    @given(JSON)
    def test_any_value_raises_nothing(self, value):
        for key in ("servers/i-1", "op/config", "op/evacuate/x", "other"):
            read_item(raw_item(key, value))

    @given(st.dictionaries(st.sampled_from(["key", "value", "revision", "tombstone"]), JSON))
    def test_any_item_raises_nothing(self, raw):
        read_item(raw)

    @given(
        st.sampled_from(["servers/i-1", "servers/" + "i" * 190, "op/evacuate/north"]),
        st.sampled_from(sorted(ENDPOINT)),
        JSON | st.integers() | st.floats() | st.text(),
        st.integers(1, 2**63 - 1),
    )
    def test_decoded_item_survives_a_peer_datagram(self, key, field, value, revision):
        decoded, _ = read_item(raw_item(key, ENDPOINT | {field: value}, revision))
        update = StoreUpdate(1, Position(0, 1), Position(0, revision), (decoded,))
        assert open_datagram(seal_datagram(1, update)).message == update

    @given(JSON)
    def test_any_form_of_an_item_raises_nothing(self, raw):
        read_item(raw)

    @given(st.binary(max_size=60))
    def test_any_bytes_raise_nothing(self, data):
        for key in ("servers/i-1", "op/config"):
            read_item(raw_item(key, data))
