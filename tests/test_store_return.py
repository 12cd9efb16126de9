"""The store comes back from an older copy, and gives revisions out again."""

import asyncio

import pytest

from heatheryoke.core.backoff import Backoff
from heatheryoke.core.effects import LogChange, PostponeStoreRead, SendPeer
from heatheryoke.core.events import (
    PeerMessageArrived,
    PlatformUnavailable,
    StoreChanged,
    StoreRead,
    Tick,
)
from heatheryoke.core.messages import (
    ConfigurationQuery,
    ConfigurationReply,
    Pong,
    StoreSnapshot,
    StoreUpdate,
)
from heatheryoke.core.records import Position, StoreItem, Subject
from heatheryoke.core.store_return import PERMIT_GRACE_S, RESTRICT_GRACE_S
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.daemons.store_watch import MINIMUM_CALL_INTERVAL_S, EraChangedError, StoreWatch
from heatheryoke.inventory.model import Address, HostState
from heatheryoke.platform.packets import PacketCodec
from heatheryoke.platform.store import StorePage, StoreUnavailableError
from heatheryoke.standins.stream_caller import Outcome
from heatheryoke.standins.stream_site import CHANGE_WITHIN_S, FEEDS, StreamSite
from heatheryoke.wire.peers import open_datagram, seal_datagram
from tests.test_store_updates import (
    NOW,
    PORT,
    address_of,
    configuration,
    endpoint,
    raise_fault,
)

ADDED = Address("198.18.0.9", 2_001)
HELD = Address("198.18.0.9", 2_002)
PEER = Address(address_of(2).ip, PORT)
# The contents when the copy is taken, and how long after that the store returns from it.
COPY = (configuration(6, 10), *(endpoint(number, number) for number in (1, 2, 3)))
RETURNED = Position(1, 80)


def withdrawal(domain, revision, present=True):
    return StoreItem(Subject.WITHDRAWAL, domain, Position(0, revision), present, None)


def removed(number, revision):
    return endpoint(number, revision)._replace(present=False, record=None)


def in_era(era, *items):
    """Return items as they are in a later era of the store."""
    return tuple(row._replace(position=Position(era, row.position.revision)) for row in items)


def make_agent(number=1, rank=9, items=COPY, position=Position(0, 10)):
    address = address_of(number)
    node = StreamAgent(
        address.ip, rank, NOW, PacketCodec(), "live", address, first_start=True, peer_port=PORT
    )
    node.reduce(StoreRead(NOW, items, position))
    return node


def change(node, *items, after=Position(0, 10), now=NOW):
    """Let a node read changes of the store."""
    return node.reduce(StoreChanged(now, items, after, items[-1].position))


def return_from_copy(node, now=NOW, items=COPY, position=RETURNED):
    """Let a node read the store after it has returned from a copy."""
    return node.reduce(StoreRead(now, in_era(position.era, *items), position))


def pass_time(node, now):
    """Let a node read that nothing has changed, and process a tick."""
    node.reduce(StoreChanged(now, (), node.view.complete_to, node.view.complete_to))
    return node.reduce(Tick(now))


def receive(node, message, epoch=6, now=NOW):
    return node.reduce(PeerMessageArrived(now, PEER, epoch, message))


def sent(effects, kind):
    return [
        effect
        for effect in effects
        if isinstance(effect, SendPeer) and type(effect.message) is kind
    ]


async def request_at_each_balancer(site, address):
    """Return the outcomes of a request through each balancer."""
    outcomes = []
    for host in site.balancers():
        caller = await site.add_caller(lambda flow, ip=host.ip: Address(ip, site.ports.callers))
        outcomes.append(await caller.flow(address).request(2.5))
    return outcomes


class TestConfigurationAfterReturn:
    def test_a_version_of_a_lower_revision_is_in_force_in_time(self):
        """A view that compares bare revisions refuses every version written after the return."""

        async def play():
            site = StreamSite(seed=6)
            await site.start()
            try:
                site.routes[HELD] = FEEDS
                site.publish()
                await asyncio.sleep(0.5)
                site.store.return_from_copy(1.0)
                site.routes[ADDED] = FEEDS
                site.publish()
                await asyncio.sleep(CHANGE_WITHIN_S)
                return await request_at_each_balancer(site, ADDED)
            finally:
                await site.close()

        assert set(asyncio.run(play())) == {Outcome.SERVED}

    def test_versions_of_lower_revisions_come_into_force(self):
        node = make_agent()
        change(node, configuration(7, 90))
        return_from_copy(node)
        change(node, *in_era(1, configuration(8, 81)), after=RETURNED)
        assert node.epoch == 8

    def test_the_version_in_force_stays_until_it_is_written_again(self):
        node = make_agent()
        change(node, configuration(7, 90))
        return_from_copy(node)
        pass_time(node, NOW + 2 * RESTRICT_GRACE_S)
        assert node.epoch == 7

    def test_a_process_started_meanwhile_gets_the_newer_version_from_a_peer(self):
        ahead, fresh = make_agent(2), make_agent(items=in_era(1, *COPY), position=RETURNED)
        change(ahead, configuration(7, 90))
        return_from_copy(ahead)
        receive(fresh, Pong(), epoch=ahead.epoch)
        (query,) = sent(fresh.reduce(Tick(NOW + 0.1)), ConfigurationQuery)
        (reply,) = sent(receive(ahead, query.message), ConfigurationReply)
        receive(fresh, open_datagram(seal_datagram(7, reply.message)).message, epoch=7)
        assert fresh.epoch == 7


