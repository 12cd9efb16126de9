"""The store watch recovers from refused, unanswered and malformed calls and from lost history."""

import asyncio
import base64
import json

import pytest

from heatheryoke.core.backoff import MAXIMUM_DELAY_S, Backoff
from heatheryoke.core.records import Position
from heatheryoke.daemons import store_watch
from heatheryoke.daemons.store_watch import StoreWatch
from heatheryoke.inventory.model import Address
from heatheryoke.platform.store import (
    RevisionCompactedError,
    StoreClient,
    StorePage,
    StoreUnavailableError,
)
from heatheryoke.standins.stream_store import PAGE_ITEMS, StreamStore

HOST = "127.24.0.1"


class WatchRecorder:
    """Records what a watch reports through its callbacks."""

    def __init__(self):
        self.readings, self.changes, self.failures, self.unreadable = [], [], [], []
        self.faults, self.on_items = [], lambda items: None

    def watch(self, port):
        return StoreWatch(
            StoreClient(Address(HOST, port)),
            Backoff(lambda: 0.0),
            lambda items, position: self.take(self.readings, items),
            lambda items, after, position: self.take(self.changes, items),
            self.failures.append,
            self.unreadable.append,
            self.faults.append,
            lambda: True,
            3.0,
        )

    def take(self, taken, items):
        """Record items, unless `on_items` raises an exception."""
        self.on_items(items)
        taken.append(items)

    def names(self):
        return [item.name for items in (*self.readings, *self.changes) for item in items]


async def wait_until(condition, timeout_s=6.0):
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, "condition not met in time"
        await asyncio.sleep(0.02)


def run_with_store(steps, prepare=lambda store: None):
    async def run():
        store, recorder = StreamStore(), WatchRecorder()
        prepare(store)
        await store.start(Address(HOST, 0))
        port = store.runner.addresses[0][1]
        task = asyncio.create_task(recorder.watch(port).run())
        try:
            await steps(store, recorder)
            assert not task.done()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await store.close()

    asyncio.run(run())


class TestWatch:
    def test_reads_all_pages_and_then_the_changes(self):
        async def steps(store, recorder):
            await wait_until(lambda: recorder.readings)
            for number in range(120):
                store.put(f"op/evacuate/z{number:03}", {})
            await wait_until(lambda: len(set(recorder.names())) == 120)
            store.put("op/evacuate/last", {})
            store.compact()
            await wait_until(lambda: len(recorder.readings) >= 2 and "last" in recorder.names())
            assert len(recorder.readings[-1]) == 121

        run_with_store(steps)

    def test_recovers_after_the_store_was_down(self):
        async def steps(store, recorder):
            await wait_until(lambda: recorder.readings)
            store.is_down = True
            store.wake_watches()
            await wait_until(lambda: len(recorder.failures) >= 3)
            store.put("op/evacuate/later", {})
            store.is_down = False
            await wait_until(lambda: "later" in recorder.names())

        run_with_store(steps)

    def test_recovers_after_a_call_that_is_never_answered(self, monkeypatch):
        monkeypatch.setattr(store_watch, "READER_WAIT_SHARE", 0.05)
        monkeypatch.setattr(store_watch, "WATCH_MARGIN_S", 0.2)

        async def steps(store, recorder):
            await wait_until(lambda: recorder.readings)
            store.delay_s = 60.0
            await wait_until(lambda: "timeout" in recorder.failures)
            store.delay_s = 0.0
            store.put("op/evacuate/later", {})
            await wait_until(lambda: "later" in recorder.names())

        run_with_store(steps)


class TestInvalidAnswers:
    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{a}",
            b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
            b"nothing like HTTP\r\n\r\n",
            b"",
        ],
        ids=range(8),
    )
    def test_count_as_failed_calls(self, answer):
        async def run():
            async def serve(reader, writer):
                await reader.read(4_096)
                writer.write(answer)
                writer.close()

            server = await asyncio.start_server(serve, HOST, 0)
            recorder = WatchRecorder()
            task = asyncio.create_task(recorder.watch(server.sockets[0].getsockname()[1]).run())
            try:
                await wait_until(lambda: len(recorder.failures) >= 2)
                assert not task.done() and not recorder.readings
            finally:
                task.cancel()
                server.close()

        asyncio.run(run())

    def test_an_unreadable_item_does_not_hide_others(self):
        async def steps(store, recorder):
            store.put("servers/i-1", b"\xff")
            store.put("servers/i-2", json.loads('{"service": "x"}'))
            store.put("op/evacuate/good", {})
            await wait_until(lambda: "good" in recorder.names())
            assert len(recorder.unreadable) == 2

        run_with_store(steps)

    @pytest.mark.parametrize("position", ["[]", "null", "9" * 400, "1e400", "-1"])
    def test_a_page_without_a_valid_position_is_a_failed_call(self, position):
        """The conversion of such a position ended the watch."""
        client = StoreClient(Address(HOST, 1))
        with pytest.raises(StoreUnavailableError):
            client.decode({"items": [], "currentRev": json.loads(position)}, 0, "items")

    def test_an_event_of_another_form_costs_no_other_event(self):
        good = {"key": "op/evacuate/north", "revision": 3, "value": ""}
        body = {"events": [None, [], {"key": 5}, good, "text"], "currentRev": 4}
        page = StoreClient(Address(HOST, 1)).decode(body, 0, "events")
        assert [item.name for item in page.items] == ["north"] and len(page.problems) == 4


