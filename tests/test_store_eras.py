"""Views of several processes follow a store that returns from older copies, in any order of events.

The messages between the processes are lost, repeated and reordered, and answers of the store arrive
late.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from heatheryoke.core.effects import PostponeStoreRead, SendPeer
from heatheryoke.core.events import PeerMessageArrived, StoreChanged, StoreRead, Tick
from heatheryoke.core.records import Position, StoreItem, Subject
from heatheryoke.core.store_return import RESTRICT_GRACE_S
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.inventory.model import Address
from heatheryoke.measure.stream_scenarios import run_stream_scenario
from heatheryoke.platform.packets import PacketCodec
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_store_updates import NOW, PORT, address_of, configuration, endpoint

AGENTS = 3
UPSTREAMS = st.integers(1, 5)
CONFIGURATION = (Subject.CONFIGURATION, "")
WITHDRAWAL = (Subject.WITHDRAWAL, "north")
# Examples and steps in CI; 2,000 examples are run by hand.
EXAMPLES, STEPS = 60, 40


def is_unreadable(item):
    """Return whether another writer has overwritten an upstream's entry."""
    return item.subject is Subject.ENDPOINT and item.present and item.record is None


class Store:
    """The store's items and its history, with the copies that it can return from."""

    def __init__(self):
        self.position = Position(1, 0)
        self.items = {}
        self.events = []
        self.copies = []
        self.lost = {}
        self.written = {}

    def write(self, item):
        """Write an item, or remove it if it is not present."""
        self.copies.append((self.position.revision, dict(self.items)))
        self.position = self.position.successor()
        item = item._replace(position=self.position)
        key = item.subject, item.name
        self.events.append(item)
        self.lost.pop(key, None)
        if item.record is not None:
            self.written[key] = item.record
        if item.present:
            self.items[key] = item
        else:
            self.items.pop(key, None)

    def records(self):
        """Return the records of all upstreams by name, without unreadable ones."""
        return {
            name: item.record
            for (subject, name), item in self.items.items()
            if subject is Subject.ENDPOINT and item.record is not None
        }

    def overwritten(self):
        """Return the names of the unreadable entries."""
        return {name for (subject, name), item in self.items.items() if is_unreadable(item)}

    def return_from_copy(self, back):
        """Return from the copy taken so many changes ago; remember what it lacks."""
        removed = {(event.subject, event.name) for event in self.events} - self.items.keys()
        before = self.items | dict.fromkeys(removed)
        revision, items = self.copies[-min(back, len(self.copies))]
        self.copies = [copy for copy in self.copies if copy[0] <= revision][-1:]
        era = self.position.era + 1
        self.position = Position(era, revision)
        self.items = {
            key: item._replace(position=Position(era, item.position.revision))
            for key, item in items.items()
        }
        self.events = [
            e._replace(position=Position(era, e.position.revision))
            for e in self.events
            if e.position.revision <= revision
        ]
        for key, item in before.items():
            held = self.items.get(key)
            if (held and held[3:]) != (item and item[3:]):
                self.lost.setdefault(key, item)

    def write_lost(self, key):
        """Write an item again that a return has lost, or remove it again."""
        item = self.lost.pop(key)
        held = self.items.get(key)
        if item is None:
            if held is not None:
                self.write(held._replace(present=False, record=None))
        elif held is None or key != CONFIGURATION or held.record.version < item.record.version:
            self.write(item)

    def answer(self, after):
        """Return the event that a process gets which calls the store."""
        if after is None or after.era != self.position.era:
            return StoreRead(0.0, tuple(self.items.values()), self.position)
        changes = tuple(event for event in self.events if event.position > after)
        return StoreChanged(0.0, changes, after, self.position)


