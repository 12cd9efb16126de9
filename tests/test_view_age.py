"""Logs and metrics tell a process whose view stands still from one that has all changes."""

import asyncio
import json
from pathlib import Path

from heatheryoke.core.effects import LogChange
from heatheryoke.core.events import PeerMessageArrived, StoreChanged, Tick
from heatheryoke.core.messages import ConfigurationReply
from heatheryoke.core.records import Position
from heatheryoke.core.view_age import OLD_VIEW_S
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_metrics import exposition
from heatheryoke.daemons.stream_record import StreamRecord
from heatheryoke.daemons.stream_roles import StreamAgentApplication
from heatheryoke.inventory.model import Address
from heatheryoke.standins.stream_site import StreamSite
from tests.test_store_updates import NOW, agent, configuration

PEER = Address("10.1.0.2", 7_000)
LATER = NOW + OLD_VIEW_S + 0.1


def logged(effects):
    """Return the states and reasons of the log lines on the age of a view."""
    rows = [row for row in effects if isinstance(row, LogChange) and row.subject == "view"]
    return [(row.state, row.reason) for row in rows if row.state in ("old", "confirmed")]


def metrics(node):
    return exposition(node, StreamRecord(JsonLog("agent-1", descriptor=None))).decode()


class TestOldViews:
    """Guards against a view that stands still without a line that says so."""

    def test_are_logged_once_and_once_when_confirmed_again(self):
        node = agent(1, 10)
        assert logged(node.reduce(Tick(NOW + 2.0))) == []
        logged_old = [*logged(node.reduce(Tick(LATER))), *logged(node.reduce(Tick(LATER + 0.1)))]
        reason = "not confirmed for 3.1 s, complete to revision 5 by complete read"
        assert logged_old == [("old", reason)]
        node.reduce(StoreChanged(LATER + 0.2, (), Position(0, 5), Position(0, 6)))
        reason = "after 3.3 s, complete to revision 6 by watch"
        assert logged(node.reduce(Tick(LATER + 0.3))) == [("confirmed", reason)]

    def test_are_not_confirmed_by_a_configuration_of_a_peer(self):
        """It says nothing of the upstreams, some of which may have begun to drain."""
        node = agent(1, 10)
        reply = ConfigurationReply(configuration(2, 9))
        node.reduce(PeerMessageArrived(NOW + 2.9, PEER, 2, reply))
        assert node.epoch == 2
        assert "old" in dict(logged(node.reduce(Tick(LATER))))

    def test_show_the_revision_that_they_are_complete_to(self):
        """A configuration of a peer is later than the drains that the view lacks."""
        node = agent(1, 10)
        reply = ConfigurationReply(configuration(2, 9))
        node.reduce(PeerMessageArrived(NOW + 2.9, PEER, 2, reply))
        facts = dict(node.decision_facts(NOW + 2.9))
        assert (facts["configuration"], facts["view"], facts["view_age_s"]) == (2, 5, 2.9)

    def test_include_one_that_a_process_never_had(self):
        node = agent(1, 10)
        node.view.last_answer_at = float("-inf")
        node.reduce(Tick(NOW))
        assert "old" in dict(logged(node.reduce(Tick(LATER))))


class TestMetrics:
    def test_show_the_revision_and_the_age_of_the_view(self):
        node = agent(1, 10)
        node.reduce(Tick(NOW + 0.5))
        assert "heatheryoke_view_revision 5.0" in metrics(node)
        assert "heatheryoke_view_age_seconds 0.5" in metrics(node)
        node.reduce(StoreChanged(NOW + 0.6, (), Position(0, 5), Position(0, 8)))
        assert "heatheryoke_view_revision 8.0" in metrics(node)
        assert "heatheryoke_view_age_seconds 0.0" in metrics(node)


class TestWatchFaults:
    def test_name_the_position_after_which_the_changes_were_read(self):
        written = []

        async def fail():
            site = StreamSite(seed=8)
            host = site.agents()[0]
            log = JsonLog(host.name, descriptor=None)
            log.write = lambda event, **facts: written.append((event, facts))
            application = StreamAgentApplication(site.settings(host), Path("agent"), log)
            application.watch.position = Position(1, 42)
            application.on_watch_fault(OverflowError("too large"))

        asyncio.run(fail())
        event, facts = written[0]
        assert event == "fault" and facts["after"] == "era 1 revision 42"
        assert json.dumps(facts)
