"""Processes that receive store changes from another have the same view as the one that reads."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.effects import LogChange, PostponeStoreRead, SendPeer
from heatheryoke.core.events import PeerMessageArrived, StoreChanged, StoreRead
from heatheryoke.core.messages import ConfigurationReply, Pong, StoreUpdate
from heatheryoke.core.records import (
    ConfigurationRecord,
    EndpointRecord,
    Position,
    ServiceRecord,
    StoreItem,
    Subject,
)
from heatheryoke.core.routes import Route, Share
from heatheryoke.core.store_updates import MAXIMUM_ITEMS, make_store_update
from heatheryoke.core.store_view import StoreView
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.daemons.store_watch import MINIMUM_CALL_INTERVAL_S, StoreWatch
from heatheryoke.inventory.model import Address
from heatheryoke.platform.packets import PacketCodec
from heatheryoke.wire.fragments import (
    MAXIMUM_DATAGRAM_BYTES,
    MAXIMUM_INCOMPLETE,
    Reassembly,
    split_message,
)
from heatheryoke.wire.peers import open_datagram, seal_datagram

NOW = 100.0
PORT = 7_000
BALANCER = Address("10.9.0.1", PORT)


def endpoint(number, revision, **changes):
    record = EndpointRecord("live", address_of(number), "north", 2, False, 0.0, 1_000 + number)
    return StoreItem(
        Subject.ENDPOINT, f"i-{number}", Position(0, revision), True, record._replace(**changes)
    )


def address_of(number):
    return Address(f"10.1.0.{number}", 8_000)


def configuration(version, revision):
    route = Route("feed", Address("198.18.0.1", 443), (Share("live", 1.0),), True, 0.1, 1.5, 2)
    services = tuple(ServiceRecord(name, 9, 2.0, 0.0) for name in ("live", "print"))
    record = ConfigurationRecord(version, (route,), services, 15.0)
    return StoreItem(Subject.CONFIGURATION, "", Position(0, revision), True, record)


FIRST = (configuration(1, 5), *(endpoint(number, number) for number in (1, 2, 3)))


def agent(number, rank):
    node = StreamAgent(
        address_of(number).ip, rank, NOW, PacketCodec(), "live", address_of(number), peer_port=PORT
    )
    node.reduce(StoreRead(NOW, FIRST, Position(0, 5)))
    return node


def store_updates_sent(effects):
    return [
        effect
        for effect in effects
        if isinstance(effect, SendPeer) and type(effect.message) is StoreUpdate
    ]


@st.composite
def changes(draw):
    """Return batches of items with increasing revisions, which add, change and remove entries."""
    revision, batches = 5, []
    for size in draw(st.lists(st.integers(0, 3), max_size=8)):
        batch = []
        for _ in range(size):
            revision += draw(st.integers(1, 3))
            number = draw(st.integers(1, 5))
            kind = draw(
                st.sampled_from(
                    (
                        "heartbeat",
                        "draining",
                        "cold",
                        "removed",
                        "unreadable",
                        "withdrawn",
                        "returned",
                        "configured",
                    )
                )
            )
            item = endpoint(number, revision)
            if kind == "draining":
                item = endpoint(number, revision, is_draining=True)
            elif kind == "cold":
                item = endpoint(number, revision, cold_s=draw(st.sampled_from((0.5, 2.0))))
            elif kind == "removed":
                item = item._replace(present=False, record=None)
            elif kind == "unreadable":
                item = item._replace(record=None)
            elif kind == "configured":
                item = configuration(draw(st.integers(1, 9)), revision)
            elif kind in ("withdrawn", "returned"):
                item = StoreItem(
                    Subject.WITHDRAWAL, "north", Position(0, revision), kind == "withdrawn", None
                )
            batch.append(item)
        batches.append(tuple(batch))
    return batches


class TestUnnamedServices:
    """Entries of a service that no configuration names became homes of flows that nobody serves."""

    FOREIGN = endpoint(9, 6, service="nowhere")

    def test_their_entries_are_no_hosts(self):
        node = agent(1, 10)
        node.reduce(StoreChanged(NOW, (self.FOREIGN,), Position(0, 5), Position(0, 6)))
        assert set(node.topology.hosts) == {address_of(number).ip for number in (1, 2, 3)}

    def test_an_entry_hides_no_upstream_at_its_address(self):
        node = agent(1, 10)
        hiding = endpoint(9, 6, service="nowhere", address=address_of(2), born_ms=9_000)
        node.reduce(StoreChanged(NOW, (hiding,), Position(0, 5), Position(0, 6)))
        assert node.topology.endpoints["live", address_of(2).ip].service == "live"

    def test_an_upstream_is_used_once_a_configuration_names_its_service(self):
        node = agent(1, 10)
        node.reduce(StoreChanged(NOW, (self.FOREIGN,), Position(0, 5), Position(0, 6)))
        item = configuration(2, 7)
        services = (*item.record.services, ServiceRecord("nowhere", 9, 2.0, 0.0))
        item = item._replace(record=item.record._replace(services=services))
        node.reduce(StoreChanged(NOW, (item,), Position(0, 6), Position(0, 7)))
        assert address_of(9).ip in node.topology.hosts

    def test_a_service_that_only_a_route_names_is_served(self):
        node = agent(1, 10)
        item = configuration(2, 7)
        item = item._replace(record=item.record._replace(services=()))
        node.reduce(StoreChanged(NOW, (item,), Position(0, 5), Position(0, 7)))
        assert node.topology.service_view("live").agents

    def test_an_agent_of_such_an_upstream_does_not_read_more_often(self):
        """Load pattern: a service is deployed before its configuration, on many hosts at once."""
        unnamed = endpoint(1, 5, service="nowhere")
        node = StreamAgent(
            address_of(1).ip, 1, NOW, PacketCodec(), "nowhere", address_of(1), peer_port=PORT
        )
        node.reduce(StoreRead(NOW, (FIRST[0], unnamed), Position(0, 5)))
        assert not node.needs_frequent_reads()


def sealed_with(item, **fields):
    """Return a reply with a configuration of which some fields are replaced."""
    return seal_datagram(
        1, ConfigurationReply(item._replace(record=item.record._replace(**fields)))
    )


class TestMalformedRecords:
    """A record that a peer sent was used as it was: a configuration whose version no datagram can
    carry muted the process that took it, and a weight that is no number failed at every packet.
    """

    ITEM = configuration(2, 7)
    ROUTE = ITEM.record.routes[0]

    @pytest.mark.parametrize(
        "fields",
        [
            {"version": 10**400},
            {"version": 2**64},
            {"version": -1},
            {"version": "2"},
            {"version": float("inf")},
            {"idle_s": 10**400},
            {"idle_s": float("nan")},
            {"idle_s": -1.0},
            {"routes": 5},
            {"routes": ((),)},
            {"routes": (ROUTE._replace(shares=(Share("live", "heavy"),)),)},
            {"routes": (ROUTE._replace(shares=(Share("live", -1.0),)),)},
            {"routes": (ROUTE._replace(address=Address("nowhere", 443)),)},
            {"routes": (ROUTE._replace(address=Address("198.18.0.1", 0)),)},
            {"routes": (ROUTE._replace(target_latency_s=10**400),)},
            {"routes": (ROUTE._replace(name=""),)},
            {"services": (ServiceRecord("live", 2.5, 0.0, 0.0),)},
            {"services": (ServiceRecord("live", 9, None, 0.0),)},
        ],
        ids=str,
    )
    def test_a_configuration_with_an_invalid_field_is_refused(self, fields):
        assert open_datagram(sealed_with(self.ITEM)) is not None
        assert open_datagram(sealed_with(self.ITEM, **fields)) is None

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": Address("nowhere", 8_000)},
            {"address": Address("010.1.0.1", 8_000)},
            {"address": Address("10.1.0.1", 0)},
            {"slots": 0},
            {"cold_s": float("nan")},
            {"cold_s": -1.0},
            {"cold_s": 1e9},
            {"service": ""},
            {"failure_domain": "\n"},
            {"born_ms": 2**64 - 1},
        ],
        ids=str,
    )
    def test_an_upstream_with_an_invalid_field_is_refused(self, changes):
        update = StoreUpdate(1, Position(0, 5), Position(0, 6), (endpoint(1, 6, **changes),))
        assert open_datagram(seal_datagram(1, update)) is None

    def test_a_position_that_no_answer_can_reach_is_refused(self):
        """The receiver would take every later update for an older one."""
        update = StoreUpdate(1, Position(0, 5), Position(0, 2**64 - 1), ())
        assert open_datagram(seal_datagram(1, update)) is None

    def test_a_version_in_a_header_that_no_configuration_has_is_refused(self):
        assert open_datagram(seal_datagram(2**63 - 1, Pong())) is not None
        assert open_datagram(seal_datagram(2**63, Pong())) is None


class TestMakeStoreUpdate:
    @given(changes())
    def test_receivers_have_the_same_view_as_the_reader(self, batches):
        reader, listener = StoreView(PORT), StoreView(PORT)
        for view in (reader, listener):
            view.replace(FIRST, Position(0, 5), NOW)
            view.note_complete(Position(0, 5))
        for number, batch in enumerate(batches):
            now, after = NOW + number, reader.complete_to
            revision = batch[-1].position if batch else after
            update = make_store_update(reader, 7, after, revision, batch)
            reader.apply(batch, now)
            reader.note_complete(revision)
            arrived = open_datagram(seal_datagram(1, update)).message
            assert arrived == update
            listener.apply(arrived.items, now)
            listener.note_complete(arrived.position)
        assert listener.endpoints == reader.endpoints
        assert listener.overwritten.since == reader.overwritten.since
        assert listener.configuration == reader.configuration
        assert listener.withdrawn == reader.withdrawn
        assert listener.cold_until == reader.cold_until
        assert listener.complete_to == reader.complete_to

    def test_a_configuration_is_sent(self):
        items = (configuration(2, 6), endpoint(1, 7))
        update = make_store_update(StoreView(PORT), 7, Position(0, 5), Position(0, 7), items)
        assert open_datagram(seal_datagram(1, update)).message.items == items

    def test_too_many_changes_are_not_sent(self):
        items = tuple(endpoint(number, number + 9) for number in range(MAXIMUM_ITEMS + 1))
        assert make_store_update(StoreView(PORT), 7, Position(0, 5), Position(0, 99), items) is None

    def test_a_heartbeat_is_not_a_change(self):
        view = StoreView(PORT)
        view.replace(FIRST, Position(0, 5), NOW)
        assert (
            make_store_update(view, 7, Position(0, 5), Position(0, 9), (endpoint(1, 9),)).items
            == ()
        )


def large_configuration(routes):
    """Return a configuration of many routes, as of the largest deployment known."""
    (route,) = configuration(2, 6).record.routes
    many = tuple(
        route._replace(name=f"r-{n:06x}", address=Address("198.18.0.1", 1_024 + n))
        for n in range(routes)
    )
    item = configuration(2, 6)
    return item._replace(record=item.record._replace(routes=many))


class TestSlowRead:
    """A complete read that began before a peer's update arrived takes nothing of it back."""

    @pytest.mark.parametrize(
        "change",
        [StoreItem(Subject.WITHDRAWAL, "north", Position(0, 6), True, None), endpoint(4, 6)],
        ids=["withdrawal", "new upstream"],
    )
    def test_what_a_peer_has_sent_meanwhile_stays(self, change):
        node = agent(1, rank=1)
        update = StoreUpdate(2, Position(0, 5), Position(0, 6), (change,))
        node.reduce(PeerMessageArrived(NOW, BALANCER, 1, update))
        node.reduce(StoreRead(NOW, FIRST, Position(0, 5)))
        assert change.name in (*node.view.withdrawn, *node.view.endpoints)

    def test_it_is_logged(self):
        node = agent(1, rank=1)
        node.reduce(
            PeerMessageArrived(NOW, BALANCER, 1, StoreUpdate(2, Position(0, 5), Position(0, 6), ()))
        )
        logged = [
            row
            for row in node.reduce(StoreRead(NOW, FIRST, Position(0, 5)))
            if type(row) is LogChange
        ]
        reason = "revision 5, the view is complete to revision 6"
        assert LogChange("store", "older", reason) in logged
        assert node.reduce(StoreRead(NOW, FIRST, Position(0, 6))) == []

    def test_what_was_removed_before_it_is_removed(self):
        node = agent(1, rank=1)
        node.reduce(StoreRead(NOW, FIRST[:-1], Position(0, 9)))
        assert "i-3" not in node.view.endpoints