class StoreReturns(RuleBasedStateMachine):
    """Processes, the messages and answers that are on their way to them, and a clock."""

    @initialize()
    def start(self):
        self.now = NOW
        self.version = 1
        self.born_ms = 2_000
        self.store = Store()
        self.store.write(configuration(1, 0))
        for number in (1, 2, 3):
            self.store.write(endpoint(number, 0))
        self.nodes, self.watched, self.shown = {}, {}, {}
        self.messages, self.answers = [], []
        for number in range(1, AGENTS + 1):
            self.start_process(number)

    def start_process(self, number):
        self.nodes[number] = StreamAgent(
            address_of(number).ip,
            number,
            self.now,
            PacketCodec(),
            "live",
            address_of(number),
            peer_port=PORT,
        )
        self.watched[number] = None
        self.shown[number] = (0, Position(), {})

    def step(self, number, event):
        """Let a process handle an event now; send its messages."""
        for effect in self.nodes[number].reduce(event._replace(now=self.now)):
            if type(effect) is PostponeStoreRead and self.watched[number] is not None:
                self.watched[number] = max(self.watched[number], effect.position)
            elif type(effect) is SendPeer:
                self.send(number, effect)

    def send(self, sender, effect):
        """Put a message on its way to one of the processes."""
        node = self.nodes[sender]
        data = seal_datagram(node.epoch_of(effect.message), effect.message)
        for number in self.nodes:
            if effect.to == Address(address_of(number).ip, PORT):
                self.messages.append((sender, number, data))

    # The store's writers

    @rule()
    def write_configuration(self):
        self.version += 1
        self.store.write(configuration(self.version, 0))

    @rule(number=UPSTREAMS)
    def start_upstream(self, number):
        self.born_ms += 1
        self.store.write(endpoint(number, 0, born_ms=self.born_ms))

    @rule(number=UPSTREAMS, is_gone=st.booleans())
    def stop_upstream(self, number, is_gone):
        held = self.store.items.get((Subject.ENDPOINT, f"i-{number}"))
        if held is not None and (is_gone or held.record is not None):
            record = None if is_gone else held.record._replace(is_draining=True)
            self.store.write(held._replace(present=not is_gone, record=record))

    @rule(number=UPSTREAMS)
    def overwrite(self, number):
        held = self.store.items.get((Subject.ENDPOINT, f"i-{number}"))
        if held is not None:
            self.store.write(held._replace(record=None))

    @rule(number=UPSTREAMS)
    def renew_entry(self, number):
        key = Subject.ENDPOINT, f"i-{number}"
        if key in self.store.items:
            self.store.write(self.store.items[key]._replace(record=self.store.written[key]))

    @rule(present=st.booleans())
    def withdraw(self, present):
        if present != (WITHDRAWAL in self.store.items):
            self.store.write(StoreItem(*WITHDRAWAL, Position(), present, None))

    @rule(back=st.integers(1, 6))
    def return_from_copy(self, back):
        self.store.return_from_copy(back)

    @precondition(lambda self: self.store.lost)
    @rule(data=st.data())
    def write_again(self, data):
        keys = sorted(self.store.lost, key=str)
        self.store.write_lost(data.draw(st.sampled_from(keys)))

    # The processes

    @rule(number=st.integers(1, AGENTS))
    def call_store(self, number):
        self.answers.append((number, self.store.answer(self.watched[number])))
        self.deliver_answer(-1)

    @rule(number=st.integers(1, AGENTS))
    def call_store_slowly(self, number):
        self.answers.append((number, self.store.answer(self.watched[number])))

    @precondition(lambda self: self.answers)
    @rule(data=st.data())
    def deliver_late_answer(self, data):
        self.deliver_answer(data.draw(st.integers(0, len(self.answers) - 1)))

    def deliver_answer(self, index):
        number, event = self.answers.pop(index)
        watched = self.watched[number]
        if watched is None or event.position > watched:
            self.watched[number] = event.position
        self.step(number, event)

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), is_kept=st.booleans())
    def deliver_message(self, data, is_kept):
        index = data.draw(st.integers(0, len(self.messages) - 1))
        sender, number, content = self.messages[index]
        if not is_kept:
            del self.messages[index]
        self.hear(sender, number, content)

    def hear(self, sender, number, content):
        datagram = open_datagram(content)
        source = Address(address_of(sender).ip, PORT)
        self.step(number, PeerMessageArrived(self.now, source, datagram.epoch, datagram.message))

    @precondition(lambda self: self.messages)
    @rule()
    def lose_messages(self):
        self.messages.clear()

    @rule(seconds=st.sampled_from((0.1, 1.0, 3.0, 13.0)))
    def pass_time(self, seconds):
        self.now += seconds
        for number in self.nodes:
            self.step(number, Tick(self.now))

    @rule(number=st.integers(1, AGENTS))
    def restart(self, number):
        self.answers = [row for row in self.answers if row[0] != number]
        self.start_process(number)

    # The checks

    @invariant()
    def nothing_goes_back(self):
        for number, node in getattr(self, "nodes", {}).items():
            epoch, complete_to, positions = self.shown[number]
            view = node.view
            assert node.epoch >= epoch
            assert view.complete_to >= complete_to
            assert all(view.positions[key] >= held for key, held in positions.items())
            self.shown[number] = node.epoch, view.complete_to, dict(view.positions)

    @invariant()
    def a_complete_view_equals_the_store(self):
        """A view that claims every change up to the store's present position has each of them."""
        stored = getattr(self, "store", None)
        for node in getattr(self, "nodes", {}).values():
            view = node.view
            if view.complete_to == stored.position:
                upstreams = self.without_deferred(view, view.endpoints)
                kept = {name: upstreams.pop(name) for name in view.overwritten.since}
                assert upstreams == self.without_deferred(view, stored.records())
                assert kept.keys() <= stored.overwritten()

    @staticmethod
    def without_deferred(view, records):
        """Return records by name without those of which the view defers an item."""
        return {
            name: record
            for name, record in records.items()
            if (Subject.ENDPOINT, name) not in view.deferred.by_key
        }

    def teardown(self):
        """Let the writers write again and every process read; then all views equal the store."""
        if not hasattr(self, "nodes"):
            return
        for key in list(self.store.lost):
            self.store.write_lost(key)
        self.answers.clear()
        for pause_s in (0.0, RESTRICT_GRACE_S + 1.0, 0.1):
            self.now += pause_s
            for number in self.nodes:
                self.call_store(number)
                self.step(number, Tick(self.now))
        self.nothing_goes_back()
        stored = self.store.items
        for node in self.nodes.values():
            assert node.view.endpoints == self.store.records()
            assert ("north" in node.view.withdrawn) == (WITHDRAWAL in stored)
            assert node.epoch == stored[CONFIGURATION].record.version
            assert not node.view.expired and not node.view.deferred
            assert not node.view.overwritten.since


class TestModel:
    def test_a_return_costs_no_service_and_no_drained_upstream_gets_new_flows(self):
        """Guards against processes that take the copy for the present."""
        plain = run_stream_scenario("store-changes", "heatheryoke", 1)
        returned = run_stream_scenario("store-returns", "heatheryoke", 1)
        assert (returned.opened_while_draining, returned.versions) == (0, "2")
        assert returned.in_time_after >= plain.in_time_after - 0.01
        assert returned.run_twice == 0


class TestReturns:
    def test_views_follow_the_store_in_any_order_of_events(self):
        bounds = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
        run_state_machine_as_test(StoreReturns, settings=bounds)