class TestKnownBetter:
    """The older copy takes back what the view knows, until the store's writers write it again."""

    @pytest.mark.parametrize(
        ("known", "is_known"),
        [
            (withdrawal("north", 98), lambda node: "north" in node.view.withdrawn),
            (
                endpoint(3, 98, is_draining=True),
                lambda node: node.view.endpoints["i-3"].is_draining,
            ),
            (removed(3, 98), lambda node: "i-3" not in node.view.endpoints),
        ],
        ids=["withdrawn", "draining", "gone"],
    )
    def test_a_restriction_stays_for_its_grace_period(self, known, is_known):
        """A server that has left, or a withdrawn failure domain, would be in use again."""
        node = make_agent()
        change(node, known)
        return_from_copy(node)
        assert is_known(node)
        pass_time(node, NOW + RESTRICT_GRACE_S - 0.1)
        assert is_known(node)
        pass_time(node, NOW + RESTRICT_GRACE_S)
        assert not is_known(node)

    def test_a_restriction_stays_while_the_store_does_not_answer(self):
        node = make_agent()
        change(node, withdrawal("north", 98))
        return_from_copy(node)
        node.reduce(Tick(NOW + 2 * RESTRICT_GRACE_S))
        assert "north" in node.view.withdrawn

    def test_what_is_written_again_is_in_force_at_once(self):
        node = make_agent()
        change(node, withdrawal("north", 98), removed(3, 99))
        return_from_copy(node)
        again = in_era(1, withdrawal("north", 81), endpoint(3, 82))
        change(node, *again, after=RETURNED)
        pass_time(node, NOW + RESTRICT_GRACE_S)
        assert "north" in node.view.withdrawn and "i-3" in node.view.endpoints

    def test_a_withdrawal_of_a_lower_revision_is_in_force(self):
        node = make_agent()
        change(node, withdrawal("south", 98))
        return_from_copy(node)
        change(node, *in_era(1, withdrawal("south", 81)), after=RETURNED)
        pass_time(node, NOW + 2 * RESTRICT_GRACE_S)
        assert "south" in node.view.withdrawn

    def test_a_withdrawal_that_had_ended_is_not_in_force_again_at_once(self):
        node = make_agent(items=(*COPY, withdrawal("north", 5)))
        change(node, withdrawal("north", 98, present=False))
        return_from_copy(node, items=(*COPY, withdrawal("north", 5)))
        assert node.view.withdrawn == set()
        pass_time(node, NOW + PERMIT_GRACE_S)
        assert node.view.withdrawn == {"north"}

    def test_a_withdrawal_that_the_view_has_never_known_is_in_force_at_once(self):
        node = make_agent()
        return_from_copy(node, items=(*COPY, withdrawal("north", 5)))
        assert node.view.withdrawn == {"north"}

    def test_an_upstream_that_the_copy_lacks_is_kept_for_its_grace_period(self):
        node = make_agent()
        change(node, endpoint(4, 90))
        return_from_copy(node)
        assert address_of(4).ip in node.topology.hosts
        pass_time(node, NOW + PERMIT_GRACE_S + 0.1)
        assert address_of(4).ip not in node.topology.hosts

    def test_an_address_that_another_service_has_taken_stays_with_it(self):
        """Packets of one service would go to an upstream of another."""
        node = make_agent()
        taken = endpoint(4, 91, service="print", address=address_of(3))
        change(node, removed(3, 90), taken)
        return_from_copy(node)
        services = {row.service for row in node.topology.document.endpoints}
        assert services == {"live", "print"}
        pass_time(node, NOW + PERMIT_GRACE_S + 0.1)
        assert address_of(3).ip not in node.topology.hosts

    def test_a_view_is_not_settled_soon_after_a_return(self):
        """A flow of an upstream that the copy lacks would be taken for lost and reset."""
        node = make_agent()
        pass_time(node, NOW + 60.0)
        assert node.view.is_settled(NOW + 60.0)
        return_from_copy(node, NOW + 61.0)
        pass_time(node, NOW + 66.0)
        assert not node.view.is_settled(NOW + 66.0)

    def test_an_upstream_whose_entry_had_only_expired_is_taken_from_the_copy(self):
        """A live upstream would get no flows for the whole grace period."""
        node = make_agent()
        node.reduce(PlatformUnavailable(NOW, "down"))
        change(node, removed(3, 90))
        return_from_copy(node)
        assert "i-3" in node.view.endpoints and address_of(3).ip in node.topology.hosts

    def test_an_upstream_that_is_written_again_has_not_left(self):
        node = make_agent()
        change(node, removed(3, 90), endpoint(3, 91))
        return_from_copy(node, items=COPY[:3])
        return_from_copy(node, NOW + 10.0, position=Position(2, 80))
        assert "i-3" in node.view.endpoints

    def test_a_new_incarnation_under_the_same_id_is_accepted(self):
        node = make_agent()
        change(node, removed(3, 90))
        return_from_copy(node, items=(*COPY[:3], endpoint(3, 79, born_ms=9_999)))
        assert "i-3" in node.view.endpoints

    def test_a_deferred_item_that_a_later_read_lacks_is_not_applied(self):
        """The end of the withdrawal is written again, and a second return hides that event."""
        node = make_agent(items=(*COPY, withdrawal("north", 5)))
        change(node, withdrawal("north", 98, present=False))
        return_from_copy(node, items=(*COPY, withdrawal("north", 5)))
        return_from_copy(node, NOW + 1.0, position=Position(2, 81))
        pass_time(node, NOW + 2 * RESTRICT_GRACE_S)
        assert node.view.withdrawn == set()

    def test_two_returns_in_a_row(self):
        node = make_agent()
        change(node, withdrawal("north", 98))
        return_from_copy(node)
        return_from_copy(node, NOW + 1.0, position=Position(2, 70))
        change(node, *in_era(2, endpoint(3, 71, is_draining=True)), after=Position(2, 70))
        assert node.view.withdrawn == {"north"} and node.view.endpoints["i-3"].is_draining
        pass_time(node, NOW + 1.0 + RESTRICT_GRACE_S)
        assert node.view.withdrawn == set()