class TestForeignEntries:
    """An entry of another writer ended the watch of each process that ran, and of each that started
    while it was there: withdrawals and drains were not seen any more, and restarts served nothing.
    """

    ENTRY = (
        b'{"service":"desk","address":"10.0.0.1:8080","zone":"north","version":"v1",'
        b'"concurrency":4,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%s}' % (b"9" * 400)
    )

    def test_costs_a_process_that_runs_no_other_change(self):
        async def steps(store, recorder):
            await wait_until(lambda: recorder.readings)
            store.put("servers/foreign", self.ENTRY)
            await wait_until(lambda: recorder.unreadable)
            store.put("op/evacuate/later", {})
            await wait_until(lambda: "later" in recorder.names())

        run_with_store(steps)

    def test_costs_a_process_that_starts_no_other_item(self):
        async def steps(store, recorder):
            await wait_until(lambda: "before" in recorder.names())
            assert recorder.unreadable

        def prepare(store):
            store.put("servers/foreign", self.ENTRY)
            store.put("op/evacuate/before", {})

        run_with_store(steps, prepare)


class FakeStore:
    """Answers each call by a function, and counts the calls."""

    def __init__(self, answer):
        self.answer, self.calls = answer, 0

    async def read_range(self, prefix, after, timeout_s):
        self.calls += 1
        await asyncio.sleep(0)
        return self.answer(after)

    async def watch(self, prefix, after, wait_s, timeout_s):
        raise RevisionCompactedError


def calls_within(answer, seconds):
    """Return how many calls a watch makes of a store that answers by a function."""

    async def run():
        recorder, client = WatchRecorder(), FakeStore(answer)
        watch = recorder.watch(1)
        watch.client = client
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(seconds)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return client.calls

    return asyncio.run(run())


class TestRepetition:
    """Load pattern: an answer that leads nowhere makes every process of a fleet repeat its call;
    without a pause that takes all calls that the store allows, and the processor of each host.
    """

    def test_pages_that_do_not_advance_end_a_read(self):
        page = StorePage((), (), Position(0, 5), "", True)
        assert calls_within(lambda after: page, 1.0) <= 6

    def test_a_page_that_repeats_itself_ends_a_read(self):
        page = StorePage((), (), Position(0, 5), "servers/i-1", True)
        assert calls_within(lambda after: page, 1.0) <= 10

    def test_a_history_that_is_always_lost_is_read_at_the_pace_of_failed_calls(self):
        def answer(after):
            raise RevisionCompactedError

        assert calls_within(answer, 1.0) <= 6

    def test_a_history_that_is_lost_after_each_read_is_read_at_the_pace_of_a_reader(self):
        page = StorePage((), (), Position(0, 5), "", False)
        assert calls_within(lambda after: page, 1.0) <= 6

    def test_a_key_with_a_surrogate_does_not_end_the_paging(self):
        async def steps(store, recorder):
            await wait_until(lambda: recorder.readings)
            assert len(recorder.unreadable) == PAGE_ITEMS and "after" in recorder.names()

        def prepare(store):
            for number in range(PAGE_ITEMS):
                store.put(f"a{number:02}\ud800", {})
            store.put("op/evacuate/after", {})

        run_with_store(steps, prepare)


class TestFaults:
    """Changes whose reducer raised were skipped for good: the position moved on before they were
    taken. An exception that was not expected ended the watch.
    """

    def test_changes_that_were_not_taken_are_read_again(self):
        async def steps(store, recorder):
            await wait_until(lambda: recorder.readings)
            recorder.on_items = fail_once
            store.put("op/evacuate/north", {})
            await wait_until(lambda: "north" in recorder.names())
            assert [str(error) for error in recorder.faults] == ["not taken"]

            store.put("op/evacuate/south", {})
            await wait_until(lambda: "south" in recorder.names())

        failures = []

        def fail_once(items):
            if items and not failures:
                failures.append(items)
                raise RuntimeError("not taken")

        run_with_store(steps)

    def test_a_read_that_was_not_taken_is_repeated_after_a_delay(self):
        """Load pattern: an error that lasts makes no process read without a pause."""

        async def steps(store, recorder):
            recorder.on_items = fail
            calls = store.calls
            await asyncio.sleep(1.5)
            assert 1 <= len(recorder.faults) <= 5 and store.calls - calls <= 6
            recorder.on_items = lambda items: None
            await wait_until(lambda: recorder.readings)

        def fail(items):
            raise RuntimeError("not taken")

        run_with_store(steps)


class TestBackoff:
    """Load pattern: all processes lose the store at the same moment, and regain it at the same."""

    def test_doubles_up_to_a_bound_and_starts_over(self):
        backoff = Backoff(lambda: 1.0)
        waits = [backoff.fail() for _ in range(8)]
        assert waits == sorted(waits) and waits[-1] == MAXIMUM_DELAY_S
        backoff.succeed()
        assert backoff.fail() == waits[0]

    def test_spreads_the_calls_of_a_fleet(self):
        waits = {Backoff(lambda draw=draw: draw / 10).fail() for draw in range(10)}
        assert len(waits) == 10 and max(waits) / min(waits) > 1.8


class TestReturnedStore:
    def test_what_was_lost_first_is_written_again_after_two_returns(self):
        """The stand-in's operator would write an older configuration than the last one."""

        async def steps(store, recorder):
            for number in range(4):
                store.put("op/config", {"version": number})
            for _ in range(2):
                store.return_from_copy(age_s=60.0)
            assert (store.era, store.revision) == (3, 2)
            store.write_again("op/")
            value = json.loads(base64.b64decode(store.items["op/config"]["value"]))
            assert value == {"version": 3} and store.lost == {}

        run_with_store(steps)
