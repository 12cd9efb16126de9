"""End-to-end tests of byte streams on loopback, with parts replaced while callers use them."""

import asyncio

from heatheryoke.standins.stream_caller import Outcome
from heatheryoke.standins.stream_demo import StreamDemo
from heatheryoke.standins.stream_site import CHANGE_WITHIN_S, FEEDS, StreamSite


class TestDemo:
    def test_passes_every_check(self):
        async def play():
            demo = StreamDemo(StreamSite(seed=2))
            await demo.start()
            try:
                await demo.run()
                return demo.checks(), demo.feeds[Outcome.SERVED], demo.sheets[Outcome.SERVED]
            finally:
                await demo.close()

        checks, feeds, sheets = asyncio.run(play())
        assert [str(check) for check in checks if not check.passed] == []
        assert feeds > 300 and sheets > 100


class TestLostUpstream:
    def test_callers_of_an_upstream_that_was_replaced_are_reset_and_served_again(self):
        async def play():
            site = StreamSite(seed=3)
            await site.start()
            try:
                flows = [
                    (await site.add_caller()).flow(site.service_address(FEEDS)) for _ in range(8)
                ]
                first = [await flow.request(5.0) for flow in flows]
                for name in ("agent-1", "agent-2", "agent-3", "agent-4", "agent-5"):
                    await site.upstreams[name].close()
                    await site.start_upstream(site.hosts[name])
                second = [await flow.request(5.0) for flow in flows]
                again = [flow.caller.flow(site.service_address(FEEDS)) for flow in flows]
                return first, second, [await flow.request(5.0) for flow in again]
            finally:
                await site.close()

        first, second, third = asyncio.run(play())
        assert set(first) == {Outcome.SERVED}
        assert set(second) == {Outcome.RESET}
        assert set(third) == {Outcome.SERVED}


class TestBadInput:
    def test_it_is_counted_and_dropped_and_answered_by_nobody(self):
        async def play():
            site = StreamSite(seed=4)
            await site.start()
            try:
                caller = await site.add_caller()
                for data in (b"", b"x" * 31, b"x" * 32, b"y" * 1_300, bytes(32)):
                    for host in site.hosts.values():
                        for port in (site.ports.callers, site.ports.peers, site.ports.answers):
                            caller.port.send(data, (host.ip, port))
                await asyncio.sleep(0.3)
                outcome = await caller.flow(site.service_address(FEEDS)).request(5.0)
                counters = [app.record.counters for app in site.applications.values()]
                return outcome, counters, [upstream.altered for upstream in site.upstreams.values()]
            finally:
                await site.close()

        outcome, counters, altered = asyncio.run(play())
        assert outcome is Outcome.SERVED
        assert all(counter.get("bad_peer_datagrams", 0) >= 5 for counter in counters)
        assert sum(counter.get("faults", 0) for counter in counters) == 0
        assert sum(altered) == 0


def foreign_entries(site):
    """Return entries of another writer, none of which names an upstream to use."""
    entry = site.upstreams["agent-1"].entry()
    later = {"born": entry["born"] + 1}
    return {
        "long-number": entry | {"born": 10**400},
        "lacks-fields": {name: entry[name] for name in ("service", "address", "zone")} | later,
        "lacks-one-field": {name: part for name, part in entry.items() if name != "version"}
        | later,
        "unnamed-service": entry | later | {"service": "nowhere"},
        "unnamed-state": entry | later | {"state": "resting"},
        **{
            f"nowhere-{number}": entry | {"service": "nowhere", "address": f"127.9.9.{number}:80"}
            for number in range(1, 13)
        },
    }


class TestForeignEntries:
    """Such entries ended the view of the store, hid a drain, and had flows placed nowhere."""

    def test_cost_no_flow_in_processes_that_run_or_start(self):
        async def play():
            site = StreamSite(seed=7)
            await site.start()
            try:
                for name, value in foreign_entries(site).items():
                    site.store.put(f"servers/foreign-{name}", value)
                site.store.put("servers/foreign-bytes", b"\xff\xfe")
                served = [await self.request_all(site)]
                draining = site.upstreams["agent-1"]
                draining.set_state("draining")
                await asyncio.sleep(CHANGE_WITHIN_S)
                before = draining.opened
                served.append(await self.request_all(site))
                late = draining.opened - before
                for name in list(site.applications):
                    await site.kill_process(name)
                await asyncio.sleep(0.5)
                for host in site.hosts.values():
                    await site.start_process(host)
                await asyncio.sleep(2.0)
                served.append(await self.request_all(site))
                return served, late
            finally:
                await site.close()

        served, late = asyncio.run(play())
        assert served == [24, 24, 24] and late == 0

    @staticmethod
    async def request_all(site):
        """Return how many of 24 requests in turn, each on a flow of its own, were served."""
        outcomes = []
        for _ in range(24):
            flow = (await site.add_caller()).flow(site.service_address(FEEDS))
            outcomes.append(await flow.request(5.0))
        return outcomes.count(Outcome.SERVED)


class TestMetrics:
    def test_have_histograms_by_team_and_class(self):
        async def play():
            site = StreamSite(seed=5)
            await site.start()
            try:
                flow = (await site.add_caller()).flow(site.service_address(FEEDS))
                outcome = await flow.request(5.0)
                await asyncio.sleep(0.1)
                return outcome, [
                    app.on_metrics().body.decode() for app in site.applications.values()
                ]
            finally:
                await site.close()

        outcome, pages = asyncio.run(play())
        assert outcome is Outcome.SERVED
        labels = '{request_class="r-feeds",tenant="feeds"}'
        for name in ("wait_seconds", "service_seconds", "queue_at_arrival"):
            assert any(f"heatheryoke_{name}_count{labels} 1.0" in page for page in pages), name
