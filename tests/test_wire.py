"""Wire formats: round trips, and malformed input that is dropped without an exception."""

import pytest
from aiocoap.message import Message
from aiocoap.numbers import codes, types
from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.flows import UDP, FlowTuple, PacketKind, flow_key, flow_tuple
from heatheryoke.core.messages import (
    Accusation,
    Accusations,
    ClaimRecord,
    ClaimReply,
    ClaimVerdict,
    Forward,
    Heartbeat,
    RecoveryReply,
    Registration,
    Registrations,
    Visit,
    WitnessSet,
)
from heatheryoke.core.requests import RefusalReason, RequestKind
from heatheryoke.inventory.model import Address, Service
from heatheryoke.wire.coap import DEADLINE_OPTION, TIMEOUT_OPTION, CoapCodec, read_uint_option
from heatheryoke.wire.control import decode_control, encode_control
from heatheryoke.wire.envelope import (
    BODY_OFFSET,
    BadEnvelope,
    Envelope,
    EnvelopeCodec,
    EnvelopeKind,
    ReplayWindow,
)
from heatheryoke.wire.forward import decode_forward, encode_forward
from heatheryoke.wire.proxy_header import (
    ProxiedDatagram,
    decode_proxy_header,
    encode_proxy_header,
    split_proxy_header,
)

KEY = b"k" * 32
FLOW = FlowTuple(UDP, Address("192.0.2.1", 4001), Address("198.51.100.1", 5683))
addresses = st.builds(
    Address,
    st.ip_addresses(v=4).map(str),
    st.integers(1, 65_535),
)


class TestEnvelope:
    def test_opens_a_datagram_sealed_by_a_peer(self):
        sealed = EnvelopeCodec(KEY, 1).seal(EnvelopeKind.CONTROL, 9, b"body")
        assert EnvelopeCodec(KEY, 2).open(sealed) == Envelope(EnvelopeKind.CONTROL, 1, 9, b"body")

    def test_drops_a_replayed_datagram(self):
        sealed = EnvelopeCodec(KEY, 1).seal(EnvelopeKind.CONTROL, 9, b"body")
        receiver = EnvelopeCodec(KEY, 2)
        receiver.open(sealed)
        assert receiver.open(sealed) is BadEnvelope.REPLAYED

    def test_drops_a_datagram_of_an_unknown_kind(self):
        sealed = EnvelopeCodec(KEY, 1).seal(9, 9, b"body")
        assert EnvelopeCodec(KEY, 2).open(sealed) is BadEnvelope.UNKNOWN_KIND

    def test_drops_a_datagram_with_another_key(self):
        sealed = EnvelopeCodec(b"x" * 32, 1).seal(EnvelopeKind.CONTROL, 9, b"body")
        assert EnvelopeCodec(KEY, 2).open(sealed) is BadEnvelope.FORGED

    @given(st.integers(0, BODY_OFFSET + 3), st.integers(1, 255))
    def test_drops_any_changed_byte(self, position, change):
        sealed = bytearray(EnvelopeCodec(KEY, 1).seal(EnvelopeKind.CONTROL, 9, b"body"))
        sealed[position] ^= change
        assert isinstance(EnvelopeCodec(KEY, 2).open(bytes(sealed)), BadEnvelope)

    @given(st.binary(max_size=200))
    def test_drops_random_bytes(self, data):
        assert isinstance(EnvelopeCodec(KEY, 2).open(data), BadEnvelope)


class TestReplayWindow:
    @given(st.lists(st.integers(0, 3_000), max_size=200))
    def test_accepts_no_number_twice(self, numbers):
        window = ReplayWindow()
        accepted = [number for number in numbers if window.accept(number)]
        assert len(accepted) == len(set(accepted))

    def test_accepts_numbers_out_of_order(self):
        window = ReplayWindow()
        assert [window.accept(number) for number in (5, 3, 4, 3)] == [True, True, True, False]


class TestForward:
    @given(
        st.sampled_from(PacketKind),
        st.integers(0, 255),
        addresses,
        st.binary(max_size=300),
        st.lists(st.integers(0, 2**64 - 1), max_size=3),
        st.booleans(),
        st.booleans(),
        st.integers(0, 65_535),
    )
    def test_round_trip(self, kind, hops, via, payload, hosts, assigned, place_here, port):
        visited = tuple(Visit(host, 1.5) for host in hosts)
        message = Forward(
            flow_key(FLOW), 77, kind, hops, via, payload, visited, assigned, place_here, port, 3
        )
        assert decode_forward(encode_forward(message)) == message

    @given(st.binary(max_size=120))
    def test_random_bytes_raise_nothing(self, data):
        decode_forward(data)