class TestLostUpdate:
    """A reader that has a change from another reader sends it all the same: others may lack it."""

    @pytest.mark.parametrize(
        "change",
        [
            endpoint(1, 6, is_draining=True),
            endpoint(1, 6)._replace(present=False, record=None),
            endpoint(4, 6),
        ],
        ids=["draining", "gone", "new"],
    )
    def test_a_change_is_not_missed_for_good(self, change):
        first, second, listener = (StoreView(PORT) for _ in range(3))
        for view in (first, second, listener):
            view.replace(FIRST, Position(0, 5), NOW)
            view.note_complete(Position(0, 5))
        lost = make_store_update(first, 1, Position(0, 5), Position(0, 6), (change,))
        second.apply(lost.items, NOW)
        second.note_complete(Position(0, 6))
        items = (change, endpoint(2, 7, is_draining=True))
        update = make_store_update(second, 2, Position(0, 5), Position(0, 7), items)
        listener.apply(update.items, NOW)
        second.apply(items, NOW)
        assert listener.topology().hosts == second.topology().hosts
        assert listener.endpoints == second.endpoints


class TestParts:
    """Load pattern: the configuration changes, and hundreds of processes need all of it."""

    def datagrams(self, routes):
        update = make_store_update(
            StoreView(PORT), 7, Position(0, 5), Position(0, 6), (large_configuration(routes),)
        )
        return update, split_message(seal_datagram(1, update))

    def test_a_configuration_of_hundreds_of_routes_takes_few_datagrams(self):
        update, parts = self.datagrams(400)
        assert 1 < len(parts) <= 10
        assert max(len(part) for part in parts) <= MAXIMUM_DATAGRAM_BYTES
        reassembly = Reassembly()
        arrived = [reassembly.add(BALANCER, part) for part in reversed(parts)]
        assert arrived[:-1] == [None] * (len(parts) - 1)
        assert open_datagram(arrived[-1]) == (1, update)

    def test_parts_of_two_senders_are_not_mixed(self):
        _, parts = self.datagrams(400)
        reassembly = Reassembly()
        other = Address("10.9.0.2", PORT)
        assert reassembly.add(BALANCER, parts[0]) is None
        assert all(reassembly.add(other, part) is None for part in parts[1:])

    def test_incomplete_messages_are_bounded(self):
        reassembly = Reassembly()
        for routes in range(300, 380):
            reassembly.add(BALANCER, self.datagrams(routes)[1][0])
        assert len(reassembly.incomplete) <= MAXIMUM_INCOMPLETE

    @given(st.binary(max_size=60), st.integers(0, 255), st.integers(0, 3))
    def test_any_part_is_added_or_rejected(self, data, part, count):
        raw = b"hp" + b"\0\0\0\1" + bytes([part, count]) + data
        try:
            Reassembly().add(BALANCER, raw)
        except ValueError:
            return

    def test_a_short_message_is_not_split(self):
        assert split_message(b"hy" + bytes(200)) == [b"hy" + bytes(200)]