class TestOlderEra:
    """Whatever arrives late from an older era is dropped, in every order."""

    @pytest.mark.parametrize(
        "late",
        [
            StoreRead(NOW, (*COPY, withdrawal("north", 98)), Position(0, 98)),
            StoreChanged(NOW, (withdrawal("north", 98),), Position(0, 10), Position(0, 98)),
            PeerMessageArrived(
                NOW,
                PEER,
                6,
                StoreUpdate(1, Position(0, 10), Position(0, 98), (withdrawal("north", 98),)),
            ),
            PeerMessageArrived(
                NOW, PEER, 6, StoreSnapshot(1, Position(0, 98), (withdrawal("north", 98),))
            ),
        ],
        ids=["complete read", "watch", "update", "snapshot"],
    )
    def test_it_changes_nothing(self, late):
        node = make_agent()
        return_from_copy(node)
        effects = node.reduce(late)
        assert node.view.withdrawn == set() and node.view.complete_to == RETURNED
        assert not any(type(effect) is PostponeStoreRead for effect in effects)

    def test_an_update_of_a_newer_era_is_refused_before_its_first_read(self):
        """The revision that it follows stands for another state of the store here."""
        node = make_agent()
        update = StoreUpdate(1, Position(1, 5), Position(1, 9), (withdrawal("north", 9),))
        receive(node, update)
        assert node.view.withdrawn == set()


class TestSnapshots:
    def test_the_first_reader_of_an_era_sends_all_items(self):
        node = make_agent()
        effects = return_from_copy(node)
        messages = sent(effects, StoreSnapshot)
        assert {row.to.ip for row in messages} == {address_of(2).ip, address_of(3).ip}
        assert messages[0].message == StoreSnapshot(9, RETURNED, in_era(1, *COPY))

    def test_a_later_read_of_the_era_is_not_sent(self):
        node = make_agent()
        return_from_copy(node)
        assert sent(return_from_copy(node, NOW + 1.0), StoreSnapshot) == []

    def test_a_receiver_does_not_call_the_store(self):
        node = make_agent()
        effects = receive(node, StoreSnapshot(7, RETURNED, in_era(1, *COPY)))
        assert PostponeStoreRead(RETURNED, True) in effects
        assert node.view.complete_to == RETURNED and sent(effects, StoreSnapshot) == []

    def test_a_return_is_logged_once(self):
        node = make_agent()
        change(node, withdrawal("north", 98), endpoint(4, 99))
        lines = [row for row in return_from_copy(node) if type(row) is LogChange]
        reason = (
            "from revision 99 to era 1 revision 80 by complete read, "
            "known better withdrawal north, missing endpoint i-4"
        )
        assert LogChange("store", "returned", reason) in lines
        again = [row for row in return_from_copy(node, NOW + 1.0) if type(row) is LogChange]
        assert not any(row.state == "returned" for row in again)


