"""An error in one effect, datagram, item or call costs that one alone, and is counted."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatheryoke.core.effects import Count, Deliver, Fault, SendPeer
from heatheryoke.core.events import (
    FlowBound,
    PeerMessageArrived,
    StoreChanged,
    Tick,
    UpstreamPacket,
)
from heatheryoke.core.messages import Pong, Registrations, RegistrationsAck, StoreUpdate
from heatheryoke.core.ownership import BATCH_NUMBERS
from heatheryoke.core.records import Position
from heatheryoke.core.routes import Route, Share
from heatheryoke.core.service_names import DROPPED_SERVICE_S
from heatheryoke.daemons import stream_application
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_roles import StreamAgentApplication
from heatheryoke.daemons.stream_settings import read_stream_settings
from heatheryoke.inventory.model import Address, Role
from heatheryoke.platform.items import read_item
from heatheryoke.platform.packets import ACK, SYN
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_flow_owners import make_registration
from tests.test_platform_items import CONFIGURATION, ENDPOINT, JSON, raw_item, replaced
from tests.test_routing import document, flow_to
from tests.test_routing import forward as routing_forward
from tests.test_routing import make_agent as make_request_agent
from tests.test_stream_settings import AGENT_SETTINGS, write_settings
from tests.test_streams import (
    NOW,
    configuration,
    endpoint,
    flow_of,
    forward,
    of_kind,
    packet,
    withdrawal,
)
from tests.test_streams import make_agent as make_node

PEER = Address("10.1.0.2", 7_000)
SENDER, RECEIVER = Address("10.1.0.1", 7_000), PEER


def make_agent(tmp_path):
    path = write_settings(tmp_path, AGENT_SETTINGS)
    settings, _ = read_stream_settings(path, Role.AGENT)
    return StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))


def fail(*arguments):
    raise RuntimeError("unexpected")


def change(node, *items, now=NOW):
    """Let a node read changes of the store."""
    end = Position(0, max(item.position.revision for item in items))
    return node.reduce(StoreChanged(now, items, node.view.complete_to, end))


def open_flow(node, flow):
    """Let a node own an open flow."""
    node.reduce(forward(flow, packet(flow, SYN), assigned=True))
    accepted = packet(flow, SYN | ACK, acknowledged=2, from_upstream=True)
    node.reduce(UpstreamPacket(NOW, flow, accepted))
    node.reduce(forward(flow, packet(flow, ACK, 2, 2)))
    assert flow in node.flows.flows


class TestEffects:
    def test_an_effect_that_raises_abandons_no_other(self, tmp_path):
        """A message that could not be encoded took the other effects of its event with it."""
        application = make_agent(tmp_path)
        effects = [SendPeer(PEER, object()), Count("later")]
        application.node.reduce = lambda event: effects
        application.step(Tick(1.0))
        assert application.record.counters == {"faults": 1, "later": 1}

    def test_a_message_that_is_too_long_is_encoded_once_for_all_receivers(
        self, tmp_path, monkeypatch
    ):
        """Load pattern: a change goes to hundreds of processes, and each try takes milliseconds."""
        calls = []
        monkeypatch.setattr(
            stream_application, "split_message", lambda data: fail(calls.append(data))
        )
        application = make_agent(tmp_path)
        message = Pong()
        application.node.reduce = lambda event: [SendPeer(PEER, message)] * 3
        application.step(Tick(1.0))
        assert len(calls) == 1 and application.record.counters == {"faults": 1}


@pytest.mark.usefixtures("expects_faults")
class TestItems:
    def test_an_item_that_cannot_be_applied_costs_no_other(self):
        """The changes behind it in the same answer would never come into force."""
        node = make_node()
        item = configuration(9, 100)
        bad = item._replace(record=item.record._replace(routes=(None,)))
        effects = change(node, bad, withdrawal("north", 101))
        assert "north" in node.view.withdrawn and len(of_kind(effects, Fault)) == 1
        assert node.epoch == 3 and node.topology.route_table.version == 3

    def test_it_is_applied_once_it_can_be(self):
        """A position that moves on although the item was not taken hides the same item later."""
        node = make_node()
        item = endpoint(2, is_draining=True)._replace(position=Position(0, 100))
        departures, node.view.departures = node.view.departures, None
        assert of_kind(change(node, item), Fault)
        node.view.departures = departures
        change(node, item)
        assert node.view.endpoints["i-2"].is_draining

    def test_a_view_that_could_not_be_brought_into_force_is_tried_again(self):
        node = make_node()
        topology, node.view.topology = node.view.topology, fail
        with pytest.raises(RuntimeError):
            change(node, endpoint(9)._replace(position=Position(0, 100)))
        node.view.topology = topology
        node.reduce(Tick(NOW + 0.1))
        assert "10.1.0.9" in node.topology.hosts


@pytest.mark.usefixtures("expects_faults")
class TestPeriodicTasks:
    def test_one_that_raises_ends_none_after_it(self):
        """Flows that waited, and registrations, were left where they were at each tick again."""
        node = make_node()
        open_flow(node, flow_of(1))
        node.monitor.check = fail
        effects = [effect for at in range(1, 6) for effect in node.reduce(Tick(NOW + at / 10))]
        assert of_kind(effects, Fault)
        sent = [row.message for row in of_kind(effects, SendPeer)]
        assert any(isinstance(message, Registrations) for message in sent)

    def test_a_removal_that_raises_is_not_repeated_for_ever(self):
        node = make_node()
        for port in (1, 2):
            open_flow(node, flow_of(port))
            node.schedule_removal(node.flows.flows[flow_of(port)], NOW)
        closed = node.registrar.close
        node.registrar.close = lambda owned: fail() if owned.flow == flow_of(1) else closed(owned)
        effects = [effect for at in range(20) for effect in node.reduce(Tick(NOW + at))]
        assert len(of_kind(effects, Fault)) == 1 and flow_of(2) not in node.flows.flows


@pytest.mark.usefixtures("expects_faults")
class TestPeriodicTasksOfRequests:
    def test_one_that_raises_ends_none_after_it(self):
        """Expiry, registrations and the handover were left out at each tick."""
        published = document()
        node, service = make_request_agent(published), published.services[0]
        flow = flow_to(service)
        node.reduce(routing_forward(flow, service, assigned=True))
        node.reduce(FlowBound(NOW, flow, 1_234))
        node.engine.claims.advance = fail
        effects = [effect for at in range(1, 20) for effect in node.reduce(Tick(NOW + at / 20))]
        assert of_kind(effects, Fault)
        sent = [row.message for row in of_kind(effects, SendPeer)]
        assert any(isinstance(message, Registrations) for message in sent)


@pytest.mark.usefixtures("expects_faults")
class TestRegistrations:
    def test_one_that_raises_costs_none_of_its_batch(self):
        """The home did not know the flows behind it, and the batch was sent again as it was."""
        node, flows = make_node(), [flow_of(port) for port in (1, 2, 3)]
        register = node.directory.register
        node.directory.register = lambda entry, now: (
            fail() if entry.flow == flows[1] else register(entry, now)
        )
        batch = Registrations(7, tuple(make_registration(flow) for flow in flows))
        effects = node.reduce(PeerMessageArrived(NOW, PEER, 3, batch))
        assert flows[0] in node.directory.entries and flows[2] in node.directory.entries
        assert not of_kind(effects, SendPeer)

        node.directory.register = register
        effects = node.reduce(PeerMessageArrived(NOW, PEER, 3, batch))
        assert flows[1] in node.directory.entries
        assert SendPeer(PEER, RegistrationsAck(7)) in effects


class TestBatchNumbers:
    def test_start_again_before_a_message_cannot_carry_them(self):
        """After the last number no registration could be sent any more."""
        node = make_node()
        node.registrar.last_batch = BATCH_NUMBERS - 2
        sent = []
        for port in range(1, 4):
            open_flow(node, flow_of(port))
            sent += of_kind(node.reduce(Tick(NOW + port)), SendPeer)
        messages = [row.message for row in sent if isinstance(row.message, Registrations)]
        batches = [open_datagram(seal_datagram(1, message)).message.batch for message in messages]
        assert 0 in batches and max(batches) < 100


class TestDroppedServices:
    """A configuration that dropped a service made each agent with open flows of it raise."""

    @staticmethod
    def drop_live(node):
        """Bring a configuration into force that drops the service "live" but keeps its routes."""
        item = configuration(9, 150)
        moved = tuple(route._replace(shares=(Share("print", 1.0),)) for route in item.record.routes)
        services = tuple(row for row in item.record.services if row.name != "live")
        record = item.record._replace(routes=moved, services=services)
        return change(node, item._replace(record=record))

    def test_open_flows_stay_on_its_upstreams(self):
        node, flow = make_node(), flow_of(1)
        open_flow(node, flow)
        self.drop_live(node)
        assert "10.1.0.2" in node.topology.hosts
        for at in range(10):
            node.reduce(Tick(NOW + at / 10))
        assert of_kind(node.reduce(forward(flow, packet(flow, ACK, 3, 2), now=NOW + 1)), Deliver)

    def test_its_upstreams_are_no_hosts_after_the_longest_flow(self):
        node = make_node()
        open_flow(node, flow_of(1))
        self.drop_live(node)
        node.reduce(Tick(NOW + DROPPED_SERVICE_S - 1.0))
        assert "10.1.0.2" in node.topology.hosts
        node.reduce(Tick(NOW + DROPPED_SERVICE_S))
        assert not node.topology.hosts

    def test_a_flow_outlives_the_last_entry_of_its_service(self):
        node = make_node()
        open_flow(node, flow_of(1))
        other = Route("o", Address("198.18.0.9", 1), (Share("print", 1.0),), True, 0.1, 1.5, 2)
        item = configuration(9, 150, (other,))
        item = item._replace(record=item.record._replace(services=()))
        change(node, item)
        for at in (1.0, DROPPED_SERVICE_S, DROPPED_SERVICE_S + 1.0):
            node.reduce(Tick(NOW + at))
        assert node.topology.service_view("live").agents == []


class TestAnyEntry:
    """What a writer puts into the store raises nothing in the processes that read or receive it."""

    VALUES = (
        JSON
        | st.integers()
        | st.floats()
        | st.text()
        | st.sampled_from([10**400, 2**63, -1, "10.1.0.2:8000", "north", "live", "draining", []])
    )
    ENTRY = ENDPOINT | {"service": "live", "address": "10.1.0.9:8000"}
    PATHS = st.sampled_from(
        [
            *((field,) for field in CONFIGURATION),
            *((table, 0) for table in ("routes", "services")),
            *(("routes", 0, field) for field in CONFIGURATION["routes"][0]),
            *(("services", 0, field) for field in CONFIGURATION["services"][0]),
        ]
    )

    @given(st.sampled_from(sorted(ENDPOINT)), VALUES, PATHS, VALUES)
    def test_raises_nothing_in_a_reader_and_in_a_receiver(self, field, value, path, setting):
        reader, receiver, after = make_node(1), make_node(2), Position(0, 90)
        for node in (reader, receiver):
            node.view.note_complete(after)
        raws = [
            raw_item("servers/foreign", self.ENTRY | {field: value}, 91),
            raw_item("op/config", replaced(CONFIGURATION, path, setting), 92),
            raw_item("op/evacuate/north", {}, 93),
        ]
        items = tuple(item for item, _ in map(read_item, raws) if item is not None)
        effects = reader.reduce(StoreChanged(NOW, items, after, Position(0, 93)))
        sent = [row.message for row in of_kind(effects, SendPeer) if row.to == RECEIVER]
        (update,) = (message for message in sent if type(message) is StoreUpdate)
        opened = open_datagram(seal_datagram(reader.epoch, update))
        receiver.reduce(PeerMessageArrived(NOW, SENDER, opened.epoch, opened.message))
        for node in (reader, receiver):
            node.reduce(Tick(NOW + 0.1))
            assert "north" in node.view.withdrawn
        assert reader.topology.hosts == receiver.topology.hosts
        assert reader.epoch == receiver.epoch