class TestSendingChanges:
    def test_a_reader_sends_changes_to_every_agent_and_known_balancer(self):
        node = agent(1, 7)
        empty_update = StoreUpdate(1 << 32, Position(0, 5), Position(0, 5), ())
        node.reduce(PeerMessageArrived(NOW, BALANCER, 1, empty_update))
        sent = store_updates_sent(
            node.reduce(StoreChanged(NOW, (), Position(0, 5), Position(0, 5)))
        )
        agents = {Address(address_of(number).ip, PORT) for number in (2, 3)}
        assert {effect.to for effect in sent} == {*agents, BALANCER}

    def test_received_changes_are_not_relayed(self):
        update = StoreUpdate(7, Position(0, 5), Position(0, 6), (endpoint(2, 6, is_draining=True),))
        effects = agent(1, 9).reduce(PeerMessageArrived(NOW, BALANCER, 1, update))
        assert PostponeStoreRead(Position(0, 6), True) in effects
        assert store_updates_sent(effects) == []

    def test_changes_after_a_gap_are_refused(self):
        node = agent(1, 9)
        update = StoreUpdate(7, Position(0, 8), Position(0, 9), (endpoint(2, 9, is_draining=True),))
        effects = node.reduce(PeerMessageArrived(NOW, BALANCER, 1, update))
        assert not any(isinstance(effect, PostponeStoreRead) for effect in effects)
        assert not node.view.endpoints["i-2"].is_draining

    def test_an_update_older_than_the_view_postpones_no_read(self):
        """Updates that arrive late would put off a process's reads for as long as they come."""
        node = agent(1, 9)
        node.reduce(
            PeerMessageArrived(NOW, BALANCER, 1, StoreUpdate(7, Position(0, 5), Position(0, 9), ()))
        )
        effects = node.reduce(
            PeerMessageArrived(
                NOW + 1.0, BALANCER, 1, StoreUpdate(7, Position(0, 5), Position(0, 8), ())
            )
        )
        assert not any(isinstance(effect, PostponeStoreRead) for effect in effects)
        assert node.view.last_answer_at == NOW

    def test_every_agent_ranks_below_every_balancer(self):
        balancer = StreamBalancer("edge", 1, PacketCodec(), address=BALANCER, peer_port=PORT)
        assert agent(1, 0xFFFFFFFF).rank < balancer.rank