class TestWire:
    @pytest.mark.parametrize(
        "message",
        [
            StoreUpdate(7, Position(3, 5), Position(3, 9), in_era(3, endpoint(1, 9))),
            StoreSnapshot(7, Position(3, 9), in_era(3, *COPY)),
        ],
        ids=["update", "snapshot"],
    )
    def test_messages_carry_their_era(self, message):
        assert open_datagram(seal_datagram(6, message)).message == message

    def test_an_update_without_era_is_as_in_the_former_release(self):
        message = StoreUpdate(7, Position(0, 5), Position(0, 9), (withdrawal("north", 9),))
        data = seal_datagram(6, message)
        former = "687901070000000000000006000000000000000700000000000000050000000000000009"
        assert data.hex() == former + "01000000000000000901056e6f727468"


class AnsweringClient:
    """Answers the calls of a watch with the given pages, and records the calls."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.calls = []

    async def read_range(self, prefix, after, timeout_s):
        self.calls.append("range")
        return self.pages.pop(0)

    async def watch(self, prefix, after, wait_s, timeout_s):
        self.calls.append(after)
        return self.pages.pop(0)


def page(era, revision, has_more=False):
    return StorePage((), (), Position(era, revision), "servers/i-1", has_more)


class TestWatchOfReturnedStore:
    def watch(self, *pages):
        self.reads, self.changes = [], []
        return StoreWatch(
            AnsweringClient(*pages),
            Backoff(lambda: 0.0),
            lambda items, position: self.reads.append(position),
            lambda items, after, position: self.changes.append((after, position)),
            lambda reason: None,
            lambda problem: None,
            raise_fault,
            lambda: False,
            3.0,
        )

    def test_an_answer_of_a_newer_era_is_no_list_of_changes(self):
        """Revisions above the last one known may be those of other changes."""
        watch = self.watch(page(0, 90), page(1, 95))

        async def steps():
            await watch.step()
            with pytest.raises(EraChangedError):
                await watch.step()

        asyncio.run(steps())
        assert self.reads == [Position(0, 90)] and self.changes == []

    def test_an_answer_of_an_older_era_than_a_peers_is_dropped(self):
        watch = self.watch(page(0, 90), page(0, 95))

        async def steps():
            await watch.step()
            watch.postpone_call(Position(1, 80), True)
            with pytest.raises(StoreUnavailableError):
                await watch.step()

        asyncio.run(steps())
        assert self.changes == []

    def test_pages_of_two_eras_are_not_one_read(self):
        watch = self.watch(page(0, 90, has_more=True), page(1, 80))
        with pytest.raises(EraChangedError):
            asyncio.run(watch.step())
        assert self.reads == []

    def test_a_process_whose_read_a_peers_snapshot_overtakes_is_no_reader(self):
        """Every process that reads the new era at the same moment would go on reading."""
        watch = self.watch(page(0, 90), page(1, 95), page(1, 95))

        async def read_range(prefix, after, timeout_s):
            if watch.client.calls.count("range"):
                watch.postpone_call(Position(1, 95), True)
            return await AnsweringClient.read_range(watch.client, prefix, after, timeout_s)

        async def steps():
            watch.client.read_range = read_range
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(2 * MINIMUM_CALL_INTERVAL_S + 0.2)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(steps())
        assert self.reads == [Position(0, 90), Position(1, 95)] and not watch.is_reader

    def test_a_running_watch_reads_all_items_of_the_new_era(self):
        watch = self.watch(page(0, 90), page(1, 95), page(1, 95), page(1, 96))

        async def steps():
            task = asyncio.create_task(watch.run())
            while len(watch.client.calls) < 4:
                await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(steps())
        assert watch.client.calls == ["range", 90, "range", 95]
        assert self.reads == [Position(0, 90), Position(1, 95)]


class TestWithdrawnDomain:
    def test_its_hosts_stay_withdrawn_after_a_return(self):
        node = make_agent()
        change(node, withdrawal("north", 98))
        return_from_copy(node)
        assert {host.state for host in node.topology.document.hosts} == {HostState.DRAINING}
