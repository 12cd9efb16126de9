"""The store watch recovers from refused, unanswered and malformed calls and from lost history."""

import asyncio
import json

import pytest

from heatheryoke.core.backoff import LONGEST_S, Backoff
from heatheryoke.daemons import store_watch
from heatheryoke.daemons.store_watch import StoreWatch
from heatheryoke.inventory.model import Address
from heatheryoke.platform.store import StoreClient
from heatheryoke.standins.stream_store import StreamStore

HOST = "127.24.0.1"


class Seen:
    """Records what a watch reports through its callbacks."""

    def __init__(self):
        self.readings, self.changes, self.lost, self.unreadable = [], [], [], []

    def watch(self, port):
        return StoreWatch(
            StoreClient(Address(HOST, port)),
            Backoff(lambda: 0.0),
            lambda items, revision: self.readings.append(items),
            lambda items, after, revision: self.changes.append(items),
            self.lost.append,
            self.unreadable.append,
            lambda: True,
            3.0,
        )

    def names(self):
        return [item.name for items in (*self.readings, *self.changes) for item in items]


async def until(condition, timeout_s=6.0):
    ends = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        assert asyncio.get_running_loop().time() < ends, "condition not met in time"
        await asyncio.sleep(0.02)


def play(steps):
    async def run():
        store, seen = StreamStore(), Seen()
        await store.start(Address(HOST, 0))
        port = store.runner.addresses[0][1]
        task = asyncio.create_task(seen.watch(port).run())
        try:
            await steps(store, seen)
            assert not task.done()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await store.close()

    asyncio.run(run())


class TestWatch:
    def test_reads_all_pages_and_then_the_changes(self):
        async def steps(store, seen):
            await until(lambda: seen.readings)
            for number in range(120):
                store.put(f"op/evacuate/z{number:03}", {})
            await until(lambda: len(set(seen.names())) == 120)
            store.put("op/evacuate/last", {})
            store.forget_history()
            await until(lambda: len(seen.readings) >= 2 and "last" in seen.names())
            assert len(seen.readings[-1]) == 121

        play(steps)

    def test_goes_on_after_the_store_was_down(self):
        async def steps(store, seen):
            await until(lambda: seen.readings)
            store.is_down = True
            store.wake()
            await until(lambda: len(seen.lost) >= 3)
            store.put("op/evacuate/later", {})
            store.is_down = False
            await until(lambda: "later" in seen.names())

        play(steps)

    def test_goes_on_after_a_call_that_is_never_answered(self, monkeypatch):
        monkeypatch.setattr(store_watch, "READER_WAIT_SHARE", 0.05)
        monkeypatch.setattr(store_watch, "WATCH_MARGIN_S", 0.2)

        async def steps(store, seen):
            await until(lambda: seen.readings)
            store.delay_s = 60.0
            await until(lambda: "timeout" in seen.lost)
            store.delay_s = 0.0
            store.put("op/evacuate/later", {})
            await until(lambda: "later" in seen.names())

        play(steps)


class TestAnswersOfOthers:
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
    def test_count_as_no_answer(self, answer):
        async def run():
            async def serve(reader, writer):
                await reader.read(4_096)
                writer.write(answer)
                writer.close()

            server = await asyncio.start_server(serve, HOST, 0)
            seen = Seen()
            task = asyncio.create_task(seen.watch(server.sockets[0].getsockname()[1]).run())
            try:
                await until(lambda: len(seen.lost) >= 2)
                assert not task.done() and not seen.readings
            finally:
                task.cancel()
                server.close()

        asyncio.run(run())

    def test_an_item_that_cannot_be_read_hides_no_other(self):
        async def steps(store, seen):
            store.put("servers/i-1", b"\xff")
            store.put("servers/i-2", json.loads('{"service": "x"}'))
            store.put("op/evacuate/good", {})
            await until(lambda: "good" in seen.names())
            assert len(seen.unreadable) == 2

        play(steps)


class TestBackoff:
    """Load pattern: all processes lose the store at the same moment, and regain it at the same."""

    def test_doubles_up_to_a_bound_and_begins_anew(self):
        backoff = Backoff(lambda: 1.0)
        waits = [backoff.fail() for _ in range(8)]
        assert waits == sorted(waits) and waits[-1] == LONGEST_S
        backoff.succeed()
        assert backoff.fail() == waits[0]

    def test_spreads_a_fleet(self):
        waits = {Backoff(lambda draw=draw: draw / 10).fail() for draw in range(10)}
        assert len(waits) == 10 and max(waits) / min(waits) > 1.8