class FakeClient:
    """Records how long each call was to wait, and answers it within 20 ms."""

    def __init__(self):
        self.waits = []

    async def read_range(self, prefix, after, timeout_s):
        return self

    async def watch(self, prefix, after, wait_s, timeout_s):
        self.waits.append(wait_s)
        await asyncio.sleep(min(wait_s, 0.02))
        return self

    items, problems, position, last_key, has_more = (), (), Position(0, 5), "", False


def raise_fault(error):
    """End a watch with an exception that it did not expect."""
    raise error


def play(steps, within_s=3.0):
    """Run a watch alongside `steps`; return the wait that each of its calls asked for."""

    async def run():
        client = FakeClient()
        watch = StoreWatch(
            client,
            None,
            lambda *reading: None,
            lambda *reading: None,
            lambda reason: None,
            lambda problem: None,
            raise_fault,
            lambda: False,
            within_s,
            lambda: 0.0,
        )
        watch.backoff = type("Backoff", (), {"succeed": lambda self: None})()
        task = asyncio.create_task(watch.run())
        await steps(watch)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return client.waits

    return asyncio.run(run())


class TestWatching:
    def test_no_calls_while_a_reader_sends_changes(self):
        async def steps(watch):
            await asyncio.sleep(0.05)
            for _ in range(12):
                watch.postpone_call(Position(0, 5), True)
                await asyncio.sleep(0.1)

        assert len(play(steps)) <= 1

    def test_becomes_the_reader_after_a_time_without_messages(self):
        async def steps(watch):
            await asyncio.sleep(0.05)
            watch.postpone_call(Position(0, 5), True)
            await asyncio.sleep(0.6 + 2 * MINIMUM_CALL_INTERVAL_S)

        first, second, *_ = play(steps, within_s=1.0)
        assert first == 0.0
        assert second > 0.0

    def test_a_reader_continues_after_a_message_of_a_higher_rank(self):
        async def steps(watch):
            for _ in range(10):
                await asyncio.sleep(0.1)
                watch.postpone_call(Position(0, 5), False)

        assert len(play(steps)) >= 3