class TestControl:
    REGISTRATION = Registration(flow_key(FLOW), "upstream-1", 3, 5555, True, False, (b"feed",))

    @pytest.mark.parametrize(
        "message",
        [
            Registrations(1, (REGISTRATION, REGISTRATION)),
            Heartbeat("upstream-1", 2**63, 5),
            ClaimReply(
                b"id",
                "upstream-2",
                7,
                ClaimVerdict.HELD,
                "upstream-3",
                9,
                True,
                (WitnessSet(("a", "b")),),
            ),
            Accusations(3, (Accusation("a", "b", 4, True),)),
            RecoveryReply(1, 0, 1, True, False, (REGISTRATION,), (ClaimRecord(b"x", "y", 3, 2.5),)),
        ],
    )
    def test_round_trip(self, message):
        assert decode_control(encode_control(message)) == message

    @given(st.binary(max_size=200))
    def test_random_bytes_raise_nothing(self, data):
        decode_control(data)

    @given(st.integers(0, 60), st.integers(1, 255))
    def test_changed_bytes_raise_nothing(self, position, change):
        data = bytearray(encode_control(Registrations(1, (self.REGISTRATION,))))
        data[position % len(data)] ^= change
        decode_control(bytes(data))


class TestProxyHeader:
    @given(addresses, addresses, st.binary(max_size=100))
    def test_round_trip(self, source, service, payload):
        flow = FlowTuple(UDP, source, service)
        assert decode_proxy_header(encode_proxy_header(flow, payload)) == ProxiedDatagram(
            flow, payload
        )

    @given(st.binary(max_size=60))
    def test_random_bytes_are_refused(self, data):
        assert decode_proxy_header(data) is None
        assert split_proxy_header(data) is None

    @given(addresses, addresses, st.binary(max_size=20), st.binary(max_size=9))
    def test_split_agrees_with_decoding(self, source, service, payload, extra):
        flow = FlowTuple(UDP, source, service)
        assert split_proxy_header(encode_proxy_header(flow, payload)) == (flow_key(flow), payload)
        plain = encode_proxy_header(flow, b"")
        longer = plain[:14] + (12 + len(extra)).to_bytes(2, "big") + plain[16:] + extra + payload
        assert split_proxy_header(longer) == (flow_key(flow), payload)

    @given(addresses, addresses)
    def test_flow_key_round_trip(self, source, service):
        flow = FlowTuple(UDP, source, service)
        assert flow_tuple(flow_key(flow)) == flow


class TestCoapCodec:
    codec = CoapCodec(Service("holds", Address("198.51.100.1", 5683), "sangam"))

    def message(self, code=codes.POST, mtype=types.CON, **options):
        message = Message(code=code, uri="coap://h/holds?id=abc", payload=b"x", **options)
        message.mid, message.token, message.mtype = 77, b"tok", mtype
        return message.encode()

    def test_reads_a_write_with_its_id(self):
        request = self.codec.read_request(self.message())
        assert request[:5] == (RequestKind.WRITE, b"tok", 77, b"abc#0", "holds")

    def test_reads_a_feed(self):
        request = self.codec.read_request(self.message(codes.GET, observe=0))
        assert request.kind is RequestKind.FEED
        assert request.request_id == b""

    def test_reads_the_end_of_a_feed(self):
        request = self.codec.read_request(self.message(codes.GET, observe=1))
        assert request.kind is RequestKind.CANCEL

    def test_refusal_states_not_run_and_max_age(self):
        payload = self.codec.refusal(self.message(), RefusalReason.OVERLOADED, 2.2)
        answer = Message.decode(payload)
        assert answer.code == codes.SERVICE_UNAVAILABLE
        assert answer.opt.max_age == 3
        assert answer.token == b"tok"
        assert b"not run" in answer.payload

    def test_a_notification_keeps_its_content_under_another_number(self):
        sent = Message(code=codes.CONTENT, payload=b"12", _token=b"t", _mid=7, _mtype=types.NON)
        sent.opt.observe = 3
        numbered = Message.decode(self.codec.number_notification(sent.encode(), 70_000))
        assert numbered.opt.observe == 70_000
        assert (numbered.payload, numbered.token, numbered.mid) == (b"12", b"t", 7)

    def test_unknown_outcome_is_a_gateway_timeout(self):
        payload = self.codec.refusal(self.message(), RefusalReason.OUTCOME_UNKNOWN, 1.0)
        answer = Message.decode(payload)
        assert answer.code == codes.GATEWAY_TIMEOUT
        assert b"not run" not in answer.payload

    def test_stamp_adds_a_no_cache_key_deadline(self):
        stamped = Message.decode(self.codec.add_deadline(self.message(), 1_000.5))
        assert read_uint_option(stamped, DEADLINE_OPTION) == 1_000_500
        for option in (DEADLINE_OPTION, TIMEOUT_OPTION):
            assert option & 0x1E == 0x1C
            assert not option.is_critical()

    def test_readdressed_answer_keeps_its_content(self):
        answer = self.codec.refusal(self.message(), RefusalReason.OVERLOADED, 2.2)
        other = Message(code=codes.POST, uri="coap://h/holds?id=abc")
        other.mid, other.token, other.mtype = 99, b"other", types.NON
        moved = Message.decode(self.codec.copy_answer(answer, other.encode()))
        assert (moved.mid, moved.token, moved.mtype) == (99, b"other", types.NON)
        assert moved.payload == Message.decode(answer).payload

    @given(st.binary(max_size=80))
    def test_random_bytes_raise_nothing(self, data):
        self.codec.read_request(data)
        self.codec.read_answer(data)
